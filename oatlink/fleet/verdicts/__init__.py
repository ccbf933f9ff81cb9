"""What others saw of a member, and what it may do here. No I/O."""
