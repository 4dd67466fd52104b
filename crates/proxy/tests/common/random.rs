//! Seeded random numbers.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A seeded random number generator.
pub struct Random(Pcg32);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.next_u32() as usize % bound.max(1)
    }

    /// Returns true with a probability of `percentage` percent.
    pub fn percent(&mut self, percentage: usize) -> bool {
        self.below(100) < percentage
    }

    pub fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}
