//! Random faults drawn from a seed.

use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{Cluster, ClusterError};
use crate::fault_proxy::{LinkFaults, StreamFaults};

/// Ranges from which the faults are drawn that the links between routers have throughout a schedule: the probabilities of
/// loss and of duplication, and the longest delay.
const LOSS_PROBABILITY: Range<f64> = 0.0..0.15;
const DUPLICATION_PROBABILITY: Range<f64> = 0.0..0.15;
const MAX_DELAY_SECONDS: Range<f64> = 0.0..0.03;
/// Shortest pause between two faults, and range from which the longest pause of a schedule is drawn. This gives between
/// about one fault and several faults per second.
const MIN_PAUSE_MS: u64 = 20;
const MAX_PAUSE_MS: Range<u64> = 200..2000;
/// Number of kinds of fault that are drawn from; the last kinds have no effect.
const FAULT_KINDS: u32 = 16;
/// Number of kinds of fault between a router and an endpoint.
const STREAM_FAULT_KINDS: u32 = 5;
/// Range of the number of sides of a partition.
const PARTITION_SIDES: Range<usize> = 2..4;
const ONE_WAY_PROBABILITY: f64 = 0.4;
/// Delay of connections to an endpoint that are slowed down.
const STREAM_DELAY_SECONDS: f64 = 0.1;

impl Cluster {
    /// Injects faults drawn from the plan's seed for `seconds`, then removes all faults and starts the routers that are not
    /// running.
    pub fn run_random_faults(&mut self, seconds: f64) -> Result<(), ClusterError> {
        let mut random = SmallRng::seed_from_u64(self.plan.seed);
        let links = LinkFaults {
            loss: random.random_range(LOSS_PROBABILITY),
            duplication: random.random_range(DUPLICATION_PROBABILITY),
            max_delay_seconds: random.random_range(MAX_DELAY_SECONDS),
            ..LinkFaults::default()
        };
        self.set_all_links(links);
        let max_pause_ms = random.random_range(MAX_PAUSE_MS);
        let since = Instant::now();
        while since.elapsed().as_secs_f64() < seconds {
            let pause_ms = random.random_range(MIN_PAUSE_MS..max_pause_ms);
            thread::sleep(Duration::from_millis(pause_ms));
            self.inject_random(&mut random, links)?;
        }
        self.heal_all()
    }

    /// Draws one fault and injects it.
    fn inject_random(&mut self, random: &mut SmallRng, links: LinkFaults) -> Result<(), ClusterError> {
        let count = self.routers.len();
        let router = random.random_range(0..count);
        match random.random_range(0..FAULT_KINDS) {
            0 => self.kill(router),
            1 if self.routers[router].is_running() => self.pause(router),
            2 | 3 if self.routers[router].is_paused() => self.resume(router),
            4..=6 => self.start(router)?,
            7 => {
                self.kill(router);
                self.start(router)?;
            }
            8 => self.partition_randomly(random),
            9 | 10 => self.set_all_links(links),
            11 => self.change_link(router, (router + 1) % count, |faults| faults.held = true),
            // Suspended for longer than the leader lease.
            12 => self.pause_leader(),
            13 => self.inject_stream_fault(router, random),
            14 => self.set_all_streams(StreamFaults::default()),
            _ => {}
        }
        Ok(())
    }

    fn partition_randomly(&self, random: &mut SmallRng) {
        let (sides, one_way) =
            (random.random_range(PARTITION_SIDES), random.random_bool(ONE_WAY_PROBABILITY));
        let sides: Vec<usize> = self.routers.iter().map(|_| random.random_range(0..sides)).collect();
        self.partition(|router| sides[router], one_way);
    }

    /// Adds a fault to the connections between a router and one of the endpoints.
    fn inject_stream_fault(&self, router: usize, random: &mut SmallRng) {
        let endpoint = random.random_range(0..self.plan.endpoints);
        let kind = random.random_range(0..STREAM_FAULT_KINDS);
        self.change_stream(router, endpoint, |faults| match kind {
            0 => faults.cut_requests = true,
            1 => faults.cut_responses = true,
            2 => faults.delay_seconds = STREAM_DELAY_SECONDS,
            3 => faults.trickle = true,
            _ => faults.closed = true,
        });
    }

    fn heal_all(&mut self) -> Result<(), ClusterError> {
        self.set_all_links(LinkFaults::default());
        self.set_all_streams(StreamFaults::default());
        (0..self.routers.len()).for_each(|router| self.resume(router));
        self.start_all()
    }
}
