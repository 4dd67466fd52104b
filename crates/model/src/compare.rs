//! Whether two sets of runs differ: paired by seed, with a bootstrap confidence interval (Efron
//! 1979).

use crate::random::RandomSource;
use serde::Serialize;

/// Number of bootstrap samples.
const SAMPLES: usize = 2000;

/// The difference of two sets of runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean of the second less the first.
    pub mean: f64,
    /// Lower end of the 95% confidence interval.
    pub from: f64,
    /// Upper end of the 95% confidence interval.
    pub to: f64,
}

impl Difference {
    /// Whether the confidence interval excludes 0; always false for a single pair.
    pub fn is_significant(&self) -> bool {
        self.pairs > 1 && (self.from > 0.0 || self.to < 0.0)
    }
}

/// Compares figures paired by seed, the second less the first; `None` without a pair.
pub fn paired(first: &[f64], second: &[f64], seed: u64) -> Option<Difference> {
    let differences: Vec<f64> = first
        .iter()
        .zip(second)
        .map(|(first, second)| second - first)
        .collect();
    if differences.is_empty() {
        return None;
    }
    let mean = |list: &[f64]| list.iter().sum::<f64>() / list.len() as f64;
    let mut random = RandomSource::new(seed);
    let mut means: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let sample: Vec<f64> = (0..differences.len())
                .map(|_| differences[random.uniform_below(differences.len())])
                .collect();
            mean(&sample)
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| means[((SAMPLES - 1) as f64 * fraction) as usize];
    Some(Difference {
        pairs: differences.len(),
        mean: mean(&differences),
        from: quantile(0.025),
        to: quantile(0.975),
    })
}
