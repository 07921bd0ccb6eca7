//! Routing in blocking style, for network code: [`Facade::pick`], [`Facade::report`], [`Facade::tick`].
//! Nothing here decides; it keeps what the [`Router`] asked for until it is picked up.
//!
//! One loop can't block in `pick`, so it answers [`Choice::Wait`] instead, and what waits is picked again once
//! [`Facade::tick`] names it. After each `pick` and `report` call `tick` until it names nothing.

use std::collections::VecDeque;

use crate::Router;
use crate::interface::{Ending, Front, Listed, Outcome, Parts, Report, Statement, Terms};

/// What [`Facade::pick`] is called for.
pub enum Ask {
    /// A request that has just arrived.
    New(Statement),
    /// One that `tick` has named.
    Again(usize),
}

/// What to do now for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send an attempt.
    Execute {
        /// To that endpoint.
        host: usize,
        /// Seconds after which it counts as not answered; 0 means when its client gives up.
        time_out: f64,
    },
    /// Wait until [`Facade::tick`] names the request.
    Wait,
    /// Final: nothing took effect, trying again is harmless.
    Reject {
        /// Seconds after which its client may try again.
        retry_after: f64,
    },
    /// Final, and promises nothing.
    Abort,
}

/// What was learnt.
pub enum News<'a> {
    /// An attempt ended.
    Execution {
        /// The request.
        stmt: usize,
        /// The endpoint.
        host: usize,
        /// How it ended.
        ending: Ending,
        /// Seconds from its start to its end.
        took: f64,
        /// What the answer itself showed.
        note: Report,
        /// The load report that came with the answer.
        report: Option<Report>,
    },
    /// A health check ended.
    Probe {
        /// The endpoint.
        host: usize,
        /// How it ended.
        ending: Ending,
        /// What the endpoint said, if it answered.
        report: Report,
    },
    /// The endpoint list, or entries of it that have changed.
    List(&'a [Listed]),
    /// What the fleet leaves this router of its budgets.
    Parts(&'a Parts),
    /// The endpoint list was asked for and did not come.
    ListFailed,
    /// The client left before its answer.
    ClientGone(usize),
}

/// What [`Facade::tick`] names as due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// Pick that request again.
    Pick(usize),
    /// Cancel the request's attempt; its end is still to be reported.
    Recall(usize),
    /// Health-check that endpoint.
    Probe(usize),
}

/// A router in blocking style.
pub struct Facade {
    router: Router,
    pending: Pending,
}

/// What the router asked for and network code has not picked up yet.
#[derive(Default)]
struct Pending {
    /// As many as there were ever requests at once; a slot is free again once its request is over and no attempt is in
    /// flight.
    slots: Vec<Slot>,
    free: Vec<usize>,
    /// Emptied by each `tick`.
    due: VecDeque<Due>,
    picking: Option<usize>,
    now: f64,
    wake_at: f64,
    violations: u64,
}

#[derive(Clone, Copy, Default)]
struct Slot {
    is_taken: bool,
    /// Decided, and not picked up yet.
    choice: Option<Choice>,
    /// The request has its final answer, or its client left.
    is_over: bool,
    in_flight: u32,
}

impl Facade {
    /// A router that knows no endpoint yet.
    pub fn start(now: f64, terms: Terms) -> Facade {
        let mut pending = Pending { now, ..Pending::default() };
        let router = Router::start(now, terms, &mut pending);
        Facade { router, pending }
    }

    /// The request's number, which is its own until it is over and no attempt of it is in flight, and what to do.
    pub fn pick(&mut self, now: f64, ask: Ask) -> (usize, Choice) {
        self.pending.now = now;
        let index = match ask {
            Ask::New(stmt) => {
                let index = self.pending.allocate();
                self.pending.picking = Some(index);
                self.router.statement(now, index, stmt, &mut self.pending);
                self.pending.picking = None;
                index
            }
            Ask::Again(index) => index,
        };
        let choice = self.pending.slots[index].choice.take().unwrap_or(Choice::Wait);
        match choice {
            Choice::Execute { .. } => self.pending.slots[index].in_flight += 1,
            Choice::Reject { .. } | Choice::Abort => {
                self.pending.slots[index].is_over = true;
                self.pending.free_if_over(index);
            }
            Choice::Wait => {}
        }
        (index, choice)
    }

