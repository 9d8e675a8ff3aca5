//! The loss of a site: each script of the fleet rig over sites, with many seeds, with the operators' plan and without.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use clap::Args;
use gradeshunt_fleet_rig::event::{self, What};
use gradeshunt_fleet_rig::outcome::Report as Play;
use gradeshunt_fleet_rig::region;

use crate::{Report, Setting};

/// Until a site that stays away counts as lost everywhere, its clients go elsewhere, and what was under way has ended.
const SETTLES: f64 = 2.0;
/// Scripts that are played, and what each breaks first.
const SCRIPTS: [&str; 8] = ["kill", "silence", "cut-off", "list-gone", "half", "twice", "release", "flap"];

#[derive(Args)]
pub struct Options {
    /// Where the scripts are.
    #[arg(long, default_value = "crates/fleet-rig/scripts/sites")]
    scripts: PathBuf,
    /// One script alone.
    #[arg(long)]
    only: Option<String>,
    /// Seeds of each script; 2 where it is not given, 20 with --long.
    #[arg(long)]
    seeds: Option<u64>,
    /// Plays at a time.
    #[arg(long, default_value_t = 3)]
    at_once: usize,
}

/// What one play came to.
struct Line {
    script: &'static str,
    seed: u64,
    planned: bool,
    /// Of the worth that the plan says is possible, in the loss; of what was asked for, in the whole play.
    of_plan: Option<f64>,
    of_asked: f64,
    /// Seconds from the loss until the plan's worth was reached (90%), and from the return until 95% of what was asked for.
    to_plan: Option<f64>,
    to_whole: Option<f64>,
    /// Whether what the plan refuses first was refused most.
    in_order: bool,
    /// Seconds in a row in which a site's db hosts were asked for more than they bear.
    over: usize,
    faults: Vec<String>,
}

pub fn measure(setting: &Setting, options: &Options) -> std::io::Result<Report> {
    let seeds = options.seeds.unwrap_or(if setting.long { 20 } else { 2 });
    let scripts: Vec<_> =
        SCRIPTS.into_iter().filter(|s| options.only.as_deref().is_none_or(|o| o == *s)).collect();
    let mut jobs = Vec::new();
    for script in &scripts {
        for seed in 1..=seeds {
            jobs.extend([(*script, seed, true), (*script, seed, false)]);
        }
    }
    let (next, lines) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..options.at_once.max(1) {
            scope.spawn(|| {
                while let Some((script, seed, planned)) =
                    jobs.get(next.fetch_add(1, Ordering::Relaxed)).copied()
                {
                    let line = play(setting, &options.scripts, script, seed, planned);
                    let line =
                        line.unwrap_or_else(|why| Line::failed(script, seed, planned, why.to_string()));
                    lines.lock().unwrap_or_else(|e| e.into_inner()).push(line);
                }
            });
        }
    });
    let lines = lines.into_inner().unwrap_or_else(|e| e.into_inner());
    Ok(report(&scripts, &lines))
}

fn play(
    setting: &Setting,
    folder: &Path,
    script: &'static str,
    seed: u64,
    planned: bool,
) -> std::io::Result<Line> {
    let file = folder.join(format!("{script}.textproto"));
    let parsed = event::parse(&std::fs::read_to_string(&file)?).map_err(std::io::Error::other)?;
    let sites = std::fs::read_to_string(folder.join(&parsed.sites))?;
    let scratch = setting.folder.join(format!("{script}-{seed}-{planned}"));
    let mut options = region::Options::of(&setting.program, &scratch, seed);
    options.planned = planned;
    let play = region::play(&parsed, &sites, &options)?;
    let _ = std::fs::remove_dir_all(&scratch);
    Ok(Line::of(script, seed, planned, &play))
}

impl Line {
    fn failed(script: &'static str, seed: u64, planned: bool, why: String) -> Line {
        let faults = vec![why];
        let (of_plan, of_asked, to_plan, to_whole) = (None, 0.0, None, None);
        Line { script, seed, planned, of_plan, of_asked, to_plan, to_whole, in_order: false, over: 0, faults }
    }

