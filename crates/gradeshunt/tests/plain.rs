//! Plain statements (without a routing comment) through the program: which db host runs them, and that their
//! results arrive whole.

use std::path::{Path, PathBuf};
use std::time::Duration;

use gradeshunt_stand_ins::postgres::client::{Client, Reply};
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::script::{Act, Rule, Table};
use gradeshunt_stand_ins::site::{Plan, Site};

const RULES: &str = r#"
route { name: "reads" match { access: READ } class: "own-read" cluster: 1 }
route { name: "writes" class: "plain-write" cluster: 1 }
functions { reading: "turnout" }
"#;

struct Setup {
    site: Site,
    process: Process,
    platform: Platform,
    folder: PathBuf,
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Setup {
    fn open(name: &str, rules: Option<&str>) -> Setup {
        let site = Site::open(Plan::default()).expect("a site");
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("plain-{name}-{}", std::process::id()));
        let mut platform =
            Platform::new(Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder, false).expect("a folder");
        platform.configure(&site.config()).expect("a file");
        if let Some(rules) = rules {
            let file = folder.join("rules.textproto");
            std::fs::write(&file, rules).expect("a file");
            platform.environment.push(("ROUTER_RULES".to_owned(), file.display().to_string()));
        }
        let process = platform.start().expect("the process starts");
        process.ready().expect("the process serves");
        Setup { site, process, platform, folder }
    }

    fn client(&self) -> Client {
        let listen = self.process.listen.expect("the process logs its address");
        let identity = [("user", "reporter"), ("database", "results"), ("application_name", "page")];
        Client::connect(listen, &identity, Duration::from_secs(60)).expect("the session starts")
    }

    /// Numbers of the db hosts that ran a statement containing this text.
    fn hosts_that_ran(&self, text: &str) -> Vec<usize> {
        self.site.sets[0].ran().iter().filter(|r| r.request.contains(text)).map(|r| r.host).collect()
    }

    /// The value of a counter or gauge.
    fn figure(&self, path: &str, name: &str) -> u64 {
        let (_, figures) = self.process.call("GET", path).expect("an answer");
        let value = figures.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {figures}"))
    }

    /// Adds a rule to the scripts of all db hosts.
    fn script_all_hosts(&self, rule: &Rule) {
        (0..3).for_each(|n| self.site.sets[0].script(n, rule.clone()));
    }
}

fn ask(client: &mut Client, statement: &str) -> Reply {
    client.query(statement).expect("an answer")
}

/// Statements that may write reach only the primary, wherever in the statement the write is. Reads go to
/// replicas unchanged.
#[test]
fn writes_reach_only_the_primary() {
    let setup = Setup::open("writes", Some(RULES));
    let mut client = setup.client();
    let writes = [
        "SELECT record_vote(1)",
        "SELECT a FROM t ORDER BY record_vote(2)",
        "WITH x AS (DELETE FROM t RETURNING 3) SELECT * FROM x",
        "SELECT 4 FROM t FOR UPDATE",
        "FROB 5",
        "EXPLAIN (ANALYZE) DELETE FROM t WHERE n = 6",
    ];
    for statement in writes {
        assert_eq!(ask(&mut client, statement).outcome_name(), "served", "{statement}");
        assert_eq!(setup.hosts_that_ran(statement), [0], "{statement}");
    }
    let reads = ["SELECT turnout(7) FROM t  /* as it is */", "select 'DELETE' , 8"];
    for statement in reads {
        // A new session, which has no writes of its own to see and may read from a replica.
        assert_eq!(ask(&mut setup.client(), statement).outcome_name(), "served", "{statement}");
        let ran = setup.site.sets[0].ran();
        let ran: Vec<_> = ran.iter().filter(|r| r.request == statement).map(|r| r.host).collect();
        assert!(ran.len() == 1 && ran[0] != 0, "{statement}: {ran:?}");
    }
    let (status, figures) = setup.process.call("GET", "/shapes").expect("an answer");
    let lines = [
        "app_statements{access=\"read\"} 2",
        "app_statements{access=\"write\"} 5",
        "app_statements{access=\"unknown\"} 1",
    ];
    assert!(status == 200 && lines.iter().all(|l| figures.contains(l)), "{figures}");
}

