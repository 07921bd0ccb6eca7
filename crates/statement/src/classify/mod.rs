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
use crate::lexer::{Lexer, TokenKind};
use crate::prescan::{Cause, LeadingKeyword, Objection, Prescan};
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
    pub multiple_statements: bool,
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
        Classification { kind, why: why.into(), multiple_statements: false, locks: false, tables, functions }
    }

    /// Why it can't be taken at all, where no connection is a client's own.
    pub fn refusal(&self) -> Option<&'static str> {
        if self.multiple_statements {
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
    Lexer::new(text).for_each(|token| prescan.push(&token, text));
    prescan
}

fn excerpt(text: &[u8], objection: &Objection) -> String {
    let end = objection.span.end.min(objection.span.start + 40);
    String::from_utf8_lossy(&text[objection.span.start..end]).into_owned()
}

fn classify_objection(text: &[u8], objection: &Objection) -> Classification {
    let excerpt = excerpt(text, objection);
    let (kind, why) = match objection.cause {
        Cause::Invalid => (
            StatementKind::Unknown,
            "no SQL, or unfinished, from its byte ".to_string() + &objection.span.start.to_string(),
        ),
        Cause::AmbiguousLiteral => (
            StatementKind::Unknown,
            "a literal that ends elsewhere without standard_conforming_strings".into(),
        ),
        Cause::MultipleStatements => (StatementKind::Unknown, "several statements in one query".into()),
        Cause::TooDeeplyNested => (StatementKind::Unknown, "parentheses nested too deeply to follow".into()),
        Cause::WritingKeyword => (StatementKind::Write, format!("changes {excerpt}")),
        Cause::IntoClause => (StatementKind::Write, "INTO makes a table or fills one".into()),
        Cause::RowLocks => (StatementKind::Write, "locks rows".into()),
        Cause::WritingCall => (StatementKind::Write, format!("{excerpt}() writes or locks")),
        Cause::SessionCall => (StatementKind::Session, format!("{excerpt}() belongs to a session")),
        Cause::UnknownCall => (StatementKind::Unknown, format!("{excerpt}() may write")),
        Cause::UnknownOperator => (StatementKind::Unknown, format!("operator {excerpt} may write")),
        Cause::UnknownType => {
            (StatementKind::Unknown, format!("a cast at {excerpt} to a type that is no built-in one"))
        }
    };
    let mut classification = Classification::new(kind, why);
    classification.multiple_statements = objection.cause == Cause::MultipleStatements;
    classification.locks = objection.cause == Cause::RowLocks;
    classification
}

/// What the tokens alone say: for a text that is not parsed.
pub fn classify_by_prescan(text: &[u8], prescan: &Prescan) -> Classification {
    // Whatever else it is: what comes behind the first statement is not looked at for its first word.
    if let Some(objection) = prescan.objection.as_ref().filter(|objection| {
        matches!(objection.cause, Cause::Invalid | Cause::AmbiguousLiteral | Cause::MultipleStatements)
    }) {
        return classify_objection(text, objection);
    }
    let keyword = String::from_utf8_lossy(&text[prescan.leading_keyword_span.clone()]).to_ascii_uppercase();
    match prescan.leading_keyword {
        LeadingKeyword::Session => {
            Classification::new(StatementKind::Session, format!("{keyword} belongs to a session"))
        }
        LeadingKeyword::Write => Classification::new(StatementKind::Write, format!("{keyword} writes")),
        LeadingKeyword::Unknown => {
            Classification::new(StatementKind::Unknown, "begins as no statement that is known")
        }
        _ if prescan.is_read() => Classification::new(StatementKind::Read, "nothing in it can write"),
        LeadingKeyword::Explain | LeadingKeyword::Copy if prescan.objection.is_none() => {
            Classification::new(StatementKind::Unknown, format!("{keyword} that was not parsed"))
        }
        _ => match (&prescan.write_objection, &prescan.objection) {
            (_, Some(objection)) if objection.cause == Cause::SessionCall => {
                classify_objection(text, objection)
            }
            (Some(objection), _) | (None, Some(objection)) => classify_objection(text, objection),
            (None, None) => {
                let objection =
                    Objection { cause: Cause::UnknownCall, span: prescan.unresolved_calls[0].clone() };
                classify_objection(text, &objection)
            }
        },
    }
}

