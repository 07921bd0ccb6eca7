//! Estimates the cost of a fingerprint: its seconds of work at an endpoint, learnt from completed attempts and separated from
//! the queueing delay there.
//!
//! The duration of an attempt is its work plus the endpoint's queueing delay. The delay is the same for all attempts that reach
//! an endpoint at the same time, while the work depends on the fingerprint: cheap fingerprints measure the delay, which is then
//! subtracted from the duration of expensive ones. Two facts separate work from delay: a queue drains sooner or later, so the
//! fastest recent answers of a fingerprint have the least delay; and no answer is faster than its work.

use crate::convert::to_f32;

/// Length of the window over which the fastest answers of a fingerprint are kept, in seconds: longer than a queue usually lasts,
/// and short enough to notice a change of the work.
const WINDOW_SECONDS: f64 = 4.0;
/// Minimum number of answers in a complete window.
const WINDOW_ANSWERS: u16 = 12;
/// An answer that takes more than this multiple of the fastest one has queued, whatever delay other attempts have shown.
const QUEUED_RATIO: f64 = 2.5;
/// Maximum number of attempts that the mean is based on; older ones fade.
const MEMORY_ATTEMPTS: f64 = 40.0;
/// Number of attempts as which the typical work of the workload counts in an estimate.
const PRIOR_ATTEMPTS: f64 = 1.5;
/// Half-life of the observations of an endpoint's delay, in seconds.
const DELAY_HALF_LIFE_SECONDS: f64 = 0.15;
/// Half-life of the work learnt for a fingerprint, in seconds. Without it, a statement that is rejected for its former cost would
/// never be sent again and so never show that it costs less now.
const COST_HALF_LIFE_SECONDS: f64 = 10.0;
/// Variance of ln(work) that is assumed for a fingerprint with few attempts: a factor of two either way.
const PRIOR_LOG_VARIANCE: f64 = 0.5;

/// The two fastest answers of a window, in seconds. A full window uses the second, as a single one may be an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FastestAnswers {
    first: f32,
    second: f32,
    answers: u16,
}

impl FastestAnswers {
    const NONE: FastestAnswers = FastestAnswers { first: f32::INFINITY, second: f32::INFINITY, answers: 0 };

    fn record(&mut self, elapsed: f32) {
        self.answers = self.answers.saturating_add(1);
        if elapsed < self.first {
            (self.first, self.second) = (elapsed, self.first);
        } else if elapsed < self.second {
            self.second = elapsed;
        }
    }

    fn floor(&self) -> f32 {
        if self.answers >= WINDOW_ANSWERS { self.second } else { self.first }
    }
}

/// The work of one fingerprint as learnt from its attempts. Stored in each cache entry, hence the `f32` fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Mean and variance of ln(seconds of work), from attempts that queued little.
    log_mean: f32,
    log_variance: f32,
    /// The mean in seconds. Stored, as it is read for each statement but changes only with completed attempts.
    mean_work_seconds: f32,
    /// The number of attempts that the mean is based on, at most [`MEMORY_ATTEMPTS`].
    weight: f32,
    /// The fastest answers of the current window and of the last complete one.
    current: FastestAnswers,
    previous: FastestAnswers,
    /// Start of the current window, and the last change of the mean, in seconds.
    window_started_at: f64,
    updated_at: f64,
}

/// An estimate for one statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Estimated seconds of work.
    pub work_seconds: f64,
    /// Seconds of work of a typical statement of the same workload.
    pub typical_work_seconds: f64,
    /// Uncertainty of `work_seconds`: the standard error of its natural logarithm.
    pub log_standard_error: f64,
}

/// The queueing delay of an endpoint, from recent attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueingDelay {
    /// Sum of the observed delays in seconds, each times its weight, the sum of the weights, and the time of the last update.
    weighted_sum: f64,
    weight: f64,
    updated_at: f64,
}

impl QueueingDelay {
    fn fade(&mut self, now: f64) {
        let fraction = 0.5_f64.powf(((now - self.updated_at) / DELAY_HALF_LIFE_SECONDS).max(0.0));
        (self.weighted_sum, self.weight, self.updated_at) =
            (self.weighted_sum * fraction, self.weight * fraction, now);
    }

    /// Returns the mean delay in seconds, or 0 without recent observations.
    pub fn seconds(&self) -> f64 {
        if self.weight > 0.0 { self.weighted_sum / self.weight } else { 0.0 }
    }

    /// Records an attempt of a fingerprint with that cost, which took `elapsed` seconds. The shorter the fingerprint's own work,
    /// the greater the weight of the observation.
    fn record(&mut self, now: f64, elapsed: f64, cost: &CostModel) {
        self.fade(now);
        let own_work = cost.mean_work_seconds();
        // Up to a fifth above the mean work is random variation of the fingerprint, not a delay.
        let delay = (elapsed - own_work * 1.2).max(0.0);
        let weight = cost.certainty() / (own_work * own_work).max(1e-12);
        self.weighted_sum += weight * delay;
        self.weight += weight;
        // Limits the weight: one answer of a very cheap fingerprint outweighs all earlier expensive ones, and must still fade
        // like them.
        if self.weight > 1e12 {
            (self.weighted_sum, self.weight) = (self.weighted_sum / self.weight * 1e12, 1e12);
        }
    }
}

