//! What idle client connections cost a proxy: more and more of them on one process, each of which has asked once.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::names;
use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::Client;

use super::load::{self, PARAMETERS, PATIENCE};
use super::series;
use super::stage::{Limits, Stage};
use crate::capacity::{Count, Measured, Scale};
use crate::Setting;

/// Db hosts behind the proxy: enough for the one statement of each client.
const HOSTS: usize = 7;
/// Descriptors in the proxy's configuration for each client: it closes idle clients that have asked once more than an
/// eighth of what clients may hold is open, and that is two thirds of all.
const SOCKETS_A_CLIENT: u32 = 12;
const SOCKETS_BESIDES: u32 = 200;
/// How long connections to db hosts may be idle.
const HOST_IDLE: Duration = Duration::from_secs(30);

struct Sizes {
    clients: &'static [usize],
    /// How long clients are idle before they are measured, so that what came of their statement is over, and while.
    settles: Duration,
    window: Duration,
}

const QUICK: Sizes = Sizes {
    clients: &[40, 80, 120, 160, 200],
    // Longer than the program bears idle clients where too many are open, so that the count would show it.
    settles: Duration::from_millis(2500),
    window: Duration::from_millis(200),
};
const WHOLE: Sizes = Sizes {
    clients: &[700, 1_400, 2_800, 4_200, 5_600],
    settles: Duration::from_secs(3),
    window: Duration::from_secs(8),
};

pub fn measure(scale: Scale, setting: &Setting, progress: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    let sizes = if scale == Scale::Quick { QUICK } else { WHOLE };
    let most = sizes.clients.last().copied().unwrap_or_default();
    let stage = Stage::open(HOSTS)?;
    let sockets = most as u32 * SOCKETS_A_CLIENT + SOCKETS_BESIDES;
    let process = stage.start(setting, 1, Limits { sockets, idle: HOST_IDLE })?.remove(0);
    let addr = process.listen.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let before = process.descriptors()?;
    let (mut clients, mut random) = (Vec::new(), fastrand::Rng::with_seed(1));
    let (mut memory, mut cpu, mut measured) = (Vec::new(), Vec::new(), Measured::default());
    for size in sizes.clients {
        progress(&format!("{size} of {most} idle clients on one proxy"));
        while clients.len() < *size {
            let mut client = Client::connect(addr, &PARAMETERS, PATIENCE)?;
            let reply = client.query(&load::read(&mut random, stage.sets))?;
            // On a busy machine it may be turned away, which is an answer, too.
            if let (Outcome::Failed, Some(error)) = (reply.outcome(), &reply.error) {
                return Err(io::Error::other(format!("an idle client's one statement failed: {error:?}")));
            }
            clients.push(client);
        }
        thread::sleep(sizes.settles);
        let (taken, since) = (process.cpu()?, Instant::now());
        thread::sleep(sizes.window);
        let taken = process.cpu()?.saturating_sub(taken);
        let x = *size as f64;
        cpu.push(Point { x, y: taken.as_secs_f64() / since.elapsed().as_secs_f64() });
        memory.push(Point { x, y: process.memory()? as f64 });
        measured.counts.push(Count {
            what: format!("{size} idle clients stay: connections that still stand"),
            expected: *size as u64..=*size as u64,
            found: clients.iter_mut().map(|c| u64::from(stands(c))).sum(),
        });
        // Its sockets for clients, and no more than its connections to db hosts beside them.
        measured.counts.push(Count {
            what: format!("{size} idle clients stay: descriptors that the proxy holds more"),
            expected: *size as u64..=(size + 2 * HOSTS) as u64,
            found: process.descriptors()?.saturating_sub(before) as u64,
        });
    }
    let x = "idle client connections";
    let how = "resident memory of one process; each client has asked one statement";
    measured.series.push(series(names::PROXY_MEMORY_BY_CLIENTS, (x, "bytes"), how, memory)?);
    let how = "processor time of one process over 8 s, while all clients are idle after one statement each";
    measured.series.push(series(names::PROXY_IDLE_CPU_BY_CLIENTS, (x, "s of CPU a second"), how, cpu)?);
    Ok(measured)
}

/// Whether the proxy has neither closed the connection nor said anything.
fn stands(client: &mut Client) -> bool {
    let stream = client.stream();
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut [0]);
    let blocking = stream.set_nonblocking(false).is_ok();
    blocking && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}
