//! Response bodies: read completely before any of it is forwarded, within the memory for bodies. A
//! body for which there is no memory stays with its backend, unread, until the attempt ends.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use maplefall_downstream::{BodyMemory, MemoryTenant, Reservation};
use maplefall_memory_account::{charge, BlockBuffer, Direction, MAX_SMALL_BYTES};
use maplefall_upstream::BlockBody;
use std::rc::Rc;

/// Maximum length of a body of unannounced length, in bytes; a longer one counts as broken.
const MAX_UNANNOUNCED_BYTES: usize = 16 << 20;

/// Reads a body completely. Returns `None` if it ends early or no such body is ever taken. Its
/// memory stays reserved until the last clone of the body is dropped.
pub(crate) async fn read_response_body(
    body: Incoming,
    memory: &Rc<BodyMemory>,
    tenant: MemoryTenant,
) -> Option<BlockBody> {
    if body.is_end_stream() {
        return Some(BlockBody::default());
    }
    let announced = body.size_hint().exact().map(|length| length as usize);
    let buffer = BlockBuffer::new(announced);
    let initial_charge = announced.map_or_else(|| buffer.charge_with(1), charge);
    let reserve = memory.reserve(Direction::Response, tenant.clone(), initial_charge);
    let mut collector = Collector {
        memory,
        tenant,
        reservation: reserve.await.ok()?,
        buffer,
        max_bytes: announced.unwrap_or(MAX_UNANNOUNCED_BYTES),
    };
    collector.collect(body).await?;
    Some(collector.into_body())
}

/// The part of a body that has arrived.
struct Collector<'a> {
    memory: &'a Rc<BodyMemory>,
    tenant: MemoryTenant,
    reservation: Reservation,
    buffer: BlockBuffer,
    max_bytes: usize,
}

impl Collector<'_> {
    async fn collect(&mut self, mut body: Incoming) -> Option<()> {
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            let Some(piece) = frame.data_ref() else {
                continue;
            };
            if self.buffer.length() + piece.len() > self.max_bytes {
                return None;
            }
            self.reserve(self.buffer.charge_with(piece.len())).await?;
            self.buffer.append(piece);
        }
        Some(())
    }

    /// Reserves memory for the next piece. A body that turns out to be long reserves all that it
    /// may need at once: bodies that hold some of the memory for long ones and wait for more might
    /// wait for each other.
    async fn reserve(&mut self, bytes: usize) -> Option<()> {
        let may_grow = bytes <= MAX_SMALL_BYTES || self.reservation.is_large();
        if may_grow && self.reservation.try_grow(bytes) {
            return Some(());
        }
        let max_charge = BlockBuffer::new(None).charge_with(self.max_bytes);
        let tenant = self.tenant.clone();
        let reserve = self.memory.reserve(Direction::Response, tenant, max_charge);
        self.reservation = reserve.await.ok()?;
        Some(())
    }

    fn into_body(mut self) -> BlockBody {
        self.reservation.shrink(self.buffer.charge_with(0));
        BlockBody::new(self.buffer.into_blocks(), Some(Rc::new(self.reservation)))
    }
}
