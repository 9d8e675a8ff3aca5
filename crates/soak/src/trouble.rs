//! Troubles of a play: what can go wrong, for whom, and for how long. A seed draws them; lanes make them overlap.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fastrand::Rng;
use gradeshunt_stand_ins::discovery::Service;
use gradeshunt_stand_ins::flood::{Flood, Form};
use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::slow_clients::{Behavior, SlowClients};
use rustix::process::Signal;
use serde_json::json;

use crate::client::ClientBehavior;
use crate::fleet::Proxy;
use crate::ledger::Ledger;
use crate::shim::{errno, Knob};
use crate::site::Site;

/// How long a trouble lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 500..2_500;
/// How long a process is held up: no longer than the rules grant between a look at the clock and a write.
const HELD_UP: Duration = Duration::from_millis(120);
/// Times that a process is held up, or reloaded, in one trouble.
const TIMES: usize = 4;
/// Steps of wall clocks, in milliseconds.
const STEPS_MS: [i64; 8] = [-3_600_000, -10_000, -1_500, -300, 300, 1_500, 10_000, 3_600_000];
const NANOSECONDS: i64 = 1_000_000;

/// Proxies that a flood affects at most, and its clients for each: a processor for every one of them.
const FLOODED_PROXIES: usize = 2;
const FLOODING_CLIENTS: u64 = 2;
/// Slow clients for each proxy.
const SLOW_CLIENTS: usize = 60;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Calls on sockets are interrupted, and move a part only.
    InterruptedCalls,
    /// Reads that tell of signals are interrupted, while signals come.
    InterruptedSignals,
    /// accept, socket and connect fail for a moment.
    FailingCalls,
    /// Connections to db hosts break as if their network had.
    BrokenConnections,
    /// The folder that a process shares takes no writes.
    FullDisk,
    /// The log takes no writes.
    FullLog,
    /// The wall clocks of all machines are stepped.
    SteppedClocks,
    /// That of one process is, and back.
    SteppedAlone,
    /// Processes stand still for a moment, several times.
    HeldUp,
    /// Configurations that move discovery, several in a row.
    Reloads,
    /// Processes are restarted in order.
    Restarts,
    /// Processes are killed and started.
    Kills,
    /// A db host takes requests and works on none.
    HangingHost,
    /// A db host reads nothing.
    DeafHost,
    /// A db host resets connections in place of answers.
    ResettingHost,
    /// A db host turns requests away, or errs.
    RefusingHost,
    /// All connections of a db host are cut.
    CutHost,
    /// A standby's position stands still.
    FrozenHost,
    /// A db host drains.
    DrainingHost,
    /// Discovery says nothing.
    SilentDiscovery,
    /// Discovery is down.
    DownDiscovery,
    /// Many clients leave with a request out.
    LeavingClients,
    /// Many clients stop amid a request, rest, or send several at once.
    BadClients,
    /// Clients send one kind of message, or open connections, at full speed.
    Flood,
    /// Many clients write or read slowly, or stop.
    SlowClients,
    /// A db host writes its answers slowly.
    SlowHost,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 26] = [
        Kind::InterruptedCalls,
        Kind::InterruptedSignals,
        Kind::FailingCalls,
        Kind::BrokenConnections,
        Kind::FullDisk,
        Kind::FullLog,
        Kind::SteppedClocks,
        Kind::SteppedAlone,
        Kind::HeldUp,
        Kind::Reloads,
        Kind::Restarts,
        Kind::Kills,
        Kind::HangingHost,
        Kind::DeafHost,
        Kind::ResettingHost,
        Kind::RefusingHost,
        Kind::CutHost,
        Kind::FrozenHost,
        Kind::DrainingHost,
        Kind::SilentDiscovery,
        Kind::DownDiscovery,
        Kind::LeavingClients,
        Kind::BadClients,
        Kind::Flood,
        Kind::SlowClients,
        Kind::SlowHost,
    ];
}

