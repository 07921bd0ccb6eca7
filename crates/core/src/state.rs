//! What a [`Router`](crate::Router) keeps of its statements, members, groups and workloads. Nothing here
//! decides.

use crate::interface::{Listed, Role, Statement, Workload};

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
    pub ran: Option<(f64, usize)>,
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
    /// Statements that were rejected of late: those that replicas may answer, and those that need the primary.
    pub rejected_reads: f64,
    pub rejected_writes: f64,
    /// Statements that were answered of late, each by what the group could do then, in sizes of warm members.
    pub answers: f64,
    /// Of these, those that need the primary, each by what the member that answered could do then.
    pub answered_writes: f64,
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

/// What differs by workload and is learnt.
#[derive(Clone, Debug)]
pub struct Row {
    pub terms: Workload,
    pub typical: f64,
    /// The time most clients give a first try, and by how many votes it leads.
    pub usual: (f64, i32),
    pub may_return: f64,
    /// Seconds that its executions took of late.
    pub work: f64,
}
