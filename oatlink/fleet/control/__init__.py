"""A versioned stream of control: from a few sources, by relays, to every gateway (docs/design/control.md).

Cores without I/O, told `now_us`, seeded; each returns `messages.Effect`s. Off without a `control` part in the settings.
"""
