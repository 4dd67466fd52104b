//! Backend instances from controllers, and those that a wrong-instance response proves to be gone.

use super::{Core, Output};
use maplefall_control_messages::InstanceUpdates;
use maplefall_policy::{BackendId, Event, ListKind, Millis};
use maplefall_service_registry::{Applied, InstanceRecord};

/// A backend that a complete list leaves out has expired if no update of it came for this long.
const UNLISTED_TIMEOUT: Millis = 10_000.0;

impl Core {
    pub(super) fn apply_instance_updates(
        &mut self,
        now: Millis,
        updates: InstanceUpdates,
        out: &mut Vec<Output>,
    ) {
        for record in &updates.records {
            if let Applied::Changed(record) = self.registry.apply(now, record.clone()) {
                self.apply_instance(now, &record, out);
            }
        }
        if !updates.complete {
            return;
        }
        let listed = updates
            .records
            .iter()
            .map(|record| record.id.as_str())
            .collect();
        for record in self.registry.reconcile(now, &listed, UNLISTED_TIMEOUT) {
            out.push(Output::Log(format!(
                "event=backend_unlisted backend={}",
                record.id
            )));
            self.apply_instance(now, &record, out);
        }
    }

    /// Another instance responded at the backend's address: the one that was meant has ended.
    pub(super) fn expire_wrong_instance(
        &mut self,
        now: Millis,
        backend: BackendId,
        out: &mut Vec<Output>,
    ) {
        let instance = self
            .services
            .backend(backend)
            .map(|backend| backend.instance.clone());
        let expired = instance.and_then(|instance| self.registry.mark_expired(now, &instance));
        if let Some(record) = expired {
            out.push(Output::Log(format!(
                "event=wrong_instance backend={} service={}",
                record.id, record.service
            )));
            self.apply_instance(now, &record, out);
        }
    }

    fn apply_instance(&mut self, now: Millis, record: &InstanceRecord, out: &mut Vec<Output>) {
        let Some(change) = self.services.apply_record(now, record) else {
            return;
        };
        out.push(Output::Pool(change.pool));
        out.push(Output::StateChanged);
        let event = Event::Backends(ListKind::Changes, vec![change.entry]);
        self.handle_policy_event(now, change.service, event, out);
    }
}
