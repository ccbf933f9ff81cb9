"""The gateway for the users' platform: its protocol on sockets, around the Router, which makes every decision."""
