//! Whether two sets of runs differ: paired by seed, with a confidence interval by bootstrap (Efron 1979).

use crate::random::RandomSource;
use serde::Serialize;

/// Samples that the interval is made of.
const SAMPLES: usize = 2000;

/// What can be said of the difference of two sets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Pairs that were compared.
    pub pairs: usize,
    /// Mean of the second less the first.
    pub mean: f64,
    /// The interval that holds it in 95 of 100 cases.
    pub from: f64,
    /// See above.
    pub to: f64,
}

impl Difference {
    /// Whether there is one.
    pub fn seen(&self) -> bool {
        self.pairs > 1 && (self.from > 0.0 || self.to < 0.0)
    }
}

/// Compares figures of the same seeds, the second less the first; `None` without a pair.
pub fn paired(first: &[f64], second: &[f64], seed: u64) -> Option<Difference> {
    let off: Vec<f64> = first
        .iter()
        .zip(second)
        .map(|(first, second)| second - first)
        .collect();
    if off.is_empty() {
        return None;
    }
    let mean = |list: &[f64]| list.iter().sum::<f64>() / list.len() as f64;
    let mut random = RandomSource::new(seed);
    let mut means: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let sample: Vec<f64> = (0..off.len())
                .map(|_| off[random.below(off.len())])
                .collect();
            mean(&sample)
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |fraction: f64| means[((SAMPLES - 1) as f64 * fraction) as usize];
    Some(Difference {
        pairs: off.len(),
        mean: mean(&off),
        from: at(0.025),
        to: at(0.975),
    })
}
