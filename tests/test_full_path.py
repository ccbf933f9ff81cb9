"""Real clients through a real gateway process to stand-ins: `oatlink up` as a user starts it."""

import asyncio
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any

import coredis
import pytest
import redis
import redis.asyncio

from oatlink.protocols import resp
from tests.gateways import start_program


class Up:
    """`oatlink up` in a process of its own."""

    def __init__(self, *options: str) -> None:
        self.process, line = start_program("up", "--port", "0", *options)
        assert line.startswith("ready 127.0.0.1:"), line
        self.port = int(line.rsplit(":", 1)[1])

    def end(self, how: signal.Signals = signal.SIGTERM) -> float:
        """Ask it to end; seconds until it did."""
        began = time.monotonic()
        self.process.send_signal(how)
        assert self.process.wait(5) == 0
        return time.monotonic() - began

    def socket(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), 5)


@pytest.fixture(scope="module")
def up() -> Iterator[Up]:
    one = Up("--banks", "2")
    yield one
    one.end()


def client(up: Up, protocol: int) -> Any:
    return redis.Redis(port=up.port, protocol=protocol, decode_responses=True, socket_timeout=10)


@pytest.mark.parametrize("protocol", [2, 3])
def test_redis_py_works_unchanged(up: Up, protocol: int) -> None:
    one = client(up, protocol)
    name = f"k{protocol}"
    assert one.ping() and one.set(name, "1", ex=100) and one.get(name) == "1" and one.incr(name) == 2
    assert one.hset(f"h{name}", mapping={"a": "1", "b": "2"}) == 2
    assert one.hgetall(f"h{name}") == {"a": "1", "b": "2"}
    assert one.rpush(f"l{name}", "x", "y") == 2 and one.lrange(f"l{name}", 0, -1) == ["x", "y"]
    assert one.zadd(f"z{name}", {"m": 1.5}) == 1 and one.zscore(f"z{name}", "m") == 1.5
    assert one.zadd(f"z{name}", {"n": 2}) == 1
    pairs = one.zrange(f"z{name}", 0, -1, withscores=True)
    assert [tuple(pair) for pair in pairs] == [("m", 1.5), ("n", 2.0)] and one.zrange(f"z{name}", 0, 0) == ["m"]
    assert one.incrbyfloat(f"f{name}", 0.5) == 0.5 and one.sadd(f"s{name}", "q") == 1
    assert one.smembers(f"s{name}") == {"q"} and one.get("missing") is None
    with pytest.raises(redis.ResponseError, match="WRONGTYPE"):
        one.incr(f"h{name}")
    one.close()


@pytest.mark.parametrize("protocol", [2, 3])
def test_pipelines_read_their_own_writes_in_order(up: Up, protocol: int) -> None:
    one = client(up, protocol)
    pipe = one.pipeline(transaction=False)
    for number in range(200):
        pipe.set(f"p{number % 20}", number)
        pipe.get(f"p{number % 20}")
    assert pipe.execute()[1::2] == [str(number) for number in range(200)]


@pytest.mark.parametrize("protocol", [2, 3])
def test_transactions_are_one_unit(up: Up, protocol: int) -> None:
    one = client(up, protocol)
    one.delete("{t}n")
    pipe = one.pipeline(transaction=True)
    pipe.set("{t}a", 1).incr("{t}n").get("{t}a")
    assert pipe.execute() == [True, 1, "1"]
    pipe = one.pipeline(transaction=True)
    pipe.set("{t}a", "x").incr("{t}a")
    with pytest.raises(redis.ResponseError):
        pipe.execute()
    pipe = one.pipeline(transaction=True)
    pipe.set("a", 1).set("b", 2)
    with pytest.raises((redis.ResponseError, redis.exceptions.ExecAbortError)):
        pipe.execute()


def test_watch_sees_a_change_by_another_client(up: Up) -> None:
    one, other = client(up, 2), client(up, 3)
    one.set("{w}x", 1)
    with one.pipeline() as pipe:
        pipe.watch("{w}x")
        assert pipe.get("{w}x") == "1"
        other.set("{w}x", 5)
        pipe.multi()
        pipe.set("{w}x", 2)
        with pytest.raises(redis.WatchError):
            pipe.execute()
    assert one.get("{w}x") == "5"

    def add(pipe: Any) -> None:
        value = int(pipe.get("{w}x"))
        pipe.multi()
        pipe.set("{w}x", value + 1)

    for _ in range(20):
        one.transaction(add, "{w}x")
    assert one.get("{w}x") == "25"


@pytest.mark.parametrize("protocol", [2, 3])
def test_asyncio_clients_work_unchanged(up: Up, protocol: int) -> None:
    async def with_redis() -> None:
        one = redis.asyncio.Redis(port=up.port, protocol=protocol, decode_responses=True)
        assert await asyncio.gather(*[one.set(f"q{number}", number) for number in range(100)]) == [True] * 100
        found = await asyncio.gather(*[one.get(f"q{number}") for number in range(100)])
        assert sum(found[n] == str(n) for n in range(100)) == 100
        await one.aclose()

    async def with_coredis() -> None:
        one: coredis.Redis[str] = coredis.Redis(port=up.port, decode_responses=True)
        async with one:
            assert await one.set("c", "1")
            assert await one.get("c") == "1"
            assert await one.hset("ch", {"a": "1"}) in (0, 1)
            assert await one.hgetall("ch") == {"a": "1"}
            assert await one.xadd("cs", {"f": "v"})

    asyncio.run(with_redis())
    if protocol == 3:
        asyncio.run(with_coredis())


