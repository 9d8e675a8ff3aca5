//! What one proxy makes of what it sees: the state of each site, and which db hosts get nothing new. docs/site-loss.md has the
//! table of states. Integers only, so that all states can be searched.

use std::collections::{BTreeMap, BTreeSet};

use leadmast::{GroupId, MemberId, Micros};

use crate::layout::SiteId;

/// Failures in a row after which a db host counts as dead.
const IN_A_ROW: u32 = 2;
/// Db hosts that have to be tried before a site counts as suspected or lost, or all, where it has fewer.
const TRIED: usize = 2;
/// A db host that was not tried for so many times `lost_after` says nothing of its site.
const STALE: Micros = 10;
/// A proxy that wakes so much later than it should takes the silence for its own.
const STALL: Micros = 300_000;
/// Before all times.
const NEVER: Micros = -(1 << 60);

/// What a proxy is told of the pace of a loss and of a return. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// As in the operators' file.
    pub lost_after: Micros,
    /// As there.
    pub probe_every: Micros,
    /// As there.
    pub hold: Micros,
    /// As there.
    pub hold_most: Micros,
    /// As there.
    pub flap_memory: Micros,
    /// This proxy's number: it turns the order in which its db hosts are put back.
    pub me: u32,
    /// When each step of a return begins, since the return did: of a site that has kept its warmth, and of a cold one; by the
    /// number of its db hosts. One more than there are steps: the last is the end of the return.
    pub steps: BTreeMap<usize, (Vec<Micros>, Vec<Micros>)>,
}

/// How a site stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Its db hosts answer.
    Whole,
    /// Half of them or more do not.
    Suspected {
        /// Since when.
        since: Micros,
    },
    /// None does, or an operator holds it out.
    Lost {
        /// Since when.
        since: Micros,
        /// By an operator's word.
        by_hand: bool,
        /// Since when half of its db hosts answer again.
        answers: Option<Micros>,
    },
    /// Its db hosts are put back step by step.
    Returning {
        /// Since when.
        began: Micros,
        /// Which, from 1 on.
        step: usize,
        /// Since when that.
        since: Micros,
        /// Its db hosts started anew.
        cold: bool,
    },
}

impl State {
    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            State::Whole => "whole",
            State::Suspected { .. } => "suspected",
            State::Lost { by_hand: true, .. } => "held out",
            State::Lost { .. } => "lost",
            State::Returning { .. } => "returning",
        }
    }
}

/// How an attempt or a probe failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No process was there: the connection was refused at once.
    Refused,
    /// It broke, or nothing came in time.
    Silent,
}

/// A db host as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Which.
    pub host: MemberId,
    /// Where.
    pub site: SiteId,
    /// Its set.
    pub group: GroupId,
    /// A number that every proxy gives it.
    pub common: u64,
    /// When it last started, if not long ago.
    pub started: Option<Micros>,
    /// Not there any more, or about to go.
    pub gone: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    site: SiteId,
    group: GroupId,
    common: u64,
    started: Option<Micros>,
    gone: bool,
    heard: Micros,
    /// Failures since it was last heard, and when the latest was.
    failures: u32,
    failed: Micros,
    /// The latest was a refused connection.
    refused: bool,
    /// It gets nothing new.
    out: bool,
}

impl Host {
    /// It is gone, or refuses, or is silent for longer than a crowd makes one. A crowded host lets attempts run out of time,
    /// too: it answers probes.
    fn is_dead(&self, now: Micros, lost_after: Micros) -> bool {
        self.gone || self.failures >= IN_A_ROW && (self.refused || now - self.heard >= lost_after)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    state: State,
    /// When it was lost, as far as that is not forgotten.
    losses: Vec<Micros>,
    /// Somebody refused a connection since it was lost.
    refused: bool,
    probe_at: Micros,
    probed: Option<MemberId>,
    why: String,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing new to this db host.
    HoldOut(MemberId),
    /// It is used again; it counts as just started.
    PutBack(MemberId),
    /// See whether it answers.
    Probe(MemberId),
    /// A site's state has changed; the why is in words.
    Changed(SiteId, State, String),
}

/// What one proxy sees of all sites.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    terms: Terms,
    sites: Vec<Site>,
    hosts: BTreeMap<MemberId, Host>,
    /// When it last looked, and the end of its latest stall.
    looked: Micros,
    awake: Micros,
    due: Micros,
}

