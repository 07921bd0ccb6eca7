//! The phases of a client connection, and how long it may stay in each.

use crate::client::connection::{ClientConnection, ConnectionPhase, INCOMPLETE_INPUT_TIMEOUT};
use crate::client::{ClientEvent, Clients};
use crate::protocol::frame::ErrorCode;
use crate::reactor::Context;
use crate::timers::{TIMING_MARGIN, Timer};

/// A connection with no statement open may be closed after so many seconds, as the service page has it.
const IDLE_TIMEOUT: f64 = 2.0;

/// Who has sent a part of a message behind a statement that took long has this much after its answer; seconds.
const REMAINDER_TIMEOUT: f64 = 0.25;

impl Clients {
    /// Every change of a client connection's phase.
    pub(super) fn set_phase(&mut self, id: usize, next: ConnectionPhase, context: &mut Context) {
        let client = &mut self.table[id];
        context.counters.check_invariant(
            client.phase.may_become(next),
            "a client connection changes its phase as allowed",
        );
        client.phase = next;
        client.phase_since = context.now();
        if !matches!(next, ConnectionPhase::Busy(_)) && client.timer.is_none() {
            client.timer = Some(context.timers.set(context.now() + IDLE_TIMEOUT, Timer::Client(id)));
        }
    }

    /// The timer of a connection has expired. Guards against clients that connect and say nothing, stop halfway, or ask once and
    /// stay: each would hold a descriptor, and the usual clients find no room. True if the connection is to be read as if it
    /// became ready, so that what has come meanwhile is taken in, before [`enforce_deadline`](Self::enforce_deadline).
    pub fn on_timer(&mut self, id: usize, context: &mut Context) -> bool {
        self.table[id].timer = None;
        let is_lingering = self.table[id].phase == ConnectionPhase::Lingering;
        if is_lingering {
            self.remove(id, context);
        }
        !is_lingering
    }

    /// Ends the connection if its time is over.
    #[must_use]
    pub fn enforce_deadline(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let client = self.table.get(id)?;
        if client.phase == ConnectionPhase::Lingering {
            return None;
        }
        if client.may_have_unread && client.outbox.is_empty() {
            self.set_timer(id, context.now() + TIMING_MARGIN, context);
            return None;
        }
        let due_at = self.deadline(client, context.now());
        if due_at > context.now() {
            if due_at.is_finite() {
                self.set_timer(id, due_at, context);
            }
            return None;
        }
        self.end_overdue(id, context)
    }

    fn end_overdue(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        context.counters.client_connections_closed_idle += 1;
        let client = &self.table[id];
        let may_be_told = matches!(client.phase, ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle)
            && client.outbox.is_empty();
        if !may_be_told {
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

    /// When the time of this client connection is over; never while a request is in flight.
    pub(super) fn deadline(&self, client: &ClientConnection, now: f64) -> f64 {
        let halfway = !client.inbox.is_empty();
        match client.phase {
            ConnectionPhase::Busy(_) => f64::INFINITY,
            // Nothing that was sent ahead is cut off, and an answer that nobody reads is no reason to stay. Who has sent a part of
            // a message gets its error before a router that stops may be killed.
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if !client.has_queried && halfway => {
                (client.connected_at + INCOMPLETE_INPUT_TIMEOUT).min(self.answers_by)
            }
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if !client.has_queried => {
                client.connected_at + INCOMPLETE_INPUT_TIMEOUT
            }
            ConnectionPhase::Idle if halfway => {
                let due_at = client.arrived(0, now) + INCOMPLETE_INPUT_TIMEOUT;
                due_at.max(client.phase_since + REMAINDER_TIMEOUT).min(self.answers_by)
            }
            ConnectionPhase::Idle if !client.outbox.is_empty() => {
                client.phase_since + INCOMPLETE_INPUT_TIMEOUT
            }
            _ => client.phase_since + IDLE_TIMEOUT,
        }
    }

    /// Has the client looked at then, and not before.
    pub(super) fn set_timer(&mut self, id: usize, at: f64, context: &mut Context) {
        let timer = context.timers.set(at, Timer::Client(id));
        let before = self.table[id].timer.replace(timer);
        context.timers.clear(before.filter(|before| *before != timer));
    }
}
