//! The fingerprint of a statement: a keyed 128-bit hash of its tokens, with values normalized and comments left out.
//!
//! Two texts with the same fingerprint have the same kind, as the fingerprint includes everything besides values that a
//! classification depends on. The key prevents clients from constructing collisions, by which a write could be classified as a
//! known read.

use std::hash::Hasher;
use std::ops::Range;

use siphasher::sip128::{Hasher128, SipHasher13};

use crate::lexer::{Lexer, Token, TokenKind, packed};

/// A keyed hash of a statement's tokens without its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

/// The key of the hash, derived from the router's seed.
#[derive(Clone, Copy, Debug)]
pub struct Key(pub u64, pub u64);

impl Key {
    /// Derives a key from one secret number.
    pub fn from_seed(seed: u64) -> Key {
        // The halves must differ by more than a constant, or one half would reveal the other.
        let spread = |salt: u64| {
            let mut hasher = SipHasher13::new_with_keys(seed, salt);
            hasher.write_u64(salt);
            hasher.finish128().h1
        };
        Key(spread(0x736861706573), spread(0x6b6579))
    }
}

/// Receives the normalized items of a text: either hashes them, or writes the canonical text of the same fingerprint.
pub trait Sink {
    /// Adds the next item.
    fn put(&mut self, item: Item);
}

/// An element of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item<'a> {
    /// A value of any kind.
    Value,
    /// A literal where the grammar distinguishes kinds of values, as after a word: `DATE '…'`.
    Literal,
    /// A number where the grammar distinguishes kinds of values: `FIRST 5`.
    Number,
    /// A parameter such as `$1` where the grammar distinguishes kinds of values.
    Parameter,
    /// An unquoted word in any case, and its [`Token::packed_word`].
    Word(&'a [u8], u64),
    /// A quoted name, including its quotes.
    Name(&'a [u8]),
    /// An operator or punctuation, as written.
    Other(&'a [u8]),
    /// A literal whose end depends on the server's `standard_conforming_strings`.
    AmbiguousLiteral,
    /// Input that is not valid SQL.
    Invalid(&'a [u8]),
}

/// Hashes the items. Buffers small writes, as most of the hasher's cost is per call.
struct HashSink {
    hasher: SipHasher13,
    buffer: [u8; 256],
    length: usize,
}

impl HashSink {
    #[inline(always)]
    fn push_byte(&mut self, byte: u8) {
        if self.length == self.buffer.len() {
            self.flush();
        }
        self.buffer[self.length] = byte;
        self.length += 1;
    }

    #[cold]
    fn flush(&mut self) {
        self.hasher.write(&self.buffer[..self.length]);
        self.length = 0;
    }

    /// Adds `bytes` between a tag and a terminating zero, in lower case if `lowercase` is set. Only invalid input can contain a
    /// zero byte itself, and that is always the last item.
    fn push_bytes(&mut self, tag: u8, bytes: &[u8], lowercase: bool) {
        self.push_byte(tag);
        if bytes.len() > self.buffer.len() {
            bytes
                .iter()
                .for_each(|byte| self.push_byte(if lowercase { byte.to_ascii_lowercase() } else { *byte }));
        } else {
            if self.length + bytes.len() > self.buffer.len() {
                self.flush();
            }
            let place = &mut self.buffer[self.length..self.length + bytes.len()];
            place.copy_from_slice(bytes);
            if lowercase {
                place.make_ascii_lowercase();
            }
            self.length += bytes.len();
        }
        self.push_byte(0);
    }
}

impl Sink for HashSink {
    #[inline(always)]
    fn put(&mut self, item: Item) {
        match item {
            Item::Value => self.push_byte(1),
            Item::Literal => self.push_byte(2),
            Item::Number => self.push_byte(3),
            Item::Parameter => self.push_byte(4),
            Item::AmbiguousLiteral => self.push_byte(5),
            Item::Word(bytes, 0) => self.push_bytes(6, bytes, true),
            Item::Word(_, word) => {
                if self.length + 9 > self.buffer.len() {
                    self.flush();
                }
                let place = &mut self.buffer[self.length..self.length + 9];
                place[0] = 10;
                place[1..].copy_from_slice(&word.to_le_bytes());
                self.length += 9;
            }
            // A single byte that is distinct from all tags.
            Item::Other([mark @ 0x20..=0x7f]) => self.push_byte(*mark),
            Item::Name(bytes) => self.push_bytes(7, bytes, false),
            Item::Other(bytes) => self.push_bytes(8, bytes, false),
            Item::Invalid(bytes) => self.push_bytes(9, bytes, false),
        }
    }
}

/// Writes the canonical text of a fingerprint. It is parsed in place of the client's text, so that the classification holds for
/// all texts of the fingerprint, whichever arrived first.
#[derive(Default)]
struct CanonicalText(String);

impl Sink for CanonicalText {
    fn put(&mut self, item: Item) {
        let lower;
        let text = match item {
            Item::Value | Item::Number => "1",
            Item::Literal => "'x'",
            Item::Parameter => "$1",
            Item::Word(bytes, _) => {
                lower = String::from_utf8_lossy(bytes).to_ascii_lowercase();
                &lower
            }
            Item::Name(bytes) | Item::Other(bytes) | Item::Invalid(bytes) => {
                lower = String::from_utf8_lossy(bytes).into_owned();
                &lower
            }
            // A literal that is just as ambiguous.
            Item::AmbiguousLiteral => r"'\'",
        };
        // A space separates any two items, which could otherwise be read as one token.
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(text);
    }
}

/// The state of the two kinds of lists that are normalized, `IN (…)` and the rows of `VALUES`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum List {
    /// In neither kind of list.
    None,
    /// After `IN (` with nothing but values so far. `after_comma` is set if the last token was a comma.
    In { has_values: bool, after_comma: bool },
    /// Between the rows of `VALUES`. `row_length` is the number of values of the preceding row, which held nothing else.
    Rows { row_length: usize, after_comma: bool },
    /// In a row with nothing but values so far. The row is held back until it is known whether it is as long as the preceding
    /// one; `row_length` is 0 for the first row.
    Row { values: usize, row_length: usize, after_comma: bool },
}

/// The previous token, as far as the meaning of the next one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreviousToken {
    Start,
    Value,
    /// A literal, and the position of its end: a literal on a later line continues it.
    Literal(usize),
    /// A name or a closing bracket, after which a minus is a subtraction.
    Term,
    /// `IN`, after which a parenthesis opens a list.
    In,
    /// A keyword after which a sign belongs to the following number.
    SignPrefix,
    Other,
    /// A minus that may belong to a following number; true if a keyword precedes it.
    PendingMinus(bool),
}

/// Turns the tokens of a text into the items of its fingerprint.
pub struct FingerprintBuilder<S> {
    sink: S,
    list: List,
    previous: PreviousToken,
    /// Whether the previous token was `VALUES`, so that a parenthesis opens its first row.
    after_values_keyword: bool,
}

/// The result of one pass over the text of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The fingerprint of the whole text.
    pub fingerprint: Fingerprint,
    /// The last block comment, including its delimiters. What looks like a comment within a literal, a quoted name or another
    /// comment doesn't count.
    pub comment: Option<Range<usize>>,
    /// Whether anything but white space and semicolons follows that comment.
    pub text_follows_comment: bool,
    /// The first literal, including its quotes.
    pub literal: Option<Range<usize>>,
    /// Whether the text contains invalid input, such as a comment, a literal or a name that is not terminated.
    pub has_invalid_input: bool,
}

