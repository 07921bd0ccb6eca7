//! What the tokens alone tell of a statement: the part of the classification that needs no parser and no memory.
//!
//! It may take a read for something else, never the other way round: whatever could call a function of a user's, or
//! change anything, is a doubt. Every classification goes by it, so a construct that the parser takes for another can't
//! hide a call. What no text can tell stays out: views, policies and operators of a user's that bear a built-in name,
//! and functions called as if they were columns.

use std::ops::Range;

use crate::builtin_catalog;
use crate::lexer::{Token, TokenKind};

/// What speaks against a read, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Objection {
    /// What it is.
    pub cause: Cause,
    /// Its bytes in the text.
    pub span: Range<usize>,
}

/// What can speak against a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Not SQL, or unfinished.
    Invalid,
    /// A literal whose end depends on a setting of the server.
    AmbiguousLiteral,
    /// More than one statement.
    MultipleStatements,
    /// Parentheses nested too deep to be followed.
    TooDeeplyNested,
    /// A key word that writes, such as `INSERT` or `DELETE`.
    WritingKeyword,
    /// `SELECT … INTO`.
    IntoClause,
    /// Locks rows, such as `FOR UPDATE`.
    RowLocks,
    /// A function that is known to write.
    WritingCall,
    /// A function that changes the session or holds something of it.
    SessionCall,
    /// A function that is on no list.
    UnknownCall,
    /// An operator that is not known to have no side effect.
    UnknownOperator,
    /// A type whose input is not known to have no side effect.
    UnknownType,
}

/// What the first word says of the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LeadingKeyword {
    /// A query, if nothing speaks against it.
    Query,
    /// `EXPLAIN`.
    Explain,
    /// `COPY`.
    Copy,
    /// `SHOW`.
    Show,
    /// A word that begins a write.
    Write,
    /// A word that begins a statement which belongs to a session.
    Session,
    /// Any other word, or none yet.
    #[default]
    Unknown,
}

/// Calls that may be column lists of an alias, for the parser to tell; a text with more is not taken for a read.
const MAX_UNRESOLVED_CALLS: usize = 12;
/// Parentheses within parentheses that are followed.
const MAX_NESTING: usize = 60;

/// Taken in token by token; fixed in size.
#[derive(Clone, Debug, Default)]
pub struct Prescan {
    /// What the first word says.
    pub leading_keyword: LeadingKeyword,
    /// The first word's bytes in the text.
    pub leading_keyword_span: Range<usize>,
    /// The first that was found.
    pub objection: Option<Objection>,
    /// Names before a parenthesis that no list has.
    pub unresolved_calls: [Range<usize>; MAX_UNRESOLVED_CALLS],
    /// How many places of `calls` are filled.
    pub unresolved_call_count: usize,
    /// `EXPLAIN` alone runs nothing, and what it explains is not doubted for writing.
    pub write_objection: Option<Objection>,
    tokens: usize,
    after_semicolon: bool,
    depth: usize,
    /// Square brackets that are open.
    open_brackets: i64,
    /// A bit a parenthesis: whether it is that of a `CAST`.
    cast_parentheses: u64,
    recent: [Option<Token>; 3],
    expects_type: bool,
    /// The last token was a type, which a full stop would make a schema.
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

/// A name as the server takes it, where that can be told from the token.
fn is_listed(list: &[&str], token: &Token, text: &[u8]) -> bool {
    let bytes = token.bytes(text);
    match token.kind {
        TokenKind::Word => builtin_catalog::contains_ignore_case(list, bytes),
        TokenKind::QuotedName => builtin_catalog::contains_exact(list, &bytes[1..bytes.len() - 1]),
        _ => false,
    }
}

impl Prescan {
    /// How many tokens the text has, comments apart.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Nothing speaks against a read.
    pub fn is_read(&self) -> bool {
        let query = matches!(self.leading_keyword, LeadingKeyword::Query | LeadingKeyword::Show);
        query
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

    /// Takes the next token of the text in.
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
            TokenKind::Operator => self.operator(token, text),
            TokenKind::Literal | TokenKind::DollarLiteral => {
                self.check_typed_literal(token, prev, before_prev, text);
            }
            TokenKind::Punctuation => self.punctuation(token, prev, before_prev, third_last.as_ref(), text),
            _ => {}
        }
        self.recent = [Some(token.clone()), last, second_last];
    }

