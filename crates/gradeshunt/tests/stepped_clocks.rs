//! Tests of wall clocks that are stepped while a process runs: those of all machines together, or the
//! process's own alone.
//!
//! The test sends reads whose data may be 200 ms old, one after the other, to a set of a primary, a standby
//! that follows it, and a standby whose position is frozen.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gradeshunt_soak::ledger::Ledger;
use gradeshunt_soak::shim::{FaultControl, Knob, Shim};
use gradeshunt_soak::site::Site;
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::standalone::{own_address, Standalone, Start};
use serde_json::json;

/// The longest that a client of the site waits.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Time limit of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of reads that are counted together, and how many of them may go to the primary.
const READS_PER_ROUND: usize = 100;
const MAX_READS_AT_PRIMARY: u64 = 20;
/// How far the frozen standby is behind, and how far the clocks are stepped: by the same time, so that a step
/// back makes the frozen position look current for a moment.
const LAG: Duration = Duration::from_secs(10);
const NANOSECONDS: i64 = 1_000_000;
/// The target time of all classes, short so that reads are held for 12 ms at most.
const TARGET_TIME_MS: f64 = 100.0;

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stepped-{name}-{}", std::process::id()))
}

/// Which wall clocks are stepped.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SteppedClocks {
    All,
    ProcessAlone,
}

struct Fixture {
    site: Site,
    program: Standalone,
    control: FaultControl,
    client: Client,
    reads_sent: usize,
}

impl Fixture {
    fn open(name: &str) -> Fixture {
        Fixture::open_with_clock_offset(name, 0)
    }

    /// Starts a process whose own wall clock is off by `ms`.
    fn open_with_clock_offset(name: &str, ms: i64) -> Fixture {
        let site = Site::open(&Arc::new(Ledger::default()), 1, LONGEST_WAIT).expect("the site starts");
        site.hosts[2].freeze_behind(LAG);
        let shim = Shim::build(&scratch(&format!("{name}-shim"))).expect("a C compiler builds the shim");
        let control = FaultControl::create(&shim, &scratch(&format!("{name}-control")))
            .expect("the control file can be made");
        control.set(Knob::WallOffset, ms * NANOSECONDS).expect("the clock offset can be set");
        let mut config = site.config(0, 1, own_address(), 0);
        for class in config["settings"]["categories"].as_array_mut().expect("classes") {
            class["slo"] = json!(TARGET_TIME_MS);
        }
        let start = Start {
            program: Path::new(env!("CARGO_BIN_EXE_gradeshunt")),
            folder: scratch(name),
            config,
            shell: "",
            environment: control.environment(),
        };
        let program = Standalone::start(start, |_| {}).expect("the program can be started");
        drop(program.connect(WAIT_TIMEOUT));
        let client =
            Client::connect(program.addr, &[("user", "portal")], WAIT_TIMEOUT).expect("the session starts");
        Fixture { site, program, control, client, reads_sent: 0 }
    }

    fn step(&self, stepped_clocks: SteppedClocks, ms: i64) {
        if stepped_clocks == SteppedClocks::All {
            self.site.wall.step_to(ms);
        }
        self.control.set(Knob::WallOffset, ms * NANOSECONDS).expect("the clock offset can be set");
    }

    /// Sends [`READS_PER_ROUND`] reads. Returns how many the primary served, and how many the frozen standby.
    fn read(&mut self) -> (u64, u64) {
        let counts = |site: &Site| (site.hosts[0].reads(), site.hosts[2].reads());
        let before = counts(&self.site);
        for _ in 0..READS_PER_ROUND {
            self.reads_sent += 1;
            let id = self.reads_sent;
            let read = format!(
                "/* id={id:x},c=page-read,d=1000,cluster=1 */ SELECT data FROM facts WHERE code = 'x'"
            );
            let reply = self.client.query(&read).expect("an answer");
            assert_eq!(reply.code(), None, "{reply:?}");
        }
        let after = counts(&self.site);
        (after.0 - before.0, after.1 - before.1)
    }

    /// Reads on until nearly all reads go to the standby that follows the primary, and none to the frozen
    /// one.
    fn read_until_at_the_current_standby(&mut self, when: &str) {
        let began = Instant::now();
        loop {
            let (primary, frozen) = self.read();
            if primary <= MAX_READS_AT_PRIMARY && frozen == 0 {
                return;
            }
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "{when}: {primary} of {READS_PER_ROUND} at the primary, {frozen} at the frozen standby: {}",
                self.program.log()
            );
        }
    }
}

/// Guards against reads that stay at the primary, or go to the frozen standby, after a clock step: they
/// return to the standby that follows the primary and stay there, although the frozen position may look
/// current by the new clock.
fn reads_stay_at_the_current_standby(name: &str, stepped_clocks: SteppedClocks, ms: i64) {
    let mut fixture = Fixture::open(name);
    fixture.read_until_at_the_current_standby("before the step");
    fixture.step(stepped_clocks, ms);
    fixture.read_until_at_the_current_standby("after the step");
    // From then on the reads stay there.
    let (primary, frozen) = fixture.read();
    assert!(primary <= MAX_READS_AT_PRIMARY && frozen == 0, "{primary} and {frozen} of {READS_PER_ROUND}");
}

#[test]
fn all_clocks_are_stepped_back_by_the_lag_of_a_standby() {
    reads_stay_at_the_current_standby("all-back", SteppedClocks::All, -(LAG.as_millis() as i64));
}

#[test]
fn all_clocks_are_stepped_forward() {
    reads_stay_at_the_current_standby("all-forward", SteppedClocks::All, LAG.as_millis() as i64);
}

#[test]
fn all_clocks_are_stepped_by_an_hour() {
    reads_stay_at_the_current_standby("hour-back", SteppedClocks::All, -3_600_000);
    reads_stay_at_the_current_standby("hour-forward", SteppedClocks::All, 3_600_000);
}

#[test]
fn clock_of_the_process_alone_is_stepped() {
    reads_stay_at_the_current_standby("alone-back", SteppedClocks::ProcessAlone, -(LAG.as_millis() as i64));
    reads_stay_at_the_current_standby("alone-forward", SteppedClocks::ProcessAlone, LAG.as_millis() as i64);
}

/// Guards the reads of a process that starts while its own wall clock is wrong: all of them went to the
/// primary.
fn process_with_a_wrong_clock_reads_at_the_current_standby(name: &str, ms: i64) {
    let mut fixture = Fixture::open_with_clock_offset(name, ms);
    fixture.read_until_at_the_current_standby("from the start");
    assert_eq!(fixture.site.hosts[2].reads(), 0, "stale reads from the start on");
}

#[test]
fn process_starts_with_its_clock_ahead() {
    process_with_a_wrong_clock_reads_at_the_current_standby("starts-ahead", LAG.as_millis() as i64);
    process_with_a_wrong_clock_reads_at_the_current_standby("starts-hour-ahead", 3_600_000);
}

#[test]
fn process_starts_with_its_clock_behind() {
    process_with_a_wrong_clock_reads_at_the_current_standby("starts-behind", -(LAG.as_millis() as i64));
    process_with_a_wrong_clock_reads_at_the_current_standby("starts-hour-behind", -3_600_000);
}
