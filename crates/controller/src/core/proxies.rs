//! The connections of the proxies.

use super::event::Event;
use super::{Core, Millis, Output};
use bytes::Bytes;
use maplefall_control_messages::Hello;
use maplefall_quota_lease::LeaseRequest;

/// A proxy's connection.
pub(super) struct ProxyConnection {
    pub(super) node: String,
    /// Number of the proxy's start.
    pub(super) incarnation: u64,
    /// Index of the configuration that was last sent to it or that it came with.
    pub(super) config_index: u64,
    /// Whether the list of instances that it has is complete.
    pub(super) has_complete_instances: bool,
    /// It has no configuration, and gets one once this controller is in contact with a quorum.
    pub(super) config_withheld: bool,
    /// Its last lease request, where that came while nothing could be answered.
    pub(super) unanswered: Option<UnansweredRequest>,
    /// Its last lease request, where that came while its name was on its way to the disk.
    pub(super) awaits_disk: Option<LeaseRequest>,
}

/// A lease request that came while this controller might not answer any.
pub(super) struct UnansweredRequest {
    pub(super) received_at: Millis,
    pub(super) request: LeaseRequest,
}

impl Core {
    /// A proxy has opened a connection, which has this number.
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
            has_complete_instances: false,
            config_withheld: false,
            unanswered: None,
            awaits_disk: None,
        };
        self.proxies.insert(connection, proxy);
        let latest = self.connections_by_node.entry(hello.node.clone());
        let latest = latest.or_insert(connection);
        *latest = connection.max(*latest);
        // Also where nothing has changed: the proxy learns which controllers there are.
        self.send_config(now, connection, true, out);
        self.send_all_instances(now, &[connection], out);
    }

    /// A proxy's connection has ended.
    pub fn proxy_disconnected(&mut self, connection: u64, out: &mut Vec<Output>) {
        self.lease_requests_mut().remove(connection);
        if let Some(proxy) = self.proxies.remove(&connection) {
            self.forget_connection(connection, &proxy.node);
            out.push(Event::ProxyDisconnected { node: &proxy.node }.into());
        }
    }

    /// Numbers of all proxies' connections.
    pub(super) fn proxy_connections(&self) -> Vec<u64> {
        self.proxies.keys().copied().collect()
    }

    /// The latest connection of a proxy.
    pub(super) fn latest_connection(&self, node: &str) -> Option<u64> {
        self.connections_by_node.get(node).copied()
    }

    /// A connection of this proxy has ended; an earlier one may still be there.
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
