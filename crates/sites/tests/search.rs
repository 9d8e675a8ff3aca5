//! All states that two proxies before two sites can get into, searched: faults at any time, seen by both or by one.

use std::hash::Hash;

use gradeshunt_sites::layout::SiteId;
use gradeshunt_sites::watch::{Action, Failure, Listed, State, Terms, Watch};
use leadmast::{GroupId, MemberId, Micros};
use stateright::{Checker, Model, Property};

/// Faults and mendings in one run, and how long it goes on.
const FAULTS: u8 = 3;
const UNTIL: Micros = 21;
/// In the long search.
const MORE_FAULTS: u8 = 4;
const MORE_UNTIL: Micros = 26;
/// After so long without a fault all has to be in use: the longest hold, the proof before it, and the steps.
const CALM: Micros = 14;

/// A mistake that the search has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// What probes hear is not passed on.
    DeafProbes,
    /// A loss is held for ever.
    HeldForEver,
    /// The steps of a return never come due.
    StuckSteps,
    /// A proxy that finds nobody left holds the last ones out, too.
    HoldsAll,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Micros,
    proxies: Vec<Watch>,
    /// By proxy and site: held out, as ordered.
    out: Vec<Vec<bool>>,
    /// By proxy and site: whether it can be reached.
    reached: Vec<Vec<bool>>,
    faults: u8,
    calm_since: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Pass,
    /// A site, seen by one proxy or by both, fails or is well again.
    Flip(Option<usize>, usize),
}

/// No fault for long enough.
fn calm(w: &World) -> bool {
    w.now - w.calm_since >= CALM
}

struct Search {
    mistake: Mistake,
    faults: u8,
    until: Micros,
}

impl Search {
    fn pass(&self, world: &mut World) {
        world.now += 1;
        let now = world.now;
        for p in 0..2 {
            let mut probed = Vec::new();
            for site in 0..2 {
                if !world.out[p][site] {
                    self.tell(world, p, site);
                }
            }
            let mut actions = Vec::new();
            world.proxies[p].look(now, &mut actions);
            for action in actions {
                match action {
                    Action::HoldOut(h) => world.out[p][h.0 as usize] = true,
                    Action::PutBack(h) => world.out[p][h.0 as usize] = false,
                    Action::Probe(h) => probed.push(h.0 as usize),
                    Action::Changed(..) => {}
                }
            }
            if self.mistake == Mistake::HoldsAll {
                for site in 0..2 {
                    world.out[p][site] = matches!(world.proxies[p].state(SiteId(site)).0, State::Lost { .. });
                }
            }
            if self.mistake != Mistake::DeafProbes {
                probed.into_iter().for_each(|site| self.tell(world, p, site));
            }
        }
    }

    fn tell(&self, world: &mut World, p: usize, site: usize) {
        let host = MemberId(site as u32);
        if world.reached[p][site] {
            world.proxies[p].heard(world.now, host);
        } else {
            world.proxies[p].failed(world.now, host, Failure::Refused);
        }
    }
}

impl Model for Search {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let far = 1 << 40;
        let stuck = if self.mistake == Mistake::StuckSteps { far } else { 2 };
        let hold = if self.mistake == Mistake::HeldForEver { far } else { 2 };
        let terms = |me| Terms {
            lost_after: 2,
            probe_every: 1,
            hold,
            hold_most: hold.max(4),
            flap_memory: 100,
            me,
            steps: [(1, (vec![0, 1], vec![0, stuck, stuck + 1]))].into(),
        };
        let watch = |me| {
            let mut watch = Watch::new(terms(me), 2, 0);
            let listed = |site: usize| Listed {
                host: MemberId(site as u32),
                site: SiteId(site),
                group: GroupId(1),
                common: site as u64,
                started: None,
                gone: false,
            };
            watch.list(&[listed(0), listed(1)], true);
            watch
        };
        let both = |value| vec![vec![value; 2]; 2];
        let proxies = vec![watch(0), watch(1)];
        vec![World { now: 0, proxies, out: both(false), reached: both(true), faults: 0, calm_since: 0 }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.until {
            steps.push(Step::Pass);
        }
        // Time for what follows has to be left.
        if world.faults < self.faults && world.now + CALM < self.until {
            for site in 0..2 {
                steps.push(Step::Flip(None, site));
                steps.push(Step::Flip(Some(0), site));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Pass => self.pass(&mut next),
            Step::Flip(who, site) => {
                for p in (0..2).filter(|p| who.is_none_or(|w| w == *p)) {
                    next.reached[p][site] ^= true;
                }
                (next.faults, next.calm_since) = (next.faults + 1, next.now);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no proxy refuses what it could serve for ever", |_, w: &World| {
                let refuses = |p: usize| (0..2).all(|s| w.out[p][s]);
                !(0..2).any(|p| refuses(p) && w.reached[p].iter().any(|r| *r) && calm(w))
            }),
            Property::always("no proxy holds out everybody", |_, w: &World| {
                (0..2).all(|p| w.out[p].iter().any(|out| !out))
            }),
            Property::always("what is well for long is used again", |_, w: &World| {
                !calm(w) || (0..2).all(|p| (0..2).all(|s| !w.reached[p][s] || !w.out[p][s]))
            }),
            Property::always("both agree where both see the same", |_, w: &World| {
                w.reached[0] != w.reached[1] || !calm(w) || w.out[0] == w.out[1]
            }),
            Property::sometimes("a site is lost for one alone", |_, w: &World| {
                w.out[0] == [true, false] && w.out[1] == [false, false]
            }),
            Property::sometimes("a return is broken off", |_, w: &World| {
                w.faults >= 3
                    && w.out[1][0]
                    && matches!(w.proxies[0].state(SiteId(0)).0, State::Returning { .. })
            }),
        ]
    }
}

fn search(mistake: Mistake, faults: u8, until: Micros) -> (usize, Vec<&'static str>) {
    let checker = Search { mistake, faults, until }.checker().threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    let wrong = checker.model().properties().into_iter().filter(|p| {
        let found = found.contains_key(p.name);
        found != matches!(p.expectation, stateright::Expectation::Sometimes)
    });
    (checker.unique_state_count(), wrong.map(|p| p.name).collect())
}

#[test]
fn two_proxies_and_two_sites_get_over_every_fault() {
    let (states, wrong) = search(Mistake::None, FAULTS, UNTIL);
    println!("{states} states");
    assert!(wrong.is_empty(), "{wrong:?} of {states} states");
    assert!(states > 10_000, "{states}");
}

#[test]
#[ignore = "takes a minute"]
fn two_proxies_and_two_sites_get_over_more_faults() {
    let (states, wrong) = search(Mistake::None, MORE_FAULTS, MORE_UNTIL);
    println!("{states} states");
    assert!(wrong.is_empty(), "{wrong:?} of {states} states");
}

#[test]
fn each_mistake_is_found() {
    for mistake in [Mistake::DeafProbes, Mistake::HeldForEver, Mistake::StuckSteps, Mistake::HoldsAll] {
        let (states, wrong) = search(mistake, FAULTS, UNTIL);
        println!("{mistake:?}: {states} states, {wrong:?}");
        assert!(!wrong.is_empty(), "{mistake:?} is not found in {states} states");
    }
}
