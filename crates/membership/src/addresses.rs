//! Decides which backend owns an address (rule 5).

use crate::interface::Report;
use maplefall_protocol::Member;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// The backends by address, and those displaced by another backend at their address.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    /// Nearly every address has one backend, so a list costs the least memory.
    backends: HashMap<SocketAddr, Vec<String>>,
    /// The displaced backends, each with the last reported owner of its address.
    displaced: BTreeMap<String, String>,
}

impl Addresses {
    pub(crate) fn add(&mut self, address: SocketAddr, host: &str) {
        self.backends
            .entry(address)
            .or_insert_with(|| Vec::with_capacity(1))
            .push(host.to_owned());
    }

    pub(crate) fn remove(&mut self, address: SocketAddr, host: &str) {
        if let Some(backends) = self.backends.get_mut(&address) {
            backends.retain(|other| other != host);
            if backends.is_empty() {
                self.backends.remove(&address);
            }
        }
    }

    /// Clears the displacement of a removed backend.
    pub(crate) fn clear_displaced(&mut self, host: &str) {
        self.displaced.remove(host);
    }

    pub(crate) fn is_displaced(&self, host: &str) -> bool {
        self.displaced.contains_key(host)
    }

    /// Determines the owner of an address from the merged entries. Adds the backends at the address
    /// to `affected`, and reports newly displaced ones.
    pub(crate) fn assign_owner(
        &mut self,
        address: SocketAddr,
        merged: &BTreeMap<String, Member>,
        affected: &mut BTreeSet<String>,
        reports: &mut Vec<Report>,
    ) {
        let Some(backends) = self.backends.get(&address) else {
            return;
        };
        let Some(owner) = owner(backends.iter().filter_map(|host| merged.get(host))) else {
            return;
        };
        let owner = &owner.host;
        for host in backends {
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

/// Returns the owner of an address: the backend that started last, then the one with the lower
/// name.
fn owner<'a>(backends: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    backends.min_by(|a, b| {
        b.born_ms
            .total_cmp(&a.born_ms)
            .then_with(|| a.host.cmp(&b.host))
    })
}
