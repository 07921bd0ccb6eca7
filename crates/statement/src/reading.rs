//! The full reading of a statement: its nature, what it touches, and why.
//!
//! The tokens' word ([`crate::glance`]) and the parser's have both to say "read" before a text is taken for one: the
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

use crate::glance::{Cause, Doubt, Glance, Opening};
use crate::lexer::{Kind, Lexer};
use crate::names;
use crate::shape;

/// What a statement is to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nature {
    Read,
    Write,
    /// Changes the session or holds something of it, and so makes no sense where connections are shared.
    Session,
    /// May write.
    Unknown,
}

impl Nature {
    pub fn name(self) -> &'static str {
        match self {
            Nature::Read => "read",
            Nature::Write => "write",
            Nature::Session => "session",
            Nature::Unknown => "unknown",
        }
    }
}

/// Names are in lower case unless they were quoted, and keep their schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    pub nature: Nature,
    pub why: Box<str>,
    /// More than one statement in one query.
    pub several: bool,
    /// Rows are locked.
    pub locks: bool,
    pub tables: Box<[Box<str>]>,
    pub functions: Box<[Box<str>]>,
}

impl Reading {
    fn new(nature: Nature, why: impl Into<Box<str>>) -> Reading {
        let (tables, functions) = (Box::default(), Box::default());
        Reading { nature, why: why.into(), several: false, locks: false, tables, functions }
    }

