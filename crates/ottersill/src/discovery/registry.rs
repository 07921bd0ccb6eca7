//! The endpoints that discovery has named, by name and by replica set. An endpoint stays known until the routing module,
//! which refers to it by index, needs it no more ([`EndpointRegistry::remove`]); its index is used again then.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

use ottersill_routing::interface::{EndpointState, EndpointUpdate};
use slab::Slab;

use crate::discovery::endpoint_list::{EndpointEntry, EndpointList, Health};
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
    naming: Naming,
}

/// Which list was the last to name an endpoint.
#[derive(Clone, Copy, Default)]
struct Naming {
    /// Counted from one.
    list: u64,
    /// The last entry there that did.
    entry: usize,
    /// No list has named it before.
    is_first: bool,
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
            naming: Naming::default(),
        }
    }
}

/// What a list has changed.
#[derive(Debug, Default)]
pub struct RegistryChange {
    /// What the routing module is to hear: the entries that say something else than what was known and, after a complete
    /// list, the endpoints that it lacks and that were not gone before.
    pub updates: Vec<EndpointUpdate>,
    /// Endpoints whose address is another one now, by index.
    pub readdressed: Vec<usize>,
}

impl RegistryChange {
    /// The list has said nothing new.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.readdressed.is_empty()
    }
}

/// All endpoints by index, which is also their index in the routing module.
#[derive(Default)]
pub struct EndpointRegistry {
    endpoints: Slab<Endpoint>,
    by_name: HashMap<String, usize>,
    groups: HashMap<u64, usize>,
    sites: Vec<String>,
    /// Hashes of the names of endpoints that were removed and have not been listed as anything but gone since.
    removed: HashSet<u64>,
    /// How many lists were taken over.
    lists: u64,
    /// Endpoints looked at for these.
    looked_at: u64,
    /// When a connection to any endpoint was last begun without a failure, in Unix seconds.
    connect_begun_at: f64,
}

impl EndpointRegistry {
    /// No endpoint is known yet; `sites` are the names of the sites, by their index in the routing module.
    pub fn new(sites: Vec<String>) -> EndpointRegistry {
        EndpointRegistry { sites, ..EndpointRegistry::default() }
    }

    /// All endpoints that are kept, with their indices; those that are gone among them.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.endpoints.iter()
    }

    /// How many endpoints are kept.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// No list has named an endpoint yet.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// How many endpoints were looked at for lists so far. It goes by what these name, not by the size of the fleet; each
    /// complete list looks at all once more.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// The index of the replica set with that number, if a list has named it.
    pub fn group(&self, number: u64) -> Option<usize> {
        self.groups.get(&number).copied()
    }

    /// The endpoint with that label, if a list has named it.
    pub fn by_label(&self, label: u64) -> Option<&Endpoint> {
        self.iter().map(|(_, endpoint)| endpoint).find(|endpoint| endpoint.label == label)
    }

    /// A connection to that endpoint was begun at `now`, in Unix seconds.
    pub fn connect_begun(&mut self, endpoint: usize, now: f64) {
        self.connect_begun_at = now;
        self.endpoints[endpoint].local_failures = LocalFailures::default();
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
                self.endpoints[endpoint].local_failures.note(now, at_least, self.connect_begun_at)
            }
        }
    }

    /// Takes over what a list says. Costs as much as the list names; a complete one is compared with all endpoints. Where a
    /// list names an endpoint more than once, the last entry counts.
    pub fn apply(&mut self, list: &EndpointList) -> RegistryChange {
        self.lists += 1;
        let mut change = RegistryChange::default();
        for index in self.name_endpoints(&list.entries) {
            let entry = &list.entries[self.endpoints[index].naming.entry];
            if self.readdress(index, entry) {
                change.readdressed.push(index);
            }
            self.update(index, entry, &mut change);
        }
        if list.is_complete {
            self.mark_missing_as_gone(&mut change);
        }
        change
    }

    /// Finds the endpoint of each entry, or adds it, and notes there which entry is the last to name it. Returns their
    /// indices in the order in which they are first named.
    fn name_endpoints(&mut self, entries: &[EndpointEntry]) -> Vec<usize> {
        let mut named = Vec::with_capacity(entries.len());
        for (position, entry) in entries.iter().enumerate() {
            let Some(index) = self.find_or_add(entry) else { continue };
            let naming = &mut self.endpoints[index].naming;
            if naming.list != self.lists {
                *naming = Naming { list: self.lists, entry: position, is_first: naming.list == 0 };
                named.push(index);
            }
            naming.entry = position;
        }
        self.looked_at += named.len() as u64;
        named
    }

    /// The index of the endpoint that an entry names; a new name gets a free one. None if the entry calls gone what was
    /// removed for being gone.
    fn find_or_add(&mut self, entry: &EndpointEntry) -> Option<usize> {
        if let Some(index) = self.by_name.get(entry.name.as_str()) {
            return Some(*index);
        }
        let order = name_hash(&entry.name);
        if self.removed.contains(&order) {
            if entry.health == Health::Left {
                return None;
            }
            self.removed.remove(&order);
        }
        let index = self.endpoints.vacant_key();
        let listed = self.listing(index, order, entry);
        self.endpoints.insert(Endpoint::new(&entry.name, listed));
        self.by_name.insert(entry.name.clone(), index);
        Some(index)
    }

    /// What an entry says of an endpoint. A new replica set gets the next index.
    fn listing(&mut self, index: usize, order: u64, entry: &EndpointEntry) -> EndpointUpdate {
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

    /// Stores what an entry says of an endpoint, and notes it if it is new.
    fn update(&mut self, index: usize, entry: &EndpointEntry, change: &mut RegistryChange) {
        let listed = self.listing(index, self.endpoints[index].listed.order, entry);
        let endpoint = &mut self.endpoints[index];
        if endpoint.naming.is_first || endpoint.listed != listed {
            endpoint.listed = listed;
            change.updates.push(listed);
        }
    }

    /// Endpoints that the last list did not name are gone.
    fn mark_missing_as_gone(&mut self, change: &mut RegistryChange) {
        self.looked_at += self.endpoints.len() as u64;
        for (_, endpoint) in &mut self.endpoints {
            let is_missing = endpoint.naming.list != self.lists;
            if is_missing && endpoint.listed.state != EndpointState::Removed {
                endpoint.listed.state = EndpointState::Removed;
                change.updates.push(endpoint.listed);
            }
        }
    }

    /// Removes an endpoint that is gone and of which nothing is needed any more. Its index may be that of another one from
    /// now on. Lists that go on calling it gone add it no more.
    ///
    /// # Panics
    /// If no endpoint has that index.
    pub fn remove(&mut self, index: usize) {
        let endpoint = self.endpoints.remove(index);
        self.by_name.remove(&endpoint.name);
        self.removed.insert(endpoint.listed.order);
    }

    /// Takes over the address of an entry; true if the endpoint had another one. An endpoint that has left may be
    /// listed without an address, which changes nothing for what is in flight there.
    fn readdress(&mut self, index: usize, entry: &EndpointEntry) -> bool {
        let endpoint = &mut self.endpoints[index];
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

/// Alike on all routers, which thereby order endpoints alike.
fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
