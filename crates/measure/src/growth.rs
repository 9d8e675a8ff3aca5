//! `gradeshunt-measure growth`: what one proxy of a large fleet spends as the number of db hosts grows, at the same traffic.
//! Operators bound the growth from the usual size to sixteen times as many db hosts.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use gradeshunt_stand_ins::discovery::Discovery;
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::postgres::farm::HostFarm;
use gradeshunt_stand_ins::program::Platform;
use gradeshunt_stand_ins::site::Plan;
use serde_json::json;

use crate::{Report, Setting};

/// Db hosts of a set.
const SET: usize = 4;
/// Numbers of db hosts that are compared: the usual one, and sixteen times as many.
const PAIRS: [(usize, usize); 2] = [(60, 960), (200, 3_200)];
/// Proxies of the fleet that each process thinks itself one of.
const FLEET: u32 = 900;
/// Requests a second, over all sets in turn.
const RATE: u32 = 60;
/// How long a size is played, and over how much of its end new connections are counted.
const PLAYED: Duration = Duration::from_secs(16);
const LAST: Duration = Duration::from_secs(5);
/// What may grow only so far: CPU time, and connections beside a few.
const MOST_CPU: f64 = 1.4;
const MOST_OPENED: f64 = 2.5;
const FEW: f64 = 40.0;

/// It takes none.
#[derive(Args)]
pub struct Options {}

struct Size {
    hosts: usize,
    cpu_us: f64,
    open: u64,
    opened: u64,
    opened_a_second: f64,
}

fn play(setting: &Setting, hosts: usize) -> io::Result<Size> {
    let sets = vec![SET; hosts / SET];
    let farm = HostFarm::open(&sets)?;
    let discovery = Discovery::open(farm.entries())?;
    let mut config = Plan { sets: sets.clone(), sockets: 4_096, ..Plan::default() }.config(&discovery);
    config["settings"]["fleetSize"] = json!(FLEET);
    let platform = Platform::new(&setting.program, &setting.folder.join(hosts.to_string()), false)?;
    platform.configure(&config)?;
    let process = platform.start()?;
    process.ready()?;
    let listen = process.listen.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let parameters = [("user", "portal"), ("database", "crm")];
    let mut client = Client::connect(listen, &parameters, Duration::from_secs(20))?;
    let (began, cpu_before) = (Instant::now(), process.cpu()?);
    let mut before_last = None;
    for n in 0.. {
        let due = began + Duration::from_secs(1) * n / RATE;
        if due >= began + PLAYED {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if due >= began + PLAYED - LAST && before_last.is_none() {
            before_last = Some(farm.seen().sum(|traffic| traffic.opened));
        }
        let set = n as usize % sets.len() + 1;
        let read = format!(
            "/* id={n:x},c=page-read,d=1000,cluster={set} */ SELECT data FROM facts WHERE code = '{n:x}'"
        );
        client.query(&read)?;
    }
    let cpu = process.cpu()?.saturating_sub(cpu_before);
    let seen = farm.seen();
    let opened = seen.sum(|traffic| traffic.opened);
    Ok(Size {
        hosts,
        cpu_us: cpu.as_secs_f64() * 1e6 / (f64::from(RATE) * PLAYED.as_secs_f64()),
        open: seen.sum(|traffic| traffic.connections),
        opened,
        opened_a_second: (opened - before_last.unwrap_or(opened)) as f64 / LAST.as_secs_f64(),
    })
}

/// Measures each pair of sizes.
///
/// # Errors
/// Where a size can't be played.
pub fn measure(setting: &Setting, _: &Options) -> io::Result<Report> {
    let mut table =
        vec!["db hosts, CPU a request (us), open connections, opened, opened a second at the end".to_owned()];
    let (mut results, mut missed) = (Vec::new(), Vec::new());
    for (usual, many) in PAIRS {
        let sizes = [play(setting, usual)?, play(setting, many)?];
        for s in &sizes {
            table.push(format!(
                "{}, {:.0}, {}, {}, {:.1}",
                s.hosts, s.cpu_us, s.open, s.opened, s.opened_a_second
            ));
        }
        let [usual, many] = sizes;
        let cpu = many.cpu_us / usual.cpu_us.max(1.0);
        results.push(("cpu_growth", format!("{cpu:.2}")));
        if cpu > MOST_CPU {
            missed.push(format!("CPU at {} db hosts is {cpu:.2} times that at {}", many.hosts, usual.hosts));
        }
        let allowed = MOST_OPENED * usual.opened as f64 + FEW;
        if many.opened as f64 > allowed {
            missed.push(format!(
                "{} connections at {} db hosts, {allowed:.0} allowed",
                many.opened, many.hosts
            ));
        }
    }
    Ok(Report { table, results, missed })
}
