//! A statement's fingerprint: its tokens with values made alike and comments left out, as a keyed 128-bit hash.
//!
//! Two texts of one fingerprint have the same kind: whatever a classification goes by besides values stands in the fingerprint. The
//! key keeps clients from making two fingerprints collide, as one could then pass a write off as a known read.

use std::hash::Hasher;
use std::ops::Range;

use siphasher::sip128::{Hasher128, SipHasher13};

use crate::lexer::{Kind, Lexer, Token, packed};

/// A keyed hash of a statement's tokens without its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

/// What the hash is keyed with; from the router's seed.
#[derive(Clone, Copy, Debug)]
pub struct Key(pub u64, pub u64);

impl Key {
    /// Spreads one secret number over the key.
    pub fn from_seed(seed: u64) -> Key {
        // The halves must differ in more than a constant, or half a key would be known from the other.
        let spread = |salt: u64| {
            let mut hasher = SipHasher13::new_with_keys(seed, salt);
            hasher.write_u64(salt);
            hasher.finish128().h1
        };
        Key(spread(0x736861706573), spread(0x6b6579))
    }
}

/// Where the walk over a text's tokens goes: into the hash, or into a text of the same fingerprint.
pub trait Sink {
    /// Takes the next item in.
    fn put(&mut self, item: Item);
}

