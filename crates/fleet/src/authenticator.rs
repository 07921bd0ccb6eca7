//! Proves who sent a datagram, with BLAKE3 keyed by the fleet's secret, and lets each datagram count once.
//!
//! A datagram is a byte for the format, a tag of 16 bytes over the rest, and the [`Envelope`] in `postcard`'s encoding.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::datagram::MAX_DATAGRAM_BYTES;
use crate::envelope::{Envelope, Message};
use crate::settings::Process;

/// The first byte of each datagram.
const FORMAT_VERSION: u8 = 1;
/// Half of BLAKE3's output, beyond any guess.
const TAG_BYTES: usize = 16;
/// Names whose sequences are remembered. A fleet has fewer, and only holders of the secret get this far.
const SENDERS_AT_MOST: usize = 4096;
/// Sequences below the highest one that are told apart.
const WINDOW_BITS: u64 = 64;

/// Why a datagram was rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RejectReason {
    /// It is no datagram of this fleet, or was changed on its way.
    #[error("no datagram of this fleet, or changed on its way")]
    Unauthenticated,
    /// It is for another member, or this process sent it.
    #[error("for another member")]
    Misaddressed,
    /// It came before, or too late to tell.
    #[error("received before")]
    Replayed,
    /// A larger incarnation of the sender's name is known. The sender has been replaced by that process, or it is the
    /// later process itself, on a wall clock that was stepped back.
    #[error("incarnation {known} of {} is known, which is larger than {}", .envelope.from.name, .envelope.from.incarnation)]
    Superseded {
        /// What was received.
        envelope: Box<Envelope>,
        /// The larger incarnation.
        known: u64,
    },
}

/// Why a message could not be sealed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SealError {
    /// It can't be encoded.
    #[error("the message can't be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The datagram would have so many bytes.
    #[error("a datagram of {0} bytes, where {MAX_DATAGRAM_BYTES} are the most")]
    TooLong(usize),
}

/// The sequences that were received of one sender: the highest, and a bit for each of those just below it.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    received: u64,
}

impl ReplayWindow {
    fn new(incarnation: u64) -> ReplayWindow {
        ReplayWindow { incarnation, highest: 0, received: 0 }
    }

    /// Records a sequence; false if it was received before, or is too far below the highest to tell.
    fn record(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let by = sequence - self.highest;
            let shifted = if by < WINDOW_BITS { self.received << by } else { 0 };
            (self.received, self.highest) = (shifted | 1, sequence);
            return true;
        }
        let below = self.highest - sequence;
        if below >= WINDOW_BITS {
            return false;
        }
        let is_new = self.received & (1 << below) == 0;
        self.received |= 1 << below;
        is_new
    }
}

/// Seals what one process sends, and opens what it receives.
pub struct Authenticator {
    key: [u8; 32],
    process: Process,
    /// Of the last envelope that was sealed.
    sequence: u64,
    /// By the sender's name.
    windows: BTreeMap<String, ReplayWindow>,
}

impl Authenticator {
    /// The key is derived from `secret`, the contents of the key file.
    pub fn new(secret: &[u8], process: Process) -> Authenticator {
        let key = blake3::derive_key("ottersill fleet datagrams 1", secret);
        Authenticator { key, process, sequence: 0, windows: BTreeMap::new() }
    }

    /// What is sealed from now on is of that process.
    pub fn restart_as(&mut self, process: Process) {
        self.process = process;
    }

    /// A datagram with that message for the member of that name.
    ///
    /// # Errors
    /// [`SealError`]; the message is not to be sent.
    pub fn seal(&mut self, to: &str, message: Message) -> Result<Vec<u8>, SealError> {
        self.sequence += 1;
        let envelope =
            Envelope { from: self.process.clone(), to: to.to_string(), sequence: self.sequence, message };
        let envelope = postcard::to_stdvec(&envelope)?;
        let tag = blake3::keyed_hash(&self.key, &envelope);
        let mut datagram = Vec::with_capacity(1 + TAG_BYTES + envelope.len());
        datagram.push(FORMAT_VERSION);
        datagram.extend(&tag.as_bytes()[..TAG_BYTES]);
        datagram.extend(envelope);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(SealError::TooLong(datagram.len()));
        }
        Ok(datagram)
    }

    /// The envelope in a datagram.
    ///
    /// # Errors
    /// [`RejectReason`]; the datagram is to change nothing.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Envelope, RejectReason> {
        let envelope = self.verify(datagram)?;
        if envelope.to != self.process.name || envelope.from == self.process {
            return Err(RejectReason::Misaddressed);
        }
        if let Some(known) = self.later_incarnation(&envelope.from) {
            return Err(RejectReason::Superseded { envelope: Box::new(envelope), known });
        }
        if !self.record(&envelope.from, envelope.sequence) {
            return Err(RejectReason::Replayed);
        }
        Ok(envelope)
    }

    fn verify(&self, datagram: &[u8]) -> Result<Envelope, RejectReason> {
        let Some((&FORMAT_VERSION, rest)) = datagram.split_first() else {
            return Err(RejectReason::Unauthenticated);
        };
        let (tag, envelope) = rest.split_at_checked(TAG_BYTES).ok_or(RejectReason::Unauthenticated)?;
        let expected = blake3::keyed_hash(&self.key, envelope);
        // BLAKE3's own comparison takes as long for each wrong tag; it compares whole hashes.
        let mut received = *expected.as_bytes();
        received[..TAG_BYTES].copy_from_slice(tag);
        if expected != blake3::Hash::from_bytes(received) {
            return Err(RejectReason::Unauthenticated);
        }
        postcard::from_bytes(envelope).map_err(|_| RejectReason::Unauthenticated)
    }

    /// The incarnation of that process's name that is known here, if it is larger.
    fn later_incarnation(&self, process: &Process) -> Option<u64> {
        let known = self.windows.get(&process.name).map(|window| window.incarnation);
        known.filter(|known| *known > process.incarnation)
    }

    /// Records a sequence of a process; false if it was received before.
    fn record(&mut self, from: &Process, sequence: u64) -> bool {
        if !self.windows.contains_key(&from.name) && self.windows.len() >= SENDERS_AT_MOST {
            return false;
        }
        let new = ReplayWindow::new(from.incarnation);
        let window = self.windows.entry(from.name.clone()).or_insert(new);
        if from.incarnation > window.incarnation {
            *window = new;
        }
        window.record(sequence)
    }
}
