//! The db hosts: what discovery and operators say of each, and whether it takes jobs.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use leadmast::permission::HostStanding;
use leadmast::{Ending, ListKind, MemberId, Micros, Note, Phase, Probed, Report};
use slog::{debug, info};

use super::jobs::Job;
use super::reply::Reply;
use super::Backend;
use crate::exchange::Exchange;
use crate::ids::ServerId;
use crate::placing::{is_peer, Peer};
use crate::position::PositionReader;
use crate::turn::Turn;

/// Whether anything new may go to a db host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Open,
    Draining,
    /// Not listed any more: it is forgotten once nothing of ours is left there.
    Gone,
}

pub(super) struct Host {
    pub(super) addr: SocketAddr,
    standing: Standing,
    /// Since when the list says that it takes nothing new.
    pub(super) closed_since: Option<Micros>,
    /// Operators hold it out, whatever the list says.
    pub(super) held_out: bool,
    /// The most recently used last.
    pub(super) idle: Vec<ServerId>,
    pub(super) starting: usize,
    /// All connections to it.
    pub(super) servers: usize,
    /// When connections are tried again for which the system lacked something.
    pub(super) connect_at: Option<Micros>,
    /// Jobs that wait for a connection, oldest first.
    pub(super) waiting: VecDeque<Job>,
    pub(super) positions: PositionReader,
}

impl Host {
    /// A position that it has told now, as Unix time in milliseconds, on the proxy's clock; `None` for one that is not believed.
    pub(super) fn position(&mut self, turn: &mut Turn, ms: f64, primary: Option<bool>) -> Option<Micros> {
        let (now, own_error) = (turn.clock.now(), turn.clock.own_error());
        let position = self.positions.read(&mut turn.clock, now, ms, primary);
        if turn.clock.own_error() != own_error {
            info!(turn.log, "this machine's wall clock is off"; "ms" => turn.clock.own_error() / 1000);
        }
        position
    }

    /// What a reply says of it.
    pub(super) fn note(&mut self, turn: &mut Turn, reply: &Reply) -> Option<Note> {
        let primary = reply.primary?;
        let position = reply.position.and_then(|ms| self.position(turn, ms, reply.primary));
        Some(Note { position, primary })
    }

    /// How it stands for new work.
    pub(super) fn standing(&self) -> HostStanding {
        match self.standing {
            Standing::Gone => HostStanding::Gone,
            Standing::Draining => HostStanding::Draining,
            Standing::Open if self.held_out => HostStanding::HeldOut,
            Standing::Open => HostStanding::Open,
        }
    }

    /// The list says so from now on.
    fn set_standing(&mut self, now: Micros, standing: Standing) {
        self.standing = standing;
        self.closed_since = match standing {
            Standing::Open => None,
            Standing::Draining | Standing::Gone => self.closed_since.or(Some(now)),
        };
    }
}

/// A db host as discovery tells of it.
pub struct Listed {
    /// Its name, which stays when a number is given back.
    pub id: String,
    pub member: MemberId,
    pub addr: SocketAddr,
    pub phase: Phase,
}