    fn of(script: &'static str, seed: u64, planned: bool, play: &Play) -> Line {
        // The first loss of a whole site, up to whatever comes next.
        let losses = [What::Kill, What::Silence, What::CutOff].map(|w| format!("{w:?} "));
        let lost = play.marks.iter().position(|(_, m)| losses.iter().any(|l| m.starts_with(l)));
        let next = ["Back", "Kill", "Silence", "CutOff"];
        let lost = lost.map(|n| {
            let (at, mark) = &play.marks[n];
            let to = play.marks[n + 1..].iter().find(|(_, m)| next.iter().any(|w| m.starts_with(w)));
            let site = mark.rsplit(' ').next().and_then(|s| play.layout.site(s));
            (at.as_secs_f64(), to.map_or(play.seconds as f64, |(t, _)| t.as_secs_f64()), site)
        });
        let (mut of_plan, mut to_plan, mut in_order) = (None, None, true);
        if let Some((from, to, Some(site))) = lost.filter(|l| l.1 - l.0 > SETTLES + 1.0) {
            let possible = play.planned(&[site]);
            of_plan = Some(play.worth(from + SETTLES, to) / possible);
            to_plan = play.reaches(0.9 * possible, from, to);
            in_order = play.in_order(&[site], from + SETTLES, to);
        }
        let whole = play.seconds as f64 - 2.5;
        let back =
            play.marks.iter().rev().find(|(_, m)| m.starts_with("Back")).map(|(at, _)| at.as_secs_f64());
        let to_whole = back.and_then(|b| play.reaches(0.95 * play.asked_for(), b, play.seconds as f64));
        let of_asked = play.worth(0.5, whole) / play.asked_for();
        let (over, faults) = (play.over(1.1), play.faults.clone());
        Line { script, seed, planned, of_plan, of_asked, to_plan, to_whole, in_order, over, faults }
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<_> = values.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

fn report(scripts: &[&'static str], lines: &[Line]) -> Report {
    let mut table = vec![format!(
        "{:<10} {:<5} {:>5} {:>12} {:>8} {:>10} {:>9} {:>9} {:>6} {:>5} {:>6}",
        "script",
        "plan",
        "plays",
        "of possible",
        "least",
        "of asked",
        "to plan",
        "to whole",
        "order",
        "over",
        "faults"
    )];
    let (mut results, mut missed) = (Vec::new(), Vec::new());
    let mut totals = [(0.0, 0.0); 2];
    for script in scripts {
        for planned in [true, false] {
            let of: Vec<_> = lines.iter().filter(|l| l.script == *script && l.planned == planned).collect();
            let plays = of.len();
            let possible: Vec<_> = of.iter().filter_map(|l| l.of_plan).collect();
            let least = possible.iter().copied().fold(f64::INFINITY, f64::min);
            let share = mean(possible.iter().copied());
            let asked = mean(of.iter().map(|l| l.of_asked));
            let most = |value: fn(&Line) -> Option<f64>| {
                let all: Vec<_> = of.iter().map(|l| value(l)).collect();
                let missing = all.iter().filter(|v| v.is_none()).count();
                let most = all.iter().flatten().copied().fold(0.0, f64::max);
                if missing > 0 {
                    format!("{most:.1}, {missing} not")
                } else {
                    format!("{most:.1} s")
                }
            };
            let order = of.iter().filter(|l| l.in_order).count();
            let over = of.iter().map(|l| l.over).max().unwrap_or(0);
            let faults: usize = of.iter().map(|l| l.faults.len()).sum();
            table.push(format!(
                "{script:<10} {:<5} {plays:>5} {share:>12.3} {least:>8.3} {asked:>10.3} {:>9} {:>9} {order:>6} {over:>5} {faults:>6}",
                if planned { "on" } else { "off" }, most(|l| l.to_plan), most(|l| l.to_whole)
            ));
            let total = &mut totals[usize::from(planned)];
            *total = (total.0 + asked, total.1 + if possible.is_empty() { 0.0 } else { share });
            if planned {
                missed.extend(
                    of.iter().flat_map(|l| l.faults.iter().map(|f| format!("{script} {}: {f}", l.seed))),
                );
            } else {
                let told = of.iter().flat_map(|l| {
                    l.faults.iter().map(|f| format!("without a plan, {script} {}: {f}", l.seed))
                });
                table.extend(told.take(3));
            }
        }
    }
    let n = scripts.len().max(1) as f64;
    results.push(("asked_on", format!("{:.3}", totals[1].0 / n)));
    results.push(("asked_off", format!("{:.3}", totals[0].0 / n)));
    results.push(("possible_on", format!("{:.3}", totals[1].1 / n)));
    results.push(("possible_off", format!("{:.3}", totals[0].1 / n)));
    Report { table, results, missed }
}
