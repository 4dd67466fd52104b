//! Discovery.

use super::event::Happens;
use super::{Run, AFTER};
use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, Event};

impl Run<'_> {
    pub(super) fn learn(&mut self, door: usize, at: usize, version: u64) {
        let now = self.now;
        let Some(agent) = &mut self.doors[door].agent else {
            return;
        };
        agent.learn(at, version);
        if at == agent.place() {
            // What an agent has counts as told; while it is silent, once it speaks or some seconds later.
            let told = agent.counts_as_told(now);
            self.queue.push(told, Happens::Told { door, version });
        }
        self.wait_for_agent(door);
    }

    /// From now on a door is held to all stops up to this version; a version in which a backend is up again takes its stop back.
    pub(super) fn count_as_told(&mut self, door: usize, version: u64) {
        let now = self.now;
        for version in self.doors[door].told_until + 1..=version {
            for entry in self.history.change(version) {
                let at = entry.id.0 as usize;
                if entry.availability == policy::Availability::Ready {
                    self.doors[door].told.remove(&at);
                } else {
                    self.doors[door].told.entry(at).or_insert((now, version));
                }
            }
        }
        self.doors[door].told_until = self.doors[door].told_until.max(version);
    }

    pub(super) fn agent_moves(&mut self, door: usize, close_ms: f64, behind_ms: f64) {
        let now = self.now;
        let up = self.doors[door].up;
        self.doors[door].behind_ms = behind_ms;
        let Some(agent) = &mut self.doors[door].agent else {
            return;
        };
        // It has what was known so long ago, and hears of the rest as late as of all that comes.
        let had = agent.version();
        let behind = had.saturating_sub((behind_ms / 100.0) as u64).max(1);
        agent.moved(now, behind, close_ms);
        let entries = if up {
            agent.told_of_move(now)
        } else {
            Vec::new()
        };
        for version in behind + 1..=had {
            let at = now + behind_ms * (version - behind) as f64 / (had - behind) as f64;
            self.queue.push(
                at,
                Happens::Learn {
                    door,
                    at: 1,
                    version,
                },
            );
        }
        self.list_heard(door, entries);
        self.wait_for_agent(door);
    }

    /// Lets a door and its agent go on.
    pub(super) fn follow(&mut self, door: usize) {
        if self.doors[door].up {
            let (now, history) = (self.now, std::mem::take(&mut self.history));
            let entries = match &mut self.doors[door].agent {
                Some(agent) => agent.go_on(now, &history),
                None => Vec::new(),
            };
            self.history = history;
            self.list_heard(door, entries);
        }
        self.wait_for_agent(door);
    }

    pub(super) fn wait_for_agent(&mut self, door: usize) {
        let now = self.now;
        let held = &mut self.doors[door];
        let due = held
            .agent
            .as_ref()
            .filter(|_| held.up)
            .and_then(|agent| agent.next_due(now));
        // Heartbeats alone would go on for ever: they end once the last request that the world draws must be over.
        let end = self.world.seconds * 1000.0 + AFTER;
        if let Some(at) = due.filter(|at| *at < held.follow_at && *at <= end) {
            held.follow_at = at;
            self.queue.push(at, Happens::Follow { door, at });
        }
    }

    /// What came out of a door's roster.
    pub(super) fn list_heard(&mut self, door: usize, entries: Vec<BackendEntry>) {
        if entries.is_empty() {
            return;
        }
        for entry in &entries {
            let at = entry.id.0 as usize;
            if entry.availability == policy::Availability::Gone {
                self.doors[door].list.remove(&at);
            } else {
                self.doors[door].list.insert(at, *entry);
            }
        }
        self.tell(door, Event::Backends(policy::ListKind::Changes, entries));
    }

    pub(super) fn spread_news(&mut self, entries: &[BackendEntry]) {
        let version = self.history.push(entries);
        for door in 0..self.doors.len() {
            let late = self.dice.within(self.world.notice_ms);
            if self.doors[door].agent.is_some() {
                self.queue.push(
                    self.now + late,
                    Happens::Learn {
                        door,
                        at: 0,
                        version,
                    },
                );
                let late = late + self.doors[door].behind_ms;
                self.queue.push(
                    self.now + late,
                    Happens::Learn {
                        door,
                        at: 1,
                        version,
                    },
                );
                continue;
            }
            self.queue.push(
                self.now + late,
                Happens::Hear {
                    door,
                    entries: entries.to_vec(),
                },
            );
        }
    }
}
