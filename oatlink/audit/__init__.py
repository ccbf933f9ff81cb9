"""Checks a run's guarantees from the bytes on the sockets alone; must not import `oatlink.core`."""