def test_errors_of_the_specification(up: Up) -> None:
    one = client(up, 2)
    with pytest.raises(redis.ResponseError, match="CROSSSLOT|same slot"):
        one.mget("a", "b")
    with pytest.raises(redis.ResponseError, match="unknown command"):
        one.execute_command("NOSUCH", "a")
    with pytest.raises(redis.ResponseError, match="wrong number"):
        one.execute_command("GET")
    with pytest.raises(redis.ResponseError, match="not served by this gateway"):
        one.blpop(["a"], 1)
    with pytest.raises(redis.ResponseError, match="DB index"):
        one.execute_command("SELECT", 3)
    assert one.info()["oatlink_version"] and one.command_count() > 200


def test_keyed_posts_are_dropped_when_repeated(up: Up) -> None:
    one = client(up, 3)
    first = one.execute_command("XADD", "nav:f", "IDMP", "p", "k1", "*", "v", "1")
    assert one.execute_command("XADD", "nav:f", "IDMP", "p", "k1", "*", "v", "1") == first
    assert len(one.xrevrange("nav:f")) == 1


def read_until_closed(one: socket.socket) -> bytes:
    got = b""
    while data := one.recv(65_536):
        got += data
    return got


def test_malformed_bytes_get_a_protocol_error_after_what_was_owed(up: Up) -> None:
    one = up.socket()
    one.sendall(resp.command("PING") + b"*1\r\n:5\r\n")
    got = read_until_closed(one)
    assert got.startswith(b"+PONG\r\n-ERR Protocol error: expected '$', got ':'")


def test_ten_thousand_mutated_inputs_crash_nothing_and_disturb_nobody(up: Up) -> None:
    rng = random.Random(11)
    other = client(up, 3)
    other.set("steady", "1")
    seeds = [
        resp.command("SET", "k", "v" * 20) + resp.command("GET", "k"),
        resp.command("MULTI") + resp.command("SET", "k", 1) + resp.command("EXEC"),
        resp.command("HELLO", 3, "SETNAME", "x") + resp.command("XADD", "s", "IDMP", "p", "k", "*", "a", "b"),
        resp.command("EVAL", "return 1", 1, "k") + resp.command("WATCH", "a") + resp.command("ZUNION", 2, "a", "a"),
        b"GET 'k'\r\nPING \"a\\x41\"\r\n" + resp.command("XREAD", "COUNT", 1, "STREAMS", "s", "0"),
        resp.command("CLIENT", "SETNAME", "n") + resp.command("COMMAND", "GETKEYS", "MGET", "a", "b"),
    ]
    begun = time.monotonic()
    for batch in range(100):
        one = up.socket()
        one.settimeout(5)
        for _ in range(100):
            data = bytearray(rng.choice(seeds))
            for _ in range(rng.randrange(0, 4)):
                at = rng.randrange(len(data))
                if rng.random() < 0.3:
                    del data[at : at + rng.randrange(1, 5)]
                else:
                    data[at] = rng.randrange(256)
            try:
                one.sendall(data)
            except OSError:
                one = up.socket()
        one.close()
        if batch % 10 == 0:
            assert other.get("steady") == "1"
    assert up.process.poll() is None and other.get("steady") == "1" and time.monotonic() - begun < 120


def test_a_client_that_pipelines_and_reads_late_loses_nothing(up: Up) -> None:
    one = up.socket()
    count = 5_000
    one.sendall(resp.command("SET", "big", "x" * 500))
    sender = threading.Thread(target=one.sendall, args=(resp.command("GET", "big") * count,))
    sender.start()
    time.sleep(0.5)
    reader = resp.ReplyReader()
    got: list[bytes] = []
    while len(got) < count + 1:
        reader.feed(one.recv(65_536))
        while (frame := reader.take()) is not None:
            got.append(frame)
    sender.join()
    assert set(got[1:]) == {b"$500\r\n" + b"x" * 500 + b"\r\n"}


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM])
def test_up_ends_within_two_seconds(how: signal.Signals) -> None:
    one = Up("--banks", "1", "--members", "2")
    held = one.socket()
    held.sendall(resp.command("SET", "a", 1))
    assert held.recv(100) == b"+OK\r\n"
    assert one.end(how) < 2.0


def test_workers_share_the_port() -> None:
    one = Up("--workers", "3")
    found = set()
    for _ in range(60):
        with redis.Redis(port=one.port) as each:
            assert each.set("w", "1")
            found.add(each.info()["uptime_in_seconds"] is not None and each.info("clients")["connected_clients"])
    assert redis.Redis(port=one.port).get("w") == b"1"
    assert one.end() < 3.0


def test_a_taken_port_is_one_clear_line() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        done = subprocess.run(
            [sys.executable, "-m", "oatlink", "up", "--port", str(port)], capture_output=True, text=True
        )
    assert done.returncode == 2
    assert done.stderr.startswith(f"oatlink: 127.0.0.1:{port}: cannot listen") and done.stderr.count("\n") == 1
