//! Classifies a statement by its tokens alone: the part of the classification that needs neither a parser nor allocation.
//!
//! A read may be classified as something else, but never the reverse: everything that could call a user-defined function or
//! change anything is an objection against a read. Every classification takes the prescan into account, so a construct that the
//! parser misreads can't hide a call. Not covered is what the text can't show: views, policies, user-defined operators with a
//! built-in name, and functions that are called in the notation of a column.

use std::ops::Range;

use crate::builtin_catalog;
use crate::lexer::{Token, TokenKind};

/// A reason why a statement may not be a read, and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Objection {
    /// The reason.
    pub cause: Cause,
    /// The range of bytes in the text that caused it.
    pub span: Range<usize>,
}

/// A reason why a statement may not be a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Invalid or unterminated SQL.
    Invalid,
    /// A literal whose end depends on the server's `standard_conforming_strings`.
    AmbiguousLiteral,
    /// More than one statement.
    MultipleStatements,
    /// Parentheses nested too deep to be tracked.
    TooDeeplyNested,
    /// A keyword that writes, such as `UPDATE` or `DELETE`.
    WritingKeyword,
    /// `SELECT … INTO`.
    IntoClause,
    /// A clause that locks rows, such as `FOR UPDATE`.
    RowLocks,
    /// A function that is known to write.
    WritingCall,
    /// A function that changes session state or holds a resource of the session.
    SessionCall,
    /// A function that is not in the builtin catalog.
    UnknownCall,
    /// An operator that is not known to have no side effect.
    UnknownOperator,
    /// A type whose input function is not known to have no side effect.
    UnknownType,
}

/// The kind of statement by its first word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LeadingKeyword {
    /// A query, which is a read unless there is an objection.
    Query,
    /// `EXPLAIN`.
    Explain,
    /// `COPY`.
    Copy,
    /// `SHOW`.
    Show,
    /// A keyword that starts a write.
    Write,
    /// A keyword that starts a statement which depends on a session.
    Session,
    /// Any other word, or no word yet.
    #[default]
    Unknown,
}

/// Maximum number of possible calls that are left to the parser, as they may be column lists of aliases. A statement with more
/// is not classified as a read.
const MAX_UNRESOLVED_CALLS: usize = 12;
/// Maximum nesting of parentheses that is tracked.
const MAX_NESTING: usize = 60;

/// The state of a prescan, to which tokens are added one by one. Its size is fixed.
#[derive(Clone, Debug, Default)]
pub struct Prescan {
    /// The kind of statement by its first word.
    pub leading_keyword: LeadingKeyword,
    /// The range of the first word's bytes in the text.
    pub leading_keyword_span: Range<usize>,
    /// The first objection, apart from those that go to `write_objection`.
    pub objection: Option<Objection>,
    /// Names before a parenthesis that are not in the builtin catalog.
    pub unresolved_calls: [Range<usize>; MAX_UNRESOLVED_CALLS],
    /// The number of entries of `unresolved_calls` that are in use.
    pub unresolved_call_count: usize,
    /// The first write or row lock. It is kept apart from `objection`, as it doesn't count against a plain `EXPLAIN`, which
    /// doesn't execute the statement.
    pub write_objection: Option<Objection>,
    tokens: usize,
    after_semicolon: bool,
    /// Number of open parentheses.
    depth: usize,
    /// Number of open square brackets; negative if more were closed than opened.
    open_brackets: i64,
    /// One bit for each open parenthesis, set if it belongs to a `CAST`.
    cast_parentheses: u64,
    /// The last three tokens, the most recent first.
    recent: [Option<Token>; 3],
    /// Whether the next token has to be a type.
    expects_type: bool,
    /// Whether the last token was a type. A following full stop would make it a schema instead.
    after_type: bool,
}

fn is_word(token: Option<&Token>, text: &[u8], words: &[&str]) -> bool {
    token.is_some_and(|t| {
        t.kind == TokenKind::Word
            && words.iter().any(|word| t.bytes(text).eq_ignore_ascii_case(word.as_bytes()))
    })
}

fn is_punctuation(token: Option<&Token>, text: &[u8], expected: &[u8]) -> bool {
    token.is_some_and(|t| t.kind == TokenKind::Punctuation && t.bytes(text) == expected)
}

/// Returns whether a list contains the name as the server reads it; false where the token alone doesn't show that.
fn is_listed(list: &[&str], token: &Token, text: &[u8]) -> bool {
    let bytes = token.bytes(text);
    match token.kind {
        TokenKind::Word => builtin_catalog::contains_ignore_case(list, bytes),
        TokenKind::QuotedName => builtin_catalog::contains_exact(list, &bytes[1..bytes.len() - 1]),
        _ => false,
    }
}

