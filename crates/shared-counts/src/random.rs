//! Random draws of a node. All come from one generator, so that a seed determines a run.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Returns a uniform random number in the interval from 0, inclusive, to 1, exclusive.
pub(crate) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// Returns a uniform random index below `bound`, which is not 0.
pub(crate) fn index_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    (unit(rng) * bound as f64) as usize
}

/// Shuffles a list (Fisher-Yates).
pub(crate) fn shuffle<T>(rng: &mut Pcg64Mcg, list: &mut [T]) {
    for index in (1..list.len()).rev() {
        list.swap(index, index_below(rng, index + 1));
    }
}
