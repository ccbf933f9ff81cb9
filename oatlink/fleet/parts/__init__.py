"""The parts of a node, one module for each use of the fleet; a part combines the cores of its use. No I/O."""
