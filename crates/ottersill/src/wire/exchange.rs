//! Where the wire, the memory and the module meet: what became ready is read, told to the facade, and what the
//! facade says is carried out. Nothing here decides.

use std::io;
use std::mem;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use ottersill_core::Router;
use ottersill_core::facade::{Ask, Choice, Due, Facade, News};
use ottersill_core::interface::{Listed, Statement, Terms};
use ottersill_statement::book::Book;
use ottersill_statement::shape::Key;
use ottersill_terms::{Names, Upkeep};
use slab::Slab;
use slog::Logger;
use socket2::Socket;

use crate::memory::alarms::{Alarm, Alarms, Set};
use crate::memory::clients::{Client, UnwatchedClient};
use crate::memory::counters::Counters;
use crate::memory::hosts::Hosts;
use crate::memory::lines::Line;
use crate::memory::link::Link;
use crate::memory::statements::Statements;
use crate::wire::control::Control;
use crate::wire::discovery::Watch;

/// How long before a time limit of a page something is done that has to be there by then; seconds. The time in which a
/// connection comes up is no measure for it: a customer's settings may give that any length.
pub const LEEWAY: f64 = 0.25;

/// One time for everything: it never goes back, and was tied to Unix time once, since positions are Unix times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Default for Clock {
    /// Both clocks are read as one: a process that was not on a core between the two readings would be off by that for
    /// good, and in what it tells others. Of some readings the one that took least counts.
    fn default() -> Clock {
        let read = || {
            let started = Instant::now();
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            (started.elapsed(), Clock { started, unix: unix.as_secs_f64() })
        };
        (0..4).map(|_| read()).fold(read(), |best, one| if one.0 < best.0 { one } else { best }).1
    }
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// Whose socket became ready. In this order they are seen to: what discovery wrote counts as told, and an answer
/// that is read first makes room for the statement that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Discovery,
    Fleet,
    Control,
    Asker(usize),
    Line(usize),
    Client(usize),
    Listener,
}

/// How many connections the limit on descriptors leaves, and how many bytes the limit on memory.
#[derive(Clone, Copy, Debug)]
pub struct Berths {
    /// For clients and lines together.
    pub all: usize,
    pub clients: usize,
    /// With more than this of those that have asked, the longest idle ones are closed as others come.
    pub easy: usize,
    /// Beside all these, for clients that are let in to be told that there is no room.
    pub spare: usize,
    /// For statements of clients, whole or not.
    pub bytes: usize,
    /// For what is known of the shapes of statements.
    pub book: usize,
}

pub struct Exchange {
    pub facade: Facade,
    pub statements: Statements,
    pub hosts: Hosts,
    pub clients: Slab<Client>,
    pub lines: Slab<Line>,
    pub watch: Watch,
    pub alarms: Alarms,
    /// The tie to the other routers; none where there is no talk.
    pub link: Option<Link>,
    pub control: Control,
    pub counters: Counters,
    /// What is known of the shapes of statements; keeps to its own budget of bytes.
    pub book: Book,
    /// When a line last said why a statement was taken for one that may write.
    pub strict_logged_at: f64,
    pub names: Names,
    pub upkeep: Upkeep,
    pub berths: Berths,
    pub log: Logger,
    pub handle: LoopHandle<'static, Exchange>,
    pub clock: Clock,
    /// When the sockets were last found ready: what is read counts as having come then.
    pub now: f64,
    pub started_at: f64,
    /// When a client may come again that finds no list of hosts here; 0 where no time may be named.
    pub come_again: f64,
    /// Bytes of statements, whole or not; falls with each answer and each client that leaves.
    pub stored: usize,
    pub listener: Option<(Rc<Socket>, RegistrationToken)>,
    /// The accepted client that the loop could not be told to watch; nobody else is accepted before it.
    pub unwatched_client: Option<UnwatchedClient>,
    /// Set while clients wait at the door for one to leave.
    pub crowd: Option<Set>,
    /// After SIGTERM and the time in which clients still come: connections are closed once they idle.
    pub retiring: bool,
    /// What is taken in is answered by then; never, unless the router has been told to stop.
    pub stops_at: f64,
    /// What signals have asked for.
    pub stop_asked: bool,
    pub print_asked: bool,
    pub reload_asked: bool,
    /// Emptied by each turn.
    ready: Vec<Party>,
}

impl Exchange {
    pub fn new(
        terms: Terms,
        names: Names,
        upkeep: Upkeep,
        berths: Berths,
        discovery: std::net::SocketAddr,
        log: Logger,
        handle: LoopHandle<'static, Exchange>,
    ) -> Exchange {
        let clock = Clock::default();
        let now = clock.now();
        let come_again = terms.max_retry_after;
        let usual = terms.workloads.iter().map(Router::typical).collect();
        let book = Book::new(now, Key::from_seed(terms.seed), berths.book, usual);
        Exchange {
            facade: Facade::start(now, terms),
            statements: Statements::default(),
            hosts: Hosts::new(names.sites.clone()),
            clients: Slab::new(),
            lines: Slab::new(),
            watch: Watch::new(discovery),
            alarms: Alarms::default(),
            link: None,
            control: Control::default(),
            counters: Counters::default(),
            book,
            strict_logged_at: 0.0,
            names,
            upkeep,
            berths,
            log,
            handle,
            clock,
            now,
            started_at: now,
            come_again,
            stored: 0,
            listener: None,
            unwatched_client: None,
            crowd: None,
            retiring: false,
            stops_at: f64::INFINITY,
            stop_asked: false,
            print_asked: false,
            reload_asked: false,
            ready: Vec::new(),
        }
    }

