"""Classifies statements for routing: whether they read, write, lock or change their session. No I/O.

SQL is parsed by pglast, which is the server's own parser; RESP commands are classified by the command table. In doubt a
statement counts as a write: a write that is classified as a read may be lost, while a read that is classified as a
write only costs the primary some work.

A statement is a read only where each part of it is known to be one: the kind of statement, each common table
expression, each function by its name (`READ_FUNCTIONS`, those of `pg_catalog` that neither write nor lock nor depend on
the session) and each operator; functions and operators of any schema other than `pg_catalog` are not. Views and types
whose own definitions write cannot be recognized; a standby refuses those with 25006 and has run nothing.

`session` is the state that a statement leaves in its session, so that later statements must use the same connection:
settings, prepared statements, temporary tables, cursors, session locks, channels that it listens to.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from pglast import ast, enums, parse_sql
from pglast.parser import ParseError

from oatlink.core.commands import Kind, find_command


class StatementEffect(IntEnum):
    """What a statement does. The effect of several statements is the greatest of theirs."""

    READ = 0
    CONTROL = 1  # begins, ends or marks a transaction
    SESSION = 2  # changes the session and nothing else
    LOCK = 3  # takes locks that only the primary has
    WRITE = 4
    UNKNOWN = 5  # not classified: treated as a write

    @property
    def needs_primary(self) -> bool:
        """Whether it must never reach a replica."""
        return self >= StatementEffect.LOCK


@dataclass(frozen=True, slots=True)
class Analysis:
    """What is known of a text of one or several statements.

    `session` names the state that stays in the session: `settings`, `prepared`, `temporary`, `cursor`, `locks`,
    `listen`, `sequence`, `snapshot` or `unknown`. `executes` has the names of the prepared statements that the text
    runs; where there are any, `effect` is `UNKNOWN` until they are looked up (`effect_with_prepared`), and
    `direct_effect` is the effect of everything else. `control` lists `begin`, `begin read only`, `end` and `mark` in
    their order. `is_local` is set where the text changes settings of its transaction only. `prepares` has the name and
    effect of each statement that it prepares.
    """

    effect: StatementEffect
    count: int = 1
    session: frozenset[str] = frozenset()
    executes: tuple[str, ...] = ()
    control: tuple[str, ...] = ()
    is_local: bool = False
    prepares: tuple[tuple[str, StatementEffect], ...] = ()
    direct_effect: StatementEffect = StatementEffect.UNKNOWN


_UNKNOWN = Analysis(StatementEffect.UNKNOWN, session=frozenset(("unknown",)))

# Functions of pg_catalog without effects and without locks, which a replica may run. Those that only draw random values
# or tell the time are among them.
_READ_FUNCTION_NAMES = """
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
READ_FUNCTIONS = frozenset(_READ_FUNCTION_NAMES.split())
_SESSION_FUNCTIONS = {"set_config": "settings", "currval": "sequence", "lastval": "sequence"}
_SNAPSHOT_FUNCTIONS = frozenset(("pg_export_snapshot",))


