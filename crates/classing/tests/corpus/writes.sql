-- Statements that have to go to the primary, one a line: they change something, or may.
INSERT INTO facts (code, data) VALUES ('ab', 'hello')
INSERT INTO facts (code, data) VALUES ('ab', 'hello') RETURNING data
INSERT INTO facts SELECT * FROM staging
INSERT INTO facts DEFAULT VALUES
INSERT INTO t VALUES (1, 'a'), (2, 'b'), (3, 'c') ON CONFLICT DO NOTHING
INSERT INTO t (a, b) VALUES ($1, $2) ON CONFLICT (a) DO UPDATE SET b = excluded.b
INSERT INTO public.tallies (station, votes) VALUES (17, 204)
insert into "Tallies" ("Station") values (1)
InSeRt InTo t VaLuEs (1)
/* routed */ INSERT INTO t VALUES (1)
UPDATE facts SET data = 'x' WHERE code = 'ab'
UPDATE facts SET data = 'x'
UPDATE ONLY facts SET (data, n) = ('x', 1) WHERE code IN ('a', 'b')
UPDATE facts f SET data = s.data FROM staging s WHERE s.code = f.code
UPDATE t SET a = a + 1 WHERE CURRENT OF c
UPDATE t SET a = DEFAULT
update t set j = jsonb_set(j, '{a}', '1') where id = 5
DELETE FROM facts
DELETE FROM facts WHERE code = 'ab' RETURNING *
DELETE FROM facts USING gone WHERE gone.code = facts.code
delete from only t
MERGE INTO t USING s ON t.id = s.id WHEN MATCHED THEN UPDATE SET a = s.a WHEN NOT MATCHED THEN INSERT VALUES (s.id, s.a)
MERGE INTO t USING s ON t.id = s.id WHEN MATCHED THEN DELETE
TRUNCATE facts
TRUNCATE TABLE facts, staging RESTART IDENTITY CASCADE
WITH gone AS (DELETE FROM facts WHERE old RETURNING *) SELECT * FROM gone
WITH gone AS (DELETE FROM facts RETURNING *) SELECT count(*) FROM gone
WITH new AS (INSERT INTO facts VALUES (1) RETURNING id) SELECT id FROM new
WITH upd AS (UPDATE facts SET n = n + 1 RETURNING n) SELECT max(n) FROM upd
WITH a AS (SELECT 1), b AS (INSERT INTO t SELECT * FROM a RETURNING *) SELECT * FROM b
WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a
WITH a AS (SELECT 1) UPDATE t SET x = 1 FROM a
WITH a AS (SELECT 1) DELETE FROM t USING a
WITH a AS MATERIALIZED (UPDATE t SET x = 1 RETURNING x) SELECT * FROM a
WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r WHERE n < 5), d AS (DELETE FROM t RETURNING 1) SELECT * FROM r
SELECT * FROM (WITH d AS (DELETE FROM t RETURNING id) SELECT id FROM d) x
SELECT 1 WHERE EXISTS (WITH d AS (DELETE FROM t RETURNING id) SELECT 1 FROM d)
SELECT * FROM facts FOR UPDATE
SELECT * FROM facts FOR NO KEY UPDATE
SELECT * FROM facts FOR SHARE
SELECT * FROM facts FOR KEY SHARE
SELECT * FROM facts WHERE code = 'ab' FOR UPDATE SKIP LOCKED LIMIT 1
SELECT * FROM facts LIMIT 1 FOR UPDATE NOWAIT
SELECT * FROM a, b FOR UPDATE OF a
SELECT * FROM (SELECT * FROM facts FOR UPDATE) x
SELECT id FROM jobs WHERE id IN (SELECT id FROM jobs ORDER BY id LIMIT 5 FOR UPDATE SKIP LOCKED)
WITH j AS (SELECT id FROM jobs FOR UPDATE) SELECT * FROM j
SELECT (SELECT id FROM jobs LIMIT 1 FOR SHARE)
SELECT 1 UNION ALL (SELECT id FROM jobs FOR UPDATE)
SELECT * INTO copy FROM facts
SELECT a, b INTO TEMP x FROM facts
SELECT 1 INTO UNLOGGED TABLE y
SELECT nextval('seq')
SELECT nextval('seq'::regclass)
SELECT pg_catalog.nextval('seq')
SELECT "nextval"('seq')
SELECT NextVal('seq')
SELECT nextval /* x */ ('seq')
SELECT nextval  ( 'seq' )
SELECT pg_catalog . nextval ( 'seq' )
SELECT "pg_catalog"."nextval"('seq')
SELECT U&"nextval"('seq')
SELECT U&"next\0076al"('seq')
SELECT u&"n!0065xtval" UESCAPE '!' ('seq')
SELECT setval('seq', 1)
SELECT setval('seq', max(id)) FROM t
SELECT lastval()
SELECT currval('seq')
SELECT set_config('search_path', 'x', false)
SELECT pg_advisory_lock(1)
SELECT pg_advisory_xact_lock(1, 2)
SELECT pg_try_advisory_lock(7)
SELECT pg_advisory_unlock_all()
SELECT pg_notify('channel', 'payload')
SELECT txid_current()
SELECT pg_current_xact_id()
SELECT lo_create(0)
SELECT lo_unlink(17)
SELECT lo_import('/etc/motd')
SELECT lo_from_bytea(0, 'x')
SELECT pg_terminate_backend(1)
SELECT pg_cancel_backend(1)
SELECT pg_reload_conf()
SELECT pg_switch_wal()
SELECT pg_create_restore_point('x')
SELECT pg_logical_emit_message(true, 'a', 'b')
SELECT pg_replication_slot_advance('s', '0/1')
SELECT pg_create_logical_replication_slot('s', 'p')
SELECT pg_drop_replication_slot('s')
SELECT pg_stat_reset()
SELECT pg_stat_statements_reset()
SELECT pg_rotate_logfile()
SELECT pg_promote()
SELECT pg_wal_replay_pause()
SELECT pg_import_system_collations('pg_catalog')
SELECT dblink('host=x', 'DELETE FROM t')
SELECT * FROM dblink('host=x', 'INSERT INTO t VALUES (1) RETURNING id') AS t(id int)
SELECT dblink_exec('DELETE FROM t')
SELECT query_to_xml('DELETE FROM t RETURNING 1', true, false, '')
SELECT table_to_xml('t', true, false, '')
SELECT ts_stat('DELETE FROM t RETURNING to_tsvector(a)')
SELECT * FROM ts_stat('SELECT vector FROM apod')
SELECT ts_rewrite('a'::tsquery, 'SELECT t, s FROM aliases')
SELECT cursor_to_xml('c', 1, true, false, '')
SELECT record_vote(5)
SELECT app.record_vote(5)
SELECT public.record_vote(station => 5)
SELECT "App"."recordVote"(5)
SELECT record_vote(VARIADIC ARRAY[1,2])
SELECT a, record_vote(a) FROM t
SELECT a FROM t WHERE record_vote(a)
SELECT a FROM t WHERE b = 1 AND NOT record_vote(a)
SELECT a FROM t ORDER BY record_vote(a)
SELECT a FROM t ORDER BY a, record_vote(a) DESC NULLS LAST
SELECT count(*) FROM t GROUP BY record_vote(a)
SELECT count(*) FROM t GROUP BY ROLLUP (a, record_vote(a))
SELECT count(*) FROM t GROUP BY GROUPING SETS ((a), (record_vote(a)))
SELECT a FROM t GROUP BY a HAVING record_vote(a) > 0
SELECT sum(a) FILTER (WHERE record_vote(a) > 0) FROM t
SELECT sum(record_vote(a)) FROM t
SELECT sum(a) OVER (PARTITION BY record_vote(a)) FROM t
SELECT sum(a) OVER (ORDER BY record_vote(a) ROWS 1 PRECEDING) FROM t
SELECT sum(a) OVER w FROM t WINDOW w AS (ORDER BY record_vote(a))
SELECT record_vote(a) OVER (ORDER BY a) FROM t
SELECT * FROM record_vote(5)
SELECT * FROM record_vote(5) v
SELECT * FROM record_vote(5) AS v(a, b)
SELECT * FROM app.record_vote(5) WITH ORDINALITY
SELECT * FROM t, LATERAL record_vote(t.a) v
SELECT * FROM t CROSS JOIN LATERAL record_vote(t.a)
SELECT * FROM t LEFT JOIN record_vote(5) v ON true
SELECT * FROM t JOIN u ON record_vote(t.a) = u.b
SELECT * FROM ROWS FROM (generate_series(1, 2), record_vote(5)) x
SELECT * FROM ROWS FROM (record_vote(5) AS (a int))
SELECT * FROM (VALUES (record_vote(1))) v
SELECT * FROM (VALUES (1), (record_vote(1))) v(a)
VALUES (1, record_vote(1))
VALUES (1), (2), (record_vote(3))
SELECT CASE WHEN a THEN record_vote(1) ELSE 0 END FROM t
SELECT CASE record_vote(1) WHEN 1 THEN 2 END
SELECT CASE WHEN record_vote(1) THEN 2 END
SELECT CASE WHEN a THEN 1 ELSE record_vote(2) END FROM t
SELECT (SELECT record_vote(1))
SELECT ARRAY[record_vote(1)]
SELECT ARRAY(SELECT record_vote(1))
SELECT ROW(1, record_vote(1))
SELECT (1, record_vote(1))
SELECT a[record_vote(1)] FROM t
SELECT a[1:record_vote(1)] FROM t
SELECT coalesce(a, record_vote(1)) FROM t
SELECT nullif(record_vote(1), 1)
SELECT greatest(1, record_vote(1))
SELECT a IN (1, record_vote(2)) FROM t
SELECT a IN (SELECT record_vote(2)) FROM t
SELECT a = ANY (ARRAY[record_vote(1)]) FROM t
SELECT a = ANY (SELECT record_vote(1)) FROM t
SELECT a BETWEEN 1 AND record_vote(5) FROM t
SELECT a BETWEEN record_vote(1) AND 5 FROM t
SELECT a LIKE record_vote('x') FROM t
SELECT a LIKE 'x' ESCAPE record_vote('y') FROM t
SELECT a SIMILAR TO record_vote('x') FROM t
SELECT a IS DISTINCT FROM record_vote(1) FROM t
SELECT record_vote(1) IS NULL
SELECT -record_vote(1)
SELECT 1 + record_vote(1)
SELECT record_vote(1) || 'x'
SELECT NOT record_vote(1)
SELECT record_vote(1)::text
SELECT CAST(record_vote(1) AS text)
SELECT record_vote(1) AT TIME ZONE 'UTC'
SELECT now() AT TIME ZONE record_vote('UTC')
SELECT EXTRACT(year FROM record_vote(1))
SELECT substring(record_vote(1) FROM 1 FOR 2)
SELECT position('a' IN record_vote(1))
SELECT trim(both 'x' from record_vote(1))
SELECT overlay('abc' placing record_vote('x') from 1)
SELECT record_vote(1) COLLATE "C"
SELECT DISTINCT ON (record_vote(a)) a FROM t
SELECT DISTINCT record_vote(a) FROM t
SELECT ALL record_vote(a) FROM t
SELECT a FROM t LIMIT record_vote(1)
SELECT a FROM t OFFSET record_vote(1)
SELECT a FROM t OFFSET record_vote(1) ROWS
SELECT a FROM t FETCH FIRST (record_vote(1)) ROWS ONLY
SELECT a FROM t FETCH FIRST record_vote(1) ROWS ONLY
SELECT 1 UNION SELECT record_vote(1)
SELECT 1 EXCEPT ALL SELECT record_vote(1)
(SELECT record_vote(1)) INTERSECT (SELECT 1)
WITH a AS (SELECT record_vote(1)) SELECT * FROM a
WITH a(x) AS (SELECT record_vote(1)) SELECT x FROM a
WITH a AS (SELECT 1) SELECT record_vote(1) FROM a
WITH RECURSIVE a(n) AS (SELECT 1 UNION ALL SELECT record_vote(n) FROM a) SELECT * FROM a
SELECT (record_vote(1)).id
SELECT (record_vote(1)).*
SELECT (t).record_vote FROM t
SELECT ((t).a).record_vote FROM t
SELECT (a[1]).record_vote FROM t
SELECT string_agg(record_vote(a), ',' ORDER BY b) FROM t
SELECT string_agg(a, ',' ORDER BY record_vote(b)) FROM t
SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY record_vote(a)) FROM t
SELECT json_build_object('a', record_vote(1))
SELECT xmlelement(name x, record_vote(1))
SELECT xmlforest(record_vote(1) AS a)
SELECT EXISTS (SELECT record_vote(1))
SELECT a FROM t TABLESAMPLE bernoulli (record_vote(1))
SELECT a FROM t TABLESAMPLE my_method (1)
SELECT 'a'::my_type
SELECT CAST('a' AS my_type)
SELECT 'a'::app.my_type
SELECT a OPERATOR(app.+) b FROM t
SELECT a OPERATOR(pg_catalog.+) b FROM t
SELECT a <~~~> b FROM t
SELECT a ### b FROM t
EXPLAIN ANALYZE INSERT INTO t VALUES (1)
EXPLAIN ANALYZE UPDATE t SET a = 1
EXPLAIN ANALYZE DELETE FROM t
EXPLAIN (ANALYZE) DELETE FROM t
EXPLAIN (ANALYZE, BUFFERS) UPDATE t SET a = 1
EXPLAIN (ANALYZE true, VERBOSE) SELECT record_vote(1)
EXPLAIN ANALYZE SELECT record_vote(1)
EXPLAIN ANALYZE VERBOSE SELECT nextval('s')
EXPLAIN ANALYZE WITH d AS (DELETE FROM t RETURNING 1) SELECT * FROM d
EXPLAIN ANALYZE SELECT * FROM t FOR UPDATE
EXPLAIN ANALYZE CREATE TABLE x AS SELECT 1
EXPLAIN ANALYZE EXECUTE p
COPY t FROM STDIN
COPY t (a, b) FROM STDIN WITH (FORMAT csv)
COPY (DELETE FROM t RETURNING *) TO STDOUT
COPY t FROM PROGRAM 'cat'
COPY (SELECT record_vote(1)) TO STDOUT
DO $$ BEGIN DELETE FROM t; END $$
DO LANGUAGE plpgsql $x$ BEGIN PERFORM 1; END $x$
CALL close_station(5)
CALL app.close_station(station => 5)
CREATE TABLE t (a int)
CREATE TABLE t AS SELECT 1
CREATE TEMP TABLE t (a int)
CREATE UNIQUE INDEX CONCURRENTLY i ON t (a)
CREATE VIEW v AS SELECT 1
CREATE MATERIALIZED VIEW v AS SELECT 1
CREATE FUNCTION f() RETURNS int LANGUAGE sql AS 'SELECT 1'
CREATE EXTENSION hstore
CREATE SEQUENCE s
CREATE ROLE r
CREATE TRIGGER x BEFORE INSERT ON t FOR EACH ROW EXECUTE FUNCTION f()
ALTER TABLE t ADD COLUMN b int
ALTER SEQUENCE s RESTART
ALTER SYSTEM SET work_mem = '1MB'
ALTER ROLE r SET search_path = x
DROP TABLE t
DROP INDEX IF EXISTS i
GRANT SELECT ON t TO r
REVOKE ALL ON t FROM r
COMMENT ON TABLE t IS 'x'
LOCK TABLE t IN EXCLUSIVE MODE
LOCK t
VACUUM
VACUUM ANALYZE t
ANALYZE t
CLUSTER t
REINDEX TABLE t
REFRESH MATERIALIZED VIEW v
NOTIFY channel, 'payload'
REASSIGN OWNED BY a TO b
SECURITY LABEL ON TABLE t IS 'x'
IMPORT FOREIGN SCHEMA s FROM SERVER x INTO y
SELECT 1; DELETE FROM t
SELECT 1;; DELETE FROM t;
DELETE FROM t; SELECT 1
SELECT 1; SELECT 2
BEGIN; INSERT INTO t VALUES (1); COMMIT
SELECT 1 /* ; */ ; /* x */ DELETE FROM t
SELECT 'a\'; DELETE FROM t; --'
SELECT E'a\'', record_vote(1), ''
SELECT $$a$$, record_vote(1)
SELECT $a$ $$ $a$, record_vote($$x$$)
SELECT 1 /* /* */ , 2 */ , record_vote(3)
SELECT "a""b"(1)
SELECT abs(1), "Abs"(1)
SELECT "ABS"(1)
SELECT app.abs(1)
PREPARE p AS DELETE FROM t
EXECUTE p
DECLARE c CURSOR FOR SELECT 1
FETCH 1 FROM c
SET search_path = x
RESET ALL
DISCARD ALL
BEGIN
BEGIN READ ONLY
START TRANSACTION
COMMIT
ROLLBACK
SAVEPOINT a
RELEASE a
LISTEN channel
UNLISTEN *
FROB THE TABLES
SELECT FROM WHERE
EXPLAIN ("analyze") INSERT INTO t VALUES (1)
EXPLAIN ("analyze", "costs") UPDATE t SET a = 1
EXPLAIN (U&"analyze" true) SELECT record_vote(1)
EXPLAIN (costs, "analyze" 'on') MERGE INTO t USING s ON t.a = s.a WHEN MATCHED THEN DELETE
EXPLAIN (ANALYZE off, "analyze") DELETE FROM t
EXPLAIN (some_extension) DELETE FROM t
EXPLAIN EXECUTE p(nextval('s'))
SELECT vote 'x'
SELECT app.vote 'x'
SELECT "vote" E'x' FROM t
SELECT a FROM t WHERE b = vote $$x$$
SELECT * FROM json_to_record('{}') AS x(a vote)
SELECT * FROM json_to_record('{}') x(a int, b app.vote[])
