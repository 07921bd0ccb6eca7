//! The measured offset of the router's clock, over seeds: noise of the way, lag of replicas, age of reports.

use ottersill_routing::clock_offset::{ClockOffset, OffsetChange, PositionSample, PositionSource};
use ottersill_routing::interface::Role;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 40;
const HOUR: f64 = 3600.0;
/// Members of a group; the first is its primary.
const MEMBERS: usize = 3;
const START: f64 = 1_000_000.0;

/// Groups whose clocks are off by a time of their own, as the router hears of them.
struct Fleet {
    offset: ClockOffset,
    random: SmallRng,
    /// By group.
    clocks: Vec<f64>,
    /// The member that is the primary now.
    primary: usize,
    now: f64,
    changes: Vec<OffsetChange>,
}

impl Fleet {
    fn new(seed: u64, clocks: &[f64]) -> Fleet {
        let mut offset = ClockOffset::default();
        (0..clocks.len()).for_each(|group| offset.record_group(group));
        let random = SmallRng::seed_from_u64(seed);
        Fleet { offset, random, clocks: clocks.to_vec(), primary: 0, now: START, changes: Vec::new() }
    }

    /// One member after the other tells its position for so long, 50 times a second: primaries in answers and reports, replicas
    /// with a lag of up to `lag` seconds.
    fn run(&mut self, seconds: f64, lag: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.02;
            let (group, member) =
                (self.random.random_range(0..self.clocks.len()), self.random.random_range(0..MEMBERS));
            let is_primary = member == self.primary;
            let source =
                if self.random.random_bool(0.7) { PositionSource::Answer } else { PositionSource::Report };
            let age = match source {
                PositionSource::Answer => self.random.random_range(0.0..0.03),
                PositionSource::Report => self.random.random_range(0.0..1.0),
            };
            let behind = if is_primary { 0.0 } else { self.random.random_range(0.0..=lag) };
            let position = self.now + self.clocks[group] - age - behind;
            let role = Some(if is_primary { Role::Primary } else { Role::Replica });
            let sample = PositionSample { endpoint: group * MEMBERS + member, group, role, source, position };
            let change = self.offset.observe(self.now, &sample);
            if change != OffsetChange::None {
                self.changes.push(change);
            }
            // Rule 5: no position may look newer than it is, but for the tolerances of a known offset.
            let true_clock = self.clocks[0];
            let local = self.offset.local_position(self.now, &sample).filter(|local| *local <= self.now);
            if let Some(local) = local.filter(|_| self.clocks[group] == true_clock) {
                assert!(local <= position - true_clock + 0.11, "{local} at {} of {position}", self.now);
            }
        }
    }
}

#[rstest]
#[case::clocks_agree(&[0.0; 4], 0.0)]
#[case::a_group_alone(&[0.0], 0.0)]
#[case::clocks_agree_within_milliseconds(&[0.02, -0.03, 0.0, 0.01], 0.0)]
#[case::an_hour_ahead(&[HOUR; 4], HOUR)]
#[case::an_hour_behind(&[-HOUR; 4], -HOUR)]
#[case::seconds_ahead(&[4.0; 4], 4.0)]
#[case::a_group_alone_an_hour_behind(&[-HOUR], -HOUR)]
#[case::one_liar(&[0.0, 0.0, HOUR, 0.0], 0.0)]
#[case::one_liar_by_seconds(&[0.0, 0.0, -4.0, 0.0], 0.0)]
#[case::one_liar_among_others_an_hour_ahead(&[HOUR, HOUR, 0.0, HOUR], HOUR)]
fn the_offset_is_what_most_primaries_tell(#[case] clocks: &[f64], #[case] expected: f64) {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, clocks);
        fleet.run(10.0, 0.01);
        let measured = fleet.offset.offset().expect("it is known");
        let is_exact = expected != 0.0 || measured == 0.0;
        assert!(is_exact && (measured - expected).abs() < 0.05, "seed {seed}: {measured}");
    }
}

/// Guards against going by replicas: theirs lie back by their lag, and data of any age would pass for new.
#[test]
fn replicas_tell_of_no_offset() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, &[HOUR; 4]);
        fleet.primary = MEMBERS;
        fleet.run(10.0, 20.0);
        assert_eq!(fleet.offset.offset(), None, "seed {seed}");
    }
}

/// Replicas that lag by up to a minute, primaries that change, restart and fall silent: the offset was settled once and stays.
#[rstest]
#[case::agreeing(0.0)]
#[case::ahead(HOUR)]
#[case::behind(-HOUR)]
fn lag_and_new_primaries_move_nothing(#[case] clock: f64) {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, &[clock; 4]);
        fleet.run(10.0, 0.01);
        let settled = fleet.offset.offset();
        for primary in [1, MEMBERS, 2, 0] {
            fleet.primary = primary;
            fleet.run(12.0, 60.0);
        }
        assert_eq!(
            (fleet.offset.offset(), fleet.changes.as_slice()),
            (settled, [if clock == 0.0 { OffsetChange::Settled } else { OffsetChange::Stepped }].as_slice())
        );
    }
}

/// All clocks but the router's are set forward or back while it runs: one step, and not before primaries confirm it.
#[rstest]
#[case::forward(HOUR)]
#[case::back(-HOUR)]
fn a_clock_that_is_set_is_followed_in_one_step(#[case] by: f64) {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, &[0.0; 4]);
        fleet.run(5.0, 0.01);
        fleet.clocks = vec![by; 4];
        fleet.run(20.0, 0.01);
        assert_eq!(fleet.changes, [OffsetChange::Settled, OffsetChange::Stepped], "seed {seed}");
        assert!((fleet.offset.offset().expect("known") - by).abs() < 0.05, "seed {seed}");
    }
}

/// Guards against a deposed primary whose position stands still: it tells a lower offset each time, and none is confirmed.
#[test]
fn a_position_that_stands_still_tells_of_no_offset() {
    let mut offset = ClockOffset::default();
    let sample = |position| PositionSample {
        endpoint: 0,
        group: 0,
        role: Some(Role::Primary),
        source: PositionSource::Answer,
        position,
    };
    for answer in 0..400 {
        let now = START + 0.05 * f64::from(answer);
        assert_eq!(offset.observe(now, &sample(START - 3.0)), OffsetChange::None);
    }
    assert_eq!(offset.offset(), None);
    assert_eq!(
        offset.local_position(START, &sample(START)),
        None,
        "no position counts while it is not known"
    );
    assert_eq!(offset.local_start(START - 60.0, START), START, "it may just have started");
}
