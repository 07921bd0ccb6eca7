//! What the result of an attempt tells of its group, its endpoint and its class.

use crate::ids::ClassId;
use crate::ids::Id;
use crate::interface::Ending;
use crate::interface::Outcome;
use crate::router::Router;
use crate::state::EASY;
use crate::state::Held;
use crate::state::LEARN;
use crate::state::TIGHT;
use crate::state::TRIAL;

/// In flight from all routers, where slow answers tell of the member or the statement, not of a crowd.
pub(crate) const FEW: f64 = 8.0;
/// Part of the primary's limit that reads may fill; the rest is kept for writes.
pub(crate) const READS_ON_PRIMARY: f64 = 0.5;
/// What a group that was closed to some reads opens in a second; a sixth of its answers may come late.
pub(crate) const REOPEN: f64 = 0.1;

impl Router {
    /// What an execution's end tells of its member and its workload.
    pub(crate) fn learn(&mut self, now: f64, held: &Held, outcome: &Outcome) {
        let class = self.classes.get_mut(ClassId::new(held.stmt.workload));
        let slo_time = class.settings().slo_time;
        let m = &mut self.members[outcome.host];
        let weight = m.weight(now);
        let group = &mut self.groups[m.listed.group];
        let since = (now - group.answered_at).min(TRIAL);
        let stalled = self.stalls.has_stalled_since(held.sent.0);
        // A statement that is long itself tells of no crowd; one that is short could hide it.
        let took = (outcome.took - held.more).max(0.0);
        // Guards against crowds no router sees. A time-out tells of one if answers take long too.
        let late = outcome.ending == Ending::Full || outcome.took.min(took) > slo_time;
        let done = outcome.ending == Ending::Completed;
        self.pace += f64::from(done) * LEARN * ((took / slo_time).min(1.0) - self.pace);
        let crowd = outcome.ending == Ending::TimedOut && self.pace > EASY;
        if !stalled && (done || crowd || outcome.ending == Ending::Full) {
            let step = if late { -group.open / 2.0 } else { REOPEN };
            group.open = (group.open + since * step).clamp(REOPEN / 2.0, 1.0);
        }
        group.answered_at = now;
        // A second try that paid is not counted.
        if done && held.ran.is_some() {
            self.retries.refund();
        }
        let share = if stalled { m.load } else { took / slo_time };
        // Guards against members taken for crowded that are slow themselves: few would be no quicker there.
        let few = m.limit.min(FEW / self.terms.routers as f64);
        let gave_up = matches!(outcome.ending, Ending::TimedOut | Ending::Cancelled);
        // It has answered others since: what came to nothing was long itself, or one answer was lost.
        let mild = gave_up && m.answered_at > held.sent.0;
        let (lost, least) = if mild { (weight / 2.0, few) } else { (weight, 0.0) };
        use Ending::{Completed, Error, Full, Miss, ReadOnly};
        if matches!(outcome.ending, Completed | Miss | ReadOnly | Error | Full) {
            (m.answered_at, m.missed) = (now, 0.0);
        }
        m.missed += f64::from(gave_up);
        if !outcome.ending.never_ran() {
            class.record_work(done.then_some(took));
        }
        match outcome.ending {
            Ending::Completed => {
                if !stalled {
                    class.record_latency(took);
                }
                if m.suspicion.take().is_some() {
                    (m.limit, m.load) = (m.limit / 2.0, EASY);
                }
                m.load += weight * (share - m.load);
                // Reads fill their part of the primary at most, and it is full with that.
                let part = if group.pointer == Some(outcome.host) { READS_ON_PRIMARY } else { 1.0 };
                if m.load < EASY && m.in_flight as f64 >= m.limit * part - 1.0 {
                    m.limit += (1.0 / m.limit).min(m.limit);
                } else if m.load > TIGHT {
                    m.limit = (m.limit * (1.0 - weight / 2.0)).max(few);
                }
            }
            Ending::Error | Ending::Full | Ending::TimedOut | Ending::Cancelled => {
                m.load += lost * (share.max(1.0) - m.load);
                // Full with no more than this of ours: a limit beyond that means nothing.
                if outcome.ending == Ending::Full {
                    (m.full_at, m.limit) = (now, m.limit.min(m.in_flight as f64));
                }
                m.limit = (m.limit * (1.0 - lost)).max(least);
            }
            // Under a cap on connections some fail at a member that answers others.
            Ending::ConnectFailed | Ending::Reset if now - m.answered_at > TRIAL / 2.0 => {
                self.suspect(now, outcome.host, true)
            }
            _ => {}
        }
    }
}