class _StatementVisitor:
    """Walks the parse trees of statements and collects what they do.

    A method `_NodeName` handles a statement of that kind of node, a method `_in_NodeName` a node inside a statement.
    """

    def __init__(self) -> None:
        self.effect = StatementEffect.READ
        self.session: set[str] = set()
        self.executes: list[str] = []
        self.control: list[str] = []
        self.prepares: list[tuple[str, StatementEffect]] = []
        self.is_local = False

    def add_effect(self, effect: StatementEffect) -> None:
        """Raise the collected effect to this one, unless it is greater already."""
        self.effect = max(self.effect, effect)

    def visit_statement(self, node: ast.Node) -> None:
        """Handle a statement by its kind. A kind without a method here counts as a write."""
        handle = getattr(self, f"_{type(node).__name__}", None)
        if handle is None:
            self.add_effect(StatementEffect.WRITE)
            self.visit_nodes(node)
        else:
            handle(node)

    def visit_nodes(self, value: Any) -> None:
        """Handle a node and every node inside it."""
        if isinstance(value, tuple):
            for item in value:
                self.visit_nodes(item)
        elif isinstance(value, ast.Node):
            handle = getattr(self, f"_in_{type(value).__name__}", None)
            if handle is not None:
                handle(value)
            for name in value:
                self.visit_nodes(getattr(value, name))

    # ---- Expressions, and statements within statements ----

    def _in_FuncCall(self, node: Any) -> None:
        names = [part.sval for part in node.funcname]
        if len(names) > 2 or (len(names) == 2 and names[0] != "pg_catalog"):
            self.add_effect(StatementEffect.WRITE)  # a user-defined function
            return
        name = names[-1]
        if name in READ_FUNCTIONS:
            return
        if name in _SESSION_FUNCTIONS:
            self.session.add(_SESSION_FUNCTIONS[name])
            self.add_effect(StatementEffect.SESSION)
        elif name in _SNAPSHOT_FUNCTIONS:
            self.session.add("snapshot")
            self.add_effect(StatementEffect.LOCK)
        elif "advisory" in name and name.startswith("pg_"):
            self.add_effect(StatementEffect.LOCK)
            if "xact" not in name:
                self.session.add("locks")
        else:
            self.add_effect(StatementEffect.WRITE)

    def _in_A_Expr(self, node: Any) -> None:
        if len(node.name or ()) > 1 and node.name[0].sval != "pg_catalog":
            self.add_effect(StatementEffect.WRITE)

    def _in_SelectStmt(self, node: Any) -> None:
        if node.lockingClause:
            self.add_effect(StatementEffect.LOCK)
        if node.intoClause:
            self._create_relation(node.intoClause.rel)

    def _create_relation(self, relation: Any) -> None:
        """Count the creation of a relation as a write; a temporary relation stays in its session."""
        self.add_effect(StatementEffect.WRITE)
        if relation is not None and relation.relpersistence == "t":
            self.session.add("temporary")

    def _in_InsertStmt(self, _: Any) -> None:
        self.add_effect(StatementEffect.WRITE)

    _in_UpdateStmt = _in_DeleteStmt = _in_MergeStmt = _in_InsertStmt

    def _in_RangeVar(self, node: Any) -> None:
        if node.schemaname == "pg_temp":
            self.session.add("temporary")

    # ---- Statements ----

    def _SelectStmt(self, node: Any) -> None:
        self.visit_nodes(node)

    def _VariableShowStmt(self, node: Any) -> None:
        pass

    def _ExplainStmt(self, node: Any) -> None:
        explained = _StatementVisitor()
        explained.visit_statement(node.query)
        is_run = False
        for option in node.options or ():
            if option.defname == "analyze":
                argument = getattr(option.arg, "sval", None)
                if argument is None:
                    argument = str(getattr(option.arg, "ival", getattr(option.arg, "boolval", "true")))
                is_run = argument.lower() not in ("false", "off", "0")
        if is_run:
            self._merge(explained)
        elif explained.effect is StatementEffect.UNKNOWN:
            self.add_effect(StatementEffect.UNKNOWN)

    def _merge(self, other: "_StatementVisitor") -> None:
        """Add everything that another visitor has collected."""
        self.add_effect(other.effect)
        self.session |= other.session
        self.executes += other.executes
        self.control += other.control
        self.prepares += other.prepares
        self.is_local = self.is_local or other.is_local

    def _CopyStmt(self, node: Any) -> None:
        if node.is_from or node.is_program or node.filename:
            self.add_effect(StatementEffect.WRITE)  # a file or program of the server that runs it: a replica has others
        if node.query is not None:
            self.visit_statement(node.query)

    def _TransactionStmt(self, node: Any) -> None:
        kind = node.kind
        kinds = enums.TransactionStmtKind
        if kind in (kinds.TRANS_STMT_PREPARE, kinds.TRANS_STMT_COMMIT_PREPARED, kinds.TRANS_STMT_ROLLBACK_PREPARED):
            self.add_effect(StatementEffect.WRITE)
            self.control.append("end")
            return
        self.add_effect(StatementEffect.CONTROL)
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
            self.add_effect(StatementEffect.CONTROL)
            self.is_local = True
        else:
            self.add_effect(StatementEffect.SESSION)
            self.session.add("settings")
        self.visit_nodes(node.args)

    def _PrepareStmt(self, node: Any) -> None:
        prepared = _StatementVisitor()
        prepared.visit_statement(node.query)
        self.prepares.append((node.name, prepared.effect))
        self.add_effect(StatementEffect.SESSION)
        self.session.add("prepared")

    def _ExecuteStmt(self, node: Any) -> None:
        self.executes.append(node.name)
        self.visit_nodes(node.params)

    def _DeallocateStmt(self, node: Any) -> None:
        self.add_effect(StatementEffect.SESSION)
        self.session.add("prepared")

    def _DeclareCursorStmt(self, node: Any) -> None:
        self.visit_statement(node.query)
        self.add_effect(StatementEffect.SESSION)
        self.session.add("cursor")

    def _FetchStmt(self, node: Any) -> None:
        self.add_effect(StatementEffect.SESSION)
        self.session.add("cursor")

    _ClosePortalStmt = _FetchStmt

    def _ListenStmt(self, node: Any) -> None:
        # A standby refuses LISTEN: only the primary sends notifications.
        self.add_effect(StatementEffect.LOCK)
        self.session.add("listen")

    _UnlistenStmt = _ListenStmt

    def _LockStmt(self, node: Any) -> None:
        self.add_effect(StatementEffect.LOCK)

    def _DiscardStmt(self, node: Any) -> None:
        self.add_effect(StatementEffect.SESSION)
        self.session.add("settings")

    _LoadStmt = _DiscardStmt

    def _ConstraintsSetStmt(self, node: Any) -> None:
        self.add_effect(StatementEffect.CONTROL)
        self.is_local = True

    def _CreateStmt(self, node: Any) -> None:
        self._create_relation(node.relation)

    def _ViewStmt(self, node: Any) -> None:
        self._create_relation(node.view)

    def _CreateTableAsStmt(self, node: Any) -> None:
        self._create_relation(node.into.rel)


