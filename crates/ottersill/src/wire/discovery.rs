//! Discovery: what its lists say, and the watch kept on them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use calloop::RegistrationToken;
use ottersill_core::interface::Standing;
use serde::Deserialize;
use slog::{info, warn};
use socket2::Socket;

use crate::memory::alarms::{Alarm, Set};
use crate::wire::exchange::{Exchange, Party};
use crate::wire::http;
use crate::wire::socket::{self, Got, Outbox};

/// What discovery has and could have told counts as told after so long, whatever failed before, as the service page has
/// it; seconds. All that follows has to fit in: a watch that falls silent, and two more calls that are not answered.
const TOLD: f64 = 6.0;
/// How long a watch waits for news. Calls cost discovery nothing.
const WAIT: f64 = TOLD / 3.0;
/// An answer that is not here this long after its wait will not come.
const GRACE: f64 = TOLD / 12.0;
/// A call that is not answered is kept open for so long beside those that follow it.
const KEPT: f64 = TOLD / 6.0;
/// Between calls that fail or come back with nothing at once. Shorter than what keeps up a watch (200 ms), by
/// the protocol page.
const REST: f64 = 0.1;

#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Entry>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    pub host: String,
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    pub block: u64,
    pub health: Health,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Active,
    Leaving,
    Left,
}

