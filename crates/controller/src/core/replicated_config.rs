//! The committed configuration, with recent changes for incremental updates of proxies.

use maplefall_control_messages::{ConfigUpdate, IndexedChange};
use maplefall_gateway_config::{Change, ConfigState};
use std::collections::VecDeque;

/// Number of changes kept for proxies that lack a few; a proxy that lacks more gets all items.
const MAX_RECENT_CHANGES: usize = 256;

/// The configuration as of the last committed change.
#[derive(Default)]
pub(super) struct ReplicatedConfig {
    state: ConfigState,
    /// Index of the last change in `state`.
    index: u64,
    recent: VecDeque<IndexedChange>,
    /// All changes after this index are in `recent`.
    recent_after: u64,
}

impl ReplicatedConfig {
    pub(super) fn state(&self) -> &ConfigState {
        &self.state
    }

    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Replaces the configuration by that of a snapshot.
    pub(super) fn restore(&mut self, state: ConfigState, index: u64) {
        self.state = state;
        self.index = index;
        self.recent_after = index;
        self.recent.clear();
    }

    /// Applies the change of a committed entry. A change that cannot be decoded (`None`) only
    /// advances the index, on every controller alike.
    pub(super) fn apply(&mut self, index: u64, change: Option<Change>) {
        if let Some(change) = change {
            self.state.apply(&change);
            self.recent.push_back(IndexedChange {
                index,
                change: Some(change),
            });
            self.trim_recent();
        }
        self.index = index;
    }

    fn trim_recent(&mut self) {
        if self.recent.len() <= MAX_RECENT_CHANGES {
            return;
        }
        if let Some(oldest) = self.recent.pop_front() {
            self.recent_after = oldest.index;
        }
    }

    /// Returns the update from the configuration at index `after` to the current one: the changes
    /// in between, or all items.
    pub(super) fn update_since(&self, after: u64) -> ConfigUpdate {
        let mut update = ConfigUpdate {
            index: self.index,
            ..ConfigUpdate::default()
        };
        if after > 0 && after >= self.recent_after {
            update.after = after;
            update.changes = self
                .recent
                .iter()
                .filter(|change| change.index > after)
                .cloned()
                .collect();
        } else {
            update.items = self.state.items().cloned().collect();
        }
        update
    }
}
