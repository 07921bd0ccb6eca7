//! Checks the ledger and the local quotas exhaustively with a small model whose transitions call their code itself.
//! There is one leader at a time (`model_election.rs` checks that), and there are two holders that each demand the
//! total. Requests and replies may be delayed, reordered or lost, a holder may be restarted without its state, and the
//! next leader starts without a record of earlier grants. The units that both holders may spend never exceed the total.
//! Each rule that ensures this is omitted once, and the check detects that the total is exceeded.

mod state_hash;

use std::hash::{Hash, Hasher};

use ottersill_fleet::election::Ballot;
use ottersill_fleet::local_quota::{LocalQuota, SentRequest};
use ottersill_fleet::quota_ledger::{BudgetKey, BudgetRequest, Grant, Pools, QuotaLedger};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Process};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const TOTAL: u64 = 2;
const LEASE_SECONDS: f64 = 3.0;

/// Bounds of a model, all of whose states are checked.
#[derive(Clone, Copy, Debug)]
struct Size {
    /// Time steps for which a leader may make grants.
    term: u64,
    time_steps: u64,
    requests: u64,
    restarts: u64,
}

/// The rule that the model omits, if any, to show that the check detects that the total is exceeded without it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A new leader grants units at once, before its predecessor's grants have expired.
    NoSettling,
    /// A new leader accepts reports that were made before its term.
    AcceptsOldReports,
    /// The leader treats a lease as valid for half as long as its holder does.
    LeaderLeaseTooShort,
    /// A holder's lease begins when the reply arrives, not when the request was sent.
    HolderLeaseFromReply,
}

#[derive(Clone, Debug, PartialEq)]
enum InTransit {
    Request {
        holder: usize,
        incarnation: u64,
        request_id: u64,
        newest_known_term: Ballot,
        entry: BudgetRequest,
    },
    Reply {
        holder: usize,
        incarnation: u64,
        request_id: u64,
        term: Ballot,
        grant: Option<Grant>,
    },
}

#[derive(Clone, Debug, PartialEq)]
struct Holder {
    incarnation: u64,
    quota: LocalQuota,
    newest_known_term: Ballot,
    request_id: u64,
    /// When each request was sent, in seconds.
    sent_at: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    /// Steps since the start; one step is one second of the ledger's time.
    time: u64,
    ledger: QuotaLedger,
    term_until: u64,
    holders: Vec<Holder>,
    in_transit: Vec<InTransit>,
    requests_left: u64,
    restarts_left: u64,
    leaders_left: u64,
}

/// Equality is total because no time in a state is ever NaN.
impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        state_hash::hash(self, hasher);
    }
}

/// Which of a request and its reply is delayed or lost. A message that is not delayed arrives in the same step, which
/// gives far fewer states.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delayed {
    Neither,
    Request,
    Reply,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    AdvanceTime,
    SendRequest(usize, Delayed),
    Deliver(usize),
    Restart(usize),
    NewLeader,
}

struct DivisionModel {
    mutant: Mutant,
    kind: LimitKind,
    size: Size,
}

impl DivisionModel {
    fn config(&self, lease: f64) -> FleetConfig {
        FleetConfig {
            name: "k".to_string(),
            voters: vec!["k".to_string()],
            leader_lease_seconds: self.size.term as f64,
            lease_seconds: lease,
            floor_lease_seconds: lease,
            max_clock_drift: 0.0,
            max_members: 2,
            budgets: vec![Budget::new("units", self.kind, TOTAL, 0)],
        }
    }

    fn holder(&self, time: u64, incarnation: u64) -> Holder {
        let quota = LocalQuota::new(time as f64, self.kind, TOTAL, 0);
        Holder {
            incarnation,
            quota,
            newest_known_term: Ballot::default(),
            request_id: 0,
            sent_at: Vec::new(),
        }
    }

    fn ledger(&self, time: u64, round: u64) -> QuotaLedger {
        let since = if self.mutant == Mutant::NoSettling { -100.0 } else { time as f64 };
        QuotaLedger::new(since, Ballot { round, voter_index: 0, incarnation: 1 })
    }

    /// Delivers a message. `with_reply` says whether the reply to a request is delivered as well.
    #[expect(clippy::needless_pass_by_value, reason = "a delivered message is no longer in transit")]
    fn deliver(&self, state: &mut State, in_transit: InTransit, with_reply: bool) {
        let now = state.time as f64;
        match in_transit {
            InTransit::Request { holder, incarnation, request_id, newest_known_term, entry } => {
                if state.time >= state.term_until {
                    return;
                }
                let term = state.ledger.term();
                let lease = if self.mutant == Mutant::LeaderLeaseTooShort {
                    LEASE_SECONDS / 2.0
                } else {
                    LEASE_SECONDS
                };
                let process = Process { name: format!("h{holder}"), incarnation };
                let accepted = newest_known_term == term || self.mutant == Mutant::AcceptsOldReports;
                let grant = if accepted {
                    state.ledger.request(now, &self.config(lease), &process, request_id, &entry).ok()
                } else {
                    None
                };
                let reply = InTransit::Reply { holder, incarnation, request_id, term, grant };
                if with_reply { self.deliver(state, reply, with_reply) } else { state.in_transit.push(reply) }
            }
            InTransit::Reply { holder, incarnation, request_id, term, grant } => {
                let holder = &mut state.holders[holder];
                if holder.incarnation != incarnation || term < holder.newest_known_term {
                    return;
                }
                holder.newest_known_term = term;
                let sent_at = holder.sent_at[request_id as usize - 1];
                let sent_at = if self.mutant == Mutant::HolderLeaseFromReply { now } else { sent_at };
                if let Some(grant) = grant {
                    let request = SentRequest { id: request_id, sent_at };
                    let durations = Pools { demand: LEASE_SECONDS, floor: LEASE_SECONDS };
                    let _ = holder.quota.apply_grant(now, term, &grant, request, durations);
                }
            }
        }
    }
}

