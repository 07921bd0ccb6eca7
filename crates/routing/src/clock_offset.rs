//! Measures the offset between the router's clock and the clock of the endpoints and clients, as a router may be
//! started on a machine whose wall clock is wrong.
//!
//! Replication positions, start times and the commits that clients name are Unix times read from other clocks.
//! [`ClockOffset`] compares the positions that endpoints report with the router's own time and converts such times to
//! the router's clock:
//!
//! - A position never lies ahead of the clock of its endpoint, and may lie any time behind it: that of a replica by
//!   its lag, that of a load report by its age. Only answers of primaries, whose positions are current, are therefore
//!   evidence of an offset. Relying on replicas would cause old data to be treated as recent.
//! - Any endpoint may show that there is no offset, by a position close to the router's time. While that is so, the
//!   offset is exactly zero and every time is used as it was reported.
//! - A single endpoint with a wrong clock must not change the offset: if there are several groups, several primaries
//!   have to agree, and their groups have to outnumber both the groups in which an endpoint agrees with the offset in
//!   force and those whose primaries show yet another offset.
//! - Until the offset is known, the position of every replica counts as unknown, so that reads which require a
//!   position go to the primary, and an endpoint counts as started when it was first listed.
//!
//! An offset that puts positions less than `AHEAD_TOLERANCE_SECONDS` ahead of the router's time or less than
//! `MAX_REPORT_AGE_SECONDS` behind it counts as none.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Role;

/// Seconds that a position may lie ahead of the router's time without being evidence of an offset: the time for which
/// a stalled event loop may use an old clock reading.
const AHEAD_TOLERANCE_SECONDS: f64 = 0.1;
/// Seconds that a load report, and so the position in it, may be old: the interval at which endpoints refresh it,
/// plus its transmission time.
const MAX_REPORT_AGE_SECONDS: f64 = 1.5;
/// Seconds by which the offsets measured at several primaries may differ and still count as the same.
const SAME_OFFSET_SECONDS: f64 = 0.25;
/// Number of answers of one primary that have to show the same offset before the offset is used as evidence.
const CONFIRMING_ANSWERS: u32 = 3;
/// Minimum seconds between the first and the last of these answers: more than [`AHEAD_TOLERANCE_SECONDS`], so that a
/// position that does not advance is distinguished from one that does.
const CONFIRMING_SPAN_SECONDS: f64 = 0.5;
/// Seconds without a confirming answer after which a primary's earlier ones no longer count.
const MAX_CONFIRMING_GAP_SECONDS: f64 = 2.0;
/// Number of primaries that have to agree, unless a majority of the groups is fewer.
const QUORUM: usize = 3;
/// Seconds for which the positions of an endpoint count for or against an offset.
const EVIDENCE_WINDOW_SECONDS: f64 = 10.0;
/// Seconds between two changes of a known offset. The size of a change is not limited: if a clock was set by an hour,
/// a correction by a part of the hour would be right for no endpoint.
const STEP_INTERVAL_SECONDS: f64 = 10.0;
/// Seconds between two counts of the evidence, each of which examines every endpoint.
const COUNT_INTERVAL_SECONDS: f64 = 0.25;

/// How a position was reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// The position came in an answer, which describes the current time.
    Answer,
    /// The position came in a load report, which may be some time old.
    Report,
}

/// A position reported by an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PositionSample {
    /// The index of the endpoint.
    pub endpoint: usize,
    /// The index of its group.
    pub group: usize,
    /// The role reported along with the position.
    pub role: Option<Role>,
    /// How the position was reported.
    pub source: PositionSource,
    /// The position, in seconds on the clock of the endpoint.
    pub position: f64,
}

/// How a sample has changed the offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OffsetChange {
    /// The offset has not changed.
    None,
    /// The offset is now known to be zero.
    Settled,
    /// The offset differs from the one known or assumed before: positions converted so far cannot be compared with
    /// new ones.
    Stepped,
}

/// How the last position of an endpoint relates to the offset in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Verdict {
    /// Is no evidence, as the position may be old.
    #[default]
    Inconclusive,
    /// Agrees with the offset.
    Agrees,
    /// Lies ahead of the time that the endpoint's clock should show.
    Ahead,
}

/// The verdict on the last position of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointVerdict {
    verdict: Verdict,
    group: usize,
    /// When the position was received, in seconds.
    at: f64,
}

/// An offset measured from the answers of a group's primary that contradicts the offset in force.
#[derive(Clone, Copy, Debug)]
struct MeasuredOffset {
    endpoint: usize,
    /// The largest offset that an answer showed, in seconds: the one with the least delay.
    offset: f64,
    /// The number of answers that showed it, within [`AHEAD_TOLERANCE_SECONDS`].
    answers: u32,
    /// When the first and the last of these answers arrived, in seconds.
    first_at: f64,
    last_at: f64,
}

