//! The plan for a loss: where load goes, what is refused, and what is left. docs/site-loss.md gives the linear program.

use std::collections::BTreeMap;

use good_lp::solvers::microlp::microlp;
use good_lp::{variable, variables, Expression, Solution, SolverModel, Variable};

use crate::layout::{Layout, Of, SiteId};

/// Rates below this are none: what a solver leaves of zero.
const NOTHING: f64 = 1e-6;
/// A request that leaves its site without need, as a share of the largest worth: a site's own load stays there.
const AWAY: f64 = 1e-4;
/// A shortfall of a floor costs so many times the largest worth.
const SHORTFALL: f64 = 1000.0;

/// Requests of one demand that go to one site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// Place in [`Layout::demands`].
    pub demand: usize,
    /// Where to.
    pub to: SiteId,
    /// To the primary there, not to any db host.
    pub primary: bool,
    /// Requests a second.
    pub rate: f64,
}

/// What a set's members in a site are used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Used {
    /// Place in [`Layout::sets`].
    pub set: usize,
    /// Where.
    pub site: SiteId,
    /// Seconds of work a second, replay with it.
    pub work: f64,
    /// What they bear, headroom taken off.
    pub bears: f64,
}

/// Whether a loss is borne.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// All is served.
    Borne,
    /// Some is refused, and all floors hold.
    Refusals,
    /// A floor is missed, or a set has nowhere for its primary.
    NotBorne,
}

impl Verdict {
    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Borne => "borne",
            Verdict::Refusals => "borne with refusals",
            Verdict::NotBorne => "not borne",
        }
    }
}

/// The plan for the loss of some sites, or of none.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// In order.
    pub lost: Vec<SiteId>,
    /// Where load goes.
    pub flows: Vec<Flow>,
    /// By demand, requests a second.
    pub served: Vec<f64>,
    /// By floor, requests a second that it lacks; zero where it holds.
    pub short: Vec<f64>,
    /// Sets that have nowhere for their primary.
    pub headless: Vec<usize>,
    /// By set and site.
    pub used: Vec<Used>,
    /// Worth served a second, less prices.
    pub worth: f64,
}

impl Outcome {
    /// By demand, requests a second.
    pub fn refused(&self, layout: &Layout) -> Vec<f64> {
        let refused = layout.demands.iter().zip(&self.served).map(|(d, served)| d.rate - served);
        refused.map(|r| if r < NOTHING.max(1e-7 * r.abs()) { 0.0 } else { r }).collect()
    }

    /// Whether what is left bears it.
    pub fn verdict(&self, layout: &Layout) -> Verdict {
        if !self.headless.is_empty() || self.short.iter().any(|s| *s > 0.0) {
            Verdict::NotBorne
        } else if self.refused(layout).iter().any(|r| *r > 1e-3) {
            Verdict::Refusals
        } else {
            Verdict::Borne
        }
    }
}

/// Where requests of a demand may go when sites are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Way {
    pub to: SiteId,
    /// To any db host there, or to the primary.
    pub primary: bool,
    pub price: f64,
}

pub(crate) fn ways(layout: &Layout, demand: usize, lost: &[SiteId]) -> Vec<Way> {
    let d = &layout.demands[demand];
    let (set, class) = (&layout.sets[d.set], &layout.classes[d.class]);
    let only = layout.bound_for(d.site, lost);
    let allowed = |s: SiteId| !lost.contains(&s) && only.is_none_or(|o| o == s);
    let price = |to| layout.link(d.site, to).map_or(0.0, |l| l.price);
    let mut ways = Vec::new();
    if !class.write {
        let fresh = set.members.iter().filter(|m| allowed(m.site) && layout.fresh(class, m));
        ways.extend(fresh.map(|m| Way { to: m.site, primary: false, price: price(m.site) }));
    }
    // Only the primary will do, wherever it is: a fallback says nothing of that.
    let stale = ways.len() < set.members.len();
    if let Some(to) = set.leads(lost).filter(|s| class.write || stale && allowed(*s)) {
        if class.write || !ways.iter().any(|w| w.to == to) {
            ways.push(Way { to, primary: true, price: price(to) });
        }
    }
    ways
}

