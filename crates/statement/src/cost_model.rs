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

    fn record(&mut self, took: f32) {
        self.answers = self.answers.saturating_add(1);
        if took < self.first {
            (self.first, self.second) = (took, self.first);
        } else if took < self.second {
            self.second = took;
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
    mean: f32,
    variance: f32,
    /// The mean in seconds, kept since it is read with each statement and changes with attempts only.
    work: f32,
    /// How many attempts it rests on, at most [`MEMORY_ATTEMPTS`].
    weight: f32,
    /// The current window, and the last complete one.
    now: FastestAnswers,
    last: FastestAnswers,
    since: f64,
    learnt_at: f64,
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
    sum: f64,
    worth: f64,
    at: f64,
}

impl QueueingDelay {
    fn fade(&mut self, now: f64) {
        let part = 0.5_f64.powf(((now - self.at) / DELAY_HALF_LIFE_SECONDS).max(0.0));
        (self.sum, self.worth, self.at) = (self.sum * part, self.worth * part, now);
    }

    /// Seconds; nothing where nothing was heard of late.
    pub fn seconds(&self) -> f64 {
        if self.worth > 0.0 { self.sum / self.worth } else { 0.0 }
    }

    /// An attempt of a fingerprint with that floor took so long: the shorter its own work, the more that tells.
    fn record(&mut self, now: f64, took: f64, cost: &CostModel) {
        self.fade(now);
        let own = cost.work();
        // What is no more than the fingerprint's own chance is no delay.
        let delay = (took - own * 1.2).max(0.0);
        let worth = cost.certainty() / (own * own).max(1e-12);
        self.sum += worth * delay;
        self.worth += worth;
        // One answer of the cheapest fingerprint outweighs all dear ones before it, and must still fade like them.
        if self.worth > 1e12 {
            (self.sum, self.worth) = (self.sum / self.worth * 1e12, 1e12);
        }
    }
}

impl CostModel {
    /// Nothing is known but what a typical statement of the workload takes.
    pub fn new(typical: f64) -> CostModel {
        let typical = typical.max(1e-6);
        CostModel {
            mean: to_f32(typical.ln()),
            variance: to_f32(PRIOR_LOG_VARIANCE),
            work: to_f32(typical),
            weight: 0.0,
            now: FastestAnswers::NONE,
            last: FastestAnswers::NONE,
            since: 0.0,
            learnt_at: 0.0,
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
        let fresh = (-(now - self.learnt_at).max(0.0) / COST_HALF_LIFE_SECONDS).exp2();
        let weight = f64::from(self.weight) * fresh;
        let known = weight / (weight + PRIOR_ATTEMPTS);
        let work = known * self.work() + (1.0 - known) * typical;
        // The fewer it rests on, the less it is told from what any fingerprint may be.
        let variance = known * f64::from(self.variance) + (1.0 - known) * PRIOR_LOG_VARIANCE + 0.02;
        let spread = (variance / (weight + 1.0)).sqrt();
        Estimate { work, typical, spread }
    }

    /// Seconds in which few attempts end, unless they waited for nothing.
    fn floor(&self) -> f64 {
        f64::from(self.now.floor().min(self.last.floor()))
    }

    /// An attempt that was completed took so long, from its sending to its answer; seconds.
    pub fn record(&mut self, now: f64, took: f64, delay: &mut QueueingDelay) {
        if !(took.is_finite() && took > 0.0) {
            return;
        }
        delay.fade(now);
        self.follow(now, took);
        let floor = self.floor();
        // By the other attempts, as this one's own is told by what it takes.
        let work = took - delay.seconds();
        if (floor..=floor * QUEUED_RATIO).contains(&work) || took < floor * 1.1 {
            let work = work.max(floor);
            // Where most of it was waiting, what is left says little.
            let calm = (work / took).powi(2);
            let weight = f64::from(self.weight) * (1.0 - calm / MEMORY_ATTEMPTS);
            let part = calm / (weight + calm);
            let off = work.ln() - f64::from(self.mean);
            if self.weight <= 0.0 {
                self.mean = to_f32(work.ln());
            } else {
                self.mean += to_f32(part * off);
                let variance = f64::from(self.variance);
                self.variance = to_f32(variance + part * (off * off - variance));
            }
            self.weight = to_f32(weight + calm);
            self.learnt_at = now;
            self.work = self.mean.exp();
        }
        delay.record(now, took, self);
    }

    /// Keeps the quickest answers; where they tell of other work than was learnt, that is forgotten.
    fn follow(&mut self, now: f64, took: f64) {
        if self.now.answers >= WINDOW_ANSWERS && now - self.since > WINDOW_SECONDS {
            (self.last, self.now) = (self.now, FastestAnswers::NONE);
        }
        if self.now.answers == 0 {
            self.since = now;
        }
        self.now.record(to_f32(took));
        let (floor, mean) = (self.floor(), self.work());
        let known = self.now.answers.max(self.last.answers) >= WINDOW_ANSWERS;
        if self.weight > 0.0 && known && (mean > floor * QUEUED_RATIO || mean < floor) {
            self.weight = 0.0;
            self.variance = to_f32(PRIOR_LOG_VARIANCE);
        }
    }
}
