//! The control listener: a line with a question in, JSON objects out, a line each. On loopback only.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use calloop::RegistrationToken;
use slab::Slab;
use slog::warn;
use socket2::Socket;

use crate::control::fleet_report::FleetReport;
use crate::protocol::socket::{self, Outbox, ReadOutcome};
use crate::protocol::socket_failure::AcceptFailure;
use crate::reactor::{Context, Source};
use crate::timers::{Timer, TimerHandle};

/// Connections at a time; the next waits in the accept backlog.
const MAX_CLIENTS: usize = 4;
/// Failures of accept in a row after which it is called again only after [`RETRY_DELAY`].
const MAX_FAILURES: usize = 32;
/// Seconds between two calls of accept where it fails.
const RETRY_DELAY: f64 = 0.25;
/// A connection is closed after so many seconds, whatever is left to read or write.
const CLIENT_LIFETIME: f64 = 2.0;
/// The longest question, in bytes.
const MAX_QUESTION_BYTES: usize = 256;

/// The connection of an operator.
struct ControlClient {
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: BytesMut,
    outbox: Outbox,
    was_answered: bool,
    timer: TimerHandle,
}

/// The listener, if the fleet's configuration names one, and its connections.
#[derive(Default)]
pub struct ControlServer {
    listener: Option<Rc<Socket>>,
    /// Each is closed with its answer, or after its lifetime.
    clients: Slab<ControlClient>,
    /// When accepting is tried again after a failure.
    retry: Option<TimerHandle>,
}

impl ControlServer {
    /// Listens at `address`.
    ///
    /// # Errors
    /// If the address can't be had.
    pub fn open(&mut self, address: SocketAddr, context: &mut Context) -> io::Result<()> {
        let socket = socket::listen(address, MAX_CLIENTS)?;
        let (listener, _) = context.register(socket, Source::Control)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// The listener became ready: accepts as many as there is room for.
    pub fn on_ready(&mut self, report: &FleetReport, context: &mut Context) {
        let Some(listener) = self.listener.clone() else { return };
        let mut failures = 0;
        while self.clients.len() < MAX_CLIENTS {
            let socket = match socket::accept(&listener) {
                Ok(Some(socket)) => socket,
                Ok(None) => return,
                Err(error)
                    if AcceptFailure::of(&error) == AcceptFailure::TakeNext && failures < MAX_FAILURES =>
                {
                    failures += 1;
                    continue;
                }
                Err(error) => return self.retry_later(&error, context),
            };
            let id = self.clients.vacant_key();
            let Ok((socket, token)) = context.register(socket, Source::ControlClient(id)) else {
                // The socket is closed by this; the operator can ask again.
                continue;
            };
            self.clients.insert(ControlClient {
                socket,
                token,
                inbox: BytesMut::new(),
                outbox: Outbox::default(),
                was_answered: false,
                timer: context.timers.set(context.now() + CLIENT_LIFETIME, Timer::ControlClient(id)),
            });
            self.on_client_ready(id, report, context);
        }
    }

    /// Has accepting tried again: no readiness tells anew of connections that wait already.
    fn retry_later(&mut self, error: &io::Error, context: &mut Context) {
        warn!(context.log, "accept failed on the control listener"; "error" => %error);
        let retry = context.timers.set(context.now() + RETRY_DELAY, Timer::Control);
        let previous = self.retry.replace(retry);
        context.timers.clear(previous.filter(|previous| *previous != retry));
    }

    /// A connection became ready: reads the question, and writes what `report` answers.
    pub fn on_client_ready(&mut self, id: usize, report: &FleetReport, context: &mut Context) {
        let Some(client) = self.clients.get_mut(id) else { return };
        let outcome = socket::read(&client.socket, &mut client.inbox, MAX_QUESTION_BYTES);
        if let Some(question) = client.take_line() {
            client.outbox.push(Bytes::from(report.answer(&question)));
            client.was_answered = true;
        }
        let keep = match client.outbox.flush(&client.socket) {
            // More than the socket takes: the rest once there is room, or the lifetime is over.
            Ok(false) => true,
            // One question a connection: its end says that the answer is complete.
            Ok(true) => !client.was_answered && matches!(outcome, Ok(ReadOutcome::Drained)),
            Err(_) => false,
        };
        if !keep {
            self.close_client(id, context);
        }
    }

    /// Closes a connection, which was answered or whose lifetime is over; the next may be accepted.
    pub fn close_client(&mut self, id: usize, context: &mut Context) {
        let Some(client) = self.clients.try_remove(id) else { return };
        context.timers.clear(Some(client.timer));
        context.deregister(client.token);
        context.wake(Source::Control);
    }
}

impl ControlClient {
    /// The question, once its line is there whole.
    fn take_line(&mut self) -> Option<String> {
        let end = self.inbox.iter().position(|byte| *byte == b'\n')?;
        let line = self.inbox.split_to(end + 1);
        Some(String::from_utf8_lossy(&line).trim().to_string())
    }
}
