//! What a play over sites came to: worth by second beside the plan, what was refused, what may not be; a table and a plot.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use gradeshunt_sites::layout::{Layout, SiteId};
use gradeshunt_sites::plan::solve;
use gradeshunt_stand_ins::checker::Outcome;
use plotters::prelude::*;

use crate::load::Done;
use crate::region::AIM;

/// What came of a play.
pub struct Report {
    pub layout: Layout,
    /// As a share of the file's demand.
    pub load: f64,
    pub done: Vec<Done>,
    /// What happened when, since the load began.
    pub marks: Vec<(Duration, String)>,
    /// What may not be.
    pub faults: Vec<String>,
    /// By db host: its site, and the work that it was asked for in each second, as a share of what it bears.
    pub asked: Vec<(SiteId, Vec<f64>)>,
    pub seconds: usize,
}

/// What a class's requests came to in some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shares {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
}

impl Shares {
    fn of(&self, n: u64) -> f64 {
        n as f64 / self.asked.max(1) as f64
    }

    pub fn refused_share(&self) -> f64 {
        self.of(self.refused)
    }
}

impl Report {
    /// When a mark was first made, in seconds.
    pub fn at(&self, mark: &str) -> Option<f64> {
        self.marks.iter().find(|(_, m)| m.starts_with(mark)).map(|(at, _)| at.as_secs_f64())
    }

    /// By class, of requests that were due in a time.
    pub fn shares(&self, from: f64, to: f64) -> Vec<Shares> {
        let mut shares = vec![Shares::default(); self.layout.classes.len()];
        for d in self.due(from, to) {
            let s = &mut shares[d.class];
            s.asked += 1;
            match d.outcome {
                Outcome::Served if d.took <= AIM => s.in_time += 1,
                Outcome::Served => s.late += 1,
                Outcome::Refused => s.refused += 1,
                Outcome::Failed | Outcome::Cut | Outcome::Lost | Outcome::Unreached => s.failed += 1,
            }
        }
        shares
    }

    fn due(&self, from: f64, to: f64) -> impl Iterator<Item = &Done> {
        self.done.iter().filter(move |d| (from..to).contains(&d.due.as_secs_f64()))
    }

    /// Worth served in time, a second, of requests that were due in a time.
    pub fn worth(&self, from: f64, to: f64) -> f64 {
        let served = self.due(from, to).filter(|d| d.outcome == Outcome::Served && d.took <= AIM);
        served.map(|d| self.layout.classes[d.class].worth).sum::<f64>() / (to - from).max(1e-9)
    }

    /// Worth that a plan serves a second at this load; what it could serve beyond its headroom is not counted.
    pub fn planned(&self, lost: &[SiteId]) -> f64 {
        let mut layout = self.layout.clone();
        layout.demands.iter_mut().for_each(|d| d.rate *= self.load);
        let plan = solve(&layout, lost).map(|p| p.served).unwrap_or_default();
        layout.demands.iter().zip(plan).map(|(d, served)| served * layout.classes[d.class].worth).sum()
    }

    /// Whether classes that a plan serves less of were refused at least as much as those that it serves more of, within a tenth.
    pub fn in_order(&self, lost: &[SiteId], from: f64, to: f64) -> bool {
        let mut layout = self.layout.clone();
        layout.demands.iter_mut().for_each(|d| d.rate *= self.load);
        let Ok(plan) = solve(&layout, lost) else { return false };
        let shares = self.shares(from, to);
        let served = |class: usize| {
            let of = layout.demands.iter().zip(&plan.served).filter(|(d, _)| d.class == class);
            let (asked, served) = of.fold((0.0, 0.0), |a, (d, s)| (a.0 + d.rate, a.1 + s));
            served / f64::max(asked, 1e-9)
        };
        let classes: Vec<_> = (0..layout.classes.len()).filter(|c| shares[*c].asked > 0).collect();
        let before = |a: &usize, b: &usize| served(*a) > served(*b) + 0.1;
        let mut pairs =
            classes.iter().flat_map(|a| classes.iter().map(move |b| (a, b))).filter(|(a, b)| before(a, b));
        pairs.all(|(a, b)| shares[*a].refused_share() <= shares[*b].refused_share() + 0.1)
    }

