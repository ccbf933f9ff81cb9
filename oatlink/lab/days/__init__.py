"""What a planned day is made of: its schedule, processes, clients, trouble, and what is read at its end."""
