//! What the measured slopes come to: each expected value was worked out by hand.

use gradeshunt_capacity::assumptions::{hottest_share, Assumption, ALL};
use gradeshunt_capacity::comparison;
use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::formula::{Factor, Formula, Outcome};
use gradeshunt_capacity::model::Model;
use gradeshunt_capacity::record::{names, Figure, Record, Series};
use gradeshunt_capacity::rows::{self, Event, Role, Row};

/// A record of exact lines `y = intercept + slope * x`.
fn record(lines: &[(&str, f64, f64)]) -> Record {
    let series = lines.iter().map(|&(name, intercept, slope)| {
        let point = |x: f64| Point { x, y: intercept + slope * x };
        let points = [100.0, 200.0, 300.0, 400.0].map(point).to_vec();
        Series::new(name, ("things", "units"), "by hand", points, point(1_000.0)).expect("a line")
    });
    Record { program: "test".into(), series: series.collect(), ..Record::default() }
}

fn with_figure(mut record: Record, name: &str, value: f64) -> Record {
    record.figures.push(Figure { name: name.into(), value, unit: "units".into(), how: "by hand".into() });
    record
}

/// The one row on this; fails where there is none or more than one.
fn row(model: &Model<'_>, role: Role, event: Event, quantity: &str) -> Row {
    let is_wanted = |row: &Row| (row.role, row.event, row.quantity) == (role, event, quantity);
    let mut found: Vec<Row> = rows::all(model).into_iter().filter(is_wanted).collect();
    assert_eq!(found.len(), 1, "{role:?}, {event:?}, {quantity}: {found:#?}");
    found.remove(0)
}

fn value(model: &Model<'_>, role: Role, event: Event, quantity: &str) -> f64 {
    row(model, role, event, quantity).outcome().value().expect("a value")
}

/// Fails where `found` is off by more than half a thousandth.
fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() <= 5e-4 * expected.abs(), "{found}, expected {expected}");
}

#[test]
fn load_of_a_proxy() {
    let empty = Record::default();
    let model = Model::stated(&empty);
    assert_near(value(&model, Role::DataPath, Event::OrdinaryDay, "client connections"), 5_588.0);
    assert_near(model.statements_of_proxy(), 588.235);
    assert_near(value(&model, Role::DataPath, Event::OrdinaryDay, "statements under way at once"), 58.82);
}

#[test]
fn changes_of_a_day_and_of_events() {
    let empty = Record::default();
    let model = Model::stated(&empty);
    // 1,539 machines, 6,700 of 10,100 of them db hosts, two changes each.
    assert_near(model.machine_changes_of_day(), 2_041.8);
    assert_near(model.changes_of_day(), 6_300.0 + 16.0 + 2_041.8);
    assert_near(model.change_rate(), 0.096735);
    // 418.75 db hosts, and a new primary for 418.75 / 3.5 sets.
    assert_near(model.changes_of_zone(), 538.39);
    assert_near(model.hosts_of_rack(), 26.535);
    assert_near(model.proxies_of_rack(), 13.465);
}

#[test]
fn time_to_send_a_list_at_the_bytes_allowed() {
    let record =
        record(&[(names::LIST_BYTES_BY_HOSTS, 0.0, 168.0), (names::RESTART_BYTES_BY_HOSTS, 1_000.0, 168.0)]);
    let model = Model::stated(&record);
    let quantity = "time to be sent the list, at the bytes allowed";
    let cut_off = row(&model, Role::Control, Event::RegionCutOff, quantity);
    // 6,700 × 168 B = 1,125,600 B, at 16,000 B/s; 10 s are allowed.
    assert_near(cut_off.outcome().value().expect("a value"), 70.35);
    assert_near(cut_off.over().expect("a ratio"), 7.035);
    assert_near(value(&model, Role::Control, Event::ZoneReturns, quantity), 70.4125);
    let sent = row(&model, Role::Discovery, Event::RegionCutOff, "bytes of whole lists sent");
    // 485.71 proxies × 1,125,600 B in 10 s.
    assert_near(sent.outcome().value().expect("a value"), 54_672_000.0);
    assert_near(sent.over().expect("a ratio"), 7.035);
}

