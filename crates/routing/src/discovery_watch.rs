//! The watch on discovery, without I/O: when a call begins, what it requests, how long it is kept open, and which answers
//! are acted on. The caller connects, sends and closes as [`Step`]s require, and reports what happens.
//!
//! Two limits are independent of each other. A call that is not answered in the expected time is *followed* by another one,
//! since discovery may be silent and answer only calls that arrive after its return. It is *kept* beside that for as long as
//! discovery may take, since it may just be slow. An answer is acted on unless a newer list is known.

use std::collections::VecDeque;

use crate::discovery_call::{Call, PROPAGATION_LIMIT_SECONDS, RESPONSE_GRACE_SECONDS};
use crate::response_time::ResponseTime;

pub use crate::discovery_call::{
    ANSWER_LIMIT_SECONDS, CALL_LIFETIME_SECONDS, CallId, CallState, LONG_POLL_SECONDS, Request,
};
use crate::list_order::ListOrder;
pub use crate::list_order::Verdict;

/// Delay after a call that failed, or that was answered early without a change. It is shorter than the interval that keeps
/// up a watch (200 ms, the protocol page).
pub const RETRY_DELAY_SECONDS: f64 = 0.1;
/// Minimum time between calls, even if the grace of a draining endpoint is very short.
const MIN_CALL_INTERVAL_SECONDS: f64 = RETRY_DELAY_SECONDS / 10.0;
/// Maximum time between calls to a silent discovery, even if the grace of a draining endpoint is very long.
const MAX_CALL_INTERVAL_SECONDS: f64 = PROPAGATION_LIMIT_SECONDS / 6.0;
/// Maximum number of calls beside one whose answer is arriving, so that they leave it the connection's bandwidth.
const MAX_CALLS_BESIDE_TRANSFER: usize = 1;

/// Minimum number of calls that may be open: one that is unanswered, and the next.
pub const MIN_OPEN_CALLS: usize = 2;
/// Maximum number of calls that may be open, if there are descriptors: those of a call's lifetime at eight calls a second,
/// the usual rate of a drain grace of 250 ms, and the one that begins.
pub const MAX_OPEN_CALLS: usize = 20;

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Connect to discovery for this call, and report [`DiscoveryWatch::on_connected`] or
    /// [`DiscoveryWatch::on_failed`].
    Connect(CallId),
    /// Send a request on the connection of this call.
    Send(CallId, Request),
    /// Close the connection of this call.
    Close(CallId),
}

/// The parts of an answer that decide what is done with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Version of the list.
    pub version: u64,
    /// Whether the list is complete.
    pub is_complete: bool,
    /// Whether discovery closes the connection after this answer.
    pub closes_connection: bool,
}

/// What an answer shows, and what becomes of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerOutcome {
    /// What becomes of the list.
    pub verdict: Verdict,
    /// Time that discovery took for the answer, in seconds; of a long poll that was answered before its scheduled end, zero.
    pub response_seconds: f64,
}

impl AnswerOutcome {
    /// Whether a call whose answer takes so long is followed by another one, unless it was expected.
    pub fn is_slow(&self) -> bool {
        self.response_seconds >= RESPONSE_GRACE_SECONDS
    }
}

/// The state of the watch on one discovery service. Times are in seconds, on any clock that does not go back.
pub struct DiscoveryWatch {
    /// How long discovery may stay silent before the next call begins.
    call_interval: f64,
    max_open_calls: usize,
    /// Open calls in the order of their last requests.
    calls: Vec<Call>,
    calls_begun: u64,
    /// Number of requests sent and calls begun so far, which orders them.
    last_order: u64,
    /// Order of the latest request that was answered.
    answered_order: u64,
    lists: ListOrder,
    /// Whether a call has failed since the last answer. The next one then requests the complete list, as discovery may have
    /// restarted.
    has_failed: bool,
    /// Whether no call was answered in the expected time since the last answer.
    is_silent: bool,
    response_time: ResponseTime,
    wake_at: f64,
    steps: VecDeque<Step>,
    violations: u64,
}

