//! Clients: their connections, their queries, their answers.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::{Request, WorkEstimate};
use ottersill_statement::classify::{self, StatementKind};
use ottersill_statement::fingerprint_cache::StatementInfo;
use slog::{info, warn};
use socket2::Socket;

use crate::client::connection::{ClientConnection, ConnectionPhase, UnwatchedClient};
use crate::event_loop::{EventLoop, TIMING_MARGIN};
use crate::in_flight::{InFlightRequest, RequestPhase};
use crate::protocol::frame::{self, ErrorCode, Startup};
use crate::protocol::socket::{self, Outbox, ReadOutcome};
use crate::protocol::socket_failure::AcceptFailure;
use crate::protocol::statement_text::{StatementText, peek_time_left};
use crate::reactor::Source;
use crate::timers::Timer;

/// Accepted in one turn, so that a crowd of new connections holds up no answer.
const MAX_ACCEPTS_PER_WAKE: usize = 64;

/// So many failures of single connections in one turn are taken for one of the listener, which would go on for ever.
const MAX_ACCEPT_FAILURES: usize = MAX_ACCEPTS_PER_WAKE / 2;

/// A connection with no statement open may be closed after so many seconds, as the service page has it.
const IDLE_TIMEOUT: f64 = 2.0;
/// Who has sent nothing that can be answered gets an error or a close this long after connecting, who stops in the middle of a
/// message this long after its first byte; seconds. The service page owes it within 3 s: the rest is for a router that is request
/// up twice, before it reads that byte and before it answers.
const INCOMPLETE_INPUT_TIMEOUT: f64 = 2.6;
/// Who has sent a part of a message behind a statement that took long has this much after its answer; seconds.
const REMAINDER_TIMEOUT: f64 = 0.25;
/// Who waits at the door for a descriptor is looked at again after so many seconds.
const ACCEPT_RETRY_DELAY: f64 = 0.25;
/// Read ahead of the answer to the statement in hand while memory is plenty, so that the client's end is seen behind it, and
/// those are seen that have to be answered before that one has had its time. What is beyond waits at the client: it counts
/// as taken, and is never dropped.
const MAX_READ_AHEAD_BYTES: usize = MAX_PIPELINED * frame::MAX_MESSAGE_BYTES;
/// Statements sent behind one that are looked at before it is sent: their number bounds what each costs; those further behind
/// are looked at as it gets shorter.
const MAX_PIPELINED: usize = 16;

impl EventLoop {
    pub fn on_listener_ready(&mut self) {
        if self.accept_clients(MAX_ACCEPTS_PER_WAKE) {
            self.wake(Source::Listener);
        } else {
            self.close_listener_if_drained();
        }
    }

    /// Once nobody is at the door of a router that retires, as far as can be told.
    pub fn close_listener_if_drained(&mut self) {
        if self.is_draining && self.accept_retry.is_none() {
            if let Some((_, token)) = self.listener.take() {
                self.handle.remove(token);
            }
        }
    }

