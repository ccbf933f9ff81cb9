"""What the fleet's parts cost and how fast they are: `python -m benchmarks.fleet NAME`, each a small table."""
