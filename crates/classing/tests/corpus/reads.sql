-- Queries that may go to a replica, one a line.
SELECT 1
SELECT data FROM facts WHERE code = 'ab'
select data from facts where code = 'ab'
SELECT * FROM facts
SELECT * FROM public.facts WHERE code = $1
SELECT "Data" FROM "Facts" WHERE "Code" = $1
SELECT f.data, f.n FROM facts f WHERE f.code = 'ab' AND f.n > 5
SELECT f.data AS d, f.n AS count_of FROM facts AS f
SELECT DISTINCT data FROM facts
SELECT DISTINCT ON (code) code, data FROM facts ORDER BY code, n DESC
SELECT count(*) FROM facts
SELECT count(DISTINCT code) FROM facts
SELECT code, count(*) FROM facts GROUP BY code HAVING count(*) > 1
SELECT code, sum(n), avg(n), min(n), max(n) FROM facts GROUP BY 1 ORDER BY 2 DESC LIMIT 10
SELECT * FROM facts ORDER BY n LIMIT 10 OFFSET 20
SELECT * FROM facts ORDER BY n FETCH FIRST 10 ROWS ONLY
SELECT * FROM facts WHERE code IN ('a', 'b', 'c')
SELECT * FROM facts WHERE code = ANY ($1)
SELECT * FROM facts WHERE code = ANY (ARRAY['a', 'b'])
SELECT * FROM facts WHERE code = ANY ('{a,b}'::text[])
SELECT * FROM facts WHERE n BETWEEN 1 AND 5
SELECT * FROM facts WHERE data LIKE 'a%' OR data ILIKE '%b'
SELECT * FROM facts WHERE data SIMILAR TO 'a|b' AND data ~ '^a' AND data !~* 'b$'
SELECT * FROM facts WHERE data IS NULL OR n IS NOT NULL
SELECT * FROM facts WHERE data IS DISTINCT FROM 'x'
SELECT * FROM facts WHERE NOT (n = 1)
SELECT * FROM facts WHERE (n, code) = (1, 'a')
SELECT * FROM facts WHERE (n, code) IN ((1, 'a'), (2, 'b'))
SELECT * FROM facts WHERE EXISTS (SELECT 1 FROM stations s WHERE s.code = facts.code)
SELECT * FROM facts WHERE code IN (SELECT code FROM stations WHERE region = 'north')
SELECT * FROM facts WHERE n > (SELECT avg(n) FROM facts)
SELECT (SELECT max(n) FROM facts) AS top
SELECT * FROM facts f JOIN stations s ON s.code = f.code
SELECT * FROM facts f LEFT JOIN stations s USING (code) WHERE s.code IS NULL
SELECT * FROM facts NATURAL JOIN stations
SELECT * FROM facts FULL OUTER JOIN stations ON facts.code = stations.code
SELECT * FROM facts RIGHT JOIN stations USING (code)
SELECT * FROM facts CROSS JOIN stations
SELECT * FROM facts, stations WHERE facts.code = stations.code
SELECT * FROM a JOIN b ON a.id = b.id JOIN c ON c.id = b.id LEFT JOIN d ON d.id = c.id
SELECT * FROM (SELECT code, n FROM facts) x WHERE x.n > 1
SELECT * FROM (SELECT code, n FROM facts) AS x(a, b)
SELECT * FROM (VALUES (1, 'a'), (2, 'b')) AS v(n, s)
SELECT * FROM (VALUES (1, 'a'), (2, 'b')) v(n, s)
SELECT * FROM facts x(a, b)
VALUES (1), (2)
VALUES (1, 'a') ORDER BY 1
TABLE facts
SELECT 1 UNION SELECT 2
SELECT 1 UNION ALL SELECT 2 ORDER BY 1
(SELECT 1) INTERSECT (SELECT 2)
SELECT a FROM t EXCEPT SELECT a FROM u
WITH x AS (SELECT * FROM facts) SELECT * FROM x
WITH x(a) AS (SELECT n FROM facts), y AS (SELECT a FROM x) SELECT * FROM y
WITH x AS MATERIALIZED (SELECT 1 AS a) SELECT a FROM x
WITH x AS NOT MATERIALIZED (SELECT 1 AS a) SELECT a FROM x
WITH x (a, b) AS (SELECT 1, 2), y (c) AS (SELECT 3) SELECT * FROM x, y
WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r WHERE n < 10) SELECT n FROM r
WITH RECURSIVE t AS (SELECT id, parent FROM regions WHERE id = 1 UNION ALL SELECT r.id, r.parent FROM regions r JOIN t ON r.parent = t.id) SELECT * FROM t
SELECT * FROM facts f, LATERAL (SELECT * FROM stations s WHERE s.code = f.code LIMIT 1) x
SELECT * FROM facts f LEFT JOIN LATERAL (SELECT 1) x ON true
SELECT * FROM generate_series(1, 10)
SELECT * FROM generate_series(1, 10) g
SELECT * FROM generate_series(1, 10) AS g(n)
SELECT * FROM generate_series(1, 10) WITH ORDINALITY
SELECT generate_series(1, 10)
SELECT * FROM unnest(ARRAY[1, 2]) AS u(x)
SELECT * FROM unnest($1::int[], $2::text[]) AS u(a, b)
SELECT * FROM facts f, unnest(f.tags) tag
SELECT * FROM json_each('{"a": 1}')
SELECT * FROM jsonb_array_elements('[1]') e
SELECT * FROM json_to_record('{"a":1}') AS x(a int)
SELECT * FROM jsonb_to_recordset('[{"a":1}]') AS x(a int, b text)
SELECT * FROM facts TABLESAMPLE bernoulli (10)
SELECT * FROM facts TABLESAMPLE system (1) REPEATABLE (5)
SELECT CASE WHEN n > 1 THEN 'many' WHEN n = 1 THEN 'one' ELSE 'none' END FROM facts
SELECT CASE n WHEN 1 THEN 'one' END FROM facts
SELECT coalesce(data, 'none'), nullif(n, 0), greatest(1, n), least(n, 5) FROM facts
SELECT cast(n AS text), n::text, n::numeric(10, 2), '1'::int FROM facts
SELECT cast(n AS varchar(10)), n::double precision FROM facts
SELECT CAST(a AS numeric(10, 2)) FROM t
SELECT a::varchar(20) FROM t
SELECT a::timestamp with time zone FROM t
SELECT a::timestamptz, b::date, c::time FROM t
SELECT a::uuid, b::jsonb, c::json FROM t
SELECT a::int[], b::text[] FROM t
SELECT 'facts'::regclass
SELECT '1 day'::interval
SELECT a::pg_catalog.int4 FROM t
SELECT date '2026-11-27', timestamp '2026-11-27 10:00', interval '1 day'
SELECT now() - interval '1 hour'
SELECT * FROM t WHERE at > now() - interval '5 minutes'
SELECT current_timestamp, current_date, current_time, localtime, localtimestamp
SELECT extract(year FROM at), date_trunc('hour', at), date_part('dow', at) FROM t
SELECT at AT TIME ZONE 'UTC' FROM t
SELECT to_char(at, 'YYYY-MM-DD'), to_timestamp(5), age(at) FROM t
SELECT make_date(2026, 11, 27), make_interval(days => 5)
SELECT substring(data FROM 1 FOR 2), substring(data, 1, 2), position('a' IN data) FROM facts
SELECT trim(both ' ' FROM data), trim(data), ltrim(data), btrim(data, 'x') FROM facts
SELECT overlay(data placing 'x' FROM 1 FOR 2) FROM facts
SELECT upper(data), lower(data), initcap(data), length(data), left(data, 1), right(data, 2) FROM facts
SELECT concat(a, b), concat_ws(',', a, b), a || b, format('%s', a) FROM t
SELECT replace(a, 'x', 'y'), regexp_replace(a, 'x', 'y', 'g'), split_part(a, ',', 1), translate(a, 'a', 'b') FROM t
SELECT md5(a), encode(b, 'hex'), sha256(b) FROM t
SELECT abs(n), round(n, 2), ceil(n), floor(n), trunc(n), mod(n, 2), power(n, 2), sqrt(n), sign(n) FROM t
SELECT n + 1, n - 1, n * 2, n / 2, n % 2, -n, n ^ 2, |/ n, @ n FROM t
SELECT n & 1, n | 2, n # 3, ~n, n << 1, n >> 1 FROM t
SELECT a = b, a <> b, a != b, a < b, a <= b, a > b, a >= b FROM t
SELECT random(), pi()
SELECT gen_random_uuid()
SELECT array_agg(n ORDER BY n), string_agg(code, ',' ORDER BY code) FROM facts
SELECT array_length(tags, 1), cardinality(tags), tags[1], tags[1:2] FROM facts
SELECT tags @> ARRAY['a'], tags && ARRAY['b'], 'a' = ANY (tags) FROM facts
SELECT ARRAY[1, 2, 3], ARRAY(SELECT n FROM facts)
SELECT ROW(1, 'a'), (1, 2)
SELECT doc -> 'a' ->> 'b', doc #> '{a}', doc #>> '{a,b}' FROM t
SELECT doc @> '{"a": 1}', doc ? 'a', doc ?| ARRAY['a'], doc ?& ARRAY['a'] FROM t
SELECT doc - 'a', doc || '{"b": 1}' FROM t
SELECT jsonb_build_object('a', 1, 'b', n), json_agg(f) FROM facts f GROUP BY n
SELECT to_jsonb(f), row_to_json(f) FROM facts f
SELECT jsonb_path_query(doc, '$.a') FROM t
SELECT jsonb_set(doc, '{a}', '1') FROM t
SELECT coalesce(jsonb_agg(x), '[]'::jsonb) FROM t x
SELECT sum(n) OVER (PARTITION BY code ORDER BY at) FROM facts
SELECT row_number() OVER (ORDER BY n DESC), rank() OVER w, dense_rank() OVER w FROM facts WINDOW w AS (PARTITION BY code ORDER BY n)
SELECT lag(n) OVER (ORDER BY at), lead(n, 1, 0) OVER (ORDER BY at) FROM facts
SELECT sum(n) OVER (ORDER BY at ROWS BETWEEN 1 PRECEDING AND CURRENT ROW) FROM facts
SELECT sum(n) OVER (ORDER BY at RANGE BETWEEN UNBOUNDED PRECEDING AND UNBOUNDED FOLLOWING) FROM facts
SELECT first_value(n) OVER (PARTITION BY code ORDER BY at), ntile(4) OVER (ORDER BY n) FROM facts
SELECT count(*) FILTER (WHERE n > 1) FROM facts
SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY n) FROM facts
SELECT mode() WITHIN GROUP (ORDER BY n) FROM facts
SELECT code, sum(n) FROM facts GROUP BY ROLLUP (code)
SELECT code, region, sum(n) FROM facts GROUP BY CUBE (code, region)
SELECT code, sum(n), grouping(code) FROM facts GROUP BY GROUPING SETS ((code), ())
SELECT bool_and(a), bool_or(b), every(c) FROM t
SELECT stddev(n), variance(n), corr(a, b) FROM t
SELECT to_tsvector('english', data) @@ to_tsquery('a & b') FROM facts
SELECT ts_rank(v, plainto_tsquery('x')), ts_headline(data, to_tsquery('x')) FROM facts
SELECT * FROM facts WHERE during && tstzrange(now(), NULL)
SELECT lower(during), upper(during), isempty(during) FROM facts
SELECT a <-> b, a <@ b FROM t
SELECT inet '10.0.0.1' << inet '10.0.0.0/8', host(addr), masklen(addr) FROM t
SELECT version()
SELECT current_database(), current_user, session_user, current_schema
SELECT current_schema()
SELECT current_setting('server_version_num')
SELECT pg_catalog.format_type(t.oid, NULL) FROM pg_catalog.pg_type t
SELECT c.relname FROM pg_catalog.pg_class c JOIN pg_catalog.pg_namespace n ON n.oid = c.relnamespace WHERE pg_catalog.pg_table_is_visible(c.oid)
SELECT pg_get_indexdef(indexrelid) FROM pg_index
SELECT table_name FROM information_schema.tables WHERE table_schema = 'public'
SELECT typname, oid FROM pg_type WHERE typname IN ('hstore', 'citext')
SELECT attname FROM pg_attribute WHERE attrelid = 'facts'::regclass AND attnum > 0 AND NOT attisdropped
SELECT pg_size_pretty(pg_total_relation_size('facts'))
SELECT obj_description('facts'::regclass)
SELECT has_table_privilege('facts', 'SELECT')
SHOW server_version
SHOW search_path
SHOW ALL
SHOW TRANSACTION ISOLATION LEVEL
EXPLAIN SELECT * FROM facts
EXPLAIN VERBOSE SELECT * FROM facts
EXPLAIN (FORMAT json) SELECT * FROM facts
EXPLAIN (COSTS off, VERBOSE) SELECT 1
EXPLAIN ANALYZE SELECT * FROM facts WHERE code = 'ab'
EXPLAIN (ANALYZE, BUFFERS) SELECT * FROM facts
EXPLAIN INSERT INTO facts VALUES (1)
EXPLAIN DELETE FROM facts
SELECT * FROM facts -- the last one
SELECT /* all of it */ * FROM facts
/* from the results page */ SELECT * FROM facts
/* a /* nested */ one */ SELECT 1
SELECT 1;
SELECT 1 ;
SELECT 'DELETE FROM facts'
SELECT 'a; DELETE FROM facts'
SELECT $$INSERT INTO facts$$
SELECT $tag$UPDATE $$ x$tag$
SELECT E'it''s \'quoted\''
SELECT 'it''s'
SELECT U&'d\0061ta'
SELECT B'1010', X'1F'
SELECT 1.5, .5, 1e10, 0xff, 1_000
SELECT "update", "delete" FROM "insert"
SELECT t."into" FROM t
SELECT updated_at, deleted, inserted_by FROM t
SELECT t.key, t.value, t.name, t.type FROM t
SELECT comment, status, role, action FROM t
SELECT call, copy FROM t
SELECT a.b.c FROM a.b
SELECT count(*) AS "count" FROM t
SELECT sum(a * b)::numeric(12, 2) AS total FROM t
SELECT NULL, TRUE, FALSE
SELECT a IS TRUE, b IS NOT FALSE, c IS UNKNOWN FROM t
SELECT a COLLATE "C" FROM t ORDER BY a COLLATE "de_DE"
SELECT a FROM t ORDER BY a ASC NULLS FIRST, b DESC NULLS LAST
SELECT a FROM t ORDER BY a USING <
SELECT a FROM t LIMIT ALL
SELECT a FROM t LIMIT 5 + 5
SELECT a FROM ONLY t
SELECT a FROM t *
SELECT $1::text, $2 + 1
SELECT exists(SELECT 1 FROM t WHERE id = $1)
SELECT 1 AS one FROM t WHERE id = $1 LIMIT 1
SELECT t0.id, t0.name FROM station AS t0 WHERE (t0.id = $1) LIMIT 2
SELECT "t"."id" AS t0_c0, "t"."name" AS t0_c1 FROM "t" LEFT OUTER JOIN "u" ON "u"."t_id" = "t"."id" WHERE "t"."id" IN ($1, $2, $3)
SELECT "auth_user"."id", "auth_user"."username" FROM "auth_user" WHERE UPPER("auth_user"."username"::text) = UPPER($1)
SELECT COUNT(*) AS "__count" FROM "app_vote"
SELECT region, station, sum(votes) AS total FROM tallies WHERE election = 17 GROUP BY region, station ORDER BY total DESC
SELECT p.name, sum(t.votes) AS votes, round(100.0 * sum(t.votes) / nullif(sum(sum(t.votes)) OVER (), 0), 2) AS share FROM tallies t JOIN parties p ON p.id = t.party GROUP BY p.name
SELECT s.id, s.name, (SELECT max(t.at) FROM tallies t WHERE t.station = s.id) AS last FROM stations s WHERE s.region = $1
SELECT date_trunc('minute', at) AS minute, count(*) FROM tallies WHERE at >= $1 AND at < $2 GROUP BY 1 ORDER BY 1
SELECT * FROM tallies WHERE station = $1 AND at = (SELECT max(at) FROM tallies WHERE station = $1)
SELECT DISTINCT region FROM stations ORDER BY region
SELECT width_bucket(n, 0, 100, 10), count(*) FROM facts GROUP BY 1
SELECT num_nulls(a, b), pg_typeof(a) FROM t
SELECT string_to_array(a, ','), array_to_string(b, ',') FROM t
SELECT regexp_matches(a, 'x', 'g'), regexp_split_to_table(a, ',') FROM t
SELECT cume_dist() OVER (ORDER BY n), percent_rank() OVER (ORDER BY n) FROM facts
SELECT xmlelement(name foo, a) FROM t
SELECT a FROM t WHERE a > ALL (SELECT b FROM u)
SELECT a FROM t WHERE a = SOME (SELECT b FROM u)
SELECT a FROM t WHERE ((a)) = ((1))
SELECT (((1)))
SELECT a.* FROM a
SELECT (a).* FROM a
SELECT t FROM t
SELECT a[1][2] FROM t
SELECT nullif(trim(a), '') FROM t
SELECT unnest(array_agg(a)) FROM t
SELECT greatest(a, b), least(a, b) FROM t
SELECT justify_days(interval '35 days')
SELECT a FROM t WHERE a NOT IN (1, 2) AND b NOT LIKE 'x' AND c NOT BETWEEN 1 AND 2
SELECT a FROM t WHERE a LIKE 'x\%' ESCAPE '\'
SELECT a FROM t WHERE a LIKE 'x!%' ESCAPE '!'
SELECT a FROM t WHERE a ISNULL OR b NOTNULL
SELECT (a, b) OVERLAPS (c, d) FROM t
SELECT EXTRACT(epoch FROM now())::bigint
SELECT mod(a, 2) = 0 FROM t
SELECT t1.a, t2.b FROM (t1 JOIN t2 ON t1.id = t2.id)
SELECT * FROM (a CROSS JOIN b) JOIN c USING (id)
SELECT s.region, count(*) FILTER (WHERE t.at IS NULL) AS missing FROM stations s LEFT JOIN tallies t ON t.station = s.id GROUP BY s.region
SELECT * FROM tallies ORDER BY at DESC, id LIMIT $1 OFFSET $2
SELECT id FROM stations WHERE lower(name) = lower($1)
SELECT max(at) FROM tallies WHERE station IN ($1, $2, $3, $4)
WITH latest AS (SELECT DISTINCT ON (station) station, votes FROM tallies ORDER BY station, at DESC) SELECT sum(votes) FROM latest
WITH a AS (SELECT 1 AS x), b AS (SELECT x + 1 AS y FROM a) SELECT a.x, b.y FROM a, b
SELECT r.name, x.total FROM regions r CROSS JOIN LATERAL (SELECT sum(votes) AS total FROM tallies t WHERE t.region = r.id) x
SELECT station, votes, votes - lag(votes) OVER (PARTITION BY station ORDER BY at) AS gained FROM tallies
SELECT json_build_object('type', 'FeatureCollection', 'features', json_agg(x)) FROM stations x
SELECT id, name FROM stations WHERE name ~* $1 ORDER BY similarity(name, $1) DESC LIMIT 5
SELECT 1 FROM stations WHERE id = $1 AND closed_at IS NULL
SELECT * FROM t WHERE a::date = current_date
SELECT * FROM t WHERE (doc ->> 'n')::int > 5
SELECT to_char(sum(n), 'FM999,999') FROM t
SELECT CASE WHEN count(*) > 0 THEN round(avg(n), 1) END FROM t
EXPLAIN ("costs" off) DELETE FROM facts
EXPLAIN (ANALYZE off) DELETE FROM facts
EXPLAIN ("analyze", "buffers") SELECT * FROM facts WHERE code = 'ab'
SELECT a FROM t WHERE name LIKE 'x'
SELECT name, value, key FROM t WHERE key = 'x' AND value IN ('a', 'b')
SELECT a FROM t WHERE t.a NOT LIKE 'x' ORDER BY a LIMIT '1'
SELECT a AS "x", 'y' AS z, 'q' z FROM t
SELECT a FROM t WHERE ts > timestamp 'x' - interval '1 day'
SELECT extract(epoch FROM timestamp 'x'), extract('year' FROM a) FROM t
SELECT position('x' IN a), substring(a FROM 'x'), substring(a FROM 'x' FOR '#'), trim('x' FROM a), trim(LEADING 'x' FROM a) FROM t
SELECT a FROM t WHERE a SIMILAR TO 'x' ESCAPE 'y'
SELECT sum(a) OVER (ORDER BY b RANGE BETWEEN '1 day' PRECEDING AND '1 day' FOLLOWING) FROM t
SELECT a FROM t WHERE x IS NOT DISTINCT FROM 'y' OR (a, b) OVERLAPS (c, d)
SELECT a FROM t WHERE (a, b) = ('x', 'y') AND a = ANY ('x') AND b = ALL (ARRAY['x'])
SELECT json_object('a' VALUE 'b'), json_object('a' : 'b'), jsonb_build_object('a', 'b')
SELECT a COLLATE "C" FROM t WHERE a COLLATE "C" LIKE 'x'
SELECT x.a FROM (VALUES ('x', 1), ('y', 2)) AS x(a, b)
SELECT x.a FROM (SELECT a, b FROM t) x (a, b)
SELECT a FROM t x(b, c)
WITH x(a, b) AS (SELECT 'a', 'b'), y AS (SELECT 1) SELECT * FROM x, y
SELECT string_agg(a, ',' ORDER BY a), string_agg(DISTINCT a, 'x') FROM t
SELECT CASE a WHEN 'x' THEN 'y' ELSE 'z' END FROM t
SELECT CASE WHEN a LIKE 'x' THEN 'y' WHEN name ILIKE 'q' THEN 'z' END LIKE 'x' FROM t
SELECT a FROM t WHERE upper(name) LIKE 'X' AND a[1] LIKE 'y' AND (data ->> 'x') LIKE 'y' AND data ->> 'x' ILIKE 'z'
SELECT a FROM t WHERE a::text LIKE 'x' AND a::varchar(10) LIKE 'y' AND CAST(a AS text) LIKE 'z'
SELECT a FROM t WHERE date LIKE 'x' AND timestamp > 'y' AND text LIKE 'z' AND user LIKE 'z'
SELECT a FROM t WHERE a BETWEEN date 'x' AND date 'y'
SELECT DISTINCT ON (a) a, 'x' FROM t
SELECT a FROM t TABLESAMPLE SYSTEM (1)
SELECT a FROM t WHERE language LIKE 'x' AND t.name ~~ 'x' AND groups LIKE 'y' AND range NOT ILIKE 'z'
SELECT a FROM t WHERE no LIKE 'x' OR t.no LIKE 'y' AND of LIKE 'y'
SELECT count(*) FILTER (WHERE name LIKE 'x') FROM t
SELECT 'x'::regclass, regclass 'x', json '{}', jsonb '{}' -> 'x', uuid 'x', inet 'x', point '(1,2)'
SELECT int4range '[1,2]', money '1', xml '<x/>', bytea 'x', "char" 'x', oid '1', path '((1,2))', box '1'
SELECT a FROM t GROUP BY 'x', GROUPING SETS ((a), ()) ORDER BY 'x' DESC NULLS FIRST
