//! Request bodies: read completely, within the memory for bodies.

use crate::body_memory::{BodyMemory, MemoryTenant, Reservation, ReserveError};
use crate::transfer::Transfer;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use maplefall_memory_account::{BlockBuffer, Direction};
use maplefall_policy::Millis;
use std::rc::Rc;
use tokio::time::Instant;

/// Until when a body is read.
#[derive(Clone, Copy, Debug)]
pub struct BodyDeadlines {
    /// How long the body may wait, unread, for memory.
    pub memory_wait: Instant,
    /// How long it may take to arrive.
    pub read: Instant,
}

/// The reason why a body is not read. Nothing of its request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The framing is invalid, or the body ends early.
    #[error("the body is invalid")]
    Invalid,
    /// The body is longer than allowed, or than the memory for any body.
    #[error("the body is too long")]
    TooLong,
    /// The body did not arrive in time, or others waited for the memory of one that hardly moved.
    #[error("the body did not arrive in time")]
    Timeout,
    /// There is currently no memory for the body.
    #[error("no memory for the body")]
    OutOfMemory,
}

impl From<ReserveError> for BodyError {
    fn from(error: ReserveError) -> BodyError {
        match error {
            ReserveError::TooLarge => BodyError::TooLong,
            ReserveError::Exhausted => BodyError::OutOfMemory,
        }
    }
}

/// How a body is read.
pub struct BodyPolicy<'a> {
    /// The memory that its bytes are reserved in.
    pub memory: &'a Rc<BodyMemory>,
    /// The tenant that the memory is held for.
    pub tenant: MemoryTenant,
    /// Maximum length, in bytes.
    pub max_bytes: usize,
    /// Until when it is read.
    pub deadlines: BodyDeadlines,
    /// Whether the body is returned in one block, whatever its length.
    pub is_contiguous: bool,
}

/// A complete body with the memory reserved for it.
#[derive(Default)]
pub struct RequestBody {
    /// The content; at most one block if the body has a length of at most one block.
    pub blocks: Vec<Bytes>,
    /// Released on drop; `None` for an empty body.
    pub reservation: Option<Reservation>,
}

/// Reads a body completely. `now` returns the time of `transfer`.
///
/// # Errors
/// If the body is invalid or too long, does not arrive in time, or there is no memory for it.
pub async fn read_request_body(
    body: Incoming,
    policy: BodyPolicy<'_>,
    transfer: &Transfer,
    now: impl Fn() -> Millis,
) -> Result<RequestBody, BodyError> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let size = body.size_hint();
    if size.lower() > policy.max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let announced = size.exact().map(|length| length as usize);
    let buffer = match policy.is_contiguous {
        true => BlockBuffer::contiguous(announced),
        false => BlockBuffer::new(announced),
    };
    let initial_charge = buffer.charge_with(announced.unwrap_or(1));
    let reserve = policy
        .memory
        .reserve(Direction::Request, policy.tenant, initial_charge);
    let reservation = tokio::time::timeout_at(policy.deadlines.memory_wait, reserve)
        .await
        .map_err(|_| BodyError::OutOfMemory)??;
    transfer.begin_receiving(reservation.pool(), now());
    let _phase = ReceivingPhase(transfer);
    let collector = Collector {
        transfer,
        buffer,
        reservation,
        max_bytes: policy.max_bytes,
        is_contiguous: policy.is_contiguous,
    };
    tokio::select! {
        biased;
        read = collector.collect(body) => read,
        () = tokio::time::sleep_until(policy.deadlines.read) => Err(BodyError::Timeout),
        () = transfer.receive_evicted() => Err(BodyError::Timeout),
    }
}

/// The part of a body that has arrived.
struct Collector<'a> {
    transfer: &'a Transfer,
    buffer: BlockBuffer,
    reservation: Reservation,
    max_bytes: usize,
    is_contiguous: bool,
}

impl Collector<'_> {
    /// Collects the body. One of unannounced length reserves more memory while it arrives; it does
    /// not wait for more, since another that waits might hold what it needs.
    async fn collect(mut self, mut body: Incoming) -> Result<RequestBody, BodyError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Invalid)?;
            if let Some(piece) = frame.data_ref() {
                self.append(piece)?;
            }
        }
        let length = self.buffer.length();
        let charge = self.buffer.charge_with(0);
        let mut blocks = self.buffer.into_blocks();
        if self.is_contiguous && blocks.len() > 1 {
            // The copy exists beside the blocks for a moment.
            if !self.reservation.try_grow(charge + length) {
                return Err(BodyError::OutOfMemory);
            }
            blocks = vec![Bytes::from(blocks.concat())];
            self.reservation.shrink(length);
        }
        Ok(RequestBody {
            blocks,
            reservation: Some(self.reservation),
        })
    }

    fn append(&mut self, piece: &[u8]) -> Result<(), BodyError> {
        if self.buffer.length() + piece.len() > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        let pool = self.reservation.pool();
        let charge = self.buffer.charge_with(piece.len());
        if !self.reservation.try_grow(charge) {
            return Err(BodyError::OutOfMemory);
        }
        if self.reservation.pool() != pool {
            self.transfer.moved_to(self.reservation.pool());
        }
        self.buffer.append(piece);
        Ok(())
    }
}

/// Ends the receiving phase of a transfer on drop, however the reading ended.
struct ReceivingPhase<'a>(&'a Transfer);

impl Drop for ReceivingPhase<'_> {
    fn drop(&mut self) {
        self.0.end_receiving();
    }
}