/// One trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    pub kind: Kind,
    /// Proxies that it affects, where it affects some.
    pub proxies: Vec<usize>,
    /// The db host.
    pub host: usize,
    /// Which of several forms it takes.
    pub form: usize,
    pub lasts: Duration,
}

impl Trouble {
    /// Draws one of a kind, for a third of the proxies and one db host.
    pub fn of(kind: Kind, rng: &mut Rng, proxies: usize, hosts: usize) -> Trouble {
        let mut affected: Vec<usize> = (0..proxies).collect();
        rng.shuffle(&mut affected);
        affected.truncate(proxies.div_ceil(3));
        Trouble {
            kind,
            proxies: affected,
            host: rng.usize(0..hosts),
            form: rng.usize(0..840),
            lasts: Duration::from_millis(rng.u64(LASTS_MS)),
        }
    }
}

/// What troubles act upon.
pub struct Scene<'a> {
    pub site: &'a Site,
    pub proxies: &'a [std::sync::Arc<Proxy>],
    pub behavior: &'a ClientBehavior,
    pub ledger: &'a Ledger,
}

impl Scene<'_> {
    /// Lets a trouble happen, from its beginning to its end; returns once it is over.
    ///
    /// # Errors
    /// Those of files and processes that the test itself needs.
    pub fn play(&self, trouble: &Trouble) -> io::Result<()> {
        let affected = || trouble.proxies.iter().filter_map(|n| self.proxies.get(*n));
        match trouble.kind {
            Kind::InterruptedCalls
            | Kind::FailingCalls
            | Kind::BrokenConnections
            | Kind::FullDisk
            | Kind::FullLog
            | Kind::InterruptedSignals => {
                let knobs = knobs(trouble);
                for (proxy, (knob, value)) in affected().flat_map(|p| knobs.iter().map(move |k| (p, *k))) {
                    proxy.faults.set(knob, value)?;
                }
                if trouble.kind == Kind::InterruptedSignals {
                    affected().for_each(|proxy| proxy.signal(Signal::HUP));
                }
                std::thread::sleep(trouble.lasts);
                let set: Vec<Knob> = knobs.iter().map(|k| k.0).collect();
                affected().try_for_each(|proxy| proxy.heal(&set))
            }
            Kind::SteppedClocks => {
                let ms = STEPS_MS[trouble.form % STEPS_MS.len()];
                self.site.wall.step_to(ms);
                self.proxies.iter().try_for_each(|p| p.faults.set(Knob::WallOffset, ms * NANOSECONDS))?;
                std::thread::sleep(trouble.lasts);
                Ok(())
            }
            Kind::SteppedAlone => {
                let ms = STEPS_MS[trouble.form % STEPS_MS.len()];
                let before = self.proxies.iter().map(|p| p.faults.get(Knob::WallOffset));
                let before: Vec<i64> = before.collect::<io::Result<_>>()?;
                for n in &trouble.proxies {
                    self.proxies[*n].faults.set(Knob::WallOffset, before[*n] + ms * NANOSECONDS)?;
                }
                std::thread::sleep(trouble.lasts);
                trouble
                    .proxies
                    .iter()
                    .try_for_each(|n| self.proxies[*n].faults.set(Knob::WallOffset, before[*n]))
            }
            Kind::HeldUp => {
                for _ in 0..TIMES {
                    self.ledger.held_up();
                    affected().for_each(|proxy| proxy.signal(Signal::STOP));
                    std::thread::sleep(HELD_UP);
                    affected().for_each(|proxy| proxy.signal(Signal::CONT));
                    self.ledger.held_up();
                    std::thread::sleep(trouble.lasts / TIMES as u32);
                }
                Ok(())
            }
            Kind::Reloads => {
                for n in 0..TIMES {
                    for proxy in affected() {
                        proxy.configure(self.site, self.proxies.len(), trouble.form + n)?;
                        proxy.signal(Signal::HUP);
                    }
                    std::thread::sleep(trouble.lasts / (TIMES * 4) as u32);
                }
                Ok(())
            }
            Kind::Flood => {
                let form = Form::ALL[trouble.form % Form::ALL.len()];
                let flooded = FLOODED_PROXIES.min(trouble.proxies.len());
                let begin = |proxy: &Proxy| Flood::begin(proxy.addr, form, FLOODING_CLIENTS);
                self.crowd_out(trouble.lasts, &trouble.proxies[..flooded], begin);
                Ok(())
            }
            Kind::SlowClients => {
                let behavior = slow_behavior(trouble.form);
                let begin = |proxy: &Proxy| SlowClients::begin(proxy.addr, behavior.clone());
                self.crowd_out(trouble.lasts, &trouble.proxies, begin);
                Ok(())
            }
            Kind::Restarts => self.restart(trouble, |proxy| proxy.terminate()),
            Kind::Kills => self.restart(trouble, |proxy| {
                proxy.kill();
                Ok(())
            }),
            _ => {
                self.play_peers(trouble);
                Ok(())
            }
        }
    }

    /// Lets further clients come to some proxies, which may then close whoever rests or has just come.
    fn crowd_out<T>(&self, lasts: Duration, proxies: &[usize], begin: impl Fn(&Proxy) -> T) {
        let affected: Vec<_> = proxies.iter().map(|n| &self.proxies[*n]).collect();
        affected.iter().for_each(|proxy| proxy.crowd_begins());
        let clients: Vec<T> = affected.iter().map(|proxy| begin(proxy)).collect();
        std::thread::sleep(lasts);
        drop(clients);
        affected.iter().for_each(|proxy| proxy.crowd_ended());
    }

    /// Ends processes, all at once, and starts them again.
    fn restart(&self, trouble: &Trouble, end: impl Fn(&Proxy) -> io::Result<()> + Sync) -> io::Result<()> {
        std::thread::scope(|scope| {
            let ended: Vec<_> = trouble
                .proxies
                .iter()
                .map(|n| {
                    let (proxy, end) = (&self.proxies[*n], &end);
                    scope.spawn(move || proxy.restart(end))
                })
                .collect();
            ended.into_iter().try_for_each(|thread| {
                thread.join().unwrap_or_else(|_| Err(io::Error::other("a thread of the test panicked")))
            })
        })
    }

    /// Lets db hosts, discovery or clients misbehave for a while.
    fn play_peers(&self, trouble: &Trouble) {
        let host = &self.site.hosts[trouble.host];
        let wait = || std::thread::sleep(trouble.lasts);
        match trouble.kind {
            Kind::HangingHost => {
                host.set_faults(|faults| faults.hangs = true);
                wait();
                host.set_faults(|faults| faults.hangs = false);
            }
            Kind::DeafHost => {
                host.set_faults(|faults| faults.stops_reading = true);
                wait();
                host.set_faults(|faults| faults.stops_reading = false);
            }
            Kind::ResettingHost => {
                host.set_faults(|faults| faults.resets = true);
                wait();
                host.set_faults(|faults| faults.resets = false);
            }
            Kind::RefusingHost => {
                let errs = trouble.form.is_multiple_of(2);
                host.set_faults(|faults| (faults.errs, faults.full) = (errs, !errs));
                wait();
                host.set_faults(|faults| (faults.errs, faults.full) = (false, false));
            }
            Kind::SlowHost => {
                host.set_faults(|faults| faults.writes_slowly = true);
                wait();
                host.set_faults(|faults| faults.writes_slowly = false);
            }
            Kind::CutHost => {
                host.cut();
                wait();
            }
            Kind::FrozenHost if !host.is_primary() => {
                host.freeze(true);
                wait();
                host.freeze(false);
            }
            Kind::DrainingHost if !host.is_primary() => {
                let id = Site::id(trouble.host);
                let generation = self.site.discovery.change(&id, "lifecycle", json!("draining"));
                host.drains_since(Some(generation));
                wait();
                host.drains_since(None);
                self.site.discovery.change(&id, "lifecycle", json!("ready"));
            }
            Kind::SilentDiscovery => self.with_discovery(Service::Silent, trouble.lasts),
            Kind::DownDiscovery => self.with_discovery(Service::Down, trouble.lasts),
            Kind::LeavingClients => {
                self.behavior.leave.store(300, Ordering::Relaxed);
                wait();
                self.behavior.reset();
            }
            Kind::BadClients => {
                self.behavior.stop_midway.store(30, Ordering::Relaxed);
                self.behavior.pipeline.store(300, Ordering::Relaxed);
                self.behavior.rest.store(100, Ordering::Relaxed);
                wait();
                self.behavior.reset();
            }
            _ => wait(),
        }
    }

    fn with_discovery(&self, service: Service, lasts: Duration) {
        self.site.discovery.set_service(service);
        std::thread::sleep(lasts);
        self.site.discovery.set_service(Service::Serving);
    }
}

