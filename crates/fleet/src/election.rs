//! Who is leader: a lease that a majority of the voters grants to one of them, without a disk.
//!
//! It is Paxos with a value that expires. A voter that has just started may have forgotten what it granted, so it grants
//! nothing for a whole lease. A candidate counts its lease from before it asked for it, and counts it short
//! ([`FleetConfig::holder_lease`](crate::settings::FleetConfig::holder_lease)); a voter counts it in full, from when it
//! granted it. So a leader that was suspended knows by its own clock that its lease is over before any voter grants the
//! next one, and it needs no message for that.

use crate::convert::units_to_f64;

use serde::{Deserialize, Serialize};

/// Orders the attempts of all candidates, and names the terms of leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with each attempt.
    pub round: u64,
    /// The candidate's index among the voters.
    pub voter_index: u16,
    /// The candidate's incarnation: keeps apart two processes of one voter.
    pub incarnation: u64,
}

impl Ballot {
    fn is_of_same_process(self, other: Ballot) -> bool {
        (self.voter_index, self.incarnation) == (other.voter_index, other.incarnation)
    }
}

/// A voter's answer to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterReply {
    /// No lower ballot will be accepted.
    Promised {
        /// Whether another candidate holds the lease now.
        held: bool,
    },
    /// That higher ballot was promised before.
    Outbid(Ballot),
    /// The lease is granted.
    Granted,
}

/// A message of a candidate to all voters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CandidateCall {
    /// Asks for a promise: phase one of Paxos.
    Prepare(Ballot),
    /// Asks for the lease: phase two.
    Accept(Ballot),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum VoterState {
    /// Just started: what was granted before may still be in force.
    Recovering {
        until: f64,
    },
    Free,
    Granted {
        to: Ballot,
        until: f64,
    },
}

/// The part of a member that grants the lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    state: VoterState,
    promised: Ballot,
    lease: f64,
}

impl Voter {
    /// A voter that starts now with nothing in memory; `lease` in seconds.
    pub fn start(now: f64, lease: f64) -> Voter {
        Voter { state: VoterState::Recovering { until: now + lease }, promised: Ballot::default(), lease }
    }

    /// Every change of the state that time brings.
    fn update_state(&mut self, now: f64) {
        self.state = match self.state {
            VoterState::Recovering { until } | VoterState::Granted { until, .. } if now >= until => {
                VoterState::Free
            }
            state => state,
        };
    }

    /// The candidate that this voter has granted the lease to, while that is in force.
    pub fn holder(&self, now: f64) -> Option<Ballot> {
        match self.state {
            VoterState::Granted { to, until } if now < until => Some(to),
            _ => None,
        }
    }

    /// The answer to [`CandidateCall::Prepare`]; none while it recovers.
    pub fn handle_prepare(&mut self, now: f64, ballot: Ballot) -> Option<VoterReply> {
        self.update_state(now);
        let held = match self.state {
            VoterState::Recovering { .. } => return None,
            VoterState::Granted { to, .. } => !to.is_of_same_process(ballot),
            VoterState::Free => false,
        };
        if ballot < self.promised {
            return Some(VoterReply::Outbid(self.promised));
        }
        self.promised = ballot;
        Some(VoterReply::Promised { held })
    }

    /// The answer to [`CandidateCall::Accept`]; none while it recovers.
    pub fn handle_accept(&mut self, now: f64, ballot: Ballot) -> Option<VoterReply> {
        self.update_state(now);
        match self.state {
            VoterState::Recovering { .. } => None,
            _ if ballot < self.promised => Some(VoterReply::Outbid(self.promised)),
            VoterState::Granted { to, .. } if !to.is_of_same_process(ballot) => {
                Some(VoterReply::Promised { held: true })
            }
            _ => {
                self.promised = ballot;
                self.state = VoterState::Granted { to: ballot, until: now + self.lease };
                Some(VoterReply::Granted)
            }
        }
    }
}

/// A set of voters, a bit for each index.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct VoterSet(u64);

impl VoterSet {
    fn with(self, voter_index: u16) -> VoterSet {
        VoterSet(self.0 | 1u64.checked_shl(u32::from(voter_index)).unwrap_or(0))
    }

    fn is_majority_of(self, voters: usize) -> bool {
        2 * self.0.count_ones() as usize > voters
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CandidateState {
    Waiting { again_at: f64 },
    Preparing { ballot: Ballot, until: f64, promised: VoterSet },
    Accepting { ballot: Ballot, sent_at: f64, until: f64, granted: VoterSet },
}

/// A candidate waits for so much of its lease for the answers to one message.
const ANSWER_WAIT: f64 = 0.25;
/// A leader asks for its next lease so many times in one.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// The part of a voter that stands for election.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    state: CandidateState,
    /// Its ballots but for the round.
    ballot: Ballot,
    voters: usize,
    /// Counted short.
    lease: f64,
    /// It is leader until then.
    leader_until: f64,
    /// The ballot that it became leader with: names the term as long as that is not interrupted.
    term: Ballot,
    highest_round: u64,
}

impl Candidate {
    /// A candidate that first stands for election after `wait` seconds; `wait` is best different at each. `lease` is
    /// counted short.
    pub fn start(
        now: f64,
        voter_index: u16,
        incarnation: u64,
        voters: usize,
        lease: f64,
        wait: f64,
    ) -> Candidate {
        let ballot = Ballot { round: 0, voter_index, incarnation };
        Candidate {
            state: CandidateState::Waiting { again_at: now + wait },
            ballot,
            voters,
            lease,
            leader_until: f64::NEG_INFINITY,
            term: ballot,
            highest_round: 0,
        }
    }

