//! The judgement of a shape, on a miss of the cache: what the statement does, what it touches and what it may cost.
//!
//! Two judges look at it, and a read is only what both call one: the tree, and the tokens without regard to the tree.

use std::ops::ControlFlow;

use sqlparser::ast::{self, Expr, Query, SetExpr, Statement, TableFactor, Visit, Visitor};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::catalogue::Catalogue;
use crate::explain::{self, Effect, Explain};
use crate::lexer::Kind;
use crate::shape::{canonical, Piece};

/// Longer, deeper and more linked statements are not judged: a tree of them could exhaust the stack or the time.
const MOST_PIECES: usize = 20_000;
const DEEPEST: usize = 16;
const MOST_LINKS: usize = 400;
/// So far the columns of a common table expression are looked for, in tokens.
const MOST_COLUMNS: usize = 200;

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// It changes nothing, as was proved.
    Read,
    /// It changes data, or may.
    Write,
    /// It changes what later statements of the connection meet.
    Session,
    /// It can't be told.
    Unknown,
}

impl Access {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Access::Read => "read",
            Access::Write => "write",
            Access::Session => "session",
            Access::Unknown => "unknown",
        }
    }
}

/// How many statements a text holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statements {
    /// Comments and space alone.
    None,
    /// One, or what can't be told.
    One,
    /// More than one.
    Several,
}

/// What is known of all statements of a shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// What they do.
    pub access: Access,
    /// How many there are.
    pub statements: Statements,
    /// Why, in words.
    pub why: String,
    /// What they begin with, in lower case.
    pub verb: String,
    /// Tables that they name, as written, in lower case unless quoted.
    pub tables: Vec<String>,
    /// Functions that they call.
    pub functions: Vec<String>,
    /// An estimate of what they cost, by their structure: 1 for a look-up by a key.
    pub cost: f32,
}

impl Verdict {
    /// Bytes that it holds, beside its own size.
    pub fn held(&self) -> usize {
        let lists = self.tables.iter().chain(&self.functions);
        let list = lists.map(|s| s.capacity() + size_of::<String>()).sum::<usize>();
        self.why.capacity() + self.verb.capacity() + list
    }
}

/// What statements that begin with a word do, unless they are queries.
fn by_verb(verb: &str) -> Option<Access> {
    let words = |text: &str| text.split_whitespace().any(|w| w == verb);
    let session = "set reset discard begin start commit end rollback abort savepoint release listen unlisten declare fetch \
        move close prepare execute deallocate load checkpoint";
    let write = "insert update delete merge truncate create alter drop grant revoke comment copy call do lock vacuum analyze \
        cluster reindex refresh notify reassign security import";
    if words(session) {
        Some(Access::Session)
    } else if words(write) {
        Some(Access::Write)
    } else {
        None
    }
}

