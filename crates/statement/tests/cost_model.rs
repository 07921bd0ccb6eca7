//! The cost model on simulated endpoints with several cores, a queue in order of arrival and random variation of the work.

use ottersill_statement::cost_model::{CostModel, QueueingDelay};
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::FingerprintCache;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

struct WorkloadMix {
    /// Mean seconds of work of each fingerprint, and its fraction of the statements.
    fingerprints: Vec<(f64, f64)>,
    /// Offered work as a fraction of what the cores can process.
    load: f64,
    endpoints: usize,
    cores: usize,
}

struct Simulation {
    costs: Vec<CostModel>,
    delays: Vec<QueueingDelay>,
    core_free_at: Vec<Vec<f64>>,
    now: f64,
    rng: StdRng,
    /// Attempts that have not ended, the latest end first: end, fingerprint, endpoint, duration; times in seconds.
    in_flight: Vec<(f64, usize, usize, f64)>,
    waited_seconds: f64,
    work_seconds: f64,
    /// Completed attempts of each fingerprint that the cost model recorded.
    completions: Vec<usize>,
}

impl Simulation {
    fn new(mix: &WorkloadMix, seed: u64) -> Simulation {
        let typical_work_seconds =
            mix.fingerprints.iter().map(|(work, fraction)| work * fraction).sum::<f64>();
        Simulation {
            costs: vec![CostModel::new(typical_work_seconds); mix.fingerprints.len()],
            delays: vec![QueueingDelay::default(); mix.endpoints],
            core_free_at: vec![vec![0.0; mix.cores]; mix.endpoints],
            now: 0.0,
            rng: StdRng::seed_from_u64(seed),
            in_flight: Vec::new(),
            waited_seconds: 0.0,
            work_seconds: 0.0,
            completions: vec![0; mix.fingerprints.len()],
        }
    }

    /// Lets the next statement arrive, and records the attempts that ended before it. Returns its fingerprint.
    fn step(&mut self, mix: &WorkloadMix) -> usize {
        let typical_work_seconds =
            mix.fingerprints.iter().map(|(work, fraction)| work * fraction).sum::<f64>();
        let rate = mix.load * (mix.endpoints * mix.cores) as f64 / typical_work_seconds;
        self.now += -self.rng.random::<f64>().max(1e-12).ln() / rate;
        let mut pick: f64 = self.rng.random();
        let fingerprint = mix.fingerprints.iter().position(|(_, fraction)| {
            pick -= fraction;
            pick < 0.0
        });
        let fingerprint = fingerprint.unwrap_or(0);
        let endpoint = self.rng.random_range(0..mix.endpoints);
        // The sum of three uniform numbers approximates a normal distribution; the work varies by about a quarter.
        let deviation: f64 = (0..3).map(|_| self.rng.random::<f64>() - 0.5).sum();
        let work = mix.fingerprints[fingerprint].0 * (deviation * 0.5).exp();
        let cores = &mut self.core_free_at[endpoint];
        let core = (0..cores.len()).min_by(|a, b| cores[*a].total_cmp(&cores[*b])).unwrap_or(0);
        let started_at = self.now.max(cores[core]);
        cores[core] = started_at + work;
        self.waited_seconds += started_at - self.now;
        self.work_seconds += work;
        self.in_flight.push((started_at + work, fingerprint, endpoint, started_at + work - self.now));
        self.in_flight.sort_by(|a, b| b.0.total_cmp(&a.0));
        while self.in_flight.last().is_some_and(|attempt| attempt.0 <= self.now) {
            let Some((ended_at, fingerprint, endpoint, elapsed)) = self.in_flight.pop() else { break };
            self.completions[fingerprint] += 1;
            self.costs[fingerprint].record(ended_at, elapsed, &mut self.delays[endpoint]);
        }
        fingerprint
    }
}

fn cheap_and_heavy(load: f64) -> WorkloadMix {
    WorkloadMix { fingerprints: vec![(0.002, 0.95), (0.2, 0.05)], load, endpoints: 3, cores: 4 }
}

/// Returns the error of an estimate as a factor of at least one.
fn error_factor(simulation: &Simulation, mix: &WorkloadMix, fingerprint: usize) -> f64 {
    let typical_work_seconds = mix.fingerprints.iter().map(|(work, fraction)| work * fraction).sum::<f64>();
    let ratio = simulation.costs[fingerprint].estimate(simulation.now, typical_work_seconds).work_seconds
        / mix.fingerprints[fingerprint].0;
    ratio.max(1.0 / ratio)
}

/// Guards against queueing delay that is treated as work: two fingerprints whose work differs by a factor of 100 are estimated to
/// within a factor of 1.5 in nine runs of ten, once 50 attempts of the heavy one have completed.
#[rstest]
#[case::light_load(0.3)]
#[case::moderate_load(0.6)]
#[case::high_load(0.8)]
#[case::near_saturation(0.9)]
fn cheap_and_heavy_are_told_apart(#[case] load: f64) {
    let mix = cheap_and_heavy(load);
    let (mut errors, mut waited_seconds) = ([Vec::new(), Vec::new()], 0.0);
    for seed in 0..40 {
        let mut simulation = Simulation::new(&mix, seed);
        while simulation.completions[1] < 50 {
            simulation.step(&mix);
        }
        waited_seconds += simulation.waited_seconds / simulation.work_seconds;
        (0..2).for_each(|fingerprint| errors[fingerprint].push(error_factor(&simulation, &mix, fingerprint)));
    }
    errors.iter_mut().for_each(|factors| factors.sort_by(f64::total_cmp));
    println!(
        "load {load}: waiting time {:.2} of the work; error factor of cheap {:.2} median, {:.2} at 90%; of heavy {:.2}, {:.2}",
        waited_seconds / 40.0,
        errors[0][20],
        errors[0][36],
        errors[1][20],
        errors[1][36]
    );
    assert!(errors.iter().all(|factors| factors[36] < 1.5), "error factors: {errors:?}");
}

