//! Drawing: one generator a run, the distributions that the world needs, and customers by weight.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The one source of chance of a run.
#[derive(Clone, Debug)]
pub struct RandomSource(Pcg64Mcg);

impl RandomSource {
    /// From a seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Evenly from nought to below one.
    pub fn one(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Evenly within a range.
    pub fn within(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.one()
    }

    /// A whole number below `most`, which is not nought.
    pub fn below(&mut self, most: usize) -> usize {
        ((self.one() * most as f64) as usize).min(most.saturating_sub(1))
    }

    /// A seed for something of its own.
    pub fn seed(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Exponentially with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.one()).ln()
    }

    /// Log-normally with this mean and coefficient of variation (by Box and Muller).
    pub fn log_normal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let normal = (-2.0 * (1.0 - self.one()).ln()).sqrt()
            * (2.0 * std::f64::consts::PI * self.one()).cos();
        mean * (normal * variance.sqrt() - variance / 2.0).exp()
    }
}

/// Draws one of many by weight in constant time (the alias method: Walker 1977, Vose 1991). Against a search in sums
/// (`benches/structures.rs`) it wins from thousands of customers on.
#[derive(Clone, Debug)]
pub struct AliasTable {
    /// For each place, the part of it that is its own, and who has the rest.
    places: Vec<(f64, u32)>,
}

impl AliasTable {
    /// For weights that are not below nought; all the same where none is above.
    pub fn new(weights: &[f64]) -> AliasTable {
        let sum: f64 = weights.iter().sum();
        let count = weights.len();
        if sum <= 0.0 || !sum.is_finite() {
            return AliasTable {
                places: (0..count).map(|at| (1.0, at as u32)).collect(),
            };
        }
        let mut fractions: Vec<f64> = weights
            .iter()
            .map(|weight| weight * count as f64 / sum)
            .collect();
        let (mut small, mut large): (Vec<usize>, Vec<usize>) =
            (0..count).partition(|at| fractions[*at] < 1.0);
        let mut places: Vec<(f64, u32)> = (0..count).map(|at| (1.0, at as u32)).collect();
        while let (Some(less), Some(&more)) = (small.pop(), large.last()) {
            places[less] = (fractions[less], more as u32);
            fractions[more] -= 1.0 - fractions[less];
            if fractions[more] < 1.0 {
                large.pop();
                small.push(more);
            }
        }
        AliasTable { places }
    }

    /// One of them; nought where there are none.
    pub fn draw(&self, random: &mut RandomSource) -> usize {
        let spot = random.one() * self.places.len() as f64;
        let at = (spot as usize).min(self.places.len().saturating_sub(1));
        match self.places.get(at) {
            Some((own, _)) if spot - at as f64 <= *own => at,
            Some((_, other)) => *other as usize,
            None => 0,
        }
    }
}
