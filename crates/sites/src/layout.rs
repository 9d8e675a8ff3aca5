//! The operators' file: sites, sets, classes, links, demand. What is wrong with it is told with its line and field.

use std::collections::BTreeSet;

use gradeshunt_textproto::{Message, Schema};
use leadmast::Micros;

/// A site's place in [`Layout::sites`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub usize);

/// A place where db hosts and proxies fail together.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// As the list of db hosts names the zone.
    pub name: String,
    /// Proxies there.
    pub proxies: u32,
    /// Where its load goes when it is lost, and nowhere else.
    pub fallback: Option<SiteId>,
}

/// A set's db hosts in one site.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Which site.
    pub site: SiteId,
    /// How many.
    pub hosts: u32,
    /// Work that they do in a second, all together, in seconds.
    pub capacity: f64,
    /// How far they are behind, in milliseconds.
    pub lag_ms: f64,
}

/// A replica set.
#[derive(Clone, Debug, PartialEq)]
pub struct Set {
    /// Its number in requests.
    pub cluster: u64,
    /// One for each site that holds some.
    pub members: Vec<Members>,
    /// Where its primary can be, in order.
    pub primary: Vec<SiteId>,
}

impl Set {
    /// Its members in a site.
    pub fn at(&self, site: SiteId) -> Option<&Members> {
        self.members.iter().find(|m| m.site == site)
    }

    /// Where its primary is when these sites are lost.
    pub fn leads(&self, lost: &[SiteId]) -> Option<SiteId> {
        self.primary.iter().copied().find(|s| !lost.contains(s))
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// As the settings name it.
    pub name: String,
    /// Only the primary takes it.
    pub write: bool,
    /// Work of one, in seconds.
    pub work: f64,
    /// Worth of one that is served.
    pub worth: f64,
    /// How old a read's data may be, in milliseconds; infinite where any age will do.
    pub bound_ms: f64,
    /// Work of each replica that applies a write, in seconds.
    pub replay: f64,
}

/// What it costs to send a request from one site to another, and how many a second may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// From where.
    pub from: SiteId,
    /// Where to.
    pub to: SiteId,
    /// In terms of worth.
    pub price: f64,
    /// Requests a second; infinite without a bound.
    pub rate: f64,
}

/// Requests of one kind that come from one site.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Whence.
    pub site: SiteId,
    /// Place in [`Layout::classes`].
    pub class: usize,
    /// Place in [`Layout::sets`].
    pub set: usize,
    /// Whose, where that counts.
    pub tenant: Option<String>,
    /// Requests a second.
    pub rate: f64,
}

/// Of what a floor speaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Of {
    /// A class, by its place.
    Class(usize),
    /// A tenant, by name.
    Tenant(String),
}

/// The share of a class's or a tenant's requests that is served whatever is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Floor {
    /// Whose.
    pub of: Of,
    /// Which share, over 0 and up to 1.
    pub share: f64,
}

/// When a site counts as lost, and how it comes back. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// None of its db hosts was heard for so long.
    pub lost_after: Micros,
    /// Each proxy probes a lost site so often.
    pub probe_every: Micros,
    /// So long after its db hosts answer.
    pub hold: Micros,
    /// And so long at most.
    pub hold_most: Micros,
    /// A loss is forgotten after so long.
    pub flap_memory: Micros,
    /// Each step of a warm site, at least.
    pub step: Micros,
    /// New connections a second from all proxies.
    pub connects: f64,
}

/// The whole file.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    /// In the order of the file, as all that follows.
    pub sites: Vec<Site>,
    /// Replica sets.
    pub sets: Vec<Set>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Links.
    pub links: Vec<Link>,
    /// Demand.
    pub demands: Vec<Demand>,
    /// Floors.
    pub floors: Vec<Floor>,
    /// The share of each capacity that is planned with.
    pub headroom: f64,
    /// Loss and return.
    pub pace: Pace,
}

type Result<T> = std::result::Result<T, String>;

