//! What is measured of one backend: attempts in flight, service time and health.

use crate::in_flight::InFlight;
use crate::{Attempt, EjectionChange, HealthScore, Millis, ServiceTime, ServiceTimePrior};

/// A backend is overdue once it is silent for this multiple of its oldest attempt's expected time.
const OVERDUE_FACTOR: f64 = 3.0;

/// How an attempt ended, as far as it says something about its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request was served.
    Served,
    /// The backend answered with an error.
    Failed,
    /// The backend rejected the plan with this index for lack of capacity.
    AtCapacity(usize),
    /// No answer came in time.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
    /// No connection could be established.
    ConnectionRefused,
    /// An established connection broke. Where connections break everywhere the network is at fault,
    /// not the backends, and ejecting each in turn would crowd the rest: so it says little. A
    /// backend whose process died refuses the next connection, which says enough.
    ConnectionBroken,
    /// The connection was reset, though none that was established broke.
    ConnectionReset,
    /// The request was never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The index of its request's class.
    pub class: usize,
    /// How it ended.
    pub result: AttemptResult,
    /// Time since it was sent.
    pub elapsed: Millis,
}

/// What [`BackendEstimator::finish`] found besides the figures that it updated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// Whether the backend had not answered anything since the attempt was sent: its other
    /// connections may be as dead.
    pub was_unresponsive: bool,
    /// The load at which the attempt was sent, if its time says something about the service time.
    pub measured_load: Option<f64>,
    /// Whether the backend was ejected or restored.
    pub ejection: Option<EjectionChange>,
}

/// Estimates of one backend from the attempts that one gateway sends to it.
///
/// `Key` names the request of an attempt. Classes and plans are given by index.
#[derive(Clone, Debug)]
pub struct BackendEstimator<Key> {
    in_flight: InFlight<Key>,
    service_time: ServiceTime,
    last_answer: Millis,
    health: HealthScore,
}

impl<Key: Ord> BackendEstimator<Key> {
    /// A backend of which nothing is known.
    pub fn new(now: Millis) -> Self {
        BackendEstimator {
            in_flight: InFlight::default(),
            service_time: ServiceTime::default(),
            last_answer: now,
            health: HealthScore::default(),
        }
    }

    /// Forgets everything but the attempts in flight, after a restart of the backend.
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

    /// Records the end of the attempt of a request.
    ///
    /// A backend may let one class hang and answer the others. That counts against it for this class
    /// alone, whether the attempt timed out or was cancelled, and its time is not averaged. A backend
    /// that hangs for all classes is covered too; a single answer that was lost causes a detour.
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
        let was_unresponsive = attempt.is_some_and(|attempt| attempt.sent_at >= self.last_answer);
        let hung = attempt.is_some_and(|attempt| self.is_overdue(now, &attempt, prior));
        let is_answer = matches!(result, Served | Failed | AtCapacity(_));
        let is_late = matches!(result, TimedOut | Cancelled);
        self.health
            .record_class(now, class, is_answer, is_late && hung);
        self.last_answer = now;
        let is_timed = result == Served || (is_late && !hung);
        let measured_load = attempt.filter(|_| is_timed).map(|attempt| attempt.load);
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

    /// Whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Units in flight.
    pub fn load(&self) -> f64 {
        self.in_flight.load()
    }

    /// Its health.
    pub fn health(&self) -> &HealthScore {
        &self.health
    }

    /// Milliseconds per unit of load by its own answers, if there are any.
    pub fn measured_time_per_unit(&self) -> Option<f64> {
        self.service_time.per_unit()
    }

    /// Milliseconds per unit of load; with few answers, close to the prior.
    pub fn time_per_unit(&self, prior: ServiceTimePrior) -> f64 {
        self.service_time.per_unit_with(prior)
    }

    /// Expected time of a request of `units` that is sent now.
    pub fn expected_time(&self, prior: ServiceTimePrior, units: f64) -> Millis {
        self.time_per_unit(prior) * (self.load() + units)
    }

    /// Time until a request that is sent now would be begun, by the gateway's own load.
    ///
    /// Load that the backend reports is not used: it is late, and the same for all gateways. What
    /// others send shows in the time per unit.
    pub fn wait(&self, prior: ServiceTimePrior) -> Millis {
        self.time_per_unit(prior) * self.load()
    }

    /// How long the backend has been silent beyond the time that its oldest attempt should take; 0
    /// if it isn't overdue. Attempts of another class than `class` don't count if that class is
    /// known to hang there.
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
                self.overdue_since(now, attempt, self.last_answer, prior)
            }
        });
        overdue.fold(0.0, f64::max)
    }

    /// Whether an attempt is overdue since the last answer to its class.
    pub fn is_overdue(&self, now: Millis, attempt: &Attempt, prior: ServiceTimePrior) -> bool {
        self.attempt_overdue(now, attempt, prior) > 0.0
    }

    fn attempt_overdue(&self, now: Millis, attempt: &Attempt, prior: ServiceTimePrior) -> Millis {
        let last_answer = self.health.last_response(attempt.class);
        let last_answer = last_answer.unwrap_or(attempt.sent_at);
        self.overdue_since(now, attempt, last_answer, prior)
    }

    fn overdue_since(
        &self,
        now: Millis,
        attempt: &Attempt,
        last_answer: Millis,
        prior: ServiceTimePrior,
    ) -> Millis {
        let expected = OVERDUE_FACTOR * self.time_per_unit(prior) * attempt.load;
        now - attempt.sent_at.max(last_answer) - expected
    }
}
