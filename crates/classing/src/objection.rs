//! Why a statement is not called a read.

use crate::verdict::Access;

/// Why a judge does not call a statement a read.
pub(crate) struct Objection {
    /// What the statement counts as.
    pub(crate) access: Access,
    pub(crate) why: String,
}

impl Objection {
    pub(crate) fn write(why: impl Into<String>) -> Self {
        Objection { access: Access::Write, why: why.into() }
    }

    pub(crate) fn unknown_kind() -> Self {
        let why = "no statement of this kind is known to change nothing".to_owned();
        Objection { access: Access::Unknown, why }
    }
}
