//! Types that pass between [`Router`](crate::Router) and its caller. This module makes no decisions.
//!
//! All times are in seconds. `now` is read from any clock that never goes back; a position in the replication log
//! (`lsn`) is the time on that same clock up to which an endpoint has every commit. Endpoints, groups, workloads,
//! sites, tenants and requests are small, dense indices that the caller assigns; a request's index is free again once
//! the request has its final answer and no attempt of it is in flight.

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May run more than once.
    Idempotent,
    /// Carries an idempotency key: repeats are dropped for a limited time.
    Deduplicated {
        /// Endpoints among which a repeat is recognized.
        within: DeduplicationScope,
        /// Seconds after the first attempt during which repeats are dropped.
        window: f64,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The endpoints among which a repeat of a deduplicated request is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    Everywhere,
    /// The endpoints of one site.
    Site,
    /// The endpoints of one group.
    Group,
}

/// The data that a workload needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    /// The data of the primary, for a write.
    Primary,
    /// All commits made before the request arrived.
    Fresh,
    /// The writes of its own session.
    Session,
    /// Data that are at most this many seconds old when an attempt is sent.
    Bounded(f64),
    /// Whatever data an endpoint holds.
    Any,
}

/// Settings of one workload.
#[derive(Clone, Debug)]
pub struct WorkloadSettings {
    /// The data that it needs.
    pub consistency: Consistency,
    /// How often one of its requests may take effect.
    pub effect: Effect,
    /// Priority weight: the value of an answer in time.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the SLO time still earns.
    pub late_value_fraction: f64,
    /// Seconds from a client's first attempt within which an answer is in time.
    pub slo_time: f64,
    /// Longest time in seconds that a client allows for a first attempt.
    pub statement_timeout: f64,
}

impl WorkloadSettings {
    /// Returns the staleness bound in seconds; `None` if the workload is not a bounded read.
    #[must_use]
    pub fn bound(&self) -> Option<f64> {
        match self.consistency {
            Consistency::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What carries load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Answers and health checks.
    WithAnswers,
    /// Health checks alone.
    WithHealthChecks,
    /// There are no load reports.
    NoReports,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// The router's own site.
    pub site: Option<usize>,
    /// All workloads; requests refer to them by index.
    pub workloads: Vec<WorkloadSettings>,
    /// Requests per second, summed over all routers, that are within each tenant's share.
    pub tenant_rates: Vec<f64>,
    /// Value of a request above its tenant's share, as a fraction of its priority weight.
    pub over_share_factor: f64,
    /// What carries load reports.
    pub reports: ReportSource,
    /// Whether endpoints reject a read for which they lag too far, instead of answering it from old data.
    pub endpoints_check_reads: bool,
    /// Whether the router has to remember the last write of each session, because reads don't state it.
    pub must_remember_writes: bool,
    /// Whether the endpoint list is sent only on request.
    pub list_on_request: bool,
    /// Whether health checks may be sent.
    pub may_check_health: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel_attempts: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Maximum number of seconds that a rejected client may be told to wait before it retries.
    pub max_retry_after: f64,
    /// Whether only endpoints that were listed as draining are excluded, and not those that are merely gone from the
    /// list.
    pub only_draining_excludes: bool,
    /// Fraction of its full capacity that an endpoint has at least when it has just started.
    pub initial_capacity_fraction: f64,
    /// Seconds after its start from which on an endpoint has its full capacity.
    pub warmup_seconds: f64,
    /// Multiple of its present capacity that makes a warming endpoint fail if it is sent this for `overload_seconds`.
    pub overload_multiple: f64,
    /// Duration of that overload in seconds, see `overload_multiple`.
    pub overload_seconds: f64,
}

/// Estimated cost of the requests with one fingerprint, in seconds of an endpoint's work.
#[derive(Clone, Copy, Debug)]
pub struct WorkEstimate {
    /// Cost of a request with this fingerprint.
    pub fingerprint_seconds: f64,
    /// Cost of a usual request of its workload.
    pub workload_seconds: f64,
    /// Uncertainty of `fingerprint_seconds`: the standard error of its logarithm.
    pub log_standard_error: f64,
}

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of its workload in the settings.
    pub workload: usize,
    /// The group that it is sent to.
    pub group: usize,
    /// Its tenant, if there are tenants.
    pub tenant: Option<usize>,
    /// Its session, if there are sessions.
    pub session: Option<u64>,
    /// Seconds until the client gives up on this attempt.
    pub time_left: f64,
    /// Seconds since the session's last write was committed, if the client states it; negative if the commit lies ahead
    /// of the router's time.
    pub seconds_since_write: Option<f64>,
    /// Whether the client flagged this as a retry.
    pub is_flagged_retry: bool,
    /// Whether its text may write, regardless of its workload's settings.
    pub may_write: bool,
    /// Estimated cost; `None` where texts are not read, or while the fingerprint is unknown.
    pub work: Option<WorkEstimate>,
}

/// Role of an endpoint in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows the primary and serves reads.
    Replica,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered in full.
    Completed,
    /// Answered with an error, after which its effect is unknown.
    Error,
    /// Rejected by the endpoint because it was full.
    Refused,
    /// Not answered in time.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke after it was sent.
    Reset,
    /// Cancelled by the router.
    Cancelled,
    /// It never left this router.
    NeverSent,
    /// Sent to the wrong endpoint: one that is not the primary, or that lags too far.
    WrongEndpoint,
    /// The endpoint only serves reads, and the text writes. An endpoint that doesn't distinguish the two cases reports
    /// `WrongEndpoint`.
    ReadOnly,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt had no effect.
    #[must_use]
    pub fn had_no_effect(self) -> bool {
        match self {
            AttemptOutcome::Refused
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NeverSent
            | AttemptOutcome::WrongEndpoint
            | AttemptOutcome::ReadOnly => true,
            AttemptOutcome::Completed
            | AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => false,
        }
    }
}

