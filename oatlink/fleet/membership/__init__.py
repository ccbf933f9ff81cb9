"""Which nodes of the fleet are alive, as far as others need it. No I/O."""
