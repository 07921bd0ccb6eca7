//! What the tokens alone tell of a statement: the part of the classification that needs no parser and no memory.
//!
//! It may take a read for something else, never the other way round: whatever could call a function of a user's, or
//! change anything, is a doubt. Every classification goes by it, so a construct that the parser takes for another can't
//! hide a call. What no text can tell stays out: views, policies and operators of a user's that bear a built-in name,
//! and functions called as if they were columns.

use std::ops::Range;

use crate::builtin_catalog;
use crate::lexer::{Kind, Token};

/// What speaks against a read, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// What it is.
    pub cause: Cause,
    /// Its bytes in the text.
    pub at: Range<usize>,
}

/// What can speak against a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Not SQL, or unfinished.
    Bad,
    /// A literal whose end depends on a setting of the server.
    Doubtful,
    /// More than one statement.
    Several,
    /// Parentheses nested too deep to be followed.
    Deep,
    /// A key word that writes, such as `INSERT` or `DELETE`.
    Writes,
    /// `SELECT … INTO`.
    Into,
    /// Locks rows, such as `FOR UPDATE`.
    Locks,
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
pub enum Opening {
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
    pub opening: Opening,
    /// The first word's bytes in the text.
    pub opened_by: Range<usize>,
    /// The first that was found.
    pub doubt: Option<Doubt>,
    /// Names before a parenthesis that no list has.
    pub calls: [Range<usize>; MAX_UNRESOLVED_CALLS],
    /// How many places of `calls` are filled.
    pub called: usize,
    /// `EXPLAIN` alone runs nothing, and what it explains is not doubted for writing.
    pub dml: Option<Doubt>,
    tokens: usize,
    ended: bool,
    depth: usize,
    /// Square brackets that are open.
    squares: i64,
    /// A bit a parenthesis: whether it is that of a `CAST`.
    casts: u64,
    last: [Option<Token>; 3],
    type_next: bool,
    /// The last token was a type, which a full stop would make a schema.
    type_last: bool,
}

fn is(token: Option<&Token>, text: &[u8], words: &[&str]) -> bool {
    token.is_some_and(|t| {
        t.kind == Kind::Word && words.iter().any(|word| t.bytes(text).eq_ignore_ascii_case(word.as_bytes()))
    })
}

fn is_mark(token: Option<&Token>, text: &[u8], mark: &[u8]) -> bool {
    token.is_some_and(|t| t.kind == Kind::Mark && t.bytes(text) == mark)
}

