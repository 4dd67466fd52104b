//! Responses to lease requests of proxies, and the persisted record of the proxies that may hold
//! leases.
//!
//! Invariant: a proxy's name is persisted before the proxy is granted anything, so that a restarted
//! controller knows which proxies may hold leases. The lease calculations are in
//! [`maplefall_quota_lease`].

use super::event::Event;
use super::lease_requests::LeaseRequests;
use super::proxies::{ProxyConnection, UnansweredRequest};
use super::writes::WritePurpose;
use super::{Core, Millis, Output, HEARTBEAT_BROADCAST_INTERVAL};
use crate::store::StoreRecord;
use maplefall_control_messages::{encode_frame, Frame};
use maplefall_gateway_config::ItemKind;
use maplefall_quota_lease::{
    membership_lease_valid, ClientId, LeaseGrant, LeaseRequest, LeaseServer, OwnedSlots, SlotEvent,
    CLOCK_SKEW, LEASE_DURATION,
};
use std::collections::BTreeSet;

/// Maximum number of proxies whose names are on disk; further proxies are granted nothing.
const MAX_LEASE_HOLDERS: usize = 8192;
/// The interval at which the names of proxies whose leases have expired are removed from the disk.
const HOLDER_CLEANUP_INTERVAL: Millis = 30_000.0;
/// A lease request received longer than this before the controller was allowed to grant leases gets
/// no response, because the proxy has sent another one by then.
const UNANSWERED_REQUEST_TIMEOUT: Millis = 2.0 * HEARTBEAT_BROADCAST_INTERVAL;

/// The slots (equal shares of every quota, each owned by one controller) that this controller may
/// lease, and the leases that it has granted.
pub(super) struct Leasing {
    slots: OwnedSlots,
    server: LeaseServer,
    pub(super) holders: LeaseHolders,
    pub(super) requests: LeaseRequests,
    /// Whether this controller was allowed to grant leases at the last tick.
    was_allowed: bool,
}

impl Leasing {
    pub(super) fn new(slots: OwnedSlots, server: LeaseServer, holders: LeaseHolders) -> Leasing {
        Leasing {
            slots,
            server,
            holders,
            requests: LeaseRequests::default(),
            was_allowed: false,
        }
    }

    pub(super) fn server(&self) -> &LeaseServer {
        &self.server
    }

    pub(super) fn server_mut(&mut self) -> &mut LeaseServer {
        &mut self.server
    }

    pub(super) fn slots(&self) -> &OwnedSlots {
        &self.slots
    }

    pub(super) fn slots_mut(&mut self) -> &mut OwnedSlots {
        &mut self.slots
    }
}

/// The proxies whose names are on disk or being written.
pub(super) struct LeaseHolders {
    names: BTreeSet<String>,
    /// Whether `names` contains every proxy that may hold a lease of this controller, including
    /// leases granted by its earlier incarnations.
    complete: bool,
    /// The subset of `names` that is being written.
    being_recorded: BTreeSet<String>,
    last_cleanup: Millis,
}

/// Whether the name of a proxy is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HolderState {
    Recorded,
    /// The proxy's name is being written.
    BeingRecorded,
    /// The proxy's name has to be written now.
    New,
    /// The maximum number of proxy names is reached.
    LimitReached,
}

impl LeaseHolders {
    /// Creates the set of lease holders from the proxy names on disk.
    pub(super) fn new(now: Millis, names: BTreeSet<String>, complete: bool) -> LeaseHolders {
        LeaseHolders {
            names,
            complete,
            being_recorded: BTreeSet::new(),
            last_cleanup: now,
        }
    }

    /// Adds a proxy's name if it is new and the limit allows it; returns the state of the record.
    /// The proxy's lease request has to wait until the name is on disk.
    pub(super) fn record(&mut self, node: &str) -> HolderState {
        if self.being_recorded.contains(node) {
            return HolderState::BeingRecorded;
        }
        if self.names.contains(node) {
            return HolderState::Recorded;
        }
        if self.names.len() >= MAX_LEASE_HOLDERS {
            return HolderState::LimitReached;
        }
        self.names.insert(node.to_owned());
        self.being_recorded.insert(node.to_owned());
        HolderState::New
    }

    /// Marks this proxy's name as persisted.
    pub(super) fn recorded(&mut self, node: &str) {
        self.being_recorded.remove(node);
    }

    /// Removes and returns the names of proxies that no longer hold a lease of `server`.
    fn take_expired(&mut self, now: Millis, server: &LeaseServer) -> Vec<String> {
        let expired: Vec<String> = self
            .names
            .iter()
            .filter(|name| {
                !server.may_hold_lease(now, name) && !self.being_recorded.contains(*name)
            })
            .cloned()
            .collect();
        for name in &expired {
            self.names.remove(name);
        }
        expired
    }
}

impl Core {
    /// Returns whether this controller may grant leases: it is known to have been a member, with
    /// all committed entries applied, a short while ago.
    pub(super) fn may_lease(&self, now: Millis) -> bool {
        self.raft.is_voter() && membership_lease_valid(now, self.raft.last_quorum_contact(now))
    }