/// What a fingerprint is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item<'a> {
    /// Any value.
    Value,
    /// A value behind a word, of which grammar knows the kind: `DATE '…'`, `FIRST 5`.
    Text,
    /// A number where its being one matters.
    Number,
    /// `$1` and the like where that matters.
    Parameter,
    /// Unquoted, in whatever case; and as [`Token::word`] has it.
    Word(&'a [u8], u64),
    /// A quoted name, with its quotes.
    Name(&'a [u8]),
    /// An operator or a mark, as it is written.
    Other(&'a [u8]),
    /// A literal whose end depends on a setting of the server.
    Doubtful,
    /// What is no SQL.
    Bad(&'a [u8]),
}

/// Gathers small writes, as the hasher does most of its work at each call.
struct Hash {
    hasher: SipHasher13,
    gathered: [u8; 256],
    length: usize,
}

impl Hash {
    #[inline(always)]
    fn byte(&mut self, byte: u8) {
        if self.length == self.gathered.len() {
            self.flush();
        }
        self.gathered[self.length] = byte;
        self.length += 1;
    }

    #[cold]
    fn flush(&mut self) {
        self.hasher.write(&self.gathered[..self.length]);
        self.length = 0;
    }

    /// Bytes between a tag and a zero, which none of them is, but in what is bad: that comes last.
    fn bytes(&mut self, tag: u8, bytes: &[u8], fold: bool) {
        self.byte(tag);
        if bytes.len() > self.gathered.len() {
            bytes.iter().for_each(|byte| self.byte(if fold { byte.to_ascii_lowercase() } else { *byte }));
        } else {
            if self.length + bytes.len() > self.gathered.len() {
                self.flush();
            }
            let place = &mut self.gathered[self.length..self.length + bytes.len()];
            place.copy_from_slice(bytes);
            if fold {
                place.make_ascii_lowercase();
            }
            self.length += bytes.len();
        }
        self.byte(0);
    }
}

impl Sink for Hash {
    #[inline(always)]
    fn put(&mut self, item: Item) {
        match item {
            Item::Value => self.byte(1),
            Item::Text => self.byte(2),
            Item::Number => self.byte(3),
            Item::Parameter => self.byte(4),
            Item::Doubtful => self.byte(5),
            Item::Word(bytes, 0) => self.bytes(6, bytes, true),
            Item::Word(_, word) => {
                if self.length + 9 > self.gathered.len() {
                    self.flush();
                }
                let place = &mut self.gathered[self.length..self.length + 9];
                place[0] = 10;
                place[1..].copy_from_slice(&word.to_le_bytes());
                self.length += 9;
            }
            // One byte that is no tag.
            Item::Other([mark @ 0x20..=0x7f]) => self.byte(*mark),
            Item::Name(bytes) => self.bytes(7, bytes, false),
            Item::Other(bytes) => self.bytes(8, bytes, false),
            Item::Bad(bytes) => self.bytes(9, bytes, false),
        }
    }
}

/// The shortest text of the fingerprint, to be parsed in place of the one that came: what is read of it holds for all of
/// the fingerprint, whoever sent the first.
#[derive(Default)]
struct Plain(String);

impl Sink for Plain {
    fn put(&mut self, item: Item) {
        let lower;
        let text = match item {
            Item::Value | Item::Number => "1",
            Item::Text => "'x'",
            Item::Parameter => "$1",
            Item::Word(bytes, _) => {
                lower = String::from_utf8_lossy(bytes).to_ascii_lowercase();
                &lower
            }
            Item::Name(bytes) | Item::Other(bytes) | Item::Bad(bytes) => {
                lower = String::from_utf8_lossy(bytes).into_owned();
                &lower
            }
            // One that is as doubtful.
            Item::Doubtful => r"'\'",
        };
        // Between any two, or two could be read as one.
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(text);
    }
}

/// What the tokens since an opening parenthesis have been, for the two lists that are made alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum List {
    /// None of the two.
    None,
    /// `IN (` with values alone so far: whether there were some, and whether a comma came behind the last.
    In { some: bool, comma: bool },
    /// Between the rows of `VALUES`: how many values the last row of values alone had, and whether a comma came.
    Rows { last: usize, comma: bool },
    /// In a row with values alone so far, held back until it is told from the one before it.
    Row { values: usize, last: usize, comma: bool },
}

/// What the last token was, as far as the next one's meaning goes by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Before {
    Start,
    Value,
    /// A literal that ended there: one in a further line goes on with it.
    Literal(usize),
    /// A name or a closing bracket: a sign after it subtracts.
    Term,
    In,
    /// A word after which a sign belongs to the number behind it.
    Key,
    Other,
    /// A minus of which it is open whether it belongs to a number; true if a word stood before it.
    Sign(bool),
}

/// The walk over a text's tokens.
pub struct FingerprintBuilder<S> {
    sink: S,
    list: List,
    before: Before,
    /// Between `VALUES` and its first row.
    opening: bool,
}

/// What one pass over a statement's text finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// Of the whole text.
    pub fingerprint: Fingerprint,
    /// The last block comment, with its marks: one in a literal, a quoted name or another comment is none.
    pub comment: Option<Range<usize>>,
    /// Something but white space and semicolons stands behind that.
    pub behind: bool,
    /// The first literal, with its quotes.
    pub literal: Option<Range<usize>>,
    /// The text ends within a comment, a literal or a name.
    pub unfinished: bool,
}

/// The fingerprint, and where the parts are that others read; without allocation.
pub fn scan(key: Key, text: &[u8]) -> Scan {
    let mut shaper = hashing(key);
    let (mut comment, mut behind, mut literal, mut unfinished) = (None, false, None, false);
    for token in Lexer::new(text) {
        match token.kind {
            Kind::BlockComment => (comment, behind) = (Some(token.at.clone()), false),
            Kind::Mark if text[token.at.start] == b';' => {}
            kind => {
                behind = true;
                unfinished |= kind == Kind::Bad;
                if kind == Kind::Literal && literal.is_none() {
                    literal = Some(token.at.clone());
                }
            }
        }
        shaper.take(&token, text);
    }
    Scan { fingerprint: shaper.finish(), comment, behind, literal, unfinished }
}

/// The fingerprint alone.
pub fn fingerprint_of(key: Key, text: &[u8]) -> Fingerprint {
    let mut shaper = hashing(key);
    Lexer::new(text).for_each(|token| shaper.take(&token, text));
    shaper.finish()
}