impl MeasuredOffset {
    fn new(now: f64, endpoint: usize, offset: f64) -> MeasuredOffset {
        MeasuredOffset { endpoint, offset, answers: 1, first_at: now, last_at: now }
    }

    /// Adds an answer. A lower offset comes from a late answer, or from a position that does not advance, and
    /// confirms nothing.
    fn record_answer(&mut self, now: f64, endpoint: usize, offset: f64) {
        let is_superseded = endpoint != self.endpoint || now - self.last_at > MAX_CONFIRMING_GAP_SECONDS;
        if is_superseded || offset > self.offset + AHEAD_TOLERANCE_SECONDS {
            *self = MeasuredOffset::new(now, endpoint, offset);
        } else if offset >= self.offset - AHEAD_TOLERANCE_SECONDS {
            self.offset = self.offset.max(offset);
            self.answers += 1;
            self.last_at = now;
        }
    }

    fn is_confirmed(&self) -> bool {
        self.answers >= CONFIRMING_ANSWERS && self.last_at - self.first_at >= CONFIRMING_SPAN_SECONDS
    }
}

/// The offset between the clock of the endpoints and clients and the router's clock, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    /// Seconds to subtract from the times of endpoints and clients; `None` while unknown.
    offset: Option<f64>,
    /// When the offset last changed, in seconds.
    stepped_at: Option<f64>,
    /// When the evidence was last counted, in seconds.
    counted_at: f64,
    /// The number of groups, by the highest index listed.
    groups: usize,
    /// The verdict on the last position of each endpoint.
    verdicts: Vec<EndpointVerdict>,
    /// The offsets that contradict the one in force, by the group of the primary.
    contradictions: BTreeMap<usize, MeasuredOffset>,
}

impl ClockOffset {
    /// Seconds by which the clock of the endpoints and clients is ahead of the router's; negative if it is behind,
    /// `None` while unknown.
    #[must_use]
    pub fn offset(&self) -> Option<f64> {
        self.offset
    }

    /// Records that a group with this index was listed.
    pub fn record_group(&mut self, index: usize) {
        self.groups = self.groups.max(index + 1);
    }

    /// Evaluates a reported position, and returns how it has changed the offset.
    pub fn observe(&mut self, now: f64, sample: &PositionSample) -> OffsetChange {
        let apparent_offset = sample.position - now;
        let verdict = verdict_on(apparent_offset - self.offset.unwrap_or(0.0));
        self.record_verdict(sample.endpoint, EndpointVerdict { verdict, group: sample.group, at: now });
        if verdict == Verdict::Agrees {
            self.drop_contradiction(sample);
            return self.settle_at_zero(now);
        }
        let is_from_primary = sample.source == PositionSource::Answer && sample.role == Some(Role::Primary);
        if is_from_primary && self.record_contradiction(now, sample, apparent_offset).is_confirmed() {
            return self.step_if_confirmed(now, sample.group);
        }
        OffsetChange::None
    }

    /// Converts a reported position to the router's clock; `None` while the offset is unknown.
    ///
    /// A claim to be the primary would be lost without a plausible position. The position of a primary is current,
    /// and a load report is at most `MAX_REPORT_AGE_SECONDS` old, whatever the clock of its endpoint shows.
    #[must_use]
    pub fn local_position(&self, now: f64, sample: &PositionSample) -> Option<f64> {
        let local = self.offset.map(|offset| sample.position - offset);
        let is_claim = sample.source == PositionSource::Report && sample.role == Some(Role::Primary);
        let is_plausible = local.is_some_and(|position| position <= now);
        if is_claim && !is_plausible { Some(now - MAX_REPORT_AGE_SECONDS) } else { local }
    }

    /// Converts the start time of an endpoint to the router's clock. The endpoint was first listed with this start
    /// time at `listed_at`, and had been started by then.
    #[must_use]
    pub fn local_start(&self, started_at: f64, listed_at: f64) -> f64 {
        self.offset.map_or(listed_at, |offset| (started_at - offset).min(listed_at))
    }

    /// Seconds since a commit that a client names by its position; negative if the position lies ahead of the
    /// router's time. While the offset is unknown so is every replica's position, and this value need not be exact:
    /// [`OffsetChange::Stepped`] makes requests require a later position.
    #[must_use]
    pub fn since_commit(&self, now: f64, position: f64) -> f64 {
        now - (position - self.offset.unwrap_or(0.0))
    }

