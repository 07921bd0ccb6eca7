//! The mapping between endpoint names on the wire and endpoint indices of routing.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ottersill_routing::interface::{EndpointState, EndpointUpdate};

use crate::error::EventError;
use crate::wire::event::Entry;

/// All endpoints that any list has contained, including those that have been removed. Indices are assigned in the order
/// in which endpoints first appear.
#[derive(Default)]
pub(super) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    by_name: HashMap<String, usize>,
}

struct Endpoint {
    name: String,
    /// The most recent list entry of the endpoint.
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

    /// Applies a list entry and returns it with indices in place of names. `group_index` returns the index of the group with
    /// the given number.
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

    /// Returns those of the first `known` endpoints that are not in `list`, each with the state `Removed`.
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

/// Returns a hash of the endpoint's name. Unlike its index, it is the same at every router.
fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
