//! Requests that reach the leader's ledger in another order than they were sent in.

use ottersill_fleet::election::Ballot;
use ottersill_fleet::quota_ledger::{BudgetKey, BudgetRequest, HeldQuota, Pools, QuotaLedger, RequestError};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Process};

/// Guards against: a late request of a holder that has left, which reports fewer units in use than are.
#[test]
fn a_request_that_comes_after_its_holder_left_frees_nothing() {
    let budget = Budget::new("units", LimitKind::Concurrency { hold_seconds: 1.0 }, 10, 0);
    let entry = |in_use: u64, held: HeldQuota| BudgetRequest {
        key: BudgetKey { budget: budget.id, subject: 0 },
        total: 10,
        demand: 10,
        in_use,
        held: Pools { demand: held, floor: HeldQuota::default() },
    };
    let config = FleetConfig {
        name: "k".to_string(),
        voters: vec!["k".to_string()],
        leader_lease_seconds: 1.0,
        lease_seconds: 2.0,
        floor_lease_seconds: 2.0,
        max_clock_drift: 0.01,
        max_members: 2,
        budgets: vec![budget.clone()],
    };
    let [one, other] = ["one", "other"].map(|name| Process { name: name.to_string(), incarnation: 1 });
    let mut ledger = QuotaLedger::new(-100.0, Ballot::default());
    let grant = ledger.request(0.0, &config, &one, 1, &entry(0, HeldQuota::default())).expect("a grant");
    assert_eq!(grant.units, Pools { demand: 10, floor: 0 });
    // It asked (2) with two in use, began eight more, and left (3); that it left came first.
    ledger.holder_left(0.2, &one, 3, &config);
    let late = entry(2, HeldQuota { units: 10, serial: grant.serial });
    assert_eq!(ledger.request(0.3, &config, &one, 2, &late), Err(RequestError::OutOfOrder(2)));
    let next = ledger.request(0.4, &config, &other, 1, &entry(0, HeldQuota::default())).expect("an answer");
    assert_eq!(next.units, Pools::default(), "all ten may be in use still");
    let later = ledger.request(1.3, &config, &other, 2, &entry(0, HeldQuota::default())).expect("an answer");
    assert_eq!(later.units, Pools { demand: 10, floor: 0 });
}
