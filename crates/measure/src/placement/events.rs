//! What moves when one proxy leaves the roster, or can't be had for a while.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread;

use gradeshunt_placement::{Fleet, Group, Homes, Member};

use super::model::Model;

/// Zones looked at at once.
const THREADS: usize = 3;

/// What leaving and being away came to, over all proxies that were looked at.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moves {
    /// Proxies looked at.
    pub looked_at: usize,
    /// One leaves the roster: the sets that move in its groups, as a multiple of (sets / proxies of the group): the mean and the most.
    pub left_mean: f64,
    pub left_most: f64,
    /// How many of those moved more than twice that.
    pub left_over: usize,
    /// Other proxies that changed their group: the most for one that left.
    pub regrouped_most: usize,
    /// One is away and stays in the roster: the sets that its second homes take, likewise.
    pub away_mean: f64,
    /// The largest load of a proxy while one is away, in terms of its group's mean.
    pub away_load_most: f64,
}

impl Moves {
    fn add(&mut self, other: &Moves) {
        let (before, more) = (self.looked_at as f64, other.looked_at as f64);
        let mean = |a: f64, b: f64| {
            if before + more > 0.0 {
                (a * before + b * more) / (before + more)
            } else {
                0.0
            }
        };
        self.left_mean = mean(self.left_mean, other.left_mean);
        self.away_mean = mean(self.away_mean, other.away_mean);
        self.looked_at += other.looked_at;
        self.left_over += other.left_over;
        self.left_most = self.left_most.max(other.left_most);
        self.regrouped_most = self.regrouped_most.max(other.regrouped_most);
        self.away_load_most = self.away_load_most.max(other.away_load_most);
    }
}

/// Looks at each `step`-th proxy of each zone.
pub fn moves(model: &Model, step: usize) -> Result<Moves, String> {
    let (next, all) = (AtomicU32::new(0), Mutex::new(Ok(Moves::default())));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let zone = next.fetch_add(1, Ordering::Relaxed);
                if zone >= model.zones {
                    return;
                }
                let of_zone = zone_moves(model, zone, step);
                let mut all = all.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                match (all.as_mut(), of_zone) {
                    (Ok(all), Ok(of_zone)) => all.add(&of_zone),
                    (Ok(_), Err(error)) => *all = Err(error),
                    (Err(_), _) => {}
                }
            });
        }
    });
    all.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A zone's groups depend on nothing outside of it, so it is looked at alone.
fn zone_moves(model: &Model, zone: u32, step: usize) -> Result<Moves, String> {
    let proxies = model.zone(zone);
    let before = model.fleet_of(proxies.clone())?;
    let homes: Vec<Homes> = before.groups().iter().map(|group| before.homes(group)).collect();
    let mut moves = Moves::default();
    for place in (0..proxies.len()).step_by(step) {
        let mut left = proxies.clone();
        let gone = left.remove(place);
        let after = model.fleet_of(left)?;
        let mut one = leaves(&before, &homes, &after, &gone.name);
        let own = before.groups().iter().zip(&homes).find_map(|(group, homes)| {
            let place = group.proxies.iter().position(|proxy| proxy.name == gone.name)?;
            Some((homes, Member(u32::try_from(place).ok()?)))
        });
        if let Some((homes, member)) = own {
            one.away_mean = homes.sets_at(member) * homes.names().len() as f64 / before.sets().len() as f64;
            one.away_load_most = load_while_away(homes, member, &before);
        }
        moves.add(&one);
    }
    Ok(moves)
}

/// What moves in all groups of the zone when one proxy leaves; the largest of them counts.
fn leaves(before: &Fleet, homes: &[Homes], after: &Fleet, gone: &str) -> Moves {
    let mut most = 0.0_f64;
    for (group, then) in before.groups().iter().zip(homes) {
        let now = after.groups().iter().find(|g| g.id == group.id);
        if now.is_some_and(|now| now.proxies == group.proxies) {
            continue;
        }
        let moved = now.map_or(before.sets().len() as f64, |now| after.homes(now).sets_moved(then));
        most = most.max(moved * group.proxies.len() as f64 / before.sets().len() as f64);
    }
    let in_group = |groups: &[Group], name: &str| {
        groups.iter().find(|g| g.proxies.iter().any(|p| p.name == name)).map(|g| g.id.clone())
    };
    let others = before.groups().iter().flat_map(|g| g.proxies.iter().map(|p| (p.name.as_str(), &g.id)));
    let regrouped = others
        .filter(|(name, id)| *name != gone && in_group(after.groups(), name).as_ref() != Some(id))
        .count();
    Moves {
        looked_at: 1,
        left_mean: most,
        left_most: most,
        left_over: usize::from(most > 2.0),
        regrouped_most: regrouped,
        ..Moves::default()
    }
}

/// The largest load in the group while the second homes of one proxy serve what it served.
fn load_while_away(homes: &Homes, away: Member, fleet: &Fleet) -> f64 {
    let count = homes.names().len();
    let member = |place: usize| Member(u32::try_from(place).unwrap_or(u32::MAX));
    let mut loads: Vec<f64> = (0..count).map(|place| homes.relative_load(member(place))).collect();
    for (cluster, parts) in homes.parts() {
        let part = fleet.sets().share(cluster) / parts.len() as f64 * count as f64;
        for list in parts.iter().filter(|list| list.first() == Some(&away)) {
            if let Some(second) = list.get(1) {
                loads[second.0 as usize] += part;
            }
        }
    }
    loads[away.0 as usize] = 0.0;
    loads.into_iter().fold(0.0, f64::max)
}
