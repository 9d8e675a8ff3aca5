//! Tests of the queue of ready sources, most of them on drawn sequences of calls.

use std::collections::BTreeMap;

use fastrand::Rng;

use super::*;
use crate::ids::{ServerId, SessionId};

const SEEDS: u64 = 50;
const STEPS: usize = 2_000;

fn draw_source(rng: &mut Rng) -> EventSource {
    match rng.u64(0..12) {
        0 => EventSource::Listener,
        1 => EventSource::Control,
        n @ 2..=6 => EventSource::Session(SessionId(n)),
        n => EventSource::Server(ServerId(n)),
    }
}

/// Pushes and pops at random, and checks the queue against a list of what waits.
#[test]
fn source_stands_in_the_queue_once_and_keeps_its_place() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let (mut queue, mut model) = (ReadyQueue::default(), Vec::<(EventSource, Micros)>::new());
        for now in 0..STEPS as Micros {
            if rng.bool() {
                let (source, since) = (draw_source(&mut rng), now - rng.i64(0..10));
                queue.push(source, since);
                match model.iter_mut().find(|(known, _)| *known == source) {
                    Some((_, known)) => *known = since.min(*known),
                    None => model.push((source, since)),
                }
            } else {
                let phase = Phase::ALL[rng.usize(0..PHASES)];
                let first = model.iter().position(|(source, _)| Phase::of(*source) == phase);
                assert_eq!(queue.pop(phase), first.map(|n| model.remove(n)), "seed {seed}");
            }
            assert_eq!(queue.is_empty(), model.is_empty());
            assert_eq!(Phase::ALL.iter().map(|phase| queue.len(*phase)).sum::<usize>(), model.len());
        }
    }
}

/// Sources that are put back several times in each share still get one share a round each.
#[test]
fn sources_that_are_put_back_again_and_again_share_equally() {
    const SOURCES: u64 = 5;
    const ROUNDS: usize = 20;
    let mut queue = ReadyQueue::default();
    (0..SOURCES).for_each(|n| queue.push(EventSource::Session(SessionId(n)), 0));
    let mut shares = BTreeMap::<u64, usize>::new();
    for _ in 0..ROUNDS {
        for _ in 0..queue.len(Phase::Clients) {
            let Some((EventSource::Session(id), _)) = queue.pop(Phase::Clients) else { panic!("a client") };
            *shares.entry(id.0).or_default() += 1;
            (0..3).for_each(|_| queue.push(EventSource::Session(id), 0));
        }
    }
    assert_eq!(shares.into_values().collect::<Vec<_>>(), [ROUNDS; SOURCES as usize]);
}
