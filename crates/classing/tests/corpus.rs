//! The corpus: every statement that writes, or may, goes to the primary; and so do few of the reads. Generated variants keep
//! the verdict, and whatever comes, nothing panics.

use std::path::Path;

use gradeshunt_classing::lexer::{Kind, Lexer};
use gradeshunt_classing::{canonical, Access, Catalogue, Classer, Declared, Key};
use proptest::prelude::*;

fn classer() -> Classer {
    Classer::new(Key(1, 2), Catalogue::default(), 1 << 20)
}

fn corpus(name: &str) -> Vec<String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus").join(name);
    let text = std::fs::read_to_string(file).expect("the corpus");
    text.lines().filter(|l| !l.is_empty() && !l.starts_with("-- ")).map(str::to_owned).collect()
}

fn access(classer: &mut Classer, statement: &str) -> Access {
    classer.class(statement).verdict.access
}

#[test]
fn every_write_goes_to_the_primary_and_few_reads_do() {
    let (writes, reads) = (corpus("writes.sql"), corpus("reads.sql"));
    assert!(writes.len() >= 250 && writes.len() + reads.len() >= 500, "{} and {}", writes.len(), reads.len());
    let mut classer = classer();
    let wrong: Vec<_> = writes.iter().filter(|s| access(&mut classer, s) == Access::Read).collect();
    assert!(wrong.is_empty(), "taken for reads:\n{wrong:#?}");
    let doubted = reads.iter().filter(|s| access(&mut classer, s) != Access::Read);
    let doubted: Vec<_> = doubted.map(|s| (s, classer_why(s))).collect();
    assert!(
        doubted.len() * 100 <= reads.len() * 3,
        "of {}, not proved to be reads:\n{doubted:#?}",
        reads.len()
    );
}

fn classer_why(statement: &str) -> String {
    classer().judge(statement).why
}

/// Writes a statement anew: other case, other space, comments, other literals; all as the random numbers say.
fn rewritten(statement: &str, random: &mut fastrand::Rng, literals: bool) -> Option<String> {
    let mut lexer = Lexer::new(statement.as_bytes());
    let mut text = String::new();
    while let Some(token) = lexer.next().ok()? {
        let part = std::str::from_utf8(token.text).ok()?;
        let part = match token.kind {
            Kind::Word => part
                .chars()
                .map(|c| if random.bool() { c.to_ascii_uppercase() } else { c.to_ascii_lowercase() })
                .collect(),
            Kind::Quoted => format!("\"{part}\""),
            Kind::Number if literals => random.u32(..).to_string(),
            Kind::Text if literals => {
                let words = ["''", "'DELETE FROM t'", "$$;$$", "E'\\''", "'--'", "'/*'", "U&'x'", "n'x'"];
                words[random.usize(..words.len())].to_owned()
            }
            _ => part.to_owned(),
        };
        let gaps = [" ", "  ", "\n", "\t", " /* x */ ", " -- y\n", "/* 'a */", "/* /* b */ ; */"];
        text += gaps[random.usize(..gaps.len())];
        text += &part;
    }
    Some(text)
}

#[test]
fn variants_keep_shape_and_verdict() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut classer = classer();
    for statement in corpus("writes.sql").iter().chain(&corpus("reads.sql")) {
        let told = classer.class(statement);
        for literals in [false, false, true, true] {
            let Some(variant) = rewritten(statement, &mut random, literals) else { continue };
            // Two strings side by side become one where a line break comes between them.
            if variant.contains('\n') && statement.contains("' '") {
                continue;
            }
            let again = classer.class(&variant);
            assert_eq!(again.shape, told.shape, "{statement}\n{variant}");
            assert_eq!(again.verdict, told.verdict, "{statement}\n{variant}");
            assert_eq!(classer.judge(&variant), *told.verdict, "the cache and the judge agree: {variant}");
        }
    }
}

/// Guards each place where a query can stand: what it does there, the whole does.
#[test]
fn wrapping_keeps_the_verdict() {
    let wraps = [
        ("SELECT * FROM (", ") x"),
        ("WITH w AS (", ") SELECT * FROM w"),
        ("SELECT 1 WHERE EXISTS (", ")"),
        ("SELECT * FROM t WHERE a IN (", ")"),
        ("SELECT * FROM t, LATERAL (", ") y"),
        ("SELECT 1 UNION ALL (", ")"),
        ("EXPLAIN ANALYZE ", ""),
        ("", " ;"),
    ];
    let mut classer = classer();
    let query = |s: &&String| {
        let verb = s.trim_start_matches('(').split(' ').next().unwrap_or_default().to_ascii_lowercase();
        matches!(&*verb, "select" | "with" | "values" | "table") && !s.contains(';') && !s.contains("--")
    };
    let (mut tried, mut kept) = (0, 0);
    for (name, reads) in [("writes.sql", false), ("reads.sql", true)] {
        for statement in corpus(name).iter().filter(query) {
            let is_read = access(&mut classer, statement) == Access::Read;
            for (before, after) in wraps {
                let wrapped = format!("{before}{statement}{after}");
                let verdict = classer.judge(&wrapped);
                assert!(reads || verdict.access != Access::Read, "{wrapped}");
                if reads && is_read {
                    tried += 1;
                    kept += usize::from(verdict.access == Access::Read);
                }
            }
        }
    }
    assert!(kept * 100 >= tried * 97, "{kept} of {tried} wrapped reads are still reads");
}

