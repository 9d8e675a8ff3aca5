//! Numbers as the page writes them.

/// The unit of a calculated quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A number of things.
    Count,
    /// A number of things a second.
    PerSecond,
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Processor seconds a second.
    Cores,
    /// A part of one.
    Share,
}

/// What kind of thing a unit measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Things that are held: connections, watches, statements under way.
    State,
    /// What is sent or asked for.
    Messages,
    /// Processor time.
    Processor,
    /// Bytes that are held.
    Memory,
    /// Time that something takes.
    Time,
}

/// All resources, in the order of the page.
pub const RESOURCES: [Resource; 5] =
    [Resource::State, Resource::Messages, Resource::Processor, Resource::Memory, Resource::Time];

impl Resource {
    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Resource::State => "state",
            Resource::Messages => "messages",
            Resource::Processor => "processor time",
            Resource::Memory => "memory",
            Resource::Time => "time taken",
        }
    }
}

impl Unit {
    /// What kind of thing it measures.
    pub fn resource(self) -> Resource {
        match self {
            Unit::Count => Resource::State,
            Unit::PerSecond | Unit::BytesPerSecond | Unit::Share => Resource::Messages,
            Unit::Cores => Resource::Processor,
            Unit::Bytes => Resource::Memory,
            Unit::Seconds => Resource::Time,
        }
    }

    /// `value` with its unit, to three significant digits where it is below a hundred.
    pub fn show(self, value: f64) -> String {
        match self {
            Unit::Count => number(value),
            Unit::PerSecond => format!("{}/s", number(value)),
            Unit::Bytes => bytes(value),
            Unit::BytesPerSecond => format!("{}/s", bytes(value)),
            Unit::Seconds => seconds(value),
            Unit::Cores if value.abs() < 1.0 => format!("{}% of a core", number(value * 100.0)),
            Unit::Cores => format!("{} cores", number(value)),
            Unit::Share => format!("{}%", number(value * 100.0)),
        }
    }
}

fn bytes(value: f64) -> String {
    match value.abs() {
        size if size >= 1e9 => format!("{} GB", number(value / 1e9)),
        size if size >= 1e6 => format!("{} MB", number(value / 1e6)),
        size if size >= 1e3 => format!("{} KB", number(value / 1e3)),
        _ => format!("{} B", number(value)),
    }
}

fn seconds(value: f64) -> String {
    match value.abs() {
        time if time >= 1.0 || time == 0.0 => format!("{} s", number(value)),
        time if time >= 1e-3 => format!("{} ms", number(value * 1e3)),
        _ => format!("{} us", number(value * 1e6)),
    }
}

/// The least value that is written without an exponent.
const LEAST_PLAIN: f64 = 1e-3;

/// A number: whole with commas from a hundred on, to three significant digits below, with an exponent below a thousandth.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".to_owned();
    }
    if size < LEAST_PLAIN {
        return format!("{value:.2e}");
    }
    if size >= 99.95 {
        return with_commas(value.round());
    }
    let decimals = if size >= 9.995 {
        1
    } else if size >= 0.9995 {
        2
    } else if size >= 0.09995 {
        3
    } else if size >= 0.009995 {
        4
    } else {
        5
    };
    let text = format!("{value:.decimals$}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn with_commas(whole: f64) -> String {
    let digits = format!("{:.0}", whole.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if whole < 0.0 {
        text.insert(0, '-');
    }
    text
}
