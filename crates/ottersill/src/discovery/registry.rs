//! The registry of endpoints that discovery has listed, by name and by replica set. An endpoint stays in the registry until the
//! routing module, which refers to it by index, no longer needs it ([`EndpointRegistry::remove`]); its index is then reused.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

use ottersill_routing::interface::{EndpointState, EndpointUpdate};
use slab::Slab;

use crate::discovery::endpoint_list::{EndpointEntry, EndpointList, Health};
use crate::log_throttle::LogThrottle;
use crate::protocol::socket_failure::{ConnectFailure, LocalFailures};

/// A known endpoint.
pub struct Endpoint {
    /// Name of the endpoint in endpoint lists.
    pub name: String,
    /// Hash of the name, by which the members of a fleet refer to the endpoint.
    pub name_hash: u64,
    /// Address to connect to; absent until a list has provided one.
    pub address: Option<SocketAddr>,
    /// State according to the last list that named the endpoint.
    pub listed: EndpointUpdate,
    /// Limits the log lines about failed connections.
    pub connection_failures: LogThrottle,
    local_failures: LocalFailures,
    last_mention: ListMention,
}

/// The last list that named an endpoint.
#[derive(Clone, Copy, Default)]
struct ListMention {
    /// Number of the list, counted from one.
    list: u64,
    /// Index of the last entry in that list that names the endpoint.
    entry: usize,
    /// Whether no earlier list has named the endpoint.
    is_first: bool,
}

impl Endpoint {
    fn new(name: &str, listed: EndpointUpdate) -> Endpoint {
        let name_hash = ottersill_fleet::settings::name_hash(name);
        Endpoint {
            name: name.to_string(),
            name_hash,
            address: None,
            listed,
            connection_failures: LogThrottle::default(),
            local_failures: LocalFailures::default(),
            last_mention: ListMention::default(),
        }
    }
}

/// The changes that a list makes to the registry.
#[derive(Debug, Default)]
pub struct RegistryChange {
    /// Updates for the routing module: entries that differ from the known state and, after a complete list, endpoints that it
    /// does not name and that were not removed before.
    pub updates: Vec<EndpointUpdate>,
    /// Endpoints whose address has changed, by index.
    pub readdressed: Vec<usize>,
}

impl RegistryChange {
    /// Whether the list has changed nothing.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.readdressed.is_empty()
    }
}

/// All known endpoints by index, which is also their index in the routing module.
#[derive(Default)]
pub struct EndpointRegistry {
    endpoints: Slab<Endpoint>,
    by_name: HashMap<String, usize>,
    groups: HashMap<u64, usize>,
    sites: Vec<String>,
    /// Name hashes of endpoints that were removed from the registry and that no list has since named as anything but
    /// [`Health::Left`].
    removed_names: HashSet<u64>,
    /// Number of lists applied so far.
    applied_lists: u64,
    /// Number of endpoints examined while applying lists.
    examined_endpoints: u64,
    /// When a connection to any endpoint was last started without a failure, in Unix seconds.
    connect_started_at: f64,
}

impl EndpointRegistry {
    /// Creates an empty registry; `sites` are the names of the sites, by their index in the routing module.
    pub fn new(sites: Vec<String>) -> EndpointRegistry {
        EndpointRegistry { sites, ..EndpointRegistry::default() }
    }

    /// Iterates over all endpoints with their indices, including removed ones that are still kept.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Number of endpoints, including removed ones that are still kept.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no list has named an endpoint yet.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Number of endpoints examined while applying lists so far. It depends on how many endpoints the lists name, not on
    /// the size of the fleet, except that each complete list also examines all endpoints once.
    pub fn examined_endpoints(&self) -> u64 {
        self.examined_endpoints
    }

    /// Returns the index of the replica set with this number, if a list has named it.
    pub fn group(&self, number: u64) -> Option<usize> {
        self.groups.get(&number).copied()
    }

    /// Returns the endpoint whose name has this hash, if a list has named it.
    pub fn by_name_hash(&self, name_hash: u64) -> Option<&Endpoint> {
        self.iter().map(|(_, endpoint)| endpoint).find(|endpoint| endpoint.name_hash == name_hash)
    }

    /// Records that a connection to the endpoint was started at `now`, in Unix seconds.
    pub fn record_connect_started(&mut self, endpoint: usize, now: f64) {
        self.connect_started_at = now;
        self.endpoints[endpoint].local_failures = LocalFailures::default();
    }

    /// Records that a connection could not be started; returns whether the failure counts against the endpoint. A failure of
    /// this machine counts only if it persists for `at_least` seconds, and for this endpoint alone.
    pub fn record_connect_failure(
        &mut self,
        endpoint: usize,
        now: f64,
        at_least: f64,
        failure: &ConnectFailure,
    ) -> bool {
        match failure {
            ConnectFailure::Remote(_) => true,
            ConnectFailure::Local(_) => {
                self.endpoints[endpoint].local_failures.record(now, at_least, self.connect_started_at)
            }
        }
    }