/// What the members of a set in a site bear, headroom taken off: all of them, and one.
pub(crate) fn bears(layout: &Layout, set: usize, site: SiteId) -> (f64, f64) {
    let of = layout.sets[set].at(site);
    let all = of.map_or(0.0, |m| m.capacity * layout.headroom);
    (all, all / of.map_or(1.0, |m| f64::from(m.hosts)))
}

/// Replicas of a set in a site: all there but the primary, where that is.
pub(crate) fn replicas(layout: &Layout, set: usize, site: SiteId, leads: Option<SiteId>) -> f64 {
    let hosts = layout.sets[set].at(site).map_or(0, |m| m.hosts);
    f64::from(hosts - u32::from(leads == Some(site)).min(hosts))
}

/// A column of the linear program.
#[derive(Clone, Copy, Debug)]
enum Column {
    /// Requests of a demand, one way.
    Direct(usize, Way),
    /// Requests of a demand into the pool of its kind,
    In(usize),
    /// and out of it, one way; the kind is a class and a set.
    Out((usize, usize), Way),
}

/// The columns of a loss. Sites without links, prices or fallbacks of their own are alike to whoever takes their load: it goes
/// through one pool of each kind, so that columns grow with the sites and not with their square.
fn columns(layout: &Layout, lost: &[SiteId]) -> Vec<Column> {
    let plain = |s: SiteId| !layout.links.iter().any(|l| l.from == s) && layout.bound_for(s, lost).is_none();
    let plain: Vec<_> = (0..layout.sites.len()).map(|s| plain(SiteId(s))).collect();
    let mut columns = Vec::new();
    let mut pools: BTreeMap<(usize, usize), Vec<Way>> = BTreeMap::new();
    for (n, d) in layout.demands.iter().enumerate() {
        let ways = ways(layout, n, lost);
        if plain[d.site.0] && ways.len() > 2 {
            let own = ways.iter().filter(|w| w.to == d.site);
            columns.extend(own.map(|w| Column::Direct(n, *w)));
            columns.push(Column::In(n));
            pools.entry((d.class, d.set)).or_insert(ways);
        } else {
            columns.extend(ways.into_iter().map(|w| Column::Direct(n, w)));
        }
    }
    let out = pools.into_iter().flat_map(|(kind, ways)| ways.into_iter().map(move |w| Column::Out(kind, w)));
    columns.extend(out);
    columns
}