impl Prescan {
    /// Returns the number of tokens in the text, without comments.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Returns whether the statement is a read by its tokens.
    pub fn is_read(&self) -> bool {
        let is_query = matches!(self.leading_keyword, LeadingKeyword::Query | LeadingKeyword::Show);
        is_query
            && self.depth == 0
            && self.open_brackets == 0
            && self.objection.is_none()
            && self.write_objection.is_none()
            && self.unresolved_call_count == 0
    }

    fn add_objection(&mut self, cause: Cause, span: &Range<usize>) {
        if self.objection.is_none() {
            self.objection = Some(Objection { cause, span: span.clone() });
        }
    }

    fn add_write(&mut self, cause: Cause, span: &Range<usize>) {
        let objection = Objection { cause, span: span.clone() };
        self.write_objection.get_or_insert(objection);
    }

    /// Adds the next token of the text.
    pub fn push(&mut self, token: &Token, text: &[u8]) {
        if token.is_comment() {
            return;
        }
        self.tokens += 1;
        let [last, second_last, third_last] = std::mem::take(&mut self.recent);
        let (prev, before_prev) = (last.as_ref(), second_last.as_ref());
        self.check_end(token, text);
        self.track_keywords(token, prev, before_prev, text);
        self.track_types(token, prev, text);
        match token.kind {
            TokenKind::Operator => self.check_operator(token, text),
            TokenKind::Literal | TokenKind::DollarLiteral => {
                self.check_typed_literal(token, prev, before_prev, text);
            }
            TokenKind::Punctuation => {
                self.check_punctuation(token, prev, before_prev, third_last.as_ref(), text);
            }
            _ => {}
        }
        self.recent = [Some(token.clone()), last, second_last];
    }

    /// Objects to invalid or ambiguous input, and to any token after the end of the first statement.
    fn check_end(&mut self, token: &Token, text: &[u8]) {
        match token.kind {
            TokenKind::Invalid => self.add_objection(Cause::Invalid, &token.span),
            _ if token.ambiguous_end => self.add_objection(Cause::AmbiguousLiteral, &token.span),
            TokenKind::Punctuation if token.bytes(text) == b";" => self.after_semicolon = true,
            _ if self.after_semicolon => self.add_objection(Cause::MultipleStatements, &token.span),
            _ => {}
        }
    }

    /// Checks the first word, keywords that write, and updates of a table.
    fn track_keywords(
        &mut self,
        token: &Token,
        prev: Option<&Token>,
        before_prev: Option<&Token>,
        text: &[u8],
    ) {
        if self.leading_keyword == LeadingKeyword::Unknown
            && self.leading_keyword_span.is_empty()
            && token.kind != TokenKind::Punctuation
        {
            self.classify_leading_keyword(token, text);
        } else if token.kind == TokenKind::Word && !is_punctuation(prev, text, b".") {
            self.check_word(token, prev, before_prev, text);
        }
        if matches!(token.kind, TokenKind::Word | TokenKind::QuotedName | TokenKind::UnicodeQuotedName) {
            self.check_update(token, prev, before_prev, text);
        }
    }

    /// Tracks casts, and objects to a type that is not built in.
    fn track_types(&mut self, token: &Token, prev: Option<&Token>, text: &[u8]) {
        if is_word(prev, text, &["as"]) && self.is_in_cast() {
            self.expects_type = true;
        }
        if std::mem::take(&mut self.after_type) && is_punctuation(Some(token), text, b".") {
            self.add_objection(Cause::UnknownType, &token.span);
        }
        if std::mem::take(&mut self.expects_type) && !is_pg_catalog(token, text) {
            self.after_type = true;
            if !is_builtin_type(token, text) {
                self.add_objection(Cause::UnknownType, &token.span);
            }
        }
    }

    /// Returns whether the innermost open parenthesis belongs to a `CAST`.
    fn is_in_cast(&self) -> bool {
        (1..=MAX_NESTING).contains(&self.depth) && self.cast_parentheses >> (self.depth - 1) & 1 == 1
    }

    fn check_operator(&mut self, token: &Token, text: &[u8]) {
        if token.bytes(text) == b"::" {
            self.expects_type = true;
        } else if !builtin_catalog::contains_exact(builtin_catalog::READ_ONLY_OPERATORS, token.bytes(text)) {
            self.add_objection(Cause::UnknownOperator, &token.span);
        }
    }

