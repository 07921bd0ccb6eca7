//! Client connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use ottersill_routing::statement_ids::StatementIds;
use socket2::Socket;

use crate::client::arrivals::Arrivals;
use crate::client::pipelining::Pipeline;
use crate::protocol::frame::Encryption;
use crate::protocol::read_buffer::{ReadBuffer, ReadOutcome};
use crate::protocol::socket::Outbox;
use crate::timers::TimerHandle;

/// A client that sends nothing that can be answered gets an error or a close this long after it has connected; a client that
/// stops in the middle of a message gets it this long after the first byte of the message. The operators' service page
/// requires it within 3 s: the difference covers a router that stalls twice, before it reads that byte and before it answers.
pub const INCOMPLETE_INPUT_TIMEOUT_SECONDS: f64 = 2.6;

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Waiting for the startup message.
    AwaitingStartup,
    /// Between statements.
    Idle,
    /// The request with this id is in flight.
    Busy(usize),
    /// The client has sent Terminate; the connection is about to be shut down.
    Terminated,
    /// Rejected with an error that is still being written.
    Rejected,
    /// Shut down for writing. Nothing more is read, so that whatever the client still sends counts as unread. The connection is
    /// closed once the client has ended its side too, or after a bounded time.
    Lingering,
}

impl ConnectionPhase {
    /// Whether a connection may go from this phase to `next`.
    pub fn may_become(self, next: ConnectionPhase) -> bool {
        use ConnectionPhase::*;
        matches!(
            (self, next),
            (AwaitingStartup, Idle)
                | (Idle, Busy(_))
                | (Busy(_), Idle)
                | (AwaitingStartup | Idle, Terminated | Rejected | Lingering)
                | (Terminated | Rejected, Lingering)
        )
    }
}

/// An accepted connection that is not registered with the event loop yet, and from which nothing is read.
pub struct UnwatchedClient {
    /// Non-blocking socket.
    pub socket: Rc<Socket>,
    /// When the connection was accepted, in Unix seconds.
    pub accepted_at: f64,
}

/// What is still to come of a message that was rejected before it was complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectedRest {
    /// Number of bytes.
    pub bytes: usize,
    /// When the first byte of the message arrived, in Unix seconds.
    pub arrived_at: f64,
}

/// A client connection. Times are Unix seconds.
pub struct ClientConnection {
    /// Changed only by `Clients::set_phase`.
    pub phase: ConnectionPhase,
    /// When the current phase began.
    pub phase_since: f64,
    /// When the connection was accepted.
    pub connected_at: f64,
    /// Expires when the connection is checked next even if its socket does not become ready.
    pub timer: Option<TimerHandle>,
    /// When the socket was last checked for input and for the end of the connection.
    pub last_read_at: f64,
    /// False if the connection was accepted only to be rejected for lack of room.
    pub is_admitted: bool,
    /// Non-blocking socket.
    pub socket: Rc<Socket>,
    /// Token of the socket's registration with the event loop.
    pub token: RegistrationToken,
    /// Input that has been read but not processed; may hold further queries that the client has sent ahead.
    pub inbox: ReadBuffer,
    /// Arrival times of the bytes in `inbox`.
    pub arrivals: Arrivals,
    /// The complete statements in `inbox`.
    pub pipeline: Pipeline,
    /// The rest of a message that was rejected before it was complete; it is passed over as it arrives.
    pub rejected_rest: Option<RejectedRest>,
    /// Bytes of such a rest that were read at the socket and discarded since the client's last turn.
    pub discarded_bytes: usize,
    /// Output that is not written yet; holds at most one answer, because the next query waits until the answer is written.
    pub outbox: Outbox,
    /// The result of reading the socket, until the client's turn comes.
    pub received: Option<io::Result<ReadOutcome>>,
    /// Whether the socket may hold more input without a further readiness event to report it.
    pub may_have_unread: bool,
    /// Since when input may lie unread at the socket; none if all was read and nothing has been reported since.
    pub unread_since: Option<f64>,
    /// Whether complete messages may be left in `inbox`, as the client had its share of an iteration.
    pub is_deferred: bool,
    /// The kinds of encryption that the client has requested, each of which was refused.
    pub refused_encryption: Vec<Encryption>,
    /// Whether a statement of the client was passed to the routing module.
    pub has_queried: bool,
    /// When a statement of the client was last refused or rejected before it got there.
    pub refused_at: Option<f64>,
    /// Bytes that [`ClientTable`](crate::client::table::ClientTable) counts for this connection.
    pub stored_bytes: usize,
}

