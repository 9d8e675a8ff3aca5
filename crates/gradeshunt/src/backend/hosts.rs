//! The db hosts: their state according to discovery and operators, and whether they accept jobs.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use leadmast::permission::HostState;
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

/// Whether new jobs may go to a db host, according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Open,
    Draining,
    /// No longer listed; removed once no connection to it is left.
    Gone,
}

pub(super) struct Host {
    pub(super) addr: SocketAddr,
    standing: Standing,
    /// The time since which discovery has listed it as draining, or has not listed it any more.
    pub(super) closed_since: Option<Micros>,
    /// Whether operators hold it out, regardless of discovery.
    pub(super) held_out: bool,
    /// Idle connections, the most recently used last.
    pub(super) idle: Vec<ServerId>,
    pub(super) starting: usize,
    /// Number of all connections to it.
    pub(super) servers: usize,
    /// When connections are retried that failed for lack of system resources.
    pub(super) retry_connect_at: Option<Micros>,
    /// Jobs that wait for a connection, oldest first.
    pub(super) waiting: VecDeque<Job>,
    pub(super) positions: PositionReader,
}

impl Host {
    /// Converts a position that the db host has just reported, in Unix milliseconds, to the proxy's clock;
    /// `None` if it is not plausible.
    pub(super) fn position(&mut self, turn: &mut Turn, ms: f64, primary: Option<bool>) -> Option<Micros> {
        let (now, own_error) = (turn.clock.now(), turn.clock.own_error());
        let position = self.positions.read(&mut turn.clock, now, ms, primary);
        if turn.clock.own_error() != own_error {
            info!(turn.log, "this machine's wall clock is off"; "ms" => turn.clock.own_error() / 1000);
        }
        position
    }

    /// The db host's position and role according to a reply.
    pub(super) fn note(&mut self, turn: &mut Turn, reply: &Reply) -> Option<Note> {
        let primary = reply.primary?;
        let position = reply.position.and_then(|ms| self.position(turn, ms, reply.primary));
        Some(Note { position, primary })
    }

    /// Whether it accepts new jobs, and why not.
    pub(super) fn standing(&self) -> HostState {
        match self.standing {
            Standing::Gone => HostState::Gone,
            Standing::Draining => HostState::Draining,
            Standing::Open if self.held_out => HostState::HeldOut,
            Standing::Open => HostState::Open,
        }
    }

    /// Sets the standing according to discovery.
    fn set_standing(&mut self, now: Micros, standing: Standing) {
        self.standing = standing;
        self.closed_since = match standing {
            Standing::Open => None,
            Standing::Draining | Standing::Gone => self.closed_since.or(Some(now)),
        };
    }
}

/// A db host as listed by discovery.
pub struct Listed {
    /// Its name, which remains the same when its member number is reused.
    pub id: String,
    pub member: MemberId,
    pub addr: SocketAddr,
    pub phase: Phase,
}

impl Backend {
    /// Applies a list from discovery. The idle connections of a host that drains or is gone are closed, and
    /// the jobs that wait for a connection to it end: nothing may be sent on a connection that is established
    /// only after the drain grace.
    pub fn apply_list(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        kind: ListKind,
        listed: &[Listed],
    ) {
        let mut closed = Vec::new();
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let all: BTreeSet<_> = listed.iter().map(|l| l.member).collect();
            // Other proxies are members too, but are not listed by discovery.
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
            let moved = self.update_host(turn, l.member, l.addr, standing);
            // If the host has moved, jobs that wait for a connection to its former address end as well.
            if standing != Standing::Open || moved {
                closed.push(l.member);
            }
        }
        for member in closed {
            self.end_waiting(turn, exchange, member);
            self.remove_if_gone(member);
        }
    }

    /// Sets the other proxies of the group. Those that are no longer named get nothing new.
    pub fn set_peers(&mut self, turn: &mut Turn, exchange: &mut Exchange, own_name: &str, peers: &[Peer]) {
        own_name.clone_into(&mut self.own_name);
        let named: BTreeSet<_> = peers.iter().map(|peer| peer.member).collect();
        let gone = self.hosts.keys().copied().filter(|m| is_peer(*m) && !named.contains(m));
        for member in gone.collect::<Vec<_>>() {
            if let Some(host) = self.hosts.get_mut(&member) {
                host.set_standing(turn.now, Standing::Gone);
            }
            self.end_waiting(turn, exchange, member);
            self.remove_if_gone(member);
        }
        for peer in peers {
            if self.update_host(turn, peer.member, peer.address, Standing::Open) {
                self.end_waiting(turn, exchange, peer.member);
            }
        }
    }

    /// Sets a host's address and standing; returns whether the address has changed.
    fn update_host(&mut self, turn: &Turn, member: MemberId, addr: SocketAddr, standing: Standing) -> bool {
        let host = self.hosts.entry(member).or_insert_with(|| Host {
            addr,
            standing,
            closed_since: None,
            held_out: false,
            idle: Vec::new(),
            starting: 0,
            servers: 0,
            retry_connect_at: None,
            waiting: VecDeque::new(),
            positions: PositionReader::default(),
        });
        let moved = host.addr != addr;
        if moved || host.standing != standing {
            debug!(turn.log, "db host's address or standing changed"; "addr" => addr.to_string(), "now" => ?standing,
                "before" => ?host.standing, "member" => member.0);
        }
        host.addr = addr;
        host.set_standing(turn.now, standing);
        moved
    }

    /// Holds a db host out or readmits it, on behalf of operators.
    pub fn set_held_out(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId, out: bool) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        host.held_out = out;
        if out {
            self.end_waiting(turn, exchange, member);
        }
    }

    /// Ends the jobs that wait for a connection to a host, and closes the host's idle connections.
    fn end_waiting(&mut self, turn: &mut Turn, exchange: &mut Exchange, member: MemberId) {
        let Some(host) = self.hosts.get_mut(&member) else { return };
        for job in std::mem::take(&mut host.waiting) {
            self.end_job(turn, exchange, member, job, Ending::Moot, Reply::default());
        }
        self.close_idle(turn, member);
    }

    /// Records that a db host has reported a position that cannot be verified yet, and reports all such
    /// positions to the exchange once they can be. Otherwise a process that has just started would have to
    /// probe again, and would delay its first reads for that.
    pub(super) fn report_verified_positions(
        &mut self,
        turn: &mut Turn,
        exchange: &mut Exchange,
        member: MemberId,
    ) {
        if self.hosts.get(&member).is_some_and(|host| host.positions.has_held_back()) {
            self.unverified_positions.push(member);
        }
        let now = turn.clock.now();
        if self.unverified_positions.is_empty() || !turn.clock.is_offset_confirmed(now) {
            return;
        }
        for member in std::mem::take(&mut self.unverified_positions) {
            let host = self.hosts.get_mut(&member);
            let verified = host.and_then(|host| host.positions.take_held_back(&turn.clock, now));
            if let Some((position, at)) = verified {
                let report = Report { position: Some(position), primary: Some(false), ..Report::default() };
                let elapsed = turn.now - at;
                exchange
                    .probe_ended(turn, Probed { member, ending: Ending::Ok, elapsed, report: Some(report) });
            }
        }
    }

    /// Removes a host that is gone and has no connections. Without this, memory would grow without bound as
    /// hosts are replaced by others under new names.
    pub(super) fn remove_if_gone(&mut self, member: MemberId) {
        let gone = |h: &Host| h.standing == Standing::Gone && h.servers == 0;
        if self.hosts.get(&member).is_some_and(gone) {
            self.hosts.remove(&member);
        }
    }
}
