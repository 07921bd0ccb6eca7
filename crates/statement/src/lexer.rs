//! PostgreSQL's lexical rules ("SQL Syntax: Lexical Structure" of its manual) in one pass, without allocation.
//!
//! Every byte belongs to exactly one token or to the white space between two. What the rules don't know or what
//! doesn't end is [`Kind::Bad`] and goes to the end of the text. Plain literals are read with
//! `standard_conforming_strings` on; one that reads otherwise with it off is told by [`Token::doubtful`].

use std::ops::Range;

use memchr::memchr3;

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// A key word or an unquoted name.
    Word,
    /// `"…"`.
    QuotedName,
    /// `U&"…"`: its name is not what it reads like.
    UnicodeQuotedName,
    /// `'…'`, and its kinds `E''`, `U&''`, `N''`, `B''`, `X''`.
    Literal,
    /// `$tag$…$tag$`.
    DollarLiteral,
    /// `1`, `1.5`, `1e-3`, `0xFF`.
    Number,
    /// `$1`.
    Parameter,
    /// Operator characters, as many as belong together.
    Operator,
    /// One of `( ) [ ] , ; :` or `.`
    Punctuation,
    /// `-- …` up to the end of its line.
    LineComment,
    /// `/* … */`, nested.
    BlockComment,
    /// What is no SQL, up to the end of the text.
    Invalid,
}

/// A token and its place in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// What it is.
    pub kind: TokenKind,
    /// Its bytes in the text.
    pub span: Range<usize>,
    /// A word of up to eight bytes as one number, in lower case, so that it is compared at once; zero for all else.
    pub packed_word: u64,
    /// A plain literal with a backslash before a quote: with `standard_conforming_strings` off it ends elsewhere.
    pub ambiguous_end: bool,
}

impl Token {
    /// Its bytes, out of the text that it was read from.
    ///
    /// # Panics
    ///
    /// If that text is shorter than the one it was read from.
    pub fn bytes<'a>(&self, text: &'a [u8]) -> &'a [u8] {
        &text[self.span.clone()]
    }

    /// Whether it is a comment of either kind.
    pub fn is_comment(&self) -> bool {
        matches!(self.kind, TokenKind::LineComment | TokenKind::BlockComment)
    }

    /// A value written out, or the place of one.
    pub fn is_value(&self) -> bool {
        matches!(
            self.kind,
            TokenKind::Literal | TokenKind::DollarLiteral | TokenKind::Number | TokenKind::Parameter
        )
    }
}

/// Cuts a text into tokens, as an iterator; white space is passed over.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a [u8],
    position: usize,
}

