//! Random draws.

use rand_core::RngCore;
use rand_pcg::Pcg32;

/// A number drawn uniformly from 0 (inclusive) to 1 (exclusive).
pub fn uniform(rng: &mut impl RngCore) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// One draw for each rank of a sequence, of which some may be skipped.
///
/// A caller that visits only some of the ranks draws the same number for each of them as a caller
/// that visits all: the draws of the ranks in between are skipped, in logarithmic time.
#[derive(Clone, Debug)]
pub struct RankedDraws {
    rng: Pcg32,
    next_rank: u64,
}

impl RankedDraws {
    /// Draws from a copy of `rng`, from rank 0 on.
    pub fn new(rng: &Pcg32) -> Self {
        RankedDraws {
            rng: rng.clone(),
            next_rank: 0,
        }
    }

    /// Skips the draws of the ranks before `rank`, which must not have been passed yet.
    pub fn skip_to(&mut self, rank: u64) {
        self.rng.advance(rank - self.next_rank);
        self.next_rank = rank;
    }

    /// The draw of the next rank, uniform from 0 (inclusive) to 1 (exclusive).
    pub fn next_uniform(&mut self) -> f64 {
        self.next_rank += 1;
        uniform(&mut self.rng)
    }

    /// The generator after all draws so far.
    pub fn into_rng(self) -> Pcg32 {
        self.rng
    }
}
