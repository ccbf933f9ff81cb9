"""Real client libraries through a real gateway process to stand-ins: `oatlink up` as a user starts it."""

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

    def end(self, stop_signal: signal.Signals = signal.SIGTERM) -> float:
        """Send the process a signal to end; returns the seconds until it has ended."""
        began = time.monotonic()
        self.process.send_signal(stop_signal)
        assert self.process.wait(5) == 0
        return time.monotonic() - began

    def socket(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), 5)


@pytest.fixture(scope="module")
def up() -> Iterator[Up]:
    started = Up("--banks", "2")
    yield started
    started.end()


def client(up: Up, protocol: int) -> Any:
    return redis.Redis(port=up.port, protocol=protocol, decode_responses=True, socket_timeout=10)


@pytest.mark.parametrize("protocol", [2, 3])
def test_redis_py_works_unchanged(up: Up, protocol: int) -> None:
    redis_client = client(up, protocol)
    name = f"k{protocol}"
    assert redis_client.ping()
    assert redis_client.set(name, "1", ex=100) and redis_client.get(name) == "1" and redis_client.incr(name) == 2
    assert redis_client.hset(f"h{name}", mapping={"a": "1", "b": "2"}) == 2
    assert redis_client.hgetall(f"h{name}") == {"a": "1", "b": "2"}
    assert redis_client.rpush(f"l{name}", "x", "y") == 2 and redis_client.lrange(f"l{name}", 0, -1) == ["x", "y"]
    assert redis_client.zadd(f"z{name}", {"m": 1.5}) == 1 and redis_client.zscore(f"z{name}", "m") == 1.5
    assert redis_client.zadd(f"z{name}", {"n": 2}) == 1
    pairs = redis_client.zrange(f"z{name}", 0, -1, withscores=True)
    assert [tuple(pair) for pair in pairs] == [("m", 1.5), ("n", 2.0)]
    assert redis_client.zrange(f"z{name}", 0, 0) == ["m"]
    assert redis_client.incrbyfloat(f"f{name}", 0.5) == 0.5 and redis_client.sadd(f"s{name}", "q") == 1
    assert redis_client.smembers(f"s{name}") == {"q"} and redis_client.get("missing") is None
    with pytest.raises(redis.ResponseError, match="WRONGTYPE"):
        redis_client.incr(f"h{name}")
    redis_client.close()


@pytest.mark.parametrize("protocol", [2, 3])
def test_pipelines_read_their_own_writes_in_order(up: Up, protocol: int) -> None:
    redis_client = client(up, protocol)
    pipe = redis_client.pipeline(transaction=False)
    for number in range(200):
        pipe.set(f"p{number % 20}", number)
        pipe.get(f"p{number % 20}")
    assert pipe.execute()[1::2] == [str(number) for number in range(200)]


@pytest.mark.parametrize("protocol", [2, 3])
def test_transactions_are_one_unit(up: Up, protocol: int) -> None:
    redis_client = client(up, protocol)
    redis_client.delete("{t}n")
    pipe = redis_client.pipeline(transaction=True)
    pipe.set("{t}a", 1).incr("{t}n").get("{t}a")
    assert pipe.execute() == [True, 1, "1"]
    pipe = redis_client.pipeline(transaction=True)
    pipe.set("{t}a", "x").incr("{t}a")
    with pytest.raises(redis.ResponseError):
        pipe.execute()
    pipe = redis_client.pipeline(transaction=True)
    pipe.set("a", 1).set("b", 2)
    with pytest.raises((redis.ResponseError, redis.exceptions.ExecAbortError)):
        pipe.execute()


def test_watch_sees_a_change_by_another_client(up: Up) -> None:
    redis_client, other = client(up, 2), client(up, 3)
    redis_client.set("{w}x", 1)
    with redis_client.pipeline() as pipe:
        pipe.watch("{w}x")
        assert pipe.get("{w}x") == "1"
        other.set("{w}x", 5)
        pipe.multi()
        pipe.set("{w}x", 2)
        with pytest.raises(redis.WatchError):
            pipe.execute()
    assert redis_client.get("{w}x") == "5"

    def add(pipe: Any) -> None:
        value = int(pipe.get("{w}x"))
        pipe.multi()
        pipe.set("{w}x", value + 1)

    for _ in range(20):
        redis_client.transaction(add, "{w}x")
    assert redis_client.get("{w}x") == "25"


