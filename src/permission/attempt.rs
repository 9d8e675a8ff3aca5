//! Rules on attempts: whether one may begin, whether a request that may have executed may be repeated, and
//! whether an attempt may be written once its connection is established.

use crate::interface::{Effect, Micros, Scope, ZoneId};

/// The last byte of an attempt is written at most this long after the remaining time sent with it was
/// computed. The rule allows 0.15 s, most of which the process may spend descheduled.
const REMAINING_VALID_FOR: Micros = 50_000;
/// Statements up to this size fit into the socket buffers of any connection, so writing them takes no time.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;
/// Writing a longer statement may take this fraction (one in so many) of its client's remaining time, but no
/// longer than the limit below.
const WRITING_TIME_DIVISOR: Micros = 4;
const MAX_WRITING_TIME: Micros = 1_000_000;
/// How much longer the close of a connection may take to reach its db host than bytes on another connection.
const CLOSE_DELAY: Micros = 2_000;

/// The fact that an earlier attempt of a request may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleExecution {
    /// When the first such attempt was sent.
    pub sent_at: Micros,
    /// The zone of its db host, if known.
    pub zone: Option<ZoneId>,
}

/// The state of a request when another attempt of it is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestState {
    /// Whether requests of its class may be executed more than once.
    pub effect: Effect,
    /// When its client stops waiting for an answer.
    pub deadline: Micros,
    /// Whether it has its final answer.
    pub answered: bool,
    /// Whether its client has closed its connection or cancelled the request.
    pub client_left: bool,
    /// Number of attempts begun so far.
    pub attempts_begun: u32,
    /// Number of attempts that have not ended.
    pub in_flight: u32,
    /// The first attempt that may have executed.
    pub possible_execution: Option<PossibleExecution>,
    /// When the closes of its earlier attempts' connections take effect, if any was closed; see
    /// [`settled_at`].
    pub settled_at: Option<Micros>,
}

/// Limits that the settings impose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub second_copies: bool,
    /// How long before the end of its window a repeat has to be sent.
    pub margin: Micros,
}

/// Whether a db host accepts new attempts, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It accepts new attempts.
    Open,
    /// Discovery lists it as draining.
    Draining,
    /// Discovery no longer lists it.
    Gone,
    /// An operator holds it out of service.
    HeldOut,
    /// Discovery has never listed it.
    Unknown,
}

/// Why an attempt may not begin or may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptDenial {
    /// The request has its final answer.
    Answered,
    /// The client has left.
    ClientLeft,
    /// The client's deadline has passed.
    DeadlinePassed,
    /// The remaining time sent with the attempt is no longer accurate enough.
    RemainingTimeExpired,
    /// Another attempt is in flight, and the settings do not allow a second one.
    AttemptInFlight,
    /// The connection of an earlier attempt was closed so recently that its db host may still count that
    /// attempt as in flight.
    CloseUnsettled,
    /// The request has used up its attempts.
    AttemptsUsed,
    /// An earlier attempt may have executed, and the class must never execute twice.
    MayHaveExecuted,
    /// An earlier attempt may have executed, and its window, in which db hosts drop repeats, is over.
    WindowOver,
    /// An earlier attempt may have executed in another zone, and only the db hosts of that zone drop repeats.
    OtherZone,
    /// The db host is listed as draining.
    HostDraining,
    /// The db host is no longer listed.
    HostGone,
    /// An operator holds the db host out of service.
    HostHeldOut,
    /// The db host has never been listed.
    HostUnknown,
}

impl AttemptDenial {
    /// All reasons, for metrics.
    pub const ALL: [AttemptDenial; 14] = [
        AttemptDenial::Answered,
        AttemptDenial::ClientLeft,
        AttemptDenial::DeadlinePassed,
        AttemptDenial::RemainingTimeExpired,
        AttemptDenial::AttemptInFlight,
        AttemptDenial::CloseUnsettled,
        AttemptDenial::AttemptsUsed,
        AttemptDenial::MayHaveExecuted,
        AttemptDenial::WindowOver,
        AttemptDenial::OtherZone,
        AttemptDenial::HostDraining,
        AttemptDenial::HostGone,
        AttemptDenial::HostHeldOut,
        AttemptDenial::HostUnknown,
    ];

    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptDenial::Answered => "answered",
            AttemptDenial::ClientLeft => "client_left",
            AttemptDenial::DeadlinePassed => "deadline_passed",
            AttemptDenial::RemainingTimeExpired => "time_told_passed",
            AttemptDenial::AttemptInFlight => "attempt_out",
            AttemptDenial::CloseUnsettled => "close_unsettled",
            AttemptDenial::AttemptsUsed => "attempts_used",
            AttemptDenial::MayHaveExecuted => "may_have_run",
            AttemptDenial::WindowOver => "window_over",
            AttemptDenial::OtherZone => "other_zone",
            AttemptDenial::HostDraining => "host_draining",
            AttemptDenial::HostGone => "host_gone",
            AttemptDenial::HostHeldOut => "host_held_out",
            AttemptDenial::HostUnknown => "host_unknown",
        }
    }
}

