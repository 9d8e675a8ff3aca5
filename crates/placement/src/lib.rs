//! Which proxy serves which replica set. Proxies of a zone form groups; in each group, each set (or each part of a heavy set's
//! session buckets) has a few home proxies, and these alone connect to the set's db hosts. No I/O and no clock. Everything
//! follows from the roster, the sets and the settings, so all who hold the same ones agree without talking.
//! docs/placement.md tells the mechanism and the roads not taken.

mod budget;
mod file;
mod fleet;
mod groups;
mod homes;
mod roster;
mod route;
mod score;
mod sets;
mod settings;

pub use budget::{Acting, Budget};
pub use file::FileError;
pub use fleet::{Fleet, Placement, PlacementError};
pub use groups::{group_count, keep_group_count, Group, GroupId};
pub use homes::{Homes, Member};
pub use roster::{Proxy, Roster, RosterError, ZoneGroups};
pub use route::{route, DirectSets, Route, Source};
pub use sets::{Bucket, Set, SetError, Sets, BUCKETS};
pub use settings::{GroupSize, Settings, SettingsError};