/// How slow clients behave, in one of four forms.
fn slow_behavior(form: usize) -> Behavior {
    const LARGE: usize = 200 * 1024;
    const SLOWLY: usize = 1_000;
    let startup = wire::startup(&[("user", "portal"), ("database", "crm")]);
    let large = [startup.clone(), wire::query(&"x".repeat(LARGE))].concat();
    let unread = [startup, wire::query("SELECT 1").repeat(10_000)].concat();
    let (bytes, bytes_written_at_once, bytes_read_at_once) = match form % 4 {
        0 => (large, SLOWLY, SLOWLY),
        1 => (large[..LARGE].to_vec(), LARGE, SLOWLY),
        2 => (wire::startup(&vec![("a", "b"); 2_400]), LARGE, SLOWLY),
        _ => (unread, LARGE, 0),
    };
    Behavior { clients: SLOW_CLIENTS, bytes, bytes_written_at_once, bytes_read_at_once }
}

/// What a trouble of system calls sets.
fn knobs(trouble: &Trouble) -> Vec<(Knob, i64)> {
    let pick = |errors: &[i64]| errors[trouble.form % errors.len()];
    match trouble.kind {
        Kind::InterruptedCalls => vec![
            (Knob::SocketInterrupted, 100),
            (Knob::ShortTransfers, 200),
            (Knob::WantErrno, pick(&[errno::ENOMEM, errno::ENOBUFS])),
            (Knob::WantRate, 20),
        ],
        Kind::InterruptedSignals => vec![(Knob::OtherInterrupted, 800)],
        Kind::FailingCalls => vec![
            (Knob::AcceptErrno, pick(&[errno::ENFILE, errno::ENOBUFS, errno::ECONNABORTED])),
            (Knob::AcceptRate, 200),
            (Knob::SocketErrno, pick(&[errno::ENFILE, errno::ENOBUFS])),
            (Knob::SocketRate, 100),
            (
                Knob::ConnectErrno,
                pick(&[errno::EADDRNOTAVAIL, errno::ENETUNREACH, errno::ENOBUFS, errno::EAGAIN]),
            ),
            (Knob::ConnectRate, 100),
        ],
        Kind::BrokenConnections => {
            vec![(Knob::BrokenErrno, pick(&[errno::ETIMEDOUT, errno::EHOSTUNREACH])), (Knob::BrokenRate, 10)]
        }
        Kind::FullDisk => {
            vec![(Knob::DiskErrno, pick(&[errno::ENOSPC, errno::EIO])), (Knob::DiskRate, 700)]
        }
        Kind::FullLog => vec![(Knob::LogErrno, pick(&[errno::ENOSPC, errno::EIO])), (Knob::LogRate, 900)],
        _ => Vec::new(),
    }
}