    /// The term, if it is leader at this instant.
    pub fn term(&self, now: f64) -> Option<Ballot> {
        (now < self.leader_until).then_some(self.term)
    }

    /// When [`tick`](Candidate::tick) is due.
    pub fn next_timeout(&self) -> f64 {
        match self.state {
            CandidateState::Waiting { again_at } => again_at,
            CandidateState::Preparing { until, .. } | CandidateState::Accepting { until, .. } => until,
        }
    }

    /// Every change of the state.
    fn transition(&mut self, next: CandidateState) {
        self.state = next;
    }

    /// How long to wait after an attempt that failed. It differs by candidate and round, so that two that collided do not
    /// collide for ever.
    fn retry_wait(&self) -> f64 {
        let spread = (u64::from(self.ballot.voter_index) * 7 + self.highest_round * 3) % 11;
        self.lease * (0.15 + 0.02 * units_to_f64(spread))
    }

    /// Stands for election where that is due; a leader does so well before its lease is over. `other_leader` says that
    /// another is known to be leader.
    pub fn tick(&mut self, now: f64, other_leader: bool) -> Option<CandidateCall> {
        if now < self.next_timeout() {
            return None;
        }
        let waiting = matches!(self.state, CandidateState::Waiting { .. });
        if waiting && (!other_leader || self.term(now).is_some()) {
            self.highest_round += 1;
            let ballot = Ballot { round: self.highest_round, ..self.ballot };
            let until = now + self.lease * ANSWER_WAIT;
            self.transition(CandidateState::Preparing { ballot, until, promised: VoterSet::default() });
            return Some(CandidateCall::Prepare(ballot));
        }
        self.transition(CandidateState::Waiting { again_at: now + self.retry_wait() });
        None
    }

    /// A voter's reply to that ballot. Returns what to send to all voters next.
    pub fn handle_reply(
        &mut self,
        now: f64,
        voter_index: u16,
        ballot: Ballot,
        reply: VoterReply,
    ) -> Option<CandidateCall> {
        if let VoterReply::Outbid(by) = reply {
            self.highest_round = self.highest_round.max(by.round);
        }
        match (self.state, reply) {
            (
                CandidateState::Preparing { ballot: own, until, promised },
                VoterReply::Promised { held: false },
            ) if own == ballot && now < until => {
                self.handle_promise(now, ballot, until, promised.with(voter_index))
            }
            (CandidateState::Accepting { ballot: own, sent_at, until, granted }, VoterReply::Granted)
                if own == ballot =>
            {
                self.handle_grant(now, ballot, (sent_at, until), granted.with(voter_index));
                None
            }
            _ => None,
        }
    }

    fn handle_promise(
        &mut self,
        now: f64,
        ballot: Ballot,
        until: f64,
        promised: VoterSet,
    ) -> Option<CandidateCall> {
        if !promised.is_majority_of(self.voters) {
            self.transition(CandidateState::Preparing { ballot, until, promised });
            return None;
        }
        let accepted_by = now + self.lease * ANSWER_WAIT;
        let granted = VoterSet::default();
        self.transition(CandidateState::Accepting { ballot, sent_at: now, until: accepted_by, granted });
        Some(CandidateCall::Accept(ballot))
    }

    fn handle_grant(&mut self, now: f64, ballot: Ballot, (sent_at, until): (f64, f64), granted: VoterSet) {
        if !granted.is_majority_of(self.voters) {
            self.transition(CandidateState::Accepting { ballot, sent_at, until, granted });
            return;
        }
        // A term that lapsed is over, as another may have been leader since.
        if self.term(now).is_none() {
            self.term = ballot;
        }
        self.leader_until = self.leader_until.max(sent_at + self.lease);
        self.transition(CandidateState::Waiting { again_at: now + self.lease / RENEWALS_PER_LEASE });
    }

    /// A member has seen a term later than any of this candidate's: voters that started again count rounds from one. Its
    /// own term is over, so that its next one is later than the one seen.
    pub fn observe_newer_term(&mut self, now: f64, seen: Ballot) {
        self.highest_round = self.highest_round.max(seen.round);
        self.leader_until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { again_at: now });
    }

    /// Goes on as another process: its term is over, and replies to its earlier ballots count for nothing.
    pub fn restart_as(&mut self, incarnation: u64) {
        self.ballot.incarnation = incarnation;
        self.leader_until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { again_at: self.next_timeout() });
    }

    /// Is leader no longer, and stands for election never again.
    pub fn resign(&mut self) {
        self.leader_until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { again_at: f64::INFINITY });
    }
}