    /// Sets the kind of statement by its first word.
    fn classify_leading_keyword(&mut self, token: &Token, text: &[u8]) {
        self.leading_keyword_span = token.span.clone();
        let mut lower = [0; 12];
        let bytes = token.bytes(text);
        let Some(lowercase) = lower.get_mut(..bytes.len()).filter(|_| token.kind == TokenKind::Word) else {
            return;
        };
        lowercase.copy_from_slice(bytes);
        lowercase.make_ascii_lowercase();
        self.leading_keyword = match &*lowercase {
            b"select" | b"with" | b"values" | b"table" => LeadingKeyword::Query,
            b"explain" => LeadingKeyword::Explain,
            b"copy" => LeadingKeyword::Copy,
            b"show" => LeadingKeyword::Show,
            b"insert" | b"update" | b"delete" | b"merge" | b"truncate" | b"create" | b"alter" | b"drop"
            | b"grant" | b"revoke" | b"comment" | b"vacuum" | b"analyze" | b"reindex" | b"cluster"
            | b"refresh" | b"notify" | b"call" | b"do" | b"import" | b"security" | b"reassign"
            | b"checkpoint" => LeadingKeyword::Write,
            b"set" | b"reset" | b"begin" | b"start" | b"commit" | b"end" | b"rollback" | b"abort"
            | b"savepoint" | b"release" | b"prepare" | b"execute" | b"deallocate" | b"declare" | b"fetch"
            | b"move" | b"close" | b"listen" | b"unlisten" | b"discard" | b"load" | b"lock" => {
                LeadingKeyword::Session
            }
            _ => LeadingKeyword::Unknown,
        };
    }

    /// Checks an unquoted word that is neither the first word nor preceded by a full stop.
    fn check_word(&mut self, token: &Token, prev: Option<&Token>, before_prev: Option<&Token>, text: &[u8]) {
        let this = Some(token);
        if is_word(this, text, &["uescape"])
            && prev.is_some_and(|name| name.kind == TokenKind::UnicodeQuotedName)
        {
            // The name may be that of a function, as the parenthesis of a call follows the `UESCAPE` clause.
            self.add_objection(Cause::UnknownCall, &token.span);
        } else if is_word(this, text, &["into"]) {
            self.add_write(Cause::IntoClause, &token.span);
        } else if is_word(this, text, &["update", "share"]) && is_word(prev, text, &["for", "key"]) {
            self.add_write(Cause::RowLocks, &token.span);
        } else if is_word(this, text, &["from"])
            && is_word(prev, text, &["delete"])
            && !precedes_column(before_prev, text)
        {
            self.add_write(Cause::WritingKeyword, &token.span);
        } else if is_word(this, text, &["temp", "temporary"])
            && is_word(prev, text, &["create", "local", "global"])
        {
            // A temporary object belongs to the session.
            self.leading_keyword = LeadingKeyword::Session;
        }
    }

    /// Objects to `UPDATE name` wherever a statement may start.
    fn check_update(
        &mut self,
        token: &Token,
        prev: Option<&Token>,
        before_prev: Option<&Token>,
        text: &[u8],
    ) {
        let updates = is_word(prev, text, &["update"]) && !precedes_column(before_prev, text);
        if updates && !is_word(Some(token), text, &["from"]) {
            self.add_write(Cause::WritingKeyword, &token.span);
        }
    }

    /// Objects to `type 'text'`, which is a cast, unless the type is built in.
    fn check_typed_literal(
        &mut self,
        token: &Token,
        prev: Option<&Token>,
        before_prev: Option<&Token>,
        text: &[u8],
    ) {
        let Some(prev) = prev else { return };
        let is_literal_position = match prev.kind {
            TokenKind::Word if is_punctuation(before_prev, text, b".") => false,
            TokenKind::Word => {
                builtin_catalog::contains_ignore_case(builtin_catalog::BUILTIN_TYPES, prev.bytes(text))
                    || builtin_catalog::contains_ignore_case(
                        builtin_catalog::KEYWORDS_BEFORE_LITERAL,
                        prev.bytes(text),
                    )
            }
            TokenKind::QuotedName | TokenKind::UnicodeQuotedName => false,
            // `type(3) 'text'` is already checked as a call, and `text[] 'x'` is not a cast.
            _ => true,
        };
        if !is_literal_position {
            self.add_objection(Cause::UnknownType, &token.span);
        }
    }

