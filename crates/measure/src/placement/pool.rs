//! The pool of connections that one proxy holds to one db host, as a queue: statements arrive at random (Poisson), each holds a
//! connection for its work time, an idle connection is dropped after a time, and the one that was used last is used first, as in
//! the program. With `limit` connections this is M/M/c, without a limit M/M/∞.
//!
//! The k-th connection is open while k or more statements are under way, and for the idle time after that. How long fewer than k
//! are under way is taken as exponentially distributed with its exact mean; [`play`] plays a pool event by event to check that.

use std::collections::VecDeque;

/// A pool's load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Statements a second.
    pub rate: f64,
    /// Seconds for which a statement holds a connection, in the mean.
    pub work: f64,
    /// Seconds until an idle connection is dropped.
    pub idle: f64,
}

/// What a pool comes to in the long run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pool {
    /// Connections, in the mean, and the variance.
    pub connections: f64,
    pub variance: f64,
    /// New connections a second.
    pub opened: f64,
    /// The share of statements that find all of a limited pool's connections in use.
    pub waiting: f64,
}

/// Connections beyond this many standard deviations of the load are not looked at.
const DEVIATIONS: f64 = 10.0;

impl Pool {
    /// Of at most `limit` connections, or as many as are wanted.
    pub fn of(load: Load, limit: Option<u32>) -> Pool {
        let busy = load.rate * load.work;
        if let Some(limit) = limit.filter(|limit| busy >= f64::from(*limit)) {
            // More work than connections: all are in use all the time.
            return Pool { connections: limit.into(), waiting: 1.0, ..Pool::default() };
        }
        let wanted = (busy + DEVIATIONS * (busy.sqrt() + 1.0)).ceil() as u32;
        let probabilities = under_way(busy, limit, limit.unwrap_or(wanted));
        let mut pool = Pool::default();
        let mut below = 0.0;
        for fewer_by_one in probabilities {
            below += fewer_by_one;
            let taken = load.rate * fewer_by_one;
            let unused = if below > 0.0 { (-load.idle * taken / below).exp() } else { 0.0 };
            let open = 1.0 - below * unused;
            pool.connections += open;
            pool.variance += open * (1.0 - open);
            pool.opened += taken * unused;
        }
        pool.waiting = if limit.is_some() { (1.0 - below).max(0.0) } else { 0.0 };
        pool
    }
}

/// The probabilities that 0, 1, ... `count` - 1 statements are under way.
fn under_way(busy: f64, limit: Option<u32>, count: u32) -> Vec<f64> {
    let mut terms = vec![1.0];
    for n in 1..=count {
        terms.push(terms[n as usize - 1] * busy / f64::from(n));
    }
    let all_in_use = terms.pop().unwrap_or(0.0);
    let beyond = match limit {
        Some(limit) => all_in_use / (1.0 - busy / f64::from(limit)),
        None => all_in_use,
    };
    let sum = terms.iter().sum::<f64>() + beyond;
    terms.into_iter().map(|term| term / sum).collect()
}

/// Plays a pool without a limit event by event, each statement with the same work time, and gives its mean of connections and new
/// connections a second. The first idle time is played, and not counted.
pub fn play(load: Load, seconds: f64, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    // When each ends; with one work time for all, in this order.
    let mut busy: VecDeque<f64> = VecDeque::new();
    // When each became idle, the one used last at the end.
    let mut idle: Vec<f64> = Vec::new();
    let (mut now, mut opened, mut connection_seconds) = (0.0, 0_u64, 0.0);
    while now < load.idle + seconds {
        let next = now - (1.0 - rng.f64()).ln() / load.rate;
        while let Some(end) = busy.front().copied().filter(|end| *end <= next) {
            busy.pop_front();
            idle.push(end);
        }
        let counted = (now.max(load.idle), next.max(load.idle));
        let is_open = |since: &f64| (since + load.idle).min(counted.1) - counted.0.min(since + load.idle);
        connection_seconds += idle.iter().map(is_open).sum::<f64>();
        connection_seconds += busy.len() as f64 * (counted.1 - counted.0);
        idle.retain(|since| since + load.idle > next);
        now = next;
        if idle.pop().is_none() {
            opened += u64::from(now > load.idle);
        }
        busy.push_back(now + load.work);
    }
    let counted = now - load.idle;
    (connection_seconds / counted, opened as f64 / counted)
}
