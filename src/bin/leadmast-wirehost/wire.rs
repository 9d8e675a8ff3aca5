//! Translates between the wire's messages and codes and the library's types.

use std::collections::HashMap;

use leadmast::settings::{self, fnv, time, Result};
use leadmast::*;
use serde_json::{json, Value};

/// The member lists of this process, by their number on the wire.
pub type MemberLists = HashMap<u64, Vec<Value>>;

/// The names known to an instance: those in the settings, and members' names in the order in which they first
/// occurred.
pub struct Names {
    settings_names: settings::Names,
    members: Vec<String>,
    numbers: HashMap<String, u32>,
}

impl Names {
    fn assign_member_id(&mut self, name: &str) -> MemberId {
        if let Some(&n) = self.numbers.get(name) {
            return MemberId(n);
        }
        let n = self.members.len() as u32;
        self.members.push(name.to_owned());
        self.numbers.insert(name.to_owned(), n);
        MemberId(n)
    }

    fn known_member_id(&self, name: &str) -> Result<MemberId> {
        let n = self.numbers.get(name).ok_or_else(|| format!("unknown member {name:?}"))?;
        Ok(MemberId(*n))
    }
}

/// The values of one event after its name, with accessors that return readable errors.
struct Row<'a> {
    event_name: &'a str,
    values: &'a [Value],
}

impl<'a> Row<'a> {
    fn new(event_name: &'a str, value: &'a Value) -> Result<Self> {
        let values = value.as_array().ok_or_else(|| format!("{event_name} is not an array"))?;
        Ok(Row { event_name, values })
    }

    fn get(&self, i: usize) -> Option<&'a Value> {
        self.values.get(i).filter(|v| !v.is_null())
    }

    fn required<T>(&self, i: usize, name: &str, kind: &str, f: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
        let v = self.get(i).ok_or_else(|| format!("{}: {name} is missing", self.event_name))?;
        f(v).ok_or_else(|| format!("{}: {name} is not {kind}: {v}", self.event_name))
    }

    fn optional<T>(
        &self,
        i: usize,
        name: &str,
        kind: &str,
        f: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>> {
        match self.get(i) {
            None => Ok(None),
            Some(_) => self.required(i, name, kind, f).map(Some),
        }
    }

    fn int(&self, i: usize, name: &str) -> Result<u64> {
        self.required(i, name, "a whole number", Value::as_u64)
    }

    fn time(&self, i: usize, name: &str) -> Result<Micros> {
        self.required(i, name, "a time", time)
    }

    fn text(&self, i: usize, name: &str) -> Result<&'a str> {
        self.required(i, name, "text", Value::as_str)
    }
}

fn millis(t: Micros) -> Value {
    json!(t as f64 / 1000.0)
}

/// Parses `BEGIN`: the settings, the seed, and the names for translation.
pub fn parse_begin(item: &Value) -> Result<(Settings, u64, Names)> {
    let row = Row::new("BEGIN", item)?;
    let seed = row.int(1, "nonce64")?;
    let facts = row.required(2, "facts", "an object", Some)?;
    let facts = settings::read(facts).map_err(|e| format!("BEGIN: {e}"))?;
    Ok((
        facts.settings,
        seed,
        Names { settings_names: facts.names, members: Vec::new(), numbers: HashMap::new() },
    ))
}

/// Parses `CENSUS` and stores its member list.
pub fn parse_census(item: &Value, member_lists: &mut MemberLists) -> Result<()> {
    let row = Row::new("CENSUS", item)?;
    let rows = row.required(2, "rowsIn", "a list", Value::as_array)?;
    member_lists.insert(row.int(1, "sheet")?, rows.clone());
    Ok(())
}