/// A read sees what its own connection wrote before, however far replicas lag behind.
#[test]
fn session_reads_its_own_writes() {
    let setup = Setup::open("own", Some(RULES));
    (1..3).for_each(|n| setup.site.sets[0].set_lag(n, Duration::from_secs(3600)));
    let mut client = setup.client();
    for n in 0..20 {
        let reply =
            ask(&mut client, &format!("INSERT INTO facts (code, data) VALUES ('a', '{n}') RETURNING data"));
        assert_eq!(reply.tag.as_deref(), Some("INSERT 0 1"));
        let reply = ask(&mut client, "SELECT data FROM facts WHERE code = 'a'");
        assert_eq!(reply.value(), Some(n.to_string()));
    }
}

/// All messages of a result arrive in order, including notices, the row description and the command tag.
#[test]
fn whole_results_arrive() {
    let setup = Setup::open("results", Some(RULES));
    let mut table = Table::of(&["station", "votes", "remark"], &[&["one", "17", "x"], &["two", "5", ""]]);
    table.rows[1][2] = None;
    table.notices = vec!["recounted".to_owned()];
    setup.script_all_hosts(&Rule::always("FROM tallies", Act::Answer(table.clone())));
    setup.script_all_hosts(&Rule::always("FROM nobody", Act::Answer(Table::of(&["station"], &[]))));
    let silent = Table { tag: "VACUUM".to_owned(), ..Table::default() };
    setup.script_all_hosts(&Rule::always("VACUUM", Act::Answer(silent)));
    setup.script_all_hosts(&Rule::always(
        "FROM typo",
        Act::Refuse { code: "42P01".to_owned(), text: "no such table".to_owned() },
    ));
    let mut client = setup.client();
    let reply = ask(&mut client, "SELECT * FROM tallies");
    assert_eq!(
        (reply.order.as_str(), &reply.rows, reply.tag.as_deref()),
        ("NTDDCZ", &table.rows, Some("SELECT 2"))
    );
    assert_eq!((reply.columns, reply.notices), (3, table.notices));
    let reply = ask(&mut client, "SELECT * FROM nobody");
    assert_eq!((reply.order.as_str(), reply.tag.as_deref()), ("TCZ", Some("SELECT 0")));
    let reply = ask(&mut client, "VACUUM");
    assert_eq!((reply.order.as_str(), reply.tag.as_deref()), ("CZ", Some("VACUUM")));
    assert_eq!(ask(&mut client, "SELECT * FROM typo").code(), Some("42P01"));
    assert_eq!(ask(&mut client, " -- nothing").order, "IZ");
    for statement in ["BEGIN", "COPY t FROM STDIN", "SELECT 1; SELECT 2", "LISTEN x"] {
        assert_eq!(ask(&mut client, statement).code(), Some("0A000"), "{statement}");
    }
    assert_eq!(ask(&mut client, "SELECT 1").outcome_name(), "served", "the connection stays usable");
}

/// A result far larger than the program's buffers arrives whole, as fast as the client reads it. If it breaks
/// off, the client gets an error and can't mistake it for a complete result.
#[test]
fn large_results_arrive_at_the_readers_pace() {
    let setup = Setup::open("large", Some(RULES));
    let rows: Vec<_> = (0..20_000).map(|n| vec![Some(format!("{n:0>200}").into_bytes()), None]).collect();
    let table = Table { columns: vec!["a".to_owned(), "b".to_owned()], rows, ..Table::default() };
    setup.script_all_hosts(&Rule::always("FROM large", Act::Answer(table.clone())));
    let mut client = setup.client();
    for _ in 0..3 {
        let reply = ask(&mut client, "SELECT * FROM large");
        assert_eq!(reply.rows.len(), table.rows.len());
        assert!(reply.rows == table.rows && reply.tag.as_deref() == Some("SELECT 20000"));
    }
    setup.site.sets[0].clear_scripts();
    setup.script_all_hosts(&Rule::always("FROM large", Act::CutAfter(table, 2_000_000)));
    assert!(client.query("SELECT * FROM large").is_err(), "the connection ends in the middle of the rows");
}

