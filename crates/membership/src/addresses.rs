//! Which node owns an address (rule 5).

use crate::interface::Report;
use maplefall_protocol::Member;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// The nodes by address, and those that are displaced by another at their address.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    /// Nearly always one node to an address, so a list costs least.
    nodes: HashMap<SocketAddr, Vec<String>>,
    /// Displaced nodes, and the owner of their address as it was reported.
    displaced: BTreeMap<String, String>,
}

impl Addresses {
    pub(crate) fn add(&mut self, address: SocketAddr, host: &str) {
        self.nodes
            .entry(address)
            .or_insert_with(|| Vec::with_capacity(1))
            .push(host.to_owned());
    }

    pub(crate) fn remove(&mut self, address: SocketAddr, host: &str) {
        if let Some(nodes) = self.nodes.get_mut(&address) {
            nodes.retain(|other| other != host);
            if nodes.is_empty() {
                self.nodes.remove(&address);
            }
        }
    }

    /// Forgets that a node was displaced, as it is removed.
    pub(crate) fn forget(&mut self, host: &str) {
        self.displaced.remove(host);
    }

    pub(crate) fn is_displaced(&self, host: &str) -> bool {
        self.displaced.contains_key(host)
    }

    /// Decides who owns an address, by the merged entries. Adds the nodes there to `affected`, and reports newly displaced ones.
    pub(crate) fn assign_owner(
        &mut self,
        address: SocketAddr,
        merged: &BTreeMap<String, Member>,
        affected: &mut BTreeSet<String>,
        reports: &mut Vec<Report>,
    ) {
        let Some(nodes) = self.nodes.get(&address) else {
            return;
        };
        let Some(owner) = owner(nodes.iter().filter_map(|host| merged.get(host))) else {
            return;
        };
        let owner = &owner.host;
        for host in nodes {
            affected.insert(host.clone());
            if host == owner {
                self.displaced.remove(host);
                continue;
            }
            let reported = self.displaced.insert(host.clone(), owner.clone());
            if reported.as_ref() != Some(owner) {
                reports.push(Report::SharedAddress {
                    owner: owner.clone(),
                    displaced: host.clone(),
                });
            }
        }
    }
}

/// The owner of an address: the node that started last, then the lower name.
fn owner<'a>(nodes: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    nodes.min_by(|a, b| {
        b.born_ms
            .total_cmp(&a.born_ms)
            .then_with(|| a.host.cmp(&b.host))
    })
}