/// Parses one event of a running instance; `None` for events that the library does not need.
pub fn parse_event(item: &Value, member_lists: &MemberLists, names: &mut Names) -> Result<Option<Event>> {
    let name = item.get(0).and_then(Value::as_str).ok_or("an item has no name")?;
    let row = Row::new(name, item)?;
    Ok(Some(match name {
        "MEMBERS" => members(&row, member_lists, names)?,
        "CALL" => call(&row, names)?,
        "COMPLETED" => completed(&row, names)?,
        "CANCELLED_BY_CLIENT" => Event::Gone { request: RequestId(row.int(1, "corr")?) },
        "DUE" => {
            let tag = row.text(1, "tag")?;
            let tag = tag.parse().map_err(|_| format!("DUE: unknown tag {tag:?}"))?;
            Event::Timer { tag: TimerTag(tag) }
        }
        "HEALTH" => Event::Probed(Probed {
            member: names.known_member_id(row.text(1, "member")?)?,
            elapsed: row.time(2, "delaySeen")?,
            ending: ending(row.int(3, "ending")?)?,
            report: report(&row, 4, names)?,
        }),
        "MESSAGE" => {
            Event::Peer { from: to_u32(row.int(1, "srcPeer")?)?, body: decode_hex(row.text(2, "body")?)? }
        }
        // No class streams its answers, so the end of an answer is reported by another event.
        "ESTABLISHED" => return Ok(None),
        _ => return Err(format!("unknown event {name:?}")),
    }))
}

fn members(row: &Row, member_lists: &MemberLists, names: &mut Names) -> Result<Event> {
    let kind = match row.text(1, "how")? {
        "INCREMENTAL" => ListKind::Incremental,
        "FULL" => ListKind::Full,
        "SAVED" => ListKind::Saved,
        "FAILED" => return Ok(Event::Members { kind: ListKind::Failed, entries: Vec::new() }),
        w => return Err(format!("MEMBERS: unknown how {w:?}")),
    };
    let sheet = row.int(2, "sheet")?;
    let rows = member_lists.get(&sheet).ok_or_else(|| format!("MEMBERS: unknown sheet {sheet}"))?;
    let entries = rows.iter().map(|v| entry(v, names)).collect::<Result<_>>()?;
    Ok(Event::Members { kind, entries })
}

fn entry(v: &Value, names: &mut Names) -> Result<Entry> {
    let row = Row::new("CENSUS entry", v)?;
    let phase = match row.text(4, "phase")? {
        "up" => Phase::Up,
        "draining" => Phase::Draining,
        "removed" => Phase::Removed,
        w => return Err(format!("CENSUS entry: unknown phase {w:?}")),
    };
    Ok(Entry {
        weight: row.optional(0, "weight", "a number", Value::as_f64)?.unwrap_or(1.0),
        since: row.optional(2, "since", "a time", time)?.filter(|&t| t != 0),
        group: GroupId(row.int(3, "cluster")?),
        phase,
        zone: names.settings_names.zone(row.text(5, "az")?)?,
        member: names.assign_member_id(row.text(6, "member")?),
        common: fnv(row.text(6, "member")?),
        leader: row.optional(7, "leader", "a number", Value::as_f64)? == Some(1.0),
    })
}

fn call(row: &Row, names: &Names) -> Result<Event> {
    let band = row.text(8, "band")?;
    let class = names.settings_names.class(band);
    // Without tenants the value is absent or 0.
    let tenant =
        row.optional(4, "owner", "text", |v| Some(v.as_str().and_then(|t| names.settings_names.tenant(t))))?;
    Ok(Event::Request(Arrival {
        request: RequestId(row.int(1, "corr")?),
        checked: true,
        repeat: row.int(2, "marks")? & 2 != 0,
        deadline: row.time(3, "notAfter")?,
        key: row.optional(6, "key", "a whole number", Value::as_u64)?,
        group: GroupId(row.int(7, "partitionNo")?),
        class: class.ok_or_else(|| format!("CALL: unknown class {band:?}"))?,
        tenant: tenant.flatten(),
        since_write: row.optional(9, "sinceWriteMs", "a time", time)?.filter(|&t| t > 0),
    }))
}

