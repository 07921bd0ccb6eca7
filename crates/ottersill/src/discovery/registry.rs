//! The endpoints that discovery has named, by name and by replica set. An endpoint that was named once stays known, as
//! the routing module refers to it by index; lists name few over a router's lifetime.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use ottersill_routing::interface::{EndpointState, EndpointUpdate};

use crate::discovery::endpoint_list::{EndpointEntry, EndpointList};
use crate::protocol::socket_failure::{ConnectFailure, LocalFailures};

/// What is known of one endpoint.
pub struct Endpoint {
    /// Its name in endpoint lists.
    pub name: String,
    /// A hash of its name, by which the members of a fleet refer to it.
    pub label: u64,
    /// Where it is dialled; none until a list has said so.
    pub dial: Option<SocketAddr>,
    /// What the last list that named it said.
    pub listed: EndpointUpdate,
    /// Connections that broke since the last log line about that.
    pub broken: u64,
    /// When that line was written, in Unix seconds.
    pub logged_at: f64,
    local_failures: LocalFailures,
}

impl Endpoint {
    fn new(name: &str, listed: EndpointUpdate) -> Endpoint {
        let label = ottersill_fleet::settings::label(name);
        Endpoint {
            name: name.to_string(),
            label,
            dial: None,
            listed,
            broken: 0,
            logged_at: 0.0,
            local_failures: LocalFailures::default(),
        }
    }
}

/// What a list has changed.
#[derive(Debug, Default)]
pub struct RegistryChange {
    /// What the routing module is to hear: the entries as listed and, after a complete list, the endpoints that it
    /// lacks as gone.
    pub updates: Vec<EndpointUpdate>,
    /// Endpoints whose address is another one now, by index.
    pub readdressed: Vec<usize>,
}

/// All endpoints by index, which is also their index in the routing module.
#[derive(Default)]
pub struct EndpointRegistry {
    /// By index.
    pub all: Vec<Endpoint>,
    by_name: HashMap<String, usize>,
    groups: HashMap<u64, usize>,
    sites: Vec<String>,
    /// When a connection to any endpoint was last begun without a failure, in Unix seconds.
    connect_begun_at: f64,
}

impl EndpointRegistry {
    /// No endpoint is known yet; `sites` are the names of the sites, by their index in the routing module.
    pub fn new(sites: Vec<String>) -> EndpointRegistry {
        EndpointRegistry { sites, ..EndpointRegistry::default() }
    }

    /// The index of the replica set with that number, if a list has named it.
    pub fn group(&self, number: u64) -> Option<usize> {
        self.groups.get(&number).copied()
    }

    /// The endpoint with that label, if a list has named it.
    pub fn by_label(&self, label: u64) -> Option<&Endpoint> {
        self.all.iter().find(|endpoint| endpoint.label == label)
    }

    /// A connection to that endpoint was begun at `now`, in Unix seconds.
    pub fn connect_begun(&mut self, endpoint: usize, now: f64) {
        self.connect_begun_at = now;
        self.all[endpoint].local_failures = LocalFailures::default();
    }

    /// Whether a connection that could not be begun counts against its endpoint. A lack of this machine does so only where it
    /// stays for this endpoint alone, for `at_least` seconds.
    pub fn connect_failed(
        &mut self,
        endpoint: usize,
        now: f64,
        at_least: f64,
        failure: &ConnectFailure,
    ) -> bool {
        match failure {
            ConnectFailure::Remote(_) => true,
            ConnectFailure::Local(_) => {
                self.all[endpoint].local_failures.note(now, at_least, self.connect_begun_at)
            }
        }
    }

    /// Takes over what a list says.
    pub fn apply(&mut self, list: &EndpointList) -> RegistryChange {
        let mut seen = vec![false; self.all.len()];
        let mut change = RegistryChange::default();
        for entry in &list.entries {
            let index = self.index_of(entry);
            if let Some(seen) = seen.get_mut(index) {
                *seen = true;
            }
            if self.readdress(index, entry) {
                change.readdressed.push(index);
            }
            change.updates.push(self.all[index].listed);
        }
        if list.is_complete {
            let missing = seen.iter().zip(&self.all).filter(|(seen, _)| !**seen);
            let gone =
                |endpoint: &Endpoint| EndpointUpdate { state: EndpointState::Removed, ..endpoint.listed };
            change.updates.extend(missing.map(|(_, endpoint)| gone(endpoint)));
        }
        change
    }

    /// The index of the endpoint that an entry names, with what the entry says of it stored there. A new name gets the
    /// next index, and so does a new replica set.
    fn index_of(&mut self, entry: &EndpointEntry) -> usize {
        let next_group = self.groups.len();
        let group = *self.groups.entry(entry.group).or_insert(next_group);
        let index = self.by_name.get(entry.name.as_str()).copied().unwrap_or(self.all.len());
        let listed = EndpointUpdate {
            endpoint: index,
            order: name_hash(&entry.name),
            group,
            site: self.sites.iter().position(|site| *site == entry.site),
            size: entry.size,
            state: entry.health.into(),
            started_at: (entry.started_at_ms > 0.0).then_some(entry.started_at_ms / 1000.0),
        };
        if let Some(endpoint) = self.all.get_mut(index) {
            endpoint.listed = listed;
        } else {
            self.by_name.insert(entry.name.clone(), index);
            self.all.push(Endpoint::new(&entry.name, listed));
        }
        index
    }

    /// Takes over the address of an entry; true if the endpoint had another one. An endpoint that has left may be
    /// listed without an address, which changes nothing for what is in flight there.
    fn readdress(&mut self, index: usize, entry: &EndpointEntry) -> bool {
        let endpoint = &mut self.all[index];
        let address: Option<SocketAddr> = entry.address.parse().ok();
        if address.is_none() || address == endpoint.dial {
            return false;
        }
        let had_address = endpoint.dial.is_some();
        endpoint.dial = address;
        endpoint.local_failures = LocalFailures::default();
        had_address
    }
}

/// Alike on all routers, which thereby order endpoints alike.
fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
