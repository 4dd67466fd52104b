//! Counters of request outcomes since the last `stats` log line.

use super::Core;
use maplefall_policy::Millis;
use maplefall_upstream::ConnectionCounts;
use std::collections::HashMap;
use std::rc::Rc;

/// Counters since the last `stats` log line. `quota_rejected_by_tenant` has at most one entry per
/// configured tenant.
///
/// `arrived` and the quota counters count decisions of `admit`, which the caller repeats for a
/// request that waits, so one request can be counted several times.
#[derive(Default)]
pub(super) struct Stats {
    /// Admission decisions, repeats included, on requests with a route, a valid key and a ready
    /// backend.
    pub arrived: u64,
    /// Backend responses that were forwarded as a success.
    pub forwarded: u64,
    /// Admission decisions, repeats included, that the quota did not allow: by the rule of
    /// [`QuotaRejection::Bucket`](maplefall_policy::QuotaRejection::Bucket), or, for a tenant that
    /// uses single tokens, because no token can be expected. A request that waits for a single
    /// token in vain until its timeout is in no rejection counter, and the penalty box has its own.
    pub quota_rejected: u64,
    /// Requests for which a single token was requested from the controllers.
    pub tokens_requested: u64,
    /// Requests rejected because their tenant is in the penalty box.
    pub penalty_box_rejected: u64,
    /// Requests that no backend accepted and that have not run.
    pub no_backend: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Attempts beyond the first of a request.
    pub retries: u64,
    /// Connections to backends that broke during an attempt. In place of a pooled one that broke
    /// before the request's head was completely written, the attempt uses another connection.
    pub connections_broken: u64,
    /// Backend responses that were read before their request was completely written.
    pub early_responses: u64,
    /// Attempts that were cancelled by their timeout.
    pub attempts_given_up: u64,
    /// Requests without a route or with an unknown key.
    pub unroutable: u64,
    /// `quota_rejected`, by tenant.
    pub quota_rejected_by_tenant: HashMap<Rc<str>, u64>,
}

impl Stats {
    /// Counts what was seen on the connections of an ended attempt.
    pub(super) fn record_connections(&mut self, connections: ConnectionCounts) {
        self.connections_broken += u64::from(connections.broken);
        self.early_responses += u64::from(connections.early_responses);
    }

    /// Returns the tenant with the most quota rejections and their number; among equals, the first
    /// by name.
    fn most_rejected_tenant(&self) -> Option<(&Rc<str>, u64)> {
        self.quota_rejected_by_tenant
            .iter()
            .max_by(|a, b| a.1.cmp(b.1).then_with(|| b.0.cmp(a.0)))
            .map(|(tenant, count)| (tenant, *count))
    }
}

impl Core {
    /// Returns a log line with the counters since the last call and resets them; `None` if no
    /// request arrived. The line names the tenant with the most quota rejections; `share=` is the
    /// fraction of its quota that is leased to this proxy at the time of the line, not at the time
    /// of the rejections.
    pub fn take_stats_summary(&mut self, now: Millis) -> Option<String> {
        let stats = std::mem::take(&mut self.stats);
        if stats.arrived == 0 {
            return None;
        }
        let tenant = stats
            .most_rejected_tenant()
            .map(|(tenant, rejected)| {
                format!(
                    " tenant={tenant} rejected={rejected} share={:.3} controllers={}",
                    self.lease_client.fraction(now, tenant),
                    self.connected_controllers.len()
                )
            })
            .unwrap_or_default();
        Some(format!(
            "event=stats arrived={} forwarded={} quota_rejected={} tokens_requested={} penalty_box_rejected={} no_backend={} failed={} \
             retries={} connections_broken={} early_responses={} attempts_given_up={} unroutable={}{tenant}",
            stats.arrived,
            stats.forwarded,
            stats.quota_rejected,
            stats.tokens_requested,
            stats.penalty_box_rejected,
            stats.no_backend,
            stats.failed,
            stats.retries,
            stats.connections_broken,
            stats.early_responses,
            stats.attempts_given_up,
            stats.unroutable,
        ))
    }
}
