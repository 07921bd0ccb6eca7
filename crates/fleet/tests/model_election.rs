//! The election and the books, exhaustively at a small size: the code itself is the model's transition, on a clock that
//! goes in whole steps. Two voters that may be keepers, two holders; messages may come late, twice, out of order
//! or never; members are stopped, or started again with nothing in memory. The sum of what all may spend never
//! exceeds the whole; with the lease not waited out, or the rest after a start left out, it does, and is found.

mod printed;

use std::hash::{Hash, Hasher};

use ottersill_fleet::election::{Ballot, Candidate, CandidateCall, Voter, VoterReply};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: f64 = 2.0;
const STEPS: u64 = 4;

/// What is taken out on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A voter that was started again votes at once.
    NoRest,
    /// A candidate counts its lease from the last answer, and longer than the voters.
    LongCount,
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    CandidateCall(CandidateCall),
    VoterReply(Ballot, VoterReply),
}

#[derive(Clone, Debug, PartialEq)]
struct Mail {
    from: usize,
    to: usize,
    body: Message,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    time: u64,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    incarnations: Vec<u64>,
    mail: Vec<Mail>,
    starts_left: u64,
    repeats_left: u64,
}

/// No time in it is ever not a number.
impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        printed::hash(self, hasher);
    }
}

impl Mail {
    fn key(&self) -> (usize, usize, u8, Ballot) {
        let (kind, ballot) = match self.body {
            Message::CandidateCall(CandidateCall::Prepare(ballot)) => (0, ballot),
            Message::CandidateCall(CandidateCall::Accept(ballot)) => (1, ballot),
            Message::VoterReply(ballot, VoterReply::Granted) => (2, ballot),
            Message::VoterReply(ballot, VoterReply::Promised { held }) => (3 + u8::from(held), ballot),
            Message::VoterReply(ballot, VoterReply::Outbid(_)) => (5, ballot),
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
    /// An answer is heard with the question that it answers: far fewer states, so that all can be looked at.
    at_once: bool,
}

impl Election {
    fn candidate(&self, time: u64, voter_index: usize, incarnation: u64) -> Candidate {
        let lease = if self.mutant == Mutant::LongCount { 2.0 * LEASE } else { LEASE };
        Candidate::start(time as f64, voter_index as u16, incarnation, self.voters, lease, 0.0)
    }

    fn voter(&self, time: u64) -> Voter {
        let lease = LEASE;
        let since = if self.mutant == Mutant::NoRest { time as f64 - lease } else { time as f64 };
        Voter::start(since, lease)
    }
}

impl State {
    fn vote(&mut self, now: f64, voter: usize, call: CandidateCall) -> (Ballot, Option<VoterReply>) {
        let voter = &mut self.voters[voter];
        match call {
            CandidateCall::Prepare(ballot) => (ballot, voter.handle_prepare(now, ballot)),
            CandidateCall::Accept(ballot) => (ballot, voter.handle_accept(now, ballot)),
        }
    }

    fn answered(&mut self, now: f64, candidate: usize, voter: usize, ballot: Ballot, answer: VoterReply) {
        let call = self.candidates[candidate].handle_reply(now, voter as u16, ballot, answer);
        self.call(now, candidate, call);
    }

    /// What a candidate says to itself is heard at once, as in the program.
    fn call(&mut self, now: f64, from: usize, call: Option<CandidateCall>) {
        let Some(call) = call else { return };
        let others = (0..self.voters.len()).filter(|to| *to != from);
        self.mail.extend(others.map(|to| Mail { from, to, body: Message::CandidateCall(call) }));
        if let (ballot, Some(answer)) = self.vote(now, from, call) {
            self.answered(now, from, from, ballot, answer);
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
            candidates: (0..self.candidates).map(|voter_index| self.candidate(0, voter_index, 1)).collect(),
            incarnations: vec![1; self.voters],
            mail: Vec::new(),
            starts_left: 1,
            repeats_left: u64::from(!self.at_once),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < if self.at_once { LEASE as u64 + 1 } else { STEPS } {
            actions.push(Action::Pass);
        }
        let now = state.time as f64;
        let due = |candidate: &Candidate| now >= candidate.next_at();
        actions.extend(
            (0..self.candidates).filter(|voter_index| due(&state.candidates[*voter_index])).map(Action::Tick),
        );
        actions.extend((0..state.mail.len()).map(Action::Deliver));
        // Twice only where it can matter: what moves a voter.
        let moves = |mail: &Mail| matches!(mail.body, Message::CandidateCall(CandidateCall::Accept(_)));
        if state.repeats_left > 0 {
            actions
                .extend((0..state.mail.len()).filter(|mail| moves(&state.mail[*mail])).map(Action::Repeat));
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
            Action::Tick(voter_index) => {
                let call = state.candidates[voter_index].tick(now, false);
                state.call(now, voter_index, call);
            }
            Action::Deliver(index) | Action::Repeat(index) => {
                let Mail { from, to, body } = state.mail[index].clone();
                match action {
                    Action::Deliver(_) => drop(state.mail.remove(index)),
                    _ => state.repeats_left -= 1,
                }
                match body {
                    Message::CandidateCall(call) => {
                        let (ballot, answer) = state.vote(now, to, call);
                        match answer {
                            Some(answer) if self.at_once => state.answered(now, from, to, ballot, answer),
                            Some(answer) => {
                                state.mail.push(Mail {
                                    from: to,
                                    to: from,
                                    body: Message::VoterReply(ballot, answer),
                                });
                            }
                            None => {}
                        }
                    }
                    Message::VoterReply(ballot, answer) => state.answered(now, to, from, ballot, answer),
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
        // The same letters in another order are the same state.
        state.mail.sort_by_key(Mail::key);
        state.mail.dedup();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Election>> {
        vec![
            Property::always("one keeper at most", |_, state: &State| state.leaders() <= 1),
            Property::sometimes("a keeper", |_, state: &State| state.leaders() == 1),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.mail.len() <= if self.at_once { 3 } else { 4 }
    }
}

fn check(mutant: Mutant, at_once: bool, most: usize) -> (bool, bool, usize, bool) {
    let model = Election { voters: 3, candidates: 2, mutant, at_once };
    let options = model.checker().target_state_count(most).finish_when(HasDiscoveries::AnyFailures);
    let checker = options.threads(4).spawn_bfs().join();
    let found = checker.discovery("one keeper at most").is_some();
    let kept = checker.discovery("a keeper").is_some();
    (found, kept, checker.unique_state_count(), checker.state_count() < most)
}

#[test]
fn there_is_never_more_than_one_leader_in_any_state() {
    let (found, kept, states, all) = check(Mutant::None, true, usize::MAX);
    println!("{states} states, which are all");
    assert!(!found && kept && all);
}

/// With answers that come late and out of order, as far as the number goes.
#[test]
fn nor_where_answers_are_on_their_way() {
    let most = std::env::var("OTTERSILL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(150_000);
    let (found, kept, states, _) = check(Mutant::None, false, most);
    println!("{states} states");
    assert!(!found && kept);
}

#[test]
fn a_rule_left_out_is_found() {
    for mutant in [Mutant::NoRest, Mutant::LongCount] {
        assert!(check(mutant, true, 20_000_000).0, "{mutant:?} passes unseen");
    }
}