    /// Worth asked for, a second.
    pub fn asked_for(&self) -> f64 {
        self.layout.demands.iter().map(|d| d.rate * self.load * self.layout.classes[d.class].worth).sum()
    }

    /// The first second from which on the worth of two seconds in a row is at least this, since a moment.
    pub fn reaches(&self, worth: f64, from: f64, to: f64) -> Option<f64> {
        let mut at = from;
        while at + 2.0 <= to {
            if self.worth(at, at + 2.0) >= worth {
                return Some(at - from);
            }
            at += 0.25;
        }
        None
    }

    /// The longest time in which a site's db hosts were asked for more than so many times what they bear, in seconds.
    pub fn over(&self, times: f64) -> usize {
        let mut longest = 0;
        let mut sites: BTreeMap<SiteId, (usize, Vec<f64>)> = BTreeMap::new();
        for (site, asked) in &self.asked {
            let (hosts, sum) = sites.entry(*site).or_insert((0, vec![0.0; self.seconds]));
            *hosts += 1;
            sum.iter_mut().zip(asked).for_each(|(s, a)| *s += a);
        }
        for (hosts, asked) in sites.values() {
            let over: Vec<_> = asked.iter().map(|a| *a > times * *hosts as f64).collect();
            longest = over.split(|o| !o).map(<[bool]>::len).max().unwrap_or(0).max(longest);
        }
        longest
    }

    /// By class in the whole play, and what happened.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (at, what) in &self.marks {
            let _ = writeln!(text, "{:7.2} s  {what}", at.as_secs_f64());
        }
        let _ = writeln!(
            text,
            "{:<6} {:<14} {:>6} {:>8} {:>6} {:>8} {:>7}",
            "from", "class", "asked", "in time", "late", "refused", "failed"
        );
        for from in (0..self.seconds).step_by(2) {
            let shares = self.shares(from as f64, from as f64 + 2.0);
            for (c, s) in self.layout.classes.iter().zip(shares).filter(|(_, s)| s.asked > 0) {
                let _ = writeln!(
                    text,
                    "{from:<6} {:<14} {:>6} {:>8.3} {:>6.3} {:>8.3} {:>7.3}",
                    c.name,
                    s.asked,
                    s.of(s.in_time),
                    s.of(s.late),
                    s.refused_share(),
                    s.of(s.failed)
                );
            }
        }
        for (n, site) in self.layout.sites.iter().enumerate() {
            let of: Vec<_> = self.done.iter().filter(|d| d.site == n).collect();
            let served = of.iter().filter(|d| d.outcome == Outcome::Served && d.took <= AIM).count();
            let _ = writeln!(text, "clients of {}: {served} of {} in time", site.name, of.len());
        }
        for f in &self.faults {
            let _ = writeln!(text, "FAULT {f}");
        }
        text
    }

    /// Worth by second, and when what happened.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn plot(&self, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let top = self.asked_for() * 1.2;
        let root = SVGBackend::new(to, (900, 320)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("worth served in time, a second", ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(22)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..self.seconds as f64, 0.0..top)?;
        chart.configure_mesh().draw()?;
        let seconds = (0..self.seconds).map(|s| (s as f64 + 0.5, self.worth(s as f64, s as f64 + 1.0)));
        chart.draw_series(LineSeries::new(seconds, &BLUE))?;
        for (n, (at, what)) in self.marks.iter().enumerate() {
            let at = at.as_secs_f64();
            chart.draw_series(LineSeries::new([(at, 0.0), (at, top)], RED.mix(0.5)))?;
            let high = top * (0.98 - 0.06 * (n % 4) as f64);
            chart.draw_series([Text::new(what.clone(), (at, high), ("sans-serif", 11))])?;
        }
        root.present()?;
        Ok(())
    }
}
