"""Planned days of trouble on loopback."""
