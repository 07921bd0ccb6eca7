//! Slow start: what a freshly started endpoint may be sent until it is warm.
//!
//! A warming endpoint that is sent a multiple of what it can do falls over. All routers together have to stay below that
//! without communication: of the requests that fall to the endpoint by its size, a sample drawn once for each request
//! lets through its capacity fraction, with a margin; where rejected clients come back, no more than a part of what the
//! group answers. Where the fleet has a budget for it, that goes before any sample.

use crate::clock::TickCount;
use crate::interface::RoutingConfig;
use crate::throughput::Throughput;

/// Margin for chance in what a warming endpoint is sent.
const SLOW_START_MARGIN: f64 = 0.8;
/// What goes to the primary alone, relative to the group's whole work if it were the primary's: all of it falls to the
/// primary, but is far from all of its work, and reads keep off a warming primary.
const PRIMARY_SHARE: f64 = 1.6;

/// Whether an endpoint is warming, and what the fleet grants this router there.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    started_at: Option<f64>,
    /// Attempts that may be sent there now while it warms up, where the fleet has a budget for that.
    tokens: Option<f64>,
}

/// A request that may go to a warming endpoint, and what else falls to that endpoint.
pub(crate) struct Candidate<'a, Members> {
    /// The request's last attempt was sent to the same endpoint.
    pub(crate) is_second_in_a_row: bool,
    /// The request can go to the primary alone.
    pub(crate) to_primary: bool,
    /// Seconds since the request arrived.
    pub(crate) waited: f64,
    /// The size of the endpoint.
    pub(crate) size: f64,
    /// Size of each member of the group, and whether it is usable now.
    pub(crate) members: Members,
    /// What its group answers and rejects.
    pub(crate) throughput: &'a Throughput,
    /// The ticks by which these counts have decayed.
    pub(crate) ticks: TickCount,
}

impl SlowStart {
    /// The endpoint was started then, with cold caches.
    pub(crate) fn begin(&mut self, started_at: f64) {
        self.started_at = Some(started_at);
    }

    /// Takes over what the fleet grants; `None` where it has no budget for the endpoint.
    pub(crate) fn set_tokens(&mut self, tokens: Option<f64>) {
        self.tokens = tokens;
    }

    /// The part of its capacity that the endpoint has at least, `1.0` once it is warm.
    pub(crate) fn capacity_fraction(&self, now: f64, config: &RoutingConfig) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warmed = ((now - started_at) / config.warmup).clamp(0.0, 1.0);
        config.initial_capacity_fraction + (1.0 - config.initial_capacity_fraction) * warmed
    }

    /// Guards against pushing over a warming endpoint: whether it may be sent that request. `sample` is drawn only if the
    /// decision depends on it.
    pub(crate) fn allows(
        &self,
        now: f64,
        config: &RoutingConfig,
        candidate: Candidate<impl Iterator<Item = (f64, bool)>>,
        sample: impl FnOnce() -> f64,
    ) -> bool {
        let capacity = self.capacity_fraction(now, config);
        if capacity >= 1.0 {
            return true;
        }
        // One that fails or rejects at once would get all attempts of the requests that its samples let through.
        if candidate.is_second_in_a_row {
            return false;
        }
        if let Some(tokens) = self.tokens {
            return tokens >= 1.0;
        }
        // What waited for it, as for a new primary, would come from all routers at once: few of that.
        let prompt = (1.0 - candidate.waited / (config.overload_span / 2.0)).max(0.0);
        let share = if candidate.to_primary {
            PRIMARY_SHARE
        } else {
            share_by_size(candidate.size, candidate.members)
        };
        let of_offered = SLOW_START_MARGIN / 2.0 * share * prompt;
        let of_answered = candidate.throughput.share(candidate.ticks, candidate.to_primary, candidate.size);
        sample() < config.overload_multiple * capacity * of_offered.min(of_answered)
    }
}

/// The part of its group's requests that falls to an endpoint by its size, among the usable members; at most twice what
/// it would be with all members there.
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