/// Solves the linear program for a loss.
///
/// # Errors
/// What the solver says, where it finds nothing; with floors that may be short there is always something.
pub fn solve(layout: &Layout, lost: &[SiteId]) -> Result<Outcome, String> {
    let mut vars = variables!();
    let mut worth = Expression::with_capacity(layout.demands.len() * 4);
    let most = layout.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
    let mut of_demand = vec![Vec::new(); layout.demands.len()];
    let mut pools: BTreeMap<(usize, usize), Vec<(f64, Variable)>> = BTreeMap::new();
    let mut solved_for = Vec::new();
    for column in columns(layout, lost) {
        let v = match column {
            Column::Direct(n, way) => {
                let d = &layout.demands[n];
                let v = vars.add(variable().min(0.0).max(d.rate));
                let away = if way.to == d.site { 0.0 } else { AWAY * most };
                worth.add_mul(layout.classes[d.class].worth - way.price - away, v);
                of_demand[n].push(v);
                v
            }
            Column::In(n) => {
                let d = &layout.demands[n];
                let v = vars.add(variable().min(0.0).max(d.rate));
                worth.add_mul(layout.classes[d.class].worth - AWAY * most, v);
                of_demand[n].push(v);
                pools.entry((d.class, d.set)).or_default().push((1.0, v));
                v
            }
            Column::Out(kind, _) => {
                let v = vars.add(variable().min(0.0));
                pools.entry(kind).or_default().push((-1.0, v));
                v
            }
        };
        solved_for.push((column, v));
    }
    let short: Vec<_> = layout.floors.iter().map(|_| vars.add(variable().min(0.0))).collect();
    short.iter().for_each(|s| worth.add_mul(-SHORTFALL * most, *s));
    let mut model = vars.maximise(worth).using(microlp);
    for (d, vars) in layout.demands.iter().zip(&of_demand).filter(|(_, v)| v.len() > 1) {
        model = model.with(sum(vars.iter().map(|v| (1.0, *v))).leq(d.rate));
    }
    for terms in pools.values() {
        model = model.with(sum(terms.iter().copied()).eq(0.0));
    }
    // Work at each set's members of each site, and at its primary.
    let mut at: BTreeMap<(usize, SiteId), Vec<(f64, Variable)>> = BTreeMap::new();
    let mut head: BTreeMap<usize, Vec<(f64, Variable)>> = BTreeMap::new();
    for (column, v) in &solved_for {
        let (class, set, way) = match column {
            Column::Direct(n, way) => (layout.demands[*n].class, layout.demands[*n].set, way),
            Column::Out((class, set), way) => (*class, *set, way),
            Column::In(_) => continue,
        };
        let class = &layout.classes[class];
        at.entry((set, way.to)).or_default().push((class.work, *v));
        if way.primary {
            head.entry(set).or_default().push((class.work, *v));
        }
        let leads = layout.sets[set].leads(lost);
        let left = layout.sets[set].members.iter().filter(|m| class.replay > 0.0 && !lost.contains(&m.site));
        for m in left {
            let replay = class.replay * replicas(layout, set, m.site, leads);
            at.entry((set, m.site)).or_default().push((replay, *v));
        }
    }
    for ((set, site), terms) in &at {
        model = model.with(sum(terms.iter().copied()).leq(bears(layout, *set, *site).0));
    }
    for (set, terms) in &head {
        let leads = layout.sets[*set].leads(lost).map_or(0.0, |s| bears(layout, *set, s).1);
        model = model.with(sum(terms.iter().copied()).leq(leads));
    }
    for l in layout.links.iter().filter(|l| l.rate.is_finite() && !lost.contains(&l.from)) {
        let over = solved_for.iter().filter(|(c, _)| match c {
            Column::Direct(n, way) => (layout.demands[*n].site, way.to) == (l.from, l.to),
            Column::In(_) | Column::Out(..) => false,
        });
        model = model.with(sum(over.map(|(_, v)| (1.0, *v))).leq(l.rate));
    }
    for (f, short) in layout.floors.iter().zip(&short) {
        let (mut served, mut asked) = (Expression::from(*short), 0.0);
        for (n, d) in layout.demands.iter().enumerate().filter(|(n, _)| speaks(layout, &f.of, *n)) {
            asked += d.rate;
            of_demand[n].iter().for_each(|v| served.add_mul(1.0, *v));
        }
        model = model.with(served.geq(f.share * asked));
    }
    let solved = model.solve().map_err(|e| format!("the solver found no plan: {e}"))?;
    let rates: Vec<_> = solved_for.iter().map(|(c, v)| (*c, solved.value(*v))).collect();
    Ok(outcome(layout, lost, flows(layout, &rates)))
}

