//! Health score of one backend, from the results of the attempts that were sent to it.

use crate::{AttemptResult, Decaying, Millis};
use std::collections::BTreeMap;

/// Half-life of a fault score without new results, in latency targets.
const FAULT_HALFLIFE_TARGETS: f64 = 4.0;
/// Half-life of the fault score of one class, in latency targets. It is longer than that of the
/// other fault scores, because the request that shows whether the backend still does not respond to
/// the class loses all of its time.
const CLASS_FAULT_HALFLIFE_TARGETS: f64 = 8.0;
/// Fault score up to which a backend counts as healthy, so that it gets requests again after a
/// fault.
const HEALTHY_FAULT_SCORE: f64 = 0.1;
/// Fraction of its distance to 1 by which one failure raises a fault score.
const FAILURE_STEP: f64 = 0.4;
/// Fraction of its distance to 1 by which one broken connection raises a fault score: less than for
/// other failures, because a refused or unresponsive connection is far stronger evidence.
const BROKEN_CONNECTION_STEP: f64 = 0.1;
/// Fraction of its value by which one success lowers a fault score.
const SUCCESS_STEP: f64 = 0.2;
/// Fault score above which a backend is reported as ejected; below half of it, as restored.
const EJECTION_FAULT_SCORE: f64 = 0.5;

/// A change of a backend's outlier-detection state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The fault score rose above the ejection threshold.
    Ejected,
    /// The fault score fell below half of the ejection threshold.
    Restored,
}

/// Fault scores of one backend, from 0 (healthy) to 1: overall, by plan and by class.
///
/// All scores decay over time. Half-lives are multiples of the caller's latency target.
#[derive(Clone, Debug, Default)]
pub struct HealthScore {
    overall: Decaying,
    /// Fault scores from rejections for lack of capacity, by plan.
    plans: BTreeMap<usize, Decaying>,
    /// Health by class of the attempts that have ended.
    classes: BTreeMap<usize, ClassHealth>,
    ejected: bool,
}

#[derive(Clone, Copy, Debug)]
struct ClassHealth {
    last_response: Millis,
    fault: Decaying,
}

impl HealthScore {
    /// Fault score up to which a backend counts as healthy.
    pub const HEALTHY: f64 = HEALTHY_FAULT_SCORE;

    /// When a request of `class` last got a response; initially when its first attempt ended.
    pub fn last_response(&self, class: usize) -> Option<Millis> {
        self.classes.get(&class).map(|health| health.last_response)
    }

    /// Whether the backend counts as unresponsive to requests of `class`.
    pub fn is_class_unresponsive(&self, now: Millis, target: Millis, class: usize) -> bool {
        self.class_fault_score(now, target, class) > HEALTHY_FAULT_SCORE
    }

    /// The fault score for a request of this plan and class: the highest that applies.
    pub fn fault_score(&self, now: Millis, target: Millis, plan: usize, class: usize) -> f64 {
        let halflife = FAULT_HALFLIFE_TARGETS * target;
        let plan_score = self.plans.get(&plan).map_or(0.0, |s| s.at(now, halflife));
        let class_score = self.class_fault_score(now, target, class);
        self.overall
            .at(now, halflife)
            .max(plan_score)
            .max(class_score)
    }

    /// Whether the overall fault score is above [`HealthScore::HEALTHY`] at `now`.
    pub fn is_suspect(&self, now: Millis, target: Millis) -> bool {
        self.overall.at(now, FAULT_HALFLIFE_TARGETS * target) > HEALTHY_FAULT_SCORE
    }

    /// When the overall fault score was last set, if it was above [`HealthScore::HEALTHY`] then.
    pub fn suspect_since(&self) -> Option<Millis> {
        (self.overall.value > HEALTHY_FAULT_SCORE).then_some(self.overall.set_at)
    }

    /// Records that an attempt of `class` got a response, was abandoned while overdue (no response
    /// long after one was due), or neither.
    pub fn record_class(&mut self, now: Millis, class: usize, responded: bool, overdue: bool) {
        let health = self.classes.entry(class).or_insert(ClassHealth {
            last_response: now,
            fault: Decaying::default(),
        });
        if responded {
            health.last_response = now;
            health.fault.value *= 0.5;
        } else if overdue {
            health.fault = Decaying {
                value: 1.0,
                set_at: now,
            };
        }
    }

    /// Records the result of an attempt, and returns whether the backend was ejected or restored.
    ///
    /// A rejection for lack of capacity counts against the backend for the rejected plan only: it
    /// may have capacity for others.
    pub fn record(
        &mut self,
        now: Millis,
        target: Millis,
        result: AttemptResult,
    ) -> Option<EjectionChange> {
        let halflife = FAULT_HALFLIFE_TARGETS * target;
        let score = match result {
            AttemptResult::AtCapacity(plan) => self.plans.entry(plan).or_default(),
            _ => &mut self.overall,
        };
        let value = updated_score(score.at(now, halflife), result);
        *score = Decaying { value, set_at: now };
        let overall = self.overall.at(now, halflife);
        self.update_ejection(overall)
    }

    fn update_ejection(&mut self, fault_score: f64) -> Option<EjectionChange> {
        match self.ejected {
            false if fault_score > EJECTION_FAULT_SCORE => {
                self.ejected = true;
                Some(EjectionChange::Ejected)
            }
            true if fault_score < EJECTION_FAULT_SCORE / 2.0 => {
                self.ejected = false;
                Some(EjectionChange::Restored)
            }
            _ => None,
        }
    }

    fn class_fault_score(&self, now: Millis, target: Millis, class: usize) -> f64 {
        let halflife = CLASS_FAULT_HALFLIFE_TARGETS * target;
        let health = self.classes.get(&class);
        health.map_or(0.0, |health| health.fault.at(now, halflife))
    }
}

/// The fault score after a result; `before` is the score before it.
fn updated_score(before: f64, result: AttemptResult) -> f64 {
    use AttemptResult::*;
    match result {
        Served => before * (1.0 - SUCCESS_STEP),
        ConnectionBroken => before + BROKEN_CONNECTION_STEP * (1.0 - before),
        ConnectionRefused => 1.0,
        Failed | AtCapacity(_) | TimedOut | ConnectionReset => {
            before + FAILURE_STEP * (1.0 - before)
        }
        Cancelled | NotSent => before,
    }
}
