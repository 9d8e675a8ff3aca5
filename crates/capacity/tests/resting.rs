//! The model of resting connections, against values worked out by hand and a simulation.

use gradeshunt_capacity::resting::{Pool, Use};

const AT_ONCE: Use = Use { work: 0.0, rest: 18.0 };

fn assert_near(found: f64, expected: f64, share: f64) {
    assert!((found - expected).abs() <= share * expected.abs(), "{found}, expected {expected}");
}

#[test]
fn statements_without_work_use_one_connection_a_db_host() {
    // 400 statements/s over 6,700 db hosts: exp(-400 × 18 / 6,700) = 0.34142.
    let pool = Pool::of_hosts(400.0, 6_700.0, AT_ONCE);
    assert_near(pool.held, 6_700.0 * (1.0 - 0.34142), 1e-4);
    assert_near(pool.opened, 400.0 * 0.34142, 1e-4);
    let busy = Pool::of_hosts(400.0, 60.0, AT_ONCE);
    assert_near(busy.held, 60.0, 1e-9);
    assert!(busy.opened < 1e-9);
}

#[test]
fn even_sets_are_as_many_hosts() {
    let even = Pool::of_sets(588.0, 1_340.0, 5.0, 0.0, AT_ONCE);
    let hosts = Pool::of_hosts(588.0, 6_700.0, AT_ONCE);
    assert_near(even.held, hosts.held, 1e-9);
    assert_near(even.opened, hosts.opened, 1e-9);
    let skewed = Pool::of_sets(588.0, 1_340.0, 5.0, 1.0, AT_ONCE);
    assert!(skewed.held < even.held, "{skewed:?}");
}

/// A pool played statement by statement: random arrivals, fixed work, the connection used last is taken first.
fn played(rate: f64, connection: Use, seconds: f64) -> Pool {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let mut uniform = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    // When each connection comes free.
    let mut free_at: Vec<f64> = Vec::new();
    let (mut now, mut held_seconds, mut opened) = (0.0, 0.0, 0.0);
    while now < seconds {
        let gap = -(1.0 - uniform()).ln() / rate;
        held_seconds +=
            free_at.iter().map(|free| (free + connection.rest - now).clamp(0.0, gap)).sum::<f64>();
        now += gap;
        free_at.retain(|free| free + connection.rest > now);
        let is_free = free_at.iter().enumerate().filter(|(_, free)| **free <= now);
        let latest = is_free.max_by(|a, b| a.1.total_cmp(b.1)).map(|(index, _)| index);
        match latest {
            Some(index) => free_at[index] = now + connection.work,
            None => {
                opened += 1.0;
                free_at.push(now + connection.work);
            }
        }
    }
    Pool { held: held_seconds / now, opened: opened / now }
}

#[test]
fn model_is_near_a_pool_that_is_played() {
    for rate in [0.02, 0.1, 1.6] {
        let connection = Use { work: 0.1, rest: 18.0 };
        let (model, played) = (Pool::of_host(rate, connection), played(rate, connection, 400_000.0));
        assert_near(model.held, played.held, 0.05);
        assert_near(model.opened, played.opened, 0.1);
    }
}
