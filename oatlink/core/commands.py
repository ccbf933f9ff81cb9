"""The table of the protocol's commands, and the hash slot of a key.

Sources: the command reference of redis.io (arity, key positions, flags) and the cluster specification (slots,
hash tags). This module has only facts about commands; `oatlink.core.classify` decides their classes.

Entries of `TABLE` are separated by `|` or a line break. Each has: name, arity (negative: at least), kind, first key,
last key (negative: from the end), step. `numkeys:N` means that argument N is the number of keys that follow it, and
`streams` that the keys are the first half of the arguments after STREAMS.

Kinds: r read; w write; l answered by the gateway; t transaction control; b may block or subscribe, refused;
n write without a key, nr read without a key, both served only if there is a single group; s script, treated as a write
because its effects are not known.
An unknown command is refused: without its key positions its group is not known, and a wrong guess could split one
user's data over two groups.
"""

from dataclasses import dataclass
from enum import Enum

SLOTS = 16384  # cluster specification, "Key distribution model"

TABLE = """
get 2 r 1 1 1|set -3 w 1 1 1|setnx 3 w 1 1 1|setex 4 w 1 1 1|psetex 4 w 1 1 1|getset 3 w 1 1 1|getdel 2 w 1 1 1
getex -2 w 1 1 1|append 3 w 1 1 1|strlen 2 r 1 1 1|getrange 4 r 1 1 1|substr 4 r 1 1 1|setrange 4 w 1 1 1
incr 2 w 1 1 1|decr 2 w 1 1 1|incrby 3 w 1 1 1|decrby 3 w 1 1 1|incrbyfloat 3 w 1 1 1|mget -2 r 1 -1 1
mset -3 w 1 -1 2|msetnx -3 w 1 -1 2|lcs -3 r 1 2 1|setbit 4 w 1 1 1|getbit 3 r 1 1 1|bitcount -2 r 1 1 1
bitpos -3 r 1 1 1|bitop -4 w 2 -1 1|bitfield -2 w 1 1 1|bitfield_ro -2 r 1 1 1
del -2 w 1 -1 1|unlink -2 w 1 -1 1|exists -2 r 1 -1 1|touch -2 r 1 -1 1|type 2 r 1 1 1|expire -3 w 1 1 1
pexpire -3 w 1 1 1|expireat -3 w 1 1 1|pexpireat -3 w 1 1 1|ttl 2 r 1 1 1|pttl 2 r 1 1 1|expiretime 2 r 1 1 1
pexpiretime 2 r 1 1 1|persist 2 w 1 1 1|rename 3 w 1 2 1|renamenx 3 w 1 2 1|copy -3 w 1 2 1|dump 2 r 1 1 1
restore -4 w 1 1 1|sort -2 w 1 1 1|sort_ro -2 r 1 1 1|object -2 r 2 2 1|memory -2 r 2 2 1
hset -4 w 1 1 1|hsetnx 4 w 1 1 1|hmset -4 w 1 1 1|hget 3 r 1 1 1|hmget -3 r 1 1 1|hdel -3 w 1 1 1|hlen 2 r 1 1 1
hstrlen 3 r 1 1 1|hkeys 2 r 1 1 1|hvals 2 r 1 1 1|hgetall 2 r 1 1 1|hexists 3 r 1 1 1|hincrby 4 w 1 1 1
hincrbyfloat 4 w 1 1 1|hscan -3 r 1 1 1|hrandfield -2 r 1 1 1
lpush -3 w 1 1 1|rpush -3 w 1 1 1|lpushx -3 w 1 1 1|rpushx -3 w 1 1 1|lpop -2 w 1 1 1|rpop -2 w 1 1 1
llen 2 r 1 1 1|lindex 3 r 1 1 1|lset 4 w 1 1 1|linsert 5 w 1 1 1|lrange 4 r 1 1 1|ltrim 4 w 1 1 1
lrem 4 w 1 1 1|lpos -3 r 1 1 1|rpoplpush 3 w 1 2 1|lmove 5 w 1 2 1|lmpop -4 w numkeys:1
sadd -3 w 1 1 1|srem -3 w 1 1 1|smembers 2 r 1 1 1|sismember 3 r 1 1 1|smismember -3 r 1 1 1|scard 2 r 1 1 1
spop -2 w 1 1 1|srandmember -2 r 1 1 1|smove 4 w 1 2 1|sinter -2 r 1 -1 1|sinterstore -3 w 1 -1 1
sintercard -3 r numkeys:1|sunion -2 r 1 -1 1|sunionstore -3 w 1 -1 1|sdiff -2 r 1 -1 1|sdiffstore -3 w 1 -1 1
sscan -3 r 1 1 1
zadd -4 w 1 1 1|zincrby 4 w 1 1 1|zrem -3 w 1 1 1|zcard 2 r 1 1 1|zcount 4 r 1 1 1|zlexcount 4 r 1 1 1
zscore 3 r 1 1 1|zmscore -3 r 1 1 1|zrank -3 r 1 1 1|zrevrank -3 r 1 1 1|zrange -4 r 1 1 1|zrevrange -4 r 1 1 1
zrangebyscore -4 r 1 1 1|zrevrangebyscore -4 r 1 1 1|zrangebylex -4 r 1 1 1|zrevrangebylex -4 r 1 1 1
zrangestore -5 w 1 2 1|zremrangebyrank 4 w 1 1 1|zremrangebyscore 4 w 1 1 1|zremrangebylex 4 w 1 1 1
zpopmin -2 w 1 1 1|zpopmax -2 w 1 1 1|zrandmember -2 r 1 1 1|zscan -3 r 1 1 1|zunion -3 r numkeys:1
zinter -3 r numkeys:1|zdiff -3 r numkeys:1|zintercard -3 r numkeys:1|zmpop -4 w numkeys:1
zunionstore -4 w 1 1 1 numkeys:2|zinterstore -4 w 1 1 1 numkeys:2|zdiffstore -4 w 1 1 1 numkeys:2
geoadd -5 w 1 1 1|geopos -2 r 1 1 1|geodist -4 r 1 1 1|geohash -2 r 1 1 1|geosearch -7 r 1 1 1
geosearchstore -8 w 1 2 1|pfadd -2 w 1 1 1|pfcount -2 w 1 -1 1|pfmerge -2 w 1 -1 1
xadd -5 w 1 1 1|xlen 2 r 1 1 1|xrange -4 r 1 1 1|xrevrange -4 r 1 1 1|xdel -3 w 1 1 1|xtrim -4 w 1 1 1
xread -4 r streams|xreadgroup -7 w streams|xack -4 w 1 1 1|xgroup -2 w 2 2 1|xinfo -2 r 2 2 1|xpending -3 r 1 1 1
xclaim -6 w 1 1 1|xautoclaim -6 w 1 1 1|xsetid -3 w 1 1 1|xcfgset -2 w 1 1 1
eval -3 s numkeys:2|evalsha -3 s numkeys:2|fcall -3 s numkeys:2|eval_ro -3 r numkeys:2|evalsha_ro -3 r numkeys:2
fcall_ro -3 r numkeys:2
multi 1 t|exec 1 t|discard 1 t|watch -2 t 1 -1 1|unwatch 1 t
script -2 n|function -2 n|dbsize 1 nr|keys 2 nr|scan -2 nr|randomkey 1 nr|flushall -1 n|flushdb -1 n|publish 3 n
spublish 3 w 1 1 1|time 1 nr|wait 3 b|waitaof 4 b
ping -1 l|echo 2 l|hello -1 l|auth -2 l|client -2 l|command -1 l|select 2 l|quit -1 l|reset 1 l|info -1 l
readonly 1 l|readwrite 1 l|lolwut -1 l|asking 1 l
blpop -3 b|brpop -3 b|brpoplpush 4 b|blmove 6 b|blmpop -5 b|bzpopmin -3 b|bzpopmax -3 b|bzmpop -5 b
subscribe -2 b|psubscribe -2 b|ssubscribe -2 b|unsubscribe -1 b|punsubscribe -1 b|sunsubscribe -1 b|monitor 1 b
"""


