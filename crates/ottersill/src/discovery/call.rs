//! One call to discovery: a connection, and the request that is out on it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use calloop::RegistrationToken;
use socket2::Socket;

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::http::{self, HttpError, Response};
use crate::discovery::watch::{self, CallState, Request};
use crate::protocol::socket::{self, Outbox, ReadOutcome};
use crate::reactor::{Context, Source};

/// The only status of a response that counts.
const STATUS_OK: u16 = 200;

/// Why a call has failed.
#[derive(Debug)]
pub enum CallError {
    /// The connection did not come up, or broke.
    Connection(io::Error),
    /// Discovery ended the connection without an answer.
    Ended,
    /// Nothing came in time.
    Timeout,
    /// The answer is no HTTP response.
    Http(HttpError),
    /// The response has another status than 200.
    Status(u16),
    /// The body is no endpoint list.
    List(serde_json::Error),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Connection(error) => write!(f, "{error}"),
            CallError::Ended => f.write_str("it ended the connection"),
            CallError::Timeout => f.write_str("no answer in time"),
            CallError::Http(error) => write!(f, "{error}"),
            CallError::Status(status) => write!(f, "status {status}"),
            CallError::List(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for CallError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CallError::Connection(error) => Some(error),
            CallError::Http(error) => Some(error),
            CallError::List(error) => Some(error),
            CallError::Ended | CallError::Timeout | CallError::Status(_) => None,
        }
    }
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> CallError {
        CallError::Connection(error)
    }
}

/// An answer that was read whole.
#[derive(Debug)]
pub struct Answer {
    /// The endpoint list in it.
    pub list: EndpointList,
    /// Discovery closes the connection after it.
    pub closes: bool,
}

impl Answer {
    fn parse(response: &Response) -> Result<Answer, CallError> {
        if response.status != STATUS_OK {
            return Err(CallError::Status(response.status));
        }
        let list = serde_json::from_slice(&response.body).map_err(CallError::List)?;
        Ok(Answer { list, closes: response.closes })
    }
}

/// One connection to discovery. Times are Unix seconds.
pub struct Call {
    state: CallState,
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: BytesMut,
    outbox: Outbox,
    requested_at: f64,
    keep_until: f64,
    was_answered: bool,
}

impl Call {
    /// Begins to connect.
    ///
    /// # Errors
    /// If this machine can't open or watch one more connection, or knows no way to the address.
    pub fn dial(address: SocketAddr, context: &Context) -> io::Result<Call> {
        let (socket, token) =
            context.register(socket::connect(address).map_err(io::Error::from)?, Source::Discovery)?;
        Ok(Call {
            state: CallState::Connecting,
            socket,
            token,
            inbox: BytesMut::new(),
            outbox: Outbox::default(),
            requested_at: context.now(),
            keep_until: f64::INFINITY,
            was_answered: false,
        })
    }

    /// Its state.
    pub fn state(&self) -> CallState {
        self.state
    }

    /// Whether the connection is up by now.
    ///
    /// # Errors
    /// If it never will be.
    pub fn is_up(&self) -> io::Result<bool> {
        socket::is_connected(&self.socket)
    }

    /// Whether the time is over for which it is kept beside the calls that follow it.
    pub fn is_over(&self, now: f64) -> bool {
        now >= self.keep_until
    }

    /// Keeps it no longer than until then beside the calls that follow it.
    pub fn limit(&mut self, keep_until: f64) {
        self.keep_until = self.keep_until.min(keep_until);
    }

    /// Sends a request; what the socket does not take yet goes out when it is ready again.
    ///
    /// # Errors
    /// If the connection broke.
    pub fn send(&mut self, request: &Request, host: SocketAddr, context: &mut Context) -> io::Result<()> {
        self.transition(request.state, context);
        self.requested_at = context.now();
        self.outbox.push(http::get(&request.path, &host.to_string()));
        self.outbox.flush(&self.socket).map(|_| ())
    }

    /// Sends what is left to send, and reads the answer if it is there whole.
    ///
    /// # Errors
    /// If the connection broke or ended, or the answer can't be read; the call is of no further use then.
    pub fn read(&mut self, context: &mut Context) -> Result<Option<Answer>, CallError> {
        self.outbox.flush(&self.socket)?;
        // A reset is no end: what came before it is dropped with the connection.
        let outcome = socket::read(&self.socket, &mut self.inbox, http::MAX_RESPONSE_BYTES)?;
        let response =
            http::response(&mut self.inbox, outcome == ReadOutcome::Ended).map_err(CallError::Http)?;
        if let Some(response) = response {
            return Answer::parse(&response).map(Some);
        }
        match outcome {
            ReadOutcome::Ended => Err(CallError::Ended),
            ReadOutcome::MoreLeft => {
                context.wake(Source::Discovery);
                Ok(None)
            }
            ReadOutcome::Drained => Ok(None),
        }
    }

    /// Notes that it was answered: it is kept for good. True if a long poll was answered before its time.
    pub fn answered(&mut self, now: f64) -> bool {
        self.was_answered = true;
        self.keep_until = f64::INFINITY;
        self.state == CallState::Watching && watch::is_early(now - self.requested_at)
    }

    /// Every change of its state.
    pub fn transition(&mut self, next: CallState, context: &mut Context) {
        context.counters.check_invariant(
            self.state.may_become(next),
            "a call changes its state only as CallState::may_become allows",
        );
        self.state = next;
    }

    /// Closes the connection; true if a request on it was answered, as its end is no failure of discovery then.
    pub fn close(self, context: &Context) -> bool {
        context.deregister(self.token);
        self.was_answered
    }
}
