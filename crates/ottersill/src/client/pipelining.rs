//! Statements that a client sends ahead of the answer to the one in hand.

use crate::client::Clients;
use crate::protocol::frame;
use crate::protocol::statement_text::peek_time_left;
use crate::reactor::Context;

/// Statements sent behind one that are looked at before it is sent: their number bounds what each costs; those further behind
/// are looked at as it gets shorter.
pub const MAX_PIPELINED: usize = 16;

/// A message's tag and length stand ahead of its text.
const MESSAGE_HEAD_BYTES: usize = 5;

impl Clients {
    /// When a statement of a client is given up: its own time, the time by which a router that stops has answered, or that of a
    /// statement behind it.
    pub fn statement_deadline(&mut self, id: usize, own: f64, context: &Context) -> f64 {
        own.min(self.answers_by).min(self.earliest_pipelined_deadline(id, context))
    }

    /// By when this statement has to be out of the way of those that its client has sent behind it: answers go out in order,
    /// and one that waits for a longer one would come after its time.
    fn earliest_pipelined_deadline(&mut self, id: usize, context: &Context) -> f64 {
        let Some(client) = self.table.get_mut(id) else { return f64::INFINITY };
        client.match_arrivals(context.clock.arrivals_since());
        let (mut at, mut due) = (0, f64::INFINITY);
        for _ in 0..MAX_PIPELINED {
            let Ok(Some(whole)) = frame::message_length(&client.inbox[at..]) else { break };
            let text = &client.inbox[at + MESSAGE_HEAD_BYTES..at + whole];
            if let Some(time_left) = peek_time_left(text) {
                due = due.min(client.arrived(at, context.now()) + time_left);
            }
            at += whole;
        }
        due
    }
}
