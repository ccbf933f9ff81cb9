"""A fleet's real cores on a simulated clock, with faults of many kinds and checkers. No I/O, no real clock."""