fn completed(row: &Row, names: &Names) -> Result<Event> {
    Ok(Event::Outcome(Outcome {
        request: RequestId(row.int(1, "corr")?),
        last: row.required(2, "last", "true or false", Value::as_bool)?,
        note: note(
            row.optional(3, "stamp", "a whole number", Value::as_u64)?.unwrap_or(0),
            names.settings_names.position_zero,
        )?,
        member: names.known_member_id(row.text(4, "member")?)?,
        elapsed: row.time(5, "delaySeen")?,
        ending: ending(row.int(6, "ending")?)?,
        attempt: to_u32(row.int(7, "go")?)?,
        report: report(row, 8, names)?,
        settled_at: None,
        rejected_as_write: false,
    }))
}

fn to_u32(n: u64) -> Result<u32> {
    u32::try_from(n).map_err(|_| format!("{n} is too large"))
}

fn note(stamp: u64, zero: Micros) -> Result<Option<Note>> {
    let primary = match stamp % 4 {
        0 => return Ok(None),
        1 => true,
        2 => false,
        role => return Err(format!("COMPLETED: unknown role {role} in stamp {stamp}")),
    };
    let position = (stamp >= 4).then(|| zero + (stamp / 4) as Micros * 1000);
    Ok(Some(Note { position, primary }))
}

fn report(row: &Row, i: usize, names: &Names) -> Result<Option<Report>> {
    let Some(values) = row.optional(i, "metrics", "a list", Value::as_array)? else { return Ok(None) };
    let mut report = Report::default();
    for (field, v) in names.settings_names.fields.iter().zip(values) {
        if v.is_null() {
            continue;
        }
        let v = v
            .as_f64()
            .ok_or_else(|| format!("{}: a value of metrics is not a number: {v}", row.event_name))?;
        match field.as_str() {
            "x0" => report.position = Some(names.settings_names.position_zero + (v * 1e6).floor() as Micros),
            "x1" => report.primary = Some(v == 1.0),
            "concurrent" => report.inflight = Some(v),
            "depth" => report.queue = Some(v),
            _ => {}
        }
    }
    Ok(Some(report))
}

fn ending(code: u64) -> Result<Ending> {
    Ok(match code {
        200 => Ending::Ok,
        500 => Ending::Error,
        503 => Ending::Full,
        504 => Ending::Timeout,
        502 => Ending::ConnectFailed,
        598 => Ending::Reset,
        499 => Ending::Cancelled,
        410 => Ending::Moot,
        404 => Ending::Miss,
        _ => return Err(format!("unknown ending {code}")),
    })
}

fn decode_hex(hex: &str) -> Result<Vec<u8>> {
    let digits: Option<Vec<u32>> = hex.chars().map(|c| c.to_digit(16)).collect();
    match digits {
        Some(d) if d.len() % 2 == 0 => Ok(d.chunks(2).map(|p| (p[0] * 16 + p[1]) as u8).collect()),
        _ => Err(format!("body is not hex: {hex:?}")),
    }
}

/// Encodes one action for the wire.
pub fn encode_action(action: &Action, names: &Names) -> Value {
    let member = |m: &MemberId| names.members.get(m.0 as usize).cloned().unwrap_or_default();
    match action {
        Action::Send { request, member: m, timeout } => {
            json!(["RELAY", request.0, member(m), millis(*timeout)])
        }
        Action::Cancel { request, attempt } => json!(["CANCEL", request.0, attempt]),
        Action::Refuse { request, retry_after } => {
            json!(["DENY", request.0, retry_after.map_or(Value::Null, millis)])
        }
        Action::Fail { request } => json!(["RESPOND_ERROR", request.0]),
        Action::Probe { member: m } => json!(["ASK_LOAD", member(m)]),
        Action::Close { member: m } => json!(["CLOSE_IDLE", member(m)]),
        Action::Timer { tag, at } => json!(["SLEEP", tag.0.to_string(), millis(*at)]),
        Action::Watch => json!(["TRACK", true]),
        Action::Fetch => json!(["QUERY_ALL"]),
    }
}
