//! Hosts: the lines to them, and the executions and probes that these carry.

use bytes::BytesMut;
use ottersill_config::fleet::BudgetKind;
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::{AttemptOutcome, LoadReport, Role};
use slog::info;

use crate::backend::connection::{Course, Line, Load};
use crate::backend::reply::Reply;
use crate::event_loop::{Exchange, Party};
use crate::in_flight::Stage;
use crate::protocol::frame;
use crate::protocol::socket::{self, Got, Outbox};
use crate::protocol::socket_failure::ConnectFailure;
use crate::protocol::statement_text::{DEADLINE_MARGIN, time_left_to_tell};
use crate::timers::Timer as Alarm;

impl Exchange {
    /// Every change of a line's course, with the time by which it has to change again.
    fn line_passes(&mut self, id: usize, next: Course, until: f64) {
        let line = &mut self.lines[id];
        self.counters.must(line.course.may_become(next), "a line goes its ways only");
        line.course = next;
        self.alarms.clear(line.alarm.take());
        if next != Course::Closed {
            line.alarm = Some(self.alarms.set(until, Alarm::Line(id)));
        }
    }

    pub fn execute(&mut self, stmt: usize, host: usize, time_out: f64) {
        let Some(held) = self.statements.get(stmt) else { return };
        self.counters.must(held.stage == Stage::Waiting, "a statement has one execution out at a time");
        let until = if time_out > 0.0 { held.gives_up_at.min(self.now + time_out) } else { held.gives_up_at };
        let client = held.client;
        // Seen in this turn, it is looked at again as the bytes go (`send`).
        let looked_at = self.clients.get(client).map_or(0.0, |client| client.looked_at);
        if looked_at < self.now && !self.waits_still(stmt, client) {
            return self.tell_execution(stmt, host, AttemptOutcome::NeverSent, 0.0, &Reply::default());
        }
        if !self.fleet_lets(stmt, host) {
            self.counters.fleet_refused += 1;
            return self.tell_execution(stmt, host, AttemptOutcome::NeverSent, 0.0, &Reply::default());
        }
        self.counters.executions += 1;
        match self.give(host, Load::Statement(stmt), until) {
            Ok(line) => self.statements.pass(stmt, Stage::Executing(line), &mut self.counters),
            Err(ending) => {
                self.fleet_ends(host, true);
                self.tell_execution(stmt, host, ending, 0.0, &Reply::default());
            }
        }
    }

    pub fn probe(&mut self, host: usize) {
        if !self.fleet_has(BudgetKind::HealthChecks) {
            self.counters.fleet_refused += 1;
            return self.tell_probe(host, AttemptOutcome::NeverSent, LoadReport::default());
        }
        self.counters.probes += 1;
        // The settings name no other time after which a host counts as not there.
        if let Err(ending) = self.give(host, Load::Probe, self.now + self.upkeep.connect) {
            self.tell_probe(host, ending, LoadReport::default());
        }
    }

