//! Processes member lists and operators' maintenance commands: group membership, drains and restarts.

use std::collections::BTreeSet;

use super::list_calls::CallEnd;
use super::member::Member;
use super::{Balancer, DECAY_US, NEVER};
use crate::interface::{Entry, GroupId, ListKind, MemberId, Micros, Phase};

impl Balancer {
    pub(super) fn on_members(&mut self, now: Micros, kind: ListKind, entries: Vec<Entry>) {
        let end = match kind {
            ListKind::Failed => Some(CallEnd::Refused),
            ListKind::Broken => Some(CallEnd::Broken),
            ListKind::Full | ListKind::Incremental | ListKind::Saved => None,
        };
        if let Some(end) = end {
            self.next_list_call = Some(self.list_calls.call_ended(now, end, &mut self.rng));
            return;
        }
        if kind != ListKind::Saved {
            self.list_calls.heard();
        }
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let listed: BTreeSet<_> = entries.iter().map(|e| e.member).collect();
            let stay = self.settings.rules.delisted_stay_open;
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !stay && !listed.contains(id)) {
                (m.closed_by_list, m.entry.phase) = (true, Phase::Removed);
            }
        }
        entries.into_iter().for_each(|entry| self.apply_entry(now, entry));
        self.forget_removed();
    }

    /// Holds a member out or readmits it. A readmitted member has restarted: it is not a suspect, counts as
    /// cold, and may get an attempt at once.
    pub(super) fn on_maintenance(&mut self, now: Micros, id: MemberId, out: bool) {
        let Some(m) = self.members.get_mut(&id) else { return };
        if std::mem::replace(&mut m.held_out, out) && !out {
            (m.suspect, m.entry.since, m.last_slot) = (false, m.entry.since.max(Some(now)), NEVER);
        }
    }

    /// Forgets removed members without attempts in flight. Members come and go during a driver's life, so
    /// their state must not accumulate.
    pub(super) fn forget_removed(&mut self) {
        let gone = |m: &Member| m.closed_by_list && m.entry.phase == Phase::Removed && m.in_flight.is_empty();
        let left = self.members.iter().filter(|(_, m)| gone(m)).map(|(id, m)| (*id, m.entry.group));
        for (id, group) in left.collect::<Vec<_>>() {
            self.members.remove(&id);
            self.active_members.remove(&id);
            self.remove_from_group(id, group);
        }
    }

    pub(super) fn remove_from_group(&mut self, id: MemberId, group: GroupId) {
        let g = self.groups.entry(group).or_default();
        g.members.remove(&id);
        g.primary = g.primary.filter(|p| *p != id);
    }

    pub(super) fn apply_entry(&mut self, now: Micros, entry: Entry) {
        let (id, group) = (entry.member, entry.group);
        // A member that was rebuilt under its old name in another group has none of its former group's data.
        if let Some(former) = self.members.get(&id).map(|m| m.entry.group).filter(|former| *former != group) {
            self.remove_from_group(id, former);
            self.members.entry(id).and_modify(Member::reset_replication_state);
        }
        let g = self.groups.entry(group).or_default();
        g.members.insert(id);
        let fresh = Entry { since: None, ..entry.clone() };
        let m = self.members.entry(id).or_insert_with(|| Member::new(fresh, self.settings.fleet_size));
        let binds = m.closed_by_list || !self.settings.rules.delisted_stay_open;
        m.closed_by_list = entry.phase == Phase::Draining || entry.phase == Phase::Removed && binds;
        let started = entry.since > m.entry.since;
        m.entry = Entry { since: entry.since.max(m.entry.since), ..entry };
        // The list may be outdated: it determines the primary only if no report of a member contradicts it.
        let said_no = m.role.is_some_and(|(primary, _)| !primary);
        let known = g.primary.and_then(|p| self.members.get(&p));
        if self.members[&id].entry.leader && !said_no && known.is_none_or(|p| p.suspect) {
            self.groups.entry(group).or_default().primary = Some(id);
        }
        // Drivers that learn of a start at the same time must not all send to the member at once, so the
        // first slot is drawn at random.
        if let (true, Some(m)) = (started, self.members.get(&id)) {
            let gap = self.shortest_work() as f64 / self.concurrency_limit(now, m);
            let drawn = (self.rng.f64() * gap.min(DECAY_US)) as Micros;
            self.members.entry(id).and_modify(|m| m.last_slot = now - drawn);
        }
    }
}
