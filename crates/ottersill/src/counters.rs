//! What was accepted, sent and answered, logged on SIGUSR1 and at the exit. All counters only rise; their number is fixed.

#![warn(missing_docs)]

use std::fmt;

/// Declares the counters: the field, the name under which operators read it, and what it counts.
macro_rules! counters {
    ($($field:ident => $printed:ident: $counts:literal,)*) => {
        /// All counters. Their names in the log are those that `Display` writes.
        #[derive(Clone, Debug, Default)]
        pub struct Counters {
            $(#[doc = $counts] pub $field: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                let mut separator = "";
                $(
                    write!(f, "{separator}{}={}", stringify!($printed), self.$field)?;
                    separator = " ";
                )*
                Ok(())
            }
        }
    };
}

counters! {
    clients => client_connections: "Client connections accepted.",
    clients_turned_away => client_connections_rejected: "Client connections told that there is no descriptor or memory left.",
    clients_unwatched => client_connections_unwatched: "Client connections closed as the event loop could not be told to watch them.",
    accepts_failed => accepts_failed: "Calls of accept that failed.",
    clients_closed_idle => client_connections_closed_idle: "Client connections closed between statements, for idling or to make room.",
    client_nonsense => client_protocol_errors: "Client connections that broke the protocol.",
    empty_queries => empty_queries: "Empty queries.",
    strange_queries => invalid_queries: "Queries that are no statement of this service.",
    session_queries => session_queries: "Queries refused because they belong to a session, or are several.",
    statements => statements: "Statements accepted.",
    blind => rejected_without_endpoint_list: "Statements rejected because no endpoint list had come yet.",
    strict => reads_treated_as_writes: "Statements of a reading workload treated as writes, as they may write.",
    completed => completed: "Statements answered with an endpoint's result.",
    rejected => rejected: "Statements answered by a rejection.",
    aborted => aborted: "Statements answered by an abort.",
    clients_left => statements_abandoned: "Statements whose client left before the answer.",
    executions => attempts: "Attempts given to a backend connection.",
    ended_completed => attempts_completed: "Attempts with a result.",
    ended_error => attempts_error: "Attempts that ended in an error.",
    ended_full => attempts_refused: "Attempts that the endpoint refused, as it was full.",
    ended_miss => attempts_wrong_endpoint: "Attempts at an endpoint that is not the one needed.",
    ended_read_only => attempts_read_only: "Attempts of a write at an endpoint that only reads.",
    ended_timed_out => attempts_timed_out: "Attempts without an answer in time.",
    ended_connect_failed => attempts_connect_failed: "Attempts that got no connection.",
    ended_reset => attempts_connection_reset: "Attempts whose connection broke once they were sent.",
    ended_recalled => attempts_cancelled: "Attempts cancelled for a retry.",
    ended_never_sent => attempts_not_sent: "Attempts that were not sent.",
    lines_opened => backend_connections_opened: "Backend connections opened.",
    lines_failed => backend_connections_failed: "Backend connections that never came up.",
    lines_idled => backend_connections_closed_idle: "Backend connections closed for idling.",
    lines_ended => backend_connections_closed_by_endpoint: "Backend connections that the endpoint closed while they were idle.",
    lines_wanting => attempts_without_descriptor: "Attempts for which no descriptor was left.",
    host_nonsense => backend_protocol_errors: "Backend connections closed because the endpoint broke the protocol.",
    probes => health_checks: "Health checks begun.",
    probes_failed => health_checks_failed: "Health checks without a report.",
    fleet_refused => fleet_quota_refusals: "Attempts, health checks and connections for which the fleet's budgets left nothing.",
    reloads => reloads: "Configurations taken over on SIGHUP.",
    reloads_failed => reloads_failed: "Tries to read a configuration on SIGHUP that failed.",
    lists => endpoint_lists: "Endpoint lists read, complete or partial.",
    lists_failed => discovery_calls_failed: "Discovery calls that failed or were not answered.",
    log_dropped => log_lines_dropped: "Log lines dropped because standard output took them too slowly.",
    breaches => invariant_violations: "Invariants that did not hold.",
}

impl Counters {
    /// Checks an invariant: a debug build panics where it does not hold, a release build counts it and goes on.
    pub fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.breaches += u64::from(!holds);
    }
}
