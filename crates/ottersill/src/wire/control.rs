//! Where operators ask a running router about its fleet: a line in, JSON objects out, a line each. On loopback only, and it
//! changes nothing.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use calloop::RegistrationToken;
use serde_json::{Value, json};
use slab::Slab;
use slog::{info, warn};
use socket2::Socket;

use crate::memory::alarms::{Alarm, Set};
use crate::memory::link::Course;
use crate::wire::exchange::{Exchange, Party};
use crate::wire::socket::{self, Got, Outbox};
use crate::wire::socket_failure::AcceptFailure;

/// Who asks at a time; the next waits at the door.
const ASKERS: usize = 4;
/// After so many failures in a row accepting is tried again only after so many seconds.
const FAILURES: usize = 32;
const RETRY: f64 = 0.25;
/// One who asks has so many seconds for all of it.
const TIME: f64 = 2.0;
/// A question is a word.
const LONGEST: usize = 256;

pub struct Asker {
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: BytesMut,
    outbox: Outbox,
    answered: bool,
    alarm: Set,
}

#[derive(Default)]
pub struct Control {
    listener: Option<Rc<Socket>>,
    /// Each leaves with its answer, or its time.
    askers: Slab<Asker>,
    /// Accepting has failed, and is tried again then.
    retry: Option<Set>,
}

impl Exchange {
    pub fn control_opens(&mut self) -> Result<(), String> {
        let Some(at) = self.link.as_ref().and_then(|link| link.bylaws.control) else { return Ok(()) };
        let opened = socket::listen(at, ASKERS).and_then(|socket| self.attend(socket, Party::Control));
        let (listener, _) = opened.map_err(|e| format!("control: listen on {at}: {e}"))?;
        info!(self.log, "answers operators"; "control" => %at);
        self.control.listener = Some(listener);
        Ok(())
    }

    pub fn control_is_ready(&mut self) {
        let Some(listener) = self.control.listener.clone() else { return };
        let mut failures = 0;
        while self.control.askers.len() < ASKERS {
            let socket = match socket::accept(&listener) {
                Ok(Some(socket)) => socket,
                Ok(None) => return,
                Err(fault) if AcceptFailure::of(&fault) == AcceptFailure::TakeNext && failures < FAILURES => {
                    failures += 1;
                    continue;
                }
                Err(fault) => {
                    warn!(self.log, "accept an operator"; "fault" => %fault);
                    // No readiness tells again of who waits already.
                    let retry = self.alarms.set(self.now + RETRY, Alarm::Control);
                    self.alarms.clear(self.control.retry.replace(retry));
                    return;
                }
            };
            let id = self.control.askers.vacant_key();
            let Ok((socket, token)) = self.attend(socket, Party::Asker(id)) else {
                // Closed by this; who asks comes again.
                continue;
            };
            let alarm = self.alarms.set(self.now + TIME, Alarm::Asker(id));
            let (inbox, outbox) = (BytesMut::new(), Outbox::default());
            self.control.askers.insert(Asker { socket, token, inbox, outbox, answered: false, alarm });
            self.asker_is_ready(id);
        }
    }

    pub fn asker_is_ready(&mut self, id: usize) {
        let Some(asker) = self.control.askers.get_mut(id) else { return };
        let got = socket::read(&asker.socket, &mut asker.inbox, LONGEST);
        let line =
            asker.inbox.iter().position(|byte| *byte == b'\n').map(|end| asker.inbox.split_to(end + 1));
        let asked = line.is_some();
        if let Some(line) = line {
            let answer = self.answer_of(String::from_utf8_lossy(&line).trim());
            self.control.askers[id].outbox.push(Bytes::from(answer));
        }
        let asker = &mut self.control.askers[id];
        match asker.outbox.flush(&asker.socket) {
            // More than the socket takes: the rest once there is room, or the time is over.
            Ok(false) => {}
            // One question a connection: its end says that the answer is whole.
            Ok(true) if asked || asker.answered => self.asker_leaves(id),
            Ok(true) if matches!(got, Ok(Got::All)) => {}
            _ => return self.asker_leaves(id),
        }
        if let Some(asker) = self.control.askers.get_mut(id) {
            asker.answered |= asked;
        }
    }

