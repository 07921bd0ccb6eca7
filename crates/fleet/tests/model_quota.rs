//! The ledger and the local quotas, exhaustively at a small size: the code itself is the model's transition. One leader
//! after the other (that there is one at a time is `model_election.rs`), two holders that want all there is; requests and
//! replies may come late, out of order or never, a holder may be started again with nothing in memory, the next leader
//! knows nothing. The sum of what both may spend never exceeds the total. Each rule that this rests on is taken out once,
//! and its lack is found.

mod state_hash;

use std::hash::{Hash, Hasher};

use ottersill_fleet::election::Ballot;
use ottersill_fleet::local_quota::{LocalQuota, SentRequest};
use ottersill_fleet::quota_ledger::{BudgetKey, BudgetRequest, Grant, Pools, QuotaLedger};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Process};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const TOTAL: u64 = 2;
const LEASE: f64 = 3.0;

/// How large a model is: all states of it are looked at.
#[derive(Clone, Copy, Debug)]
struct Size {
    /// A leader may grant for so long.
    term: u64,
    steps: u64,
    requests: u64,
    restarts: u64,
}

/// What is taken out on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A new leader divides at once.
    NoSettling,
    /// A new leader goes on with what was said before its term.
    OldReports,
    /// The leader counts its grants for half as long as their holders do.
    LeaseNotWaitedOut,
    /// The holder counts from when the reply came, not from when it sent the request.
    CountedFromReply,
}

#[derive(Clone, Debug, PartialEq)]
enum InTransit {
    Request { holder: usize, incarnation: u64, request_id: u64, seen: Ballot, entry: BudgetRequest },
    Reply { holder: usize, incarnation: u64, request_id: u64, term: Ballot, grant: Option<Grant> },
}

#[derive(Clone, Debug, PartialEq)]
struct Holder {
    incarnation: u64,
    quota: LocalQuota,
    seen: Ballot,
    request_id: u64,
    /// When each request was sent.
    sent_at: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    time: u64,
    ledger: QuotaLedger,
    term_until: u64,
    holders: Vec<Holder>,
    in_transit: Vec<InTransit>,
    requests_left: u64,
    restarts_left: u64,
    leaders_left: u64,
}

/// No time in it is ever not a number.
impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        state_hash::hash(self, hasher);
    }
}

/// Which of a request and its reply comes later, or never. What comes at once comes in one step: far fewer states.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Late {
    Nothing,
    Request,
    Reply,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Pass,
    Ask(usize, Late),
    Deliver(usize),
    Restart(usize),
    NewLeader,
}

struct Division {
    mutant: Mutant,
    kind: LimitKind,
    size: Size,
}

impl Division {
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
        Holder { incarnation, quota, seen: Ballot::default(), request_id: 0, sent_at: Vec::new() }
    }

    fn ledger(&self, time: u64, round: u64) -> QuotaLedger {
        let since = if self.mutant == Mutant::NoSettling { -100.0 } else { time as f64 };
        QuotaLedger::new(since, Ballot { round, voter_index: 0, incarnation: 1 })
    }

    /// `on` says whether a reply that this makes is delivered as well.
    #[expect(clippy::needless_pass_by_value, reason = "what is delivered is on its way no longer")]
    fn deliver(&self, state: &mut State, in_transit: InTransit, on: bool) {
        let now = state.time as f64;
        match in_transit {
            InTransit::Request { holder, incarnation, request_id, seen, entry } => {
                if state.time >= state.term_until {
                    return;
                }
                let term = state.ledger.term();
                let lease = if self.mutant == Mutant::LeaseNotWaitedOut { LEASE / 2.0 } else { LEASE };
                let process = Process { name: format!("h{holder}"), incarnation };
                let renewed = seen == term || self.mutant == Mutant::OldReports;
                let grant = if renewed {
                    state.ledger.request(now, &self.config(lease), &process, request_id, &entry).ok()
                } else {
                    None
                };
                let reply = InTransit::Reply { holder, incarnation, request_id, term, grant };
                if on { self.deliver(state, reply, on) } else { state.in_transit.push(reply) }
            }
            InTransit::Reply { holder, incarnation, request_id, term, grant } => {
                let holder = &mut state.holders[holder];
                if holder.incarnation != incarnation || term < holder.seen {
                    return;
                }
                holder.seen = term;
                let sent_at = holder.sent_at[request_id as usize - 1];
                let sent_at = if self.mutant == Mutant::CountedFromReply { now } else { sent_at };
                if let Some(grant) = grant {
                    let request = SentRequest { id: request_id, sent_at };
                    let durations = Pools { demand: LEASE, floor: LEASE };
                    let _ = holder.quota.apply_grant(now, term, &grant, request, durations);
                }
            }
        }
    }
}

