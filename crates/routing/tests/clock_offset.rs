//! The measured offset of the router's clock, for many seeds, with random network delays, replica lags and ages of load
//! reports.

use ottersill_routing::clock_offset::{ClockOffset, OffsetChange, PositionSample, PositionSource};
use ottersill_routing::interface::Role;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 40;
const HOUR_SECONDS: f64 = 3600.0;
/// Endpoints of a group; the first is its primary at the start.
const MEMBERS_PER_GROUP: usize = 3;
/// Time on the router's clock at the start.
const START_SECONDS: f64 = 1_000_000.0;

/// Endpoints whose clocks differ from the router's, and what the router measures from the positions that they report.
struct Simulation {
    offset: ClockOffset,
    random: SmallRng,
    /// Seconds by which the clocks of each group are ahead of the router's.
    clock_offsets: Vec<f64>,
    /// Index within its group of the member that is the primary now; [`MEMBERS_PER_GROUP`] means that there is none.
    primary: usize,
    now: f64,
    changes: Vec<OffsetChange>,
}

impl Simulation {
    fn new(seed: u64, clock_offsets: &[f64]) -> Simulation {
        let mut offset = ClockOffset::default();
        (0..clock_offsets.len()).for_each(|group| offset.record_group(group));
        let random = SmallRng::seed_from_u64(seed);
        Simulation {
            offset,
            random,
            clock_offsets: clock_offsets.to_vec(),
            primary: 0,
            now: START_SECONDS,
            changes: Vec::new(),
        }
    }

    /// For this many seconds, 50 times a second, a random member reports its position, in an answer or in a load report.
    /// Replicas lag by up to `lag` seconds.
    fn run(&mut self, seconds: f64, lag: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.02;
            let (group, member) = (
                self.random.random_range(0..self.clock_offsets.len()),
                self.random.random_range(0..MEMBERS_PER_GROUP),
            );
            let is_primary = member == self.primary;
            let source =
                if self.random.random_bool(0.7) { PositionSource::Answer } else { PositionSource::Report };
            let age = match source {
                PositionSource::Answer => self.random.random_range(0.0..0.03),
                PositionSource::Report => self.random.random_range(0.0..1.0),
            };
            let lag_seconds = if is_primary { 0.0 } else { self.random.random_range(0.0..=lag) };
            let position = self.now + self.clock_offsets[group] - age - lag_seconds;
            let role = Some(if is_primary { Role::Primary } else { Role::Replica });
            let sample = PositionSample {
                endpoint: group * MEMBERS_PER_GROUP + member,
                group,
                role,
                source,
                position,
            };
            let change = self.offset.observe(self.now, &sample);
            if change != OffsetChange::None {
                self.changes.push(change);
            }
            // Rule 5: no position may look newer than it is, except within the tolerances of a known offset.
            let true_offset = self.clock_offsets[0];
            let local = self.offset.local_position(self.now, &sample).filter(|local| *local <= self.now);
            if let Some(local) = local.filter(|_| self.clock_offsets[group] == true_offset) {
                assert!(local <= position - true_offset + 0.11, "{local} at {} of {position}", self.now);
            }
        }
    }
}

