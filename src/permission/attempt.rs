//! Attempts: whether one may begin, whether a request that may have run may be repeated, and whether an attempt may still be
//! written when its connection is there.

use crate::interface::{Effect, Micros, Scope, ZoneId};

/// The last byte of an attempt follows the time told by this much at most. The rule's slack is 0.15 s, of which a process may be held
/// up for most.
const TOLD_HOLDS_FOR: Micros = 50_000;
/// Statements up to this size are taken at once by the buffers of any connection.
const AT_ONCE: usize = 32 * 1024;
/// A longer one may take this part of its client's time to write, and this long at most.
const WRITING_SHARE: Micros = 4;
const LONGEST_WRITING: Micros = 1_000_000;
/// How long the close of a connection may take to reach its db host, beyond what bytes on another connection take.
const CLOSE_SETTLES_IN: Micros = 2_000;

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// When the first such attempt was sent.
    pub since: Micros,
    /// The zone of its db host, where that is known.
    pub zone: Option<ZoneId>,
}

/// What is known of a request when an attempt of it is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// What may be repeated of its class.
    pub effect: Effect,
    /// When its client gives up.
    pub deadline: Micros,
    /// It has its final answer.
    pub answered: bool,
    /// Its client has closed its connection or cancelled.
    pub client_left: bool,
    /// Attempts begun so far.
    pub begun: u32,
    /// Attempts that have not ended.
    pub out: u32,
    /// Its first attempt that may have run.
    pub doubt: Option<Doubt>,
    /// When the closes of its earlier attempts' connections have settled, where any was closed.
    pub settled_at: Option<Micros>,
}

/// What the settings allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts of one request.
    pub attempts: u32,
    /// A second attempt may be out beside the first.
    pub second_copies: bool,
    /// A repeat has to be sent this long before its window ends.
    pub margin: Micros,
}

/// How a db host stands for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStanding {
    /// It takes new work.
    Open,
    /// Discovery lists it as draining.
    Draining,
    /// It is not listed any more.
    Gone,
    /// An operator holds it out.
    HeldOut,
    /// It was never listed.
    Unknown,
}

/// Why an attempt may not begin, or not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptDenial {
    /// Its request has its final answer.
    Answered,
    /// Nobody waits for it any more.
    ClientLeft,
    /// Its client has given up by now.
    DeadlinePassed,
    /// The time told to its db host is no longer true.
    TimeToldPassed,
    /// One attempt is out, and the settings allow no second one.
    AttemptOut,
    /// The connection of an earlier attempt was closed just now: its db host may count that attempt as out yet.
    CloseUnsettled,
    /// The settings allow no more attempts.
    AttemptsUsed,
    /// It may have run, and its class may never run twice.
    MayHaveRun,
    /// It may have run, and db hosts no longer drop its repeats.
    WindowOver,
    /// It may have run in another zone, and only that zone's db hosts drop its repeats.
    OtherZone,
    /// Its db host is listed as draining.
    HostDraining,
    /// Its db host is not listed any more.
    HostGone,
    /// An operator holds its db host out.
    HostHeldOut,
    /// Its db host was never listed.
    HostUnknown,
}

impl AttemptDenial {
    /// All of them, for figures.
    pub const ALL: [AttemptDenial; 14] = [
        AttemptDenial::Answered,
        AttemptDenial::ClientLeft,
        AttemptDenial::DeadlinePassed,
        AttemptDenial::TimeToldPassed,
        AttemptDenial::AttemptOut,
        AttemptDenial::CloseUnsettled,
        AttemptDenial::AttemptsUsed,
        AttemptDenial::MayHaveRun,
        AttemptDenial::WindowOver,
        AttemptDenial::OtherZone,
        AttemptDenial::HostDraining,
        AttemptDenial::HostGone,
        AttemptDenial::HostHeldOut,
        AttemptDenial::HostUnknown,
    ];

    /// Its name in the log and the figures.
    pub fn name(self) -> &'static str {
        match self {
            AttemptDenial::Answered => "answered",
            AttemptDenial::ClientLeft => "client_left",
            AttemptDenial::DeadlinePassed => "deadline_passed",
            AttemptDenial::TimeToldPassed => "time_told_passed",
            AttemptDenial::AttemptOut => "attempt_out",
            AttemptDenial::CloseUnsettled => "close_unsettled",
            AttemptDenial::AttemptsUsed => "attempts_used",
            AttemptDenial::MayHaveRun => "may_have_run",
            AttemptDenial::WindowOver => "window_over",
            AttemptDenial::OtherZone => "other_zone",
            AttemptDenial::HostDraining => "host_draining",
            AttemptDenial::HostGone => "host_gone",
            AttemptDenial::HostHeldOut => "host_held_out",
            AttemptDenial::HostUnknown => "host_unknown",
        }
    }
}

