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

    fn data_type(&mut self, data_type: &ast::DataType) {
        let name = match data_type {
            ast::DataType::Custom(name, _) => self::name(name).join("."),
            built_in => first_word(&built_in.to_string().to_ascii_lowercase()).to_owned(),
        };
        if !self.catalogue.is_type(name.trim_start_matches("pg_catalog.")) {
            self.object(&format!("the type {name} is not PostgreSQL's own"));
        }
    }

    /// The parser takes a string behind a name for an alias, where PostgreSQL takes the name for a type.
    fn alias_name(&mut self, alias: &ast::Ident) {
        if alias.quote_style == Some('\'') {
            self.object("a string stands where a name is due");
        }
    }

    fn table_alias(&mut self, alias: &ast::TableAlias) {
        self.alias_name(&alias.name);
        for column in &alias.columns {
            if let Some(data_type) = &column.data_type {
                self.data_type(data_type);
            }
        }
    }

    fn function(&mut self, name: &ast::ObjectName) {
        let parts = self::name(name);
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

/// The parts of a name as PostgreSQL keeps them.
fn name(name: &ast::ObjectName) -> Vec<String> {
    name.0.iter().map(|part| part.as_ident().map_or_else(|| part.to_string(), spelled)).collect()
}

/// The first word of a built-in type, without its measure.
fn first_word(data_type: &str) -> &str {
    data_type.split([' ', '(', '[']).next().unwrap_or_default()
}

/// The alias of a source of rows.
fn alias_of(factor: &TableFactor) -> Option<&ast::TableAlias> {
    match factor {
        TableFactor::Table { alias, .. }
        | TableFactor::Function { alias, .. }
        | TableFactor::Derived { alias, .. }
        | TableFactor::UNNEST { alias, .. }
        | TableFactor::TableFunction { alias, .. }
        | TableFactor::NestedJoin { alias, .. }
        | TableFactor::XmlTable { alias, .. }
        | TableFactor::JsonTable { alias, .. } => alias.as_ref(),
        _ => None,
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
        for item in &select.projection {
            if let ast::SelectItem::ExprWithAlias { alias, .. } = item {
                self.alias_name(alias);
            }
        }
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
        self.tables.push(name(relation).join("."));
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        if let Some(alias) = alias_of(factor) {
            self.table_alias(alias);
        }
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
            Expr::Cast { data_type, .. } => self.data_type(data_type),
            Expr::TypedString(literal) => self.data_type(&literal.data_type),
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
