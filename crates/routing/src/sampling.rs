//! The seeded hash behind every random choice.
//!
//! A sample depends only on the seed, a counter and a key, so a run can be reproduced exactly. A request keeps the
//! value that the counter had when it arrived, and so gets the same sample each time for the same endpoint.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::convert::hash_to_fraction;

/// Draws samples that are uniformly distributed in `0.0..=1.0`.
#[derive(Clone, Debug)]
pub(crate) struct Sampler {
    seed: u64,
    counter: u64,
}

impl Sampler {
    /// Returns a sampler with that seed.
    pub(crate) fn new(seed: u64) -> Sampler {
        Sampler { seed, counter: 0 }
    }

    /// Advances the counter, so that new samples are drawn; called each time that the router tries to dispatch a
    /// request.
    pub(crate) fn advance(&mut self) {
        self.counter += 1;
    }

    /// Returns the present counter.
    pub(crate) fn counter(&self) -> u64 {
        self.counter
    }

    /// Returns the sample for that counter and key, always the same.
    pub(crate) fn sample(&self, counter: u64, key: usize) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, counter, key).hash(&mut hasher);
        hash_to_fraction(hasher.finish())
    }

    /// Returns the sample for that key at the present counter.
    pub(crate) fn current(&self, key: usize) -> f64 {
        self.sample(self.counter, key)
    }
}
