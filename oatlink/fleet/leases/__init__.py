"""Leases on registers: terms without a common clock. No I/O."""
