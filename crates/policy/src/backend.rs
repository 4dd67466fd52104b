//! The state of one backend at a gateway.

use crate::interface::{Availability, BackendEntry, CellId, Millis, RequestId, ZoneId};
use maplefall_backend_index::{Entry, Indexed, State};
use maplefall_load_estimators::{clamp_or, uniform, BackendEstimator, SlowStart};
use rand_pcg::Pcg32;

/// Bounds of a backend's size relative to others.
const MIN_SIZE: f64 = 0.01;
const MAX_SIZE: f64 = 1e6;

/// A backend of the list, with this gateway's measurements.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) entry: BackendEntry,
    pub(crate) estimator: BackendEstimator<RequestId>,
    /// Number of requests due to the backend in slow start; from 1 on, it may get the next request.
    pub(crate) credit: f64,
    /// Position in the gateway's random order of preference, drawn once; the lowest are preferred.
    pub(crate) position: f64,
}

impl Backend {
    /// Creates the state of a backend that was not in the list before.
    pub(crate) fn new(now: Millis, mut entry: BackendEntry, rng: &mut Pcg32) -> Self {
        entry.size = clamp_or(entry.size, MIN_SIZE, MAX_SIZE, 1.0);
        Backend {
            entry,
            estimator: BackendEstimator::new(now),
            credit: uniform(rng),
            position: uniform(rng),
        }
    }

    /// Replaces the backend's list entry by that of `fresh`. If the backend was restarted, its
    /// measurements and its credit are reset; its position in the order of preference and the
    /// attempts in flight stay.
    pub(crate) fn update(&mut self, now: Millis, fresh: &Backend) {
        if self.entry.started != fresh.entry.started {
            self.estimator.reset(now);
            self.credit = fresh.credit;
        }
        self.entry = fresh.entry;
    }

    /// Returns the fraction of its full capacity that the backend has at `now`.
    pub(crate) fn capacity(&self, now: Millis, slow_start: SlowStart) -> f64 {
        slow_start.capacity(now, self.entry.started)
    }
}

impl Indexed for Backend {
    fn index_entry(&self) -> Entry {
        let is_idle = self.estimator.is_idle();
        let state = match self.entry.availability {
            Availability::Ready => State::Ready,
            Availability::Removed if is_idle => State::Drained,
            Availability::Removed | Availability::Draining => State::Draining,
        };
        Entry {
            state,
            position: self.position,
            warming_since: self.entry.started,
            suspect_since: self.estimator.health().suspect_since(),
            in_use: !is_idle,
            time_per_unit: self.estimator.measured_time_per_unit(),
        }
    }
}

/// A set of backends to which the attempts of a request may be restricted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reach {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Nowhere,
}

impl Reach {
    /// Returns whether a backend is in the set.
    pub(crate) fn includes(self, backend: &BackendEntry) -> bool {
        match self {
            Reach::Anywhere => true,
            Reach::Zone(zone) => backend.zone == zone,
            Reach::Cell(cell) => backend.cell == cell,
            Reach::Nowhere => false,
        }
    }
}
