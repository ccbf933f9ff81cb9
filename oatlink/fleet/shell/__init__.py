"""I/O of the fleet: sockets, the keeper's file and the clock. All decisions are made in the cores."""
