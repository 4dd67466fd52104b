//! Random draws from a seed (PCG64). Each draw takes one 32-bit number, so the same calls give the
//! same values.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// A seeded source of random numbers.
pub struct RandomSource(Pcg64);

impl RandomSource {
    /// Creates a source from a seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg64::seed_from_u64(seed))
    }

    /// Draws uniformly from [0, 1).
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Draws uniformly from [low, high).
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + self.fraction() * (high - low)
    }

    /// Draws log-uniformly from [low, high); both bounds must be positive.
    pub fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        self.uniform(low.ln(), high.ln()).exp()
    }

    /// Draws an integer from `low` to `high`, inclusive.
    pub fn integer(&mut self, low: u32, high: u32) -> u32 {
        low + (self.fraction() * f64::from(high - low + 1)) as u32
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// Draws an item, each with the same probability; `None` if there are none.
    pub fn choose<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        let index = (self.fraction() * items.len() as f64) as usize;
        items.get(index)
    }

    /// Draws an item with a probability proportional to its weight; `None` if no weight is
    /// positive.
    pub fn choose_weighted<'a, T>(
        &mut self,
        items: &'a [T],
        weight: impl Fn(&T) -> f64,
    ) -> Option<&'a T> {
        let total: f64 = items.iter().map(&weight).sum();
        let mut remaining = self.fraction() * total;
        let mut last = None;
        for item in items.iter().filter(|item| weight(item) > 0.0) {
            last = Some(item);
            remaining -= weight(item);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}
