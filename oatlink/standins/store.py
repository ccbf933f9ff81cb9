"""Data of a stand-in: the common commands of the specification on plain values. No I/O; the caller passes the time.

`Store.execute` returns the reply and the commands for the replication stream: the command itself, or one that has
the same effect at any time and on any box (an explicit stream id, an absolute expiry), as the specification requires.
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
    """An error that is the reply to a command."""

    def __init__(self, value: Error) -> None:
        self.value = value


@dataclass(slots=True)
class Stream:
    """A stream: entries by id, and the idempotency keys of its producers with the entry and the time of each."""

    entries: "OrderedDict[StreamId, list[bytes]]" = field(default_factory=OrderedDict)
    last_id: StreamId = (0, 0)
    idempotency_keys: "OrderedDict[tuple[bytes, bytes], tuple[StreamId, int]]" = field(default_factory=OrderedDict)


Data = bytes | dict[bytes, bytes] | list[bytes] | set[bytes] | dict[bytes, float] | Stream


class Zset(dict[bytes, float]):
    """A sorted set: scores by member."""

    def ranked(self) -> list[tuple[bytes, float]]:
        """Members by score, then by name."""
        return sorted(self.items(), key=lambda item: (item[1], item[0]))


def parse_integer(text: bytes) -> int:
    """Parse an integer argument. Raises `CommandError`."""
    try:
        value = int(text)
    except ValueError:
        raise CommandError(NOT_INT) from None
    if not -(2**63) <= value < 2**63:
        raise CommandError(NOT_INT)
    return value


def parse_float(text: bytes) -> float:
    """Parse a floating point argument. Raises `CommandError`."""
    try:
        return float(text)
    except ValueError:
        raise CommandError(Error(b"ERR value is not a valid float")) from None


def format_score(value: float) -> bytes:
    """Format a score as the specification prints it."""
    return b"%d" % value if value == int(value) and abs(value) < 1e17 else repr(value).encode()


def format_stream_id(entry_id: StreamId) -> bytes:
    """Format a stream id as text."""
    return b"%d-%d" % entry_id


def parse_stream_id(text: bytes, default_sequence: int) -> StreamId:
    """Parse a stream id; `default_sequence` stands for an absent sequence number. Raises `CommandError`."""
    if text == b"-":
        return (0, 0)
    if text == b"+":
        return (2**64 - 1, 2**64 - 1)
    first, dash, second = text.partition(b"-")
    if not first.isdigit() or (dash and not second.isdigit()):
        raise CommandError(Error(b"ERR Invalid stream ID specified as stream command argument"))
    return int(first), int(second) if dash else default_sequence


class Store:
    """All keys of one database."""

    def __init__(self, window_ms: int = 2_000) -> None:
        self.data: dict[bytes, Data] = {}
        self.expires_ms: dict[bytes, int] = {}
        self.window_ms = window_ms
        self.now_ms = 0
        self.change_counts: dict[bytes, int] = {}  # by key, for WATCH
        self._replicated: list[list[bytes]] | None = None
        self.handlers: dict[bytes, Callable[[list[bytes]], Value | None]] = {
            name[4:].encode(): getattr(self, name) for name in dir(self) if name.startswith("cmd_")
        }

    def execute(self, args: list[bytes], now_ms: int, protocol: int = 2) -> tuple[bytes, list[list[bytes]]]:
        """Run a command; returns its reply and the commands for the replication stream."""
        self.now_ms, self.protocol = now_ms, protocol
        handler = self.handlers.get(args[0].lower())
        if handler is None:
            return encode(Error(b"ERR unknown command '%b'" % args[0][:64])), []
        self._replicated = None
        before = self._change_count
        try:
            value = handler(args)
        except CommandError as problem:
            return encode(problem.value), []
        except IndexError:
            return encode(Error(b"ERR wrong number of arguments for '%b' command" % args[0].lower())), []
        has_changed = self._change_count != before
        replicated = (self._replicated if self._replicated is not None else [args]) if has_changed else []
        return OK if value is None else encode(value, protocol), replicated

    # ---- Keys ----

    _change_count = 0
    protocol = 2  # of the client whose command is executed

    def _mark_changed(self, key: bytes) -> None:
        self._change_count += 1
        self.change_counts[key] = self.change_counts.get(key, 0) + 1

    def _get(self, key: bytes, kind: type | tuple[type, ...]) -> Data | None:
        """The value of a key, which must be of this type. Raises `CommandError` where it is of another one."""
        value = self._live(key)
        if value is not None and not isinstance(value, kind):
            raise CommandError(WRONG_TYPE)
        if kind is dict and isinstance(value, Zset):
            raise CommandError(WRONG_TYPE)
        return value

    def _live(self, key: bytes) -> Data | None:
        """The value of a key, of any type, unless it has expired."""
        expires_ms = self.expires_ms.get(key)
        if expires_ms is not None and expires_ms <= self.now_ms:
            return None
        return self.data.get(key)

    def _get_or_create(self, key: bytes, kind: type) -> Data:
        value = self._get(key, kind)
        if value is None:
            value = self.data[key] = kind()
            self.expires_ms.pop(key, None)
        return value

    def _remove(self, key: bytes) -> bool:
        existed = self._live(key) is not None
        self.data.pop(key, None)
        self.expires_ms.pop(key, None)
        if existed:
            self._mark_changed(key)
        return existed

    def _remove_if_empty(self, key: bytes) -> None:
        if not self.data.get(key, True):
            self.data.pop(key, None)
            self.expires_ms.pop(key, None)

    def cmd_del(self, args: list[bytes]) -> Value:
        return sum([self._remove(key) for key in args[1:]])

    cmd_unlink = cmd_del

    def cmd_exists(self, args: list[bytes]) -> Value:
        return sum(self._live(key) is not None for key in args[1:])

    def cmd_type(self, args: list[bytes]) -> Value:
        value = self._live(args[1])
        names: list[tuple[type, bytes]] = [
            (bytes, b"string"),
            (Zset, b"zset"),
            (dict, b"hash"),
            (list, b"list"),
            (set, b"set"),
            (Stream, b"stream"),
        ]
        return next((name for kind, name in names if isinstance(value, kind)), b"none")

    def cmd_keys(self, args: list[bytes]) -> Value:
        return Array(
            tuple(
                key
                for key in self.data
                if fnmatch.fnmatchcase(key.decode("latin1"), args[1].decode("latin1")) and self._live(key) is not None
            )
        )

    def cmd_scan(self, args: list[bytes]) -> Value:
        return Array((b"0", self.cmd_keys([b"", b"*"])))

    def cmd_dbsize(self, args: list[bytes]) -> Value:
        return sum(self._live(key) is not None for key in self.data)

    def cmd_flushall(self, args: list[bytes]) -> None:
        for key in list(self.data):
            self._remove(key)
        self._change_count += 1

    cmd_flushdb = cmd_flushall

    def _expire_at(self, key: bytes, due_ms: int) -> Value:
        if self._live(key) is None:
            return 0
        self.expires_ms[key] = due_ms
        self._mark_changed(key)
        self._replicated = [[b"PEXPIREAT", key, b"%d" % due_ms]]
        return 1

    def cmd_expire(self, args: list[bytes]) -> Value:
        return self._expire_at(args[1], self.now_ms + 1000 * parse_integer(args[2]))

    def cmd_pexpire(self, args: list[bytes]) -> Value:
        return self._expire_at(args[1], self.now_ms + parse_integer(args[2]))

    def cmd_expireat(self, args: list[bytes]) -> Value:
        return self._expire_at(args[1], 1000 * parse_integer(args[2]))

    def cmd_pexpireat(self, args: list[bytes]) -> Value:
        return self._expire_at(args[1], parse_integer(args[2]))

    def cmd_pttl(self, args: list[bytes]) -> Value:
        if self._live(args[1]) is None:
            return -2
        expires_ms = self.expires_ms.get(args[1])
        return -1 if expires_ms is None else max(0, expires_ms - self.now_ms)

    def cmd_ttl(self, args: list[bytes]) -> Value:
        left_ms = self.cmd_pttl(args)
        return left_ms if not isinstance(left_ms, int) or left_ms < 0 else (left_ms + 500) // 1000

    def cmd_persist(self, args: list[bytes]) -> Value:
        if self._live(args[1]) is None or self.expires_ms.pop(args[1], None) is None:
            return 0
        self._mark_changed(args[1])
        return 1

    def cmd_rename(self, args: list[bytes]) -> None:
        value = self._live(args[1])
        if value is None:
            raise CommandError(Error(b"ERR no such key"))
        self._remove(args[1])
        self.data[args[2]] = value
        self._mark_changed(args[2])

    # ---- Strings ----

    def cmd_get(self, args: list[bytes]) -> Value:
        value = self._get(args[1], bytes)
        return value if isinstance(value, bytes) else NIL

    def cmd_set(self, args: list[bytes]) -> Value | None:
        expires_ms: int | None = None
        keeps_expiry = only_new = only_existing = returns_old = False
        index = 3
        while index < len(args):
            option = args[index].upper()
            if option in (b"EX", b"PX", b"EXAT", b"PXAT"):
                amount = parse_integer(args[index + 1])
                if amount <= 0:
                    raise CommandError(Error(b"ERR invalid expire time in 'set' command"))
                expires_ms = amount * (1000 if option.startswith(b"EX") else 1)
                expires_ms += 0 if option.endswith(b"AT") else self.now_ms
                index += 2
                continue
            keeps_expiry, only_new = keeps_expiry or option == b"KEEPTTL", only_new or option == b"NX"
            only_existing, returns_old = only_existing or option == b"XX", returns_old or option == b"GET"
            if option not in (b"KEEPTTL", b"NX", b"XX", b"GET"):
                raise CommandError(SYNTAX)
            index += 1
        old = self._live(args[1])
        if returns_old and old is not None and not isinstance(old, bytes):
            raise CommandError(WRONG_TYPE)
        before: Value = old if isinstance(old, bytes) else NIL
        if (only_new and old is not None) or (only_existing and old is None):
            return before if returns_old else NIL
        self.data[args[1]] = args[2]
        if not keeps_expiry:
            self.expires_ms.pop(args[1], None)
        replicated = [b"SET", args[1], args[2]]
        if expires_ms is not None:
            self.expires_ms[args[1]] = expires_ms
            replicated += [b"PXAT", b"%d" % expires_ms]
        elif keeps_expiry:
            replicated.append(b"KEEPTTL")
        self._mark_changed(args[1])
        self._replicated = [replicated]
        return before if returns_old else None

    def cmd_setnx(self, args: list[bytes]) -> Value:
        return int(self.cmd_set([b"SET", args[1], args[2], b"NX"]) is None)

    def cmd_setex(self, args: list[bytes]) -> Value | None:
        return self.cmd_set([b"SET", args[1], args[3], b"EX", args[2]])

    def cmd_psetex(self, args: list[bytes]) -> Value | None:
        return self.cmd_set([b"SET", args[1], args[3], b"PX", args[2]])

    def cmd_getset(self, args: list[bytes]) -> Value | None:
        return self.cmd_set([b"SET", args[1], args[2], b"GET"])

    def cmd_getdel(self, args: list[bytes]) -> Value:
        value = self.cmd_get(args)
        self._remove(args[1])
        return value

    def cmd_mget(self, args: list[bytes]) -> Value:
        values = [self._live(key) for key in args[1:]]
        return Array(tuple(value if isinstance(value, bytes) else NIL for value in values))

    def cmd_mset(self, args: list[bytes]) -> None:
        if len(args) % 2 == 0:
            raise CommandError(Error(b"ERR wrong number of arguments for 'mset' command"))
        for key, value in zip(args[1::2], args[2::2], strict=True):
            self.cmd_set([b"SET", key, value])
        self._replicated = [args]

    def cmd_append(self, args: list[bytes]) -> Value:
        old = self._get(args[1], bytes)
        value = (old if isinstance(old, bytes) else b"") + args[2]
        self.data[args[1]] = value
        self._mark_changed(args[1])
        return len(value)

    def cmd_strlen(self, args: list[bytes]) -> Value:
        value = self._get(args[1], bytes)
        return len(value) if isinstance(value, bytes) else 0

    def cmd_getrange(self, args: list[bytes]) -> Value:
        value = self._get(args[1], bytes)
        text = value if isinstance(value, bytes) else b""
        low, high = _clamp_range(parse_integer(args[2]), parse_integer(args[3]), len(text))
        return text[low : high + 1]

    def cmd_incrby(self, args: list[bytes]) -> Value:
        old = self._get(args[1], bytes)
        value = parse_integer(old if isinstance(old, bytes) else b"0") + parse_integer(args[2])
        if not -(2**63) <= value < 2**63:
            raise CommandError(Error(b"ERR increment or decrement would overflow"))
        self.data[args[1]] = b"%d" % value
        self._mark_changed(args[1])
        return value

    def cmd_incr(self, args: list[bytes]) -> Value:
        return self.cmd_incrby([args[0], args[1], b"1"])

    def cmd_decr(self, args: list[bytes]) -> Value:
        return self.cmd_incrby([args[0], args[1], b"-1"])

    def cmd_decrby(self, args: list[bytes]) -> Value:
        return self.cmd_incrby([args[0], args[1], b"%d" % -parse_integer(args[2])])

    def cmd_incrbyfloat(self, args: list[bytes]) -> Value:
        old = self._get(args[1], bytes)
        value = format_score(parse_float(old if isinstance(old, bytes) else b"0") + parse_float(args[2]))
        self.data[args[1]] = value
        self._mark_changed(args[1])
        self._replicated = [[b"SET", args[1], value, b"KEEPTTL"]]
        return value

    # ---- Hashes ----

    def _hash(self, key: bytes) -> dict[bytes, bytes]:
        value = self._get(key, dict)
        return value if isinstance(value, dict) else {}  # type: ignore[return-value]

    def cmd_hset(self, args: list[bytes]) -> Value:
        if len(args) < 4 or len(args) % 2:
            raise CommandError(Error(b"ERR wrong number of arguments for 'hset' command"))
        table = self._get_or_create(args[1], dict)
        assert isinstance(table, dict)
        new = 0
        for name, value in zip(args[2::2], args[3::2], strict=True):
            new += name not in table
            table[name] = value  # type: ignore[assignment]
        self._mark_changed(args[1])
        return new

    def cmd_hmset(self, args: list[bytes]) -> None:
        self.cmd_hset(args)

    def cmd_hsetnx(self, args: list[bytes]) -> Value:
        return 0 if args[2] in self._hash(args[1]) else self.cmd_hset(args)

    def cmd_hget(self, args: list[bytes]) -> Value:
        return self._hash(args[1]).get(args[2], NIL)

    def cmd_hmget(self, args: list[bytes]) -> Value:
        table = self._hash(args[1])
        return Array(tuple(table.get(name, NIL) for name in args[2:]))

    def cmd_hgetall(self, args: list[bytes]) -> Value:
        return Map(tuple(self._hash(args[1]).items()))

    def cmd_hkeys(self, args: list[bytes]) -> Value:
        return Array(tuple(self._hash(args[1])))

    def cmd_hvals(self, args: list[bytes]) -> Value:
        return Array(tuple(self._hash(args[1]).values()))

    def cmd_hlen(self, args: list[bytes]) -> Value:
        return len(self._hash(args[1]))

    def cmd_hexists(self, args: list[bytes]) -> Value:
        return int(args[2] in self._hash(args[1]))

    def cmd_hdel(self, args: list[bytes]) -> Value:
        table = self._hash(args[1])
        removed = sum([table.pop(name, None) is not None for name in args[2:]])
        if removed:
            self._mark_changed(args[1])
        self._remove_if_empty(args[1])
        return removed

    def cmd_hincrby(self, args: list[bytes]) -> Value:
        value = parse_integer(self._hash(args[1]).get(args[2], b"0")) + parse_integer(args[3])
        self.cmd_hset([args[0], args[1], args[2], b"%d" % value])
        return value

    # ---- Lists ----

    def _list(self, key: bytes) -> list[bytes]:
        value = self._get(key, list)
        return value if isinstance(value, list) else []

    def cmd_rpush(self, args: list[bytes]) -> Value:
        values = self._get_or_create(args[1], list)
        assert isinstance(values, list)
        values += args[2:]
        self._mark_changed(args[1])
        return len(values)

    def cmd_lpush(self, args: list[bytes]) -> Value:
        values = self._get_or_create(args[1], list)
        assert isinstance(values, list)
        values[:0] = args[:1:-1]
        self._mark_changed(args[1])
        return len(values)

    def _pop(self, args: list[bytes], index: int) -> Value:
        values = self._list(args[1])
        if len(args) > 2:
            if not values:
                return Null(b"*")
            popped = [values.pop(index) for _ in range(min(parse_integer(args[2]), len(values)))]
        elif not values:
            return NIL
        else:
            popped = [values.pop(index)]
        self._mark_changed(args[1])
        self._remove_if_empty(args[1])
        return Array(tuple(popped)) if len(args) > 2 else popped[0]

    def cmd_lpop(self, args: list[bytes]) -> Value:
        return self._pop(args, 0)

    def cmd_rpop(self, args: list[bytes]) -> Value:
        return self._pop(args, -1)

    def cmd_llen(self, args: list[bytes]) -> Value:
        return len(self._list(args[1]))

    def cmd_lindex(self, args: list[bytes]) -> Value:
        values, index = self._list(args[1]), parse_integer(args[2])
        return values[index] if -len(values) <= index < len(values) else NIL

    def cmd_lrange(self, args: list[bytes]) -> Value:
        values = self._list(args[1])
        low, high = _clamp_range(parse_integer(args[2]), parse_integer(args[3]), len(values))
        return Array(tuple(values[low : high + 1]))

    # ---- Sets ----

    def _set(self, key: bytes) -> set[bytes]:
        value = self._get(key, set)
        return value if isinstance(value, set) else set()

    def cmd_sadd(self, args: list[bytes]) -> Value:
        values = self._get_or_create(args[1], set)
        assert isinstance(values, set)
        before = len(values)
        values.update(args[2:])
        if len(values) != before:
            self._mark_changed(args[1])
        return len(values) - before

    def cmd_srem(self, args: list[bytes]) -> Value:
        values = self._set(args[1])
        before = len(values)
        values.difference_update(args[2:])
        removed = before - len(values)
        if removed:
            self._mark_changed(args[1])
        self._remove_if_empty(args[1])
        return removed

    def cmd_smembers(self, args: list[bytes]) -> Value:
        return SetOf(tuple(sorted(self._set(args[1]))))

    def cmd_sismember(self, args: list[bytes]) -> Value:
        return int(args[2] in self._set(args[1]))

    def cmd_scard(self, args: list[bytes]) -> Value:
        return len(self._set(args[1]))

    # ---- Sorted sets ----

    def _zset(self, key: bytes) -> Zset:
        value = self._get(key, Zset)
        return value if isinstance(value, Zset) else Zset()

    def cmd_zadd(self, args: list[bytes]) -> Value:
        if len(args) < 4 or len(args) % 2:
            raise CommandError(SYNTAX)
        pairs = [(parse_float(score), name) for score, name in zip(args[2::2], args[3::2], strict=True)]
        values = self._get_or_create(args[1], Zset)
        assert isinstance(values, Zset)
        before = len(values)
        values.update({name: score for score, name in pairs})
        self._mark_changed(args[1])
        return len(values) - before

    def cmd_zincrby(self, args: list[bytes]) -> Value:
        score = self._zset(args[1]).get(args[3], 0.0) + parse_float(args[2])
        self.cmd_zadd([args[0], args[1], format_score(score), args[3]])
        return Double(format_score(score))

    def cmd_zrem(self, args: list[bytes]) -> Value:
        values = self._zset(args[1])
        removed = sum([values.pop(name, None) is not None for name in args[2:]])
        if removed:
            self._mark_changed(args[1])
        self._remove_if_empty(args[1])
        return removed

    def cmd_zcard(self, args: list[bytes]) -> Value:
        return len(self._zset(args[1]))

    def cmd_zscore(self, args: list[bytes]) -> Value:
        score = self._zset(args[1]).get(args[2])
        return NIL if score is None else Double(format_score(score))

    def cmd_zrange(self, args: list[bytes]) -> Value:
        ranked = self._zset(args[1]).ranked()
        options = [option.upper() for option in args[4:]]
        if b"REV" in options:
            ranked.reverse()
        low, high = _clamp_range(parse_integer(args[2]), parse_integer(args[3]), len(ranked))
        selected = ranked[low : high + 1]
        if b"WITHSCORES" not in options:
            return Array(tuple(name for name, _ in selected))
        pairs = [(name, Double(format_score(score))) for name, score in selected]
        if self.protocol == 3:  # RESP3 replies to ZRANGE with an array of pairs, RESP2 with one flat array
            return Array(tuple(Array(pair) for pair in pairs))
        return Array(tuple(part for pair in pairs for part in pair))

    # ---- Streams ----

    def cmd_xadd(self, args: list[bytes]) -> Value:
        index, max_length, producer_key = 2, None, None
        while index < len(args):
            option = args[index].upper()
            if option == b"NOMKSTREAM":
                if self._live(args[1]) is None:
                    return NIL
                index += 1
            elif option == b"MAXLEN":
                index += 2 if args[index + 1] in (b"~", b"=") else 1
                max_length = parse_integer(args[index])
                index += 1
            elif option == b"IDMP":
                producer_key = (args[index + 1], args[index + 2])
                index += 3
            else:
                break
        fields = args[index + 1 :]
        if not fields or len(fields) % 2:
            raise CommandError(Error(b"ERR wrong number of arguments for 'xadd' command"))
        stream = self._get_or_create(args[1], Stream)
        assert isinstance(stream, Stream)
        while (
            stream.idempotency_keys and next(iter(stream.idempotency_keys.values()))[1] + self.window_ms <= self.now_ms
        ):
            stream.idempotency_keys.popitem(last=False)
        if producer_key is not None and producer_key in stream.idempotency_keys:
            return format_stream_id(stream.idempotency_keys[producer_key][0])
        if args[index] == b"*":
            entry_id = max((self.now_ms, 0), (stream.last_id[0], stream.last_id[1] + 1))
        else:
            entry_id = parse_stream_id(args[index], 0)
            if entry_id <= stream.last_id:
                raise CommandError(
                    Error(b"ERR The ID specified in XADD is equal or smaller than the target stream top item")
                )
        stream.entries[entry_id] = fields
        stream.last_id = entry_id
        if producer_key is not None:
            stream.idempotency_keys[producer_key] = (entry_id, self.now_ms)
        if max_length is not None:
            while len(stream.entries) > max_length:
                stream.entries.popitem(last=False)
        self._mark_changed(args[1])
        self._replicated = [[*args[:index], format_stream_id(entry_id), *fields]]
        return format_stream_id(entry_id)

    def _stream(self, key: bytes) -> Stream:
        value = self._get(key, Stream)
        return value if isinstance(value, Stream) else Stream()

    def cmd_xlen(self, args: list[bytes]) -> Value:
        return len(self._stream(args[1]).entries)

    def _xrange(self, args: list[bytes], reverse: bool) -> Value:
        entries = list(self._stream(args[1]).entries.items())
        low, high = (args[3], args[2]) if reverse else (args[2], args[3])
        first, last = parse_stream_id(low, 0), parse_stream_id(high, 2**64 - 1)
        entries = [entry for entry in entries if first <= entry[0] <= last]
        if reverse:
            entries.reverse()
        if len(args) > 4:
            if args[4].upper() != b"COUNT":
                raise CommandError(SYNTAX)
            entries = entries[: max(0, parse_integer(args[5]))]
        return Array(tuple(Array((format_stream_id(entry_id), Array(tuple(fields)))) for entry_id, fields in entries))

    def cmd_xrange(self, args: list[bytes]) -> Value:
        return self._xrange(args, False)

    def cmd_xrevrange(self, args: list[bytes]) -> Value:
        return self._xrange(args, True)

    # ---- Full copies ----

    def dump(self) -> list[list[bytes]]:
        """Commands that recreate these data, idempotency keys included."""
        commands: list[list[bytes]] = []
        for key, value in self.data.items():
            if isinstance(value, bytes):
                commands.append([b"SET", key, value])
            elif isinstance(value, Zset):
                commands += [[b"ZADD", key, format_score(score), name] for name, score in value.items()]
            elif isinstance(value, dict):
                commands += [[b"HSET", key, name, content] for name, content in value.items()]  # type: ignore[list-item]
            elif isinstance(value, list):
                commands.append([b"RPUSH", key, *value])
            elif isinstance(value, set):
                commands.append([b"SADD", key, *sorted(value)])
            else:
                producer_keys = {entry_id: pair for pair, (entry_id, _) in value.idempotency_keys.items()}
                for entry_id, fields in value.entries.items():
                    pair = producer_keys.get(entry_id)
                    commands.append(
                        [b"XADD", key, *((b"IDMP", *pair) if pair else ()), format_stream_id(entry_id), *fields]
                    )
        commands += [
            [b"PEXPIREAT", key, b"%d" % expires_ms] for key, expires_ms in self.expires_ms.items() if key in self.data
        ]
        return commands


def _clamp_range(low: int, high: int, size: int) -> tuple[int, int]:
    """Convert both ends of a range as the specification does: negative from the end, limited to what exists."""
    low = max(0, low + size if low < 0 else low)
    return low, min(size - 1, high + size if high < 0 else high)
