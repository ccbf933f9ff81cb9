"""What every shell's connections have in common."""
