//! Slow start: limits what a newly started endpoint is sent until it is warm.
//!
//! A warming endpoint fails under load if it is sent a multiple of its current capacity. All routers together have to
//! stay below that multiple without communication. Of the requests that would go to the endpoint by its size, a
//! sample drawn once for each request admits the endpoint's capacity fraction, with a safety margin. Where rejected
//! clients return, the endpoint is also sent no more than a fraction of what its group answers. If the fleet has a
//! budget for the endpoint, that budget takes precedence over the samples.

use crate::clock::TickCount;
use crate::interface::RoutingConfig;
use crate::throughput::Throughput;

/// Safety margin for random variation in what a warming endpoint is sent.
const SLOW_START_MARGIN: f64 = 0.8;
/// Share assumed for requests that only the primary can serve; 1.0 would mean that they make up the whole work of the
/// group and the primary serves all of it. All of them go to the primary, but they are far less than its whole work,
/// and reads avoid a warming primary.
const PRIMARY_ONLY_SHARE: f64 = 1.6;

/// Whether an endpoint is warming, and the quota that the fleet grants this router there.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    started_at: Option<f64>,
    /// Attempts that may be sent there now while the endpoint warms up; `None` if the fleet has no budget for that.
    tokens: Option<f64>,
}

/// A request that may be sent to a warming endpoint, and the data that decide whether it is.
pub(crate) struct Candidate<'a, Members> {
    /// The request's last attempt was sent to the same endpoint.
    pub(crate) is_second_in_a_row: bool,
    /// Only the primary can serve the request.
    pub(crate) to_primary: bool,
    /// Seconds since the request arrived.
    pub(crate) waited_seconds: f64,
    /// The size of the endpoint.
    pub(crate) size: f64,
    /// The size of each member of the group, and whether the member is usable now.
    pub(crate) members: Members,
    /// The answers and rejections of the endpoint's group.
    pub(crate) throughput: &'a Throughput,
    /// The current tick, to which the counts in `throughput` have to be decayed.
    pub(crate) ticks: TickCount,
}

impl SlowStart {
    /// Records that the endpoint started at `started_at` with cold caches.
    pub(crate) fn begin(&mut self, started_at: f64) {
        self.started_at = Some(started_at);
    }

    /// Sets the quota that the fleet grants; `None` if it has no budget for the endpoint.
    pub(crate) fn set_tokens(&mut self, tokens: Option<f64>) {
        self.tokens = tokens;
    }

    /// The fraction of its capacity that the endpoint is known to have, `1.0` once it is warm.
    pub(crate) fn capacity_fraction(&self, now: f64, config: &RoutingConfig) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warm_up_progress = ((now - started_at) / config.warmup_seconds).clamp(0.0, 1.0);
        config.initial_capacity_fraction + (1.0 - config.initial_capacity_fraction) * warm_up_progress
    }

    /// Whether the endpoint may be sent the request; protects a warming endpoint from overload. `sample` is drawn
    /// only if the decision depends on it.
    pub(crate) fn allows(
        &self,
        now: f64,
        config: &RoutingConfig,
        candidate: Candidate<impl Iterator<Item = (f64, bool)>>,
        sample: impl FnOnce() -> f64,
    ) -> bool {
        let capacity_fraction = self.capacity_fraction(now, config);
        if capacity_fraction >= 1.0 {
            return true;
        }
        // Otherwise an endpoint that fails or rejects at once would be sent all attempts of the requests that its
        // samples admit.
        if candidate.is_second_in_a_row {
            return false;
        }
        if let Some(tokens) = self.tokens {
            return tokens >= 1.0;
        }
        // Requests that have waited for the endpoint, for instance for a new primary, would arrive from all routers
        // at once, so few of them are admitted.
        let promptness = (1.0 - candidate.waited_seconds / (config.overload_seconds / 2.0)).max(0.0);
        let share = if candidate.to_primary {
            PRIMARY_ONLY_SHARE
        } else {
            share_by_size(candidate.size, candidate.members)
        };
        let offered_fraction = SLOW_START_MARGIN / 2.0 * share * promptness;
        let answered_fraction =
            candidate.throughput.allowed_fraction(candidate.ticks, candidate.to_primary, candidate.size);
        sample() < config.overload_multiple * capacity_fraction * offered_fraction.min(answered_fraction)
    }
}

/// The share of its group's requests that an endpoint of this size receives among the usable members; at most twice
/// the share that it has when all members are usable.
fn share_by_size(size: f64, members: impl Iterator<Item = (f64, bool)>) -> f64 {
    let mut all = 0.0;
    let mut usable = 0.0;
    for (member_size, is_usable) in members {
        all += member_size;
        if is_usable {
            usable += member_size;
        }
    }
    size / f64::max(usable, all / 2.0)
}