/// Judges the pieces of a shape.
pub(crate) fn judge(catalogue: &Catalogue, pieces: &[Piece]) -> Verdict {
    let pieces = match pieces.iter().rposition(|p| !p.is(";")) {
        Some(last) => &pieces[..=last],
        None => &[],
    };
    let opens = pieces.iter().find(|p| !p.is("("));
    let verb = opens.filter(|p| p.kind == Kind::Word).map_or("", |p| &p.text);
    let mut verdict = Verdict {
        access: Access::Unknown,
        statements: Statements::One,
        why: String::new(),
        verb: verb.to_owned(),
        tables: Vec::new(),
        functions: Vec::new(),
        cost: 1.0,
    };
    let say = |verdict: Verdict, access, why: &str| Verdict { access, why: why.to_owned(), ..verdict };
    if pieces.is_empty() {
        verdict.statements = Statements::None;
        return say(verdict, Access::Session, "it is empty");
    }
    if pieces.iter().any(|p| p.is(";")) {
        verdict.statements = Statements::Several;
        return say(verdict, Access::Unknown, "there are several statements");
    }
    if pieces.iter().any(|p| p.kind == Kind::Doubtful) {
        return say(verdict, Access::Unknown, "the end of a string depends on standard_conforming_strings");
    }
    let known = by_verb(verb);
    if let Some(why) = too_large(pieces) {
        return say(verdict, known.unwrap_or(Access::Unknown), why);
    }
    verdict.functions = calls(pieces, catalogue).into_iter().map(|c| c.name).collect();
    // TABLE t is short for a query that the parser knows in full only.
    let text = match pieces {
        [table, name @ ..] if table.is_word("table") => format!("select * from {}", canonical(name)),
        _ => canonical(pieces),
    };
    let parsed = Parser::new(&PostgreSqlDialect {}).with_recursion_limit(64).try_with_sql(&text);
    let parsed = parsed.and_then(|mut p| p.parse_statements());
    let mut tree = Tree { catalogue, objection: None, tables: Vec::new(), names: Vec::new(), cost: 0.0 };
    match &parsed {
        Ok(statements) => {
            let _ = statements.visit(&mut tree);
        }
        Err(e) if known.is_none() => {
            return say(verdict, Access::Unknown, &format!("it can't be parsed: {e}"));
        }
        Err(_) => {}
    }
    // A common table expression is no table.
    tree.tables.retain(|t| !tree.names.contains(t));
    tree.tables.dedup();
    verdict.tables = std::mem::take(&mut tree.tables);
    verdict.cost = 1.0 + tree.cost;
    if let Some(access) = known {
        let why = format!("it begins with {verb}");
        return say(verdict, access, &why);
    }
    let Ok([statement]) = parsed.as_deref() else {
        return say(verdict, Access::Unknown, "it is no one statement");
    };
    match object(pieces, catalogue).or_else(|| tree.object_to(statement)) {
        Some(Objection { access, why }) => say(verdict, access, &why),
        None => say(verdict, Access::Read, proof(verb)),
    }
}

/// What was shown of a statement that is a read.
fn proof(verb: &str) -> &'static str {
    match verb {
        "explain" => "a plan is shown, and nothing runs that has effects",
        "show" => "a setting is shown",
        _ => "a query, and all that it calls is free of effects",
    }
}

/// Why a judge does not call a statement a read.
struct Objection {
    /// What the statement counts as.
    access: Access,
    why: String,
}

impl Objection {
    fn write(why: impl Into<String>) -> Self {
        Objection { access: Access::Write, why: why.into() }
    }

    fn unknown_kind() -> Self {
        let why = "no statement of this kind is known to change nothing".to_owned();
        Objection { access: Access::Unknown, why }
    }
}

fn too_large(pieces: &[Piece]) -> Option<&'static str> {
    if pieces.len() > MOST_PIECES {
        return Some("it is too long to be judged");
    }
    let (mut depth, mut links) = (0_usize, 0);
    for p in pieces {
        match p.kind {
            Kind::Mark if p.text == "(" || p.text == "[" => depth += 1,
            Kind::Mark if p.text == ")" || p.text == "]" => depth = depth.saturating_sub(1),
            Kind::Operator => links += 1,
            Kind::Mark if p.text == "::" => links += 1,
            Kind::Word
                if matches!(
                    &*p.text,
                    "and" | "or" | "not" | "union" | "intersect" | "except" | "case" | "join"
                ) =>
            {
                links += 1;
            }
            _ => {}
        }
        if depth > DEEPEST {
            return Some("it is nested too deep to be judged");
        }
    }
    (links > MOST_LINKS).then_some("it links too much to be judged")
}

// ---- The tokens ----

/// A call as the tokens show it.
struct Call {
    /// With its schema, where it has one.
    name: String,
    pure: bool,
}

