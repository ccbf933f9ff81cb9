"""What a statement does, as far as routing is concerned: reads, writes, locks, changes its session. No I/O.

SQL is parsed by pglast, the parser of the server itself; RESP goes by the command table. When in doubt it is a write: a
write taken for a read may be lost, a read taken for a write only costs the primary some work.

A statement is a read only where every part of it is known to be one: its statement kind, each common table expression,
each function by name (`READS`, those of `pg_catalog` that neither write nor lock nor depend on the session), each
operator and no schema beside `pg_catalog` for either. What this cannot know are views and types whose own definitions
write; a standby refuses those with 25006 and has run nothing.

`session`: what it leaves in its session, so that later statements must stay with the same connection: settings,
prepared statements, temporary tables, cursors, session locks, channels listened to.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from pglast import ast, enums, parse_sql
from pglast.parser import ParseError

from oatlink.core.commands import Kind, find_command


class Does(IntEnum):
    """What a statement does; of several the greatest counts."""

    READ = 0
    CONTROL = 1  # begins, ends or marks a transaction
    SESSION = 2  # changes the session and nothing else
    LOCK = 3  # takes locks that only the primary has
    WRITE = 4
    UNKNOWN = 5  # not understood: treated as a write

    @property
    def needs_primary(self) -> bool:
        """Whether it must never reach a replica."""
        return self >= Does.LOCK


@dataclass(frozen=True, slots=True)
class Reading:
    """What is known of a text of one or several statements.

    `session`: what stays in the session (`settings`, `prepared`, `temporary`, `cursor`, `locks`, `listen`, `unknown`).
    `uses`: the prepared statements by name that it runs; until they are known (`with_prepared`) it is `UNKNOWN`, and
    `rest` is what it does beside them. `control`: `begin`, `begin read only`, `end` or
    `mark`, in order. `local`: it changes settings of its transaction only.
    """

    does: Does
    count: int = 1
    session: frozenset[str] = frozenset()
    uses: tuple[str, ...] = ()
    control: tuple[str, ...] = ()
    local: bool = False
    prepares: tuple[tuple[str, Does], ...] = ()
    rest: Does = Does.UNKNOWN


_UNKNOWN = Reading(Does.UNKNOWN, session=frozenset(("unknown",)))

# Of pg_catalog: without effects and without locks, so harmless at a replica; also those that only draw or tell time.
_HARMLESS = """
abs acos age any_value array_agg array_append array_cat array_dims array_length array_lower array_ndims
array_position array_positions array_prepend array_remove array_replace array_to_json array_to_string
array_upper ascii asin atan atan2 avg bit_and bit_length bit_or bool_and bool_or btrim cardinality cbrt ceil
ceiling char_length character_length chr clock_timestamp coalesce concat concat_ws convert convert_from
convert_to corr cos cot count covar_pop covar_samp cume_dist current_database current_schema current_schemas
current_user date_bin date_part date_trunc decode degrees dense_rank div encode every exp extract factorial
first_value floor format format_type gcd gen_random_uuid generate_series generate_subscripts get_bit get_byte
greatest has_column_privilege has_database_privilege has_function_privilege has_schema_privilege
has_sequence_privilege has_table_privilege has_type_privilege initcap isfinite json_agg json_array_elements
json_array_elements_text json_array_length json_build_array json_build_object json_each json_each_text
json_extract_path json_extract_path_text json_object json_object_agg json_object_keys json_populate_record
json_strip_nulls json_to_record json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text
jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path
jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg jsonb_object_keys jsonb_path_exists
jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_pretty jsonb_set
jsonb_strip_nulls jsonb_to_record jsonb_typeof justify_days justify_hours justify_interval lag last_value lcm
lead least left length ln localtime localtimestamp log log10 lower lpad ltrim make_date make_interval
make_time make_timestamp make_timestamptz max md5 min mod mode now nth_value ntile nullif num_nonnulls
num_nulls obj_description octet_length overlay parse_ident percent_rank percentile_cont percentile_disc
pg_backend_pid pg_client_encoding pg_column_size pg_database_size pg_encoding_to_char pg_get_constraintdef
pg_get_expr pg_get_functiondef pg_get_indexdef pg_get_userbyid pg_get_viewdef pg_indexes_size
pg_is_in_recovery pg_last_wal_receive_lsn pg_last_wal_replay_lsn pg_last_xact_replay_timestamp
pg_postmaster_start_time pg_relation_size pg_size_pretty pg_sleep pg_table_is_visible pg_table_size
pg_total_relation_size pg_type_is_visible pg_typeof pi position power quote_ident quote_literal quote_nullable
radians random rank regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace
regexp_split_to_array regexp_split_to_table regexp_substr regr_slope repeat replace reverse right round
row_number row_to_json rpad rtrim scale session_user sha224 sha256 sha384 sha512 shobj_description sign sin
split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array
string_to_table strpos substr substring sum tan timeofday timezone to_char to_date to_hex to_json to_jsonb to_number
to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trim_scale trunc ts_headline ts_rank
ts_rank_cd unnest upper user uuid_extract_timestamp uuid_extract_version var_pop var_samp variance version
width_bucket xmlagg
"""
READS = frozenset(_HARMLESS.split())
_SESSION_FUNCTIONS = {"set_config": "settings", "currval": "sequence", "lastval": "sequence"}
_SHARED = frozenset(("pg_export_snapshot",))


class _Walk:
    """Goes through one statement and gathers what it does."""

    def __init__(self) -> None:
        self.does = Does.READ
        self.session: set[str] = set()
        self.uses: list[str] = []
        self.control: list[str] = []
        self.prepares: list[tuple[str, Does]] = []
        self.local = False

    def raise_to(self, does: Does) -> None:
        """At least this."""
        self.does = max(self.does, does)

    def statement(self, node: ast.Node) -> None:
        """A statement by its kind; one that is not known here is a write."""
        known = getattr(self, f"_{type(node).__name__}", None)
        if known is None:
            self.raise_to(Does.WRITE)
            self.inside(node)
        else:
            known(node)

    def inside(self, value: Any) -> None:
        """Every node within one."""
        if isinstance(value, tuple):
            for one in value:
                self.inside(one)
        elif isinstance(value, ast.Node):
            check = getattr(self, f"_in_{type(value).__name__}", None)
            if check is not None:
                check(value)
            for name in value:
                self.inside(getattr(value, name))

    # ---- Expressions, and statements within statements ----

    def _in_FuncCall(self, node: Any) -> None:
        names = [part.sval for part in node.funcname]
        if len(names) > 2 or (len(names) == 2 and names[0] != "pg_catalog"):
            self.raise_to(Does.WRITE)  # somebody's own function
            return
        name = names[-1]
        if name in READS:
            return
        if name in _SESSION_FUNCTIONS:
            self.session.add(_SESSION_FUNCTIONS[name])
            self.raise_to(Does.SESSION)
        elif name in _SHARED:
            self.session.add("snapshot")
            self.raise_to(Does.LOCK)
        elif "advisory" in name and name.startswith("pg_"):
            self.raise_to(Does.LOCK)
            if "xact" not in name:
                self.session.add("locks")
        else:
            self.raise_to(Does.WRITE)

    def _in_A_Expr(self, node: Any) -> None:
        if len(node.name or ()) > 1 and node.name[0].sval != "pg_catalog":
            self.raise_to(Does.WRITE)

    def _in_SelectStmt(self, node: Any) -> None:
        if node.lockingClause:
            self.raise_to(Does.LOCK)
        if node.intoClause:
            self._made(node.intoClause.rel)

    def _made(self, relation: Any) -> None:
        """A relation is made; a temporary one stays in its session."""
        self.raise_to(Does.WRITE)
        if relation is not None and relation.relpersistence == "t":
            self.session.add("temporary")

    def _in_InsertStmt(self, _: Any) -> None:
        self.raise_to(Does.WRITE)

    _in_UpdateStmt = _in_DeleteStmt = _in_MergeStmt = _in_InsertStmt

    def _in_RangeVar(self, node: Any) -> None:
        if node.schemaname == "pg_temp":
            self.session.add("temporary")

    # ---- Statements ----

    def _SelectStmt(self, node: Any) -> None:
        self.inside(node)

    def _VariableShowStmt(self, node: Any) -> None:
        pass

    def _ExplainStmt(self, node: Any) -> None:
        within = _Walk()
        within.statement(node.query)
        runs = False
        for option in node.options or ():
            if option.defname == "analyze":
                given = getattr(option.arg, "sval", None)
                if given is None:
                    given = str(getattr(option.arg, "ival", getattr(option.arg, "boolval", "true")))
                runs = given.lower() not in ("false", "off", "0")
        if runs:
            self._take(within)
        elif within.does is Does.UNKNOWN:
            self.raise_to(Does.UNKNOWN)

    def _take(self, other: "_Walk") -> None:
        self.raise_to(other.does)
        self.session |= other.session
        self.uses += other.uses
        self.control += other.control
        self.prepares += other.prepares
        self.local = self.local or other.local

    def _CopyStmt(self, node: Any) -> None:
        if node.is_from or node.is_program or node.filename:
            self.raise_to(Does.WRITE)  # a file or program at the server is one of its own, not of a replica
        if node.query is not None:
            self.statement(node.query)

    def _TransactionStmt(self, node: Any) -> None:
        kind = node.kind
        kinds = enums.TransactionStmtKind
        if kind in (kinds.TRANS_STMT_PREPARE, kinds.TRANS_STMT_COMMIT_PREPARED, kinds.TRANS_STMT_ROLLBACK_PREPARED):
            self.raise_to(Does.WRITE)
            self.control.append("end")
            return
        self.raise_to(Does.CONTROL)
        if kind in (kinds.TRANS_STMT_BEGIN, kinds.TRANS_STMT_START):
            self.control.append("begin read only" if _read_only(node.options) else "begin")
        elif kind in (kinds.TRANS_STMT_COMMIT, kinds.TRANS_STMT_ROLLBACK):
            self.control.append("end")
            if node.chain:
                self.control.append("begin")
        else:
            self.control.append("mark")

    def _VariableSetStmt(self, node: Any) -> None:
        if node.name == "TRANSACTION" or node.is_local:
            self.raise_to(Does.CONTROL)
            self.local = True
        else:
            self.raise_to(Does.SESSION)
            self.session.add("settings")
        self.inside(node.args)

    def _PrepareStmt(self, node: Any) -> None:
        within = _Walk()
        within.statement(node.query)
        self.prepares.append((node.name, within.does))
        self.raise_to(Does.SESSION)
        self.session.add("prepared")

    def _ExecuteStmt(self, node: Any) -> None:
        self.uses.append(node.name)
        self.inside(node.params)

    def _DeallocateStmt(self, node: Any) -> None:
        self.raise_to(Does.SESSION)
        self.session.add("prepared")

    def _DeclareCursorStmt(self, node: Any) -> None:
        self.statement(node.query)
        self.raise_to(Does.SESSION)
        self.session.add("cursor")

    def _FetchStmt(self, node: Any) -> None:
        self.raise_to(Does.SESSION)
        self.session.add("cursor")

    _ClosePortalStmt = _FetchStmt

    def _ListenStmt(self, node: Any) -> None:
        # A standby refuses LISTEN: notices are told by the primary alone.
        self.raise_to(Does.LOCK)
        self.session.add("listen")

    _UnlistenStmt = _ListenStmt

    def _LockStmt(self, node: Any) -> None:
        self.raise_to(Does.LOCK)

    def _DiscardStmt(self, node: Any) -> None:
        self.raise_to(Does.SESSION)
        self.session.add("settings")

    _LoadStmt = _DiscardStmt

    def _ConstraintsSetStmt(self, node: Any) -> None:
        self.raise_to(Does.CONTROL)
        self.local = True

    def _CreateStmt(self, node: Any) -> None:
        self._made(node.relation)

    def _ViewStmt(self, node: Any) -> None:
        self._made(node.view)

    def _CreateTableAsStmt(self, node: Any) -> None:
        self._made(node.into.rel)


def _read_only(options: Any) -> bool:
    """Whether a transaction is begun READ ONLY; the last option counts."""
    found = False
    for option in options or ():
        if option.defname == "transaction_read_only":
            found = bool(option.arg.val.ival)
    return found


def read_sql(text: str) -> Reading:
    """What a text of SQL does. Text that the server's parser refuses is `UNKNOWN`: the primary says what is wrong."""
    try:
        parsed = parse_sql(text)
    except (ParseError, RecursionError, ValueError):
        return _UNKNOWN
    whole = _Walk()
    try:
        for one in parsed:
            if one.stmt is not None:
                whole.statement(one.stmt)
    except RecursionError:  # a statement nested deeper than this process can follow
        return _UNKNOWN
    return Reading(
        Does.UNKNOWN if whole.uses else whole.does,
        len(parsed),
        frozenset(whole.session),
        tuple(whole.uses),
        tuple(whole.control),
        whole.local,
        tuple(whole.prepares),
        whole.does,
    )


