//! Membership: the incarnations of each node, the age of their heartbeats, and which nodes are
//! suspected or gone.
//!
//! Every node forwards heartbeats (as in chitchat and Cassandra), so a node that reaches only some
//! others is known to all through them, and an asymmetric link causes no suspicion. SWIM was
//! considered: its pings would cost datagrams of their own, while heartbeats are part of digests
//! that are sent anyway. `failure_detector` computes the suspicion level.
//!
//! Invariant: the current incarnation number of a node never decreases, and a bounded number of
//! earlier incarnations is kept.

use crate::failure_detector::HeartbeatIntervals;
use crate::replay_window::ReplayWindow;
use crate::replica::Replica;
use crate::{epoch_at, DoorId, Life, Settings};
use maplefall_policy::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of earlier incarnations kept per node. The one with the lowest number is
/// dropped beyond it.
const MAX_FORMER_INCARNATIONS: usize = 2;
/// The number of heartbeats after which a node that is only known through others counts as alive.
const MIN_HEARTBEATS_ALIVE: u32 = 2;

/// The state of a member as this node judges it. The variants' names are part of the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member is known through other nodes, without a heartbeat since.
    Unproven,
    /// Heartbeats arrive.
    Alive,
    /// Silent for so long that the failure detector's suspicion level is above the limit.
    Suspected,
    /// Suspected or unproven for longer than `gone_after`; forgotten after `forget_after`.
    Gone,
}

/// A heartbeat of an incarnation, as it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation.
    pub source: Life,
    /// The uptime of the incarnation in milliseconds.
    pub uptime: u64,
    /// The version of the incarnation's counts at that uptime.
    pub version: u64,
    /// The time since the sender received the heartbeat, in milliseconds.
    pub age: u64,
}

/// The local state of one incarnation of a node.
#[derive(Clone, Debug)]
pub struct IncarnationState {
    /// The uptime in the last heartbeat, in milliseconds.
    pub uptime: u64,
    /// The version of the counts in the last heartbeat.
    pub version: u64,
    /// When the last heartbeat was received here, less the time that it spent at other nodes.
    pub last_heartbeat: Millis,
    /// The smallest difference between the local clock and the incarnation's uptime over all
    /// heartbeats; it includes the shortest delay of a heartbeat.
    clock_offset: Millis,
    /// The uptime up to which all counts of the incarnation are known, in milliseconds.
    pub complete_uptime: u64,
    /// The counts of the incarnation.
    pub replica: Replica,
}

impl IncarnationState {
    fn new(heartbeat: &Heartbeat, received_at: Millis) -> IncarnationState {
        IncarnationState {
            uptime: heartbeat.uptime,
            version: heartbeat.version,
            last_heartbeat: received_at,
            clock_offset: received_at - heartbeat.uptime as f64,
            complete_uptime: 0,
            replica: Replica::default(),
        }
    }

    /// Returns the local time up to which all counts are known, assuming that they arrived with the
    /// shortest delay.
    pub fn as_of(&self) -> Millis {
        self.complete_uptime as f64 + self.clock_offset
    }

    /// Returns the estimated uptime of the incarnation, in milliseconds.
    pub fn uptime_at(&self, now: Millis) -> u64 {
        (now - self.clock_offset).max(self.uptime as f64) as u64
    }

    /// Raises the complete uptime to that of the last heartbeat if all versions up to the
    /// heartbeat's are known.
    pub fn update_complete_uptime(&mut self) {
        if self.replica.complete_version() >= self.version {
            self.complete_uptime = self.complete_uptime.max(self.uptime);
        }
    }

    /// Returns the heartbeat to forward.
    pub fn heartbeat(&self, source: Life, now: Millis) -> Heartbeat {
        Heartbeat {
            source,
            uptime: self.uptime,
            version: self.version,
            age: (now - self.last_heartbeat).max(0.0) as u64,
        }
    }

    /// Drops the epochs that have expired at this uptime of the incarnation; returns how many
    /// counts were dropped.
    pub(crate) fn expire_epochs(&mut self, uptime: u64, settings: &Settings) -> usize {
        let current = epoch_at(uptime, settings.epoch);
        self.replica
            .expire_before(current.saturating_sub(settings.epochs_kept - 1))
    }