    /// Has the loop tell when the socket becomes ready: once for each change, so that nothing needs to be asked
    /// for again; whoever leaves something unread says so by [`Exchange::again`].
    pub fn attend(&mut self, socket: Socket, party: Party) -> io::Result<(Rc<Socket>, RegistrationToken)> {
        let socket = Rc::new(socket);
        let token = self.attend_shared(&socket, party)?;
        Ok((socket, token))
    }

    /// The same for a socket that the caller keeps where that fails: `ENOMEM` and `ENOSPC` may pass.
    pub fn attend_shared(&mut self, socket: &Rc<Socket>, party: Party) -> io::Result<RegistrationToken> {
        let source = Generic::new(Rc::clone(socket), Interest::BOTH, Mode::Edge);
        let told = self.handle.insert_source(source, move |_, _, exchange: &mut Exchange| {
            exchange.again(party);
            Ok(PostAction::Continue)
        });
        told.map_err(|e| io::Error::other(e.error))
    }

    /// Sees to that party in the next turn.
    pub fn again(&mut self, party: Party) {
        self.ready.push(party);
    }

    /// When the next turn is due though no socket becomes ready.
    pub fn next_at(&self) -> f64 {
        let next = if self.ready.is_empty() { f64::INFINITY } else { self.now };
        self.alarms.next_at().unwrap_or(f64::INFINITY).min(self.facade.wake_at()).min(next)
    }

    pub fn turn(&mut self) {
        self.now = self.clock.now();
        self.fleet_parts();
        let mut ready = mem::take(&mut self.ready);
        ready.sort_unstable();
        ready.dedup();
        for party in ready {
            match party {
                Party::Discovery => self.discovery_is_ready(),
                Party::Fleet => {
                    self.fleet_is_ready();
                    self.fleet_parts();
                }
                Party::Control => self.control_is_ready(),
                Party::Asker(asker) => self.asker_is_ready(asker),
                Party::Line(line) => self.line_is_ready(line),
                Party::Client(client) => self.client_is_ready(client),
                Party::Listener => self.listener_is_ready(),
            }
            self.carry_out();
        }
        while let Some(alarm) = self.alarms.due(self.now) {
            match alarm {
                Alarm::Discovery => self.discovery_is_due(),
                Alarm::Fleet => self.fleet_is_due(),
                Alarm::Asker(asker) => self.asker_leaves(asker),
                Alarm::Control => self.again(Party::Control),
                Alarm::Listener => {
                    self.crowd = None;
                    self.again(Party::Listener);
                }
                Alarm::Line(line) => self.line_is_due(line),
                Alarm::Client(client) => self.client_is_due(client),
            }
            self.carry_out();
        }
        self.carry_out();
        self.fleet_after();
    }

    /// Does what the facade names, until it names nothing more.
    fn carry_out(&mut self) {
        loop {
            let due = self.facade.tick(self.now);
            if due.is_empty() {
                return;
            }
            for due in due {
                match due {
                    Due::Pick(stmt) => {
                        let (stmt, choice) = self.facade.pick(self.now, Ask::Again(stmt));
                        self.act(stmt, choice);
                    }
                    Due::Recall(stmt) => self.recall(stmt),
                    Due::Probe(host) => self.probe(host),
                }
            }
        }
    }

    /// Opens a statement at the facade; `held` is told the number that it got.
    pub fn open(&mut self, stmt: Statement, held: impl FnOnce(&mut Exchange, usize)) {
        let (index, choice) = self.facade.pick(self.now, Ask::New(stmt));
        held(self, index);
        self.act(index, choice);
    }

    fn act(&mut self, stmt: usize, choice: Choice) {
        match choice {
            Choice::Wait => {}
            Choice::Execute { host, time_out } => self.execute(stmt, host, time_out),
            Choice::Reject { retry_after } => self.reject(stmt, retry_after),
            Choice::Abort => self.abort(stmt),
        }
    }

    pub fn tell(&mut self, news: News) {
        self.facade.report(self.now, news);
    }

    pub fn tell_list(&mut self, told: &[Listed]) {
        self.tell(News::List(told));
    }

    pub fn list_failed(&mut self) {
        self.tell(News::ListFailed);
    }

    /// Takes in who is at the door, closes it, and from now on ends client connections once they idle.
    pub fn retire(&mut self) {
        // Whom the machine has let in may have sent a statement, which then counts as taken.
        self.accept(usize::MAX);
        self.retiring = true;
        self.close_door();
        self.close_idle_clients();
        self.carry_out();
    }

    /// Nobody is in hand or at the door.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty() && self.listener.is_none()
    }

    /// Everything that must hold, wherever it is counted.
    pub fn breaches(&self) -> u64 {
        self.counters.breaches + self.facade.breaches()
    }
}
