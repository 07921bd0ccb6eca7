//! The seeded hash behind every random choice.
//!
//! A sample depends on the seed, a counter and a key only, so a run can be repeated exactly. A request keeps the value
//! that the counter had when it arrived: asked again for the same endpoint, it gets the same sample.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::convert::hash_to_fraction;

/// Draws samples that are uniform in `0.0..=1.0`.
#[derive(Clone, Debug)]
pub(crate) struct Sampler {
    seed: u64,
    counter: u64,
}

impl Sampler {
    /// The sampler of that seed.
    pub(crate) fn new(seed: u64) -> Sampler {
        Sampler { seed, counter: 0 }
    }

    /// Moves on to new samples; called once for each try to dispatch a request.
    pub(crate) fn advance(&mut self) {
        self.counter += 1;
    }

    /// The present counter.
    pub(crate) fn counter(&self) -> u64 {
        self.counter
    }

    /// The sample of that counter and key, always the same.
    pub(crate) fn sample(&self, counter: u64, key: usize) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, counter, key).hash(&mut hasher);
        hash_to_fraction(hasher.finish())
    }

    /// The sample of that key at the present counter.
    pub(crate) fn current(&self, key: usize) -> f64 {
        self.sample(self.counter, key)
    }
}
