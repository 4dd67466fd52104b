//! The state machine of one node: datagrams, usage and the time in; datagrams and usage updates
//! out.
//!
//! The caller runs [`Node::record_usage`] for each use, [`Node::receive`] for each datagram and
//! [`Node::tick`] at the time [`Node::due`]. After each of them it sends what [`Node::poll`]
//! returns until that is `None`, and passes what [`Node::poll_usage_update`] returns to the policy.
//!
//! Counts spread in two ways. A recent change goes as a rumour into the next gossip rounds, the
//! largest change first, and each node forwards it a few times (`rumours`); that is fast but may
//! miss some nodes. Digests list the versions that a node has, and missing counts are requested and
//! sent in order (`anti_entropy`); that is slower but misses nothing.
//!
//! | module | content |
//! | --- | --- |
//! | `counting` | local usage, epochs, expiry |
//! | `usage_updates` | usage at other nodes and its staleness |
//! | `gossip` | gossip rounds: choice of peers, digests, datagrams to send |
//! | `rumours` | recent changes that are forwarded a few times |
//! | `receive` | verification of datagrams and their sections |
//! | `membership` | discovery of members, the node's own incarnation |
//! | `anti_entropy` | merging of counts, replies to digests |
//! | `report` | the status for operators |
//! | `rate_limit` | the limit on datagrams per second |

mod anti_entropy;
mod counting;
mod gossip;
mod membership;
mod rate_limit;
mod receive;
mod report;
mod rumours;
mod usage_updates;

use crate::admission::Admission;
use crate::members::{Heartbeat, Member};
use crate::remote_usage::RemoteUsage;
use crate::settings::Settings;
use crate::wire::{RejectReason, Seal};
use crate::{random, Customer, DoorId, Epoch, Life};
use maplefall_policy::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rate_limit::RateLimit;
use rumours::Rumours;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use usage_updates::Freshness;

/// A datagram to be sent by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The destination.
    pub to: SocketAddr,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// Start parameters of a node.
#[derive(Clone, Debug)]
pub struct Start {
    /// The node's name, the same in every incarnation.
    pub name: String,
    /// The address at which other nodes reach this one.
    pub address: SocketAddr,
    /// Addresses of nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The current date, in milliseconds since 1970: the number of this incarnation.
    pub date: u64,
    /// The seed of all random draws; different at each start.
    pub seed: u64,
}

/// A number of datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The total size.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Statistics since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams received within the rate limit.
    pub received: Traffic,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Rejected datagrams and parts of them, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
    /// Datagrams that were not sent because of the rate limit or a full queue.
    pub unsent: u64,
    /// Changes that were not counted in full because the count is saturated.
    pub saturated: u64,
    /// How often this node took a new incarnation number because another process had its name or
    /// the date went back.
    pub renumbered: u64,
}

/// One node of the cluster that shares counts.
pub struct Node {
    settings: Settings,
    seal: Seal,
    rng: Pcg64Mcg,
    id: DoorId,
    /// The record of this node itself.
    local: Member,
    /// When the current incarnation began.
    started_at: Millis,
    /// The date at the start, in milliseconds since 1970.
    start_date: u64,
    nonce: u64,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<DoorId, Member>,
    admission: Admission,
    /// The current epoch of this node.
    epoch: Epoch,
    rumours: Rumours,
    remote_usage: RemoteUsage,
    /// The number of counts, over all nodes and epochs.
    count_len: usize,
    next_round: Millis,
    /// The number of the last datagram that was begun.
    last_number: u64,
    receive_limit: RateLimit,
    send_limit: RateLimit,
    outputs: VecDeque<Output>,
    freshness: Option<Freshness>,
    /// When this node last took a new incarnation number.
    renumbered_at: Option<Millis>,
    /// The status that an operator is fetching in parts.
    requested_status: Vec<u8>,
    /// Statistics since the start.
    pub stats: Stats,
}