/// All calls: a name with a bracket behind it, unless it is an alias with its columns.
fn calls(pieces: &[Piece], catalogue: &Catalogue) -> Vec<Call> {
    let mut calls = Vec::new();
    for (i, p) in pieces.iter().enumerate() {
        let is_name = matches!(p.kind, Kind::Word | Kind::Quoted);
        if !is_name || !pieces.get(i + 1).is_some_and(|n| n.is("(")) {
            continue;
        }
        let before = |n: usize| i.checked_sub(n).and_then(|at| pieces.get(at));
        let dotted = before(1).is_some_and(|b| b.is("."));
        if p.kind == Kind::Word && !dotted && catalogue.opens_no_call(&p.text) && !is_function_too(&p.text) {
            continue;
        }
        // The sample's own methods; elsewhere these are names like any other.
        let sampled = before(1).is_some_and(|b| b.is_word("tablesample"));
        let options = i == 0 && p.is_word("explain");
        if options || (sampled && (p.is_word("bernoulli") || p.is_word("system"))) {
            continue;
        }
        // A type with its measure, `numeric(10, 2)`, behind a cast.
        let cast = before(1).is_some_and(|b| b.is("::") || b.is_word("as"));
        if p.kind == Kind::Word && cast && catalogue.is_type(&p.text) {
            continue;
        }
        let alias = match before(1) {
            Some(b) if b.is_word("as") || b.is_word("recursive") => true,
            Some(b) if b.kind == Kind::Quoted || b.is(")") => true,
            Some(b) if b.kind == Kind::Word => !catalogue.stands_before_operand(&b.text) && !dotted,
            _ => false,
        };
        // WITH a (x) AS: a name, and no call; a further one stands behind a comma, and shows by what follows.
        let named = before(1).is_some_and(|b| b.is_word("with") || b.is(",") || b.is_word("recursive"));
        if alias || (named && names_columns(&pieces[i + 1..])) {
            continue;
        }
        let schema = before(2).filter(|b| dotted && matches!(b.kind, Kind::Word | Kind::Quoted));
        let deeper = dotted && before(3).is_some_and(|b| b.is("."));
        let pure =
            !deeper && (!dotted || schema.is_some()) && catalogue.is_pure(schema.map(|s| &*s.text), &p.text);
        let name = schema.map_or_else(|| p.text.clone(), |s| format!("{}.{}", s.text, p.text));
        calls.push(Call { name, pure });
    }
    calls
}

/// Words that are key words, and functions as well.
fn is_function_too(word: &str) -> bool {
    matches!(word, "left" | "right" | "grouping")
}

/// Whether a bracket holds names alone and is followed by AS and a bracket: the columns of a common table expression.
fn names_columns(pieces: &[Piece]) -> bool {
    let Some(end) = pieces.iter().take(MOST_COLUMNS).position(|p| p.is(")")) else { return false };
    let names = pieces[1..end].iter().all(|p| matches!(p.kind, Kind::Word | Kind::Quoted) || p.is(","));
    let mut rest = pieces[end + 1..].iter().filter(|p| !p.is_word("not") && !p.is_word("materialized"));
    names && rest.next().is_some_and(|p| p.is_word("as")) && rest.next().is_some_and(|p| p.is("("))
}

/// Why the tokens alone speak against a read.
fn object(pieces: &[Piece], catalogue: &Catalogue) -> Option<Objection> {
    let (first, rest) = pieces.split_first()?;
    if first.is_word("explain") {
        return object_to_explain(rest, catalogue);
    }
    if first.is_word("show") {
        return object_to_show(rest);
    }
    if !explain::begins_query(pieces) {
        return Some(Objection::unknown_kind());
    }
    object_to_query(pieces, catalogue).map(Objection::write)
}

/// Why the tokens behind EXPLAIN speak against a read.
fn object_to_explain(pieces: &[Piece], catalogue: &Catalogue) -> Option<Objection> {
    let explain = match Explain::read(pieces) {
        Ok(explain) => explain,
        Err(unclear) => return Some(Objection::write(unclear.to_string())),
    };
    match explain.effect {
        Effect::ShowsPlan if explain.is_explainable() => None,
        Effect::ShowsPlan => Some(Objection::write("what is explained is not known to stay unrun")),
        Effect::Runs => object_to_query(explain.statement, catalogue).map(Objection::write),
    }
}

