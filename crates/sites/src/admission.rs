//! Keeping to the plan: which share of each kind of requests one proxy lets in while a site is missing.

use std::collections::BTreeMap;

use leadmast::Micros;

use crate::greedy;
use crate::layout::{Layout, SiteId};
use crate::plan::{solve, Outcome, Verdict};

/// The shares are set anew so often.
pub const ANEW: Micros = 500_000;
/// Plans for two lost sites are made beforehand for so many sites at most; beyond that plainly, when they are needed.
const PAIRS: usize = 12;
/// What of each new half second counts in the measured rate.
const FRESH: f64 = 0.5;

/// However many of those let in are turned away later, this share of those let in counts as work.
const LEAST_WORK: f64 = 0.2;

/// A kind of requests: a class of the file for a set, by their places, and whose, where that counts.
pub type Kind = (usize, usize, Option<String>);

#[derive(Clone, Debug, Default)]
struct Stream {
    /// Requests since the rate was last measured; the rate in requests a second, and whether it was measured at all.
    came: u32,
    rate: f64,
    /// Of those let in, how many were sent to a db host since then, and the share of them that are: the rest makes no work.
    within: u32,
    sent: u32,
    makes_work: f64,
    /// What is let in, and what of a request has been saved up.
    share: f64,
    credit: f64,
    refused: u64,
}

impl Stream {
    /// Seconds of work a second that it makes, were all of it let in.
    fn work(&self, of_one: f64) -> f64 {
        self.rate * of_one * self.makes_work
    }
}

/// What one proxy lets in.
#[derive(Debug)]
pub struct Admission {
    layout: Layout,
    here: SiteId,
    plans: BTreeMap<Vec<SiteId>, Outcome>,
    streams: BTreeMap<Kind, Stream>,
    /// For each set: work a second for all, and for its primary. Empty while no site is missing.
    bounds: Vec<(f64, f64)>,
    measured: Micros,
}

impl Admission {
    /// With plans for each loss of one site, and of two where there are few.
    ///
    /// # Errors
    /// Where a plan can't be made, or a floor can't hold even with all sites.
    pub fn new(layout: Layout, here: SiteId, now: Micros) -> Result<Admission, String> {
        let mut plans = BTreeMap::new();
        let few = layout.sites.len() <= PAIRS;
        for lost in
            crate::plan::losses(&layout).into_iter().filter(|l| l.len() < 2 || few).chain([Vec::new()])
        {
            let plan = solve(&layout, &lost)?;
            plans.insert(lost, plan);
        }
        let short =
            plans.get(&Vec::new()).and_then(|whole: &Outcome| whole.short.iter().position(|s| *s > 0.0));
        if let Some(n) = short {
            return Err(format!("floor[{n}]: can't hold even while no site is lost"));
        }
        Ok(Admission { layout, here, plans, streams: BTreeMap::new(), bounds: Vec::new(), measured: now })
    }

    /// The file that it keeps to.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// How the losses are borne that are planned so far.
    pub fn verdicts(&self) -> impl Iterator<Item = (&[SiteId], Verdict)> {
        let planned = self.plans.iter().filter(|(lost, _)| !lost.is_empty());
        planned.map(|(lost, plan)| (lost.as_slice(), plan.verdict(&self.layout)))
    }

    /// The plan for a loss.
    fn plan(&mut self, lost: &[SiteId]) -> &Outcome {
        let layout = &self.layout;
        self.plans.entry(lost.to_vec()).or_insert_with(|| greedy::plan(layout, lost))
    }

    /// Whether a request is let in; kinds that the file does not speak of always are.
    pub fn admits(&mut self, kind: Kind) -> bool {
        let s = self.streams.entry(kind).or_insert_with(|| Stream {
            share: 1.0,
            makes_work: 1.0,
            ..Stream::default()
        });
        s.came += 1;
        if self.bounds.is_empty() || s.share >= 1.0 {
            s.within += 1;
            return true;
        }
        // A counter, not chance: of ten at seven tenths seven go in.
        s.credit += s.share;
        let goes = s.credit >= 1.0 - 1e-9;
        s.credit -= if goes { 1.0 } else { 0.0 };
        s.refused += u64::from(!goes);
        s.within += u32::from(goes);
        goes
    }

    /// One that was let in is sent to a db host.
    pub fn sent(&mut self, kind: &Kind) {
        self.streams.get_mut(kind).into_iter().for_each(|s| s.sent += 1);
    }

    /// Measures what comes, and sets the shares anew. `missing`: which share of each site's load is elsewhere.
    pub fn anew(&mut self, now: Micros, missing: &[f64], force: bool) {
        let past = now - self.measured;
        if past >= ANEW {
            for s in self.streams.values_mut() {
                let rate = f64::from(std::mem::take(&mut s.came)) * 1e6 / past as f64;
                s.rate += FRESH * (rate - s.rate);
                let (sent, within) = (std::mem::take(&mut s.sent), std::mem::take(&mut s.within));
                if within > 0 {
                    let share = (f64::from(sent) / f64::from(within)).clamp(LEAST_WORK, 1.0);
                    s.makes_work += FRESH * (share - s.makes_work);
                }
            }
            self.measured = now;
        } else if !force {
            return;
        }
        self.bounds = self.bounds_for(missing);
        if self.bounds.is_empty() {
            self.streams.values_mut().for_each(|s| (s.share, s.credit) = (1.0, 0.0));
        } else {
            self.share_out(missing);
        }
    }

