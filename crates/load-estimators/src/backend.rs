//! Estimates of one backend: attempts in flight, service time and health.

use crate::in_flight::InFlight;
use crate::{Attempt, EjectionChange, HealthScore, Millis, ServiceTime, ServiceTimePrior};

/// A backend is overdue if it has not responded for this multiple of its oldest attempt's expected
/// time.
const OVERDUE_FACTOR: f64 = 3.0;

/// Result of an attempt, as far as it is evidence about its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request was served.
    Served,
    /// The backend responded with an error.
    Failed,
    /// The backend rejected the plan with this index for lack of capacity.
    AtCapacity(usize),
    /// No response arrived in time.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
    /// No connection could be established.
    ConnectionRefused,
    /// An established connection broke. This is weak evidence: if connections break everywhere, the
    /// network is at fault and not the backends, and ejecting one after another would overload the
    /// rest. A backend whose process has died refuses the next connection, which is strong
    /// evidence.
    ConnectionBroken,
    /// The connection was reset, but no established connection broke.
    ConnectionReset,
    /// The request was never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The index of the class of the attempt's request.
    pub class: usize,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Time since the attempt was sent.
    pub elapsed: Millis,
}

/// Findings of [`BackendEstimator::finish`], besides the estimates that it updates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// Whether no other attempt at the backend had ended since this one was sent: the backend's
    /// other connections may be dead too.
    pub was_unresponsive: bool,
    /// The load at which the attempt was sent, if its time counts as a measurement of the service
    /// time.
    pub measured_load: Option<f64>,
    /// Whether the backend was ejected or restored.
    pub ejection: Option<EjectionChange>,
}

/// Estimates of one backend from the attempts that one gateway sends to it.
///
/// `Key` identifies the request of an attempt. Classes and plans are given by index.
#[derive(Clone, Debug)]
pub struct BackendEstimator<Key> {
    in_flight: InFlight<Key>,
    service_time: ServiceTime,
    /// When the last attempt ended; initially when the estimator was created or reset.
    last_end: Millis,
    health: HealthScore,
}

impl<Key: Ord> BackendEstimator<Key> {
    /// An estimator of a backend without any attempts so far.
    pub fn new(now: Millis) -> Self {
        BackendEstimator {
            in_flight: InFlight::default(),
            service_time: ServiceTime::default(),
            last_end: now,
            health: HealthScore::default(),
        }
    }

    /// Discards all estimates except the attempts in flight, after a restart of the backend.
    pub fn reset(&mut self, now: Millis) {
        *self = BackendEstimator {
            in_flight: std::mem::take(&mut self.in_flight),
            ..BackendEstimator::new(now)
        };
    }

    /// Records the start of an attempt of `class` with `units`.
    pub fn start(&mut self, now: Millis, key: Key, class: usize, units: f64) {
        let load = self.load() + units;
        let attempt = Attempt {
            sent_at: now,
            class,
            units,
            load,
        };
        self.in_flight.insert(key, attempt);
    }

    /// Records the end of a request's attempt.
    ///
    /// A backend may be unresponsive for one class and serve the others. An overdue attempt that
    /// timed out or was cancelled therefore counts against the backend for its class alone, and its
    /// time is not averaged. A backend that is unresponsive for all classes is covered too; a
    /// single lost response diverts requests to other backends.
    pub fn finish(
        &mut self,
        now: Millis,
        target: Millis,
        prior: ServiceTimePrior,
        key: &Key,
        end: AttemptEnd,
    ) -> Finished {
        use AttemptResult::*;
        let AttemptEnd {
            class,
            result,
            elapsed,
        } = end;
        let attempt = self.in_flight.remove(key);
        let was_unresponsive = attempt.is_some_and(|attempt| attempt.sent_at >= self.last_end);
        let was_overdue = attempt.is_some_and(|attempt| self.is_overdue(now, &attempt, prior));
        let has_response = matches!(result, Served | Failed | AtCapacity(_));
        let is_abandoned = matches!(result, TimedOut | Cancelled);
        self.health
            .record_class(now, class, has_response, is_abandoned && was_overdue);
        self.last_end = now;
        let is_measured = result == Served || (is_abandoned && !was_overdue);
        let measured_load = attempt.filter(|_| is_measured).map(|attempt| attempt.load);
        if let Some(load) = measured_load {
            self.service_time.record(1, elapsed, load);
        }
        Finished {
            was_unresponsive,
            measured_load,
            ejection: self.health.record(now, target, result),
        }
    }

    /// The attempt of a request, if it is in flight.
    pub fn attempt(&self, key: &Key) -> Option<&Attempt> {
        self.in_flight.get(key)
    }

    /// Whether no attempt is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Units in flight.
    pub fn load(&self) -> f64 {
        self.in_flight.load()
    }

    /// Health of the backend.
    pub fn health(&self) -> &HealthScore {
        &self.health
    }

    /// Milliseconds per unit of load over the backend's own attempts, if any were measured.
    pub fn measured_time_per_unit(&self) -> Option<f64> {
        self.service_time.per_unit()
    }

    /// Milliseconds per unit of load; with few measured attempts, close to the prior.
    pub fn time_per_unit(&self, prior: ServiceTimePrior) -> f64 {
        self.service_time.per_unit_with(prior)
    }

    /// Expected time of a request of `units` that is sent now.
    pub fn expected_time(&self, prior: ServiceTimePrior, units: f64) -> Millis {
        self.time_per_unit(prior) * (self.load() + units)
    }

    /// Expected queueing time of a request that is sent now, by the gateway's own load.
    ///
    /// Load that the backend reports is not used: it is outdated, and the same for all gateways.
    /// Load from other gateways shows in the time per unit.
    pub fn wait(&self, prior: ServiceTimePrior) -> Millis {
        self.time_per_unit(prior) * self.load()
    }

    /// How long the backend has not responded, beyond the time that its oldest attempt should take;
    /// 0 if it is not overdue. Attempts of other classes than `class` do not count if the backend
    /// is known to be unresponsive for their class.
    pub fn overdue(
        &self,
        now: Millis,
        target: Millis,
        prior: ServiceTimePrior,
        class: usize,
    ) -> Millis {
        let overdue = self.in_flight.iter().map(|attempt| {
            if attempt.class == class {
                self.attempt_overdue(now, attempt, prior)
            } else if self
                .health
                .is_class_unresponsive(now, target, attempt.class)
            {
                0.0
            } else {
                self.overdue_since(now, attempt, self.last_end, prior)
            }
        });
        overdue.fold(0.0, f64::max)
    }

    /// Whether an attempt is overdue, counted from the last response to its class.
    pub fn is_overdue(&self, now: Millis, attempt: &Attempt, prior: ServiceTimePrior) -> bool {
        self.attempt_overdue(now, attempt, prior) > 0.0
    }

    fn attempt_overdue(&self, now: Millis, attempt: &Attempt, prior: ServiceTimePrior) -> Millis {
        let last_response = self.health.last_response(attempt.class);
        let last_response = last_response.unwrap_or(attempt.sent_at);
        self.overdue_since(now, attempt, last_response, prior)
    }

    fn overdue_since(
        &self,
        now: Millis,
        attempt: &Attempt,
        since: Millis,
        prior: ServiceTimePrior,
    ) -> Millis {
        let expected = OVERDUE_FACTOR * self.time_per_unit(prior) * attempt.load;
        now - attempt.sent_at.max(since) - expected
    }
}
