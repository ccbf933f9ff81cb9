"""Agreed registers: CASPaxos over a fixed odd set of keepers. No I/O."""
