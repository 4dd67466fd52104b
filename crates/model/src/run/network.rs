//! The network between clients, proxies and backends: delays, zones and partitions.
//!
//! Each delay is drawn independently, so messages can overtake each other.

use super::Run;

impl Run<'_> {
    /// Draws a one-way delay between a client and a proxy, in milliseconds.
    pub(super) fn delay(&mut self) -> f64 {
        self.random.uniform_within(self.world.delay_ms)
    }

    /// Draws a one-way delay between a proxy and a backend, in milliseconds; longer between zones.
    pub(super) fn network_delay(&mut self, proxy: usize, backend: usize) -> f64 {
        let cross = self.crosses_zones(proxy, backend);
        self.delay()
            + if cross {
                self.random.uniform_within(self.world.cross_zone_ms)
            } else {
                0.0
            }
    }

    /// Whether proxy and backend are in different zones.
    pub(super) fn crosses_zones(&self, proxy: usize, backend: usize) -> bool {
        proxy % self.world.zones != backend % self.world.zones
    }

    /// Whether the network is partitioned between proxy and backend.
    pub(super) fn is_partitioned(&self, proxy: usize, backend: usize) -> bool {
        self.partition.as_ref().is_some_and(|(proxies, backends)| {
            proxies.contains(&proxy) && backends.contains(&backend)
        })
    }
}
