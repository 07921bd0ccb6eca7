//! The watch on discovery against a simulated discovery on a virtual clock: silent, slow, working on one call at a time, or all of
//! these; and the states of a call.

use std::collections::BTreeMap;

use ottersill_routing::discovery_watch::{
    ANSWER_LIMIT_SECONDS, AnswerHead, CallId, CallState, DiscoveryWatch, LONG_POLL_SECONDS, MAX_OPEN_CALLS,
    MIN_OPEN_CALLS, Request, Step, Verdict,
};
use proptest::prelude::*;
use rstest::rstest;

/// The usual grace of a draining endpoint.
const DRAIN_GRACE: f64 = 0.25;
/// The pages allow this time from when discovery has a change and can be reached until it counts as known.
const KNOWN_LIMIT: f64 = 6.0;
/// A discovery that answers at once; loopback takes some time, too.
const QUICK: f64 = 0.002;
/// How long after its end a long poll of a quick discovery may be answered.
const RESPONSE_GRACE: f64 = 0.5;
const RUN_TIME: f64 = 40.0;

#[rstest]
#[case::request_the_list(CallState::Connecting, CallState::Fetching, true)]
#[case::watch_at_once(CallState::Connecting, CallState::Watching, true)]
#[case::pause_unconnected(CallState::Connecting, CallState::Pausing, false)]
#[case::watch_after_the_list(CallState::Fetching, CallState::Watching, true)]
#[case::list_again_if_versions_begin_anew(CallState::Fetching, CallState::Fetching, true)]
#[case::pause_after_the_list(CallState::Fetching, CallState::Pausing, false)]
#[case::watch_again(CallState::Watching, CallState::Watching, true)]
#[case::list_if_versions_begin_anew(CallState::Watching, CallState::Fetching, true)]
#[case::pause_after_an_early_answer(CallState::Watching, CallState::Pausing, true)]
#[case::watch_after_a_pause(CallState::Pausing, CallState::Watching, true)]
#[case::list_after_a_pause(CallState::Pausing, CallState::Fetching, true)]
#[case::pause_twice(CallState::Pausing, CallState::Pausing, false)]
#[case::connect_again(CallState::Watching, CallState::Connecting, false)]
fn a_call_changes_its_state_only_as_allowed(
    #[case] from: CallState,
    #[case] to: CallState,
    #[case] allowed: bool,
) {
    assert_eq!(from.may_become(to), allowed);
}

/// A time in which discovery learns and answers nothing.
#[derive(Clone, Copy, Debug)]
struct Silence {
    from: f64,
    until: f64,
    /// Whether calls that waited are never answered.
    forgets_calls: bool,
}

/// How the simulated discovery behaves.
#[derive(Clone, Debug)]
struct Behaviour {
    /// Delays of the answers, used in turn.
    delays: Vec<f64>,
    works_on_one_at_a_time: bool,
    silence: Option<Silence>,
    /// Whether discovery closes the connection after each answer.
    closes_connections: bool,
    /// When each version after the first becomes known to discovery.
    changes: Vec<f64>,
}

impl Behaviour {
    fn quick() -> Behaviour {
        Behaviour::with_delays(vec![QUICK])
    }

    fn with_delays(delays: Vec<f64>) -> Behaviour {
        Behaviour {
            delays,
            works_on_one_at_a_time: false,
            silence: None,
            closes_connections: false,
            changes: Vec::new(),
        }
    }

    fn is_silent(&self, at: f64) -> bool {
        self.silence.is_some_and(|silence| (silence.from..silence.until).contains(&at))
    }

    /// When discovery has what changed at this time and can be reached.
    fn has_change_at(&self, changed_at: f64) -> f64 {
        if self.is_silent(changed_at) {
            self.silence.map_or(0.0, |silence| silence.until)
        } else {
            changed_at
        }
    }

    /// When discovery has what changed at this time, and can be reached for as long as the change may take to be known.
    fn can_be_heard_from(&self, changed_at: f64) -> f64 {
        let has_it_at = self.has_change_at(changed_at);
        let silence = self
            .silence
            .filter(|silence| silence.from < has_it_at + KNOWN_LIMIT && has_it_at < silence.until);
        silence.map_or(has_it_at, |silence| silence.until)
    }

