//! Random draws from a seed (PCG64). Each draw takes one 32-bit number, so the same calls give the same values.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// A seeded source of random numbers.
pub struct RandomSource(Pcg64);

impl RandomSource {
    /// A source that starts from a seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg64::seed_from_u64(seed))
    }

    /// Uniform in [0, 1).
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Uniform in [low, high).
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + self.fraction() * (high - low)
    }

    /// Log-uniform in [low, high); both must be positive.
    pub fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        self.uniform(low.ln(), high.ln()).exp()
    }

    /// An integer from `low` to `high`, inclusive.
    pub fn integer(&mut self, low: u32, high: u32) -> u32 {
        low + (self.fraction() * f64::from(high - low + 1)) as u32
    }

    /// True with this probability.
    pub fn chance(&mut self, part: f64) -> bool {
        self.fraction() < part
    }

    /// One item, each equally likely; `None` if there are none.
    pub fn choose<'a, T>(&mut self, of: &'a [T]) -> Option<&'a T> {
        let place = (self.fraction() * of.len() as f64) as usize;
        of.get(place)
    }

    /// One item with a probability proportional to its weight; `None` if no weight is positive.
    pub fn choose_weighted<'a, T>(
        &mut self,
        of: &'a [T],
        weight: impl Fn(&T) -> f64,
    ) -> Option<&'a T> {
        let all: f64 = of.iter().map(&weight).sum();
        let mut left = self.fraction() * all;
        let mut last = None;
        for one in of.iter().filter(|one| weight(one) > 0.0) {
            last = Some(one);
            left -= weight(one);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
