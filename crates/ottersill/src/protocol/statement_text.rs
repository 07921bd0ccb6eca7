//! A statement's text: what its comment says, and the same text again with another time left.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

use bytes::Bytes;
use ottersill_statement::fingerprint::Scan;

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

impl StatementText {
    /// Reads the comment at the end of a query's text, of which `scan` tells where it is; the error says what it lacks.
    pub fn parse<'a>(
        whole: &'a Bytes,
        scan: &Scan,
    ) -> Result<(StatementText, StatementComment<'a>), &'static str> {
        let text = std::str::from_utf8(whole).map_err(|_| "the statement is not UTF-8")?;
        if scan.unfinished {
            return Err("the statement ends within a literal, a name or a comment");
        }
        let comment = scan.comment.as_ref().ok_or("the statement has no comment")?;
        if scan.behind {
            return Err("something stands behind the comment");
        }
        let (open, close) = (comment.start + 2, comment.end - 2);
        let mut seen = BTreeSet::new();
        let (mut id, mut workload, mut cluster, mut time_left) = (None, None, None, None);
        let (mut after, mut repeat, mut digits) = (None, false, 0..0);
        let mut at = open;
        for pair in text[open..close].split(',') {
            let start = at + pair.len() - pair.trim_start().len();
            at += pair.len() + 1;
            let Some((name, value)) = pair.trim().split_once('=') else { continue };
            if !seen.insert(name) {
                return Err("the comment says something twice");
            }
            match name {
                "id" => id = Some(value),
                "c" => workload = Some(value),
                "cluster" => cluster = value.parse().ok(),
                "d" => {
                    time_left = value.parse::<u32>().ok().map(|ms| f64::from(ms) / 1000.0);
                    let from = start + 2;
                    digits = from..from + value.len();
                }
                "after" => {
                    after = value
                        .parse::<f64>()
                        .ok()
                        .filter(|ms| ms.is_finite() && *ms > 0.0)
                        .map(|ms| ms / 1000.0)
                }
                "r" => repeat = value == "1",
                _ => {}
            }
        }
        let id = id.filter(|id| !id.is_empty()).ok_or("the comment has no id")?;
        let parsed = StatementComment {
            id: number(id),
            workload: workload.ok_or("the comment has no c")?,
            cluster: cluster.ok_or("the comment has no cluster, or one that is no number")?,
            time_left: time_left.ok_or("the comment has no d, or one that is no number")?,
            after,
            repeat,
            session: scan.literal.as_ref().and_then(|at| session(&text[at.clone()])),
        };
        Ok((StatementText { whole: whole.clone(), digits }, parsed))
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