    fn version(&self, at: f64) -> u64 {
        let known = self.changes.iter().filter(|change| self.has_change_at(**change) <= at);
        1 + known.count() as u64
    }

    /// When a call is due to be answered; none if it never is.
    fn due_at(&self, received_at: f64, request: Request) -> Option<f64> {
        let unchanged_due = match request {
            Request::CompleteList => received_at,
            Request::ChangesSince(version) if self.version(received_at) > version => received_at,
            Request::ChangesSince(_) => {
                let changes = self.changes.iter().map(|change| self.has_change_at(*change));
                changes.filter(|at| *at > received_at).fold(received_at + LONG_POLL_SECONDS, f64::min)
            }
        };
        let silence =
            self.silence.filter(|silence| silence.from <= unchanged_due && received_at < silence.until);
        match silence {
            None => Some(unchanged_due),
            Some(silence) if silence.forgets_calls => None,
            Some(silence) => Some(unchanged_due.max(silence.until)),
        }
    }
}

/// What happens next at discovery.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A call is due.
    Due(CallId, Request),
    /// An answer arrives at the router.
    Answer(CallId, AnswerHead),
}

/// A watch and a discovery on one virtual clock.
struct Simulation {
    now: f64,
    watch: DiscoveryWatch,
    behaviour: Behaviour,
    /// What happens at discovery, by the bit pattern of its time and a number.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    delays_used: usize,
    busy_until: f64,
    /// The open calls, with the time from which their answer is late.
    open: BTreeMap<CallId, f64>,
    connects: Vec<f64>,
    answers: Vec<f64>,
    most_open: usize,
    /// The versions that were acted on, with their times.
    applied: Vec<(f64, u64)>,
}

impl Simulation {
    fn run(behaviour: Behaviour, max_open_calls: usize) -> Simulation {
        let mut watch = DiscoveryWatch::new(DRAIN_GRACE);
        watch.limit_open_calls(max_open_calls);
        let mut simulation = Simulation {
            now: 0.0,
            watch,
            behaviour,
            events: BTreeMap::new(),
            event_count: 0,
            delays_used: 0,
            busy_until: 0.0,
            open: BTreeMap::new(),
            connects: Vec::new(),
            answers: Vec::new(),
            most_open: 0,
            applied: Vec::new(),
        };
        simulation.watch.start(0.0);
        simulation.take_steps(None);
        while simulation.now < RUN_TIME {
            simulation.advance();
        }
        simulation
    }

    fn advance(&mut self) {
        let next_event_at =
            self.events.keys().next().map_or(f64::INFINITY, |(bits, _)| f64::from_bits(*bits));
        if self.watch.wake_at() <= next_event_at {
            self.now = self.watch.wake_at();
            self.watch.on_timer(self.now);
            self.take_steps(None);
            return;
        }
        let Some((_, event)) = self.events.pop_first() else { return };
        self.now = next_event_at;
        match event {
            Event::Due(id, request) => self.begin_answer(id, request),
            Event::Answer(id, head) if self.open.contains_key(&id) => {
                self.answers.push(self.now);
                let outcome = self.watch.on_answer(id, head, self.now);
                if outcome.verdict == Verdict::Apply {
                    self.applied.push((self.now, head.version));
                }
                self.take_steps(Some(id));
            }
            Event::Answer(..) => {}
        }
    }

    /// Discovery takes the list as it begins to work on the call.
    fn begin_answer(&mut self, id: CallId, request: Request) {
        let delay = self.behaviour.delays[self.delays_used % self.behaviour.delays.len()];
        self.delays_used += 1;
        let mut begun_at = self.now;
        if self.behaviour.works_on_one_at_a_time {
            begun_at = begun_at.max(self.busy_until);
            self.busy_until = begun_at + delay;
        }
        let head = AnswerHead {
            version: self.behaviour.version(begun_at),
            is_complete: request == Request::CompleteList,
            closes_connection: self.behaviour.closes_connections,
        };
        self.schedule(begun_at + delay, Event::Answer(id, head));
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.event_count += 1;
        self.events.insert((at.to_bits(), self.event_count), event);
    }