impl State {
    fn sum(&self) -> u64 {
        self.holders.iter().map(|holder| holder.quota.spendable(self.time as f64)).sum()
    }
}

impl Model for Division {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // The first leader has settled: what went before it is over.
        let ledger = QuotaLedger::new(-100.0, Ballot { round: 1, voter_index: 0, incarnation: 1 });
        vec![State {
            time: 0,
            term_until: self.size.term,
            // Both have heard of it.
            holders: vec![Holder { seen: ledger.term(), ..self.holder(0, 1) }; 2],
            ledger,
            in_transit: Vec::new(),
            requests_left: self.size.requests,
            restarts_left: self.size.restarts,
            leaders_left: 1,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.size.steps {
            actions.push(Action::Pass);
        }
        if state.requests_left > 0 {
            for late in [Late::Nothing, Late::Request, Late::Reply] {
                actions.extend((0..2).map(|holder| Action::Ask(holder, late)));
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
            Action::Pass => state.time += 1,
            Action::Ask(index, late) => {
                state.requests_left -= 1;
                let holder = &mut state.holders[index];
                holder.request_id += 1;
                holder.sent_at.push(now);
                let budget = self.config(LEASE).budgets[0].id;
                let entry = BudgetRequest {
                    key: BudgetKey { budget, subject: 0 },
                    total: TOTAL,
                    demand: TOTAL,
                    in_use: 0,
                    held: holder.quota.held(now, holder.seen),
                };
                let (incarnation, request_id, seen) = (holder.incarnation, holder.request_id, holder.seen);
                let in_transit = InTransit::Request { holder: index, incarnation, request_id, seen, entry };
                match late {
                    Late::Request => state.in_transit.push(in_transit),
                    _ => self.deliver(&mut state, in_transit, late == Late::Nothing),
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

    fn properties(&self) -> Vec<Property<Division>> {
        vec![
            Property::always("the sum is within the total", |_, state: &State| state.sum() <= TOTAL),
            Property::sometimes("all is in use", |_, state: &State| state.sum() == TOTAL),
            Property::sometimes("a lease outlives its leader", |_, state: &State| {
                state.ledger.term().round == 2 && state.sum() > 0
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.in_transit.len() <= 2
    }
}

fn check(mutant: Mutant, size: Size) -> (bool, usize, usize) {
    let model = Division { mutant, kind: LimitKind::Concurrency { hold_seconds: 0.0 }, size };
    let options = model.checker().finish_when(HasDiscoveries::AnyFailures).threads(2);
    let checker = options.spawn_bfs().join();
    let broken = checker.discovery("the sum is within the total").is_some();
    let shown = ["all is in use", "a lease outlives its leader"];
    let seen = shown.iter().filter(|name| checker.discovery(name).is_some()).count();
    (broken, seen, checker.unique_state_count())
}

#[test]
fn in_no_state_is_the_sum_above_the_total() {
    let size = Size { term: 2, steps: 4, requests: 3, restarts: 1 };
    let (broken, seen, states) = check(Mutant::None, size);
    println!("{states} states, which are all");
    assert!(!broken && seen == 2, "{broken} {seen}");
}

#[rstest]
#[case(Mutant::NoSettling, 2, 3)]
#[case(Mutant::OldReports, 4, 5)]
#[case(Mutant::LeaseNotWaitedOut, 4, 4)]
#[case(Mutant::CountedFromReply, 4, 4)]
fn a_rule_left_out_is_found(#[case] mutant: Mutant, #[case] term: u64, #[case] steps: u64) {
    let size = Size { term, steps, requests: 3, restarts: 0 };
    let (broken, _, states) = check(mutant, size);
    println!("{mutant:?}: {states} states");
    assert!(broken, "{mutant:?} passes unseen");
    assert!(!check(Mutant::None, size).0, "the same without {mutant:?}");
}
