"""What a node does, one use a module: the cores of that use put together. No I/O."""
