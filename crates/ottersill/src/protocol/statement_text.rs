//! A statement's text: parses its comment, and writes the text with an updated time left.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

use bytes::Bytes;
use ottersill_statement::fingerprint::Scan;
use thiserror::Error;

use crate::protocol::frame;
use crate::protocol::socket::Outbox;

/// Subtracted from the time left that is sent to an endpoint. On arrival, the time sent may exceed the client's actual time left
/// by at most 0.15 s, and a router that stalls between reading its clock and writing uses up part of that.
pub const DEADLINE_MARGIN_SECONDS: f64 = 0.05;
/// Fields that a comment of this service has at most; a longer comment only takes an allocation more.
const TYPICAL_FIELDS: usize = 8;
/// Number of slices of a written query that follow the digits of `d`.
const SLICES_AFTER_DIGITS: usize = 2;

/// Returns the time left to send to an endpoint, in milliseconds, when the client has `seconds_left` left. The margin is at most
/// half of the time left.
pub fn advertised_time_left(seconds_left: f64) -> u64 {
    let margin = DEADLINE_MARGIN_SECONDS.min(seconds_left / 2.0);
    ((seconds_left - margin) * 1000.0).max(1.0) as u64
}

/// Why a statement's text is malformed. The text of the error is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StatementTextError {
    /// The text is not valid UTF-8.
    #[error("the statement is not UTF-8")]
    NotUtf8,
    /// A literal, a quoted name or a comment is not closed.
    #[error("the statement ends within a literal, a name or a comment")]
    Unfinished,
    /// The text has no comment.
    #[error("the statement has no comment")]
    NoComment,
    /// The comment is not at the end of the text.
    #[error("something stands behind the comment")]
    TextBehindComment,
    /// The comment has a field twice.
    #[error("the comment says something twice")]
    DuplicateField,
    /// The comment has no `id`, or an empty one.
    #[error("the comment has no id")]
    NoId,
    /// The comment has no `c`.
    #[error("the comment has no c")]
    NoWorkload,
    /// The comment has no `cluster`, or one that is not a number.
    #[error("the comment has no cluster, or one that is no number")]
    NoCluster,
    /// The comment has no `d`, or one that is not a number of milliseconds.
    #[error("the comment has no d, or one that is no number")]
    NoTimeLeft,
}

/// A statement's text, as a slice of the read buffer. It is sent to endpoints unchanged except for the digits of `d`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementText {
    text: Bytes,
    /// The position of the digits of `d` in the text.
    time_left_digits: Range<usize>,
}

/// The fields of a statement's comment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementComment<'a> {
    /// A number that represents the statement's `id`.
    pub id: u64,
    /// The name of its workload.
    pub workload: &'a str,
    /// The number of its replica set.
    pub cluster: u64,
    /// How long the client waits, in seconds.
    pub time_left: f64,
    /// The replication position that a read of a session has to see, in Unix seconds.
    pub after: Option<f64>,
    /// Whether the client flags the statement as a retry.
    pub is_flagged_retry: bool,
    /// A number that represents the session to which it belongs.
    pub session: Option<u64>,
}

/// The known fields of a comment, as far as it has them.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    workload: Option<&'a str>,
    cluster: Option<u64>,
    time_left: Option<f64>,
    /// The position of the digits of `d` in the text.
    time_left_digits: Range<usize>,
    after: Option<f64>,
    is_flagged_retry: bool,
}

impl<'a> CommentFields<'a> {
    /// Reads the pairs of name and value within that range of the text. Unknown names are ignored.
    fn read(text: &'a str, range: Range<usize>) -> Result<CommentFields<'a>, StatementTextError> {
        let mut fields = CommentFields::default();
        let mut names = Vec::with_capacity(TYPICAL_FIELDS);
        let mut at = range.start;
        for pair in text[range].split(',') {
            let start = at + pair.len() - pair.trim_start().len();
            at += pair.len() + 1;
            let Some((name, value)) = pair.trim().split_once('=') else { continue };
            names.push(name);
            fields.set(name, value, start + name.len() + 1);
        }
        names.sort_unstable();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(StatementTextError::DuplicateField);
        }
        Ok(fields)
    }

    /// Sets the field of one pair, whose value is at `value_at` in the text.
    fn set(&mut self, name: &str, value: &'a str, value_at: usize) {
        match name {
            "id" => self.id = Some(value),
            "c" => self.workload = Some(value),
            "cluster" => self.cluster = value.parse().ok(),
            "d" => {
                self.time_left = value.parse::<u32>().ok().map(|ms| f64::from(ms) / 1000.0);
                self.time_left_digits = value_at..value_at + value.len();
            }
            "after" => self.after = parse_position(value),
            "r" => self.is_flagged_retry = value == "1",
            _ => {}
        }
    }
}