/// Guards against an estimate that stays at the former work: the work of one fingerprint grows or falls tenfold, while that of
/// others does not change.
#[rstest]
#[case::grows(0.002, 0.02)]
#[case::falls(0.02, 0.002)]
fn a_change_of_work_is_learnt(#[case] before: f64, #[case] after: f64) {
    let mut delays_until_learnt = Vec::new();
    for seed in 0..20 {
        let mut mix = WorkloadMix {
            fingerprints: vec![(before, 0.3), (0.005, 0.6), (0.05, 0.1)],
            load: 0.6,
            endpoints: 3,
            cores: 4,
        };
        let mut simulation = Simulation::new(&mix, seed);
        for _ in 0..2000 {
            simulation.step(&mix);
        }
        assert!(
            error_factor(&simulation, &mix, 0) < 1.5,
            "estimate before the change is off by a factor of {}",
            error_factor(&simulation, &mix, 0)
        );
        mix.fingerprints[0].0 = after;
        mix.load = 0.6;
        let changed_at = simulation.now;
        while error_factor(&simulation, &mix, 0) > 1.5 {
            simulation.step(&mix);
            assert!(
                simulation.now < changed_at + 20.0,
                "estimate is still off by a factor of {} after 20 s",
                error_factor(&simulation, &mix, 0)
            );
        }
        delays_until_learnt.push(simulation.now - changed_at);
    }
    delays_until_learnt.sort_by(f64::total_cmp);
    println!(
        "from {before} to {after}: learnt after {:.1} s median, {:.1} s at most",
        delays_until_learnt[10], delays_until_learnt[19]
    );
    assert!(delays_until_learnt[19] < 12.0, "seconds until learnt: {delays_until_learnt:?}");
}

/// Guards against estimates that claim too much certainty: the spread is larger with two attempts than with a thousand, and
/// larger for old observations than for recent ones.
#[test]
fn spread_shrinks_with_attempts_and_grows_with_age() {
    let mut cost = CostModel::new(0.01);
    let mut delay = QueueingDelay::default();
    let none = cost.estimate(0.0, 0.01).log_standard_error;
    let mut spreads = Vec::new();
    for n in 1..=1000 {
        let now = f64::from(n) * 0.01;
        cost.record(now, 0.1 * (1.0 + 0.2 * f64::from(n % 5 - 2)), &mut delay);
        if [2, 50, 1000].contains(&n) {
            spreads.push(cost.estimate(now, 0.01).log_standard_error);
        }
    }
    println!("spread with no attempt {none:.2}, with 2, 50 and 1000 attempts {spreads:.2?}");
    assert!(
        none > 0.7 && spreads[0] > 0.25 && spreads[1] < 0.1 && spreads[2] <= spreads[1],
        "spread without attempts {none}, with 2, 50 and 1000 attempts {spreads:?}"
    );
    // With two attempts the estimate still leans towards the typical work of the workload.
    let mut few_attempts = CostModel::new(0.01);
    (1..=2).for_each(|n| few_attempts.record(f64::from(n), 0.1, &mut delay));
    assert!(
        few_attempts.estimate(2.0, 0.01).work_seconds < 0.08,
        "two attempts are estimated at {} s",
        few_attempts.estimate(2.0, 0.01).work_seconds
    );
    let old = cost.estimate(10.0 + 60.0, 0.01);
    assert!(old.log_standard_error > 0.25, "a minute later the spread is only {}", old.log_standard_error);
}

/// Guards against two failures. A fingerprint that is rejected because of its former cost is never sent again, so its lower
/// present cost is never observed. And the only fingerprint of a workload is estimated to cost more than a typical statement
/// of that workload.
#[test]
fn a_single_fingerprint_is_typical_and_a_stall_is_forgotten() {
    let mut cache = FingerprintCache::new(0.0, Key::from_seed(1), 1 << 20, vec![0.05]);
    let text = b"SELECT content FROM kv WHERE name = 'a'";
    let fingerprint = cache.scan(text).fingerprint;
    let key = cache.lookup(0.0, 0, text, fingerprint).key.expect("statement was not cached");
    let mut now = 0.0;
    for n in 0..300 {
        now += 0.02;
        // A stall of two seconds that affects all attempts.
        let elapsed = if (100..200).contains(&n) { 1.5 } else { 0.02 };
        cache.record_completion(now, key, 0, elapsed, true);
        let estimate =
            cache.lookup(now, 0, text, fingerprint).estimate.expect("cached statement has no estimate");
        assert!(
            n < 120 || estimate.work_seconds < estimate.typical_work_seconds * 1.5 + 0.01,
            "{n}: {estimate:?}"
        );
    }
    // The fingerprint becomes expensive, and then nothing is sent for 40 seconds.
    let stalled = vec![1.5; 50];
    stalled.iter().for_each(|elapsed| {
        cache.record_completion(
            {
                now += 0.2;
                now
            },
            key,
            0,
            *elapsed,
            true,
        );
    });
    let later = (0..400)
        .filter_map(|_| cache.lookup(now + 40.0, 0, text, fingerprint).estimate)
        .last()
        .expect("cached statement has no estimate");
    assert!(
        later.log_standard_error > 0.25 && later.work_seconds < later.typical_work_seconds * 1.2,
        "{later:?}"
    );
}
