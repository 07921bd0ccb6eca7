//! Choosing an endpoint for a request among those that may take it.
//!
//! Writes and fresh reads go to the primary. A read goes to the fresh-enough replica with fewest attempts in flight; if
//! none is fresh, to the most advanced one where endpoints check reads, else after a short wait to the primary. What is
//! more than that are departures of docs/design.md, named by their numbers below.

use crate::concurrency_limit::PRIMARY_READ_FRACTION;
use crate::convert::{count_to_f64, to_count};
use crate::eligibility::View;
use crate::health_check::{POLL_INTERVAL, URGENT_INTERVAL};
use crate::ids::{EndpointId, GroupId, Id};
use crate::interface::Consistency;
use crate::replica_set::ReplicaSet;
use crate::request::TrackedRequest;

/// Seconds that a read for which no replica is fresh enough waits before it goes to the primary.
const PRIMARY_READ_DELAY_SECONDS: f64 = 0.03;
/// Weight of an endpoint at the router's own site, relative to others.
const OWN_SITE_WEIGHT: f64 = 1.5;
/// The least latency, as a fraction of the SLO time, by which endpoints are weighted.
const MIN_LATENCY_FRACTION: f64 = 0.1;
/// Added to a request's sample counter for the sample against the primary's spare capacity.
const SPARE_CAPACITY_SAMPLE_OFFSET: u64 = 2;
/// Key of a request's sample for its group's primary, whichever endpoint that is.
const PRIMARY_SAMPLE_KEY: usize = usize::MAX;
/// Keeps shares of work defined while there is none.
const MIN_SHARE: f64 = 1e-9;

/// The endpoint to send the request to now; `None` means that it has to wait.
pub(crate) fn choose(view: View<'_>, request: &TrackedRequest) -> Option<EndpointId> {
    let group = &view.state.replica_sets[request.group];
    let selection = Selection { view, request, group };
    match view.class_of(request).needs() {
        Consistency::Primary | Consistency::Fresh => selection.accepting_primary(),
        Consistency::Session | Consistency::Bounded(_) | Consistency::Any => selection.choose_for_read(),
    }
}

/// The replica to health-check for the sake of a waiting read that none is known to be fresh enough for (departure 27).
pub(crate) fn replica_to_check(view: View<'_>, group: GroupId) -> Option<EndpointId> {
    let mut waiting = view.state.requests.waiting(group).iter().map(|id| view.state.requests.get(*id));
    let request = waiting.find(|request| view.required_position(request).is_finite())?;
    let group = &view.state.replica_sets[group];
    fewest_in_flight(view, group.members(), |endpoint| {
        let health_check = &view.endpoint(endpoint).health_check;
        let is_due = !health_check.is_in_flight() && view.now - health_check.sent_at() >= URGENT_INTERVAL;
        is_due
            && !group.tracker.is_primary(endpoint)
            && !view.meets_correctness_rules(endpoint, request)
            && view.is_available_for(endpoint, request)
    })
}

/// Of the accepted endpoints with fewest attempts in flight, nearly all where routers are many, draws one by a weighted
/// sample (departure 16).
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

/// A sample of an exponential distribution whose rate is the endpoint's weight: the least of several is each one's with a
/// probability in proportion to its weight.
fn weighted_sample(view: View<'_>, endpoint: EndpointId) -> f64 {
    let target = view.endpoint(endpoint);
    let is_near = target.site() == view.state.config.site;
    let site_weight = if is_near { OWN_SITE_WEIGHT } else { 1.0 };
    let latency = target.limit.latency().max(MIN_LATENCY_FRACTION);
    let weight = target.size() * site_weight * target.spare_capacity(view.now) / latency.powi(2);
    -view.state.sampler.current(endpoint.index()).ln() / weight
}

/// The choice for one request.
struct Selection<'a> {
    view: View<'a>,
    request: &'a TrackedRequest,
    group: &'a ReplicaSet,
}

/// Usable replicas, by whether they should have the position that a read needs.
struct Replicas {
    fresh: Vec<EndpointId>,
    stale: Vec<EndpointId>,
}