impl Watch {
    /// All sites whole, and nothing known of their db hosts.
    pub fn new(terms: Terms, sites: usize, now: Micros) -> Watch {
        let site = Site {
            state: State::Whole,
            losses: Vec::new(),
            refused: false,
            probe_at: NEVER,
            probed: None,
            why: String::new(),
        };
        Watch { terms, sites: vec![site; sites], hosts: BTreeMap::new(), looked: now, awake: now, due: now }
    }

    /// How a site stands, and why.
    pub fn state(&self, site: SiteId) -> (State, &str) {
        let site = &self.sites[site.0];
        (site.state, &site.why)
    }

    /// Which share of a site's load is elsewhere: its db hosts that are held out or dead, by their number.
    pub fn missing(&self, site: SiteId) -> f64 {
        let (mut all, mut out) = (0, 0);
        for (_, h) in self.of(site).filter(|(_, h)| !h.gone) {
            all += 1;
            out += u32::from(h.out || h.is_dead(self.looked, self.terms.lost_after));
        }
        match self.sites[site.0].state {
            State::Whole => 0.0,
            State::Lost { .. } => 1.0,
            _ if all == 0 => 1.0,
            _ => f64::from(out) / f64::from(all),
        }
    }

    /// Db hosts of a site: those that are used, and all that are listed.
    pub fn used(&self, site: SiteId) -> (usize, usize) {
        let listed: Vec<_> = self.of(site).filter(|(_, h)| !h.gone).collect();
        (listed.iter().filter(|(_, h)| !h.out).count(), listed.len())
    }

    /// Whether this db host gets nothing new by the state of its site.
    pub fn is_out(&self, host: MemberId) -> bool {
        self.hosts.get(&host).is_some_and(|h| h.out)
    }

    fn of(&self, site: SiteId) -> impl Iterator<Item = (&MemberId, &Host)> {
        self.hosts.iter().filter(move |(_, h)| h.site == site)
    }

    /// Takes over what another has seen, where sites of the same names stand in `places`: theirs by ours.
    pub fn take_over(&mut self, other: &Watch, places: &[Option<SiteId>]) {
        for (site, theirs) in self.sites.iter_mut().zip(places) {
            if let Some(theirs) = theirs {
                site.clone_from(&other.sites[theirs.0]);
            }
        }
        for (id, h) in &other.hosts {
            let ours = places.iter().position(|p| *p == Some(h.site));
            self.hosts.extend(ours.map(|ours| (*id, Host { site: SiteId(ours), ..h.clone() })));
        }
        (self.looked, self.awake, self.due) = (other.looked, other.awake, other.due);
    }

    /// Db hosts that get nothing new by the states of their sites.
    pub fn out(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.hosts.iter().filter(|(_, h)| h.out).map(|(id, _)| *id)
    }

    // ---- What it hears ----

    /// Entries of the list; where that is whole, others are gone.
    pub fn list(&mut self, entries: &[Listed], whole: bool) {
        if whole {
            let listed: BTreeSet<_> = entries.iter().map(|e| e.host).collect();
            self.hosts.iter_mut().filter(|(id, _)| !listed.contains(id)).for_each(|(_, h)| h.gone = true);
        }
        for e in entries {
            let Listed { host, site, group, common, started, gone } = *e;
            let new = Host {
                site,
                group,
                common,
                started,
                gone,
                heard: NEVER,
                failures: 0,
                failed: NEVER,
                refused: false,
                out: false,
            };
            let h = self.hosts.entry(host).or_insert(new);
            (h.gone, h.started) = (gone, h.started.max(started));
        }
    }