/// Computes the fingerprint and locates the comment and the first literal, without allocation.
pub fn scan(key: Key, text: &[u8]) -> Scan {
    let mut builder = fingerprint_builder(key);
    let (mut comment, mut text_follows_comment, mut literal, mut has_invalid_input) =
        (None, false, None, false);
    for token in Lexer::new(text) {
        match token.kind {
            TokenKind::BlockComment => (comment, text_follows_comment) = (Some(token.span.clone()), false),
            TokenKind::Punctuation if text[token.span.start] == b';' => {}
            kind => {
                text_follows_comment = true;
                has_invalid_input |= kind == TokenKind::Invalid;
                if kind == TokenKind::Literal && literal.is_none() {
                    literal = Some(token.span.clone());
                }
            }
        }
        builder.push(&token, text);
    }
    Scan { fingerprint: builder.finish(), comment, text_follows_comment, literal, has_invalid_input }
}

/// Computes the fingerprint alone.
pub fn fingerprint_of(key: Key, text: &[u8]) -> Fingerprint {
    let mut builder = fingerprint_builder(key);
    Lexer::new(text).for_each(|token| builder.push(&token, text));
    builder.finish()
}

/// Returns a builder that takes the tokens one by one and computes their fingerprint.
pub fn fingerprint_builder(key: Key) -> FingerprintBuilder<impl Sink + Finish> {
    FingerprintBuilder::new(HashSink {
        hasher: SipHasher13::new_with_keys(key.0, key.1),
        buffer: [0; 256],
        length: 0,
    })
}

/// Returns the canonical text of the same fingerprint. It allocates, so it is not called for known fingerprints.
pub fn canonical_text(text: &[u8]) -> String {
    let mut builder = FingerprintBuilder::new(CanonicalText::default());
    Lexer::new(text).for_each(|token| builder.push(&token, text));
    builder.end();
    builder.sink.0
}