    /// Accepts at most so many; true if more may be at the door.
    pub fn accept_clients(&mut self, most: usize) -> bool {
        let Some((listener, _)) = self.listener.clone() else { return false };
        self.timers.clear(self.accept_retry.take());
        let mut failures = 0;
        for _ in 0..most {
            let room = self.make_room_for_client();
            if self.clients.len() >= self.limits.clients + self.limits.rejected_clients
                && !self.close_one_lingering()
            {
                // They wait at the door, where what they sent is kept, until a client leaves.
                self.accept_retry = Some(self.timers.set(self.now + ACCEPT_RETRY_DELAY, Timer::Listener));
                return false;
            }
            match self.next_client(&listener) {
                Ok(Some(next)) => {
                    if !self.add_client(next, room) {
                        self.accept_retry =
                            Some(self.timers.set(self.now + ACCEPT_RETRY_DELAY, Timer::Listener));
                        return false;
                    }
                    // Clients may hold a third of the descriptors for requests: those that ask once and stay would
                    // leave the others none long before this router is full.
                    let open = |c: &ClientConnection| c.has_queried && c.phase != ConnectionPhase::Lingering;
                    let asked =
                        |event_loop: &EventLoop| event_loop.clients.iter().filter(|(_, c)| open(c)).count();
                    while asked(self) > self.limits.established_clients && self.close_idle_client(true) {}
                }
                Ok(None) => return false,
                Err(e)
                    if AcceptFailure::of(&e) == AcceptFailure::TakeNext && failures < MAX_ACCEPT_FAILURES =>
                {
                    failures += 1;
                    self.counters.accepts_failed += 1;
                }
                // Tried again after a while, as trying at once would keep the loop busy for nothing, and no readiness
                // tells again of those who wait already.
                Err(e) => {
                    self.counters.accepts_failed += 1;
                    warn!(self.log, "accept"; "fault" => %e);
                    self.accept_retry = Some(self.timers.set(self.now + ACCEPT_RETRY_DELAY, Timer::Listener));
                    return false;
                }
            }
        }
        true
    }