/// A plain write that may have run is never sent again: it has no idempotency key, so it could run twice.
#[test]
fn a_write_that_may_have_run_is_not_repeated() {
    let setup = Setup::open("once", Some(RULES));
    // A read is safe to repeat and is sent again.
    (1..3).for_each(|n| setup.site.sets[0].script(n, Rule::once("SELECT 'again'", Act::ResetBefore)));
    assert_eq!(ask(&mut setup.client(), "SELECT 'again'").outcome_name(), "served");
    setup.script_all_hosts(&Rule::always("VALUES ('a'", Act::ResetAfter));
    let mut client = setup.client();
    let reply = ask(&mut client, "INSERT INTO facts (code, data) VALUES ('a', '1')");
    assert_eq!(reply.outcome_name(), "failed", "{reply:?}");
    assert_eq!(setup.hosts_that_ran("VALUES ('a'"), [0]);
}

/// A write that EXPLAIN runs because of a quoted option is no read: it is not sent to a replica, and not sent again
/// where its connection breaks behind it.
#[test]
fn a_write_that_explain_runs_is_not_repeated() {
    let setup = Setup::open("explained", Some(RULES));
    setup.script_all_hosts(&Rule::always("VALUES ('a'", Act::ResetAfter));
    let statement = "EXPLAIN (\"analyze\", \"costs\") INSERT INTO facts (code, data) VALUES ('a', '1')";
    let reply = ask(&mut setup.client(), statement);
    assert_eq!(reply.outcome_name(), "failed", "{reply:?}");
    assert_eq!(setup.hosts_that_ran("VALUES ('a'"), [0]);
}

/// Opens a site whose standbys refuse `turnout`, which the rules declare to be free of effects, as a write.
fn open_with_wrong_declaration(name: &str, rules: Option<&str>) -> Setup {
    let setup = Setup::open(name, rules);
    let refuse = Act::Refuse { code: "25006".to_owned(), text: "read-only transaction".to_owned() };
    (1..3).for_each(|n| setup.site.sets[0].script(n, Rule::always("turnout(", refuse.clone())));
    setup
}

/// A write that is taken for a read is sent again like one, so it ran twice: once a standby has refused it as a write,
/// it is not repeated behind a reset.
#[test]
fn a_read_that_a_standby_refused_as_a_write_is_not_repeated() {
    let comment = "/* id=1,c=page-read,d=60000,cluster=1 */ SELECT turnout(1)";
    for (rules, statement) in [(Some(RULES), "SELECT turnout(1)"), (Some(RULES), comment), (None, comment)] {
        let setup = open_with_wrong_declaration("refused", rules);
        setup.site.sets[0].script(0, Rule::always("turnout(", Act::ResetAfter));
        let reply = ask(&mut setup.client(), statement);
        assert_eq!(reply.outcome_name(), "failed", "{statement}: {reply:?}");
        assert_eq!(setup.hosts_that_ran("turnout(1)"), [0], "{statement}");
    }
}

/// A wrong verdict costs one wasted call: statements of a shape that a standby refused as a write are sent as writes from
/// then on, also with a comment that names a reading class and with new rules.
#[test]
fn statements_that_a_standby_refused_as_writes_go_to_the_primary_at_once() {
    let mut setup = open_with_wrong_declaration("refuted", Some(RULES));
    let mut client = setup.client();
    assert_eq!(ask(&mut client, "SELECT turnout(1)").outcome_name(), "served");
    assert_eq!(setup.figure("/status/metrics", "app_reads_refused_as_writes"), 1);
    assert_eq!(setup.figure("/shapes", "app_refuted_shapes"), 1);
    (1..3).for_each(|n| setup.site.sets[0].set_lag(n, Duration::from_secs(3600)));
    assert_eq!(ask(&mut client, "SELECT 'seen'").outcome_name(), "served");
    assert_eq!(setup.hosts_that_ran("'seen'"), [0], "the session's reads see what it wrote");
    let comment = "/* id=1,c=own-read,d=60000,cluster=1 */";
    for statement in ["select turnout( 2 )", &format!("{comment} SELECT turnout(3)")] {
        assert_eq!(ask(&mut setup.client(), statement).outcome_name(), "served", "{statement}");
    }
    setup.process.signal("HUP").expect("the signal is sent");
    setup.process.until("configuration reread").expect("the process logs it");
    assert_eq!(ask(&mut setup.client(), "SELECT turnout(4)").outcome_name(), "served");
    for call in ["turnout(1", "turnout( 2", "turnout(3", "turnout(4"] {
        assert_eq!(setup.hosts_that_ran(call), [0], "{call}");
    }
    assert_eq!(
        setup.figure("/status/metrics", "app_reads_refused_as_writes"),
        1,
        "no standby was asked again"
    );
}

