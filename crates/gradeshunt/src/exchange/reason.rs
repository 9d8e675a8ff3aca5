//! Reasons for which requests are not served, for the log and the metrics.

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinalReason {
    /// The client's wait time ended while the request was queued.
    Expired,
    /// The plan for the loss of a site does not admit it.
    SitePlan,
    /// No home proxy was available.
    NoHome,
    /// A home proxy refused it.
    HomeRefused,
    /// No attempt was begun: no db host had room for it in time.
    NeverSent,
    /// None of its attempts can have run.
    NeverRan,
    /// At least one attempt may have run.
    MayHaveRun,
    /// The only answer received may belong to another request.
    AnswerUnclear,
    /// A db host reported that the statement itself is invalid.
    Statement,
    /// A long answer was interrupted after parts of it were passed on.
    ValueCut,
    /// The client cancelled it.
    Cancelled,
    /// The process is shutting down.
    Leaving,
    /// The balancer gave no answer in time.
    Overdue,
}

impl FinalReason {
    /// The name in the log and in the metrics.
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
