//! The balancer's interface: settings, events and actions. Plain data without logic.
//!
//! Times and durations are integer microseconds on the driver's clock, whose origin is arbitrary. Replication
//! positions are times on the same clock: a member at position `p` has applied every commit up to `p`.

/// A time or a duration in microseconds.
pub type Micros = i64;

/// Identifies a client's request. The driver assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a database member. The driver numbers members; a member keeps its number for as long as the
/// driver runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// Identifies a group, which consists of a primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a zone in the driver's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Identifies a timer; the timer event carries the tag of the action that set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTag(pub u64);

/// The members that recognize a repeat of a keyed request and drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Any member drops a repeat.
    All,
    /// Only members of the zone of the first attempt do.
    Zone,
    /// Only members of the group do.
    Group,
}

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be executed any number of times, and refused at any time.
    Safe,
    /// Members in `scope` drop repeats for `window` after the first attempt that may have executed.
    Keyed {
        /// Members that drop repeats.
        scope: Scope,
        /// How long they recognize repeats.
        window: Micros,
    },
    /// Must never be executed twice.
    #[default]
    Unsafe,
}

/// How current the data that a class reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadLevel {
    /// A write: only the primary accepts it.
    Write,
    /// The read must see every commit made before the request arrived.
    Fresh,
    /// The read must see the writes of its own session.
    Session,
    /// When the request is sent, the data may be at most this old.
    Bounded(Micros),
    /// Data of any age: every member can serve the read.
    Any,
}

impl ReadLevel {
    /// The maximum age of the data for a class with bounded staleness; `None` for other classes.
    pub fn max_staleness(self) -> Option<Micros> {
        match self {
            ReadLevel::Bounded(bound) => Some(bound),
            ReadLevel::Write | ReadLevel::Fresh | ReadLevel::Session | ReadLevel::Any => None,
        }
    }
}

/// What a member does with a read that needs a later position than the member has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagPolicy {
    /// Answers from the data that it has.
    AnswerStale,
    /// Rejects the read without executing it.
    Reject,
    /// Waits up to this long for replication to catch up, then rejects the read without executing it.
    WaitThenReject(Micros),
}

impl LagPolicy {
    /// How far a member may lag behind a read's needed position and still be worth trying; `None` if a
    /// lagging member would answer with old data instead of rejecting the read.
    pub fn tolerated_lag(self) -> Option<Micros> {
        match self {
            LagPolicy::AnswerStale => None,
            LagPolicy::Reject => Some(0),
            LagPolicy::WaitThenReject(t) => Some(t),
        }
    }
}

/// How reliable the roles in the member list are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRole {
    /// They follow role changes with a delay of a few seconds.
    Delayed,
    /// They are those of the start of the deployment and never change.
    Initial,
    /// The list has no roles.
    Unlisted,
}

/// How the balancer learns what a session has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// Each read carries the time since its session's last commit.
    ByRequest,
    /// The balancer records the writes whose answers this driver has received; a read must see those of its
    /// session.
    ByDriver,
}

/// A request class: a service level objective, a deadline and consistency requirements.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_target: Micros,
    /// How long a client waits for an answer in total.
    pub deadline: Micros,
    /// Worth of one request that is answered in time.
    pub worth: f64,
    /// Fraction of the worth that an answer earns after the latency target and before the deadline.
    pub late_worth: f64,
    /// Whether requests may be executed more than once.
    pub effect: Effect,
    /// How current the data must be.
    pub read: ReadLevel,
}

impl Class {
    /// The effect of a request of this class that a member has rejected as a write. If the class is for reads,
    /// the request is not what its class says, and must not be executed twice.
    pub fn effect_once_rejected_as_write(&self) -> Effect {
        if self.read == ReadLevel::Write {
            self.effect
        } else {
            Effect::Unsafe
        }
    }
}

