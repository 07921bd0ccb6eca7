//! An endpoint's answer, gathered message by message as slices of the buffer that they were read into.

use bytes::Bytes;
use ottersill_routing::interface::{AttemptOutcome, LoadReport, Role};

use crate::protocol::frame::{Message, ProtocolError};

/// An answer as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    description: Option<Bytes>,
    row: Option<Message>,
    complete: Option<Bytes>,
    code: Option<[u8; 5]>,
    /// Role and position that came in parameters beside the answer.
    pub piggybacked: LoadReport,
    /// The load report that came beside the answer.
    pub load_report: Option<LoadReport>,
}

/// Role and position, as `recovery` and `lsn_ms` tell them. Positions are Unix milliseconds.
fn read_parameter(note: &mut LoadReport, name: &[u8], value: &str) {
    match name {
        b"recovery" => {
            note.role = match value {
                "off" => Some(Role::Primary),
                "on" => Some(Role::Replica),
                _ => note.role,
            }
        }
        b"lsn_ms" => {
            note.lsn =
                value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms > 0.0).map(|ms| ms / 1000.0);
        }
        _ => {}
    }
}

/// A load report, `x0=…,x1=…`: its position is in Unix seconds.
fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        let Some(value) = value.parse::<f64>().ok().filter(|value| value.is_finite()) else { continue };
        match name {
            // None is known where an endpoint has just started.
            "x0" => report.lsn = (value > 0.0).then_some(value),
            "utilization" => report.utilization = Some(value),
            "x1" => report.role = Some(if value > 0.5 { Role::Primary } else { Role::Replica }),
            _ => {}
        }
    }
    report
}

impl Reply {
    /// Takes one message in; true with ReadyForQuery, which ends the answer. Whatever is not just as an answer of
    /// one row or an error has to be is spoilt: it proves nothing, and nothing of it may be passed on.
    pub fn add(&mut self, message: Message) -> Result<bool, ProtocolError> {
        let none = self.is_empty();
        match message.tag() {
            b'T' if none && message.describes_one() => self.description = Some(message.0),
            b'D' if self.description.is_some() && self.row.is_none() && message.column().is_some() => {
                self.row = Some(message);
            }
            b'C' if self.row.is_some() && self.complete.is_none() && message.command().is_some() => {
                self.complete = Some(message.0);
            }
            b'I' if none && message.body().is_empty() => self.complete = Some(message.0),
            b'E' if self.complete.is_none() && self.code.is_none() => {
                let ends = message.body().ends_with(&[0, 0]);
                let code =
                    message.field(b'C').filter(|code| ends && code.iter().all(u8::is_ascii_alphanumeric));
                self.code =
                    Some(code.and_then(|code| code.try_into().ok()).ok_or("an error without its code")?);
            }
            b'S' => {
                let (name, value) = message.parameter().ok_or("a parameter without its value")?;
                // What can't be read is no report; the answer that it came with may be good all the same.
                if let Ok(value) = std::str::from_utf8(value) {
                    self.read_parameter_status(name, value);
                }
            }
            b'Z' if message.body().len() == 1 => return Ok(true),
            b'N' | b'R' | b'K' | b'A' => {}
            _ => return Err("a message that answers no simple query"),
        }
        Ok(false)
    }

    fn read_parameter_status(&mut self, name: &[u8], value: &str) {
        if name == b"health" {
            self.load_report = Some(parse_load_report(value));
        }
        read_parameter(&mut self.piggybacked, name, value);
    }

    /// Nothing but notices and parameters, which an endpoint may send at any time.
    pub fn is_empty(&self) -> bool {
        self.code.is_none() && self.description.is_none() && self.complete.is_none()
    }

    /// The row is there whole, whatever comes after it.
    pub fn is_completed(&self) -> bool {
        self.code.is_none() && self.row.is_some() && self.complete.is_some()
    }

    /// How an attempt has ended. 53300 promises that nothing ran; of the other codes only 72000 and 25006 do.
    pub fn outcome(&self) -> AttemptOutcome {
        match self.code.as_ref() {
            Some(b"53300") => AttemptOutcome::Refused,
            Some(b"72000") => AttemptOutcome::WrongEndpoint,
            Some(b"25006") => AttemptOutcome::ReadOnly,
            Some(_) => AttemptOutcome::Error,
            None if self.is_completed() => AttemptOutcome::Completed,
            // Whatever it did, it gave nothing that could be passed on.
            None => AttemptOutcome::Error,
        }
    }

    /// How the startup of a connection has ended, if the endpoint refused it: nothing was sent on it.
    pub fn connection_refusal(&self) -> Option<AttemptOutcome> {
        let code = self.code.as_ref()?;
        Some(if code == b"53300" { AttemptOutcome::Refused } else { AttemptOutcome::ConnectFailed })
    }

    /// How a health check has ended, and what it reports; 57P03 refuses one.
    pub fn health_check_result(&self) -> (AttemptOutcome, LoadReport) {
        match (self.code.as_ref(), self.health()) {
            (Some(b"53300" | b"57P03"), _) => (AttemptOutcome::Refused, LoadReport::default()),
            (None, Some(report)) => (AttemptOutcome::Completed, report),
            _ => (AttemptOutcome::Error, LoadReport::default()),
        }
    }

    /// What a client is sent, just as the endpoint gave it.
    pub fn take_client_messages(&mut self) -> [Bytes; 3] {
        let row = self.row.take().map(|row| row.0);
        [self.description.take(), row, self.complete.take()].map(Option::unwrap_or_default)
    }

    fn health(&self) -> Option<LoadReport> {
        let row = self.row.as_ref().filter(|_| self.is_completed())?;
        Some(parse_load_report(std::str::from_utf8(row.column()?).ok()?))
    }
}
