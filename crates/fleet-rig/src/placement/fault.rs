//! The faults of a play, drawn by its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use super::fleet::{Fleet, HOSTS_PER_SET};
use crate::link::State;

/// What a slow link adds to each piece of bytes.
const SLOW: Duration = Duration::from_millis(20);

/// What a file on placement that differs says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Difference {
    /// It leaves a proxy out.
    Without(usize),
    /// It names a proxy that does not exist.
    Ghost,
}

/// What is broken, and mended later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill {
        proxy: usize,
    },
    Stop {
        proxy: usize,
    },
    /// All links from others to a proxy.
    LinksToProxy {
        proxy: usize,
        state: State,
    },
    /// The links of a pair of proxies, both ways.
    LinksOfPair {
        pair: (usize, usize),
        state: State,
    },
    /// The links of a proxy to the db hosts of a set.
    LinksToSet {
        proxy: usize,
        set: usize,
        state: State,
    },
    /// Proxies of a group are released, so many at a time.
    Release {
        wave: Vec<usize>,
    },
    /// These proxies have another file than the rest.
    Rosters {
        proxies: Vec<usize>,
        difference: Difference,
    },
    /// A db host of a set that is no primary, and lags behind it by nothing, drains.
    Drain {
        set: usize,
    },
    /// A db host starts anew, cold.
    Cold {
        host: usize,
    },
    /// A set's first two db hosts change roles.
    Primary {
        set: usize,
    },
}

impl Fault {
    /// Whether requests may wait for an answer that does not come.
    pub fn delays_requests(&self) -> bool {
        use Fault::{Kill, LinksOfPair, LinksToProxy, LinksToSet, Stop};
        matches!(
            self,
            Kill { .. } | Stop { .. } | LinksToProxy { .. } | LinksOfPair { .. } | LinksToSet { .. }
        )
    }

    /// The proxy that its neighbours can't reach.
    pub fn lost_home(&self) -> Option<usize> {
        match self {
            Fault::Kill { proxy } | Fault::Stop { proxy } | Fault::LinksToProxy { proxy, .. } => Some(*proxy),
            _ => None,
        }
    }
}

/// The faults of a play, in steps: those of one step are in force together. Those of db hosts stand alone: what a link or a
/// stopped process holds back would reach a db host later than it was sent, and be held against the program.
pub fn plan(fleet: &Fleet, seed: u64) -> Vec<Vec<Fault>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut draw = Draw { fleet, rng: &mut rng };
    let mut processes = vec![draw.kill(), draw.stop(), draw.release(), draw.rosters(), draw.rosters()];
    let mut links = vec![
        draw.links_to_proxy(State::Silent),
        draw.links_to_proxy(State::Cut),
        draw.links_of_pair(State::Silent),
        draw.links_to_set(State::Silent),
        draw.links_of_pair(State::Slow(SLOW)),
    ];
    let alone = vec![draw.drain(), draw.cold(), draw.primary(), draw.release()];
    processes.shuffle(&mut rng);
    links.shuffle(&mut rng);
    let together = processes.into_iter().zip(links).map(|(process, link)| vec![process, link]);
    let mut steps: Vec<_> = together.chain(alone.into_iter().map(|fault| vec![fault])).collect();
    steps.shuffle(&mut rng);
    steps
}

struct Draw<'a> {
    fleet: &'a Fleet,
    rng: &'a mut StdRng,
}

impl Draw<'_> {
    fn proxy(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.shape.processes)
    }

    fn set(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.shape.sets())
    }

    fn kill(&mut self) -> Fault {
        Fault::Kill { proxy: self.proxy() }
    }

    fn stop(&mut self) -> Fault {
        Fault::Stop { proxy: self.proxy() }
    }

    fn links_to_proxy(&mut self, state: State) -> Fault {
        Fault::LinksToProxy { proxy: self.proxy(), state }
    }

    fn links_of_pair(&mut self, state: State) -> Fault {
        let first = self.proxy();
        let others: Vec<_> = self.fleet.neighbours(first).into_iter().collect();
        let second = others.choose(self.rng).copied().unwrap_or(first);
        Fault::LinksOfPair { pair: (first, second), state }
    }

    fn links_to_set(&mut self, state: State) -> Fault {
        Fault::LinksToSet { proxy: self.proxy(), set: self.set(), state }
    }

    /// About a third of a group.
    fn release(&mut self) -> Fault {
        let group = self.rng.random_range(0..self.fleet.groups.len());
        let mut wave = self.fleet.groups[group].clone();
        wave.shuffle(self.rng);
        wave.truncate(wave.len().div_ceil(3));
        Fault::Release { wave }
    }

    /// About half of all proxies.
    fn rosters(&mut self) -> Fault {
        let difference =
            if self.rng.random() { Difference::Without(self.proxy()) } else { Difference::Ghost };
        let mut proxies: Vec<_> = (0..self.fleet.shape.processes).collect();
        // A proxy that does not find itself in a file must not be given it.
        proxies.retain(|proxy| difference != Difference::Without(*proxy));
        proxies.shuffle(self.rng);
        proxies.truncate(proxies.len().div_ceil(2));
        Fault::Rosters { proxies, difference }
    }

    fn drain(&mut self) -> Fault {
        Fault::Drain { set: self.set() }
    }

    fn cold(&mut self) -> Fault {
        Fault::Cold { host: self.set() * HOSTS_PER_SET + self.rng.random_range(0..HOSTS_PER_SET) }
    }

    fn primary(&mut self) -> Fault {
        Fault::Primary { set: self.set() }
    }
}