    /// Takes the steps of the watch. A call is closed only if it was just answered, or if its answer is late.
    fn take_steps(&mut self, answered: Option<CallId>) {
        while let Some(step) = self.watch.poll_step() {
            match step {
                Step::Connect(id) => {
                    self.connects.push(self.now);
                    self.open.insert(id, self.now + ANSWER_LIMIT_SECONDS);
                    self.watch.on_connected(id, self.now);
                }
                Step::Send(id, request) => {
                    let poll = if request == Request::CompleteList { 0.0 } else { LONG_POLL_SECONDS };
                    self.open.insert(id, self.now + poll + ANSWER_LIMIT_SECONDS);
                    if let Some(due_at) = self.behaviour.due_at(self.now, request) {
                        self.schedule(due_at, Event::Due(id, request));
                    }
                }
                Step::Close(id) => {
                    let late_from = self.open.remove(&id).expect("closed twice");
                    let is_rotated = self.open.len() + 1 < MAX_OPEN_CALLS;
                    let may_close = answered == Some(id) || self.now >= late_from;
                    assert!(may_close || is_rotated, "{id:?} closed at {}, late from {late_from}", self.now);
                }
            }
            self.most_open = self.most_open.max(self.open.len());
        }
        assert_eq!(self.open.len(), self.watch.open_calls());
    }

    /// How long after discovery had a change and could be reached the watch knew it.
    fn known_after(&self, change: usize) -> f64 {
        let version = change as u64 + 2;
        let heard_from = self.behaviour.can_be_heard_from(self.behaviour.changes[change]);
        let known = self.applied.iter().find(|(_, applied)| *applied >= version);
        known.map_or(f64::INFINITY, |(at, _)| at - heard_from)
    }

    /// The greatest number of answers within one second.
    fn most_answers_in_a_second(&self) -> usize {
        Simulation::most_in_a_second(&self.answers)
    }

    /// The greatest number of these times within one second.
    fn most_in_a_second(times: &[f64]) -> usize {
        let within = |from: &f64| times.iter().filter(|at| (*from..*from + 1.0).contains(*at)).count();
        times.iter().map(within).max().unwrap_or(0)
    }
}

/// Guards against a call that is closed before a slow discovery answers it, and against one whose own calls keep it slow.
#[rstest]
#[case::quick(vec![QUICK], false, 0.5)]
#[case::slow(vec![1.8], false, 2.0 * 1.8)]
#[case::almost_too_slow(vec![1.95], false, 2.0 * 1.95)]
#[case::drawn_anew(vec![0.2, 1.95, 0.9, 1.6, 0.2, 0.2, 1.8, 1.3], false, 2.0 * 1.95)]
#[case::one_at_a_time(vec![0.4], true, 2.0)]
#[case::one_at_a_time_slow(vec![0.9], true, 2.0 * 1.95)]
#[case::one_at_a_time_almost_too_slow(vec![1.95], true, 2.0 * 1.95)]
fn a_change_is_known_in_time_and_a_slow_discovery_gets_few_calls(
    #[case] delays: Vec<f64>,
    #[case] works_on_one_at_a_time: bool,
    #[case] limit: f64,
    #[values(0.0, 0.3, 0.9, 1.7, 2.4)] offset: f64,
) {
    let changes = (1..10).map(|number| f64::from(number) * 3.7 + offset).collect();
    let behaviour = Behaviour { works_on_one_at_a_time, changes, ..Behaviour::with_delays(delays) };
    let simulation = Simulation::run(behaviour, MAX_OPEN_CALLS);
    for change in 0..9 {
        let took = simulation.known_after(change);
        assert!(took <= limit + 0.01, "change {change} known after {took}");
    }
    // Once the response time is known, the calls of a quick discovery do: a long poll for each answer.
    let late: Vec<f64> = simulation.connects.iter().copied().filter(|at| *at > 10.0).collect();
    assert!(late.len() <= 8, "{} connections in 30 s", late.len());
}

