//! The one final answer of each request.

use bytes::Bytes;
use slog::info;

use crate::client::answers::rejection;
use crate::clock::milliseconds;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;
use crate::protocol::frame;
use crate::protocol::frame::ErrorCode;

/// How long after its client's time limit an answer still counts as in time: the tolerance of the protocol's time limits.
const ANSWER_TOLERANCE_SECONDS: f64 = 0.05;

/// The kinds of final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalAnswer {
    Completed,
    Rejected,
    Aborted,
}

impl FinalAnswer {
    fn name(self) -> &'static str {
        match self {
            FinalAnswer::Completed => "completed",
            FinalAnswer::Rejected => "rejected",
            FinalAnswer::Aborted => "aborted",
        }
    }
}

impl EventLoop {
    /// Answers a request with the result of an endpoint.
    pub(super) fn complete(&mut self, request_id: usize, [description, row, complete]: [Bytes; 3]) {
        self.context.counters.completed += 1;
        let slices = [description, row, complete, frame::READY_FOR_QUERY.clone()];
        self.answer(request_id, FinalAnswer::Completed, slices);
    }

    /// Answers a request with a rejection. `retry_after` is the retry delay for the client, in seconds; 0 sends none.
    pub(super) fn reject(&mut self, request_id: usize, retry_after: f64) {
        self.context.counters.rejected += 1;
        let error = rejection(retry_after, "rejected: nothing ran");
        self.answer(request_id, FinalAnswer::Rejected, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// Answers a request with an abort.
    pub(super) fn abort(&mut self, request_id: usize) {
        self.context.counters.aborted += 1;
        let error = frame::error("ERROR", ErrorCode::CompletionUnknown, "aborted: it may have run", None);
        self.answer(request_id, FinalAnswer::Aborted, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// Sends the final answer of a request that is not abandoned; each request has exactly one.
    fn answer<const N: usize>(&mut self, request_id: usize, kind: FinalAnswer, slices: [Bytes; N]) {
        let Some(request) = self.requests.get(request_id) else { return };
        let client = request.client;
        self.record_write_if_executed(request_id, kind);
        self.record_answer(request_id, kind);
        self.requests.transition(request_id, RequestPhase::Vacant, &mut self.context.counters);
        self.clients.answer(client, slices, &mut self.context);
    }

    /// Records the id of a write that has run or may have run: a copy of the statement may still lie unread.
    fn record_write_if_executed(&mut self, request_id: usize, kind: FinalAnswer) {
        let Some(request) = self.requests.get(request_id) else { return };
        if request.may_write && (kind == FinalAnswer::Completed || request.may_have_run) {
            self.statement_ids.record_executed_write(self.context.now(), request.id);
        }
    }

    /// Counts an answer that is late, and logs answers that are late or have no result.
    fn record_answer(&mut self, request_id: usize, kind: FinalAnswer) {
        let Some(request) = self.requests.get(request_id) else { return };
        let time = self.context.clock.read();
        let is_late = time - request.deadline > ANSWER_TOLERANCE_SECONDS;
        self.context.counters.answers_late += u64::from(is_late);
        let late = if is_late { self.late_answers.admit(time) } else { None };
        let is_unserved = kind != FinalAnswer::Completed;
        let unserved = if is_unserved { self.unserved_requests.admit(time) } else { None };
        for (message, occurrences) in [("answer late", late), ("request not served", unserved)] {
            let Some(requests) = occurrences else { continue };
            info!(self.context.log, "{message}"; "id" => format!("{:x}", request.id), "answer" => kind.name(),
                "waited_ms" => milliseconds(time - request.arrived_at),
                "limit_ms" => milliseconds(request.deadline - request.arrived_at),
                "may_have_run" => request.may_have_run, "requests" => requests);
        }
    }
}
