//! Distribution of the committed configuration to the proxies.

use super::event::Event;
use super::{Core, Millis, Output};
use maplefall_control_messages::{encode_frame, ConfigUpdate, Frame};

impl Core {
    /// Sends every proxy the configuration changes that it lacks.
    pub(super) fn distribute_config(&mut self, now: Millis, out: &mut Vec<Output>) {
        for connection in self.proxy_connections() {
            self.send_config(now, connection, false, out);
        }
    }

    /// Sends a proxy the configuration changes that it lacks. With `always`, the list of
    /// controllers is sent even if there are no changes.
    ///
    /// A proxy without a configuration is sent one only by a controller in contact with a quorum,
    /// because that of any other controller may be long outdated. A proxy that has a configuration
    /// is sent changes at any time, because only changes after the index of its configuration are
    /// sent.
    pub(super) fn send_config(
        &mut self,
        now: Millis,
        connection: u64,
        always: bool,
        out: &mut Vec<Output>,
    ) {
        let has_quorum_contact = self.has_quorum_contact(now);
        let Some(proxy) = self.proxies.get_mut(&connection) else {
            return;
        };
        let index = self.config.index();
        let withheld = index > 0 && proxy.config_index == 0 && !has_quorum_contact;
        if withheld && !std::mem::replace(&mut proxy.config_withheld, true) {
            out.push(Event::ConfigWithheld { node: &proxy.node }.into());
        }
        let lacks_changes = index > proxy.config_index && !withheld;
        if !lacks_changes && !always {
            return;
        }
        let after = proxy.config_index;
        let mut update = if lacks_changes {
            proxy.config_index = index;
            self.config.update_since(after)
        } else {
            ConfigUpdate {
                after,
                index: after,
                ..ConfigUpdate::default()
            }
        };
        update.controllers = self.raft.voters().iter().cloned().collect();
        self.send_to_proxy(connection, encode_frame(Frame::ConfigUpdate(update)), out);
    }
}