    /// Applies a heartbeat; returns whether it is newer than the last one.
    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, received_at: Millis) -> bool {
        let is_newer = heartbeat.uptime > self.uptime
            || (heartbeat.uptime == self.uptime && heartbeat.version > self.version);
        if is_newer {
            self.uptime = heartbeat.uptime;
            self.version = self.version.max(heartbeat.version);
            self.last_heartbeat = self.last_heartbeat.max(received_at);
            self.clock_offset = self.clock_offset.min(received_at - heartbeat.uptime as f64);
        }
        self.update_complete_uptime();
        is_newer
    }
}

/// A member of the cluster.
#[derive(Clone, Debug)]
pub struct Member {
    /// The node's name.
    pub name: String,
    /// The address that the node listens on.
    pub address: SocketAddr,
    /// The number of the current incarnation.
    pub incarnation: u64,
    /// The current incarnation.
    pub current: IncarnationState,
    /// Earlier incarnations, kept for their counts, by number.
    pub former: BTreeMap<u64, IncarnationState>,
    /// Incarnations up to this number have been forgotten.
    forgotten_up_to: u64,
    /// The state by the failure detector.
    pub state: MemberState,
    /// When the state last changed.
    pub state_since: Millis,
    /// The nonce that the member expects as echo in datagrams to it; `None` before its first hello.
    pub nonce: Option<u64>,
    replay_window: ReplayWindow,
    heartbeats: u32,
    intervals: HeartbeatIntervals,
}

impl Member {
    /// Creates the record of a node that has sent a datagram or was announced by another node.
    pub fn new(
        name: &str,
        address: SocketAddr,
        heartbeat: &Heartbeat,
        now: Millis,
        gossip_interval: Millis,
    ) -> Member {
        Member {
            name: name.to_owned(),
            address,
            incarnation: heartbeat.source.incarnation,
            current: IncarnationState::new(heartbeat, now - heartbeat.age as f64),
            former: BTreeMap::new(),
            forgotten_up_to: 0,
            state: MemberState::Unproven,
            state_since: now,
            nonce: None,
            replay_window: ReplayWindow::default(),
            heartbeats: 0,
            intervals: HeartbeatIntervals::new(gossip_interval),
        }
    }

    /// Returns the incarnation with this number.
    pub fn incarnation(&self, number: u64) -> Option<&IncarnationState> {
        if number == self.incarnation {
            Some(&self.current)
        } else {
            self.former.get(&number)
        }
    }

    /// Returns the incarnation with this number.
    pub fn incarnation_mut(&mut self, number: u64) -> Option<&mut IncarnationState> {
        if number == self.incarnation {
            Some(&mut self.current)
        } else {
            self.former.get_mut(&number)
        }
    }

    /// Returns all kept incarnations, the current one first.
    pub fn incarnations(&self) -> impl Iterator<Item = (u64, &IncarnationState)> {
        let former = self.former.iter().map(|(number, state)| (*number, state));
        std::iter::once((self.incarnation, &self.current)).chain(former)
    }

    /// Returns the number of counts of all incarnations.
    pub fn count_len(&self) -> usize {
        self.incarnations()
            .map(|(_, incarnation)| incarnation.replica.len())
            .sum()
    }

    /// Returns the heartbeat of the current incarnation to forward.
    pub fn heartbeat(&self, id: DoorId, now: Millis) -> Heartbeat {
        let source = Life {
            door: id,
            incarnation: self.incarnation,
        };
        self.current.heartbeat(source, now)
    }

