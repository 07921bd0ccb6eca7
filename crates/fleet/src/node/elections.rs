//! The voter and the candidate of a node that is one of the voters.

use crate::election::{Ballot, Candidate, CandidateRequest, Voter, VoterReply};
use crate::settings::FleetConfig;

/// Delay between the first attempts of two candidates with adjacent voter indices, as a fraction of the leader lease.
const FIRST_ELECTION_STAGGER_LEASE_FRACTION: f64 = 0.1;

pub(super) struct Elections {
    voter: Option<Voter>,
    candidate: Option<Candidate>,
    /// Whether this process was leader at the last [`leadership_change`](Elections::leadership_change).
    was_leader: bool,
}

impl Elections {
    pub(super) fn start(now: f64, config: &FleetConfig, incarnation: u64) -> Elections {
        let (lease, voters) = (config.leader_lease_seconds, config.voters.len());
        let voter = config.voter_index().map(|_| Voter::start(now, lease));
        let candidate = config.voter_index().map(|voter_index| {
            // A voter that has just started grants nothing for one full lease.
            let initial_delay =
                lease * (1.0 + FIRST_ELECTION_STAGGER_LEASE_FRACTION * f64::from(voter_index));
            Candidate::start(now, voter_index, incarnation, voters, config.holder_lease(lease), initial_delay)
        });
        Elections { voter, candidate, was_leader: false }
    }

    /// Continues as a process with another incarnation. The voter keeps its grant; the candidate starts over.
    pub(super) fn restart_as(&mut self, incarnation: u64) {
        if let Some(candidate) = &mut self.candidate {
            candidate.restart_as(incarnation);
        }
    }

    /// Returns the term, if this process is leader at `now`.
    pub(super) fn term(&self, now: f64) -> Option<Ballot> {
        self.candidate.as_ref().and_then(|candidate| candidate.term(now))
    }

    pub(super) fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Returns the ballot to which this node's voter has granted the leader lease.
    pub(super) fn known_leader(&self, now: f64) -> Option<Ballot> {
        self.voter.as_ref().and_then(|voter| voter.holder(now))
    }

    pub(super) fn tick(&mut self, now: f64) -> Option<CandidateRequest> {
        let other_leader_known = self.term(now).is_none() && self.known_leader(now).is_some();
        self.candidate.as_mut()?.tick(now, other_leader_known)
    }

    pub(super) fn handle_candidate_request(
        &mut self,
        now: f64,
        request: CandidateRequest,
    ) -> Option<VoterReply> {
        let voter = self.voter.as_mut()?;
        match request {
            CandidateRequest::Prepare(ballot) => voter.handle_prepare(now, ballot),
            CandidateRequest::Accept(ballot) => voter.handle_accept(now, ballot),
        }
    }

    pub(super) fn handle_reply(
        &mut self,
        now: f64,
        voter_index: u16,
        ballot: Ballot,
        reply: VoterReply,
    ) -> Option<CandidateRequest> {
        self.candidate.as_mut()?.handle_reply(now, voter_index, ballot, reply)
    }

    /// See [`Candidate::observe_newer_term`].
    pub(super) fn observe_newer_term(&mut self, now: f64, seen: Ballot) {
        if let Some(candidate) = &mut self.candidate {
            candidate.observe_newer_term(now, seen);
        }
    }

    pub(super) fn resign(&mut self) {
        if let Some(candidate) = &mut self.candidate {
            candidate.resign();
        }
    }

    /// Returns whether this process is leader, if that has changed since the last call.
    pub(super) fn leadership_change(&mut self, now: f64) -> Option<bool> {
        let is_leader = self.term(now).is_some();
        let changed = std::mem::replace(&mut self.was_leader, is_leader) != is_leader;
        changed.then_some(is_leader)
    }

    pub(super) fn next_timeout(&self) -> f64 {
        self.candidate.as_ref().map_or(f64::INFINITY, Candidate::next_timeout)
    }
}
