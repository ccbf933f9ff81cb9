"""What statements do: a labelled corpus, every write in every wrapping, and bounds of the cache."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatlink.core.commands import COMMANDS, Kind
from oatlink.core.statements import Does, Readings, read_command, read_sql, with_prepared

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
    found = read_sql(text)
    assert found.does is Does.READ and not found.session and found.count == 1


@pytest.mark.parametrize("text", WRITES)
def test_writes_are_writes(text: str) -> None:
    assert read_sql(text).does is Does.WRITE


@pytest.mark.parametrize("text", LOCKS)
def test_locks_are_locks(text: str) -> None:
    found = read_sql(text)
    assert found.does is Does.LOCK and found.does.needs_primary


def test_no_write_is_taken_for_a_read_however_it_is_wrapped() -> None:
    """Every write beside, before and after every read, with comments, in a block, prepared."""
    counted = 0
    for write, read in itertools.product(WRITES + LOCKS, READS):
        beside = (f"{read}\n; {write}", f"{write};{read}\n;", f"/* {read} */ {write} -- {read}", f"{read}\n;;{write};")
        for text in beside:
            assert read_sql(text).does.needs_primary, text
            counted += 1
    for write in WRITES + LOCKS:
        for text in (f"  {write}  ;", f"\n\t{write}\n", f"BEGIN; {write}; COMMIT", f"SET x = 1; {write}"):
            assert read_sql(text).does.needs_primary, text
            counted += 1
        prepared = read_sql(f"PREPARE p AS {write}")
        assert prepared.does is Does.UNKNOWN or prepared.prepares[0][1].needs_primary, write
    assert counted > 8_000


def test_a_prepared_statement_is_what_it_was_prepared_as() -> None:
    known = dict(read_sql("PREPARE p(int) AS SELECT $1").prepares + read_sql("PREPARE w AS DELETE FROM t").prepares)
    assert known == {"p": Does.READ, "w": Does.WRITE}
    read, write, both, lost = (
        read_sql(text) for text in ("EXECUTE p(1)", "EXECUTE w", "EXECUTE p(1); EXECUTE w", "EXECUTE q")
    )
    # Until it is known what it runs, it is not a read.
    assert all(one.does is Does.UNKNOWN for one in (read, write, both, lost))
    assert with_prepared(read, known) is Does.READ and with_prepared(write, known) is Does.WRITE
    assert with_prepared(both, known) is Does.WRITE and with_prepared(lost, known) is Does.UNKNOWN
    assert with_prepared(read_sql("EXECUTE p(nextval('ids'))"), known) is Does.WRITE
    assert with_prepared(read_sql("EXPLAIN ANALYZE EXECUTE w"), known) is Does.WRITE
    assert with_prepared(read_sql("SELECT 1"), {}) is Does.READ


@pytest.mark.parametrize(
    ("text", "does", "session"),
    [
        ("SET search_path = a", Does.SESSION, {"settings"}),
        ("RESET ALL", Does.SESSION, {"settings"}),
        ("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", Does.SESSION, {"settings"}),
        ("SELECT set_config('a.b', 'x', false)", Does.SESSION, {"settings"}),
        ("DISCARD ALL", Does.SESSION, {"settings"}),
        ("LOAD 'x'", Does.SESSION, {"settings"}),
        ("PREPARE p AS SELECT 1", Does.SESSION, {"prepared"}),
        ("DEALLOCATE p", Does.SESSION, {"prepared"}),
        ("DECLARE c CURSOR FOR SELECT 1", Does.SESSION, {"cursor"}),
        ("DECLARE c CURSOR WITH HOLD FOR SELECT * FROM t FOR UPDATE", Does.LOCK, {"cursor"}),
        ("FETCH 10 FROM c", Does.SESSION, {"cursor"}),
        ("CLOSE c", Does.SESSION, {"cursor"}),
        ("CREATE TEMP TABLE t (a int)", Does.WRITE, {"temporary"}),
        ("CREATE TEMPORARY TABLE t AS SELECT 1", Does.WRITE, {"temporary"}),
        ("SELECT 1 INTO TEMP t", Does.WRITE, {"temporary"}),
        ("CREATE TEMP VIEW v AS SELECT 1", Does.WRITE, {"temporary"}),
        ("SELECT * FROM pg_temp.t", Does.READ, {"temporary"}),
        ("SELECT pg_advisory_lock(1)", Does.LOCK, {"locks"}),
        ("SELECT pg_advisory_xact_lock(1)", Does.LOCK, set()),
        ("LISTEN c", Does.LOCK, {"listen"}),
        ("SELECT currval('ids')", Does.SESSION, {"sequence"}),
        ("SET x = 1; SELECT 1", Does.SESSION, {"settings"}),
        ("SELEC 1", Does.UNKNOWN, {"unknown"}),
        ("", Does.READ, set()),
    ],
)
def test_what_stays_in_the_session(text: str, does: Does, session: set[str]) -> None:
    found = read_sql(text)
    assert found.does is does and found.session == session


@pytest.mark.parametrize(
    ("text", "control", "local"),
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
def test_transactions_are_followed(text: str, control: tuple[str, ...], local: bool) -> None:
    found = read_sql(text)
    assert found.does is Does.CONTROL and found.control == control and found.local is local and not found.session


def test_commands_of_resp_go_by_the_command_table() -> None:
    for name, spec in COMMANDS.items():
        does = read_command(name)
        assert does.needs_primary == (spec.kind in (Kind.WRITE, Kind.SCRIPT, Kind.KEYLESS, Kind.BLOCKING)), name
    assert read_command(b"get") is Does.READ and read_command(b"nosuch") is Does.UNKNOWN


@given(st.text(max_size=60))
def test_any_text_is_read_or_unknown(text: str) -> None:
    assert read_sql(text).does in Does


def test_what_is_nested_too_deep_is_unknown_and_harms_nothing() -> None:
    for text in ("SELECT " + "(" * 4_000 + "1" + ")" * 4_000, "SELECT " + "-" * 1 + " - " * 3_000 + "1"):
        assert read_sql(text).does in (Does.UNKNOWN, Does.READ)
    assert read_sql("SELECT 1").does is Does.READ


def test_the_cache_is_bounded_and_answers_what_the_reader_does() -> None:
    cache = Readings(most=10, longest=100)
    for number in range(50):
        assert cache.read(f"SELECT {number}").does is Does.READ
        assert cache.read("DELETE FROM t").does is Does.WRITE
    assert len(cache) == 10 and cache.hits == 49 and cache.misses == 51
    cache.read("SELECT '" + "x" * 200 + "'")
    assert len(cache) == 10 and cache.read("DELETE FROM t") is cache.read("DELETE FROM t")
