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

use crate::client::connection::{Client, Session, UnwatchedClient};
use crate::event_loop::{Exchange, LEEWAY, Party};
use crate::in_flight::{Held, Stage};
use crate::protocol::frame::{self, Code, Startup};
use crate::protocol::socket::{self, Got, Outbox};
use crate::protocol::socket_failure::AcceptFailure;
use crate::protocol::statement_text::{Text, glance_at_time_left};
use crate::timers::Timer as Alarm;

/// Accepted in one turn, so that a crowd of new connections holds up no answer.
const ACCEPTS: usize = 64;

/// So many failures of single connections in one turn are taken for one of the listener, which would go on for ever.
const ACCEPT_FAILURES: usize = ACCEPTS / 2;

/// A connection with no statement open may be closed after so many seconds, as the service page has it.
const IDLE: f64 = 2.0;
/// Who has sent nothing that can be answered gets an error or a close this long after connecting, who stops in the middle of a
/// message this long after its first byte; seconds. The service page owes it within 3 s: the rest is for a router that is held
/// up twice, before it reads that byte and before it answers.
const OWED: f64 = 2.6;
/// Who has sent a part of a message behind a statement that took long has this much after its answer; seconds.
const REST_AFTER_ANSWER: f64 = 0.25;
/// Who waits at the door for a descriptor is looked at again after so many seconds.
const DOOR: f64 = 0.25;
/// Read ahead of the answer to the statement in hand while memory is plenty, so that the client's end is seen behind it, and
/// those are seen that have to be answered before that one has had its time. What is beyond waits at the client: it counts
/// as taken, and is never dropped.
const AHEAD: usize = BEHIND * frame::LONGEST;
/// Statements sent behind one that are looked at before it is sent: their number bounds what each costs; those further behind
/// are looked at as it gets shorter.
const BEHIND: usize = 16;

impl Exchange {
    pub fn listener_is_ready(&mut self) {
        if self.accept(ACCEPTS) {
            self.again(Party::Listener);
        } else {
            self.close_door();
        }
    }

    /// Once nobody is at the door of a router that retires, as far as can be told.
    pub fn close_door(&mut self) {
        if self.retiring && self.crowd.is_none() {
            if let Some((_, token)) = self.listener.take() {
                self.handle.remove(token);
            }
        }
    }

    /// Accepts at most so many; true if more may be at the door.
    pub fn accept(&mut self, most: usize) -> bool {
        let Some((listener, _)) = self.listener.clone() else { return false };
        self.alarms.clear(self.crowd.take());
        let mut failures = 0;
        for _ in 0..most {
            let room = self.has_room();
            if self.clients.len() >= self.berths.clients + self.berths.spare && !self.drop_closing() {
                // They wait at the door, where what they sent is kept, until a client leaves.
                self.crowd = Some(self.alarms.set(self.now + DOOR, Alarm::Listener));
                return false;
            }
            match self.next_client(&listener) {
                Ok(Some(next)) => {
                    if !self.admit(next, room) {
                        self.crowd = Some(self.alarms.set(self.now + DOOR, Alarm::Listener));
                        return false;
                    }
                    // Clients may hold a third of the descriptors for requests: those that ask once and stay would
                    // leave the others none long before this router is full.
                    let open = |c: &Client| c.used && c.session != Session::Closing;
                    let asked =
                        |exchange: &Exchange| exchange.clients.iter().filter(|(_, c)| open(c)).count();
                    while asked(self) > self.berths.easy && self.close_idle_client(true) {}
                }
                Ok(None) => return false,
                Err(e) if AcceptFailure::of(&e) == AcceptFailure::TakeNext && failures < ACCEPT_FAILURES => {
                    failures += 1;
                    self.counters.accepts_failed += 1;
                }
                // Tried again after a while, as trying at once would keep the loop busy for nothing, and no readiness
                // tells again of those who wait already.
                Err(e) => {
                    self.counters.accepts_failed += 1;
                    warn!(self.log, "accept"; "fault" => %e);
                    self.crowd = Some(self.alarms.set(self.now + DOOR, Alarm::Listener));
                    return false;
                }
            }
        }
        true
    }

