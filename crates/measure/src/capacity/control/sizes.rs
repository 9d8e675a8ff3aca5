//! The sizes that slopes are measured at. The last of each five is no part of the fit: the line has to predict it.

use std::time::Duration;

use crate::capacity::Scale;

/// Sizes and repetitions of one run.
pub struct Sizes {
    /// Db hosts listed.
    pub hosts: [usize; 5],
    /// Proxies before discovery.
    pub proxies: [usize; 5],
    /// Changes of the list.
    pub changes: [usize; 5],
    /// Hollow proxies for what a list costs each.
    pub list_proxies: usize,
    /// Rounds of which the least counts, where processor time is measured.
    pub rounds: usize,
    /// Db hosts listed while changes are counted.
    pub change_hosts: usize,
    /// Db hosts listed before many proxies.
    pub fleet_hosts: usize,
    /// Changes at each number of proxies, in each round.
    pub fleet_changes: usize,
    /// How long idle proxies and discovery are watched, in each round.
    pub idle: Duration,
    /// Waves in which all proxies are restarted, and the time between the beginnings of two at least.
    pub waves: usize,
    /// See [`Sizes::waves`].
    pub wave_pace: Duration,
    /// Real processes at each number of db hosts.
    pub real_each: usize,
    /// How long real processes are watched while they are idle.
    pub real_idle: Duration,
    /// Real processes beside as many hollow ones, and the db hosts that they know.
    pub beside: usize,
    /// See [`Sizes::beside`].
    pub beside_hosts: usize,
    /// Changes that those take in.
    pub beside_changes: usize,
}

impl Sizes {
    /// The sizes of a run of this scale.
    pub fn of(scale: Scale) -> Sizes {
        match scale {
            Scale::Quick => Sizes {
                hosts: [30, 60, 90, 120, 180],
                proxies: [8, 16, 24, 32, 48],
                changes: [4, 8, 12, 16, 24],
                list_proxies: 3,
                rounds: 1,
                change_hosts: 60,
                fleet_hosts: 30,
                fleet_changes: 3,
                idle: Duration::from_millis(2_100),
                waves: 4,
                wave_pace: Duration::from_millis(50),
                real_each: 1,
                real_idle: Duration::from_secs(1),
                beside: 4,
                beside_hosts: 60,
                beside_changes: 5,
            },
            Scale::Whole => Sizes {
                hosts: [600, 1_500, 3_000, 4_500, 6_700],
                proxies: [300, 500, 700, 900, 1_200],
                changes: [100, 200, 300, 400, 600],
                list_proxies: 8,
                rounds: 5,
                change_hosts: 6_700,
                fleet_hosts: 600,
                fleet_changes: 10,
                idle: Duration::from_secs(4),
                waves: 20,
                wave_pace: Duration::from_secs(1),
                real_each: 3,
                real_idle: Duration::from_secs(20),
                beside: 24,
                beside_hosts: 6_700,
                beside_changes: 100,
            },
        }
    }
}