/// Whose requests go where: what comes out of a pool is what went in, in order.
fn flows(layout: &Layout, rates: &[(Column, f64)]) -> Vec<Flow> {
    let mut flows: BTreeMap<(usize, SiteId, bool), f64> = BTreeMap::new();
    let mut outs: BTreeMap<(usize, usize), Vec<(Way, f64)>> = BTreeMap::new();
    for (column, rate) in rates.iter().filter(|(_, r)| *r > NOTHING) {
        match column {
            Column::Direct(n, way) => *flows.entry((*n, way.to, way.primary)).or_default() += rate,
            Column::Out(kind, way) => outs.entry(*kind).or_default().push((*way, *rate)),
            Column::In(_) => {}
        }
    }
    for (column, rate) in rates {
        let Column::In(n) = column else { continue };
        let d = &layout.demands[*n];
        let mut rest = *rate;
        for (way, room) in outs.get_mut(&(d.class, d.set)).into_iter().flatten() {
            let part = rest.min(*room);
            (rest, *room) = (rest - part, *room - part);
            if part > NOTHING {
                *flows.entry((*n, way.to, way.primary)).or_default() += part;
            }
        }
    }
    flows.into_iter().map(|((demand, to, primary), rate)| Flow { demand, to, primary, rate }).collect()
}

fn sum(terms: impl Iterator<Item = (f64, Variable)>) -> Expression {
    let mut all = Expression::default();
    terms.for_each(|(factor, v)| all.add_mul(factor, v));
    all
}

/// Whether a floor speaks of a demand.
pub(crate) fn speaks(layout: &Layout, of: &Of, demand: usize) -> bool {
    let d = &layout.demands[demand];
    match of {
        Of::Class(c) => *c == d.class,
        Of::Tenant(t) => d.tenant.as_ref() == Some(t),
    }
}

/// What flows come to.
pub(crate) fn outcome(layout: &Layout, lost: &[SiteId], flows: Vec<Flow>) -> Outcome {
    let mut served = vec![0.0; layout.demands.len()];
    let mut work: BTreeMap<(usize, SiteId), f64> = BTreeMap::new();
    let mut worth = 0.0;
    for f in &flows {
        let d = &layout.demands[f.demand];
        let class = &layout.classes[d.class];
        served[f.demand] += f.rate;
        worth += f.rate * (class.worth - layout.link(d.site, f.to).map_or(0.0, |l| l.price));
        *work.entry((d.set, f.to)).or_default() += f.rate * class.work;
        let leads = layout.sets[d.set].leads(lost);
        for m in layout.sets[d.set].members.iter().filter(|m| class.replay > 0.0 && !lost.contains(&m.site)) {
            let replay = class.replay * replicas(layout, d.set, m.site, leads);
            *work.entry((d.set, m.site)).or_default() += f.rate * replay;
        }
    }
    let short = layout.floors.iter().map(|f| {
        let of = (0..layout.demands.len()).filter(|n| speaks(layout, &f.of, *n));
        let (asked, got) = of.fold((0.0, 0.0), |a, n| (a.0 + layout.demands[n].rate, a.1 + served[n]));
        let short = f.share * asked - got;
        // Rounding of a solver is no shortfall.
        if short > 1e-6 * asked.max(1.0) {
            short
        } else {
            0.0
        }
    });
    let short = short.collect();
    let headless = (0..layout.sets.len()).filter(|s| layout.sets[*s].leads(lost).is_none()).collect();
    let mut used = Vec::new();
    for (n, set) in layout.sets.iter().enumerate() {
        for m in set.members.iter().filter(|m| !lost.contains(&m.site)) {
            let work = work.get(&(n, m.site)).copied().unwrap_or(0.0);
            used.push(Used { set: n, site: m.site, work, bears: bears(layout, n, m.site).0 });
        }
    }
    Outcome { lost: lost.to_vec(), flows, served, short, headless, used, worth }
}

/// Each loss of one site, and of each two.
pub fn losses(layout: &Layout) -> Vec<Vec<SiteId>> {
    let n = layout.sites.len();
    let one = (0..n).map(|a| vec![SiteId(a)]);
    let two = (0..n).flat_map(|a| (a + 1..n).map(move |b| vec![SiteId(a), SiteId(b)]));
    one.chain(two.filter(|_| n > 2)).collect()
}
