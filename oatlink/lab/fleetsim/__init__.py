"""Deterministic simulator that runs the fleet's cores on a simulated clock under seeded faults and checks invariants.

It does no I/O and reads no real clock.
"""