/// Temporary objects would stay on a connection that another client gets next: its statements found them.
#[test]
fn temporary_objects_do_not_reach_a_db_host() {
    let setup = Setup::open("temporary", Some(RULES));
    let comment = "/* id=1,c=own-read,d=60000,cluster=1 */";
    for statement in [
        "CREATE TEMP TABLE facts (code text)",
        "SELECT 1 INTO TEMP facts",
        "SELECT code FROM \"pg_temp\".facts",
        &format!("{comment} CREATE LOCAL TEMPORARY VIEW facts AS SELECT 1"),
        &format!("{comment} LISTEN facts"),
    ] {
        let reply = ask(&mut setup.client(), statement);
        assert_eq!(reply.code(), Some("0A000"), "{statement}: {reply:?}");
    }
    assert_eq!(setup.hosts_that_ran("facts"), Vec::<usize>::new());
}

/// A write whose routing comment names a reading class still goes to the primary.
#[test]
fn reading_class_in_a_comment_does_not_redirect_a_write() {
    let setup = Setup::open("less", Some(RULES));
    let mut client = setup.client();
    let statement = "/* id=1,c=own-read,d=60000,cluster=1 */ SELECT record_vote('a')";
    assert_eq!(ask(&mut client, statement).outcome_name(), "served");
    assert_eq!(setup.hosts_that_ran("record_vote"), [0]);
    let (_, figures) = setup.process.call("GET", "/shapes").expect("an answer");
    assert!(figures.contains("app_contradictions 1\n"), "{figures}");
}

/// On SIGHUP, an invalid rules file leaves the old rules in force, and a valid one replaces them.
#[test]
fn rules_are_reread() {
    let mut setup = Setup::open("reread", Some(RULES));
    let file = setup.folder.join("rules.textproto");
    std::fs::write(&file, RULES.replace("cluster: 1", "clutser: 1")).expect("a file");
    setup.process.signal("HUP").expect("the signal is sent");
    let line = setup.process.until("configuration kept").expect("the process logs it");
    assert!(line.contains("rules.textproto:2:"), "{line}");
    assert_eq!(ask(&mut setup.client(), "SELECT 1").outcome_name(), "served");
    let writes_only = "route { match { access: WRITE } class: \"plain-write\" cluster: 1 }";
    std::fs::write(&file, writes_only).expect("a file");
    setup.process.signal("HUP").expect("the signal is sent");
    setup.process.until("configuration reread").expect("the process logs it");
    assert_eq!(ask(&mut setup.client(), "SELECT 1").code(), Some("42501"));
    let _ = setup.platform.config();
}

#[test]
fn without_rules_plain_statements_are_refused() {
    let setup = Setup::open("none", None);
    assert_eq!(ask(&mut setup.client(), "SELECT 1").code(), Some("22023"));
    assert_eq!(setup.process.call("GET", "/shapes").expect("an answer").0, 404);
}

/// Gives replies the name of their outcome, in the categories of these tests.
trait OutcomeName {
    fn outcome_name(&self) -> &'static str;
}

impl OutcomeName for Reply {
    fn outcome_name(&self) -> &'static str {
        use gradeshunt_stand_ins::checker::Outcome;
        match self.outcome() {
            Outcome::Served => "served",
            Outcome::Refused => "refused",
            _ => "failed",
        }
    }
}
