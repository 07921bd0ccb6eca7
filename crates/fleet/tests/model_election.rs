//! The election, exhaustively at a small size: the code itself is the model's transition, on a clock that goes in whole
//! steps. Three voters, of which two stand for election; messages may come late, twice, out of order or never; members
//! are started again with nothing in memory. There is never more than one leader; with the lease counted long by its
//! holder, or without the wait of a voter after its start, there is, and it is found.

mod state_hash;

use std::hash::{Hash, Hasher};

use ottersill_fleet::election::{Ballot, Candidate, CandidateRequest, Voter, VoterReply};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: f64 = 2.0;
const STEPS: u64 = 4;

/// What is taken out on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A voter that was started again votes at once.
    NoRecovery,
    /// A candidate counts its lease from the last answer, and longer than the voters.
    LongCount,
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Call(CandidateRequest),
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
    time: u64,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    incarnations: Vec<u64>,
    in_transit: Vec<InTransit>,
    starts_left: u64,
    repeats_left: u64,
}

/// No time in it is ever not a number.
impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        state_hash::hash(self, hasher);
    }
}

impl InTransit {
    fn key(&self) -> (usize, usize, u8, Ballot) {
        let (kind, ballot) = match self.message {
            Message::Call(CandidateRequest::Prepare(ballot)) => (0, ballot),
            Message::Call(CandidateRequest::Accept(ballot)) => (1, ballot),
            Message::Reply(ballot, VoterReply::Granted) => (2, ballot),
            Message::Reply(ballot, VoterReply::Promised { held }) => (3 + u8::from(held), ballot),
            Message::Reply(ballot, VoterReply::Preempted(_)) => (5, ballot),
        };
        (self.from, self.to, kind, ballot)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time goes on by a step.
    Pass,
    Tick(usize),
    Deliver(usize),
    /// Delivered, and kept to come once more.
    Repeat(usize),
    Restart(usize),
}

struct Election {
    voters: usize,
    candidates: usize,
    mutant: Mutant,
    /// An answer arrives together with the message that it answers: far fewer states, so that all can be looked at.
    at_once: bool,
}

impl Election {
    fn candidate(&self, time: u64, index: usize, incarnation: u64) -> Candidate {
        let lease = if self.mutant == Mutant::LongCount { 2.0 * LEASE } else { LEASE };
        Candidate::start(time as f64, index as u16, incarnation, self.voters, lease, 0.0)
    }

    fn voter(&self, time: u64) -> Voter {
        let lease = LEASE;
        let since = if self.mutant == Mutant::NoRecovery { time as f64 - lease } else { time as f64 };
        Voter::start(since, lease)
    }
}

impl State {
    fn deliver_call(
        &mut self,
        now: f64,
        voter: usize,
        call: CandidateRequest,
    ) -> (Ballot, Option<VoterReply>) {
        let voter = &mut self.voters[voter];
        match call {
            CandidateRequest::Prepare(ballot) => (ballot, voter.handle_prepare(now, ballot)),
            CandidateRequest::Accept(ballot) => (ballot, voter.handle_accept(now, ballot)),
        }
    }

    fn handle_reply(&mut self, now: f64, candidate: usize, voter: usize, ballot: Ballot, reply: VoterReply) {
        let call = self.candidates[candidate].handle_reply(now, voter as u16, ballot, reply);
        self.send_call(now, candidate, call);
    }

    /// What a candidate sends to itself arrives at once, as in the program.
    fn send_call(&mut self, now: f64, from: usize, call: Option<CandidateRequest>) {
        let Some(call) = call else { return };
        let others = (0..self.voters.len()).filter(|to| *to != from);
        self.in_transit.extend(others.map(|to| InTransit { from, to, message: Message::Call(call) }));
        if let (ballot, Some(reply)) = self.deliver_call(now, from, call) {
            self.handle_reply(now, from, from, ballot, reply);
        }
    }

