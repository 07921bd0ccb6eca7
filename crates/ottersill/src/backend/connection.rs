//! Connections to hosts, called lines: each carries one statement or probe at a time.

use std::rc::Rc;

use bytes::BytesMut;
use calloop::RegistrationToken;
use ottersill_routing::interface::AttemptOutcome;
use socket2::Socket;

use crate::backend::reply::Reply;
use crate::protocol::socket::Outbox;
use crate::timers::TimerHandle;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being set up.
    Dialing,
    /// It is up, and the host's first ReadyForQuery is awaited.
    Greeting,
    Idle,
    /// The load is not written whole.
    Sending,
    /// The load's last byte was handed over: from here on it may run.
    Sent,
    Closed,
}

impl ConnectionState {
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

    /// What an execution on it has come to if the connection breaks now: the proof line.
    pub fn broken(self) -> AttemptOutcome {
        if self == ConnectionState::Sent { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }
    }

    /// The same if the router stops waiting.
    pub fn given_up(self, late: AttemptOutcome) -> AttemptOutcome {
        if self == ConnectionState::Sent { late } else { AttemptOutcome::NeverSent }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    Request(usize),
    HealthCheck,
}

pub struct BackendConnection {
    pub endpoint: usize,
    pub state: ConnectionState,
    pub assignment: Option<Assignment>,
    /// When the load was given, and when it ends unanswered.
    pub assigned_at: f64,
    pub deadline: f64,
    /// When the time left was computed that the statement on it tells the host.
    pub time_left_sent_at: f64,
    /// Apart from `since`, or standing idle between greeting and load would shorten the load's time.
    pub idle_since: f64,
    pub socket: Rc<Socket>,
    pub token: RegistrationToken,
    pub timer: Option<TimerHandle>,
    pub inbox: BytesMut,
    pub outbox: Outbox,
    pub reply: Reply,
}
