//! The work that the endpoint registry does for a list, counted instead of timed, in fleets of different sizes.

use ottersill::discovery::endpoint_list::{EndpointEntry, EndpointList, Health};
use ottersill::discovery::registry::{EndpointRegistry, RegistryChange};
use ottersill_routing::interface::EndpointState;
use rstest::rstest;

/// Number of endpoints in a large fleet.
const LARGE: usize = 3200;

fn entry(number: usize, health: Health) -> EndpointEntry {
    EndpointEntry {
        name: format!("host-{number}"),
        address: format!("127.0.0.1:{}", 1 + number % 60_000),
        site: String::new(),
        group: (number / 5) as u64,
        health,
        size: 1.0,
        started_at_ms: 0.0,
    }
}

fn list(is_complete: bool, entries: Vec<EndpointEntry>) -> EndpointList {
    EndpointList { version: 1, is_complete, entries }
}

fn complete(numbers: std::ops::Range<usize>) -> EndpointList {
    list(true, numbers.map(|number| entry(number, Health::Active)).collect())
}

fn registry_of(size: usize) -> EndpointRegistry {
    let mut registry = EndpointRegistry::new(Vec::new());
    assert_eq!(registry.apply(&complete(0..size)).updates.len(), size);
    registry
}

/// Applies a list, and returns the number of endpoints that the registry examined and the change that it reports.
fn apply_counted(registry: &mut EndpointRegistry, list: &EndpointList) -> (u64, RegistryChange) {
    let before = registry.examined_endpoints();
    let change = registry.apply(list);
    (registry.examined_endpoints() - before, change)
}

/// Guards against a scan of all endpoints for each change of the list.
#[rstest]
fn a_delta_examines_only_its_own_entries(#[values(200, LARGE)] size: usize) {
    let mut registry = registry_of(size);
    let delta = list(false, vec![entry(7, Health::Leaving)]);
    let (examined_endpoints, change) = apply_counted(&mut registry, &delta);
    assert_eq!((examined_endpoints, change.updates.len()), (1, 1));
    let (examined_endpoints, change) = apply_counted(&mut registry, &delta);
    assert!(examined_endpoints == 1 && change.is_empty(), "the same delta again reports changes");
}

/// Guards against updates of all endpoints with each complete list, and of removed endpoints with each list after their removal.
#[test]
fn the_same_complete_list_reports_no_change() {
    let mut registry = registry_of(LARGE);
    assert!(registry.apply(&complete(0..LARGE)).is_empty());
    let (examined_endpoints, change) = apply_counted(&mut registry, &complete(1..LARGE));
    assert!(examined_endpoints <= 2 * LARGE as u64, "{examined_endpoints}");
    let updates: Vec<_> = change.updates.iter().map(|update| (update.endpoint, update.state)).collect();
    assert_eq!(updates, [(0, EndpointState::Removed)]);
    assert!(registry.apply(&complete(1..LARGE)).is_empty(), "the removal is reported again");
    assert_eq!(registry.apply(&complete(0..LARGE)).updates.len(), 1, "the return is not reported once");
}

/// Guards against an endpoint that changes back and forth, and loses its idle connections, with each list that names it twice.
#[test]
fn the_last_of_two_entries_for_an_endpoint_applies() {
    let mut registry = registry_of(LARGE);
    let mut twice = complete(0..LARGE);
    twice.entries.push(EndpointEntry { address: "127.0.0.1:9".to_string(), ..entry(5, Health::Leaving) });
    let change = registry.apply(&twice);
    let updates: Vec<_> = change.updates.iter().map(|update| (update.endpoint, update.state)).collect();
    assert_eq!(
        (updates.as_slice(), change.readdressed.as_slice()),
        (&[(5, EndpointState::Draining)][..], &[5][..])
    );
    assert!(registry.apply(&twice).is_empty());
    let (examined_endpoints, _) =
        apply_counted(&mut registry, &list(false, vec![entry(5, Health::Active); LARGE]));
    assert_eq!(examined_endpoints, 1, "an endpoint that is named repeatedly is examined repeatedly");
}

/// A new name that a list contains twice gets one index and one update.
#[test]
fn a_new_endpoint_that_is_named_twice_gets_one_update() {
    let mut registry = registry_of(5);
    let new =
        list(false, vec![entry(8, Health::Active), entry(9, Health::Active), entry(8, Health::Leaving)]);
    let change = registry.apply(&new);
    let updates: Vec<_> = change.updates.iter().map(|update| (update.endpoint, update.state)).collect();
    assert_eq!(
        updates,
        [(5, EndpointState::Draining), (6, EndpointState::Ready)],
        "updates are not in the order of their indices"
    );
}

/// A list that replaces all endpoints results in one update for each of them.
#[test]
fn a_list_that_replaces_all_endpoints_updates_each_once() {
    let mut registry = registry_of(LARGE);
    let (examined_endpoints, change) = apply_counted(&mut registry, &complete(LARGE..2 * LARGE));
    assert_eq!(change.updates.len(), 2 * LARGE);
    assert!(examined_endpoints <= 3 * LARGE as u64, "{examined_endpoints}");
}

/// Removes the endpoints in the state `Removed`, as the event loop does once the routing module no longer needs them.
fn forget_removed(registry: &mut EndpointRegistry) {
    let is_removed = |(index, endpoint): (usize, &ottersill::discovery::registry::Endpoint)| {
        (endpoint.listed.state == EndpointState::Removed).then_some(index)
    };
    let removed: Vec<usize> = registry.iter().filter_map(is_removed).collect();
    removed.into_iter().for_each(|index| registry.remove(index));
}

/// Guards against memory that grows with every name that was ever listed.
#[test]
fn indices_of_removed_endpoints_are_reused() {
    let mut registry = registry_of(200);
    for shift in 1..=50 {
        let change = registry.apply(&complete(shift * 200..(shift + 1) * 200));
        assert!(change.updates.iter().all(|update| update.endpoint < 400));
        forget_removed(&mut registry);
        assert_eq!(registry.len(), 200);
    }
    assert_eq!(registry.group(0), Some(0), "replica set 0 is unknown");
}

/// Guards against an endpoint that was drained and forgotten and is still listed as `left`: treated as one that never drained, it
/// would get requests where only draining is binding.
#[test]
fn a_removed_endpoint_stays_removed_while_it_is_listed_as_left() {
    let mut registry = registry_of(5);
    registry.apply(&list(false, vec![entry(3, Health::Left)]));
    forget_removed(&mut registry);
    let mut with_left = complete(0..5);
    with_left.entries[3].health = Health::Left;
    for _ in 0..3 {
        assert!(registry.apply(&with_left).is_empty());
    }
    assert_eq!(registry.len(), 4);
    let back = registry.apply(&complete(0..5));
    assert_eq!(back.updates.iter().map(|update| update.state).collect::<Vec<_>>(), [EndpointState::Ready]);
    registry.apply(&with_left);
    assert_eq!(registry.len(), 5, "the endpoint is not known again");
}
