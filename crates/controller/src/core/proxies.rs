//! Connections of proxies.

use super::event::Event;
use super::{Core, Millis, Output};
use bytes::Bytes;
use maplefall_control_messages::Hello;
use maplefall_quota_lease::LeaseRequest;

/// A proxy's connection.
pub(super) struct ProxyConnection {
    pub(super) node: String,
    /// Incarnation of the proxy: a number that differs between its starts.
    pub(super) incarnation: u64,
    /// Index of the configuration that was last sent to the proxy, or that it reported when it
    /// connected.
    pub(super) config_index: u64,
    /// Whether the proxy may know instances whose end it has missed.
    pub(super) needs_tombstones: bool,
    /// Whether the proxy has a complete list of instances.
    pub(super) has_complete_instances: bool,
    /// Whether the proxy has no configuration and is to get one once this controller is in contact
    /// with a quorum.
    pub(super) config_withheld: bool,
    /// The proxy's last lease request, if it was received while this controller could not grant
    /// leases.
    pub(super) unanswered: Option<UnansweredRequest>,
    /// The proxy's last lease request, if it was received while the proxy's name was being written
    /// to disk.
    pub(super) awaiting_disk: Option<LeaseRequest>,
}

/// A lease request received while this controller was not allowed to grant leases.
pub(super) struct UnansweredRequest {
    pub(super) received_at: Millis,
    pub(super) request: LeaseRequest,
}

impl Core {
    /// Handles a new connection of a proxy; `connection` is the connection's number.
    pub fn proxy_connected(
        &mut self,
        now: Millis,
        connection: u64,
        hello: &Hello,
        out: &mut Vec<Output>,
    ) {
        let event = Event::ProxyConnected {
            node: &hello.node,
            index: hello.config_index,
        };
        out.push(event.into());
        let proxy = ProxyConnection {
            node: hello.node.clone(),
            incarnation: hello.incarnation,
            config_index: hello.config_index,
            needs_tombstones: hello.may_have_missed_updates,
            has_complete_instances: false,
            config_withheld: false,
            unanswered: None,
            awaiting_disk: None,
        };
        self.proxies.insert(connection, proxy);
        let latest = self.connections_by_node.entry(hello.node.clone());
        let latest = latest.or_insert(connection);
        *latest = connection.max(*latest);
        // The configuration update is sent even without configuration changes, because it contains
        // the list of controllers.
        self.send_config(now, connection, true, out);
        self.send_all_instances(now, &[connection], out);
    }

    /// Handles the end of a proxy's connection.
    pub fn proxy_disconnected(&mut self, connection: u64, out: &mut Vec<Output>) {
        self.lease_requests_mut().remove(connection);
        if let Some(proxy) = self.proxies.remove(&connection) {
            self.forget_connection(connection, &proxy.node);
            out.push(Event::ProxyDisconnected { node: &proxy.node }.into());
        }
    }

    /// Returns the numbers of all proxy connections.
    pub(super) fn proxy_connections(&self) -> Vec<u64> {
        self.proxies.keys().copied().collect()
    }

    /// Returns the latest connection of a proxy.
    pub(super) fn latest_connection(&self, node: &str) -> Option<u64> {
        self.connections_by_node.get(node).copied()
    }

    /// Updates the latest connection of a proxy after one of its connections has ended; an earlier
    /// connection of the proxy may still be open.
    fn forget_connection(&mut self, connection: u64, node: &str) {
        if self.connections_by_node.get(node) != Some(&connection) {
            return;
        }
        let earlier = self
            .proxies
            .iter()
            .rev()
            .find(|(_, proxy)| proxy.node == node)
            .map(|(earlier, _)| *earlier);
        match earlier {
            Some(earlier) => self.connections_by_node.insert(node.to_owned(), earlier),
            None => self.connections_by_node.remove(node),
        };
    }

    pub(super) fn send_to_proxy(&self, connection: u64, bytes: Bytes, out: &mut Vec<Output>) {
        if self.proxies.contains_key(&connection) {
            out.push(Output::SendToProxy(connection, bytes));
        }
    }
}