impl Backend {
    /// Takes over what discovery tells. A host that drains or is gone loses its idle connections and all that
    /// still waits for one: a send may not follow a connect that takes until after the grace.
    pub fn list(&mut self, turn: &mut Turn, exchange: &mut Exchange, kind: ListKind, listed: &[Listed]) {
        let mut closed = Vec::new();
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let all: BTreeSet<_> = listed.iter().map(|l| l.member).collect();
            // Other proxies are none of discovery's db hosts.
            let missing = |m: &MemberId| !all.contains(m) && !is_peer(*m);
            for (member, host) in self.hosts.iter_mut().filter(|(m, _)| missing(m)) {
                host.set_standing(turn.now, Standing::Gone);
                closed.push(*member);
            }
        }
        for l in listed {
            let standing = match l.phase {
                Phase::Up => Standing::Open,
                Phase::Draining => Standing::Draining,
                Phase::Removed => Standing::Gone,
            };
            let moved = self.take_over(turn, l.member, l.addr, standing);
            // Where it has moved, what waits for a connection to the former address starts anew.
            if standing != Standing::Open || moved {
                closed.push(l.member);
            }
        }
        for member in closed {
            self.stop(turn, exchange, member);
            self.forget_if_gone(member);
        }
    }

    /// Takes over the other proxies of the group. Those that are not named any more get nothing new.
    pub fn set_peers(&mut self, turn: &mut Turn, exchange: &mut Exchange, own_name: &str, peers: &[Peer]) {
        own_name.clone_into(&mut self.own_name);
        let named: BTreeSet<_> = peers.iter().map(|peer| peer.member).collect();
        let gone = self.hosts.keys().copied().filter(|m| is_peer(*m) && !named.contains(m));
        for member in gone.collect::<Vec<_>>() {
            if let Some(host) = self.hosts.get_mut(&member) {
                host.set_standing(turn.now, Standing::Gone);
            }
            self.stop(turn, exchange, member);
            self.forget_if_gone(member);
        }
        for peer in peers {
            if self.take_over(turn, peer.member, peer.address, Standing::Open) {
                self.stop(turn, exchange, peer.member);
            }
        }
    }

    /// Takes over where a host is and how it stands; true where it has moved.
    fn take_over(&mut self, turn: &Turn, member: MemberId, addr: SocketAddr, standing: Standing) -> bool {
        let host = self.hosts.entry(member).or_insert_with(|| Host {
            addr,
            standing,
            closed_since: None,
            held_out: false,
            idle: Vec::new(),
            starting: 0,
            servers: 0,
            connect_at: None,
            waiting: VecDeque::new(),
            positions: PositionReader::default(),
        });
        let moved = host.addr != addr;
        if moved || host.standing != standing {
            debug!(turn.log, "db host stands otherwise"; "addr" => addr.to_string(), "now" => ?standing,
                "before" => ?host.standing, "member" => member.0);
        }
        host.addr = addr;
        host.set_standing(turn.now, standing);
        moved
    }

    /// Operators hold a db host out, or readmit it.
    pub fn maintain(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, out: bool) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        host.held_out = out;
        if out {
            self.stop(turn, exchange, member);
        }
    }

    /// Ends what waits for a connection to a host, and closes its idle ones.
    fn stop(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        for job in std::mem::take(&mut host.waiting) {
            self.end(turn, exchange, member, job, Ending::Moot, Reply::default());
        }
        self.close_idle(turn, member);
    }

    /// Takes note where a db host has told a position that can't be believed yet, and tells all of those once they can be: a process
    /// that has just started would ask again, and hold its first reads for that.
    pub(super) fn tell_unshown(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        if self.hosts.get(&member).is_some_and(|host| host.positions.has_held_back()) {
            self.unshown.push(member);
        }
        let now = turn.clock.now();
        if self.unshown.is_empty() || !turn.clock.is_offset_confirmed(now) {
            return;
        }
        for member in std::mem::take(&mut self.unshown) {
            let host = self.hosts.get_mut(&member);
            let told = host.and_then(|host| host.positions.take_held_back(&turn.clock, now));
            if let Some((position, at)) = told {
                let report = Report { position: Some(position), primary: Some(false), ..Report::default() };
                let elapsed = turn.now - at;
                exchange.probed(turn, Probed { member, ending: Ending::Ok, elapsed, report: Some(report) });
            }
        }
    }

    /// Guards a long life's memory: hosts are replaced by others under new names, again and again.
    pub(super) fn forget_if_gone(&mut self, member: MemberId) {
        let gone = |h: &Host| h.standing == Standing::Gone && h.servers == 0;
        if self.hosts.get(&member).is_some_and(gone) {
            self.hosts.remove(&member);
        }
    }
}