/// Parameters of the rules that a driver has to follow and of how members behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer counts until this long after the client's deadline.
    pub answer_slack: Micros,
    /// Lower bound on the fraction of its capacity that a member has when it has just started.
    pub initial_capacity_share: f64,
    /// Upper bound on the time until a started member reaches its full capacity.
    pub warm_up_time: Micros,
    /// How long after the driver learns that a member is draining or gone new attempts may still go to it.
    pub drain_grace: Micros,
    /// A cold member collapses if it gets this multiple of its current capacity
    pub overload_multiple: f64,
    /// for this long.
    pub overload_time: Micros,
    /// A driver that has not asked for the member list for this long is treated as if it knew the current
    /// list.
    pub max_list_age: Micros,
    /// Only members that were listed as draining are closed to new attempts; members that vanish from the
    /// list are not.
    pub delisted_stay_open: bool,
}

/// What the driver is permitted to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowed {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub second_copies: bool,
    /// Whether probes are permitted.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether messages to other drivers are permitted.
    pub peers: bool,
    /// Whether refused clients get a retry-after hint,
    pub retry_after: bool,
    /// and the longest such hint.
    pub max_retry_after: Micros,
}

/// Penalties in points, relative to the number of first tries.
#[derive(Clone, Debug, PartialEq)]
pub struct Penalties {
    /// A probe.
    pub probe: f64,
    /// An attempt that goes to another zone than the driver's.
    pub cross_zone: f64,
    /// Work that members did on attempts whose answers nobody used.
    pub waste: f64,
}

/// One of the tenants that share the capacity of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second that the tenant is entitled to, over all drivers.
    pub rate: f64,
}

/// Everything that a balancer needs to know at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// The driver's own zone.
    pub zone: ZoneId,
    /// Number of drivers in the deployment.
    pub fleet_size: u32,
    /// Index of this driver, from 0.
    pub driver_index: u32,
    /// Shortest time between two events that the driver delivers.
    pub tick: Micros,
    /// Whether the member list has to be requested; otherwise it is pushed.
    pub list_on_request: bool,
    /// How reliable the roles in the member list are.
    pub listed_role: ListedRole,
    /// How the balancer learns what a session has written.
    pub session_tracking: SessionTracking,
    /// What members do with reads for which they lag too far.
    pub lag_policy: LagPolicy,
    /// Whether answers carry the member's position.
    pub answers_carry_positions: bool,
    /// Parameters of the rules and of members.
    pub rules: Rules,
    /// What the driver is permitted to do.
    pub allowed: Allowed,
    /// Penalties.
    pub penalties: Penalties,
    /// Tenants; empty if the deployment has only one user.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
}

/// State of a member according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    #[default]
    Up,
    /// Finishes the requests that it has and accepts no new ones.
    Draining,
    /// No longer part of the deployment.
    Removed,
}

/// One entry of the member list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// The driver's number for the member.
    pub member: MemberId,
    /// A number that is the same for this member on all drivers, such as a hash of its address.
    pub common: u64,
    /// The group that it belongs to.
    pub group: GroupId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Its capacity relative to other members.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub since: Option<Micros>,
    /// Its state.
    pub phase: Phase,
    /// Whether the list names it as its group's primary.
    pub leader: bool,
}

/// What an event about the member list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Incremental,
    /// The complete list.
    Full,
    /// The complete list as this driver last stored it, possibly long ago.
    Saved,
    /// A call or a subscription failed; the previous list stays valid.
    Failed,
    /// The connection of a call or a subscription broke; the previous list stays valid, and the service may
    /// be healthy.
    Broken,
}

/// Counts of the members that a balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// All known members, including removed ones with attempts in flight.
    pub known: usize,
    /// Members on the list.
    pub listed: usize,
    /// Listed members that get no new attempts: they are draining, held out by an operator, or suspected to
    /// have failed.
    pub unavailable: usize,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The member answered successfully.
    Ok,
    /// The member answered with an error; the statement may have executed.
    Error,
    /// The member rejected the attempt because it is full; nothing executed.
    Full,
    /// No answer arrived in time; the statement may have executed.
    Timeout,
    /// No connection could be established; nothing executed.
    ConnectFailed,
    /// The connection broke; the statement may have executed.
    Reset,
    /// The driver cancelled the attempt; the statement may have executed.
    Cancelled,
    /// The driver did not send the attempt.
    Moot,
    /// The member rejected the attempt because it is not the primary or lags too far; nothing executed.
    Miss,
}

