//! Lookups in the settings, validation of requests by them, and conversions of the interface's types
//! into those of the estimators.

use crate::interface::{
    AttemptEnded, Class, Millis, Outcome, Plan, PlanId, RemoteUsage, Request, RequestId, Settings,
    TimerId,
};
use maplefall_load_estimators::{
    clamp_or, AttemptEnd, AttemptResult, RetryLimits, SlowStart, UsageReport,
};

/// The shortest latency target where there is no class.
const DEFAULT_TARGET_MS: Millis = 1000.0;
/// The least of the shortest latency targets.
const MIN_TARGET_MS: Millis = 1.0;
/// The least of the longest deadlines.
const MIN_DEADLINE_MS: Millis = 1000.0;

impl Settings {
    /// The class of a valid request.
    pub(crate) fn class(&self, request: &Request) -> &Class {
        &self.classes[request.class.0]
    }

    /// The plan of a valid request.
    pub(crate) fn plan(&self, request: &Request) -> &Plan {
        &self.plans[request.plan.0]
    }

    /// Attempts that a valid request may have.
    pub(crate) fn attempt_limit(&self, request: &Request) -> u32 {
        self.max_attempts.min(self.class(request).max_attempts)
    }

    /// The plans that have a quota.
    pub(crate) fn plans_with_quota(&self) -> impl Iterator<Item = &Plan> {
        self.plans.iter().filter(|plan| plan.has_quota())
    }

    /// The shortest latency target of all classes.
    pub(crate) fn shortest_target(&self) -> Millis {
        let targets = self.classes.iter().map(|class| class.latency_target);
        let shortest = targets.fold(f64::INFINITY, f64::min);
        if shortest.is_finite() {
            shortest.max(MIN_TARGET_MS)
        } else {
            DEFAULT_TARGET_MS
        }
    }

    /// The longest deadline of all classes.
    pub(crate) fn longest_deadline(&self) -> Millis {
        let deadlines = self.classes.iter().map(|class| class.deadline);
        deadlines.fold(MIN_DEADLINE_MS, f64::max)
    }

    /// What this gateway may use of the fleet's retry budget.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            share: self.retry_ratio,
            depth: self.max_saved_retries,
            window: self.retry_window,
        }
    }

    /// How backends warm up.
    pub(crate) fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial: self.start_capacity,
            duration: self.warm_up,
        }
    }

    /// The request with its figures in range; `None` where its plan or class is unknown.
    pub(crate) fn validated(&self, now: Millis, mut request: Request) -> Option<Request> {
        self.plans.get(request.plan.0)?;
        let class = self.classes.get(request.class.0)?;
        let gateways = f64::from(self.gateways.max(1));
        let deadline = now + class.deadline;
        request.units = clamp_or(request.units, 0.0, self.max_units.max(1.0), 1.0);
        request.gateways = clamp_or(request.gateways, 1.0, gateways, 1.0).round();
        request.deadline = clamp_or(request.deadline, now, deadline, deadline);
        Some(request)
    }
}

impl Plan {
    /// Whether it has a quota.
    pub(crate) fn has_quota(&self) -> bool {
        self.rate > 0.0
    }
}

impl From<&RemoteUsage> for UsageReport {
    fn from(report: &RemoteUsage) -> Self {
        UsageReport {
            units: report.units,
            as_of: report.as_of,
            error: report.error,
            coverage: report.reporting_fraction,
        }
    }
}

/// The timer that is named after a request.
impl From<RequestId> for TimerId {
    fn from(RequestId(id): RequestId) -> Self {
        TimerId(u64::from(id))
    }
}

impl TimerId {
    /// The request that it is named after, if any.
    pub(crate) fn request(self) -> Option<RequestId> {
        u32::try_from(self.0).ok().map(RequestId)
    }
}

impl AttemptEnded {
    /// What the end of an attempt of `request` says about its backend.
    pub(crate) fn attempt_end(&self, request: &Request) -> AttemptEnd {
        AttemptEnd {
            class: request.class.0,
            result: self.attempt_result(request.plan),
            elapsed: self.elapsed.max(0.0),
        }
    }

    fn attempt_result(&self, plan: PlanId) -> AttemptResult {
        match self.outcome {
            Outcome::Ok => AttemptResult::Served,
            Outcome::ConnectFailed | Outcome::Reset if self.broken_connections > 0 => {
                AttemptResult::ConnectionBroken
            }
            Outcome::ConnectFailed => AttemptResult::ConnectionRefused,
            Outcome::Reset => AttemptResult::ConnectionReset,
            Outcome::Full => AttemptResult::AtCapacity(plan.0),
            Outcome::Error => AttemptResult::Failed,
            Outcome::Timeout => AttemptResult::TimedOut,
            Outcome::Cancelled => AttemptResult::Cancelled,
            Outcome::NotSent => AttemptResult::NotSent,
        }
    }
}

#[cfg(test)]
mod tests;