/// A builder that is handed token after token and ends in a fingerprint.
pub fn hashing(key: Key) -> FingerprintBuilder<impl Sink + Finish> {
    FingerprintBuilder::new(Hash {
        hasher: SipHasher13::new_with_keys(key.0, key.1),
        gathered: [0; 256],
        length: 0,
    })
}

/// The shortest text of the same fingerprint. Allocates: off the path of known fingerprints.
pub fn plain(text: &[u8]) -> String {
    let mut shaper = FingerprintBuilder::new(Plain::default());
    Lexer::new(text).for_each(|token| shaper.take(&token, text));
    shaper.end();
    shaper.sink.0
}

/// Ends in a fingerprint.
pub trait Finish {
    /// The fingerprint of all that was taken in.
    fn finish(self) -> Fingerprint;
}

impl Finish for Hash {
    fn finish(mut self) -> Fingerprint {
        self.flush();
        Fingerprint(self.hasher.finish128().as_u128())
    }
}

impl<S: Sink + Finish> FingerprintBuilder<S> {
    /// The fingerprint of all tokens taken in.
    pub fn finish(mut self) -> Fingerprint {
        self.end();
        self.sink.finish()
    }
}

impl<S: Sink> FingerprintBuilder<S> {
    fn new(sink: S) -> FingerprintBuilder<S> {
        FingerprintBuilder { sink, list: List::None, before: Before::Start, opening: false }
    }

    fn end(&mut self) {
        self.settle_sign();
        self.settle_list();
    }

    /// A minus turns out to be an operator.
    #[inline(always)]
    fn settle_sign(&mut self) {
        if let Before::Sign(_) = self.before {
            self.before = Before::Other;
            self.settle_list();
            self.sink.put(Item::Other(b"-"));
        }
    }

    #[inline]
    fn settle_list(&mut self) {
        if !matches!(self.list, List::None) {
            self.let_go();
        }
    }

    /// The list turns out to hold more than values: what was held back of it goes out.
    #[cold]
    fn let_go(&mut self) {
        match std::mem::replace(&mut self.list, List::None) {
            List::Row { values, last, comma } => {
                if last > 0 {
                    self.sink.put(Item::Other(b","));
                }
                self.sink.put(Item::Other(b"("));
                for value in 0..values {
                    if value > 0 {
                        self.sink.put(Item::Other(b","));
                    }
                    self.sink.put(Item::Value);
                }
                if comma {
                    self.sink.put(Item::Other(b","));
                }
            }
            List::In { comma: true, .. } | List::Rows { comma: true, .. } => self.sink.put(Item::Other(b",")),
            List::None | List::In { .. } | List::Rows { .. } => {}
        }
    }

    /// Takes the next token of the text in.
    #[inline(always)]
    pub fn take(&mut self, token: &Token, text: &[u8]) {
        match token.kind {
            Kind::Word => {
                self.settle_sign();
                self.word(token.bytes(text), token.word);
            }
            Kind::Mark => {
                self.settle_sign();
                self.mark(token.bytes(text));
            }
            Kind::LineComment | Kind::BlockComment => {}
            _ => self.take_other(token, text),
        }
    }

    fn take_other(&mut self, token: &Token, text: &[u8]) {
        if token.is_value() {
            return self.value(token, text);
        }
        let bytes = token.bytes(text);
        if token.kind == Kind::Operator && bytes == b"-" {
            let behind_word = match self.before {
                Before::Start | Before::Other | Before::In => Some(false),
                Before::Key => Some(true),
                _ => None,
            };
            if let Some(behind_word) = behind_word {
                self.before = Before::Sign(behind_word);
                return;
            }
        }
        self.settle_sign();
        self.settle_list();
        self.opening = false;
        let (item, before) = match token.kind {
            Kind::Quoted | Kind::QuotedUnicode => (Item::Name(bytes), Before::Term),
            Kind::Bad => (Item::Bad(bytes), Before::Other),
            _ => (Item::Other(bytes), Before::Other),
        };
        self.sink.put(item);
        self.before = before;
    }

