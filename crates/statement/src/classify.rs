//! The full classification of a statement: its kind, what it touches, and why.
//!
//! The tokens' word ([`crate::prescan`]) and the parser's have both to say "read" before a text is taken for one: the
//! first sees every call whatever the grammar around it, the second knows what a parenthesis or a word stands for.

use std::collections::BTreeSet;
use std::ops::ControlFlow;

use sqlparser::ast::{
    ArrayElemTypeDef, BinaryOperator, CopySource, CopyTarget, DataType, Expr, FunctionArguments, Ident,
    ObjectName, ObjectNamePart, Query, SetExpr, Statement, TableAlias, TableFactor, TableSampleKind, Visit,
    Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::{Parser, ParserOptions};

use crate::builtin_catalog;
use crate::fingerprint;
use crate::lexer::{Kind, Lexer};
use crate::prescan::{Cause, Doubt, Opening, Prescan};

/// What a statement is to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementKind {
    /// Nothing in it can write, as far as a text can tell.
    Read,
    /// Changes rows or tables, locks, or calls what is known to.
    Write,
    /// Changes the session or holds something of it, and so makes no sense where connections are shared.
    Session,
    /// May write.
    Unknown,
}

impl StatementKind {
    /// Its name in logs and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            StatementKind::Read => "read",
            StatementKind::Write => "write",
            StatementKind::Session => "session",
            StatementKind::Unknown => "unknown",
        }
    }
}

/// Names are in lower case unless they were quoted, and keep their schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// What it is.
    pub kind: StatementKind,
    /// What decided that, for operators.
    pub why: Box<str>,
    /// More than one statement in one query.
    pub several: bool,
    /// Rows are locked.
    pub locks: bool,
    /// Tables that it names, bounded in number and length.
    pub tables: Box<[Box<str>]>,
    /// Functions that it calls, bounded in number and length.
    pub functions: Box<[Box<str>]>,
}

impl Classification {
    fn new(kind: StatementKind, why: impl Into<Box<str>>) -> Classification {
        let (tables, functions) = (Box::default(), Box::default());
        Classification { kind, why: why.into(), several: false, locks: false, tables, functions }
    }

    /// Why it can't be taken at all, where no connection is a client's own.
    pub fn refusal(&self) -> Option<&'static str> {
        if self.several {
            Some("several statements in one query")
        } else if self.kind == StatementKind::Session {
            Some("a statement that belongs to a session, where connections are shared")
        } else {
            None
        }
    }

    /// Heap bytes that it holds.
    pub fn bytes(&self) -> usize {
        let names =
            |names: &[Box<str>]| names.iter().map(|name| name.len() + size_of::<Box<str>>()).sum::<usize>();
        self.why.len() + names(&self.tables) + names(&self.functions)
    }
}

/// Longer than this, once its values are made alike, a text is not parsed; bytes.
const MAX_PARSED_BYTES: usize = 8 * 1024;
/// Nor with more tokens: the parser's trees are as deep as a chain of operators is long.
const MAX_PARSED_TOKENS: usize = 1500;
/// Nor with parentheses nested deeper: some of the grammar is tried again at each level.
const MAX_PARSED_NESTING: usize = 12;
/// Names kept of one statement, of each kind, and the bytes of each.
const MAX_NAMES: usize = 16;
const MAX_NAME_BYTES: usize = 128;

/// The prescan at a whole text, comments apart.
pub fn prescan(text: &[u8]) -> Prescan {
    let mut prescan = Prescan::default();
    Lexer::new(text).for_each(|token| prescan.take(&token, text));
    prescan
}

fn at(text: &[u8], doubt: &Doubt) -> String {
    let end = doubt.at.end.min(doubt.at.start + 40);
    String::from_utf8_lossy(&text[doubt.at.start..end]).into_owned()
}