#[test]
fn burst_of_changes() {
    let record = record(&[
        (names::CHANGE_BYTES_BY_CHANGES, 50.0, 200.0),
        (names::CHANGE_CPU_BY_CHANGES, 0.0, 40e-6),
        (names::PROXY_IDLE_CPU_BY_HOSTS, 0.001, 1e-6),
        (names::DISCOVERY_CHANGE_CPU_BY_PROXIES, 0.0, 15e-6),
    ]);
    let record = with_figure(record, names::HOLLOW_CPU_SHARE, 0.8);
    let model = Model::stated(&record);
    // 500 × 200 B at 16,000 B/s; the intercept is no part of a change.
    let sent =
        value(&model, Role::Control, Event::ChangeBurst, "time to be sent the changes, at the bytes allowed");
    assert_near(sent, 6.25);
    // 500 × 40 us in 10 s at a hollow proxy, which spends 80% of a real one; and 0.001 + 6,700 us a second for the rounds.
    let cpu = value(&model, Role::Control, Event::ChangeBurst, "processor time while the changes come in");
    assert_near(cpu, 0.0025 + 0.0077);
    // 500 × 3,400 × 15 us in 10 s, of 16 × 8 cores.
    let discovery =
        row(&model, Role::Discovery, Event::ChangeBurst, "processor time while the changes go out");
    assert_near(discovery.outcome().value().expect("a value"), 2.55);
    assert_near(discovery.over().expect("a ratio"), 2.55 / 128.0);
    let machine =
        value(&model, Role::ControlMachine, Event::ZoneLost, "processor time in a burst of changes");
    assert_near(machine, 0.17);
}

#[test]
fn connections_at_a_db_host() {
    let record = record(&[
        (names::HOST_CONNECTIONS_BY_PROXIES, 0.0, 0.6),
        (names::STATEMENT_CONNECTIONS_BY_HOSTS, 670.0, 0.5),
    ]);
    let model = Model::stated(&record);
    let counted = row(&model, Role::DbHost, Event::OrdinaryDay, "connections, as counted at a db host");
    assert_near(counted.outcome().value().expect("a value"), 2_040.0);
    assert_near(counted.over().expect("a ratio"), 15.9375);
    // 3,400 proxies × (670 + 3,350) connections over 6,700 db hosts.
    let spread = value(&model, Role::DbHost, Event::OrdinaryDay, "connections, from what a proxy holds");
    assert_near(spread, 2_040.0);
    // All of them in 10 s at a db host that returns; a twentieth of the proxies in a wave.
    assert_near(value(&model, Role::DbHost, Event::ZoneReturns, "new connections"), 204.0);
    assert_near(value(&model, Role::DbHost, Event::Release, "new connections"), 10.2);
}

#[test]
fn new_connections_at_a_db_host() {
    let lines = [(names::HOST_OPENED_BY_PROXIES, 0.0, 0.2), (names::STATEMENT_OPENED_BY_HOSTS, 0.0, 5e-5)];
    let record = with_figure(record(&lines), names::HOST_STATEMENTS_PER_PROXY, 0.8);
    let model = Model::stated(&record);
    let opened = |quantity| row(&model, Role::DbHost, Event::OrdinaryDay, quantity);
    // 680/s where a pair has 0.8 statements/s; it has 588.235 / 6,700 = 0.087796 of them.
    let counted = opened("new connections, as counted at a db host");
    assert_near(counted.outcome().value().expect("a value"), 74.627);
    // 1% of 298.51 statements/s.
    assert_near(counted.over().expect("a ratio"), 25.0);
    // 298.51 statements/s, 33.5% of which open one.
    let spread = opened("new connections, from what a proxy opens");
    assert_near(spread.outcome().value().expect("a value"), 100.0);
}