/// Guards against a silence that is noticed later because discovery was slow before: what it has at its return is known within the
/// interval of calls, wherever in a long poll the silence began.
#[rstest]
#[case::forgets_calls(true)]
#[case::answers_calls(false)]
fn a_quick_discovery_is_heard_at_once_after_a_silence(
    #[case] forgets_calls: bool,
    #[values(10.1, 10.7, 11.3, 11.9)] from: f64,
) {
    let silence = Silence { from, until: from + 6.0, forgets_calls };
    let behaviour = Behaviour { silence: Some(silence), changes: vec![from + 1.0], ..Behaviour::quick() };
    let simulation = Simulation::run(behaviour, MAX_OPEN_CALLS);
    let took = simulation.known_after(0);
    assert!(took <= DRAIN_GRACE / 2.0 + 2.0 * QUICK, "known after {took}");
}

/// A second silence is noticed as soon as the first one: the answers to calls that waited through the first one do not count as
/// slow.
#[test]
fn calls_that_waited_through_a_silence_do_not_count_as_slow() {
    let silence = Silence { from: 10.1, until: 16.1, forgets_calls: false };
    let behaviour = Behaviour { silence: Some(silence), ..Behaviour::quick() };
    let simulation = Simulation::run(behaviour, MAX_OPEN_CALLS);
    assert!(simulation.watch.expected_response_seconds() < RESPONSE_GRACE);
}

/// Returns a watch with two open calls, each with its request in flight: the older one, and the one that followed it.
fn watch_with_two_calls() -> (DiscoveryWatch, CallId, CallId) {
    let mut watch = DiscoveryWatch::new(DRAIN_GRACE);
    watch.start(0.0);
    let Some(Step::Connect(older)) = watch.poll_step() else { panic!("no connection") };
    watch.on_connected(older, 0.0);
    watch.on_timer(0.125);
    let steps: Vec<Step> = std::iter::from_fn(|| watch.poll_step()).collect();
    let Some(Step::Connect(newer)) = steps.last().copied() else { panic!("no second call: {steps:?}") };
    watch.on_connected(newer, 0.125);
    (watch, older, newer)
}

/// Guards against the list of an older call that undoes a newer one, and against one that is never accepted again after a restart
/// of discovery. Versions are those of the list in use, of the answer to a call sent before that was read, and of one sent after.
#[rstest]
#[case::newer(5, true, true, Verdict::Apply)]
#[case::newer_changes(5, true, false, Verdict::Apply)]
#[case::same(4, true, true, Verdict::Apply)]
#[case::older(3, true, true, Verdict::Superseded)]
#[case::older_changes(3, true, false, Verdict::Superseded)]
#[case::begun_anew(3, false, true, Verdict::Apply)]
#[case::begun_anew_changes(3, false, false, Verdict::Incomplete)]
fn an_answer_is_judged_by_its_version_and_its_call(
    #[case] version: u64,
    #[case] sent_before: bool,
    #[case] is_complete: bool,
    #[case] expected: Verdict,
) {
    let (mut watch, first, second) = watch_with_two_calls();
    let head = |version, is_complete| AnswerHead { version, is_complete, closes_connection: false };
    watch.on_answer(second, head(4, true), 0.5);
    let judged = if sent_before { first } else { second };
    assert_eq!(watch.on_answer(judged, head(version, is_complete), 0.6).verdict, expected);
}

/// Guards against a list of the former count of versions, in the answer to a call that waited while discovery restarted: its version is
/// higher, but the list is older.
#[test]
fn an_answer_from_before_versions_began_anew_is_passed_over() {
    let (mut watch, oldest, newest) = watch_with_two_calls();
    let head = |version| AnswerHead { version, is_complete: true, closes_connection: false };
    assert_eq!(watch.on_answer(newest, head(40), 0.5).verdict, Verdict::Apply);
    assert_eq!(watch.on_answer(newest, head(3), 0.6).verdict, Verdict::Apply);
    assert_eq!(watch.on_answer(oldest, head(41), 0.7).verdict, Verdict::Superseded);
}

