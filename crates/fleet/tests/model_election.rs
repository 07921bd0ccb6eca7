//! Checks the election exhaustively with a small model whose transitions call the election code itself; time advances
//! in whole steps. There are three voters, two of which stand for election. Messages may be delayed, duplicated,
//! reordered or lost, and members may be restarted without their state. There is never more than one leader. If the
//! leader treats its lease as valid for longer than the voters do, or if a voter does not wait after its start, there
//! can be two leaders, and the check detects them.

mod state_hash;

use std::hash::{Hash, Hasher};

use ottersill_fleet::election::{Ballot, Candidate, CandidateRequest, Voter, VoterReply};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE_SECONDS: f64 = 2.0;
const MAX_TIME_STEPS: u64 = 4;

/// The rule that the model omits, if any, to show that the check detects two leaders without it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A restarted voter votes at once, without waiting for one lease.
    NoRecovery,
    /// A candidate treats its lease as valid for twice as long as the voters do.
    CandidateLeaseTooLong,
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Request(CandidateRequest),
    Reply(Ballot, VoterReply),
}

#[derive(Clone, Debug, PartialEq)]
struct InTransit {
    from: usize,
    to: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    /// Steps since the start; one step is one second of the election's time.
    time: u64,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    incarnations: Vec<u64>,
    in_transit: Vec<InTransit>,
    restarts_left: u64,
    duplicates_left: u64,
}

/// Equality is total because no time in a state is ever NaN.
impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        state_hash::hash(self, hasher);
    }
}

impl InTransit {
    fn key(&self) -> (usize, usize, u8, Ballot) {
        let (kind, ballot) = match self.message {
            Message::Request(CandidateRequest::Prepare(ballot)) => (0, ballot),
            Message::Request(CandidateRequest::Accept(ballot)) => (1, ballot),
            Message::Reply(ballot, VoterReply::Granted) => (2, ballot),
            Message::Reply(ballot, VoterReply::Promised { held }) => (3 + u8::from(held), ballot),
            Message::Reply(ballot, VoterReply::Preempted(_)) => (5, ballot),
        };
        (self.from, self.to, kind, ballot)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time advances by one step.
    AdvanceTime,
    Tick(usize),
    Deliver(usize),
    /// Delivers a message and keeps it in transit, so that it is delivered again.
    Duplicate(usize),
    Restart(usize),
}

struct ElectionModel {
    voter_count: usize,
    candidate_count: usize,
    mutant: Mutant,
    /// Each reply arrives in the same step as the request that it answers. This reduces the number of states so far that
    /// all of them can be checked.
    instant_reply: bool,
}

impl ElectionModel {
    fn candidate(&self, time: u64, index: usize, incarnation: u64) -> Candidate {
        let lease =
            if self.mutant == Mutant::CandidateLeaseTooLong { 2.0 * LEASE_SECONDS } else { LEASE_SECONDS };
        Candidate::start(time as f64, index as u16, incarnation, self.voter_count, lease, 0.0)
    }

    fn voter(&self, time: u64) -> Voter {
        let lease = LEASE_SECONDS;
        let started_at = if self.mutant == Mutant::NoRecovery { time as f64 - lease } else { time as f64 };
        Voter::start(started_at, lease)
    }
}

impl State {
    fn deliver_request(
        &mut self,
        now: f64,
        voter: usize,
        request: CandidateRequest,
    ) -> (Ballot, Option<VoterReply>) {
        let voter = &mut self.voters[voter];
        match request {
            CandidateRequest::Prepare(ballot) => (ballot, voter.handle_prepare(now, ballot)),
            CandidateRequest::Accept(ballot) => (ballot, voter.handle_accept(now, ballot)),
        }
    }

    fn on_reply(&mut self, now: f64, candidate: usize, voter: usize, ballot: Ballot, reply: VoterReply) {
        let request = self.candidates[candidate].handle_reply(now, voter as u16, ballot, reply);
        self.send_request(now, candidate, request);
    }

    /// Sends a request to all voters. A candidate's request to itself is delivered at once, as in the program.
    fn send_request(&mut self, now: f64, from: usize, request: Option<CandidateRequest>) {
        let Some(request) = request else { return };
        let others = (0..self.voters.len()).filter(|to| *to != from);
        self.in_transit.extend(others.map(|to| InTransit { from, to, message: Message::Request(request) }));
        if let (ballot, Some(reply)) = self.deliver_request(now, from, request) {
            self.on_reply(now, from, from, ballot, reply);
        }
    }

