"""Leases on registers, with terms that need no common clock. No I/O."""
