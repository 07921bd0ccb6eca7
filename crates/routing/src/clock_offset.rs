//! How far the clock that others go by is from the router's: measured, as a router may be started on a machine whose wall
//! clock is wrong.
//!
//! Positions, start times and the commits that clients name are Unix times of others. [`ClockOffset`] compares the positions
//! that endpoints tell with the router's own time and says what they are on the router's clock:
//!
//! - A position never lies ahead of the clock of its endpoint, and may lie any time behind it: that of a replica by its lag,
//!   that of a report by its age. So only answers of primaries, which stand at the present, may tell of an offset. Going by
//!   replicas would make old data pass for new.
//! - Any endpoint may tell that there is no offset, by a position close to the router's time. While that is so the offset is
//!   exactly zero and every time is taken as it is told.
//! - One endpoint with a wrong clock must not move the router's time: several primaries have to agree where several groups
//!   are known, and these groups have to be more than those in which an endpoint contradicts them.
//! - Until the offset is known no replica's position is known either, so that reads that need one go to the primary, and an
//!   endpoint counts as started when it was first listed.
//!
//! Where endpoints and router agree there is nothing to measure: offsets of less than `AHEAD_TOLERANCE` and
//! `REPORT_AGE` are taken for none.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Role;

/// Seconds that a position may lie ahead of the router's time without saying anything: the time for which an event loop
/// that is held up goes by an old reading.
const AHEAD_TOLERANCE: f64 = 0.1;
/// Seconds that a report, and so the position in it, may be old: what endpoints refresh it in, and its way.
const REPORT_AGE: f64 = 1.5;
/// Seconds by which the offsets that primaries tell may differ and still be the same.
const SAME_OFFSET: f64 = 0.25;
/// Answers of one primary that have to tell the same before it counts.
const CONFIRMING_ANSWERS: u32 = 3;
/// Seconds that these must be spread over at least: more than [`AHEAD_TOLERANCE`], so that a position that stands still is told
/// from one that moves.
const CONFIRMING_SPAN: f64 = 0.5;
/// Seconds without a confirming answer after which a primary's earlier ones no longer count.
const CONFIRMING_GAP: f64 = 2.0;
/// Primaries that have to agree, where so many groups are known that this is no more than their majority.
const QUORUM: usize = 3;
/// Seconds for which what an endpoint has told is held for or against an offset.
const MEMORY: f64 = 10.0;
/// Seconds between two changes of a known offset. Their size has no bound: after a clock was set by an hour, a part of the
/// hour would be right for nobody.
const STEP_INTERVAL: f64 = 10.0;
/// Seconds between two counts of who tells what, which look at each endpoint.
const COUNT_INTERVAL: f64 = 0.25;

/// Where a position was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// In an answer, which speaks of now.
    Answer,
    /// In a load report, which is as old as it is.
    Report,
}

/// A position that an endpoint told.
#[derive(Clone, Copy, Debug)]
pub struct PositionSample {
    /// The endpoint, by its index.
    pub endpoint: usize,
    /// Its group, by its index.
    pub group: usize,
    /// The role that it told along with the position.
    pub role: Option<Role>,
    /// Where it was told.
    pub source: PositionSource,
    /// The position, in seconds on the clock of the endpoint.
    pub position: f64,
}

/// What a sample has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OffsetChange {
    /// Nothing.
    None,
    /// It is known now that there is none.
    Settled,
    /// It is another one than was known or assumed: positions taken over until now can't be compared with new ones.
    Stepped,
}

/// What an endpoint's last position says of the offset in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Verdict {
    /// Nothing: it may be old.
    #[default]
    Silent,
    /// It is what it should be.
    Agrees,
    /// It lies ahead of the time that the endpoint should have.
    Ahead,
}

#[derive(Clone, Copy, Debug, Default)]
struct Opinion {
    verdict: Verdict,
    group: usize,
    at: f64,
}

/// What the answers of a group's primary tell that contradicts the offset in force.
#[derive(Clone, Copy, Debug)]
struct Witness {
    endpoint: usize,
    /// The highest offset that it told: the one with the least delay.
    offset: f64,
    /// The answers that told it, within [`AHEAD_TOLERANCE`].
    answers: u32,
    first_at: f64,
    last_at: f64,
}