    /// Work a second for each set, in sum and at its primary: this proxy's part. Between the plan without those sites that
    /// are partly missing and the plan for their loss, by the part that is.
    fn bounds_for(&mut self, missing: &[f64]) -> Vec<(f64, f64)> {
        let lost: Vec<_> = all(missing, |m| m >= 1.0);
        let partly = all(missing, |m| m > 0.0 && m < 1.0);
        if lost.is_empty() && partly.is_empty() {
            return Vec::new();
        }
        let few = self.part(&lost);
        let Some(most) = partly.into_iter().max_by(|a, b| missing[a.0].total_cmp(&missing[b.0])) else {
            return few;
        };
        let mut without = lost;
        without.push(most);
        without.sort();
        let less = self.part(&without);
        let m = missing[most.0];
        let between = |a: f64, b: f64| a + m * (b - a);
        few.iter().zip(less).map(|(a, b)| (between(a.0, b.0), between(a.1, b.1))).collect()
    }

    /// This proxy's part of what a plan serves, and of what it leaves unused.
    fn part(&mut self, lost: &[SiteId]) -> Vec<(f64, f64)> {
        let here = self.here;
        let plan = self.plan(lost).clone();
        let layout = &self.layout;
        let left = |s: &SiteId| !lost.contains(s);
        let proxies = |s: SiteId| f64::from(layout.sites[s.0].proxies.max(1));
        let everyone: f64 =
            (0..layout.sites.len()).map(SiteId).filter(left).map(proxies).sum::<f64>().max(1.0);
        let mut bounds = vec![(0.0, 0.0); layout.sets.len()];
        for (d, served) in layout.demands.iter().zip(&plan.served) {
            let at = if left(&d.site) { Some(d.site) } else { layout.bound_for(d.site, lost) };
            let part = match at {
                Some(at) if at == here => 1.0 / proxies(here),
                Some(_) => 0.0,
                None => 1.0 / everyone,
            };
            let work = served * layout.classes[d.class].work * part;
            bounds[d.set].0 += work;
            bounds[d.set].1 += if layout.classes[d.class].write { work } else { 0.0 };
        }
        for u in &plan.used {
            // The headroom is for planning. For admission it is room like any other: the module sees hosts fill by itself.
            let full = u.bears / layout.headroom;
            let spare = (full - u.work).max(0.0) / everyone;
            bounds[u.set].0 += spare;
            if layout.sets[u.set].leads(lost) == Some(u.site) {
                let hosts = layout.sets[u.set].at(u.site).map_or(1.0, |m| f64::from(m.hosts));
                bounds[u.set].1 += spare.min(full / hosts / everyone);
            }
        }
        bounds
    }

    /// Floors first, then the order of the plan, until the part is used up.
    fn share_out(&mut self, missing: &[f64]) {
        let lost = all(missing, |m| m > 0.0);
        let order = self.order(&lost);
        let mut rest = self.bounds.clone();
        let mut given: BTreeMap<&Kind, f64> = BTreeMap::new();
        let place = |k: &Kind| order.iter().position(|o| o == k).unwrap_or(usize::MAX);
        let mut kinds: Vec<_> = self.streams.iter().collect();
        kinds.sort_by_key(|(k, _)| place(k));
        for floors in [true, false] {
            for (kind, s) in &kinds {
                let class = &self.layout.classes[kind.0];
                let up_to = if floors { self.layout.floor(kind.0, kind.2.as_deref()) } else { 1.0 };
                let so_far = given.entry(kind).or_default();
                let asked = (up_to * s.work(class.work) - *so_far).max(0.0);
                let room = &mut rest[kind.1];
                let most = if class.write { room.0.min(room.1) } else { room.0 };
                let gets = asked.min(most.max(0.0));
                *so_far += gets;
                room.0 -= gets;
                room.1 -= if class.write { gets } else { 0.0 };
            }
        }
        let given: BTreeMap<Kind, f64> = given.into_iter().map(|(k, g)| (k.clone(), g)).collect();
        for (kind, s) in &mut self.streams {
            let asked = s.work(self.layout.classes[kind.0].work);
            let got = given.get(kind).copied().unwrap_or(0.0);
            s.share = if asked > got + 1e-9 { got / asked } else { 1.0 };
        }
    }

    /// Kinds by what the plan serves of them, and then by worth for work: what comes last is refused first.
    pub fn order(&mut self, lost: &[SiteId]) -> Vec<Kind> {
        let plan = self.plan(lost).clone();
        let mut kinds: BTreeMap<Kind, (f64, f64, f64)> = BTreeMap::new();
        for (n, (d, served)) in self.layout.demands.iter().zip(&plan.served).enumerate() {
            let of = kinds.entry((d.class, d.set, d.tenant.clone())).or_default();
            *of = (of.0 + served, of.1 + d.rate, greedy::rank(&self.layout, n));
        }
        let mut kinds: Vec<_> = kinds.into_iter().collect();
        // Hundredths: rounding of the solver is no order.
        let share = |k: &(f64, f64, f64)| (100.0 * k.0 / k.1.max(1e-9)).round();
        kinds.sort_by(|(_, a), (_, b)| share(b).total_cmp(&share(a)).then(b.2.total_cmp(&a.2)));
        kinds.into_iter().map(|(k, _)| k).collect()
    }

    /// Of each kind: requests a second that come, the share that is let in, and how many were refused so far.
    pub fn shares(&self) -> impl Iterator<Item = (&Kind, f64, f64, u64)> {
        self.streams.iter().map(|(k, s)| (k, s.rate, s.share, s.refused))
    }

    /// Whether it refuses what is beyond the plan.
    pub fn is_closed(&self) -> bool {
        !self.bounds.is_empty()
    }
}

fn all(missing: &[f64], holds: impl Fn(f64) -> bool) -> Vec<SiteId> {
    missing.iter().enumerate().filter(|(_, m)| holds(**m)).map(|(n, _)| SiteId(n)).collect()
}
