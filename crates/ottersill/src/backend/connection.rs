//! Backend connections: each carries one attempt or health check at a time.

use std::rc::Rc;

use bytes::BytesMut;
use calloop::RegistrationToken;
use ottersill_routing::interface::AttemptOutcome;
use socket2::Socket;

use crate::backend::reply::Reply;
use crate::protocol::socket::Outbox;
use crate::timers::TimerHandle;

/// The state of a backend connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being set up.
    Dialing,
    /// It is up, and the endpoint's first ReadyForQuery is awaited.
    Greeting,
    /// It carries nothing.
    Idle,
    /// What it carries is not written whole.
    Sending,
    /// The last byte was handed over: from here on the statement may run.
    Sent,
    /// Removed.
    Closed,
}

impl ConnectionState {
    /// Whether a connection in this state may go over to the next.
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

    /// How an attempt on it has ended if the connection breaks now. Only in [`Sent`](Self::Sent) it may have run.
    pub fn broken(self) -> AttemptOutcome {
        if self == ConnectionState::Sent { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }
    }

    /// The same if the router stops waiting; `late` is how that counts once the statement may run.
    pub fn given_up(self, late: AttemptOutcome) -> AttemptOutcome {
        if self == ConnectionState::Sent { late } else { AttemptOutcome::NeverSent }
    }
}

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// An attempt of the request with that number.
    Request(usize),
    /// A health check.
    HealthCheck,
}

/// A connection to an endpoint. Times are Unix seconds.
pub struct BackendConnection {
    /// The endpoint's index.
    pub endpoint: usize,
    /// Changed by `Backends::set_state` alone.
    pub state: ConnectionState,
    /// What it carries.
    pub assignment: Option<Assignment>,
    /// When the assignment was given.
    pub assigned_at: f64,
    /// When the assignment is given up.
    pub deadline: f64,
    /// When the time left was computed that was written into the statement.
    pub time_left_sent_at: f64,
    /// When it became idle. Apart from `assigned_at`: idling must not shorten the time of an assignment.
    pub idle_since: f64,
    /// Does not block.
    pub socket: Rc<Socket>,
    /// Of its registration at the event loop.
    pub token: RegistrationToken,
    /// When its state has to change.
    pub timer: Option<TimerHandle>,
    /// What was read and is no whole message yet.
    pub inbox: BytesMut,
    /// What is left to write.
    pub outbox: Outbox,
    /// The answer as far as it was read.
    pub reply: Reply,
}
