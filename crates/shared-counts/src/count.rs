//! The usage of one customer: units taken and units returned, each a number that only grows.

/// The largest value of either number, in thousandths of a unit; counts saturate there.
pub const MAX_MILLI_UNITS: u64 = 1 << 50;

/// The usage of one customer in one epoch as counted by one incarnation of a node, in thousandths
/// of a unit.
///
/// A pair of grow-only counters (a PN-counter, Shapiro et al. 2011). Both change only at one node
/// and only upwards, so of two states the one with the larger numbers is the later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Units taken when requests were first forwarded.
    pub taken: u64,
    /// Units returned because a request used less than estimated or did not run.
    pub returned: u64,
}

impl Count {
    /// Returns the later of two states of one count. The join is idempotent, commutative and
    /// associative.
    #[must_use]
    pub fn join(self, other: Count) -> Count {
        Count {
            taken: self.taken.max(other.taken),
            returned: self.returned.max(other.returned),
        }
    }

    /// Adds a change in thousandths of a unit; a negative one returns units. Returns `false` if the
    /// changed number (units taken or returned) has reached [`MAX_MILLI_UNITS`], where the change
    /// may be counted only in part.
    pub fn add(&mut self, milli: i64) -> bool {
        let counter = if milli >= 0 {
            &mut self.taken
        } else {
            &mut self.returned
        };
        *counter = counter
            .saturating_add(milli.unsigned_abs())
            .min(MAX_MILLI_UNITS);
        *counter < MAX_MILLI_UNITS
    }

    /// Returns the net usage in thousandths of a unit; negative if more was returned than was taken
    /// in this epoch.
    pub fn net(self) -> i64 {
        // Both numbers of the count are clamped to 2^50, so neither cast nor difference can wrap.
        self.taken.min(MAX_MILLI_UNITS) as i64 - self.returned.min(MAX_MILLI_UNITS) as i64
    }
}
