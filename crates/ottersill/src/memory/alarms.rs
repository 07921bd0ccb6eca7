//! What falls due by time. Holds at most one alarm for each line and client, one each for discovery, fleet, control, listener and
//! whoever asks; each is taken out when it is due, moved or its owner ends.

use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    Line(usize),
    Client(usize),
    Discovery,
    Fleet,
    /// One who asks at the control listener.
    Asker(usize),
    /// Operators wait in the queue of the control listener.
    Control,
    /// Clients wait at the door.
    Listener,
}

/// A set alarm, to be kept by its owner until it is cleared; by the bits of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Set(u64, Alarm);

#[derive(Default)]
pub struct Alarms {
    by_time: BTreeSet<Set>,
}

/// The bits of seconds that are not negative order as the seconds do, and totally. Nothing is rounded: an alarm that came
/// due a fraction of a microsecond before its owner's time would be set anew by the owner, come due again in the same
/// turn, and so on for ever, as a turn has one time.
fn bits(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Alarms {
    pub fn set(&mut self, at: f64, alarm: Alarm) -> Set {
        let set = Set(bits(at), alarm);
        self.by_time.insert(set);
        set
    }

    pub fn clear(&mut self, set: Option<Set>) {
        if let Some(set) = set {
            self.by_time.remove(&set);
        }
    }

    pub fn next_at(&self) -> Option<f64> {
        self.by_time.first().map(|set| f64::from_bits(set.0))
    }

    pub fn due(&mut self, now: f64) -> Option<Alarm> {
        let first = *self.by_time.first()?;
        if first.0 > bits(now) {
            return None;
        }
        self.by_time.remove(&first);
        Some(first.1)
    }
}
