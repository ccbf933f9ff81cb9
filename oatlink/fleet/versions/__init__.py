"""Layouts over shards, and who may serve which. No I/O."""