impl Layout {
    /// Reads the text of a file.
    ///
    /// # Errors
    /// What is wrong with it: its line, its field, and what was expected.
    pub fn parse(text: &str) -> Result<Layout> {
        let schema =
            Schema::new("sites.proto", include_str!("../proto/sites.proto"), "gradeshunt.sites.Sites")?;
        let file = schema.parse(text)?;
        let list = file.list("site");
        let names = distinct(&list, "name", |s| s.text("name"))?;
        if names.is_empty() {
            return Err(file.wrong("site", "missing: a plan needs one site at least"));
        }
        let site = |m: &Message, field: &str| by_name(m, field, &m.text(field), &names);
        let sites = list.iter().map(|s| {
            let fallback = s.has("fallback").then(|| site(s, "fallback")).transpose()?;
            let proxies = whole(s, "proxies", 0)?;
            Ok(Site { name: s.text("name"), proxies, fallback: fallback.map(SiteId) })
        });
        let sites = sites.collect::<Result<Vec<_>>>()?;
        acyclic(&list, &sites)?;
        let list = file.list("class");
        let class_names = distinct(&list, "name", |c| c.text("name"))?;
        let classes = list.iter().map(class).collect::<Result<Vec<_>>>()?;
        let list = file.list("set");
        let clusters = distinct(&list, "cluster", |s| s.number("cluster").to_string())?;
        let sets = list.iter().map(|s| set(s, &names)).collect::<Result<Vec<_>>>()?;
        let mut links = Vec::new();
        for l in file.list("link") {
            let (from, to) = (SiteId(site(&l, "from")?), SiteId(site(&l, "to")?));
            if from == to {
                return Err(l.wrong("to", "the same site as from: a link joins two"));
            }
            if links.iter().any(|k: &Link| (k.from, k.to) == (from, to)) {
                return Err(l.wrong("to", "this link is given twice"));
            }
            let rate = if l.has("rate") { amount(&l, "rate")? } else { f64::INFINITY };
            links.push(Link { from, to, price: or(&l, "price", 0.0)?, rate });
        }
        let demands = file.list("demand");
        let demands = demands.iter().map(|d| {
            let tenant = Some(d.text("tenant")).filter(|t| !t.is_empty());
            Ok(Demand {
                site: SiteId(site(d, "site")?),
                class: by_name(d, "class", &d.text("class"), &class_names)?,
                set: by_name(d, "cluster", &d.number("cluster").to_string(), &clusters)?,
                tenant,
                rate: amount(d, "rate")?,
            })
        });
        let demands = demands.collect::<Result<Vec<_>>>()?;
        let floors = file.list("floor");
        let floors = floors.iter().map(|f| floor(f, &class_names, &demands)).collect::<Result<Vec<_>>>()?;
        let headroom = or(&file, "headroom", 0.85)?;
        if headroom <= 0.0 || headroom > 1.0 {
            return Err(file.wrong("headroom", &format!("is {headroom}, expected over 0 and up to 1")));
        }
        let pace = pace(&file)?;
        Ok(Layout { sites, sets, classes, links, demands, floors, headroom, pace })
    }

    /// A site by its name.
    pub fn site(&self, name: &str) -> Option<SiteId> {
        self.sites.iter().position(|s| s.name == name).map(SiteId)
    }

    /// What it costs to send one request from a site to another; links that are not given cost nothing.
    pub fn link(&self, from: SiteId, to: SiteId) -> Option<&Link> {
        self.links.iter().find(|l| (l.from, l.to) == (from, to))
    }

    /// Where the load of a site may go when these are lost: `None` for anywhere.
    pub fn bound_for(&self, from: SiteId, lost: &[SiteId]) -> Option<SiteId> {
        let mut at = from;
        while lost.contains(&at) {
            at = self.sites[at.0].fallback?;
        }
        (at != from).then_some(at)
    }

    /// Whether members in a site may answer reads of a class by their lag.
    pub fn fresh(&self, class: &Class, members: &Members) -> bool {
        members.lag_ms <= class.bound_ms
    }

    /// The floor of a demand: the largest of those that speak of it.
    pub fn floor(&self, class: usize, tenant: Option<&str>) -> f64 {
        let speaks = |f: &&Floor| match &f.of {
            Of::Class(c) => *c == class,
            Of::Tenant(t) => Some(t.as_str()) == tenant,
        };
        self.floors.iter().filter(speaks).map(|f| f.share).fold(0.0, f64::max)
    }
}

/// The names of a list's messages, each given once.
fn distinct(list: &[Message], field: &str, name: impl Fn(&Message) -> String) -> Result<Vec<String>> {
    let mut names = Vec::new();
    for m in list {
        let name = name(m);
        if name.is_empty() {
            return Err(m.wrong(field, "missing, expected a name"));
        }
        if names.contains(&name) {
            return Err(m.wrong(field, &format!("{name:?} is given twice")));
        }
        names.push(name);
    }
    Ok(names)
}

fn by_name(m: &Message, field: &str, name: &str, names: &[String]) -> Result<usize> {
    let at = names.iter().position(|n| n == name);
    at.ok_or_else(|| m.wrong(field, &format!("unknown {name:?}, expected one of {}", names.join(", "))))
}

/// A number of zero or more that has to be given.
fn amount(m: &Message, field: &str) -> Result<f64> {
    let value =
        m.fraction(field).ok_or_else(|| m.wrong(field, "missing, expected a number of zero or more"))?;
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(m.wrong(field, &format!("is {value}, expected a number of zero or more")))
    }
}

fn or(m: &Message, field: &str, usual: f64) -> Result<f64> {
    if m.has(field) {
        amount(m, field)
    } else {
        Ok(usual)
    }
}

fn positive(m: &Message, field: &str) -> Result<f64> {
    match amount(m, field)? {
        0.0 => Err(m.wrong(field, "is 0, expected more")),
        value => Ok(value),
    }
}

fn whole(m: &Message, field: &str, least: u32) -> Result<u32> {
    if !m.has(field) {
        return Err(m.wrong(field, &format!("missing, expected a whole number of {least} or more")));
    }
    let value = m.number(field);
    let fits = u32::try_from(value).ok().filter(|v| *v >= least);
    fits.ok_or_else(|| m.wrong(field, &format!("is {value}, expected {least} or more")))
}

