"""What other nodes observed of a member, and what follows from it here. No I/O."""
