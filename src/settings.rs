//! Parses the settings object that every driver gets. It is part of the simulator's first message and of the
//! proxy's configuration.

use serde_json::{Map, Value};

use crate::interface::*;

/// The error is a message that says what is wrong with the input.
pub type Result<T> = std::result::Result<T, String>;

/// The names in the settings, indexed by the numbers that the library uses for them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of a member's load report.
    pub fields: Vec<String>,
    /// The time that is position 0 on the settings' clock.
    pub position_zero: Micros,
}

impl Names {
    /// Returns the index of a zone.
    pub fn zone(&self, zone: &str) -> Result<ZoneId> {
        let at = self.zones.iter().position(|z| z == zone);
        at.map(ZoneId).ok_or_else(|| format!("unknown zone {zone:?}"))
    }

    /// Returns the index of a tenant.
    pub fn tenant(&self, tenant: &str) -> Option<TenantId> {
        self.tenants.iter().position(|t| t == tenant).map(TenantId)
    }

    /// Returns the index of a class.
    pub fn class(&self, class: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c == class).map(ClassId)
    }
}

/// Connection settings. The library itself does not use them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// A member closes a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
}

/// The parsed settings object.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names behind the numbers in `settings`.
    pub names: Names,
    /// Settings for drivers that manage connections themselves.
    pub connections: ConnectionSettings,
}

/// Converts milliseconds to microseconds; `None` if the value is not a number or too large for a clock.
pub fn time(v: &Value) -> Option<Micros> {
    let ms = v.as_f64().filter(|ms| ms.abs() < 1e12)?;
    Some((ms * 1000.0).round() as Micros)
}

/// Access to the keys of one object of the settings. Keys that the library does not use are ignored.
struct Keys<'a> {
    path: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> Keys<'a> {
    fn new(path: &'a str, v: Option<&'a Value>) -> Result<Self> {
        let map = v.and_then(Value::as_object).ok_or_else(|| format!("{path} is not an object"))?;
        Ok(Keys { path, map })
    }

    fn required<T>(&self, key: &str, kind: &str, f: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
        let v = self.map.get(key).ok_or_else(|| format!("{}.{key} is missing", self.path))?;
        f(v).ok_or_else(|| format!("{}.{key} is not {kind}: {v}", self.path))
    }

    fn num(&self, key: &str) -> Result<f64> {
        self.required(key, "a number", Value::as_f64)
    }

    fn time(&self, key: &str) -> Result<Micros> {
        self.required(key, "a time", time)
    }

    /// A duration, which must not be negative.
    fn duration(&self, key: &str) -> Result<Micros> {
        self.required(key, "a time of 0 or more", |v| time(v).filter(|t| *t >= 0))
    }

    /// A time limit, which must be above zero, since nothing could meet a limit of zero.
    fn positive_duration(&self, key: &str) -> Result<Micros> {
        self.required(key, "a time above 0", |v| time(v).filter(|t| *t > 0))
    }

    fn amount(&self, key: &str) -> Result<f64> {
        self.required(key, "a number of 0 or more", |v| v.as_f64().filter(|n| *n >= 0.0))
    }

    fn flag(&self, key: &str) -> Result<bool> {
        self.required(key, "true or false", Value::as_bool)
    }

    fn text(&self, key: &str) -> Result<&'a str> {
        self.required(key, "text", Value::as_str)
    }

    fn list(&self, key: &str) -> Result<&'a Vec<Value>> {
        self.required(key, "a list", Value::as_array)
    }

    fn count(&self, key: &str) -> Result<u32> {
        self.required(key, "a whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    fn texts(&self, key: &str) -> Result<Vec<String>> {
        let texts = self.list(key)?.iter().map(|v| v.as_str().map(str::to_owned));
        texts.collect::<Option<_>>().ok_or_else(|| format!("{}.{key} is not a list of text", self.path))
    }

    fn keyword<T>(&self, key: &str, f: impl Fn(&str) -> Option<T>) -> Result<T> {
        self.required(key, "a known value", |v| f(v.as_str()?))
    }
}