    /// Whether one more client can be taken on; makes room by ending what idles.
    fn has_room(&mut self) -> bool {
        // Those that are being closed hold spare descriptors, and give them up first.
        let open = self.clients.iter().filter(|(_, c)| c.session != Session::Closing).count();
        // Who has said nothing yet goes first: a crowd of those must not cost the others their connections.
        (open < self.berths.clients || self.close_idle_client(false) || self.close_idle_client(true))
            && (self.clients.len() + self.lines.len() < self.berths.all
                || self.drop_closing()
                || self.close_idle_line())
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
    fn admit(&mut self, next: UnwatchedClient, welcome: bool) -> bool {
        let id = self.clients.vacant_key();
        let watched = self.attend_shared(&next.socket, Party::Client(id));
        let UnwatchedClient { socket, since } = next;
        match watched {
            Err(fault) if self.now < since + OWED => {
                warn!(self.log, "client not watched yet"; "fault" => %fault);
                self.unwatched_client = Some(UnwatchedClient { socket, since });
                return false;
            }
            Err(_) => {
                self.counters.clients += 1;
                self.counters.clients_unwatched += 1;
            }
            Ok(token) => {
                self.counters.clients += 1;
                self.counters.clients_turned_away += u64::from(!welcome);
                let (inbox, outbox) = (BytesMut::new(), Outbox::default());
                let session = Session::Greeting;
                let alarm = Some(self.alarms.set(since + OWED, Alarm::Client(id)));
                self.clients.insert(Client {
                    session,
                    since,
                    begun: since,
                    alarm,
                    looked_at: since,
                    welcome,
                    socket,
                    token,
                    inbox,
                    arrivals: VecDeque::new(),
                    outbox,
                    unread: false,
                    used: false,
                    stored: 0,
                });
                self.client_is_ready(id);
            }
        }
        true
    }

    /// Every change of a client connection's session.
    pub(crate) fn session_passes(&mut self, id: usize, next: Session) {
        let client = &mut self.clients[id];
        self.counters.must(client.session.may_become(next), "a client connection goes its ways only");
        client.session = next;
        client.since = self.now;
        if !matches!(next, Session::Busy(_)) && client.alarm.is_none() {
            client.alarm = Some(self.alarms.set(self.now + IDLE, Alarm::Client(id)));
        }
    }

    /// When this client connection has had its time; never while a statement is in hand.
    fn due_at(&self, client: &Client) -> f64 {
        let halfway = !client.inbox.is_empty();
        match client.session {
            Session::Busy(_) => f64::INFINITY,
            // Nothing that was sent ahead is cut off, and an answer that nobody reads is no reason to stay. Who has sent a part of
            // a message gets its error before a router that stops may be killed.
            Session::Greeting | Session::Idle if !client.used && halfway => {
                (client.begun + OWED).min(self.stops_at)
            }
            Session::Greeting | Session::Idle if !client.used => client.begun + OWED,
            Session::Idle if halfway => {
                let due_at = client.arrived(0, self.now) + OWED;
                due_at.max(client.since + REST_AFTER_ANSWER).min(self.stops_at)
            }
            Session::Idle if !client.outbox.is_empty() => client.since + OWED,
            _ => client.since + IDLE,
        }
    }

    /// Has the client looked at then, and not before.
    pub(crate) fn set_client_alarm(&mut self, id: usize, at: f64) {
        let alarm = self.alarms.set(at, Alarm::Client(id));
        let before = self.clients[id].alarm.replace(alarm);
        self.alarms.clear(before.filter(|before| *before != alarm));
    }

    /// Guards against clients that connect and say nothing, stop halfway, or ask once and stay: each would hold a
    /// descriptor, and the usual clients find no room.
    pub fn client_is_due(&mut self, id: usize) {
        self.clients[id].alarm = None;
        if self.clients[id].session == Session::Closing {
            return self.close_client(id);
        }
        // A last look: what has come meanwhile is taken in instead.
        self.client_is_ready(id);
        let Some(client) = self.clients.get(id) else { return };
        if client.session == Session::Closing {
            return;
        }
        if client.unread && client.outbox.is_empty() {
            return self.set_client_alarm(id, self.now + LEEWAY);
        }
        let due_at = self.due_at(client);
        if due_at > self.now {
            if due_at.is_finite() {
                self.set_client_alarm(id, due_at);
            }
            return;
        }
        self.counters.clients_closed_idle += 1;
        let halfway = matches!(client.session, Session::Greeting | Session::Idle) && !client.inbox.is_empty();
        if halfway && client.outbox.is_empty() {
            self.dismiss(id, Code::ProtocolViolation, "a message that does not come whole");
            self.read_queries(id);
        } else if matches!(client.session, Session::Greeting | Session::Idle) && client.outbox.is_empty() {
            self.shut_client(id);
        } else {
            self.close_client(id);
        }
    }

    /// Closes the connection that has stood idle for longest, of the clients that have asked, or that have not.
    fn close_idle_client(&mut self, asked: bool) -> bool {
        // One that is new has its first statement on the way.
        let new_since = self.now - LEEWAY;
        let idle = |c: &Client| {
            matches!(c.session, Session::Idle | Session::Greeting)
                && c.used == asked
                && c.inbox.is_empty()
                && c.outbox.is_empty()
                && !c.unread
                && (asked || c.since < new_since)
        };
        let all = self.clients.iter().filter(|(_, c)| idle(c)).map(|(id, c)| (c.since, id));
        let mut all: Vec<(f64, usize)> = all.collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in all {
            // A last look: what has come meanwhile is taken in instead.
            self.client_is_ready(id);
            match self.clients.get(id) {
                Some(client) if !idle(client) => continue,
                Some(_) => self.shut_client(id),
                None => {}
            }
            self.counters.clients_closed_idle += 1;
            return true;
        }
        false
    }

    pub fn close_idle_clients(&mut self) {
        let all: Vec<usize> = self.clients.iter().map(|(id, _)| id).collect();
        // Each gets a last look, as what has come by now counts as taken.
        all.into_iter().for_each(|id| self.client_is_ready(id));
    }

    /// Ends the connection; a statement of it that is in hand has lost its client.
    pub(crate) fn close_client(&mut self, id: usize) {
        let client = self.clients.remove(id);
        self.stored -= client.stored;
        self.alarms.clear(client.alarm);
        if self.crowd.is_some() {
            self.again(Party::Listener);
        }
        self.handle.remove(client.token);
        if let Session::Busy(stmt) = client.session {
            self.counters.clients_left += 1;
            let Some(held) = self.statements.get(stmt) else { return };
            let next = match held.stage {
                Stage::Executing(line) => Stage::Orphaned(line),
                _ => Stage::Vacant,
            };
            self.statements.pass(stmt, next, &mut self.counters);
            self.tell(RoutingEvent::ClientGone(stmt));
            if let Stage::Orphaned(line) = next {
                // Nobody waits for it any more: what is not on its way stays here.
                self.unload(line);
            }
        }
    }

    /// Counts what is stored for a client: what was read ahead, and its statement. Buffers grow by doubling.
    pub(crate) fn weigh(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(id) else { return };
        let text = match client.session {
            Session::Busy(stmt) => self.statements.get(stmt).map_or(0, |held| held.text.len()),
            _ => 0,
        };
        if client.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            client.inbox = BytesMut::new();
        }
        let stored = 2 * (client.inbox.len() + text);
        self.stored = self.stored + stored - client.stored;
        client.stored = stored;
    }

