//! Classifies a statement by its syntax tree: visits the tree, and combines the findings with those of the prescan.

use std::collections::BTreeSet;
use std::ops::ControlFlow;

use sqlparser::ast::{
    ArrayElemTypeDef, BinaryOperator, CopySource, CopyTarget, DataType, Expr, FunctionArguments, Ident,
    ObjectName, ObjectNamePart, Query, SetExpr, Statement, TableAlias, TableFactor, TableSampleKind, Visitor,
};

use super::{Classification, StatementKind, classify_objection, classify_unparsed};
use crate::builtin_catalog;
use crate::prescan::{Cause, Prescan};

/// The findings of a visit to the syntax tree.
#[derive(Default)]
pub(super) struct TreeFindings {
    /// Names of tables, including those of common table expressions.
    pub(super) tables: BTreeSet<String>,
    /// Names of common table expressions.
    pub(super) cte_names: BTreeSet<String>,
    pub(super) functions: BTreeSet<String>,
    /// Names before a parenthesis that are not calls: aliases, and targets of `COPY`, with a list of columns.
    column_list_names: Vec<String>,
    statements: usize,
    pub(super) locks: bool,
    /// Why the statement writes, by the first write that was found.
    write_reason: Option<&'static str>,
    /// Why the statement may write, by the first construct that was found.
    unknown_reason: Option<String>,
}

fn ident_text(ident: &Ident) -> String {
    if ident.quote_style.is_some() { ident.value.clone() } else { ident.value.to_ascii_lowercase() }
}

fn name(name: &ObjectName) -> Option<String> {
    let parts: Option<Vec<String>> = name
        .0
        .iter()
        .map(|part| match part {
            ObjectNamePart::Identifier(part) => Some(ident_text(part)),
            ObjectNamePart::Function(_) => None,
        })
        .collect();
    parts.map(|parts| parts.join("."))
}

impl TreeFindings {
    fn note_unknown(&mut self, reason: impl Into<String>) {
        if self.unknown_reason.is_none() {
            self.unknown_reason = Some(reason.into());
        }
    }

    fn record_call(&mut self, called: &ObjectName) {
        if let [ObjectNamePart::Identifier(only)] = called.0.as_slice() {
            if only.quote_style.is_none()
                && builtin_catalog::contains_ignore_case(
                    builtin_catalog::FUNCTION_LIKE_KEYWORDS,
                    only.value.as_bytes(),
                )
            {
                return;
            }
        }
        let Some(called) = name(called) else {
            return self.note_unknown("a name that is computed by a function");
        };
        let unqualified = called.strip_prefix("pg_catalog.").unwrap_or(&called);
        if !builtin_catalog::contains_exact(builtin_catalog::READ_ONLY_FUNCTIONS, unqualified.as_bytes()) {
            self.note_unknown(format!("{called}() may write"));
        }
        self.functions.insert(called);
    }

    fn check_cast(&mut self, to: &DataType) {
        let is_unknown_type = match to {
            DataType::Custom(name, _) => {
                !name.0.last().and_then(|part| part.as_ident()).is_some_and(|part| {
                    let unqualified = name.0.len() == 1
                        || name.0.len() == 2
                            && name.0[0].as_ident().is_some_and(|schema| ident_text(schema) == "pg_catalog");
                    unqualified
                        && builtin_catalog::contains_exact(
                            builtin_catalog::BUILTIN_TYPES,
                            ident_text(part).as_bytes(),
                        )
                })
            }
            DataType::Array(element) => {
                return match element {
                    ArrayElemTypeDef::SquareBracket(inner, _) => self.check_cast(inner),
                    _ => self.note_unknown(format!("a cast to {to}")),
                };
            }
            _ => false,
        };
        if is_unknown_type {
            self.note_unknown(format!("a cast to {to}, which is not a built-in type"));
        }
    }

    fn record_alias(&mut self, alias: Option<&TableAlias>) {
        if let Some(alias) = alias.filter(|alias| !alias.columns.is_empty()) {
            self.column_list_names.push(ident_text(&alias.name));
            alias
                .columns
                .iter()
                .filter_map(|column| column.data_type.as_ref())
                .for_each(|to| self.check_cast(to));
        }
    }

