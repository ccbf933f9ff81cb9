"""Sockets, the keeper's file, the clock. Decides nothing."""