def _read_only(options: Any) -> bool:
    """Whether a transaction begins as READ ONLY; the last option decides."""
    is_read_only = False
    for option in options or ():
        if option.defname == "transaction_read_only":
            is_read_only = bool(option.arg.val.ival)
    return is_read_only


def analyze_sql(text: str) -> Analysis:
    """Analyze a text of SQL. Text that the parser refuses is `UNKNOWN`; the primary then reports the error."""
    try:
        parsed = parse_sql(text)
    except (ParseError, RecursionError, ValueError):
        return _UNKNOWN
    visitor = _StatementVisitor()
    try:
        for raw_statement in parsed:
            if raw_statement.stmt is not None:
                visitor.visit_statement(raw_statement.stmt)
    except RecursionError:  # the statement is nested too deeply for this process
        return _UNKNOWN
    return Analysis(
        StatementEffect.UNKNOWN if visitor.executes else visitor.effect,
        len(parsed),
        frozenset(visitor.session),
        tuple(visitor.executes),
        tuple(visitor.control),
        visitor.is_local,
        tuple(visitor.prepares),
        visitor.effect,
    )


_COMMAND_EFFECTS = {
    Kind.READ: StatementEffect.READ,
    Kind.KEYLESS_READ: StatementEffect.READ,
    Kind.LOCAL: StatementEffect.SESSION,
    Kind.TRANSACTION: StatementEffect.CONTROL,
    Kind.WRITE: StatementEffect.WRITE,
    Kind.SCRIPT: StatementEffect.WRITE,
    Kind.KEYLESS: StatementEffect.WRITE,
    Kind.BLOCKING: StatementEffect.WRITE,
}


def command_effect(name: bytes) -> StatementEffect:
    """The effect of a RESP command by the command table. A command that is not in the table is `UNKNOWN`."""
    spec = find_command(name)
    return StatementEffect.UNKNOWN if spec is None else _COMMAND_EFFECTS[spec.kind]


class AnalysisCache:
    """A bounded cache of analyses by text. It does not hold prepared statements, which belong to a session."""

    def __init__(self, max_texts: int = 4_096, max_text_length: int = 16_384) -> None:
        """Keeps `max_texts` texts of at most `max_text_length` characters and evicts the least recently used one."""
        self._max_texts, self._max_text_length = max_texts, max_text_length
        self._analyses: OrderedDict[str, Analysis] = OrderedDict()
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._analyses)

    def analyze(self, text: str) -> Analysis:
        """See `analyze_sql`."""
        analysis = self._analyses.get(text)
        if analysis is not None:
            self._analyses.move_to_end(text)
            self.hits += 1
            return analysis
        self.misses += 1
        analysis = analyze_sql(text)
        if len(text) <= self._max_text_length:
            self._analyses[text] = analysis
            if len(self._analyses) > self._max_texts:
                self._analyses.popitem(last=False)
        return analysis


def effect_with_prepared(analysis: Analysis, prepared: dict[str, StatementEffect]) -> StatementEffect:
    """The effect of a text, given the effects of prepared statements by name. One that is missing is `UNKNOWN`."""
    effects = (prepared.get(name, StatementEffect.UNKNOWN) for name in analysis.executes)
    return max([analysis.direct_effect, *effects])
