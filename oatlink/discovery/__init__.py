"""Sources of the roster, the list of banks and their members."""
