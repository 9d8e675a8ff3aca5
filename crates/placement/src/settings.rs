//! Settings of placement, from the operators' file alone.

use thiserror::Error;

use crate::sets::BUCKETS;

/// How many proxies a group has, about. A group never has more than `most` while the mean of its zone's groups is below that;
/// `least` and `most` together give the number of groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSize {
    /// Proxies, at least 1.
    pub least: u32,
    /// Proxies, at least `least`.
    pub most: u32,
}

/// Settings of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Proxies in a group.
    pub group_size: GroupSize,
    /// Homes of each part of a set in each group.
    pub homes: u32,
    /// Sets at once for which a proxy goes to the db hosts itself while no home can be had; 0 for none.
    pub direct_sets: u32,
    /// Versions of the roster that may be in force side by side.
    pub roster_versions: u32,
    /// Parts that a set is split into at most. Each part has homes of its own in each group, which a db host must bear; where this
    /// binds, a part weighs more than a quarter of a proxy's mean load, and loads may exceed 5/4 of it.
    pub most_parts: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            group_size: GroupSize { least: 100, most: 130 },
            homes: 2,
            direct_sets: 8,
            roster_versions: 2,
            most_parts: BUCKETS.into(),
        }
    }
}

/// What is wrong with settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// `group_size.least` is 0.
    #[error("is 0, expected 1 proxy or more")]
    NoLeast,
    /// `group_size.most` is below `least`.
    #[error("is {most}, expected least ({least}) or more")]
    MostBelowLeast {
        /// As set.
        least: u32,
        /// As set.
        most: u32,
    },
    /// `homes` is 0.
    #[error("is 0, expected 1 home or more")]
    NoHomes,
    /// `homes` is above `group_size.least`.
    #[error("is {homes}, but a group may have {least} proxies")]
    HomesAboveGroup {
        /// As set.
        homes: u32,
        /// As set.
        least: u32,
    },
    /// `roster_versions` is 0.
    #[error("is 0, expected 1 version or more")]
    NoVersions,
    /// `most_parts` is 0.
    #[error("is 0, expected 1 part or more")]
    NoParts,
}

impl SettingsError {
    /// The field in the file.
    pub fn field(self) -> &'static str {
        match self {
            SettingsError::NoLeast => "group_size.least",
            SettingsError::MostBelowLeast { .. } => "group_size.most",
            SettingsError::NoHomes | SettingsError::HomesAboveGroup { .. } => "homes",
            SettingsError::NoVersions => "roster_versions",
            SettingsError::NoParts => "most_parts",
        }
    }
}

impl Settings {
    /// Whether the settings fit each other.
    ///
    /// # Errors
    /// The first that doesn't.
    pub fn check(&self) -> Result<(), SettingsError> {
        let GroupSize { least, most } = self.group_size;
        if least == 0 {
            return Err(SettingsError::NoLeast);
        }
        if most < least {
            return Err(SettingsError::MostBelowLeast { least, most });
        }
        if self.homes == 0 {
            return Err(SettingsError::NoHomes);
        }
        if self.homes > least {
            return Err(SettingsError::HomesAboveGroup { homes: self.homes, least });
        }
        if self.roster_versions == 0 {
            return Err(SettingsError::NoVersions);
        }
        if self.most_parts == 0 {
            return Err(SettingsError::NoParts);
        }
        Ok(())
    }
}
