//! The operators' rules file, in protobuf's text format. The schema `proto/rules.proto` is compiled when the
//! program reads a file.

use std::path::Path;

use gradeshunt_classing::{Access, Declared};
use gradeshunt_textproto::{Message, Schema};
use leadmast::settings::ParsedSettings;
use leadmast::{Effect, GroupId, Micros};

use super::{is_write_class, Match, Route, Rules};

const SCHEMA: &str = include_str!("../../proto/rules.proto");
/// Default size of the shape cache.
const DEFAULT_SHAPES_KB: u64 = 4096;

/// Reads the declared functions and the conditions and class name of each route from a file, without the
/// settings that define the classes.
///
/// # Errors
/// As for [`parse`], except for errors that need the settings to be found.
pub fn read_outline(path: &Path) -> Result<(Declared, Vec<(Match, String)>), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let message = parse_message(&text).map_err(|e| format!("{}:{e}", path.display()))?;
    let routes = message.list("route").into_iter().map(|r| {
        let matches =
            r.inner("match").map_or_else(|| Ok(Match::default()), |m| parse_match(&m, &r.text("name")));
        matches.map(|m| (m, r.text("class")))
    });
    let routes = routes.collect::<Result<Vec<_>, _>>().map_err(|e| format!("{}:{e}", path.display()))?;
    Ok((parse_declared(&message), routes))
}

fn parse_message(text: &str) -> Result<Message, String> {
    Schema::new("rules.proto", SCHEMA, "gradeshunt.Rules")?.parse(text)
}

fn parse_declared(message: &Message) -> Declared {
    message.inner("functions").map_or_else(Declared::default, |f| Declared {
        reading: f.texts("reading"),
        writing: f.texts("writing"),
        types: f.texts("type"),
    })
}

/// Parses the text of a rules file and checks it against the settings.
///
/// # Errors
/// The first error as a single line of text, preceded by its line number if it is one of syntax.
pub fn parse(text: &str, facts: &ParsedSettings) -> Result<Rules, String> {
    let message = parse_message(text)?;
    let routes =
        message.list("route").iter().map(|r| parse_route(r, facts)).collect::<Result<Vec<_>, _>>()?;
    if routes.is_empty() {
        return Err(" no route is given".to_owned());
    }
    if !routes.iter().any(|r| is_write_class(&facts.settings, r.class)) {
        return Err(
            " no route accepts statements that may write: at least one needs a class for writes".to_owned()
        );
    }
    let declared = parse_declared(&message);
    let kb = match message.number("shapes_kb") {
        0 => DEFAULT_SHAPES_KB,
        kb => kb,
    };
    Ok(Rules {
        routes,
        declared,
        shape_cache_bytes: usize::try_from(kb).unwrap_or(usize::MAX).saturating_mul(1024),
    })
}

fn parse_route(route: &Message, facts: &ParsedSettings) -> Result<Route, String> {
    let name = route.text("name");
    let class = route.text("class");
    let classes = &facts.names;
    let known = || classes.classes.join(", ");
    let class = classes
        .class(&class)
        .ok_or_else(|| format!(" route {name:?}: unknown class {class:?}, expected one of {}", known()))?;
    // Without an idempotency key, which plain statements lack, a db host can't tell a repeat from a second
    // request.
    if is_write_class(&facts.settings, class) && facts.settings.classes[class.0].effect != Effect::Unsafe {
        let class = &classes.classes[class.0];
        return Err(format!(
            " route {name:?}: class {class:?} needs idempotency keys, which plain statements don't have; use a class whose repeat is \"side_effect\""
        ));
    }
    let cluster = route.number("cluster");
    let wait = Some(route.number("deadline_ms")).filter(|ms| *ms > 0);
    let matches = route.inner("match").map_or_else(|| Ok(Match::default()), |m| parse_match(&m, &name))?;
    Ok(Route {
        matches,
        class,
        group: GroupId(cluster),
        wait: wait.map(|ms| Micros::try_from(ms).unwrap_or(Micros::MAX).saturating_mul(1000)),
        comment: route.flag("comment"),
        name,
    })
}

fn parse_match(m: &Message, route: &str) -> Result<Match, String> {
    let access = m.words("access").into_iter().map(|v| match v {
        1 => Ok(Access::Read),
        2 => Ok(Access::Write),
        3 => Ok(Access::Unknown),
        _ => Err(format!(" route {route:?}: an access is READ, WRITE or UNKNOWN")),
    });
    let cost = |name: &str| m.fraction(name).unwrap_or(0.0) as f32;
    Ok(Match {
        access: access.collect::<Result<_, _>>()?,
        tables: m.texts("table"),
        functions: m.texts("function"),
        users: m.texts("user"),
        databases: m.texts("database"),
        applications: m.texts("application_name"),
        cost_from: cost("cost_from"),
        cost_below: Some(cost("cost_below")).filter(|c| *c > 0.0),
    })
}