/// A sink that yields a fingerprint.
pub trait Finish {
    /// Returns the fingerprint of all items that were added.
    fn finish(self) -> Fingerprint;
}

impl Finish for HashSink {
    fn finish(mut self) -> Fingerprint {
        self.flush();
        Fingerprint(self.hasher.finish128().as_u128())
    }
}

impl<S: Sink + Finish> FingerprintBuilder<S> {
    /// Returns the fingerprint of all tokens that were pushed.
    pub fn finish(mut self) -> Fingerprint {
        self.end();
        self.sink.finish()
    }
}

impl<S: Sink> FingerprintBuilder<S> {
    fn new(sink: S) -> FingerprintBuilder<S> {
        FingerprintBuilder {
            sink,
            list: List::None,
            previous: PreviousToken::Start,
            after_values_keyword: false,
        }
    }

    fn end(&mut self) {
        self.emit_pending_minus();
        self.close_list();
    }

    /// Emits a pending minus as an operator, as no number follows it.
    #[inline(always)]
    fn emit_pending_minus(&mut self) {
        if let PreviousToken::PendingMinus(_) = self.previous {
            self.previous = PreviousToken::Other;
            self.close_list();
            self.sink.put(Item::Other(b"-"));
        }
    }

    #[inline]
    fn close_list(&mut self) {
        if !matches!(self.list, List::None) {
            self.emit_held_back_list();
        }
    }

    /// Emits the part of a list that was held back, as the list contains more than values.
    #[cold]
    fn emit_held_back_list(&mut self) {
        match std::mem::replace(&mut self.list, List::None) {
            List::Row { values, row_length, after_comma } => {
                if row_length > 0 {
                    self.sink.put(Item::Other(b","));
                }
                self.sink.put(Item::Other(b"("));
                for value in 0..values {
                    if value > 0 {
                        self.sink.put(Item::Other(b","));
                    }
                    self.sink.put(Item::Value);
                }
                if after_comma {
                    self.sink.put(Item::Other(b","));
                }
            }
            List::In { after_comma: true, .. } | List::Rows { after_comma: true, .. } => {
                self.sink.put(Item::Other(b","));
            }
            List::None | List::In { .. } | List::Rows { .. } => {}
        }
    }

    /// Adds the next token of the text.
    #[inline(always)]
    pub fn push(&mut self, token: &Token, text: &[u8]) {
        match token.kind {
            TokenKind::Word => {
                self.emit_pending_minus();
                self.word(token.bytes(text), token.packed_word);
            }
            TokenKind::Punctuation => {
                self.emit_pending_minus();
                self.punctuation(token.bytes(text));
            }
            TokenKind::LineComment | TokenKind::BlockComment => {}
            _ => self.take_other(token, text),
        }
    }

    fn take_other(&mut self, token: &Token, text: &[u8]) {
        if token.is_value() {
            return self.value(token, text);
        }
        let bytes = token.bytes(text);
        if token.kind == TokenKind::Operator && bytes == b"-" {
            let after_word = match self.previous {
                PreviousToken::Start | PreviousToken::Other | PreviousToken::In => Some(false),
                PreviousToken::SignPrefix => Some(true),
                _ => None,
            };
            if let Some(after_word) = after_word {
                self.previous = PreviousToken::PendingMinus(after_word);
                return;
            }
        }
        self.emit_pending_minus();
        self.close_list();
        self.after_values_keyword = false;
        let (item, previous) = match token.kind {
            TokenKind::QuotedName | TokenKind::UnicodeQuotedName => (Item::Name(bytes), PreviousToken::Term),
            TokenKind::Invalid => (Item::Invalid(bytes), PreviousToken::Other),
            _ => (Item::Other(bytes), PreviousToken::Other),
        };
        self.sink.put(item);
        self.previous = previous;
    }

    fn value(&mut self, token: &Token, text: &[u8]) {
        self.after_values_keyword = false;
        let previous = self.previous;
        if let (PreviousToken::Literal(end), TokenKind::Literal, b'\'') =
            (previous, token.kind, text[token.span.start])
        {
            // Per the SQL standard, literals that are separated by a line break form one literal.
            if text[end..token.span.start].iter().any(|byte| matches!(byte, b'\n' | b'\r'))
                && !token.ambiguous_end
            {
                self.previous = PreviousToken::Literal(token.span.end);
                return;
            }
        }
        self.previous = if token.kind == TokenKind::Literal {
            PreviousToken::Literal(token.span.end)
        } else {
            PreviousToken::Value
        };
        let after_word = matches!(
            previous,
            PreviousToken::SignPrefix
                | PreviousToken::Term
                | PreviousToken::In
                | PreviousToken::PendingMinus(true)
        );
        let item = match (after_word, token.kind) {
            (_, TokenKind::Literal) if token.ambiguous_end => Item::AmbiguousLiteral,
            (false, _) => Item::Value,
            (true, TokenKind::Number) => Item::Number,
            (true, TokenKind::Parameter) => Item::Parameter,
            (true, _) => Item::Literal,
        };
        self.list_value(item);
    }

