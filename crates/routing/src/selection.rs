//! Selects an endpoint for a request among those that may accept it.
//!
//! Writes and fresh reads go to the primary. A read goes to the fresh-enough replica with the fewest attempts in
//! flight. If none is fresh, it goes to the most advanced replica where endpoints check reads themselves, else to the
//! primary after a short wait. Everything beyond that is a departure of docs/design.md, cited by its number below.

use crate::concurrency_limit::PRIMARY_READ_FRACTION;
use crate::convert::{count_to_f64, to_count};
use crate::eligibility::View;
use crate::health_check::{POLL_INTERVAL_SECONDS, URGENT_INTERVAL_SECONDS};
use crate::ids::{EndpointId, GroupId, Id};
use crate::interface::Consistency;
use crate::replica_set::ReplicaSet;
use crate::request::TrackedRequest;

/// Seconds that a read waits for a fresh-enough replica before it goes to the primary.
const PRIMARY_READ_DELAY_SECONDS: f64 = 0.03;
/// Weight of an endpoint at the router's own site, relative to endpoints at other sites.
const OWN_SITE_WEIGHT: f64 = 1.5;
/// Lower bound of the latency by which endpoints are weighted, as a fraction of the SLO time.
const MIN_LATENCY_FRACTION: f64 = 0.1;
/// Offset from a request's sample counter to the counter of its sample against the primary's spare capacity.
const SPARE_CAPACITY_SAMPLE_OFFSET: u64 = 2;
/// Sampler key of a request's sample for its group's primary, whichever endpoint that is.
const PRIMARY_SAMPLE_KEY: usize = usize::MAX;
/// Guards against a division by zero while there is no recent work.
const MIN_SHARE: f64 = 1e-9;

/// Returns the endpoint to send the request to now; `None` if the request has to wait.
pub(crate) fn choose(view: View<'_>, request: &TrackedRequest) -> Option<EndpointId> {
    let group = &view.state.replica_sets[request.group];
    let selection = Selection { view, request, group };
    match view.class_of(request).consistency() {
        Consistency::Primary | Consistency::Fresh => selection.accepting_primary(),
        Consistency::Session | Consistency::Bounded(_) | Consistency::Any => selection.choose_for_read(),
    }
}

/// Returns the replica to health-check on behalf of a waiting read for which no replica is known to be fresh enough
/// (departure 27).
pub(crate) fn replica_to_check(view: View<'_>, group: GroupId) -> Option<EndpointId> {
    let mut waiting = view.state.requests.waiting(group).iter().map(|id| view.state.requests.get(*id));
    let request = waiting.find(|request| view.required_position(request).is_finite())?;
    let group = &view.state.replica_sets[group];
    fewest_in_flight(view, group.members(), |endpoint| {
        let health_check = &view.endpoint(endpoint).health_check;
        let is_due =
            !health_check.is_in_flight() && view.now - health_check.sent_at() >= URGENT_INTERVAL_SECONDS;
        is_due
            && !group.tracker.is_primary(endpoint)
            && !view.meets_correctness_rules(endpoint, request)
            && view.is_available_for(endpoint, request)
    })
}

/// Selects one of the accepted endpoints with the fewest attempts in flight by a weighted sample (departure 16). Where
/// there are many routers, nearly all accepted endpoints tie.
fn fewest_in_flight(
    view: View<'_>,
    among: &[EndpointId],
    accepts: impl Fn(EndpointId) -> bool,
) -> Option<EndpointId> {
    let in_flight = |endpoint: EndpointId| view.endpoint(endpoint).limit.in_flight();
    let accepted: Vec<EndpointId> = among.iter().copied().filter(|endpoint| accepts(*endpoint)).collect();
    let least = accepted.iter().copied().map(in_flight).min()?;
    let tied = accepted.into_iter().filter(|endpoint| in_flight(*endpoint) == least);
    let drawn = tied.map(|endpoint| (weighted_sample(view, endpoint), endpoint));
    drawn.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, endpoint)| endpoint)
}

/// Draws a sample of an exponential distribution whose rate is the endpoint's weight. The smallest of several such
/// samples belongs to each endpoint with a probability proportional to its weight.
fn weighted_sample(view: View<'_>, endpoint: EndpointId) -> f64 {
    let target = view.endpoint(endpoint);
    let is_near = target.site() == view.state.config.site;
    let site_weight = if is_near { OWN_SITE_WEIGHT } else { 1.0 };
    let latency = target.limit.relative_latency().max(MIN_LATENCY_FRACTION);
    let weight = target.size() * site_weight * target.spare_capacity(view.now) / latency.powi(2);
    -view.state.sampler.current(endpoint.index()).ln() / weight
}

