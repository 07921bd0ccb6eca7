//! Parameters of one run.

use std::time::Duration;

use crate::convert::{round_to_size, size_to_f64};

/// Number of endpoints in each replica set.
pub(super) const GROUP_SIZE: usize = 5;
/// Interval between two changes of discovery's endpoint list.
pub(super) const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    /// Number of endpoints in service at a time.
    pub endpoints: usize,
    /// Number of routers that the configuration states; only one is started.
    pub routers: usize,
    /// Time after which an idle connection to an endpoint is closed; `None` keeps the value of the example configuration.
    pub keepalive: Option<Duration>,
    /// Requests per second.
    pub requests_per_second: f64,
    /// One request in this many is a write; with zero, none is.
    pub write_every: usize,
    /// Duration of the load.
    pub duration: Duration,
    /// Fraction of the endpoints that is replaced during the run. Each change of the list replaces at least one endpoint.
    pub replaced_fraction: f64,
    /// Seed of the router, of the load, and of the choice of the endpoints that are replaced.
    pub seed: u64,
}

impl ScalePlan {
    /// Returns the number of replica sets, the last of which may have fewer endpoints.
    pub(super) fn groups(&self) -> usize {
        self.endpoints.div_ceil(GROUP_SIZE)
    }

    /// Returns the number of changes of the endpoint list.
    pub(super) fn changes(&self) -> usize {
        round_to_size(self.duration.div_duration_f64(CHANGE_INTERVAL).floor())
    }

    /// Returns the number of endpoints that are replaced.
    pub(super) fn replacements(&self) -> usize {
        let replaced = round_to_size(size_to_f64(self.endpoints) * self.replaced_fraction);
        replaced.max(self.changes()).min(self.endpoints)
    }

    /// Returns the number of requests that clients send.
    pub(super) fn requests(&self) -> usize {
        round_to_size(self.requests_per_second * self.duration.as_secs_f64())
    }
}

impl Default for ScalePlan {
    fn default() -> ScalePlan {
        ScalePlan {
            endpoints: 200,
            routers: 300,
            keepalive: None,
            requests_per_second: 20.0,
            write_every: 5,
            duration: Duration::from_secs(20),
            replaced_fraction: 0.1,
            seed: 1,
        }
    }
}
