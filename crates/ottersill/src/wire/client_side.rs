//! Clients: their connections, their queries, their answers.

use std::io::ErrorKind;
use std::net::Shutdown;

use bytes::{Bytes, BytesMut};
use ottersill_core::facade::News;
use ottersill_core::interface::Statement;
use slog::{info, warn};
use socket2::Socket;

use crate::memory::alarms::Alarm;
use crate::memory::clients::{Client, Session};
use crate::memory::statements::{Held, Stage};
use crate::wire::exchange::{Exchange, Party};
use crate::wire::frame::{self, Code, Startup};
use crate::wire::socket::{self, Got, Outbox};
use crate::wire::statement::Text;

/// Accepted in one turn, so that a crowd of new connections holds up no answer.
const ACCEPTS: usize = 64;

impl Exchange {
    pub fn listener_is_ready(&mut self) {
        if self.accept(ACCEPTS) {
            self.again(Party::Listener);
        } else {
            self.close_door();
        }
    }

    /// Once nobody is at the door of a router that retires.
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
        for _ in 0..most {
            let room = self.has_room();
            if !room && self.clients.len() >= self.berths.clients + self.berths.spare {
                // They wait at the door, where what they sent is kept, until a client leaves.
                self.crowd = Some(self.alarms.set(self.now + self.upkeep.connect, Alarm::Listener));
                return false;
            }
            match socket::accept(&listener) {
                Ok(Some(socket)) => self.admit(socket, room),
                Ok(None) => return false,
                // It broke before it was accepted.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                // Tried again with the next client, as trying at once would keep the loop busy for nothing.
                Err(e) => {
                    warn!(self.log, "accept"; "fault" => %e);
                    return false;
                }
            }
        }
        true
    }

    /// Whether one more client can be taken on; makes room by ending what idles.
    fn has_room(&mut self) -> bool {
        (self.clients.len() < self.berths.clients || self.close_idle_client())
            && (self.clients.len() + self.lines.len() < self.berths.all || self.close_idle_line())
    }

    /// One for whom there is no room is let in all the same, to be told so once its statement is read: an answer that
    /// leaves unread what the client sent is lost with the reset that this makes.
    fn admit(&mut self, socket: Socket, welcome: bool) {
        self.counters.clients += 1;
        self.counters.clients_turned_away += u64::from(!welcome);
        let id = self.clients.vacant_key();
        if let Ok((socket, token)) = self.attend(socket, Party::Client(id)) {
            let (inbox, outbox) = (BytesMut::new(), Outbox::default());
            let (session, since) = (Session::Greeting, self.now);
            self.clients.insert(Client {
                session,
                since,
                welcome,
                socket,
                token,
                inbox,
                outbox,
                unread: false,
                used: false,
                stored: 0,
            });
            self.client_is_ready(id);
        }
    }

    /// Every change of a client connection's session.
    fn session_passes(&mut self, id: usize, next: Session) {
        let client = &mut self.clients[id];
        self.counters.must(client.session.may_become(next), "a client connection goes its ways only");
        client.session = next;
        client.since = self.now;
    }

    /// Closes the client connection that has stood idle for longest.
    fn close_idle_client(&mut self) -> bool {
        // One that is new has its first statement on the way, for as long as a connection may take to come up.
        let new_since = self.now - self.upkeep.connect;
        let idle = |c: &Client| {
            let waits = matches!(c.session, Session::Idle | Session::Greeting | Session::Dismissed);
            waits && c.inbox.is_empty() && c.outbox.is_empty() && (c.used || c.since < new_since)
        };
        let all = self.clients.iter().filter(|(_, c)| idle(c)).map(|(id, c)| (c.since, id));
        let mut all: Vec<(f64, usize)> = all.collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in all {
            // A last look: what has come meanwhile is taken in instead.
            self.client_is_ready(id);
            match self.clients.get(id) {
                Some(client) if !idle(client) => continue,
                Some(_) => self.close_client(id),
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
    fn close_client(&mut self, id: usize) {
        let client = self.clients.remove(id);
        self.stored -= client.stored;
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
            self.tell(News::ClientGone(stmt));
            if let Stage::Orphaned(line) = next {
                // Nobody waits for it any more: what is not on its way stays here.
                self.unload(line);
            }
        }
    }

    /// Counts what is stored for a client: what was read ahead, and its statement. Buffers grow by doubling.
    fn weigh(&mut self, id: usize) {
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
        let read = client.outbox.flush(&client.socket).and_then(|_| {
            // One message ahead of the one in hand, then the client has to wait.
            socket::read(&client.socket, &mut client.inbox, frame::LONGEST)
        });
        match read {
            Ok(Got::All) => client.unread = false,
            // Where a statement is in hand, its answer brings us back here.
            Ok(Got::More) => client.unread = true,
            Ok(Got::End) | Err(_) => return self.close_client(id),
        }
        self.read_queries(id);
    }

    /// Takes in what is there whole, one query at a time: each waits for the answer before it to go out.
    fn read_queries(&mut self, id: usize) {
        loop {
            self.weigh(id);
            let Some(client) = self.clients.get_mut(id) else { return };
            if !client.outbox.is_empty() {
                return;
            }
            let step = match client.session {
                Session::Busy(_) => return,
                Session::Leaving => return self.close_client(id),
                Session::Dismissed if self.retiring => return self.close_client(id),
                Session::Dismissed => {
                    client.inbox.clear();
                    // It fails where the client has ended already, which the next reading shows.
                    let _ = client.socket.shutdown(Shutdown::Write);
                    if client.unread {
                        self.again(Party::Client(id));
                    }
                    return self.weigh(id);
                }
                Session::Greeting => frame::startup(&mut client.inbox).map(|s| s.map(|s| self.greet(id, s))),
                Session::Idle => frame::message(&mut client.inbox).map(|m| m.map(|m| self.query(id, m))),
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
                // All that came whole is answered by now.
                Ok(None) if self.retiring && !self.clients[id].unread => return self.close_client(id),
                Ok(None) => {
                    if self.clients[id].unread {
                        self.again(Party::Client(id));
                    }
                    return;
                }
                Err(nonsense) => self.dismiss(id, Code::ProtocolViolation, nonsense),
            }
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

    fn query(&mut self, id: usize, message: frame::Message) {
        match message.tag() {
            b'Q' => match message.query() {
                Some(text) if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') => {
                    self.counters.empty_queries += 1;
                    self.say(id, [frame::EMPTY.clone(), frame::READY.clone()]);
                }
                Some(text) => self.take_in(id, &text),
                None => self.dismiss(id, Code::ProtocolViolation, "a query without its end"),
            },
            b'X' => self.session_passes(id, Session::Leaving),
            _ => self.dismiss(id, Code::NotSupported, "only simple queries are spoken here"),
        }
    }

    fn take_in(&mut self, client: usize, text: &Bytes) {
        let (text, said) = match Text::read(text) {
            Ok(read) => read,
            Err(lack) => return self.tell_strange(client, Code::ProtocolViolation, lack),
        };
        let Some(workload) = self.names.workloads.iter().position(|name| name == said.workload) else {
            return self.tell_strange(client, Code::Unknown, "no workload has the name in c");
        };
        let Some(group) = self.hosts.group(said.cluster) else {
            return self.tell_strange(client, Code::Unknown, "no list has named this cluster");
        };
        if !self.clients[client].welcome {
            return self.leave(client, Code::TooMany, "no descriptor is left for this client");
        }
        let stmt = Statement {
            workload,
            group,
            tenant: None,
            session: said.session,
            time_left: said.time_left,
            since_write: said.after.map(|after| (self.now - after).max(0.0)),
            repeat: said.repeat,
        };
        self.counters.statements += 1;
        let gives_up_at = self.now + said.time_left;
        self.open(stmt, |exchange, index| {
            let held = Held { stage: Stage::Waiting, client, text, gives_up_at };
            exchange.statements.enter(index, held, &mut exchange.counters);
            exchange.session_passes(client, Session::Busy(index));
            exchange.clients[client].used = true;
        });
    }

    /// The connection is in order, the query is none of this service's.
    fn tell_strange(&mut self, id: usize, code: Code, text: &str) {
        self.counters.strange_queries += 1;
        self.say(id, [frame::error("ERROR", code, text, None), frame::READY.clone()]);
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
        let come_again = (retry_after > 0.0).then_some((retry_after * 1000.0).ceil() as u64);
        let error = frame::error("ERROR", Code::TooMany, "rejected: nothing ran", come_again);
        self.answer(stmt, [error, frame::READY.clone()]);
    }

    pub fn abort(&mut self, stmt: usize) {
        self.counters.aborted += 1;
        let error = frame::error("ERROR", Code::CompletionUnknown, "aborted: it may have run", None);
        self.answer(stmt, [error, frame::READY.clone()]);
    }
}