class Kind(Enum):
    """What a command does, as far as routing depends on it."""

    READ = "read"
    WRITE = "write"
    SCRIPT = "script"
    LOCAL = "local"
    TRANSACTION = "transaction"
    BLOCKING = "blocking"
    KEYLESS = "keyless write"
    KEYLESS_READ = "keyless read"


_KINDS = {
    "r": Kind.READ,
    "w": Kind.WRITE,
    "s": Kind.SCRIPT,
    "l": Kind.LOCAL,
    "t": Kind.TRANSACTION,
    "b": Kind.BLOCKING,
    "n": Kind.KEYLESS,
    "nr": Kind.KEYLESS_READ,
}


@dataclass(frozen=True, slots=True)
class Spec:
    """An entry of the table.

    `first` is 0 if there are no keys at fixed positions. `count_at` is the position of the argument with the number of
    keys, or 0.
    """

    name: str
    arity: int
    kind: Kind
    first: int = 0
    last: int = 0
    step: int = 1
    count_at: int = 0
    streams: bool = False

    def arity_fits(self, count: int) -> bool:
        """Whether the command may have this number of arguments, including its name."""
        return count == self.arity if self.arity > 0 else count >= -self.arity

    def keys(self, args: list[bytes]) -> list[bytes]:
        """The keys among a command's arguments. Raises `ValueError` with a server's error text if these are invalid."""
        if self.first == 1 and self.last == 1:
            keys = [args[1]]
        elif self.first:
            last = self.last if self.last >= 0 else len(args) + self.last
            keys = args[self.first : last + 1 : self.step]
        else:
            keys = []
        if self.count_at:
            try:
                count = int(args[self.count_at])
            except (ValueError, IndexError):
                raise ValueError("ERR value is not an integer or out of range") from None
            if count < 0 or count > len(args) - self.count_at - 1:
                raise ValueError("ERR Number of keys can't be greater than number of args")
            keys = keys + args[self.count_at + 1 : self.count_at + 1 + count]
        if self.streams:
            upper = [arg.upper() for arg in args]
            if b"STREAMS" not in upper:
                raise ValueError("ERR syntax error")
            rest = args[upper.index(b"STREAMS") + 1 :]
            if len(rest) < 2 or len(rest) % 2:
                raise ValueError(
                    f"ERR Unbalanced '{self.name}' list of streams: for each stream key an ID, '+', "
                    "or '$' must be specified."
                )
            keys = rest[: len(rest) // 2]
        return keys


def _parse(table: str) -> dict[bytes, Spec]:
    specs = {}
    for row in table.replace("|", "\n").split("\n"):
        columns = row.split()
        if not columns:
            continue
        name, arity, kind, *rest = columns
        positions: dict[str, int] = {}
        numbers = [int(column) for column in rest if column.lstrip("-").isdigit()]
        if numbers:
            positions = dict(zip(("first", "last", "step"), numbers, strict=True))
        count_positions = [int(column.split(":")[1]) for column in rest if column.startswith("numkeys:")]
        spec = Spec(
            name,
            int(arity),
            _KINDS[kind],
            **positions,
            count_at=count_positions[0] if count_positions else 0,
            streams="streams" in rest,
        )
        specs[name.encode()] = specs[name.upper().encode()] = spec
    return specs


COMMANDS = _parse(TABLE)
"""All known commands by name, in lower and in upper case."""


def find_command(name: bytes) -> Spec | None:
    """The entry of a command in any case, or None."""
    return COMMANDS.get(name) or COMMANDS.get(name.lower())


def blocks(spec: Spec, args: list[bytes]) -> bool:
    """Whether this call would wait at the server for other clients' commands."""
    return spec.kind is Kind.BLOCKING or (spec.streams and any(arg.upper() == b"BLOCK" for arg in args[1:-2]))


def idempotency_key(spec: Spec, args: list[bytes]) -> tuple[bytes, bytes] | None:
    """The producer and key by which a server drops repeats: `XADD key ... IDMP producer key ...`, else None.

    `IDMPAUTO` derives the key from the entry's fields, which are the same in a repeat. The key returned is then empty.
    """
    if spec.name != "xadd":
        return None
    for index in range(2, min(len(args), 9)):
        word = args[index].upper()
        if word == b"IDMP" and index + 3 < len(args):
            return args[index + 1], args[index + 2]
        if word == b"IDMPAUTO" and index + 2 < len(args):
            return args[index + 1], b""
        if word == b"*" or (word[:1].isdigit() and args[index - 1].upper() not in (b"MAXLEN", b"~", b"=", b"LIMIT")):
            return None
    return None


def _crc16_table() -> tuple[int, ...]:
    table = []
    for byte in range(256):
        value = byte << 8
        for _ in range(8):
            value = ((value << 1) ^ 0x1021 if value & 0x8000 else value << 1) & 0xFFFF
        table.append(value)
    return tuple(table)


_CRC16 = _crc16_table()


def slot_of(key: bytes) -> int:
    """The hash slot of a key: CRC16 (XMODEM) of it, or of its first nonempty hash tag, modulo 16384."""
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            key = key[start + 1 : end]
    value = 0
    for byte in key:
        value = ((value << 8) & 0xFFFF) ^ _CRC16[(value >> 8) ^ byte]
    return value & (SLOTS - 1)