    /// Applies a list and returns the changes. The cost is proportional to the number of entries; a complete list is also
    /// compared with all endpoints. If a list names an endpoint more than once, the last entry counts.
    pub fn apply(&mut self, list: &EndpointList) -> RegistryChange {
        self.applied_lists += 1;
        let mut change = RegistryChange::default();
        for index in self.resolve_entries(&list.entries) {
            let entry = &list.entries[self.endpoints[index].last_mention.entry];
            if self.update_address(index, entry) {
                change.readdressed.push(index);
            }
            self.update(index, entry, &mut change);
        }
        if list.is_complete {
            self.mark_missing_as_removed(&mut change);
        }
        change
    }

    /// Finds or adds the endpoint of each entry, and records there the last entry that names it. Returns the indices of these
    /// endpoints in the order in which the list first names them.
    fn resolve_entries(&mut self, entries: &[EndpointEntry]) -> Vec<usize> {
        let mut named = Vec::with_capacity(entries.len());
        for (position, entry) in entries.iter().enumerate() {
            let Some(index) = self.find_or_add(entry) else { continue };
            let mention = &mut self.endpoints[index].last_mention;
            if mention.list != self.applied_lists {
                *mention =
                    ListMention { list: self.applied_lists, entry: position, is_first: mention.list == 0 };
                named.push(index);
            }
            mention.entry = position;
        }
        self.examined_endpoints += named.len() as u64;
        named
    }

    /// Returns the index of the endpoint that an entry names; a new name gets a free index. Returns none if the entry reports
    /// as left an endpoint that has already been removed from the registry.
    fn find_or_add(&mut self, entry: &EndpointEntry) -> Option<usize> {
        if let Some(index) = self.by_name.get(entry.name.as_str()) {
            return Some(*index);
        }
        let order = name_hash(&entry.name);
        if self.removed_names.contains(&order) {
            if entry.health == Health::Left {
                return None;
            }
            self.removed_names.remove(&order);
        }
        let index = self.endpoints.vacant_key();
        let listed = self.endpoint_update(index, order, entry);
        self.endpoints.insert(Endpoint::new(&entry.name, listed));
        self.by_name.insert(entry.name.clone(), index);
        Some(index)
    }

    /// Converts an entry to an update for the routing module. A new replica set gets the next index.
    fn endpoint_update(&mut self, index: usize, order: u64, entry: &EndpointEntry) -> EndpointUpdate {
        let next_group = self.groups.len();
        EndpointUpdate {
            endpoint: index,
            order,
            group: *self.groups.entry(entry.group).or_insert(next_group),
            site: self.sites.iter().position(|site| *site == entry.site),
            size: entry.size,
            state: entry.health.into(),
            started_at: (entry.started_at_ms > 0.0).then_some(entry.started_at_ms / 1000.0),
        }
    }

    /// Stores the state of an endpoint according to an entry, and adds it to the updates if it has changed.
    fn update(&mut self, index: usize, entry: &EndpointEntry, change: &mut RegistryChange) {
        let listed = self.endpoint_update(index, self.endpoints[index].listed.order, entry);
        let endpoint = &mut self.endpoints[index];
        if endpoint.last_mention.is_first || endpoint.listed != listed {
            endpoint.listed = listed;
            change.updates.push(listed);
        }
    }

    /// Marks the endpoints that the last list did not name as removed.
    fn mark_missing_as_removed(&mut self, change: &mut RegistryChange) {
        self.examined_endpoints += self.endpoints.len() as u64;
        for (_, endpoint) in &mut self.endpoints {
            let is_missing = endpoint.last_mention.list != self.applied_lists;
            if is_missing && endpoint.listed.state != EndpointState::Removed {
                endpoint.listed.state = EndpointState::Removed;
                change.updates.push(endpoint.listed);
            }
        }
    }

    /// Removes an endpoint that has left and is no longer needed. Its index may be reused from now on. Lists that continue to
    /// report it as left do not add it again.
    ///
    /// # Panics
    /// If no endpoint has this index.
    pub fn remove(&mut self, index: usize) {
        let endpoint = self.endpoints.remove(index);
        self.by_name.remove(&endpoint.name);
        self.removed_names.insert(endpoint.listed.order);
    }

    /// Stores the address of an entry; returns true if the endpoint had a different one. An endpoint that has left may be listed
    /// without an address, which does not affect requests in flight there.
    fn update_address(&mut self, index: usize, entry: &EndpointEntry) -> bool {
        let endpoint = &mut self.endpoints[index];
        let address: Option<SocketAddr> = entry.address.parse().ok();
        if address.is_none() || address == endpoint.address {
            return false;
        }
        let had_address = endpoint.address.is_some();
        endpoint.address = address;
        endpoint.local_failures = LocalFailures::default();
        had_address
    }
}

impl Index<usize> for EndpointRegistry {
    type Output = Endpoint;

    fn index(&self, index: usize) -> &Endpoint {
        &self.endpoints[index]
    }
}

impl IndexMut<usize> for EndpointRegistry {
    fn index_mut(&mut self, index: usize) -> &mut Endpoint {
        &mut self.endpoints[index]
    }
}

/// Hashes a name to the same value on all routers, so that all routers order endpoints alike.
fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
