//! Configuration updates from controllers. The index of the applied configuration only increases:
//! an update that is not newer, or that builds on a later configuration, is ignored.

use super::{Core, Output};
use maplefall_control_messages::ConfigUpdate;
use maplefall_gateway_config::{Change, ItemSet, RouteTable};
use maplefall_policy::Millis;
use std::rc::Rc;

impl Core {
    pub(super) fn apply_config_update(
        &mut self,
        now: Millis,
        update: ConfigUpdate,
        out: &mut Vec<Output>,
    ) {
        self.add_controllers(update.controllers.iter().cloned(), out);
        let is_stale = update.index <= self.config_index;
        let has_gap = update.after > self.config_index;
        if is_stale || has_gap {
            return;
        }
        let index = update.index;
        self.update_route_table(update);
        self.config_index = index;
        out.push(Output::Log(format!(
            "event=config_applied index={} routes={} tenants={} requires_key={}",
            self.config_index,
            self.route_table.routes.len(),
            self.route_table.tenants.len(),
            self.route_table.requires_key()
        )));
        self.refresh_quotas(now);
        self.quota_requested_at.clear();
        self.quota_rejected_at.clear();
        // Leases are requested at once, since no quota of new tenants is leased to this proxy yet.
        self.request_leases(now, out);
        self.tenant_names
            .retain(|_, name| Rc::strong_count(name) > 1);
        out.push(Output::StateChanged);
    }

    fn update_route_table(&mut self, update: ConfigUpdate) {
        if update.after == 0 {
            self.items = ItemSet::from_items(update.items);
            self.route_table = Rc::new(RouteTable::from_items(&self.items));
            return;
        }
        let changes: Vec<Change> = update
            .changes
            .into_iter()
            .filter(|indexed| indexed.index > self.config_index)
            .filter_map(|indexed| indexed.change)
            .collect();
        for change in &changes {
            self.items.apply(change);
        }
        // No other reference to the route table exists between two inputs of the core, so
        // `make_mut` does not copy the table.
        Rc::make_mut(&mut self.route_table).patch(&self.items, changes.iter());
    }

    /// Adds controllers to the known ones. Controllers are never removed.
    pub(super) fn add_controllers(
        &mut self,
        controllers: impl Iterator<Item = String>,
        out: &mut Vec<Output>,
    ) {
        let known_count = self.controllers.len();
        self.controllers.extend(controllers);
        if self.controllers.len() > known_count {
            out.push(Output::ControllersChanged(
                self.controllers.iter().cloned().collect(),
            ));
        }
    }
}