impl ClientConnection {
    /// Creates the connection of a client whose socket is now registered with the event loop. `is_admitted` is false if the
    /// client is to be rejected for lack of room.
    pub fn new(
        accepted: UnwatchedClient,
        token: RegistrationToken,
        timer: TimerHandle,
        is_admitted: bool,
    ) -> ClientConnection {
        ClientConnection {
            phase: ConnectionPhase::AwaitingStartup,
            phase_since: accepted.accepted_at,
            connected_at: accepted.accepted_at,
            timer: Some(timer),
            last_read_at: accepted.accepted_at,
            is_admitted,
            socket: accepted.socket,
            token,
            inbox: ReadBuffer::default(),
            arrivals: Arrivals::default(),
            pipeline: Pipeline::default(),
            rejected_rest: None,
            discarded_bytes: 0,
            outbox: Outbox::default(),
            received: None,
            may_have_unread: false,
            unread_since: None,
            is_deferred: false,
            refused_encryption: Vec::new(),
            has_queried: false,
            refused_at: None,
            stored_bytes: 0,
        }
    }

    /// Returns the address of the client, for the log.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.socket.peer_addr().ok().and_then(|address| address.as_socket())
    }

    /// Discards the unprocessed input and releases its memory.
    pub fn discard_input(&mut self) {
        self.inbox.clear();
        self.arrivals.clear();
        self.pipeline.abandon();
        self.may_have_unread = false;
        self.is_deferred = false;
    }

    /// Records what was read into the inbox or removed from it; to be called after each of these. Bytes that are new count as
    /// having arrived at `arrived_at`.
    pub fn sync_arrivals(&mut self, arrived_at: f64) {
        self.arrivals.sync(self.inbox.len(), arrived_at);
    }

    /// Passes over what has arrived of the rest of a rejected message. Returns the number of bytes.
    pub fn discard_rejected_rest(&mut self) -> usize {
        let Some(rest) = self.rejected_rest else { return 0 };
        let discarded = rest.bytes.min(self.inbox.len());
        self.inbox.discard(discarded);
        self.count_discarded(rest, discarded);
        discarded
    }

    /// Records that this many bytes of the rest of a rejected message were passed over.
    pub fn count_discarded(&mut self, rest: RejectedRest, bytes: usize) {
        let left = rest.bytes - bytes;
        self.rejected_rest = (left > 0).then_some(RejectedRest { bytes: left, ..rest });
        self.pipeline.take(bytes);
    }

    /// Returns when the first byte arrived of a message that is not complete, in Unix seconds; `None` if there is no such
    /// message. `now` is for a byte whose arrival is not recorded.
    pub fn partial_message_since(&self, now: f64) -> Option<f64> {
        let rejected = self.rejected_rest.map(|rest| rest.arrived_at);
        rejected.or_else(|| (!self.inbox.is_empty()).then(|| self.arrivals.time_of(0, now)))
    }

    /// Holds the ids of the statements in the inbox that have become complete. `now` is in Unix seconds.
    pub fn scan_pipeline(&mut self, ids: &StatementIds, now: f64) {
        if matches!(self.phase, ConnectionPhase::Idle | ConnectionPhase::Busy(_)) {
            self.pipeline.scan(&self.inbox, &self.arrivals, ids, now);
        }
    }
}
