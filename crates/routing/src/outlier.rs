//! Ejects endpoints that fail or stop answering, and readmits them.
//!
//! An ejected endpoint is sent only an occasional trial attempt. How it is readmitted depends on why it was ejected:
//! see [`OutlierState::record_health_check`].

use std::collections::BTreeMap;

use crate::ids::EndpointId;

/// Seconds between trial attempts at an ejected endpoint.
const TRIAL_INTERVAL_SECONDS: f64 = 1.0;
/// Seconds after an answer during which a failed connection does not eject the endpoint: if the number of connections
/// is capped, some fail at an endpoint that answers others.
const RECENT_ANSWER_SECONDS: f64 = 0.5;
/// Limit on an endpoint's silence: the number of expected latencies that have passed without an answer, summed over
/// its attempts in flight. The probability of a longer silence by chance is e^-7, 1 in 1000.
const MAX_SILENCE_LATENCIES: f64 = 7.0;

/// Why an endpoint is ejected, and when it may be tried again.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    next_trial_at: f64,
    /// Whether the endpoint was ejected because a connection to it failed, not because it did not answer.
    connection_failed: bool,
    /// A health check has failed since the ejection, so the process has ended; its successor starts with cold caches.
    unreachable: bool,
    /// A health check has been answered since the ejection, or health checks are not permitted.
    trial_allowed: bool,
}

/// The effect of a health check on the ejection of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionChange {
    /// The endpoint is ejected, or not, as before.
    Unchanged,
    /// The endpoint is no longer ejected, and its process was running all the time.
    Readmitted,
    /// The endpoint is no longer ejected, and its process was gone, so its earlier state no longer applies.
    Restarted,
}

/// Failures of one endpoint, and whether it is ejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierState {
    ejection: Option<Ejection>,
    /// Attempts that ended without an answer since the last answer.
    unanswered_attempts: u32,
}

impl OutlierState {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether the endpoint may be sent an attempt, even if only a trial.
    pub(crate) fn is_available(&self, now: f64) -> bool {
        self.ejection.is_none_or(|ejection| now >= ejection.next_trial_at && ejection.trial_allowed)
    }

    /// Ejects the endpoint, unless it is already ejected.
    pub(crate) fn eject(&mut self, now: f64, connection_failed: bool, may_check_health: bool) {
        self.ejection.get_or_insert(Ejection {
            next_trial_at: now + TRIAL_INTERVAL_SECONDS,
            connection_failed,
            unreachable: false,
            trial_allowed: !may_check_health,
        });
    }

    /// Records that an attempt is sent to the endpoint, which postpones the next trial.
    pub(crate) fn record_attempt(&mut self, now: f64) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_trial_at = now + TRIAL_INTERVAL_SECONDS;
        }
    }

    /// Records that an attempt was answered, with whatever result.
    pub(crate) fn record_answer(&mut self) {
        self.unanswered_attempts = 0;
    }

    /// Records that an attempt ended without an answer.
    pub(crate) fn record_no_answer(&mut self) {
        self.unanswered_attempts += 1;
    }

    /// Attempts that ended without an answer since the last answer.
    pub(crate) fn unanswered_attempts(&self) -> u32 {
        self.unanswered_attempts
    }

    /// Ends the ejection after an attempt has completed; returns whether the endpoint was ejected.
    pub(crate) fn readmit(&mut self) -> bool {
        self.ejection.take().is_some()
    }

    /// Applies the result of a health check. Returns its effect on the ejection.
    pub(crate) fn record_health_check(&mut self, answered: bool) -> EjectionChange {
        let Some(ejection) = &mut self.ejection else { return EjectionChange::Unchanged };
        if !answered {
            ejection.unreachable = true;
            return EjectionChange::Unchanged;
        }
        if ejection.unreachable {
            self.ejection = None;
            return EjectionChange::Restarted;
        }
        // The process was running all the time. The connection failed because the number of connections is capped, or
        // because an answer was lost, which does not indicate a restart.
        if ejection.connection_failed {
            self.ejection = None;
            return EjectionChange::Readmitted;
        }
        // A process that hangs may still answer health checks, so only a completed attempt ends the ejection.
        ejection.trial_allowed = true;
        EjectionChange::Unchanged
    }
}

/// Whether a failed connection ejects an endpoint whose last answer arrived `seconds_since_answer` seconds ago.
pub(crate) fn failed_connection_ejects(seconds_since_answer: f64) -> bool {
    seconds_since_answer > RECENT_ANSWER_SECONDS
}

/// Whether an unanswered health check ejects an endpoint that last answered an attempt at `last_answer_at`. A single
/// check may be lost, so answered attempts take precedence over it.
pub(crate) fn failed_health_check_ejects(check_sent_at: f64, last_answer_at: f64) -> bool {
    last_answer_at < check_sent_at - RECENT_ANSWER_SECONDS
}

/// The silence of one endpoint, summed over its attempts.
#[derive(Debug)]
struct EndpointSilence {
    /// Expected latencies that have passed without an answer, summed over the attempts in flight.
    silent_latencies: f64,
    /// Attempts in flight, and earlier ones that ended without an answer.
    attempts: u32,
}

impl EndpointSilence {
    /// Requires at least two attempts, as a single answer may be lost.
    fn is_silent(&self) -> bool {
        self.silent_latencies > MAX_SILENCE_LATENCIES && self.attempts > 1
    }
}

/// Detects endpoints that are sent attempts and answer none: sums up, for each endpoint, how many expected latencies
/// have passed for its attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct SilenceDetector {
    silences: BTreeMap<EndpointId, EndpointSilence>,
}

impl SilenceDetector {
    /// Adds an attempt in flight that has been without an answer for `silence` expected latencies; `unanswered`
    /// earlier attempts of the endpoint have ended without an answer.
    pub(crate) fn add(&mut self, endpoint: EndpointId, silent_latencies: f64, unanswered_attempts: u32) {
        let silence = self
            .silences
            .entry(endpoint)
            .or_insert(EndpointSilence { silent_latencies: 0.0, attempts: unanswered_attempts });
        silence.silent_latencies += silent_latencies;
        silence.attempts += 1;
    }

    /// The endpoints to eject, of `endpoints` in total. If more than half of them are silent at once, none is
    /// ejected, as the estimate or the router's own network is at fault.
    pub(crate) fn silent_endpoints(self, endpoints: usize) -> Vec<EndpointId> {
        let silent = self.silences.into_iter().filter(|(_, silence)| silence.is_silent());
        let silent: Vec<EndpointId> = silent.map(|(endpoint, _)| endpoint).collect();
        if 2 * silent.len() <= endpoints { silent } else { Vec::new() }
    }
}
