//! The judgement by the tree of a statement, as the parser made it.

use std::ops::ControlFlow;

use sqlparser::ast::{self, Expr, Query, SetExpr, Statement, TableFactor, Visitor};

use crate::catalogue::Catalogue;
use crate::explain::{self, Effect};
use crate::objection::Objection;

/// What a visit of a tree has found.
pub(crate) struct Tree<'a> {
    catalogue: &'a Catalogue,
    objection: Option<String>,
    tables: Vec<String>,
    /// Names of common table expressions.
    names: Vec<String>,
    /// An estimate of what the statement costs beside a look-up by a key.
    pub(crate) cost: f32,
}

impl<'a> Tree<'a> {
    pub(crate) fn new(catalogue: &'a Catalogue) -> Self {
        Tree { catalogue, objection: None, tables: Vec::new(), names: Vec::new(), cost: 0.0 }
    }

    /// The tables that were named. A common table expression is none.
    pub(crate) fn take_tables(&mut self) -> Vec<String> {
        let mut tables = std::mem::take(&mut self.tables);
        tables.retain(|table| !self.names.contains(table));
        tables.dedup();
        tables
    }

    /// Why the tree speaks against a read, once all of it was visited.
    pub(crate) fn object_to(self, statement: &Statement) -> Option<Objection> {
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
