//! PostgreSQL's lexical rules ("SQL Syntax: Lexical Structure" of its manual) in one pass, without allocation.
//!
//! Every byte belongs to exactly one token or to the white space between two. What the rules don't know or what
//! doesn't end is [`Kind::Bad`] and goes to the end of the text. Plain literals are read with
//! `standard_conforming_strings` on; one that reads otherwise with it off is told by [`Token::doubtful`].

use std::ops::Range;

use memchr::memchr3;

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A key word or an unquoted name.
    Word,
    /// `"…"`.
    Quoted,
    /// `U&"…"`: its name is not what it reads like.
    QuotedUnicode,
    /// `'…'`, and its kinds `E''`, `U&''`, `N''`, `B''`, `X''`.
    Literal,
    /// `$tag$…$tag$`.
    Dollar,
    /// `1`, `1.5`, `1e-3`, `0xFF`.
    Number,
    /// `$1`.
    Parameter,
    /// Operator characters, as many as belong together.
    Operator,
    /// One of `( ) [ ] , ; :` or `.`
    Mark,
    /// `-- …` up to the end of its line.
    LineComment,
    /// `/* … */`, nested.
    BlockComment,
    /// What is no SQL, up to the end of the text.
    Bad,
}

/// A token and its place in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// What it is.
    pub kind: Kind,
    /// Its bytes in the text.
    pub at: Range<usize>,
    /// A word of up to eight bytes as one number, in lower case, so that it is compared at once; zero for all else.
    pub word: u64,
    /// A plain literal with a backslash before a quote: with `standard_conforming_strings` off it ends elsewhere.
    pub doubtful: bool,
}

impl Token {
    /// Its bytes, out of the text that it was read from.
    ///
    /// # Panics
    ///
    /// If that text is shorter than the one it was read from.
    pub fn bytes<'a>(&self, text: &'a [u8]) -> &'a [u8] {
        &text[self.at.clone()]
    }

    /// Whether it is a comment of either kind.
    pub fn is_comment(&self) -> bool {
        matches!(self.kind, Kind::LineComment | Kind::BlockComment)
    }

    /// A value written out, or the place of one.
    pub fn is_value(&self) -> bool {
        matches!(self.kind, Kind::Literal | Kind::Dollar | Kind::Number | Kind::Parameter)
    }
}

/// Cuts a text into tokens, as an iterator; white space is passed over.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a [u8],
    at: usize,
}

const fn starts_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

const fn goes_on_name(byte: u8) -> bool {
    starts_name(byte) || byte.is_ascii_digit() || byte == b'$'
}

const fn is_operator(byte: u8) -> bool {
    matches!(
        byte,
        b'+' | b'-'
            | b'*'
            | b'/'
            | b'<'
            | b'>'
            | b'='
            | b'~'
            | b'!'
            | b'@'
            | b'#'
            | b'%'
            | b'^'
            | b'&'
            | b'|'
            | b'`'
            | b'?'
    )
}

/// White space as PostgreSQL's scanner has it; anything else that looks empty is no white space.
pub const fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r' | 0x0b | 0x0c)
}

const fn class_of(byte: u8) -> u8 {
    if is_space(byte) {
        1
    } else if starts_name(byte) {
        2
    } else if goes_on_name(byte) {
        3
    } else if is_operator(byte) {
        4
    } else {
        0
    }
}

/// What a byte can begin or go on with, by table: this is on the path of every statement.
static CLASS: [u8; 256] = {
    let mut table = [0; 256];
    let mut byte = 0;
    loop {
        table[byte as usize] = class_of(byte);
        if byte == u8::MAX {
            break table;
        }
        byte += 1;
    }
};

/// What can go on a name, by table.
static NAME: [bool; 256] = {
    let mut table = [false; 256];
    let mut byte = 0;
    loop {
        table[byte as usize] = goes_on_name(byte);
        if byte == u8::MAX {
            break table;
        }
        byte += 1;
    }
};

/// Eight bytes at once in lower case, as `to_ascii_lowercase` has each.
const fn lower(word: u64) -> u64 {
    const NAME_OVERHEAD_BYTES: u64 = 0x0101_0101_0101_0101;
    let low = word & (0x7f * NAME_OVERHEAD_BYTES);
    // The top bit of each byte tells whether it is past the letter.
    let (from_a, past_z) =
        (low + (0x80 - b'A' as u64) * NAME_OVERHEAD_BYTES, low + (0x7f - b'Z' as u64) * NAME_OVERHEAD_BYTES);
    let upper = !word & (from_a ^ past_z) & (0x80 * NAME_OVERHEAD_BYTES);
    word | (upper >> 2)
}

