"""Rate limits: an allowance is divided among the nodes, and each node enforces its part. No I/O."""