    pub fn client_is_ready(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(id) else { return };
        match client.session {
            Session::Dismissed => return self.dismissed_is_ready(id),
            Session::Closing => return self.closing_is_ready(id),
            _ => {}
        }
        client.looked_at = self.now;
        let busy = matches!(client.session, Session::Busy(_));
        let plenty = self.stored < self.berths.bytes / 2;
        // One message ahead of the one in hand at least.
        let most = if busy && plenty { AHEAD } else { frame::LONGEST };
        let read = client
            .outbox
            .flush(&client.socket)
            .and_then(|_| socket::read(&client.socket, &mut client.inbox, most));
        match read {
            Ok(Got::All) => client.unread = false,
            // Its end lies behind what it has sent ahead, and must not wait for that to be read.
            Ok(Got::More) if socket::has_ended(&client.socket) => return self.close_client(id),
            Ok(Got::More) => {
                client.unread = true;
                // Its end may be on its way still, held up by what is not read. Where memory is short it has to wait.
                if busy && client.inbox.len() < most {
                    self.again(Party::Client(id));
                }
            }
            Ok(Got::End) | Err(_) => return self.close_client(id),
        }
        self.read_queries(id);
    }

    /// Looks for the client's end, which may not have had its turn to be read.
    pub fn look_at_client(&mut self, id: usize) {
        if self.clients.get(id).is_some_and(|client| socket::has_ended(&client.socket)) {
            self.close_client(id);
        }
    }

