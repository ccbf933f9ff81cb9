"""The parts of a scenario run: its schedule, gateway processes, clients, faults, and the data read at its end."""
