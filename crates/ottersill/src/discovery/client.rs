//! The discovery client: carries out the steps of the [`DiscoveryWatch`] on sockets, and reports [`DiscoveryEvent`]s, which the
//! event loop acts on.

use std::collections::VecDeque;
use std::net::SocketAddr;

use ottersill_routing::discovery_watch::{
    AnswerHead, CallId, DiscoveryWatch, MIN_OPEN_CALLS, Request, Step, Verdict,
};
use slog::{info, warn};

use crate::clock::milliseconds;
use crate::discovery::call::{Answer, Call, CallError, ReadProgress};
use crate::discovery::endpoint_list::EndpointList;
use crate::log_throttle::LogThrottle;
use crate::reactor::{Context, Source};
use crate::timers::{Timer, TimerHandle};

/// An event that [`DiscoveryClient::poll_event`] returns to the event loop.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// An endpoint list was received. It is not older than all before it.
    List(EndpointList),
    /// A call failed, or was not answered in time.
    CallFailed,
}

/// Watches discovery for endpoint lists. Times are Unix seconds.
pub struct DiscoveryClient {
    address: SocketAddr,
    /// Decides when a call begins and ends, and what becomes of its answer.
    watch: DiscoveryWatch,
    /// The connections of the open calls.
    calls: Vec<Call>,
    timer: Option<TimerHandle>,
    /// When a list was last received that is not older than the one in use.
    listed_at: Option<f64>,
    /// Limits the log lines about failed calls.
    failures: LogThrottle,
    /// Limits the log lines about slow answers.
    slow_answers: LogThrottle,
    events: VecDeque<DiscoveryEvent>,
}

