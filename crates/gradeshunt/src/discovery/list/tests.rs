//! Tests of the reader of lists.

use super::*;

/// Guards the memory of a long-lived process: within a day all db hosts are replaced under new names, many
/// times over.
#[test]
fn forgets_names_that_are_gone() {
    let names = Names { zones: vec!["a".into()], ..Names::default() };
    let mut reader = ListReader::new(names);
    let mut read = |id: &str, lifecycle: &str, reset: bool| {
        let list = serde_json::json!({"generation": 1, "reset": reset, "instances": [{"instanceId": id,
            "hostPort": "127.0.0.1:1", "zone": "a", "cell": 1, "lifecycle": lifecycle}]});
        let member =
            reader.read_list(&Clock::start(), &list.to_string(), 0).expect("a list").entries[0].member;
        (member, reader.numbers.len())
    };
    for n in 0..100 {
        assert_eq!(read(&format!("s-{n}"), "ready", false), (MemberId(n), 1));
        assert_eq!(read(&format!("s-{n}"), "gone", false), (MemberId(n), 0));
    }
    assert_eq!(read("s-0", "ready", false), (MemberId(100), 1), "it returns with another number");
    assert_eq!(read("s-0", "draining", false), (MemberId(100), 1));
    assert_eq!(read("s-1", "ready", true), (MemberId(101), 1));
}

fn reader() -> ListReader {
    ListReader::new(Names { zones: vec!["a".into()], ..Names::default() })
}

/// Guards the event loop against long lists: work that grows with the square of their length blocks the loop
/// for seconds.
#[test]
fn long_list_is_accepted_and_replaced_by_the_next() {
    let instance = |n: usize| {
        format!(
            r#"{{"instanceId":"s-{n}","hostPort":"127.0.0.1:1","zone":"z{n}","cell":1,"lifecycle":"ready"}}"#
        )
    };
    let list = |n| {
        let all: Vec<_> = (0..n).map(instance).collect();
        format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, all.join(","))
    };
    let (mut reader, clock) = (reader(), Clock::start());
    let update = reader.read_list(&clock, &list(10_000), 0).expect("a list");
    assert_eq!((update.entries.len(), update.unreadable, reader.numbers.len()), (10_000, 0, 10_000));
    assert_eq!(reader.names.zones.len(), MAX_ZONES, "zones beyond the limit count as the last one");
    reader.read_list(&clock, &list(3), 0).expect("a list");
    assert_eq!(reader.numbers.len(), 3);
}

/// Guards the log and the memory: of thousands of malformed entries three are reported, and none keeps a
/// number.
#[test]
fn malformed_entries_are_skipped_and_counted() {
    let odd = r#"{"instanceId":"odd","hostPort":"127.0.0.1:1","lifecycle":"ready"},[],7,"#.repeat(3_000);
    let good = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"draining"}"#;
    let mut reader = reader();
    let text = format!(r#"{{"generation":5,"instances":[{odd}{good},{good}]}}"#);
    let update = reader.read_list(&Clock::start(), &text, 0).expect("a list");
    assert_eq!((update.unreadable, update.why.len(), reader.numbers.len()), (9_000, MAX_REPORTED, 1));
    assert!(update.entries.iter().all(|e| e.phase == Phase::Draining && e.member == MemberId(0)));
}

