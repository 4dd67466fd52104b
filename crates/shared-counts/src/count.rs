//! One count: what was taken and what was given back, each a number that only grows.

/// Thousandths of a unit that a count holds at most: there it stays, and its door says so.
pub const MOST: u64 = 1 << 50;

/// What one life of a door has counted of one customer in one epoch, in thousandths of a unit.
///
/// A pair of grow-only counters (a PN-counter, Shapiro et al. 2011). Both change at one door alone and only upwards, so all
/// values that it ever had lie on one rising line, and the larger of two is the later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Taken when requests were first sent on.
    pub taken: u64,
    /// Given back when their true units turned out to be fewer, or nothing had run.
    pub returned: u64,
}

impl Count {
    /// The later of two states of one count: idempotent, commutative and associative.
    #[must_use]
    pub fn join(self, other: Count) -> Count {
        Count {
            taken: self.taken.max(other.taken),
            returned: self.returned.max(other.returned),
        }
    }

    /// Adds a change; `false` where the count has come to its width and holds less than was used.
    pub fn add(&mut self, milli: i64) -> bool {
        let side = if milli >= 0 {
            &mut self.taken
        } else {
            &mut self.returned
        };
        *side = side.saturating_add(milli.unsigned_abs()).min(MOST);
        *side < MOST
    }

    /// What has been used, in thousandths of a unit; below nought where more came back than this epoch took.
    pub fn net(self) -> i64 {
        // Both are at most 2^50 wherever they come from, so neither cast nor difference can wrap.
        self.taken.min(MOST) as i64 - self.returned.min(MOST) as i64
    }
}
