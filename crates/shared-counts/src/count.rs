//! One count: what was taken and what was returned, each a number that only grows.

/// The largest value of either number, in thousandths of a unit. A count that reaches it stays there.
pub const MAX_MILLI_UNITS: u64 = 1 << 50;

/// What one incarnation of a node has counted of one customer in one epoch, in thousandths of a unit.
///
/// A pair of grow-only counters (a PN-counter, Shapiro et al. 2011). Both change only at one node and only upwards, so of two states
/// the one with the larger numbers is the later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Taken when requests were first forwarded.
    pub taken: u64,
    /// Returned when a request turned out to use fewer units, or did not run.
    pub returned: u64,
}

impl Count {
    /// The later of two states of one count. The join is idempotent, commutative and associative.
    #[must_use]
    pub fn join(self, other: Count) -> Count {
        Count {
            taken: self.taken.max(other.taken),
            returned: self.returned.max(other.returned),
        }
    }

    /// Adds a change in thousandths of a unit, negative if units are returned. Returns `false` if the number is at
    /// [`MAX_MILLI_UNITS`], so that the change may not be counted in full.
    pub fn add(&mut self, milli: i64) -> bool {
        let side = if milli >= 0 {
            &mut self.taken
        } else {
            &mut self.returned
        };
        *side = side
            .saturating_add(milli.unsigned_abs())
            .min(MAX_MILLI_UNITS);
        *side < MAX_MILLI_UNITS
    }

    /// What is used, in thousandths of a unit; negative if more was returned than this epoch took.
    pub fn net(self) -> i64 {
        // Both are at most 2^50 wherever they come from, so neither cast nor difference can wrap.
        self.taken.min(MAX_MILLI_UNITS) as i64 - self.returned.min(MAX_MILLI_UNITS) as i64
    }
}
