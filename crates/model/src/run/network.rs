//! The network between clients, proxies and backends.

use super::Run;

impl Run<'_> {
    pub(super) fn delay(&mut self) -> f64 {
        self.dice.within(self.world.delay_ms)
    }

    /// One way between a door and a backend.
    pub(super) fn way(&mut self, door: usize, backend: usize) -> f64 {
        let cross = self.crosses(door, backend);
        self.delay()
            + if cross {
                self.dice.within(self.world.cross_ms)
            } else {
                0.0
            }
    }

    pub(super) fn crosses(&self, door: usize, backend: usize) -> bool {
        door % self.world.zones != backend % self.world.zones
    }

    pub(super) fn cut(&self, door: usize, backend: usize) -> bool {
        self.apart
            .as_ref()
            .is_some_and(|(doors, backends)| doors.contains(&door) && backends.contains(&backend))
    }
}