    /// Takes in what is there whole, one query at a time: each waits for the answer before it to go out.
    fn read_queries(&mut self, id: usize) {
        loop {
            self.weigh(id);
            let Some(client) = self.clients.get_mut(id) else { return };
            client.match_arrivals(self.arrivals_since);
            if !client.outbox.is_empty() {
                return;
            }
            let came = client.arrived(0, self.arrivals_since);
            let step = match client.session {
                Session::Busy(_) => return,
                Session::Leaving | Session::Dismissed => return self.shut_client(id),
                Session::Closing => return,
                Session::Greeting => frame::startup(&mut client.inbox).map(|s| s.map(|s| self.greet(id, s))),
                Session::Idle => {
                    frame::message(&mut client.inbox).map(|m| m.map(|m| self.query(id, m, came)))
                }
            };
            match step {
                Ok(Some(())) => {}
                // A long statement that there is no room for is turned away before it is whole.
                Ok(None)
                    if self.stored > self.berths.bytes && self.clients[id].inbox.len() > frame::SHORT =>
                {
                    self.counters.clients_turned_away += 1;
                    self.leave(id, Code::TooMany, "no memory is left for this statement");
                }
                Ok(None) => return self.nothing_whole(id),
                Err(nonsense) => self.dismiss(id, Code::ProtocolViolation, nonsense),
            }
        }
    }

    /// All that came whole is answered by now; a part of a message may be left, whose rest is waited for.
    fn nothing_whole(&mut self, id: usize) {
        let client = &self.clients[id];
        if client.unread {
            return self.again(Party::Client(id));
        }
        if !client.inbox.is_empty() {
            let due_at = self.due_at(client);
            self.set_client_alarm(id, due_at);
        } else if self.retiring {
            self.shut_client(id);
        }
    }

    fn greet(&mut self, id: usize, startup: Startup) {
        match startup {
            Startup::Version3 => {
                self.session_passes(id, Session::Idle);
                self.say(id, [frame::WELCOME.clone()]);
            }
            Startup::Encryption => self.say(id, [frame::NO_ENCRYPTION.clone()]),
            // Cancelling is not offered; the protocol has this end without a word.
            Startup::Cancel => self.session_passes(id, Session::Leaving),
            Startup::OtherVersion => self.dismiss(id, Code::NotSupported, "only version 3 is spoken here"),
        }
    }

