//! One call to discovery: a connection, and the request in flight on it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::Socket;

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::http::{self, HttpError, Response};
use crate::discovery::watch::{self, CallState, Request};
use crate::protocol::read_buffer::{ReadBuffer, ReadOutcome};
use crate::protocol::socket::{self, Outbox};
use crate::reactor::{Context, Source};

/// The only status that is treated as a success.
const STATUS_OK: u16 = 200;

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be established, or broke.
    Connection(io::Error),
    /// Discovery closed the connection before it had sent a complete answer.
    ConnectionClosed,
    /// No answer arrived in time.
    Timeout,
    /// The answer is not a valid HTTP response.
    Http(HttpError),
    /// The status of the response is not 200.
    Status(u16),
    /// The body is not a valid endpoint list.
    List(serde_json::Error),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Connection(error) => write!(f, "{error}"),
            CallError::ConnectionClosed => f.write_str("connection closed before a complete answer"),
            CallError::Timeout => f.write_str("timed out waiting for an answer"),
            CallError::Http(error) => write!(f, "{error}"),
            CallError::Status(status) => write!(f, "HTTP status {status}"),
            CallError::List(error) => write!(f, "invalid endpoint list: {error}"),
        }
    }
}

impl std::error::Error for CallError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CallError::Connection(error) => Some(error),
            CallError::Http(error) => Some(error),
            CallError::List(error) => Some(error),
            CallError::ConnectionClosed | CallError::Timeout | CallError::Status(_) => None,
        }
    }
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> CallError {
        CallError::Connection(error)
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// The endpoint list in the body.
    pub list: EndpointList,
    /// Whether discovery closes the connection after this answer.
    pub closes_connection: bool,
}

impl Answer {
    fn parse(response: &Response) -> Result<Answer, CallError> {
        if response.status != STATUS_OK {
            return Err(CallError::Status(response.status));
        }
        let list = serde_json::from_slice(&response.body).map_err(CallError::List)?;
        Ok(Answer { list, closes_connection: response.closes_connection })
    }
}

/// One connection to discovery. Times are Unix seconds.
pub struct Call {
    state: CallState,
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: ReadBuffer,
    outbox: Outbox,
    requested_at: f64,
    /// When this call may be closed to make room for newer ones; infinite if it is the newest call or was answered.
    keep_until: f64,
    was_answered: bool,
}

impl Call {
    /// Starts to connect to discovery.
    ///
    /// # Errors
    /// If this machine cannot open or register one more connection, or has no route to the address.
    pub fn connect(address: SocketAddr, context: &Context) -> io::Result<Call> {
        let (socket, token) =
            context.register(socket::connect(address).map_err(io::Error::from)?, Source::Discovery)?;
        Ok(Call {
            state: CallState::Connecting,
            socket,
            token,
            inbox: ReadBuffer::default(),
            outbox: Outbox::default(),
            requested_at: context.now(),
            keep_until: f64::INFINITY,
            was_answered: false,
        })
    }

    /// Returns the state of the call.
    pub fn state(&self) -> CallState {
        self.state
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    /// If connecting has failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        socket::is_connected(&self.socket)
    }

    /// Whether this call may be closed to make room for newer ones, as its lifetime has ended.
    pub fn has_expired(&self, now: f64) -> bool {
        now >= self.keep_until
    }

    /// Limits the lifetime of a call that newer ones follow: it ends at `keep_until` at the latest, in Unix seconds.
    pub fn limit_lifetime(&mut self, keep_until: f64) {
        self.keep_until = self.keep_until.min(keep_until);
    }

    /// Sends a request; bytes that the socket does not accept yet are written when it becomes ready again.
    ///
    /// # Errors
    /// If the connection broke.
    pub fn send(&mut self, request: &Request, host: SocketAddr, context: &mut Context) -> io::Result<()> {
        self.transition(request.state, context);
        self.requested_at = context.now();
        self.outbox.push(http::get(&request.path, &host.to_string()));
        self.outbox.flush(&self.socket).map(|_| ())
    }

    /// Writes pending output, reads input, and returns the answer once it is complete.
    ///
    /// # Errors
    /// If the connection broke or was closed, or the answer is invalid; the call must then be closed.
    pub fn read(&mut self, context: &mut Context) -> Result<Option<Answer>, CallError> {
        self.outbox.flush(&self.socket)?;
        // A reset is an error, not an end of the response: input that arrived before it is discarded with the connection.
        let outcome = self.inbox.read(&self.socket, http::MAX_RESPONSE_BYTES)?;
        let response = self.inbox.take(|bytes| http::response(bytes, outcome == ReadOutcome::Ended));
        let response = response.map_err(CallError::Http)?;
        if let Some(response) = response {
            let answer = Answer::parse(&response).map(Some);
            self.inbox.release_messages();
            return answer;
        }
        match outcome {
            ReadOutcome::Ended => Err(CallError::ConnectionClosed),
            ReadOutcome::MoreToRead => {
                context.wake(Source::Discovery);
                Ok(None)
            }
            ReadOutcome::Drained => Ok(None),
        }
    }

    /// Records that the call was answered, and lifts the limit on its lifetime. Returns true if it was a long poll that was
    /// answered before its scheduled end.
    pub fn record_answer(&mut self, now: f64) -> bool {
        self.was_answered = true;
        self.keep_until = f64::INFINITY;
        self.state == CallState::Watching && watch::is_early(now - self.requested_at)
    }

    /// Changes the state of the call; all state changes go through here.
    pub fn transition(&mut self, next: CallState, context: &mut Context) {
        context.counters.check_invariant(
            self.state.may_become(next),
            "a call changes its state only as CallState::may_become allows",
        );
        self.state = next;
    }

    /// Closes the connection. Returns true if a request on it was answered: the end of the connection is then not treated as a
    /// failure of discovery.
    pub fn close(self, context: &Context) -> bool {
        context.deregister(self.token);
        self.was_answered
    }
}