/// Why the tokens behind SHOW speak against a read: it takes a name.
fn object_to_show(pieces: &[Piece]) -> Option<Objection> {
    let in_name = |p: &Piece| matches!(p.kind, Kind::Word | Kind::Quoted) || p.is(".");
    (!pieces.iter().all(in_name)).then(|| Objection::write("what is shown is no name"))
}

/// Why the tokens of a query alone speak against a read.
fn object_to_query(pieces: &[Piece], catalogue: &Catalogue) -> Option<String> {
    if let Some(call) = calls(pieces, catalogue).into_iter().find(|c| !c.pure) {
        return Some(format!("{} is not known to be free of effects", call.name));
    }
    for (i, p) in pieces.iter().enumerate() {
        let next = pieces.get(i + 1);
        let before = i.checked_sub(1).and_then(|at| pieces.get(at));
        let dotted = before.is_some_and(|b| b.is("."));
        match p.kind {
            Kind::Word if !dotted && catalogue.writes(&p.text) => {
                return Some(format!("{} stands in it", p.text));
            }
            Kind::Word if p.text == "operator" && next.is_some_and(|n| n.is("(")) => {
                return Some("an operator is named by its schema".to_owned());
            }
            Kind::Word if p.text == "for" => {
                let locks =
                    |n: &Piece| matches!(&*n.text, "update" | "share" | "no" | "key") && n.kind == Kind::Word;
                if next.is_some_and(locks) {
                    return Some("it locks rows".to_owned());
                }
            }
            Kind::Operator if !catalogue.is_operator(&p.text) => {
                return Some(format!("the operator {} is not PostgreSQL's own", p.text));
            }
            _ => {}
        }
        if dotted && matches!(p.kind, Kind::Word | Kind::Quoted) {
            let behind = i.checked_sub(2).and_then(|at| pieces.get(at));
            if behind.is_some_and(|b| b.is(")") || b.is("]")) {
                return Some(format!("({}) may be a call of a function", p.text));
            }
            if catalogue.is_writing(&p.text) {
                return Some(format!("{} is declared to write", p.text));
            }
        }
        if p.is("::") {
            if let Some(why) = cast(&pieces[i + 1..], catalogue) {
                return Some(why);
            }
        }
    }
    None
}

/// Why a cast to what stands here may have effects.
fn cast(pieces: &[Piece], catalogue: &Catalogue) -> Option<String> {
    let (first, dot) = (pieces.first()?, pieces.get(1));
    let name = match (first, dot) {
        (schema, Some(dot)) if dot.is(".") && schema.text == "pg_catalog" => pieces.get(2)?,
        (_, Some(dot)) if dot.is(".") => {
            return Some(format!("the type {} has a schema of its own", first.text))
        }
        _ => first,
    };
    let known = catalogue.is_type(&name.text) && matches!(name.kind, Kind::Word | Kind::Quoted);
    (!known).then(|| format!("the type {} is not PostgreSQL's own", name.text))
}

// ---- The tree ----

struct Tree<'a> {
    catalogue: &'a Catalogue,
    objection: Option<String>,
    tables: Vec<String>,
    /// Names of common table expressions.
    names: Vec<String>,
    cost: f32,
}

impl Tree<'_> {
    /// Why the tree speaks against a read, once all of it was visited.
    fn object_to(self, statement: &Statement) -> Option<Objection> {
        match statement {
            Statement::Query(_) => self.objection.map(Objection::write),
            Statement::Explain { analyze, options, statement, .. } => {
                let effect = match options {
                    Some(options) => explain::effect_of_parsed(options),
                    None if *analyze => Ok(Effect::Runs),
                    None => Ok(Effect::ShowsPlan),
                };
                match (effect, &**statement) {
                    (Err(unclear), _) => Some(Objection::write(unclear.to_string())),
                    (Ok(Effect::ShowsPlan), _) => None,
                    (Ok(Effect::Runs), Statement::Query(_)) => self.objection.map(Objection::write),
                    (Ok(Effect::Runs), _) => {
                        Some(Objection::write("what is explained runs, and is no query"))
                    }
                }
            }
            Statement::ShowVariable { .. } => None,
            _ => Some(Objection::unknown_kind()),
        }
    }

    fn object(&mut self, why: &str) {
        self.objection.get_or_insert_with(|| why.to_owned());
    }

    fn function(&mut self, name: &ast::ObjectName) {
        let parts: Vec<_> =
            name.0.iter().map(|p| p.as_ident().map_or_else(|| p.to_string(), spelled)).collect();
        let pure = match &parts[..] {
            [name] => self.catalogue.is_pure(None, name),
            [schema, name] => self.catalogue.is_pure(Some(schema), name),
            _ => false,
        };
        if !pure {
            self.object(&format!("{} is not known to be free of effects", parts.join(".")));
        }
    }
}