    /// A db host has answered, whatever it said.
    pub fn heard(&mut self, now: Micros, host: MemberId) {
        if let Some(h) = self.hosts.get_mut(&host) {
            (h.heard, h.failures) = (now, 0);
        }
    }

    /// An attempt or a probe there came to nothing.
    pub fn failed(&mut self, now: Micros, host: MemberId, how: Failure) {
        let Some(h) = self.hosts.get_mut(&host) else { return };
        (h.failures, h.failed) = (h.failures.saturating_add(1).min(IN_A_ROW), now);
        h.refused = how == Failure::Refused;
        let site = &mut self.sites[h.site.0];
        site.refused |= how == Failure::Refused;
    }

    /// An operator holds a site out, or lets it back.
    pub fn hold(&mut self, now: Micros, site: SiteId, out: bool, actions: &mut Vec<Action>) {
        let at = &mut self.sites[site.0];
        match (at.state, out) {
            (State::Lost { since, answers, .. }, true) => {
                let state = State::Lost { since, by_hand: true, answers };
                self.turn(site, state, "an operator holds it out".to_owned(), actions);
            }
            (_, true) => {
                at.refused = false;
                let state = State::Lost { since: now, by_hand: true, answers: None };
                self.turn(site, state, "an operator holds it out".to_owned(), actions);
            }
            (State::Lost { .. }, false) => self.begin_return(now, site, "an operator lets it back", actions),
            (State::Whole | State::Suspected { .. } | State::Returning { .. }, false) => {}
        }
        self.settle(actions);
    }

    // ---- What it concludes ----

    /// Looks at all sites. Returns when it wants to look again.
    pub fn look(&mut self, now: Micros, actions: &mut Vec<Action>) -> Micros {
        if now > self.due + STALL {
            self.awake = now;
        }
        self.looked = now;
        // Db hosts are replaced by others all the time: those that are gone tell of their site only if no other is left there.
        let left: BTreeSet<_> = self.hosts.values().filter(|h| !h.gone).map(|h| h.site).collect();
        self.hosts.retain(|_, h| !h.gone || !left.contains(&h.site));
        for n in 0..self.sites.len() {
            self.look_at(now, SiteId(n), actions);
        }
        self.settle(actions);
        self.due = now + (self.terms.lost_after / 10).max(1);
        self.due
    }