/// A word as [`Token::word`] has it, for comparing.
pub const fn packed(bytes: &[u8]) -> u64 {
    assert!(bytes.len() <= 8);
    let (mut word, mut at) = (0, 0);
    while at < bytes.len() {
        word |= (bytes[at].to_ascii_lowercase() as u64) << (8 * at);
        at += 1;
    }
    word
}

impl<'a> Lexer<'a> {
    /// Begins at the start of the text.
    pub fn new(text: &'a [u8]) -> Lexer<'a> {
        Lexer { text, at: 0 }
    }

    fn peek(&self, ahead: usize) -> u8 {
        // Zero is no part of any token, so it stands for the end too.
        self.text.get(self.at + ahead).copied().unwrap_or(0)
    }

    fn token(&mut self, kind: Kind, from: usize, to: usize) -> Option<Token> {
        self.at = to;
        Some(Token { kind, at: from..to, word: 0, doubtful: false })
    }

    fn bad(&mut self, from: usize) -> Option<Token> {
        self.token(Kind::Bad, from, self.text.len())
    }

    /// Up to the closing quote, doubled ones skipped; `escapes` has a backslash take the next byte along. The end, and
    /// whether a backslash stood before a quote.
    fn quoted(&self, from: usize, quote: u8, escapes: bool) -> Option<(usize, bool)> {
        let (mut at, mut doubtful) = (from, false);
        loop {
            let other = if escapes { b'\\' } else { 0 };
            at += memchr3(quote, 0, other, self.text.get(at..)?)?;
            let byte = self.text[at];
            if byte == 0 {
                return None;
            } else if byte == b'\\' && escapes {
                self.text.get(at + 1).filter(|next| **next != 0)?;
                at += 2;
            } else {
                doubtful |= at > from && self.text[at - 1] == b'\\';
                if self.text.get(at + 1) != Some(&quote) {
                    return Some((at + 1, doubtful));
                }
                at += 2;
            }
        }
    }

    fn literal(&mut self, from: usize, body: usize, escapes: bool) -> Option<Token> {
        match self.quoted(body, b'\'', escapes) {
            Some((to, doubtful)) => {
                self.at = to;
                let doubtful = doubtful && !escapes;
                Some(Token { kind: Kind::Literal, at: from..to, word: 0, doubtful })
            }
            None => self.bad(from),
        }
    }

    fn name(&mut self, kind: Kind, from: usize, body: usize) -> Option<Token> {
        match self.quoted(body, b'"', false) {
            // A name of no length is an error at the server.
            Some((to, _)) if to > body + 1 => self.token(kind, from, to),
            _ => self.bad(from),
        }
    }

    fn word(&mut self, from: usize) -> Option<Token> {
        let (first, second, third) = (self.peek(0) | 0x20, self.peek(1), self.peek(2));
        match (first, second, third) {
            (b'e', b'\'', _) => return self.literal(from, from + 2, true),
            (b'b' | b'x' | b'n', b'\'', _) => return self.literal(from, from + 2, false),
            (b'u', b'&', b'\'') => return self.literal(from, from + 3, false),
            (b'u', b'&', b'"') => return self.name(Kind::QuotedUnicode, from, from + 3),
            _ => {}
        }
        self.plain_word(from)
    }

    #[inline]
    fn plain_word(&mut self, from: usize) -> Option<Token> {
        let rest = &self.text[from..];
        let length = rest.iter().position(|byte| !NAME[*byte as usize]).unwrap_or(rest.len());
        let word = match (length, rest.first_chunk::<8>()) {
            (9.., _) => 0,
            (_, Some(eight)) => lower(u64::from_le_bytes(*eight) & (u64::MAX >> (64 - 8 * length))),
            (_, None) => packed(&rest[..length]),
        };
        self.at = from + length;
        Some(Token { kind: Kind::Word, at: from..self.at, word, doubtful: false })
    }

    fn digits(&self, mut at: usize, radix: u32) -> usize {
        let is_digit = |byte: u8| char::from(byte).is_digit(radix);
        while let Some(byte) = self.text.get(at) {
            let joined = *byte == b'_' && at > 0 && self.text.get(at + 1).is_some_and(|next| is_digit(*next));
            if !is_digit(*byte) && !joined {
                break;
            }
            at += 1;
        }
        at
    }

    fn number(&mut self, from: usize) -> Option<Token> {
        let radix = match (self.peek(0), self.peek(1) | 0x20) {
            (b'0', b'x') => 16,
            (b'0', b'o') => 8,
            (b'0', b'b') => 2,
            _ => 10,
        };
        let mut to = if radix == 10 { self.digits(from, 10) } else { self.digits(from + 2, radix) };
        if radix == 10 {
            // Two full stops are a range in procedures' loops, never a number's end.
            if self.text.get(to) == Some(&b'.') && self.text.get(to + 1) != Some(&b'.') {
                to = self.digits(to + 1, 10);
            }
            if self.text.get(to).is_some_and(|byte| byte | 0x20 == b'e') {
                let sign = usize::from(matches!(self.text.get(to + 1), Some(b'+' | b'-')));
                if self.text.get(to + 1 + sign).is_some_and(u8::is_ascii_digit) {
                    to = self.digits(to + 1 + sign, 10);
                }
            }
        }
        // `1abc` was two tokens once and is an error now.
        if self.text.get(to).is_some_and(|byte| starts_name(*byte)) {
            return self.bad(from);
        }
        self.token(Kind::Number, from, to)
    }

    fn dollar(&mut self, from: usize) -> Option<Token> {
        if self.peek(1).is_ascii_digit() {
            let to = self.digits(from + 1, 10);
            return if self.text.get(to).is_some_and(|byte| starts_name(*byte)) {
                self.bad(from)
            } else {
                self.token(Kind::Parameter, from, to)
            };
        }
        let mut open = from + 1;
        while self.text.get(open).is_some_and(|byte| goes_on_name(*byte) && *byte != b'$') {
            open += 1;
        }
        if self.text.get(open) != Some(&b'$') {
            return self.bad(from);
        }
        let tag = &self.text[from..=open];
        let body = &self.text[open + 1..];
        let mut at = 0;
        while let Some(next) = body[at..].iter().position(|byte| *byte == b'$' || *byte == 0) {
            at += next;
            if body[at] == 0 {
                break;
            }
            if body[at..].starts_with(tag) {
                return self.token(Kind::Dollar, from, open + 1 + at + tag.len());
            }
            at += 1;
        }
        self.bad(from)
    }

    fn block_comment(&mut self, from: usize) -> Option<Token> {
        let (mut at, mut depth) = (from + 2, 1_usize);
        while let Some(next) = self.text.get(at..).and_then(|rest| memchr3(b'*', b'/', 0, rest)) {
            at += next;
            match (self.text[at], self.text.get(at + 1)) {
                (0, _) => break,
                (b'/', Some(b'*')) => (at, depth) = (at + 2, depth + 1),
                (b'*', Some(b'/')) => {
                    (at, depth) = (at + 2, depth - 1);
                    if depth == 0 {
                        return self.token(Kind::BlockComment, from, at);
                    }
                }
                _ => at += 1,
            }
        }
        self.bad(from)
    }

    fn operator(&mut self, from: usize) -> Option<Token> {
        let mut to = from;
        while self.text.get(to).is_some_and(|byte| is_operator(*byte)) {
            // A comment ends an operator.
            let next = self.text.get(to + 1);
            if to > from && matches!((self.text[to], next), (b'-', Some(b'-')) | (b'/', Some(b'*'))) {
                break;
            }
            to += 1;
        }
        // One that ends in a sign is the sign's, unless it holds what no operator of the standard does.
        let free =
            |byte: &u8| matches!(byte, b'~' | b'!' | b'@' | b'#' | b'%' | b'^' | b'&' | b'|' | b'`' | b'?');
        while to > from + 1
            && matches!(self.text[to - 1], b'+' | b'-')
            && !self.text[from..to].iter().any(free)
        {
            to -= 1;
        }
        self.token(Kind::Operator, from, to)
    }
}

impl Iterator for Lexer<'_> {
    type Item = Token;