    fn list_value(&mut self, item: Item) {
        self.list = match self.list {
            List::Row { values, row_length, after_comma }
                if item == Item::Value && (after_comma || values == 0) =>
            {
                List::Row { values: values + 1, row_length, after_comma: false }
            }
            List::In { has_values, after_comma } if item == Item::Value && (after_comma || !has_values) => {
                if !has_values {
                    self.sink.put(item);
                }
                List::In { has_values: true, after_comma: false }
            }
            _ => {
                self.close_list();
                self.sink.put(item);
                List::None
            }
        };
    }

    #[inline(always)]
    fn word(&mut self, bytes: &[u8], word: u64) {
        if matches!(word, NULL | TRUE | FALSE) {
            let open = match self.list {
                List::Row { values, after_comma, .. } => after_comma || values == 0,
                List::In { has_values, after_comma } => after_comma || !has_values,
                _ => false,
            };
            if open {
                self.previous = PreviousToken::Value;
                return self.list_value(Item::Value);
            }
        }
        self.close_list();
        self.sink.put(Item::Word(bytes, word));
        self.after_values_keyword = word == VALUES;
        self.previous = match word {
            IN => PreviousToken::In,
            SELECT | WHERE | AND | OR | NOT | VALUES | WHEN | THEN | ELSE | BETWEEN | LIMIT | OFFSET | BY
            | ON | HAVING => PreviousToken::SignPrefix,
            _ => PreviousToken::Term,
        };
    }

    #[inline(always)]
    fn punctuation(&mut self, mark: &[u8]) {
        let (after_values_keyword, previous) =
            (std::mem::take(&mut self.after_values_keyword), self.previous);
        self.previous = if matches!(mark, b")" | b"]") { PreviousToken::Term } else { PreviousToken::Other };
        if matches!(self.list, List::None) && !after_values_keyword && previous != PreviousToken::In {
            return self.sink.put(Item::Other(mark));
        }
        self.list_punctuation(mark, after_values_keyword, previous);
    }

    /// Handles punctuation where one of the two kinds of lists is open or may start.
    fn list_punctuation(&mut self, mark: &[u8], after_values_keyword: bool, previous: PreviousToken) {
        self.list = match (mark, self.list) {
            (b"(", _) if after_values_keyword => List::Row { values: 0, row_length: 0, after_comma: false },
            (b"(", List::Rows { row_length, after_comma: true }) => {
                List::Row { values: 0, row_length, after_comma: false }
            }
            (b",", List::Rows { row_length, after_comma: false }) => {
                List::Rows { row_length, after_comma: true }
            }
            (b",", List::Row { values, row_length, after_comma: false }) if values > 0 => {
                List::Row { values, row_length, after_comma: true }
            }
            (b")", List::Row { values, row_length, after_comma: false }) if values > 0 => {
                if values != row_length {
                    self.close_list();
                    self.sink.put(Item::Other(mark));
                }
                List::Rows { row_length: values, after_comma: false }
            }
            (b",", List::In { has_values: true, after_comma: false }) => {
                List::In { has_values: true, after_comma: true }
            }
            (b"(", _) if previous == PreviousToken::In => {
                self.close_list();
                self.sink.put(Item::Other(mark));
                List::In { has_values: false, after_comma: false }
            }
            _ => {
                self.close_list();
                self.sink.put(Item::Other(mark));
                List::None
            }
        };
    }
}

const NULL: u64 = packed(b"null");
const TRUE: u64 = packed(b"true");
const FALSE: u64 = packed(b"false");
const IN: u64 = packed(b"in");
const VALUES: u64 = packed(b"values");
// Keywords after which a sign belongs to the following number.
const SELECT: u64 = packed(b"select");
const WHERE: u64 = packed(b"where");
const AND: u64 = packed(b"and");
const OR: u64 = packed(b"or");
const NOT: u64 = packed(b"not");
const WHEN: u64 = packed(b"when");
const THEN: u64 = packed(b"then");
const ELSE: u64 = packed(b"else");
const BETWEEN: u64 = packed(b"between");
const LIMIT: u64 = packed(b"limit");
const OFFSET: u64 = packed(b"offset");
const BY: u64 = packed(b"by");
const ON: u64 = packed(b"on");
const HAVING: u64 = packed(b"having");
