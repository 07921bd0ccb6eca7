//! Phase changes of a client connection, and the time limit of each phase.

use crate::client::connection::{ClientConnection, ConnectionPhase, INCOMPLETE_INPUT_TIMEOUT_SECONDS};
use crate::client::{ClientEvent, Clients};
use crate::protocol::frame::ErrorCode;
use crate::reactor::Context;
use crate::timers::{TIMING_MARGIN_SECONDS, Timer};

/// How long a connection without a statement in flight is kept; the operators' service page allows it to be closed after
/// this time.
const IDLE_TIMEOUT_SECONDS: f64 = 2.0;

/// Minimum time, after the answer to a statement, that its client has to complete a message that it had begun to send behind
/// the statement.
const REMAINDER_TIMEOUT_SECONDS: f64 = 0.25;

impl Clients {
    /// Changes the phase of a client connection; all phase changes go through here.
    pub(super) fn set_phase(&mut self, id: usize, next: ConnectionPhase, context: &mut Context) {
        let client = &mut self.table[id];
        context.counters.check_invariant(
            client.phase.may_become(next),
            "a client connection changes its phase only as ConnectionPhase::may_become allows",
        );
        client.phase = next;
        client.phase_since = context.now();
        if !matches!(next, ConnectionPhase::Busy(_)) && client.timer.is_none() {
            client.timer = Some(context.timers.set(context.now() + IDLE_TIMEOUT_SECONDS, Timer::Client(id)));
        }
    }

    /// Handles the expiry of a connection's timer. Guards against clients that connect and send nothing, stop in the middle of a
    /// message, or query once and stay connected: each would hold a descriptor, and leave no room for other clients. Returns
    /// true if the connection is to be read as if it had become ready, so that input that has arrived meanwhile is handled,
    /// before [`enforce_deadline`](Self::enforce_deadline) is called.
    pub fn on_timer(&mut self, id: usize, context: &mut Context) -> bool {
        self.table[id].timer = None;
        let is_lingering = self.table[id].phase == ConnectionPhase::Lingering;
        if is_lingering {
            self.remove(id, context);
        }
        !is_lingering
    }

    /// Ends the connection if its deadline has passed; else sets its timer to the deadline. Returns the event that ending the
    /// connection causes, if any.
    #[must_use]
    pub fn enforce_deadline(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let client = self.table.get(id)?;
        if client.phase == ConnectionPhase::Lingering {
            return None;
        }
        // Unread input may complete the message, so it is read before the deadline is enforced.
        if (client.may_have_unread || client.is_deferred) && client.outbox.is_empty() {
            self.set_timer(id, context.now() + TIMING_MARGIN_SECONDS, context);
            return None;
        }
        let deadline = self.deadline(client, context.now());
        if deadline > context.now() {
            if deadline.is_finite() {
                self.set_timer(id, deadline, context);
            }
            return None;
        }
        self.end_overdue(id, context)
    }

    /// Ends a connection whose deadline has passed: rejects an incomplete message, closes an idle connection, and drops any
    /// other.
    fn end_overdue(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        context.counters.client_connections_closed_idle += 1;
        let client = &self.table[id];
        let can_receive_error =
            matches!(client.phase, ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle)
                && client.outbox.is_empty();
        if !can_receive_error {
            return self.close(id, context);
        }
        if client.inbox.is_empty() {
            self.begin_close(id, context);
            return None;
        }
        let reason = "a message that does not come whole";
        self.reject_protocol_violation(id, ErrorCode::ProtocolViolation, reason, context);
        self.next_event(id, context)
    }

    /// Returns the deadline of the connection's current phase, in Unix seconds; infinite while a request is in flight.
    pub(super) fn deadline(&self, client: &ClientConnection, now: f64) -> f64 {
        let partial_message_since = client.partial_message_since(now);
        let has_partial_message = partial_message_since.is_some();
        let is_new = !client.has_queried && client.refused_at.is_none() && client.rejected_rest.is_none();
        // An answered statement that went no further than this connection changes no phase.
        let idle_since = client.refused_at.unwrap_or(client.phase_since).max(client.phase_since);
        match client.phase {
            ConnectionPhase::Busy(_) => f64::INFINITY,
            // A message that was begun behind a statement gets some time after the answer to be completed. A client that does
            // not read its answer is disconnected. A partial message is rejected by the answer deadline at the latest, before
            // a router that is shutting down may be killed.
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if is_new && has_partial_message => {
                (client.connected_at + INCOMPLETE_INPUT_TIMEOUT_SECONDS).min(self.answer_deadline)
            }
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if is_new => {
                client.connected_at + INCOMPLETE_INPUT_TIMEOUT_SECONDS
            }
            ConnectionPhase::Idle if has_partial_message => {
                let deadline = partial_message_since.unwrap_or(now) + INCOMPLETE_INPUT_TIMEOUT_SECONDS;
                deadline.max(idle_since + REMAINDER_TIMEOUT_SECONDS).min(self.answer_deadline)
            }
            ConnectionPhase::Idle if !client.outbox.is_empty() => {
                idle_since + INCOMPLETE_INPUT_TIMEOUT_SECONDS
            }
            _ => idle_since + IDLE_TIMEOUT_SECONDS,
        }
    }

    /// Sets the connection's timer to expire at `at`, in Unix seconds, in place of its current one.
    pub(super) fn set_timer(&mut self, id: usize, at: f64, context: &mut Context) {
        let timer = context.timers.set(at, Timer::Client(id));
        let previous = self.table[id].timer.replace(timer);
        context.timers.clear(previous.filter(|previous| *previous != timer));
    }
}