fn doubted(text: &[u8], doubt: &Doubt) -> Classification {
    let place = at(text, doubt);
    let (kind, why) = match doubt.cause {
        Cause::Bad => (
            StatementKind::Unknown,
            "no SQL, or unfinished, from its byte ".to_string() + &doubt.at.start.to_string(),
        ),
        Cause::Doubtful => (
            StatementKind::Unknown,
            "a literal that ends elsewhere without standard_conforming_strings".into(),
        ),
        Cause::Several => (StatementKind::Unknown, "several statements in one query".into()),
        Cause::Deep => (StatementKind::Unknown, "parentheses nested too deeply to follow".into()),
        Cause::Writes => (StatementKind::Write, format!("changes {place}")),
        Cause::Into => (StatementKind::Write, "INTO makes a table or fills one".into()),
        Cause::Locks => (StatementKind::Write, "locks rows".into()),
        Cause::WritingCall => (StatementKind::Write, format!("{place}() writes or locks")),
        Cause::SessionCall => (StatementKind::Session, format!("{place}() belongs to a session")),
        Cause::UnknownCall => (StatementKind::Unknown, format!("{place}() may write")),
        Cause::UnknownOperator => (StatementKind::Unknown, format!("operator {place} may write")),
        Cause::UnknownType => {
            (StatementKind::Unknown, format!("a cast at {place} to a type that is no built-in one"))
        }
    };
    let mut classification = Classification::new(kind, why);
    classification.several = doubt.cause == Cause::Several;
    classification.locks = doubt.cause == Cause::Locks;
    classification
}

/// What the tokens alone say: for a text that is not parsed.
pub fn classify_by_prescan(text: &[u8], prescan: &Prescan) -> Classification {
    // Whatever else it is: what comes behind the first statement is not looked at for its first word.
    if let Some(doubt) =
        prescan.doubt.as_ref().filter(|d| matches!(d.cause, Cause::Bad | Cause::Doubtful | Cause::Several))
    {
        return doubted(text, doubt);
    }
    let opened_by = String::from_utf8_lossy(&text[prescan.opened_by.clone()]).to_ascii_uppercase();
    match prescan.opening {
        Opening::Session => {
            Classification::new(StatementKind::Session, format!("{opened_by} belongs to a session"))
        }
        Opening::Write => Classification::new(StatementKind::Write, format!("{opened_by} writes")),
        Opening::Unknown => {
            Classification::new(StatementKind::Unknown, "begins as no statement that is known")
        }
        _ if prescan.is_read() => Classification::new(StatementKind::Read, "nothing in it can write"),
        Opening::Explain | Opening::Copy if prescan.doubt.is_none() => {
            Classification::new(StatementKind::Unknown, format!("{opened_by} that was not parsed"))
        }
        _ => match (&prescan.dml, &prescan.doubt) {
            (_, Some(doubt)) if doubt.cause == Cause::SessionCall => doubted(text, doubt),
            (Some(doubt), _) | (None, Some(doubt)) => doubted(text, doubt),
            (None, None) => {
                let doubt = Doubt { cause: Cause::UnknownCall, at: prescan.calls[0].clone() };
                doubted(text, &doubt)
            }
        },
    }
}

/// Whether the tokens alone settle it, so that a parse could say no more.
pub fn is_conclusive(prescan: &Prescan) -> bool {
    let hopeless = |doubt: &Doubt| matches!(doubt.cause, Cause::Bad | Cause::Several | Cause::Doubtful);
    prescan.doubt.as_ref().is_some_and(hopeless)
        || matches!(prescan.opening, Opening::Session | Opening::Unknown)
}

/// Reads a text of that fingerprint. What it gives is the same for every text of the fingerprint, as only its plain form is read;
/// bounded in time by the bounds above.
pub fn classify(client_text: &[u8]) -> Classification {
    let first = prescan(client_text);
    if is_conclusive(&first) {
        return classify_by_prescan(client_text, &first);
    }
    let plain = fingerprint::plain(client_text);
    let text = plain.as_bytes();
    let prescan = prescan(text);
    if plain.len() > MAX_PARSED_BYTES
        || prescan.tokens() > MAX_PARSED_TOKENS
        || nesting(text) > MAX_PARSED_NESTING
    {
        let mut classification = classify_by_prescan(text, &prescan);
        if classification.kind != StatementKind::Read {
            classification.why = format!("{}; too long or too deep to be parsed", classification.why).into();
        }
        return classification;
    }
    let parsed = Parser::new(&PostgreSqlDialect {})
        .with_options(ParserOptions::new().with_trailing_commas(false))
        .with_recursion_limit(2 * MAX_PARSED_NESTING)
        .try_with_sql(&plain)
        .and_then(|mut parser| parser.parse_statements());
    match parsed.as_deref() {
        Ok([statement]) => weigh(statement, text, &prescan),
        Ok(_) => Classification::new(StatementKind::Unknown, "no statement, or several"),
        Err(_) => unparsed(text, &prescan),
    }
}

