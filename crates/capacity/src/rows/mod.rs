//! The rows of the page: what each role has to bear at the size that is designed for, by event.

mod control;
mod data_path;
mod db_host;
mod discovery;
mod machines;
mod operators;

use crate::formula::{Formula, Outcome};
use crate::model::Model;
use crate::units::Unit;

/// Who bears something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A proxy's data path: clients, statements, connections to db hosts.
    DataPath,
    /// A proxy's control: the list of db hosts and its changes.
    Control,
    /// A db host.
    DbHost,
    /// Discovery as a whole.
    Discovery,
    /// One of the machines that are set aside for control.
    ControlMachine,
    /// The operators' figures and log.
    Operators,
}

/// All roles, in the order of the page.
pub const ROLES: [Role; 6] =
    [Role::DataPath, Role::Control, Role::DbHost, Role::Discovery, Role::ControlMachine, Role::Operators];

impl Role {
    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::DataPath => "a proxy's data path",
            Role::Control => "a proxy's control",
            Role::DbHost => "a db host",
            Role::Discovery => "discovery",
            Role::ControlMachine => "a control machine",
            Role::Operators => "figures and log",
        }
    }
}

/// When it is borne.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// An ordinary day, in the mean.
    OrdinaryDay,
    /// A set's primary changes.
    PrimaryChange,
    /// Configuration changes come in a burst.
    ChangeBurst,
    /// Machines fail, are restarted and replaced, as on each day.
    FailuresAndRestarts,
    /// All watches are cut at once and come back.
    WatchesCut,
    /// A rack or its switch goes.
    RackLost,
    /// A zone goes.
    ZoneLost,
    /// A zone comes back.
    ZoneReturns,
    /// A region has been cut off for an hour and is reached again.
    RegionCutOff,
    /// All proxies are restarted, in waves.
    Release,
}

/// All events, in the order of the page.
pub const EVENTS: [Event; 10] = [
    Event::OrdinaryDay,
    Event::PrimaryChange,
    Event::ChangeBurst,
    Event::FailuresAndRestarts,
    Event::WatchesCut,
    Event::RackLost,
    Event::ZoneLost,
    Event::ZoneReturns,
    Event::RegionCutOff,
    Event::Release,
];

impl Event {
    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Event::OrdinaryDay => "ordinary day",
            Event::PrimaryChange => "a primary changes",
            Event::ChangeBurst => "a burst of changes",
            Event::FailuresAndRestarts => "39 failures, 1,500 restarts",
            Event::WatchesCut => "all watches cut",
            Event::RackLost => "a rack goes",
            Event::ZoneLost => "a zone goes",
            Event::ZoneReturns => "a zone returns",
            Event::RegionCutOff => "a region cut off for an hour",
            Event::Release => "a release of all",
        }
    }
}

/// What today's program has to bear a quantity with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// This carries it, or bounds it.
    Present(&'static str),
    /// Nothing does; what is lacking.
    Missing(&'static str),
}

/// What a quantity may come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The value, in the unit of the quantity.
    pub value: f64,
    /// What states it, where that is not plain from the quantity.
    pub note: &'static str,
}

/// One quantity of one role at one event.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Who bears it.
    pub role: Role,
    /// When.
    pub event: Event,
    /// What.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// What it comes to.
    pub formula: Formula,
    /// What it may come to, where that is stated.
    pub limit: Option<Limit>,
    /// What bears it.
    pub mechanism: Mechanism,
}

impl Row {
    /// The value over the limit, where both are known.
    pub fn over(&self) -> Option<f64> {
        Some(self.formula.outcome().value()? / self.limit?.value)
    }

    /// What it comes to.
    pub fn outcome(&self) -> Outcome {
        self.formula.outcome()
    }

    /// Whether `other` is about the same quantity of the same role at the same event.
    pub fn is_about_the_same(&self, other: &Row) -> bool {
        (self.role, self.event, self.quantity) == (other.role, other.event, other.quantity)
    }
}

/// A limit that is stated for just this quantity.
fn limit(value: f64) -> Option<Limit> {
    Some(Limit { value, note: "" })
}

/// A limit that needs a word on what states it.
fn limit_by(value: f64, note: &'static str) -> Option<Limit> {
    Some(Limit { value, note })
}

/// All rows, in the order of roles and events.
pub fn all(model: &Model<'_>) -> Vec<Row> {
    let mut rows = Vec::new();
    rows.extend(data_path::rows(model));
    rows.extend(control::rows(model));
    rows.extend(db_host::rows(model));
    rows.extend(discovery::rows(model));
    rows.extend(machines::rows(model));
    rows.extend(operators::rows(model));
    rows.sort_by_key(|row| (row.role, row.event));
    rows
}

/// All rows by how far they are over what is allowed: first those with a ratio, the highest first; then those
/// without a stated limit; last what is not measured.
pub fn ranked(model: &Model<'_>) -> Vec<Row> {
    let mut rows = all(model);
    // Rows of one rank keep their order.
    rows.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
    rows
}

/// Sorts ascending: the negated ratio, then the classes without one.
fn rank(row: &Row) -> f64 {
    const WITHOUT_LIMIT: f64 = 1.0;
    const NOT_MEASURED: f64 = 2.0;
    match (row.over(), row.outcome()) {
        (Some(over), _) => -over.max(0.0),
        (None, Outcome::Value(_)) => WITHOUT_LIMIT,
        (None, Outcome::NotMeasured(_)) => NOT_MEASURED,
    }
}