impl DiscoveryWatch {
    /// Creates a watch that does nothing until [`start`](Self::start). `drain_grace` is how long requests may still be sent to a
    /// draining endpoint, in seconds. What discovery reports after a silence applies from its return on, but it may answer only
    /// calls that arrive after that: calls to a silent discovery follow each other within half of that grace.
    pub fn new(drain_grace: f64) -> DiscoveryWatch {
        DiscoveryWatch {
            call_interval: (drain_grace / 2.0).clamp(MIN_CALL_INTERVAL_SECONDS, MAX_CALL_INTERVAL_SECONDS),
            max_open_calls: MAX_OPEN_CALLS,
            calls: Vec::new(),
            calls_begun: 0,
            last_order: 0,
            answered_order: 0,
            lists: ListOrder::default(),
            has_failed: false,
            is_silent: false,
            response_time: ResponseTime::default(),
            wake_at: f64::INFINITY,
            steps: VecDeque::new(),
            violations: 0,
        }
    }

    /// Limits the number of open calls from the next one on, between [`MIN_OPEN_CALLS`] and [`MAX_OPEN_CALLS`].
    pub fn limit_open_calls(&mut self, limit: usize) {
        self.max_open_calls = limit.clamp(MIN_OPEN_CALLS, MAX_OPEN_CALLS);
    }

    /// Closes a call beyond [`MIN_OPEN_CALLS`] to free its descriptor, neither the oldest nor the newest. Returns false if there
    /// is none.
    pub fn close_spare_call(&mut self) -> bool {
        if self.calls.len() <= MIN_OPEN_CALLS {
            return false;
        }
        self.close(1);
        true
    }

    /// Returns the number of invariant violations. A debug build panics at the first.
    pub fn invariant_violations(&self) -> u64 {
        self.violations
    }

