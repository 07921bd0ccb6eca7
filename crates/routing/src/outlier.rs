//! Ejection of endpoints that fail or fall silent, and their return.
//!
//! An ejected endpoint gets nothing but a trial now and then. How it returns depends on why it was ejected: see
//! [`Outlier::record_health_check`].

use std::collections::BTreeMap;

use crate::ids::EndpointId;

/// Seconds between trials of an ejected endpoint.
const TRIAL_INTERVAL: f64 = 1.0;
/// Seconds after an answer within which a failed connection ejects nobody: under a cap on connections some fail at an
/// endpoint that answers others.
const RECENT_ANSWER: f64 = 0.5;
/// Silence, in expected latencies summed over the attempts in flight, that chance hardly explains (e^-7: 1 in 1000).
const MAX_SILENCE: f64 = 7.0;

/// Why and since when an endpoint is ejected.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    next_trial_at: f64,
    /// Connections failed, rather than answers.
    connection_failed: bool,
    /// A health check was not answered since: the process is away, and comes back cold.
    unreachable: bool,
    /// A health check was answered since, or none may be sent.
    trial_allowed: bool,
}

/// How an endpoint stands after a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// As before, ejected or not.
    Unchanged,
    /// No longer ejected, and it was there all the time.
    Readmitted,
    /// No longer ejected, and it was away: what it was before no longer counts.
    Restarted,
}

/// Failures of one endpoint, and whether it is ejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outlier {
    ejection: Option<Ejection>,
    /// Attempts that ended without an answer since the last one that was answered.
    unanswered: u32,
}

impl Outlier {
    /// Whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether it may be sent an attempt, were it only a trial.
    pub(crate) fn is_available(&self, now: f64) -> bool {
        self.ejection.is_none_or(|ejection| now >= ejection.next_trial_at && ejection.trial_allowed)
    }

    /// Ejects the endpoint, unless it is ejected already.
    pub(crate) fn eject(&mut self, now: f64, connection_failed: bool, may_health_check: bool) {
        self.ejection.get_or_insert(Ejection {
            next_trial_at: now + TRIAL_INTERVAL,
            connection_failed,
            unreachable: false,
            trial_allowed: !may_health_check,
        });
    }

    /// An attempt goes to the endpoint; the next trial has to wait.
    pub(crate) fn record_attempt(&mut self, now: f64) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_trial_at = now + TRIAL_INTERVAL;
        }
    }

    /// An attempt was answered, in whatever way.
    pub(crate) fn record_answer(&mut self) {
        self.unanswered = 0;
    }

    /// An attempt ended without an answer.
    pub(crate) fn record_no_answer(&mut self) {
        self.unanswered += 1;
    }

    /// Attempts that ended without an answer since the last one that was answered.
    pub(crate) fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Ends the ejection after an attempt that completed; true if there was one.
    pub(crate) fn readmit(&mut self) -> bool {
        self.ejection.take().is_some()
    }

    /// A health check ended, `answered` or not.
    pub(crate) fn record_health_check(&mut self, answered: bool) -> Verdict {
        let Some(ejection) = &mut self.ejection else { return Verdict::Unchanged };
        if !answered {
            ejection.unreachable = true;
            return Verdict::Unchanged;
        }
        if ejection.unreachable {
            self.ejection = None;
            return Verdict::Restarted;
        }
        // It was there all the time: a cap on connections, or an answer that was lost, is no restart.
        if ejection.connection_failed {
            self.ejection = None;
            return Verdict::Readmitted;
        }
        // A hung process answers health checks; only an attempt clears it.
        ejection.trial_allowed = true;
        Verdict::Unchanged
    }
}

/// Whether a failed connection ejects an endpoint whose last answer came so many seconds ago.
pub(crate) fn failed_connection_ejects(since_answer: f64) -> bool {
    since_answer > RECENT_ANSWER
}

/// Whether a health check that was not answered ejects an endpoint that last answered an attempt then. One check may be
/// lost; attempts that are answered outrank it.
pub(crate) fn failed_health_check_ejects(check_sent_at: f64, last_answer_at: f64) -> bool {
    last_answer_at < check_sent_at - RECENT_ANSWER
}

/// What the attempts at one endpoint add up to.
#[derive(Debug)]
struct Tally {
    /// Expected latencies without a sign, summed over the attempts in flight.
    silence: f64,
    /// Attempts in flight, and those that ended without an answer before.
    attempts: u32,
}

impl Tally {
    /// Two attempts at least have to agree, as a single answer may be lost.
    fn is_silent(&self) -> bool {
        self.silence > MAX_SILENCE && self.attempts > 1
    }
}

/// Guards against endpoints that take attempts and answer none: sums up, for each endpoint, how many expected latencies
/// have passed for all that is in flight there.
#[derive(Debug, Default)]
pub(crate) struct SilenceDetector {
    tallies: BTreeMap<EndpointId, Tally>,
}

impl SilenceDetector {
    /// Adds an attempt in flight that has gone without a sign for `silence` expected latencies; `unanswered` attempts of
    /// the endpoint have ended without an answer before.
    pub(crate) fn add(&mut self, endpoint: EndpointId, silence: f64, unanswered: u32) {
        let tally = self.tallies.entry(endpoint).or_insert(Tally { silence: 0.0, attempts: unanswered });
        tally.silence += silence;
        tally.attempts += 1;
    }

    /// The endpoints to eject, of so many. Where most are silent at once none is, as the estimate or the router's own
    /// network is at fault.
    pub(crate) fn silent(self, endpoints: usize) -> Vec<EndpointId> {
        let silent = self.tallies.into_iter().filter(|(_, tally)| tally.is_silent());
        let silent: Vec<EndpointId> = silent.map(|(endpoint, _)| endpoint).collect();
        if 2 * silent.len() <= endpoints { silent } else { Vec::new() }
    }
}