/// Whether the tokens alone settle it, so that a parse could say no more.
pub fn is_conclusive(prescan: &Prescan) -> bool {
    let is_decisive = |objection: &Objection| {
        matches!(objection.cause, Cause::Invalid | Cause::MultipleStatements | Cause::AmbiguousLiteral)
    };
    prescan.objection.as_ref().is_some_and(is_decisive)
        || matches!(prescan.leading_keyword, LeadingKeyword::Session | LeadingKeyword::Unknown)
}

/// Reads a text of that fingerprint. What it gives is the same for every text of the fingerprint, as only its plain form is read;
/// bounded in time by the bounds above.
pub fn classify(client_text: &[u8]) -> Classification {
    let client_prescan = prescan(client_text);
    if is_conclusive(&client_prescan) {
        return classify_by_prescan(client_text, &client_prescan);
    }
    let canonical = fingerprint::canonical_text(client_text);
    let text = canonical.as_bytes();
    let prescan = prescan(text);
    if canonical.len() > MAX_PARSED_BYTES
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
        .try_with_sql(&canonical)
        .and_then(|mut parser| parser.parse_statements());
    match parsed.as_deref() {
        Ok([statement]) => combine(statement, text, &prescan),
        Ok(_) => Classification::new(StatementKind::Unknown, "no statement, or several"),
        Err(_) => classify_unparsed(text, &prescan),
    }
}

/// What can't be parsed is no read, but may be known for something else by its tokens.
fn classify_unparsed(text: &[u8], prescan: &Prescan) -> Classification {
    let classification = classify_by_prescan(text, prescan);
    match classification.kind {
        // `TABLE name` alone, which the parser lacks: its tokens leave nothing open.
        StatementKind::Read if text[prescan.leading_keyword_span.clone()].eq_ignore_ascii_case(b"table") => {
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
    let (mut depth, mut deepest) = (0_usize, 0);
    for token in Lexer::new(text).filter(|token| token.kind == TokenKind::Punctuation) {
        match token.bytes(text) {
            b"(" | b"[" => depth += 1,
            b")" | b"]" => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

/// The parser's word and the tokens', the stricter of both.
fn combine(statement: &Statement, text: &[u8], prescan: &Prescan) -> Classification {
    let mut found = TreeFindings::default();
    let (inner, is_executed) = match statement {
        Statement::Explain { statement, analyze, options, .. } => {
            // Any option but those that only say what is shown: `ANALYSE` is another name for `ANALYZE`, and
            // `ANALYZE FALSE` is rare enough to be taken for what it looks like.
            let has_execution_option = options.iter().flatten().any(|option| {
                !builtin_catalog::contains_ignore_case(
                    builtin_catalog::DISPLAY_ONLY_EXPLAIN_OPTIONS,
                    option.name.value.as_bytes(),
                )
            });
            (statement.as_ref(), *analyze || has_execution_option)
        }
        other => (other, true),
    };
    let _ = inner.visit(&mut found);
    let mut classification = found.classify(inner, is_executed, text, prescan);
    classification.locks = found.locks;
    let bounded = |names: BTreeSet<String>| {
        let short_names = names.into_iter().filter(|name| name.len() <= MAX_NAME_BYTES);
        short_names.take(MAX_NAMES).map(String::into_boxed_str).collect()
    };
    let cte_names: BTreeSet<String> = std::mem::take(&mut found.cte_names);
    let tables = std::mem::take(&mut found.tables);
    classification.tables = bounded(tables.into_iter().filter(|table| !cte_names.contains(table)).collect());
    classification.functions = bounded(std::mem::take(&mut found.functions));
    classification
}