impl Witness {
    fn new(now: f64, endpoint: usize, offset: f64) -> Witness {
        Witness { endpoint, offset, answers: 1, first_at: now, last_at: now }
    }

    /// One more answer. A lower offset is that of a late answer, or of a position that stands still: it confirms nothing.
    fn hear(&mut self, now: f64, endpoint: usize, offset: f64) {
        let is_over = endpoint != self.endpoint || now - self.last_at > CONFIRMING_GAP;
        if is_over || offset > self.offset + AHEAD_TOLERANCE {
            *self = Witness::new(now, endpoint, offset);
        } else if offset >= self.offset - AHEAD_TOLERANCE {
            self.offset = self.offset.max(offset);
            self.answers += 1;
            self.last_at = now;
        }
    }

    fn is_confirmed(&self) -> bool {
        self.answers >= CONFIRMING_ANSWERS && self.last_at - self.first_at >= CONFIRMING_SPAN
    }
}

/// The offset of the clock that others go by against the router's, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    /// Seconds to be taken off the times of others; `None` until it is known.
    offset: Option<f64>,
    stepped_at: Option<f64>,
    counted_at: f64,
    groups: usize,
    /// By endpoint.
    opinions: Vec<Opinion>,
    /// Primaries that contradict the offset in force, by group.
    witnesses: BTreeMap<usize, Witness>,
}

impl ClockOffset {
    /// Seconds by which the clock of others is ahead of the router's; negative if it is behind, `None` while that is not known.
    #[must_use]
    pub fn offset(&self) -> Option<f64> {
        self.offset
    }

    /// A group was listed; `index` is its own.
    pub fn note_group(&mut self, index: usize) {
        self.groups = self.groups.max(index + 1);
    }

    /// Learns from a position, and says whether the offset is another one now.
    pub fn observe(&mut self, now: f64, sample: &PositionSample) -> OffsetChange {
        let told = sample.position - now;
        let verdict = judge(told - self.offset.unwrap_or(0.0));
        self.record_opinion(sample.endpoint, Opinion { verdict, group: sample.group, at: now });
        if verdict == Verdict::Agrees {
            self.forget_witness(sample);
            return self.settle_at_zero(now);
        }
        let is_from_primary = sample.source == PositionSource::Answer && sample.role == Some(Role::Primary);
        if is_from_primary && self.hear_witness(now, sample, told).is_confirmed() {
            return self.consider(now, sample.group);
        }
        OffsetChange::None
    }

    /// A position that was told, on the router's clock; `None` while the offset is not known.
    ///
    /// A claim to be the primary would be lost without a position that can be believed. A primary stands at the present, and a
    /// report is at most `REPORT_AGE` old, whatever the clock of its endpoint says.
    #[must_use]
    pub fn local_position(&self, now: f64, sample: &PositionSample) -> Option<f64> {
        let local = self.offset.map(|offset| sample.position - offset);
        let is_claim = sample.source == PositionSource::Report && sample.role == Some(Role::Primary);
        let is_believable = local.is_some_and(|position| position <= now);
        if is_claim && !is_believable { Some(now - REPORT_AGE) } else { local }
    }

    /// When an endpoint was started, on the router's clock; it was first listed with that time at `listed_at`, and had been
    /// started by then.
    #[must_use]
    pub fn local_start(&self, started_at: f64, listed_at: f64) -> f64 {
        self.offset.map_or(listed_at, |offset| (started_at - offset).min(listed_at))
    }

    /// Seconds since a commit that a client names by its position; negative if that lies ahead. While the offset is not known
    /// no replica's position is, and this need not be right: [`OffsetChange::Stepped`] has requests ask for more.
    #[must_use]
    pub fn since_commit(&self, now: f64, position: f64) -> f64 {
        now - (position - self.offset.unwrap_or(0.0))
    }

