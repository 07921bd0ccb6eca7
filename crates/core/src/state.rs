//! What a [`Router`](crate::Router) keeps of its statements, members, groups and workloads.

use crate::interface::{Listed, Role, Statement};
use crate::retry::PossibleEffect;

/// Answers that use this part of the SLO time on average leave room for long ones; the second does not.
pub(crate) const EASY: f64 = 0.35;
pub(crate) const TIGHT: f64 = 0.5;
/// Time between trials of a suspect, and after which what was learnt of a member counts half.
pub(crate) const TRIAL: f64 = 1.0;
/// Seconds over which worth is weighed and a word on load fades; change a beat of what is held back.
pub(crate) const WORTH: f64 = 5.0;
/// Weight of the newest answer in what is learnt of a member; a fifth of it in what is learnt of a workload.
pub(crate) const LEARN: f64 = 0.1;
/// Time after which a member that took nothing is tried again.
pub(crate) const FORGET: f64 = 15.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Vacant,
    Waiting,
    Executing(usize),
    /// Called off, the outcome still to come.
    Recalled(usize),
    /// Has its final answer, or its client left, while an execution is still out.
    Abandoned(usize),
}

impl State {
    pub fn out_at(self) -> Option<usize> {
        match self {
            State::Executing(host) | State::Recalled(host) | State::Abandoned(host) => Some(host),
            State::Vacant | State::Waiting => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Held {
    pub state: State,
    pub stmt: Statement,
    pub arrived: f64,
    /// From here on an execution would earn nothing.
    pub start_by: f64,
    /// The position a member needs, for session reads that tell their last write.
    pub mark: f64,
    /// Seconds that its own work takes over what is usual in its workload; below zero if it takes less.
    pub more: f64,
    pub rank: f64,
    /// The counter of its own lots.
    pub lot: u64,
    /// Its importance, if this is the client's first try as far as can be told.
    pub worth: f64,
    pub executions: u32,
    /// When and where the last execution was sent; when it came, where none was.
    pub sent: (f64, Option<usize>),
    /// When and where an execution was first sent that may have run.
    pub ran: Option<PossibleEffect>,
}

#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    pub trial_at: f64,
    /// Connections fail, rather than answers.
    pub lost: bool,
    /// A probe was not answered since: the process is away, and comes back cold.
    pub dark: bool,
    pub probe_ok: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    pub listed: Listed,
    pub drained: bool,
    pub cold_since: Option<f64>,
    pub role: Option<Role>,
    /// Claims of being primary that are not newer than this are disregarded.
    pub denied_at: f64,
    pub lsn: f64,
    /// How far that position lay back when it was heard of.
    pub lag: f64,
    /// The part of it that was busy, and when it told that.
    pub busy: f64,
    pub busy_at: f64,
    /// When it told its position last.
    pub told_at: f64,
    /// It turned a read away, and has not told its position since.
    pub turns_away: bool,
    pub reports: bool,
    pub probe_out: bool,
    pub probed_at: f64,
    /// When an execution last came back from it; probes are answered beside the queue and prove less.
    pub answered_at: f64,
    /// When it last said that it is full.
    pub full_at: f64,
    /// Executions that ended without an answer since.
    pub missed: f64,
    pub in_flight: usize,
    /// Executions that this router may have out there, where the fleet divides a budget for it.
    pub units: Option<f64>,
    /// Executions that it may send there now while the host is cold, where the fleet has a budget for that.
    pub tokens: Option<f64>,
    pub limit: f64,
    /// Mean time of answers as a part of their SLO time.
    pub load: f64,
    pub suspicion: Option<Suspicion>,
}

#[derive(Clone, Debug, Default)]
pub struct Group {
    pub members: Vec<usize>,
    pub pointer: Option<usize>,
    /// Who was last believed to be primary, by word of when.
    pub claimant: Option<usize>,
    pub claim: f64,
    /// The part of reads let through, by how many come late, and when an answer last came.
    pub open: f64,
    pub answered_at: f64,
    /// All marks up to here were forgotten, as all members had them.
    pub floor: f64,
    /// The part of writes that is held back.
    pub held_back: f64,
    /// Importance, of late, of the bounded reads given up, of all short ones, and of the writes.
    pub reads_lost: f64,
    pub reads: f64,
    pub writes: f64,
    /// Highest rank first, then newest, as the oldest would come late; sends, rejections, hangups empty it.
    pub waiting: Vec<usize>,
}

impl Member {
    /// Weight of one answer: what was learnt fades, and a router that hears rarely has little else to go by.
    pub(crate) fn weight(&self, now: f64) -> f64 {
        let since = now - self.answered_at;
        (since / (since + TRIAL)).clamp(LEARN, 0.5)
    }

    /// The part of it that is free, by its own word, or where it has none for that by how its answers come.
    pub(crate) fn spare(&self, now: f64) -> f64 {
        let (told, late) = (self.busy * (-(now - self.busy_at) / WORTH).exp(), self.load - EASY);
        (1.0 - if self.busy_at > 0.0 { told } else { late / (TIGHT - EASY) }).clamp(0.05, 1.0)
    }

    /// Whether one more execution is within a part of the limit, of which the fraction goes by lot, as
    /// hundreds of routers may have one out. A bad word fades, or nothing better would be heard.
    pub(crate) fn holds(&self, now: f64, part: f64, odds: f64) -> bool {
        let limit = self.limit.max(((now - self.answered_at) / FORGET).min(1.0));
        let granted = self.units.is_none_or(|units| (self.in_flight as f64) < units);
        granted && (self.in_flight as f64) + odds < limit * part
    }
}
