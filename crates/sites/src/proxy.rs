//! All of it in one proxy: what it hears goes in, what is to be done comes out.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use leadmast::settings::ParsedSettings;
use leadmast::{ClassId, Entry, GroupId, ListKind, MemberId, Micros, Phase, TenantId, ZoneId};

use crate::admission::{Admission, Kind, ANEW};
use crate::layout::{Layout, SiteId};
use crate::watch::{self, Action, Failure, Listed, State, Terms, Watch};

/// What a proxy makes of the operators' file, and of what it sees.
#[derive(Debug)]
pub struct Sites {
    watch: Watch,
    admission: Admission,
    /// Sites by zones, classes and sets of the file by those of the settings.
    zones: BTreeMap<ZoneId, SiteId>,
    classes: BTreeMap<ClassId, usize>,
    sets: BTreeMap<GroupId, usize>,
    tenants: Vec<String>,
    next: Micros,
    anew: Micros,
    /// What is to be done, in order.
    pub actions: Vec<Action>,
}

impl Sites {
    /// Reads the operators' file for a proxy with these settings.
    ///
    /// # Errors
    /// What is wrong with it: line, field, and what was expected; or that it does not fit the settings.
    pub fn new(text: &str, facts: &ParsedSettings, now: Micros) -> Result<Sites, String> {
        let layout = Layout::parse(text)?;
        let names = &facts.names;
        let mut zones = BTreeMap::new();
        for (n, s) in layout.sites.iter().enumerate() {
            let zone = names.zones.iter().position(|z| *z == s.name);
            let known = names.zones.join(", ");
            let zone = zone.ok_or_else(|| {
                format!("site[{n}].name: unknown zone {:?}, expected one of {known}", s.name)
            })?;
            zones.insert(ZoneId(zone), SiteId(n));
        }
        let mut classes = BTreeMap::new();
        for (n, c) in layout.classes.iter().enumerate() {
            let known = names.classes.join(", ");
            let class = names.class(&c.name);
            let class = class.ok_or_else(|| {
                format!("class[{n}].name: unknown class {:?}, expected one of {known}", c.name)
            })?;
            let write = facts.settings.classes[class.0].read == leadmast::ReadLevel::Write;
            if write != c.write {
                return Err(format!("class[{n}].access: {:?} is otherwise in the settings", c.name));
            }
            classes.insert(class, n);
        }
        for (n, d) in layout.demands.iter().enumerate() {
            if let Some(t) = d.tenant.as_ref().filter(|t| names.tenant(t).is_none()) {
                let known = names.tenants.join(", ");
                return Err(format!("demand[{n}].tenant: unknown tenant {t:?}, expected one of {known}"));
            }
        }
        let settings = &facts.settings;
        let here = zones.get(&settings.zone).copied();
        let here = here.ok_or("site: this proxy's own zone is none of the sites")?;
        let pace = layout.pace;
        let of_site =
            |s: usize| layout.sets.iter().flat_map(|set| set.at(SiteId(s))).map(|m| m.hosts as usize).sum();
        let largest: usize = (0..layout.sites.len()).map(of_site).max().unwrap_or(0);
        let (share, cold) = (settings.rules.initial_capacity_share, settings.rules.warm_up_time);
        // Sites may grow before the file is told of it.
        let steps = (0..=largest * 4).map(|hosts| {
            (hosts, watch::steps(hosts, settings.fleet_size, share, cold, pace.step, pace.connects))
        });
        let terms = Terms {
            lost_after: pace.lost_after,
            probe_every: pace.probe_every,
            hold: pace.hold,
            hold_most: pace.hold_most,
            flap_memory: pace.flap_memory,
            me: settings.driver_index,
            steps: steps.collect(),
        };
        let sets = layout.sets.iter().zip(0..).map(|(s, n)| (GroupId(s.cluster), n)).collect();
        let watch = Watch::new(terms, layout.sites.len(), now);
        let admission = Admission::new(layout, here, now)?;
        let tenants = names.tenants.clone();
        Ok(Sites {
            watch,
            admission,
            zones,
            classes,
            sets,
            tenants,
            next: now,
            anew: now,
            actions: Vec::new(),
        })
    }