    fn note_write(&mut self, reason: &'static str) {
        self.write_reason.get_or_insert(reason);
    }

    /// Classifies the statement by the findings and the prescan. `is_executed` is false if it is only explained.
    pub(super) fn classify(
        &mut self,
        statement: &Statement,
        is_executed: bool,
        text: &[u8],
        prescan: &Prescan,
    ) -> Classification {
        if let Some(classification) = self.classify_by_statement_kind(statement, text, prescan) {
            return classification;
        }
        if let Some(objection) = self.first_objection(is_executed, text, prescan) {
            return objection;
        }
        if let Some(called) = self.first_unknown_call(is_executed, text, prescan) {
            return Classification::new(StatementKind::Unknown, format!("{called}() may write"));
        }
        let reason = if is_executed { "nothing in it can write" } else { "EXPLAIN alone runs nothing" };
        Classification::new(StatementKind::Read, reason)
    }

    /// Adds the findings that follow from the kind of statement. Returns a classification if the kind alone determines it.
    fn classify_by_statement_kind(
        &mut self,
        statement: &Statement,
        text: &[u8],
        prescan: &Prescan,
    ) -> Option<Classification> {
        match statement {
            Statement::Query(_) => None,
            Statement::ShowVariable { .. } => {
                Some(Classification::new(StatementKind::Read, "shows a setting"))
            }
            Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) | Statement::Merge(_) => {
                self.note_write("changes rows");
                None
            }
            Statement::Copy { source, to, target, .. } => {
                self.record_copy(source, *to, target);
                None
            }
            _ => Some(classify_unparsed(text, prescan)),
        }
    }

    /// Records `COPY … TO` if `to` is set, and `COPY … FROM` otherwise.
    fn record_copy(&mut self, source: &CopySource, to: bool, target: &CopyTarget) {
        if let CopySource::Table { table_name, columns } = source {
            self.column_list_names.extend(name(table_name).filter(|_| !columns.is_empty()));
            self.tables.extend(name(table_name));
        }
        match target {
            CopyTarget::Stdout if to => {}
            _ => self.note_write("COPY writes to a table or outside the server"),
        }
    }

    /// Returns the classification by the most severe objection against a read, if there is one. Names that may be calls are
    /// checked by [`TreeFindings::first_unknown_call`].
    fn first_objection(
        &mut self,
        is_executed: bool,
        text: &[u8],
        prescan: &Prescan,
    ) -> Option<Classification> {
        if let Some(objection) =
            prescan.objection.as_ref().filter(|objection| objection.cause == Cause::SessionCall)
        {
            return Some(classify_objection(text, objection));
        }
        // A plain `EXPLAIN` doesn't execute the statement, but may call functions, as the planner folds constant expressions.
        if let Some(reason) = self.write_reason.filter(|_| is_executed) {
            return Some(Classification::new(StatementKind::Write, reason));
        }
        if let Some(objection) = prescan.write_objection.as_ref().filter(|_| is_executed) {
            return Some(classify_objection(text, objection));
        }
        if let Some(objection) = &prescan.objection {
            return Some(classify_objection(text, objection));
        }
        if self.statements > 1 && is_executed {
            return Some(Classification::new(StatementKind::Unknown, "a statement within the statement"));
        }
        self.unknown_reason.take().map(|reason| Classification::new(StatementKind::Unknown, reason))
    }

    /// Returns the first name before a parenthesis that is neither an alias that the parser found nor, in a statement that is
    /// only explained, a table: such a name is a call that the parser did not find.
    fn first_unknown_call(&mut self, is_executed: bool, text: &[u8], prescan: &Prescan) -> Option<String> {
        let mut aliases = std::mem::take(&mut self.column_list_names);
        for range in &prescan.unresolved_calls[..prescan.unresolved_call_count] {
            let called = called_name(&text[range.clone()]);
            match aliases.iter().position(|alias| *alias == called) {
                Some(index) => drop(aliases.swap_remove(index)),
                // The column list of the target of an INSERT that is only explained.
                None if !is_executed && self.tables.contains(&called) => {}
                None => return Some(called),
            }
        }
        None
    }
}