    pub fn asker_leaves(&mut self, id: usize) {
        let Some(asker) = self.control.askers.try_remove(id) else { return };
        self.alarms.clear(Some(asker.alarm));
        self.handle.remove(asker.token);
        self.again(Party::Control);
    }

    fn answer_of(&mut self, question: &str) -> String {
        let lines = match question {
            "members" => self.members_lines(),
            "budgets" => self.budgets_lines(),
            "books" => self.books_lines(),
            "counts" => self.counts_lines(),
            other => {
                vec![json!({"fault": format!("expected members, budgets, books or counts, found {other:?}")})]
            }
        };
        lines.into_iter().map(|line| line.to_string() + "\n").collect()
    }

    fn members_lines(&mut self) -> Vec<Value> {
        let now = self.clock.now();
        match self.link.as_ref().map(|link| &link.course) {
            Some(Course::Joined { fleet, .. }) => {
                let (keeper, _) = fleet.keeper();
                let line = |m: &ottersill_fleet::members::Member| {
                    json!({"member": m.process.name, "incarnation": m.process.incarnation, "at": m.at,
                        "presence": m.presence, "for_s": now - m.since, "keeper": keeper == Some(m.process.name.as_str()),
                        "me": m.process == *fleet.me()})
                };
                fleet.members().map(line).collect()
            }
            Some(Course::Barred { .. }) => {
                vec![json!({"fault": "another process holds this member's address"})]
            }
            Some(Course::Left) | None => vec![json!({"fault": "this router is in no fleet"})],
        }
    }

    fn budgets_lines(&mut self) -> Vec<Value> {
        let now = self.clock.now();
        let Some(Course::Joined { fleet, .. }) = self.link.as_ref().map(|link| &link.course) else {
            return Vec::new();
        };
        let line = |(key, purse): (&ottersill_fleet::books::Key, &ottersill_fleet::purse::Purse)| {
            let ([part, floor], [part_until, floor_until]) = (purse.amounts(now), purse.until());
            json!({"budget": self.budget_name(key.0), "subject": self.subject_name(key.1), "whole": purse.whole(),
                "part": part, "part_for_s": (part_until - now).max(0.0), "floor": floor,
                "floor_for_s": (floor_until - now).max(0.0), "in_use": purse.in_use(), "spent": purse.spent,
                "turned_away": purse.turned_away, "standing": format!("{:?}", purse.standing())})
        };
        fleet.purses().map(line).collect()
    }

    fn books_lines(&mut self) -> Vec<Value> {
        let now = self.clock.now();
        let Some(Course::Joined { fleet, .. }) = self.link.as_ref().map(|link| &link.course) else {
            return Vec::new();
        };
        if !fleet.keeps(now) {
            return vec![json!({"fault": "another member keeps the books", "keeper": fleet.keeper().0})];
        }
        let line = |line: ottersill_fleet::books::Line| {
            let out = line.by_demand + line.floor;
            json!({"budget": self.budget_name(line.budget), "subject": self.subject_name(line.subject),
                "holder": line.holder.name, "incarnation": line.holder.incarnation, "part": line.by_demand,
                "floor": line.floor, "in_use": line.used, "demand": line.demand,
                "stranded": out.saturating_sub(line.demand.max(line.used))})
        };
        fleet.lines(now).into_iter().map(line).collect()
    }

    fn counts_lines(&mut self) -> Vec<Value> {
        let Some(link) = self.link.as_ref() else { return Vec::new() };
        let Course::Joined { fleet, .. } = &link.course else { return Vec::new() };
        let counts = fleet.counts;
        vec![json!({"heard": counts.heard, "heard_bytes": counts.heard_bytes, "sent": counts.sent,
            "sent_bytes": counts.sent_bytes, "unproved": counts.unproved, "astray": counts.astray, "old": counts.old,
            "unanswered": counts.unanswered, "stale": counts.stale, "strangers": counts.strangers,
            "namesakes": counts.namesakes, "elections": counts.elections, "refused": link.refused,
            "unwritten": link.unwritten})]
    }
}
