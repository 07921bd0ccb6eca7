//! What passes between [`Router`](crate::Router) and its caller. Nothing here decides.
//!
//! All times are seconds. `now` is any clock that never goes back; a position in the replication log (`lsn`) is the time on
//! that same clock up to which an endpoint has every commit. Endpoints, groups, workloads, sites, tenants and
//! requests are small, dense indices that the caller hands out; a request's index is free again once the request
//! has its final answer and no attempt of it is in flight.

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May run again.
    Idempotent,
    /// It has an idempotency key: repeats are dropped for a time.
    Deduplicated {
        /// Among which endpoints.
        within: DeduplicationScope,
        /// Seconds after the first attempt.
        window: f64,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The endpoints among which a repeat of a deduplicated request is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    Everywhere,
    /// Those of one site.
    Site,
    /// Those of one group.
    Group,
}

/// What data a workload needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Consistency {
    /// The primary, for a write.
    Primary,
    /// All commits made before the request arrived.
    Fresh,
    /// The writes of its own session.
    Session,
    /// Data at most this many seconds old when an attempt is sent.
    Bounded(f64),
    /// Whatever an endpoint holds.
    Any,
}

/// The settings of one workload.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// What data it needs.
    pub needs: Consistency,
    /// How often a request of it may take effect.
    pub effect: Effect,
    /// Priority weight: what an answer in time is worth.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the SLO time still earns.
    pub late_share: f64,
    /// Seconds from a client's first try within which an answer is in time.
    pub slo_time: f64,
    /// Seconds that a client gives a first try at most.
    pub statement_timeout: f64,
}

impl RequestClass {
    /// How old the data of a bounded read may be, in seconds; `None` if it is no bounded read.
    #[must_use]
    pub fn bound(&self) -> Option<f64> {
        match self.needs {
            Consistency::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// Where load reports travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With answers, and with health checks.
    WithAnswers,
    /// With health checks alone.
    WithHealthChecks,
    /// There are none.
    Nowhere,
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// How many routers there are.
    pub routers: usize,
    /// The router's own site.
    pub site: Option<usize>,
    /// All workloads; requests name them by their index.
    pub workloads: Vec<RequestClass>,
    /// Requests a second, over all routers, that lie within each tenant's share.
    pub tenant_rates: Vec<f64>,
    /// What a request above its tenant's share is worth, as a part of its priority weight.
    pub over_share: f64,
    /// Where load reports travel.
    pub reports: ReportSource,
    /// Endpoints reject a read for which they lag too far, rather than answer it from old data.
    pub endpoints_check_reads: bool,
    /// A session's last write is not told with its reads: the router has to remember it.
    pub remembers_writes: bool,
    /// The endpoint list comes only on asking.
    pub list_on_request: bool,
    /// Health checks may be sent.
    pub may_check_health: bool,
    /// Attempts may be cancelled.
    pub may_cancel_attempts: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Most seconds that a rejected client may be told to stay away.
    pub max_retry_after: f64,
    /// Only an endpoint seen draining is excluded; one that is merely gone from the list is not.
    pub only_draining_bars: bool,
    /// An endpoint that was just started has at least this part of its capacity.
    pub initial_capacity_fraction: f64,
    /// Seconds after its start from which on an endpoint has all of its capacity.
    pub warmup: f64,
    /// A warming endpoint that is sent this multiple of what it can do, for `fall_span`, falls over.
    pub overload_multiple: f64,
    /// Seconds, see `fall_multiple`.
    pub overload_span: f64,
}

/// What requests with one fingerprint are known to cost, in seconds of an endpoint's work.
#[derive(Clone, Copy, Debug)]
pub struct WorkEstimate {
    /// Of a request with this fingerprint.
    pub own: f64,
    /// Of a usual request of its workload.
    pub usual: f64,
    /// How far off `own` may be: the standard error of its logarithm.
    pub spread: f64,
}

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of its workload in the settings.
    pub workload: usize,
    /// The group that it is for.
    pub group: usize,
    /// Its tenant, where there are tenants.
    pub tenant: Option<usize>,
    /// Its session, where there are sessions.
    pub session: Option<u64>,
    /// Seconds until the client gives this try up.
    pub time_left: f64,
    /// Seconds since the session's last write was committed, where that is told; negative if the commit lies ahead of the
    /// router's time.
    pub since_write: Option<f64>,
    /// The client marked this as a repeat.
    pub repeat: bool,
    /// Its text may write, whatever its workload is said to do.
    pub writes: bool,
    /// `None` where texts are not read, or the fingerprint is not known yet.
    pub work: Option<WorkEstimate>,
}

/// What an endpoint is in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary, and serves reads.
    Replica,
}

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered in full.
    Completed,
    /// It was answered with an error that proves nothing of its effect.
    Error,
    /// The endpoint rejected it because it was full.
    Refused,
    /// It was not answered in time.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke after it was sent.
    Reset,
    /// It was cancelled by the router.
    Cancelled,
    /// It never left this router.
    NeverSent,
    /// The endpoint is not the one for it: no primary, or too far behind.
    WrongEndpoint,
    /// The endpoint only reads, and the text writes. An endpoint that tells no difference says `WrongEndpoint`.
    ReadOnly,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt had no effect.
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

