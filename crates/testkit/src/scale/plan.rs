//! What one run is made of.

use std::time::Duration;

use crate::convert::{round_to_size, size_to_f64};

/// Members of each replica set.
pub(super) const GROUP_SIZE: usize = 5;
/// Between two changes of discovery's list.
pub(super) const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// What one run is made of.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    /// Endpoints that are in service at a time.
    pub hosts: usize,
    /// How many routers the settings tell of; one of them is started.
    pub routers: usize,
    /// After how long an idle connection to an endpoint is closed, in place of what the example's settings say.
    pub keepalive: Option<Duration>,
    /// Requests a second.
    pub rate: f64,
    /// One request in so many is a write; none if that is zero.
    pub write_every: usize,
    /// How long clients send.
    pub duration: Duration,
    /// The part of the endpoints that is replaced, spread over the run. Each change of the list replaces at least one.
    pub replaced: f64,
    /// Seed of the router, of the clients, and of which endpoints are replaced.
    pub seed: u64,
}

impl ScalePlan {
    /// How many replica sets there are; the last may have fewer members.
    pub(super) fn groups(&self) -> usize {
        self.hosts.div_ceil(GROUP_SIZE)
    }

    /// How many changes of the list there are.
    pub(super) fn changes(&self) -> usize {
        round_to_size(self.duration.div_duration_f64(CHANGE_INTERVAL).floor())
    }

    /// How many endpoints are replaced.
    pub(super) fn replacements(&self) -> usize {
        let part = round_to_size(size_to_f64(self.hosts) * self.replaced);
        part.max(self.changes()).min(self.hosts)
    }

    /// How many requests clients send.
    pub(super) fn requests(&self) -> usize {
        round_to_size(self.rate * self.duration.as_secs_f64())
    }
}

impl Default for ScalePlan {
    fn default() -> ScalePlan {
        ScalePlan {
            hosts: 200,
            routers: 300,
            keepalive: None,
            rate: 20.0,
            write_every: 5,
            duration: Duration::from_secs(20),
            replaced: 0.1,
            seed: 1,
        }
    }
}
