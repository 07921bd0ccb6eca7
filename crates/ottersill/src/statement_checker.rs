//! Checks and classifies the statements of clients, and turns them into requests for the routing module.

use bytes::Bytes;
use ottersill_config::deployment::DeploymentNames;
use ottersill_routing::Router;
use ottersill_routing::interface::{Request, RoutingConfig, WorkEstimate};
use ottersill_routing::statement_ids::{HeldId, IdConflict, StatementIds};
use ottersill_statement::classify;
use ottersill_statement::classify::StatementKind;
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::{CacheKey, FingerprintCache, StatementInfo};
use slog::{Logger, info};
use thiserror::Error;

use crate::client::pipelining::ReadAheadId;
use crate::discovery::registry::EndpointRegistry;
use crate::log_throttle::LogThrottle;
use crate::protocol::frame::ErrorCode;
use crate::protocol::statement_text::{StatementComment, StatementText, StatementTextError};
use crate::reactor::Context;

/// Why a statement is not passed to the routing module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The query is not a statement that this service accepts.
    Query(QueryError),
    /// Its id can't be used for it.
    Id {
        /// The number of the id.
        id: u64,
        /// Why it can't be used.
        conflict: IdConflict,
    },
    /// No endpoint list has arrived yet.
    NoEndpointList,
    /// No descriptor is left for its client.
    NoDescriptor,
}

/// Why a query is not a statement that this service accepts. The text of the error is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QueryError {
    /// Its text or its comment is malformed.
    #[error(transparent)]
    Malformed(#[from] StatementTextError),
    /// Its comment names a workload that is not in the settings.
    #[error("no workload has the name in c")]
    UnknownWorkload,
    /// Its comment names a replica set to which no endpoint belongs.
    #[error("no list has named this cluster")]
    UnknownGroup,
    /// Another statement with the same `id` has been read and is not answered.
    #[error("a statement with this id is open")]
    DuplicateId,
    /// A write with the same `id` has run or may have run.
    #[error("aborted: a statement with this id may have run")]
    MayHaveRun,
    /// It depends on session state, or consists of several statements; the text gives the reason.
    #[error("{0}")]
    NotSupported(&'static str),
}

impl QueryError {
    /// Returns the error code that is sent to the client.
    #[must_use]
    pub fn code(&self) -> ErrorCode {
        match self {
            QueryError::Malformed(_) | QueryError::DuplicateId => ErrorCode::ProtocolViolation,
            QueryError::MayHaveRun => ErrorCode::CompletionUnknown,
            QueryError::UnknownWorkload | QueryError::UnknownGroup => ErrorCode::Unknown,
            QueryError::NotSupported(_) => ErrorCode::NotSupported,
        }
    }
}

impl From<IdConflict> for QueryError {
    fn from(conflict: IdConflict) -> QueryError {
        match conflict {
            IdConflict::Held => QueryError::DuplicateId,
            IdConflict::MayHaveRun => QueryError::MayHaveRun,
        }
    }
}

/// A statement that may be passed to the routing module.
pub struct CheckedStatement<'a> {
    /// The statement as it is sent to endpoints.
    pub text: StatementText,
    /// The fields of its comment.
    pub comment: StatementComment<'a>,
    /// Its id, which no other statement may use.
    pub held_id: HeldId,
    /// What is known about its fingerprint.
    pub info: StatementInfo,
    /// The index of its workload.
    workload: usize,
    /// The index of its replica set.
    group: usize,
    /// The longest time that its client waits, in seconds.
    pub time_left: f64,
}

impl CheckedStatement<'_> {
    /// Returns the request to pass to the routing module. `deadline` and `now` are Unix seconds; `seconds_since_write` is the
    /// time in seconds since the commit that the comment names, by the clock of the endpoints that commit.
    pub fn routing_request(&self, deadline: f64, now: f64, seconds_since_write: Option<f64>) -> Request {
        Request {
            workload: self.workload,
            group: self.group,
            tenant: None,
            session: self.comment.session,
            time_left: (deadline - now).max(0.0),
            seconds_since_write,
            is_flagged_retry: self.comment.is_flagged_retry,
            may_write: self.info.kind != StatementKind::Read,
            work: self.info.estimate.map(|e| WorkEstimate {
                fingerprint_seconds: e.work_seconds,
                workload_seconds: e.typical_work_seconds,
                log_standard_error: e.log_standard_error,
            }),
        }
    }
}

/// The state against which a statement is checked.
pub struct CheckContext<'a> {
    /// The known endpoints and replica sets.
    pub endpoints: &'a EndpointRegistry,
    /// The ids of all statements.
    pub statement_ids: &'a StatementIds,
    /// The id of the statement, if it was read ahead.
    pub read_ahead_id: Option<ReadAheadId>,
    /// Whether the statement's client is admitted.
    pub is_admitted: bool,
}

/// Checks statements, and caches what is known about them by their fingerprints.
pub struct StatementChecker {
    /// The names and settings of the workloads.
    names: DeploymentNames,
    /// What is known about fingerprints, within a limit on its memory.
    fingerprints: FingerprintCache,
    /// Limits the log lines about reads treated as writes.
    write_classifications: LogThrottle,
}