impl Ending {
    /// Whether nothing can have executed.
    pub fn never_ran(self) -> bool {
        match self {
            Ending::Full | Ending::ConnectFailed | Ending::Moot | Ending::Miss => true,
            Ending::Ok | Ending::Error | Ending::Timeout | Ending::Reset | Ending::Cancelled => false,
        }
    }
}

/// What an answer says about the member that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// The member's position in whole milliseconds, rounded down. In the answer to a successful write it is
    /// the commit's position, rounded up.
    pub position: Option<Micros>,
    /// Whether the member answered as the primary.
    pub primary: bool,
}

/// A member's report on its own state, which may be some time old.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Report {
    /// The member's replication position.
    pub position: Option<Micros>,
    /// Whether the member was the primary.
    pub primary: Option<bool>,
    /// Number of requests that the member was processing.
    pub inflight: Option<f64>,
    /// Number of requests that waited at the member.
    pub queue: Option<f64>,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// Its session, for writes and for reads that must see their session's writes.
    pub key: Option<u64>,
    /// When the client stops waiting for an answer.
    pub deadline: Micros,
    /// Time since the session's last commit, where requests carry it; `None` if the session has not written.
    pub since_write: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub repeat: bool,
    /// Whether the request tells members which position the read needs, so that a lagging member can reject
    /// it.
    pub checked: bool,
    /// Its tenant, if the settings list tenants.
    pub tenant: Option<TenantId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// The member it went to.
    pub member: MemberId,
    /// The result.
    pub ending: Ending,
    /// Whether the request needs no further attempt.
    pub last: bool,
    /// How long the attempt took.
    pub elapsed: Micros,
    /// What the answer said about the member.
    pub note: Option<Note>,
    /// The member's report, if the answer carried one.
    pub report: Option<Report>,
    /// The time from which another attempt may follow, if the driver closed this attempt's connection before
    /// it had ended.
    pub settled_at: Option<Micros>,
    /// Whether the member rejected the request as a write that it may not execute. A request of a class that
    /// changes nothing counts as one that must not be repeated from then on.
    pub rejected_as_write: bool,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probed {
    /// The member.
    pub member: MemberId,
    /// The result.
    pub ending: Ending,
    /// How long the probe took.
    pub elapsed: Micros,
    /// The member's report.
    pub report: Option<Report>,
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The member list has arrived, has changed, or could not be fetched.
    Members {
        /// What the event contains.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client's request has arrived.
    Request(Arrival),
    /// An attempt has ended.
    Outcome(Outcome),
    /// An operator has held a member out of service, or readmitted it after a restart. The member list does
    /// not affect this.
    Maintenance {
        /// The member.
        member: MemberId,
        /// Whether the member must get no new attempts.
        out: bool,
    },
    /// The client has disconnected or cancelled; the request needs no answer any more.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The tag given when the timer was set.
        tag: TimerTag,
    },
    /// A probe has ended.
    Probed(Probed),
    /// Another driver has sent a message.
    Peer {
        /// Index of the sending driver.
        from: u32,
        /// Its content.
        body: Vec<u8>,
    },
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        request: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// How long to wait for the answer.
        timeout: Micros,
    },
    /// Stop waiting for an attempt and cancel it.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer the client that the request was refused and is safe to retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// Hint for when to retry.
        retry_after: Option<Micros>,
    },
    /// Answer the client that the request failed and that it may have executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Probe a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Close this driver's idle connections to a member.
    Close {
        /// The member.
        member: MemberId,
    },
    /// Deliver [`Event::Timer`] at a given time.
    Timer {
        /// The tag for the event to carry.
        tag: TimerTag,
        /// When.
        at: Micros,
    },
    /// Subscribe to the member list.
    Watch,
    /// Fetch the complete member list once.
    Fetch,
}