    fn record_opinion(&mut self, endpoint: usize, opinion: Opinion) {
        if endpoint >= self.opinions.len() {
            self.opinions.resize(endpoint + 1, Opinion::default());
        }
        self.opinions[endpoint] = opinion;
    }

    /// A primary's answer contradicts the offset in force.
    fn hear_witness(&mut self, now: f64, sample: &PositionSample, offset: f64) -> Witness {
        match self.witnesses.get_mut(&sample.group) {
            Some(witness) => {
                witness.hear(now, sample.endpoint, offset);
                *witness
            }
            None => {
                let witness = Witness::new(now, sample.endpoint, offset);
                self.witnesses.insert(sample.group, witness);
                witness
            }
        }
    }

    /// An endpoint agrees with the offset in force: what it told before counts no more.
    fn forget_witness(&mut self, sample: &PositionSample) {
        if self.witnesses.get(&sample.group).is_some_and(|witness| witness.endpoint == sample.endpoint) {
            self.witnesses.remove(&sample.group);
        }
    }

    /// An endpoint agrees with the router's clock: there is no offset, unless as many are ahead of it.
    fn settle_at_zero(&mut self, now: f64) -> OffsetChange {
        if self.offset.is_some() || self.count(now, Verdict::Agrees) <= self.count(now, Verdict::Ahead) {
            return OffsetChange::None;
        }
        self.offset = Some(0.0);
        OffsetChange::Settled
    }

    /// How many endpoints have said so of late.
    fn count(&self, now: f64, verdict: Verdict) -> usize {
        self.recent(now, verdict).count()
    }

    fn recent(&self, now: f64, verdict: Verdict) -> impl Iterator<Item = &Opinion> {
        self.opinions.iter().filter(move |opinion| opinion.verdict == verdict && now - opinion.at <= MEMORY)
    }

    /// The primary of a group has confirmed another offset: takes it over if enough others tell the same.
    fn consider(&mut self, now: f64, group: usize) -> OffsetChange {
        let has_stepped = self.stepped_at.is_some_and(|stepped_at| now - stepped_at < STEP_INTERVAL);
        if has_stepped || now - self.counted_at < COUNT_INTERVAL {
            return OffsetChange::None;
        }
        self.counted_at = now;
        self.witnesses.retain(|_, witness| now - witness.last_at <= MEMORY);
        let candidate = self.witnesses[&group].offset;
        let confirmed = self.witnesses.values().filter(|witness| witness.is_confirmed());
        let (same, others): (Vec<&Witness>, Vec<&Witness>) =
            confirmed.partition(|witness| (witness.offset - candidate).abs() <= SAME_OFFSET);
        let agreeing: BTreeSet<usize> =
            self.recent(now, Verdict::Agrees).map(|opinion| opinion.group).collect();
        if same.len() < self.quorum() || same.len() <= agreeing.len().max(others.len()) {
            return OffsetChange::None;
        }
        // A position never lies ahead of its endpoint's clock: the highest is nearest, and makes data look oldest.
        let highest = same.iter().map(|witness| witness.offset).fold(candidate, f64::max);
        self.step(now, highest)
    }

    /// How many primaries have to agree: a majority of the groups, of which more than [`QUORUM`] are not waited for.
    fn quorum(&self) -> usize {
        (self.groups / 2 + 1).min(QUORUM)
    }

    fn step(&mut self, now: f64, measured: f64) -> OffsetChange {
        let assumed = self.offset.or(Some(0.0));
        // A clock that agrees with the router's has no offset.
        self.offset = Some(if judge(measured) == Verdict::Agrees { 0.0 } else { measured });
        self.stepped_at = Some(now);
        self.opinions.clear();
        self.witnesses.clear();
        if assumed == self.offset { OffsetChange::Settled } else { OffsetChange::Stepped }
    }
}

/// What a position says that is ahead of the time that its endpoint should have by so many seconds.
fn judge(ahead: f64) -> Verdict {
    if ahead > AHEAD_TOLERANCE {
        Verdict::Ahead
    } else if ahead >= -REPORT_AGE {
        Verdict::Agrees
    } else {
        Verdict::Silent
    }
}
