//! A backend connection and its states. It carries one attempt or health check at a time.

use std::rc::Rc;

use calloop::RegistrationToken;
use ottersill_routing::interface::AttemptOutcome;
use socket2::Socket;

use crate::backend::reply::Reply;
use crate::protocol::read_buffer::ReadBuffer;
use crate::protocol::socket::Outbox;
use crate::timers::TimerHandle;

/// The state of a backend connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The TCP connection is being established.
    Dialing,
    /// The startup message is sent or being sent, and the endpoint's first ReadyForQuery is awaited.
    Greeting,
    /// The connection has no assignment.
    Idle,
    /// The assignment is not fully written yet.
    Sending,
    /// The last byte was passed to the system: from here on the endpoint may run the statement.
    Sent,
    /// The connection is closed and removed.
    Closed,
}

impl ConnectionState {
    /// Returns whether the transition from this state to `next` is allowed.
    pub fn may_become(self, next: ConnectionState) -> bool {
        use ConnectionState::*;
        matches!(
            (self, next),
            (Dialing, Greeting)
                | (Greeting | Sent, Idle)
                | (Idle, Sending)
                | (Sending, Sent)
                | (Dialing | Greeting | Idle | Sending | Sent, Closed)
        )
    }

    /// Returns the outcome of an attempt whose connection fails in this state. The statement may have run only in
    /// [`Sent`](Self::Sent).
    pub fn outcome_if_broken(self) -> AttemptOutcome {
        if self == ConnectionState::Sent { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }
    }

    /// Returns the outcome of an attempt for which the router stops waiting in this state; `if_sent` is the outcome once the
    /// statement may have run.
    pub fn outcome_if_abandoned(self, if_sent: AttemptOutcome) -> AttemptOutcome {
        if self == ConnectionState::Sent { if_sent } else { AttemptOutcome::NeverSent }
    }
}

/// What is assigned to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// An attempt of the request with that number.
    Request(usize),
    /// A health check.
    HealthCheck,
}

/// What the messages that arrive on a connection belong to. An answer does not name its query, and an endpoint may send more
/// than one answer to a query. So an empty query is sent ahead of each assignment: whatever arrives before the answer to that
/// query belongs to an earlier assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedReply {
    /// Nothing but notices and parameters, which an endpoint may send at any time.
    Nothing,
    /// The endpoint's greeting.
    Greeting,
    /// The answer to the empty query ahead of the assignment.
    Synchronization,
    /// The answer to the assignment.
    Answer,
}

/// A connection to an endpoint. Times are Unix seconds.
pub struct BackendConnection {
    /// The endpoint's index.
    pub endpoint: usize,
    /// Changed only by `Backends::set_state`.
    pub state: ConnectionState,
    /// The attempt or health check that it carries.
    pub assignment: Option<Assignment>,
    /// When the assignment was made.
    pub assigned_at: f64,
    /// When the assignment times out.
    pub deadline: f64,
    /// When the time left that was written into the statement was computed.
    pub time_left_sent_at: f64,
    /// Whether the empty query ahead of the assignment is answered.
    pub is_synchronized: bool,
    /// When the connection became idle. Kept separately from `assigned_at`, as idle time must not shorten the time of an
    /// assignment.
    pub idle_since: f64,
    /// The non-blocking socket.
    pub socket: Rc<Socket>,
    /// The token of the socket's registration at the event loop.
    pub token: RegistrationToken,
    /// The timer of the time by which the state has to change.
    pub timer: Option<TimerHandle>,
    /// Bytes that were read and not yet taken out as complete messages.
    pub inbox: ReadBuffer,
    /// Bytes that are left to write.
    pub outbox: Outbox,
    /// The endpoint's answer, as far as it was read.
    pub reply: Reply,
}

impl BackendConnection {
    /// Returns what the next message belongs to.
    pub fn expected_reply(&self) -> ExpectedReply {
        match self.state {
            ConnectionState::Greeting => ExpectedReply::Greeting,
            // The endpoint may answer the empty query before the assignment is fully written.
            ConnectionState::Sending | ConnectionState::Sent if !self.is_synchronized => {
                ExpectedReply::Synchronization
            }
            ConnectionState::Sent => ExpectedReply::Answer,
            _ => ExpectedReply::Nothing,
        }
    }
}
