//! SIGHUP: the charter is read again, and discovery is asked where it names it now.

use slog::{info, warn};

use crate::lifecycle::charter::{self, Charter};
use crate::wire::exchange::Exchange;

/// What discovery has to tell counts as told this long after SIGHUP, as the service page has it; seconds. Until then
/// a charter that can't be read is tried again, as it may be half written.
const TOLD: f64 = 4.0;
/// Between two such readings; seconds.
const AGAIN: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Course {
    /// Nobody has asked.
    Resting,
    /// Asked at `since`; the next reading is at `again_at`.
    Reading { since: f64, again_at: f64 },
}

pub struct Reload {
    /// The charter that the router goes by.
    charter: Charter,
    course: Course,
}

impl Reload {
    pub fn new(charter: Charter) -> Reload {
        Reload { charter, course: Course::Resting }
    }

    pub fn next_at(&self) -> f64 {
        match self.course {
            Course::Resting => f64::INFINITY,
            Course::Reading { again_at, .. } => again_at,
        }
    }

    /// One more SIGHUP while a reading is due asks for the same.
    pub fn ask(&mut self, now: f64) {
        self.course = Course::Reading { since: now, again_at: now };
    }

    pub fn turn(&mut self, exchange: &mut Exchange) {
        let now = exchange.now;
        let Course::Reading { since, again_at } = self.course else { return };
        if now < again_at {
            return;
        }
        self.course = match charter::find() {
            Ok(charter) => {
                self.take(charter, exchange);
                Course::Resting
            }
            Err(fault) => {
                if again_at == since {
                    warn!(exchange.log, "charter not taken, all goes on as it was"; "fault" => fault);
                }
                exchange.counters.reloads_failed += 1;
                let again_at = now + AGAIN;
                if again_at < since + TOLD { Course::Reading { since, again_at } } else { Course::Resting }
            }
        };
    }

    fn take(&mut self, charter: Charter, exchange: &mut Exchange) {
        exchange.counters.reloads += 1;
        let needs_restart = self.charter.differs(&charter).join(",");
        info!(exchange.log, "charter read again"; "discovery" => %charter.discovery,
            "needs_restart" => needs_restart);
        // What needs a restart is told of each time, so only what was taken over is kept.
        self.charter.discovery = charter.discovery;
        exchange.with_discovery(|client, context| client.move_to(charter.discovery, context));
    }
}
