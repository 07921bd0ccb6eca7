//! Leader election: a lease that a majority of the voters grants to one of them, without persistent storage.
//!
//! The protocol is Paxos with a value that expires. A voter that has just started may have lost the record of a grant, so
//! it grants nothing for one full lease. The lease of a candidate begins before it sends the request, and has the
//! shorter duration of [`FleetConfig::holder_lease`](crate::settings::FleetConfig::holder_lease); for a voter, the full
//! lease begins when it grants it. A leader that was suspended therefore knows by its own clock, without any message, that
//! its lease has expired before any voter grants the next one.

use crate::convert::units_to_f64;

use serde::{Deserialize, Serialize};

/// Orders the election attempts of all candidates, and identifies the terms of leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each attempt.
    pub round: u64,
    /// The candidate's index among the voters.
    pub voter_index: u16,
    /// The candidate's incarnation, which distinguishes processes of one voter.
    pub incarnation: u64,
}

impl Ballot {
    fn is_from_same_process(self, other: Ballot) -> bool {
        (self.voter_index, self.incarnation) == (other.voter_index, other.incarnation)
    }
}

/// A voter's answer to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterReply {
    /// The voter accepts no lower ballot from now on.
    Promised {
        /// Whether another candidate currently holds the lease.
        held: bool,
    },
    /// The voter has already promised this higher ballot.
    Preempted(Ballot),
    /// The voter grants the lease.
    Granted,
}

/// A request that a candidate sends to all voters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CandidateRequest {
    /// Requests a promise: phase one of Paxos.
    Prepare(Ballot),
    /// Requests the lease: phase two of Paxos.
    Accept(Ballot),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum VoterState {
    /// Just started: a grant made before the restart may still be in force.
    Recovering {
        until: f64,
    },
    Free,
    Granted {
        to: Ballot,
        until: f64,
    },
}

/// The acceptor of a member: grants the leader lease to a candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    state: VoterState,
    /// The highest ballot promised so far.
    promised: Ballot,
    /// Seconds for which a grant is in force.
    lease: f64,
}

impl Voter {
    /// Creates a voter that starts now and knows no earlier grants. `lease` is in seconds.
    pub fn start(now: f64, lease: f64) -> Voter {
        Voter { state: VoterState::Recovering { until: now + lease }, promised: Ballot::default(), lease }
    }

    /// Applies the state changes that are due by `now`: the end of the recovery or of a grant.
    fn update_state(&mut self, now: f64) {
        self.state = match self.state {
            VoterState::Recovering { until } | VoterState::Granted { until, .. } if now >= until => {
                VoterState::Free
            }
            state => state,
        };
    }

    /// Returns the ballot to which this voter has granted the lease, while the grant is in force.
    pub fn holder(&self, now: f64) -> Option<Ballot> {
        match self.state {
            VoterState::Granted { to, until } if now < until => Some(to),
            _ => None,
        }
    }

    /// Answers [`CandidateRequest::Prepare`]; returns `None` while the voter recovers.
    pub fn handle_prepare(&mut self, now: f64, ballot: Ballot) -> Option<VoterReply> {
        self.update_state(now);
        let held = match self.state {
            VoterState::Recovering { .. } => return None,
            VoterState::Granted { to, .. } => !to.is_from_same_process(ballot),
            VoterState::Free => false,
        };
        if ballot < self.promised {
            return Some(VoterReply::Preempted(self.promised));
        }
        self.promised = ballot;
        Some(VoterReply::Promised { held })
    }

