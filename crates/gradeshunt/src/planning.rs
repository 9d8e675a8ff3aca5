//! `gradeshunt plan`: computes how load is distributed when sites are lost, as a table, JSON or a picture.

use std::fmt::Write as _;
use std::io::Write as _;
use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};
use gradeshunt_sites::layout::{Layout, Of, SiteId};
use gradeshunt_sites::plan::{losses, solve, Outcome, Verdict};
use plotters::prelude::*;
use serde_json::{json, Value};

/// Options of `gradeshunt plan`.
#[derive(Args, Debug)]
pub struct Options {
    /// The operators' file on sites.
    file: PathBuf,
    /// A lost site; several of them are lost together. Without it, each site and each pair of sites is
    /// planned for.
    #[arg(long, value_name = "SITE")]
    lose: Vec<String>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Write an SVG file that shows, for each loss, how much of each site is used.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// Prints the plans; returns whether all losses are borne.
///
/// # Errors
/// If the file can't be read or doesn't describe a layout that can be planned.
pub fn plan(options: &Options) -> Result<bool, String> {
    let Options { file, lose, format, plot } = options;
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    let layout = Layout::parse(&text).map_err(|e| format!("{}:{e}", file.display()))?;
    let names = || layout.sites.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(", ");
    let lost = lose.iter().map(|name| {
        layout.site(name).ok_or_else(|| format!("--lose: unknown site {name:?}, expected one of {}", names()))
    });
    let mut lost = lost.collect::<Result<Vec<_>, _>>()?;
    lost.sort();
    lost.dedup();
    let wanted = if lost.is_empty() { losses(&layout) } else { vec![lost] };
    let plans = wanted.iter().map(|lost| solve(&layout, lost)).collect::<Result<Vec<_>, _>>()?;
    let output = match format {
        Format::Text => plans.iter().map(|p| table(&layout, p)).collect(),
        Format::Json => {
            format!("{}\n", Value::from(plans.iter().map(|p| json_plan(&layout, p)).collect::<Vec<_>>()))
        }
    };
    match std::io::stdout().write_all(output.as_bytes()) {
        // The reader has closed the pipe.
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            return Err(format!("cannot write standard output: {e}"))
        }
        _ => {}
    }
    if let Some(to) = plot {
        draw(&layout, &plans, to).map_err(|e| format!("cannot draw {}: {e}", to.display()))?;
    }
    Ok(plans.iter().all(|p| p.verdict(&layout) != Verdict::NotBorne))
}

fn sites(layout: &Layout, lost: &[SiteId]) -> String {
    lost.iter().map(|s| layout.sites[s.0].name.as_str()).collect::<Vec<_>>().join(" and ")
}

fn floor_name(layout: &Layout, of: &Of) -> String {
    match of {
        Of::Class(c) => format!("class {}", layout.classes[*c].name),
        Of::Tenant(t) => format!("tenant {t}"),
    }
}

fn table(layout: &Layout, plan: &Outcome) -> String {
    let mut text = format!("loss of {}: {}\n", sites(layout, &plan.lost), plan.verdict(layout).name());
    let refused = plan.refused(layout);
    let _ = writeln!(
        text,
        "  {:<40} {:>9} {:>9} {:>9}  goes to",
        "requests a second", "asked", "served", "refused"
    );
    for (n, d) in layout.demands.iter().enumerate() {
        let tenant = d.tenant.as_ref().map(|t| format!(" of {t}")).unwrap_or_default();
        let cluster = layout.sets[d.set].cluster;
        let kind = format!(
            "{}: {}{tenant}, cluster {cluster}",
            layout.sites[d.site.0].name, layout.classes[d.class].name
        );
        let to = plan.flows.iter().filter(|f| f.demand == n).map(|f| {
            let primary = if f.primary { " (primary)" } else { "" };
            format!("{}{primary} {:.1}", layout.sites[f.to.0].name, f.rate)
        });
        let to = to.collect::<Vec<_>>().join(", ");
        let _ =
            writeln!(text, "  {kind:<40} {:>9.1} {:>9.1} {:>9.1}  {to}", d.rate, plan.served[n], refused[n]);
    }
    for u in &plan.used {
        let share = 100.0 * u.work / u.bears;
        let (cluster, site) = (layout.sets[u.set].cluster, &layout.sites[u.site.0].name);
        let _ = writeln!(
            text,
            "  cluster {cluster} at {site}: {:.2} of {:.2} s a second, {share:.0}%",
            u.work, u.bears
        );
    }
    for set in &plan.headless {
        let _ = writeln!(text, "  cluster {}: no site is left for its primary", layout.sets[*set].cluster);
    }
    for (f, short) in layout.floors.iter().zip(&plan.short).filter(|(_, s)| **s > 0.0) {
        let _ = writeln!(text, "  floor of {}: {short:.1} a second short", floor_name(layout, &f.of));
    }
    text
}

