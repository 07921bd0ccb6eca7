//! The discovery client: its connections to discovery and the watch that it keeps there. It reports what it heard as
//! [`DiscoveryEvent`]s and leaves what follows from them to the event loop.

use std::collections::VecDeque;
use std::net::SocketAddr;

use slog::warn;

use crate::discovery::call::{Answer, Call, CallError};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::watch::{self, CallState, RETRY_DELAY, Request, SUPERSEDED_CALL_LIFETIME};
use crate::reactor::{Context, Source};
use crate::timers::{Timer, TimerHandle};

/// Calls that are open at a time: one that is silent, and the next.
const MAX_CALLS: usize = 2;
/// Between two log lines about failed calls, in seconds.
const LOG_INTERVAL: f64 = 1.0;

/// What the event loop is told by [`DiscoveryClient::poll_event`].
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// An endpoint list was read. It is newer than all before it.
    List(EndpointList),
    /// A call has failed, or was not answered in time.
    CallFailed,
}

/// Keeps a watch on discovery. Times are Unix seconds, durations seconds.
pub struct DiscoveryClient {
    address: SocketAddr,
    /// The older first. One that is not answered is kept beside the next. Whichever is answered first stays, and the
    /// other one is closed, so that no answer is older than the one before it.
    calls: Vec<Call>,
    /// When the newest call is given up, or, where there is none, the next one begins.
    timer: Option<TimerHandle>,
    /// The version of the last list that was read here; without one the complete list is asked for.
    version: Option<u64>,
    /// The last call was not answered: the next one asks for the complete list, which comes at once, as the silence of a
    /// long poll could not be told from no news.
    is_unresponsive: bool,
    /// After how long the next call follows one that stays silent.
    silent_call_interval: f64,
    /// When a failure was last logged.
    logged_at: f64,
    events: VecDeque<DiscoveryEvent>,
}

impl DiscoveryClient {
    /// A client of the discovery at `address`, which does nothing until [`start`](Self::start). `drain_grace` is how long
    /// a draining endpoint may still be sent to.
    pub fn new(address: SocketAddr, drain_grace: f64) -> DiscoveryClient {
        DiscoveryClient {
            address,
            calls: Vec::new(),
            timer: None,
            version: None,
            is_unresponsive: false,
            silent_call_interval: watch::silent_call_interval(drain_grace),
            logged_at: f64::NEG_INFINITY,
            events: VecDeque::new(),
        }
    }

    /// The next thing that the event loop has to do; to be asked after each call of another method until there is none.
    #[must_use]
    pub fn poll_event(&mut self) -> Option<DiscoveryEvent> {
        self.events.pop_front()
    }

    /// Begins the watch.
    pub fn start(&mut self, context: &mut Context) {
        self.begin_call(context);
    }

