//! Faults drawn from a seed.

use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{Cluster, ClusterError};
use crate::fault_proxy::{LinkFaults, StreamFaults};

/// Ranges of what happens to datagrams throughout.
const LOSS: Range<f64> = 0.0..0.15;
const DUPLICATION: Range<f64> = 0.0..0.15;
const MAX_DELAY: Range<f64> = 0.0..0.03;
/// Shortest pause between two faults, and range of the longest, in milliseconds: from some faults a second to one in a
/// second.
const SHORTEST_PAUSE_MS: u64 = 20;
const LONGEST_PAUSE_MS: Range<u64> = 200..2000;
/// How many kinds of fault are drawn from; the last of them do nothing.
const KINDS: u32 = 16;
/// How many kinds of fault there are between a router and an endpoint.
const STREAM_KINDS: u32 = 5;
/// Sides of a partition.
const SIDES: Range<usize> = 2..4;
const ONE_WAY_PROBABILITY: f64 = 0.4;
/// Delay of connections that are slowed down, in seconds.
const STREAM_DELAY: f64 = 0.1;

impl Cluster {
    /// Brings about faults for so many seconds, as the plan's seed says; then heals everything and starts what does not
    /// run.
    pub fn run_random_faults(&mut self, seconds: f64) -> Result<(), ClusterError> {
        let mut random = SmallRng::seed_from_u64(self.plan.seed);
        let links = LinkFaults {
            loss: random.random_range(LOSS),
            duplication: random.random_range(DUPLICATION),
            max_delay: random.random_range(MAX_DELAY),
            ..LinkFaults::default()
        };
        self.set_all_links(links);
        let longest_pause_ms = random.random_range(LONGEST_PAUSE_MS);
        let since = Instant::now();
        while since.elapsed().as_secs_f64() < seconds {
            let pause_ms = random.random_range(SHORTEST_PAUSE_MS..longest_pause_ms);
            thread::sleep(Duration::from_millis(pause_ms));
            self.bring_about_random(&mut random, links)?;
        }
        self.heal_all()
    }

    /// Draws one fault and brings it about.
    fn bring_about_random(&mut self, random: &mut SmallRng, links: LinkFaults) -> Result<(), ClusterError> {
        let count = self.routers.len();
        let router = random.random_range(0..count);
        match random.random_range(0..KINDS) {
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
            // For longer than its lease.
            12 => self.pause_leader(),
            13 => self.disturb_stream(router, random),
            14 => self.set_all_streams(StreamFaults::default()),
            _ => {}
        }
        Ok(())
    }

    fn partition_randomly(&self, random: &mut SmallRng) {
        let (sides, one_way) = (random.random_range(SIDES), random.random_bool(ONE_WAY_PROBABILITY));
        let sides: Vec<usize> = self.routers.iter().map(|_| random.random_range(0..sides)).collect();
        self.partition(|router| sides[router], one_way);
    }

    /// Adds a fault between a router and one of the endpoints.
    fn disturb_stream(&self, router: usize, random: &mut SmallRng) {
        let endpoint = random.random_range(0..self.plan.endpoints);
        let kind = random.random_range(0..STREAM_KINDS);
        self.change_stream(router, endpoint, |faults| match kind {
            0 => faults.cut_requests = true,
            1 => faults.cut_responses = true,
            2 => faults.delay = STREAM_DELAY,
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