/// What can't be parsed is no read, but may be known for something else by its tokens.
fn unparsed(text: &[u8], prescan: &Prescan) -> Classification {
    let classification = classify_by_prescan(text, prescan);
    match classification.kind {
        // `TABLE name` alone, which the parser lacks: its tokens leave nothing open.
        StatementKind::Read if text[prescan.opened_by.clone()].eq_ignore_ascii_case(b"table") => {
            classification
        }
        StatementKind::Read => {
            Classification::new(StatementKind::Unknown, "the parser does not know this grammar")
        }
        _ => classification,
    }
}

/// How deep parentheses and brackets are nested.
fn nesting(text: &[u8]) -> usize {
    let (mut depth, mut most) = (0_usize, 0);
    for token in Lexer::new(text).filter(|token| token.kind == Kind::Mark) {
        match token.bytes(text) {
            b"(" | b"[" => depth += 1,
            b")" | b"]" => depth = depth.saturating_sub(1),
            _ => {}
        }
        most = most.max(depth);
    }
    most
}

/// The parser's word and the tokens', the stricter of both.
fn weigh(statement: &Statement, text: &[u8], prescan: &Prescan) -> Classification {
    let mut found = TreeFindings::default();
    let (inner, runs) = match statement {
        Statement::Explain { statement, analyze, options, .. } => {
            // Any option but those that only say what is shown: `ANALYSE` is another name for `ANALYZE`, and
            // `ANALYZE FALSE` is rare enough to be taken for what it looks like.
            let asked = options
                .iter()
                .flatten()
                .any(|o| !builtin_catalog::is_in(builtin_catalog::SHOWS, o.name.value.as_bytes()));
            (statement.as_ref(), *analyze || asked)
        }
        other => (other, true),
    };
    let _ = inner.visit(&mut found);
    let mut classification = found.judge(inner, runs, text, prescan);
    classification.locks = found.locks;
    let kept = |names: BTreeSet<String>| {
        let short = names.into_iter().filter(|name| name.len() <= MAX_NAME_BYTES);
        short.take(MAX_NAMES).map(String::into_boxed_str).collect()
    };
    let with: BTreeSet<String> = std::mem::take(&mut found.with);
    let tables = std::mem::take(&mut found.tables);
    classification.tables = kept(tables.into_iter().filter(|table| !with.contains(table)).collect());
    classification.functions = kept(std::mem::take(&mut found.functions));
    classification
}

/// What a walk over the parser's tree has met.
#[derive(Default)]
struct TreeFindings {
    tables: BTreeSet<String>,
    with: BTreeSet<String>,
    functions: BTreeSet<String>,
    /// Names that stand before a parenthesis and call nothing: aliases with columns.
    columned: Vec<String>,
    statements: usize,
    locks: bool,
    /// What changes something.
    writes: Option<&'static str>,
    /// What could, as far as is known.
    unknown: Option<String>,
}

fn ident(ident: &Ident) -> String {
    if ident.quote_style.is_some() { ident.value.clone() } else { ident.value.to_ascii_lowercase() }
}

fn name(name: &ObjectName) -> Option<String> {
    let parts: Option<Vec<String>> = name
        .0
        .iter()
        .map(|part| match part {
            ObjectNamePart::Identifier(part) => Some(ident(part)),
            ObjectNamePart::Function(_) => None,
        })
        .collect();
    parts.map(|parts| parts.join("."))
}

