//! How many connections a pool holds and opens, where each rests for a while after use and is then closed: a model, no
//! measurement.
//!
//! Statements to one db host arrive at random (a Poisson process of `rate`) and are under way for `work` seconds each, so
//! the number under way is Poisson with the mean `rate * work`. A statement that finds `k - 1` or more under way uses the
//! k-th connection, and that connection is still held where such a statement came within the last `work + rest` seconds.

/// A share of statements below which further connections are not counted.
const NEGLIGIBLE: f64 = 1e-9;

/// What a proxy holds and opens at one db host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pool {
    /// Connections held, in the mean.
    pub held: f64,
    /// Connections opened a second.
    pub opened: f64,
}

/// How connections are used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// Seconds that a statement is under way.
    pub work: f64,
    /// Seconds that an unused connection is kept.
    pub rest: f64,
}

impl Pool {
    /// The pool of one db host that gets `rate` statements a second.
    pub fn of_host(rate: f64, connection: Use) -> Pool {
        let kept = connection.work + connection.rest;
        let under_way = rate * connection.work;
        let mut pool = Pool::default();
        // The probability of just `index` statements under way, and that of at least so many.
        let mut exactly = (-under_way).exp();
        let mut at_least = 1.0;
        let mut index = 0.0;
        while at_least > NEGLIGIBLE {
            let uses = rate * at_least;
            let unused = (-uses * kept).exp();
            pool.held += 1.0 - unused;
            pool.opened += uses * unused;
            at_least -= exactly;
            index += 1.0;
            exactly *= under_way / index;
        }
        pool
    }

    /// The pools of `hosts` db hosts, which share `rate` statements a second evenly.
    pub fn of_hosts(rate: f64, hosts: f64, connection: Use) -> Pool {
        let each = Pool::of_host(rate / hosts, connection);
        Pool { held: each.held * hosts, opened: each.opened * hosts }
    }

    /// The pools of `sets` sets of `hosts_per_set` db hosts each, where statements are spread over sets by a Zipf
    /// distribution of exponent `skew`, and evenly over the db hosts of a set.
    pub fn of_sets(rate: f64, sets: f64, hosts_per_set: f64, skew: f64, connection: Use) -> Pool {
        let hottest = crate::assumptions::hottest_share(sets, skew);
        let ranks = 1..=sets.round().max(1.0) as u64;
        ranks.fold(Pool::default(), |so_far, rank| {
            let share = hottest * (rank as f64).powf(-skew);
            let set = Pool::of_hosts(rate * share, hosts_per_set, connection);
            Pool { held: so_far.held + set.held, opened: so_far.opened + set.opened }
        })
    }
}
