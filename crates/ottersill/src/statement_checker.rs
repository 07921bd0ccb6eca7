//! Statements of clients: checked, classified, and put as requests to the routing module.

use bytes::Bytes;
use ottersill_config::deployment::Catalog;
use ottersill_routing::Router;
use ottersill_routing::interface::{Request, RoutingConfig, WorkEstimate};
use ottersill_statement::classify;
use ottersill_statement::classify::StatementKind;
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::{CacheKey, FingerprintCache, StatementInfo};
use slog::{Logger, info};
use thiserror::Error;

use crate::discovery::registry::EndpointRegistry;
use crate::in_flight::InFlightRequests;
use crate::protocol::frame::ErrorCode;
use crate::protocol::statement_text::{StatementComment, StatementText, StatementTextError};
use crate::reactor::Context;

/// Between two log lines about statements that may write, in seconds: one line tells as much as all would.
const LOG_INTERVAL: f64 = 1.0;

/// Why a statement is not handed to the routing module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is none of this service's.
    Query(QueryError),
    /// No endpoint list has come yet.
    NoEndpointList,
    /// There is no room for its client.
    NoDescriptor,
}

/// Why a statement is none of this service's. The text of the error is for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QueryError {
    /// Its text lacks something.
    #[error(transparent)]
    Malformed(#[from] StatementTextError),
    /// Its comment names a workload that the settings do not.
    #[error("no workload has the name in c")]
    UnknownWorkload,
    /// Its comment names a replica set that no endpoint is of.
    #[error("no list has named this cluster")]
    UnknownGroup,
    /// Another request of this `id` is in flight.
    #[error("a statement with this id is open")]
    DuplicateId,
    /// It belongs to a session, or is several in one, for that reason.
    #[error("{0}")]
    NotSupported(&'static str),
}

impl QueryError {
    /// The code that the client is told.
    #[must_use]
    pub fn code(&self) -> ErrorCode {
        match self {
            QueryError::Malformed(_) | QueryError::DuplicateId => ErrorCode::ProtocolViolation,
            QueryError::UnknownWorkload | QueryError::UnknownGroup => ErrorCode::Unknown,
            QueryError::NotSupported(_) => ErrorCode::NotSupported,
        }
    }
}

/// A statement that may be handed to the routing module.
pub struct CheckedStatement<'a> {
    /// Its text, as it is sent to endpoints.
    pub text: StatementText,
    /// What its comment says.
    pub comment: StatementComment<'a>,
    /// What is known of its fingerprint.
    pub info: StatementInfo,
    /// The index of its workload.
    workload: usize,
    /// The index of its replica set.
    group: usize,
    /// The longest that its client waits, in seconds.
    pub time_left: f64,
}

impl CheckedStatement<'_> {
    /// What the routing module is told of it. Times are Unix seconds; `since_write` is the time since the commit that the comment
    /// names, by the clock of those that commit.
    pub fn routing_request(&self, deadline: f64, now: f64, since_write: Option<f64>) -> Request {
        Request {
            workload: self.workload,
            group: self.group,
            tenant: None,
            session: self.comment.session,
            time_left: (deadline - now).max(0.0),
            since_write,
            repeat: self.comment.repeat,
            writes: self.info.kind != StatementKind::Read,
            work: self.info.estimate.map(|e| WorkEstimate {
                own: e.work,
                usual: e.typical,
                spread: e.spread,
            }),
        }
    }
}

/// What statements are checked by.
pub struct Surroundings<'a> {
    /// The endpoints and replica sets that lists have named.
    pub endpoints: &'a EndpointRegistry,
    /// The requests in flight.
    pub requests: &'a InFlightRequests,
    /// Whether there is room for the statement's client.
    pub is_admitted: bool,
}

/// Checks statements, and keeps what is known of them by their fingerprints.
pub struct StatementChecker {
    /// Names and terms of the workloads.
    catalog: Catalog,
    /// Keeps to its own budget of bytes.
    fingerprints: FingerprintCache,
    /// When the log last said why a statement was taken for one that may write, in Unix seconds.
    logged_at: f64,
}

