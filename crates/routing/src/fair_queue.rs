//! The order in which sources of work are served, so that none of them delays the others for long: deficit round robin
//! between two queues, one for sources with little work and one for sources that had more than their share, as in flow queueing
//! (RFC 8290).
//!
//! A source is served for a share of work at a time. If it needs more, it is backlogged: it is served again after all others that
//! are backlogged, and after the sources with little work, which therefore wait for one round at most. A backlogged source is
//! served in each round in which its turn comes, whatever the others need. Work is counted, not timed, so the same work is
//! served in the same order every time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Units of work for which an ordinary source is served at a time. A short message is one unit: a few microseconds.
pub const ORDINARY_SHARE: u64 = 8;
/// Units of work for which an urgent source is served at a time: the messages of a few answers.
pub const URGENT_SHARE: u64 = 64;
/// Units of work for a client that is read beside another source: as its timer has expired, or as it may be closed to make
/// room. Enough for a startup message and a first statement.
pub const SIDE_SHARE: u64 = 4;
/// Units of work in a visit to the listener, with the messages of clients that are closed to make room, after which the visit ends.
pub const ACCEPT_WORK: u64 = 128;
/// Units of work of ordinary and backlogged sources in one round, after which the round ends.
const WORK_PER_ROUND: u64 = 256;

/// How a source is queued as long as it has not had more than its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// In each round, in the order in which they are queued, before all others. For few sources, with bounded work, on which the others depend.
    Urgent,
    /// In order of arrival, until the work of a round is used up.
    Ordinary,
}

/// Sources that wait to be served, by key.
#[derive(Debug)]
pub struct FairQueue<K> {
    urgent: VecDeque<K>,
    ordinary: VecDeque<K>,
    backlogged: VecDeque<K>,
    /// The keys that were left from the round before.
    left_over: BTreeSet<K>,
    /// The last round in which a source counts as backlogged, for those that had more than their share.
    backlogged_until: BTreeMap<K, u64>,
    round: u64,
    work_left: u64,
    /// Whether a backlogged source was served in this round.
    has_served_backlogged: bool,
    /// Whether the work of the source that is being served counts towards the round's; that of an urgent one does not.
    counts_work: bool,
}

impl Urgency {
    /// Returns the units of work for which a source is served at a time.
    #[must_use]
    pub fn share(self) -> u64 {
        match self {
            Urgency::Urgent => URGENT_SHARE,
            Urgency::Ordinary => ORDINARY_SHARE,
        }
    }
}

impl<K: Copy + Ord> Default for FairQueue<K> {
    fn default() -> FairQueue<K> {
        FairQueue {
            urgent: VecDeque::new(),
            ordinary: VecDeque::new(),
            backlogged: VecDeque::new(),
            left_over: BTreeSet::new(),
            backlogged_until: BTreeMap::new(),
            round: 0,
            work_left: 0,
            has_served_backlogged: false,
            counts_work: false,
        }
    }
}

impl<K: Copy + Ord> FairQueue<K> {
    /// Queues a source that has work; has no effect if it is left from an earlier round. To be called once for each source in a
    /// round.
    pub fn push(&mut self, key: K, urgency: Urgency) {
        if self.left_over.contains(&key) {
            return;
        }
        if self.is_backlogged(key) {
            self.backlogged.push_back(key);
            return;
        }
        match urgency {
            Urgency::Urgent => self.urgent.push_back(key),
            Urgency::Ordinary => self.ordinary.push_back(key),
        }
    }

    fn is_backlogged(&mut self, key: K) -> bool {
        let Some(until) = self.backlogged_until.get(&key) else { return false };
        let is_backlogged = self.round <= *until;
        if !is_backlogged {
            self.backlogged_until.remove(&key);
        }
        is_backlogged
    }

    /// Begins a round. To be called before the sources that became ready meanwhile are queued.
    pub fn begin_round(&mut self) {
        self.round += 1;
        self.left_over.clear();
        self.left_over.extend(self.ordinary.iter().chain(&self.backlogged));
        self.work_left = WORK_PER_ROUND;
        self.has_served_backlogged = false;
    }

    /// Takes out the next source to serve in this round; `None` if the round is over.
    pub fn pop(&mut self) -> Option<K> {
        let urgent = self.urgent.pop_front();
        self.counts_work = urgent.is_none();
        urgent.or_else(|| self.pop_ordinary()).or_else(|| self.pop_backlogged())
    }

    fn pop_ordinary(&mut self) -> Option<K> {
        if self.work_left == 0 { None } else { self.ordinary.pop_front() }
    }

    fn pop_backlogged(&mut self) -> Option<K> {
        if self.work_left == 0 && self.has_served_backlogged {
            return None;
        }
        let key = self.backlogged.pop_front()?;
        self.has_served_backlogged = true;
        Some(key)
    }

    /// Records the work for which the source taken out last was served; a visit that finds none counts as one unit. A source that
    /// had its share or more is backlogged for as many rounds as it had shares.
    pub fn record_work(&mut self, key: K, urgency: Urgency, work: u64) {
        if self.counts_work {
            self.work_left = self.work_left.saturating_sub(work.max(1));
        }
        if work >= urgency.share() {
            self.backlogged_until.insert(key, self.round + work / urgency.share());
        }
    }

    /// Returns whether no source is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of sources that are queued.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len() + self.backlogged.len()
    }
}
