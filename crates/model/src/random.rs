//! Random variates: one generator per run, the distributions that a world needs, and weighted draws
//! of customers.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The only random number generator of a run.
#[derive(Clone, Debug)]
pub struct RandomSource(Pcg64Mcg);

impl RandomSource {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws from the uniform distribution on `[0, 1)`.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws from the uniform distribution within a range.
    pub fn uniform_within(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.uniform()
    }

    /// Draws an integer below `end`, uniformly; `end` must be above 0.
    pub fn uniform_below(&mut self, end: usize) -> usize {
        ((self.uniform() * end as f64) as usize).min(end.saturating_sub(1))
    }

    /// Draws a seed for another generator.
    pub fn next_seed(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Draws from the log-normal distribution with this mean and coefficient of variation
    /// (Box-Muller method).
    pub fn log_normal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let normal = (-2.0 * (1.0 - self.uniform()).ln()).sqrt()
            * (2.0 * std::f64::consts::PI * self.uniform()).cos();
        mean * (normal * variance.sqrt() - variance / 2.0).exp()
    }
}

/// Weighted draws in constant time (alias method: Walker 1977, Vose 1991). It is faster than a
/// binary search in cumulative weights from thousands of customers on (`benches/structures.rs`).
#[derive(Clone, Debug)]
pub struct AliasTable {
    /// For each column, the probability of its own index and the alias that gets the rest.
    columns: Vec<(f64, u32)>,
}

impl AliasTable {
    /// Builds the table for weights of at least 0; uniform if none is above 0.
    pub fn new(weights: &[f64]) -> AliasTable {
        let sum: f64 = weights.iter().sum();
        let count = weights.len();
        if sum <= 0.0 || !sum.is_finite() {
            return AliasTable {
                columns: (0..count).map(|at| (1.0, at as u32)).collect(),
            };
        }
        let mut fractions: Vec<f64> = weights
            .iter()
            .map(|weight| weight * count as f64 / sum)
            .collect();
        let (mut small, mut large): (Vec<usize>, Vec<usize>) =
            (0..count).partition(|at| fractions[*at] < 1.0);
        let mut columns: Vec<(f64, u32)> = (0..count).map(|at| (1.0, at as u32)).collect();
        while let (Some(small_at), Some(&large_at)) = (small.pop(), large.last()) {
            columns[small_at] = (fractions[small_at], large_at as u32);
            fractions[large_at] -= 1.0 - fractions[small_at];
            if fractions[large_at] < 1.0 {
                large.pop();
                small.push(large_at);
            }
        }
        AliasTable { columns }
    }

    /// Draws an index; 0 for an empty table.
    pub fn draw(&self, random: &mut RandomSource) -> usize {
        let position = random.uniform() * self.columns.len() as f64;
        let at = (position as usize).min(self.columns.len().saturating_sub(1));
        match self.columns.get(at) {
            Some((probability, _)) if position - at as f64 <= *probability => at,
            Some((_, alias)) => *alias as usize,
            None => 0,
        }
    }
}
