//! What was taken in, sent and answered, for SIGUSR1 and the exit. Fixed in size.

use std::fmt;

macro_rules! counters {
    ($($name:ident: $says:literal,)*) => {
        #[derive(Clone, Debug, Default)]
        pub struct Counters {
            $(#[doc = $says] pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                let mut gap = "";
                $(
                    write!(f, "{gap}{}={}", stringify!($name), self.$name)?;
                    gap = " ";
                )*
                Ok(())
            }
        }
    };
}

counters! {
    clients: "Client connections accepted.",
    clients_turned_away: "Client connections closed for want of descriptors, with a rejection.",
    clients_unwatched: "Client connections closed as the event loop could not be told to watch them.",
    accepts_failed: "Calls of accept that failed.",
    clients_closed_idle: "Client connections closed between statements to make room.",
    client_nonsense: "Client connections that sent what is no message of the protocol.",
    empty_queries: "Empty queries.",
    strange_queries: "Queries that are no statement of this service.",
    session_queries: "Queries refused as they belong to a session, or are several.",
    statements: "Statements taken in.",
    blind: "Statements rejected as no list of hosts had come yet.",
    strict: "Statements of a reading workload taken for ones that may write.",
    completed: "Statements answered with what a host gave.",
    rejected: "Statements answered by a rejection.",
    aborted: "Statements answered by an abort.",
    clients_left: "Statements whose client left before the answer.",
    executions: "Executions given to a connection.",
    ended_completed: "Executions with an answer.",
    ended_error: "Executions that ended in an error.",
    ended_full: "Executions turned away.",
    ended_miss: "Executions at the wrong member.",
    ended_read_only: "Executions that write, at a member that only reads.",
    ended_timed_out: "Executions without an answer in time.",
    ended_connect_failed: "Executions that got no connection.",
    ended_reset: "Executions whose connection broke.",
    ended_recalled: "Executions recalled.",
    ended_never_sent: "Executions that were not sent.",
    lines_opened: "Connections to hosts opened.",
    lines_failed: "Connections to hosts that never came up.",
    lines_idled: "Connections to hosts closed for standing idle.",
    lines_ended: "Connections that their host ended while they stood idle.",
    lines_wanting: "Executions for which no descriptor was left.",
    host_nonsense: "Connections to hosts ended for what is no answer of the protocol.",
    probes: "Probes sent.",
    probes_failed: "Probes without a report.",
    fleet_refused: "Executions, probes and connections for which no part of a budget was left.",
    reloads: "Charters read again on SIGHUP.",
    reloads_failed: "Readings of a charter on SIGHUP that could not be taken.",
    lists: "Host lists and changes read.",
    lists_failed: "Discovery calls that failed.",
    log_dropped: "Log lines dropped because nobody read them fast enough.",
    breaches: "Things that must hold and did not.",
}

impl Counters {
    /// Asserted in debug builds; a release build counts it and goes on.
    pub fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.breaches += u64::from(!holds);
    }
}
