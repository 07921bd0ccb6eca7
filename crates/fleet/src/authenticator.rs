//! Datagrams between members: who sent them is proved by a keyed BLAKE3 with the fleet's key, and each counts once.

use std::collections::BTreeMap;

use crate::datagram::MAX_DATAGRAM_BYTES;
use crate::envelope::{Envelope, Message};
use crate::settings::Process;

/// The first byte of each datagram: the form of what follows.
const FORMAT_VERSION: u8 = 1;
/// Bytes of the proof: half of BLAKE3's, beyond any guess.
const TAG_BYTES: usize = 16;
/// Names whose counters are remembered; a fleet has fewer, and only who knows the key gets here.
const SENDERS_AT_MOST: usize = 4096;

/// Why a datagram was not taken in.
#[derive(Clone, Debug, PartialEq)]
pub enum RejectReason {
    /// It is no datagram of this fleet, or was changed on its way.
    Unauthenticated,
    /// It is for somebody else.
    Misaddressed,
    /// It came before.
    Replayed,
    /// A larger incarnation of its sender's name is known. Either it was sent before that one started, or by a process
    /// whose wall clock was stepped back.
    Superseded { envelope: Box<Envelope>, known: u64 },
}

/// The last counters of a sender that came: the highest, and which of the 64 before it.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    received: u64,
}

pub struct Authenticator {
    key: [u8; 32],
    process: Process,
    sequence: u64,
    windows: BTreeMap<String, ReplayWindow>,
}

impl Authenticator {
    /// The key is derived from whatever the key file holds.
    pub fn new(secret: &[u8], process: Process) -> Authenticator {
        let key = blake3::derive_key("ottersill fleet datagrams 1", secret);
        Authenticator { key, process, sequence: 0, windows: BTreeMap::new() }
    }

    /// What is sent from now on is that process's.
    pub fn restart_as(&mut self, process: Process) {
        self.process = process;
    }

    fn tag(&self, envelope: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, envelope);
        std::array::from_fn(|index| hash.as_bytes()[index])
    }

    /// The datagram for a member; none if it would be too long.
    pub fn seal(&mut self, to: &str, message: Message) -> Option<Vec<u8>> {
        self.sequence += 1;
        let envelope =
            Envelope { from: self.process.clone(), to: to.to_string(), sequence: self.sequence, message };
        let envelope = postcard::to_stdvec(&envelope).ok()?;
        let mut datagram = Vec::with_capacity(1 + TAG_BYTES + envelope.len());
        datagram.push(FORMAT_VERSION);
        datagram.extend(self.tag(&envelope));
        datagram.extend(envelope);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    pub fn open(&mut self, datagram: &[u8]) -> Result<Envelope, RejectReason> {
        let Some((&FORMAT_VERSION, rest)) = datagram.split_first() else {
            return Err(RejectReason::Unauthenticated);
        };
        let (tag, envelope) = rest.split_at_checked(TAG_BYTES).ok_or(RejectReason::Unauthenticated)?;
        // BLAKE3's own comparison takes the same time for each wrong proof.
        let mut total = *blake3::keyed_hash(&self.key, envelope).as_bytes();
        total[..TAG_BYTES].copy_from_slice(tag);
        if blake3::keyed_hash(&self.key, envelope) != blake3::Hash::from_bytes(total) {
            return Err(RejectReason::Unauthenticated);
        }
        let envelope: Envelope = postcard::from_bytes(envelope).map_err(|_| RejectReason::Unauthenticated)?;
        if envelope.to != self.process.name || envelope.from == self.process {
            return Err(RejectReason::Misaddressed);
        }
        if let Some(known) = self.later_incarnation(&envelope.from) {
            return Err(RejectReason::Superseded { envelope: Box::new(envelope), known });
        }
        self.is_new(&envelope.from, envelope.sequence).then_some(envelope).ok_or(RejectReason::Replayed)
    }

    /// The incarnation of its name that is known here, if that is larger.
    fn later_incarnation(&self, process: &Process) -> Option<u64> {
        let known = self.windows.get(&process.name).map(|window| window.incarnation);
        known.filter(|known| *known > process.incarnation)
    }

    /// False for what came before.
    fn is_new(&mut self, from: &Process, sequence: u64) -> bool {
        let new = ReplayWindow { incarnation: from.incarnation, highest: 0, received: 0 };
        if !self.windows.contains_key(&from.name) && self.windows.len() >= SENDERS_AT_MOST {
            return false;
        }
        let window = self.windows.entry(from.name.clone()).or_insert(new);
        if from.incarnation > window.incarnation {
            *window = new;
        }
        if sequence > window.highest {
            let by = sequence - window.highest;
            window.received = window.received.checked_shl(by as u32).filter(|_| by < 64).unwrap_or(0) | 1;
            window.highest = sequence;
            return true;
        }
        let bit = 1u64.checked_shl((window.highest - sequence).min(64) as u32).unwrap_or(0);
        let is_new = bit != 0 && window.received & bit == 0;
        window.received |= bit;
        is_new
    }
}
