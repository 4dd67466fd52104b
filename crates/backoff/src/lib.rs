//! How long to wait before a service is asked again that every front door of a fleet asks.
//!
//! One door that asks again four times a second is harmless; a hundred that do so keep a service overbooked that could
//! have answered each of them once. So what is bounded here is what the *fleet* asks: the longest pause grows with the
//! number of doors, and pauses are drawn evenly from the whole span, as doors that failed together would else come
//! together again (Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog 2015: full jitter).
//!
//! Nothing here reads a clock; whoever waits hands the pause to its timer.

#![forbid(unsafe_code)]

use maplefall_policy::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Calls a second that a whole fleet makes to a service that goes on turning it away, at most.
pub const FLEET_CALLS_A_SECOND: f64 = 6.0;
/// The longest pause, however large the fleet.
pub const LONGEST: Millis = 30_000.0;
/// Part of the longest pause over which the first calls of doors that start together are spread.
const START_PART: f64 = 0.125;
/// Doublings from the span of a first pause to that of the longest.
const DOUBLINGS: u32 = 1;

/// The pauses of one door before it asks one service again.
#[derive(Clone, Debug)]
pub struct BackOff {
    shortest: Millis,
    longest: Millis,
    failed: u32,
    rng: Pcg32,
}

impl BackOff {
    /// For one of so many doors; no pause is shorter than `shortest` milliseconds. Sizes that make no sense are taken for
    /// the nearest that does. `seed` is the only source of chance.
    pub fn new(doors: u32, shortest: Millis, seed: u64) -> BackOff {
        let shortest = if shortest.is_finite() {
            shortest.clamp(1.0, LONGEST)
        } else {
            LONGEST
        };
        let longest = 1000.0 * f64::from(doors.max(1)) / FLEET_CALLS_A_SECOND;
        let rng = Pcg32::seed_from_u64(seed);
        BackOff {
            shortest,
            longest: longest.clamp(shortest, LONGEST),
            failed: 0,
            rng,
        }
    }

    /// How many milliseconds to wait before the first call, where a door can do without its answer for a while.
    pub fn at_the_start(&mut self) -> Millis {
        (self.longest - self.shortest) * START_PART * self.chance()
    }

    /// The service has served: the next failure is a first one.
    pub fn served(&mut self) {
        self.failed = 0;
    }

    /// The service has failed: how many milliseconds to wait before it is asked again.
    pub fn pause(&mut self) -> Millis {
        let part = 0.5f64.powi((DOUBLINGS - self.failed.min(DOUBLINGS)) as i32);
        self.failed = self.failed.saturating_add(1);
        let span = (self.longest * part - self.shortest).max(0.0);
        self.shortest + span * self.chance()
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }
}
