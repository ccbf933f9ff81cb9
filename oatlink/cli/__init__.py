"""The command line: click commands only, without logic of their own."""
