//! Writes, abandons and withdraws the assignments of backend connections.

use ottersill_routing::interface::AttemptOutcome;

use crate::backend::connection::{Assignment, ConnectionState};
use crate::backend::reply::Reply;
use crate::backend::{Backends, FinishedAssignment};
use crate::in_flight::InFlightRequests;
use crate::protocol::frame;
use crate::protocol::statement_text::DEADLINE_MARGIN_SECONDS;
use crate::protocol::statement_text::advertised_time_left;
use crate::reactor::Context;

impl Backends {
    /// Puts an empty query and the connection's assignment into its outbox, with the time left at `time`, which the caller has
    /// just read from the clock; [`flush`](Self::flush) sends them. Returns the assignment's deadline.
    pub fn write_assignment(
        &mut self,
        id: usize,
        time: f64,
        requests: &InFlightRequests,
        context: &mut Context,
    ) -> f64 {
        let connection = &mut self.table[id];
        connection.reply = Reply::default();
        connection.time_left_sent_at = time;
        connection.is_synchronized = false;
        connection.outbox.push(frame::EMPTY_QUERY.clone());
        let deadline = connection.deadline;
        match connection.assignment {
            Some(Assignment::Request(request_id)) => {
                if let Some(request) = requests.get(request_id) {
                    request.text.write_to(advertised_time_left(deadline - time), &mut connection.outbox);
                }
            }
            Some(Assignment::HealthCheck) => connection.outbox.push(frame::SHOW_HEALTH.clone()),
            None => {}
        }
        self.set_state(id, ConnectionState::Sending, deadline, context);
        deadline
    }

    /// Returns whether the connection's assignment is not fully written yet.
    pub fn is_sending(&self, id: usize) -> bool {
        self.table.get(id).is_some_and(|connection| connection.state == ConnectionState::Sending)
    }

    /// Updates the time left in a partly written statement. Returns false if the written value is stale and can no longer be
    /// changed.
    pub fn refresh_deadline(&mut self, id: usize, time: f64, requests: &InFlightRequests) -> bool {
        let connection = &mut self.table[id];
        let Some(Assignment::Request(request_id)) = connection.assignment else { return true };
        let Some(request) = requests.get(request_id) else { return false };
        if request
            .text
            .update_time_left(advertised_time_left(connection.deadline - time), &mut connection.outbox)
        {
            connection.time_left_sent_at = time;
        }
        time - connection.time_left_sent_at <= DEADLINE_MARGIN_SECONDS
    }

    /// Writes as much of the outbox as the socket accepts. Returns false if the connection failed.
    pub fn flush(&mut self, id: usize, context: &mut Context) -> bool {
        let connection = &mut self.table[id];
        let flushed = connection.outbox.flush(&connection.socket);
        let deadline = connection.deadline;
        if connection.state == ConnectionState::Sending && matches!(flushed, Ok(true)) {
            self.set_state(id, ConnectionState::Sent, deadline, context);
        }
        flushed.is_ok()
    }

    /// Ends the startup of a connection, which then sends the assignment for which it was opened.
    pub fn become_ready_to_send(&mut self, id: usize, context: &mut Context) {
        let deadline = self.table[id].deadline;
        self.set_state(id, ConnectionState::Idle, deadline, context);
    }

    /// Stops waiting for the connection's assignment, and closes the connection, as the statement may still be running at the
    /// endpoint. `if_sent` is the outcome if it was fully sent.
    pub(super) fn abandon(
        &mut self,
        id: usize,
        if_sent: AttemptOutcome,
        context: &mut Context,
    ) -> FinishedAssignment {
        let outcome = self.table[id].state.outcome_if_abandoned(if_sent);
        let finished = self.take_assignment(id, outcome);
        self.close(id, context);
        finished
    }

    /// Cancels the connection's assignment.
    pub fn cancel(&mut self, id: usize, context: &mut Context) -> FinishedAssignment {
        let withdrawn = self.withdraw(id, context);
        withdrawn.unwrap_or_else(|| self.abandon(id, AttemptOutcome::Cancelled, context))
    }

    /// Withdraws the connection's assignment; `None` if it was fully sent, or if there is none.
    #[must_use]
    pub fn withdraw(&mut self, id: usize, context: &mut Context) -> Option<FinishedAssignment> {
        match self.table[id].state {
            ConnectionState::Dialing | ConnectionState::Greeting => {
                self.table[id].deadline = f64::INFINITY;
                Some(self.take_assignment(id, AttemptOutcome::NeverSent))
            }
            // A part may have been sent: sending the rest later would make an attempt that nobody waits for.
            ConnectionState::Sending => Some(self.abandon(id, AttemptOutcome::NeverSent, context)),
            ConnectionState::Idle | ConnectionState::Sent | ConnectionState::Closed => None,
        }
    }
}
