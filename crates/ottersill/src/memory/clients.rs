//! Client connections.

use std::rc::Rc;

use bytes::BytesMut;
use calloop::RegistrationToken;
use socket2::Socket;

use crate::memory::alarms::Set;
use crate::wire::socket::Outbox;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Session {
    /// The startup message is awaited.
    Greeting,
    /// Between statements; `since` is when it last had something to do.
    Idle,
    /// That statement is in hand.
    Busy(usize),
    /// The client has ended: the connection is closed.
    Leaving,
    /// Told that it ends: the last words go out.
    Dismissed,
    /// Shut for writing; what the client still sends is read and dropped until it ends too, as a close over unread bytes
    /// is a reset, which takes with it what the client has not read yet. Nothing that comes now is sent on.
    Closing,
}

impl Session {
    pub fn may_become(self, next: Session) -> bool {
        use Session::*;
        matches!(
            (self, next),
            (Greeting, Idle)
                | (Idle, Busy(_))
                | (Busy(_), Idle)
                | (Greeting | Idle, Leaving | Dismissed | Closing)
                | (Dismissed, Closing)
        )
    }
}

pub struct Client {
    pub session: Session,
    pub since: f64,
    /// When the message that is coming in began, or the connection, until a first statement has come.
    pub begun: f64,
    pub alarm: Option<Set>,
    /// When it was last looked at for bytes, or its end.
    pub looked_at: f64,
    /// Bytes dropped, of a flood or since it was shut.
    pub dropped: usize,
    /// False if it was let in only to be told that there is no room.
    pub welcome: bool,
    pub socket: Rc<Socket>,
    pub token: RegistrationToken,
    /// May hold further queries that a client sent ahead; at most one message is read ahead.
    pub inbox: BytesMut,
    /// Holds one answer at most, as the next query waits for it to go out.
    pub outbox: Outbox,
    /// More may be there to read, and no further readiness will tell of it.
    pub unread: bool,
    /// It has sent more ahead of its statement's answer than is kept, which is dropped: told so after that answer.
    pub flooded: bool,
    /// It has sent a statement before.
    pub used: bool,
    /// Bytes counted for it in [`Exchange::stored`](crate::wire::exchange::Exchange).
    pub stored: usize,
}
