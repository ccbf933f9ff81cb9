"""Servers of ours, made from public specifications; never import the core."""
