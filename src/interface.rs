//! What the balancer is told and what it asks for: settings, events, actions. Data only.
//!
//! Times and durations are integer microseconds on the driver's clock, whose origin is free. Positions are
//! times on the same clock: a member at position `p` has applied every commit up to `p`.

/// A time or a duration in microseconds.
pub type Micros = i64;

/// A client's request, named by the driver; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A database member, numbered by the driver; the same member keeps its number for the driver's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A group of one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a zone among those that the driver knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A label that a timer carries back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTag(pub u64);

/// Where the repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Any member drops a repeat.
    All,
    /// Members of the same zone do.
    Zone,
    /// Members of the same group do.
    Group,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat and to refuse at any time.
    Safe,
    /// Repeats are dropped inside `scope` for `window` after the first attempt that may have run.
    Keyed {
        /// Members that drop repeats.
        scope: Scope,
        /// How long they remember.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// How current the data for a class must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadLevel {
    /// A write: only the primary takes it.
    Write,
    /// Must see every commit before its arrival.
    Fresh,
    /// Must see what its session has written.
    Session,
    /// Data at most this old when it is sent.
    Bounded(Micros),
    /// Any member will do.
    Any,
}

impl ReadLevel {
    /// The oldest data that a bounded class takes.
    pub fn bound(self) -> Option<Micros> {
        match self {
            ReadLevel::Bounded(bound) => Some(bound),
            ReadLevel::Write | ReadLevel::Fresh | ReadLevel::Session | ReadLevel::Any => None,
        }
    }
}

/// What a member does with a read for which it lags too far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behind {
    /// Answers from what it has.
    Silent,
    /// Turns the read away untouched.
    Refuse,
    /// Waits up to this long, then turns it away.
    Wait(Micros),
}

impl Behind {
    /// By how much a member may lag and still be tried; `None` where it would not say so.
    pub fn slack(self) -> Option<Micros> {
        match self {
            Behind::Silent => None,
            Behind::Refuse => Some(0),
            Behind::Wait(t) => Some(t),
        }
    }
}

/// How the member list tells roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRole {
    /// A few seconds late.
    Late,
    /// As it was at the start.
    Start,
    /// Not at all.
    Unlisted,
}

/// How a session's writes are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// The read says when the last write was committed.
    Carried,
    /// The read must see the writes whose answers this driver has had.
    Remembered,
}

/// One request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub aim: Micros,
    /// The client's whole patience.
    pub deadline: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// What may be repeated.
    pub effect: Effect,
    /// How current the data must be.
    pub read: ReadLevel,
}

/// The figures behind the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer counts until this long after the client's deadline.
    pub answer_slack: Micros,
    /// Share of its capacity at which a member starts, or more.
    pub cold_share: f64,
    /// A started member is warm after this time at most.
    pub cold: Micros,
    /// Nothing new goes to a draining or gone member later than this after the driver was told.
    pub drain_grace: Micros,
    /// Multiple of its capacity that pushes a cold member over,
    pub fall_multiple: f64,
    /// when it is sent for this long.
    pub fall: Micros,
    /// A driver that has not asked for the list this long counts as told.
    pub must_ask_in: Micros,
    /// Only members seen listed as draining bind; vanishing from the list does not.
    pub dropped_stay_open: bool,
}

/// What the driver may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowed {
    /// Attempts of one request.
    pub attempts: u32,
    /// Two attempts of one request may be out at a time.
    pub second_copies: bool,
    /// Probes are permitted.
    pub probes: bool,
    /// Cancels are permitted.
    pub cancel: bool,
    /// Messages to other drivers are permitted.
    pub peers: bool,
    /// Clients are given retry-after advice,
    pub retry_after: bool,
    /// up to this long.
    pub max_retry_after: Micros,
}

/// What costs points, each per first try.
#[derive(Clone, Debug, PartialEq)]
pub struct Prices {
    /// A probe.
    pub probe: f64,
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Member work that served no answer.
    pub waste: f64,
}

/// One tenant of a deployment that shares its capacity among several.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all drivers.
    pub rate: f64,
}

/// All that an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// The driver's own zone.
    pub zone: ZoneId,
    /// How many drivers there are.
    pub fleet: u32,
    /// This driver's number among them.
    pub me: u32,
    /// Least time between two rounds of events.
    pub tick: Micros,
    /// The member list comes only when asked for.
    pub list_on_request: bool,
    /// How the list tells roles.
    pub listed_role: ListedRole,
    /// How a session's writes are known.
    pub tokens: Tokens,
    /// What lagging members do.
    pub behind: Behind,
    /// Answers carry positions.
    pub positions: bool,
    /// Figures behind the rules.
    pub rules: Rules,
    /// Permissions.
    pub allowed: Allowed,
    /// Prices.
    pub prices: Prices,
    /// Tenants; none where the deployment has one user.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a share of its class's worth.
    pub over_share_worth: f64,
}