    fn record_verdict(&mut self, endpoint: usize, verdict: EndpointVerdict) {
        if endpoint >= self.verdicts.len() {
            self.verdicts.resize(endpoint + 1, EndpointVerdict::default());
        }
        self.verdicts[endpoint] = verdict;
    }

    /// Records an answer of a primary that contradicts the offset in force.
    fn record_contradiction(&mut self, now: f64, sample: &PositionSample, offset: f64) -> MeasuredOffset {
        match self.contradictions.get_mut(&sample.group) {
            Some(measured) => {
                measured.record_answer(now, sample.endpoint, offset);
                *measured
            }
            None => {
                let measured = MeasuredOffset::new(now, sample.endpoint, offset);
                self.contradictions.insert(sample.group, measured);
                measured
            }
        }
    }

    /// Drops the contradicting measurement of an endpoint that now agrees with the offset in force.
    fn drop_contradiction(&mut self, sample: &PositionSample) {
        if self.contradictions.get(&sample.group).is_some_and(|measured| measured.endpoint == sample.endpoint)
        {
            self.contradictions.remove(&sample.group);
        }
    }

    /// An endpoint agrees with the router's clock: sets the offset to zero, unless at least as many endpoints are
    /// ahead of that clock.
    fn settle_at_zero(&mut self, now: f64) -> OffsetChange {
        if self.offset.is_some() || self.count(now, Verdict::Agrees) <= self.count(now, Verdict::Ahead) {
            return OffsetChange::None;
        }
        self.offset = Some(0.0);
        OffsetChange::Settled
    }

    /// How many endpoints had this verdict recently.
    fn count(&self, now: f64, verdict: Verdict) -> usize {
        self.recent(now, verdict).count()
    }

    fn recent(&self, now: f64, verdict: Verdict) -> impl Iterator<Item = &EndpointVerdict> {
        self.verdicts
            .iter()
            .filter(move |last| last.verdict == verdict && now - last.at <= EVIDENCE_WINDOW_SECONDS)
    }

    /// Changes the offset to the one confirmed by the primary of a group, if enough other primaries show the same.
    fn step_if_confirmed(&mut self, now: f64, group: usize) -> OffsetChange {
        let has_stepped = self.stepped_at.is_some_and(|stepped_at| now - stepped_at < STEP_INTERVAL_SECONDS);
        if has_stepped || now - self.counted_at < COUNT_INTERVAL_SECONDS {
            return OffsetChange::None;
        }
        self.counted_at = now;
        self.contradictions.retain(|_, measured| now - measured.last_at <= EVIDENCE_WINDOW_SECONDS);
        let candidate = self.contradictions[&group].offset;
        let confirmed = self.contradictions.values().filter(|measured| measured.is_confirmed());
        let (supporting, others): (Vec<&MeasuredOffset>, Vec<&MeasuredOffset>) =
            confirmed.partition(|measured| (measured.offset - candidate).abs() <= SAME_OFFSET_SECONDS);
        let opposing_groups: BTreeSet<usize> =
            self.recent(now, Verdict::Agrees).map(|last| last.group).collect();
        if supporting.len() < self.quorum() || supporting.len() <= opposing_groups.len().max(others.len()) {
            return OffsetChange::None;
        }
        // A position never lies ahead of its endpoint's clock, so the largest offset is the most accurate. It also
        // makes data look oldest.
        let highest = supporting.iter().map(|measured| measured.offset).fold(candidate, f64::max);
        self.step(now, highest)
    }

    /// How many primaries have to agree: a majority of the groups, but no more than [`QUORUM`].
    fn quorum(&self) -> usize {
        (self.groups / 2 + 1).min(QUORUM)
    }

    fn step(&mut self, now: f64, measured: f64) -> OffsetChange {
        let assumed = self.offset.or(Some(0.0));
        // A clock that agrees with the router's has no offset.
        self.offset = Some(if verdict_on(measured) == Verdict::Agrees { 0.0 } else { measured });
        self.stepped_at = Some(now);
        self.verdicts.clear();
        self.contradictions.clear();
        if assumed == self.offset { OffsetChange::Settled } else { OffsetChange::Stepped }
    }
}

/// The verdict on a position that lies `ahead` seconds ahead of the time that its endpoint's clock should show.
fn verdict_on(ahead: f64) -> Verdict {
    if ahead > AHEAD_TOLERANCE_SECONDS {
        Verdict::Ahead
    } else if ahead >= -MAX_REPORT_AGE_SECONDS {
        Verdict::Agrees
    } else {
        Verdict::Inconclusive
    }
}
