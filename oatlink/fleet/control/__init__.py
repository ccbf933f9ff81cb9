"""A versioned stream of control: from a few sources through relays to every gateway (docs/design/control.md).

All modules are cores without I/O that get `now_us` and a seed; their methods return `messages.Effect`s. The stream is
off unless the settings have a `control` part.
"""
