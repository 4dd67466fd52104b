//! Faults: the effects of the world's `[[trouble]]` tables on proxies, agents, backends, customers
//! and the network.
//!
//! The affected proxies, backends and customers are drawn when the fault begins, so that a run is a
//! function of its world and seed alone.

use super::event::RunEvent;
use super::Run;
use crate::world::Fault;
use maplefall_policy as policy;
use maplefall_policy::BackendEntry;

impl Run<'_> {
    /// Draws a fraction of `count` indexes, rounded up, without repetition.
    fn pick_fraction(&mut self, count: usize, fraction: f64) -> Vec<usize> {
        self.pick(count, (fraction * count as f64).ceil() as usize)
    }

    /// Draws up to `many` of `count` indexes without repetition.
    fn pick(&mut self, count: usize, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        (0..many.min(count))
            .map(|_| all.swap_remove(self.random.uniform_below(all.len())))
            .collect()
    }

    /// Begins the fault of this index in the world.
    pub(super) fn inject_fault(&mut self, at: usize) {
        match self.world.faults[at] {
            Fault::RestartProxies {
                fraction, down_ms, ..
            } => self.restart_proxies(fraction, down_ms),
            Fault::RollProxies {
                over_s,
                stop_ms,
                down_ms,
                ..
            } => self.roll_proxies(over_s, stop_ms, down_ms),
            Fault::MoveAgents {
                over_s,
                close_ms,
                lag_ms,
                ..
            } => self.move_agents(over_s, close_ms, lag_ms),
            Fault::SilenceAgents {
                for_s,
                fraction,
                dead,
                ..
            } => self.suspend_agents(for_s, fraction, dead),
            Fault::ReplaceBackends {
                fraction, over_s, ..
            } => self.replace_backends(fraction, over_s),
            Fault::SlowBackends {
                fraction,
                speed,
                for_s,
                ..
            } => self.slow_backends(fraction, speed, for_s),
            Fault::Flood {
                for_s,
                customers,
                times,
                through,
                ..
            } => self.start_floods(for_s, customers, times, through),
            Fault::OneShots { for_s, share, .. } => self.start_one_shots(for_s, share),
            Fault::Partition {
                for_s,
                proxies,
                backends,
                ..
            } => self.partition_network(for_s, proxies, backends),
            Fault::LoseZone { for_s, zone, .. } => self.lose_zone(for_s, zone),
        }
    }

    /// Kills a fraction of the proxies; each restarts after a drawn time.
    fn restart_proxies(&mut self, fraction: f64, down_ms: [f64; 2]) {
        for proxy in self.pick_fraction(self.proxies.len(), fraction) {
            // A proxy that is down or stopping is skipped: its restart is already scheduled.
            if !self.proxies[proxy].up || self.proxies[proxy].stopping {
                continue;
            }
            self.stop_proxy(proxy);
            let down = self.random.uniform_within(down_ms);
            self.queue
                .push(self.now + down, RunEvent::ProxyRestart(proxy));
        }
    }

    /// Stops and restarts all proxies, each at a drawn time.
    fn roll_proxies(&mut self, over_s: f64, stop_ms: f64, down_ms: [f64; 2]) {
        for proxy in 0..self.proxies.len() {
            let when = self.now + self.random.uniform_within([0.0, over_s * 1000.0]);
            let down_ms = self.random.uniform_within(down_ms);
            self.queue.push(
                when,
                RunEvent::ProxyStopping {
                    proxy,
                    stop_ms,
                    down_ms,
                },
            );
        }
    }

    /// Moves all agents; each proxy is notified at a drawn time.
    fn move_agents(&mut self, over_s: f64, close_ms: f64, lag_ms: [f64; 2]) {
        for proxy in 0..self.proxies.len() {
            let when = self.now + self.random.uniform_within([0.0, over_s * 1000.0]);
            let lag_ms = self.random.uniform_within(lag_ms);
            self.queue.push(
                when,
                RunEvent::AgentMoved {
                    proxy,
                    close_ms,
                    lag_ms,
                },
            );
        }
    }

    /// Suspends a fraction of the agents for a while.
    fn suspend_agents(&mut self, for_s: f64, fraction: f64, dead: bool) {
        let (now, until) = (self.now, self.now + for_s * 1000.0);
        for proxy in self.pick_fraction(self.proxies.len(), fraction) {
            if let Some(agent) = &mut self.proxies[proxy].agent {
                agent.suspend(now, until, dead);
            }
            self.schedule_agent(proxy);
        }
    }

    /// Drains a fraction of the running backends, each at a drawn time.
    fn replace_backends(&mut self, fraction: f64, over_s: f64) {
        let up: Vec<usize> = (0..self.backends.len())
            .filter(|at| self.backends[*at].up)
            .collect();
        for at in self.pick_fraction(up.len(), fraction) {
            let when = self.now + self.random.uniform_within([0.0, over_s * 1000.0]);
            self.queue.push(when, RunEvent::BackendDrain(up[at]));
        }
    }

    /// Slows a fraction of the backends for a while.
    fn slow_backends(&mut self, fraction: f64, speed: f64, for_s: f64) {
        for backend in self.pick_fraction(self.backends.len(), fraction) {
            self.backends[backend].speed *= speed;
            self.queue.push(
                self.now + for_s * 1000.0,
                RunEvent::BackendSpeed(backend, 1.0 / speed),
            );
        }
    }

    /// Starts floods of some customers in addition to their usual requests.
    fn start_floods(&mut self, for_s: f64, customers: usize, times: f64, through: usize) {
        let until = self.now + for_s * 1000.0;
        for customer in self.pick(self.world.customers, customers) {
            let rate = self.settings.plans[self.customers[customer].plan].rate;
            let mean_gap = 1000.0 * self.world.units / (rate * times).max(1e-9);
            self.customers[customer].flood_spread = through;
            let next = self.now + self.random.exponential(mean_gap);
            self.queue.push(
                next,
                RunEvent::FloodRequest {
                    customer,
                    mean_gap,
                    until,
                },
            );
        }
    }

    /// Starts the arrival process of one-shot customers.
    fn start_one_shots(&mut self, for_s: f64, share: f64) {
        let mean_gap = 1000.0 / (share * self.rate).max(1e-9);
        let until = self.now + for_s * 1000.0;
        self.queue.push(
            self.now + mean_gap,
            RunEvent::OneShotRequest { mean_gap, until },
        );
    }

    /// Partitions a fraction of the proxies from a fraction of the backends.
    fn partition_network(&mut self, for_s: f64, proxy_fraction: f64, backend_fraction: f64) {
        let proxies = self
            .pick_fraction(self.proxies.len(), proxy_fraction)
            .into_iter()
            .collect();
        let backends = self
            .pick_fraction(self.backends.len(), backend_fraction)
            .into_iter()
            .collect();
        self.partition = Some((proxies, backends));
        self.queue
            .push(self.now + for_s * 1000.0, RunEvent::PartitionHealed);
    }

    /// Kills the backends of a zone; they start again later.
    fn lose_zone(&mut self, for_s: f64, zone: usize) {
        let lost: Vec<usize> = (0..self.backends.len())
            .filter(|at| at % self.world.zones == zone && self.backends[*at].up)
            .collect();
        for backend in &lost {
            self.kill_backend(*backend);
            let removed = BackendEntry {
                availability: policy::Availability::Removed,
                ..self.backend_entry(*backend, None)
            };
            self.publish_change(&[removed]);
        }
        self.queue
            .push(self.now + for_s * 1000.0, RunEvent::BackendsRestart(lost));
    }
}