#[test]
fn further_size_counts_as_measured_and_not_by_the_line() {
    let mut record = record(&[(names::STATEMENT_CONNECTIONS_BY_HOSTS, 0.0, 1.0)]);
    let points = record.series[0].points.clone();
    let further = Point { x: 6_700.0, y: 4_000.0 };
    let series = Series::new(names::STATEMENT_CONNECTIONS_BY_HOSTS, ("", ""), "", points, further);
    record.series = vec![series.expect("a line")];
    assert!(!record.series[0].check.holds());
    let row = row(&Model::stated(&record), Role::DataPath, Event::OrdinaryDay, "connections to db hosts");
    assert_eq!((row.outcome(), row.formula.unconfirmed()), (Outcome::Value(4_000.0), vec![]));
}

#[test]
fn load_that_others_take_over() {
    let record = record(&[(names::STATEMENT_CPU_BY_HOSTS, 300e-6, 0.0)]);
    let model = Model::stated(&record);
    let cpu = |event| value(&model, Role::DataPath, event, "processor time, statements alone");
    // 588.235 × 300 us = 0.17647 core; the rest of a region without a zone: 485.71 / (485.71 - 212.5).
    assert_near(cpu(Event::ZoneLost), 0.17647 * 1.7778);
    // The rest of a zone without a rack: 212.5 / (212.5 - 13.465).
    assert_near(cpu(Event::RackLost), 0.17647 * 1.06765);
    assert_near(cpu(Event::Release), 0.17647 / 0.95);
    // A set that lost one of three or four: 2,000,000 / 6,700 × 3.5 / 2.5 × 0.1 s.
    let under_way = "statements under way at once, where a set lost one db host, in the mean";
    assert_near(value(&model, Role::DbHost, Event::ZoneLost, under_way), 41.791);
}

#[test]
fn halved_and_doubled_assumptions_change_what_rests_on_them() {
    let empty = Record::default();
    let model = Model::stated(&empty);
    let under_way = |model: &Model<'_>| {
        value(model, Role::DbHost, Event::OrdinaryDay, "statements under way at once, in the mean")
    };
    assert_near(under_way(&model), 29.851);
    assert_near(under_way(&model.scaled(Assumption::MeanWork, 0.5)), 14.925);
    assert_near(under_way(&model.scaled(Assumption::MeanWork, 2.0)), 59.701);
    assert_near(under_way(&model.scaled(Assumption::Skew, 2.0)), 29.851);
    for which in ALL {
        let doubled = model.scaled(which, 2.0);
        assert_near(doubled.assumed(which), 2.0 * model.assumed(which));
        assert_ne!(rows::all(&doubled), rows::all(&model), "nothing rests on {}", which.name());
    }
}

#[test]
fn most_used_set_by_zipf() {
    assert_near(hottest_share(4.0, 0.0), 0.25);
    // 1 / (1 + 1/2 + 1/3 + 1/4).
    assert_near(hottest_share(4.0, 1.0), 0.48);
}

#[test]
fn rows_are_ranked_by_how_far_over_they_are() {
    let lines: Vec<_> = [
        (names::LIST_BYTES_BY_HOSTS, 0.0, 168.0),
        (names::PROXY_MEMORY_BY_HOSTS, 5e6, 900.0),
        (names::HOST_CONNECTIONS_BY_PROXIES, 0.0, 0.6),
    ]
    .into();
    let record = record(&lines);
    let ranked = rows::ranked(&Model::stated(&record));
    let class = |row: &Row| match (row.over(), row.outcome()) {
        (Some(_), _) => 0,
        (None, Outcome::Value(_)) => 1,
        (None, Outcome::NotMeasured(_)) => 2,
    };
    let classes: Vec<_> = ranked.iter().map(class).collect();
    assert!(classes.is_sorted() && classes.contains(&0) && classes.contains(&1) && classes.contains(&2));
    let ratios: Vec<f64> = ranked.iter().filter_map(Row::over).collect();
    assert!(ratios.is_sorted_by(|a, b| a >= b), "{ratios:?}");
    assert!(ratios[0] > 1.0 && ratios[ratios.len() - 1] < 1.0, "{ratios:?}");
}

