//! Tests of the part named by the folder.

use gradeshunt_stand_ins::checker::Outcome;

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Guards the guard: a request without a word and one that is late are told, unless they met an outage of their own proxy.
#[test]
fn only_an_outage_of_its_own_proxy_excuses_a_request() {
    let (lost, whole) = (([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
    let outages = [Outage { address: lost, from: ms(100), to: ms(200) }];
    let request = |at, due, took| Done {
        due: ms(due),
        took: ms(took),
        site: 0,
        class: 0,
        number: 0,
        outcome: Outcome::Lost,
        tries: 1,
        at: Some(at),
        over: ms(took),
    };
    let told = |at, due, took| {
        let done = [request(at, due, took)];
        (without_answer(&done, &outages).len(), late(&done, &outages, ms(8)).len())
    };
    assert_eq!(told(lost, 50, 60), (0, 0));
    assert_eq!(told(lost, 150, 9), (0, 0));
    assert_eq!(told(lost, 50, 49), (1, 1));
    assert_eq!(told(lost, 201, 9), (1, 1));
    assert_eq!(told(whole, 150, 8), (1, 0));
}

#[test]
fn connections_above_a_bound_are_told_where_placement_is_on() {
    let most = Most { at_host: AT_HOST, at_proxy: AT_PROXY + 1, ..Most::default() };
    assert_eq!(connections(most, true).len(), 1);
    assert!(connections(most, false).is_empty());
}
