//! Ids of writes that may have run and whose clients left: how long and how many are kept.

use ottersill_routing::unanswered_writes::UnansweredWrites;

/// Guards against an id that is forgotten while its client may still come back, and against one that is kept for ever.
#[test]
fn an_id_is_kept_for_a_minute() {
    let mut writes = UnansweredWrites::default();
    writes.record(100.0, 7);
    assert!(writes.contains(100.0, 7));
    assert!(writes.contains(159.9, 7));
    assert!(!writes.contains(159.9, 8));
    assert!(!writes.contains(160.1, 7));
}

/// Guards against memory that grows with the clients that leave: the oldest ids give way.
#[test]
fn the_number_of_ids_is_bounded() {
    let mut writes = UnansweredWrites::default();
    (0..10_000).for_each(|id| writes.record(100.0, id));
    let kept = (0..10_000).filter(|id| writes.contains(100.0, *id)).count();
    assert_eq!(kept, 4096);
    assert!(writes.contains(100.0, 9_999));
}

/// Guards against an id that expires early because it was recorded twice, or stays because one record is left.
#[test]
fn an_id_that_is_recorded_twice_expires_once() {
    let mut writes = UnansweredWrites::default();
    writes.record(100.0, 7);
    writes.record(130.0, 7);
    assert!(writes.contains(159.0, 7));
    assert!(!writes.contains(161.0, 7));
}
