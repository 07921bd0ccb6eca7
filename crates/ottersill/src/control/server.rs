//! The control listener. A client sends one line with a question, and receives JSON objects, one per line. It listens on
//! loopback addresses only.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use calloop::RegistrationToken;
use slab::Slab;
use slog::warn;
use socket2::Socket;

use crate::control::fleet_report::FleetReport;
use crate::protocol::read_buffer::{ReadBuffer, ReadOutcome};
use crate::protocol::socket::{self, Outbox};
use crate::protocol::socket_failure::AcceptFailure;
use crate::reactor::{Context, Source};
use crate::timers::{Timer, TimerHandle};

/// Concurrent connections. Further ones wait in the listen backlog.
const MAX_CLIENTS: usize = 4;
/// Failed calls of accept in a row that are retried at once; after these it is called again after
/// [`ACCEPT_RETRY_DELAY_SECONDS`].
const MAX_ACCEPT_FAILURES: usize = 32;
/// Delay before accept is called again after it has failed.
const ACCEPT_RETRY_DELAY_SECONDS: f64 = 0.25;
/// Lifetime of a connection. It is closed then, even if the question or the answer is incomplete.
const CLIENT_LIFETIME_SECONDS: f64 = 2.0;
/// Maximum length of a question, in bytes.
const MAX_QUESTION_BYTES: usize = 256;

/// The connection of an operator's client.
struct ControlClient {
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: ReadBuffer,
    outbox: Outbox,
    is_answered: bool,
    timer: TimerHandle,
}

/// The control listener, if the fleet file gives an address for it, and its connections.
#[derive(Default)]
pub struct ControlServer {
    listener: Option<Rc<Socket>>,
    /// Open connections. Each is closed once its answer is sent, or at the end of its lifetime.
    clients: Slab<ControlClient>,
    /// The timer for the next call of accept after a failure.
    retry: Option<TimerHandle>,
}

impl ControlServer {
    /// Starts to listen at `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn open(&mut self, address: SocketAddr, context: &mut Context) -> io::Result<()> {
        let socket = socket::listen(address, MAX_CLIENTS)?;
        let (listener, _) = context.register(socket, Source::Control)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Handles readiness of the listener: accepts connections up to the limit of concurrent ones.
    pub fn on_ready(&mut self, report: &FleetReport, context: &mut Context) {
        let Some(listener) = self.listener.clone() else { return };
        let mut failures = 0;
        while self.clients.len() < MAX_CLIENTS {
            let socket = match socket::accept(&listener) {
                Ok(Some(socket)) => socket,
                Ok(None) => return,
                Err(error)
                    if AcceptFailure::of(&error) == AcceptFailure::TakeNext
                        && failures < MAX_ACCEPT_FAILURES =>
                {
                    failures += 1;
                    continue;
                }
                Err(error) => return self.schedule_accept_retry(&error, context),
            };
            let id = self.clients.vacant_key();
            let Ok((socket, token)) = context.register(socket, Source::ControlClient(id)) else {
                // The failed registration has closed the socket. The operator can connect again.
                continue;
            };
            self.clients.insert(ControlClient {
                socket,
                token,
                inbox: ReadBuffer::default(),
                outbox: Outbox::default(),
                is_answered: false,
                timer: context.timers.set(context.now() + CLIENT_LIFETIME_SECONDS, Timer::ControlClient(id)),
            });
            self.on_client_ready(id, report, context);
        }
    }

    /// Schedules the next call of accept, as the edge-triggered listener reports no readiness for connections that already wait.
    fn schedule_accept_retry(&mut self, error: &io::Error, context: &mut Context) {
        warn!(context.log, "accept failed on the control listener"; "error" => %error);
        let retry = context.timers.set(context.now() + ACCEPT_RETRY_DELAY_SECONDS, Timer::Control);
        let previous = self.retry.replace(retry);
        context.timers.clear(previous.filter(|previous| *previous != retry));
    }

    /// Handles readiness of a connection: reads the question, and writes the answer that `report` gives.
    pub fn on_client_ready(&mut self, id: usize, report: &FleetReport, context: &mut Context) {
        let Some(client) = self.clients.get_mut(id) else { return };
        let outcome = client.inbox.read(&client.socket, MAX_QUESTION_BYTES);
        if let Some(question) = client.take_question() {
            context.work.count_message(0);
            client.outbox.push(Bytes::from(report.answer(&question)));
            client.is_answered = true;
        }
        let keep = match client.outbox.flush(&client.socket) {
            // The socket's send buffer is full. The remainder is written once the socket is writable again.
            Ok(false) => true,
            // There is one question per connection; closing the connection marks the end of the answer.
            Ok(true) => !client.is_answered && matches!(outcome, Ok(ReadOutcome::Drained)),
            Err(_) => false,
        };
        if !keep {
            self.close_client(id, context);
        }
    }

    /// Closes a connection that is answered or has reached its lifetime, so that the next one can be accepted.
    pub fn close_client(&mut self, id: usize, context: &mut Context) {
        let Some(client) = self.clients.try_remove(id) else { return };
        context.timers.clear(Some(client.timer));
        context.deregister(client.token);
        context.wake(Source::Control);
    }
}

impl ControlClient {
    /// Returns the question once its line is complete.
    fn take_question(&mut self) -> Option<String> {
        let line = self.inbox.take(|bytes| {
            let end = bytes.iter().position(|byte| *byte == b'\n');
            Ok::<_, Infallible>(end.map(|end| bytes.split_to(end + 1)))
        });
        line.ok().flatten().map(|line| String::from_utf8_lossy(&line).trim().to_string())
    }
}