/// What an endpoint said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Its role.
    pub role: Option<Role>,
    /// Its position in the replication log.
    pub lsn: Option<f64>,
    /// Its utilization: the part of its cores that is busy, by all that it does.
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
    /// The request has its final answer, by this result or an earlier one.
    pub closed: bool,
    /// What the answer itself showed; for a completed write the position is its commit.
    pub observed: LoadReport,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// The state of an endpoint by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It may be sent requests.
    #[default]
    Ready,
    /// It finishes what it has, and gets nothing new.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: usize,
    /// An opaque number, the same for an endpoint at every router, as the indices are not.
    pub order: u64,
    /// Its group.
    pub group: usize,
    /// Its site, where sites are told.
    pub site: Option<usize>,
    /// Its capacity relative to others.
    pub size: f64,
    /// Its state.
    pub state: EndpointState,
    /// When the endpoint last started; `None` means long ago.
    pub started_at: Option<f64>,
}

/// What this router may use of the fleet's budgets at an endpoint; `None` where there is no such budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointQuota {
    /// The endpoint.
    pub endpoint: usize,
    /// Attempts that it may have in flight there.
    pub units: Option<f64>,
    /// Attempts that it may send there now while the endpoint warms up.
    pub tokens: Option<f64>,
}

/// This router's parts of the fleet's budgets, as they are now.
#[derive(Clone, Debug, Default)]
pub struct FleetQuota {
    /// Its parts at endpoints.
    pub endpoints: Vec<EndpointQuota>,
    /// Routers that are there, as the fleet knows them.
    pub routers: Option<usize>,
    /// Retries of attempts that may have run that it may send now, where there is a budget for these.
    pub retries: Option<f64>,
}

/// What a router has looked at since it started, beside what each call names. It goes by the traffic and by what changes,
/// not by the size of the fleet: a figure that grows with the number of endpoints is a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Groups visited by timer calls, and by endpoint lists and quotas for what waits there.
    pub groups: u64,
    /// Groups whose members were looked at for a health check.
    pub polls: u64,
    /// Requests looked at by timer calls.
    pub requests: u64,
    /// Watermarks of sessions looked at by timer calls.
    pub watermarks: u64,
}

/// Carries out what a [`Router`](crate::Router) decides.
pub trait Transport {
    /// Sends an attempt; after `time_out` seconds it counts as not answered, 0 means when its client gives up.
    fn start_attempt(&mut self, request: usize, endpoint: usize, timeout: f64);
    /// Final answer: nothing took effect, trying again in `retry_after` seconds is harmless.
    fn reject(&mut self, request: usize, retry_after: f64);
    /// Final answer that promises nothing.
    fn abort(&mut self, request: usize);
    /// Cancels the request's attempt with that number, counted from 0; its result still comes.
    fn cancel_attempt(&mut self, request: usize, attempt: u32);
    /// Sends a health check.
    fn start_health_check(&mut self, endpoint: usize);
    /// Asks for one call of `Router::timer`, in `after` seconds.
    fn schedule_tick(&mut self, after: f64);
    /// Asks that the endpoint list and its changes be sent from now on.
    fn request_endpoint_list(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
