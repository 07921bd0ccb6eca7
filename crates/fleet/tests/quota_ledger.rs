//! Requests that reach the leader's ledger in a different order than they were sent.

use ottersill_fleet::election::Ballot;
use ottersill_fleet::quota_ledger::{BudgetKey, BudgetRequest, HeldQuota, Pools, QuotaLedger, RequestError};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Process};

/// Guards against a delayed request that arrives after its holder has left and reports fewer units in use than there
/// are.
#[test]
fn a_request_that_arrives_after_its_holder_left_releases_no_units() {
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
    let grant =
        ledger.request(0.0, &config, &one, 1, &entry(0, HeldQuota::default())).expect("request is refused");
    assert_eq!(grant.units, Pools { demand: 10, floor: 0 });
    // The holder sends request 2 with two units in use, begins eight more operations, and leaves with request 3. The
    // leave arrives first.
    ledger.holder_left(0.2, &one, 3, &config);
    let late = entry(2, HeldQuota { units: 10, serial: grant.serial });
    assert_eq!(ledger.request(0.3, &config, &one, 2, &late), Err(RequestError::OutOfOrder(2)));
    let next =
        ledger.request(0.4, &config, &other, 1, &entry(0, HeldQuota::default())).expect("request is refused");
    assert_eq!(next.units, Pools::default(), "all ten units may still be in use");
    let later =
        ledger.request(1.3, &config, &other, 2, &entry(0, HeldQuota::default())).expect("request is refused");
    assert_eq!(later.units, Pools { demand: 10, floor: 0 });
}
