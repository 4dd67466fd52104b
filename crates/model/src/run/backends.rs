//! Backends.

use super::event::Happens;
use super::Run;
use crate::backend::{Backend, Job, Taken};
use crate::world::{Trouble, World};
use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, BackendId, Effect};

impl Run<'_> {
    /// Counts time by requests in backends, for Little's law.
    pub(super) fn hold(&mut self, change: isize) {
        self.held += self.holding as f64 * (self.now - self.held_at);
        self.held_at = self.now;
        self.holding = self.holding.saturating_add_signed(change);
    }

    pub(super) fn reach(&mut self, attempt: u64) {
        let Some(one) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let now = self.now;
        if self.cut(one.door, one.backend) {
            // Nothing comes of it: its door waits until its limit.
            return self.leave(attempt);
        }
        let delay = self.way(one.door, one.backend);
        let first = &self.firsts[one.first];
        let backend = &mut self.backends[one.backend];
        if !backend.up {
            self.outcome.dead += 1;
            self.leave(attempt);
            self.queue.push(
                now + delay,
                Happens::Reply(attempt, policy::Outcome::ConnectFailed),
            );
            return;
        }
        let work = first.work;
        let slack = 2.0 * self.world.most_units / self.world.units * 80.0;
        let (multiple, window) = (self.world.fall_multiple, self.world.fall_ms);
        if backend.pushed_over(now, work, multiple, window, slack) {
            self.outcome.fell_over += 1;
            self.die(one.backend);
            return;
        }
        match backend.take(
            Job {
                attempt,
                work,
                came: now,
            },
            now,
        ) {
            Taken::Begun(until) => {
                let life = self.lives[one.backend];
                self.queue.push(
                    until,
                    Happens::Done {
                        backend: one.backend,
                        life,
                        attempt,
                    },
                );
                self.waits.1 += 1;
                self.sojourn.0 += until - now;
                self.sojourn.1 += 1;
                self.hold(1);
            }
            Taken::Waits => self.hold(1),
            Taken::Full => {
                self.leave(attempt);
                self.queue
                    .push(now + delay, Happens::Reply(attempt, policy::Outcome::Full));
            }
        }
    }

    /// An attempt is no longer in its backend.
    pub(super) fn leave(&mut self, attempt: u64) {
        if let Some(one) = self.attempts.get_mut(&attempt) {
            one.there = false;
            if one.settled {
                self.attempts.remove(&attempt);
            }
        }
    }

    pub(super) fn done(&mut self, backend: usize, life: u32, attempt: u64) {
        if self.lives[backend] != life {
            return;
        }
        self.hold(-1);
        if let Some(one) = self.attempts.get(&attempt).cloned() {
            let class = &self.world.class[self.firsts[one.first].class];
            if let Some(held) = self.tries.get_mut(&one.id) {
                held.ran += 1;
                let twice = held.ran > 1 && World::effect(class) == Some(Effect::Unsafe);
                self.outcome.ran_twice += u64::from(twice);
            }
            self.leave(attempt);
            let delay = self.way(one.door, one.backend);
            if !self.cut(one.door, one.backend) {
                self.queue.push(
                    self.now + delay,
                    Happens::Reply(attempt, policy::Outcome::Ok),
                );
            }
        }
        let now = self.now;
        if let Some((job, until)) = self.backends[backend].next(now) {
            self.waits.0 += now - job.came;
            self.waits.1 += 1;
            self.sojourn.0 += until - job.came;
            self.sojourn.1 += 1;
            self.queue.push(
                until,
                Happens::Done {
                    backend,
                    life,
                    attempt: job.attempt,
                },
            );
        }
    }

    pub(super) fn die(&mut self, backend: usize) {
        let held = self.backends[backend].die();
        self.hold(-(held as isize));
        self.lives[backend] += 1;
        // Those that it held, and those on their way: these find nobody.
        let lost: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, one)| one.backend == backend && one.there)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.leave(attempt);
            let delay = self.delay();
            self.queue.push(
                self.now + delay,
                Happens::Reply(attempt, policy::Outcome::Reset),
            );
        }
    }

    pub(super) fn drain(&mut self, backend: usize) {
        self.backends[backend].drained = Some(self.now);
        let drain_ms = self.world.trouble.iter().find_map(|trouble| match trouble {
            Trouble::ReplaceBackends { drain_ms, .. } => Some(*drain_ms),
            _ => None,
        });
        self.spread_news(&[BackendEntry {
            availability: policy::Availability::Draining,
            ..self.entry(backend, None)
        }]);
        self.queue
            .push(self.now + drain_ms.unwrap_or(0.0), Happens::End(backend));
    }

    /// A backend ends, and a cold one comes in its stead under a new number.
    pub(super) fn end(&mut self, backend: usize) {
        self.die(backend);
        let gone = BackendEntry {
            availability: policy::Availability::Gone,
            ..self.entry(backend, None)
        };
        self.spread_news(&[gone]);
        let speed = self.dice.log_normal(1.0, self.world.speed_cv);
        let shape = self.backends[backend].shape;
        self.backends
            .push(Backend::new(shape, speed, Some(self.now)));
        self.lives.push(0);
        let fresh = self.entry(self.backends.len() - 1, Some(self.now));
        self.spread_news(&[fresh]);
    }

    pub(super) fn entry(&self, backend: usize, started: Option<f64>) -> BackendEntry {
        BackendEntry {
            id: BackendId(backend as u32),
            zone: policy::ZoneId((backend % self.world.zones) as u32),
            cell: policy::CellId(0),
            availability: policy::Availability::Ready,
            started,
            size: 1.0,
        }
    }

    pub(super) fn revive(&mut self, backends: Vec<usize>) {
        for at in backends {
            let old = &self.backends[at];
            self.backends[at] = Backend::new(old.shape, old.speed, Some(self.now));
            let back = self.entry(at, Some(self.now));
            self.spread_news(&[back]);
        }
    }
}
