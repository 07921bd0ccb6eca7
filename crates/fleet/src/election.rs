//! Who keeps the books: a lease that a majority of the voters grants to one of them, without a disk.
//!
//! It is Paxos with a value that expires. A voter that has just started may have forgotten what it granted, so it
//! rests for a whole lease. A candidate counts its lease from before it claimed, and counts it short
//! ([`Charter::short`](crate::settings::Charter::short)); a voter counts it long, from when the claim came. So a keeper
//! that was stopped for too long is none any more by its own clock before any voter grants the next lease, and it
//! needs to hear of nobody for that.

use serde::{Deserialize, Serialize};

/// Orders the attempts of all candidates. The incarnation keeps apart two processes that sit on one seat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub voter_index: u16,
    pub incarnation: u64,
}

impl Ballot {
    fn same_process(self, other: Ballot) -> bool {
        (self.voter_index, self.incarnation) == (other.voter_index, other.incarnation)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum VoterState {
    /// What was granted before the start may still be in force.
    Resting {
        until: f64,
    },
    Free,
    Granted {
        to: Ballot,
        until: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterReply {
    /// No lower ballot will be granted; `held` while another holds the lease.
    Promised {
        held: bool,
    },
    /// That ballot was promised already.
    Outbid(Ballot),
    Granted,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    state: VoterState,
    promised: Ballot,
    lease: f64,
}

impl Voter {
    pub fn start(now: f64, lease: f64) -> Voter {
        Voter { state: VoterState::Resting { until: now + lease }, promised: Ballot::default(), lease }
    }

    /// Every change of the vote by time.
    fn transition(&mut self, now: f64) {
        self.state = match self.state {
            VoterState::Resting { until } | VoterState::Granted { until, .. } if now >= until => {
                VoterState::Free
            }
            state => state,
        };
    }

    /// To whom the lease is granted now, as far as this voter has a say.
    pub fn holder(&self, now: f64) -> Option<Ballot> {
        match self.state {
            VoterState::Granted { to, until } if now < until => Some(to),
            _ => None,
        }
    }

    /// What to answer a candidate that asks; nothing while resting.
    pub fn handle_prepare(&mut self, now: f64, ballot: Ballot) -> Option<VoterReply> {
        self.transition(now);
        let held = match self.state {
            VoterState::Resting { .. } => return None,
            VoterState::Granted { to, .. } => !to.same_process(ballot),
            VoterState::Free => false,
        };
        if ballot < self.promised {
            return Some(VoterReply::Outbid(self.promised));
        }
        self.promised = ballot;
        Some(VoterReply::Promised { held })
    }

    pub fn handle_accept(&mut self, now: f64, ballot: Ballot) -> Option<VoterReply> {
        self.transition(now);
        match self.state {
            VoterState::Resting { .. } => None,
            _ if ballot < self.promised => Some(VoterReply::Outbid(self.promised)),
            VoterState::Granted { to, .. } if !to.same_process(ballot) => {
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

#[derive(Clone, Copy, Debug, PartialEq)]
enum CandidateState {
    Waiting {
        again_at: f64,
    },
    /// Voters that have promised are bits of `yes`.
    Preparing {
        ballot: Ballot,
        until: f64,
        votes: u64,
    },
    Accepting {
        ballot: Ballot,
        sent_at: f64,
        until: f64,
        votes: u64,
    },
}

/// What a candidate wants sent to all voters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CandidateCall {
    Prepare(Ballot),
    Accept(Ballot),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    state: CandidateState,
    me: Ballot,
    voters: usize,
    /// The candidate's own, shorter count of the lease.
    lease: f64,
    /// It is the keeper until then.
    until: f64,
    /// The ballot with which it became keeper: names the tenure as long as it is not interrupted.
    term: Ballot,
    highest: u64,
}

impl Candidate {
    /// Starts to ask after `wait`, which is best unlike at all candidates.
    pub fn start(
        now: f64,
        voter_index: u16,
        incarnation: u64,
        voters: usize,
        lease: f64,
        wait: f64,
    ) -> Candidate {
        let me = Ballot { round: 0, voter_index, incarnation };
        let state = CandidateState::Waiting { again_at: now + wait };
        Candidate { state, me, voters, lease, until: f64::NEG_INFINITY, term: me, highest: 0 }
    }

    /// The tenure, if it is the keeper at this instant.
    pub fn term(&self, now: f64) -> Option<Ballot> {
        (now < self.until).then_some(self.term)
    }

    pub fn next_at(&self) -> f64 {
        match self.state {
            CandidateState::Waiting { again_at } => again_at,
            CandidateState::Preparing { until, .. } | CandidateState::Accepting { until, .. } => until,
        }
    }

    /// Every change of course.
    fn transition(&mut self, next: CandidateState) {
        self.state = next;
    }

    /// How long answers are waited for, and how long to rest after a try that failed: a part of the lease that differs
    /// by seat and round, so that two that met do not meet again for ever.
    fn pause(&self) -> f64 {
        let spread = (u64::from(self.me.voter_index) * 7 + self.highest * 3) % 11;
        self.lease * (0.15 + 0.02 * spread as f64)
    }

    /// Asks again where that is due. The keeper asks while a third of its time is over, not when all of it is.
    pub fn tick(&mut self, now: f64, other_leader: bool) -> Option<CandidateCall> {
        if now < self.next_at() {
            return None;
        }
        let starts = matches!(self.state, CandidateState::Waiting { .. });
        if starts && (!other_leader || self.term(now).is_some()) {
            self.highest += 1;
            let ballot = Ballot { round: self.highest, ..self.me };
            self.transition(CandidateState::Preparing { ballot, until: now + self.lease / 4.0, votes: 0 });
            return Some(CandidateCall::Prepare(ballot));
        }
        self.transition(CandidateState::Waiting { again_at: now + self.pause() });
        None
    }

    /// A voter's answer to that ballot.
    pub fn handle_reply(
        &mut self,
        now: f64,
        voter: u16,
        ballot: Ballot,
        reply: VoterReply,
    ) -> Option<CandidateCall> {
        if let VoterReply::Outbid(by) = reply {
            self.highest = self.highest.max(by.round);
        }
        let vote_bit = 1u64.checked_shl(u32::from(voter)).unwrap_or(0);
        let majority = |votes: u64| 2 * votes.count_ones() as usize > self.voters;
        match (self.state, reply) {
            (
                CandidateState::Preparing { ballot: own, until, votes },
                VoterReply::Promised { held: false },
            ) if own == ballot && now < until => {
                let votes = votes | vote_bit;
                if majority(votes) {
                    let until = now + self.lease / 4.0;
                    self.transition(CandidateState::Accepting { ballot, sent_at: now, until, votes: 0 });
                    return Some(CandidateCall::Accept(ballot));
                }
                self.transition(CandidateState::Preparing { ballot, until, votes });
            }
            (CandidateState::Accepting { ballot: own, sent_at, until, votes }, VoterReply::Granted)
                if own == ballot =>
            {
                let votes = votes | vote_bit;
                if majority(votes) {
                    // A tenure that lapsed is over, whatever follows: somebody else may have kept the books between.
                    if self.term(now).is_none() {
                        self.term = ballot;
                    }
                    self.until = self.until.max(sent_at + self.lease);
                    self.transition(CandidateState::Waiting { again_at: now + self.lease / 3.0 });
                } else {
                    self.transition(CandidateState::Accepting { ballot, sent_at, until, votes });
                }
            }
            _ => {}
        }
        None
    }

    /// A later tenure than any of this candidate's is known, as voters have been started again and rounds of theirs began
    /// anew. Its own is over, so that the next is later than that one.
    pub fn observe_newer_term(&mut self, now: f64, by: Ballot) {
        self.highest = self.highest.max(by.round);
        self.until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { again_at: now });
    }

    /// Goes on as another process: its tenure is over, and answers to its earlier calls count for nothing.
    pub fn restart_as(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { again_at: self.next_at() });
    }

    /// Leaves of its own will: no grant goes out after this.
    pub fn resign(&mut self) {
        self.until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { again_at: f64::INFINITY });
    }
}
