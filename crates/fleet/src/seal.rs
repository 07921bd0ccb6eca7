//! Datagrams between members: who sent them is proved by a keyed BLAKE3 with the fleet's key, and each counts once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::books::{Entry, Grant};
use crate::terms::Process;
use crate::vote::{Answer, Ballot};

/// The first byte of each datagram: the form of what follows.
const FORM: u8 = 1;
/// Bytes of the proof: half of BLAKE3's, beyond any guess.
const PROOF: usize = 16;
/// Longer ones are not sent, and not read.
pub const LONGEST: usize = 8192;
/// Names whose counters are remembered; a fleet has fewer, and only who knows the key gets here.
const SENDERS: usize = 4096;

/// Questions are numbered from one.
pub const NO_QUESTION: u64 = 0;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Of the membership protocol.
    Swim(Vec<u8>),
    Ask {
        ballot: Ballot,
        electorate: u64,
    },
    Claim {
        ballot: Ballot,
        electorate: u64,
    },
    Vote {
        ballot: Ballot,
        answer: Answer,
    },
    /// `seen` is the newest tenure that the sender knows of.
    Request {
        nonce: u64,
        seen: Ballot,
        electorate: u64,
        leaving: bool,
        entries: Vec<Entry>,
    },
    Reply {
        nonce: u64,
        to: u64,
        epoch: Ballot,
        grants: Vec<Grant>,
    },
    /// Not the keeper; the name of who may be. With [`NO_QUESTION`] it answers a process that a later one of its name is
    /// known to have followed: `to` is the incarnation of that one.
    Elsewhere {
        nonce: u64,
        to: u64,
        keeper: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    pub from: Process,
    pub to: String,
    count: u64,
    pub body: Body,
}

impl Letter {
    /// One that was never sealed, from a member to itself.
    pub fn new(from: Process, to: String, body: Body) -> Letter {
        Letter { from, to, count: 0, body }
    }
}

/// Why a datagram was not taken in.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// It is no datagram of this fleet, or was changed on its way.
    Unproved,
    /// It is for somebody else.
    Astray,
    /// It came before.
    Old,
    /// A larger incarnation of its sender's name is known. Either it was sent before that one started, or by a process
    /// whose wall clock was stepped back.
    Superseded { letter: Box<Letter>, known: u64 },
}

/// The last counters of a sender that came: the highest, and which of the 64 before it.
#[derive(Clone, Copy, Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    came: u64,
}

pub struct Seal {
    key: [u8; 32],
    me: Process,
    count: u64,
    windows: BTreeMap<String, Window>,
}

impl Seal {
    /// The key is derived from whatever the key file holds.
    pub fn new(secret: &[u8], me: Process) -> Seal {
        let key = blake3::derive_key("ottersill fleet datagrams 1", secret);
        Seal { key, me, count: 0, windows: BTreeMap::new() }
    }

    /// What is sent from now on is that process's.
    pub fn restart_as(&mut self, me: Process) {
        self.me = me;
    }

    fn proof(&self, letter: &[u8]) -> [u8; PROOF] {
        let hash = blake3::keyed_hash(&self.key, letter);
        std::array::from_fn(|index| hash.as_bytes()[index])
    }

    /// The datagram for a member; none if it would be too long.
    pub fn close(&mut self, to: &str, body: Body) -> Option<Vec<u8>> {
        self.count += 1;
        let letter = Letter { from: self.me.clone(), to: to.to_string(), count: self.count, body };
        let letter = postcard::to_stdvec(&letter).ok()?;
        let mut datagram = Vec::with_capacity(1 + PROOF + letter.len());
        datagram.push(FORM);
        datagram.extend(self.proof(&letter));
        datagram.extend(letter);
        (datagram.len() <= LONGEST).then_some(datagram)
    }

    pub fn open(&mut self, datagram: &[u8]) -> Result<Letter, Refusal> {
        let Some((&FORM, rest)) = datagram.split_first() else { return Err(Refusal::Unproved) };
        let (proof, letter) = rest.split_at_checked(PROOF).ok_or(Refusal::Unproved)?;
        // BLAKE3's own comparison takes the same time for each wrong proof.
        let mut whole = *blake3::keyed_hash(&self.key, letter).as_bytes();
        whole[..PROOF].copy_from_slice(proof);
        if blake3::keyed_hash(&self.key, letter) != blake3::Hash::from_bytes(whole) {
            return Err(Refusal::Unproved);
        }
        let letter: Letter = postcard::from_bytes(letter).map_err(|_| Refusal::Unproved)?;
        if letter.to != self.me.name || letter.from == self.me {
            return Err(Refusal::Astray);
        }
        if let Some(known) = self.later_than(&letter.from) {
            return Err(Refusal::Superseded { letter: Box::new(letter), known });
        }
        self.note(&letter.from, letter.count).then_some(letter).ok_or(Refusal::Old)
    }

    /// The incarnation of its name that is known here, if that is larger.
    fn later_than(&self, process: &Process) -> Option<u64> {
        let known = self.windows.get(&process.name).map(|window| window.incarnation);
        known.filter(|known| *known > process.incarnation)
    }

    /// False for what came before.
    fn note(&mut self, from: &Process, count: u64) -> bool {
        let new = Window { incarnation: from.incarnation, highest: 0, came: 0 };
        if !self.windows.contains_key(&from.name) && self.windows.len() >= SENDERS {
            return false;
        }
        let window = self.windows.entry(from.name.clone()).or_insert(new);
        if from.incarnation > window.incarnation {
            *window = new;
        }
        if count > window.highest {
            let by = count - window.highest;
            window.came = window.came.checked_shl(by as u32).filter(|_| by < 64).unwrap_or(0) | 1;
            window.highest = count;
            return true;
        }
        let bit = 1u64.checked_shl((window.highest - count).min(64) as u32).unwrap_or(0);
        let fresh = bit != 0 && window.came & bit == 0;
        window.came |= bit;
        fresh
    }
}
