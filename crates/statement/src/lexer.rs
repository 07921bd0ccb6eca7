//! A lexer for PostgreSQL's lexical rules ("SQL Syntax: Lexical Structure" in its manual): one pass, without allocation.
//!
//! Every byte belongs to exactly one token or to the white space between two tokens. Input that the rules don't allow, or that
//! is not terminated, becomes a single [`TokenKind::Invalid`] token up to the end of the text. Plain literals are read as with
//! `standard_conforming_strings` on; [`Token::ambiguous_end`] flags those that would end elsewhere with it off.

use std::ops::Range;

use memchr::memchr3;

/// The kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// A keyword or an unquoted name.
    Word,
    /// `"…"`.
    QuotedName,
    /// `U&"…"`: a name with Unicode escapes, so its spelling is not the name itself.
    UnicodeQuotedName,
    /// `'…'`, and its variants `E''`, `U&''`, `N''`, `B''`, `X''`.
    Literal,
    /// `$tag$…$tag$`.
    DollarLiteral,
    /// `1`, `1.5`, `1e-3`, `0xFF`.
    Number,
    /// `$1`.
    Parameter,
    /// The longest run of operator characters that forms one operator.
    Operator,
    /// One of `( ) [ ] , ; :` or `.`
    Punctuation,
    /// `-- …` up to the end of the line.
    LineComment,
    /// `/* … */`, possibly nested.
    BlockComment,
    /// Input that is not valid SQL, up to the end of the text.
    Invalid,
}

/// A token and its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its kind.
    pub kind: TokenKind,
    /// The range of its bytes in the text.
    pub span: Range<usize>,
    /// A word of up to eight bytes, in lower case and packed into one integer for fast comparison; zero for all other tokens.
    pub packed_word: u64,
    /// Whether this is a plain literal with a backslash before a quote: with `standard_conforming_strings` off it ends
    /// elsewhere.
    pub ambiguous_end: bool,
}

impl Token {
    /// Returns the token's bytes. `text` is the text that it was read from.
    ///
    /// # Panics
    ///
    /// Panics if `text` is shorter than the text that the token was read from.
    pub fn bytes<'a>(&self, text: &'a [u8]) -> &'a [u8] {
        &text[self.span.clone()]
    }

    /// Returns whether this is a line comment or a block comment.
    pub fn is_comment(&self) -> bool {
        matches!(self.kind, TokenKind::LineComment | TokenKind::BlockComment)
    }

    /// Returns whether this is a constant or a parameter.
    pub fn is_value(&self) -> bool {
        matches!(
            self.kind,
            TokenKind::Literal | TokenKind::DollarLiteral | TokenKind::Number | TokenKind::Parameter
        )
    }
}

/// Iterates over the tokens of a text and skips white space.
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

/// Returns whether PostgreSQL's scanner treats the byte as white space. Other blank characters, such as a no-break space, are
/// not white space.
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

/// The class of each byte: 1 is white space, 2 starts a name, 3 only continues one, 4 is an operator character, 0 is any other.
/// A table, as it is read for every statement.
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

/// Whether each byte can continue a name, as a table for the same reason.
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

/// Converts eight packed bytes to lower case at once, each as `to_ascii_lowercase` does.
const fn lowercase_packed(word: u64) -> u64 {
    const LOW_BIT_OF_EACH_BYTE: u64 = 0x0101_0101_0101_0101;
    let low = word & (0x7f * LOW_BIT_OF_EACH_BYTE);
    // The top bit of each byte is set if the byte is at or past `A`, and past `Z`, respectively.
    let (from_a, past_z) = (
        low + (0x80 - b'A' as u64) * LOW_BIT_OF_EACH_BYTE,
        low + (0x7f - b'Z' as u64) * LOW_BIT_OF_EACH_BYTE,
    );
    let upper = !word & (from_a ^ past_z) & (0x80 * LOW_BIT_OF_EACH_BYTE);
    word | (upper >> 2)
}

/// Packs a word of at most eight bytes as in [`Token::packed_word`], for comparison with it.
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
    /// Creates a lexer at the start of the text.
    pub fn new(text: &'a [u8]) -> Lexer<'a> {
        Lexer { text, position: 0 }
    }

    fn peek(&self, ahead: usize) -> u8 {
        // A zero byte is not part of any valid token, so it also represents the end of the text.
        self.text.get(self.position + ahead).copied().unwrap_or(0)
    }

    fn token(&mut self, kind: TokenKind, from: usize, to: usize) -> Option<Token> {
        self.position = to;
        Some(Token { kind, span: from..to, packed_word: 0, ambiguous_end: false })
    }

    fn invalid_to_end(&mut self, from: usize) -> Option<Token> {
        self.token(TokenKind::Invalid, from, self.text.len())
    }

    /// Finds the closing quote and skips doubled quotes; with `escapes`, a backslash escapes the byte after it. Returns the
    /// position after the closing quote, and whether a backslash precedes any quote.
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
            // The server rejects a name of zero length.
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
            // Two full stops are a range in the loops of procedures and never the end of a number.
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
        // Older servers read `1abc` as two tokens; current ones report an error.
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
            // The start of a comment ends an operator.
            let next = self.text.get(to + 1);
            if to > from && matches!((self.text[to], next), (b'-', Some(b'-')) | (b'/', Some(b'*'))) {
                break;
            }
            to += 1;
        }
        // A trailing sign is an operator of its own, unless the operator contains a character that no operator of the SQL
        // standard has.
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
        // Nearly all tokens are words, and few of these start a literal.
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
