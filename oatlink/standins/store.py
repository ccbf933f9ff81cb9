"""Data of a stand-in: the common commands of the specification on plain values. No I/O; the clock is handed in.

`Store.execute` returns the reply and what goes into the replication stream: the command itself, or one that has
the same effect at any time and place (an explicit stream id, an absolute expiry), as the specification has it.
"""

import fnmatch
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from oatlink.protocols.resp import OK, Array, Double, Error, Map, Null, SetOf, Value, encode

NIL = Null(b"$")
WRONG_TYPE = Error(b"WRONGTYPE Operation against a key holding the wrong kind of value")
SYNTAX = Error(b"ERR syntax error")
NOT_INT = Error(b"ERR value is not an integer or out of range")
StreamId = tuple[int, int]


class CommandError(Exception):
    """A command's own error."""

    def __init__(self, value: Error) -> None:
        self.value = value


@dataclass(slots=True)
class Stream:
    """A stream: entries by id, and the idempotency keys of its producers with the time of each."""

    entries: "OrderedDict[StreamId, list[bytes]]" = field(default_factory=OrderedDict)
    last: StreamId = (0, 0)
    seen: "OrderedDict[tuple[bytes, bytes], tuple[StreamId, int]]" = field(default_factory=OrderedDict)


Data = bytes | dict[bytes, bytes] | list[bytes] | set[bytes] | dict[bytes, float] | Stream


class Zset(dict[bytes, float]):
    """A sorted set: scores by member."""

    def ranked(self) -> list[tuple[bytes, float]]:
        """Members by score, then by name."""
        return sorted(self.items(), key=lambda one: (one[1], one[0]))


def number(text: bytes) -> int:
    """An integer argument. Raises `CommandError`."""
    try:
        value = int(text)
    except ValueError:
        raise CommandError(NOT_INT) from None
    if not -(2**63) <= value < 2**63:
        raise CommandError(NOT_INT)
    return value


def decimal(text: bytes) -> float:
    """A floating point argument. Raises `CommandError`."""
    try:
        return float(text)
    except ValueError:
        raise CommandError(Error(b"ERR value is not a valid float")) from None


def shown(value: float) -> bytes:
    """A score as the specification prints it."""
    return b"%d" % value if value == int(value) and abs(value) < 1e17 else repr(value).encode()


def show_id(one: StreamId) -> bytes:
    """A stream id as text."""
    return b"%d-%d" % one


def read_id(text: bytes, missing: int) -> StreamId:
    """A stream id; `missing` stands for an absent sequence number. Raises `CommandError`."""
    if text == b"-":
        return (0, 0)
    if text == b"+":
        return (2**64 - 1, 2**64 - 1)
    first, dash, second = text.partition(b"-")
    if not first.isdigit() or (dash and not second.isdigit()):
        raise CommandError(Error(b"ERR Invalid stream ID specified as stream command argument"))
    return int(first), int(second) if dash else missing