impl StatementChecker {
    /// Creates a checker with an empty fingerprint cache. `now` is in Unix seconds, `bytes` is the memory limit of the cache.
    pub fn new(now: f64, names: DeploymentNames, routing: &RoutingConfig, bytes: usize) -> StatementChecker {
        let typical_work = routing.workloads.iter().map(Router::initial_latency).collect();
        let fingerprints = FingerprintCache::new(now, Key::from_seed(routing.seed), bytes, typical_work);
        StatementChecker { names, fingerprints, write_classifications: LogThrottle::default() }
    }

    /// Checks a statement.
    ///
    /// # Errors
    /// If it can't be passed to the routing module.
    pub fn check<'a>(
        &mut self,
        text: &'a Bytes,
        check_context: CheckContext,
        context: &mut Context,
    ) -> Result<CheckedStatement<'a>, Refusal> {
        let scan = self.fingerprints.scan(text);
        let parsed = StatementText::parse(text, &scan);
        let (statement, comment) = parsed.map_err(|error| Refusal::Query(error.into()))?;
        let workload = self.names.workloads.iter().position(|name| name == comment.workload);
        let workload = workload.ok_or(Refusal::Query(QueryError::UnknownWorkload))?;
        let group = find_group(&comment, &check_context)?;
        let held_id = hold_id(comment.id, check_context, context.now())?;
        let info = self.fingerprints.lookup(context.now(), workload, text, scan.fingerprint);
        if let Some(reason) = info.refusal {
            context.counters.session_queries += 1;
            return Err(Refusal::Query(QueryError::NotSupported(reason)));
        }
        if info.kind != StatementKind::Read && self.names.is_read_only[workload] {
            context.counters.reads_treated_as_writes += 1;
            self.log_write_classification(workload, text, &info, context);
        }
        let time_left = comment.time_left.min(self.names.statement_timeouts[workload]);
        Ok(CheckedStatement { text: statement, comment, held_id, info, workload, group, time_left })
    }

    /// Records, for later statements with the same fingerprint, that an attempt was completed after `elapsed` seconds.
    pub fn record_completion(
        &mut self,
        now: f64,
        key: CacheKey,
        endpoint: usize,
        elapsed: f64,
        at_replica: bool,
    ) {
        self.fingerprints.record_completion(now, key, endpoint, elapsed, at_replica);
    }

    /// Records, for later statements with the same fingerprint, that a replica rejected an attempt as a write.
    pub fn record_read_only_rejection(&mut self, key: CacheKey) {
        self.fingerprints.record_read_only_rejection(key);
    }

    /// Discards what is known about an endpoint, as its index may be given to another endpoint.
    pub fn forget_endpoint(&mut self, endpoint: usize) {
        self.fingerprints.forget_endpoint(endpoint);
    }

    /// Writes the counters of the fingerprint cache to the log.
    pub fn log_counters(&self, log: &Logger) {
        let (cache, found) = (&self.fingerprints, self.fingerprints.counts);
        info!(log, "fingerprint cache"; "hits" => found.hits, "parsed" => found.parsed,
            "prescanned" => found.prescanned, "replica_refusals" => found.read_only_rejections,
            "pages" => cache.entries(), "bytes" => cache.bytes());
    }

    /// Logs why a statement of a read workload is sent to the primary.
    fn log_write_classification(
        &mut self,
        workload: usize,
        text: &[u8],
        info: &StatementInfo,
        context: &Context,
    ) {
        if self.write_classifications.admit(context.now()).is_none() {
            return;
        }
        let classification = info.key.and_then(|key| self.fingerprints.classification(&key).cloned());
        let classification =
            classification.unwrap_or_else(|| classify::classify_by_prescan(text, &classify::prescan(text)));
        // A text that classifies as a read is treated as a write only because replicas have rejected it.
        let is_read = classification.kind == StatementKind::Read;
        let reason = if is_read { "replicas reject it" } else { &classification.reason };
        info!(context.log, "statement may write"; "reason" => reason, "kind" => info.kind.name(),
            "workload" => self.names.workloads[workload].as_str(), "so_far" => context.counters.reads_treated_as_writes);
    }
}

/// Returns the replica set of a statement, if its client allows it to be accepted.
fn find_group(comment: &StatementComment, check_context: &CheckContext) -> Result<usize, Refusal> {
    if check_context.endpoints.is_empty() {
        return Err(Refusal::NoEndpointList);
    }
    let group = check_context.endpoints.group(comment.cluster);
    let group = group.ok_or(Refusal::Query(QueryError::UnknownGroup))?;
    if !check_context.is_admitted {
        return Err(Refusal::NoDescriptor);
    }
    Ok(group)
}

/// Returns the id of a statement, held for it. Endpoints would treat a second statement with the id as another attempt of the
/// first.
fn hold_id(id: u64, check_context: CheckContext, now: f64) -> Result<HeldId, Refusal> {
    let CheckContext { statement_ids, read_ahead_id, .. } = check_context;
    let read_ahead = read_ahead_id.filter(|read_ahead| read_ahead.id == id);
    let held = read_ahead.map_or_else(|| statement_ids.hold(now, id), |read_ahead| read_ahead.held);
    held.map_err(|conflict| Refusal::Id { id, conflict })
}
