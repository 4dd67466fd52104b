//! Usage at other nodes as it is passed to the policy, and its staleness.

use super::Node;
use crate::members::MemberState;
use crate::{Customer, UsageUpdate};
use maplefall_policy::Millis;

/// How long a computed staleness is reused.
const FRESHNESS_TTL: Millis = 20.0;

/// The staleness of the counts of all nodes that are alive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Freshness {
    computed_at: Millis,
    /// The time up to which the counts of all nodes that are alive are complete here.
    as_of: Millis,
    /// The number of nodes that are alive, this one included.
    nodes: usize,
}

impl Node {
    /// Returns the usage of a customer at other nodes since the last update; `None` if none was
    /// ever received.
    pub fn usage_update(&mut self, now: Millis, customer: Customer) -> Option<UsageUpdate> {
        let (as_of, _) = self.freshness(now);
        let untracked = self.max_untracked_units();
        self.remote_usage.report(now, customer, as_of, untracked)
    }

    /// Returns the next customer with unreported usage at other nodes, and its update.
    pub fn poll_usage_update(&mut self, now: Millis) -> Option<(Customer, UsageUpdate)> {
        let customer = self.remote_usage.next_unreported()?;
        self.usage_update(now, customer)
            .map(|update| (customer, update))
    }

    /// Returns the time up to which the counts of all nodes that are alive are complete here, and
    /// the number of nodes that are alive, this one included.
    pub fn freshness(&mut self, now: Millis) -> (Millis, usize) {
        if let Some(known) = &self.freshness {
            if now - known.computed_at < FRESHNESS_TTL {
                return (known.as_of, known.nodes);
            }
        }
        let mut freshness = Freshness {
            computed_at: now,
            as_of: now,
            nodes: 1,
        };
        let alive = self
            .peers
            .values()
            .filter(|member| member.state == MemberState::Alive);
        for member in alive {
            freshness.as_of = freshness.as_of.min(member.current.as_of());
            freshness.nodes += 1;
        }
        self.freshness = Some(freshness);
        (freshness.as_of, freshness.nodes)
    }

    /// Returns the most units that one customer may have used at other nodes without a count of its
    /// own, assuming that the other nodes' tables of counts are as full as this node's.
    pub(super) fn max_untracked_units(&self) -> f64 {
        self.admission.max_untracked() as f64 / 1000.0 * self.peers.len() as f64
    }
}
