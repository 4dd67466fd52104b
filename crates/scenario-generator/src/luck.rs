//! Chance from a seed: the same seed, the same days.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// A source of chance.
pub struct Luck(Pcg64);

impl Luck {
    /// The source that a seed gives.
    pub fn new(seed: u64) -> Luck {
        Luck(Pcg64::seed_from_u64(seed))
    }

    /// 0 up to 1, without 1.
    pub fn part(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Between two numbers.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + self.part() * (high - low)
    }

    /// Between two numbers, each factor as likely as another; both are above 0.
    pub fn factor(&mut self, low: f64, high: f64) -> f64 {
        self.between(low.ln(), high.ln()).exp()
    }

    /// A whole number from `low` through `high`.
    pub fn whole(&mut self, low: u32, high: u32) -> u32 {
        low + (self.part() * f64::from(high - low + 1)) as u32
    }

    /// True in this part of all cases.
    pub fn chance(&mut self, part: f64) -> bool {
        self.part() < part
    }

    /// One of some, if there are any.
    pub fn one_of<'a, T>(&mut self, of: &'a [T]) -> Option<&'a T> {
        let place = (self.part() * of.len() as f64) as usize;
        of.get(place)
    }

    /// One of some by weight, if any weighs anything.
    pub fn weighed<'a, T>(&mut self, of: &'a [T], weight: impl Fn(&T) -> f64) -> Option<&'a T> {
        let all: f64 = of.iter().map(&weight).sum();
        let mut left = self.part() * all;
        let mut last = None;
        for one in of.iter().filter(|one| weight(one) > 0.0) {
            last = Some(one);
            left -= weight(one);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