    /// Discovery is at another address from now on. What it said last holds until the complete list is read there, whose
    /// versions need not continue the old ones.
    pub fn move_to(&mut self, address: SocketAddr, context: &mut Context) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.version = None;
        while !self.calls.is_empty() {
            self.close_call(0, context);
        }
        self.begin_call(context);
    }

    /// One of the connections became ready.
    pub fn on_ready(&mut self, context: &mut Context) {
        let mut index = 0;
        while index < self.calls.len() {
            match self.read_answer(index, context) {
                Ok(None) => index += 1,
                Ok(Some(answer)) => return self.on_answer(index, answer, context),
                Err(error) => self.on_call_failed(index, &error, context),
            }
        }
    }

    /// The timer has expired.
    pub fn on_timer(&mut self, context: &mut Context) {
        self.timer = None;
        match self.calls.last().map(Call::state) {
            None => self.begin_call(context),
            Some(CallState::Pausing) => {
                let newest = self.calls.len() - 1;
                if let Err(error) = self.send_request(newest, context) {
                    self.on_call_failed(newest, &error, context);
                }
            }
            Some(CallState::Connecting | CallState::Fetching | CallState::Watching) => {
                self.is_unresponsive = true;
                self.report_failure(&CallError::Timeout, context);
                self.begin_call(context);
            }
        }
    }

    /// Dials discovery. The oldest call may still be answered for a while; the one between is closed.
    fn begin_call(&mut self, context: &mut Context) {
        if self.calls.len() >= MAX_CALLS {
            let oldest_is_over = self.calls[0].is_over(context.now());
            self.close_call(usize::from(!oldest_is_over), context);
        }
        let keep_until = context.now() + SUPERSEDED_CALL_LIFETIME;
        for call in &mut self.calls {
            call.limit(keep_until);
        }
        match Call::dial(self.address, context) {
            Ok(call) => {
                self.calls.push(call);
                self.set_timer(self.silent_call_interval, context);
            }
            Err(error) => {
                self.report_failure(&CallError::Connection(error), context);
                self.set_timer(RETRY_DELAY, context);
            }
        }
    }

    /// The request that is due on a connection that is up.
    fn next_request(&self) -> Request {
        match self.version {
            Some(version) if !self.is_unresponsive => Request::changes_since(version),
            _ => Request::complete_list(self.silent_call_interval),
        }
    }

    fn send_request(&mut self, index: usize, context: &mut Context) -> Result<(), CallError> {
        let request = self.next_request();
        let sent = self.calls[index].send(&request, self.address, context);
        let is_newest = index + 1 == self.calls.len();
        if is_newest {
            self.set_timer(request.timeout, context);
        }
        Ok(sent?)
    }

    /// Reads the answer on a call if it is there whole; one that has just come up gets its request first.
    fn read_answer(&mut self, index: usize, context: &mut Context) -> Result<Option<Answer>, CallError> {
        let is_up = self.calls[index].is_up()?;
        if self.calls[index].state() == CallState::Connecting {
            if !is_up {
                return Ok(None);
            }
            self.send_request(index, context)?;
        }
        self.calls[index].read(context)
    }

    /// The call that was answered is the only one from here on. The next request follows at once, as only that keeps up
    /// the watch.
    fn on_answer(&mut self, index: usize, answer: Answer, context: &mut Context) {
        for other in (0..self.calls.len()).rev().filter(|other| *other != index) {
            self.close_call(other, context);
        }
        let was_early = self.calls[0].answered(context.now());
        let old_version = self.version.replace(answer.list.version);
        // A discovery that never waits must not keep this router busy.
        let pauses = was_early && old_version == self.version;
        self.is_unresponsive = false;
        self.events.push_back(DiscoveryEvent::List(answer.list));
        if answer.closes {
            self.close_call(0, context);
        }
        match (pauses, answer.closes) {
            (true, false) => {
                self.calls[0].transition(CallState::Pausing, context);
                self.set_timer(RETRY_DELAY, context);
            }
            (true, true) => self.set_timer(RETRY_DELAY, context),
            (false, true) => self.begin_call(context),
            (false, false) => match self.send_request(0, context) {
                // What has come behind the answer raises no readiness of its own.
                Ok(()) => context.wake(Source::Discovery),
                Err(error) => self.on_call_failed(0, &error, context),
            },
        }
    }

    /// Closes a call that is of no further use. If it was the only one, the next follows: at once if this one had been
    /// answered before, as what discovery says meanwhile counts.
    fn on_call_failed(&mut self, index: usize, error: &CallError, context: &mut Context) {
        let was_answered = self.close_call(index, context);
        self.is_unresponsive |= !was_answered;
        self.report_failure(error, context);
        let was_newest = self.calls.len() == index;
        if self.calls.is_empty() && was_answered {
            self.begin_call(context);
        } else if was_newest {
            // An older call may be left, and may still be answered.
            self.set_timer(RETRY_DELAY, context);
        }
    }

    fn report_failure(&mut self, error: &CallError, context: &mut Context) {
        context.counters.discovery_calls_failed += 1;
        if context.now() - self.logged_at >= LOG_INTERVAL {
            self.logged_at = context.now();
            let calls_failed = context.counters.discovery_calls_failed;
            warn!(context.log, "discovery call failed"; "error" => %error, "calls_failed" => calls_failed);
        }
        self.events.push_back(DiscoveryEvent::CallFailed);
    }

    /// Sets the one timer, in seconds from now.
    fn set_timer(&mut self, after: f64, context: &mut Context) {
        context.timers.clear(self.timer.take());
        self.timer = Some(context.timers.set(context.now() + after, Timer::Discovery));
    }

    /// Closes a connection; true if a request on it was answered.
    fn close_call(&mut self, index: usize, context: &mut Context) -> bool {
        self.calls.remove(index).close(context)
    }
}