/// Guards against a wrong change of state where the complete list is requested on a second call, as versions have begun anew and an
/// older answer to a call for the list is passed over.
#[test]
fn the_complete_list_is_requested_again_until_it_is_had() {
    let (mut watch, oldest, newest) = watch_with_two_calls();
    let head = |version, is_complete| AnswerHead { version, is_complete, closes_connection: false };
    watch.on_answer(newest, head(40, true), 0.5);
    assert_eq!(watch.on_answer(newest, head(3, false), 0.6).verdict, Verdict::Incomplete);
    assert_eq!(watch.on_answer(oldest, head(40, true), 0.7).verdict, Verdict::Superseded);
    let steps: Vec<Step> = std::iter::from_fn(|| watch.poll_step()).collect();
    assert_eq!(steps.last(), Some(&Step::Send(oldest, Request::CompleteList)));
    assert_eq!(watch.on_answer(newest, head(4, true), 0.8).verdict, Verdict::Apply);
    assert_eq!(watch.invariant_violations(), 0);
}

/// Guards against transfers that share a slow connection: while an answer arrives, one more call is open beside it.
#[test]
fn few_calls_begin_while_an_answer_arrives() {
    let mut watch = DiscoveryWatch::new(DRAIN_GRACE);
    watch.start(0.0);
    let Some(Step::Connect(call)) = watch.poll_step() else { panic!("no connection") };
    watch.on_connected(call, 0.0);
    let mut now = 0.1;
    while now < 20.0 {
        watch.on_partial_answer(call, now);
        if watch.wake_at() <= now {
            watch.on_timer(now);
        }
        now += 0.1;
    }
    assert_eq!(watch.open_calls(), 2);
    assert!(!std::iter::from_fn(|| watch.poll_step()).any(|step| step == Step::Close(call)));
}

/// Any delays within discovery's own limit, and a silence. A discovery that works on one call at a time forgets those of a silence:
/// if it worked on them all, it would take longer for them than a change may take to be known.
fn any_behaviour() -> impl Strategy<Value = Behaviour> {
    let delays = prop::collection::vec(QUICK..1.95, 1..6);
    let silence = prop::option::of((5.0..20.0, 0.0..9.0, any::<bool>()));
    let changes = prop::collection::vec(1.0..30.0, 1..40);
    let modes = (any::<bool>(), any::<bool>());
    (delays, modes, silence, changes).prop_map(|(delays, modes, silence, mut changes)| {
        let (one_at_a_time, closes_connections) = modes;
        changes.sort_by(f64::total_cmp);
        let silence = silence.map(|(from, length, forgets_calls)| Silence {
            from,
            until: from + length,
            forgets_calls: forgets_calls || one_at_a_time,
        });
        Behaviour { delays, works_on_one_at_a_time: one_at_a_time, silence, closes_connections, changes }
    })
}

/// Something that happens to one of the open calls, or to the watch.
#[derive(Clone, Copy, Debug)]
enum Occurrence {
    Connected,
    Partial,
    Answered(AnswerHead),
    Failed,
    Timer,
    RoomNeeded,
    Restart,
}

