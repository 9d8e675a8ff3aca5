//! Tests of the part named by the folder.

use super::*;

fn engine(slots: usize) -> Engine {
    let kind = Kind { work: Duration::from_millis(5), bound: Some(Duration::from_millis(200)) };
    Engine::new(slots, BTreeMap::from([("r".to_owned(), kind)]))
}

/// Guards the guard: each kind of fault is found, and a good host has none.
#[test]
fn finds_what_may_not_be() {
    let good = engine(2);
    good.drain(true);
    (0..3).for_each(|_| assert!(good.work("/* c=r */", now).is_ok()));
    good.start_cold(Cold { since: Instant::now(), share: 0.2, lasts: Duration::from_secs(9) });
    assert!(good.work("/* c=r,after=1 */", now).is_ok());
    assert_eq!(good.faults(4.0, Duration::from_secs(1), |_| None), Vec::<String>::new());
    let old = engine(1);
    let behind = || now() - Duration::from_secs(1);
    assert!(old.work("/* c=r */", behind).is_ok());
    let after = now().as_millis();
    assert!(old.work(&format!("/* c=w,after={after} */"), behind).is_ok());
    assert!(old.work("/* c=w */", behind).is_ok(), "no bound");
    assert_eq!(old.faults(4.0, Duration::from_secs(1), |_| None).len(), 2);
    let drained = engine(1);
    lock(&drained.book).drained = SystemTime::now().checked_sub(Duration::from_secs(1));
    assert!(drained.work("/* c=r */", now).is_ok());
    assert!(drained.faults(4.0, Duration::from_secs(1), |_| None)[0].contains("drain"));
    let crowd = engine(1);
    crowd.start_cold(Cold { since: Instant::now(), share: 0.1, lasts: Duration::from_secs(60) });
    let since = Instant::now();
    lock(&crowd.book).arrived.extend((0..200).map(|_| (since, 0.005)));
    assert!(crowd.faults(4.0, Duration::from_secs(1), |_| None)[0].contains("pushed over"));
    assert!(crowd.asked(since, 2)[0] > 0.9);
}
