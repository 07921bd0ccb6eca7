//! What a fingerprint costs: seconds of work at an endpoint, learnt from completed attempts and told apart from queueing there.
//!
//! The time of an attempt is its work plus the endpoint's queueing delay. The delay is the same for all attempts that reach an
//! endpoint at one time, the work belongs to the fingerprint: cheap fingerprints measure the delay, which is subtracted from the
//! time of expensive ones. Work and delay are kept apart by two facts: a queue drains sooner or later, so the fastest recent answers
//! of a fingerprint have the least delay; and no answer is faster than its work.

use crate::convert::to_f32;

/// Seconds over which the fastest answers of a fingerprint are kept: longer than a queue usually lasts, short enough to notice
/// a change of the work.
const WINDOW_SECONDS: f64 = 4.0;
/// Answers that a window holds at least.
const WINDOW_ANSWERS: u16 = 12;
/// An answer that takes this many times the fastest one has queued, whatever other attempts showed.
const QUEUED_RATIO: f64 = 2.5;
/// Attempts that the mean rests on at most; older ones fade.
const MEMORY_ATTEMPTS: f64 = 40.0;
/// Attempts that the workload's typical cost counts for while little is known.
const PRIOR_ATTEMPTS: f64 = 1.5;
/// Half-life of what is known of an endpoint's delay, in seconds.
const DELAY_HALF_LIFE_SECONDS: f64 = 0.15;
/// Half-life of what was learnt of a fingerprint, in seconds: a statement that is rejected for its former cost would never
/// show that it costs less now.
const COST_HALF_LIFE_SECONDS: f64 = 10.0;
/// Variance of ln(work) assumed of a fingerprint that little is known of: a factor of two either way.
const PRIOR_LOG_VARIANCE: f64 = 0.5;

/// The two fastest answers of a window, in seconds; a single one may be chance.
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

/// What is known of one fingerprint's work. Copied into each cache entry, hence the small floats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Mean and variance of ln(seconds of work), by the attempts that queued little.
    log_mean: f32,
    log_variance: f32,
    /// The mean in seconds, kept since it is read with each statement and changes with attempts only.
    work: f32,
    /// How many attempts it rests on, at most [`MEMORY_ATTEMPTS`].
    weight: f32,
    /// The current window, and the last complete one.
    current: FastestAnswers,
    previous: FastestAnswers,
    window_started_at: f64,
    updated_at: f64,
}

/// An estimate for one statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Seconds of work.
    pub work: f64,
    /// The same of a typical statement of its workload.
    pub typical: f64,
    /// How far off `work` may be: the standard error of its logarithm.
    pub spread: f64,
}

/// An endpoint's delay, as the attempts of late have shown it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueingDelay {
    /// Sums of waits by what they are worth, and of these.
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

    /// Seconds; nothing where nothing was heard of late.
    pub fn seconds(&self) -> f64 {
        if self.weight > 0.0 { self.weighted_sum / self.weight } else { 0.0 }
    }

    /// An attempt of a fingerprint with that floor took so long: the shorter its own work, the more that tells.
    fn record(&mut self, now: f64, elapsed: f64, cost: &CostModel) {
        self.fade(now);
        let own_work = cost.work();
        // What is no more than the fingerprint's own chance is no delay.
        let delay = (elapsed - own_work * 1.2).max(0.0);
        let weight = cost.certainty() / (own_work * own_work).max(1e-12);
        self.weighted_sum += weight * delay;
        self.weight += weight;
        // One answer of the cheapest fingerprint outweighs all dear ones before it, and must still fade like them.
        if self.weight > 1e12 {
            (self.weighted_sum, self.weight) = (self.weighted_sum / self.weight * 1e12, 1e12);
        }
    }
}

impl CostModel {
    /// Nothing is known but what a typical statement of the workload takes.
    pub fn new(typical: f64) -> CostModel {
        let typical = typical.max(1e-6);
        CostModel {
            log_mean: to_f32(typical.ln()),
            log_variance: to_f32(PRIOR_LOG_VARIANCE),
            work: to_f32(typical),
            weight: 0.0,
            current: FastestAnswers::NONE,
            previous: FastestAnswers::NONE,
            window_started_at: 0.0,
            updated_at: 0.0,
        }
    }

    /// Seconds of work, by the fingerprint's own attempts.
    pub fn work(&self) -> f64 {
        f64::from(self.work)
    }

    /// How many attempts the estimate rests on.
    pub fn attempts(&self) -> f64 {
        f64::from(self.weight)
    }

    fn certainty(&self) -> f64 {
        f64::from(self.weight) / (f64::from(self.weight) + PRIOR_ATTEMPTS)
    }

    /// The estimate, drawn towards the workload's as long as it rests on little.
    pub fn estimate(&self, now: f64, typical: f64) -> Estimate {
        let typical = typical.max(1e-6);
        let freshness = (-(now - self.updated_at).max(0.0) / COST_HALF_LIFE_SECONDS).exp2();
        let weight = f64::from(self.weight) * freshness;
        let known = weight / (weight + PRIOR_ATTEMPTS);
        let work = known * self.work() + (1.0 - known) * typical;
        // The fewer it rests on, the less it is told from what any fingerprint may be.
        let variance = known * f64::from(self.log_variance) + (1.0 - known) * PRIOR_LOG_VARIANCE + 0.02;
        let spread = (variance / (weight + 1.0)).sqrt();
        Estimate { work, typical, spread }
    }

    /// Seconds in which few attempts end, unless they waited for nothing.
    fn floor(&self) -> f64 {
        f64::from(self.current.floor().min(self.previous.floor()))
    }

    /// An attempt that was completed took so long, from its sending to its answer; seconds.
    pub fn record(&mut self, now: f64, elapsed: f64, delay: &mut QueueingDelay) {
        if !(elapsed.is_finite() && elapsed > 0.0) {
            return;
        }
        delay.fade(now);
        self.update_window(now, elapsed);
        let floor = self.floor();
        // By the other attempts, as this one's own is told by what it takes.
        let work = elapsed - delay.seconds();
        if (floor..=floor * QUEUED_RATIO).contains(&work) || elapsed < floor * 1.1 {
            let work = work.max(floor);
            // Where most of it was waiting, what is left says little.
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
            self.work = self.log_mean.exp();
        }
        delay.record(now, elapsed, self);
    }

    /// Keeps the quickest answers; where they tell of other work than was learnt, that is forgotten.
    fn update_window(&mut self, now: f64, elapsed: f64) {
        if self.current.answers >= WINDOW_ANSWERS && now - self.window_started_at > WINDOW_SECONDS {
            (self.previous, self.current) = (self.current, FastestAnswers::NONE);
        }
        if self.current.answers == 0 {
            self.window_started_at = now;
        }
        self.current.record(to_f32(elapsed));
        let (floor, mean) = (self.floor(), self.work());
        let known = self.current.answers.max(self.previous.answers) >= WINDOW_ANSWERS;
        if self.weight > 0.0 && known && (mean > floor * QUEUED_RATIO || mean < floor) {
            self.weight = 0.0;
            self.log_variance = to_f32(PRIOR_LOG_VARIANCE);
        }
    }
}