/// Parses the settings object.
pub fn read(facts: &Value) -> Result<ParsedSettings> {
    let facts = Keys::new("facts", Some(facts))?;
    let family = Keys::new("facts.familyInfo", facts.map.get("familyInfo"))?;
    let feedback = Keys::new("facts.feedback", facts.map.get("feedback"))?;
    let mut names = Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: facts.texts("failureDomains")?,
        fields: feedback.texts("fields")?,
        position_zero: family.time("positionZero")?,
    };
    for v in facts.list("categories")? {
        let name = Keys::new("facts.categories[]", Some(v))?.text("name")?;
        if names.class(name).is_some() {
            return Err(format!("facts.categories names {name:?} twice"));
        }
        names.classes.push(name.to_owned());
    }
    if names.classes.is_empty() {
        return Err("facts.categories is empty: at least one class is required".into());
    }
    let tenants = tenants(&facts, &mut names.tenants)?;
    let (fleet_size, driver_index) = (facts.count("fleetSize")?, facts.count("me")?);
    // Limits for the whole fleet are divided by its size.
    if fleet_size == 0 {
        return Err("facts.fleetSize is 0, but must be 1 or more".into());
    }
    if driver_index >= fleet_size {
        return Err(format!("facts.me is {driver_index}, but must be below facts.fleetSize ({fleet_size})"));
    }
    let settings = Settings {
        classes: classes(&facts, &family)?,
        zone: names.zone(facts.text("zone")?)?,
        fleet_size,
        driver_index,
        tick: facts.duration("tick")?,
        list_on_request: facts.keyword("membershipMode", |w| match w {
            "on_request" => Some(true),
            "pushed" => Some(false),
            _ => None,
        })?,
        listed_role: family.keyword("roleListed", |w| match w {
            "trailing" => Some(ListedRole::Delayed),
            "static" => Some(ListedRole::Initial),
            "silent" => Some(ListedRole::Unlisted),
            _ => None,
        })?,
        session_tracking: family.keyword("sessionMarks", |w| match w {
            "brought" => Some(SessionTracking::ByRequest),
            "kept" => Some(SessionTracking::ByDriver),
            _ => None,
        })?,
        lag_policy: lag_policy(&family)?,
        answers_carry_positions: family.flag("positions")?,
        rules: rules(&facts)?,
        allowed: allowed(&facts)?,
        penalties: penalties(&facts)?,
        tenants,
        // Not needed without tenants.
        over_share_worth: if names.tenants.is_empty() { 1.0 } else { facts.amount("overShareWorth")? },
    };
    Ok(ParsedSettings { settings, names, connections: connections(&facts)? })
}

/// Reads the tenants and their names; a deployment may have none.
fn tenants(facts: &Keys, names: &mut Vec<String>) -> Result<Vec<Tenant>> {
    let mut tenants = Vec::new();
    let list = facts.map.get("customers").map_or(Ok(None), |_| facts.list("customers").map(Some))?;
    for v in list.into_iter().flatten() {
        let k = Keys::new("facts.customers[]", Some(v))?;
        let (name, rate) = (k.text("name")?, k.num("quotaRps")?);
        if names.iter().any(|n| n == name) {
            return Err(format!("facts.customers names {name:?} twice"));
        }
        if rate.is_nan() || rate < 0.0 {
            return Err(format!("facts.customers[].quotaRps of {name:?} is {rate}, but must be 0 or more"));
        }
        names.push(name.to_owned());
        tenants.push(Tenant { rate });
    }
    Ok(tenants)
}

fn connections(facts: &Keys) -> Result<ConnectionSettings> {
    let k = Keys::new("facts.allowed", facts.map.get("allowed"))?;
    // The simulator manages connections itself, so its adapter may omit these.
    let given = |key: &str| k.map.contains_key(key);
    Ok(ConnectionSettings {
        idle_timeout: if given("connIdle") { k.duration("connIdle")? } else { 30_000_000 },
        connect_timeout: if given("connectTimeout") {
            k.positive_duration("connectTimeout")?
        } else {
            250_000
        },
    })
}

