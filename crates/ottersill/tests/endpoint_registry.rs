//! What the registry of endpoints does for a list: counted, not timed, in fleets of different size.

use ottersill::discovery::endpoint_list::{EndpointEntry, EndpointList, Health};
use ottersill::discovery::registry::{EndpointRegistry, RegistryChange};
use ottersill_routing::interface::EndpointState;
use rstest::rstest;

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

/// Endpoints that a list has the registry look at, and what it hands on.
fn cost(registry: &mut EndpointRegistry, list: &EndpointList) -> (u64, RegistryChange) {
    let before = registry.examined_endpoints();
    let change = registry.apply(list);
    (registry.examined_endpoints() - before, change)
}

/// Guards against a walk over the fleet with each change of the list.
#[rstest]
fn a_delta_costs_its_own_entries(#[values(200, LARGE)] size: usize) {
    let mut registry = registry_of(size);
    let delta = list(false, vec![entry(7, Health::Leaving)]);
    let (examined_endpoints, change) = cost(&mut registry, &delta);
    assert_eq!((examined_endpoints, change.updates.len()), (1, 1));
    let (examined_endpoints, change) = cost(&mut registry, &delta);
    assert!(examined_endpoints == 1 && change.is_empty(), "the same again hands on nothing");
}

/// Guards against all endpoints told again with each complete list, and those that are gone for ever after.
#[test]
fn the_same_complete_list_hands_on_nothing() {
    let mut registry = registry_of(LARGE);
    assert!(registry.apply(&complete(0..LARGE)).is_empty());
    let (examined_endpoints, change) = cost(&mut registry, &complete(1..LARGE));
    assert!(examined_endpoints <= 2 * LARGE as u64, "{examined_endpoints}");
    let told: Vec<_> = change.updates.iter().map(|update| (update.endpoint, update.state)).collect();
    assert_eq!(told, [(0, EndpointState::Removed)]);
    assert!(registry.apply(&complete(1..LARGE)).is_empty(), "it was told to be gone once");
    assert_eq!(registry.apply(&complete(0..LARGE)).updates.len(), 1, "and back once");
}

/// Guards against an endpoint that flips, and loses its idle connections, each time a list comes that names it twice.
#[test]
fn of_two_entries_for_an_endpoint_the_last_counts() {
    let mut registry = registry_of(LARGE);
    let mut twice = complete(0..LARGE);
    twice.entries.push(EndpointEntry { address: "127.0.0.1:9".to_string(), ..entry(5, Health::Leaving) });
    let change = registry.apply(&twice);
    let told: Vec<_> = change.updates.iter().map(|update| (update.endpoint, update.state)).collect();
    assert_eq!(
        (told.as_slice(), change.readdressed.as_slice()),
        (&[(5, EndpointState::Draining)][..], &[5][..])
    );
    assert!(registry.apply(&twice).is_empty());
    let (examined_endpoints, _) = cost(&mut registry, &list(false, vec![entry(5, Health::Active); LARGE]));
    assert_eq!(examined_endpoints, 1, "one endpoint, however often it is named");
}

/// The same for a name that is new: it gets one index, and is told once.
#[test]
fn a_new_endpoint_that_is_named_twice_is_told_once() {
    let mut registry = registry_of(5);
    let new =
        list(false, vec![entry(8, Health::Active), entry(9, Health::Active), entry(8, Health::Leaving)]);
    let change = registry.apply(&new);
    let told: Vec<_> = change.updates.iter().map(|update| (update.endpoint, update.state)).collect();
    assert_eq!(
        told,
        [(5, EndpointState::Draining), (6, EndpointState::Ready)],
        "in the order of their indices"
    );
}

/// All endpoints change at once: one update each, as many as there are.
#[test]
fn a_list_that_changes_all_hands_on_each_once() {
    let mut registry = registry_of(LARGE);
    let (examined_endpoints, change) = cost(&mut registry, &complete(LARGE..2 * LARGE));
    assert_eq!(change.updates.len(), 2 * LARGE);
    assert!(examined_endpoints <= 3 * LARGE as u64, "{examined_endpoints}");
}

/// Removes whatever is gone, as the event loop does with what the routing module needs no more.
fn remove_gone(registry: &mut EndpointRegistry) {
    let is_gone = |(index, endpoint): (usize, &ottersill::discovery::registry::Endpoint)| {
        (endpoint.listed.state == EndpointState::Removed).then_some(index)
    };
    let gone: Vec<usize> = registry.iter().filter_map(is_gone).collect();
    gone.into_iter().for_each(|index| registry.remove(index));
}

/// Guards against memory that grows with every name that was ever listed.
#[test]
fn indices_of_removed_endpoints_are_used_again() {
    let mut registry = registry_of(200);
    for shift in 1..=50 {
        let change = registry.apply(&complete(shift * 200..(shift + 1) * 200));
        assert!(change.updates.iter().all(|update| update.endpoint < 400));
        remove_gone(&mut registry);
        assert_eq!(registry.len(), 200);
    }
    assert_eq!(registry.group(0), Some(0), "replica sets stay known");
}

/// Guards against a drained endpoint that is forgotten, listed as gone, and taken for one that never drained: where only
/// draining binds it would be sent to.
#[test]
fn a_removed_endpoint_stays_removed_while_lists_call_it_gone() {
    let mut registry = registry_of(5);
    registry.apply(&list(false, vec![entry(3, Health::Left)]));
    remove_gone(&mut registry);
    let mut with_gone = complete(0..5);
    with_gone.entries[3].health = Health::Left;
    for _ in 0..3 {
        assert!(registry.apply(&with_gone).is_empty());
    }
    assert_eq!(registry.len(), 4);
    let back = registry.apply(&complete(0..5));
    assert_eq!(back.updates.iter().map(|update| update.state).collect::<Vec<_>>(), [EndpointState::Ready]);
    registry.apply(&with_gone);
    assert_eq!(registry.len(), 5, "it is known again, and gone again");
}
