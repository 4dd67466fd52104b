//! Backends: arrivals, jobs, failures, drains and replacements.
//!
//! A backend's entry in `incarnations` is incremented when its process dies, so that a completion
//! event of an earlier process has no effect on a later one.

use super::event::RunEvent;
use super::Run;
use crate::backend::{Backend, Job, JobAdmission};
use crate::world::{Fault, World};
use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, BackendId, Idempotency};

impl Run<'_> {
    /// Adds the time since the last change to the integral of the occupancy (for Little's law),
    /// then changes the occupancy.
    pub(super) fn change_occupancy(&mut self, change: isize) {
        self.occupancy_integral += self.occupancy as f64 * (self.now - self.occupancy_since);
        self.occupancy_since = self.now;
        self.occupancy = self.occupancy.saturating_add_signed(change);
    }

    /// Delivers an attempt to its backend: it starts, is queued, or is rejected.
    pub(super) fn receive_attempt(&mut self, attempt: u64) {
        let Some(state) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let now = self.now;
        if self.is_partitioned(state.proxy, state.backend) {
            // The packets are lost: the proxy waits until its timeout.
            return self.detach_from_backend(attempt);
        }
        let delay = self.network_delay(state.proxy, state.backend);
        let client_request = &self.client_requests[state.client_request];
        let backend = &mut self.backends[state.backend];
        if !backend.up {
            self.outcome.dead += 1;
            self.detach_from_backend(attempt);
            self.queue.push(
                now + delay,
                RunEvent::AttemptEnded(attempt, policy::Outcome::ConnectFailed),
            );
            return;
        }
        let work = client_request.work;
        let slack = 2.0 * self.world.max_units / self.world.units * 80.0;
        let (factor, window) = (self.world.overload_factor, self.world.overload_window_ms);
        if backend.is_overloaded(now, work, factor, window, slack) {
            self.outcome.overload_failures += 1;
            self.kill_backend(state.backend);
            return;
        }
        match backend.admit(
            Job {
                attempt,
                work,
                arrived: now,
            },
            now,
        ) {
            JobAdmission::Started(until) => {
                let incarnation = self.incarnations[state.backend];
                self.queue.push(
                    until,
                    RunEvent::JobDone {
                        backend: state.backend,
                        incarnation,
                        attempt,
                    },
                );
                self.waits.1 += 1;
                self.sojourn.0 += until - now;
                self.sojourn.1 += 1;
                self.change_occupancy(1);
            }
            JobAdmission::Queued => self.change_occupancy(1),
            JobAdmission::Full => {
                self.detach_from_backend(attempt);
                self.queue.push(
                    now + delay,
                    RunEvent::AttemptEnded(attempt, policy::Outcome::Full),
                );
            }
        }
    }

    /// Marks an attempt as no longer in its backend, and drops it if its end was reported.
    pub(super) fn detach_from_backend(&mut self, attempt: u64) {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.at_backend = false;
            if state.reported {
                self.attempts.remove(&attempt);
            }
        }
    }

    /// Completes a job: sends its response to the proxy and starts the next job.
    pub(super) fn finish_job(&mut self, backend: usize, incarnation: u32, attempt: u64) {
        if self.incarnations[backend] != incarnation {
            return;
        }
        self.change_occupancy(-1);
        if let Some(state) = self.attempts.get(&attempt).cloned() {
            let class = &self.world.class[self.client_requests[state.client_request].class];
            if let Some(request) = self.proxy_requests.get_mut(&state.id) {
                request.executions += 1;
                let twice = request.executions > 1
                    && World::effect(class) == Some(Idempotency::NonIdempotent);
                self.outcome.executed_twice += u64::from(twice);
            }
            self.detach_from_backend(attempt);
            let delay = self.network_delay(state.proxy, state.backend);
            if !self.is_partitioned(state.proxy, state.backend) {
                self.queue.push(
                    self.now + delay,
                    RunEvent::AttemptEnded(attempt, policy::Outcome::Ok),
                );
            }
        }
        let now = self.now;
        if let Some((job, until)) = self.backends[backend].start_next(now) {
            self.waits.0 += now - job.arrived;
            self.waits.1 += 1;
            self.sojourn.0 += until - job.arrived;
            self.sojourn.1 += 1;
            self.queue.push(
                until,
                RunEvent::JobDone {
                    backend,
                    incarnation,
                    attempt: job.attempt,
                },
            );
        }
    }

    /// Kills a backend process; its attempts are reset.
    pub(super) fn kill_backend(&mut self, backend: usize) {
        let in_flight = self.backends[backend].stop();
        self.change_occupancy(-(in_flight as isize));
        self.incarnations[backend] += 1;
        // Attempts in the backend, and those still on their way to it.
        let lost: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, state)| state.backend == backend && state.at_backend)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.detach_from_backend(attempt);
            let delay = self.delay();
            self.queue.push(
                self.now + delay,
                RunEvent::AttemptEnded(attempt, policy::Outcome::Reset),
            );
        }
    }

    /// Announces a drain; the backend ends after the world's `drain_ms`.
    pub(super) fn drain_backend(&mut self, backend: usize) {
        self.backends[backend].drained = Some(self.now);
        let drain_ms = self.world.faults.iter().find_map(|fault| match fault {
            Fault::ReplaceBackends { drain_ms, .. } => Some(*drain_ms),
            _ => None,
        });
        self.publish_change(&[BackendEntry {
            availability: policy::Availability::Draining,
            ..self.backend_entry(backend, None)
        }]);
        self.queue.push(
            self.now + drain_ms.unwrap_or(0.0),
            RunEvent::BackendEnd(backend),
        );
    }

    /// Ends a drained backend and replaces it by a new one, which warms up, under a new index.
    pub(super) fn replace_backend(&mut self, backend: usize) {
        self.kill_backend(backend);
        let removed = BackendEntry {
            availability: policy::Availability::Removed,
            ..self.backend_entry(backend, None)
        };
        self.publish_change(&[removed]);
        let speed = self.random.log_normal(1.0, self.world.speed_cv);
        let config = self.backends[backend].config;
        self.backends
            .push(Backend::new(config, speed, Some(self.now)));
        self.incarnations.push(0);
        let fresh = self.backend_entry(self.backends.len() - 1, Some(self.now));
        self.publish_change(&[fresh]);
    }

    /// Returns the endpoint entry of a ready backend; `started` is `None` for one that was warm
    /// before the run.
    pub(super) fn backend_entry(&self, backend: usize, started: Option<f64>) -> BackendEntry {
        BackendEntry {
            id: BackendId(backend as u32),
            zone: policy::ZoneId((backend % self.world.zones) as u32),
            cell: policy::CellId(0),
            availability: policy::Availability::Ready,
            started,
            size: 1.0,
        }
    }

    /// Restarts backends under their old indexes; they warm up.
    pub(super) fn restart_backends(&mut self, backends: Vec<usize>) {
        for at in backends {
            let old = &self.backends[at];
            self.backends[at] = Backend::new(old.config, old.speed, Some(self.now));
            let back = self.backend_entry(at, Some(self.now));
            self.publish_change(&[back]);
        }
    }
}
