//! Decides whether an endpoint may be sent another attempt: first by the rules on data and effects, then by its health
//! and load.
//!
//! Every attempt has to pass [`View::can_accept`] before it is sent.

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, GroupId, Id};
use crate::interface::{Consistency, Effect};
use crate::request::TrackedRequest;
use crate::retry;
use crate::slow_start::Candidate;
use crate::state::RouterState;
use crate::stats::ClassStats;
use crate::throughput;

/// Read-only view of a router's state at one point in time.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) now: f64,
    pub(crate) state: &'a RouterState,
}

impl<'a> View<'a> {
    /// Returns a view of the state at time `now`.
    pub(crate) fn new(now: f64, state: &'a RouterState) -> View<'a> {
        View { now, state }
    }

    pub(crate) fn endpoint(&self, endpoint: EndpointId) -> &'a Endpoint {
        &self.state.endpoints[endpoint]
    }

    pub(crate) fn class_of(&self, request: &TrackedRequest) -> &'a ClassStats {
        self.state.classes.get(request.class)
    }

    /// Returns the request's own sample for that endpoint; repeated calls return the same value.
    pub(crate) fn sample_of(&self, request: &TrackedRequest, endpoint: EndpointId) -> f64 {
        self.state.sampler.sample(request.sample_counter, endpoint.index())
    }

    /// Returns whether the endpoint may be sent anything at all: its role is known, it is not excluded (draining, for
    /// example), and it is not ejected or is due for a trial.
    pub(crate) fn is_usable(&self, endpoint: EndpointId) -> bool {
        let is_available = self.endpoint(endpoint).outlier.is_available(self.now);
        self.has_known_role(endpoint) && !self.state.is_excluded(endpoint) && is_available
    }

    /// Returns whether the endpoint has reported its role. Also returns true if health checks, which request the role, may
    /// not be sent.
    fn has_known_role(&self, endpoint: EndpointId) -> bool {
        !self.endpoint(endpoint).role.is_unknown() || !self.state.config.may_check_health
    }

    /// Returns the position that an endpoint needs to serve the request from its own data; infinite if only the primary
    /// will do.
    pub(crate) fn required_position(&self, request: &TrackedRequest) -> f64 {
        match self.class_of(request).consistency() {
            Consistency::Primary | Consistency::Fresh => f64::INFINITY,
            Consistency::Session => {
                let remembered = self.state.watermarks.required(request.group, request.session);
                request.watermark.max(remembered)
            }
            Consistency::Bounded(bound) => self.now - bound,
            Consistency::Any => f64::NEG_INFINITY,
        }
    }

    /// Returns whether the rules on data and effects allow another attempt at the endpoint now.
    pub(crate) fn meets_correctness_rules(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        self.has_position(endpoint, request) && self.is_retry_safe(endpoint, request)
    }

    /// Returns whether the endpoint is known to have recent enough data, or checks that itself.
    fn has_position(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let target = self.endpoint(endpoint);
        let is_primary = self.state.replica_sets[target.group()].tracker.is_primary(endpoint);
        self.state.config.endpoints_check_reads
            || is_primary
            || target.position.last_reported() >= self.required_position(request)
    }

    /// Returns whether an attempt at the endpoint can't repeat the effect of an earlier one.
    fn is_retry_safe(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let effect = self.class_of(request).effect();
        let same_site = |earlier| self.endpoint(earlier).site() == self.endpoint(endpoint).site();
        retry::is_safe(self.now, effect, request.possible_effect, same_site)
    }

    /// Returns whether the endpoint may be sent another attempt, for this request.
    pub(crate) fn can_accept(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        self.meets_correctness_rules(endpoint, request) && self.is_available_for(endpoint, request)
    }

    /// Checks the part of [`View::can_accept`] that depends on the endpoint's health and load.
    pub(crate) fn is_available_for(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        self.is_healthy(endpoint, request)
            && self.slow_start_allows(endpoint, request)
            && self.endpoint(endpoint).has_capacity(self.now, 1.0, self.sample_of(request, endpoint))
    }

    /// Returns whether the endpoint is usable and was not full since the request arrived. An ejected endpoint gets only
    /// a trial: an idempotent request, while no other attempt is in flight there.
    fn is_healthy(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let target = self.endpoint(endpoint);
        let is_idempotent = self.class_of(request).effect() == Effect::Idempotent;
        let may_be_trial = target.limit.in_flight() == 0 && is_idempotent;
        // Guards against sending the same request to a full endpoint again and again.
        let was_full = target.limit.full_at() >= request.arrived_at;
        (!target.outlier.is_ejected() || may_be_trial) && self.is_usable(endpoint) && !was_full
    }

    /// Returns the fraction of its full capacity that the endpoint has at least.
    pub(crate) fn capacity_fraction(&self, endpoint: EndpointId) -> f64 {
        self.endpoint(endpoint).slow_start.capacity_fraction(self.now, &self.state.config)
    }

    /// Returns the endpoint's present capacity, in units of a warm endpoint of size 1.
    pub(crate) fn capacity(&self, endpoint: EndpointId) -> f64 {
        throughput::capacity(self.endpoint(endpoint).size(), self.capacity_fraction(endpoint))
    }

    /// Returns the total capacity of those members of a group whose role is known and that are not excluded.
    pub(crate) fn group_capacity(&self, group: GroupId) -> f64 {
        let members = self.state.replica_sets[group].members().iter().copied();
        let present =
            members.filter(|member| !self.state.is_excluded(*member) && self.has_known_role(*member));
        present.map(|member| self.capacity(member)).sum()
    }

    /// Returns whether the endpoint started so recently that it does not have its full capacity yet.
    pub(crate) fn is_warming(&self, endpoint: EndpointId) -> bool {
        self.capacity_fraction(endpoint) < 1.0
    }

    /// Returns whether slow start admits the request, if the endpoint is warming.
    fn slow_start_allows(&self, endpoint: EndpointId, request: &TrackedRequest) -> bool {
        let target = self.endpoint(endpoint);
        let group = &self.state.replica_sets[target.group()];
        let members = group.members().iter();
        let candidate = Candidate {
            is_second_in_a_row: request.last_endpoint == Some(endpoint),
            to_primary: matches!(
                self.class_of(request).consistency(),
                Consistency::Primary | Consistency::Fresh
            ),
            waited_seconds: self.now - request.arrived_at,
            size: target.size(),
            members: members.map(|member| (self.endpoint(*member).size(), self.is_usable(*member))),
            throughput: &group.throughput,
            ticks: self.state.throughput_ticks,
        };
        // Each attempt of a request has its own sample.
        let counter = request.sample_counter + u64::from(request.attempts);
        let sample = || self.state.sampler.sample(counter, endpoint.index());
        target.slow_start.allows(self.now, &self.state.config, candidate, sample)
    }
}
