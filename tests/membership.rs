//! What lists of members change, event by event.

mod common;

use common::*;
use leadmast::*;

const OTHER_GROUP: GroupId = GroupId(2);

fn entry(member: MemberId, group: GroupId, leader: bool) -> Entry {
    Entry { member, common: member.0.into(), group, weight: 1.0, leader, ..Entry::default() }
}

/// A member that is listed in another group, as a host that was rebuilt under its name, has none of its former group's data.
#[test]
fn member_that_is_listed_in_another_group_serves_its_former_one_no_more() {
    let mut balancer = Balancer::new(settings(vec![ANY]), 7, 0);
    let mut actions = Vec::new();
    let mut list = |balancer: &mut Balancer, now, kind, entries| {
        balancer.handle(now, Event::Members { kind, entries }, &mut actions);
    };
    let whole = vec![entry(PRIMARY, GROUP, true), entry(REPLICA, GROUP, false)];
    list(&mut balancer, 0, ListKind::Full, whole);
    list(&mut balancer, 1_000, ListKind::Incremental, vec![entry(REPLICA, OTHER_GROUP, true)]);
    let sent_of = |balancer: &mut Balancer, id: u64, group| {
        let mut actions = Vec::new();
        let arrival = Arrival {
            request: RequestId(id),
            class: ClassId(0),
            group,
            key: None,
            deadline: 900_000,
            since_write: None,
            repeat: false,
            checked: true,
            tenant: None,
        };
        balancer.handle(2_000, Event::Request(arrival), &mut actions);
        actions.into_iter().find_map(|action| match action {
            Action::Send { member, .. } => Some(member),
            _ => None,
        })
    };
    assert_eq!(sent_of(&mut balancer, 1, GROUP), Some(PRIMARY));
    assert_eq!(sent_of(&mut balancer, 2, OTHER_GROUP), Some(REPLICA));
}