#[rstest]
#[case::clocks_agree(&[0.0; 4], 0.0)]
#[case::a_single_group(&[0.0], 0.0)]
#[case::clocks_agree_within_milliseconds(&[0.02, -0.03, 0.0, 0.01], 0.0)]
#[case::an_hour_ahead(&[HOUR_SECONDS; 4], HOUR_SECONDS)]
#[case::an_hour_behind(&[-HOUR_SECONDS; 4], -HOUR_SECONDS)]
#[case::seconds_ahead(&[4.0; 4], 4.0)]
#[case::a_single_group_an_hour_behind(&[-HOUR_SECONDS], -HOUR_SECONDS)]
#[case::one_group_deviates(&[0.0, 0.0, HOUR_SECONDS, 0.0], 0.0)]
#[case::one_group_deviates_by_seconds(&[0.0, 0.0, -4.0, 0.0], 0.0)]
#[case::one_group_deviates_from_others_an_hour_ahead(&[HOUR_SECONDS, HOUR_SECONDS, 0.0, HOUR_SECONDS], HOUR_SECONDS)]
fn the_offset_is_what_most_primaries_report(#[case] clock_offsets: &[f64], #[case] expected: f64) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, clock_offsets);
        simulation.run(10.0, 0.01);
        let measured = simulation.offset.offset().expect("offset is unknown");
        let is_exact = expected != 0.0 || measured == 0.0;
        assert!(is_exact && (measured - expected).abs() < 0.05, "seed {seed}: {measured}");
    }
}

/// Guards against measuring the offset from replicas: their positions are behind by their lag, so data of any age would be
/// treated as new.
#[test]
fn replicas_never_determine_the_offset() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, &[HOUR_SECONDS; 4]);
        simulation.primary = MEMBERS_PER_GROUP;
        simulation.run(10.0, 20.0);
        assert_eq!(simulation.offset.offset(), None, "seed {seed}");
    }
}

/// Once known, the offset stays the same while replicas lag by up to a minute and primaries change, restart or stop answering.
#[rstest]
#[case::agreeing(0.0)]
#[case::ahead(HOUR_SECONDS)]
#[case::behind(-HOUR_SECONDS)]
fn lag_and_new_primaries_do_not_change_the_offset(#[case] offset_seconds: f64) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, &[offset_seconds; 4]);
        simulation.run(10.0, 0.01);
        let settled = simulation.offset.offset();
        for primary in [1, MEMBERS_PER_GROUP, 2, 0] {
            simulation.primary = primary;
            simulation.run(12.0, 60.0);
        }
        assert_eq!(
            (simulation.offset.offset(), simulation.changes.as_slice()),
            (
                settled,
                [if offset_seconds == 0.0 { OffsetChange::Settled } else { OffsetChange::Stepped }]
                    .as_slice()
            )
        );
    }
}

/// If all clocks except the router's are set forward or back while it runs, the offset changes in one step, and only after
/// primaries have confirmed it.
#[rstest]
#[case::forward(HOUR_SECONDS)]
#[case::back(-HOUR_SECONDS)]
fn a_clock_change_is_followed_in_one_step(#[case] clock_change: f64) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, &[0.0; 4]);
        simulation.run(5.0, 0.01);
        simulation.clock_offsets = vec![clock_change; 4];
        simulation.run(20.0, 0.01);
        assert_eq!(simulation.changes, [OffsetChange::Settled, OffsetChange::Stepped], "seed {seed}");
        assert!(
            (simulation.offset.offset().expect("offset is unknown") - clock_change).abs() < 0.05,
            "seed {seed}"
        );
    }
}

/// Guards against measuring the offset from a former primary whose position does not advance: each of its answers shows a
/// lower offset, and none of these is confirmed.
#[test]
fn a_position_that_does_not_advance_determines_no_offset() {
    let mut offset = ClockOffset::default();
    let sample = |position| PositionSample {
        endpoint: 0,
        group: 0,
        role: Some(Role::Primary),
        source: PositionSource::Answer,
        position,
    };
    for answer in 0..400 {
        let now = START_SECONDS + 0.05 * f64::from(answer);
        assert_eq!(offset.observe(now, &sample(START_SECONDS - 3.0)), OffsetChange::None);
    }
    assert_eq!(offset.offset(), None);
    assert_eq!(
        offset.local_position(START_SECONDS, &sample(START_SECONDS)),
        None,
        "no position is used while the offset is unknown"
    );
    assert_eq!(
        offset.local_start(START_SECONDS - 60.0, START_SECONDS),
        START_SECONDS,
        "the endpoint may just have started"
    );
}
