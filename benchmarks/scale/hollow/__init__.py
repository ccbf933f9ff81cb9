"""Scenarios at size by hollow gateways and databases: `python -m benchmarks.scale.hollow --help`."""
