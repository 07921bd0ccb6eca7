//! What falls due by time. Holds at most one alarm for each line and client, one each for discovery and listener; each is taken out when
//! it is due, moved or its owner ends.

use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    Line(usize),
    Client(usize),
    Discovery,
    /// Clients wait at the door.
    Listener,
}

/// A set alarm, to be kept by its owner until it is cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Set(u64, Alarm);

#[derive(Default)]
pub struct Alarms {
    by_time: BTreeSet<Set>,
}

/// Microseconds order alike and totally, as floating seconds do not; rounded up, so that none is early.
fn micros(at: f64) -> u64 {
    (at * 1e6).ceil() as u64
}

impl Alarms {
    pub fn set(&mut self, at: f64, alarm: Alarm) -> Set {
        let set = Set(micros(at), alarm);
        self.by_time.insert(set);
        set
    }

    pub fn clear(&mut self, set: Option<Set>) {
        if let Some(set) = set {
            self.by_time.remove(&set);
        }
    }

    pub fn next_at(&self) -> Option<f64> {
        self.by_time.first().map(|set| set.0 as f64 / 1e6)
    }

    pub fn due(&mut self, now: f64) -> Option<Alarm> {
        let first = *self.by_time.first()?;
        if first.0 > micros(now) {
            return None;
        }
        self.by_time.remove(&first);
        Some(first.1)
    }
}