class Store:
    """All keys of one database."""

    def __init__(self, window_ms: int = 2_000) -> None:
        self.data: dict[bytes, Data] = {}
        self.expires: dict[bytes, int] = {}  # ms
        self.window_ms = window_ms
        self.now_ms = 0
        self.touched: dict[bytes, int] = {}  # key: count of changes, for WATCH
        self._spread: list[list[bytes]] | None = None
        self.handlers: dict[bytes, Callable[[list[bytes]], Value | None]] = {
            name[4:].encode(): getattr(self, name) for name in dir(self) if name.startswith("cmd_")
        }

    def execute(self, args: list[bytes], now_ms: int, protocol: int = 2) -> tuple[bytes, list[list[bytes]]]:
        """Run a command; returns its reply and the commands for the replication stream."""
        self.now_ms, self.protocol = now_ms, protocol
        handler = self.handlers.get(args[0].lower())
        if handler is None:
            return encode(Error(b"ERR unknown command '%b'" % args[0][:64])), []
        self._spread = None
        before = self._changes
        try:
            value = handler(args)
        except CommandError as problem:
            return encode(problem.value), []
        except IndexError:
            return encode(Error(b"ERR wrong number of arguments for '%b' command" % args[0].lower())), []
        changed = self._changes != before
        spread = (self._spread if self._spread is not None else [args]) if changed else []
        return OK if value is None else encode(value, protocol), spread

    # ---- Keys ----

    _changes = 0
    protocol = 2  # of the client whose command runs

    def _touch(self, key: bytes) -> None:
        self._changes += 1
        self.touched[key] = self.touched.get(key, 0) + 1

    def _get(self, key: bytes, kind: type | tuple[type, ...]) -> Data | None:
        value = self._any(key)
        if value is not None and not isinstance(value, kind):
            raise CommandError(WRONG_TYPE)
        if kind is dict and isinstance(value, Zset):
            raise CommandError(WRONG_TYPE)
        return value

    def _any(self, key: bytes) -> Data | None:
        due = self.expires.get(key)
        if due is not None and due <= self.now_ms:
            return None
        return self.data.get(key)

    def _make(self, key: bytes, kind: type) -> Data:
        value = self._get(key, kind)
        if value is None:
            value = self.data[key] = kind()
            self.expires.pop(key, None)
        return value

    def _drop(self, key: bytes) -> bool:
        there = self._any(key) is not None
        self.data.pop(key, None)
        self.expires.pop(key, None)
        if there:
            self._touch(key)
        return there

    def _tidy(self, key: bytes) -> None:
        if not self.data.get(key, True):
            self.data.pop(key, None)
            self.expires.pop(key, None)

    def cmd_del(self, a: list[bytes]) -> Value:
        return sum([self._drop(one) for one in a[1:]])

    cmd_unlink = cmd_del

    def cmd_exists(self, a: list[bytes]) -> Value:
        return sum(self._any(one) is not None for one in a[1:])

    def cmd_type(self, a: list[bytes]) -> Value:
        value = self._any(a[1])
        names: list[tuple[type, bytes]] = [
            (bytes, b"string"),
            (Zset, b"zset"),
            (dict, b"hash"),
            (list, b"list"),
            (set, b"set"),
            (Stream, b"stream"),
        ]
        return next((name for kind, name in names if isinstance(value, kind)), b"none")

    def cmd_keys(self, a: list[bytes]) -> Value:
        return Array(
            tuple(
                one
                for one in self.data
                if fnmatch.fnmatchcase(one.decode("latin1"), a[1].decode("latin1")) and self._any(one) is not None
            )
        )

    def cmd_scan(self, a: list[bytes]) -> Value:
        return Array((b"0", self.cmd_keys([b"", b"*"])))

    def cmd_dbsize(self, a: list[bytes]) -> Value:
        return sum(self._any(one) is not None for one in self.data)

    def cmd_flushall(self, a: list[bytes]) -> None:
        for one in list(self.data):
            self._drop(one)
        self._changes += 1

    cmd_flushdb = cmd_flushall

    def _expire_at(self, key: bytes, due_ms: int) -> Value:
        if self._any(key) is None:
            return 0
        self.expires[key] = due_ms
        self._touch(key)
        self._spread = [[b"PEXPIREAT", key, b"%d" % due_ms]]
        return 1

    def cmd_expire(self, a: list[bytes]) -> Value:
        return self._expire_at(a[1], self.now_ms + 1000 * number(a[2]))

    def cmd_pexpire(self, a: list[bytes]) -> Value:
        return self._expire_at(a[1], self.now_ms + number(a[2]))

    def cmd_expireat(self, a: list[bytes]) -> Value:
        return self._expire_at(a[1], 1000 * number(a[2]))

    def cmd_pexpireat(self, a: list[bytes]) -> Value:
        return self._expire_at(a[1], number(a[2]))

    def cmd_pttl(self, a: list[bytes]) -> Value:
        if self._any(a[1]) is None:
            return -2
        due = self.expires.get(a[1])
        return -1 if due is None else max(0, due - self.now_ms)

    def cmd_ttl(self, a: list[bytes]) -> Value:
        left = self.cmd_pttl(a)
        return left if not isinstance(left, int) or left < 0 else (left + 500) // 1000

    def cmd_persist(self, a: list[bytes]) -> Value:
        if self._any(a[1]) is None or self.expires.pop(a[1], None) is None:
            return 0
        self._touch(a[1])
        return 1

    def cmd_rename(self, a: list[bytes]) -> None:
        value = self._any(a[1])
        if value is None:
            raise CommandError(Error(b"ERR no such key"))
        self._drop(a[1])
        self.data[a[2]] = value
        self._touch(a[2])

    # ---- Strings ----

    def cmd_get(self, a: list[bytes]) -> Value:
        value = self._get(a[1], bytes)
        return value if isinstance(value, bytes) else NIL

    def cmd_set(self, a: list[bytes]) -> Value | None:
        due: int | None = None
        keep = only_new = only_old = want = False
        at = 3
        while at < len(a):
            option = a[at].upper()
            if option in (b"EX", b"PX", b"EXAT", b"PXAT"):
                amount = number(a[at + 1])
                if amount <= 0:
                    raise CommandError(Error(b"ERR invalid expire time in 'set' command"))
                due = amount * (1000 if option.startswith(b"EX") else 1)
                due += 0 if option.endswith(b"AT") else self.now_ms
                at += 2
                continue
            keep, only_new = keep or option == b"KEEPTTL", only_new or option == b"NX"
            only_old, want = only_old or option == b"XX", want or option == b"GET"
            if option not in (b"KEEPTTL", b"NX", b"XX", b"GET"):
                raise CommandError(SYNTAX)
            at += 1
        old = self._any(a[1])
        if want and old is not None and not isinstance(old, bytes):
            raise CommandError(WRONG_TYPE)
        before: Value = old if isinstance(old, bytes) else NIL
        if (only_new and old is not None) or (only_old and old is None):
            return before if want else NIL
        self.data[a[1]] = a[2]
        if not keep:
            self.expires.pop(a[1], None)
        spread = [b"SET", a[1], a[2]]
        if due is not None:
            self.expires[a[1]] = due
            spread += [b"PXAT", b"%d" % due]
        elif keep:
            spread.append(b"KEEPTTL")
        self._touch(a[1])
        self._spread = [spread]
        return before if want else None

    def cmd_setnx(self, a: list[bytes]) -> Value:
        return int(self.cmd_set([b"SET", a[1], a[2], b"NX"]) is None)

    def cmd_setex(self, a: list[bytes]) -> Value | None:
        return self.cmd_set([b"SET", a[1], a[3], b"EX", a[2]])

    def cmd_psetex(self, a: list[bytes]) -> Value | None:
        return self.cmd_set([b"SET", a[1], a[3], b"PX", a[2]])

    def cmd_getset(self, a: list[bytes]) -> Value | None:
        return self.cmd_set([b"SET", a[1], a[2], b"GET"])

    def cmd_getdel(self, a: list[bytes]) -> Value:
        value = self.cmd_get(a)
        self._drop(a[1])
        return value

    def cmd_mget(self, a: list[bytes]) -> Value:
        found = [self._any(one) for one in a[1:]]
        return Array(tuple(one if isinstance(one, bytes) else NIL for one in found))

    def cmd_mset(self, a: list[bytes]) -> None:
        if len(a) % 2 == 0:
            raise CommandError(Error(b"ERR wrong number of arguments for 'mset' command"))
        for key, value in zip(a[1::2], a[2::2], strict=True):
            self.cmd_set([b"SET", key, value])
        self._spread = [a]

    def cmd_append(self, a: list[bytes]) -> Value:
        old = self._get(a[1], bytes)
        value = (old if isinstance(old, bytes) else b"") + a[2]
        self.data[a[1]] = value
        self._touch(a[1])
        return len(value)

    def cmd_strlen(self, a: list[bytes]) -> Value:
        value = self._get(a[1], bytes)
        return len(value) if isinstance(value, bytes) else 0

    def cmd_getrange(self, a: list[bytes]) -> Value:
        value = self._get(a[1], bytes)
        text = value if isinstance(value, bytes) else b""
        low, high = _range(number(a[2]), number(a[3]), len(text))
        return text[low : high + 1]

    def cmd_incrby(self, a: list[bytes]) -> Value:
        old = self._get(a[1], bytes)
        value = number(old if isinstance(old, bytes) else b"0") + number(a[2])
        if not -(2**63) <= value < 2**63:
            raise CommandError(Error(b"ERR increment or decrement would overflow"))
        self.data[a[1]] = b"%d" % value
        self._touch(a[1])
        return value

    def cmd_incr(self, a: list[bytes]) -> Value:
        return self.cmd_incrby([a[0], a[1], b"1"])

    def cmd_decr(self, a: list[bytes]) -> Value:
        return self.cmd_incrby([a[0], a[1], b"-1"])

    def cmd_decrby(self, a: list[bytes]) -> Value:
        return self.cmd_incrby([a[0], a[1], b"%d" % -number(a[2])])

    def cmd_incrbyfloat(self, a: list[bytes]) -> Value:
        old = self._get(a[1], bytes)
        value = shown(decimal(old if isinstance(old, bytes) else b"0") + decimal(a[2]))
        self.data[a[1]] = value
        self._touch(a[1])
        self._spread = [[b"SET", a[1], value, b"KEEPTTL"]]
        return value

    # ---- Hashes ----

    def _hash(self, key: bytes) -> dict[bytes, bytes]:
        value = self._get(key, dict)
        return value if isinstance(value, dict) else {}  # type: ignore[return-value]

    def cmd_hset(self, a: list[bytes]) -> Value:
        if len(a) < 4 or len(a) % 2:
            raise CommandError(Error(b"ERR wrong number of arguments for 'hset' command"))
        table = self._make(a[1], dict)
        assert isinstance(table, dict)
        new = 0
        for name, value in zip(a[2::2], a[3::2], strict=True):
            new += name not in table
            table[name] = value  # type: ignore[assignment]
        self._touch(a[1])
        return new

    def cmd_hmset(self, a: list[bytes]) -> None:
        self.cmd_hset(a)

    def cmd_hsetnx(self, a: list[bytes]) -> Value:
        return 0 if a[2] in self._hash(a[1]) else self.cmd_hset(a)

    def cmd_hget(self, a: list[bytes]) -> Value:
        return self._hash(a[1]).get(a[2], NIL)

    def cmd_hmget(self, a: list[bytes]) -> Value:
        table = self._hash(a[1])
        return Array(tuple(table.get(one, NIL) for one in a[2:]))

    def cmd_hgetall(self, a: list[bytes]) -> Value:
        return Map(tuple(self._hash(a[1]).items()))

    def cmd_hkeys(self, a: list[bytes]) -> Value:
        return Array(tuple(self._hash(a[1])))

    def cmd_hvals(self, a: list[bytes]) -> Value:
        return Array(tuple(self._hash(a[1]).values()))

    def cmd_hlen(self, a: list[bytes]) -> Value:
        return len(self._hash(a[1]))

    def cmd_hexists(self, a: list[bytes]) -> Value:
        return int(a[2] in self._hash(a[1]))

    def cmd_hdel(self, a: list[bytes]) -> Value:
        table = self._hash(a[1])
        gone = sum([table.pop(one, None) is not None for one in a[2:]])
        if gone:
            self._touch(a[1])
        self._tidy(a[1])
        return gone

    def cmd_hincrby(self, a: list[bytes]) -> Value:
        value = number(self._hash(a[1]).get(a[2], b"0")) + number(a[3])
        self.cmd_hset([a[0], a[1], a[2], b"%d" % value])
        return value

    # ---- Lists ----

    def _list(self, key: bytes) -> list[bytes]:
        value = self._get(key, list)
        return value if isinstance(value, list) else []

    def cmd_rpush(self, a: list[bytes]) -> Value:
        values = self._make(a[1], list)
        assert isinstance(values, list)
        values += a[2:]
        self._touch(a[1])
        return len(values)

    def cmd_lpush(self, a: list[bytes]) -> Value:
        values = self._make(a[1], list)
        assert isinstance(values, list)
        values[:0] = a[:1:-1]
        self._touch(a[1])
        return len(values)

    def _pop(self, a: list[bytes], at: int) -> Value:
        values = self._list(a[1])
        if len(a) > 2:
            if not values:
                return Null(b"*")
            taken = [values.pop(at) for _ in range(min(number(a[2]), len(values)))]
        elif not values:
            return NIL
        else:
            taken = [values.pop(at)]
        self._touch(a[1])
        self._tidy(a[1])
        return Array(tuple(taken)) if len(a) > 2 else taken[0]

    def cmd_lpop(self, a: list[bytes]) -> Value:
        return self._pop(a, 0)

    def cmd_rpop(self, a: list[bytes]) -> Value:
        return self._pop(a, -1)

    def cmd_llen(self, a: list[bytes]) -> Value:
        return len(self._list(a[1]))

    def cmd_lindex(self, a: list[bytes]) -> Value:
        values, at = self._list(a[1]), number(a[2])
        return values[at] if -len(values) <= at < len(values) else NIL

    def cmd_lrange(self, a: list[bytes]) -> Value:
        values = self._list(a[1])
        low, high = _range(number(a[2]), number(a[3]), len(values))
        return Array(tuple(values[low : high + 1]))

    # ---- Sets ----

    def _set(self, key: bytes) -> set[bytes]:
        value = self._get(key, set)
        return value if isinstance(value, set) else set()

    def cmd_sadd(self, a: list[bytes]) -> Value:
        values = self._make(a[1], set)
        assert isinstance(values, set)
        before = len(values)
        values.update(a[2:])
        if len(values) != before:
            self._touch(a[1])
        return len(values) - before

    def cmd_srem(self, a: list[bytes]) -> Value:
        values = self._set(a[1])
        before = len(values)
        values.difference_update(a[2:])
        gone = before - len(values)
        if gone:
            self._touch(a[1])
        self._tidy(a[1])
        return gone

    def cmd_smembers(self, a: list[bytes]) -> Value:
        return SetOf(tuple(sorted(self._set(a[1]))))

    def cmd_sismember(self, a: list[bytes]) -> Value:
        return int(a[2] in self._set(a[1]))

    def cmd_scard(self, a: list[bytes]) -> Value:
        return len(self._set(a[1]))

    # ---- Sorted sets ----

    def _zset(self, key: bytes) -> Zset:
        value = self._get(key, Zset)
        return value if isinstance(value, Zset) else Zset()

    def cmd_zadd(self, a: list[bytes]) -> Value:
        if len(a) < 4 or len(a) % 2:
            raise CommandError(SYNTAX)
        pairs = [(decimal(score), name) for score, name in zip(a[2::2], a[3::2], strict=True)]
        values = self._make(a[1], Zset)
        assert isinstance(values, Zset)
        before = len(values)
        values.update({name: score for score, name in pairs})
        self._touch(a[1])
        return len(values) - before

    def cmd_zincrby(self, a: list[bytes]) -> Value:
        score = self._zset(a[1]).get(a[3], 0.0) + decimal(a[2])
        self.cmd_zadd([a[0], a[1], shown(score), a[3]])
        return Double(shown(score))

    def cmd_zrem(self, a: list[bytes]) -> Value:
        values = self._zset(a[1])
        gone = sum([values.pop(one, None) is not None for one in a[2:]])
        if gone:
            self._touch(a[1])
        self._tidy(a[1])
        return gone

    def cmd_zcard(self, a: list[bytes]) -> Value:
        return len(self._zset(a[1]))

    def cmd_zscore(self, a: list[bytes]) -> Value:
        score = self._zset(a[1]).get(a[2])
        return NIL if score is None else Double(shown(score))

    def cmd_zrange(self, a: list[bytes]) -> Value:
        ranked = self._zset(a[1]).ranked()
        options = [one.upper() for one in a[4:]]
        if b"REV" in options:
            ranked.reverse()
        low, high = _range(number(a[2]), number(a[3]), len(ranked))
        found = ranked[low : high + 1]
        if b"WITHSCORES" not in options:
            return Array(tuple(name for name, _ in found))
        pairs = [(name, Double(shown(score))) for name, score in found]
        if self.protocol == 3:  # an array of pairs there, one flat array before (ZRANGE, RESP3 reply)
            return Array(tuple(Array(one) for one in pairs))
        return Array(tuple(part for one in pairs for part in one))

    # ---- Streams ----

    def cmd_xadd(self, a: list[bytes]) -> Value:
        at, most, idempotent = 2, None, None
        while at < len(a):
            option = a[at].upper()
            if option == b"NOMKSTREAM":
                if self._any(a[1]) is None:
                    return NIL
                at += 1
            elif option == b"MAXLEN":
                at += 2 if a[at + 1] in (b"~", b"=") else 1
                most = number(a[at])
                at += 1
            elif option == b"IDMP":
                idempotent = (a[at + 1], a[at + 2])
                at += 3
            else:
                break
        fields = a[at + 1 :]
        if not fields or len(fields) % 2:
            raise CommandError(Error(b"ERR wrong number of arguments for 'xadd' command"))
        stream = self._make(a[1], Stream)
        assert isinstance(stream, Stream)
        while stream.seen and next(iter(stream.seen.values()))[1] + self.window_ms <= self.now_ms:
            stream.seen.popitem(last=False)
        if idempotent is not None and idempotent in stream.seen:
            return show_id(stream.seen[idempotent][0])
        if a[at] == b"*":
            found = max((self.now_ms, 0), (stream.last[0], stream.last[1] + 1))
        else:
            found = read_id(a[at], 0)
            if found <= stream.last:
                raise CommandError(
                    Error(b"ERR The ID specified in XADD is equal or smaller than the target stream top item")
                )
        stream.entries[found] = fields
        stream.last = found
        if idempotent is not None:
            stream.seen[idempotent] = (found, self.now_ms)
        if most is not None:
            while len(stream.entries) > most:
                stream.entries.popitem(last=False)
        self._touch(a[1])
        self._spread = [[*a[:at], show_id(found), *fields]]
        return show_id(found)

    def _stream(self, key: bytes) -> Stream:
        value = self._get(key, Stream)
        return value if isinstance(value, Stream) else Stream()

    def cmd_xlen(self, a: list[bytes]) -> Value:
        return len(self._stream(a[1]).entries)

    def _xrange(self, a: list[bytes], reverse: bool) -> Value:
        entries = list(self._stream(a[1]).entries.items())
        low, high = (a[3], a[2]) if reverse else (a[2], a[3])
        first, last = read_id(low, 0), read_id(high, 2**64 - 1)
        entries = [one for one in entries if first <= one[0] <= last]
        if reverse:
            entries.reverse()
        if len(a) > 4:
            if a[4].upper() != b"COUNT":
                raise CommandError(SYNTAX)
            entries = entries[: max(0, number(a[5]))]
        return Array(tuple(Array((show_id(one), Array(tuple(fields)))) for one, fields in entries))

    def cmd_xrange(self, a: list[bytes]) -> Value:
        return self._xrange(a, False)

    def cmd_xrevrange(self, a: list[bytes]) -> Value:
        return self._xrange(a, True)

    # ---- The whole ----

    def dump(self) -> list[list[bytes]]:
        """Commands that make these data anew, idempotency keys included."""
        out: list[list[bytes]] = []
        for key, value in self.data.items():
            if isinstance(value, bytes):
                out.append([b"SET", key, value])
            elif isinstance(value, Zset):
                out += [[b"ZADD", key, shown(score), name] for name, score in value.items()]
            elif isinstance(value, dict):
                out += [[b"HSET", key, name, held] for name, held in value.items()]  # type: ignore[list-item]
            elif isinstance(value, list):
                out.append([b"RPUSH", key, *value])
            elif isinstance(value, set):
                out.append([b"SADD", key, *sorted(value)])
            else:
                keys = {found: pair for pair, (found, _) in value.seen.items()}
                for found, fields in value.entries.items():
                    pair = keys.get(found)
                    out.append([b"XADD", key, *((b"IDMP", *pair) if pair else ()), show_id(found), *fields])
        out += [[b"PEXPIREAT", key, b"%d" % due] for key, due in self.expires.items() if key in self.data]
        return out


def _range(low: int, high: int, size: int) -> tuple[int, int]:
    """Both ends of a range as the specification counts them: negative from the end, cut to what is there."""
    low = max(0, low + size if low < 0 else low)
    return low, min(size - 1, high + size if high < 0 else high)
