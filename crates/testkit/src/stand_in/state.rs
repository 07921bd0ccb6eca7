//! What all connections of a stand-in store share: the endpoints, the data, and what discovery tells.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::{unix_ms, unix_seconds};

use super::behaviour::Behaviour;
use super::endpoint_list::{ListedEndpoint, endpoint_list_json};
use super::pg_messages::{HEALTH_QUERY, empty_query_response, error_response, health_report, single_row};

/// SQLSTATE of a statement that the store does not understand.
const SYNTAX_ERROR: &str = "42601";
/// The health of an endpoint in service, as discovery tells it.
pub(super) const ACTIVE: &str = "active";
/// SQLSTATE of a write at a replica.
const READ_ONLY: &str = "25006";

/// One execution of a statement at an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The statement's `id`, as its comment names it.
    pub id: String,
    /// Whether it changed data.
    pub wrote: bool,
    /// When it began, in Unix seconds.
    pub began: f64,
    /// When it ended, in Unix seconds.
    pub ended: f64,
}

/// One endpoint of the store.
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// The number of its replica set.
    pub(super) group: u64,
    /// Whether discovery names it.
    pub(super) is_listed: bool,
    /// The version of the list in which it last changed.
    changed_in: u64,
    pub(super) behaviour: Behaviour,
    /// Whether it runs writes; a behaviour that is no role leaves it as it was.
    pub(super) is_primary: bool,
    pub(super) health: &'static str,
    /// When it started, as discovery tells it; Unix milliseconds, zero for long ago.
    pub(super) started_ms: u128,
    /// How far its clock, and with it its position, is off.
    clock_shift_ms: i64,
    /// Statements that were received whole.
    pub(super) received: Vec<String>,
    /// Executions under way, and the most that ever were at once.
    under_way: usize,
    pub(super) peak_concurrency: usize,
    pub(super) executions: Vec<Execution>,
}

impl Endpoint {
    fn new(address: SocketAddr, group: u64, is_primary: bool) -> Endpoint {
        Endpoint {
            address,
            group,
            is_listed: true,
            changed_in: 0,
            behaviour: if is_primary { Behaviour::Primary } else { Behaviour::Replica },
            is_primary,
            health: ACTIVE,
            started_ms: 0,
            clock_shift_ms: 0,
            received: Vec::new(),
            under_way: 0,
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

    pub(super) fn shift_clock(&mut self, ms: i64) {
        self.clock_shift_ms = ms;
    }

    /// Its position, and the time by its clock; Unix milliseconds.
    pub(super) fn position_ms(&self) -> u128 {
        unix_ms().saturating_add_signed(i128::from(self.clock_shift_ms))
    }

    pub(super) fn begin_execution(&mut self) {
        self.under_way += 1;
        self.peak_concurrency = self.peak_concurrency.max(self.under_way);
    }

    pub(super) fn end_execution(&mut self, text: &str, began: f64) {
        self.under_way -= 1;
        let wrote = self.is_primary && text.starts_with("INSERT");
        self.executions.push(Execution { id: statement_id(text), wrote, began, ended: unix_seconds() });
    }
}

/// Everything that the threads of a store share.
#[derive(Default)]
pub(super) struct State {
    pub(super) endpoints: Vec<Endpoint>,
    /// The version of discovery's list.
    pub(super) version: u64,
    pub(super) discovery_is_silent: bool,
    pub(super) discovery_closes: bool,
    /// Whether calls that name a version are answered with what has changed since.
    pub(super) sends_changes_only: bool,
    /// Bytes of lists that discovery has sent.
    pub(super) list_bytes_sent: u64,
    /// Connections that endpoints have accepted.
    pub(super) connections_accepted: u64,
    /// How long a statement takes; nothing at first.
    pub(super) statement_duration: Duration,
    values: HashMap<String, Vec<u8>>,
    /// Views that write when they are read.
    pub(super) writing_views: Vec<String>,
}

impl State {
    /// Adds an endpoint and returns its index; the first of a replica set is the primary.
    pub(super) fn add_endpoint(&mut self, address: SocketAddr, group: u64, is_listed: bool) -> usize {
        let index = self.endpoints.len();
        let is_first = self.endpoints.iter().all(|endpoint| endpoint.group != group);
        self.endpoints.push(Endpoint::new(address, group, is_first));
        self.version += 1;
        self.change_endpoint(index, |endpoint| endpoint.is_listed = is_listed);
        index
    }

    /// Changes an endpoint in the version of the list that is current.
    pub(super) fn change_endpoint(&mut self, endpoint: usize, change: impl FnOnce(&mut Endpoint)) {
        let endpoint = &mut self.endpoints[endpoint];
        change(endpoint);
        endpoint.changed_in = self.version;
    }

    /// The result of a statement that the endpoint runs.
    pub(super) fn execute(&mut self, endpoint: usize, text: &str) -> Vec<u8> {
        if text.trim().is_empty() {
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
        if text.starts_with("SELECT") && (is_primary || !self.reads_writing_view(text)) {
            return single_row(self.values.get(key).map_or(b"", |value| value.as_slice()), "SELECT 1");
        }
        if !is_primary {
            return error_response(READ_ONLY, "this is no primary");
        }
        let value = literals.next().and_then(decode_bytea).unwrap_or_default();
        self.values.insert(key.to_string(), value.clone());
        single_row(&value, "INSERT 0 1")
    }

    fn reads_writing_view(&self, text: &str) -> bool {
        self.writing_views.iter().any(|view| text.contains(view.as_str()))
    }

    /// Discovery's list, with the proxied address of each endpoint that has one; only what has changed after the version
    /// `since`, if discovery tells changes.
    pub(super) fn endpoint_list(&self, since: Option<u64>, proxied: &[SocketAddr]) -> String {
        let since = since.filter(|_| self.sends_changes_only);
        let names: Vec<String> = (0..self.endpoints.len()).map(|index| format!("toy-{index}")).collect();
        let is_wanted = |endpoint: &Endpoint| {
            endpoint.is_listed && since.is_none_or(|version| endpoint.changed_in > version)
        };
        let wanted = self.endpoints.iter().enumerate().filter(|(_, endpoint)| is_wanted(endpoint));
        let entry = |(index, endpoint): (usize, &Endpoint)| ListedEndpoint {
            name: names[index].as_str(),
            address: proxied.get(index).copied().unwrap_or(endpoint.address),
            group: endpoint.group,
            health: endpoint.health,
            started_ms: endpoint.started_ms,
        };
        let entries: Vec<_> = wanted.map(entry).collect();
        endpoint_list_json(self.version, since.is_none(), &entries)
    }
}

/// Whether a text is a statement of a client: these carry their terms in a comment.
pub(super) fn is_statement(text: &str) -> bool {
    text.contains("/*")
}

/// The hexadecimal `id` in a statement's comment; empty if there is none.
fn statement_id(text: &str) -> String {
    let after = text.split_once("id=").map_or("", |(_, rest)| rest);
    after.chars().take_while(char::is_ascii_hexdigit).collect()
}

/// The bytes of a literal such as `\x76616c`.
fn decode_bytea(literal: &str) -> Option<Vec<u8>> {
    let digits = literal.strip_prefix("\\x")?.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(byte).collect()
}
