"""Where the roster comes from."""
