"""The shell around the engine: sockets and the clock."""
