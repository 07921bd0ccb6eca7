//! The full classification of a statement: its kind, the reason, and the tables and functions that it uses.
//!
//! A text is classified as a read only if both the prescan of its tokens ([`crate::prescan`]) and the parser find that it is one:
//! the prescan sees every call whatever the grammar around it, and the parser knows the meaning of a parenthesis or a word.

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

/// The kind of a statement, by its effect on the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementKind {
    /// Nothing in it can write, as far as its text shows.
    Read,
    /// Changes rows or tables, locks, or calls a function that is known to do so.
    Write,
    /// Changes session state or holds a resource of the session, which is not possible on shared connections.
    Session,
    /// May write.
    Unknown,
}

impl StatementKind {
    /// Returns its name in logs and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            StatementKind::Read => "read",
            StatementKind::Write => "write",
            StatementKind::Session => "session",
            StatementKind::Unknown => "unknown",
        }
    }
}

/// The classification of a statement. Names are in lower case unless they were quoted, and include their schema if it is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// The kind of statement.
    pub kind: StatementKind,
    /// The reason for the kind, for operators.
    pub reason: Box<str>,
    /// Whether the query contains more than one statement.
    pub multiple_statements: bool,
    /// Whether it locks rows.
    pub locks: bool,
    /// Tables that it names, limited in number and length.
    pub tables: Box<[Box<str>]>,
    /// Functions that it calls, limited in number and length.
    pub functions: Box<[Box<str>]>,
}

impl Classification {
    fn new(kind: StatementKind, reason: impl Into<Box<str>>) -> Classification {
        let (tables, functions) = (Box::default(), Box::default());
        Classification {
            kind,
            reason: reason.into(),
            multiple_statements: false,
            locks: false,
            tables,
            functions,
        }
    }

    /// Returns why the statement is not supported, if so: connections are shared, so no client has a session of its own.
    pub fn refusal(&self) -> Option<&'static str> {
        if self.multiple_statements {
            Some("several statements in one query")
        } else if self.kind == StatementKind::Session {
            Some("a statement that belongs to a session, where connections are shared")
        } else {
            None
        }
    }

    /// Returns the heap memory that it uses, in bytes.
    pub fn bytes(&self) -> usize {
        let names =
            |names: &[Box<str>]| names.iter().map(|name| name.len() + size_of::<Box<str>>()).sum::<usize>();
        self.reason.len() + names(&self.tables) + names(&self.functions)
    }
}

/// Maximum length of a canonical text that is parsed, in bytes.
const MAX_PARSED_BYTES: usize = 8 * 1024;
/// Maximum number of tokens of a text that is parsed: the parser's tree is as deep as a chain of operators is long.
const MAX_PARSED_TOKENS: usize = 1500;
/// Maximum nesting of parentheses in a text that is parsed: the parser backtracks over some constructs at each level.
const MAX_PARSED_NESTING: usize = 12;
/// Maximum number of tables, and of functions, that are kept for one statement.
const MAX_NAMES: usize = 16;
/// Maximum length of a name that is kept, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Runs the prescan over a whole text, without its comments.
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
    let (kind, reason) = match objection.cause {
        Cause::Invalid => (
            StatementKind::Unknown,
            "invalid or unterminated SQL from byte ".to_string() + &objection.span.start.to_string(),
        ),
        Cause::AmbiguousLiteral => {
            (StatementKind::Unknown, "the end of a literal depends on standard_conforming_strings".into())
        }
        Cause::MultipleStatements => (StatementKind::Unknown, "several statements in one query".into()),
        Cause::TooDeeplyNested => (StatementKind::Unknown, "parentheses nested too deeply to follow".into()),
        Cause::WritingKeyword => (StatementKind::Write, format!("changes {excerpt}")),
        Cause::IntoClause => (StatementKind::Write, "INTO creates or fills a table".into()),
        Cause::RowLocks => (StatementKind::Write, "locks rows".into()),
        Cause::WritingCall => (StatementKind::Write, format!("{excerpt}() writes or locks")),
        Cause::SessionCall => (StatementKind::Session, format!("{excerpt}() belongs to a session")),
        Cause::UnknownCall => (StatementKind::Unknown, format!("{excerpt}() may write")),
        Cause::UnknownOperator => (StatementKind::Unknown, format!("operator {excerpt} may write")),
        Cause::UnknownType => {
            (StatementKind::Unknown, format!("a cast at {excerpt} to a type that is not built in"))
        }
    };
    let mut classification = Classification::new(kind, reason);
    classification.multiple_statements = objection.cause == Cause::MultipleStatements;
    classification.locks = objection.cause == Cause::RowLocks;
    classification
}

/// Classifies a text by its tokens alone, without parsing it.
pub fn classify_by_prescan(text: &[u8], prescan: &Prescan) -> Classification {
    // These objections override the leading keyword, which is only that of the first statement.
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
            Classification::new(StatementKind::Unknown, "does not begin like a known statement")
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

/// Returns whether the tokens alone determine the classification, so that parsing could not change it.
pub fn is_conclusive(prescan: &Prescan) -> bool {
    let is_decisive = |objection: &Objection| {
        matches!(objection.cause, Cause::Invalid | Cause::MultipleStatements | Cause::AmbiguousLiteral)
    };
    prescan.objection.as_ref().is_some_and(is_decisive)
        || matches!(prescan.leading_keyword, LeadingKeyword::Session | LeadingKeyword::Unknown)
}

/// Classifies a statement. The result is the same for every text of a fingerprint, as the canonical text is classified in place
/// of the client's. The limits above bound the time that it takes.
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
            classification.reason =
                format!("{}; too long or too deep to be parsed", classification.reason).into();
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

/// Classifies a text that can't be parsed: by its tokens, but never as a read, with one exception.
fn classify_unparsed(text: &[u8], prescan: &Prescan) -> Classification {
    let classification = classify_by_prescan(text, prescan);
    match classification.kind {
        // The exception is `TABLE name`, which the parser doesn't support and the tokens fully determine.
        StatementKind::Read if text[prescan.leading_keyword_span.clone()].eq_ignore_ascii_case(b"table") => {
            classification
        }
        StatementKind::Read => {
            Classification::new(StatementKind::Unknown, "the parser does not know this grammar")
        }
        _ => classification,
    }
}

/// Returns the maximum nesting of parentheses and brackets.
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

/// Combines the findings of the parser and of the prescan; the stricter one decides.
fn combine(statement: &Statement, text: &[u8], prescan: &Prescan) -> Classification {
    let mut found = TreeFindings::default();
    let (inner, is_executed) = match statement {
        Statement::Explain { statement, analyze, options, .. } => {
            // Any option that doesn't only select the output is assumed to execute the statement: `ANALYSE` is another name
            // for `ANALYZE`, and `ANALYZE FALSE` is rare enough to be treated like it.
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