@pytest.mark.parametrize("protocol", [2, 3])
def test_asyncio_clients_work_unchanged(up: Up, protocol: int) -> None:
    async def with_redis() -> None:
        asyncio_client = redis.asyncio.Redis(port=up.port, protocol=protocol, decode_responses=True)
        results = await asyncio.gather(*[asyncio_client.set(f"q{number}", number) for number in range(100)])
        assert results == [True] * 100
        values = await asyncio.gather(*[asyncio_client.get(f"q{number}") for number in range(100)])
        assert sum(values[n] == str(n) for n in range(100)) == 100
        await asyncio_client.aclose()

    async def with_coredis() -> None:
        asyncio_client: coredis.Redis[str] = coredis.Redis(port=up.port, decode_responses=True)
        async with asyncio_client:
            assert await asyncio_client.set("c", "1")
            assert await asyncio_client.get("c") == "1"
            assert await asyncio_client.hset("ch", {"a": "1"}) in (0, 1)
            assert await asyncio_client.hgetall("ch") == {"a": "1"}
            assert await asyncio_client.xadd("cs", {"f": "v"})

    asyncio.run(with_redis())
    if protocol == 3:
        asyncio.run(with_coredis())


def test_errors_of_the_specification(up: Up) -> None:
    redis_client = client(up, 2)
    with pytest.raises(redis.ResponseError, match="CROSSSLOT|same slot"):
        redis_client.mget("a", "b")
    with pytest.raises(redis.ResponseError, match="unknown command"):
        redis_client.execute_command("NOSUCH", "a")
    with pytest.raises(redis.ResponseError, match="wrong number"):
        redis_client.execute_command("GET")
    with pytest.raises(redis.ResponseError, match="not served by this gateway"):
        redis_client.blpop(["a"], 1)
    with pytest.raises(redis.ResponseError, match="DB index"):
        redis_client.execute_command("SELECT", 3)
    assert redis_client.info()["oatlink_version"] and redis_client.command_count() > 200


def test_keyed_posts_are_dropped_when_repeated(up: Up) -> None:
    redis_client = client(up, 3)
    first = redis_client.execute_command("XADD", "nav:f", "IDMP", "p", "k1", "*", "v", "1")
    assert redis_client.execute_command("XADD", "nav:f", "IDMP", "p", "k1", "*", "v", "1") == first
    assert len(redis_client.xrevrange("nav:f")) == 1


def read_until_closed(sock: socket.socket) -> bytes:
    received = b""
    while data := sock.recv(65_536):
        received += data
    return received


def test_malformed_bytes_get_a_protocol_error_after_the_pending_answers(up: Up) -> None:
    sock = up.socket()
    sock.sendall(resp.command("PING") + b"*1\r\n:5\r\n")
    received = read_until_closed(sock)
    assert received.startswith(b"+PONG\r\n-ERR Protocol error: expected '$', got ':'")


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
    began = time.monotonic()
    for batch in range(100):
        sock = up.socket()
        sock.settimeout(5)
        for _ in range(100):
            data = bytearray(rng.choice(seeds))
            for _ in range(rng.randrange(0, 4)):
                offset = rng.randrange(len(data))
                if rng.random() < 0.3:
                    del data[offset : offset + rng.randrange(1, 5)]
                else:
                    data[offset] = rng.randrange(256)
            try:
                sock.sendall(data)
            except OSError:
                sock = up.socket()
        sock.close()
        if batch % 10 == 0:
            assert other.get("steady") == "1"
    assert up.process.poll() is None and other.get("steady") == "1" and time.monotonic() - began < 120


def test_a_client_that_pipelines_and_reads_late_loses_nothing(up: Up) -> None:
    sock = up.socket()
    count = 5_000
    sock.sendall(resp.command("SET", "big", "x" * 500))
    sender = threading.Thread(target=sock.sendall, args=(resp.command("GET", "big") * count,))
    sender.start()
    time.sleep(0.5)
    reader = resp.ReplyReader()
    frames: list[bytes] = []
    while len(frames) < count + 1:
        reader.feed(sock.recv(65_536))
        while (frame := reader.take()) is not None:
            frames.append(frame)
    sender.join()
    assert set(frames[1:]) == {b"$500\r\n" + b"x" * 500 + b"\r\n"}


@pytest.mark.parametrize("stop_signal", [signal.SIGINT, signal.SIGTERM])
def test_up_ends_within_two_seconds(stop_signal: signal.Signals) -> None:
    gateway = Up("--banks", "1", "--members", "2")
    sock = gateway.socket()
    sock.sendall(resp.command("SET", "a", 1))
    assert sock.recv(100) == b"+OK\r\n"
    assert gateway.end(stop_signal) < 2.0


def test_workers_share_the_port() -> None:
    gateway = Up("--workers", "3")
    client_counts = set()
    for _ in range(60):
        with redis.Redis(port=gateway.port) as redis_client:
            assert redis_client.set("w", "1")
            client_counts.add(
                redis_client.info()["uptime_in_seconds"] is not None
                and redis_client.info("clients")["connected_clients"]
            )
    assert redis.Redis(port=gateway.port).get("w") == b"1"
    assert gateway.end() < 3.0


def test_a_taken_port_is_one_clear_line() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        completed = subprocess.run(
            [sys.executable, "-m", "oatlink", "up", "--port", str(port)], capture_output=True, text=True
        )
    assert completed.returncode == 2
    assert completed.stderr.startswith(f"oatlink: 127.0.0.1:{port}: cannot listen")
    assert completed.stderr.count("\n") == 1