    /// Whether one more client can be taken on; makes room by ending what idles.
    fn make_room_for_client(&mut self) -> bool {
        // Those that are being closed hold spare descriptors, and give them up first.
        let open = self.clients.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering).count();
        // Who has said nothing yet goes first: a crowd of those must not cost the others their connections.
        (open < self.limits.clients || self.close_idle_client(false) || self.close_idle_client(true))
            && (self.clients.len() + self.backends.len() < self.limits.total
                || self.close_one_lingering()
                || self.close_longest_idle_backend())
    }

    /// The client that could not be watched before, or one from the queue.
    fn next_client(&mut self, listener: &Socket) -> io::Result<Option<UnwatchedClient>> {
        if let Some(waiting) = self.unwatched_client.take() {
            return Ok(Some(waiting));
        }
        let accepted = socket::accept(listener)?;
        Ok(accepted.map(|socket| UnwatchedClient { socket: Rc::new(socket), since: self.now }))
    }

    /// Takes a client on. One for whom there is no room is let in all the same, to be told so once its statement is read: an
    /// answer that leaves unread what the client sent is lost with the reset that this makes. False if the loop can't watch
    /// the connection for now: it is kept unread and tried again, and is closed once its time is over.
    fn add_client(&mut self, next: UnwatchedClient, is_admitted: bool) -> bool {
        let id = self.clients.vacant_key();
        let watched = self.register_shared(&next.socket, Source::Client(id));
        let UnwatchedClient { socket, since } = next;
        match watched {
            Err(fault) if self.now < since + INCOMPLETE_INPUT_TIMEOUT => {
                warn!(self.log, "client not watched yet"; "fault" => %fault);
                self.unwatched_client = Some(UnwatchedClient { socket, since });
                return false;
            }
            Err(_) => {
                self.counters.client_connections += 1;
                self.counters.client_connections_unwatched += 1;
            }
            Ok(token) => {
                self.counters.client_connections += 1;
                self.counters.client_connections_rejected += u64::from(!is_admitted);
                let (inbox, outbox) = (BytesMut::new(), Outbox::default());
                let phase = ConnectionPhase::AwaitingStartup;
                let timer = Some(self.timers.set(since + INCOMPLETE_INPUT_TIMEOUT, Timer::Client(id)));
                self.clients.insert(ClientConnection {
                    phase,
                    phase_since: since,
                    connected_at: since,
                    timer,
                    last_read_at: since,
                    is_admitted,
                    socket,
                    token,
                    inbox,
                    arrivals: VecDeque::new(),
                    outbox,
                    may_have_unread: false,
                    has_queried: false,
                    stored_bytes: 0,
                });
                self.on_client_ready(id);
            }
        }
        true
    }

    /// Every change of a client connection's session.
    pub(crate) fn set_client_phase(&mut self, id: usize, next: ConnectionPhase) {
        let client = &mut self.clients[id];
        self.counters
            .check_invariant(client.phase.may_become(next), "a client connection goes its ways only");
        client.phase = next;
        client.phase_since = self.now;
        if !matches!(next, ConnectionPhase::Busy(_)) && client.timer.is_none() {
            client.timer = Some(self.timers.set(self.now + IDLE_TIMEOUT, Timer::Client(id)));
        }
    }

    /// When this client connection has had its time; never while a statement is in hand.
    fn client_deadline(&self, client: &ClientConnection) -> f64 {
        let halfway = !client.inbox.is_empty();
        match client.phase {
            ConnectionPhase::Busy(_) => f64::INFINITY,
            // Nothing that was sent ahead is cut off, and an answer that nobody reads is no reason to stay. Who has sent a part of
            // a message gets its error before a router that stops may be killed.
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if !client.has_queried && halfway => {
                (client.connected_at + INCOMPLETE_INPUT_TIMEOUT).min(self.answers_by)
            }
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if !client.has_queried => {
                client.connected_at + INCOMPLETE_INPUT_TIMEOUT
            }
            ConnectionPhase::Idle if halfway => {
                let due_at = client.arrived(0, self.now) + INCOMPLETE_INPUT_TIMEOUT;
                due_at.max(client.phase_since + REMAINDER_TIMEOUT).min(self.answers_by)
            }
            ConnectionPhase::Idle if !client.outbox.is_empty() => {
                client.phase_since + INCOMPLETE_INPUT_TIMEOUT
            }
            _ => client.phase_since + IDLE_TIMEOUT,
        }
    }

    /// Has the client looked at then, and not before.
    pub(crate) fn set_client_timer(&mut self, id: usize, at: f64) {
        let timer = self.timers.set(at, Timer::Client(id));
        let before = self.clients[id].timer.replace(timer);
        self.timers.clear(before.filter(|before| *before != timer));
    }

    /// Guards against clients that connect and say nothing, stop halfway, or ask once and stay: each would hold a
    /// descriptor, and the usual clients find no room.
    pub fn on_client_timer(&mut self, id: usize) {
        self.clients[id].timer = None;
        if self.clients[id].phase == ConnectionPhase::Lingering {
            return self.close_client(id);
        }
        // A last look: what has come meanwhile is taken in instead.
        self.on_client_ready(id);
        let Some(client) = self.clients.get(id) else { return };
        if client.phase == ConnectionPhase::Lingering {
            return;
        }
        if client.may_have_unread && client.outbox.is_empty() {
            return self.set_client_timer(id, self.now + TIMING_MARGIN);
        }
        let due_at = self.client_deadline(client);
        if due_at > self.now {
            if due_at.is_finite() {
                self.set_client_timer(id, due_at);
            }
            return;
        }
        self.counters.client_connections_closed_idle += 1;
        let halfway = matches!(client.phase, ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle)
            && !client.inbox.is_empty();
        if halfway && client.outbox.is_empty() {
            self.reject_protocol_violation(
                id,
                ErrorCode::ProtocolViolation,
                "a message that does not come whole",
            );
            self.read_queries(id);
        } else if matches!(client.phase, ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle)
            && client.outbox.is_empty()
        {
            self.begin_close(id);
        } else {
            self.close_client(id);
        }
    }

    /// Closes the connection that has stood idle for longest, of the clients that have asked, or that have not.
    fn close_idle_client(&mut self, asked: bool) -> bool {
        // One that is new has its first statement on the way.
        let new_since = self.now - TIMING_MARGIN;
        let idle = |c: &ClientConnection| {
            matches!(c.phase, ConnectionPhase::Idle | ConnectionPhase::AwaitingStartup)
                && c.has_queried == asked
                && c.inbox.is_empty()
                && c.outbox.is_empty()
                && !c.may_have_unread
                && (asked || c.phase_since < new_since)
        };
        let all = self.clients.iter().filter(|(_, c)| idle(c)).map(|(id, c)| (c.phase_since, id));
        let mut all: Vec<(f64, usize)> = all.collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in all {
            // A last look: what has come meanwhile is taken in instead.
            self.on_client_ready(id);
            match self.clients.get(id) {
                Some(client) if !idle(client) => continue,
                Some(_) => self.begin_close(id),
                None => {}
            }
            self.counters.client_connections_closed_idle += 1;
            return true;
        }
        false
    }

    pub fn close_idle_clients(&mut self) {
        let all: Vec<usize> = self.clients.iter().map(|(id, _)| id).collect();
        // Each gets a last look, as what has come by now counts as taken.
        all.into_iter().for_each(|id| self.on_client_ready(id));
    }

    /// Ends the connection; a statement of it that is in hand has lost its client.
    pub(crate) fn close_client(&mut self, id: usize) {
        let client = self.clients.remove(id);
        self.stored_statement_bytes -= client.stored_bytes;
        self.timers.clear(client.timer);
        if self.accept_retry.is_some() {
            self.wake(Source::Listener);
        }
        self.handle.remove(client.token);
        if let ConnectionPhase::Busy(request_id) = client.phase {
            self.counters.statements_abandoned += 1;
            let Some(request) = self.requests.get(request_id) else { return };
            let next = match request.phase {
                RequestPhase::Executing(backend) => RequestPhase::Abandoned(backend),
                _ => RequestPhase::Vacant,
            };
            self.requests.transition(request_id, next, &mut self.counters);
            self.report(RoutingEvent::ClientGone(request_id));
            if let RequestPhase::Abandoned(backend) = next {
                // Nobody waits for it any more: what is not on its way stays here.
                self.withdraw(backend);
            }
        }
    }

    /// Counts what is stored for a client: what was read ahead, and its statement. Buffers grow by doubling.
    pub(crate) fn count_stored_bytes(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(id) else { return };
        let text = match client.phase {
            ConnectionPhase::Busy(request_id) => {
                self.requests.get(request_id).map_or(0, |request| request.text.len())
            }
            _ => 0,
        };
        if client.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            client.inbox = BytesMut::new();
        }
        let stored = 2 * (client.inbox.len() + text);
        self.stored_statement_bytes = self.stored_statement_bytes + stored - client.stored_bytes;
        client.stored_bytes = stored;
    }

    pub fn on_client_ready(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(id) else { return };
        match client.phase {
            ConnectionPhase::Rejected => return self.flush_rejected(id),
            ConnectionPhase::Lingering => return self.finish_close(id),
            _ => {}
        }
        client.last_read_at = self.now;
        let busy = matches!(client.phase, ConnectionPhase::Busy(_));
        let plenty = self.stored_statement_bytes < self.limits.statement_bytes / 2;
        // One message ahead of the one in hand at least.
        let most = if busy && plenty { MAX_READ_AHEAD_BYTES } else { frame::MAX_MESSAGE_BYTES };
        let read = client
            .outbox
            .flush(&client.socket)
            .and_then(|_| socket::read(&client.socket, &mut client.inbox, most));
        match read {
            Ok(ReadOutcome::Drained) => client.may_have_unread = false,
            // Its end lies behind what it has sent ahead, and must not wait for that to be read.
            Ok(ReadOutcome::MoreLeft) if socket::has_ended(&client.socket) => return self.close_client(id),
            Ok(ReadOutcome::MoreLeft) => {
                client.may_have_unread = true;
                // Its end may be on its way still, held up by what is not read. Where memory is short it has to wait.
                if busy && client.inbox.len() < most {
                    self.wake(Source::Client(id));
                }
            }
            Ok(ReadOutcome::Ended) | Err(_) => return self.close_client(id),
        }
        self.read_queries(id);
    }

    /// Looks for the client's end, which may not have had its turn to be read.
    pub fn close_client_if_ended(&mut self, id: usize) {
        if self.clients.get(id).is_some_and(|client| socket::has_ended(&client.socket)) {
            self.close_client(id);
        }
    }

    /// Takes in what is there whole, one query at a time: each waits for the answer before it to go out.
    fn read_queries(&mut self, id: usize) {
        loop {
            self.count_stored_bytes(id);
            let Some(client) = self.clients.get_mut(id) else { return };
            client.match_arrivals(self.arrivals_since);
            if !client.outbox.is_empty() {
                return;
            }
            let arrived_at = client.arrived(0, self.arrivals_since);
            let step = match client.phase {
                ConnectionPhase::Busy(_) => return,
                ConnectionPhase::Terminated | ConnectionPhase::Rejected => return self.begin_close(id),
                ConnectionPhase::Lingering => return,
                ConnectionPhase::AwaitingStartup => {
                    frame::take_startup(&mut client.inbox).map(|s| s.map(|s| self.on_startup(id, s)))
                }
                ConnectionPhase::Idle => frame::take_message(&mut client.inbox)
                    .map(|m| m.map(|m| self.on_query(id, m, arrived_at))),
            };
            match step {
                Ok(Some(())) => {}
                // A long statement that there is no room for is turned away before it is whole.
                Ok(None)
                    if self.stored_statement_bytes > self.limits.statement_bytes
                        && self.clients[id].inbox.len() > frame::TYPICAL_MESSAGE_BYTES =>
                {
                    self.counters.client_connections_rejected += 1;
                    self.reject_connection(id, ErrorCode::TooMany, "no memory is left for this statement");
                }
                Ok(None) => return self.await_more_input(id),
                Err(nonsense) => self.reject_protocol_violation(id, ErrorCode::ProtocolViolation, nonsense),
            }
        }
    }

    /// All that arrived_at whole is answered by now; a part of a message may be left, whose rest is waited for.
    fn await_more_input(&mut self, id: usize) {
        let client = &self.clients[id];
        if client.may_have_unread {
            return self.wake(Source::Client(id));
        }
        if !client.inbox.is_empty() {
            let due_at = self.client_deadline(client);
            self.set_client_timer(id, due_at);
        } else if self.is_draining {
            self.begin_close(id);
        }
    }

    fn on_startup(&mut self, id: usize, startup: Startup) {
        match startup {
            Startup::Version3 => {
                self.set_client_phase(id, ConnectionPhase::Idle);
                self.send_to_client(id, [frame::AUTHENTICATION_OK.clone()]);
            }
            Startup::Encryption => self.send_to_client(id, [frame::ENCRYPTION_REFUSED.clone()]),
            // Cancelling is not offered; the protocol has this end without a info.
            Startup::Cancel => self.set_client_phase(id, ConnectionPhase::Terminated),
            Startup::OtherVersion => {
                self.reject_protocol_violation(id, ErrorCode::NotSupported, "only version 3 is spoken here")
            }
        }
    }

    fn on_query(&mut self, id: usize, message: frame::Message, arrived_at: f64) {
        match message.tag() {
            b'Q' => match message.query() {
                Some(text) if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') => {
                    self.counters.empty_queries += 1;
                    self.send_to_client(
                        id,
                        [frame::EMPTY_QUERY_RESPONSE.clone(), frame::READY_FOR_QUERY.clone()],
                    );
                }
                Some(text) => self.on_statement(id, &text, arrived_at),
                None => self.reject_protocol_violation(
                    id,
                    ErrorCode::ProtocolViolation,
                    "a query without its end",
                ),
            },
            b'X' => self.set_client_phase(id, ConnectionPhase::Terminated),
            _ => self.reject_protocol_violation(
                id,
                ErrorCode::NotSupported,
                "only simple queries are spoken here",
            ),
        }
    }

    /// `arrived_at` is when its first byte did: the client counts from there, however long those ahead of it took.
    fn on_statement(&mut self, client: usize, text: &Bytes, arrived_at: f64) {
        let scan = self.fingerprints.scan(text);
        let (statement, comment) = match StatementText::parse(text, &scan) {
            Ok(parsed) => parsed,
            Err(reason) => return self.reject_query(client, ErrorCode::ProtocolViolation, reason),
        };
        let Some(workload) = self.catalog.workloads.iter().position(|name| name == comment.workload) else {
            return self.reject_query(client, ErrorCode::Unknown, "no workload has the name in c");
        };
        if self.endpoints.all.is_empty() {
            // Ready without a list: as it was never sent, coming again is harmless.
            self.counters.rejected_without_endpoint_list += 1;
            let error = self.rejection(self.max_retry_after, "rejected: no list of hosts has come yet");
            return self.send_to_client(client, [error, frame::READY_FOR_QUERY.clone()]);
        }
        let Some(group) = self.endpoints.group(comment.cluster) else {
            return self.reject_query(client, ErrorCode::Unknown, "no list has named this cluster");
        };
        if !self.clients[client].is_admitted {
            return self.reject_without_descriptor(client);
        }
        if self.requests.contains_id(comment.id) {
            // Sent on, it would be taken for a second copy of the one that is open.
            return self.reject_query(
                client,
                ErrorCode::ProtocolViolation,
                "a statement with this id is open",
            );
        }
        let info = self.fingerprints.lookup(self.now, workload, text, scan.fingerprint);
        if let Some(why) = info.refusal {
            self.counters.session_queries += 1;
            return self.reject_query(client, ErrorCode::NotSupported, why);
        }
        let writes = info.kind != StatementKind::Read;
        if writes && self.catalog.reads[workload] {
            self.counters.reads_treated_as_writes += 1;
            self.log_write_classification(workload, text, &info);
        }
        let until = arrived_at + comment.time_left.min(self.catalog.timeouts[workload]);
        let deadline = until.min(self.answers_by).min(self.earliest_pipelined_deadline(client));
        let time_left = (deadline - self.now).max(0.0);
        let id = comment.id;
        let request = Request {
            workload,
            group,
            tenant: None,
            session: comment.session,
            time_left,
            since_write: comment.after.map(|after| (self.now - after).max(0.0)),
            repeat: comment.repeat,
            writes,
            work: info.estimate.map(|e| WorkEstimate { own: e.work, usual: e.typical, spread: e.spread }),
        };
        self.counters.statements += 1;
        self.start_request(request, |event_loop, request_id| {
            let request = InFlightRequest {
                phase: RequestPhase::Waiting,
                client,
                id,
                text: statement,
                cache_key: info.key,
                deadline,
                may_have_run: false,
            };
            event_loop.requests.insert(request_id, request, &mut event_loop.counters);
            event_loop.set_client_phase(client, ConnectionPhase::Busy(request_id));
            event_loop.clients[client].has_queried = true;
        });
    }

    /// By when this statement has to be out of the way of those that its client has sent behind it: answers go out in order,
    /// and one that waits for a longer one would come after its time.
    fn earliest_pipelined_deadline(&mut self, id: usize) -> f64 {
        let Some(client) = self.clients.get_mut(id) else { return f64::INFINITY };
        client.match_arrivals(self.arrivals_since);
        let (mut at, mut due) = (0, f64::INFINITY);
        for _ in 0..MAX_PIPELINED {
            let Ok(Some(whole)) = frame::message_length(&client.inbox[at..]) else { break };
            let text = &client.inbox[at + 5..at + whole];
            if let Some(time_left) = peek_time_left(text) {
                due = due.min(client.arrived(at, self.now) + time_left);
            }
            at += whole;
        }
        due
    }

    /// Why a statement of a reading workload goes to the primary: one line a second tells as much as all would.
    fn log_write_classification(&mut self, workload: usize, text: &[u8], info: &StatementInfo) {
        if self.now - self.write_classification_logged_at < 1.0 {
            return;
        }
        self.write_classification_logged_at = self.now;
        let reading = info.key.and_then(|key| self.fingerprints.classification(&key).cloned());
        let reading =
            reading.unwrap_or_else(|| classify::classify_by_prescan(text, &classify::prescan(text)));
        // What a host said of it is not in the text.
        let why = if reading.kind == StatementKind::Read {
            "hosts that only read turn it away"
        } else {
            &reading.why
        };
        info!(self.log, "text may write"; "why" => why, "nature" => info.kind.name(),
            "workload" => self.catalog.workloads[workload].as_str(), "so_far" => self.counters.reads_treated_as_writes);
    }

    /// The connection is in order, the query is none of this service's.
    fn reject_query(&mut self, id: usize, code: ErrorCode, text: &str) {
        self.counters.invalid_queries += 1;
        self.send_to_client(id, [frame::error("ERROR", code, text, None), frame::READY_FOR_QUERY.clone()]);
    }

    /// Rejects a statement of a client for which there is no room. The connection ends with the last one that it has sent, as each
    /// that was read is owed an answer.
    fn reject_without_descriptor(&mut self, id: usize) {
        const WHY: &str = "no descriptor is left for this client";
        let client = &self.clients[id];
        if client.inbox.is_empty() && !client.may_have_unread {
            self.reject_connection(id, ErrorCode::TooMany, WHY);
        } else {
            self.send_to_client(
                id,
                [frame::error("ERROR", ErrorCode::TooMany, WHY, None), frame::READY_FOR_QUERY.clone()],
            );
        }
    }

    /// What this client sends can't be trusted any more.
    fn reject_protocol_violation(&mut self, id: usize, code: ErrorCode, text: &str) {
        self.counters.client_protocol_errors += 1;
        info!(self.log, "client dismissed"; "reason" => text);
        self.reject_connection(id, code, text);
    }

    fn reject_connection(&mut self, id: usize, code: ErrorCode, text: &str) {
        self.set_client_phase(id, ConnectionPhase::Rejected);
        self.send_to_client(id, [frame::error("FATAL", code, text, None)]);
    }

    fn send_to_client<const N: usize>(&mut self, id: usize, slices: [Bytes; N]) {
        let client = &mut self.clients[id];
        slices.into_iter().for_each(|slice| client.outbox.push(slice));
        // A failure shows when the connection is read next.
        if client.outbox.flush(&client.socket).is_err() {
            self.wake(Source::Client(id));
        }
    }

    /// The one final answer of a statement that is not orphaned.
    fn answer<const N: usize>(&mut self, request_id: usize, slices: [Bytes; N]) {
        let Some(request) = self.requests.get(request_id) else { return };
        let client = request.client;
        self.requests.transition(request_id, RequestPhase::Vacant, &mut self.counters);
        self.set_client_phase(client, ConnectionPhase::Idle);
        self.send_to_client(client, slices);
        self.count_stored_bytes(client);
        let client_at = &self.clients[client];
        if self.is_draining || client_at.may_have_unread || !client_at.inbox.is_empty() {
            self.wake(Source::Client(client));
        }
    }

    pub fn complete(&mut self, request_id: usize, [description, row, complete]: [Bytes; 3]) {
        self.counters.completed += 1;
        self.answer(request_id, [description, row, complete, frame::READY_FOR_QUERY.clone()]);
    }

    pub fn reject(&mut self, request_id: usize, retry_after: f64) {
        self.counters.rejected += 1;
        let error = self.rejection(retry_after, "rejected: nothing ran");
        self.answer(request_id, [error, frame::READY_FOR_QUERY.clone()]);
    }

    fn rejection(&self, retry_after: f64, text: &str) -> Bytes {
        let come_again = (retry_after > 0.0).then_some((retry_after * 1000.0).ceil() as u64);
        frame::error("ERROR", ErrorCode::TooMany, text, come_again)
    }

    pub fn abort(&mut self, request_id: usize) {
        self.counters.aborted += 1;
        let error = frame::error("ERROR", ErrorCode::CompletionUnknown, "aborted: it may have run", None);
        self.answer(request_id, [error, frame::READY_FOR_QUERY.clone()]);
    }
}