    fn leader_count(&self) -> usize {
        let now = self.time as f64;
        self.candidates.iter().filter(|candidate| candidate.term(now).is_some()).count()
    }
}

impl Model for ElectionModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            time: 0,
            // The voters have already recovered: all earlier grants have expired.
            voters: (0..self.voter_count).map(|_| Voter::start(-LEASE_SECONDS, LEASE_SECONDS)).collect(),
            candidates: (0..self.candidate_count).map(|index| self.candidate(0, index, 1)).collect(),
            incarnations: vec![1; self.voter_count],
            in_transit: Vec::new(),
            restarts_left: 1,
            duplicates_left: u64::from(!self.instant_reply),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < if self.instant_reply { LEASE_SECONDS as u64 + 1 } else { MAX_TIME_STEPS } {
            actions.push(Action::AdvanceTime);
        }
        let now = state.time as f64;
        let is_due = |candidate: &Candidate| now >= candidate.next_timeout();
        actions.extend(
            (0..self.candidate_count).filter(|index| is_due(&state.candidates[*index])).map(Action::Tick),
        );
        actions.extend((0..state.in_transit.len()).map(Action::Deliver));
        // Duplicates only the requests whose repetition can matter, which are those that change a voter.
        let changes_a_voter =
            |item: &InTransit| matches!(item.message, Message::Request(CandidateRequest::Accept(_)));
        if state.duplicates_left > 0 {
            actions.extend(
                (0..state.in_transit.len())
                    .filter(|index| changes_a_voter(&state.in_transit[*index]))
                    .map(Action::Duplicate),
            );
        }
        if state.restarts_left > 0 {
            actions.extend((0..self.voter_count).map(Action::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.time as f64;
        match action {
            Action::AdvanceTime => state.time += 1,
            Action::Tick(index) => {
                let request = state.candidates[index].tick(now, false);
                state.send_request(now, index, request);
            }
            Action::Deliver(index) | Action::Duplicate(index) => {
                let InTransit { from, to, message } = state.in_transit[index].clone();
                match action {
                    Action::Deliver(_) => drop(state.in_transit.remove(index)),
                    _ => state.duplicates_left -= 1,
                }
                match message {
                    Message::Request(request) => {
                        let (ballot, reply) = state.deliver_request(now, to, request);
                        match reply {
                            Some(reply) if self.instant_reply => state.on_reply(now, from, to, ballot, reply),
                            Some(reply) => {
                                state.in_transit.push(InTransit {
                                    from: to,
                                    to: from,
                                    message: Message::Reply(ballot, reply),
                                });
                            }
                            None => {}
                        }
                    }
                    Message::Reply(ballot, reply) => state.on_reply(now, to, from, ballot, reply),
                }
            }
            Action::Restart(node) => {
                state.restarts_left -= 1;
                state.incarnations[node] += 1;
                state.voters[node] = self.voter(state.time);
                if node < self.candidate_count {
                    state.candidates[node] = self.candidate(state.time, node, state.incarnations[node]);
                }
            }
        }
        // States whose messages differ only in their order are the same.
        state.in_transit.sort_by_key(InTransit::key);
        state.in_transit.dedup();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<ElectionModel>> {
        vec![
            Property::always("at most one leader", |_, state: &State| state.leader_count() <= 1),
            Property::sometimes("a leader is elected", |_, state: &State| state.leader_count() == 1),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_transit.len() <= if self.instant_reply { 3 } else { 4 }
    }
}

/// Checks up to `max_states` states. Returns whether two leaders were found, whether a leader was elected, the number of
/// distinct states, and whether the check covered all states.
fn check(mutant: Mutant, instant_reply: bool, max_states: usize) -> (bool, bool, usize, bool) {
    let model = ElectionModel { voter_count: 3, candidate_count: 2, mutant, instant_reply };
    let options = model.checker().target_state_count(max_states).finish_when(HasDiscoveries::AnyFailures);
    let checker = options.threads(4).spawn_bfs().join();
    let violated = checker.discovery("at most one leader").is_some();
    let elected = checker.discovery("a leader is elected").is_some();
    (violated, elected, checker.unique_state_count(), checker.state_count() < max_states)
}

#[test]
fn no_reachable_state_has_more_than_one_leader() {
    let (violated, elected, states, complete) = check(Mutant::None, true, usize::MAX);
    println!("{states} states (complete)");
    assert!(
        !violated && elected && complete,
        "violated: {violated}, elected: {elected}, complete: {complete}"
    );
}

/// Checks a model with delayed and reordered replies, up to the number of states in `OTTERSILL_STATES` (by default
/// 150,000).
#[test]
fn no_state_with_delayed_replies_has_more_than_one_leader() {
    let max_states =
        std::env::var("OTTERSILL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(150_000);
    let (violated, elected, states, _) = check(Mutant::None, false, max_states);
    println!("{states} states");
    assert!(!violated && elected, "violated: {violated}, elected: {elected}");
}

#[test]
fn each_omitted_rule_is_detected() {
    for mutant in [Mutant::NoRecovery, Mutant::CandidateLeaseTooLong] {
        assert!(check(mutant, true, 20_000_000).0, "two leaders are not detected under {mutant:?}");
    }
}
