//! Which customers get a count of their own when a door has more of them than it may tell.
//!
//! A count that has been told can never be taken back or started anew within its epoch, so a table that replaces its
//! smallest entry (Space-Saving, Metwally et al. 2005) cannot be told by join: its entries take over what others used, and
//! shared totals would pass the truth. So customers are let in and never put out, by a sketch that asks for proof first: a
//! count-min sketch with conservative update (Estan and Varghese 2002) estimates what a customer has used in this epoch, and
//! the fuller the table, the more that must be. Below half full nobody is asked.

use crate::Customer;
use std::hash::Hasher;

/// Rows of the sketch.
const ROWS: usize = 4;
/// Columns for each customer that may be told; a power of two is rounded up to.
const COLUMNS: usize = 4;
/// Part of the table up to which nobody needs proof.
const OPEN_PART: f64 = 0.5;
/// What a customer must have used to get the last place, in thousandths of a unit.
const LAST_PLACE: f64 = 256_000.0;

/// The sketch of one epoch, and how full its table is.
#[derive(Clone, Debug)]
pub struct Gate {
    rows: Vec<u64>,
    columns: usize,
    places: usize,
    taken: usize,
    seed: u64,
}

impl Gate {
    /// For so many places; `seed` is of this process alone, so that nobody can choose customers that meet.
    pub fn new(places: usize, seed: u64) -> Gate {
        let columns = (places * COLUMNS).next_power_of_two();
        // The rows come only with the first customer that must show proof.
        Gate {
            rows: Vec::new(),
            columns,
            places,
            taken: 0,
            seed,
        }
    }

    /// What a customer without a place must have used by now to get one, in thousandths of a unit; `None` where there is no
    /// place left.
    pub fn threshold(&self) -> Option<u64> {
        let full = self.taken as f64 / self.places.max(1) as f64;
        if full < OPEN_PART {
            return Some(0);
        }
        // From one unit at half full, doubling eight times up to the last place.
        let part = (full - OPEN_PART) / (1.0 - OPEN_PART);
        (self.taken < self.places).then(|| (1000.0 * (LAST_PLACE / 1000.0).powf(part)) as u64)
    }

    /// The most that a customer without a place may have used in this epoch without being told, in thousandths of a unit.
    pub fn untold(&self) -> u64 {
        self.threshold().unwrap_or(LAST_PLACE as u64)
    }

    /// Counts what a customer without a place has used; whether it gets one now.
    pub fn asks(&mut self, customer: Customer, milli: u64) -> bool {
        let Some(threshold) = self.threshold() else {
            return false;
        };
        if threshold > 0 {
            let estimate = self.count(customer, milli);
            if estimate < threshold {
                return false;
            }
        }
        self.taken += 1;
        true
    }

    /// Conservative update: only the smallest cells rise, so that the estimate is never under the truth and rarely over it.
    fn count(&mut self, customer: Customer, milli: u64) -> u64 {
        if self.rows.is_empty() {
            self.rows = vec![0; ROWS * self.columns];
        }
        let mut hash = siphasher::sip::SipHasher13::new_with_keys(self.seed, 0);
        hash.write_u64(customer);
        let drawn = hash.finish();
        // Two halves of one hash make all rows (Kirsch and Mitzenmacher 2006).
        let (first, step) = (drawn as u32 as usize, (drawn >> 32) as usize | 1);
        let cells: [usize; ROWS] = std::array::from_fn(|row| {
            row * self.columns + (first.wrapping_add(row.wrapping_mul(step)) & (self.columns - 1))
        });
        let least = cells.iter().map(|cell| self.rows[*cell]).min().unwrap_or(0);
        let raised = least.saturating_add(milli);
        for cell in cells {
            self.rows[cell] = self.rows[cell].max(raised);
        }
        raised
    }

    /// Bytes that the sketch takes.
    pub fn bytes(&self) -> usize {
        self.rows.len() * std::mem::size_of::<u64>()
    }
}
