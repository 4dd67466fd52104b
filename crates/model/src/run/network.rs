//! The network between clients, proxies and backends.

use super::Run;

impl Run<'_> {
    pub(super) fn delay(&mut self) -> f64 {
        self.random.within(self.world.delay_ms)
    }

    /// One way between a proxy and a backend.
    pub(super) fn network_delay(&mut self, proxy: usize, backend: usize) -> f64 {
        let cross = self.crosses_zones(proxy, backend);
        self.delay()
            + if cross {
                self.random.within(self.world.cross_zone_ms)
            } else {
                0.0
            }
    }

    pub(super) fn crosses_zones(&self, proxy: usize, backend: usize) -> bool {
        proxy % self.world.zones != backend % self.world.zones
    }

    pub(super) fn is_partitioned(&self, proxy: usize, backend: usize) -> bool {
        self.partition.as_ref().is_some_and(|(proxies, backends)| {
            proxies.contains(&proxy) && backends.contains(&backend)
        })
    }
}
