//! Decides which customers get a count of their own when a node has more customers than it may
//! share counts of.
//!
//! A count that was shared cannot be withdrawn or restarted within its epoch. A table that replaces
//! its smallest entry (Space-Saving, Metwally et al. 2005) therefore cannot be merged by join: its
//! entries inherit the usage of replaced customers, so totals would exceed the true usage.
//! Customers are instead admitted and never evicted. A count-min sketch with conservative update
//! (Estan and Varghese 2002) estimates a customer's usage in this epoch; the fuller the table, the
//! more usage admission requires. Every customer is admitted while the table is less than half
//! full.

use crate::Customer;
use std::hash::Hasher;

/// Number of rows of the sketch.
const ROWS: usize = 4;
/// Columns of the sketch per customer that may be admitted; the product is rounded up to a power of
/// two.
const COLUMNS_PER_CUSTOMER: usize = 4;
/// The fraction of the capacity up to which every customer is admitted.
const ADMIT_ALL_FRACTION: f64 = 0.5;
/// The usage at which the last free count is given to a customer, in thousandths of a unit.
const MAX_THRESHOLD: f64 = 256_000.0;

/// Admission of customers in one epoch: the sketch and the number of admitted customers.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The cells of all rows; empty until the first customer has to be estimated.
    cells: Vec<u64>,
    columns: usize,
    capacity: usize,
    admitted: usize,
    seed: u64,
}

impl Admission {
    /// Creates an empty sketch for at most `capacity` customers. `seed` is secret to this process,
    /// so that nobody can choose customers whose cells collide.
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

    /// Returns the usage in this epoch that a customer needs to be admitted, in thousandths of a
    /// unit; `None` when the capacity is used up.
    pub fn threshold(&self) -> Option<u64> {
        let fill = self.admitted as f64 / self.capacity.max(1) as f64;
        if fill < ADMIT_ALL_FRACTION {
            return Some(0);
        }
        // The required usage doubles eight times, from one unit at half full to 256 units for the
        // last customer.
        let fraction = (fill - ADMIT_ALL_FRACTION) / (1.0 - ADMIT_ALL_FRACTION);
        (self.admitted < self.capacity)
            .then(|| (1000.0 * (MAX_THRESHOLD / 1000.0).powf(fraction)) as u64)
    }

    /// Returns the most that a customer without a count of its own may have used in this epoch, in
    /// thousandths of a unit.
    pub fn max_untracked(&self) -> u64 {
        self.threshold().unwrap_or(MAX_THRESHOLD as u64)
    }

    /// Records usage of a customer that is not admitted; returns whether this admits the customer.
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

    /// Updates the sketch conservatively: only the smallest cells grow, so the estimate is never
    /// below the true usage and rarely above it.
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

    /// Returns the cell of a customer in each row. The two halves of one hash serve all rows
    /// (Kirsch and Mitzenmacher 2006).
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

    /// Returns the memory of the sketch in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<u64>()
    }
}
