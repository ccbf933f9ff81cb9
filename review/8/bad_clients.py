"""Bad clients: each sends a startup message that can't be read, reads what it is sent, and comes again at once.

Started as `bad_clients.py PORT COUNT`; runs until it is killed.
"""

import asyncio
import struct
import sys

# As long as PostgreSQL allows (10,000 bytes): the user, 3,300 parameters without a value, and a byte too many.
BODY = struct.pack("!i", 3 << 16) + b"user\0backend\0" + b"a\0\0" * 3_300 + b"\0x"
STARTUP = struct.pack("!i", len(BODY) + 4) + BODY


async def come_again_and_again(port: int) -> None:
    """Be one such client."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(STARTUP)
            while await reader.read(65_536):
                pass
            writer.close()
        except OSError:
            await asyncio.sleep(0.01)


async def main(port: int, count: int) -> None:
    """Be `count` such clients."""
    await asyncio.gather(*(come_again_and_again(port) for _ in range(count)))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
