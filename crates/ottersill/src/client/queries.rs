//! Statements of clients: checked, classified, and handed to the routing module.

use bytes::Bytes;
use ottersill_routing::interface::{Request, WorkEstimate};
use ottersill_statement::classify;
use ottersill_statement::classify::StatementKind;
use ottersill_statement::fingerprint_cache::StatementInfo;
use slog::info;

use crate::client::connection::ConnectionPhase;
use crate::event_loop::EventLoop;
use crate::in_flight::{InFlightRequest, RequestPhase};
use crate::protocol::frame;
use crate::protocol::frame::ErrorCode;
use crate::protocol::statement_text::peek_time_left;
use crate::protocol::statement_text::{StatementComment, StatementText};

/// Statements sent behind one that are looked at before it is sent: their number bounds what each costs; those further behind
/// are looked at as it gets shorter.
pub const MAX_PIPELINED: usize = 16;

impl EventLoop {
    /// Checks a statement of a client, and hands it to the routing module. `arrived_at` is when its first byte came: the client
    /// counts from there, however long those ahead of it took.
    pub(crate) fn on_statement(&mut self, client: usize, text: &Bytes, arrived_at: f64) {
        let scan = self.fingerprints.scan(text);
        let (statement, comment) = match StatementText::parse(text, &scan) {
            Ok(parsed) => parsed,
            Err(reason) => return self.reject_query(client, ErrorCode::ProtocolViolation, reason),
        };
        let Some(workload) = self.catalog.workloads.iter().position(|name| name == comment.workload) else {
            return self.reject_query(client, ErrorCode::Unknown, "no workload has the name in c");
        };
        if self.endpoints.all.is_empty() {
            return self.reject_without_list(client);
        }
        let Some(group) = self.endpoints.group(comment.cluster) else {
            return self.reject_query(client, ErrorCode::Unknown, "no list has named this cluster");
        };
        if !self.clients[client].is_admitted {
            return self.reject_without_descriptor(client);
        }
        if self.requests.contains_id(comment.id) {
            // Sent on, it would be taken for a second copy of the one that is in flight.
            let reason = "a statement with this id is open";
            return self.reject_query(client, ErrorCode::ProtocolViolation, reason);
        }
        let info = self.fingerprints.lookup(self.clock.now(), workload, text, scan.fingerprint);
        if let Some(reason) = info.refusal {
            self.counters.session_queries += 1;
            return self.reject_query(client, ErrorCode::NotSupported, reason);
        }
        let may_write = info.kind != StatementKind::Read;
        if may_write && self.catalog.reads[workload] {
            self.counters.reads_treated_as_writes += 1;
            self.log_write_classification(workload, text, &info);
        }
        let deadline = self.statement_deadline(client, workload, &comment, arrived_at);
        let request = self.routing_request(workload, group, &comment, &info, deadline);
        let in_flight = InFlightRequest {
            phase: RequestPhase::Waiting,
            client,
            id: comment.id,
            text: statement,
            cache_key: info.key,
            deadline,
            may_have_run: false,
        };
        self.counters.statements += 1;
        self.start_request(request, |event_loop, request_id| event_loop.enter_request(request_id, in_flight));
    }

    /// Rejects a statement as no endpoint list has come yet. It was never sent, so coming again is harmless.
    fn reject_without_list(&mut self, client: usize) {
        self.counters.rejected_without_endpoint_list += 1;
        let error = self.rejection(self.max_retry_after, "rejected: no list of hosts has come yet");
        self.send_to_client(client, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// When a statement is given up: its own time, the time by which a router that stops has answered, or that of a
    /// statement behind it.
    fn statement_deadline(
        &mut self,
        client: usize,
        workload: usize,
        comment: &StatementComment,
        arrived_at: f64,
    ) -> f64 {
        let own = arrived_at + comment.time_left.min(self.catalog.timeouts[workload]);
        own.min(self.answers_by).min(self.earliest_pipelined_deadline(client))
    }

    /// What the routing module is told of a statement.
    fn routing_request(
        &self,
        workload: usize,
        group: usize,
        comment: &StatementComment,
        info: &StatementInfo,
        deadline: f64,
    ) -> Request {
        Request {
            workload,
            group,
            tenant: None,
            session: comment.session,
            time_left: (deadline - self.clock.now()).max(0.0),
            since_write: comment.after.map(|after| self.facade.since_commit(self.clock.now(), after)),
            repeat: comment.repeat,
            writes: info.kind != StatementKind::Read,
            work: info.estimate.map(|e| WorkEstimate { own: e.work, usual: e.typical, spread: e.spread }),
        }
    }

    /// A request is in flight from now on, under the number that the routing module gave it.
    fn enter_request(&mut self, request_id: usize, request: InFlightRequest) {
        let client = request.client;
        self.requests.insert(request_id, request, &mut self.counters);
        self.set_client_phase(client, ConnectionPhase::Busy(request_id));
        self.clients[client].has_queried = true;
    }

    /// By when this statement has to be out of the way of those that its client has sent behind it: answers go out in order,
    /// and one that waits for a longer one would come after its time.
    fn earliest_pipelined_deadline(&mut self, id: usize) -> f64 {
        let Some(client) = self.clients.get_mut(id) else { return f64::INFINITY };
        client.match_arrivals(self.clock.arrivals_since());
        let (mut at, mut due) = (0, f64::INFINITY);
        for _ in 0..MAX_PIPELINED {
            let Ok(Some(whole)) = frame::message_length(&client.inbox[at..]) else { break };
            let text = &client.inbox[at + 5..at + whole];
            if let Some(time_left) = peek_time_left(text) {
                due = due.min(client.arrived(at, self.clock.now()) + time_left);
            }
            at += whole;
        }
        due
    }

    /// Why a statement of a reading workload goes to the primary: one line a second tells as much as all would.
    fn log_write_classification(&mut self, workload: usize, text: &[u8], info: &StatementInfo) {
        if self.clock.now() - self.write_classification_logged_at < 1.0 {
            return;
        }
        self.write_classification_logged_at = self.clock.now();
        let reading = info.key.and_then(|key| self.fingerprints.classification(&key).cloned());
        let reading =
            reading.unwrap_or_else(|| classify::classify_by_prescan(text, &classify::prescan(text)));
        // What an endpoint said of it is not in the text.
        let why = if reading.kind == StatementKind::Read {
            "hosts that only read turn it away"
        } else {
            &reading.why
        };
        info!(self.log, "text may write"; "why" => why, "nature" => info.kind.name(),
            "workload" => self.catalog.workloads[workload].as_str(), "so_far" => self.counters.reads_treated_as_writes);
    }
}