impl Node {
    /// Creates a node at the start of a new incarnation.
    pub fn new(settings: Settings, start: Start, now: Millis) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(start.seed);
        let id = DoorId::of(&start.name);
        let source = Life {
            door: id,
            incarnation: start.date.max(1),
        };
        let heartbeat = first_heartbeat(source);
        let local = Member::new(
            &start.name,
            start.address,
            &heartbeat,
            now,
            settings.interval,
        );
        let nonce = rng.next_u64() | 1;
        let admission = Admission::new(settings.max_tracked_customers, rng.next_u64());
        // A random delay spreads the first rounds of nodes that start together.
        let next_round = now + settings.interval * random::unit(&mut rng);
        let rate_limit = RateLimit::new(settings.max_datagrams_per_second, now);
        let seeds = start
            .seeds
            .into_iter()
            .filter(|seed| *seed != start.address)
            .collect();
        Node {
            seal: Seal::new(&settings.cluster, &settings.key),
            settings,
            rng,
            id,
            local,
            started_at: now,
            start_date: start.date,
            nonce,
            seeds,
            peers: BTreeMap::new(),
            admission,
            epoch: 0,
            rumours: Rumours::default(),
            remote_usage: RemoteUsage::default(),
            count_len: 0,
            next_round,
            last_number: 0,
            receive_limit: rate_limit,
            send_limit: rate_limit,
            outputs: VecDeque::new(),
            freshness: None,
            renumbered_at: None,
            requested_status: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// Returns the time at which [`Node::tick`] is due.
    pub fn due(&self) -> Millis {
        self.next_round
    }

    /// Returns the next datagram to send.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the current incarnation of this node.
    pub fn incarnation(&self) -> Life {
        Life {
            door: self.id,
            incarnation: self.local.incarnation,
        }
    }

    /// Returns the other nodes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values()
    }

    /// Returns the number of counts, over all nodes and epochs.
    pub fn count_len(&self) -> usize {
        self.count_len
    }

    /// Returns the usage of a customer at all nodes in the kept epochs, as known here, in
    /// thousandths of a unit.
    pub fn total(&self, customer: Customer) -> i64 {
        self.all_members()
            .flat_map(Member::incarnations)
            .map(|(_, incarnation)| incarnation.replica.total(customer))
            .sum()
    }

    /// Returns the usage of a customer at one node, over all its incarnations in the kept epochs,
    /// as known here, in thousandths of a unit.
    pub fn total_of(&self, node: DoorId, customer: Customer) -> i64 {
        let incarnations = self.member(node).into_iter().flat_map(Member::incarnations);
        incarnations
            .map(|(_, incarnation)| incarnation.replica.total(customer))
            .sum()
    }

    /// Returns all nodes, this one last.
    fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().chain(std::iter::once(&self.local))
    }

    fn member(&self, id: DoorId) -> Option<&Member> {
        if id == self.id {
            Some(&self.local)
        } else {
            self.peers.get(&id)
        }
    }

    fn member_mut(&mut self, id: DoorId) -> Option<&mut Member> {
        if id == self.id {
            Some(&mut self.local)
        } else {
            self.peers.get_mut(&id)
        }
    }

    /// Returns the uptime of this incarnation, in milliseconds.
    fn uptime(&self, now: Millis) -> u64 {
        (now - self.started_at).max(0.0) as u64
    }

    fn local_heartbeat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            source: self.incarnation(),
            uptime: self.uptime(now),
            version: self.local.current.replica.complete_version(),
            age: 0,
        }
    }

    fn reject(&mut self, reason: RejectReason) {
        *self.stats.rejected.entry(reason).or_default() += 1;
    }
}

/// Returns the first heartbeat of an incarnation.
fn first_heartbeat(source: Life) -> Heartbeat {
    Heartbeat {
        source,
        uptime: 0,
        version: 0,
        age: 0,
    }
}
