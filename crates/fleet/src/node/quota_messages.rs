//! Quota messages: requests to the leader, its replies, and the answers of members that are not leader.

use super::quota_client::ReplyOutcome;
use super::{FleetNode, Phase};
use crate::election::Ballot;
use crate::envelope::{Message, NO_REQUEST, NotLeader, QuotaReply, QuotaRequest};
use crate::settings::Process;

impl FleetNode {
    pub(super) fn send_requests(&mut self, now: f64) {
        let batch =
            self.quota_client.requests(now, &self.config, self.shared_settings_hash, &mut self.counters);
        for request in batch.requests {
            self.send(&batch.to, Message::QuotaRequest(request));
        }
    }

    /// Answers a request for units. Whether this process is leader is checked here, where the units are granted, and not
    /// when the event that led to this call began.
    pub(super) fn handle_quota_request(&mut self, now: f64, from: &Process, request: &QuotaRequest) {
        // A member with a different lease duration could still use units that others have been granted since.
        if request.shared_settings_hash != self.shared_settings_hash {
            return self.report_incompatible(from);
        }
        match self.term_for(now, request.newest_known_term) {
            Some(term) => {
                let reply = self.quota_server.handle_request(now, term, &self.config, from, request);
                if let Some(reply) = reply {
                    self.send(&from.name, Message::QuotaReply(reply));
                }
            }
            None => {
                let leader = self.elections.known_leader(now).and_then(|ballot| self.voter_name(ballot));
                let leader = leader.filter(|name| *name != self.config.name).map(str::to_string);
                let answer =
                    NotLeader { request_id: request.request_id, to_incarnation: from.incarnation, leader };
                self.send(&from.name, Message::NotLeader(answer));
            }
        }
    }

    /// Returns this process's term, if it is leader. A router that has seen a later term would reject each grant as
    /// outdated; in that case this process stands for election again to get a term that is later still.
    fn term_for(&mut self, now: f64, newest_known_term: Ballot) -> Option<Ballot> {
        let term = self.elections.term(now)?;
        if newest_known_term > term {
            self.elections.observe_newer_term(now, newest_known_term);
            return None;
        }
        Some(term)
    }

    pub(super) fn handle_quota_reply(&mut self, now: f64, from: &Process, reply: &QuotaReply) {
        let is_for_this_process =
            reply.to_incarnation == self.process().incarnation && self.phase == Phase::Joined;
        let outcome = if is_for_this_process {
            self.quota_client.handle_reply(now, &self.config, from, reply, &mut self.events)
        } else {
            ReplyOutcome::Stale
        };
        self.counters.stale += u64::from(outcome == ReplyOutcome::Stale);
    }

    pub(super) fn handle_not_leader(&mut self, now: f64, answer: NotLeader) {
        if answer.request_id == NO_REQUEST {
            self.handle_known_incarnation(now, answer.to_incarnation);
        } else if answer.to_incarnation != self.process().incarnation {
            self.counters.stale += 1;
        } else if self.phase == Phase::Joined {
            self.quota_client.handle_not_leader(now, answer);
        }
    }
}