    /// Responds to a lease request with a grant if this controller may lease; a proxy may release
    /// its leases at any time.
    pub(super) fn grant_leases(
        &mut self,
        now: Millis,
        connection: u64,
        request: &LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        let may_lease = self.may_lease(now);
        let Some(proxy) = self.proxies.get_mut(&connection) else {
            return;
        };
        // A proxy that shuts down releases its leases, which is accepted at any time.
        if !may_lease && !request.release {
            proxy.unanswered = Some(UnansweredRequest {
                received_at: now,
                request: request.clone(),
            });
            return;
        }
        proxy.unanswered = None;
        let node = proxy.node.clone();
        let tenants = self
            .config
            .state()
            .active(ItemKind::Tenant)
            .map(|item| item.name.as_str());
        let client = ClientId {
            name: &proxy.node,
            incarnation: proxy.incarnation,
            connection,
        };
        let grants = self
            .leasing
            .server
            .handle_request(now, client, request, tenants);
        for (to, grant) in grants {
            let connection = if to == node {
                Some(connection)
            } else {
                self.latest_connection(&to)
            };
            self.send_grant(connection, grant, out);
        }
    }

    fn send_grant(&self, connection: Option<u64>, grant: LeaseGrant, out: &mut Vec<Output>) {
        if let Some(connection) = connection {
            self.send_to_proxy(connection, encode_frame(Frame::LeaseGrant(grant)), out);
        }
    }

    /// Logs changes of this controller's slots, and applies them to the leases.
    pub(super) fn slots_changed(&mut self, events: Vec<SlotEvent>, out: &mut Vec<Output>) {
        if events.is_empty() {
            return;
        }
        for event in events {
            let event = match event {
                SlotEvent::Owned(since) => Event::SlotOwned {
                    since,
                    waited: false,
                },
                SlotEvent::Waiting(since, wait) => Event::SlotWaiting { since, wait },
                SlotEvent::Lost(since) => Event::SlotLost { since },
                SlotEvent::WaitCompleted(since) => {
                    // Recorded on the disk, so that a later start with it need not wait again for
                    // leases of the former owner of these slots.
                    let record = StoreRecord {
                        waited_slots: vec![since],
                        ..StoreRecord::default()
                    };
                    self.writes.write(record, WritePurpose::Background, out);
                    Event::SlotOwned {
                        since,
                        waited: true,
                    }
                }
            };
            out.push(event.into());
        }
        // Proxies whose leases shrink are sent a grant at once; for all other proxies the new limit
        // takes effect with their next grant.
        let limit = self.leasing.slots.limit();
        for (node, grant) in self.leasing.server.set_limit(limit) {
            let connection = self.latest_connection(&node);
            self.send_grant(connection, grant, out);
        }
    }

    /// Advances the time of the slots and the lease holders, and checks whether this controller may
    /// grant leases.
    pub(super) fn tick_leasing(&mut self, now: Millis, out: &mut Vec<Output>) {
        let events = self.leasing.slots.tick(now);
        self.slots_changed(events, out);
        self.complete_lease_holders(now, out);
        self.remove_expired_lease_holders(now, out);
        let may_lease = self.may_lease(now);
        if std::mem::replace(&mut self.leasing.was_allowed, may_lease) != may_lease {
            self.queue_unanswered_requests(now, out);
            let event = if may_lease {
                Event::LeaseAcquired {
                    limit: self.leasing.server.limit(),
                }
            } else {
                Event::LeaseExpired {
                    contact_age: now - self.raft.last_quorum_contact(now),
                }
            };
            out.push(event.into());
        }
    }

    /// Marks the names of lease holders as complete once this process has run for the duration of a
    /// lease: all leases granted by earlier incarnations have expired by then.
    fn complete_lease_holders(&mut self, now: Millis, out: &mut Vec<Output>) {
        let holders = &mut self.leasing.holders;
        if holders.complete || now - self.started_at < LEASE_DURATION + CLOCK_SKEW {
            return;
        }
        holders.complete = true;
        self.record_complete_lease_holders(out);
    }

    pub(super) fn record_complete_lease_holders(&mut self, out: &mut Vec<Output>) {
        let record = StoreRecord {
            leased_to_complete: true,
            ..StoreRecord::default()
        };
        self.writes.write(record, WritePurpose::Background, out);
    }

    fn remove_expired_lease_holders(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Leasing {
            holders, server, ..
        } = &mut self.leasing;
        if !holders.complete || now - holders.last_cleanup < HOLDER_CLEANUP_INTERVAL {
            return;
        }
        holders.last_cleanup = now;
        // If a proxy whose name is removed requests a lease later, a later write records the name
        // again.
        let released = holders.take_expired(now, server);
        if released.is_empty() {
            return;
        }
        let record = StoreRecord {
            released,
            ..StoreRecord::default()
        };
        self.writes.write(record, WritePurpose::Background, out);
    }

    /// Queues the lease requests received shortly before this controller was allowed to grant
    /// leases, so that the proxies need not repeat them.
    fn queue_unanswered_requests(&mut self, now: Millis, out: &mut Vec<Output>) {
        let take_recent = |proxy: &mut ProxyConnection| {
            let unanswered = proxy.unanswered.take()?;
            let recent = now - unanswered.received_at < UNANSWERED_REQUEST_TIMEOUT;
            recent.then_some(unanswered.request)
        };
        let requests: Vec<(u64, LeaseRequest)> = self
            .proxies
            .iter_mut()
            .filter_map(|(connection, proxy)| Some((*connection, take_recent(proxy)?)))
            .collect();
        for (connection, request) in requests {
            self.queue_lease_request(connection, request, out);
        }
    }
}