impl From<Health> for Standing {
    fn from(health: Health) -> Standing {
        match health {
            Health::Active => Standing::Ready,
            Health::Leaving => Standing::Draining,
            Health::Left => Standing::Gone,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    Dialing,
    /// A call is out that is answered at once.
    Asked,
    /// A call is out that waits for news.
    Watching,
    /// It came back with nothing before its time; the next one is due.
    Resting,
}

impl Course {
    pub fn may_become(self, next: Course) -> bool {
        use Course::*;
        matches!(
            (self, next),
            (Dialing | Resting, Asked | Watching) | (Asked, Watching) | (Watching, Watching | Resting)
        )
    }
}

/// One connection to discovery.
pub struct Call {
    course: Course,
    socket: Rc<Socket>,
    token: RegistrationToken,
    inbox: BytesMut,
    outbox: Outbox,
    /// When its question went out, and until when it is kept beside those that follow it.
    asked_at: f64,
    kept_until: f64,
    /// It has been answered before: an end after that is no failure of discovery.
    answered: bool,
}

pub struct Watch {
    pub at: SocketAddr,
    /// The older first; two at most. One that is not answered is kept beside the next. Whichever is answered first stays,
    /// the other one is closed, so no answer can be older than what was told before it.
    calls: Vec<Call>,
    /// When the newest call is given up, or, where there is none, the next one begins.
    alarm: Option<Set>,
    /// The version of the last list read here; none asks for the whole list, at once.
    seq: Option<u64>,
    /// The last call was not answered: the next one waits for nothing, as its silence could not be told from no news.
    doubt: bool,
    /// When a fault was last said in the log.
    logged_at: f64,
}

impl Watch {
    pub fn new(at: SocketAddr) -> Watch {
        Watch { at, calls: Vec::new(), alarm: None, seq: None, doubt: false, logged_at: f64::NEG_INFINITY }
    }
}

impl Exchange {
    /// Every change of a call's course.
    fn call_passes(&mut self, call: usize, next: Course) {
        let call = &mut self.watch.calls[call];
        self.counters.must(call.course.may_become(next), "a call goes its ways only");
        call.course = next;
    }

    /// The one time by which something has to have come of the newest call.
    fn watch_within(&mut self, within: f64) {
        self.alarms.clear(self.watch.alarm.take());
        self.watch.alarm = Some(self.alarms.set(self.now + within, Alarm::Discovery));
    }

    /// Silent calls follow each other so soon: what discovery tells as it comes back counts at once, and it answers only
    /// calls that come after that. A host that drains must be known within its grace.
    fn soon(&self) -> f64 {
        (self.upkeep.drain_grace / 2.0).clamp(REST / 10.0, KEPT)
    }

    /// Begins a call; the oldest may still be answered for a while, the one between is closed.
    pub fn watch_discovery(&mut self) {
        if self.watch.calls.len() > 1 {
            let oldest_is_over = self.now >= self.watch.calls[0].kept_until;
            self.leave_call(usize::from(!oldest_is_over));
        }
        let kept_until = self.now + KEPT;
        self.watch.calls.iter_mut().for_each(|call| call.kept_until = call.kept_until.min(kept_until));
        let dialled = socket::dial(self.watch.at).map_err(io::Error::from);
        match dialled.and_then(|socket| self.attend(socket, Party::Discovery)) {
            Ok((socket, token)) => {
                let (course, inbox, outbox) = (Course::Dialing, BytesMut::new(), Outbox::default());
                let (asked_at, kept_until, answered) = (self.now, f64::INFINITY, false);
                let call = Call { course, socket, token, inbox, outbox, asked_at, kept_until, answered };
                self.watch.calls.push(call);
                self.watch_within(self.soon());
            }
            Err(e) => {
                self.watch_failed(&e.to_string());
                self.watch_within(REST);
            }
        }
    }

    /// Discovery is somewhere else from now on. What was told last stands until the whole list is told there, whose
    /// versions need not go on from the old ones.
    pub fn move_discovery(&mut self, at: SocketAddr) {
        if at == self.watch.at {
            return;
        }
        self.watch.at = at;
        self.watch.seq = None;
        while !self.watch.calls.is_empty() {
            self.leave_call(0);
        }
        self.watch_discovery();
    }

    /// Asks on a connection that is up.
    fn ask(&mut self, id: usize) -> io::Result<()> {
        let since = self.watch.seq.filter(|_| !self.watch.doubt);
        let (path, next, within) = match since {
            None => ("/v1/servers".to_string(), Course::Asked, self.soon()),
            Some(seq) => {
                let wait = (WAIT * 1000.0) as u64;
                (format!("/v1/servers?since={seq}&timeout_ms={wait}"), Course::Watching, WAIT + GRACE)
            }
        };
        self.call_passes(id, next);
        let question = http::get(&path, &self.watch.at.to_string());
        let newest = id + 1 == self.watch.calls.len();
        let call = &mut self.watch.calls[id];
        call.asked_at = self.now;
        call.outbox.push(question);
        let flushed = call.outbox.flush(&call.socket);
        if newest {
            self.watch_within(within);
        }
        flushed.map(|_| ())
    }

    pub fn discovery_is_ready(&mut self) {
        let mut id = 0;
        while id < self.watch.calls.len() {
            match self.read_call(id) {
                Ok(None) => id += 1,
                Ok(Some((list, last))) => return self.told(id, &list, last),
                Err(fault) => self.call_failed(id, &fault),
            }
        }
    }

    /// The list that has come on that connection, and whether the other side ends it.
    fn read_call(&mut self, id: usize) -> Result<Option<(List, bool)>, String> {
        let up = socket::is_up(&self.watch.calls[id].socket).map_err(|e| e.to_string())?;
        if self.watch.calls[id].course == Course::Dialing {
            if !up {
                return Ok(None);
            }
            self.ask(id).map_err(|e| e.to_string())?;
        }
        let call = &mut self.watch.calls[id];
        call.outbox.flush(&call.socket).map_err(|e| e.to_string())?;
        // A reset is no end: what came before it is dropped with the connection.
        let got = socket::read(&call.socket, &mut call.inbox, http::LONGEST).map_err(|e| e.to_string())?;
        if let Some(response) = http::response(&mut call.inbox, got == Got::End)? {
            if response.status != 200 {
                return Err(format!("status {}", response.status));
            }
            let list = serde_json::from_slice(&response.body).map_err(|e| e.to_string())?;
            return Ok(Some((list, response.last)));
        }
        match got {
            Got::End => Err("it ended the connection".into()),
            Got::More => {
                self.again(Party::Discovery);
                Ok(None)
            }
            Got::All => Ok(None),
        }
    }

    /// An answer: that connection is the watch from here on.
    fn told(&mut self, id: usize, list: &List, last: bool) {
        for other in (0..self.watch.calls.len()).rev().filter(|other| *other != id) {
            self.leave_call(other);
        }
        let call = &mut self.watch.calls[0];
        let early = call.course == Course::Watching && self.now - call.asked_at < WAIT - GRACE;
        let idles = early && self.watch.seq == Some(list.seq);
        (call.answered, call.kept_until) = (true, f64::INFINITY);
        (self.watch.seq, self.watch.doubt) = (Some(list.seq), false);
        self.take_list(list);
        if last {
            // Asked again at once: only calls that follow soon keep up the watch.
            self.leave_call(0);
        }
        match (idles, last) {
            // One that never waits must not keep this router busy.
            (true, false) => {
                self.call_passes(0, Course::Resting);
                self.watch_within(REST);
            }
            (true, true) => self.watch_within(REST),
            (false, true) => self.watch_discovery(),
            (false, false) => match self.ask(0) {
                // What came behind the answer raises no readiness of its own.
                Ok(()) => self.again(Party::Discovery),
                Err(fault) => self.call_failed(0, &fault.to_string()),
            },
        }
    }

    pub fn discovery_is_due(&mut self) {
        self.watch.alarm = None;
        match self.watch.calls.last().map(|call| call.course) {
            None => self.watch_discovery(),
            Some(Course::Resting) => {
                if let Err(fault) = self.ask(self.watch.calls.len() - 1) {
                    self.call_failed(self.watch.calls.len() - 1, &fault.to_string());
                }
            }
            Some(_) => {
                self.watch.doubt = true;
                self.watch_failed("no answer in time");
                self.watch_discovery();
            }
        }
    }

    /// That connection is of no further use. Where it is the last one, the next follows: at once after one that was good,
    /// as what is told meanwhile counts.
    fn call_failed(&mut self, id: usize, fault: &str) {
        let answered = self.leave_call(id);
        self.watch.doubt |= !answered;
        self.watch_failed(fault);
        match (self.watch.calls.len(), answered) {
            (0, true) => self.watch_discovery(),
            // Where an older one is left, it may still be answered.
            (left, _) if left == id => self.watch_within(REST),
            _ => {}
        }
    }

    fn watch_failed(&mut self, fault: &str) {
        self.counters.lists_failed += 1;
        if self.now - self.watch.logged_at >= 1.0 {
            self.watch.logged_at = self.now;
            warn!(self.log, "discovery"; "fault" => fault, "failed_so_far" => self.counters.lists_failed);
        }
        self.list_failed();
    }

    /// Closes a connection; true if it was answered before.
    fn leave_call(&mut self, id: usize) -> bool {
        let call = self.watch.calls.remove(id);
        self.handle.remove(call.token);
        call.answered
    }

    pub fn take_list(&mut self, list: &List) {
        self.counters.lists += 1;
        let (told, moved) = self.hosts.take(list);
        for host in moved {
            self.close_idle_of(host);
        }
        for listed in &told {
            let name = self.hosts.all[listed.host].name.as_str();
            info!(self.log, "listed"; "host" => name, "standing" => format!("{:?}", listed.standing),
                "started_at" => listed.started_at.unwrap_or(0.0));
        }
        self.tell_list(&told);
        self.call_back();
    }
}