/// An identifier as PostgreSQL keeps it.
fn spelled(ident: &ast::Ident) -> String {
    if ident.quote_style.is_some() {
        ident.value.clone()
    } else {
        ident.value.to_ascii_lowercase()
    }
}

impl Visitor for Tree<'_> {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() {
            self.object("it locks rows");
        }
        if !matches!(
            &*query.body,
            SetExpr::Select(_)
                | SetExpr::Query(_)
                | SetExpr::SetOperation { .. }
                | SetExpr::Values(_)
                | SetExpr::Table(_)
        ) {
            self.object("a part of it changes data");
        }
        if !query.pipe_operators.is_empty() || query.for_clause.is_some() || query.settings.is_some() {
            self.object("it is no query of PostgreSQL's");
        }
        for table in query.with.iter().flat_map(|w| &w.cte_tables) {
            self.names.push(spelled(&table.alias.name));
        }
        let limited = query.limit_clause.is_some() || query.fetch.is_some();
        self.cost += if query.order_by.is_some() && !limited { 2.0 } else { 0.5 };
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &ast::Select) -> ControlFlow<()> {
        if select.into.is_some() {
            self.object("it makes a table");
        }
        let joins: usize = select.from.iter().map(|f| f.joins.len()).sum();
        self.cost += 2.0 * joins as f32 + 4.0 * select.from.len().saturating_sub(1) as f32;
        // Without a condition a whole table is read.
        if select.selection.is_none() && !select.from.is_empty() {
            self.cost += 20.0;
        }
        let grouped = !matches!(&select.group_by, ast::GroupByExpr::Expressions(e, _) if e.is_empty());
        self.cost += if grouped || select.distinct.is_some() { 5.0 } else { 0.0 };
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ast::ObjectName) -> ControlFlow<()> {
        let parts = relation.0.iter().map(|p| p.as_ident().map_or_else(|| p.to_string(), spelled));
        self.tables.push(parts.collect::<Vec<_>>().join("."));
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
                self.function(name)
            }
            TableFactor::Table { .. }
            | TableFactor::Derived { .. }
            | TableFactor::UNNEST { .. }
            | TableFactor::TableFunction { .. }
            | TableFactor::NestedJoin { .. }
            | TableFactor::XmlTable { .. }
            | TableFactor::JsonTable { .. } => {}
            _ => self.object("it is no query of PostgreSQL's"),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                self.function(&function.name);
                self.cost += if function.over.is_some() { 4.0 } else { 0.2 };
            }
            Expr::Cast { data_type, .. } => {
                let text = data_type.to_string().to_ascii_lowercase();
                let name =
                    text.trim_start_matches("pg_catalog.").split([' ', '(', '[']).next().unwrap_or_default();
                if !self.catalogue.is_type(name) {
                    self.object(&format!("the type {name} is not PostgreSQL's own"));
                }
            }
            Expr::Like { .. } | Expr::ILike { .. } | Expr::SimilarTo { .. } => self.cost += 3.0,
            Expr::Subquery(_) | Expr::Exists { .. } => self.cost += 3.0,
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if !matches!(
            statement,
            Statement::Query(_) | Statement::Explain { .. } | Statement::ShowVariable { .. }
        ) {
            self.object("a part of it is no query");
        }
        ControlFlow::Continue(())
    }
}
