//! Counters of what was accepted, sent and answered, logged on SIGUSR1 and at exit. Their number is fixed, and counters
//! never decrease.

use std::fmt;

/// Declares the counters, each with its name, which operators see too, and a description.
macro_rules! counters {
    ($($field:ident: $counts:literal,)*) => {
        /// All counters. `Display` writes each as `name=value`.
        #[derive(Clone, Debug, Default)]
        pub struct Counters {
            $(#[doc = $counts] pub $field: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                let mut separator = "";
                $(
                    write!(f, "{separator}{}={}", stringify!($field), self.$field)?;
                    separator = " ";
                )*
                Ok(())
            }
        }
    };
}

counters! {
    client_connections: "Client connections accepted.",
    client_connections_rejected: "Client connections rejected because no descriptor, or no memory for their startup, was left.",
    client_connections_unwatched: "Client connections closed because they could not be registered at the event loop.",
    clients_deferred: "Times that messages of a client were left to a later iteration, as it had its share of one.",
    encryption_requests_repeated: "Client connections rejected because they repeated a request for encryption.",
    accepts_failed: "Failed calls of `accept`.",
    client_connections_closed_idle: "Client connections closed between statements, because they were idle or to make room.",
    client_protocol_errors: "Client connections that violated the protocol.",
    empty_queries: "Empty queries.",
    invalid_queries: "Queries that are not a statement that this service accepts.",
    duplicate_ids_refused: "Statements refused because their id belongs to another one that is open, or that may have run.",
    session_queries: "Queries refused because they depend on session state, or consist of several statements.",
    statements: "Statements accepted.",
    rejected_without_endpoint_list: "Statements rejected because no endpoint list had arrived yet.",
    rejected_without_memory: "Statements rejected because no memory was left to read them.",
    reads_treated_as_writes: "Statements of a read workload treated as writes, because they may write.",
    completed: "Statements answered with an endpoint's result.",
    rejected: "Statements answered with a rejection.",
    aborted: "Statements answered with an abort.",
    answers_late: "Statements answered over 50 ms after their client stopped waiting.",
    statements_abandoned: "Statements whose client disconnected before the answer.",
    attempts: "Attempts started.",
    attempts_completed: "Attempts with a result.",
    attempts_error: "Attempts that ended in an error.",
    attempts_refused: "Attempts that the endpoint refused because it was full.",
    attempts_wrong_endpoint: "Attempts rejected by an endpoint that is not the right one for the statement.",
    attempts_read_only: "Attempts of a write rejected by a read-only endpoint.",
    attempts_timed_out: "Attempts not answered in time.",
    attempts_connect_failed: "Attempts whose connection could not be established, or failed before they were fully sent.",
    attempts_connection_reset: "Attempts whose connection failed after they were fully sent.",
    attempts_cancelled: "Attempts cancelled so that the request can be retried.",
    attempts_not_sent: "Attempts that were not sent.",
    backend_connections_opened: "Backend connections opened.",
    backend_connections_failed: "Backend connections that could not be established.",
    connect_timeouts_extended: "Times that a backend connection got more time to come up, as this router was late itself.",
    backend_connections_closed_idle: "Backend connections closed because they were idle.",
    backend_connections_closed_by_endpoint: "Backend connections that the endpoint closed while they were idle.",
    attempts_without_descriptor: "Attempts for which no descriptor was left.",
    backend_protocol_errors: "Backend connections closed because the endpoint violated the protocol.",
    backend_answers_unsolicited: "Of these, connections on which an answer arrived that belongs to no query.",
    health_checks: "Health checks started.",
    health_checks_failed: "Health checks that ended without a load report.",
    fleet_quota_refusals: "Attempts, health checks and connections not started because the fleet's budgets had no quota left.",
    reloads: "Configurations applied on SIGHUP.",
    reloads_failed: "Configurations that could not be loaded on SIGHUP.",
    endpoint_lists: "Endpoint lists received, complete or partial.",
    discovery_calls: "Discovery calls begun, each with a connection.",
    discovery_calls_failed: "Discovery calls that failed or were not answered in the expected time.",
    discovery_answers_slow: "Answers of discovery that took half a second or more.",
    discovery_answers_superseded: "Answers of discovery that were passed over, as a newer list was known.",
    log_lines_dropped: "Log lines dropped because standard output did not accept them fast enough.",
    invariant_violations: "Invariant violations.",
}

impl Counters {
    /// Checks an invariant. A debug build panics if it does not hold; a release build counts the violation and continues.
    pub fn check_invariant(&mut self, holds: bool, invariant: &str) {
        debug_assert!(holds, "{invariant}");
        self.invariant_violations += u64::from(!holds);
    }
}