    /// Why it can't be taken at all, where no connection is a client's own.
    pub fn refusal(&self) -> Option<&'static str> {
        if self.several {
            Some("several statements in one query")
        } else if self.nature == Nature::Session {
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
const LONG: usize = 8 * 1024;
/// Nor with more tokens: the parser's trees are as deep as a chain of operators is long.
const MANY: usize = 1500;
/// Nor with parentheses nested deeper: some of the grammar is tried again at each level.
const NESTED: usize = 12;
/// Names kept of one statement, of each kind, and the bytes of each.
const NAMES: usize = 16;
const NAME: usize = 128;

/// The glance at a whole text, comments apart.
pub fn glance(text: &[u8]) -> Glance {
    let mut glance = Glance::default();
    Lexer::new(text).for_each(|token| glance.take(&token, text));
    glance
}

fn at(text: &[u8], doubt: &Doubt) -> String {
    let end = doubt.at.end.min(doubt.at.start + 40);
    String::from_utf8_lossy(&text[doubt.at.start..end]).into_owned()
}

fn doubted(text: &[u8], doubt: &Doubt) -> Reading {
    let place = at(text, doubt);
    let (nature, why) = match doubt.cause {
        Cause::Bad => (
            Nature::Unknown,
            "no SQL, or unfinished, from its byte ".to_string() + &doubt.at.start.to_string(),
        ),
        Cause::Doubtful => {
            (Nature::Unknown, "a literal that ends elsewhere without standard_conforming_strings".into())
        }
        Cause::Several => (Nature::Unknown, "several statements in one query".into()),
        Cause::Deep => (Nature::Unknown, "parentheses nested too deeply to follow".into()),
        Cause::Writes => (Nature::Write, format!("changes {place}")),
        Cause::Into => (Nature::Write, "INTO makes a table or fills one".into()),
        Cause::Locks => (Nature::Write, "locks rows".into()),
        Cause::WritingCall => (Nature::Write, format!("{place}() writes or locks")),
        Cause::SessionCall => (Nature::Session, format!("{place}() belongs to a session")),
        Cause::UnknownCall => (Nature::Unknown, format!("{place}() may write")),
        Cause::UnknownOperator => (Nature::Unknown, format!("operator {place} may write")),
        Cause::UnknownType => {
            (Nature::Unknown, format!("a cast at {place} to a type that is no built-in one"))
        }
    };
    let mut reading = Reading::new(nature, why);
    reading.several = doubt.cause == Cause::Several;
    reading.locks = doubt.cause == Cause::Locks;
    reading
}

/// What the tokens alone say: for a text that is not parsed.
pub fn by_glance(text: &[u8], glance: &Glance) -> Reading {
    // Whatever else it is: what comes behind the first statement is not looked at for its first word.
    if let Some(doubt) =
        glance.doubt.as_ref().filter(|d| matches!(d.cause, Cause::Bad | Cause::Doubtful | Cause::Several))
    {
        return doubted(text, doubt);
    }
    let opened_by = String::from_utf8_lossy(&text[glance.opened_by.clone()]).to_ascii_uppercase();
    match glance.opening {
        Opening::Session => Reading::new(Nature::Session, format!("{opened_by} belongs to a session")),
        Opening::Write => Reading::new(Nature::Write, format!("{opened_by} writes")),
        Opening::Unknown => Reading::new(Nature::Unknown, "begins as no statement that is known"),
        _ if glance.is_read() => Reading::new(Nature::Read, "nothing in it can write"),
        Opening::Explain | Opening::Copy if glance.doubt.is_none() => {
            Reading::new(Nature::Unknown, format!("{opened_by} that was not parsed"))
        }
        _ => match (&glance.dml, &glance.doubt) {
            (_, Some(doubt)) if doubt.cause == Cause::SessionCall => doubted(text, doubt),
            (Some(doubt), _) | (None, Some(doubt)) => doubted(text, doubt),
            (None, None) => {
                let doubt = Doubt { cause: Cause::UnknownCall, at: glance.calls[0].clone() };
                doubted(text, &doubt)
            }
        },
    }
}

/// Whether the tokens alone settle it, so that a parse could say no more.
pub fn is_settled(glance: &Glance) -> bool {
    let hopeless = |doubt: &Doubt| matches!(doubt.cause, Cause::Bad | Cause::Several | Cause::Doubtful);
    glance.doubt.as_ref().is_some_and(hopeless)
        || matches!(glance.opening, Opening::Session | Opening::Unknown)
}

/// Reads a text of that shape. What it gives is the same for every text of the shape, as only its plain form is read;
/// bounded in time by the bounds above.
pub fn read(text: &[u8]) -> Reading {
    let first = glance(text);
    if is_settled(&first) {
        return by_glance(text, &first);
    }
    let plain = shape::plain(text);
    let text = plain.as_bytes();
    let glance = glance(text);
    if plain.len() > LONG || glance.tokens() > MANY || nesting(text) > NESTED {
        let mut reading = by_glance(text, &glance);
        if reading.nature != Nature::Read {
            reading.why = format!("{}; too long or too deep to be parsed", reading.why).into();
        }
        return reading;
    }
    let parsed = Parser::new(&PostgreSqlDialect {})
        .with_options(ParserOptions::new().with_trailing_commas(false))
        .with_recursion_limit(2 * NESTED)
        .try_with_sql(&plain)
        .and_then(|mut parser| parser.parse_statements());
    match parsed.as_deref() {
        Ok([statement]) => weigh(statement, text, &glance),
        Ok(_) => Reading::new(Nature::Unknown, "no statement, or several"),
        Err(_) => unparsed(text, &glance),
    }
}

/// What can't be parsed is no read, but may be known for something else by its tokens.
fn unparsed(text: &[u8], glance: &Glance) -> Reading {
    let reading = by_glance(text, glance);
    match reading.nature {
        // `TABLE name` alone, which the parser lacks: its tokens leave nothing open.
        Nature::Read if text[glance.opened_by.clone()].eq_ignore_ascii_case(b"table") => reading,
        Nature::Read => Reading::new(Nature::Unknown, "the parser does not know this grammar"),
        _ => reading,
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
fn weigh(statement: &Statement, text: &[u8], glance: &Glance) -> Reading {
    let mut found = Found::default();
    let (inner, runs) = match statement {
        Statement::Explain { statement, analyze, options, .. } => {
            // Any option but those that only say what is shown: `ANALYSE` is another name for `ANALYZE`, and
            // `ANALYZE FALSE` is rare enough to be taken for what it looks like.
            let asked =
                options.iter().flatten().any(|o| !names::is_in(names::SHOWS, o.name.value.as_bytes()));
            (statement.as_ref(), *analyze || asked)
        }
        other => (other, true),
    };
    let _ = inner.visit(&mut found);
    let mut reading = found.judge(inner, runs, text, glance);
    reading.locks = found.locks;
    let kept = |names: BTreeSet<String>| {
        let short = names.into_iter().filter(|name| name.len() <= NAME);
        short.take(NAMES).map(String::into_boxed_str).collect()
    };
    let with: BTreeSet<String> = std::mem::take(&mut found.with);
    let tables = std::mem::take(&mut found.tables);
    reading.tables = kept(tables.into_iter().filter(|table| !with.contains(table)).collect());
    reading.functions = kept(std::mem::take(&mut found.functions));
    reading
}

/// What a walk over the parser's tree has met.
#[derive(Default)]
struct Found {
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

impl Found {
    fn doubt(&mut self, what: impl Into<String>) {
        if self.unknown.is_none() {
            self.unknown = Some(what.into());
        }
    }

    fn called(&mut self, called: &ObjectName) {
        if let [ObjectNamePart::Identifier(only)] = called.0.as_slice() {
            if only.quote_style.is_none() && names::is_in(names::CONSTRUCTS, only.value.as_bytes()) {
                return;
            }
        }
        let Some(called) = name(called) else { return self.doubt("a name that is made by a function") };
        let own = called.strip_prefix("pg_catalog.").unwrap_or(&called);
        if !names::is_exactly_in(names::READS, own.as_bytes()) {
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
                    own && names::is_exactly_in(names::TYPES, ident(part).as_bytes())
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

    /// What the walk and the tokens come to.
    fn judge(&mut self, statement: &Statement, runs: bool, text: &[u8], glance: &Glance) -> Reading {
        match statement {
            Statement::Query(_) => {}
            Statement::ShowVariable { .. } => return Reading::new(Nature::Read, "shows a setting"),
            Statement::Insert(_) | Statement::Update(_) | Statement::Delete(_) | Statement::Merge(_) => {
                self.writes("changes rows");
            }
            Statement::Copy { source, to, target, .. } => {
                if let CopySource::Table { table_name, columns } = source {
                    self.columned.extend(name(table_name).filter(|_| !columns.is_empty()));
                    self.tables.extend(name(table_name));
                }
                match target {
                    CopyTarget::Stdout if *to => {}
                    _ => self.writes("COPY writes a table, or out of the server"),
                }
            }
            _ => return unparsed(text, glance),
        }
        // Nothing of what it explains runs; functions may, as the planner folds what it can.
        let changes = self.writes.filter(|_| runs);
        if let Some(doubt) = glance.doubt.as_ref().filter(|doubt| doubt.cause == Cause::SessionCall) {
            return doubted(text, doubt);
        }
        if let Some(what) = changes {
            return Reading::new(Nature::Write, what);
        }
        if let Some(doubt) = glance.dml.as_ref().filter(|_| runs) {
            return doubted(text, doubt);
        }
        if let Some(doubt) = &glance.doubt {
            return doubted(text, doubt);
        }
        if self.statements > 1 && runs {
            return Reading::new(Nature::Unknown, "a statement within the statement");
        }
        if let Some(why) = self.unknown.take() {
            return Reading::new(Nature::Unknown, why);
        }
        // Each name before a parenthesis is an alias that the parser has seen, or a call that it has not.
        let mut aliases = std::mem::take(&mut self.columned);
        for range in &glance.calls[..glance.called] {
            let bytes = &text[range.clone()];
            let called = match bytes.first() {
                Some(b'"') => String::from_utf8_lossy(&bytes[1..bytes.len() - 1]).replace("\"\"", "\""),
                _ => String::from_utf8_lossy(bytes).to_ascii_lowercase(),
            };
            match aliases.iter().position(|alias| *alias == called) {
                Some(place) => drop(aliases.swap_remove(place)),
                // The target's columns of an INSERT that is only explained.
                None if !runs && self.tables.iter().any(|table| *table == called) => {}
                None => return Reading::new(Nature::Unknown, format!("{called}() may write")),
            }
        }
        Reading::new(
            Nature::Read,
            if runs { "nothing in it can write" } else { "EXPLAIN alone runs nothing" },
        )
    }
}

impl Visitor for Found {
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

impl Found {
    fn sample(&mut self, sample: Option<&TableSampleKind>) {
        let sample = match sample {
            Some(TableSampleKind::BeforeTableAlias(sample) | TableSampleKind::AfterTableAlias(sample)) => {
                sample
            }
            None => return,
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
