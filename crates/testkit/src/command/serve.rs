//! `serve`: runs a stand-in store that lines on standard input change.

use std::io::{self, BufRead};

use crate::stand_in::{Behaviour, StandInStore};

use super::{CommandError, DISCOVERY, ENDPOINTS};

/// Health states that discovery can report for an endpoint.
const HEALTH_STATES: [&str; 3] = ["active", "leaving", "left"];

/// Serves until the end of input. Each line sets the behaviour or the health of an endpoint: `0 silent`, `2 leaving`.
pub(super) fn run() -> Result<(), CommandError> {
    let store = StandInStore::default();
    for address in ENDPOINTS {
        println!("host toy-{} at {}", store.endpoint_count(), store.add_endpoint(address)?);
    }
    println!("discovery at {}", store.add_discovery(DISCOVERY)?);
    for line in io::stdin().lock().lines() {
        let line = line?;
        if !apply_line(&store, &line) {
            println!("expected a host's number and a behaviour or a health, found {line:?}");
        }
    }
    Ok(())
}

/// Applies a line of input; returns false if the line is invalid.
fn apply_line(store: &StandInStore, line: &str) -> bool {
    let (number, word) = line.trim().split_once(' ').unwrap_or_default();
    let endpoint = number.parse().ok().filter(|endpoint| *endpoint < store.endpoint_count());
    let Some(endpoint) = endpoint else { return false };
    if let Some(behaviour) = Behaviour::from_name(word) {
        store.set_behaviour(endpoint, behaviour);
    } else if let Some(health) = HEALTH_STATES.into_iter().find(|health| *health == word) {
        store.set_health(endpoint, health);
    } else {
        return false;
    }
    true
}
