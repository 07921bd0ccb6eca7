//! Election messages: requests of candidates to voters, and the voters' replies.

use super::FleetNode;
use crate::election::{Ballot, CandidateCall, VoterReply};
use crate::envelope::Message;
use crate::settings::Process;

impl FleetNode {
    pub(super) fn send_to_voters(&mut self, call: CandidateCall) {
        let electorate = self.electorate;
        for voter in self.config.voters.clone() {
            let message = match call {
                CandidateCall::Prepare(ballot) => Message::Prepare { ballot, electorate },
                CandidateCall::Accept(ballot) => Message::Accept { ballot, electorate },
            };
            self.send(&voter, message);
        }
    }

    pub(super) fn handle_call(
        &mut self,
        now: f64,
        from: &Process,
        electorate: u64,
        ballot: Ballot,
        call: CandidateCall,
    ) {
        if !self.elections.is_voter() {
            return;
        }
        let is_own_ballot =
            self.voter_name(ballot) == Some(from.name.as_str()) && ballot.incarnation == from.incarnation;
        if electorate != self.electorate || !is_own_ballot {
            return self.report_incompatible(from);
        }
        if let Some(reply) = self.elections.handle_call(now, call) {
            self.send(&from.name, Message::VoterReply { ballot, reply });
        }
    }

    pub(super) fn handle_voter_reply(&mut self, now: f64, from: &Process, ballot: Ballot, reply: VoterReply) {
        let Some(voter_index) = self.config.index_of_voter(&from.name) else { return };
        if let Some(call) = self.elections.handle_reply(now, voter_index, ballot, reply) {
            self.send_to_voters(call);
        }
    }

    pub(super) fn voter_name(&self, ballot: Ballot) -> Option<&str> {
        self.config.voters.get(usize::from(ballot.voter_index)).map(String::as_str)
    }
}
