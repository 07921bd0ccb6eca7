//! Authenticates datagrams with BLAKE3 keyed by the fleet's secret, and rejects replayed ones.
//!
//! A datagram consists of a format byte, a tag of 16 bytes that authenticates the envelope, and the [`Envelope`] in
//! `postcard` encoding.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::datagram::MAX_DATAGRAM_BYTES;
use crate::envelope::{Envelope, Message};
use crate::settings::Process;

/// The first byte of each datagram.
const FORMAT_VERSION: u8 = 1;
/// Bytes of the tag: half of BLAKE3's output, which is infeasible to guess.
const TAG_BYTES: usize = 16;
/// Largest number of sender names with a replay window. A fleet has fewer members, and only senders with the secret get a
/// window.
const MAX_SENDERS: usize = 4096;
/// Size of the replay window: the highest sequence number received and those just below it.
const REPLAY_WINDOW_BITS: u64 = 64;

/// Reason for which a datagram was rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RejectReason {
    /// The datagram is not from this fleet, or was altered in transit.
    #[error("the datagram is not from this fleet or was altered in transit")]
    Unauthenticated,
    /// The datagram is addressed to another member, or was sent by this process.
    #[error("the datagram is addressed to another member or was sent by this process")]
    Misaddressed,
    /// The datagram was received before, or is too old for the replay window.
    #[error("the datagram was received before or is too old to tell")]
    Replayed,
    /// A larger incarnation of the sender's name is known. Either a later process has replaced the sender, or the sender
    /// is the later process and its wall clock was stepped back.
    #[error("known incarnation {known} of {} is larger than {}", .envelope.from.name, .envelope.from.incarnation)]
    Superseded {
        /// The received envelope.
        envelope: Box<Envelope>,
        /// The larger incarnation.
        known: u64,
    },
}

/// Reason for which a message could not be sealed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SealError {
    /// The message can't be encoded.
    #[error("the message can't be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The datagram would have this many bytes, which is more than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes")]
    TooLong(usize),
}

/// The sequence numbers received from one process: the highest one, and a bit for each number from it downwards.
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

    /// Records a sequence number. Returns false if it was received before, or is below the window.
    fn record(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            let shifted = if shift < REPLAY_WINDOW_BITS { self.received << shift } else { 0 };
            (self.received, self.highest) = (shifted | 1, sequence);
            return true;
        }
        let offset = self.highest - sequence;
        if offset >= REPLAY_WINDOW_BITS {
            return false;
        }
        let is_new = self.received & (1 << offset) == 0;
        self.received |= 1 << offset;
        is_new
    }
}

/// Seals the datagrams that one process sends, and opens those that it receives.
pub struct Authenticator {
    key: [u8; 32],
    process: Process,
    /// Sequence number of the last sealed envelope.
    sequence: u64,
    /// Replay windows by the sender's name.
    windows: BTreeMap<String, ReplayWindow>,
}

impl Authenticator {
    /// Creates an authenticator whose key is derived from `secret`, the contents of the key file.
    pub fn new(secret: &[u8], process: Process) -> Authenticator {
        let key = blake3::derive_key("ottersill fleet datagrams 1", secret);
        Authenticator { key, process, sequence: 0, windows: BTreeMap::new() }
    }

    /// Seals later envelopes with `process` as their sender.
    pub fn restart_as(&mut self, process: Process) {
        self.process = process;
    }

    /// Returns a datagram that carries `message` to the member named `to`.
    ///
    /// # Errors
    /// Returns a [`SealError`] if the message can't be sent.
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

    /// Authenticates a datagram and returns its envelope.
    ///
    /// # Errors
    /// Returns a [`RejectReason`] if the datagram must not be handled as a message.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Envelope, RejectReason> {
        let envelope = self.verify(datagram)?;
        if envelope.to != self.process.name || envelope.from == self.process {
            return Err(RejectReason::Misaddressed);
        }
        if let Some(known) = self.larger_known_incarnation(&envelope.from) {
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
        // The comparison of `blake3::Hash` takes constant time, but it compares complete hashes only.
        let mut received = *expected.as_bytes();
        received[..TAG_BYTES].copy_from_slice(tag);
        if expected != blake3::Hash::from_bytes(received) {
            return Err(RejectReason::Unauthenticated);
        }
        postcard::from_bytes(envelope).map_err(|_| RejectReason::Unauthenticated)
    }

    /// Returns the known incarnation of the process's name, if it is larger than that of the process.
    fn larger_known_incarnation(&self, process: &Process) -> Option<u64> {
        let known = self.windows.get(&process.name).map(|window| window.incarnation);
        known.filter(|known| *known > process.incarnation)
    }

    /// Records a sequence number of a process. Returns false if it was received before or is below the window, or if there
    /// are too many senders.
    fn record(&mut self, from: &Process, sequence: u64) -> bool {
        if !self.windows.contains_key(&from.name) && self.windows.len() >= MAX_SENDERS {
            return false;
        }
        let new_window = ReplayWindow::new(from.incarnation);
        let window = self.windows.entry(from.name.clone()).or_insert(new_window);
        if from.incarnation > window.incarnation {
            *window = new_window;
        }
        window.record(sequence)
    }
}
