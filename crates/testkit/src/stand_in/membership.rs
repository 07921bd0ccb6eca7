//! Endpoints that join and leave the store, as a rolling replacement brings it about.

use crate::clock::unix_ms;

use super::behaviour::Behaviour;
use super::state::{ACTIVE, State};

/// Which endpoints join and leave in one change of discovery's list; by their indices.
#[derive(Clone, Debug, Default)]
pub struct MembershipChange {
    /// Have just started, and are listed from now on.
    pub joining: Vec<usize>,
    /// Finish what they have. One that is the primary hands that role to another member in service.
    pub leaving: Vec<usize>,
    /// Are out of service.
    pub left: Vec<usize>,
}

impl State {
    /// Makes the change, in the version of the list that is current.
    pub(super) fn change_members(&mut self, change: &MembershipChange) {
        let now_ms = unix_ms();
        for joining in &change.joining {
            self.change_endpoint(*joining, |endpoint| {
                endpoint.is_listed = true;
                endpoint.started_ms = now_ms;
            });
        }
        for leaving in &change.leaving {
            self.change_endpoint(*leaving, |endpoint| endpoint.health = "leaving");
            self.hand_over_primary(*leaving);
        }
        for left in &change.left {
            self.change_endpoint(*left, |endpoint| endpoint.health = "left");
        }
    }

    /// Makes another member in service the primary, if there is one and the role is this endpoint's.
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