impl Selection<'_> {
    /// Whether the endpoint may be sent the request.
    fn accepts(&self, endpoint: EndpointId) -> bool {
        self.view.can_accept(endpoint, self.request)
    }

    /// The primary, if it may be sent the request.
    fn accepting_primary(&self) -> Option<EndpointId> {
        self.group.primary().filter(|primary| self.accepts(*primary))
    }

    /// The first of: a preferred endpoint, the replica with fewest attempts in flight, the most advanced replica, the primary.
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

    /// Whether the read needs data of some age.
    fn requires_position(&self) -> bool {
        self.view.required_position(self.request) > f64::NEG_INFINITY
    }

    /// Whether the request is a long read, by its estimate.
    fn is_long(&self) -> bool {
        let class = self.view.class_of(self.request);
        self.view.state.classes.is_long_read(class, class.estimate(self.request.extra_work))
    }

    /// The usable replicas.
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

    /// A primary that is ejected is tried with a read: a write that is not answered could not be retried.
    fn ejected_primary(&self) -> Option<EndpointId> {
        self.group.primary().filter(|primary| self.view.endpoint(*primary).outlier.is_ejected())
    }

    /// The replicas that long reads are kept together on (departure 3): as many as their part of all work fills, in an
    /// order that is the same at all routers, so that hundreds of routers agree without communication.
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

    /// Guards against long reads that stop replication: spread evenly, a few hold every replica back.
    fn narrow_for_long_read(&self, fresh: &mut Vec<EndpointId>, kept: usize) {
        fresh.sort_by_key(|endpoint| self.view.endpoint(*endpoint).order());
        fresh.truncate(fresh.len().div_ceil(2).max(kept));
    }

    /// One of the first `kept` replicas, which serve the other long reads, or the first other one that accepts it.
    fn choose_for_long_read(&self, fresh: &[EndpointId], kept: usize) -> Option<EndpointId> {
        let together = fewest_in_flight(self.view, &fresh[..kept], |endpoint| self.accepts(endpoint));
        together.or_else(|| fresh.iter().copied().find(|endpoint| self.accepts(*endpoint)))
    }

    /// Where the long reads are replication stands still, unless a replica has reported otherwise just now. Leaves the
    /// others, if there are any.
    fn avoid_long_read_replicas(&self, fresh: &mut Vec<EndpointId>) {
        let kept = self.long_read_replicas();
        let is_unaffected = |endpoint: &EndpointId| {
            let reported_at = self.view.endpoint(*endpoint).position.reported_at();
            !kept.contains(endpoint) || self.view.now - reported_at < POLL_INTERVAL
        };
        if fresh.iter().any(is_unaffected) {
            fresh.retain(is_unaffected);
        }
    }

    /// The primary, for as much of the reads as leaves it no more work than each of few fresh replicas has (departure 8).
    /// Only where the group is heard of rarely: else the limits of the replicas tell when the primary is needed.
    fn primary_for_share_of_reads(&self, fresh: usize) -> Option<EndpointId> {
        if self.group.is_heard_often(self.view.now) {
            return None;
        }
        let primary = self.group.primary()?;
        let classes = &self.view.state.classes;
        let writes = classes.work_share(super::stats::ClassStats::is_write);
        let reads =
            classes.work_share(|class| !matches!(class.needs(), Consistency::Primary | Consistency::Any));
        let fair_share = (writes + reads) / count_to_f64(fresh + 1);
        let spare_capacity = self.view.endpoint(primary).spare_capacity(self.view.now);
        let share_of_reads = (fair_share - writes) / reads.max(MIN_SHARE) * spare_capacity;
        let sample = self.view.state.sampler.sample(self.request.sample_counter, PRIMARY_SAMPLE_KEY);
        let is_drawn = sample < share_of_reads && !self.view.is_warming(primary);
        (is_drawn && self.accepts(primary)).then_some(primary)
    }

    /// A warming replica that the request's sample lets it go to is taken, as its share is counted by samples alone.
    fn warming_replica(&self, fresh: &[EndpointId]) -> Option<EndpointId> {
        let mut fresh = fresh.iter().copied();
        fresh.find(|endpoint| self.view.is_warming(*endpoint) && self.accepts(*endpoint))
    }

    /// Where endpoints check reads themselves and none is fresh enough, the replica with the newest position.
    fn most_advanced(&self, fresh: &[EndpointId], stale: &[EndpointId]) -> Option<EndpointId> {
        if !fresh.is_empty() || !self.view.state.config.endpoints_check_reads {
            return None;
        }
        let position = |endpoint: &EndpointId| self.view.endpoint(*endpoint).position.known();
        let newest = stale.iter().copied().max_by(|one, other| position(one).total_cmp(&position(other)))?;
        let rejects_reads = self.view.endpoint(newest).position.rejects_reads();
        (self.accepts(newest) && !rejects_reads).then_some(newest)
    }

    /// The last resort is the primary, of which writes keep their part (departure 8).
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

    /// Whether no replica is expected to become fresh enough in a moment.
    fn has_waited(&self, fresh: &[EndpointId]) -> bool {
        let is_known_fresh =
            |endpoint: &EndpointId| self.view.meets_correctness_rules(*endpoint, self.request);
        self.view.state.config.endpoints_check_reads
            || self.view.now - self.request.arrived_at >= PRIMARY_READ_DELAY_SECONDS
            || fresh.iter().any(is_known_fresh)
    }

    /// Where the group is heard of rarely, the primary's own report tells what all routers send there.
    fn has_spare_capacity(&self, primary: EndpointId) -> bool {
        if self.group.is_heard_often(self.view.now) {
            return true;
        }
        let counter = self.request.sample_counter + SPARE_CAPACITY_SAMPLE_OFFSET;
        let sample = self.view.state.sampler.sample(counter, primary.index());
        sample <= self.view.endpoint(primary).spare_capacity(self.view.now)
    }
}
