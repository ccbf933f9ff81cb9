"""The stream of control at size: the real cores of sources, relays and readers on one simulated clock. No I/O."""
