"""Fault scenarios of a fleet of gateways, on loopback."""