    /// Doubts what is no SQL, and what comes behind the first statement.
    fn check_end(&mut self, token: &Token, text: &[u8]) {
        match token.kind {
            TokenKind::Invalid => self.add_objection(Cause::Invalid, &token.span),
            _ if token.ambiguous_end => self.add_objection(Cause::AmbiguousLiteral, &token.span),
            TokenKind::Punctuation if token.bytes(text) == b";" => self.after_semicolon = true,
            _ if self.after_semicolon => self.add_objection(Cause::MultipleStatements, &token.span),
            _ => {}
        }
    }

    /// The first word, key words that write, and names of tables that are changed.
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

    /// Follows casts: doubts a type that is not built in, where one has to come.
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

    /// Whether the innermost open parenthesis is that of a `CAST`.
    fn is_in_cast(&self) -> bool {
        (1..=MAX_NESTING).contains(&self.depth) && self.cast_parentheses >> (self.depth - 1) & 1 == 1
    }

    fn operator(&mut self, token: &Token, text: &[u8]) {
        if token.bytes(text) == b"::" {
            self.expects_type = true;
        } else if !builtin_catalog::contains_exact(builtin_catalog::READ_ONLY_OPERATORS, token.bytes(text)) {
            self.add_objection(Cause::UnknownOperator, &token.span);
        }
    }

    /// What kind of statement it is by its first word.
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

    /// An unquoted word that is not the first, nor behind a full stop.
    fn check_word(&mut self, token: &Token, prev: Option<&Token>, before_prev: Option<&Token>, text: &[u8]) {
        let this = Some(token);
        if is_word(this, text, &["uescape"])
            && prev.is_some_and(|name| name.kind == TokenKind::UnicodeQuotedName)
        {
            // It may name a function, and the parenthesis comes behind the escape.
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
            // What it makes lives with the session.
            self.leading_keyword = LeadingKeyword::Session;
        }
    }

    /// `UPDATE name`, wherever a statement may begin.
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

    /// `type 'text'` is a cast.
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
            // `type(3) 'text'` is a call by its look, and `text[] 'x'` no cast.
            _ => true,
        };
        if !is_literal_position {
            self.add_objection(Cause::UnknownType, &token.span);
        }
    }

    fn punctuation(
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
                    let cast = is_word(prev, text, &["cast"]) && !is_punctuation(before_prev, text, b".");
                    self.cast_parentheses =
                        if cast { self.cast_parentheses | bit } else { self.cast_parentheses & !bit };
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

    /// A parenthesis behind that token.
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
            let is_name = |words: &[&str]| is_word(Some(name), text, words);
            let no_call =
                builtin_catalog::contains_ignore_case(builtin_catalog::NON_CALL_KEYWORDS, name.bytes(text))
                    || is_name(&["over", "filter", "repeatable"]) && is_punctuation(before_prev, text, b")")
                    || is_name(&["by"]) && is_word(before_prev, text, &["group", "order", "partition"])
                    || is_name(&["cube", "rollup"]) && is_word(before_prev, text, &["by"])
                    || is_name(&["sets"]) && is_word(before_prev, text, &["grouping"])
                    || is_name(&["materialized"]) && is_word(before_prev, text, &["as", "not"])
                    || is_name(&["bernoulli", "system"]) && is_word(before_prev, text, &["tablesample"])
                    || is_name(&["explain", "copy"]) && name.span == self.leading_keyword_span;
            if no_call {
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
        // By any schema: an extension's stands where its owner put it.
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

/// The standard's spellings are no names of types; quoted, all but `"char"` may be a user's.
fn is_builtin_type(token: &Token, text: &[u8]) -> bool {
    match token.kind {
        TokenKind::Word => is_listed(builtin_catalog::BUILTIN_TYPES, token, text),
        _ => token.bytes(text) == b"\"char\"",
    }
}

/// Whether a name behind that token is a column's.
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
