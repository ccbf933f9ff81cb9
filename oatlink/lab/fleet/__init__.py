"""Trouble between the nodes of a fleet, on loopback."""