    /// Answers [`CandidateRequest::Accept`]; returns `None` while the voter recovers.
    pub fn handle_accept(&mut self, now: f64, ballot: Ballot) -> Option<VoterReply> {
        self.update_state(now);
        match self.state {
            VoterState::Recovering { .. } => None,
            _ if ballot < self.promised => Some(VoterReply::Preempted(self.promised)),
            VoterState::Granted { to, .. } if !to.is_from_same_process(ballot) => {
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

/// A set of voter indices, one bit for each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct VoterSet(u64);

impl VoterSet {
    fn with(self, voter_index: u16) -> VoterSet {
        VoterSet(self.0 | 1u64.checked_shl(u32::from(voter_index)).unwrap_or(0))
    }

    fn is_majority_of(self, voter_count: usize) -> bool {
        2 * self.0.count_ones() as usize > voter_count
    }
}

/// One request to all voters, until a majority of them has agreed to it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Attempt {
    ballot: Ballot,
    /// When the request was first sent. A lease begins then.
    sent_at: f64,
    /// When the request is repeated or given up.
    deadline: f64,
    /// The voters that have agreed.
    agreed: VoterSet,
    /// Whether a voter has promised a higher ballot, or has granted the lease to another candidate.
    is_refused: bool,
}

impl Attempt {
    fn start(now: f64, ballot: Ballot, answer_timeout: f64) -> Attempt {
        let deadline = now + answer_timeout;
        Attempt { ballot, sent_at: now, deadline, agreed: VoterSet::default(), is_refused: false }
    }

    fn agreed_by(self, voter_index: u16) -> Attempt {
        Attempt { agreed: self.agreed.with(voter_index), ..self }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CandidateState {
    /// Idle until the next attempt.
    Waiting { next_attempt_at: f64 },
    /// Collecting promises.
    Preparing(Attempt),
    /// Collecting grants.
    Accepting(Attempt),
}

/// Time after which a candidate repeats a request that has neither a majority nor a refusal, as a fraction of its lease. Answers to
/// the earlier request count all the same: they may take longer than this.
const ANSWER_TIMEOUT_LEASE_FRACTION: f64 = 0.25;
/// Times that a leader attempts to renew its lease in the course of one lease.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// Shortest delay before another attempt, as a fraction of the lease.
const MIN_RETRY_DELAY_LEASE_FRACTION: f64 = 0.15;
/// Difference between two adjacent retry delays, as a fraction of the lease.
const RETRY_DELAY_STEP_LEASE_FRACTION: f64 = 0.02;
/// Number of different retry delays.
const RETRY_DELAY_STEPS: u64 = 11;

/// The proposer of a voter: stands for election as leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    state: CandidateState,
    /// Template of this candidate's ballots; its round is not used.
    base_ballot: Ballot,
    voter_count: usize,
    /// Seconds for which a granted lease is used; shorter than the voters' lease.
    holder_lease: f64,
    /// When this candidate's leadership ends.
    leader_until: f64,
    /// The ballot with which this candidate became leader. It identifies the term until the leadership lapses.
    term: Ballot,
    /// The highest round seen so far, in own ballots and in those of other candidates.
    highest_round: u64,
}

impl Candidate {
    /// Creates a candidate that first stands for election after `initial_delay` seconds, which should differ between
    /// candidates. `holder_lease` is the duration from
    /// [`FleetConfig::holder_lease`](crate::settings::FleetConfig::holder_lease), in seconds.
    pub fn start(
        now: f64,
        voter_index: u16,
        incarnation: u64,
        voter_count: usize,
        holder_lease: f64,
        initial_delay: f64,
    ) -> Candidate {
        let base_ballot = Ballot { round: 0, voter_index, incarnation };
        Candidate {
            state: CandidateState::Waiting { next_attempt_at: now + initial_delay },
            base_ballot,
            voter_count,
            holder_lease,
            leader_until: f64::NEG_INFINITY,
            term: base_ballot,
            highest_round: 0,
        }
    }

    /// Returns the term, if this candidate is leader at `now`.
    pub fn term(&self, now: f64) -> Option<Ballot> {
        (now < self.leader_until).then_some(self.term)
    }

    /// Returns when [`tick`](Candidate::tick) is due.
    pub fn next_timeout(&self) -> f64 {
        match self.state {
            CandidateState::Waiting { next_attempt_at } => next_attempt_at,
            CandidateState::Preparing(attempt) | CandidateState::Accepting(attempt) => attempt.deadline,
        }
    }

    /// Changes the state; no other function assigns it.
    fn transition(&mut self, next: CandidateState) {
        self.state = next;
    }

    /// Returns the seconds to wait after a failed attempt. The delay differs by candidate and round, so that two
    /// candidates whose attempts collided do not collide indefinitely.
    fn retry_delay(&self) -> f64 {
        let step = (u64::from(self.base_ballot.voter_index) * 7 + self.highest_round * 3) % RETRY_DELAY_STEPS;
        self.holder_lease
            * (MIN_RETRY_DELAY_LEASE_FRACTION + RETRY_DELAY_STEP_LEASE_FRACTION * units_to_f64(step))
    }

    fn answer_timeout(&self) -> f64 {
        self.holder_lease * ANSWER_TIMEOUT_LEASE_FRACTION
    }

    /// Stands for election when an attempt is due; a leader does so well before its lease expires. `other_leader_known`
    /// says that another member is known to be leader. Returns the request to send to all voters, if any.
    pub fn tick(&mut self, now: f64, other_leader_known: bool) -> Option<CandidateRequest> {
        if now < self.next_timeout() {
            return None;
        }
        let may_stand = !other_leader_known || self.term(now).is_some();
        match self.state {
            CandidateState::Waiting { .. } if may_stand => Some(self.prepare(now)),
            CandidateState::Preparing(attempt) if may_stand && self.may_repeat(now, attempt) => {
                self.transition(CandidateState::Preparing(self.repeated(now, attempt)));
                Some(CandidateRequest::Prepare(attempt.ballot))
            }
            CandidateState::Accepting(attempt) if self.may_repeat(now, attempt) => {
                self.transition(CandidateState::Accepting(self.repeated(now, attempt)));
                Some(CandidateRequest::Accept(attempt.ballot))
            }
            _ => {
                self.transition(CandidateState::Waiting { next_attempt_at: now + self.retry_delay() });
                None
            }
        }
    }

    /// Begins an attempt with a ballot higher than all that were seen.
    fn prepare(&mut self, now: f64) -> CandidateRequest {
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, ..self.base_ballot };
        self.transition(CandidateState::Preparing(Attempt::start(now, ballot, self.answer_timeout())));
        CandidateRequest::Prepare(ballot)
    }

    /// Whether the answers to a request may still come to a majority that is worth having: a lease counts from the first request.
    fn may_repeat(&self, now: f64, attempt: Attempt) -> bool {
        !attempt.is_refused && now < attempt.sent_at + self.holder_lease
    }

    fn repeated(&self, now: f64, attempt: Attempt) -> Attempt {
        Attempt { deadline: now + self.answer_timeout(), ..attempt }
    }

    /// Handles a voter's reply to a request with `ballot`. Returns the next request to send to all voters, if any.
    pub fn handle_reply(
        &mut self,
        now: f64,
        voter_index: u16,
        ballot: Ballot,
        reply: VoterReply,
    ) -> Option<CandidateRequest> {
        if let VoterReply::Preempted(higher) = reply {
            self.highest_round = self.highest_round.max(higher.round);
        }
        match (self.state, reply) {
            (CandidateState::Preparing(attempt), VoterReply::Promised { held: false })
                if attempt.ballot == ballot && now < attempt.sent_at + self.holder_lease =>
            {
                self.handle_promise(now, attempt.agreed_by(voter_index))
            }
            (CandidateState::Accepting(attempt), VoterReply::Granted) if attempt.ballot == ballot => {
                self.handle_grant(now, attempt.agreed_by(voter_index));
                None
            }
            (_, VoterReply::Preempted(_) | VoterReply::Promised { held: true }) => {
                self.handle_refusal(ballot);
                None
            }
            _ => None,
        }
    }

    fn handle_promise(&mut self, now: f64, attempt: Attempt) -> Option<CandidateRequest> {
        if !attempt.agreed.is_majority_of(self.voter_count) {
            self.transition(CandidateState::Preparing(attempt));
            return None;
        }
        let next = Attempt::start(now, attempt.ballot, self.answer_timeout());
        self.transition(CandidateState::Accepting(next));
        Some(CandidateRequest::Accept(attempt.ballot))
    }

    fn handle_grant(&mut self, now: f64, attempt: Attempt) {
        if !attempt.agreed.is_majority_of(self.voter_count) {
            self.transition(CandidateState::Accepting(attempt));
            return;
        }
        // A lapsed term is not resumed, because another candidate may have been leader since.
        if self.term(now).is_none() {
            self.term = attempt.ballot;
        }
        self.leader_until = self.leader_until.max(attempt.sent_at + self.holder_lease);
        // Counted from when the lease began: the longer the voters take, the less of it is left to renew it.
        let renew_at = attempt.sent_at + self.holder_lease / RENEWALS_PER_LEASE;
        self.transition(CandidateState::Waiting { next_attempt_at: renew_at.max(now) });
    }

    /// Handles a voter's refusal of a request with `ballot`, which is not repeated after that.
    fn handle_refusal(&mut self, ballot: Ballot) {
        let refused = |attempt: Attempt| Attempt { is_refused: true, ..attempt };
        match self.state {
            CandidateState::Preparing(attempt) if attempt.ballot == ballot => {
                self.transition(CandidateState::Preparing(refused(attempt)));
            }
            CandidateState::Accepting(attempt) if attempt.ballot == ballot => {
                self.transition(CandidateState::Accepting(refused(attempt)));
            }
            _ => {}
        }
    }

    /// Handles that a member has seen a term later than any of this candidate's, which happens because restarted voters
    /// count rounds from one again. Ends this candidate's own term, and makes its next term later than `seen`.
    pub fn observe_newer_term(&mut self, now: f64, seen: Ballot) {
        self.highest_round = self.highest_round.max(seen.round);
        self.leader_until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { next_attempt_at: now });
    }

    /// Continues as a process with another incarnation: ends the term and ignores replies to earlier ballots.
    pub fn restart_as(&mut self, incarnation: u64) {
        self.base_ballot.incarnation = incarnation;
        self.leader_until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { next_attempt_at: self.next_timeout() });
    }

    /// Ends the leadership, and never stands for election again.
    pub fn resign(&mut self) {
        self.leader_until = f64::NEG_INFINITY;
        self.transition(CandidateState::Waiting { next_attempt_at: f64::INFINITY });
    }
}
