"""The command line: click commands, nothing else."""
