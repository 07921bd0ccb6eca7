//! An endpoint's answer, collected message by message as slices of the read buffer.

use bytes::Bytes;
use ottersill_routing::interface::{AttemptOutcome, LoadReport, Role};

use crate::protocol::frame::{Message, ProtocolError};

/// An answer, as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    description: Option<Bytes>,
    row: Option<Message>,
    complete: Option<Bytes>,
    code: Option<[u8; 5]>,
    /// Role and replication position from ParameterStatus messages that came with the answer.
    pub piggybacked: LoadReport,
    /// The load report from a ParameterStatus message that came with the answer.
    pub load_report: Option<LoadReport>,
}

/// Reads role and replication position from the parameters `recovery` and `lsn_ms` into `report`. `lsn_ms` is in Unix
/// milliseconds.
fn read_role_or_position(report: &mut LoadReport, name: &[u8], value: &str) {
    match name {
        b"recovery" => {
            report.role = match value {
                "off" => Some(Role::Primary),
                "on" => Some(Role::Replica),
                _ => report.role,
            }
        }
        b"lsn_ms" => {
            report.lsn =
                value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms > 0.0).map(|ms| ms / 1000.0);
        }
        _ => {}
    }
}

/// Parses a load report, `x0=…,x1=…,utilization=…`. Its replication position (`x0`) is in Unix seconds.
fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        let Some(value) = value.parse::<f64>().ok().filter(|value| value.is_finite()) else { continue };
        match name {
            // An endpoint that has just started reports 0, as it has no position yet.
            "x0" => report.lsn = (value > 0.0).then_some(value),
            "utilization" => report.utilization = Some(value),
            "x1" => report.role = Some(if value > 0.5 { Role::Primary } else { Role::Replica }),
            _ => {}
        }
    }
    report
}

impl Reply {
    /// Adds a message. Returns true for ReadyForQuery, which ends the answer. An answer has to be exactly one row of one column,
    /// an empty query's answer, or an error. Anything else is a protocol error, after which the effect of the statement is
    /// unknown and no part of the answer may be forwarded.
    pub fn add(&mut self, message: Message) -> Result<bool, ProtocolError> {
        let is_start = self.is_empty();
        match message.tag() {
            b'T' if is_start && message.describes_one_column() => self.description = Some(message.0),
            b'D' if self.description.is_some() && self.row.is_none() && message.column().is_some() => {
                self.row = Some(message);
            }
            b'C' if self.row.is_some() && self.complete.is_none() && message.command_tag().is_some() => {
                self.complete = Some(message.0);
            }
            b'I' if is_start && message.body().is_empty() => self.complete = Some(message.0),
            b'E' if self.complete.is_none() && self.code.is_none() => {
                let is_terminated = message.body().ends_with(&[0, 0]);
                let code = message
                    .field(b'C')
                    .filter(|code| is_terminated && code.iter().all(u8::is_ascii_alphanumeric));
                self.code =
                    Some(code.and_then(|code| code.try_into().ok()).ok_or(ProtocolError::ErrorWithoutCode)?);
            }
            b'S' => {
                let (name, value) = message.parameter().ok_or(ProtocolError::ParameterWithoutValue)?;
                // A value that is not UTF-8 is ignored; the answer that it came with may be valid.
                if let Ok(value) = std::str::from_utf8(value) {
                    self.read_parameter_status(name, value);
                }
            }
            b'Z' if message.body().len() == 1 => return Ok(true),
            b'N' | b'R' | b'K' | b'A' => {}
            _ => return Err(ProtocolError::UnexpectedMessage),
        }
        Ok(false)
    }

    fn read_parameter_status(&mut self, name: &[u8], value: &str) {
        if name == b"health" {
            self.load_report = Some(parse_load_report(value));
        }
        read_role_or_position(&mut self.piggybacked, name, value);
    }

    /// Returns whether only notices and parameters were received, which an endpoint may send at any time.
    pub fn is_empty(&self) -> bool {
        self.code.is_none() && self.description.is_none() && self.complete.is_none()
    }

    /// Returns whether an empty query was answered.
    pub fn answers_empty_query(&self) -> bool {
        self.code.is_none() && self.row.is_none() && self.complete.is_some()
    }

    /// Returns whether the row and its CommandComplete were received without an error, whatever comes after them.
    pub fn is_completed(&self) -> bool {
        self.code.is_none() && self.row.is_some() && self.complete.is_some()
    }

    /// Returns the outcome of an attempt with this answer. Only the codes 53300, 72000 and 25006 promise that nothing ran.
    pub fn outcome(&self) -> AttemptOutcome {
        match self.code.as_ref() {
            Some(b"53300") => AttemptOutcome::Refused,
            Some(b"72000") => AttemptOutcome::WrongEndpoint,
            Some(b"25006") => AttemptOutcome::ReadOnly,
            Some(_) => AttemptOutcome::Error,
            None if self.is_completed() => AttemptOutcome::Completed,
            // Whatever the statement did, there is no result that could be passed on.
            None => AttemptOutcome::Error,
        }
    }

    /// Returns the outcome of an attempt whose connection the endpoint refused at startup, before the statement was sent; `None`
    /// if it did not refuse.
    pub fn connection_refusal(&self) -> Option<AttemptOutcome> {
        let code = self.code.as_ref()?;
        Some(if code == b"53300" { AttemptOutcome::Refused } else { AttemptOutcome::ConnectFailed })
    }

    /// Returns the outcome and the load report of a health check. 57P03 refuses a health check.
    pub fn health_check_result(&self) -> (AttemptOutcome, LoadReport) {
        match (self.code.as_ref(), self.health()) {
            (Some(b"53300" | b"57P03"), _) => (AttemptOutcome::Refused, LoadReport::default()),
            (None, Some(report)) => (AttemptOutcome::Completed, report),
            _ => (AttemptOutcome::Error, LoadReport::default()),
        }
    }

    /// Takes out the messages for the client, unchanged from how the endpoint sent them.
    pub fn take_client_messages(&mut self) -> [Bytes; 3] {
        let row = self.row.take().map(|row| row.0);
        [self.description.take(), row, self.complete.take()].map(Option::unwrap_or_default)
    }

    fn health(&self) -> Option<LoadReport> {
        let row = self.row.as_ref().filter(|_| self.is_completed())?;
        Some(parse_load_report(std::str::from_utf8(row.column()?).ok()?))
    }
}