fn class(m: &Message) -> Result<Class> {
    let write = match m.word("access") {
        1 => false,
        2 => true,
        _ => return Err(m.wrong("access", "missing, expected READ or WRITE")),
    };
    let (odd, why) = if write {
        ("bound_ms", "a write has no bound on age: only the primary takes it")
    } else {
        ("replay_ms", "a read is not applied by replicas")
    };
    if m.has(odd) {
        return Err(m.wrong(odd, why));
    }
    Ok(Class {
        name: m.text("name"),
        write,
        work: positive(m, "work_ms")? / 1000.0,
        worth: positive(m, "worth")?,
        bound_ms: if write { 0.0 } else { or(m, "bound_ms", f64::INFINITY)? },
        replay: or(m, "replay_ms", 0.0)? / 1000.0,
    })
}

fn set(m: &Message, names: &[String]) -> Result<Set> {
    let mut members: Vec<Members> = Vec::new();
    for at in m.list("members") {
        let site = SiteId(by_name(&at, "site", &at.text("site"), names)?);
        if members.iter().any(|m| m.site == site) {
            return Err(at.wrong("site", &format!("{:?} is given twice", names[site.0])));
        }
        let (hosts, capacity) = (whole(&at, "hosts", 1)?, positive(&at, "capacity")?);
        members.push(Members { site, hosts, capacity, lag_ms: or(&at, "lag_ms", 0.0)? });
    }
    if members.is_empty() {
        return Err(m.wrong("members", "missing, expected the db hosts of one site at least"));
    }
    let mut primary = Vec::new();
    for name in m.texts("primary") {
        let site = SiteId(by_name(m, "primary", &name, names)?);
        if !members.iter().any(|m| m.site == site) {
            return Err(m.wrong("primary", &format!("the set has no members in {name:?}")));
        }
        if primary.contains(&site) {
            return Err(m.wrong("primary", &format!("{name:?} is given twice")));
        }
        primary.push(site);
    }
    if primary.is_empty() {
        return Err(m.wrong("primary", "missing, expected the sites where its primary can be"));
    }
    Ok(Set { cluster: m.number("cluster"), members, primary })
}

fn floor(m: &Message, classes: &[String], demands: &[Demand]) -> Result<Floor> {
    let (class, tenant) = (m.text("class"), m.text("tenant"));
    let of = match (class.is_empty(), tenant.is_empty()) {
        (false, true) => Of::Class(by_name(m, "class", &class, classes)?),
        (true, false) => {
            let known: BTreeSet<_> = demands.iter().filter_map(|d| d.tenant.clone()).collect();
            let known: Vec<_> = known.into_iter().collect();
            by_name(m, "tenant", &tenant, &known)?;
            Of::Tenant(tenant)
        }
        _ => return Err(m.wrong("", "expected a class or a tenant, and one of them")),
    };
    let share = amount(m, "share")?;
    if share <= 0.0 || share > 1.0 {
        return Err(m.wrong("share", &format!("is {share}, expected over 0 and up to 1")));
    }
    Ok(Floor { of, share })
}

/// A chain of fallbacks ends.
fn acyclic(list: &[Message], sites: &[Site]) -> Result<()> {
    for (n, m) in list.iter().enumerate() {
        let (mut at, mut chain) = (n, vec![n]);
        while let Some(SiteId(next)) = sites[at].fallback {
            chain.push(next);
            if next == n {
                let names: Vec<_> = chain.iter().map(|s| sites[*s].name.as_str()).collect();
                let what = format!("leads back to itself ({}), expected a chain that ends: the last site names none, and its load goes by price", names.join(" -> "));
                return Err(m.wrong("fallback", &what));
            }
            if chain.len() > sites.len() {
                // A circle that this one only leads into is told of its own sites.
                break;
            }
            at = next;
        }
    }
    Ok(())
}

fn pace(file: &Message) -> Result<Pace> {
    let (loss, back) = (file.inner("loss"), file.inner("return"));
    let ms = |m: &Option<Message>, field: &str, usual: u32| {
        let Some(m) = m.as_ref().filter(|m| m.has(field)) else { return Ok(usual) };
        whole(m, field, 1)
    };
    let time = |ms: u32| Micros::from(ms) * 1000;
    let connects = match &back {
        Some(b) if b.has("connects") => positive(b, "connects")?,
        _ => 200.0,
    };
    let (hold, most) = (ms(&back, "hold_ms", 5_000)?, ms(&back, "hold_most_ms", 120_000)?);
    if most < hold {
        let at = back.as_ref().unwrap_or(file);
        return Err(at.wrong("hold_most_ms", &format!("is {most}, expected hold_ms ({hold}) or more")));
    }
    Ok(Pace {
        lost_after: time(ms(&loss, "lost_after_ms", 1_000)?),
        probe_every: time(ms(&loss, "probe_every_ms", 1_000)?),
        hold: time(hold),
        hold_most: time(most),
        flap_memory: time(ms(&back, "flap_memory_ms", 600_000)?),
        step: time(ms(&back, "step_ms", 500)?),
        connects,
    })
}
