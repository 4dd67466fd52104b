//! Faults.

use super::event::RunEvent;
use super::Run;
use crate::world::Fault;
use maplefall_policy as policy;
use maplefall_policy::BackendEntry;

impl Run<'_> {
    pub(super) fn pick_fraction(&mut self, count: usize, fraction: f64) -> Vec<usize> {
        self.pick(count, (fraction * count as f64).ceil() as usize)
    }

    pub(super) fn pick(&mut self, count: usize, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        (0..many.min(count))
            .map(|_| all.swap_remove(self.random.below(all.len())))
            .collect()
    }

    pub(super) fn inject_fault(&mut self, at: usize) {
        match self.world.faults[at].clone() {
            Fault::RestartProxies {
                fraction, down_ms, ..
            } => {
                for proxy in self.pick_fraction(self.proxies.len(), fraction) {
                    // One that is down already, or has a time to come back at, is passed over.
                    if !self.proxies[proxy].up || self.proxies[proxy].stopping {
                        continue;
                    }
                    self.stop_proxy(proxy);
                    let down = self.random.within(down_ms);
                    self.queue
                        .push(self.now + down, RunEvent::ProxyRestart(proxy));
                }
            }
            Fault::RollProxies {
                over_s,
                stop_ms,
                down_ms,
                ..
            } => {
                for proxy in 0..self.proxies.len() {
                    let when = self.now + self.random.within([0.0, over_s * 1000.0]);
                    let down_ms = self.random.within(down_ms);
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
            Fault::MoveAgents {
                over_s,
                close_ms,
                lag_ms,
                ..
            } => {
                for proxy in 0..self.proxies.len() {
                    let when = self.now + self.random.within([0.0, over_s * 1000.0]);
                    let lag_ms = self.random.within(lag_ms);
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
            Fault::SilenceAgents {
                for_s,
                fraction,
                dead,
                ..
            } => {
                let (now, until) = (self.now, self.now + for_s * 1000.0);
                for proxy in self.pick_fraction(self.proxies.len(), fraction) {
                    if let Some(agent) = &mut self.proxies[proxy].agent {
                        agent.silence(now, until, dead);
                    }
                    self.schedule_agent(proxy);
                }
            }
            Fault::ReplaceBackends {
                fraction, over_s, ..
            } => {
                let up: Vec<usize> = (0..self.backends.len())
                    .filter(|at| self.backends[*at].up)
                    .collect();
                for at in self.pick_fraction(up.len(), fraction) {
                    let when = self.now + self.random.within([0.0, over_s * 1000.0]);
                    self.queue.push(when, RunEvent::BackendDrain(up[at]));
                }
            }
            Fault::SlowBackends {
                fraction,
                speed,
                for_s,
                ..
            } => {
                for backend in self.pick_fraction(self.backends.len(), fraction) {
                    self.backends[backend].speed *= speed;
                    self.queue.push(
                        self.now + for_s * 1000.0,
                        RunEvent::BackendSpeed(backend, 1.0 / speed),
                    );
                }
            }
            Fault::Flood {
                for_s,
                customers,
                times,
                through,
                ..
            } => {
                let until = self.now + for_s * 1000.0;
                for customer in self.pick(self.world.customers, customers) {
                    let rate = self.settings.plans[self.customers[customer].plan].rate;
                    let pause = 1000.0 * self.world.units / (rate * times).max(1e-9);
                    self.customers[customer].through = through;
                    let next = self.now + self.random.exponential(pause);
                    self.queue.push(
                        next,
                        RunEvent::FloodRequest {
                            customer,
                            pause,
                            until,
                        },
                    );
                }
            }
            Fault::OneShots { for_s, share, .. } => {
                let pause = 1000.0 / (share * self.rate).max(1e-9);
                let until = self.now + for_s * 1000.0;
                self.queue
                    .push(self.now + pause, RunEvent::OneShotRequest { pause, until });
            }
            Fault::Partition {
                for_s,
                proxies,
                backends,
                ..
            } => {
                let proxies = self
                    .pick_fraction(self.proxies.len(), proxies)
                    .into_iter()
                    .collect();
                let backends = self
                    .pick_fraction(self.backends.len(), backends)
                    .into_iter()
                    .collect();
                self.partition = Some((proxies, backends));
                self.queue
                    .push(self.now + for_s * 1000.0, RunEvent::PartitionHealed);
            }
            Fault::LoseZone { for_s, zone, .. } => {
                let lost: Vec<usize> = (0..self.backends.len())
                    .filter(|at| at % self.world.zones == zone && self.backends[*at].up)
                    .collect();
                for backend in &lost {
                    self.kill_backend(*backend);
                    let gone_entry = BackendEntry {
                        availability: policy::Availability::Gone,
                        ..self.backend_entry(*backend, None)
                    };
                    self.publish_change(&[gone_entry]);
                }
                self.queue
                    .push(self.now + for_s * 1000.0, RunEvent::BackendsRestart(lost));
            }
        }
    }
}