fn any_occurrence() -> impl Strategy<Value = (Occurrence, usize, f64)> {
    let heads = (1_u64..6, any::<bool>(), any::<bool>());
    let heads = heads.prop_map(|(version, is_complete, closes_connection)| {
        Occurrence::Answered(AnswerHead { version, is_complete, closes_connection })
    });
    let occurrences = prop_oneof![
        6 => Just(Occurrence::Connected),
        2 => Just(Occurrence::Partial),
        6 => heads,
        2 => Just(Occurrence::Failed),
        4 => Just(Occurrence::Timer),
        1 => Just(Occurrence::RoomNeeded),
        1 => Just(Occurrence::Restart),
    ];
    (occurrences, any::<usize>(), 0.0..3.0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    /// Universal rules, however discovery behaves within its own time limit: an answer in time is never thrown away (checked as
    /// calls are closed), the version acted on never goes back, each change is known in time, and calls are bounded.
    #[test]
    fn no_answer_in_time_is_lost_and_no_version_goes_back(behaviour in any_behaviour()) {
        let simulation = Simulation::run(behaviour.clone(), MAX_OPEN_CALLS);
        prop_assert!(simulation.applied.is_sorted_by_key(|(_, version)| *version));
        for change in 0..behaviour.changes.len() {
            let took = simulation.known_after(change);
            prop_assert!(took <= KNOWN_LIMIT, "change {} known after {}", change, took);
        }
        prop_assert!(simulation.most_open <= MAX_OPEN_CALLS);
        let connects = Simulation::most_in_a_second(&simulation.connects);
        let for_answers = if behaviour.closes_connections { simulation.most_answers_in_a_second() } else { 0 };
        prop_assert!(connects <= 9 + for_answers, "{} connections in a second", connects);
        prop_assert_eq!(simulation.watch.invariant_violations(), 0);
    }

    /// Whatever happens to calls, in any order, the watch goes on: it has a call or a time to begin one, and changes the states of
    /// calls only as allowed.
    #[test]
    fn any_order_of_events_is_handled(occurrences in prop::collection::vec(any_occurrence(), 1..80)) {
        let mut watch = DiscoveryWatch::new(DRAIN_GRACE);
        // Open calls, and whether a request was sent on them.
        let mut open: BTreeMap<CallId, bool> = BTreeMap::new();
        let mut now = 0.0;
        watch.start(now);
        for (occurrence, choice, delay) in occurrences {
            while let Some(step) = watch.poll_step() {
                match step {
                    Step::Connect(id) => drop(open.insert(id, false)),
                    Step::Send(id, _) => drop(open.insert(id, true)),
                    Step::Close(id) => drop(open.remove(&id)),
                }
            }
            prop_assert_eq!(open.len(), watch.open_calls());
            prop_assert!(open.len() <= MAX_OPEN_CALLS && watch.wake_at().is_finite());
            now += delay;
            let nth = |requested: Option<bool>| {
                let ids = open.iter().filter(|(_, sent)| requested.is_none_or(|requested| requested == **sent));
                let ids: Vec<CallId> = ids.map(|(id, _)| *id).collect();
                (!ids.is_empty()).then(|| ids[choice % ids.len()])
            };
            match occurrence {
                Occurrence::Connected => nth(Some(false)).into_iter().for_each(|id| watch.on_connected(id, now)),
                Occurrence::Partial => nth(Some(true)).into_iter().for_each(|id| watch.on_partial_answer(id, now)),
                Occurrence::Answered(head) => {
                    if let Some(id) = nth(Some(true)) {
                        watch.on_answer(id, head, now);
                    }
                }
                Occurrence::Failed => nth(None).into_iter().for_each(|id| watch.on_failed(id, now)),
                Occurrence::Timer => drop(watch.on_timer(now)),
                Occurrence::RoomNeeded => drop(watch.close_spare_call()),
                Occurrence::Restart => watch.restart(now),
            }
        }
        prop_assert_eq!(watch.invariant_violations(), 0);
    }

    /// Where discovery works on calls side by side, each change is still known in time with few descriptors, down to the reserved
    /// ones alone.
    #[test]
    fn few_calls_suffice(behaviour in any_behaviour(), max_open in MIN_OPEN_CALLS..=MAX_OPEN_CALLS) {
        let behaviour = Behaviour { works_on_one_at_a_time: false, ..behaviour };
        let simulation = Simulation::run(behaviour.clone(), max_open);
        prop_assert!(simulation.applied.is_sorted_by_key(|(_, version)| *version));
        for change in 0..behaviour.changes.len() {
            let took = simulation.known_after(change);
            prop_assert!(took <= KNOWN_LIMIT, "change {} known after {}", change, took);
        }
        prop_assert!(simulation.most_open <= max_open);
    }
}