    /// Applies a heartbeat of one of the incarnations; returns whether it is new.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Millis,
        gossip_interval: Millis,
    ) -> bool {
        let received_at = now - heartbeat.age as f64;
        let number = heartbeat.source.incarnation;
        if number > self.incarnation {
            self.begin_incarnation(heartbeat, received_at, now, gossip_interval);
            true
        } else if number < self.incarnation {
            self.apply_former_heartbeat(heartbeat, received_at)
        } else {
            self.apply_current_heartbeat(heartbeat, received_at, now, gossip_interval)
        }
    }

    /// Replaces the current incarnation by a newer one and keeps the old one, whose counts still
    /// matter.
    fn begin_incarnation(
        &mut self,
        heartbeat: &Heartbeat,
        received_at: Millis,
        now: Millis,
        gossip_interval: Millis,
    ) {
        let new = IncarnationState::new(heartbeat, received_at);
        let old = std::mem::replace(&mut self.current, new);
        self.keep_former(self.incarnation, old);
        self.incarnation = heartbeat.source.incarnation;
        self.state = MemberState::Unproven;
        self.state_since = now;
        self.heartbeats = 0;
        self.nonce = None;
        self.replay_window = ReplayWindow::default();
        self.intervals = HeartbeatIntervals::new(gossip_interval);
    }

    fn apply_former_heartbeat(&mut self, heartbeat: &Heartbeat, received_at: Millis) -> bool {
        let number = heartbeat.source.incarnation;
        if number <= self.forgotten_up_to {
            return false;
        }
        if let Some(former) = self.former.get_mut(&number) {
            return former.apply_heartbeat(heartbeat, received_at);
        }
        self.keep_former(number, IncarnationState::new(heartbeat, received_at));
        self.former.contains_key(&number)
    }

    fn apply_current_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        received_at: Millis,
        now: Millis,
        gossip_interval: Millis,
    ) -> bool {
        let last_uptime = self.current.uptime;
        let last_heartbeat = self.current.last_heartbeat;
        if !self.current.apply_heartbeat(heartbeat, received_at) {
            return false;
        }
        if heartbeat.uptime > last_uptime {
            self.heartbeats = self.heartbeats.saturating_add(1);
            if received_at > last_heartbeat {
                self.intervals
                    .add(received_at - last_heartbeat, gossip_interval);
            }
            if self.heartbeats >= MIN_HEARTBEATS_ALIVE {
                self.set_state(MemberState::Alive, now);
            }
        }
        true
    }

    fn keep_former(&mut self, number: u64, incarnation: IncarnationState) {
        self.former.insert(number, incarnation);
        while self.former.len() > MAX_FORMER_INCARNATIONS {
            if let Some((number, _)) = self.former.pop_first() {
                self.forgotten_up_to = self.forgotten_up_to.max(number);
            }
        }
    }

    /// Forgets an earlier incarnation for good; returns how many counts were dropped.
    pub fn forget_former(&mut self, number: u64) -> usize {
        self.forgotten_up_to = self.forgotten_up_to.max(number);
        self.former
            .remove(&number)
            .map_or(0, |former| former.replica.len())
    }

    /// Marks the member alive: it has sent a datagram that echoes the nonce of this process.
    pub fn confirm_alive(&mut self, now: Millis) {
        self.set_state(MemberState::Alive, now);
        self.heartbeats = self.heartbeats.max(MIN_HEARTBEATS_ALIVE);
    }

    /// Returns whether a datagram number of the current incarnation is new, and records the number.
    pub fn accept_number(&mut self, number: u64) -> bool {
        self.replay_window.accept(number)
    }

    /// Returns the suspicion level by the time since the last heartbeat.
    pub fn phi(&self, now: Millis) -> f64 {
        self.intervals.phi(now - self.current.last_heartbeat)
    }

    /// Returns whether the member is alive or suspected, and so not unproven or gone.
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected)
    }

    /// Updates the state by the time since the last heartbeat: an alive member becomes suspected
    /// above this suspicion level, and a suspected or unproven one gone after `gone_after`.
    pub fn update_state(&mut self, now: Millis, suspect_phi: f64, gone_after: Millis) {
        let is_overdue = now - self.state_since > gone_after;
        match self.state {
            MemberState::Alive if self.phi(now) > suspect_phi => {
                self.set_state(MemberState::Suspected, now);
            }
            MemberState::Suspected | MemberState::Unproven if is_overdue => {
                self.set_state(MemberState::Gone, now);
                self.heartbeats = 0;
            }
            _ => {}
        }
    }

    /// Sets the state, and the time of the change if the state differs.
    fn set_state(&mut self, state: MemberState, now: Millis) {
        if state != self.state {
            self.state = state;
            self.state_since = now;
        }
    }
}
