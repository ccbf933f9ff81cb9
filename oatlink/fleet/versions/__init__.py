"""Versions of the data layout over shards, and which nodes may serve which. No I/O."""
