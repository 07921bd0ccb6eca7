//! Whether an endpoint may be sent one more attempt: first by the rules on data and effects, then by its health and load.
//!
//! [`View::can_accept`] is the one gate before an attempt is sent.

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, GroupId, Id};
use crate::interface::{Consistency, Effect};
use crate::request::TrackedRequest;
use crate::retry;
use crate::slow_start::Candidate;
use crate::state::RouterState;
use crate::stats::ClassStats;
use crate::throughput;

/// A read-only view of a router's state at one time.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) now: f64,
    pub(crate) state: &'a RouterState,
}

impl<'a> View<'a> {
    /// The state as of now.
    pub(crate) fn new(now: f64, state: &'a RouterState) -> View<'a> {
        View { now, state }
    }

    /// What is known of the endpoint.
    pub(crate) fn endpoint(&self, endpoint: EndpointId) -> &'a Endpoint {
        &self.state.endpoints[endpoint]
    }

    /// The request's class.
    pub(crate) fn class_of(&self, request: &TrackedRequest) -> &'a ClassStats {
        self.state.classes.get(request.class)
    }

    /// The request's own sample for that endpoint, the same as often as it is asked for.
    pub(crate) fn sample_of(&self, request: &TrackedRequest, endpoint: EndpointId) -> f64 {
        self.state.sampler.sample(request.sample_counter, endpoint.index())
    }

    /// Whether the endpoint may be sent anything at all: it was heard of, does not drain, and is not ejected.
    pub(crate) fn is_usable(&self, endpoint: EndpointId) -> bool {
        let is_available = self.endpoint(endpoint).outlier.is_available(self.now);
        self.has_known_role(endpoint) && !self.state.is_excluded(endpoint) && is_available
    }

    /// Whether the endpoint has told its role, where it can be asked for that.
    fn has_known_role(&self, endpoint: EndpointId) -> bool {
        !self.endpoint(endpoint).role.is_unknown() || !self.state.config.may_check_health
    }

    /// The position that an endpoint needs to serve the request from its own data; infinite where only the primary will do.
    pub(crate) fn required_position(&self, request: &TrackedRequest) -> f64 {
        match self.class_of(request).needs() {
            Consistency::Primary | Consistency::Fresh => f64::INFINITY,
            Consistency::Session => {
                let remembered = self.state.watermarks.required(request.group, request.session);
                request.watermark.max(remembered)
            }
            Consistency::Bounded(bound) => self.now - bound,
            Consistency::Any => f64::NEG_INFINITY,
        }
    }

    /// The rules on data and effects for one more attempt there now.
    pub(crate) fn meets_correctness_rules(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        self.has_position(endpoint, request) && self.is_retry_safe(endpoint, request)
    }

    /// Whether the endpoint's data are known to be new enough, or it checks that itself.
    fn has_position(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let target = self.endpoint(endpoint);
        let is_primary = self.state.replica_sets[target.group()].tracker.is_primary(endpoint);
        self.state.config.endpoints_check_reads
            || is_primary
            || target.position.known() >= self.required_position(request)
    }

    /// Whether an attempt there can't repeat an effect of an earlier one.
    fn is_retry_safe(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let effect = self.class_of(request).effect();
        let same_site = |earlier| self.endpoint(earlier).site() == self.endpoint(endpoint).site();
        retry::is_safe(self.now, effect, request.possible_effect, same_site)
    }

    /// Whether the endpoint may be sent one more attempt, for this request.
    pub(crate) fn can_accept(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        self.meets_correctness_rules(endpoint, request) && self.is_available_for(endpoint, request)
    }

    /// The part of [`View::can_accept`] that goes by the endpoint's health and load.
    pub(crate) fn is_available_for(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        self.is_healthy(endpoint, request)
            && self.slow_start_allows(endpoint, request)
            && self.endpoint(endpoint).has_capacity(self.now, 1.0, self.sample_of(request, endpoint))
    }

    /// Whether nothing speaks against the endpoint: it is usable, or due for a trial, and was not full.
    fn is_healthy(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let target = self.endpoint(endpoint);
        let is_idempotent = self.class_of(request).effect() == Effect::Idempotent;
        let may_be_trial = target.limit.in_flight() == 0 && is_idempotent;
        // Guards against asking a full endpoint again and again for the same request.
        let was_full = target.limit.full_at() >= request.arrived_at;
        (!target.outlier.is_ejected() || may_be_trial) && self.is_usable(endpoint) && !was_full
    }

    /// The part of its capacity that the endpoint has at least.
    pub(crate) fn capacity_fraction(&self, endpoint: EndpointId) -> f64 {
        self.endpoint(endpoint).slow_start.capacity_fraction(self.now, &self.state.config)
    }

    /// What the endpoint can do now, in sizes of warm ones.
    pub(crate) fn capacity(&self, endpoint: EndpointId) -> f64 {
        throughput::capacity(self.endpoint(endpoint).size(), self.capacity_fraction(endpoint))
    }

    /// What those members of a group can do together that were heard of and are not excluded.
    pub(crate) fn group_capacity(&self, group: GroupId) -> f64 {
        let members = self.state.replica_sets[group].members().iter().copied();
        let present =
            members.filter(|member| !self.state.is_excluded(*member) && self.has_known_role(*member));
        present.map(|member| self.capacity(member)).sum()
    }

    /// Whether the endpoint was started so recently that it has not all of its capacity.
    pub(crate) fn is_warming(&self, endpoint: EndpointId) -> bool {
        self.capacity_fraction(endpoint) < 1.0
    }

    /// Whether slow start lets the request through, if the endpoint is warming.
    fn slow_start_allows(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let target = self.endpoint(endpoint);
        let group = &self.state.replica_sets[target.group()];
        let members = group.members().iter();
        let candidate = Candidate {
            is_second_in_a_row: request.last_endpoint == Some(endpoint),
            to_primary: matches!(self.class_of(request).needs(), Consistency::Primary | Consistency::Fresh),
            waited: self.now - request.arrived_at,
            size: target.size(),
            members: members.map(|member| (self.endpoint(*member).size(), self.is_usable(*member))),
            throughput: &group.throughput,
            ticks: self.state.throughput_ticks,
        };
        // Each attempt of a request has a sample of its own.
        let counter = request.sample_counter + u64::from(request.attempts);
        let sample = || self.state.sampler.sample(counter, endpoint.index());
        target.slow_start.allows(self.now, &self.state.config, candidate, sample)
    }
}
