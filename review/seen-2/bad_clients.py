"""Bad clients: they connect, say nothing, read what they are sent, and come again as soon as they are turned away.

Started as `bad_clients.py PORT COUNT`; runs until it is killed.
"""

import select
import socket
import sys


def main(port: int, count: int) -> None:
    """Be `count` such clients."""
    poll = select.epoll()
    sockets: dict[int, socket.socket] = {}

    def connect() -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        sockets[sock.fileno()] = sock
        poll.register(sock.fileno(), select.EPOLLIN)

    for _ in range(count):
        connect()
    while True:
        for number, _ in poll.poll():
            sock = sockets[number]
            try:
                while sock.recv(4096):
                    pass
            except BlockingIOError:
                continue
            except OSError:
                pass
            poll.unregister(number)
            del sockets[number]
            sock.close()
            connect()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