/// Parses a replication position in Unix milliseconds, and returns it in Unix seconds.
fn parse_position(value: &str) -> Option<f64> {
    let ms = value.parse::<f64>().ok()?;
    (ms.is_finite() && ms > 0.0).then_some(ms / 1000.0)
}

impl StatementText {
    /// Parses the comment at the end of a query's text; `scan` has its position.
    ///
    /// # Errors
    /// If the text or its comment is malformed.
    pub fn parse<'a>(
        query: &'a Bytes,
        scan: &Scan,
    ) -> Result<(StatementText, StatementComment<'a>), StatementTextError> {
        let text = std::str::from_utf8(query).map_err(|_| StatementTextError::NotUtf8)?;
        if scan.has_invalid_input {
            return Err(StatementTextError::Unfinished);
        }
        let comment = scan.comment.as_ref().ok_or(StatementTextError::NoComment)?;
        if scan.text_follows_comment {
            return Err(StatementTextError::TextBehindComment);
        }
        let fields = CommentFields::read(text, comment_content(comment.clone()))?;
        let id = fields.id.filter(|id| !id.is_empty()).ok_or(StatementTextError::NoId)?;
        let parsed = StatementComment {
            id: to_number(id),
            workload: fields.workload.ok_or(StatementTextError::NoWorkload)?,
            cluster: fields.cluster.ok_or(StatementTextError::NoCluster)?,
            time_left: fields.time_left.ok_or(StatementTextError::NoTimeLeft)?,
            after: fields.after,
            is_flagged_retry: fields.is_flagged_retry,
            session: scan.literal.as_ref().and_then(|at| session_number(&text[at.clone()])),
        };
        Ok((StatementText { text: query.clone(), time_left_digits: fields.time_left_digits }, parsed))
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Returns whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Writes the query with that time left, in milliseconds. Only `d` differs from what the client sent.
    pub fn write_to(&self, left_ms: u64, outbox: &mut Outbox) {
        let digits = left_ms.to_string();
        let length = self.text.len() - self.time_left_digits.len() + digits.len() + 1;
        outbox.push(Bytes::copy_from_slice(&frame::query_header(length)));
        outbox.push(self.text.slice(..self.time_left_digits.start));
        outbox.push(Bytes::from(digits));
        outbox.push(self.text.slice(self.time_left_digits.end..));
        outbox.push(Bytes::from_static(b"\0"));
    }

    /// Updates the time left in a partly written query. Returns false if the digits are already written, or if the new value has
    /// another number of digits, as the length of the query is written before them.
    pub fn update_time_left(&self, left_ms: u64, outbox: &mut Outbox) -> bool {
        outbox.replace_from_end(SLICES_AFTER_DIGITS, &Bytes::from(left_ms.to_string()))
    }
}

/// What is read of a statement's comment before the statement's turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommentPreview {
    /// A number that represents the statement's `id`, the same as [`StatementComment::id`].
    pub id: u64,
    /// How long the client waits, in seconds, if the comment tells.
    pub time_left: Option<f64>,
}

/// Reads the comment at the end of a query's text without scanning the text ahead of it; `None` if it has no id. For a text that
/// [`StatementText::parse`] accepts, both read the same comment. A text that it refuses may have a preview.
pub fn preview_comment(text: &[u8]) -> Option<CommentPreview> {
    let comment = std::str::from_utf8(&text[last_comment(text)?]).ok()?;
    let fields = CommentFields::read(comment, comment_content(0..comment.len())).ok()?;
    let id = fields.id.filter(|id| !id.is_empty())?;
    Some(CommentPreview { id: to_number(id), time_left: fields.time_left })
}

/// Returns the position of the block comment that ends the text, delimiters included. Comments may be nested.
fn last_comment(text: &[u8]) -> Option<Range<usize>> {
    let is_filler = |byte: &u8| byte.is_ascii_whitespace() || *byte == b';';
    let end = text.iter().rposition(|byte| !is_filler(byte))? + 1;
    if !text[..end].ends_with(b"*/") {
        return None;
    }
    let (mut at, mut depth) = (end, 0);
    while at >= 2 {
        match &text[at - 2..at] {
            b"*/" => (at, depth) = (at - 2, depth + 1),
            b"/*" if depth == 1 => return Some(at - 2..end),
            b"/*" => (at, depth) = (at - 2, depth - 1),
            _ => at -= 1,
        }
    }
    None
}

/// Returns the position of a block comment's content, without its delimiters.
fn comment_content(comment: Range<usize>) -> Range<usize> {
    comment.start + 2..comment.end - 2
}

/// Returns a number for the session of a statement. Its first literal is the key, which identifies the session in workloads that
/// have sessions.
fn session_number(literal: &str) -> Option<u64> {
    let key = literal.split('\'').nth(1)?;
    Some(to_number(key))
}

/// Returns the value of a hexadecimal number, or a hash of any other text.
fn to_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
