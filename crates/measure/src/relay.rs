//! `gradeshunt-measure relay`: CPU that the program takes for a request, with a commented and a plain statement, beside another
//! program. All run in short turns in one measurement, so that the machine's moods meet each of them, and are compared turn
//! by turn: what disturbs one turn moves a median little.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::program::{Platform, Process};
use gradeshunt_stand_ins::site::{Plan, Site};

use crate::{Report, Setting};

const RULES: &str = r#"
route { name: "reads" match { access: READ } class: "own-read" cluster: 1 }
route { name: "writes" class: "plain-write" cluster: 1 }
"#;
/// Requests between two changes of turn, and turns.
const REQUESTS: u32 = 250;
const TURNS: u32 = 512;
/// Requests before the first turn, which are not counted.
const WARMING: u32 = 1_000;
/// Most that the program may take more than the other one.
const MOST: f64 = 1.1;

#[derive(Args)]
pub struct Options {
    /// Another program, such as an earlier commit's, to be measured beside; commented statements only.
    #[arg(long)]
    baseline: Option<PathBuf>,
}

struct Runner {
    name: &'static str,
    plain: bool,
    site: Site,
    process: Process,
    client: Client,
    /// Processor time of each turn.
    turns: Vec<Duration>,
}

impl Runner {
    fn start(setting: &Setting, name: &'static str, program: &Path, plain: bool) -> io::Result<Runner> {
        let site = Site::open(Plan { sets: vec![2], ..Plan::default() })?;
        let folder = setting.folder.join(name);
        let mut platform = Platform::new(program, &folder, false)?;
        platform.configure(&site.config())?;
        if plain {
            let file = folder.join("rules.textproto");
            std::fs::write(&file, RULES)?;
            platform.environment.push(("ROUTER_RULES".to_owned(), file.display().to_string()));
        }
        let process = platform.start()?;
        process.ready()?;
        let listen = process.listen.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let client =
            Client::connect(listen, &[("user", "portal"), ("database", "crm")], Duration::from_secs(20))?;
        Ok(Runner { name, plain, site, process, client, turns: Vec::new() })
    }

    fn turn(&mut self, turn: u32) -> io::Result<()> {
        let before = self.process.cpu()?;
        self.ask(turn, REQUESTS)?;
        self.turns.push(self.process.cpu()?.saturating_sub(before));
        Ok(())
    }

    fn ask(&mut self, turn: u32, requests: u32) -> io::Result<()> {
        for n in 0..requests {
            let read = format!("SELECT data FROM facts WHERE code = '{:x}'", n % 64);
            let statement = if self.plain {
                read
            } else {
                format!("/* id={turn:x}-{n:x},c=own-read,d=60000,cluster=1 */ {read}")
            };
            let reply = self.client.query(&statement)?;
            if reply.error.is_some() {
                return Err(io::Error::other(format!("{}: {:?}", self.name, reply.error)));
            }
        }
        Ok(())
    }

    /// Microseconds of processor time a request, in the median turn.
    fn each(&self) -> f64 {
        median(self.turns.iter().map(|turn| turn.as_secs_f64() * 1e6 / f64::from(REQUESTS)).collect())
    }

    /// Its processor time over that of another one, in the median turn.
    fn over(&self, other: &Runner) -> f64 {
        let pairs = self.turns.iter().zip(&other.turns);
        median(pairs.map(|(mine, other)| mine.as_secs_f64() / other.as_secs_f64()).collect())
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

pub fn measure(setting: &Setting, options: &Options) -> io::Result<Report> {
    let mut runners = vec![
        Runner::start(setting, "commented", &setting.program, false)?,
        Runner::start(setting, "plain", &setting.program, true)?,
    ];
    if let Some(baseline) = &options.baseline {
        runners.push(Runner::start(setting, "baseline", baseline, false)?);
    }
    let turns = if setting.long { TURNS * 8 } else { TURNS };
    runners.iter_mut().try_for_each(|r| r.ask(turns, WARMING))?;
    let mut random = fastrand::Rng::with_seed(1);
    for turn in 0..turns {
        // Whom one follows matters: what the other has left in the caches is not its own.
        random.shuffle(&mut runners);
        runners.iter_mut().try_for_each(|r| r.turn(turn))?;
    }
    let named = |name: &str| runners.iter().find(|r| r.name == name);
    let (commented, plain) = named("commented").zip(named("plain")).ok_or(io::ErrorKind::NotFound)?;
    let last = named("baseline").unwrap_or(plain);
    let mut report = Report { table: Vec::new(), results: Vec::new(), missed: Vec::new() };
    for r in [Some(commented), Some(plain), named("baseline")].into_iter().flatten() {
        let ran = r.site.sets[0].ran().len();
        report.table.push(format!(
            "{:<10} {:>8.1} us of CPU a request, {:.3} of the last; {ran} ran",
            r.name,
            r.each(),
            r.over(last)
        ));
    }
    if let Some(baseline) = named("baseline") {
        for r in [commented, plain] {
            if r.over(baseline) > MOST {
                report.missed.push(format!("{} takes {:.2} times the baseline", r.name, r.over(baseline)));
            }
        }
        report.results.push(("commented_ratio", format!("{:.3}", commented.over(baseline))));
        report.results.push(("plain_ratio", format!("{:.3}", plain.over(baseline))));
    }
    report.results.push(("commented_us", format!("{:.1}", commented.each())));
    report.results.push(("plain_us", format!("{:.1}", plain.each())));
    Ok(report)
}