impl TreeFindings {
    fn doubt(&mut self, what: impl Into<String>) {
        if self.unknown.is_none() {
            self.unknown = Some(what.into());
        }
    }

    fn called(&mut self, called: &ObjectName) {
        if let [ObjectNamePart::Identifier(only)] = called.0.as_slice() {
            if only.quote_style.is_none()
                && builtin_catalog::is_in(builtin_catalog::CONSTRUCTS, only.value.as_bytes())
            {
                return;
            }
        }
        let Some(called) = name(called) else { return self.doubt("a name that is made by a function") };
        let own = called.strip_prefix("pg_catalog.").unwrap_or(&called);
        if !builtin_catalog::is_exactly_in(builtin_catalog::READS, own.as_bytes()) {
            self.doubt(format!("{called}() may write"));
        }
        self.functions.insert(called);
    }

    fn cast(&mut self, to: &DataType) {
        let custom = match to {
            DataType::Custom(name, _) => {
                !name.0.last().and_then(|part| part.as_ident()).is_some_and(|part| {
                    let own = name.0.len() == 1
                        || name.0.len() == 2
                            && name.0[0].as_ident().is_some_and(|schema| ident(schema) == "pg_catalog");
                    own && builtin_catalog::is_exactly_in(builtin_catalog::TYPES, ident(part).as_bytes())
                })
            }
            DataType::Array(of) => {
                return match of {
                    ArrayElemTypeDef::SquareBracket(inner, _) => self.cast(inner),
                    _ => self.doubt(format!("a cast to {to}")),
                };
            }
            _ => false,
        };
        if custom {
            self.doubt(format!("a cast to {to}, which is no built-in type"));
        }
    }

    fn alias(&mut self, alias: Option<&TableAlias>) {
        if let Some(alias) = alias.filter(|alias| !alias.columns.is_empty()) {
            self.columned.push(ident(&alias.name));
            alias.columns.iter().filter_map(|column| column.data_type.as_ref()).for_each(|to| self.cast(to));
        }
    }

    fn writes(&mut self, what: &'static str) {
        self.writes.get_or_insert(what);
    }

    /// What the walk and the tokens come to. `runs` is false for what is only explained.
    fn judge(&mut self, statement: &Statement, runs: bool, text: &[u8], prescan: &Prescan) -> Classification {
        if let Some(settled) = self.judge_kind(statement, text, prescan) {
            return settled;
        }
        if let Some(objection) = self.objection(runs, text, prescan) {
            return objection;
        }
        if let Some(called) = self.first_unknown_call(runs, text, prescan) {
            return Classification::new(StatementKind::Unknown, format!("{called}() may write"));
        }
        let why = if runs { "nothing in it can write" } else { "EXPLAIN alone runs nothing" };
        Classification::new(StatementKind::Read, why)
    }

    /// Notes what the kind of statement says. Returns a classification if that alone settles it.
    fn judge_kind(
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
                self.writes("changes rows");
                None
            }
            Statement::Copy { source, to, target, .. } => {
                self.copy(source, *to, target);
                None
            }
            _ => Some(unparsed(text, prescan)),
        }
    }

    /// `COPY … TO` if `to` is set, else `COPY … FROM`.
    fn copy(&mut self, source: &CopySource, to: bool, target: &CopyTarget) {
        if let CopySource::Table { table_name, columns } = source {
            self.columned.extend(name(table_name).filter(|_| !columns.is_empty()));
            self.tables.extend(name(table_name));
        }
        match target {
            CopyTarget::Stdout if to => {}
            _ => self.writes("COPY writes a table, or out of the server"),
        }
    }

    /// What speaks against a read before its calls are looked at: the gravest that was found.
    fn objection(&mut self, runs: bool, text: &[u8], prescan: &Prescan) -> Option<Classification> {
        if let Some(doubt) = prescan.doubt.as_ref().filter(|doubt| doubt.cause == Cause::SessionCall) {
            return Some(doubted(text, doubt));
        }
        // Nothing of what it explains runs; functions may, as the planner folds what it can.
        if let Some(what) = self.writes.filter(|_| runs) {
            return Some(Classification::new(StatementKind::Write, what));
        }
        if let Some(doubt) = prescan.dml.as_ref().filter(|_| runs) {
            return Some(doubted(text, doubt));
        }
        if let Some(doubt) = &prescan.doubt {
            return Some(doubted(text, doubt));
        }
        if self.statements > 1 && runs {
            return Some(Classification::new(StatementKind::Unknown, "a statement within the statement"));
        }
        self.unknown.take().map(|why| Classification::new(StatementKind::Unknown, why))
    }

    /// The first name before a parenthesis that is neither an alias that the parser has seen nor a table's: a call that
    /// the parser has not seen.
    fn first_unknown_call(&mut self, runs: bool, text: &[u8], prescan: &Prescan) -> Option<String> {
        let mut aliases = std::mem::take(&mut self.columned);
        for range in &prescan.calls[..prescan.called] {
            let called = called_name(&text[range.clone()]);
            match aliases.iter().position(|alias| *alias == called) {
                Some(place) => drop(aliases.swap_remove(place)),
                // The target's columns of an INSERT that is only explained.
                None if !runs && self.tables.contains(&called) => {}
                None => return Some(called),
            }
        }
        None
    }
}