    /// News of the list.
    pub fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        if matches!(kind, ListKind::Failed | ListKind::Broken) {
            return;
        }
        let listed = entries.iter().filter_map(|e| {
            let site = *self.zones.get(&e.zone)?;
            let gone = e.phase != Phase::Up;
            Some(Listed { host: e.member, site, group: e.group, common: e.common, started: e.since, gone })
        });
        let listed: Vec<_> = listed.collect();
        self.watch.list(&listed, matches!(kind, ListKind::Full | ListKind::Saved));
    }

    /// A db host has answered, whatever it said.
    pub fn heard(&mut self, now: Micros, host: MemberId) {
        self.watch.heard(now, host);
    }

    /// An attempt or a probe there came to nothing.
    pub fn failed(&mut self, now: Micros, host: MemberId, how: Failure) {
        self.watch.failed(now, host, how);
    }

    /// Whether a request is let in.
    pub fn admits(&mut self, group: GroupId, class: ClassId, tenant: Option<TenantId>) -> bool {
        let kind = self.kind(group, class, tenant);
        kind.is_none_or(|kind| self.admission.admits(kind))
    }

    /// One that was let in is sent to a db host for the first time.
    pub fn sent(&mut self, group: GroupId, class: ClassId, tenant: Option<TenantId>) {
        if let Some(kind) = self.kind(group, class, tenant) {
            self.admission.sent(&kind);
        }
    }

    fn kind(&self, group: GroupId, class: ClassId, tenant: Option<TenantId>) -> Option<Kind> {
        let (class, set) = (*self.classes.get(&class)?, *self.sets.get(&group)?);
        let named = tenant.and_then(|t| self.tenants.get(t.0));
        // A tenant that no demand names is nobody's in particular.
        let named =
            named.filter(|t| self.admission.layout().demands.iter().any(|d| d.tenant.as_ref() == Some(t)));
        Some((class, set, named.cloned()))
    }

    /// Goes on from what another file's has seen. What that one held out and this one knows nothing of is put back.
    pub fn take_over(&mut self, former: &Sites) {
        let theirs = |s: &crate::layout::Site| former.admission.layout().site(&s.name);
        let places: Vec<_> = self.admission.layout().sites.iter().map(theirs).collect();
        self.watch.take_over(&former.watch, &places);
        let dropped = former.watch.out().filter(|h| !self.watch.is_out(*h));
        self.actions.extend(dropped.map(Action::PutBack));
        (self.next, self.anew) = (former.next, former.anew);
    }

    /// Db hosts that get nothing new by the states of their sites.
    pub fn out(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.watch.out()
    }

    /// Whether a db host gets nothing new by the state of its site.
    pub fn is_out(&self, host: MemberId) -> bool {
        self.watch.is_out(host)
    }

    /// Looks at everything that is due. Returns when to call again.
    pub fn look(&mut self, now: Micros) -> Micros {
        if now >= self.next {
            let before = self.actions.len();
            self.next = self.watch.look(now, &mut self.actions);
            let changed =
                self.actions[before..].iter().any(|a| matches!(a, Action::Changed(..) | Action::PutBack(_)));
            if changed || now >= self.anew {
                self.anew = now + ANEW;
                let missing = self.missing();
                self.admission.anew(now, &missing, changed);
            }
        }
        self.next
    }

    fn missing(&self) -> Vec<f64> {
        (0..self.admission.layout().sites.len()).map(|s| self.watch.missing(SiteId(s))).collect()
    }

    /// An operator holds a site out, or lets it back; false where there is no such site.
    pub fn hold(&mut self, now: Micros, site: &str, out: bool) -> bool {
        let Some(site) = self.admission.layout().site(site) else { return false };
        self.watch.hold(now, site, out, &mut self.actions);
        let missing = self.missing();
        self.admission.anew(now, &missing, true);
        true
    }

    /// A site's name.
    pub fn name(&self, site: SiteId) -> &str {
        &self.admission.layout().sites[site.0].name
    }

    /// What a check of the file tells: how the loss of each site is borne.
    pub fn summary(&self) -> String {
        let told = self.admission.verdicts().map(|(lost, verdict)| {
            let names: Vec<_> = lost.iter().map(|s| self.name(*s)).collect();
            format!("loss of {} {}", names.join(" and "), verdict.name())
        });
        told.collect::<Vec<_>>().join(", ")
    }

    /// What operators are shown: each site's state and why, what is used of it, and what is let in.
    pub fn exposition(&self) -> String {
        let mut text = String::new();
        for (n, s) in self.admission.layout().sites.iter().enumerate() {
            let (state, why) = self.watch.state(SiteId(n));
            let (used, listed) = self.watch.used(SiteId(n));
            let _ = write!(text, "site {} {}: {used} of {listed} db hosts in use", s.name, state.name());
            if let State::Returning { step, .. } = state {
                let _ = write!(text, ", step {step}");
            }
            let _ = writeln!(text, "{}{why}", if why.is_empty() { "" } else { "; " });
        }
        let plan = if self.admission.is_closed() { "kept to" } else { "not needed" };
        let _ = writeln!(text, "plan {plan}");
        let layout = self.admission.layout();
        for ((class, set, tenant), rate, share, refused) in self.admission.shares() {
            let (class, cluster) = (&layout.classes[*class].name, layout.sets[*set].cluster);
            let tenant = tenant.as_ref().map(|t| format!(" tenant {t}")).unwrap_or_default();
            let _ = writeln!(
                text,
                "class {class} cluster {cluster}{tenant}: {rate:.1} a second, {share:.2} let in, {refused} refused"
            );
        }
        text
    }
}