impl DiscoveryClient {
    /// Creates a client of the discovery at `address`, which does nothing until [`start`](Self::start). `drain_grace` is how
    /// long requests may still be sent to a draining endpoint, in seconds.
    pub fn new(address: SocketAddr, drain_grace: f64) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch: DiscoveryWatch::new(drain_grace),
            calls: Vec::new(),
            timer: None,
            listed_at: None,
            failures: LogThrottle::default(),
            slow_answers: LogThrottle::default(),
            events: VecDeque::new(),
        }
    }

    /// Returns the next event, if any. After each call of another method the event loop has to call this until there is none.
    #[must_use]
    pub fn poll_event(&mut self) -> Option<DiscoveryEvent> {
        self.events.pop_front()
    }

    /// Starts to watch discovery.
    pub fn start(&mut self, context: &mut Context) {
        self.watch.start(context.now());
        self.take_steps(context);
    }

    /// Changes the address of discovery. The last endpoint list stays in use until the complete list has been read from the new
    /// address, whose versions need not continue the old ones.
    pub fn set_address(&mut self, address: SocketAddr, context: &mut Context) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.watch.restart(context.now());
        self.take_steps(context);
    }

    /// Handles the readiness of one of the connections.
    pub fn on_ready(&mut self, context: &mut Context) {
        let open: Vec<CallId> = self.calls.iter().map(|call| call.id).collect();
        for id in open {
            if let Err(error) = self.handle_input(id, context) {
                self.on_call_failed(id, &error, context);
            }
        }
    }

    /// Handles the expiry of the timer.
    pub fn on_timer(&mut self, context: &mut Context) {
        self.timer = None;
        if self.watch.on_timer(context.now()) {
            self.report_failure(&CallError::Timeout, context);
        }
        self.take_steps(context);
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns how many descriptors the calls hold beyond those reserved for discovery.
    pub fn shared_descriptors(&self) -> usize {
        self.calls.len().saturating_sub(MIN_OPEN_CALLS)
    }

    /// Limits the calls that begin from now on to the reserved descriptors and `free` shared ones.
    pub fn limit_shared_descriptors(&mut self, free: usize) {
        self.watch.limit_open_calls(MIN_OPEN_CALLS + free);
    }

    /// Closes a call to free its shared descriptor; returns false if there is none to close.
    pub fn close_spare_call(&mut self, context: &mut Context) -> bool {
        let has_closed = self.watch.close_spare_call();
        self.take_steps(context);
        has_closed
    }

    /// Returns the number of invariant violations of the watch.
    pub fn invariant_violations(&self) -> u64 {
        self.watch.invariant_violations()
    }

    /// Returns the time in which an answer is expected to arrive, in seconds.
    pub fn expected_response_seconds(&self) -> f64 {
        self.watch.expected_response_seconds()
    }

    /// Returns when discovery last confirmed or changed the list in use, if it has.
    pub fn listed_at(&self) -> Option<f64> {
        self.listed_at
    }

    /// Reads what has arrived on a call, unless the call was closed meanwhile. A call whose connection has just been established
    /// first gets its request.
    fn handle_input(&mut self, id: CallId, context: &mut Context) -> Result<(), CallError> {
        let Some(index) = self.index_of(id) else { return Ok(()) };
        if self.calls[index].was_just_established()? {
            self.watch.on_connected(id, context.now());
            self.take_steps(context);
        }
        let Some(index) = self.index_of(id) else { return Ok(()) };
        match self.calls[index].read(context)? {
            ReadProgress::Nothing => {}
            ReadProgress::Partial => self.watch.on_partial_answer(id, context.now()),
            ReadProgress::Complete(answer) => self.on_answer(id, answer, context),
        }
        Ok(())
    }

    fn on_answer(&mut self, id: CallId, answer: Answer, context: &mut Context) {
        context.work.count_message(0);
        let head = AnswerHead {
            version: answer.list.version,
            is_complete: answer.list.is_complete,
            closes_connection: answer.closes_connection,
        };
        let outcome = self.watch.on_answer(id, head, context.now());
        if outcome.is_slow() {
            self.report_slow_answer(outcome.response_seconds, context);
        }
        match outcome.verdict {
            Verdict::Apply => {
                self.listed_at = Some(context.now());
                self.events.push_back(DiscoveryEvent::List(answer.list));
            }
            Verdict::Superseded => context.counters.discovery_answers_superseded += 1,
            Verdict::Incomplete => {
                info!(context.log, "discovery versions restarted"; "version" => head.version);
            }
        }
        // Input that has arrived behind the answer causes no readiness event of its own.
        context.wake(Source::Discovery);
        self.take_steps(context);
    }

    fn on_call_failed(&mut self, id: CallId, error: &CallError, context: &mut Context) {
        self.report_failure(error, context);
        // The watch may have closed the call before.
        if self.index_of(id).is_some() {
            self.watch.on_failed(id, context.now());
        }
        self.take_steps(context);
    }

    /// Takes the steps that the watch requires, and sets the timer for the next ones.
    fn take_steps(&mut self, context: &mut Context) {
        while let Some(step) = self.watch.poll_step() {
            match step {
                Step::Connect(id) => self.connect(id, context),
                Step::Send(id, request) => self.send(id, request, context),
                Step::Close(id) => self.close(id, context),
            }
        }
        context.timers.clear(self.timer.take());
        self.timer = Some(context.timers.set(self.watch.wake_at(), Timer::Discovery));
    }

    fn connect(&mut self, id: CallId, context: &mut Context) {
        context.counters.discovery_calls += 1;
        match Call::connect(id, self.address, context) {
            Ok(call) => self.calls.push(call),
            Err(error) => {
                self.report_failure(&CallError::Connection(error), context);
                self.watch.on_failed(id, context.now());
            }
        }
    }

    fn send(&mut self, id: CallId, request: Request, context: &mut Context) {
        let Some(index) = self.index_of(id) else { return };
        if let Err(error) = self.calls[index].send(request, self.address) {
            self.report_failure(&CallError::Connection(error), context);
            self.watch.on_failed(id, context.now());
        }
    }

    fn close(&mut self, id: CallId, context: &mut Context) {
        if let Some(index) = self.index_of(id) {
            self.calls.remove(index).close(context);
        }
    }

    fn index_of(&self, id: CallId) -> Option<usize> {
        self.calls.iter().position(|call| call.id == id)
    }

    /// Counts an answer that took long, and logs it unless another was logged shortly before.
    fn report_slow_answer(&mut self, response_seconds: f64, context: &mut Context) {
        context.counters.discovery_answers_slow += 1;
        if let Some(answers) = self.slow_answers.admit(context.now()) {
            warn!(context.log, "discovery slow"; "answers" => answers, "open_calls" => self.calls.len(),
                "response_ms" => milliseconds(response_seconds));
        }
    }

    /// Counts a failed call, reports it to the event loop, and logs it unless another was logged shortly before.
    fn report_failure(&mut self, error: &CallError, context: &mut Context) {
        context.counters.discovery_calls_failed += 1;
        if self.failures.admit(context.now()).is_some() {
            let calls_failed = context.counters.discovery_calls_failed;
            warn!(context.log, "discovery call failed"; "error" => %error, "calls_failed" => calls_failed,
                "open_calls" => self.calls.len());
        }
        self.events.push_back(DiscoveryEvent::CallFailed);
    }
}