/// Whether an attempt of a request may begin now, in this zone where that is known.
///
/// # Errors
/// The first rule that forbids it.
pub fn may_begin(
    now: Micros,
    request: &RequestFacts,
    limits: &AttemptLimits,
    zone: Option<ZoneId>,
) -> Result<(), AttemptDenial> {
    if request.answered {
        return Err(AttemptDenial::Answered);
    }
    if request.client_left {
        return Err(AttemptDenial::ClientLeft);
    }
    if request.begun >= limits.attempts {
        return Err(AttemptDenial::AttemptsUsed);
    }
    if request.out > 0 && !limits.second_copies {
        return Err(AttemptDenial::AttemptOut);
    }
    if request.settled_at.is_some_and(|at| now < at) && !limits.second_copies {
        return Err(AttemptDenial::CloseUnsettled);
    }
    if now >= request.deadline {
        return Err(AttemptDenial::DeadlinePassed);
    }
    may_repeat(now, request.effect, request.doubt, zone, limits.margin)
}

/// From when on another attempt may follow one whose connection was closed at `closed_at`. TCP orders nothing between two connections:
/// at once, the next attempt's bytes might be worked off before the close, and two attempts be out to whoever sees both.
pub fn settled_at(closed_at: Micros) -> Micros {
    closed_at + CLOSE_SETTLES_IN
}

/// Whether a request may run once more at `at`, for all that is known of its first attempt that may have run.
///
/// # Errors
/// Why not.
pub fn may_repeat(
    at: Micros,
    effect: Effect,
    doubt: Option<Doubt>,
    zone: Option<ZoneId>,
    margin: Micros,
) -> Result<(), AttemptDenial> {
    let Some(first) = doubt else { return Ok(()) };
    match effect {
        Effect::Safe => Ok(()),
        Effect::Unsafe => Err(AttemptDenial::MayHaveRun),
        Effect::Keyed { scope, window } => {
            let elsewhere = first.zone.zip(zone).is_some_and(|(first, zone)| first != zone);
            if scope == Scope::Zone && elsewhere {
                Err(AttemptDenial::OtherZone)
            } else if at - first.since + margin >= window {
                Err(AttemptDenial::WindowOver)
            } else {
                Ok(())
            }
        }
    }
}

/// From when on a request that may have run may not be written any more; `None` where nothing bounds that. Where it may never
/// run twice that is at once.
pub fn repeat_by(effect: Effect, doubt: Option<Doubt>, margin: Micros) -> Option<Micros> {
    let first = doubt?;
    match effect {
        Effect::Safe => None,
        Effect::Unsafe => Some(first.since),
        Effect::Keyed { window, .. } => Some(first.since + window - margin),
    }
}

/// What an attempt tells its db host of its client's time, and for how long that stays true enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Telling {
    /// The time told.
    pub told: Micros,
    /// The last byte may follow so much later than this was worked out.
    pub holds_for: Micros,
}

/// What an attempt of so many bytes may tell its db host where `left` is left to its client. The db host counts the time told from
/// the last byte: a statement that no socket's buffer holds takes a while to write, and tells less by that.
pub fn time_to_tell(left: Micros, bytes: usize) -> Telling {
    let writing = if bytes > AT_ONCE { (left / WRITING_SHARE).clamp(0, LONGEST_WRITING) } else { 0 };
    Telling { told: left - writing, holds_for: writing + TOLD_HOLDS_FOR }
}

/// What is known of an attempt when bytes of it are about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteFacts {
    /// Until when its answer is waited for.
    pub until: Micros,
    /// From when on its last byte may not be written any more: then, or earlier where it is a repeat.
    pub write_by: Micros,
    /// Until when the time told in it is true enough, once it is worked out.
    pub told_until: Option<Micros>,
    /// Its first byte is written.
    pub begun: bool,
    /// Whether its db host takes new work; of one that has begun that is of no matter.
    pub host: HostStanding,
}

/// Whether bytes of an attempt may be written now.
///
/// # Errors
/// Why not. Nothing of it has run then: its last byte was not written.
pub fn may_write(now: Micros, attempt: &WriteFacts) -> Result<(), AttemptDenial> {
    if now >= attempt.until {
        return Err(AttemptDenial::DeadlinePassed);
    }
    if now >= attempt.write_by {
        return Err(AttemptDenial::WindowOver);
    }
    if attempt.told_until.is_some_and(|until| now > until) {
        return Err(AttemptDenial::TimeToldPassed);
    }
    if attempt.begun {
        return Ok(());
    }
    may_begin_at(attempt.host)
}

/// Whether a db host takes anything new.
///
/// # Errors
/// Why not.
pub fn may_begin_at(host: HostStanding) -> Result<(), AttemptDenial> {
    match host {
        HostStanding::Open => Ok(()),
        HostStanding::Draining => Err(AttemptDenial::HostDraining),
        HostStanding::Gone => Err(AttemptDenial::HostGone),
        HostStanding::HeldOut => Err(AttemptDenial::HostHeldOut),
        HostStanding::Unknown => Err(AttemptDenial::HostUnknown),
    }
}