    fn query(&mut self, id: usize, message: frame::Message, came: f64) {
        match message.tag() {
            b'Q' => match message.query() {
                Some(text) if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') => {
                    self.counters.empty_queries += 1;
                    self.say(id, [frame::EMPTY.clone(), frame::READY.clone()]);
                }
                Some(text) => self.take_in(id, &text, came),
                None => self.dismiss(id, Code::ProtocolViolation, "a query without its end"),
            },
            b'X' => self.session_passes(id, Session::Leaving),
            _ => self.dismiss(id, Code::NotSupported, "only simple queries are spoken here"),
        }
    }

    /// `came` is when its first byte did: the client counts from there, however long those ahead of it took.
    fn take_in(&mut self, client: usize, text: &Bytes, came: f64) {
        let scan = self.book.scan(text);
        let (told, said) = match Text::read(text, &scan) {
            Ok(read) => read,
            Err(lack) => return self.tell_strange(client, Code::ProtocolViolation, lack),
        };
        let Some(workload) = self.names.workloads.iter().position(|name| name == said.workload) else {
            return self.tell_strange(client, Code::Unknown, "no workload has the name in c");
        };
        if self.hosts.all.is_empty() {
            // Ready without a list: as it was never sent, coming again is harmless.
            self.counters.blind += 1;
            let error = self.rejection(self.come_again, "rejected: no list of hosts has come yet");
            return self.say(client, [error, frame::READY.clone()]);
        }
        let Some(group) = self.hosts.group(said.cluster) else {
            return self.tell_strange(client, Code::Unknown, "no list has named this cluster");
        };
        if !self.clients[client].welcome {
            return self.turn_away(client);
        }
        if self.statements.is_open(said.id) {
            // Sent on, it would be taken for a second copy of the one that is open.
            return self.tell_strange(client, Code::ProtocolViolation, "a statement with this id is open");
        }
        let word = self.book.lookup(self.now, workload, text, scan.fingerprint);
        if let Some(why) = word.refusal {
            self.counters.session_queries += 1;
            return self.tell_strange(client, Code::NotSupported, why);
        }
        let writes = word.kind != StatementKind::Read;
        if writes && self.names.reads[workload] {
            self.counters.strict += 1;
            self.log_strict(workload, text, &word);
        }
        let until = came + said.time_left.min(self.names.timeouts[workload]);
        let gives_up_at = until.min(self.stops_at).min(self.due_behind(client));
        let time_left = (gives_up_at - self.now).max(0.0);
        let id = said.id;
        let stmt = Request {
            workload,
            group,
            tenant: None,
            session: said.session,
            time_left,
            since_write: said.after.map(|after| (self.now - after).max(0.0)),
            repeat: said.repeat,
            writes,
            work: word.estimate.map(|e| WorkEstimate { own: e.work, usual: e.typical, spread: e.spread }),
        };
        self.counters.statements += 1;
        self.open(stmt, |exchange, index| {
            let held = Held {
                stage: Stage::Waiting,
                client,
                id,
                text: told,
                place: word.key,
                gives_up_at,
                ran: false,
            };
            exchange.statements.enter(index, held, &mut exchange.counters);
            exchange.session_passes(client, Session::Busy(index));
            exchange.clients[client].used = true;
        });
    }

    /// By when this statement has to be out of the way of those that its client has sent behind it: answers go out in order,
    /// and one that waits for a longer one would come after its time.
    fn due_behind(&mut self, id: usize) -> f64 {
        let Some(client) = self.clients.get_mut(id) else { return f64::INFINITY };
        client.match_arrivals(self.arrivals_since);
        let (mut at, mut due) = (0, f64::INFINITY);
        for _ in 0..BEHIND {
            let Ok(Some(whole)) = frame::whole(&client.inbox[at..]) else { break };
            let text = &client.inbox[at + 5..at + whole];
            if let Some(time_left) = glance_at_time_left(text) {
                due = due.min(client.arrived(at, self.now) + time_left);
            }
            at += whole;
        }
        due
    }

    /// Why a statement of a reading workload goes to the primary: one line a second tells as much as all would.
    fn log_strict(&mut self, workload: usize, text: &[u8], word: &StatementInfo) {
        if self.now - self.strict_logged_at < 1.0 {
            return;
        }
        self.strict_logged_at = self.now;
        let reading = word.key.and_then(|key| self.book.classification(&key).cloned());
        let reading =
            reading.unwrap_or_else(|| classify::classify_by_prescan(text, &classify::prescan(text)));
        // What a host said of it is not in the text.
        let why = if reading.kind == StatementKind::Read {
            "hosts that only read turn it away"
        } else {
            &reading.why
        };
        info!(self.log, "text may write"; "why" => why, "nature" => word.kind.name(),
            "workload" => self.names.workloads[workload].as_str(), "so_far" => self.counters.strict);
    }

    /// The connection is in order, the query is none of this service's.
    fn tell_strange(&mut self, id: usize, code: Code, text: &str) {
        self.counters.strange_queries += 1;
        self.say(id, [frame::error("ERROR", code, text, None), frame::READY.clone()]);
    }

    /// Rejects a statement of a client for which there is no room. The connection ends with the last one that it has sent, as each
    /// that was read is owed an answer.
    fn turn_away(&mut self, id: usize) {
        const WHY: &str = "no descriptor is left for this client";
        let client = &self.clients[id];
        if client.inbox.is_empty() && !client.unread {
            self.leave(id, Code::TooMany, WHY);
        } else {
            self.say(id, [frame::error("ERROR", Code::TooMany, WHY, None), frame::READY.clone()]);
        }
    }

    /// What this client sends can't be trusted any more.
    fn dismiss(&mut self, id: usize, code: Code, text: &str) {
        self.counters.client_nonsense += 1;
        info!(self.log, "client dismissed"; "reason" => text);
        self.leave(id, code, text);
    }

    fn leave(&mut self, id: usize, code: Code, text: &str) {
        self.session_passes(id, Session::Dismissed);
        self.say(id, [frame::error("FATAL", code, text, None)]);
    }

    fn say<const N: usize>(&mut self, id: usize, slices: [Bytes; N]) {
        let client = &mut self.clients[id];
        slices.into_iter().for_each(|slice| client.outbox.push(slice));
        // A failure shows when the connection is read next.
        if client.outbox.flush(&client.socket).is_err() {
            self.again(Party::Client(id));
        }
    }

    /// The one final answer of a statement that is not orphaned.
    fn answer<const N: usize>(&mut self, stmt: usize, slices: [Bytes; N]) {
        let Some(held) = self.statements.get(stmt) else { return };
        let client = held.client;
        self.statements.pass(stmt, Stage::Vacant, &mut self.counters);
        self.session_passes(client, Session::Idle);
        self.say(client, slices);
        self.weigh(client);
        let client_at = &self.clients[client];
        if self.retiring || client_at.unread || !client_at.inbox.is_empty() {
            self.again(Party::Client(client));
        }
    }

    pub fn complete(&mut self, stmt: usize, [description, row, complete]: [Bytes; 3]) {
        self.counters.completed += 1;
        self.answer(stmt, [description, row, complete, frame::READY.clone()]);
    }

    pub fn reject(&mut self, stmt: usize, retry_after: f64) {
        self.counters.rejected += 1;
        let error = self.rejection(retry_after, "rejected: nothing ran");
        self.answer(stmt, [error, frame::READY.clone()]);
    }

    fn rejection(&self, retry_after: f64, text: &str) -> Bytes {
        let come_again = (retry_after > 0.0).then_some((retry_after * 1000.0).ceil() as u64);
        frame::error("ERROR", Code::TooMany, text, come_again)
    }

    pub fn abort(&mut self, stmt: usize) {
        self.counters.aborted += 1;
        let error = frame::error("ERROR", Code::CompletionUnknown, "aborted: it may have run", None);
        self.answer(stmt, [error, frame::READY.clone()]);
    }
}
