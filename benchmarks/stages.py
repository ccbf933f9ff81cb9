"""CPU of one request by stage, without sockets: codec, engine, Router. `python -m benchmarks.stages`.

What the gateway process spends beyond these (see `benchmarks.compare`) is streams, the event loop and the kernel.
"""

import time

import click

from oatlink import interface as api
from oatlink.core import messages as m
from oatlink.core.engine import Engine
from oatlink.lab.embedded import CLASSES
from oatlink.protocols.resp import CommandReader, ReplyReader, command
from oatlink.settings import load_text

INFO = (
    b"run_id:%b\r\nuptime_in_seconds:999\r\nrole:%b\r\nslave_repl_offset:100\r\nmaster_repl_offset:100\r\n"
    b"master_replid:h\r\n"
)


def codec(count: int) -> float:
    """Seconds for reading a command and a reply, once each a request."""
    commands, replies = CommandReader(), ReplyReader()
    asked, answered = command("GET", "view:1"), b"$5\r\nhello\r\n"
    began = time.process_time()
    for _ in range(count):
        commands.feed(asked)
        commands.take()
        replies.feed(answered)
        replies.take()
    return time.process_time() - began


def engine(count: int) -> tuple[float, float]:
    """Seconds for engine and Router together, and for the Router's part."""
    members = ", ".join(
        f"{{ name: '{one}', address: '127.0.0.1:{port}' }}" for one, port in (("p", 1), ("r", 2), ("s", 3))
    )
    one = Engine(
        load_text(
            f"{{ banks: [{{ name: 'b', slots: [[0, 16383]], members: [{members}] }}],"
            f" classes: {CLASSES % {'wait': 0}} }}",
            "bench",
        )
    )
    inside = 0.0
    whole = one.router.handle

    def timed(event: api.Event, now_us: int) -> list[api.Action]:
        nonlocal inside
        began = time.perf_counter()
        found = whole(event, now_us)
        inside += time.perf_counter() - began
        return found

    now = 1_000_000_000

    def feed(given: m.AnyInput) -> list[m.Send]:
        sends, todo = [], [given]
        while todo:
            for effect in one.handle(todo.pop(0), now):
                if isinstance(effect, m.Send):
                    sends.append(effect)
                elif isinstance(effect, m.Probe):
                    role = b"master" if effect.box == "p" else b"slave"
                    todo.append(m.Probed(effect.box, "reply", now, 100, INFO % (effect.box.encode(), role)))
        return sends

    feed(m.Started())
    feed(m.RosterListed(tuple(m.Box(name, 0, "x") for name in "prs")))
    feed(m.Opened(1))
    args = [b"GET", b"view:1"]
    took = 0.0
    for turn in range(2):
        if turn:
            one.router.handle = timed  # type: ignore[method-assign, assignment]
        began = time.process_time()
        for _ in range(count):
            now += 250
            for send in feed(m.CommandReceived(1, args)):
                now += 250
                feed(m.Ended(send.request, send.attempt, send.box, "reply", 250, now - 250, [b"$5\r\nhello\r\n"]))
        if not turn:
            took = time.process_time() - began
    return took, inside


@click.command()
@click.option("--count", default=30_000, show_default=True)
def main(count: int) -> None:
    """Print microseconds a request by stage."""
    read = codec(count)
    whole, router = engine(count)
    click.echo(
        f"codec {1e6 * read / count:.1f} us, engine without Router {1e6 * (whole - router) / count:.1f} us, "
        f"Router {1e6 * router / count:.1f} us (of {count} reads, one at a time)"
    )


if __name__ == "__main__":
    main()