#[test]
fn each_quantity_of_a_role_at_an_event_stands_once() {
    let empty = Record::default();
    let rows = rows::all(&Model::stated(&empty));
    for (index, row) in rows.iter().enumerate() {
        let again = rows[index + 1..].iter().find(|other| other.is_about_the_same(row));
        assert_eq!(again, None);
    }
}

#[test]
fn formula_without_a_measurement_has_no_value() {
    let empty = Record::default();
    let model = Model::stated(&empty);
    let missing = model.slope(names::LIST_CPU_BY_HOSTS, gradeshunt_capacity::units::Unit::Seconds);
    let formula = Formula::product([Factor::times(2.0, "lists")]).plus([missing]);
    assert_eq!(formula.outcome(), Outcome::NotMeasured(vec![names::LIST_CPU_BY_HOSTS]));
    assert_eq!(formula.text(), "2 lists + [`list.cpu.by_hosts`: not measured]");
    let zero = Formula::product([Factor::times(6.0, "lists"), Factor::over(4.0, "s")]);
    assert_eq!((zero.outcome(), zero.text().as_str()), (Outcome::Value(1.5), "6 lists / 4 s"));
}

#[test]
fn placement_beside_today() {
    let record = record(&[
        (names::STATEMENT_CPU_BY_OPENED, 160e-6, 200e-6),
        (names::HOST_PROBES_BY_PROXIES, 0.0, 0.5),
    ]);
    let record = with_figure(record, names::PLACEMENT_HOST_CONNECTIONS, 120.0);
    let record = with_figure(record, names::PLACEMENT_NEW_CONNECTIONS_SHARE, 0.01);
    let record = with_figure(record, names::PLACEMENT_FORWARDED_SHARE, 0.5);
    let record = with_figure(record, names::PLACEMENT_PROXIES_PER_HOST, 60.0);
    let all = comparison::all(&Model::stated(&record));
    let of = |quantity| all.iter().find(|one| one.quantity == quantity).expect("the quantity");
    let placed = |quantity| of(quantity).placed.outcome().value().expect("a value");
    let most = "connections at the db host that holds most, ordinary day (today: by the model)";
    assert_near(placed(most), 120.0);
    let today = of(most).today.as_ref().and_then(|formula| formula.outcome().value());
    let model = Model::stated(&record);
    assert_eq!(today, Some(3_400.0 * model.pool_of_hottest_host().held));
    // 588.235 × 162 us, and half as much again for the statements that are passed on.
    assert_near(placed("processor time of a proxy's statements"), 0.142941);
    assert_near(placed("probes at a db host"), 30.0);
    let worst = of("connections at the db host that holds most, worst moment");
    assert_eq!((worst.today.as_ref(), worst.placed.outcome().value()), (None, None));
}

#[test]
fn failures_and_restarts_of_a_day() {
    let record = record(&[
        (names::RESTART_BYTES_BY_HOSTS, 0.0, 168.0),
        (names::STATEMENT_CONNECTIONS_BY_HOSTS, 0.0, 0.6),
    ]);
    let model = Model::stated(&record);
    let event = Event::FailuresAndRestarts;
    // 1,539 machines, 3,400 of 10,100 of them proxies.
    assert_near(model.proxy_restarts_of_day(), 518.08);
    // Of 3,400 proxies that many take 1,125,600 B in a day.
    let mean = row(&model, Role::Control, event, "bytes of whole lists at restarts, in the mean of the day");
    assert_near(mean.outcome().value().expect("a value"), 1.98512);
    assert_near(mean.over().expect("a ratio"), 1.98512 / 16_000.0);
    let sent = value(&model, Role::Discovery, event, "bytes of whole lists sent, in the mean of the day");
    assert_near(sent, 6_749.4);
    // 518.08 × 5,588.2 clients a day, on 3,400 proxies.
    let taken = value(&model, Role::DataPath, event, "client connections taken over, in the mean of the day");
    assert_near(taken, 0.0098556);
    // 3,400 × 0.6 connections in 10 s at a db host that was restarted.
    assert_near(value(&model, Role::DbHost, event, "new connections"), 204.0);
}

