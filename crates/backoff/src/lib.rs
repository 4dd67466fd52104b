//! Delays between the retries of one client of a shared service, bounded by the load of the whole
//! fleet.
//!
//! One client that retries four times per second is harmless, but a hundred of them keep a service
//! overloaded that could have answered each of them once. So the rate of the *fleet* is bounded:
//! the maximum delay grows with the number of clients. Delays are drawn uniformly, since clients
//! that fail together would otherwise retry together (Brooker, "Exponential Backoff and Jitter",
//! AWS Architecture Blog 2015: full jitter).
//!
//! Nothing here reads a clock; the caller waits.

#![forbid(unsafe_code)]

use maplefall_policy::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The maximum number of calls per second of a whole fleet to a service that keeps rejecting them.
pub const MAX_FLEET_CALLS_PER_SECOND: f64 = 6.0;
/// The maximum delay, however large the fleet.
pub const MAX_DELAY: Millis = 30_000.0;
/// The fraction of the range of delays over which clients that start together spread their first
/// calls.
const INITIAL_SPREAD_FRACTION: f64 = 0.125;
/// How often the maximum delay doubles after the first failure.
const DOUBLINGS: u32 = 1;

/// The delays between one client's calls to one service.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_delay: Millis,
    max_delay: Millis,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Creates the backoff of one of this many clients, at least 1. No delay is shorter than
    /// `min_delay`, which is from 1 ms to [`MAX_DELAY`]; a value out of range is clamped, and one
    /// that is not finite is replaced by [`MAX_DELAY`]. `seed` determines all draws.
    pub fn new(clients: u32, min_delay: Millis, seed: u64) -> Backoff {
        let min_delay = if min_delay.is_finite() {
            min_delay.clamp(1.0, MAX_DELAY)
        } else {
            MAX_DELAY
        };
        let max_delay = 1000.0 * f64::from(clients.max(1)) / MAX_FLEET_CALLS_PER_SECOND;
        Backoff {
            min_delay,
            max_delay: max_delay.clamp(min_delay, MAX_DELAY),
            failures: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the first call, for a client that can work without the response for
    /// a while.
    pub fn initial_delay(&mut self) -> Millis {
        (self.max_delay - self.min_delay) * INITIAL_SPREAD_FRACTION * self.uniform()
    }

    /// Records a response of the service: the next failure counts as a first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure of the service, and returns the delay before the next call.
    pub fn next_delay(&mut self) -> Millis {
        let doublings_left = DOUBLINGS - self.failures.min(DOUBLINGS);
        let fraction = 0.5f64.powi(doublings_left as i32);
        self.failures = self.failures.saturating_add(1);
        let range = (self.max_delay * fraction - self.min_delay).max(0.0);
        self.min_delay + range * self.uniform()
    }

    /// Returns a number drawn uniformly from 0 to 1, 1 excluded.
    fn uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }
}
