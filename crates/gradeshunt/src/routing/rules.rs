//! The operators' file, in protobuf's text format. Its schema is `proto/rules.proto`, compiled when the program reads a file.

use std::path::Path;

use gradeshunt_classing::{Access, Declared};
use leadmast::settings::Facts;
use leadmast::{Effect, GroupId, Micros};
use prost_reflect::{DescriptorPool, DynamicMessage, ReflectMessage, Value};

use super::{writes, Match, Route, Rules};

const SCHEMA: &str = include_str!("../../proto/rules.proto");
const FILE: &str = "rules.proto";
const SHAPES_KB: u64 = 4096;

/// Reads a file.
///
/// # Errors
/// What is wrong with it, in one line, with its place.
pub fn load(path: &Path, facts: &Facts) -> Result<Rules, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    parse(&text, facts).map_err(|e| format!("{}:{e}", path.display()))
}

/// The schema, compiled.
fn schema() -> Result<DescriptorPool, String> {
    let mut resolver = protox::file::ChainFileResolver::new();
    resolver.add(Embedded);
    let mut compiler = protox::Compiler::with_file_resolver(resolver);
    compiler.open_file(FILE).map_err(|e| e.to_string())?;
    Ok(compiler.descriptor_pool())
}

struct Embedded;

impl protox::file::FileResolver for Embedded {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        match name {
            FILE => protox::file::File::from_source(name, SCHEMA),
            _ => Err(protox::Error::file_not_found(name)),
        }
    }
}

/// What a file says of statements and the names of their classes, without the settings that the classes stand in.
///
/// # Errors
/// As of [`load`], but of nothing that only the settings tell.
pub fn outline(path: &Path) -> Result<(Declared, Vec<(Match, String)>), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let message = read(&text).map_err(|e| format!("{}:{e}", path.display()))?;
    let routes = list(&message, "route").into_iter().filter_map(|r| r.as_message().cloned()).map(|r| {
        let matches =
            inner(&r, "match").map_or_else(|| Ok(Match::default()), |m| matches(&m, &self::text(&r, "name")));
        matches.map(|m| (m, self::text(&r, "class")))
    });
    let routes = routes.collect::<Result<Vec<_>, _>>().map_err(|e| format!("{}:{e}", path.display()))?;
    Ok((declared(&message), routes))
}

fn read(text: &str) -> Result<DynamicMessage, String> {
    let pool = schema()?;
    let rules = pool.get_message_by_name("gradeshunt.Rules").ok_or("the schema has no Rules")?;
    DynamicMessage::parse_text_format(rules, text).map_err(|e| place(text, &e))
}

fn declared(message: &DynamicMessage) -> Declared {
    inner(message, "functions").map_or_else(Declared::default, |f| Declared {
        reading: texts(&f, "reading"),
        writing: texts(&f, "writing"),
        types: texts(&f, "type"),
    })
}

/// Reads the text of a file.
pub fn parse(text: &str, facts: &Facts) -> Result<Rules, String> {
    let message = read(text)?;
    let routes = list(&message, "route").iter().map(|r| route(r, facts)).collect::<Result<Vec<_>, _>>()?;
    if routes.is_empty() {
        return Err(" no route is given".to_owned());
    }
    if !routes.iter().any(|r| writes(&facts.settings, r.class)) {
        return Err(" no route takes what may write: one needs a class for writes".to_owned());
    }
    let declared = declared(&message);
    let kb = match number(&message, "shapes_kb") {
        0 => SHAPES_KB,
        kb => kb,
    };
    Ok(Rules { routes, declared, shapes: usize::try_from(kb).unwrap_or(usize::MAX).saturating_mul(1024) })
}

/// What the parser complains of, behind the line and the column where it stands.
fn place(text: &str, error: &prost_reflect::text_format::ParseError) -> String {
    use miette::Diagnostic;
    let at = error.labels().and_then(|mut l| l.next()).map(|l| l.offset());
    let before = &text[..at.unwrap_or(0).min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, str::len) + 1;
    format!("{line}:{column}: {error}")
}

fn route(value: &Value, facts: &Facts) -> Result<Route, String> {
    let route = value.as_message().ok_or(" a route is no message")?;
    let name = text(route, "name");
    let class = text(route, "class");
    let classes = &facts.names;
    let known = || classes.classes.join(", ");
    let class = classes
        .class(&class)
        .ok_or_else(|| format!(" route {name:?}: unknown class {class:?}, expected one of {}", known()))?;
    // A key would tell a repeat from a second request; plain statements have none.
    if writes(&facts.settings, class) && facts.settings.classes[class.0].effect != Effect::Unsafe {
        let class = &classes.classes[class.0];
        return Err(format!(
            " route {name:?}: class {class:?} is repeated by keys, which plain statements don't have; take one whose repeat is \"side_effect\""
        ));
    }
    let cluster = number(route, "cluster");
    let wait = Some(number(route, "deadline_ms")).filter(|ms| *ms > 0);
    let matches = inner(route, "match").map_or_else(|| Ok(Match::default()), |m| matches(&m, &name))?;
    Ok(Route {
        matches,
        class,
        group: GroupId(cluster),
        wait: wait.map(|ms| Micros::try_from(ms).unwrap_or(Micros::MAX).saturating_mul(1000)),
        comment: field(route, "comment").as_bool().unwrap_or(false),
        name,
    })
}

fn matches(m: &DynamicMessage, route: &str) -> Result<Match, String> {
    let access = list(m, "access").into_iter().map(|v| match v.as_enum_number() {
        Some(1) => Ok(Access::Read),
        Some(2) => Ok(Access::Write),
        Some(3) => Ok(Access::Unknown),
        _ => Err(format!(" route {route:?}: an access is READ, WRITE or UNKNOWN")),
    });
    let cost = |name: &str| field(m, name).as_f32().unwrap_or(0.0);
    Ok(Match {
        access: access.collect::<Result<_, _>>()?,
        tables: texts(m, "table"),
        functions: texts(m, "function"),
        users: texts(m, "user"),
        databases: texts(m, "database"),
        applications: texts(m, "application_name"),
        cost_from: cost("cost_from"),
        cost_below: Some(cost("cost_below")).filter(|c| *c > 0.0),
    })
}

// ---- Fields by their names; the schema says that they are there ----

fn field(message: &DynamicMessage, name: &str) -> Value {
    message.get_field_by_name(name).map_or(Value::Bool(false), std::borrow::Cow::into_owned)
}

fn inner(message: &DynamicMessage, name: &str) -> Option<DynamicMessage> {
    let there = message.descriptor().get_field_by_name(name).is_some_and(|f| message.has_field(&f));
    there.then(|| field(message, name).as_message().cloned()).flatten()
}

fn list(message: &DynamicMessage, name: &str) -> Vec<Value> {
    field(message, name).as_list().map(<[Value]>::to_vec).unwrap_or_default()
}

fn text(message: &DynamicMessage, name: &str) -> String {
    field(message, name).as_str().map(str::to_owned).unwrap_or_default()
}

fn texts(message: &DynamicMessage, name: &str) -> Vec<String> {
    list(message, name).iter().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn number(message: &DynamicMessage, name: &str) -> u64 {
    let value = field(message, name);
    value.as_u64().or_else(|| value.as_u32().map(u64::from)).unwrap_or(0)
}