_COMMANDS = {
    Kind.READ: Does.READ,
    Kind.KEYLESS_READ: Does.READ,
    Kind.LOCAL: Does.SESSION,
    Kind.TRANSACTION: Does.CONTROL,
    Kind.WRITE: Does.WRITE,
    Kind.SCRIPT: Does.WRITE,
    Kind.KEYLESS: Does.WRITE,
    Kind.BLOCKING: Does.WRITE,
}


def read_command(name: bytes) -> Does:
    """What a RESP command does, by the command table; one that is not in it is `UNKNOWN`."""
    spec = find_command(name)
    return Does.UNKNOWN if spec is None else _COMMANDS[spec.kind]


class Readings:
    """A bounded cache by the statement's text; a session's prepared statements are looked up by who keeps them."""

    def __init__(self, most: int = 4_096, longest: int = 16_384) -> None:
        """`most` texts are kept, none longer than `longest` characters; the one unused for longest goes first."""
        self._most, self._longest = most, longest
        self._kept: OrderedDict[str, Reading] = OrderedDict()
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._kept)

    def read(self, text: str) -> Reading:
        """See `read_sql`."""
        found = self._kept.get(text)
        if found is not None:
            self._kept.move_to_end(text)
            self.hits += 1
            return found
        self.misses += 1
        found = read_sql(text)
        if len(text) <= self._longest:
            self._kept[text] = found
            if len(self._kept) > self._most:
                self._kept.popitem(last=False)
        return found


def with_prepared(reading: Reading, known: dict[str, Does]) -> Does:
    """What a text does once the prepared statements that it runs are known by name; an unknown one is a write."""
    return max([reading.rest, *(known.get(name, Does.UNKNOWN) for name in reading.uses)])
