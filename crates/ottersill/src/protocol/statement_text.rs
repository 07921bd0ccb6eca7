//! A statement's text: what its comment says, and the same text again with another time left.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

use bytes::Bytes;
use ottersill_statement::fingerprint::Scan;
use thiserror::Error;

use crate::protocol::frame;
use crate::protocol::socket::Outbox;

/// Subtracted from the time left that an endpoint is told; seconds. What is told may exceed what the client has left by 0.15 s when
/// it arrives, and that much is used up by a router that is held up between reading its clock and writing.
pub const DEADLINE_MARGIN: f64 = 0.05;
/// Slices of a written query that follow the digits of `d`.
const SLICES_AFTER_DIGITS: usize = 2;

/// The milliseconds that an endpoint is told when the client has so many seconds left. Where that is little, half of it is kept.
pub fn advertised_time_left(left: f64) -> u64 {
    let margin = DEADLINE_MARGIN.min(left / 2.0);
    ((left - margin) * 1000.0).max(1.0) as u64
}

/// What a statement's text lacks. The text of the error is for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StatementTextError {
    /// Some bytes are no UTF-8.
    #[error("the statement is not UTF-8")]
    NotUtf8,
    /// Something that the text opens is not closed.
    #[error("the statement ends within a literal, a name or a comment")]
    Unfinished,
    /// No comment says what it is.
    #[error("the statement has no comment")]
    NoComment,
    /// The comment is not the end of the text.
    #[error("something stands behind the comment")]
    TextBehindComment,
    /// A name stands twice in the comment.
    #[error("the comment says something twice")]
    DuplicateField,
    /// There is no `id`, or an empty one.
    #[error("the comment has no id")]
    NoId,
    /// There is no `c`.
    #[error("the comment has no c")]
    NoWorkload,
    /// There is no `cluster` that is a number.
    #[error("the comment has no cluster, or one that is no number")]
    NoCluster,
    /// There is no `d` that is a number of milliseconds.
    #[error("the comment has no d, or one that is no number")]
    NoTimeLeft,
}

/// A slice of the buffer it was read into. It is sent on as it came, but for the digits of `d`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementText {
    whole: Bytes,
    digits: Range<usize>,
}

/// What the comment of a statement says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementComment<'a> {
    /// A number for the statement's `id`.
    pub id: u64,
    /// The name of its workload.
    pub workload: &'a str,
    /// The number of its group of endpoints.
    pub cluster: u64,
    /// Seconds for which the client waits.
    pub time_left: f64,
    /// The position that a session's read has to see, in Unix seconds.
    pub after: Option<f64>,
    /// The client has sent it before.
    pub repeat: bool,
    /// A number for the session that it belongs to.
    pub session: Option<u64>,
}

/// The fields of a comment that are known here, as far as it has them.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    workload: Option<&'a str>,
    cluster: Option<u64>,
    time_left: Option<f64>,
    /// Where the digits of `d` stand in the text.
    time_left_digits: Range<usize>,
    after: Option<f64>,
    repeat: bool,
}

