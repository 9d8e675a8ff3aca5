//! A calculation that can be both worked out and written down, so that the text can't tell another one than was done.

use crate::units::Unit;

/// One factor of a product.
#[derive(Clone, Debug, PartialEq)]
pub enum Factor {
    /// Multiply by `value`; `text` tells it with what it counts.
    Times {
        /// The value.
        value: f64,
        /// The value as written, with what it counts.
        text: String,
    },
    /// Divide by `value`; `text` tells it with what it counts.
    Over {
        /// The value.
        value: f64,
        /// The value as written, with what it counts.
        text: String,
    },
    /// Multiply by what the record gives for a series or figure.
    Measured {
        /// Its name in the record.
        name: &'static str,
        /// The value.
        value: f64,
        /// The value as written.
        text: String,
        /// Whether the line predicted the further size within the bound; `true` for a figure.
        confirmed: bool,
    },
    /// The record lacks this series or figure, or what it gives is noise.
    Missing {
        /// Its name in the record.
        name: &'static str,
    },
}

impl Factor {
    /// Multiply by `value`, which counts `what`.
    pub fn times(value: f64, what: &str) -> Factor {
        Factor::Times { value, text: Unit::Count.show(value) + " " + what }
    }

    /// Multiply by `value`, a part of one; `what` tells of what.
    pub fn share(value: f64, what: &str) -> Factor {
        Factor::Times { value, text: Unit::Share.show(value) + " " + what }
    }

    /// Divide by `value`, which counts `what`.
    pub fn over(value: f64, what: &str) -> Factor {
        Factor::Over { value, text: Unit::Count.show(value) + " " + what }
    }
}

/// The sum of some products.
#[derive(Clone, Debug, PartialEq)]
pub struct Formula(Vec<Vec<Factor>>);

/// What a formula comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A value, in the unit of its quantity.
    Value(f64),
    /// The record lacks these series or figures.
    NotMeasured(Vec<&'static str>),
}

impl Outcome {
    /// The value, where there is one.
    pub fn value(&self) -> Option<f64> {
        match self {
            Outcome::Value(value) => Some(*value),
            Outcome::NotMeasured(_) => None,
        }
    }

    /// The value in `unit`, or "not measured".
    pub fn show(&self, unit: Unit) -> String {
        match self {
            Outcome::Value(value) => unit.show(*value),
            Outcome::NotMeasured(_) => "not measured".to_owned(),
        }
    }
}

impl Formula {
    /// One product.
    pub fn product(factors: impl Into<Vec<Factor>>) -> Formula {
        Formula(vec![factors.into()])
    }

    /// This and another product.
    pub fn plus(mut self, factors: impl Into<Vec<Factor>>) -> Formula {
        self.0.push(factors.into());
        self
    }

    /// What it comes to.
    pub fn outcome(&self) -> Outcome {
        let missing = self.missing();
        if !missing.is_empty() {
            return Outcome::NotMeasured(missing);
        }
        Outcome::Value(self.0.iter().map(|product| product.iter().fold(1.0, apply)).sum())
    }

    /// The names of the series and figures that the record lacks.
    pub fn missing(&self) -> Vec<&'static str> {
        self.names(|factor| match factor {
            Factor::Missing { name } => Some(*name),
            _ => None,
        })
    }

    /// The names of the series whose line did not predict the further size within the bound.
    pub fn unconfirmed(&self) -> Vec<&'static str> {
        self.names(|factor| match factor {
            Factor::Measured { name, confirmed: false, .. } => Some(*name),
            _ => None,
        })
    }

    /// Whether anything in it is measured, or would be.
    pub fn is_measured(&self) -> bool {
        let measured = |factor: &Factor| matches!(factor, Factor::Measured { .. } | Factor::Missing { .. });
        self.0.iter().flatten().any(measured)
    }

    fn names(&self, pick: impl Fn(&Factor) -> Option<&'static str>) -> Vec<&'static str> {
        let mut names: Vec<_> = self.0.iter().flatten().filter_map(pick).collect();
        names.dedup();
        names
    }

    /// The calculation as written.
    pub fn text(&self) -> String {
        self.0.iter().map(|product| product_text(product)).collect::<Vec<_>>().join(" + ")
    }
}

fn apply(so_far: f64, factor: &Factor) -> f64 {
    match factor {
        Factor::Times { value, .. } | Factor::Measured { value, .. } => so_far * value,
        Factor::Over { value, .. } => so_far / value,
        Factor::Missing { .. } => f64::NAN,
    }
}

fn product_text(factors: &[Factor]) -> String {
    let mut text = String::new();
    for factor in factors {
        let (sign, part) = match factor {
            Factor::Times { text, .. } => (" × ", text.clone()),
            Factor::Over { text, .. } => (" / ", text.clone()),
            Factor::Measured { text, name, .. } => (" × ", format!("{text} [`{name}`]")),
            Factor::Missing { name } => (" × ", format!("[`{name}`: not measured]")),
        };
        if !text.is_empty() {
            text.push_str(sign);
        }
        text.push_str(&part);
    }
    text
}
