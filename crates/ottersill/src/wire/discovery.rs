//! Discovery: what its lists say, and the watch kept on them.

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

/// How long a watch waits for news, as on the protocol page; seconds.
const WAIT: f64 = 20.0;
/// What is not answered this long after its wait counts as told all the same, so it is asked for anew.
const GRACE: f64 = 2.0;

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
    /// Between calls, after a failure.
    Resting,
    Dialing,
    /// A call is out.
    Asked,
}

pub struct Watch {
    pub at: SocketAddr,
    pub course: Course,
    pub socket: Option<(Rc<Socket>, RegistrationToken)>,
    pub inbox: BytesMut,
    pub outbox: Outbox,
    pub alarm: Option<Set>,
    /// The version of the last list read here; none asks for the whole list, at once.
    pub seq: Option<u64>,
}

impl Watch {
    pub fn new(at: SocketAddr) -> Watch {
        let (inbox, outbox) = (BytesMut::new(), Outbox::default());
        Watch { at, course: Course::Resting, socket: None, inbox, outbox, alarm: None, seq: None }
    }
}

impl Exchange {
    /// Every change of the watch's course, with the time by which it has to change again.
    fn watch_passes(&mut self, next: Course, within: f64) {
        let watch = &mut self.watch;
        let may = matches!(
            (watch.course, next),
            (Course::Resting, Course::Dialing | Course::Resting)
                | (Course::Dialing, Course::Asked | Course::Resting)
                | (Course::Asked, _)
        );
        self.counters.must(may, "the watch goes its ways only");
        watch.course = next;
        self.alarms.clear(watch.alarm.take());
        watch.alarm = Some(self.alarms.set(self.now + within, Alarm::Discovery));
    }

    pub fn watch_discovery(&mut self) {
        match socket::dial(self.watch.at).and_then(|socket| self.attend(socket, Party::Discovery)) {
            Ok(attended) => {
                self.watch.socket = Some(attended);
                self.watch_passes(Course::Dialing, self.upkeep.connect);
            }
            Err(e) => self.watch_failed(&e.to_string()),
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
        self.leave_discovery();
        self.watch_discovery();
    }

    fn ask(&mut self) {
        let (path, wait) = match self.watch.seq {
            None => ("/v1/servers".to_string(), 0.0),
            Some(seq) => (format!("/v1/servers?since={seq}&timeout_ms={}", (WAIT * 1000.0) as u64), WAIT),
        };
        self.watch.outbox.push(http::get(&path, &self.watch.at.to_string()));
        self.watch_passes(Course::Asked, wait + GRACE);
    }

    pub fn discovery_is_ready(&mut self) {
        if let Err(fault) = self.read_discovery() {
            self.watch_failed(&fault);
        }
    }

    fn read_discovery(&mut self) -> Result<(), String> {
        let Some((socket, _)) = self.watch.socket.clone() else { return Ok(()) };
        if self.watch.course == Course::Dialing {
            if !socket::is_up(&socket).map_err(|e| e.to_string())? {
                return Ok(());
            }
            self.ask();
        }
        self.watch.outbox.flush(&socket).map_err(|e| e.to_string())?;
        let got = socket::read(&socket, &mut self.watch.inbox, http::LONGEST).map_err(|e| e.to_string())?;
        let response = http::response(&mut self.watch.inbox, got == Got::End)?;
        if let Some(response) = response {
            if response.status != 200 {
                return Err(format!("status {}", response.status));
            }
            let list: List = serde_json::from_slice(&response.body).map_err(|e| e.to_string())?;
            self.watch.seq = Some(list.seq);
            self.take_list(&list);
            if response.last {
                // Asked again at once: only calls that follow soon keep up the watch.
                self.leave_discovery();
                self.watch_discovery();
                return Ok(());
            }
            self.ask();
            self.watch.outbox.flush(&socket).map_err(|e| e.to_string())?;
        }
        match got {
            Got::End => Err("it ended the connection".into()),
            Got::More => {
                self.again(Party::Discovery);
                Ok(())
            }
            Got::All => Ok(()),
        }
    }

    pub fn discovery_is_due(&mut self) {
        self.watch.alarm = None;
        match self.watch.course {
            Course::Resting => self.watch_discovery(),
            Course::Dialing | Course::Asked => self.watch_failed("no answer in time"),
        }
    }

    fn watch_failed(&mut self, fault: &str) {
        self.counters.lists_failed += 1;
        warn!(self.log, "discovery"; "fault" => fault);
        self.leave_discovery();
        self.list_failed();
    }

    fn leave_discovery(&mut self) {
        if let Some((_, token)) = self.watch.socket.take() {
            self.handle.remove(token);
        }
        self.watch.inbox.clear();
        self.watch.outbox = Outbox::default();
        self.watch_passes(Course::Resting, self.upkeep.connect);
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
    }
}