const fn is_name_start(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

const fn is_name_continue(byte: u8) -> bool {
    is_name_start(byte) || byte.is_ascii_digit() || byte == b'$'
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
pub const fn is_white_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r' | 0x0b | 0x0c)
}

const fn byte_class(byte: u8) -> u8 {
    if is_white_space(byte) {
        1
    } else if is_name_start(byte) {
        2
    } else if is_name_continue(byte) {
        3
    } else if is_operator(byte) {
        4
    } else {
        0
    }
}

/// What a byte can begin or go on with, by table: this is on the path of every statement.
static BYTE_CLASS: [u8; 256] = {
    let mut table = [0; 256];
    let mut byte = 0;
    loop {
        table[byte as usize] = byte_class(byte);
        if byte == u8::MAX {
            break table;
        }
        byte += 1;
    }
};

/// What can go on a name, by table.
static IS_NAME_CONTINUE: [bool; 256] = {
    let mut table = [false; 256];
    let mut byte = 0;
    loop {
        table[byte as usize] = is_name_continue(byte);
        if byte == u8::MAX {
            break table;
        }
        byte += 1;
    }
};

/// Eight bytes at once in lower case, as `to_ascii_lowercase` has each.
const fn lowercase_packed(word: u64) -> u64 {
    const LOW_BIT_OF_EACH_BYTE: u64 = 0x0101_0101_0101_0101;
    let low = word & (0x7f * LOW_BIT_OF_EACH_BYTE);
    // The top bit of each byte tells whether it is past the letter.
    let (from_a, past_z) = (
        low + (0x80 - b'A' as u64) * LOW_BIT_OF_EACH_BYTE,
        low + (0x7f - b'Z' as u64) * LOW_BIT_OF_EACH_BYTE,
    );
    let upper = !word & (from_a ^ past_z) & (0x80 * LOW_BIT_OF_EACH_BYTE);
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
        Lexer { text, position: 0 }
    }

    fn peek(&self, ahead: usize) -> u8 {
        // Zero is no part of any token, so it stands for the end too.
        self.text.get(self.position + ahead).copied().unwrap_or(0)
    }

    fn token(&mut self, kind: TokenKind, from: usize, to: usize) -> Option<Token> {
        self.position = to;
        Some(Token { kind, span: from..to, packed_word: 0, ambiguous_end: false })
    }

    fn invalid_to_end(&mut self, from: usize) -> Option<Token> {
        self.token(TokenKind::Invalid, from, self.text.len())
    }

    /// Up to the closing quote, doubled ones skipped; `escapes` has a backslash take the next byte along. The end, and
    /// whether a backslash stood before a quote.
    fn find_closing_quote(&self, from: usize, quote: u8, escapes: bool) -> Option<(usize, bool)> {
        let (mut at, mut ambiguous_end) = (from, false);
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
                ambiguous_end |= at > from && self.text[at - 1] == b'\\';
                if self.text.get(at + 1) != Some(&quote) {
                    return Some((at + 1, ambiguous_end));
                }
                at += 2;
            }
        }
    }

    fn literal(&mut self, from: usize, body: usize, escapes: bool) -> Option<Token> {
        match self.find_closing_quote(body, b'\'', escapes) {
            Some((to, ambiguous_end)) => {
                self.position = to;
                let ambiguous_end = ambiguous_end && !escapes;
                Some(Token { kind: TokenKind::Literal, span: from..to, packed_word: 0, ambiguous_end })
            }
            None => self.invalid_to_end(from),
        }
    }

    fn quoted_name(&mut self, kind: TokenKind, from: usize, body: usize) -> Option<Token> {
        match self.find_closing_quote(body, b'"', false) {
            // A name of no length is an error at the server.
            Some((to, _)) if to > body + 1 => self.token(kind, from, to),
            _ => self.invalid_to_end(from),
        }
    }

    fn word_or_prefixed_literal(&mut self, from: usize) -> Option<Token> {
        let (first, second, third) = (self.peek(0) | 0x20, self.peek(1), self.peek(2));
        match (first, second, third) {
            (b'e', b'\'', _) => return self.literal(from, from + 2, true),
            (b'b' | b'x' | b'n', b'\'', _) => return self.literal(from, from + 2, false),
            (b'u', b'&', b'\'') => return self.literal(from, from + 3, false),
            (b'u', b'&', b'"') => return self.quoted_name(TokenKind::UnicodeQuotedName, from, from + 3),
            _ => {}
        }
        self.plain_word(from)
    }

    #[inline]
    fn plain_word(&mut self, from: usize) -> Option<Token> {
        let rest = &self.text[from..];
        let length = rest.iter().position(|byte| !IS_NAME_CONTINUE[*byte as usize]).unwrap_or(rest.len());
        let packed_word = match (length, rest.first_chunk::<8>()) {
            (9.., _) => 0,
            (_, Some(eight)) => {
                lowercase_packed(u64::from_le_bytes(*eight) & (u64::MAX >> (64 - 8 * length)))
            }
            (_, None) => packed(&rest[..length]),
        };
        self.position = from + length;
        Some(Token { kind: TokenKind::Word, span: from..self.position, packed_word, ambiguous_end: false })
    }

    fn end_of_digits(&self, mut at: usize, radix: u32) -> usize {
        let is_digit = |byte: u8| char::from(byte).is_digit(radix);
        while let Some(byte) = self.text.get(at) {
            let is_separator =
                *byte == b'_' && at > 0 && self.text.get(at + 1).is_some_and(|next| is_digit(*next));
            if !is_digit(*byte) && !is_separator {
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
        let mut to =
            if radix == 10 { self.end_of_digits(from, 10) } else { self.end_of_digits(from + 2, radix) };
        if radix == 10 {
            // Two full stops are a range in procedures' loops, never a number's end.
            if self.text.get(to) == Some(&b'.') && self.text.get(to + 1) != Some(&b'.') {
                to = self.end_of_digits(to + 1, 10);
            }
            if self.text.get(to).is_some_and(|byte| byte | 0x20 == b'e') {
                let sign = usize::from(matches!(self.text.get(to + 1), Some(b'+' | b'-')));
                if self.text.get(to + 1 + sign).is_some_and(u8::is_ascii_digit) {
                    to = self.end_of_digits(to + 1 + sign, 10);
                }
            }
        }
        // `1abc` was two tokens once and is an error now.
        if self.text.get(to).is_some_and(|byte| is_name_start(*byte)) {
            return self.invalid_to_end(from);
        }
        self.token(TokenKind::Number, from, to)
    }

    fn parameter_or_dollar_literal(&mut self, from: usize) -> Option<Token> {
        if self.peek(1).is_ascii_digit() {
            let to = self.end_of_digits(from + 1, 10);
            return if self.text.get(to).is_some_and(|byte| is_name_start(*byte)) {
                self.invalid_to_end(from)
            } else {
                self.token(TokenKind::Parameter, from, to)
            };
        }
        let mut open = from + 1;
        while self.text.get(open).is_some_and(|byte| is_name_continue(*byte) && *byte != b'$') {
            open += 1;
        }
        if self.text.get(open) != Some(&b'$') {
            return self.invalid_to_end(from);
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
                return self.token(TokenKind::DollarLiteral, from, open + 1 + at + tag.len());
            }
            at += 1;
        }
        self.invalid_to_end(from)
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
                        return self.token(TokenKind::BlockComment, from, at);
                    }
                }
                _ => at += 1,
            }
        }
        self.invalid_to_end(from)
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
        let allows_trailing_sign =
            |byte: &u8| matches!(byte, b'~' | b'!' | b'@' | b'#' | b'%' | b'^' | b'&' | b'|' | b'`' | b'?');
        while to > from + 1
            && matches!(self.text[to - 1], b'+' | b'-')
            && !self.text[from..to].iter().any(allows_trailing_sign)
        {
            to -= 1;
        }
        self.token(TokenKind::Operator, from, to)
    }
}

