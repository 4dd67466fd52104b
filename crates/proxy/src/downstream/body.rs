//! Request bodies: read completely before admission, within a common memory budget.

use super::request::RequestError;
use super::DownstreamServer;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use std::cell::Cell;
use tokio::time::Instant;

/// Divisor of the memory budget: a request body of unannounced length reserves this part of the
/// budget while it is read, and may not be longer.
const CHUNKED_BODY_DIVISOR: usize = 16;

/// The memory budget for request bodies.
pub(super) struct BodyMemory {
    max_bytes: usize,
    reserved_bytes: Cell<usize>,
}

impl BodyMemory {
    pub fn new(max_bytes: usize) -> BodyMemory {
        BodyMemory {
            max_bytes,
            reserved_bytes: Cell::new(0),
        }
    }

    /// Reserves memory until the reservation is dropped. Returns `None` if the budget does not
    /// currently allow it.
    fn reserve(&self, bytes: usize) -> Option<BodyReservation<'_>> {
        let reserved = self.reserved_bytes.get() + bytes;
        (reserved <= self.max_bytes).then(|| {
            self.reserved_bytes.set(reserved);
            BodyReservation {
                memory: self,
                bytes,
            }
        })
    }
}

/// Memory reserved for a body, released on drop.
pub(super) struct BodyReservation<'a> {
    memory: &'a BodyMemory,
    bytes: usize,
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        let reserved = &self.memory.reserved_bytes;
        reserved.set(reserved.get() - self.bytes);
    }
}

impl DownstreamServer {
    /// Reads a body until `deadline`. Its memory stays reserved until the reservation is dropped.
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        deadline: Instant,
    ) -> Result<(Bytes, BodyReservation<'_>), RequestError> {
        let memory = &self.body_memory;
        if body.is_end_stream() {
            let reservation = BodyReservation { memory, bytes: 0 };
            return Ok((Bytes::new(), reservation));
        }
        let max_bytes = self
            .proxy
            .with_core(|core| core.limits().body_bytes)
            .min(memory.max_bytes);
        let size = body.size_hint();
        if size.lower() > max_bytes as u64 {
            return Err(RequestError::BodyTooLong);
        }
        let max_bytes = size.exact().map_or(
            max_bytes.min(memory.max_bytes / CHUNKED_BODY_DIVISOR),
            |length| length as usize,
        );
        let reservation = memory.reserve(max_bytes).ok_or(RequestError::OutOfMemory)?;
        let read = Limited::new(body, max_bytes).collect();
        match tokio::time::timeout_at(deadline, read).await {
            Err(_) => Err(RequestError::BodyTimeout),
            Ok(Ok(body)) => Ok((body.to_bytes(), reservation)),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLong),
            Ok(Err(_)) => Err(RequestError::Invalid("body")),
        }
    }
}
