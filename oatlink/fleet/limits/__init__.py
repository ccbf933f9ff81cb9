"""An allowance, divided among nodes and held by each. No I/O."""
