//! Draws by rank.

use maplefall_load_estimators::{uniform, RankedDraws};
use quickcheck::quickcheck;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

quickcheck! {
    /// A caller that visits some ranks draws the same numbers for them as a caller that visits all.
    fn each_rank_has_its_own_draw(seed: u64, visited: Vec<bool>) -> bool {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut draws = RankedDraws::new(&rng);
        let all: Vec<f64> = visited.iter().map(|_| uniform(&mut rng)).collect();
        let ranks = visited.iter().enumerate().filter(|(_, visited)| **visited);
        let same = ranks.map(|(rank, _)| rank).all(|rank| {
            draws.skip_to(rank as u64);
            draws.next_uniform() == all[rank]
        });
        draws.skip_to(visited.len() as u64);
        same && draws.into_rng() == rng
    }

    fn draws_are_from_0_to_1(seed: u64) -> bool {
        (0.0..1.0).contains(&uniform(&mut Pcg32::seed_from_u64(seed)))
    }
}