#[test]
fn what_is_declared_counts() {
    let declared = Declared {
        reading: vec!["turnout".into(), "app.share_of".into(), "votes_of".into()],
        writing: vec!["abs".into(), "bump".into()],
        types: vec!["station_state".into()],
    };
    let mut classer = Classer::new(Key(1, 2), Catalogue::new(&declared), 1 << 20);
    let cases = [
        ("SELECT turnout(5), app.share_of(1)", Access::Read),
        ("SELECT app.turnout(5)", Access::Write),
        ("SELECT share_of(5)", Access::Write),
        ("SELECT abs(1)", Access::Write),
        ("SELECT pg_catalog.abs(1)", Access::Write),
        ("SELECT t.bump FROM t", Access::Write),
        ("SELECT 'open'::station_state", Access::Read),
        ("SELECT CAST('open' AS station_state)", Access::Read),
    ];
    for (statement, expected) in cases {
        assert_eq!(
            access(&mut classer, statement),
            expected,
            "{statement}: {}",
            classer.judge(statement).why
        );
    }
}

/// Guards the stack and the time: none of these may be parsed at length.
#[test]
fn monsters_are_unknown() {
    let classer = classer();
    let n = 1 << 20;
    let monsters = [
        "(".repeat(n),
        format!("SELECT {}1{}", "(".repeat(n / 2), ")".repeat(n / 2)),
        format!("SELECT * FROM {}t{}", "(".repeat(n / 2), ")".repeat(n / 2)),
        format!("SELECT {}1{}", "(".repeat(15), ")".repeat(15)),
        format!("SELECT * FROM {}t{}", "(".repeat(15), ")".repeat(15)),
        format!("SELECT {}1", "- ".repeat(n / 2)),
        format!("SELECT {}1", "NOT ".repeat(n / 4)),
        format!("SELECT 1{}", "+1".repeat(n / 2)),
        format!("SELECT 1{}", "::int".repeat(n / 5)),
        format!("SELECT {}", "CASE WHEN ".repeat(n / 10)),
        format!("SELECT a{}", "[1]".repeat(n / 3)),
        format!("SELECT 1{}", " UNION SELECT 1".repeat(n / 15)),
        format!("SELECT {}", "/*".repeat(n / 2)),
        format!("SELECT {}", "'a' ".repeat(n / 4)),
        format!("SELECT {}", "'\n".repeat(n / 2 - 1)),
        format!("SELECT {}", "$a$b".repeat(n / 4) + "$a$ $b$"),
        format!("SELECT {}", "+".repeat(n)),
        format!("SELECT a{}", ".a".repeat(n / 2)),
        format!("SELECT {}", "a,".repeat(n / 2)),
        format!("SELECT {}", "f(".repeat(n / 2)),
    ];
    for monster in &monsters {
        let start: String = monster.chars().take(40).collect();
        let verdict = classer.judge(monster);
        let bracketed = monster.len() < 100;
        assert!(bracketed || verdict.access != Access::Read, "{start}: {}", verdict.why);
    }
}

/// Text that looks like SQL here and there.
fn soup() -> impl Strategy<Value = String> {
    let words = prop::sample::select(vec![
        "select", "from", "t", "where", "(", ")", ",", "1", "'x'", "$$", "$1", "abs", "nextval", "insert",
        "into", "values", "in", ".", "\"a\"", "::", "int", "for", "update", "with", "as", "union", ";", "/*",
        "*/", "--", "\n", "e'", "\\", "'", "[", "]", "-", "+", "case", "when", "then", "end", "exists",
        "array", "row", "over", "limit", "all", "not", "u&\"", "é",
    ]);
    prop::collection::vec(words, 0..30).prop_map(|w| w.join(" "))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards the claim that a verdict is the shape's: the canonical text has the verdict of what it was made from.
    #[test]
    fn a_shape_has_one_verdict(statement in soup()) {
        let mut classer = classer();
        let told = classer.class(&statement);
        prop_assert_eq!(&classer.judge(&statement), &*told.verdict);
        if let (Ok(text), false) = (canonical(&statement), statement.contains('\\')) {
            let again = classer.class(&text);
            prop_assert_eq!(again.verdict, told.verdict, "{}", text);
        }
    }

    #[test]
    fn nothing_panics(statement in ".{0,200}") {
        let mut classer = classer();
        let told = classer.class(&statement);
        prop_assert_eq!(&classer.judge(&statement), &*told.verdict);
    }
}