/// What an endpoint reports about itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Its role.
    pub role: Option<Role>,
    /// Its position in the replication log.
    pub lsn: Option<f64>,
    /// Its utilization: the fraction of its cores that is busy with any work.
    pub utilization: Option<f64>,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: usize,
    /// The endpoint that the attempt was sent to.
    pub endpoint: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Seconds from its start to its end.
    pub elapsed: f64,
    /// Whether the request has its final answer, by this result or an earlier one.
    pub has_final_answer: bool,
    /// The role and the position that the answer itself shows; for a completed write, the position of its commit.
    pub observed: LoadReport,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// State of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// May be sent requests.
    #[default]
    Ready,
    /// Finishes the requests that it has, and is sent no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: usize,
    /// An opaque number that is the same for an endpoint at every router, unlike its index.
    pub order: u64,
    /// Its group.
    pub group: usize,
    /// Its site, if sites are known.
    pub site: Option<usize>,
    /// Its capacity relative to that of other endpoints.
    pub size: f64,
    /// Its state.
    pub state: EndpointState,
    /// When the endpoint last started; `None` if that was long ago.
    pub started_at: Option<f64>,
}

/// The quotas that the fleet grants this router at one endpoint; `None` where the fleet has no such budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointQuota {
    /// The endpoint.
    pub endpoint: usize,
    /// Attempts that the router may have in flight there.
    pub in_flight_quota: Option<f64>,
    /// Attempts that the router may send there now while the endpoint warms up.
    pub tokens: Option<f64>,
}

/// The quotas that the fleet grants this router, as of now.
#[derive(Clone, Debug, Default)]
pub struct FleetQuota {
    /// The quotas at endpoints.
    pub endpoints: Vec<EndpointQuota>,
    /// Number of routers that are present, as far as the fleet knows.
    pub routers: Option<usize>,
    /// Retries of attempts that may have run that the router may send now; `None` if there is no budget for these.
    pub retries: Option<f64>,
}

/// Counts of what a router has examined since it started, beyond what each call names. They depend on the traffic and
/// on what changes, not on the size of the fleet: a count that grows with the number of endpoints is a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Groups visited by ticks, and by endpoint lists and quotas in order to dispatch waiting requests.
    pub groups: u64,
    /// Groups whose members were examined for a health check.
    pub polls: u64,
    /// Requests examined by ticks.
    pub requests: u64,
    /// Watermarks of sessions examined by ticks.
    pub watermarks: u64,
}

/// Carries out the decisions of a [`Router`](crate::Router).
pub trait Transport {
    /// Sends an attempt that times out after `timeout` seconds; 0 means that it times out when its client does.
    fn start_attempt(&mut self, request: usize, endpoint: usize, timeout: f64);
    /// Gives the final answer that nothing took effect, and that the client may safely retry in `retry_after` seconds.
    fn reject(&mut self, request: usize, retry_after: f64);
    /// Gives the final answer that the request failed, and may or may not have taken effect.
    fn abort(&mut self, request: usize);
    /// Cancels the request's attempt with that number, counted from 0; its result is still reported.
    fn cancel_attempt(&mut self, request: usize, attempt: u32);
    /// Sends a health check.
    fn start_health_check(&mut self, endpoint: usize);
    /// Schedules one call of `Router::on_tick`, in `after` seconds.
    fn schedule_tick(&mut self, after: f64);
    /// Requests that the endpoint list and its changes be sent from now on.
    fn request_endpoint_list(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
