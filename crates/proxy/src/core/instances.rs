//! Backend instances: updates from controllers, and the expiry of an instance whose address is used
//! by another one.

use super::{Core, Output};
use maplefall_control_messages::InstanceUpdates;
use maplefall_policy::{BackendId, Event, ListKind, Millis};
use maplefall_service_registry::{Applied, InstanceRecord};

/// A backend that is missing from a complete list expires if there was no update of it for this
/// long.
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
        let reconciled = self.registry.reconcile(now, &listed, UNLISTED_TIMEOUT);
        for id in reconciled.kept {
            out.push(Output::Log(format!(
                "event=unlisted_backend_kept backend={id}"
            )));
        }
        for record in reconciled.expired {
            out.push(Output::Log(format!(
                "event=backend_unlisted backend={}",
                record.id
            )));
            self.apply_instance(now, &record, out);
        }
    }

    /// Marks a backend's instance as expired after another instance has responded at its address.
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
