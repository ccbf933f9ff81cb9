"""Everything that decides or remembers, without I/O."""