impl State {
    fn spendable(&self) -> u64 {
        self.holders.iter().map(|holder| holder.quota.spendable(self.time as f64)).sum()
    }
}

impl Model for DivisionModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // The first leader has settled: all earlier grants have expired.
        let ledger = QuotaLedger::new(-100.0, Ballot { round: 1, voter_index: 0, incarnation: 1 });
        vec![State {
            time: 0,
            term_until: self.size.term,
            // Both holders know the leader's term.
            holders: vec![Holder { newest_known_term: ledger.term(), ..self.holder(0, 1) }; 2],
            ledger,
            in_transit: Vec::new(),
            requests_left: self.size.requests,
            restarts_left: self.size.restarts,
            leaders_left: 1,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.size.time_steps {
            actions.push(Action::AdvanceTime);
        }
        if state.requests_left > 0 {
            for delayed in [Delayed::Neither, Delayed::Request, Delayed::Reply] {
                actions.extend((0..2).map(|holder| Action::SendRequest(holder, delayed)));
            }
        }
        actions.extend((0..state.in_transit.len()).map(Action::Deliver));
        if state.restarts_left > 0 {
            actions.extend((0..2).map(Action::Restart));
        }
        if state.leaders_left > 0 && state.time >= state.term_until {
            actions.push(Action::NewLeader);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.time as f64;
        match action {
            Action::AdvanceTime => state.time += 1,
            Action::SendRequest(index, delayed) => {
                state.requests_left -= 1;
                let holder = &mut state.holders[index];
                holder.request_id += 1;
                holder.sent_at.push(now);
                let budget = self.config(LEASE_SECONDS).budgets[0].id;
                let entry = BudgetRequest {
                    key: BudgetKey { budget, subject: 0 },
                    total: TOTAL,
                    demand: TOTAL,
                    in_use: 0,
                    held: holder.quota.held(now, holder.newest_known_term),
                };
                let (incarnation, request_id, newest_known_term) =
                    (holder.incarnation, holder.request_id, holder.newest_known_term);
                let in_transit =
                    InTransit::Request { holder: index, incarnation, request_id, newest_known_term, entry };
                match delayed {
                    Delayed::Request => state.in_transit.push(in_transit),
                    _ => self.deliver(&mut state, in_transit, delayed == Delayed::Neither),
                }
            }
            Action::Deliver(index) => {
                let in_transit = state.in_transit.remove(index);
                self.deliver(&mut state, in_transit, true);
            }
            Action::Restart(index) => {
                state.restarts_left -= 1;
                state.holders[index] = self.holder(state.time, 2);
            }
            Action::NewLeader => {
                state.leaders_left -= 1;
                state.ledger = self.ledger(state.time, 2);
                state.term_until = state.time + self.size.term;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<DivisionModel>> {
        vec![
            Property::always("the sum is within the total", |_, state: &State| state.spendable() <= TOTAL),
            Property::sometimes("all units are in use", |_, state: &State| state.spendable() == TOTAL),
            Property::sometimes("a lease outlives its leader", |_, state: &State| {
                state.ledger.term().round == 2 && state.spendable() > 0
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_transit.len() <= 2
    }
}

fn check(mutant: Mutant, size: Size) -> (bool, usize, usize) {
    let model = DivisionModel { mutant, kind: LimitKind::Concurrency { hold_seconds: 0.0 }, size };
    let options = model.checker().finish_when(HasDiscoveries::AnyFailures).threads(2);
    let checker = options.spawn_bfs().join();
    let violated = checker.discovery("the sum is within the total").is_some();
    let expected = ["all units are in use", "a lease outlives its leader"];
    let reached = expected.iter().filter(|name| checker.discovery(name).is_some()).count();
    (violated, reached, checker.unique_state_count())
}

#[test]
fn no_reachable_state_exceeds_the_total() {
    let size = Size { term: 2, time_steps: 4, requests: 3, restarts: 1 };
    let (violated, reached, states) = check(Mutant::None, size);
    println!("{states} states (complete)");
    assert!(!violated && reached == 2, "violated: {violated}, expected states reached: {reached}");
}

#[rstest]
#[case(Mutant::NoSettling, 2, 3)]
#[case(Mutant::AcceptsOldReports, 4, 5)]
#[case(Mutant::LeaderLeaseTooShort, 4, 4)]
#[case(Mutant::HolderLeaseFromReply, 4, 4)]
fn each_omitted_rule_is_detected(#[case] mutant: Mutant, #[case] term: u64, #[case] time_steps: u64) {
    let size = Size { term, time_steps, requests: 3, restarts: 0 };
    let (violated, _, states) = check(mutant, size);
    println!("{mutant:?}: {states} states");
    assert!(violated, "{mutant:?} is not detected");
    assert!(!check(Mutant::None, size).0, "violated without {mutant:?}, too");
}
