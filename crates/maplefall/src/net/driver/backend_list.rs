//! The list of backends: applies changes of the membership to the connection pools and passes them
//! to the decision module.
//!
//! Invariant: a backend's pool is open, draining or removed before the decision module is notified.

use super::state::State;
use super::Driver;
#[cfg(feature = "breakages")]
use crate::net::breakages::{self, Breakage};
use maplefall_policy::{Availability, BackendEntry, CellId, Event, ListKind, ZoneId};
use maplefall_protocol::{Health, Member};
use maplefall_settings as settings;
use std::rc::Rc;

impl Driver {
    /// Applies changes of the list of backends.
    #[cfg(not(feature = "breakages"))]
    pub fn apply_changes(self: &Rc<Self>, changes: Vec<Member>) {
        self.apply_changes_now(&changes);
    }

    /// Applies changes of the list of backends, after a delay if the breakage under test delays
    /// them.
    #[cfg(feature = "breakages")]
    pub fn apply_changes(self: &Rc<Self>, changes: Vec<Member>) {
        if !breakages::is(Breakage::DrainLate) {
            return self.apply_changes_now(&changes);
        }
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(breakages::LATE_MS)).await;
            driver.apply_changes_now(&changes);
        });
    }

    fn apply_changes_now(self: &Rc<Self>, changes: &[Member]) {
        let entries = {
            let mut state = self.state.borrow_mut();
            changes
                .iter()
                .filter_map(|member| self.apply_change(&mut state, member))
                .collect()
        };
        self.post(
            self.clock.now(),
            Event::Backends(ListKind::Changes, entries),
        );
    }

    /// Applies a change to the pools and returns the backend's entry for the decision module.
    fn apply_change(&self, state: &mut State, member: &Member) -> Option<BackendEntry> {
        #[cfg(feature = "breakages")]
        if member.health != Health::Up && breakages::is(Breakage::DrainIgnored) {
            return None;
        }
        let id = state.backend_id(&member.host);
        let availability = match member.health {
            Health::Up => {
                self.pools.open(id, member.dial, member.born_ms);
                Availability::Ready
            }
            Health::Draining => {
                self.pools.drain(id);
                Availability::Draining
            }
            Health::Removed => {
                self.pools.remove(id);
                state.remove_backend(&member.host);
                Availability::Removed
            }
        };
        let site = settings::wire_value(&member.site);
        let zone = self.names.zones.iter().position(|zone| *zone == site);
        let entry = BackendEntry {
            id,
            // Sites that are not in the settings share a zone.
            zone: ZoneId(zone.map_or(u32::MAX, |zone| zone as u32)),
            cell: CellId(member.block),
            availability,
            started: (member.born_ms > 0.0).then_some(member.born_ms),
            size: member.share,
        };
        #[cfg(feature = "breakages")]
        let entry = self.break_entry(entry);
        Some(entry)
    }

    /// Deliberate faults for rehearsals; no released build contains them.
    #[cfg(feature = "breakages")]
    fn break_entry(&self, entry: BackendEntry) -> BackendEntry {
        if entry.availability == Availability::Ready && entry.started.is_some() {
            self.last_started.set(Some(entry.id));
        }
        breakages::entry(entry)
    }
}
