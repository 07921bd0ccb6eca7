//! Line and column of a field in protobuf text format. The parser reports positions only for syntax errors, but
//! validation needs the position of any field.

use std::collections::BTreeMap;

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Position {
    /// Counted from 1.
    pub(super) line: usize,
    /// In bytes, counted from 1.
    pub(super) column: usize,
}

impl Position {
    pub(super) const START: Position = Position { line: 1, column: 1 };
}

/// Returns the position of the byte at `offset`.
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

/// Returns all tokens of the text, without comments and white space.
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

/// Returns the length of the token or comment at the start of `bytes`, or 1 for any other byte.
fn token_length(bytes: &[u8]) -> usize {
    match bytes[0] {
        b'#' => bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len()),
        b'"' | b'\'' => quoted_length(bytes),
        first if is_word_byte(first) => bytes.iter().take_while(|byte| is_word_byte(**byte)).count(),
        _ => 1,
    }
}

/// Returns the length of the quoted string at the start of `bytes`, including both quotes.
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
    /// Byte offset of the start of its name.
    offset: usize,
    /// Its path with an index for each segment, for instance `budget[1].whole[0]`.
    path: String,
}

/// All fields of a text, in the order of the text.
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
                    enclosing.iter().map(|segment| format!("{segment}.")).collect::<String>() + token.text;
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

    /// Returns the path of the last field that starts at or before the byte at `offset`. A segment has an index only if
    /// its field is repeated.
    pub(super) fn path_at(&self, offset: usize) -> String {
        let last = self.fields.iter().rev().find(|field| field.offset <= offset);
        last.map_or_else(|| "file".to_string(), |field| self.without_redundant_indices(&field.path))
    }

    /// Returns the position of the field with the given path, for instance `budget[1].whole`. If the field is absent,
    /// returns the position of the innermost enclosing message that is present, or else the start of the text.
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
        for segment in path.split('.') {
            full += if full.is_empty() { "" } else { "." };
            full += segment;
            let name = segment.split('[').next().unwrap_or(segment);
            shown.push(if self.is_repeated(&full) { segment } else { name });
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

/// Returns the path with an index for each segment. A segment without an index gets the index 0.
fn with_all_indices(path: &str) -> String {
    let segments = path
        .split('.')
        .map(|segment| if segment.ends_with(']') { segment.to_string() } else { format!("{segment}[0]") });
    segments.collect::<Vec<_>>().join(".")
}
