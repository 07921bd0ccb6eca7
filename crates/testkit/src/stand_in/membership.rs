//! Endpoints that join and leave the store, as in a rolling replacement.

use crate::clock::unix_ms;

use super::behaviour::Behaviour;
use super::state::{ACTIVE, State};

/// Indices of the endpoints that join and leave in one change of discovery's list.
#[derive(Clone, Debug, Default)]
pub struct MembershipChange {
    /// Endpoints that have just started and become listed.
    pub joining: Vec<usize>,
    /// Endpoints that finish their statements in flight. A primary among them hands that role to another active endpoint of
    /// its replica set.
    pub leaving: Vec<usize>,
    /// Endpoints that are out of service.
    pub left: Vec<usize>,
}

impl State {
    /// Applies the change under the current version of the list.
    pub(super) fn change_members(&mut self, change: &MembershipChange) {
        let now_ms = unix_ms();
        for index in &change.joining {
            self.change_endpoint(*index, |endpoint| {
                endpoint.is_listed = true;
                endpoint.started_ms = now_ms;
            });
        }
        for index in &change.leaving {
            self.change_endpoint(*index, |endpoint| endpoint.health = "leaving");
            self.hand_over_primary(*index);
        }
        for index in &change.left {
            self.change_endpoint(*index, |endpoint| endpoint.health = "left");
        }
    }

    /// If endpoint `from` is the primary, makes another active endpoint of its replica set the primary, if there is one.
    fn hand_over_primary(&mut self, from: usize) {
        let group = self.endpoints[from].group;
        let successor = self
            .endpoints
            .iter()
            .position(|endpoint| endpoint.group == group && endpoint.is_listed && endpoint.health == ACTIVE);
        if let Some(successor) = successor.filter(|_| self.endpoints[from].is_primary) {
            self.endpoints[from].set_behaviour(Behaviour::Replica);
            self.endpoints[successor].set_behaviour(Behaviour::Primary);
        }
    }
}