/// The selection of an endpoint for one request.
struct Selection<'a> {
    view: View<'a>,
    request: &'a TrackedRequest,
    group: &'a ReplicaSet,
}

/// Usable replicas, split by whether they are expected to have the position that a read needs.
struct Replicas {
    fresh: Vec<EndpointId>,
    stale: Vec<EndpointId>,
}

impl Selection<'_> {
    /// Returns whether the endpoint may be sent the request.
    fn accepts(&self, endpoint: EndpointId) -> bool {
        self.view.can_accept(endpoint, self.request)
    }

    /// Returns the primary if it may be sent the request.
    fn accepting_primary(&self) -> Option<EndpointId> {
        self.group.primary().filter(|primary| self.accepts(*primary))
    }

    /// Returns the first available of: a preferred endpoint, the replica with the fewest attempts in flight, the most
    /// advanced replica, the primary.
    fn choose_for_read(&self) -> Option<EndpointId> {
        let Replicas { mut fresh, stale } = self.replicas();
        let is_long = self.is_long();
        let preferred = if is_long {
            let kept = self.long_read_replicas().len();
            self.narrow_for_long_read(&mut fresh, kept);
            self.ejected_primary().or_else(|| self.choose_for_long_read(&fresh, kept))
        } else if self.requires_position() {
            self.avoid_long_read_replicas(&mut fresh);
            self.ejected_primary().or_else(|| self.primary_for_share_of_reads(fresh.len()))
        } else {
            self.ejected_primary()
        };
        preferred
            .or_else(|| self.warming_replica(&fresh))
            .filter(|endpoint| self.accepts(*endpoint))
            .or_else(|| fewest_in_flight(self.view, &fresh, |endpoint| self.accepts(endpoint)))
            .or_else(|| self.most_advanced(&fresh, &stale))
            .or_else(|| self.primary_as_last_resort(&fresh))
    }

    /// Returns whether the read requires some replication position.
    fn requires_position(&self) -> bool {
        self.view.required_position(self.request) > f64::NEG_INFINITY
    }

    /// Returns whether the request is a long read, according to its estimate.
    fn is_long(&self) -> bool {
        let class = self.view.class_of(self.request);
        self.view.state.classes.is_long_read(class, class.estimate(self.request.extra_work))
    }

    /// Returns the usable replicas, split by expected freshness.
    fn replicas(&self) -> Replicas {
        let required = self.view.required_position(self.request);
        let requires_position = self.requires_position();
        let is_fresh = |endpoint: &EndpointId| {
            let position = &self.view.endpoint(*endpoint).position;
            let has_rejected = requires_position && position.rejects_reads();
            position.expected(self.view.now) >= required && !has_rejected
        };
        let members = self.group.members().iter().copied();
        let replicas = members.filter(|endpoint| !self.group.tracker.is_primary(*endpoint));
        let usable = replicas.filter(|endpoint| self.view.is_usable(*endpoint));
        let (fresh, stale) = usable.partition(is_fresh);
        Replicas { fresh, stale }
    }

    /// Returns the primary if it is ejected. It is tried with a read, because an unanswered write could not be retried.
    fn ejected_primary(&self) -> Option<EndpointId> {
        self.group.primary().filter(|primary| self.view.endpoint(*primary).outlier.is_ejected())
    }

    /// Returns the replicas on which long reads are concentrated (departure 3): as many as the long reads' share of all
    /// work fills, in an order that is the same at all routers, so that hundreds of routers agree without
    /// communication.
    fn long_read_replicas(&self) -> Vec<EndpointId> {
        let share = self.view.state.classes.long_read_share();
        let mut kept = self.group.members().to_vec();
        kept.retain(|endpoint| self.view.is_usable(*endpoint));
        let least = if share > 0.0 { 1.0 } else { 0.0 };
        let count = to_count((share * count_to_f64(kept.len())).round().max(least));
        kept.retain(|endpoint| !self.group.tracker.is_primary(*endpoint));
        kept.sort_by_key(|endpoint| self.view.endpoint(*endpoint).order());
        kept.truncate(count);
        kept
    }

    /// Keeps the first half of the fresh replicas, but at least `kept`. Guards against long reads that stop
    /// replication: spread evenly, a few of them hold every replica back.
    fn narrow_for_long_read(&self, fresh: &mut Vec<EndpointId>, kept: usize) {
        fresh.sort_by_key(|endpoint| self.view.endpoint(*endpoint).order());
        fresh.truncate(fresh.len().div_ceil(2).max(kept));
    }

    /// Returns one of the first `kept` replicas, which serve the other long reads, or else the first other replica that
    /// accepts the request.
    fn choose_for_long_read(&self, fresh: &[EndpointId], kept: usize) -> Option<EndpointId> {
        let shared = fewest_in_flight(self.view, &fresh[..kept], |endpoint| self.accepts(endpoint));
        shared.or_else(|| fresh.iter().copied().find(|endpoint| self.accepts(*endpoint)))
    }

    /// Removes the replicas that serve long reads, unless no others are left: replication does not advance there. A
    /// replica that has reported its position within the last poll interval stays.
    fn avoid_long_read_replicas(&self, fresh: &mut Vec<EndpointId>) {
        let kept = self.long_read_replicas();
        let is_unaffected = |endpoint: &EndpointId| {
            let reported_at = self.view.endpoint(*endpoint).position.reported_at();
            !kept.contains(endpoint) || self.view.now - reported_at < POLL_INTERVAL_SECONDS
        };
        if fresh.iter().any(is_unaffected) {
            fresh.retain(is_unaffected);
        }
    }

    /// Returns the primary for such a share of the reads that it has no more work than each of a few fresh replicas
    /// (departure 8). Applies only while results from the group are infrequent: otherwise the concurrency limits of the
    /// replicas show when the primary is needed.
    fn primary_for_share_of_reads(&self, fresh: usize) -> Option<EndpointId> {
        if self.group.has_frequent_results(self.view.now) {
            return None;
        }
        let primary = self.group.primary()?;
        let classes = &self.view.state.classes;
        let writes = classes.work_share(super::stats::ClassStats::is_write);
        let reads = classes
            .work_share(|class| !matches!(class.consistency(), Consistency::Primary | Consistency::Any));
        let fair_share = (writes + reads) / count_to_f64(fresh + 1);
        let spare_capacity = self.view.endpoint(primary).spare_capacity(self.view.now);
        let share_of_reads = (fair_share - writes) / reads.max(MIN_SHARE) * spare_capacity;
        let sample = self.view.state.sampler.sample(self.request.sample_counter, PRIMARY_SAMPLE_KEY);
        let is_drawn = sample < share_of_reads && !self.view.is_warming(primary);
        (is_drawn && self.accepts(primary)).then_some(primary)
    }

    /// Returns a warming replica that the request's sample admits. It takes precedence, because samples alone determine
    /// its share of the requests.
    fn warming_replica(&self, fresh: &[EndpointId]) -> Option<EndpointId> {
        let mut fresh = fresh.iter().copied();
        fresh.find(|endpoint| self.view.is_warming(*endpoint) && self.accepts(*endpoint))
    }

    /// Returns the replica with the newest position, where endpoints check reads themselves and none is fresh enough.
    fn most_advanced(&self, fresh: &[EndpointId], stale: &[EndpointId]) -> Option<EndpointId> {
        if !fresh.is_empty() || !self.view.state.config.endpoints_check_reads {
            return None;
        }
        let position = |endpoint: &EndpointId| self.view.endpoint(*endpoint).position.last_reported();
        let newest = stale.iter().copied().max_by(|one, other| position(one).total_cmp(&position(other)))?;
        let rejects_reads = self.view.endpoint(newest).position.rejects_reads();
        (self.accepts(newest) && !rejects_reads).then_some(newest)
    }

    /// Returns the primary as the last resort; part of its capacity stays reserved for writes (departure 8).
    fn primary_as_last_resort(&self, fresh: &[EndpointId]) -> Option<EndpointId> {
        let primary = self.accepting_primary()?;
        let target = self.view.endpoint(primary);
        let sample = self.view.sample_of(self.request, primary);
        let is_taken = self.has_waited(fresh)
            && self.has_spare_capacity(primary)
            && target.has_capacity(self.view.now, PRIMARY_READ_FRACTION, sample)
            && !self.view.is_warming(primary);
        is_taken.then_some(primary)
    }

    /// Returns whether the read has waited long enough: no replica is expected to become fresh enough shortly.
    fn has_waited(&self, fresh: &[EndpointId]) -> bool {
        let is_known_fresh =
            |endpoint: &EndpointId| self.view.meets_correctness_rules(*endpoint, self.request);
        self.view.state.config.endpoints_check_reads
            || self.view.now - self.request.arrived_at >= PRIMARY_READ_DELAY_SECONDS
            || fresh.iter().any(is_known_fresh)
    }

    /// Returns whether a sample lies within the primary's spare capacity. Applies only while results from the group are
    /// infrequent: the primary's own report then shows the load that all routers send there.
    fn has_spare_capacity(&self, primary: EndpointId) -> bool {
        if self.group.has_frequent_results(self.view.now) {
            return true;
        }
        let counter = self.request.sample_counter + SPARE_CAPACITY_SAMPLE_OFFSET;
        let sample = self.view.state.sampler.sample(counter, primary.index());
        sample <= self.view.endpoint(primary).spare_capacity(self.view.now)
    }
}