/// Guards against a truncated list: the known list and its version stay in force.
#[test]
fn truncated_or_malformed_list_changes_nothing() {
    let mut reader = reader();
    let clock = Clock::start();
    let good = r#"{"generation":5,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"ready"}]}"#;
    reader.read_list(&clock, good, 0).expect("a list");
    let cut = good.replace("s-1", "s-2").replace('5', "6");
    let deep = "[".repeat(100_000);
    let cuts = (0..cut.len()).map(|n| &cut[..n]).filter(|c| !c.is_empty());
    for text in cuts.chain([r#"{"instances":{}}"#, r#"{"instances":"none"}"#, "[]", "7", &deep]) {
        assert!(reader.read_line(&clock, text.as_bytes(), 0).is_err(), "{text}");
        assert_eq!((reader.generation(), reader.member("s-2")), (5, None), "{text}");
    }
    assert!(reader.read_line(&clock, b"\xff", 0).is_err());
    assert_eq!(reader.member("s-1"), Some(MemberId(0)));
}

/// Guards what one call has delivered against an older version that another call delivers later: a drain
/// stays in force. Discovery that restarts its numbering is still believed.
#[test]
fn older_list_than_another_call_delivered_changes_nothing() {
    let list = |generation: u64, lifecycle: &str| {
        format!(
            r#"{{"generation":{generation},"reset":true,"instances":[{{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"{lifecycle}"}}]}}"#
        )
    };
    let (mut reader, clock) = (reader(), Clock::start());
    reader.read_list(&clock, &list(43, "draining"), 41).expect("a list");
    let late = reader.read_list(&clock, &list(42, "ready"), 41).expect("a list");
    assert!(late.kind == ListKind::Incremental && late.entries.is_empty() && reader.generation() == 43);
    let restarted = reader.read_list(&clock, &list(7, "ready"), 41).expect("a list");
    assert_eq!((restarted.entries.len(), restarted.entries[0].phase, reader.generation()), (1, Phase::Up, 7));
}

/// Guards slow start across a step of the wall clocks: a start time that is reported again is not another
/// start, and a db host that restarts after a step back, whose start has an earlier Unix time, counts as just
/// started.
#[test]
fn restart_after_a_step_back_counts_and_a_repeated_start_does_not() {
    const HOUR_MS: i64 = 3_600_000;
    let (mut reader, mut clock) = (reader(), Clock::start());
    let unix_ms = |clock: &Clock| (clock.now() + clock.offset()) / 1000;
    let mut since = |clock: &Clock, started_ms: i64| {
        let list = format!(
            r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a","cell":1,
                "lifecycle":"ready","startedAtMs":{started_ms}}}]}}"#
        );
        reader.read_list(clock, &list, 0).expect("a list").entries[0].since.expect("a start")
    };
    let started = unix_ms(&clock) - 30_000;
    let first = since(&clock, started);
    clock.observe_offset(clock.offset() - HOUR_MS * 1000, clock.now());
    assert_eq!(since(&clock, started), first, "the step is not confirmed yet");
    let restarted = unix_ms(&clock) - HOUR_MS;
    assert!(
        since(&clock, restarted) >= first + 29_000_000,
        "the candidate offset counts where it gives a later start"
    );
    clock.confirm_candidate();
    assert!(since(&clock, restarted + 1) >= clock.now() - 1_000_000);
}

/// Guards slow start where the proxy's process starts with its own clock ahead: a db host that has just
/// started must not count as warm once primaries have shown the time.
#[test]
fn start_read_with_a_wrong_clock_is_corrected_once_the_offset_is_confirmed() {
    const AHEAD_MS: i64 = 30_000;
    let (mut reader, mut clock) = (reader(), Clock::start());
    let own_unix_ms = |clock: &Clock| (clock.now() + clock.offset()) / 1000;
    let started_ms = own_unix_ms(&clock) - AHEAD_MS;
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a","cell":1,
            "lifecycle":"ready","startedAtMs":{started_ms}}}]}}"#
    );
    let since = reader.read_list(&clock, &list, 0).expect("a list").entries[0].since.expect("a start");
    assert!(since <= clock.now() - 29_000_000, "it counts as warm");
    assert!(reader.corrected_starts(&clock).is_none(), "no primary has shown the time");
    let offset = clock.offset();
    // Four answers of primaries, 10 ms apart, show that all other machines' clocks are 30 s behind.
    for answer in 1..=4 {
        let at = answer * 10_000;
        clock.take_primary_time(at, at + offset - AHEAD_MS * 1000);
    }
    let update = reader.corrected_starts(&clock).expect("a start to correct");
    assert_eq!((update.kind, update.entries.len()), (ListKind::Incremental, 1));
    assert!(update.entries[0].since.expect("a start") >= -1_000_000, "it has just started");
    assert!(reader.corrected_starts(&clock).is_none(), "a start is corrected once");
}
