//! Client connections.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::BytesMut;
use calloop::RegistrationToken;
use socket2::Socket;

use crate::protocol::socket::Outbox;
use crate::timers::TimerHandle;

/// Who has sent nothing that can be answered gets an error or a close this long after connecting, who stops in the middle of a
/// message this long after its first byte; seconds. The service page owes it within 3 s: the rest is for a router that is held
/// up twice, before it reads that byte and before it answers.
pub const INCOMPLETE_INPUT_TIMEOUT: f64 = 2.6;

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The startup message is awaited.
    AwaitingStartup,
    /// Between statements.
    Idle,
    /// The request with that number is in flight.
    Busy(usize),
    /// The client has said that it ends: the connection is shut.
    Terminated,
    /// Rejected with an error, which is still being written.
    Rejected,
    /// Shut for writing. Nothing is read any more, so that what the client still sends counts as not read; the connection is
    /// closed once the client has ended too, or after a bounded time.
    Lingering,
}

impl ConnectionPhase {
    /// Whether a connection in this phase may go over to the next.
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

/// A connection that was accepted and that the event loop does not watch yet; nothing of it is read.
pub struct UnwatchedClient {
    /// Does not block.
    pub socket: Rc<Socket>,
    /// When it was accepted.
    pub since: f64,
}

/// A connection of a client. Times are Unix seconds.
pub struct ClientConnection {
    /// Changed by `Clients::set_phase` alone.
    pub phase: ConnectionPhase,
    /// When its phase began.
    pub phase_since: f64,
    /// When the connection began.
    pub connected_at: f64,
    /// When it is looked at next, though nothing comes.
    pub timer: Option<TimerHandle>,
    /// When it was last looked at for bytes, or its end.
    pub last_read_at: f64,
    /// False if it was accepted only to be told that there is no room.
    pub is_admitted: bool,
    /// Does not block.
    pub socket: Rc<Socket>,
    /// Of its registration at the event loop.
    pub token: RegistrationToken,
    /// May hold further queries that a client sent ahead.
    pub inbox: BytesMut,
    /// When what is in the inbox came: so many bytes at that time, the oldest first. Emptied with the inbox.
    pub arrivals: VecDeque<(usize, f64)>,
    /// Holds one answer at most, as the next query waits for it to go out.
    pub outbox: Outbox,
    /// More may be there to read, and no further readiness will tell of it.
    pub may_have_unread: bool,
    /// It has sent a statement before.
    pub has_queried: bool,
    /// Of its statement in flight; of no meaning in other phases than [`ConnectionPhase::Busy`].
    pub statement_bytes: usize,
    /// Bytes counted for it by [`ClientTable`](crate::client::table::ClientTable).
    pub stored_bytes: usize,
}

/// Arrivals told apart for one client; what comes beyond counts as come with the last of these.
const MAX_ARRIVALS: usize = 64;

impl ClientConnection {
    /// A connection that was accepted and is watched from now on. `is_admitted` is false if it is to be told that there is no
    /// room.
    pub fn new(
        accepted: UnwatchedClient,
        token: RegistrationToken,
        timer: TimerHandle,
        is_admitted: bool,
    ) -> ClientConnection {
        ClientConnection {
            phase: ConnectionPhase::AwaitingStartup,
            phase_since: accepted.since,
            connected_at: accepted.since,
            timer: Some(timer),
            last_read_at: accepted.since,
            is_admitted,
            socket: accepted.socket,
            token,
            inbox: BytesMut::new(),
            arrivals: VecDeque::new(),
            outbox: Outbox::default(),
            may_have_unread: false,
            has_queried: false,
            statement_bytes: 0,
            stored_bytes: 0,
        }
    }

    /// Drops what was read of it, and the memory that this takes.
    pub fn discard_input(&mut self) {
        self.inbox = BytesMut::new();
        self.arrivals = VecDeque::new();
        self.may_have_unread = false;
    }

    /// Has the arrivals match the inbox, after each reading into it and each taking out of it.
    pub fn match_arrivals(&mut self, now: f64) {
        let noted: usize = self.arrivals.iter().map(|(bytes, _)| bytes).sum();
        let more = self.inbox.len().saturating_sub(noted);
        let full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some((bytes, _)) if full => *bytes += more,
            _ if more > 0 => self.arrivals.push_back((more, now)),
            _ => {}
        }
        let mut less = noted.saturating_sub(self.inbox.len());
        while let Some((bytes, _)) = self.arrivals.front_mut().filter(|_| less > 0) {
            let taken = less.min(*bytes);
            (*bytes, less) = (*bytes - taken, less - taken);
            if *bytes == 0 {
                self.arrivals.pop_front();
            }
        }
    }

    /// When that byte of the inbox came.
    pub fn arrived(&self, at: usize, now: f64) -> f64 {
        let mut end = 0;
        let mark = self.arrivals.iter().find(|(bytes, _)| {
            end += bytes;
            at < end
        });
        mark.map_or(now, |(_, came)| *came)
    }
}
