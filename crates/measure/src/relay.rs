//! `gradeshunt-measure relay`: CPU that the program takes for a request, with a commented and a plain statement, beside another
//! program. All run in turns in one measurement, so that the machine's moods meet each of them.

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
const REQUESTS: u32 = 4_000;
const TURNS: u32 = 8;
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
    cpu: Duration,
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
        Ok(Runner { name, plain, site, process, client, cpu: Duration::ZERO })
    }

    fn turn(&mut self, turn: u32) -> io::Result<()> {
        let before = self.process.cpu()?;
        for n in 0..REQUESTS {
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
        self.cpu += self.process.cpu()?.saturating_sub(before);
        Ok(())
    }
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
    for turn in 0..turns {
        runners.iter_mut().try_for_each(|r| r.turn(turn))?;
    }
    let each = |r: &Runner| r.cpu.as_secs_f64() * 1e6 / f64::from(turns * REQUESTS);
    let base = runners.last().map_or(0.0, each);
    let mut report = Report { table: Vec::new(), results: Vec::new(), missed: Vec::new() };
    for r in &runners {
        let (us, ran) = (each(r), r.site.sets[0].ran().len());
        report.table.push(format!(
            "{:<10} {us:>8.1} us of CPU a request, {:.3} of the last; {ran} ran",
            r.name,
            us / base
        ));
    }
    if options.baseline.is_some() {
        for r in &runners[..2] {
            if each(r) > base * MOST {
                report.missed.push(format!("{} takes {:.2} times the baseline", r.name, each(r) / base));
            }
        }
        report.results.push(("commented_ratio", format!("{:.3}", each(&runners[0]) / base)));
        report.results.push(("plain_ratio", format!("{:.3}", each(&runners[1]) / base)));
    }
    report.results.push(("commented_us", format!("{:.1}", each(&runners[0]))));
    report.results.push(("plain_us", format!("{:.1}", each(&runners[1]))));
    Ok(report)
}
