//! State that all connections of a stand-in store share: the endpoints, the data, and discovery's list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::{unix_ms, unix_seconds};

use super::answer_delay::AnswerDelay;
use super::behaviour::Behaviour;
use super::endpoint_list::{ListedEndpoint, endpoint_list_json};
use super::pg_messages::{HEALTH_QUERY, empty_query_response, error_response, health_report, single_row};

/// SQLSTATE of a statement that the store cannot parse.
const SYNTAX_ERROR: &str = "42601";
/// Health of an endpoint in service, as reported by discovery.
pub(super) const ACTIVE: &str = "active";
/// SQLSTATE of a write sent to a replica.
const READ_ONLY: &str = "25006";

/// An execution of a statement at an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The statement's `id` from its comment.
    pub id: String,
    /// Whether the statement changed data.
    pub wrote: bool,
    /// Start of the execution in Unix seconds.
    pub started_at: f64,
    /// End of the execution in Unix seconds.
    pub ended_at: f64,
}

/// An endpoint of the store.
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// Number of the endpoint's replica set.
    pub(super) group: u64,
    /// Whether discovery lists the endpoint.
    pub(super) is_listed: bool,
    /// Version of the list in which the endpoint last changed.
    changed_in_version: u64,
    pub(super) behaviour: Behaviour,
    /// Whether the endpoint executes writes. Only the behaviours `Primary` and `Replica` change this.
    pub(super) is_primary: bool,
    pub(super) health: &'static str,
    /// Start of the endpoint as reported by discovery, in Unix milliseconds; zero if it started long ago.
    pub(super) started_ms: u128,
    /// Offset of the endpoint's clock, and thereby of its replication position.
    clock_offset_ms: i64,
    /// Statements that were received completely.
    pub(super) received: Vec<String>,
    /// Number of executions in progress.
    running_executions: usize,
    /// Highest number of executions in progress at the same time.
    pub(super) peak_concurrency: usize,
    pub(super) executions: Vec<Execution>,
}

impl Endpoint {
    fn new(address: SocketAddr, group: u64, is_primary: bool) -> Endpoint {
        Endpoint {
            address,
            group,
            is_listed: true,
            changed_in_version: 0,
            behaviour: if is_primary { Behaviour::Primary } else { Behaviour::Replica },
            is_primary,
            health: ACTIVE,
            started_ms: 0,
            clock_offset_ms: 0,
            received: Vec::new(),
            running_executions: 0,
            peak_concurrency: 0,
            executions: Vec::new(),
        }
    }

    pub(super) fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
        match behaviour {
            Behaviour::Primary => self.is_primary = true,
            Behaviour::Replica => self.is_primary = false,
            _ => {}
        }
    }

    pub(super) fn set_clock_offset(&mut self, offset_ms: i64) {
        self.clock_offset_ms = offset_ms;
    }

    /// Returns the endpoint's replication position, which is the time of its clock in Unix milliseconds.
    pub(super) fn position_ms(&self) -> u128 {
        unix_ms().saturating_add_signed(i128::from(self.clock_offset_ms))
    }

    pub(super) fn begin_execution(&mut self) {
        self.running_executions += 1;
        self.peak_concurrency = self.peak_concurrency.max(self.running_executions);
    }

    /// Records an execution that started at `started_at`, in Unix seconds, and ends now.
    pub(super) fn end_execution(&mut self, text: &str, started_at: f64) {
        self.running_executions -= 1;
        let wrote = self.is_primary && text.starts_with("INSERT");
        self.executions.push(Execution {
            id: statement_id(text),
            wrote,
            started_at,
            ended_at: unix_seconds(),
        });
    }
}

/// State that the threads of a store share.
#[derive(Default)]
pub(super) struct State {
    pub(super) endpoints: Vec<Endpoint>,
    /// Version of discovery's list.
    pub(super) version: u64,
    /// Whether discovery accepts calls without answering them.
    pub(super) discovery_is_silent: bool,
    /// Whether calls that wait while discovery is silent are never answered.
    pub(super) discovery_forgets_calls: bool,
    /// How long discovery takes for an answer.
    pub(super) answer_delay: AnswerDelay,
    /// Draws the delays; present once a seed is set.
    delay_generator: Option<SmallRng>,
    /// When each call to discovery arrived, in Unix seconds.
    pub(super) discovery_calls: Vec<f64>,
    /// Whether discovery closes the connection after each answer.
    pub(super) discovery_closes: bool,
    /// Whether calls with a version are answered with the changes since that version only.
    pub(super) sends_changes_only: bool,
    /// Total length in bytes of the lists that discovery has sent.
    pub(super) list_bytes_sent: u64,
    /// Number of connections that endpoints have accepted.
    pub(super) connections_accepted: u64,
    /// Duration of each statement; initially zero.
    pub(super) statement_duration: Duration,
    /// Time that an endpoint takes for the answer to a health check; initially zero.
    pub(super) health_check_duration: Duration,
    values: HashMap<String, Vec<u8>>,
    /// Views that write when they are read.
    pub(super) views_with_side_effects: Vec<String>,
}

