//! Ids of writes that may have run: how long and how many are kept.

use ottersill_routing::executed_writes::ExecutedWrites;

/// Guards against an id that is forgotten while its client may still come back, and against one that is kept for ever.
#[test]
fn an_id_is_kept_for_a_minute() {
    let mut writes = ExecutedWrites::default();
    writes.record(100.0, 7);
    assert!(writes.contains(100.0, 7));
    assert!(writes.contains(159.9, 7));
    assert!(!writes.contains(159.9, 8));
    assert!(!writes.contains(160.1, 7));
}

/// Guards against memory that grows with the writes: the oldest ids give way.
#[test]
fn the_number_of_ids_is_bounded() {
    let mut writes = ExecutedWrites::default();
    (0..40_000).for_each(|id| writes.record(100.0, id));
    let kept = (0..40_000).filter(|id| writes.contains(100.0, *id)).count();
    assert_eq!((kept, writes.len()), (16_384, 16_384));
    assert!(writes.contains(100.0, 39_999));
}

/// Guards against an id that expires early because it was recorded twice, or stays because one record is left.
#[test]
fn an_id_that_is_recorded_twice_expires_once() {
    let mut writes = ExecutedWrites::default();
    writes.record(100.0, 7);
    writes.record(130.0, 7);
    assert!(writes.contains(159.0, 7));
    assert!(!writes.contains(161.0, 7));
}
