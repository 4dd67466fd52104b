//! Faults.

use super::event::Happens;
use super::Run;
use crate::world::Trouble;
use maplefall_policy as policy;
use maplefall_policy::BackendEntry;

impl Run<'_> {
    pub(super) fn some(&mut self, count: usize, part: f64) -> Vec<usize> {
        self.some_of(count, (part * count as f64).ceil() as usize)
    }

    pub(super) fn some_of(&mut self, count: usize, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        (0..many.min(count))
            .map(|_| all.swap_remove(self.dice.below(all.len())))
            .collect()
    }

    pub(super) fn trouble(&mut self, at: usize) {
        match self.world.trouble[at].clone() {
            Trouble::RestartDoors { part, down_ms, .. } => {
                for door in self.some(self.doors.len(), part) {
                    // One that is down already, or has a time to come back at, is passed over.
                    if !self.doors[door].up || self.doors[door].stopping {
                        continue;
                    }
                    self.goes_down(door);
                    let down = self.dice.within(down_ms);
                    self.queue.push(self.now + down, Happens::Back(door));
                }
            }
            Trouble::RollDoors {
                over_s,
                stop_ms,
                down_ms,
                ..
            } => {
                for door in 0..self.doors.len() {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    let down_ms = self.dice.within(down_ms);
                    self.queue.push(
                        when,
                        Happens::Stop {
                            door,
                            stop_ms,
                            down_ms,
                        },
                    );
                }
            }
            Trouble::MoveAgents {
                over_s,
                close_ms,
                behind_ms,
                ..
            } => {
                for door in 0..self.doors.len() {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    let behind_ms = self.dice.within(behind_ms);
                    self.queue.push(
                        when,
                        Happens::Moved {
                            door,
                            close_ms,
                            behind_ms,
                        },
                    );
                }
            }
            Trouble::SilenceAgents {
                for_s, part, dead, ..
            } => {
                let (now, until) = (self.now, self.now + for_s * 1000.0);
                for door in self.some(self.doors.len(), part) {
                    if let Some(agent) = &mut self.doors[door].agent {
                        agent.silence(now, until, dead);
                    }
                    self.wait_for_agent(door);
                }
            }
            Trouble::ReplaceBackends { part, over_s, .. } => {
                let up: Vec<usize> = (0..self.backends.len())
                    .filter(|at| self.backends[*at].up)
                    .collect();
                for at in self.some(up.len(), part) {
                    let when = self.now + self.dice.within([0.0, over_s * 1000.0]);
                    self.queue.push(when, Happens::Drain(up[at]));
                }
            }
            Trouble::SlowBackends {
                part, speed, for_s, ..
            } => {
                for backend in self.some(self.backends.len(), part) {
                    self.backends[backend].speed *= speed;
                    self.queue.push(
                        self.now + for_s * 1000.0,
                        Happens::Speed(backend, 1.0 / speed),
                    );
                }
            }
            Trouble::Flood {
                for_s,
                customers,
                times,
                through,
                ..
            } => {
                let until = self.now + for_s * 1000.0;
                for customer in self.some_of(self.world.customers, customers) {
                    let rate = self.settings.plans[self.customers[customer].plan].rate;
                    let pause = 1000.0 * self.world.units / (rate * times).max(1e-9);
                    self.customers[customer].through = through;
                    let next = self.now + self.dice.exponential(pause);
                    self.queue.push(
                        next,
                        Happens::Flood {
                            customer,
                            pause,
                            until,
                        },
                    );
                }
            }
            Trouble::OneShots { for_s, share, .. } => {
                let pause = 1000.0 / (share * self.rate).max(1e-9);
                let until = self.now + for_s * 1000.0;
                self.queue
                    .push(self.now + pause, Happens::OneShot { pause, until });
            }
            Trouble::Partition {
                for_s,
                doors,
                backends,
                ..
            } => {
                let doors = self.some(self.doors.len(), doors).into_iter().collect();
                let backends = self
                    .some(self.backends.len(), backends)
                    .into_iter()
                    .collect();
                self.apart = Some((doors, backends));
                self.queue.push(self.now + for_s * 1000.0, Happens::Heal);
            }
            Trouble::LoseZone { for_s, zone, .. } => {
                let lost: Vec<usize> = (0..self.backends.len())
                    .filter(|at| at % self.world.zones == zone && self.backends[*at].up)
                    .collect();
                for backend in &lost {
                    self.die(*backend);
                    let gone = BackendEntry {
                        availability: policy::Availability::Gone,
                        ..self.entry(*backend, None)
                    };
                    self.spread_news(&[gone]);
                }
                self.queue
                    .push(self.now + for_s * 1000.0, Happens::Revive(lost));
            }
        }
    }
}
