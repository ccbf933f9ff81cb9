"""Registers that all nodes agree on: CASPaxos over a fixed, odd number of keepers (acceptors). No I/O."""