    fn look_at(&mut self, now: Micros, site: SiteId, actions: &mut Vec<Action>) {
        let lost_after = self.terms.lost_after;
        let recent = now - STALE * lost_after;
        let hosts: Vec<_> = self.of(site).map(|(id, h)| (*id, h.clone())).collect();
        let needed = TRIED.min(hosts.len());
        let is_dead = |h: &Host| h.is_dead(now, lost_after);
        let dead = hosts.iter().filter(|(_, h)| is_dead(h)).count();
        let tried = hosts.iter().filter(|(_, h)| is_dead(h) || h.heard > recent).count();
        let heard = hosts.iter().map(|(_, h)| h.heard).max().unwrap_or(NEVER);
        let silent = now - heard.max(self.awake) >= lost_after;
        // Failures of late, not of an hour ago.
        let failing = hosts.iter().filter(|(_, h)| is_dead(h) && (h.gone || h.failed > recent)).count();
        let gone = !hosts.is_empty() && hosts.iter().all(|(_, h)| h.gone);
        let lost = !hosts.is_empty() && failing >= needed && (gone || silent && heard < now);
        match self.sites[site.0].state {
            State::Whole if lost || dead >= needed && dead > 0 && dead * 2 >= tried => {
                let why = format!("{dead} of {tried} db hosts that were tried do not answer");
                self.turn(site, State::Suspected { since: now }, why, actions);
                if gone {
                    self.lose(now, site, &hosts, actions);
                }
            }
            // Not before those that are silent had a probe to answer.
            State::Suspected { since } if lost && (gone || now - since >= lost_after / 4) => {
                self.lose(now, site, &hosts, actions);
            }
            State::Suspected { .. } if dead * 2 < tried || dead == 0 => {
                let why = format!("{} of {tried} db hosts answer", tried - dead);
                self.turn(site, State::Whole, why, actions);
            }
            State::Whole => {}
            State::Suspected { .. } => {
                // One at each look: whoever answers is no more than crowded.
                self.sites[site.0].probe_at = now;
                self.probe(now, site, &hosts, actions);
            }
            State::Lost { since, by_hand, answers } => {
                self.probe(now, site, &hosts, actions);
                let alive = |h: &Host| !h.gone && h.failures == 0 && h.heard > since;
                let alive = hosts.iter().filter(|(_, h)| alive(h)).count();
                let listed = hosts.iter().filter(|(_, h)| !h.gone).count();
                let enough = alive > 0 && alive * 2 >= listed;
                let answers = if enough { answers.or(Some(now)) } else { None };
                self.sites[site.0].state = State::Lost { since, by_hand, answers };
                let hold = self.hold_of(site);
                if !by_hand && answers.is_some_and(|a| now - a >= hold) {
                    self.begin_return(now, site, "its db hosts answer", actions);
                }
            }
            State::Returning { began, step, since, cold } => {
                self.probe(now, site, &hosts, actions);
                let back: Vec<_> = hosts.iter().filter(|(_, h)| !h.out && !h.gone).collect();
                let dead = back.iter().filter(|(_, h)| is_dead(h) && h.failed > began).count();
                if dead > 0 && dead * 2 >= back.len() {
                    return self.lose(now, site, &hosts, actions);
                }
                let heard = back.iter().filter(|(_, h)| h.heard > since).count();
                let answered = heard * 2 >= back.len();
                let times = self.steps(hosts.iter().filter(|(_, h)| !h.gone).count(), cold);
                let due = times.get(step).is_none_or(|at| now >= began + at);
                if due && answered && step + 1 < times.len() {
                    let (step, since) = (step + 1, now);
                    self.sites[site.0].state = State::Returning { began, step, since, cold };
                } else if due && answered {
                    self.sites[site.0].refused = false;
                    self.turn(site, State::Whole, "all its db hosts are back".to_owned(), actions);
                }
            }
        }
    }

    fn turn(&mut self, site: SiteId, state: State, why: String, actions: &mut Vec<Action>) {
        let at = &mut self.sites[site.0];
        (at.state, at.why) = (state, why.clone());
        actions.push(Action::Changed(site, state, why));
    }

    fn lose(&mut self, now: Micros, site: SiteId, hosts: &[(MemberId, Host)], actions: &mut Vec<Action>) {
        let gone = hosts.iter().filter(|(_, h)| h.gone).count();
        let dead = hosts.iter().filter(|(_, h)| h.is_dead(now, self.terms.lost_after)).count();
        let memory = self.terms.flap_memory;
        let at = &mut self.sites[site.0];
        at.losses.retain(|l| now - l < memory);
        at.losses.push(now);
        // No more are looked at than make the longest hold.
        if at.losses.len() > 32 {
            at.losses.remove(0);
        }
        (at.probe_at, at.probed) = (now, None);
        let why = format!(
            "none of its {} db hosts is heard, {dead} tried in vain, {gone} gone by the list; loss {} in the time that is remembered",
            hosts.len(), at.losses.len()
        );
        self.turn(site, State::Lost { since: now, by_hand: false, answers: None }, why, actions);
    }

    /// How long a site is held out, by its losses of late.
    fn hold_of(&self, site: SiteId) -> Micros {
        let times = self.sites[site.0].losses.len().saturating_sub(1).min(20);
        self.terms.hold.saturating_mul(1 << times).min(self.terms.hold_most)
    }

    fn begin_return(&mut self, now: Micros, site: SiteId, why: &str, actions: &mut Vec<Action>) {
        let State::Lost { since, .. } = self.sites[site.0].state else { return };
        let started = self.of(site).any(|(_, h)| h.started > Some(since));
        let cold = started || self.sites[site.0].refused;
        let state = State::Returning { began: now, step: 1, since: now, cold };
        let warmth = if cold { "started anew" } else { "warm" };
        self.turn(site, state, format!("{why}, {warmth}"), actions);
    }