    /// Takes in what was learnt.
    pub fn report(&mut self, now: f64, news: News) {
        self.pending.now = now;
        match news {
            News::Execution { stmt, host, ending, took, note, report } => {
                let slot = &mut self.pending.slots[stmt];
                let known = slot.is_taken && slot.in_flight > 0;
                self.pending.check_invariant(known, "an execution that was picked ends once");
                if known {
                    let slot = &mut self.pending.slots[stmt];
                    slot.in_flight -= 1;
                    slot.is_over |= ending == Ending::Completed;
                    let closed = slot.is_over;
                    let outcome = Outcome { stmt, host, ending, took, closed, note, report };
                    self.router.outcome(now, &outcome, &mut self.pending);
                    self.pending.free_if_over(stmt);
                }
            }
            News::Probe { host, ending, report } => {
                self.router.probed(now, host, ending, report, &mut self.pending);
            }
            News::List(list) => self.router.hosts(now, list, &mut self.pending),
            News::Parts(parts) => self.router.parts(now, parts, &mut self.pending),
            News::ListFailed => self.router.list_failed(),
            News::ClientGone(stmt) => self.client_gone(now, stmt),
        }
    }

    fn client_gone(&mut self, now: f64, stmt: usize) {
        let slot = self.pending.slots[stmt];
        self.pending.check_invariant(slot.is_taken && !slot.is_over, "a client leaves before its answer");
        if !slot.is_taken || slot.is_over {
            return;
        }
        self.pending.slots[stmt].is_over = true;
        match self.pending.slots[stmt].choice.take() {
            // Decided, and not picked up: the router no longer holds it.
            Some(Choice::Reject { .. } | Choice::Abort) => {}
            Some(Choice::Execute { host, .. }) => {
                self.router.hangup(stmt);
                let (ending, note) = (Ending::NeverSent, Report::default());
                let outcome = Outcome { stmt, host, ending, took: 0.0, closed: true, note, report: None };
                self.router.outcome(now, &outcome, &mut self.pending);
            }
            Some(Choice::Wait) | None => self.router.hangup(stmt),
        }
        self.pending.free_if_over(stmt);
    }

    /// What is due now; nothing is named twice for the same reason.
    pub fn tick(&mut self, now: f64) -> VecDeque<Due> {
        self.pending.now = now;
        if now >= self.pending.wake_at {
            self.pending.wake_at = f64::INFINITY;
            self.router.timer(now, &mut self.pending);
        }
        std::mem::take(&mut self.pending.due)
    }

    /// Whether an endpoint is taken for one that is not warm yet.
    pub fn is_cold(&self, now: f64, host: usize) -> bool {
        self.router.is_cold(now, host)
    }

    /// Whether an attempt that was picked may still be sent; to be asked when its bytes are about to go out.
    pub fn may_begin(&self, now: f64, stmt: usize, host: usize) -> bool {
        self.router.may_begin(now, stmt, host)
    }

    /// The same of a health check.
    pub fn may_probe(&self, host: usize) -> bool {
        self.router.may_probe(host)
    }

    /// Requests that wait in a group for an endpoint that may take them.
    pub fn waiting(&self, group: usize) -> usize {
        self.router.waiting(group)
    }

    /// When `tick` wants to be called, if nothing else happens before.
    pub fn wake_at(&self) -> f64 {
        self.pending.wake_at
    }

    /// How often something that must hold did not.
    pub fn breaches(&self) -> u64 {
        self.pending.violations
    }
}

impl Pending {
    fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.violations += u64::from(!holds);
    }

    fn allocate(&mut self) -> usize {
        let index = self.free.pop().unwrap_or(self.slots.len());
        self.slots.resize(self.slots.len().max(index + 1), Slot::default());
        self.slots[index] = Slot { is_taken: true, ..Slot::default() };
        index
    }

    fn free_if_over(&mut self, index: usize) {
        let slot = self.slots[index];
        if slot.is_taken && slot.is_over && slot.in_flight == 0 && slot.choice.is_none() {
            self.slots[index].is_taken = false;
            self.free.push(index);
        }
    }

    fn record_choice(&mut self, index: usize, choice: Choice) {
        let free = self.slots[index].choice.is_none() && !self.slots[index].is_over;
        self.check_invariant(free, "one choice at a time, and none after the last");
        self.slots[index].choice = Some(choice);
        if self.picking != Some(index) {
            self.due.push_back(Due::Pick(index));
        }
    }
}

impl Front for Pending {
    fn execute(&mut self, stmt: usize, host: usize, time_out: f64) {
        self.record_choice(stmt, Choice::Execute { host, time_out });
    }

    fn reject(&mut self, stmt: usize, retry_after: f64) {
        self.record_choice(stmt, Choice::Reject { retry_after });
    }

    fn abort(&mut self, stmt: usize) {
        self.record_choice(stmt, Choice::Abort);
    }

    fn cancel(&mut self, stmt: usize, _execution: u32) {
        self.due.push_back(Due::Recall(stmt));
    }

    fn probe(&mut self, host: usize) {
        self.due.push_back(Due::Probe(host));
    }

    fn wake(&mut self, after: f64) {
        self.wake_at = self.now + after;
    }

    /// On sockets discovery is watched from the start, whether asked for or not.
    fn follow(&mut self) {}

    fn log(&mut self, _text: &str) {}
}