    #[inline]
    fn next(&mut self) -> Option<Token> {
        while self.text.get(self.at).is_some_and(|byte| CLASS[*byte as usize] == 1) {
            self.at += 1;
        }
        let from = self.at;
        let byte = *self.text.get(from)?;
        // Nearly all are words, and of these few begin a literal.
        if CLASS[byte as usize] == 2 && !matches!(self.peek(1), b'\'' | b'&') {
            return self.plain_word(from);
        }
        match byte {
            b'\'' => self.literal(from, from + 1, false),
            b'"' => self.name(Kind::Quoted, from, from + 1),
            b'$' => self.dollar(from),
            b'0'..=b'9' => self.number(from),
            b'.' if self.peek(1).is_ascii_digit() => self.number(from),
            b'-' if self.peek(1) == b'-' => {
                let rest = &self.text[from..];
                let end = rest.iter().position(|other| matches!(other, b'\n' | b'\r' | 0));
                self.token(Kind::LineComment, from, from + end.unwrap_or(rest.len()))
            }
            b'/' if self.peek(1) == b'*' => self.block_comment(from),
            b'(' | b')' | b'[' | b']' | b',' | b';' | b'.' => self.token(Kind::Mark, from, from + 1),
            b':' if self.peek(1) == b':' || self.peek(1) == b'=' => {
                self.token(Kind::Operator, from, from + 2)
            }
            b':' => self.token(Kind::Mark, from, from + 1),
            _ => match CLASS[byte as usize] {
                2 => self.word(from),
                4 => self.operator(from),
                _ => self.bad(from),
            },
        }
    }
}
