"""The gateway on the users' platform: their protocol on sockets, straight around the Router. It decides nothing."""
