"""Checks what a run promised from the bytes on the sockets alone; must not import `oatlink.core`."""