/// A member's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    #[default]
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Removed,
}

/// One entry of the member list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which member.
    pub member: MemberId,
    /// A number that every driver gives this member, such as a hash of its address.
    pub common: u64,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its size beside the others'.
    pub weight: f64,
    /// When it last started, if not long ago.
    pub since: Option<Micros>,
    /// Its state.
    pub phase: Phase,
    /// Listed as its group's primary.
    pub leader: bool,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The complete list.
    Full,
    /// The complete list as this driver last saw it, maybe long ago.
    Saved,
    /// A call or a subscription failed; the old list stands.
    Failed,
    /// The connection of a call or a subscription broke; the old list stands, and the service may be well.
    Broken,
}

/// How many members a balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Targets {
    /// All, with those that are gone and still owe an answer.
    pub known: usize,
    /// On the list.
    pub listed: usize,
    /// Of those listed, such as get nothing new: by the list's word, by hand or by suspicion.
    pub avoided: usize,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// The member answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

impl Ending {
    /// Whether this ending proves that nothing ran.
    pub fn never_ran(self) -> bool {
        match self {
            Ending::Full | Ending::ConnectFailed | Ending::Moot | Ending::Miss => true,
            Ending::Ok | Ending::Error | Ending::Timeout | Ending::Reset | Ending::Cancelled => false,
        }
    }
}

/// The note of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// The member's position in whole milliseconds, rounded down; a served write's commit, rounded up.
    pub position: Option<Micros>,
    /// Whether it answered as primary.
    pub primary: bool,
}

/// A member's report on itself, somewhat old.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Report {
    /// Its position.
    pub position: Option<Micros>,
    /// Whether it was the primary.
    pub primary: Option<bool>,
    /// Requests it held.
    pub inflight: Option<f64>,
    /// Requests waiting there.
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
    /// Its session, for writes and session reads.
    pub key: Option<u64>,
    /// When the client gives up.
    pub deadline: Micros,
    /// With carried tokens: how long ago the session last committed; `None` if it has not.
    pub since_write: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// A member can tell from it what the read has to see, and turn it away where it is behind.
    pub checked: bool,
    /// Whose it is, where the settings name tenants.
    pub tenant: Option<TenantId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The member it went to.
    pub member: MemberId,
    /// How it ended.
    pub ending: Ending,
    /// The request is over.
    pub last: bool,
    /// How long it took.
    pub elapsed: Micros,
    /// The answer's note.
    pub note: Option<Note>,
    /// A report that came along.
    pub report: Option<Report>,
    /// From when on another attempt may follow, where this one's connection was closed under it.
    pub settled_at: Option<Micros>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probed {
    /// The member.
    pub member: MemberId,
    /// How it ended.
    pub ending: Ending,
    /// How long it took.
    pub elapsed: Micros,
    /// The member's report.
    pub report: Option<Report>,
}

/// What a driver hands the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the member list.
    Members {
        /// What it brings.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client's request has come in.
    Request(Arrival),
    /// An attempt has ended.
    Outcome(Outcome),
    /// An operator holds a member out, or readmits it after its restart; the list has no say in this.
    Maintenance {
        /// Which.
        member: MemberId,
        /// Nothing new may go there.
        out: bool,
    },
    /// The client has left; nothing is owed any more.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Its label.
        tag: TimerTag,
    },
    /// A probe has ended.
    Probed(Probed),
    /// A message of another driver.
    Peer {
        /// Its sender.
        from: u32,
        /// Its bytes.
        body: Vec<u8>,
    },
}

/// What the balancer asks the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; those of a request are numbered from 0 in this order.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// How long to wait for its answer.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: turned away, harmless to repeat.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice on when to come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Probe a member.
    Probe {
        /// Which.
        member: MemberId,
    },
    /// Close this driver's idle connections to a member.
    Close {
        /// Which.
        member: MemberId,
    },
    /// Wake the balancer with [`Event::Timer`].
    Timer {
        /// The label to bring back.
        tag: TimerTag,
        /// When.
        at: Micros,
    },
    /// Subscribe to the member list.
    Watch,
    /// Ask once for the whole member list.
    Fetch,
}
