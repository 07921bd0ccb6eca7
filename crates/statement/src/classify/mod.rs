//! The full classification of a statement: its kind, what it touches, and why.
//!
//! The tokens' word ([`crate::prescan`]) and the parser's have both to say "read" before a text is taken for one: the
//! first sees every call whatever the grammar around it, the second knows what a parenthesis or a word stands for.

mod tree_findings;

use std::collections::BTreeSet;

use sqlparser::ast::{Statement, Visit};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::{Parser, ParserOptions};

use crate::builtin_catalog;
use crate::fingerprint;
use crate::lexer::{Kind, Lexer};
use crate::prescan::{Cause, Doubt, Opening, Prescan};
use tree_findings::TreeFindings;

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