/// A name as the server takes it: unquoted or in lower case.
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
            self.with.insert(ident(&table.alias.name));
            self.alias(Some(&table.alias));
        }
        if !query.locks.is_empty() {
            self.locks = true;
            self.writes("locks rows");
        }
        if query.for_clause.is_some() || query.settings.is_some() || !query.pipe_operators.is_empty() {
            self.doubt("grammar of another dialect");
        }
        self.body(&query.body);
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        match name(relation) {
            Some(name) => drop(self.tables.insert(name)),
            None => self.doubt("a name that is made by a function"),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, alias, args, sample, .. } => {
                if args.is_some() {
                    self.called(name);
                }
                self.sample(sample.as_ref());
                self.alias(alias.as_ref());
            }
            TableFactor::Derived { alias, sample, .. } => {
                self.sample(sample.as_ref());
                self.alias(alias.as_ref());
            }
            TableFactor::Function { name, alias, .. } => {
                self.called(name);
                self.alias(alias.as_ref());
            }
            TableFactor::UNNEST { alias, .. } | TableFactor::NestedJoin { alias, .. } => {
                self.alias(alias.as_ref());
            }
            _ => self.doubt("a kind of table that is not known"),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                self.called(&function.name);
                if function.uses_odbc_syntax || function.parameters != FunctionArguments::None {
                    self.doubt("grammar of another dialect");
                }
            }
            Expr::Cast { data_type, .. } => self.cast(data_type),
            Expr::TypedString(typed) => self.cast(&typed.data_type),
            Expr::BinaryOp {
                op: BinaryOperator::PGCustomBinaryOperator(_) | BinaryOperator::Custom(_),
                ..
            } => {
                self.doubt("an operator by its schema may write");
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
            | Expr::RLike { .. } => self.doubt("grammar of another dialect"),
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

impl TreeFindings {
    fn sample(&mut self, sample: Option<&TableSampleKind>) {
        let Some(TableSampleKind::BeforeTableAlias(sample) | TableSampleKind::AfterTableAlias(sample)) =
            sample
        else {
            return;
        };
        if sample.bucket.is_some() || sample.offset.is_some() {
            self.doubt("grammar of another dialect");
        }
    }

    fn body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::Select(select) => {
                if select.into.is_some() {
                    self.writes("INTO makes a table");
                }
            }
            SetExpr::SetOperation { left, right, .. } => {
                self.body(left);
                self.body(right);
            }
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.writes("changes rows in a part of it");
            }
            SetExpr::Table(table) => {
                let parts = [&table.schema_name, &table.table_name];
                let named: Vec<String> = parts.into_iter().flatten().map(ident).collect();
                self.tables.insert(named.join("."));
            }
            // Walked as queries of their own, or values.
            SetExpr::Query(_) | SetExpr::Values(_) => {}
        }
    }
}
