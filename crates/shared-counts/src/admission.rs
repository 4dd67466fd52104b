//! Which customers get a count of their own when a node has more customers than it may share counts of.
//!
//! A count that was shared can never be taken back or restarted within its epoch, so a table that replaces its smallest entry
//! (Space-Saving, Metwally et al. 2005) cannot be merged by join: its entries inherit what others used, and totals would exceed the
//! truth. So customers are admitted and never evicted. A count-min sketch with conservative update (Estan and Varghese 2002)
//! estimates what a customer has used in this epoch, and the fuller the table, the more that must be. Below half full every customer
//! is admitted.

use crate::Customer;
use std::hash::Hasher;

/// Rows of the sketch.
const ROWS: usize = 4;
/// Columns of the sketch for each customer that may be admitted; rounded up to a power of two.
const COLUMNS_PER_CUSTOMER: usize = 4;
/// The part of the capacity up to which every customer is admitted.
const OPEN_PART: f64 = 0.5;
/// What a customer must have used to be the last one admitted, in thousandths of a unit.
const MAX_THRESHOLD: f64 = 256_000.0;

/// The admission of customers in one epoch: the sketch, and how many are admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The cells of all rows; empty until a customer has to be estimated.
    cells: Vec<u64>,
    columns: usize,
    capacity: usize,
    admitted: usize,
    seed: u64,
}

impl Admission {
    /// For this many customers. `seed` is known to this process alone, so that nobody can choose customers that collide.
    pub fn new(capacity: usize, seed: u64) -> Admission {
        let columns = (capacity * COLUMNS_PER_CUSTOMER).next_power_of_two();
        Admission {
            cells: Vec::new(),
            columns,
            capacity,
            admitted: 0,
            seed,
        }
    }

    /// What a customer must have used in this epoch to be admitted, in thousandths of a unit; `None` if the capacity is used up.
    pub fn threshold(&self) -> Option<u64> {
        let full = self.admitted as f64 / self.capacity.max(1) as f64;
        if full < OPEN_PART {
            return Some(0);
        }
        // From one unit at half full, doubling eight times up to the last customer.
        let part = (full - OPEN_PART) / (1.0 - OPEN_PART);
        (self.admitted < self.capacity)
            .then(|| (1000.0 * (MAX_THRESHOLD / 1000.0).powf(part)) as u64)
    }

    /// The most that a customer without a count of its own may have used in this epoch, in thousandths of a unit.
    pub fn max_untracked(&self) -> u64 {
        self.threshold().unwrap_or(MAX_THRESHOLD as u64)
    }

    /// Counts the use of a customer that is not admitted, and returns whether it is admitted now.
    pub fn admit(&mut self, customer: Customer, milli: u64) -> bool {
        let Some(threshold) = self.threshold() else {
            return false;
        };
        if threshold > 0 && self.add_and_estimate(customer, milli) < threshold {
            return false;
        }
        self.admitted += 1;
        true
    }

    /// Conservative update: only the smallest cells rise, so the estimate is never below the truth and rarely above it.
    fn add_and_estimate(&mut self, customer: Customer, milli: u64) -> u64 {
        if self.cells.is_empty() {
            self.cells = vec![0; ROWS * self.columns];
        }
        let cells = self.cells_of(customer);
        let least = cells
            .iter()
            .map(|cell| self.cells[*cell])
            .min()
            .unwrap_or(0);
        let estimate = least.saturating_add(milli);
        for cell in cells {
            self.cells[cell] = self.cells[cell].max(estimate);
        }
        estimate
    }

    /// The cell of a customer in each row. Two halves of one hash serve all rows (Kirsch and Mitzenmacher 2006).
    fn cells_of(&self, customer: Customer) -> [usize; ROWS] {
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(self.seed, 0);
        hasher.write_u64(customer);
        let hash = hasher.finish();
        let (first, step) = (hash as u32 as usize, (hash >> 32) as usize | 1);
        std::array::from_fn(|row| {
            let column = first.wrapping_add(row.wrapping_mul(step)) & (self.columns - 1);
            row * self.columns + column
        })
    }

    /// Bytes that the sketch takes.
    pub fn memory_bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<u64>()
    }
}