/// A name as the server takes it, where that can be told from the token.
fn listed(list: &[&str], token: &Token, text: &[u8]) -> bool {
    let bytes = token.bytes(text);
    match token.kind {
        Kind::Word => builtin_catalog::is_in(list, bytes),
        Kind::Quoted => builtin_catalog::is_exactly_in(list, &bytes[1..bytes.len() - 1]),
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
        let query = matches!(self.opening, Opening::Query | Opening::Show);
        query
            && self.depth == 0
            && self.squares == 0
            && self.doubt.is_none()
            && self.dml.is_none()
            && self.called == 0
    }

    fn doubt(&mut self, cause: Cause, at: &Range<usize>) {
        if self.doubt.is_none() {
            self.doubt = Some(Doubt { cause, at: at.clone() });
        }
    }

    fn writes(&mut self, cause: Cause, at: &Range<usize>) {
        let doubt = Doubt { cause, at: at.clone() };
        self.dml.get_or_insert(doubt);
    }

    /// Takes the next token of the text in.
    pub fn take(&mut self, token: &Token, text: &[u8]) {
        if token.is_comment() {
            return;
        }
        self.tokens += 1;
        let [last, second, third] = std::mem::take(&mut self.last);
        let (prev, before) = (last.as_ref(), second.as_ref());
        self.check_end(token, text);
        self.take_name(token, prev, before, text);
        self.take_type(token, prev, text);
        match token.kind {
            Kind::Operator => self.operator(token, text),
            Kind::Literal | Kind::Dollar => self.typed(token, prev, before, text),
            Kind::Mark => self.mark(token, prev, before, third.as_ref(), text),
            _ => {}
        }
        self.last = [Some(token.clone()), last, second];
    }

    /// Doubts what is no SQL, and what comes behind the first statement.
    fn check_end(&mut self, token: &Token, text: &[u8]) {
        match token.kind {
            Kind::Bad => self.doubt(Cause::Bad, &token.at),
            _ if token.doubtful => self.doubt(Cause::Doubtful, &token.at),
            Kind::Mark if token.bytes(text) == b";" => self.ended = true,
            _ if self.ended => self.doubt(Cause::Several, &token.at),
            _ => {}
        }
    }

    /// The first word, key words that write, and names of tables that are changed.
    fn take_name(&mut self, token: &Token, prev: Option<&Token>, before: Option<&Token>, text: &[u8]) {
        if self.opening == Opening::Unknown && self.opened_by.is_empty() && token.kind != Kind::Mark {
            self.open(token, text);
        } else if token.kind == Kind::Word && !is_mark(prev, text, b".") {
            self.word(token, prev, before, text);
        }
        if matches!(token.kind, Kind::Word | Kind::Quoted | Kind::QuotedUnicode) {
            self.updated(token, prev, before, text);
        }
    }

    /// Follows casts: doubts a type that is not built in, where one has to come.
    fn take_type(&mut self, token: &Token, prev: Option<&Token>, text: &[u8]) {
        if is(prev, text, &["as"]) && self.is_in_cast() {
            self.type_next = true;
        }
        if std::mem::take(&mut self.type_last) && is_mark(Some(token), text, b".") {
            self.doubt(Cause::UnknownType, &token.at);
        }
        if std::mem::take(&mut self.type_next) && !is_own_schema(token, text) {
            self.type_last = true;
            if !is_builtin_type(token, text) {
                self.doubt(Cause::UnknownType, &token.at);
            }
        }
    }

    /// Whether the innermost open parenthesis is that of a `CAST`.
    fn is_in_cast(&self) -> bool {
        (1..=MAX_NESTING).contains(&self.depth) && self.casts >> (self.depth - 1) & 1 == 1
    }

    fn operator(&mut self, token: &Token, text: &[u8]) {
        if token.bytes(text) == b"::" {
            self.type_next = true;
        } else if !builtin_catalog::is_exactly_in(builtin_catalog::OPERATORS, token.bytes(text)) {
            self.doubt(Cause::UnknownOperator, &token.at);
        }
    }

    /// What kind of statement it is by its first word.
    fn open(&mut self, token: &Token, text: &[u8]) {
        self.opened_by = token.at.clone();
        let mut lower = [0; 12];
        let bytes = token.bytes(text);
        let Some(place) = lower.get_mut(..bytes.len()).filter(|_| token.kind == Kind::Word) else { return };
        place.copy_from_slice(bytes);
        place.make_ascii_lowercase();
        self.opening = match &*place {
            b"select" | b"with" | b"values" | b"table" => Opening::Query,
            b"explain" => Opening::Explain,
            b"copy" => Opening::Copy,
            b"show" => Opening::Show,
            b"insert" | b"update" | b"delete" | b"merge" | b"truncate" | b"create" | b"alter" | b"drop"
            | b"grant" | b"revoke" | b"comment" | b"vacuum" | b"analyze" | b"reindex" | b"cluster"
            | b"refresh" | b"notify" | b"call" | b"do" | b"import" | b"security" | b"reassign"
            | b"checkpoint" => Opening::Write,
            b"set" | b"reset" | b"begin" | b"start" | b"commit" | b"end" | b"rollback" | b"abort"
            | b"savepoint" | b"release" | b"prepare" | b"execute" | b"deallocate" | b"declare" | b"fetch"
            | b"move" | b"close" | b"listen" | b"unlisten" | b"discard" | b"load" | b"lock" => {
                Opening::Session
            }
            _ => Opening::Unknown,
        };
    }

    /// An unquoted word that is not the first, nor behind a full stop.
    fn word(&mut self, token: &Token, prev: Option<&Token>, before: Option<&Token>, text: &[u8]) {
        let it = Some(token);
        if is(it, text, &["uescape"]) && prev.is_some_and(|name| name.kind == Kind::QuotedUnicode) {
            // It may name a function, and the parenthesis comes behind the escape.
            self.doubt(Cause::UnknownCall, &token.at);
        } else if is(it, text, &["into"]) {
            self.writes(Cause::Into, &token.at);
        } else if is(it, text, &["update", "share"]) && is(prev, text, &["for", "key"]) {
            self.writes(Cause::Locks, &token.at);
        } else if is(it, text, &["from"]) && is(prev, text, &["delete"]) && !is_column(before, text) {
            self.writes(Cause::Writes, &token.at);
        } else if is(it, text, &["temp", "temporary"]) && is(prev, text, &["create", "local", "global"]) {
            // What it makes lives with the session.
            self.opening = Opening::Session;
        }
    }

    /// `UPDATE name`, wherever a statement may begin.
    fn updated(&mut self, token: &Token, prev: Option<&Token>, before: Option<&Token>, text: &[u8]) {
        let updates = is(prev, text, &["update"]) && !is_column(before, text);
        if updates && !is(Some(token), text, &["from"]) {
            self.writes(Cause::Writes, &token.at);
        }
    }

    /// `type 'text'` is a cast.
    fn typed(&mut self, token: &Token, prev: Option<&Token>, before: Option<&Token>, text: &[u8]) {
        let Some(prev) = prev else { return };
        let known = match prev.kind {
            Kind::Word if is_mark(before, text, b".") => false,
            Kind::Word => {
                builtin_catalog::is_in(builtin_catalog::TYPES, prev.bytes(text))
                    || builtin_catalog::is_in(builtin_catalog::BEFORE_TEXT, prev.bytes(text))
            }
            Kind::Quoted | Kind::QuotedUnicode => false,
            // `type(3) 'text'` is a call by its look, and `text[] 'x'` no cast.
            _ => true,
        };
        if !known {
            self.doubt(Cause::UnknownType, &token.at);
        }
    }

    fn mark(
        &mut self,
        token: &Token,
        prev: Option<&Token>,
        before: Option<&Token>,
        third: Option<&Token>,
        text: &[u8],
    ) {
        match token.bytes(text) {
            b"(" => {
                if self.depth >= MAX_NESTING {
                    self.doubt(Cause::Deep, &token.at);
                } else {
                    let bit = 1 << self.depth;
                    let cast = is(prev, text, &["cast"]) && !is_mark(before, text, b".");
                    self.casts = if cast { self.casts | bit } else { self.casts & !bit };
                }
                self.depth += 1;
                if let Some(name) = prev {
                    self.call(name, before, third, text);
                }
            }
            b")" => self.depth = self.depth.saturating_sub(1),
            b"[" => self.squares += 1,
            b"]" => self.squares -= 1,
            _ => {}
        }
    }

    /// A parenthesis behind that token.
    fn call(&mut self, name: &Token, before: Option<&Token>, third: Option<&Token>, text: &[u8]) {
        if !matches!(name.kind, Kind::Word | Kind::Quoted | Kind::QuotedUnicode) {
            return;
        }
        let qualified = is_mark(before, text, b".");
        if !qualified && name.kind == Kind::Word {
            let word = |words: &[&str]| is(Some(name), text, words);
            let no_call = builtin_catalog::is_in(builtin_catalog::NO_CALLS, name.bytes(text))
                || word(&["over", "filter", "repeatable"]) && is_mark(before, text, b")")
                || word(&["by"]) && is(before, text, &["group", "order", "partition"])
                || word(&["cube", "rollup"]) && is(before, text, &["by"])
                || word(&["sets"]) && is(before, text, &["grouping"])
                || word(&["materialized"]) && is(before, text, &["as", "not"])
                || word(&["bernoulli", "system"]) && is(before, text, &["tablesample"])
                || word(&["explain", "copy"]) && name.at == self.opened_by;
            if no_call {
                return;
            }
        }
        let own = !qualified || third.is_some_and(|schema| is_own_schema(schema, text));
        if own && listed(builtin_catalog::READS, name, text) {
            return;
        }
        if own && listed(builtin_catalog::SESSION, name, text) {
            return self.doubt(Cause::SessionCall, &name.at);
        }
        // By any schema: an extension's stands where its owner put it.
        if listed(builtin_catalog::WRITES, name, text) {
            return self.doubt(Cause::WritingCall, &name.at);
        }
        if qualified || self.called == MAX_UNRESOLVED_CALLS {
            self.doubt(Cause::UnknownCall, &name.at);
        } else {
            self.calls[self.called] = name.at.clone();
            self.called += 1;
        }
    }
}

fn is_own_schema(token: &Token, text: &[u8]) -> bool {
    is(Some(token), text, &["pg_catalog"])
        || token.kind == Kind::Quoted && token.bytes(text) == b"\"pg_catalog\""
}

/// The standard's spellings are no names of types; quoted, all but `"char"` may be a user's.
fn is_builtin_type(token: &Token, text: &[u8]) -> bool {
    match token.kind {
        Kind::Word => listed(builtin_catalog::TYPES, token, text),
        _ => token.bytes(text) == b"\"char\"",
    }
}

/// Whether a name behind that token is a column's.
fn is_column(before: Option<&Token>, text: &[u8]) -> bool {
    before.is_some_and(|token| match token.kind {
        Kind::Word => builtin_catalog::is_in(builtin_catalog::BEFORE_COLUMN, token.bytes(text)),
        Kind::Operator => true,
        Kind::Mark => matches!(token.bytes(text), b"," | b"."),
        _ => false,
    })
}
