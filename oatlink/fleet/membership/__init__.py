"""Who is there, as far as others need it. No I/O."""
