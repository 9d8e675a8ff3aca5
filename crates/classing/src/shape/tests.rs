//! Tests of the part named by the folder.

use super::*;

fn text(statement: &str) -> String {
    canonical_tokens(statement.as_bytes()).map(|p| canonical(&p)).unwrap_or_default()
}

/// Guards the cache's use: what differs in values and looks alone is one shape, what differs in more is not.
#[test]
fn folds_what_means_nothing() {
    let cases = [
        ("SELECT a FROM t WHERE b = 'x' /* c */ AND d=5", "select a from t where b = 'x' and d = 1"),
        ("select x from t where a in (1, -2, 'c', $4)", "select x from t where a in ( 1 )"),
        ("select x from t where a in (1, b, 2)", "select x from t where a in ( 1 , b , 1 )"),
        ("select x from t where a in (1, -b)", "select x from t where a in ( 1 , - b )"),
        ("select x from t where a in (select 1)", "select x from t where a in ( select 1 )"),
        ("insert into t values (1,'a'),(2,'b'), (3, NULL)", "insert into t values ( 1 ) , ( 1 , null )"),
        ("insert into t values (1,'a'),(2,f(3))", "insert into t values ( 1 ) , ( 1 , f ( 1 ) )"),
        ("values (1),(2) order by 1", "values ( 1 ) order by 1"),
        ("values (1), (a)", "values ( 1 ) , ( a )"),
        ("select array[1,2,3], f(1,2)", "select array [ 1 ] , f ( 1 , 1 )"),
        ("select \"A\".b, $1, B'0101'", "select \"A\".b , $1 , B'1'"),
        ("values (1),", "values ( 1 ) ,"),
        ("values (1),(", "values ( 1 ) , ("),
        ("values (1),(2,-", "values ( 1 ) , ( 1 , -"),
    ];
    for (statement, canonical) in cases {
        assert_eq!(text(statement), canonical, "{statement}");
    }
}

/// Guards verdicts: the hash takes in just what the canonical text does.
#[test]
fn hash_and_text_agree() {
    let statements = [
        "select a from t",
        "SELECT  a\nFROM t -- x",
        "select A from T",
        "select \"A\" from t",
        "select \"a\" from t",
        "select a from t where b in (1)",
        "select a from t where b in (1, 2)",
        "select a from t where b in (c)",
        "select ab from t",
        "select a b from t",
        "select 1",
        "select 'a'",
        "select 2",
        "select $1",
        "select 'a\\'",
        "values (1)",
        "values (2),(3)",
        "select a.b from t",
        "select a . b from t",
        "select aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
        "select AAAAaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    ];
    let key = Key(1, 2);
    for a in statements {
        for b in statements {
            let same = canonical_tokens(a.as_bytes()) == canonical_tokens(b.as_bytes());
            assert_eq!(shape(key, a.as_bytes()) == shape(key, b.as_bytes()), same, "{a} | {b}");
        }
    }
    assert_ne!(shape(Key(1, 3), b"select 1"), shape(key, b"select 1"));
}