impl Iterator for Lexer<'_> {
    type Item = Token;

    #[inline]
    fn next(&mut self) -> Option<Token> {
        while self.text.get(self.position).is_some_and(|byte| BYTE_CLASS[*byte as usize] == 1) {
            self.position += 1;
        }
        let from = self.position;
        let byte = *self.text.get(from)?;
        // Nearly all are words, and of these few begin a literal.
        if BYTE_CLASS[byte as usize] == 2 && !matches!(self.peek(1), b'\'' | b'&') {
            return self.plain_word(from);
        }
        match byte {
            b'\'' => self.literal(from, from + 1, false),
            b'"' => self.quoted_name(TokenKind::QuotedName, from, from + 1),
            b'$' => self.parameter_or_dollar_literal(from),
            b'0'..=b'9' => self.number(from),
            b'.' if self.peek(1).is_ascii_digit() => self.number(from),
            b'-' if self.peek(1) == b'-' => {
                let rest = &self.text[from..];
                let end = rest.iter().position(|other| matches!(other, b'\n' | b'\r' | 0));
                self.token(TokenKind::LineComment, from, from + end.unwrap_or(rest.len()))
            }
            b'/' if self.peek(1) == b'*' => self.block_comment(from),
            b'(' | b')' | b'[' | b']' | b',' | b';' | b'.' => {
                self.token(TokenKind::Punctuation, from, from + 1)
            }
            b':' if self.peek(1) == b':' || self.peek(1) == b'=' => {
                self.token(TokenKind::Operator, from, from + 2)
            }
            b':' => self.token(TokenKind::Punctuation, from, from + 1),
            _ => match BYTE_CLASS[byte as usize] {
                2 => self.word_or_prefixed_literal(from),
                4 => self.operator(from),
                _ => self.invalid_to_end(from),
            },
        }
    }
}
