//! `gradeshunt-measure classing`: what a statement costs that has a known shape, beside a full judgement; how many are known
//! while shapes are spread as Zipf has it and while half of the traffic is one-off; and what a flood of shapes takes.

use std::hint::black_box;
use std::num::NonZeroUsize;
use std::time::Instant;

use gradeshunt_classing::cache::ENTRY_OVERHEAD_BYTES;
use gradeshunt_classing::{shape, Catalogue, Classer, Key, Shape};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Zipf};

use crate::{Report, Setting, HELD};

/// Bytes of the caches: the program's own, where its operators name none.
const BYTES: usize = 4096 * 1024;
/// Shapes that come again and again.
const SHAPES: u64 = 8_000;
const REQUESTS: u64 = 2_000_000;
const FLOOD: u64 = 2_000_000;
const SHORT_FLOOD: u64 = 400_000;
const KEY: Key = Key(11, 17);

/// 200 bytes, as an application's query has.
const STATEMENT: &str = "SELECT s.id, s.name, t.votes FROM stations s JOIN tallies t ON t.station = s.id WHERE s.region = 'north-west' \
    AND t.at >= '2026-11-27 18:00' AND t.party IN (1, 2, 3, 4, 5) ORDER BY t.votes LIMIT 50";

fn statement(n: u64) -> String {
    format!("SELECT c{n}, name FROM stations_{} WHERE region = 'n' AND c{n} IN (1, 2)", n % 97)
}

/// Nanoseconds a call, the best of several rounds.
fn time(rounds: u32, calls: u32, mut call: impl FnMut()) -> f64 {
    let round = |call: &mut dyn FnMut()| {
        let since = Instant::now();
        (0..calls).for_each(|_| call());
        since.elapsed().as_nanos() as f64 / f64::from(calls)
    };
    (0..rounds).map(|_| round(&mut call)).fold(f64::INFINITY, f64::min)
}

/// A cache of the same bytes for comparison: the share of repeated shapes that it knew.
fn rate(
    shapes: &[Shape],
    one_off: bool,
    mut known: impl FnMut(Shape) -> bool,
    mut remember: impl FnMut(Shape),
) -> f64 {
    let mut random = StdRng::seed_from_u64(5);
    let zipf = Zipf::new(SHAPES as f64, 1.0).expect("it has a shape");
    let (mut asked, mut hits) = (0_u64, 0_u64);
    for _ in 0..REQUESTS {
        if one_off && random.random_bool(0.5) {
            let once = Shape(random.random());
            if !known(once) {
                remember(once);
            }
            continue;
        }
        let it = shapes[zipf.sample(&mut random) as usize - 1];
        asked += 1;
        if known(it) {
            hits += 1;
        } else {
            remember(it);
        }
    }
    hits as f64 / asked as f64
}

struct ByBytes;

impl quick_cache::Weighter<Shape, usize> for ByBytes {
    fn weight(&self, _: &Shape, size: &usize) -> u64 {
        *size as u64
    }
}

pub fn measure(setting: &Setting) -> Report {
    let mut report = Report { table: Vec::new(), results: Vec::new(), missed: Vec::new() };
    let mut classer = Classer::new(KEY, Catalogue::default(), BYTES);
    classer.class(STATEMENT);
    let rounds = if setting.long { 20 } else { 5 };
    let hit = time(rounds, 200_000, || drop(black_box(classer.class(black_box(STATEMENT)))));
    let hash = time(rounds, 200_000, || {
        let _ = black_box(shape(KEY, black_box(STATEMENT).as_bytes()));
    });
    let miss = time(rounds, 5_000, || drop(black_box(classer.judge(black_box(STATEMENT)))));
    let ratio = miss / hit;
    report.table.push(format!("statement of {} bytes: hit {hit:.0} ns (shape {hash:.0} ns), judgement {miss:.0} ns, {ratio:.1} times", STATEMENT.len()));

    let size = {
        let verdict = classer.judge(&statement(17));
        size_of_val(&verdict) + 16 + verdict.held()
    };
    let shapes: Vec<_> = (0..SHAPES).filter_map(|n| shape(KEY, statement(n).as_bytes()).ok()).collect();
    let mut rates = Vec::new();
    for one_off in [false, true] {
        let ours = std::cell::RefCell::new(gradeshunt_classing::Cache::new(BYTES));
        let s3 = rate(
            &shapes,
            one_off,
            |s| ours.borrow_mut().get(&s).is_some(),
            |s| ours.borrow_mut().insert(s, (), size),
        );
        let lru = lru::LruCache::new(
            NonZeroUsize::new(BYTES / (size + ENTRY_OVERHEAD_BYTES)).unwrap_or(NonZeroUsize::MIN),
        );
        let lru = std::cell::RefCell::new(lru);
        let plain = rate(
            &shapes,
            one_off,
            |s| lru.borrow_mut().get(&s).is_some(),
            |s| {
                lru.borrow_mut().put(s, ());
            },
        );
        let items = BYTES / (size + ENTRY_OVERHEAD_BYTES);
        let quick = quick_cache::unsync::Cache::with_weighter(items, BYTES as u64, ByBytes);
        let quick = std::cell::RefCell::new(quick);
        let library = rate(
            &shapes,
            one_off,
            |s| quick.borrow_mut().get(&s).is_some(),
            |s| quick.borrow_mut().insert(s, size + ENTRY_OVERHEAD_BYTES),
        );
        let name = if one_off { "half one-off" } else { "Zipf alone" };
        report.table.push(format!(
            "{name:<14} of repeated shapes known: S3-FIFO {s3:.4}, LRU {plain:.4}, quick_cache {library:.4}"
        ));
        rates.push((s3, plain, library));
    }

    let before = HELD.current_usage();
    let mut classer = Classer::new(KEY, Catalogue::default(), BYTES);
    let since = Instant::now();
    let (mut most, mut told) = (0, 0_u64);
    let flood = if setting.long { FLOOD } else { SHORT_FLOOD };
    while told < flood {
        black_box(classer.class(&statement(1_000_000 + told)));
        told += 1;
        if told % 256 == 0 {
            most = most.max(HELD.current_usage().saturating_sub(before));
        }
    }
    let share = most as f64 / BYTES as f64;
    report.table.push(format!(
        "flood of {told} shapes in {:.1} s: {most} bytes held at most, {share:.2} of the budget; {:?}",
        since.elapsed().as_secs_f64(),
        classer.stats()
    ));
    let mut bound = |holds: bool, what: &str| {
        if !holds {
            report.missed.push(what.to_owned());
        }
    };
    bound(hit <= 1000.0, "a hit takes over 1 us");
    bound(ratio >= 15.0, "a hit is less than 15 times faster than a judgement");
    bound(rates[0].0 > 0.99, "under 99% known on shapes spread as Zipf has it");
    bound(rates[1].0 > 0.9, "under 90% known while half is one-off");
    bound(share <= 1.0, "the cache takes more than its budget");
    report.results = vec![
        ("hit_ns", format!("{hit:.0}")),
        ("miss_ns", format!("{miss:.0}")),
        ("ratio", format!("{ratio:.1}")),
        ("zipf", format!("{:.4}", rates[0].0)),
        ("one_off", format!("{:.4}", rates[1].0)),
        ("one_off_lru", format!("{:.4}", rates[1].1)),
        ("one_off_quick_cache", format!("{:.4}", rates[1].2)),
        ("flood", told.to_string()),
        ("flood_share", format!("{share:.3}")),
    ];
    report
}
