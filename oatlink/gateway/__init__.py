"""Runs the engine: client connections, connections to boxes, the clock, logs, metrics and files."""