impl StatementChecker {
    /// Nothing is known yet of any statement. `now` is in Unix seconds, `bytes` what the cache of fingerprints may take.
    pub fn new(now: f64, catalog: Catalog, routing: &RoutingConfig, bytes: usize) -> StatementChecker {
        let typical_work = routing.workloads.iter().map(Router::typical).collect();
        let fingerprints = FingerprintCache::new(now, Key::from_seed(routing.seed), bytes, typical_work);
        StatementChecker { catalog, fingerprints, logged_at: 0.0 }
    }

    /// Checks a statement.
    ///
    /// # Errors
    /// If it can't be handed to the routing module.
    pub fn check<'a>(
        &mut self,
        text: &'a Bytes,
        surroundings: &Surroundings,
        context: &mut Context,
    ) -> Result<CheckedStatement<'a>, Refusal> {
        let scan = self.fingerprints.scan(text);
        let parsed = StatementText::parse(text, &scan);
        let (statement, comment) = parsed.map_err(|error| Refusal::Query(error.into()))?;
        let workload = self.catalog.workloads.iter().position(|name| name == comment.workload);
        let workload = workload.ok_or(Refusal::Query(QueryError::UnknownWorkload))?;
        let group = find_group(&comment, surroundings)?;
        let info = self.fingerprints.lookup(context.now(), workload, text, scan.fingerprint);
        if let Some(reason) = info.refusal {
            context.counters.session_queries += 1;
            return Err(Refusal::Query(QueryError::NotSupported(reason)));
        }
        if info.kind != StatementKind::Read && self.catalog.reads[workload] {
            context.counters.reads_treated_as_writes += 1;
            self.log_write_classification(workload, text, &info, context);
        }
        let time_left = comment.time_left.min(self.catalog.timeouts[workload]);
        Ok(CheckedStatement { text: statement, comment, info, workload, group, time_left })
    }

    /// Notes for later statements of the same text that an attempt was completed after `elapsed` seconds.
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

    /// Notes for later statements of the same text that a replica rejected it as a write.
    pub fn record_read_only_rejection(&mut self, key: CacheKey) {
        self.fingerprints.record_read_only_rejection(key);
    }

    /// The index of an endpoint stands for another one from now on.
    pub fn forget_endpoint(&mut self, endpoint: usize) {
        self.fingerprints.forget_endpoint(endpoint);
    }

    /// Writes what is counted of fingerprints to the log.
    pub fn log_counters(&self, log: &Logger) {
        let (cache, found) = (&self.fingerprints, self.fingerprints.counts);
        info!(log, "fingerprint cache"; "hits" => found.known, "parsed" => found.parsed,
            "prescanned" => found.prescanned, "replica_refusals" => found.denied, "pages" => cache.entries(), "bytes" => cache.bytes());
    }

    /// Why a statement of a reading workload goes to the primary.
    fn log_write_classification(
        &mut self,
        workload: usize,
        text: &[u8],
        info: &StatementInfo,
        context: &Context,
    ) {
        if context.now() - self.logged_at < LOG_INTERVAL {
            return;
        }
        self.logged_at = context.now();
        let reading = info.key.and_then(|key| self.fingerprints.classification(&key).cloned());
        let reading =
            reading.unwrap_or_else(|| classify::classify_by_prescan(text, &classify::prescan(text)));
        // What an endpoint said of it is not in the text.
        let why = if reading.kind == StatementKind::Read { "replicas reject it" } else { &reading.why };
        info!(context.log, "statement may write"; "reason" => why, "kind" => info.kind.name(),
            "workload" => self.catalog.workloads[workload].as_str(), "so_far" => context.counters.reads_treated_as_writes);
    }
}

/// The replica set that a statement is for, if its client and its id let it be taken in.
fn find_group(comment: &StatementComment, surroundings: &Surroundings) -> Result<usize, Refusal> {
    let Surroundings { endpoints, requests, is_admitted } = *surroundings;
    if endpoints.is_empty() {
        return Err(Refusal::NoEndpointList);
    }
    let group = endpoints.group(comment.cluster);
    let group = group.ok_or(Refusal::Query(QueryError::UnknownGroup))?;
    if !is_admitted {
        return Err(Refusal::NoDescriptor);
    }
    if requests.contains_id(comment.id) {
        // Sent on, it would be taken for a second copy of the one that is in flight.
        return Err(Refusal::Query(QueryError::DuplicateId));
    }
    Ok(group)
}