    /// Finds a line for the load, the last used first, or opens one.
    fn give(&mut self, host: usize, load: Load, until: f64) -> Result<usize, AttemptOutcome> {
        while let Some(id) = self.hosts.all[host].idle.pop() {
            // A last look: what the host has ended must not be taken for a connection.
            let line = &mut self.lines[id];
            let dry = matches!(socket::read(&line.socket, &mut line.inbox, frame::LONGEST), Ok(Got::All));
            if !dry || !line.inbox.is_empty() {
                self.counters.lines_ended += 1;
                self.close_line(id);
                continue;
            }
            self.load(id, load, until);
            self.send(id);
            return Ok(id);
        }
        let dial = self.hosts.all[host].dial.ok_or(AttemptOutcome::ConnectFailed)?;
        // One for a probe of each host is kept back, as what can't be probed can't be judged.
        let kept_back = if load == Load::Probe { 0 } else { self.hosts.all.len().min(self.berths.all / 4) };
        let taken = self.clients.len().min(self.berths.clients) + self.lines.len();
        if taken + kept_back >= self.berths.all && !self.drop_closing() && !self.close_idle_line() {
            self.counters.lines_wanting += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        if !self.fleet_has(BudgetKind::NewConnections) {
            self.counters.fleet_refused += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        let id = self.lines.vacant_key();
        let opened = socket::dial(dial)
            .and_then(|socket| self.attend(socket, Party::Line(id)).map_err(ConnectFailure::Local));
        let (socket, token) = opened.map_err(|failure| {
            self.counters.lines_failed += 1;
            self.log_broken(host, Course::Dialing, &failure.to_string());
            let blamed = self.hosts.connect_failed(host, self.now, self.upkeep.connect, &failure);
            if blamed { AttemptOutcome::ConnectFailed } else { AttemptOutcome::NeverSent }
        })?;
        self.hosts.connect_begun(host, self.now);
        self.counters.lines_opened += 1;
        let up_by = self.now + self.upkeep.connect;
        let alarm = Some(self.alarms.set(until.min(up_by), Alarm::Line(id)));
        let (inbox, outbox, reply) = (BytesMut::new(), Outbox::default(), Reply::default());
        let course = Course::Dialing;
        let since = self.now;
        let load = Some(load);
        let line = Line {
            host,
            course,
            load,
            since,
            until,
            deadline_told_at: since,
            idle_since: since,
            socket,
            token,
            alarm,
            inbox,
            outbox,
            reply,
        };
        self.lines.insert(line);
        Ok(id)
    }

    /// A host that is down refuses hundreds of connections a second: one line a second tells as much.
    fn log_broken(&mut self, host: usize, course: Course, why: &str) {
        let host = &mut self.hosts.all[host];
        host.broken += 1;
        if self.now - host.logged_at >= 1.0 {
            info!(self.log, "connection broke"; "host" => host.name.as_str(), "course" => format!("{course:?}"),
                "why" => why, "since_last_line" => host.broken);
            (host.logged_at, host.broken) = (self.now, 0);
        }
    }

    fn load(&mut self, id: usize, load: Load, until: f64) {
        let line = &mut self.lines[id];
        (line.load, line.since, line.until) = (Some(load), self.now, until);
    }

    /// Writes the line's load. The clock is read here, and the client looked at last: the turn may have been held up since it
    /// began.
    fn send(&mut self, id: usize) {
        let time = self.clock.now();
        let line = &mut self.lines[id];
        line.reply = Reply::default();
        line.deadline_told_at = time;
        let until = line.until;
        match line.load {
            Some(Load::Statement(stmt)) => {
                if let Some(held) = self.statements.get(stmt) {
                    held.text.send(time_left_to_tell(until - time), &mut line.outbox);
                }
            }
            Some(Load::Probe) => line.outbox.push(frame::SHOW_HEALTH.clone()),
            None => {}
        }
        self.line_passes(id, Course::Sending, until);
        let wanted = time < until && !self.client_has_ended(id);
        if !wanted || !self.flush(id) {
            // Ended from there, where nothing else is in hand.
            self.again(Party::Line(id));
        }
    }

    /// Whether the client whose statement the line carries has ended its connection.
    fn client_has_ended(&self, id: usize) -> bool {
        let Some(Load::Statement(stmt)) = self.lines[id].load else { return false };
        let client = self.statements.get(stmt).and_then(|held| self.clients.get(held.client));
        client.is_none_or(|client| socket::has_ended(&client.socket))
    }

    /// Brings the time left that a partly written statement tells up to date; false if what it tells has gone out and is out of
    /// date, or can't be changed.
    fn refresh_deadline(&mut self, id: usize) -> bool {
        let time = self.clock.now();
        let line = &mut self.lines[id];
        let Some(Load::Statement(stmt)) = line.load else { return true };
        let Some(held) = self.statements.get(stmt) else { return false };
        if held.text.update_time_left(time_left_to_tell(line.until - time), &mut line.outbox) {
            line.deadline_told_at = time;
        }
        time - line.deadline_told_at <= DEADLINE_MARGIN
    }

    /// False if the connection broke.
    fn flush(&mut self, id: usize) -> bool {
        let line = &mut self.lines[id];
        let flushed = line.outbox.flush(&line.socket);
        let until = line.until;
        if line.course == Course::Sending && matches!(flushed, Ok(true)) {
            self.line_passes(id, Course::Sent, until);
        }
        flushed.is_ok()
    }

    pub fn line_is_ready(&mut self, id: usize) {
        let Some(line) = self.lines.get_mut(id) else { return };
        if line.course == Course::Dialing {
            match socket::is_up(&line.socket) {
                Ok(false) => return,
                Ok(true) => {
                    line.outbox.push(frame::GREETING.clone());
                    let until = line.until.min(line.since + self.upkeep.connect);
                    self.line_passes(id, Course::Greeting, until);
                }
                Err(fault) => return self.break_line(id, &fault.to_string()),
            }
        }
        let sending = self.lines[id].course == Course::Sending;
        if sending && !(self.refresh_deadline(id) && self.may_go_out(id)) {
            // Its last byte, by which an execution counts, would come too late.
            if self.lines.contains(id) {
                self.unload(id);
            }
            return;
        }
        let wrote = self.flush(id);
        let line = &mut self.lines[id];
        // An answer that came before the break still counts.
        let got = socket::read(&line.socket, &mut line.inbox, frame::LONGEST);
        if !self.read_reply(id) {
            return;
        }
        match got {
            Ok(Got::All) if wrote => {}
            Ok(Got::More) if wrote => self.again(Party::Line(id)),
            _ => self.break_line(id, "the host ended it"),
        }
    }

    /// Takes in what is there whole; false if that ended the line.
    fn read_reply(&mut self, id: usize) -> bool {
        while let Some(line) = self.lines.get_mut(id) {
            let taken = match frame::message(&mut line.inbox) {
                Ok(None) => return true,
                Ok(Some(message)) => line.reply.take(message),
                Err(nonsense) => Err(nonsense),
            };
            match (taken, line.course) {
                (Ok(false), Course::Idle) if line.reply.says_nothing() => {}
                (Ok(false), Course::Greeting | Course::Sent) => {}
                (Ok(true), Course::Greeting) => self.welcome(id),
                (Ok(true), Course::Sent) => self.answered(id),
                (Err(nonsense), _) => return self.spoil_line(id, nonsense),
                _ => return self.spoil_line(id, "an answer to nothing"),
            }
        }
        false
    }

    /// The host has said what is no answer: its connection is of no further use. What was sent may have run, but the
    /// host is there: taken for a broken connection, this would cost it its role.
    fn spoil_line(&mut self, id: usize, nonsense: &str) -> bool {
        self.counters.host_nonsense += 1;
        let line = &mut self.lines[id];
        if line.course != Course::Sent {
            self.break_line(id, nonsense);
            return false;
        }
        let (host, load, since) = (line.host, line.load.take(), line.since);
        self.log_broken(host, Course::Sent, nonsense);
        self.close_line(id);
        self.settle(load, host, since, AttemptOutcome::Error, Reply::default());
        false
    }

    /// A last look at the client before an execution of its statement begins: one that has closed its connection waits no
    /// more, though its turn to be read may not have come.
    fn waits_still(&mut self, stmt: usize, client: usize) -> bool {
        self.look_at_client(client);
        self.statements.get(stmt).is_some_and(|held| !matches!(held.stage, Stage::Orphaned(_)))
    }

    /// Whether what a line was opened for may go out now that it is up: it was chosen some time ago.
    fn may_go_out(&mut self, id: usize) -> bool {
        let line = &self.lines[id];
        let (host, until) = (line.host, line.until);
        match line.load {
            Some(Load::Statement(stmt)) => {
                let client = self.statements.get(stmt).map(|held| held.client);
                self.clock.now() < until
                    && client.is_some_and(|client| self.waits_still(stmt, client))
                    && self.facade.may_begin(self.now, stmt, host)
            }
            Some(Load::Probe) => self.facade.may_probe(host),
            None => false,
        }
    }

    /// Takes back what has not gone out to hosts that may get nothing new by now.
    pub fn call_back(&mut self) {
        let waits = |line: &Line| matches!(line.course, Course::Dialing | Course::Greeting);
        let told = |line: &Line| match line.load {
            Some(Load::Statement(stmt)) => !self.facade.may_begin(self.now, stmt, line.host),
            Some(Load::Probe) => !self.facade.may_probe(line.host),
            None => false,
        };
        let back = self.lines.iter().filter(|(_, line)| waits(line) && told(line)).map(|(id, _)| id);
        let back: Vec<usize> = back.collect();
        for id in back {
            self.unload(id);
        }
    }

    /// The line is up: what it was opened for goes out, unless that is over by now.
    fn welcome(&mut self, id: usize) {
        if self.lines[id].reply.unwelcome().is_some() {
            // ReadyForQuery after an error: nothing that a host of this protocol does.
            return self.break_line(id, "the host said no");
        }
        if !self.may_go_out(id) {
            self.unload(id);
            return self.rest(id);
        }
        let until = self.lines[id].until;
        self.line_passes(id, Course::Idle, until);
        self.send(id);
    }

    fn rest(&mut self, id: usize) {
        // Half of what the host allows: one that ends at both sides at once would be a reset.
        self.line_passes(id, Course::Idle, self.now + self.upkeep.idle / 2.0);
        let line = &mut self.lines[id];
        line.idle_since = self.now;
        if line.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            line.inbox = BytesMut::new();
        }
        self.hosts.all[line.host].idle.push(id);
    }

    /// The load has its answer; the line is kept.
    fn answered(&mut self, id: usize) {
        let line = &mut self.lines[id];
        let (host, load, since) = (line.host, line.load.take(), line.since);
        let reply = std::mem::take(&mut line.reply);
        self.rest(id);
        self.settle(load, host, since, reply.ending(), reply);
    }

    /// ReportSource the end of what the line carried.
    fn settle(
        &mut self,
        load: Option<Load>,
        host: usize,
        since: f64,
        ending: AttemptOutcome,
        mut reply: Reply,
    ) {
        match load {
            Some(Load::Statement(stmt)) => {
                let held = self.statements.get(stmt);
                let proved = !matches!(
                    ending,
                    AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Reset
                );
                let ran = held.is_some() && !ending.had_no_effect() && ending != AttemptOutcome::Completed;
                let orphan = matches!(held.map(|held| held.stage), Some(Stage::Orphaned(_)));
                if let Some(place) = held.and_then(|held| held.place) {
                    let only_reads = reply.note.role == Some(Role::Replica);
                    match ending {
                        AttemptOutcome::Completed => {
                            self.book.record_completion(self.now, place, host, self.now - since, only_reads);
                        }
                        AttemptOutcome::ReadOnly if only_reads => self.book.record_read_only_rejection(place),
                        _ => {}
                    }
                }
                self.fleet_ends(host, proved);
                if ran {
                    self.statements.note_ran(stmt);
                }
                if orphan {
                    self.statements.pass(stmt, Stage::Vacant, &mut self.counters);
                } else if ending == AttemptOutcome::Completed {
                    self.complete(stmt, reply.value());
                } else {
                    self.statements.pass(stmt, Stage::Waiting, &mut self.counters);
                }
                self.tell_execution(stmt, host, ending, self.now - since, &reply);
            }
            Some(Load::Probe)
                if matches!(
                    ending,
                    AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Full
                ) =>
            {
                let (ending, report) = reply.probed();
                self.tell_probe(host, ending, report);
            }
            Some(Load::Probe) => self.tell_probe(host, ending, LoadReport::default()),
            None => {}
        }
    }

    /// The connection failed, broke, ended or talks nonsense.
    fn break_line(&mut self, id: usize, why: &str) {
        let line = &mut self.lines[id];
        let (host, load, since, course) = (line.host, line.load.take(), line.since, line.course);
        let reply = std::mem::take(&mut line.reply);
        match course {
            Course::Dialing | Course::Greeting => self.counters.lines_failed += 1,
            Course::Idle => self.counters.lines_ended += 1,
            _ => {}
        }
        if course != Course::Idle {
            self.log_broken(host, course, why);
        }
        let ending = match course {
            Course::Greeting => reply.unwelcome().unwrap_or(AttemptOutcome::ConnectFailed),
            Course::Sent if reply.is_completed() => AttemptOutcome::Completed,
            course => course.broken(),
        };
        self.close_line(id);
        self.settle(load, host, since, ending, reply);
    }

    pub fn line_is_due(&mut self, id: usize) {
        let Some(line) = self.lines.get_mut(id) else { return };
        line.alarm = None;
        match line.course {
            Course::Idle => {
                self.counters.lines_idled += 1;
                line.outbox.push(frame::TERMINATE.clone());
                self.flush(id);
                self.close_line(id);
            }
            Course::Dialing | Course::Greeting if self.now < line.until || line.load == Some(Load::Probe) => {
                self.break_line(id, "not up in time");
            }
            _ => self.give_up_line(id, AttemptOutcome::TimedOut),
        }
    }

    /// Stops waiting for what the line carries, which closes it: it may still be running there.
    fn give_up_line(&mut self, id: usize, late: AttemptOutcome) {
        let line = &mut self.lines[id];
        let (host, load, since) = (line.host, line.load.take(), line.since);
        let ending = line.course.given_up(late);
        self.close_line(id);
        self.settle(load, host, since, ending, Reply::default());
    }

    pub fn recall(&mut self, stmt: usize) {
        if let Some(Stage::Executing(line)) = self.statements.get(stmt).map(|held| held.stage) {
            if !self.unload(line) {
                self.give_up_line(line, AttemptOutcome::Cancelled);
            }
        }
    }

    /// Takes off a line what has not gone out whole; false if that has.
    pub fn unload(&mut self, id: usize) -> bool {
        let line = &mut self.lines[id];
        match line.course {
            Course::Dialing | Course::Greeting => {
                let (host, load, since) = (line.host, line.load.take(), line.since);
                line.until = f64::INFINITY;
                self.settle(load, host, since, AttemptOutcome::NeverSent, Reply::default());
                true
            }
            // A part may be out: the rest of it, sent later, would be an execution for nobody.
            Course::Sending => {
                self.give_up_line(id, AttemptOutcome::NeverSent);
                true
            }
            _ => false,
        }
    }

    fn close_line(&mut self, id: usize) {
        self.line_passes(id, Course::Closed, f64::INFINITY);
        let line = self.lines.remove(id);
        self.handle.remove(line.token);
        self.hosts.all[line.host].idle.retain(|idle| *idle != id);
    }

    pub fn close_idle_of(&mut self, host: usize) {
        while let Some(id) = self.hosts.all[host].idle.pop() {
            self.close_line(id);
        }
    }

    /// Closes the line that has stood idle for longest, for the sake of another connection.
    pub fn close_idle_line(&mut self) -> bool {
        let oldest = self.hosts.all.iter().filter_map(|host| host.idle.first().copied());
        let oldest = oldest.min_by(|a, b| self.lines[*a].idle_since.total_cmp(&self.lines[*b].idle_since));
        if let Some(id) = oldest {
            self.close_line(id);
        }
        oldest.is_some()
    }

    fn tell_execution(&mut self, stmt: usize, host: usize, ending: AttemptOutcome, took: f64, reply: &Reply) {
        let counter = match ending {
            AttemptOutcome::Completed => &mut self.counters.ended_completed,
            AttemptOutcome::Error => &mut self.counters.ended_error,
            AttemptOutcome::Full => &mut self.counters.ended_full,
            AttemptOutcome::TimedOut => &mut self.counters.ended_timed_out,
            AttemptOutcome::ConnectFailed => &mut self.counters.ended_connect_failed,
            AttemptOutcome::Reset => &mut self.counters.ended_reset,
            AttemptOutcome::Cancelled => &mut self.counters.ended_recalled,
            AttemptOutcome::NeverSent => &mut self.counters.ended_never_sent,
            AttemptOutcome::Miss => &mut self.counters.ended_miss,
            AttemptOutcome::ReadOnly => &mut self.counters.ended_read_only,
        };
        *counter += 1;
        self.tell(RoutingEvent::AttemptEnded {
            stmt,
            host,
            ending,
            took,
            note: reply.note,
            report: reply.report,
        });
    }

    fn tell_probe(&mut self, host: usize, ending: AttemptOutcome, report: LoadReport) {
        self.counters.probes_failed += u64::from(ending != AttemptOutcome::Completed);
        self.tell(RoutingEvent::HealthCheckEnded { host, ending, report });
    }
}
