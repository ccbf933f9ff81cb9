"""Hollow gateways and databases: real cores by values, many in one process, on one simulated clock. No I/O."""
