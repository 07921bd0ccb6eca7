//! The connection of one call to discovery, and the answer that arrives on it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use ottersill_routing::discovery_watch::{CallId, LONG_POLL_SECONDS, Request};
use socket2::Socket;

use crate::clock::milliseconds;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::http::{self, HttpError, Response};
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

/// How far the answer to a call has arrived.
#[derive(Debug)]
pub enum ReadProgress {
    /// Nothing new has arrived.
    Nothing,
    /// Part of the answer has arrived.
    Partial,
    /// The answer is complete.
    Complete(Answer),
}

/// One connection to discovery.
pub struct Call {
    /// Identifies the call in the watch.
    pub id: CallId,
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: ReadBuffer,
    outbox: Outbox,
    is_established: bool,
}

impl Call {
    /// Starts to connect to discovery.
    ///
    /// # Errors
    /// If this machine cannot open or register one more connection, or has no route to the address.
    pub fn connect(id: CallId, address: SocketAddr, context: &Context) -> io::Result<Call> {
        let (socket, token) =
            context.register(socket::connect(address).map_err(io::Error::from)?, Source::Discovery)?;
        let (inbox, outbox) = (ReadBuffer::default(), Outbox::default());
        Ok(Call { id, socket, token, inbox, outbox, is_established: false })
    }

    /// Returns true once, when the connection is established.
    ///
    /// # Errors
    /// If connecting has failed.
    pub fn was_just_established(&mut self) -> io::Result<bool> {
        if self.is_established || !socket::is_connected(&self.socket)? {
            return Ok(false);
        }
        self.is_established = true;
        Ok(true)
    }

    /// Sends a request; bytes that the socket does not accept yet are written when it becomes ready again.
    ///
    /// # Errors
    /// If the connection broke.
    pub fn send(&mut self, request: Request, host: SocketAddr) -> io::Result<()> {
        self.outbox.push(http::get(&request_path(request), &host.to_string()));
        self.outbox.flush(&self.socket).map(|_| ())
    }

    /// Writes pending output, reads input, and returns how far the answer has arrived.
    ///
    /// # Errors
    /// If the connection broke or was closed, or the answer is invalid; the call must then be closed.
    pub fn read(&mut self, context: &mut Context) -> Result<ReadProgress, CallError> {
        if !self.is_established {
            return Ok(ReadProgress::Nothing);
        }
        self.outbox.flush(&self.socket)?;
        let bytes_before = self.inbox.len();
        // A reset is an error, not an end of the response: input that arrived before it is discarded with the connection.
        let outcome = self.inbox.read(&self.socket, http::MAX_RESPONSE_BYTES)?;
        let has_arrived = self.inbox.len() > bytes_before;
        let response = self.inbox.take(|bytes| http::response(bytes, outcome == ReadOutcome::Ended));
        let response = response.map_err(CallError::Http)?;
        if let Some(response) = response {
            let answer = Answer::parse(&response).map(ReadProgress::Complete);
            self.inbox.release_messages();
            return answer;
        }
        match outcome {
            ReadOutcome::Ended => return Err(CallError::ConnectionClosed),
            ReadOutcome::MoreToRead => context.wake(Source::Discovery),
            ReadOutcome::Drained => {}
        }
        Ok(if has_arrived { ReadProgress::Partial } else { ReadProgress::Nothing })
    }

    /// Closes the connection.
    pub fn close(self, context: &Context) {
        context.deregister(self.token);
    }
}

/// Returns the path of a request, with its query string.
fn request_path(request: Request) -> String {
    match request {
        Request::CompleteList => "/v1/servers".to_string(),
        Request::ChangesSince(version) => {
            let timeout_ms = milliseconds(LONG_POLL_SECONDS);
            format!("/v1/servers?since={version}&timeout_ms={timeout_ms}")
        }
    }
}