fn json_plan(layout: &Layout, plan: &Outcome) -> Value {
    let name = |s: SiteId| layout.sites[s.0].name.clone();
    let refused = plan.refused(layout);
    let demands = layout.demands.iter().enumerate().map(|(n, d)| {
        let flows = plan.flows.iter().filter(|f| f.demand == n);
        let flows = flows.map(|f| json!({"to": name(f.to), "primary": f.primary, "rate": f.rate}));
        json!({"site": name(d.site), "class": layout.classes[d.class].name, "cluster": layout.sets[d.set].cluster,
            "tenant": d.tenant, "asked": d.rate, "served": plan.served[n], "refused": refused[n],
            "flows": flows.collect::<Vec<_>>()})
    });
    let used = plan.used.iter().map(|u| {
        json!({"cluster": layout.sets[u.set].cluster, "site": name(u.site), "work": u.work, "bears": u.bears})
    });
    let short = layout.floors.iter().zip(&plan.short).filter(|(_, s)| **s > 0.0);
    let short = short.map(|(f, s)| json!({"floor": floor_name(layout, &f.of), "short": s}));
    let headless = plan.headless.iter().map(|s| layout.sets[*s].cluster);
    json!({"lost": plan.lost.iter().map(|s| name(*s)).collect::<Vec<_>>(), "verdict": plan.verdict(layout).name(),
        "worth": plan.worth, "demands": demands.collect::<Vec<_>>(), "used": used.collect::<Vec<_>>(),
        "short": short.collect::<Vec<_>>(), "headless": headless.collect::<Vec<_>>()})
}

/// Draws bars of how much of each site is used, for each loss.
fn draw(layout: &Layout, plans: &[Outcome], to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let bar = |plan: &Outcome, site: usize| {
        let at = plan.used.iter().filter(|u| u.site.0 == site);
        let (work, bears) = at.fold((0.0, 0.0), |a, u| (a.0 + u.work, a.1 + u.bears));
        if bears > 0.0 {
            work / bears
        } else {
            0.0
        }
    };
    let rows = plans.len() as u32;
    let root = SVGBackend::new(to, (900, 60 + 90 * rows)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, plan) in root.split_evenly((plans.len().max(1), 1)).iter().zip(plans) {
        let sites = layout.sites.len();
        let caption = format!("loss of {}: {}", self::sites(layout, &plan.lost), plan.verdict(layout).name());
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 14))
            .margin(4)
            .x_label_area_size(18)
            .y_label_area_size(36)
            .build_cartesian_2d(0.0..sites as f64, 0.0..1.1)?;
        let name = |x: &f64| layout.sites.get(*x as usize).map(|s| s.name.clone()).unwrap_or_default();
        let share = |y: &f64| format!("{:.0}%", y * 100.0);
        chart
            .configure_mesh()
            .disable_mesh()
            .x_labels(sites.min(20))
            .x_label_formatter(&name)
            .y_labels(3)
            .y_label_formatter(&share)
            .draw()?;
        chart.draw_series((0..sites).map(|s| {
            let x = s as f64;
            Rectangle::new([(x + 0.1, 0.0), (x + 0.9, bar(plan, s))], BLUE.mix(0.6).filled())
        }))?;
    }
    root.present()?;
    Ok(())
}
