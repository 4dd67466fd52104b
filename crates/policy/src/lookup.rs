//! Lookups in the settings, validation of requests, and conversions of the interface's types into
//! those of the estimators.

use crate::interface::{
    AttemptEnded, Class, Millis, Outcome, Plan, PlanId, RemoteUsage, Request, RequestId, Settings,
    TimerId,
};
use maplefall_load_estimators::{
    clamp_or, AttemptEnd, AttemptResult, RetryLimits, SlowStart, UsageReport,
};

/// Value of the shortest latency target if there is no class.
const DEFAULT_TARGET_MS: Millis = 1000.0;
/// Minimum of the shortest latency target.
const MIN_TARGET_MS: Millis = 1.0;
/// Minimum of the longest deadline.
const MIN_DEADLINE_MS: Millis = 1000.0;

impl Settings {
    /// Returns the class of a validated request.
    pub(crate) fn class(&self, request: &Request) -> &Class {
        &self.classes[request.class.0]
    }

    /// Returns the plan of a validated request.
    pub(crate) fn plan(&self, request: &Request) -> &Plan {
        &self.plans[request.plan.0]
    }

    /// Returns the maximum number of attempts of a validated request.
    pub(crate) fn attempt_limit(&self, request: &Request) -> u32 {
        self.max_attempts.min(self.class(request).max_attempts)
    }

    /// Returns the plans that have a quota.
    pub(crate) fn plans_with_quota(&self) -> impl Iterator<Item = &Plan> {
        self.plans.iter().filter(|plan| plan.has_quota())
    }

    /// Returns the shortest latency target of all classes.
    pub(crate) fn min_target(&self) -> Millis {
        let targets = self.classes.iter().map(|class| class.latency_target);
        let shortest = targets.fold(f64::INFINITY, f64::min);
        if shortest.is_finite() {
            shortest.max(MIN_TARGET_MS)
        } else {
            DEFAULT_TARGET_MS
        }
    }

    /// Returns the longest deadline of all classes.
    pub(crate) fn max_deadline(&self) -> Millis {
        let deadlines = self.classes.iter().map(|class| class.deadline);
        deadlines.fold(MIN_DEADLINE_MS, f64::max)
    }

    /// Returns this gateway's share of the fleet's retry budget.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            share: self.retry_ratio,
            depth: self.max_saved_retries,
            window: self.retry_window,
        }
    }

    /// Returns how backends warm up.
    pub(crate) fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial: self.start_capacity,
            duration: self.warm_up,
        }
    }

    /// Returns the request with its numbers clamped to their ranges; `None` if its plan or class is
    /// unknown.
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
    /// Returns whether the plan has a quota.
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

/// The timer of a request, which has the request's id.
impl From<RequestId> for TimerId {
    fn from(RequestId(id): RequestId) -> Self {
        TimerId(u64::from(id))
    }
}

impl TimerId {
    /// Returns the request whose timer this is, if any.
    pub(crate) fn request(self) -> Option<RequestId> {
        u32::try_from(self.0).ok().map(RequestId)
    }
}

impl AttemptEnded {
    /// Converts the end of an attempt of `request` to the estimators' type.
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