#[test]
fn control_machines_share_what_discovery_has() {
    let record = record(&[
        (names::DISCOVERY_WATCHES_BY_PROXIES, 0.0, 1.0),
        (names::DISCOVERY_RECONNECT_CPU_BY_PROXIES, 0.0, 1e-3),
        (names::RESTART_BYTES_BY_HOSTS, 0.0, 168.0),
    ]);
    let model = Model::stated(&record);
    let of_machine = |event, quantity| value(&model, Role::ControlMachine, event, quantity);
    assert_near(of_machine(Event::OrdinaryDay, "watches"), 212.5);
    assert_near(of_machine(Event::ZoneLost, "watches"), 212.5);
    // 3.4 s of processor time in 10 s, on 16 machines.
    assert_near(of_machine(Event::WatchesCut, "processor time while watches come back"), 0.02125);
    // 170 proxies × 1,125,600 B in 10 s, on 16 machines; 485.7 proxies of a region on its 2.286.
    assert_near(of_machine(Event::Release, "bytes of whole lists sent"), 1_195_950.0);
    assert_near(of_machine(Event::RegionCutOff, "bytes of whole lists sent"), 23_919_000.0);
}

#[test]
fn whole_list_costs_a_real_proxy_more_than_a_hollow_one() {
    let record = record(&[(names::RESTART_CPU_BY_HOSTS, 0.0, 4e-6)]);
    let quantity = "processor time of taking in the list";
    let unknown = row(&Model::stated(&record), Role::Control, Event::Release, quantity);
    assert_eq!(unknown.outcome(), Outcome::NotMeasured(vec![names::HOLLOW_LIST_CPU_SHARE]));
    // A share below 0 is noise.
    let noise = with_figure(record.clone(), names::HOLLOW_LIST_CPU_SHARE, -1.4);
    let unknown = row(&Model::stated(&noise), Role::Control, Event::Release, quantity);
    assert_eq!(unknown.outcome(), Outcome::NotMeasured(vec![names::HOLLOW_LIST_CPU_SHARE]));
    let record = with_figure(record, names::HOLLOW_LIST_CPU_SHARE, 0.5);
    // 6,700 × 4 us in 10 s, twice that at a real one; 3.6% of a core is allowed.
    let known = row(&Model::stated(&record), Role::Control, Event::Release, quantity);
    assert_near(known.outcome().value().expect("a value"), 0.00536);
    assert_near(known.over().expect("a ratio"), 0.148889);
}

#[test]
fn statement_costs_what_the_model_says_of_new_connections() {
    let record = record(&[(names::STATEMENT_CPU_BY_OPENED, 150e-6, 400e-6)]);
    let model = Model::stated(&record);
    let opened =
        value(&model, Role::DataPath, Event::OrdinaryDay, "new connections to db hosts, by the model");
    let quantity = "processor time, statements, with new connections by the model";
    let cpu = value(&model, Role::DataPath, Event::OrdinaryDay, quantity);
    // 588.235 × 150 us, and 588.235 × 400 us for each statement that opens one.
    assert_near(cpu, 0.0882353 + 0.235294 * opened);
    assert!((0.15..0.25).contains(&opened), "{opened}");
}

#[test]
fn cost_below_nothing_is_noise_and_no_measurement() {
    let idle = names::PROXY_IDLE_CPU_BY_HOSTS;
    let change = names::CHANGE_BYTES_BY_CHANGES;
    let record = record(&[(idle, 0.003, -1e-6), (change, 900.0, -2.0)]);
    let model = Model::stated(&record);
    // 0.003 - 6,700 × 0.000001 s a second.
    let cpu = row(&model, Role::Control, Event::RackLost, "processor time while the changes come in");
    assert!(cpu.formula.missing().contains(&idle), "{:?}", cpu.formula.missing());
    let bytes =
        row(&model, Role::Control, Event::RackLost, "time to be sent the changes, at the bytes allowed");
    assert_eq!(bytes.outcome(), Outcome::NotMeasured(vec![change]));
}
