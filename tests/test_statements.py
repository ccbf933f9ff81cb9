"""Classification of statements: a labelled corpus, each write combined with each read, and the bounds of the cache."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.core.commands import COMMANDS, Kind
from oatlink.core.statements import AnalysisCache, StatementEffect, analyze_sql, command_effect, effect_with_prepared

READS = """
SELECT 1
SELECT * FROM prices WHERE isin = $1 AND at > now() - interval '1 day'
SELECT p.isin, max(p.nav) FROM prices p JOIN funds f USING (isin) GROUP BY 1 HAVING count(*) > 2 ORDER BY 2 LIMIT 5
WITH latest AS (SELECT DISTINCT ON (isin) * FROM prices ORDER BY isin, at DESC) SELECT * FROM latest
WITH RECURSIVE t(n) AS (VALUES (1) UNION ALL SELECT n + 1 FROM t WHERE n < 100) SELECT sum(n) FROM t
SELECT CASE WHEN nav IS NULL THEN 0 ELSE round(nav, 2) END FROM prices
SELECT coalesce(a, b), nullif(a, 0), greatest(a, b) FROM t
SELECT pg_catalog.lower(name) FROM funds
SELECT 1 OPERATOR(pg_catalog.+) 2
SELECT row_number() OVER (PARTITION BY isin ORDER BY at) FROM prices
SELECT * FROM generate_series(1, 10) AS g(n)
SELECT * FROM prices TABLESAMPLE SYSTEM (10)
SELECT data -> 'a' ->> 'b' FROM docs WHERE data @> '{"x": 1}'
SELECT current_user, current_date, localtimestamp
SELECT random(), gen_random_uuid(), clock_timestamp()
SELECT count(*) FILTER (WHERE nav > 0) FROM prices
SELECT EXISTS (SELECT 1 FROM prices)
SELECT ARRAY(SELECT isin FROM funds), (SELECT max(at) FROM prices)
VALUES (1, 'a'), (2, 'b')
TABLE prices
SELECT * FROM a UNION ALL SELECT * FROM b EXCEPT SELECT * FROM c
SHOW server_version
EXPLAIN SELECT * FROM prices
EXPLAIN (FORMAT json) DELETE FROM prices
EXPLAIN (ANALYZE false) INSERT INTO prices VALUES (1)
EXPLAIN ANALYZE SELECT 1
COPY prices TO STDOUT
COPY (SELECT * FROM prices) TO STDOUT WITH (FORMAT csv)
SELECT 'INSERT INTO x; DELETE FROM y' AS text
SELECT "delete" FROM "insert" /* update t set a = 1 */ -- drop table t
SELECT pg_sleep(0.1)
SELECT extract(epoch FROM at), at AT TIME ZONE 'UTC' FROM prices
SELECT string_agg(name, ',' ORDER BY name) FROM funds
SELECT substring(name FROM 2 FOR 3), position('a' IN name), trim(both ' ' FROM name), overlay(a PLACING b FROM 1) FROM t
""".strip().splitlines()

WRITES = """
INSERT INTO prices VALUES (1) RETURNING *
INSERT INTO prices SELECT * FROM other ON CONFLICT DO NOTHING
UPDATE prices SET nav = 1 WHERE isin = 'x'
DELETE FROM prices USING funds WHERE prices.isin = funds.isin
MERGE INTO prices p USING new n ON p.isin = n.isin WHEN MATCHED THEN UPDATE SET nav = n.nav
WITH gone AS (DELETE FROM prices RETURNING *) SELECT count(*) FROM gone
WITH a AS (SELECT 1), b AS (INSERT INTO t SELECT * FROM a RETURNING 1) SELECT * FROM a
SELECT * FROM (WITH x AS (UPDATE t SET a = 1 RETURNING a) SELECT * FROM x) y
SELECT nextval('ids')
SELECT setval('ids', 1)
SELECT my_function(1)
SELECT public.lower('x')
SELECT * FROM billing.run_all()
SELECT 1 OPERATOR(mine.+) 2
SELECT * FROM prices ORDER BY fancy(nav)
SELECT count(*) FROM prices WHERE audit(isin)
SELECT pg_notify('c', 'x')
SELECT lo_create(0)
SELECT txid_current()
SELECT pg_terminate_backend(1)
SELECT dblink_exec('DELETE FROM t')
SELECT * INTO copy FROM prices
CREATE TABLE t (a int)
CREATE TABLE t AS SELECT * FROM prices
CREATE INDEX ON t (a)
CREATE VIEW v AS SELECT 1
REFRESH MATERIALIZED VIEW m
ALTER TABLE t ADD b int
DROP TABLE t
TRUNCATE t
GRANT SELECT ON t TO u
VACUUM t
ANALYZE t
REINDEX TABLE t
CLUSTER t
DO $$ BEGIN DELETE FROM t; END $$
CALL settle(1)
NOTIFY c, 'x'
COPY prices FROM STDIN
COPY prices TO '/tmp/x'
COPY (SELECT 1) TO PROGRAM 'cat'
COPY (DELETE FROM t RETURNING *) TO STDOUT
EXPLAIN ANALYZE DELETE FROM prices
EXPLAIN (ANALYZE, BUFFERS) INSERT INTO t VALUES (1)
EXPLAIN (ANALYZE on) UPDATE t SET a = 1
EXPLAIN ANALYZE SELECT nextval('ids')
COMMENT ON TABLE t IS 'x'
COMMIT PREPARED 'x'
PREPARE TRANSACTION 'x'
CREATE FUNCTION f() RETURNS int LANGUAGE sql AS 'SELECT 1'
IMPORT FOREIGN SCHEMA a FROM SERVER b INTO c
SECURITY LABEL ON TABLE t IS 'x'
CHECKPOINT
""".strip().splitlines()

LOCKS = """
SELECT * FROM prices FOR UPDATE
SELECT * FROM prices FOR NO KEY UPDATE SKIP LOCKED
SELECT * FROM prices FOR SHARE NOWAIT
SELECT * FROM (SELECT * FROM prices FOR KEY SHARE) x
LOCK TABLE prices IN SHARE MODE
SELECT pg_advisory_lock(1)
SELECT pg_try_advisory_xact_lock(1, 2)
SELECT pg_advisory_unlock_all()
LISTEN c
UNLISTEN *
SELECT pg_export_snapshot()
""".strip().splitlines()


@pytest.mark.parametrize("text", READS)
def test_reads_are_reads(text: str) -> None:
    analysis = analyze_sql(text)
    assert analysis.effect is StatementEffect.READ and not analysis.session and analysis.count == 1


@pytest.mark.parametrize("text", WRITES)
def test_writes_are_writes(text: str) -> None:
    assert analyze_sql(text).effect is StatementEffect.WRITE


@pytest.mark.parametrize("text", LOCKS)
def test_locks_are_locks(text: str) -> None:
    effect = analyze_sql(text).effect
    assert effect is StatementEffect.LOCK and effect.needs_primary


def test_no_write_is_classified_as_a_read_in_any_combination() -> None:
    """Every write beside, before and after every read, with comments, in a transaction, and prepared."""
    checked = 0
    for write, read in itertools.product(WRITES + LOCKS, READS):
        combinations = (
            f"{read}\n; {write}",
            f"{write};{read}\n;",
            f"/* {read} */ {write} -- {read}",
            f"{read}\n;;{write};",
        )
        for text in combinations:
            assert analyze_sql(text).effect.needs_primary, text
            checked += 1
    for write in WRITES + LOCKS:
        for text in (f"  {write}  ;", f"\n\t{write}\n", f"BEGIN; {write}; COMMIT", f"SET x = 1; {write}"):
            assert analyze_sql(text).effect.needs_primary, text
            checked += 1
        prepared = analyze_sql(f"PREPARE p AS {write}")
        assert prepared.effect is StatementEffect.UNKNOWN or prepared.prepares[0][1].needs_primary, write
    assert checked > 8_000


def test_execute_has_the_effect_of_the_prepared_statement() -> None:
    prepared = dict(
        analyze_sql("PREPARE p(int) AS SELECT $1").prepares + analyze_sql("PREPARE w AS DELETE FROM t").prepares
    )
    assert prepared == {"p": StatementEffect.READ, "w": StatementEffect.WRITE}
    read, write, both, missing = (
        analyze_sql(text) for text in ("EXECUTE p(1)", "EXECUTE w", "EXECUTE p(1); EXECUTE w", "EXECUTE q")
    )
    # Until the prepared statement is looked up, EXECUTE does not count as a read.
    assert all(analysis.effect is StatementEffect.UNKNOWN for analysis in (read, write, both, missing))
    assert effect_with_prepared(read, prepared) is StatementEffect.READ
    assert effect_with_prepared(write, prepared) is StatementEffect.WRITE
    assert effect_with_prepared(both, prepared) is StatementEffect.WRITE
    assert effect_with_prepared(missing, prepared) is StatementEffect.UNKNOWN
    assert effect_with_prepared(analyze_sql("EXECUTE p(nextval('ids'))"), prepared) is StatementEffect.WRITE
    assert effect_with_prepared(analyze_sql("EXPLAIN ANALYZE EXECUTE w"), prepared) is StatementEffect.WRITE
    assert effect_with_prepared(analyze_sql("SELECT 1"), {}) is StatementEffect.READ


@pytest.mark.parametrize(
    ("text", "effect", "session"),
    [
        ("SET search_path = a", StatementEffect.SESSION, {"settings"}),
        ("RESET ALL", StatementEffect.SESSION, {"settings"}),
        ("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", StatementEffect.SESSION, {"settings"}),
        ("SELECT set_config('a.b', 'x', false)", StatementEffect.SESSION, {"settings"}),
        ("DISCARD ALL", StatementEffect.SESSION, {"settings"}),
        ("LOAD 'x'", StatementEffect.SESSION, {"settings"}),
        ("PREPARE p AS SELECT 1", StatementEffect.SESSION, {"prepared"}),
        ("DEALLOCATE p", StatementEffect.SESSION, {"prepared"}),
        ("DECLARE c CURSOR FOR SELECT 1", StatementEffect.SESSION, {"cursor"}),
        ("DECLARE c CURSOR WITH HOLD FOR SELECT * FROM t FOR UPDATE", StatementEffect.LOCK, {"cursor"}),
        ("FETCH 10 FROM c", StatementEffect.SESSION, {"cursor"}),
        ("CLOSE c", StatementEffect.SESSION, {"cursor"}),
        ("CREATE TEMP TABLE t (a int)", StatementEffect.WRITE, {"temporary"}),
        ("CREATE TEMPORARY TABLE t AS SELECT 1", StatementEffect.WRITE, {"temporary"}),
        ("SELECT 1 INTO TEMP t", StatementEffect.WRITE, {"temporary"}),
        ("CREATE TEMP VIEW v AS SELECT 1", StatementEffect.WRITE, {"temporary"}),
        ("SELECT * FROM pg_temp.t", StatementEffect.READ, {"temporary"}),
        ("SELECT pg_advisory_lock(1)", StatementEffect.LOCK, {"locks"}),
        ("SELECT pg_advisory_xact_lock(1)", StatementEffect.LOCK, set()),
        ("LISTEN c", StatementEffect.LOCK, {"listen"}),
        ("SELECT currval('ids')", StatementEffect.SESSION, {"sequence"}),
        ("SET x = 1; SELECT 1", StatementEffect.SESSION, {"settings"}),
        ("SELEC 1", StatementEffect.UNKNOWN, {"unknown"}),
        ("", StatementEffect.READ, set()),
    ],
)
def test_state_that_stays_in_the_session(text: str, effect: StatementEffect, session: set[str]) -> None:
    analysis = analyze_sql(text)
    assert analysis.effect is effect and analysis.session == session


@pytest.mark.parametrize(
    ("text", "control", "is_local"),
    [
        ("BEGIN", ("begin",), False),
        ("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", ("begin read only",), False),
        ("BEGIN READ ONLY READ WRITE", ("begin",), False),
        ("COMMIT AND CHAIN", ("end", "begin"), False),
        ("ROLLBACK", ("end",), False),
        ("SAVEPOINT a; ROLLBACK TO a; RELEASE a", ("mark", "mark", "mark"), False),
        ("SET LOCAL x = 1", (), True),
        ("SET TRANSACTION READ ONLY", (), True),
        ("SET CONSTRAINTS ALL DEFERRED", (), True),
        ("BEGIN; SELECT 1; COMMIT", ("begin", "end"), False),
    ],
)
def test_transaction_control_is_recognized(text: str, control: tuple[str, ...], is_local: bool) -> None:
    analysis = analyze_sql(text)
    assert analysis.effect is StatementEffect.CONTROL and analysis.control == control
    assert analysis.is_local is is_local and not analysis.session


def test_resp_commands_are_classified_by_the_command_table() -> None:
    for name, spec in COMMANDS.items():
        effect = command_effect(name)
        assert effect.needs_primary == (spec.kind in (Kind.WRITE, Kind.SCRIPT, Kind.KEYLESS, Kind.BLOCKING)), name
    assert command_effect(b"get") is StatementEffect.READ and command_effect(b"nosuch") is StatementEffect.UNKNOWN


@given(st.text(max_size=60))
def test_any_text_is_analyzed_without_an_error(text: str) -> None:
    assert analyze_sql(text).effect in StatementEffect


def test_a_text_that_is_nested_too_deeply_raises_nothing() -> None:
    for text in ("SELECT " + "(" * 4_000 + "1" + ")" * 4_000, "SELECT " + "-" * 1 + " - " * 3_000 + "1"):
        assert analyze_sql(text).effect in (StatementEffect.UNKNOWN, StatementEffect.READ)
    assert analyze_sql("SELECT 1").effect is StatementEffect.READ


def test_the_cache_is_bounded_and_returns_what_the_analysis_does() -> None:
    cache = AnalysisCache(max_texts=10, max_text_length=100)
    for number in range(50):
        assert cache.analyze(f"SELECT {number}").effect is StatementEffect.READ
        assert cache.analyze("DELETE FROM t").effect is StatementEffect.WRITE
    assert len(cache) == 10 and cache.hits == 49 and cache.misses == 51
    cache.analyze("SELECT '" + "x" * 200 + "'")
    assert len(cache) == 10 and cache.analyze("DELETE FROM t") is cache.analyze("DELETE FROM t")
