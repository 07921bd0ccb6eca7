//! Endpoints by name and by index.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ottersill_routing::interface::{EndpointState, EndpointUpdate};

use crate::error::EventError;
use crate::wire::event::Entry;

/// Every endpoint that a list has named, also those that are gone. Its index is its place in the order in which they
/// were first named.
#[derive(Default)]
pub(super) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    by_name: HashMap<String, usize>,
}

struct Endpoint {
    name: String,
    /// The last entry that named it.
    listed: EndpointUpdate,
}

impl EndpointTable {
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub(super) fn name(&self, index: usize) -> &str {
        &self.endpoints[index].name
    }

    pub(super) fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Takes in an entry and returns it with indices. `group_index` gives the index of a group by its number.
    pub(super) fn update(
        &mut self,
        entry: &Entry,
        sites: &[String],
        group_index: impl FnOnce(u64) -> usize,
    ) -> Result<EndpointUpdate, EventError> {
        let state = endpoint_state(entry.state)?;
        let known = self.index_of(&entry.host);
        let listed = EndpointUpdate {
            endpoint: known.unwrap_or(self.endpoints.len()),
            order: name_hash(&entry.host),
            group: group_index(entry.set),
            site: sites.iter().position(|site| *site == entry.site),
            size: entry.power_hint,
            state,
            started_at: (entry.started_at_ms > 0.0).then_some(entry.started_at_ms / 1000.0),
        };
        if known.is_some() {
            self.endpoints[listed.endpoint].listed = listed;
        } else {
            self.by_name.insert(entry.host.clone(), listed.endpoint);
            self.endpoints.push(Endpoint { name: entry.host.clone(), listed });
        }
        Ok(listed)
    }

    /// The first `known` endpoints without those in `list`, each as gone.
    pub(super) fn absent_from(&self, list: &[EndpointUpdate], known: usize) -> Vec<EndpointUpdate> {
        let mut present = vec![false; known];
        for listed in list {
            if let Some(present) = present.get_mut(listed.endpoint) {
                *present = true;
            }
        }
        let absent = self.endpoints.iter().zip(present).filter(|(_, present)| !present);
        absent
            .map(|(endpoint, _)| EndpointUpdate { state: EndpointState::Removed, ..endpoint.listed })
            .collect()
    }
}

fn endpoint_state(state: u8) -> Result<EndpointState, EventError> {
    match state {
        0 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Removed),
        3 => Ok(EndpointState::Draining),
        unknown => Err(EventError::UnknownState(unknown)),
    }
}

/// A number that is the same for an endpoint at every router, as its index is not.
fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
