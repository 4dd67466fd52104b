//! The state of a request between its arrival and the end of its last attempt.

use crate::backend::Backend;
use crate::interface::{BackendId, CellId, Millis, Request, RequestId, ZoneId};
use std::collections::btree_map::{BTreeMap, Entry};

/// A request that has no final response yet, or whose last attempt is still in flight.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) arrived_at: Millis,
    /// When the request could first be forwarded: at its arrival, or after its caller was checked.
    pub(crate) ready_at: Millis,
    /// Whether the request's caller has not been checked yet.
    pub(crate) awaits_auth: bool,
    /// Number of attempts sent for the request.
    pub(crate) attempts: u32,
    /// The backend at which an attempt is in flight.
    pub(crate) in_flight_to: Option<BackendId>,
    pub(crate) first_exposure: Option<Exposure>,
    pub(crate) stream_started: bool,
    pub(crate) responded: bool,
    /// Whether the request's response was counted as slow already.
    pub(crate) known_slow: bool,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exposure {
    pub(crate) sent_at: Millis,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
}

impl Pending {
    /// Creates the state of a request that arrives at `now`.
    pub(crate) fn new(now: Millis, request: Request) -> Self {
        Pending {
            request,
            arrived_at: now,
            ready_at: now,
            awaits_auth: !request.authorized,
            attempts: 0,
            in_flight_to: None,
            first_exposure: None,
            stream_started: false,
            responded: false,
            known_slow: false,
        }
    }

    /// Records an attempt that is sent to `backend`.
    pub(crate) fn start_attempt(&mut self, backend: BackendId) {
        self.attempts += 1;
        self.in_flight_to = Some(backend);
    }

    /// Ends the attempt with this number (from 0) at `backend`; returns false if it is not in
    /// flight.
    pub(crate) fn end_attempt(&mut self, backend: BackendId, attempt: u32) -> bool {
        let is_in_flight = self.in_flight_to == Some(backend) && attempt + 1 == self.attempts;
        if is_in_flight {
            self.in_flight_to = None;
        }
        is_in_flight
    }
}

impl Exposure {
    /// Creates the exposure of an attempt sent to `backend`; zone and cell are unknown if it is
    /// `None`.
    pub(crate) fn new(sent_at: Millis, backend: Option<&Backend>) -> Self {
        Exposure {
            sent_at,
            zone: backend.map_or(ZoneId(u32::MAX), |backend| backend.entry.zone),
            cell: backend.map_or(CellId(u32::MAX), |backend| backend.entry.cell),
        }
    }
}

/// All requests that are pending.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, Pending>,
}

impl PendingRequests {
    pub(crate) fn insert(&mut self, pending: Pending) {
        self.requests.insert(pending.request.id, pending);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Pending> {
        self.requests.get(&id)
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Pending> {
        self.requests.remove(&id)
    }

    /// Removes a request if `condition` returns true; `condition` may change the request.
    pub(crate) fn remove_if(
        &mut self,
        id: RequestId,
        condition: impl FnOnce(&mut Pending) -> bool,
    ) -> Option<Pending> {
        let Entry::Occupied(mut entry) = self.requests.entry(id) else {
            return None;
        };
        condition(entry.get_mut()).then(|| entry.remove())
    }

    /// Changes a request, if it is pending, and returns it.
    pub(crate) fn update(
        &mut self,
        id: RequestId,
        change: impl FnOnce(&mut Pending),
    ) -> Option<&Pending> {
        let pending = self.requests.get_mut(&id)?;
        change(pending);
        Some(pending)
    }
}

#[cfg(test)]
mod tests;
