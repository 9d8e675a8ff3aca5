//! Why requests got the final answer that they got, for the log and the figures.

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinalReason {
    /// Its client's wait was over when its turn came.
    Expired,
    /// It is beyond the plan for the loss of a site.
    SitePlan,
    /// No home proxy could be had.
    NoHome,
    /// A home proxy has refused it.
    HomeRefused,
    /// No attempt was begun: no db host had room for it in time.
    NeverSent,
    /// None of its attempts can have run.
    NeverRan,
    /// An attempt may have run.
    MayHaveRun,
    /// Its only answer may be another request's.
    AnswerUnclear,
    /// A db host said that the statement itself is wrong.
    Statement,
    /// A value broke off amid its parts.
    ValueCut,
    /// Its client has cancelled it.
    Cancelled,
    /// The process ends.
    Leaving,
    /// The decisions gave no answer in time.
    Overdue,
}

impl FinalReason {
    /// Its name in the log and the figures.
    pub fn name(self) -> &'static str {
        match self {
            FinalReason::Expired => "expired",
            FinalReason::SitePlan => "site_plan",
            FinalReason::NoHome => "no_home",
            FinalReason::HomeRefused => "home_refused",
            FinalReason::NeverSent => "never_sent",
            FinalReason::NeverRan => "never_ran",
            FinalReason::MayHaveRun => "may_have_run",
            FinalReason::AnswerUnclear => "answer_unclear",
            FinalReason::Statement => "statement",
            FinalReason::ValueCut => "value_cut",
            FinalReason::Cancelled => "cancelled",
            FinalReason::Leaving => "leaving",
            FinalReason::Overdue => "overdue",
        }
    }
}
