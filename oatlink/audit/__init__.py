"""Judges the five rules from what crossed the sockets; never imports the core."""
