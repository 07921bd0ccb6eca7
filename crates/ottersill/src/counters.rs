//! What was accepted, sent and answered, logged on SIGUSR1 and at the exit. All counters only rise; their number is fixed.

use std::fmt;

/// Declares the counters: the name, under which operators read it too, and what it counts.
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
    client_connections_rejected: "Client connections told that there is no descriptor or memory left.",
    client_connections_unwatched: "Client connections closed as the event loop could not be told to watch them.",
    accepts_failed: "Calls of accept that failed.",
    client_connections_closed_idle: "Client connections closed between statements, for idling or to make room.",
    client_protocol_errors: "Client connections that broke the protocol.",
    empty_queries: "Empty queries.",
    invalid_queries: "Queries that are no statement of this service.",
    session_queries: "Queries refused because they belong to a session, or are several.",
    statements: "Statements accepted.",
    rejected_without_endpoint_list: "Statements rejected because no endpoint list had come yet.",
    reads_treated_as_writes: "Statements of a reading workload treated as writes, as they may write.",
    completed: "Statements answered with an endpoint's result.",
    rejected: "Statements answered by a rejection.",
    aborted: "Statements answered by an abort.",
    statements_abandoned: "Statements whose client left before the answer.",
    attempts: "Attempts given to a backend connection.",
    attempts_completed: "Attempts with a result.",
    attempts_error: "Attempts that ended in an error.",
    attempts_refused: "Attempts that the endpoint refused, as it was full.",
    attempts_wrong_endpoint: "Attempts at an endpoint that is not the one needed.",
    attempts_read_only: "Attempts of a write at an endpoint that only reads.",
    attempts_timed_out: "Attempts without an answer in time.",
    attempts_connect_failed: "Attempts that got no connection.",
    attempts_connection_reset: "Attempts whose connection broke once they were sent.",
    attempts_cancelled: "Attempts cancelled for a retry.",
    attempts_not_sent: "Attempts that were not sent.",
    backend_connections_opened: "Backend connections opened.",
    backend_connections_failed: "Backend connections that never came up.",
    backend_connections_closed_idle: "Backend connections closed for idling.",
    backend_connections_closed_by_endpoint: "Backend connections that the endpoint closed while they were idle.",
    attempts_without_descriptor: "Attempts for which no descriptor was left.",
    backend_protocol_errors: "Backend connections closed because the endpoint broke the protocol.",
    health_checks: "Health checks begun.",
    health_checks_failed: "Health checks without a report.",
    fleet_quota_refusals: "Attempts, health checks and connections for which the fleet's budgets left nothing.",
    reloads: "Configurations taken over on SIGHUP.",
    reloads_failed: "Tries to read a configuration on SIGHUP that failed.",
    endpoint_lists: "Endpoint lists read, complete or partial.",
    discovery_calls_failed: "Discovery calls that failed or were not answered.",
    log_lines_dropped: "Log lines dropped because standard output took them too slowly.",
    invariant_violations: "Invariants that did not hold.",
}

impl Counters {
    /// Checks an invariant: a debug build panics where it does not hold, a release build counts it and goes on.
    pub fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.invariant_violations += u64::from(!holds);
    }
}