    /// Returns the next step, if any. The caller has to take all steps after each call of another method.
    #[must_use]
    pub fn poll_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Returns when [`on_timer`](Self::on_timer) is due.
    pub fn wake_at(&self) -> f64 {
        self.wake_at
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the time in which an answer is expected to arrive.
    pub fn expected_response_seconds(&self) -> f64 {
        self.response_time.expected_within(self.call_interval, ANSWER_LIMIT_SECONDS)
    }

    /// Begins to watch.
    pub fn start(&mut self, now: f64) {
        self.begin_call(now);
    }

    /// Begins to watch another discovery service, whose versions need not continue those of the one before. Closes all calls.
    pub fn restart(&mut self, now: f64) {
        self.steps.extend(self.calls.drain(..).map(|call| Step::Close(call.id)));
        self.lists = ListOrder::default();
        self.has_failed = false;
        self.is_silent = false;
        self.response_time = ResponseTime::default();
        self.begin_call(now);
    }

    /// Handles that the connection of a call is established.
    ///
    /// # Panics
    /// If the call is not open.
    pub fn on_connected(&mut self, id: CallId, now: f64) {
        let index = self.index_of(id);
        self.send_request(index, now);
    }

    /// Handles that part of an answer has arrived: discovery is not silent, and the rest may take its time.
    ///
    /// # Panics
    /// If the call is not open.
    pub fn on_partial_answer(&mut self, id: CallId, now: f64) {
        let index = self.index_of(id);
        self.calls[index].received_at = Some(now);
    }

    /// Handles a complete answer, and returns what becomes of it. The next request is sent at once unless another call keeps
    /// up the watch, because only that continues it.
    ///
    /// # Panics
    /// If the call is not open.
    pub fn on_answer(&mut self, id: CallId, answer: AnswerHead, now: f64) -> AnswerOutcome {
        let index = self.index_of(id);
        self.record_response_time(index, now);
        let call = &mut self.calls[index];
        call.was_answered = true;
        call.received_at = None;
        self.answered_order = self.answered_order.max(call.order);
        let answered = *call;
        self.is_silent = false;
        self.has_failed = false;
        let old_version = self.lists.version();
        let AnswerHead { version, is_complete, closes_connection } = answer;
        let verdict = self.lists.judge(version, is_complete, answered.order, self.last_order);
        // A discovery that answers long polls at once must not keep this router busy.
        let is_early = answered.state == CallState::Watching
            && now - answered.requested_at < LONG_POLL_SECONDS - RESPONSE_GRACE_SECONDS;
        let pauses = is_early && verdict != Verdict::Incomplete && old_version == self.lists.version();
        self.continue_watch(&answered, closes_connection, pauses, now);
        self.close_lost_calls(now);
        AnswerOutcome { verdict, response_seconds: (now - answered.due_at).max(0.0) }
    }

    /// Handles the failure of a call. If it was the newest, the next one follows: at once if its connection had worked, because
    /// updates that discovery has meanwhile apply at once.
    ///
    /// # Panics
    /// If the call is not open.
    pub fn on_failed(&mut self, id: CallId, now: f64) {
        let index = self.index_of(id);
        let failed = self.calls.remove(index);
        self.steps.push_back(Step::Close(id));
        self.has_failed |= !failed.was_answered;
        let was_newest = self.calls.len() == index;
        if was_newest && failed.was_answered {
            self.begin_call(now);
        } else if was_newest {
            // An older call may still be open, and may still be answered.
            self.wake_at = now + RETRY_DELAY_SECONDS;
        }
    }

    /// Handles that the time of [`wake_at`](Self::wake_at) has come. Returns whether a call was not answered in the expected
    /// time.
    pub fn on_timer(&mut self, now: f64) -> bool {
        self.close_lost_calls(now);
        if let Some(index) = self.calls.iter().position(|call| call.state == CallState::Pausing) {
            self.send_request(index, now);
            return false;
        }
        if let Some(retry_at) = self.end_of_transfer(now) {
            self.wake_at = retry_at;
            return false;
        }
        let is_unanswered = !self.calls.is_empty();
        self.is_silent |= is_unanswered;
        self.has_failed |= is_unanswered;
        self.begin_call(now);
        is_unanswered
    }

    /// While an answer arrives, returns when it is looked at again, unless another call may begin beside it.
    fn end_of_transfer(&self, now: f64) -> Option<f64> {
        let call = self.calls.iter().find(|call| call.is_receiving(now))?;
        let has_company = self.calls.len() > MAX_CALLS_BESIDE_TRANSFER;
        let may_begin_at = call.due_at + ANSWER_LIMIT_SECONDS;
        if has_company || now < may_begin_at {
            return Some(now + RESPONSE_GRACE_SECONDS);
        }
        None
    }

    /// Begins a call. If as many are open as may be, the oldest is kept while it may still be answered in time, and the newest is
    /// closed.
    fn begin_call(&mut self, now: f64) {
        self.close_lost_calls(now);
        if self.calls.len() >= self.max_open_calls {
            let index = if self.calls[0].is_late(now) { 0 } else { self.calls.len() - 1 };
            self.close(index);
        }
        self.calls_begun += 1;
        let id = CallId(self.calls_begun);
        self.last_order += 1;
        self.calls.push(Call::new(id, self.last_order, now));
        self.steps.push_back(Step::Connect(id));
        self.wake_at = now + self.fetch_wait();
    }

    /// Sends the next request on an established connection.
    fn send_request(&mut self, index: usize, now: f64) {
        let mut call = self.calls.remove(index);
        let was_newest = index == self.calls.len();
        let request = self.next_request();
        self.last_order += 1;
        call.order = self.last_order;
        call.requested_at = now;
        let (state, due_at) = match request {
            Request::CompleteList => (CallState::Fetching, now),
            Request::ChangesSince(_) => (CallState::Watching, now + LONG_POLL_SECONDS),
        };
        self.change_state(&mut call, state);
        call.due_at = due_at;
        self.steps.push_back(Step::Send(call.id, request));
        self.calls.push(call);
        if was_newest || state == CallState::Watching {
            self.wake_at = match state {
                CallState::Watching => self.watch_deadline(due_at),
                _ => now + self.fetch_wait(),
            };
        }
    }

    /// Changes the state of a call; all state changes go through here.
    fn change_state(&mut self, call: &mut Call, next: CallState) {
        let is_allowed = call.state.may_become(next);
        debug_assert!(is_allowed, "{:?} became {next:?}", call.state);
        self.violations += u64::from(!is_allowed);
        call.state = next;
    }

    fn next_request(&self) -> Request {
        match self.lists.version() {
            Some(version) if !self.has_failed => Request::ChangesSince(version),
            _ => Request::CompleteList,
        }
    }

    /// How long a call that should be answered at once may stay unanswered before the next one begins.
    fn fetch_wait(&self) -> f64 {
        if self.is_silent { self.call_interval } else { self.expected_response_seconds() }
    }

    /// When the next call begins if discovery is not heard after `from`, by when a long poll is due.
    fn watch_deadline(&self, from: f64) -> f64 {
        from + self.response_time.expected_within(RESPONSE_GRACE_SECONDS, ANSWER_LIMIT_SECONDS)
    }

    /// Records how long an answer took. Calls that a later one has overtaken say nothing about the present: discovery may have
    /// been silent as they arrived.
    fn record_response_time(&mut self, index: usize, now: f64) {
        let call = &self.calls[index];
        let took = now - call.due_at;
        let is_current = call.order > self.answered_order;
        let is_quick_fetch = call.state == CallState::Fetching && took <= self.call_interval;
        match call.state {
            CallState::Fetching if is_current && is_quick_fetch => self.response_time.restart(took),
            CallState::Fetching if is_current => self.response_time.record(took),
            // A long poll that was answered earlier had a change; when that was made is not known.
            CallState::Watching if is_current && took >= 0.0 => self.response_time.record(took),
            _ => {}
        }
    }

    /// Keeps up the watch after an answer: on the same connection, unless another call does so or it is closed.
    fn continue_watch(&mut self, answered: &Call, closes_connection: bool, pauses: bool, now: f64) {
        let index = self.index_of(answered.id);
        if self.is_watched_after(answered.order) {
            self.close(index);
            self.postpone_next_call(now);
            return;
        }
        if closes_connection {
            self.close(index);
            if pauses {
                self.wake_at = now + RETRY_DELAY_SECONDS;
            } else {
                self.begin_call(now);
            }
        } else if pauses {
            let mut call = self.calls[index];
            self.change_state(&mut call, CallState::Pausing);
            self.calls[index] = call;
            self.wake_at = now + RETRY_DELAY_SECONDS;
        } else {
            self.send_request(index, now);
        }
    }

    /// Whether a call that was sent after this order keeps up the watch.
    fn is_watched_after(&self, order: u64) -> bool {
        self.calls.iter().any(|call| call.is_watching() && call.order > order)
    }

    /// Gives the long poll in flight more time, as discovery has answered another call meanwhile: it may work on one at a time.
    fn postpone_next_call(&mut self, now: f64) {
        let watch = self.calls.iter().rfind(|call| call.state == CallState::Watching);
        if let Some(due_at) = watch.map(|call| call.due_at) {
            self.wake_at = self.wake_at.max(self.watch_deadline(due_at.max(now)));
        }
    }

    /// Closes the calls whose time is over and after which a later one was answered. While none was, discovery may still work
    /// on them in their turn.
    fn close_lost_calls(&mut self, now: f64) {
        let answered_order = self.answered_order;
        let is_lost = |call: &Call| call.order < answered_order && call.has_expired(now);
        let (lost, kept): (Vec<Call>, Vec<Call>) = self.calls.drain(..).partition(is_lost);
        self.calls = kept;
        self.steps.extend(lost.iter().map(|call| Step::Close(call.id)));
    }

    fn close(&mut self, index: usize) {
        let call = self.calls.remove(index);
        self.steps.push_back(Step::Close(call.id));
    }

    fn index_of(&self, id: CallId) -> usize {
        let index = self.calls.iter().position(|call| call.id == id);
        index.expect("the call is open until the watch has closed it")
    }
}
