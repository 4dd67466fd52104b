//! Counting of local usage, epochs, and expiry of counts, incarnations and members.

use super::Node;
use crate::admission::Admission;
use crate::members::MemberState;
use crate::{epoch_at, Customer, DoorId, Epoch, TAIL};
use maplefall_policy::Millis;
use rand_core::RngCore;

impl Node {
    /// Records units that a customer has used at this node; negative units are returned.
    pub fn record_usage(&mut self, now: Millis, customer: Customer, units: f64) {
        let milli = (units * 1000.0).round();
        if !milli.is_finite() || milli == 0.0 {
            return;
        }
        // The cast to `i64` saturates, but counts saturate far below the limits of `i64`.
        let milli = milli as i64;
        self.enter_epoch(now);
        let (epoch, customer) = self.assign_count(customer, milli);
        let replica = &mut self.local.current.replica;
        let len_before = replica.len();
        let counted = replica.change(epoch, customer, milli);
        self.count_len += replica.len() - len_before;
        if counted.is_none() {
            self.stats.saturated += 1;
        }
        self.add_rumour(self.incarnation(), epoch, customer, milli.unsigned_abs());
    }

    /// Returns the count that a change is added to: the customer's own if it has one or is
    /// admitted, otherwise that of [`TAIL`].
    fn assign_count(&mut self, customer: Customer, milli: i64) -> (Epoch, Customer) {
        let replica = &self.local.current.replica;
        if replica.get(self.epoch, customer).is_some() {
            return (self.epoch, customer);
        }
        // Units returned after the end of an epoch are counted in the epoch in which they were
        // taken.
        let previous = self.epoch.saturating_sub(1);
        if milli < 0 && replica.get(previous, customer).is_some() {
            return (previous, customer);
        }
        let may_add = milli > 0 && customer != TAIL && self.has_count_capacity();
        if may_add && self.admission.admit(customer, milli.unsigned_abs()) {
            return (self.epoch, customer);
        }
        (self.epoch, TAIL)
    }

    fn has_count_capacity(&self) -> bool {
        self.count_len < self.settings.max_counts
    }

    /// Enters the epoch of the current uptime if it is a new one.
    pub(super) fn enter_epoch(&mut self, now: Millis) {
        let epoch = epoch_at(self.uptime(now), self.settings.epoch);
        if epoch > self.epoch {
            self.epoch = epoch;
            self.reset_admission();
        }
    }

    pub(super) fn reset_admission(&mut self) {
        self.admission = Admission::new(self.settings.max_tracked_customers, self.rng.next_u64());
    }

    /// Drops expired epochs (by the uptime of their own incarnation), earlier incarnations, members
    /// that are gone, remote usage and rumours.
    pub(super) fn expire(&mut self, now: Millis) {
        let uptime = self.uptime(now);
        self.count_len -= self.local.current.expire_epochs(uptime, &self.settings);
        self.expire_former_incarnations(now);
        for member in self.peers.values_mut() {
            let uptime = member.current.uptime_at(now);
            self.count_len -= member.current.expire_epochs(uptime, &self.settings);
        }
        self.forget_gone_members(now);
        self.remote_usage.forget(now, self.incarnation_timeout());
        self.drop_rumours_of_expired_counts();
    }

    /// Returns how long an earlier incarnation is kept after its last heartbeat.
    fn incarnation_timeout(&self) -> Millis {
        self.settings.epoch * f64::from(self.settings.epochs_kept)
    }

    fn expire_former_incarnations(&mut self, now: Millis) {
        let timeout = self.incarnation_timeout();
        let local = std::iter::once(&mut self.local);
        for member in self.peers.values_mut().chain(local) {
            let expired: Vec<u64> = member
                .former
                .iter()
                .filter(|(_, former)| now - former.last_heartbeat > timeout)
                .map(|(number, _)| *number)
                .collect();
            for number in expired {
                self.count_len -= member.forget_former(number);
            }
            for former in member.former.values_mut() {
                let uptime = former.uptime_at(now);
                self.count_len -= former.expire_epochs(uptime, &self.settings);
            }
        }
    }

    fn forget_gone_members(&mut self, now: Millis) {
        let forget_after = self.settings.forget_after;
        let gone: Vec<DoorId> = self
            .peers
            .iter()
            .filter(|(_, member)| member.state == MemberState::Gone)
            .filter(|(_, member)| now - member.state_since > forget_after)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(member) = self.peers.remove(&id) {
                self.count_len -= member.count_len();
            }
        }
    }
}