impl State {
    /// Adds an endpoint and returns its index. The first endpoint of a replica set is its primary.
    pub(super) fn add_endpoint(&mut self, address: SocketAddr, group: u64, is_listed: bool) -> usize {
        let index = self.endpoints.len();
        let is_first = self.endpoints.iter().all(|endpoint| endpoint.group != group);
        self.endpoints.push(Endpoint::new(address, group, is_first));
        self.version += 1;
        self.change_endpoint(index, |endpoint| endpoint.is_listed = is_listed);
        index
    }

    /// Changes an endpoint under the current version of the list.
    pub(super) fn change_endpoint(&mut self, endpoint: usize, change: impl FnOnce(&mut Endpoint)) {
        let endpoint = &mut self.endpoints[endpoint];
        change(endpoint);
        endpoint.changed_in_version = self.version;
    }

    /// Draws the delay of one answer. Without [`seed_delays`](Self::seed_delays) the draws are those of seed 0.
    pub(super) fn draw_delay(&mut self, range: &RangeInclusive<Duration>) -> Duration {
        let generator = self.delay_generator.get_or_insert_with(|| SmallRng::seed_from_u64(0));
        generator.random_range(range.clone())
    }

    /// Sets the seed from which delays are drawn.
    pub(super) fn seed_delays(&mut self, seed: u64) {
        self.delay_generator = Some(SmallRng::seed_from_u64(seed));
    }

    /// Executes a statement at an endpoint and returns the result's messages.
    pub(super) fn execute(&mut self, endpoint: usize, text: &str) -> Vec<u8> {
        if is_empty_query(text) {
            return empty_query_response();
        }
        let is_primary = self.endpoints[endpoint].is_primary;
        if text == HEALTH_QUERY {
            return health_report(is_primary, self.endpoints[endpoint].position_ms());
        }
        let mut literals = text.split('\'').skip(1).step_by(2);
        let Some(key) = literals.next() else {
            return error_response(SYNTAX_ERROR, "no statement of this store");
        };
        if text.starts_with("SELECT") && (is_primary || !self.reads_view_with_side_effects(text)) {
            return single_row(self.values.get(key).map_or(b"", |value| value.as_slice()), "SELECT 1");
        }
        if !is_primary {
            return error_response(READ_ONLY, "this is no primary");
        }
        let value = literals.next().and_then(decode_bytea).unwrap_or_default();
        self.values.insert(key.to_string(), value.clone());
        single_row(&value, "INSERT 0 1")
    }

    /// Whether a statement reads a view that writes.
    fn reads_view_with_side_effects(&self, text: &str) -> bool {
        self.views_with_side_effects.iter().any(|view| text.contains(view.as_str()))
    }

    /// Returns discovery's list, with the proxied address of each endpoint that has one. If discovery sends changes only, the
    /// list is limited to endpoints that changed after the version `since`.
    pub(super) fn endpoint_list(&self, since: Option<u64>, proxied: &[SocketAddr]) -> String {
        let since = since.filter(|_| self.sends_changes_only);
        let names: Vec<String> = (0..self.endpoints.len()).map(|index| format!("toy-{index}")).collect();
        let is_included = |endpoint: &Endpoint| {
            endpoint.is_listed && since.is_none_or(|version| endpoint.changed_in_version > version)
        };
        let included = self.endpoints.iter().enumerate().filter(|(_, endpoint)| is_included(endpoint));
        let entry = |(index, endpoint): (usize, &Endpoint)| ListedEndpoint {
            name: names[index].as_str(),
            address: proxied.get(index).copied().unwrap_or(endpoint.address),
            group: endpoint.group,
            health: endpoint.health,
            started_ms: endpoint.started_ms,
        };
        let entries: Vec<_> = included.map(entry).collect();
        endpoint_list_json(self.version, since.is_none(), &entries)
    }
}

/// Whether a query is a client's statement; these carry their settings in a comment.
pub(super) fn is_statement(text: &str) -> bool {
    text.contains("/*")
}

/// Whether a query is empty.
pub(super) fn is_empty_query(text: &str) -> bool {
    text.trim().is_empty()
}

/// Returns the hexadecimal `id` in a statement's comment; empty if there is none.
fn statement_id(text: &str) -> String {
    let rest = text.split_once("id=").map_or("", |(_, rest)| rest);
    rest.chars().take_while(char::is_ascii_hexdigit).collect()
}

/// Decodes a literal such as `\x76616c`.
fn decode_bytea(literal: &str) -> Option<Vec<u8>> {
    let digits = literal.strip_prefix("\\x")?.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(byte).collect()
}
