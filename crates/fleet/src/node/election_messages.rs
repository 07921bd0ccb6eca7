//! Election messages: requests of candidates to voters, and the voters' replies.

use super::FleetNode;
use crate::election::{Ballot, CandidateRequest, VoterReply};
use crate::envelope::Message;
use crate::settings::Process;

impl FleetNode {
    pub(super) fn send_to_voters(&mut self, request: CandidateRequest) {
        let shared_settings_hash = self.shared_settings_hash;
        for voter in self.config.voters.clone() {
            let message = match request {
                CandidateRequest::Prepare(ballot) => Message::Prepare { ballot, shared_settings_hash },
                CandidateRequest::Accept(ballot) => Message::Accept { ballot, shared_settings_hash },
            };
            self.send(&voter, message);
        }
    }

    pub(super) fn handle_candidate_request(
        &mut self,
        now: f64,
        from: &Process,
        shared_settings_hash: u64,
        ballot: Ballot,
        request: CandidateRequest,
    ) {
        if !self.elections.is_voter() {
            return;
        }
        let is_own_ballot =
            self.voter_name(ballot) == Some(from.name.as_str()) && ballot.incarnation == from.incarnation;
        if shared_settings_hash != self.shared_settings_hash || !is_own_ballot {
            return self.report_incompatible(from);
        }
        if let Some(reply) = self.elections.handle_candidate_request(now, request) {
            self.send(&from.name, Message::VoterReply { ballot, reply });
        }
    }

    pub(super) fn handle_voter_reply(&mut self, now: f64, from: &Process, ballot: Ballot, reply: VoterReply) {
        let Some(voter_index) = self.config.index_of_voter(&from.name) else { return };
        if let Some(request) = self.elections.handle_reply(now, voter_index, ballot, reply) {
            self.send_to_voters(request);
        }
    }

    pub(super) fn voter_name(&self, ballot: Ballot) -> Option<&str> {
        self.config.voters.get(usize::from(ballot.voter_index)).map(String::as_str)
    }
}