    fn steps(&self, hosts: usize, cold: bool) -> &[Micros] {
        let none: &[Micros] = &[];
        self.terms.steps.get(&hosts).map_or(none, |(warm, slow)| if cold { slow } else { warm })
    }

    /// One db host at a time: of a lost site any, of one that returns one that is put back.
    fn probe(&mut self, now: Micros, site: SiteId, hosts: &[(MemberId, Host)], actions: &mut Vec<Action>) {
        let every = self.terms.probe_every;
        let at = &mut self.sites[site.0];
        if now < at.probe_at {
            return;
        }
        at.probe_at = now + every;
        let returns = matches!(at.state, State::Returning { .. });
        let mut listed = hosts.iter().filter(|(_, h)| !h.gone && (!returns || !h.out)).map(|(id, _)| *id);
        let first = listed.clone().next();
        at.probed = listed.find(|id| Some(*id) > at.probed).or(first);
        actions.extend(at.probed.map(Action::Probe));
    }

    /// Holds out and puts back, by the states of all sites.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        let mut wanted: BTreeMap<MemberId, bool> = BTreeMap::new();
        for n in 0..self.sites.len() {
            let mut of: Vec<_> = self.of(SiteId(n)).filter(|(_, h)| !h.gone).collect();
            of.sort_by_key(|(_, h)| h.common);
            let put_back = match self.sites[n].state {
                State::Whole | State::Suspected { .. } => of.len(),
                State::Lost { .. } => 0,
                State::Returning { step, cold, .. } => {
                    let steps = self.steps(of.len(), cold).len().saturating_sub(1).max(1);
                    of.len() * step / steps
                }
            };
            for (rank, (id, _)) in of.iter().enumerate() {
                let turned = (rank + self.terms.me as usize) % of.len();
                wanted.insert(**id, turned >= put_back);
            }
        }
        // Where nobody of a set is left, nobody of it is held out.
        let left: BTreeSet<_> = wanted
            .iter()
            .filter(|(_, out)| !**out)
            .filter_map(|(id, _)| Some(self.hosts.get(id)?.group))
            .collect();
        for (id, out) in wanted {
            let Some(h) = self.hosts.get_mut(&id) else { continue };
            let out = out && left.contains(&h.group);
            if std::mem::replace(&mut h.out, out) != out {
                actions.push(if out { Action::HoldOut(id) } else { Action::PutBack(id) });
            }
        }
    }
}

/// When each step of a return begins, by the number of a site's db hosts: one that has kept its warmth, and a cold one.
/// `share` is what a cold db host bears of its usual load, `cold` how long until it is warm, `fleet` how many proxies there are.
pub fn steps(
    hosts: usize,
    fleet: u32,
    share: f64,
    cold: Micros,
    step: Micros,
    connects: f64,
) -> (Vec<Micros>, Vec<Micros>) {
    let share = share.clamp(0.01, 1.0);
    let at_least = (1.0 / share).ceil() as usize;
    let n = hosts.max(at_least).max(1);
    let pairs = hosts as f64 * f64::from(fleet);
    let begins = |k: usize, cold: Option<Micros>| {
        let part = k as f64 / n as f64;
        // In step k, k/n of all pairs connect; they have had since the return began for it.
        let connected = ((k as f64 - 1.0) / n as f64 * pairs / connects * 1e6) as Micros;
        let stepped = step * (k as Micros - 1);
        let warm = cold
            .map_or(0, |t| (t as f64 * ((part - share) / (1.0 - share).max(1e-9)).clamp(0.0, 1.0)) as Micros);
        stepped.max(connected).max(warm)
    };
    let times = |cold: Option<Micros>| {
        let mut times: Vec<_> = (1..=n).map(|k| begins(k, cold)).collect();
        times.push(times.last().copied().unwrap_or(0) + step);
        times
    };
    (times(None), times(Some(cold)))
}