impl<'a> CommentFields<'a> {
    /// Reads the pairs of name and value within that part of the text. Unknown names are passed over.
    fn read(text: &'a str, part: Range<usize>) -> Result<CommentFields<'a>, StatementTextError> {
        let mut fields = CommentFields::default();
        let mut seen = BTreeSet::new();
        let mut at = part.start;
        for pair in text[part].split(',') {
            let start = at + pair.len() - pair.trim_start().len();
            at += pair.len() + 1;
            let Some((name, value)) = pair.trim().split_once('=') else { continue };
            if !seen.insert(name) {
                return Err(StatementTextError::DuplicateField);
            }
            fields.set(name, value, start + name.len() + 1);
        }
        Ok(fields)
    }

    /// Takes over one pair, whose value stands at `value_at` in the text.
    fn set(&mut self, name: &str, value: &'a str, value_at: usize) {
        match name {
            "id" => self.id = Some(value),
            "c" => self.workload = Some(value),
            "cluster" => self.cluster = value.parse().ok(),
            "d" => {
                self.time_left = value.parse::<u32>().ok().map(|ms| f64::from(ms) / 1000.0);
                self.time_left_digits = value_at..value_at + value.len();
            }
            "after" => self.after = position(value),
            "r" => self.repeat = value == "1",
            _ => {}
        }
    }
}

/// A position in Unix milliseconds, as Unix seconds.
fn position(value: &str) -> Option<f64> {
    let ms = value.parse::<f64>().ok()?;
    (ms.is_finite() && ms > 0.0).then_some(ms / 1000.0)
}

impl StatementText {
    /// Reads the comment at the end of a query's text, of which `scan` tells where it is.
    ///
    /// # Errors
    /// What the text lacks.
    pub fn parse<'a>(
        whole: &'a Bytes,
        scan: &Scan,
    ) -> Result<(StatementText, StatementComment<'a>), StatementTextError> {
        let text = std::str::from_utf8(whole).map_err(|_| StatementTextError::NotUtf8)?;
        if scan.unfinished {
            return Err(StatementTextError::Unfinished);
        }
        let comment = scan.comment.as_ref().ok_or(StatementTextError::NoComment)?;
        if scan.behind {
            return Err(StatementTextError::TextBehindComment);
        }
        let fields = CommentFields::read(text, comment.start + 2..comment.end - 2)?;
        let id = fields.id.filter(|id| !id.is_empty()).ok_or(StatementTextError::NoId)?;
        let parsed = StatementComment {
            id: number(id),
            workload: fields.workload.ok_or(StatementTextError::NoWorkload)?,
            cluster: fields.cluster.ok_or(StatementTextError::NoCluster)?,
            time_left: fields.time_left.ok_or(StatementTextError::NoTimeLeft)?,
            after: fields.after,
            repeat: fields.repeat,
            session: scan.literal.as_ref().and_then(|at| session(&text[at.clone()])),
        };
        Ok((StatementText { whole: whole.clone(), digits: fields.time_left_digits }, parsed))
    }

    /// Its length in bytes.
    pub fn len(&self) -> usize {
        self.whole.len()
    }

    /// It has no bytes.
    pub fn is_empty(&self) -> bool {
        self.whole.is_empty()
    }

    /// Writes the query with that many milliseconds left. Only `d` differs from what the client sent.
    pub fn write_to(&self, left_ms: u64, outbox: &mut Outbox) {
        let digits = left_ms.to_string();
        let length = self.whole.len() - self.digits.len() + digits.len() + 1;
        outbox.push(Bytes::copy_from_slice(&frame::query_head(length)));
        outbox.push(self.whole.slice(..self.digits.start));
        outbox.push(Bytes::from(digits));
        outbox.push(self.whole.slice(self.digits.end..));
        outbox.push(Bytes::from_static(b"\0"));
    }

    /// Writes another time left into a query of which a part has gone out; false if the digits went out too, or if the new
    /// ones are more or fewer, as the length of the query has gone out before them.
    pub fn update_time_left(&self, left_ms: u64, outbox: &mut Outbox) -> bool {
        outbox.replace_from_end(SLICES_AFTER_DIGITS, &Bytes::from(left_ms.to_string()))
    }
}

/// Comments of this service are shorter; bytes.
const MAX_COMMENT_BYTES: usize = 512;

/// The seconds that a client waits for a statement, read from the end of its text without looking at the rest: good enough
/// to see to those ahead of it. [`StatementText::parse`] tells whether the text is in order, once its turn has come.
pub fn peek_time_left(text: &[u8]) -> Option<f64> {
    let end = &text[text.len().saturating_sub(MAX_COMMENT_BYTES)..];
    let open = end.windows(2).rposition(|two| two == b"/*")?;
    let comment = std::str::from_utf8(&end[open + 2..]).ok()?;
    let digits = comment.split([',', '*']).find_map(|pair| pair.trim().strip_prefix("d="))?;
    digits.parse::<u32>().ok().map(|ms| f64::from(ms) / 1000.0)
}

/// The first literal is the key, which names the session where there are any.
fn session(literal: &str) -> Option<u64> {
    let key = literal.split('\'').nth(1)?;
    Some(number(key))
}

fn number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