/// Checks whether an attempt of a request may begin now at a db host in `zone`, if the zone is known.
///
/// # Errors
/// Returns the first rule that forbids it.
pub fn may_begin(
    now: Micros,
    request: &RequestState,
    limits: &AttemptLimits,
    zone: Option<ZoneId>,
) -> Result<(), AttemptDenial> {
    if request.answered {
        return Err(AttemptDenial::Answered);
    }
    if request.client_left {
        return Err(AttemptDenial::ClientLeft);
    }
    if request.attempts_begun >= limits.max_attempts {
        return Err(AttemptDenial::AttemptsUsed);
    }
    if request.in_flight > 0 && !limits.second_copies {
        return Err(AttemptDenial::AttemptInFlight);
    }
    if request.settled_at.is_some_and(|at| now < at) && !limits.second_copies {
        return Err(AttemptDenial::CloseUnsettled);
    }
    if now >= request.deadline {
        return Err(AttemptDenial::DeadlinePassed);
    }
    may_repeat(now, request.effect, request.possible_execution, zone, limits.margin)
}

/// Returns the time from which another attempt may follow one whose connection was closed at `closed_at`. TCP
/// does not order bytes on different connections: if the next attempt followed at once, its db host might
/// process it before the close, and would see two attempts in flight.
pub fn settled_at(closed_at: Micros) -> Micros {
    closed_at + CLOSE_DELAY
}

/// Checks whether a request may be executed again at `at`, given its first attempt that may have executed.
///
/// # Errors
/// Returns why it may not.
pub fn may_repeat(
    at: Micros,
    effect: Effect,
    earlier: Option<PossibleExecution>,
    zone: Option<ZoneId>,
    margin: Micros,
) -> Result<(), AttemptDenial> {
    let Some(first) = earlier else { return Ok(()) };
    match effect {
        Effect::Safe => Ok(()),
        Effect::Unsafe => Err(AttemptDenial::MayHaveExecuted),
        Effect::Keyed { scope, window } => {
            let elsewhere = first.zone.zip(zone).is_some_and(|(first, zone)| first != zone);
            if scope == Scope::Zone && elsewhere {
                Err(AttemptDenial::OtherZone)
            } else if at - first.sent_at + margin >= window {
                Err(AttemptDenial::WindowOver)
            } else {
                Ok(())
            }
        }
    }
}

/// Returns the time from which a request that may have executed must no longer be written; `None` if there is
/// no such limit. If it must never execute twice, that is the time of the first attempt.
pub fn repeat_deadline(effect: Effect, earlier: Option<PossibleExecution>, margin: Micros) -> Option<Micros> {
    let first = earlier?;
    match effect {
        Effect::Safe => None,
        Effect::Unsafe => Some(first.sent_at),
        Effect::Keyed { window, .. } => Some(first.sent_at + window - margin),
    }
}

/// The remaining time that an attempt sends to its db host, and for how long that value is accurate enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingTime {
    /// The remaining time to send.
    pub remaining: Micros,
    /// How long after the computation the last byte may be written.
    pub valid_for: Micros,
}

/// Computes the remaining time to send with an attempt of `bytes` bytes whose client waits for another
/// `left`. The db host counts the time from the last byte, so the time that writing a large statement may
/// take is subtracted.
pub fn remaining_time_to_send(left: Micros, bytes: usize) -> RemainingTime {
    let writing =
        if bytes > MAX_BUFFERED_BYTES { (left / WRITING_TIME_DIVISOR).clamp(0, MAX_WRITING_TIME) } else { 0 };
    RemainingTime { remaining: left - writing, valid_for: writing + REMAINING_VALID_FOR }
}

/// The state of an attempt when bytes of it are about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteState {
    /// The time until which the driver waits for its answer.
    pub answer_deadline: Micros,
    /// The time from which its last byte must not be written any more: `until`, or earlier if the attempt is
    /// a repeat.
    pub write_by: Micros,
    /// The time until which the remaining time sent with it is accurate enough; `None` before it has been
    /// computed.
    pub remaining_valid_until: Option<Micros>,
    /// Whether its first byte has been written.
    pub first_byte_written: bool,
    /// The state of its db host. It matters only before the first byte.
    pub host: HostState,
}

/// Checks whether bytes of an attempt may be written now.
///
/// # Errors
/// Returns why they may not. Nothing of the attempt has executed then, because its last byte has not been
/// written.
pub fn may_write(now: Micros, attempt: &WriteState) -> Result<(), AttemptDenial> {
    if now >= attempt.answer_deadline {
        return Err(AttemptDenial::DeadlinePassed);
    }
    if now >= attempt.write_by {
        return Err(AttemptDenial::WindowOver);
    }
    if attempt.remaining_valid_until.is_some_and(|until| now > until) {
        return Err(AttemptDenial::RemainingTimeExpired);
    }
    if attempt.first_byte_written {
        return Ok(());
    }
    may_begin_at_host(attempt.host)
}

/// Checks whether a db host accepts new attempts.
///
/// # Errors
/// Returns why it does not.
pub fn may_begin_at_host(host: HostState) -> Result<(), AttemptDenial> {
    match host {
        HostState::Open => Ok(()),
        HostState::Draining => Err(AttemptDenial::HostDraining),
        HostState::Gone => Err(AttemptDenial::HostGone),
        HostState::HeldOut => Err(AttemptDenial::HostHeldOut),
        HostState::Unknown => Err(AttemptDenial::HostUnknown),
    }
}
