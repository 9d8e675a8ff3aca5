//! A plain plan: floors first, then what is worth most for its work, each to the cheapest site with room. It checks the linear
//! program, and serves where there is no time for that.

use std::collections::BTreeMap;

use crate::layout::{Layout, SiteId};
use crate::plan::{bears, outcome, replicas, ways, Flow, Outcome};

/// What is left of each bound.
struct Room<'a> {
    layout: &'a Layout,
    lost: &'a [SiteId],
    at: BTreeMap<(usize, SiteId), f64>,
    /// At the primary of each set.
    head: Vec<f64>,
    /// Over each link.
    links: BTreeMap<(SiteId, SiteId), f64>,
}

impl Room<'_> {
    /// How many requests a second may still go a way, and takes them: as many as are asked for, at most.
    fn take(&mut self, demand: usize, to: SiteId, primary: bool, asked: f64) -> f64 {
        let d = &self.layout.demands[demand];
        let (class, set) = (&self.layout.classes[d.class], &self.layout.sets[d.set]);
        let leads = set.leads(self.lost);
        // Work of one request at each of the set's sites.
        let mut costs: BTreeMap<SiteId, f64> = BTreeMap::from([(to, class.work)]);
        for m in set.members.iter().filter(|m| class.replay > 0.0 && !self.lost.contains(&m.site)) {
            *costs.entry(m.site).or_default() += class.replay * replicas(self.layout, d.set, m.site, leads);
        }
        let mut most = asked;
        for (site, cost) in costs.iter().filter(|(_, c)| **c > 0.0) {
            most = most.min(self.at.get(&(d.set, *site)).copied().unwrap_or(0.0) / cost);
        }
        if primary {
            most = most.min(self.head[d.set] / class.work);
        }
        let link = (d.site, to);
        most = most.min(self.links.get(&link).copied().unwrap_or(f64::INFINITY)).max(0.0);
        for (site, cost) in costs {
            *self.at.entry((d.set, site)).or_default() -= most * cost;
        }
        if primary {
            self.head[d.set] -= most * class.work;
        }
        self.links.entry(link).and_modify(|l| *l -= most);
        most
    }
}

/// The plan for a loss, quickly: never better than [`crate::plan::solve`], and as good where one bound alone binds.
pub fn plan(layout: &Layout, lost: &[SiteId]) -> Outcome {
    let mut room = Room { layout, lost, at: BTreeMap::new(), head: Vec::new(), links: BTreeMap::new() };
    for (n, set) in layout.sets.iter().enumerate() {
        for m in set.members.iter().filter(|m| !lost.contains(&m.site)) {
            room.at.insert((n, m.site), bears(layout, n, m.site).0);
        }
        room.head.push(set.leads(lost).map_or(0.0, |s| bears(layout, n, s).1));
    }
    for l in layout.links.iter().filter(|l| l.rate.is_finite() && !lost.contains(&l.from)) {
        room.links.insert((l.from, l.to), l.rate);
    }
    let mut order: Vec<_> = (0..layout.demands.len()).collect();
    order.sort_by(|a, b| rank(layout, *b).total_cmp(&rank(layout, *a)));
    let mut given = vec![0.0; layout.demands.len()];
    let mut flows = Vec::new();
    for floors in [true, false] {
        for n in &order {
            let d = &layout.demands[*n];
            let share = if floors { layout.floor(d.class, d.tenant.as_deref()) } else { 1.0 };
            let mut rest = d.rate * share - given[*n];
            let mut ways = ways(layout, *n, lost);
            ways.sort_by(|a, b| a.price.total_cmp(&b.price));
            for way in ways.iter().filter(|w| w.price <= layout.classes[d.class].worth) {
                let rate = room.take(*n, way.to, way.primary, rest.max(0.0));
                (rest, given[*n]) = (rest - rate, given[*n] + rate);
                if rate > 0.0 {
                    flows.push(Flow { demand: *n, to: way.to, primary: way.primary, rate });
                }
            }
        }
    }
    // What went one way in two rounds is one flow.
    let mut joined: BTreeMap<(usize, SiteId, bool), f64> = BTreeMap::new();
    flows.iter().for_each(|f| *joined.entry((f.demand, f.to, f.primary)).or_default() += f.rate);
    let flows = joined.into_iter().map(|((demand, to, primary), rate)| Flow { demand, to, primary, rate });
    outcome(layout, lost, flows.collect())
}

/// Worth for all the work that a request makes. What is least is refused first.
pub fn rank(layout: &Layout, demand: usize) -> f64 {
    let d = &layout.demands[demand];
    let class = &layout.classes[d.class];
    let hosts: u32 = layout.sets[d.set].members.iter().map(|m| m.hosts).sum();
    class.worth / (class.work + class.replay * f64::from(hosts.saturating_sub(1)))
}