impl CostModel {
    /// Creates a model without attempts. `typical` is the work of a typical statement of the workload, in seconds.
    pub fn new(typical: f64) -> CostModel {
        let typical = typical.max(1e-6);
        CostModel {
            log_mean: to_f32(typical.ln()),
            log_variance: to_f32(PRIOR_LOG_VARIANCE),
            mean_work_seconds: to_f32(typical),
            weight: 0.0,
            current: FastestAnswers::NONE,
            previous: FastestAnswers::NONE,
            window_started_at: 0.0,
            updated_at: 0.0,
        }
    }

    /// Returns the mean seconds of work by the fingerprint's own attempts alone.
    pub fn mean_work_seconds(&self) -> f64 {
        f64::from(self.mean_work_seconds)
    }

    /// Returns the number of attempts that the model is based on.
    pub fn attempts(&self) -> f64 {
        f64::from(self.weight)
    }

    fn certainty(&self) -> f64 {
        f64::from(self.weight) / (f64::from(self.weight) + PRIOR_ATTEMPTS)
    }

    /// Returns an estimate at the time `now`, which leans towards `typical`, the typical work of the workload, if it is based on
    /// few or old attempts. Both are in seconds.
    pub fn estimate(&self, now: f64, typical: f64) -> Estimate {
        let typical = typical.max(1e-6);
        let freshness = (-(now - self.updated_at).max(0.0) / COST_HALF_LIFE_SECONDS).exp2();
        let weight = f64::from(self.weight) * freshness;
        let learnt_fraction = weight / (weight + PRIOR_ATTEMPTS);
        let work = learnt_fraction * self.mean_work_seconds() + (1.0 - learnt_fraction) * typical;
        // With few attempts the variance is close to that of an arbitrary fingerprint.
        let variance = learnt_fraction * f64::from(self.log_variance)
            + (1.0 - learnt_fraction) * PRIOR_LOG_VARIANCE
            + 0.02;
        let log_standard_error = (variance / (weight + 1.0)).sqrt();
        Estimate { work_seconds: work, typical_work_seconds: typical, log_standard_error }
    }

    /// Returns the duration of the fastest recent answers in seconds; few attempts that queued are that fast.
    fn floor(&self) -> f64 {
        f64::from(self.current.floor().min(self.previous.floor()))
    }

    /// Records a completed attempt that took `elapsed` seconds from sending it to its answer. `delay` is that of its endpoint.
    pub fn record(&mut self, now: f64, elapsed: f64, delay: &mut QueueingDelay) {
        if !(elapsed.is_finite() && elapsed > 0.0) {
            return;
        }
        delay.fade(now);
        self.update_window(now, elapsed);
        let floor = self.floor();
        // The delay is that of the other attempts, as this attempt's own delay is derived from its duration.
        let work = elapsed - delay.seconds();
        if (floor..=floor * QUEUED_RATIO).contains(&work) || elapsed < floor * 1.1 {
            let work = work.max(floor);
            // If most of the duration was delay, the remainder says little about the work.
            let confidence = (work / elapsed).powi(2);
            let weight = f64::from(self.weight) * (1.0 - confidence / MEMORY_ATTEMPTS);
            let fraction = confidence / (weight + confidence);
            let deviation = work.ln() - f64::from(self.log_mean);
            if self.weight <= 0.0 {
                self.log_mean = to_f32(work.ln());
            } else {
                self.log_mean += to_f32(fraction * deviation);
                let variance = f64::from(self.log_variance);
                self.log_variance = to_f32(variance + fraction * (deviation * deviation - variance));
            }
            self.weight = to_f32(weight + confidence);
            self.updated_at = now;
            self.mean_work_seconds = self.log_mean.exp();
        }
        delay.record(now, elapsed, self);
    }

    /// Adds an answer to the window of the fastest ones. Discards the learnt work if it doesn't match them.
    fn update_window(&mut self, now: f64, elapsed: f64) {
        if self.current.answers >= WINDOW_ANSWERS && now - self.window_started_at > WINDOW_SECONDS {
            (self.previous, self.current) = (self.current, FastestAnswers::NONE);
        }
        if self.current.answers == 0 {
            self.window_started_at = now;
        }
        self.current.record(to_f32(elapsed));
        let (floor, mean) = (self.floor(), self.mean_work_seconds());
        let has_full_window = self.current.answers.max(self.previous.answers) >= WINDOW_ANSWERS;
        if self.weight > 0.0 && has_full_window && (mean > floor * QUEUED_RATIO || mean < floor) {
            self.weight = 0.0;
            self.log_variance = to_f32(PRIOR_LOG_VARIANCE);
        }
    }
}
