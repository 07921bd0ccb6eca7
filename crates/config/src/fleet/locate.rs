//! Line and column of a field in protobuf text format. The parser tells positions only of what it can't parse; checks
//! need that of any field.

use std::collections::BTreeMap;

/// A place in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Position {
    /// From 1.
    pub(super) line: usize,
    /// From 1, in bytes.
    pub(super) column: usize,
}

impl Position {
    pub(super) const START: Position = Position { line: 1, column: 1 };
}

/// The position of the byte at `offset`.
pub(super) fn position(text: &str, offset: usize) -> Position {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line_start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
    Position {
        line: 1 + before.iter().filter(|byte| **byte == b'\n').count(),
        column: 1 + before.len() - line_start,
    }
}

/// A name, a bracket, a separator or a value.
struct Token<'t> {
    offset: usize,
    text: &'t str,
}

/// All tokens of the text; comments and white space are left out.
fn tokens(text: &str) -> Vec<Token<'_>> {
    let bytes = text.as_bytes();
    let mut tokens = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let end = offset + token_length(&bytes[offset..]);
        if is_token_start(bytes[offset]) {
            tokens.push(Token { offset, text: text.get(offset..end).unwrap_or("") });
        }
        offset = end;
    }
    tokens
}

fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_.-+".contains(&byte)
}

fn is_token_start(byte: u8) -> bool {
    is_word_byte(byte) || b"\"'{}<>:[],;".contains(&byte)
}

/// The length of the token, the comment or the single other byte that `bytes` begins with.
fn token_length(bytes: &[u8]) -> usize {
    match bytes[0] {
        b'#' => bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len()),
        b'"' | b'\'' => quoted_length(bytes),
        first if is_word_byte(first) => bytes.iter().take_while(|byte| is_word_byte(**byte)).count(),
        _ => 1,
    }
}

/// The length of the quoted string that `bytes` begins with, both quotes included.
fn quoted_length(bytes: &[u8]) -> usize {
    let quote = bytes[0];
    let mut length = 1;
    while length < bytes.len() && bytes[length] != quote {
        length += if bytes[length] == b'\\' { 2 } else { 1 };
    }
    (length + 1).min(bytes.len())
}

/// A field of the text.
struct Field {
    /// Where its name begins.
    offset: usize,
    /// Its path with a number for each part, `budget[1].whole[0]`.
    path: String,
}

/// All fields of a text, in its order.
pub(super) struct FieldMap<'t> {
    text: &'t str,
    fields: Vec<Field>,
}

impl<'t> FieldMap<'t> {
    /// Finds the fields of `text`, which need not be well-formed.
    pub(super) fn parse(text: &'t str) -> FieldMap<'t> {
        let tokens = tokens(text);
        let text_at = |index: usize| tokens.get(index).map_or("", |token| token.text);
        let mut fields: Vec<Field> = Vec::new();
        let mut enclosing: Vec<String> = Vec::new();
        let mut next_index = BTreeMap::<String, usize>::new();
        for (index, token) in tokens.iter().enumerate() {
            let (next, after_next) = (text_at(index + 1), text_at(index + 2));
            let previous = index.checked_sub(1).map_or("", text_at);
            if matches!(token.text, "}" | ">") {
                enclosing.pop();
            } else if is_field_name(token.text, previous, next) {
                let path_without_index =
                    enclosing.iter().map(|part| format!("{part}.")).collect::<String>() + token.text;
                let index_in_repeated = next_index.entry(path_without_index.clone()).or_default();
                let path = format!("{path_without_index}[{index_in_repeated}]");
                *index_in_repeated += 1;
                if next != ":" || matches!(after_next, "{" | "<") {
                    let name = path.rsplit_once('.').map_or(path.as_str(), |(_, name)| name);
                    enclosing.push(name.to_string());
                }
                fields.push(Field { offset: token.offset, path });
            }
        }
        FieldMap { text, fields }
    }

    /// The path of the last field that begins at or before the byte at `offset`. A part has a number only if it is
    /// repeated.
    pub(super) fn path_at(&self, offset: usize) -> String {
        let last = self.fields.iter().rev().find(|field| field.offset <= offset);
        last.map_or_else(|| "file".to_string(), |field| self.without_redundant_indices(&field.path))
    }

    /// The position of a field by its path, `budget[1].whole`; where it is left out, that of the message around it, and
    /// at last the start of the text.
    pub(super) fn position_of(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            let indexed_path = with_all_indices(path);
            if let Some(field) = self.fields.iter().find(|field| field.path == indexed_path) {
                return position(self.text, field.offset);
            }
            match path.rsplit_once('.') {
                Some((outer, _)) => path = outer,
                None => return Position::START,
            }
        }
    }

    fn without_redundant_indices(&self, path: &str) -> String {
        let mut full = String::new();
        let mut shown = Vec::new();
        for part in path.split('.') {
            full += if full.is_empty() { "" } else { "." };
            full += part;
            let name = part.split('[').next().unwrap_or(part);
            shown.push(if self.is_repeated(&full) { part } else { name });
        }
        shown.join(".")
    }

    fn is_repeated(&self, path: &str) -> bool {
        let name = path.rsplit_once('[').map_or(path, |(name, _)| name);
        let second = format!("{name}[1]");
        self.fields.iter().any(|field| field.path == second)
    }
}

fn is_field_name(token: &str, previous: &str, next: &str) -> bool {
    let is_name = token.starts_with(|first: char| first.is_ascii_alphabetic());
    is_name && !matches!(previous, ":" | "[" | ",") && matches!(next, ":" | "{" | "<")
}

/// The path with a number for each part; a part without one is the first.
fn with_all_indices(path: &str) -> String {
    let parts =
        path.split('.').map(|part| if part.ends_with(']') { part.to_string() } else { format!("{part}[0]") });
    parts.collect::<Vec<_>>().join(".")
}