    fn check_punctuation(
        &mut self,
        token: &Token,
        prev: Option<&Token>,
        before_prev: Option<&Token>,
        third_last: Option<&Token>,
        text: &[u8],
    ) {
        match token.bytes(text) {
            b"(" => {
                if self.depth >= MAX_NESTING {
                    self.add_objection(Cause::TooDeeplyNested, &token.span);
                } else {
                    let bit = 1 << self.depth;
                    let is_cast = is_word(prev, text, &["cast"]) && !is_punctuation(before_prev, text, b".");
                    self.cast_parentheses =
                        if is_cast { self.cast_parentheses | bit } else { self.cast_parentheses & !bit };
                }
                self.depth += 1;
                if let Some(name) = prev {
                    self.check_call(name, before_prev, third_last, text);
                }
            }
            b")" => self.depth = self.depth.saturating_sub(1),
            b"[" => self.open_brackets += 1,
            b"]" => self.open_brackets -= 1,
            _ => {}
        }
    }

    /// Checks a name that is followed by an opening parenthesis.
    fn check_call(
        &mut self,
        name: &Token,
        before_prev: Option<&Token>,
        third_last: Option<&Token>,
        text: &[u8],
    ) {
        if !matches!(name.kind, TokenKind::Word | TokenKind::QuotedName | TokenKind::UnicodeQuotedName) {
            return;
        }
        let qualified = is_punctuation(before_prev, text, b".");
        if !qualified && name.kind == TokenKind::Word {
            let is_any_of = |words: &[&str]| is_word(Some(name), text, words);
            let is_no_call =
                builtin_catalog::contains_ignore_case(builtin_catalog::NON_CALL_KEYWORDS, name.bytes(text))
                    || is_any_of(&["over", "filter", "repeatable"])
                        && is_punctuation(before_prev, text, b")")
                    || is_any_of(&["by"]) && is_word(before_prev, text, &["group", "order", "partition"])
                    || is_any_of(&["cube", "rollup"]) && is_word(before_prev, text, &["by"])
                    || is_any_of(&["sets"]) && is_word(before_prev, text, &["grouping"])
                    || is_any_of(&["materialized"]) && is_word(before_prev, text, &["as", "not"])
                    || is_any_of(&["bernoulli", "system"]) && is_word(before_prev, text, &["tablesample"])
                    || is_any_of(&["explain", "copy"]) && name.span == self.leading_keyword_span;
            if is_no_call {
                return;
            }
        }
        let is_builtin_schema = !qualified || third_last.is_some_and(|schema| is_pg_catalog(schema, text));
        if is_builtin_schema && is_listed(builtin_catalog::READ_ONLY_FUNCTIONS, name, text) {
            return;
        }
        if is_builtin_schema && is_listed(builtin_catalog::SESSION_FUNCTIONS, name, text) {
            return self.add_objection(Cause::SessionCall, &name.span);
        }
        // The schema doesn't matter here, as an extension's functions may be installed in any schema.
        if is_listed(builtin_catalog::WRITING_FUNCTIONS, name, text) {
            return self.add_objection(Cause::WritingCall, &name.span);
        }
        if qualified || self.unresolved_call_count == MAX_UNRESOLVED_CALLS {
            self.add_objection(Cause::UnknownCall, &name.span);
        } else {
            self.unresolved_calls[self.unresolved_call_count] = name.span.clone();
            self.unresolved_call_count += 1;
        }
    }
}

fn is_pg_catalog(token: &Token, text: &[u8]) -> bool {
    is_word(Some(token), text, &["pg_catalog"])
        || token.kind == TokenKind::QuotedName && token.bytes(text) == b"\"pg_catalog\""
}

/// Returns whether the token names a built-in type. The type names of the SQL standard are keywords, so a quoted name other than
/// `"char"` may be that of a user-defined type.
fn is_builtin_type(token: &Token, text: &[u8]) -> bool {
    match token.kind {
        TokenKind::Word => is_listed(builtin_catalog::BUILTIN_TYPES, token, text),
        _ => token.bytes(text) == b"\"char\"",
    }
}

/// Returns whether a name after that token is the name of a column.
fn precedes_column(previous: Option<&Token>, text: &[u8]) -> bool {
    previous.is_some_and(|token| match token.kind {
        TokenKind::Word => {
            builtin_catalog::contains_ignore_case(builtin_catalog::KEYWORDS_BEFORE_COLUMN, token.bytes(text))
        }
        TokenKind::Operator => true,
        TokenKind::Punctuation => matches!(token.bytes(text), b"," | b"."),
        _ => false,
    })
}
