//! What passes between [`Router`](crate::Router) and whoever fronts it. Nothing here decides.
//!
//! All times are seconds. `now` is any clock that never goes back; a log position (`lsn`) is the time on that
//! same clock up to which a member holds every commit. Hosts, groups, workloads, sites, tenants and
//! statements are small indices that the front hands out; a statement's index is free again once the statement
//! has its final answer and no execution of it is out.

/// How often a statement may take effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May run again.
    Idempotent,
    /// Repeats are dropped among the hosts of `within`, for `window` seconds after the first execution.
    Deduplicated { within: Within, window: f64 },
    /// Must never run twice.
    NonIdempotent,
}

/// The hosts among which a repeat of a deduplicated statement is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Within {
    Everywhere,
    Site,
    Group,
}

/// What data a workload needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Needs {
    /// The primary, for a write.
    Primary,
    /// All commits made before the statement arrived.
    Fresh,
    /// The writes of its own session.
    Session,
    /// Data at most this old when an execution is sent.
    Bounded(f64),
    /// Whatever a member holds.
    Any,
}

/// One workload's row of the terms.
#[derive(Clone, Debug)]
pub struct Workload {
    pub needs: Needs,
    pub effect: Effect,
    pub importance: f64,
    /// Share of the importance that an answer after the SLO time still earns.
    pub late_share: f64,
    pub slo_time: f64,
    pub statement_timeout: f64,
}

impl Workload {
    /// How old the data of a bounded read may be.
    pub fn bound(&self) -> Option<f64> {
        match self.needs {
            Needs::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// Where load reports travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    WithAnswers,
    WithProbes,
    Nowhere,
}

/// What the router is told when it starts.
#[derive(Clone, Debug)]
pub struct Terms {
    pub seed: u64,
    pub routers: usize,
    pub site: Option<usize>,
    pub workloads: Vec<Workload>,
    /// Statements a second, over all routers, that lie within each tenant's share.
    pub tenant_rates: Vec<f64>,
    /// What a statement above its tenant's share is worth, as a part of its importance.
    pub over_share: f64,
    pub reports: Reports,
    /// Members turn away a read for which they lag too far, rather than answer it from old data.
    pub members_check_reads: bool,
    /// A session's last write is not told with its reads: the router has to remember it.
    pub remembers_writes: bool,
    /// The host list comes only on asking.
    pub list_on_request: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub max_executions: u32,
    pub max_retry_after: f64,
    /// Only a host seen draining is barred; one that is merely gone from the list is not.
    pub only_draining_bars: bool,
    /// A started host has at least this part of its capacity, and all of it after `warm_after`.
    pub cold_part: f64,
    pub warm_after: f64,
    /// A cold host that is sent `fall_multiple` of what it can do for `fall_span` falls over.
    pub fall_multiple: f64,
    pub fall_span: f64,
}

/// What a statement's shape is known to cost, in seconds of a host's work.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub own: f64,
    /// The same of a usual statement of its workload.
    pub usual: f64,
    /// How far off `own` may be: the standard error of its logarithm.
    pub spread: f64,
}

/// A statement as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    pub workload: usize,
    pub group: usize,
    pub tenant: Option<usize>,
    pub session: Option<u64>,
    /// Seconds until the client gives this try up.
    pub time_left: f64,
    /// Seconds since the session's last write was committed, where that is told.
    pub since_write: Option<f64>,
    /// The client marked this as a repeat.
    pub repeat: bool,
    /// Its text may write, whatever its workload is said to do.
    pub writes: bool,
    /// Nothing where texts are not read, or the shape is not known yet.
    pub work: Option<Work>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Completed,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    /// The member is not the one for it: no primary, or too far behind.
    Miss,
    /// The member only reads, and the text writes. A member that tells no difference says `Miss`.
    ReadOnly,
}

impl Ending {
    /// True if the ending proves that the execution had no effect.
    pub fn never_ran(self) -> bool {
        use Ending::*;
        matches!(self, Full | ConnectFailed | NeverSent | Miss | ReadOnly)
    }
}

/// What a member said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub role: Option<Role>,
    pub lsn: Option<f64>,
    /// The part of its cores that is busy, by all that it does.
    pub busy: Option<f64>,
}

/// The end of one execution.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub stmt: usize,
    pub host: usize,
    pub ending: Ending,
    pub took: f64,
    /// The statement has its final answer, by this outcome or an earlier one.
    pub closed: bool,
    /// What the answer itself showed; for a completed write the position is its commit.
    pub note: Report,
    pub report: Option<Report>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// A line of the host list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    pub host: usize,
    /// An opaque number, the same for a host at every router, as the indices are not.
    pub order: u64,
    pub group: usize,
    pub site: Option<usize>,
    pub size: f64,
    pub standing: Standing,
    /// When the host last started; `None` means long ago.
    pub started_at: Option<f64>,
}

/// What this router may use of the fleet's budgets at a host; nothing where there is no such budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Part {
    pub host: usize,
    /// Executions that it may have out there.
    pub units: Option<f64>,
    /// Executions that it may send there now while the host is cold.
    pub tokens: Option<f64>,
}

/// This router's parts of the fleet's budgets, as they are now.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    pub hosts: Vec<Part>,
    /// Routers that are there, as the fleet knows them.
    pub routers: Option<usize>,
    /// Second tries that it may send now, where there is a budget for these.
    pub second_tries: Option<f64>,
}

/// Carries out what the router decides.
pub trait Front {
    /// Sends an execution; `time_out` of 0 leaves it out until the client gives up.
    fn execute(&mut self, stmt: usize, host: usize, time_out: f64);
    /// Final answer: nothing ran, trying again in `retry_after` seconds is harmless.
    fn reject(&mut self, stmt: usize, retry_after: f64);
    /// Final answer that promises nothing.
    fn abort(&mut self, stmt: usize);
    /// Stops waiting for the execution with that number; its outcome still comes.
    fn cancel(&mut self, stmt: usize, execution: u32);
    fn probe(&mut self, host: usize);
    /// Asks for one call of `Router::timer`, in `after` seconds.
    fn wake(&mut self, after: f64);
    /// Asks that the host list and its changes be sent from now on.
    fn follow(&mut self);
    fn log(&mut self, text: &str);
}