    fn leaders(&self) -> usize {
        let now = self.time as f64;
        self.candidates.iter().filter(|candidate| candidate.term(now).is_some()).count()
    }
}

impl Model for Election {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            time: 0,
            // All that went before is over.
            voters: (0..self.voters).map(|_| Voter::start(-LEASE, LEASE)).collect(),
            candidates: (0..self.candidates).map(|index| self.candidate(0, index, 1)).collect(),
            incarnations: vec![1; self.voters],
            in_transit: Vec::new(),
            starts_left: 1,
            repeats_left: u64::from(!self.at_once),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < if self.at_once { LEASE as u64 + 1 } else { STEPS } {
            actions.push(Action::Pass);
        }
        let now = state.time as f64;
        let due = |candidate: &Candidate| now >= candidate.next_timeout();
        actions.extend((0..self.candidates).filter(|index| due(&state.candidates[*index])).map(Action::Tick));
        actions.extend((0..state.in_transit.len()).map(Action::Deliver));
        // Twice only where it can matter: what moves a voter.
        let moves =
            |in_transit: &InTransit| matches!(in_transit.message, Message::Call(CandidateRequest::Accept(_)));
        if state.repeats_left > 0 {
            actions.extend(
                (0..state.in_transit.len())
                    .filter(|in_transit| moves(&state.in_transit[*in_transit]))
                    .map(Action::Repeat),
            );
        }
        if state.starts_left > 0 {
            actions.extend((0..self.voters).map(Action::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.time as f64;
        match action {
            Action::Pass => state.time += 1,
            Action::Tick(index) => {
                let call = state.candidates[index].tick(now, false);
                state.send_call(now, index, call);
            }
            Action::Deliver(index) | Action::Repeat(index) => {
                let InTransit { from, to, message } = state.in_transit[index].clone();
                match action {
                    Action::Deliver(_) => drop(state.in_transit.remove(index)),
                    _ => state.repeats_left -= 1,
                }
                match message {
                    Message::Call(call) => {
                        let (ballot, reply) = state.deliver_call(now, to, call);
                        match reply {
                            Some(reply) if self.at_once => state.handle_reply(now, from, to, ballot, reply),
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
                    Message::Reply(ballot, reply) => state.handle_reply(now, to, from, ballot, reply),
                }
            }
            Action::Restart(node) => {
                state.starts_left -= 1;
                state.incarnations[node] += 1;
                state.voters[node] = self.voter(state.time);
                if node < self.candidates {
                    state.candidates[node] = self.candidate(state.time, node, state.incarnations[node]);
                }
            }
        }
        // The same messages in another order are the same state.
        state.in_transit.sort_by_key(InTransit::key);
        state.in_transit.dedup();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Election>> {
        vec![
            Property::always("one leader at most", |_, state: &State| state.leaders() <= 1),
            Property::sometimes("a leader", |_, state: &State| state.leaders() == 1),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_transit.len() <= if self.at_once { 3 } else { 4 }
    }
}

fn check(mutant: Mutant, at_once: bool, most: usize) -> (bool, bool, usize, bool) {
    let model = Election { voters: 3, candidates: 2, mutant, at_once };
    let options = model.checker().target_state_count(most).finish_when(HasDiscoveries::AnyFailures);
    let checker = options.threads(4).spawn_bfs().join();
    let found = checker.discovery("one leader at most").is_some();
    let elected = checker.discovery("a leader").is_some();
    (found, elected, checker.unique_state_count(), checker.state_count() < most)
}

#[test]
fn there_is_never_more_than_one_leader_in_any_state() {
    let (found, elected, states, all) = check(Mutant::None, true, usize::MAX);
    println!("{states} states, which are all");
    assert!(!found && elected && all);
}

/// With answers that come late and out of order, as far as the number goes.
#[test]
fn nor_where_answers_are_on_their_way() {
    let most = std::env::var("OTTERSILL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(150_000);
    let (found, elected, states, _) = check(Mutant::None, false, most);
    println!("{states} states");
    assert!(!found && elected);
}

#[test]
fn a_rule_left_out_is_found() {
    for mutant in [Mutant::NoRecovery, Mutant::LongCount] {
        assert!(check(mutant, true, 20_000_000).0, "{mutant:?} passes unseen");
    }
}
