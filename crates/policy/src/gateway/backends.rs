//! Updates of the list of backends, and the subscription to them.

use super::*;

impl Gateway {
    pub(super) fn list_changed(&mut self, kind: ListKind, entries: &[BackendEntry]) {
        if self.settings.discovery == Discovery::OnRequest {
            self.keep_subscription(kind);
        }
        let is_complete = matches!(kind, ListKind::Full | ListKind::Cached);
        let changed: Vec<BackendId> = entries.iter().map(|entry| entry.id).collect();
        let changed = (!is_complete).then_some(&changed[..]);
        let (now, rng) = (self.now, &mut self.rng);
        self.backends.update_many(changed, |backends| {
            if is_complete {
                for backend in backends.values_mut() {
                    backend.entry.availability = Availability::Removed;
                }
            }
            for entry in entries {
                let fresh = Backend::new(now, *entry, rng);
                let known = backends.entry(entry.id);
                known
                    .and_modify(|known| known.update(now, &fresh))
                    .or_insert(fresh);
            }
        });
    }

    /// Subscribes to the list once the cached one is there, and again some time after a failure.
    fn keep_subscription(&mut self, kind: ListKind) {
        match kind {
            ListKind::Cached => self.actions.push(Action::Subscribe),
            ListKind::Failed => {
                let jitter = 0.5 + uniform(&mut self.rng);
                let at = self.now + self.settings.max_unrequested_list_age / 8.0 * jitter;
                self.set_timer(SUBSCRIBE_TIMER, at);
            }
            ListKind::Full | ListKind::Changes => {}
        }
    }
}
