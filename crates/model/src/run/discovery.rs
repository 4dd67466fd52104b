//! Discovery: how changes of the endpoint list reach proxies, directly or through each proxy's
//! agent.
//!
//! A proxy's `notified` map is the reference for late sends: the grace period of a drain starts
//! when the drain counts as delivered to the proxy.

use super::event::RunEvent;
use super::{Run, AGENT_TAIL_MS};
use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, Event};

impl Run<'_> {
    /// Delivers a version of the endpoint list to an agent, at one of its two addresses.
    pub(super) fn update_agent(&mut self, proxy: usize, at: usize, version: u64) {
        let now = self.now;
        let Some(agent) = &mut self.proxies[proxy].agent else {
            return;
        };
        agent.set_version(at, version);
        if at == agent.address_index() {
            // A suspended agent notifies the proxy when it resumes, or after the maximum
            // propagation delay.
            let notified = agent.notified_at(now);
            self.queue
                .push(notified, RunEvent::Notified { proxy, version });
        }
        self.schedule_agent(proxy);
    }

    /// Records that the proxy counts as notified of all drains up to this version; a backend that
    /// is ready again cancels its drain.
    pub(super) fn record_notified(&mut self, proxy: usize, version: u64) {
        let now = self.now;
        for version in self.proxies[proxy].notified_until + 1..=version {
            for entry in self.history.change(version) {
                let at = entry.id.0 as usize;
                if entry.availability == policy::Availability::Ready {
                    self.proxies[proxy].notified.remove(&at);
                } else {
                    self.proxies[proxy]
                        .notified
                        .entry(at)
                        .or_insert((now, version));
                }
            }
        }
        self.proxies[proxy].notified_until = self.proxies[proxy].notified_until.max(version);
    }

    /// Moves a proxy's agent to its second address, where it lags by `lag_ms`; the first closes
    /// after `close_ms`.
    pub(super) fn move_agent(&mut self, proxy: usize, close_ms: f64, lag_ms: f64) {
        let now = self.now;
        let up = self.proxies[proxy].up;
        self.proxies[proxy].lag_ms = lag_ms;
        let Some(agent) = &mut self.proxies[proxy].agent else {
            return;
        };
        // The agent starts there at an older version and receives the later ones over the time
        // `lag_ms`.
        let current_version = agent.version();
        let older_version = current_version
            .saturating_sub((lag_ms / 100.0) as u64)
            .max(1);
        agent.move_to_second(now, older_version, close_ms);
        let entries = if up {
            agent.notify_move(now)
        } else {
            Vec::new()
        };
        for version in older_version + 1..=current_version {
            let at = now
                + lag_ms * (version - older_version) as f64
                    / (current_version - older_version) as f64;
            self.queue.push(
                at,
                RunEvent::AgentUpdated {
                    proxy,
                    at: 1,
                    version,
                },
            );
        }
        self.apply_endpoint_changes(proxy, entries);
        self.schedule_agent(proxy);
    }

    /// Processes everything that is due between a proxy and its agent.
    pub(super) fn run_agent(&mut self, proxy: usize) {
        if self.proxies[proxy].up {
            let (now, history) = (self.now, std::mem::take(&mut self.history));
            let entries = match &mut self.proxies[proxy].agent {
                Some(agent) => agent.run_until(now, &history),
                None => Vec::new(),
            };
            self.history = history;
            self.apply_endpoint_changes(proxy, entries);
        }
        self.schedule_agent(proxy);
    }

    /// Schedules the next time at which something is due between a proxy and its agent.
    pub(super) fn schedule_agent(&mut self, proxy: usize) {
        let now = self.now;
        let state = &mut self.proxies[proxy];
        let due = state
            .agent
            .as_ref()
            .filter(|_| state.up)
            .and_then(|agent| agent.next_due(now));
        // Heartbeats alone would keep the run alive for ever: they end once the last client request
        // must be over.
        let end = self.world.seconds * 1000.0 + AGENT_TAIL_MS;
        if let Some(at) = due.filter(|at| *at < state.agent_due_at && *at <= end) {
            state.agent_due_at = at;
            self.queue.push(at, RunEvent::AgentDue { proxy, at });
        }
    }

    /// Applies changes from the proxy's membership and delivers them to the decision module.
    pub(super) fn apply_endpoint_changes(&mut self, proxy: usize, entries: Vec<BackendEntry>) {
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            let at = entry.id.0 as usize;
            if entry.availability == policy::Availability::Removed {
                self.proxies[proxy].endpoints.remove(&at);
            } else {
                self.proxies[proxy].endpoints.insert(at, *entry);
            }
        }
        self.deliver_event(proxy, Event::Backends(policy::ListKind::Changes, entries));
    }

    /// Publishes a change of the endpoint list; each proxy, or its agent, receives it after a drawn
    /// delay.
    pub(super) fn publish_change(&mut self, entries: &[BackendEntry]) {
        let version = self.history.push(entries);
        for proxy in 0..self.proxies.len() {
            let delay = self.random.uniform_within(self.world.discovery_delay_ms);
            if self.proxies[proxy].agent.is_some() {
                self.queue.push(
                    self.now + delay,
                    RunEvent::AgentUpdated {
                        proxy,
                        at: 0,
                        version,
                    },
                );
                let delay = delay + self.proxies[proxy].lag_ms;
                self.queue.push(
                    self.now + delay,
                    RunEvent::AgentUpdated {
                        proxy,
                        at: 1,
                        version,
                    },
                );
                continue;
            }
            self.queue.push(
                self.now + delay,
                RunEvent::EndpointsChanged {
                    proxy,
                    entries: entries.to_vec(),
                },
            );
        }
    }

    /// Runs a proxy's agent, unless it has been rescheduled.
    pub(super) fn run_agent_if_due(&mut self, proxy: usize, at: f64) {
        // Only the most recently scheduled event of a proxy counts.
        if self.proxies[proxy].agent_due_at == at {
            self.proxies[proxy].agent_due_at = f64::INFINITY;
            self.run_agent(proxy);
        }
    }
}