    fn value(&mut self, token: &Token, text: &[u8]) {
        self.opening = false;
        let before = self.before;
        if let (Before::Literal(end), Kind::Literal, b'\'') = (before, token.kind, text[token.at.start]) {
            // One literal over several lines, as the standard has it.
            if text[end..token.at.start].iter().any(|byte| matches!(byte, b'\n' | b'\r')) && !token.doubtful {
                self.before = Before::Literal(token.at.end);
                return;
            }
        }
        self.before = if token.kind == Kind::Literal { Before::Literal(token.at.end) } else { Before::Value };
        let behind_word = matches!(before, Before::Key | Before::Term | Before::In | Before::Sign(true));
        let item = match (behind_word, token.kind) {
            (_, Kind::Literal) if token.doubtful => Item::Doubtful,
            (false, _) => Item::Value,
            (true, Kind::Number) => Item::Number,
            (true, Kind::Parameter) => Item::Parameter,
            (true, _) => Item::Text,
        };
        self.list_value(item);
    }

    fn list_value(&mut self, item: Item) {
        self.list = match self.list {
            List::Row { values, last, comma } if item == Item::Value && (comma || values == 0) => {
                List::Row { values: values + 1, last, comma: false }
            }
            List::In { some, comma } if item == Item::Value && (comma || !some) => {
                if !some {
                    self.sink.put(item);
                }
                List::In { some: true, comma: false }
            }
            _ => {
                self.settle_list();
                self.sink.put(item);
                List::None
            }
        };
    }

    #[inline(always)]
    fn word(&mut self, bytes: &[u8], word: u64) {
        if matches!(word, NULL | TRUE | FALSE) {
            let open = match self.list {
                List::Row { values, comma, .. } => comma || values == 0,
                List::In { some, comma } => comma || !some,
                _ => false,
            };
            if open {
                self.before = Before::Value;
                return self.list_value(Item::Value);
            }
        }
        self.settle_list();
        self.sink.put(Item::Word(bytes, word));
        self.opening = word == VALUES;
        self.before = match word {
            IN => Before::In,
            SELECT | WHERE | AND | OR | NOT | VALUES | WHEN | THEN | ELSE | BETWEEN | LIMIT | OFFSET | BY
            | ON | HAVING => Before::Key,
            _ => Before::Term,
        };
    }

    #[inline(always)]
    fn mark(&mut self, mark: &[u8]) {
        let (opening, before) = (std::mem::take(&mut self.opening), self.before);
        self.before = if matches!(mark, b")" | b"]") { Before::Term } else { Before::Other };
        if matches!(self.list, List::None) && !opening && before != Before::In {
            return self.sink.put(Item::Other(mark));
        }
        self.listed(mark, opening, before);
    }

    /// A mark where one of the two lists is open, or may begin.
    fn listed(&mut self, mark: &[u8], opening: bool, before: Before) {
        self.list = match (mark, self.list) {
            (b"(", _) if opening => List::Row { values: 0, last: 0, comma: false },
            (b"(", List::Rows { last, comma: true }) => List::Row { values: 0, last, comma: false },
            (b",", List::Rows { last, comma: false }) => List::Rows { last, comma: true },
            (b",", List::Row { values, last, comma: false }) if values > 0 => {
                List::Row { values, last, comma: true }
            }
            (b")", List::Row { values, last, comma: false }) if values > 0 => {
                if values != last {
                    self.settle_list();
                    self.sink.put(Item::Other(mark));
                }
                List::Rows { last: values, comma: false }
            }
            (b",", List::In { some: true, comma: false }) => List::In { some: true, comma: true },
            (b"(", _) if before == Before::In => {
                self.settle_list();
                self.sink.put(Item::Other(mark));
                List::In { some: false, comma: false }
            }
            _ => {
                self.settle_list();
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
// Words after which a sign belongs to the number behind it.
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