/// Returns a name as the server reads it: without its quotes, or in lower case if it has none.
fn called_name(bytes: &[u8]) -> String {
    match bytes.first() {
        Some(b'"') => String::from_utf8_lossy(&bytes[1..bytes.len() - 1]).replace("\"\"", "\""),
        _ => String::from_utf8_lossy(bytes).to_ascii_lowercase(),
    }
}

impl Visitor for TreeFindings {
    type Break = ();

    fn pre_visit_statement(&mut self, _statement: &Statement) -> ControlFlow<()> {
        self.statements += 1;
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        for table in query.with.iter().flat_map(|with| &with.cte_tables) {
            self.cte_names.insert(ident_text(&table.alias.name));
            self.record_alias(Some(&table.alias));
        }
        if !query.locks.is_empty() {
            self.locks = true;
            self.note_write("locks rows");
        }
        if query.for_clause.is_some() || query.settings.is_some() || !query.pipe_operators.is_empty() {
            self.note_unknown("grammar of another dialect");
        }
        self.record_body(&query.body);
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        match name(relation) {
            Some(name) => drop(self.tables.insert(name)),
            None => self.note_unknown("a name that is computed by a function"),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, alias, args, sample, .. } => {
                if args.is_some() {
                    self.record_call(name);
                }
                self.check_sample(sample.as_ref());
                self.record_alias(alias.as_ref());
            }
            TableFactor::Derived { alias, sample, .. } => {
                self.check_sample(sample.as_ref());
                self.record_alias(alias.as_ref());
            }
            TableFactor::Function { name, alias, .. } => {
                self.record_call(name);
                self.record_alias(alias.as_ref());
            }
            TableFactor::UNNEST { alias, .. } | TableFactor::NestedJoin { alias, .. } => {
                self.record_alias(alias.as_ref());
            }
            _ => self.note_unknown("an unknown kind of table"),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                self.record_call(&function.name);
                if function.uses_odbc_syntax || function.parameters != FunctionArguments::None {
                    self.note_unknown("grammar of another dialect");
                }
            }
            Expr::Cast { data_type, .. } => self.check_cast(data_type),
            Expr::TypedString(typed) => self.check_cast(&typed.data_type),
            Expr::BinaryOp {
                op: BinaryOperator::PGCustomBinaryOperator(_) | BinaryOperator::Custom(_),
                ..
            } => {
                self.note_unknown("a schema-qualified operator may write");
            }
            Expr::Convert { .. }
            | Expr::MatchAgainst { .. }
            | Expr::Lambda(_)
            | Expr::MemberOf(_)
            | Expr::Dictionary(_)
            | Expr::Map(_)
            | Expr::Struct { .. }
            | Expr::Prefixed { .. }
            | Expr::Prior(_)
            | Expr::OuterJoin(_)
            | Expr::RLike { .. } => self.note_unknown("grammar of another dialect"),
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

impl TreeFindings {
    fn check_sample(&mut self, sample: Option<&TableSampleKind>) {
        let Some(TableSampleKind::BeforeTableAlias(sample) | TableSampleKind::AfterTableAlias(sample)) =
            sample
        else {
            return;
        };
        if sample.bucket.is_some() || sample.offset.is_some() {
            self.note_unknown("grammar of another dialect");
        }
    }

    fn record_body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::Select(select) => {
                if select.into.is_some() {
                    self.note_write("INTO creates a table");
                }
            }
            SetExpr::SetOperation { left, right, .. } => {
                self.record_body(left);
                self.record_body(right);
            }
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.note_write("changes rows in a part of the statement");
            }
            SetExpr::Table(table) => {
                let parts = [&table.schema_name, &table.table_name];
                let named: Vec<String> = parts.into_iter().flatten().map(ident_text).collect();
                self.tables.insert(named.join("."));
            }
            // Nested queries are visited on their own, and values need no check here.
            SetExpr::Query(_) | SetExpr::Values(_) => {}
        }
    }
}