fn lag_policy(family: &Keys) -> Result<LagPolicy> {
    Ok(match family.text("whenBehind")? {
        "silent" => LagPolicy::AnswerStale,
        "bounce" => LagPolicy::Reject,
        "await" => LagPolicy::WaitThenReject(family.duration("catchUpWait")?),
        w => return Err(format!("unknown familyInfo.whenBehind {w:?}")),
    })
}

fn classes(facts: &Keys, family: &Keys) -> Result<Vec<Class>> {
    let (levels, bounds) = (family.texts("readLevel")?, family.list("lagAllowed")?);
    let list = facts.list("categories")?;
    if levels.len() != list.len() || bounds.len() != list.len() {
        return Err("familyInfo.readLevel and lagAllowed need one entry for each of categories".into());
    }
    let mut classes = Vec::new();
    for (i, v) in list.iter().enumerate() {
        let k = Keys::new("facts.categories[]", Some(v))?;
        let bound = time(&bounds[i]).filter(|t| *t >= 0);
        let bound = bound.ok_or("a value of familyInfo.lagAllowed is not a time of 0 or more")?;
        let read = match levels[i].as_str() {
            "mutate" => ReadLevel::Write,
            "strong" => ReadLevel::Fresh,
            "causal" => ReadLevel::Session,
            "lag_bound" => ReadLevel::Bounded(bound),
            "eventual" => ReadLevel::Any,
            w => return Err(format!("unknown familyInfo.readLevel {w:?}")),
        };
        let effect = match k.text("repeat")? {
            "pure" => Effect::Safe,
            "side_effect" => Effect::Unsafe,
            "token" => Effect::Keyed { scope: k.keyword("group", scope)?, window: k.duration("keyTtl")? },
            w => return Err(format!("unknown repeat {w:?}")),
        };
        let (latency_target, deadline) = (k.duration("slo")?, k.positive_duration("deadline")?);
        let (worth, late_worth) = (k.amount("worth")?, k.amount("lateWorth")?);
        classes.push(Class { latency_target, deadline, worth, late_worth, effect, read });
    }
    Ok(classes)
}

fn scope(word: &str) -> Option<Scope> {
    match word {
        "all" => Some(Scope::All),
        "zone" => Some(Scope::Zone),
        "cell" => Some(Scope::Group),
        _ => None,
    }
}

fn rules(facts: &Keys) -> Result<Rules> {
    let k = Keys::new("facts.rules", facts.map.get("rules"))?;
    Ok(Rules {
        answer_slack: k.duration("answerSlack")?,
        initial_capacity_share: k.amount("coldShare")?,
        warm_up_time: k.duration("cold")?,
        drain_grace: k.duration("drainGrace")?,
        overload_multiple: k.amount("fallMultiple")?,
        overload_time: k.duration("fall")?,
        max_list_age: k.map.get("mustAskIn").map_or(Ok(0), |_| k.duration("mustAskIn"))?,
        delisted_stay_open: k.map.get("droppedStayOpen").map_or(Ok(false), |_| k.flag("droppedStayOpen"))?,
    })
}

fn allowed(facts: &Keys) -> Result<Allowed> {
    let k = Keys::new("facts.allowed", facts.map.get("allowed"))?;
    let attempts = k.count("sendCap")?;
    if attempts == 0 {
        return Err("facts.allowed.sendCap is 0, but must be 1 or more".into());
    }
    Ok(Allowed {
        max_attempts: attempts,
        second_copies: k.flag("secondCopies")?,
        probes: k.flag("probing")?,
        cancel: k.flag("mayCancel")?,
        peers: k.flag("peers")?,
        retry_after: k.flag("retryAfter")?,
        max_retry_after: k.duration("maxRetryAfter")?,
    })
}

fn penalties(facts: &Keys) -> Result<Penalties> {
    let k = Keys::new("facts.penalties", facts.map.get("penalties"))?;
    Ok(Penalties { probe: k.amount("probe")?, cross_zone: k.amount("crossZone")?, waste: k.amount("waste")? })
}

/// The FNV-1a hash of a name, which is the same for every driver.
pub fn fnv(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
