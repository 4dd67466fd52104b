//! The request stream of a call, buffered so that a retry can send it again (gRFC A6, "Memory Management (Buffering)").
//!
//! Invariant: until the call is committed no chunk is dropped, so every attempt sends the same bytes from the first.

use bytes::Bytes;
use std::collections::VecDeque;

/// Buffer of the chunks that the client sent. Until the call is [committed](Replay::commit) all are kept, afterwards those that
/// the current attempt has not taken. Bounded by `max_bytes` and one further chunk, which the transport received already.
#[derive(Debug)]
pub struct Replay {
    chunks: VecDeque<Bytes>,
    /// Chunks dropped from the front.
    dropped: u64,
    bytes: usize,
    max_bytes: usize,
    ended: bool,
    committed: bool,
}

/// What follows at a position of the request stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// This chunk.
    Chunk(Bytes),
    /// The client has not sent it yet.
    Wait,
    /// The client has ended the request stream.
    End,
    /// The chunk was dropped after the commit: no attempt can begin here.
    Dropped,
}

impl Replay {
    /// An empty buffer of `max_bytes`.
    pub fn new(max_bytes: usize) -> Replay {
        Replay {
            chunks: VecDeque::new(),
            dropped: 0,
            bytes: 0,
            max_bytes,
            ended: false,
            committed: false,
        }
    }

    /// Whether more may be read from the client.
    pub fn has_capacity(&self) -> bool {
        self.bytes < self.max_bytes
    }

    /// Appends a chunk from the client. `false` if the buffer is full: there is room again only after the call is committed and
    /// its attempt has taken chunks.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        // Empty chunks are dropped: without end they would fill the buffer and count no bytes.
        if chunk.is_empty() {
            return self.has_capacity();
        }
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
        self.has_capacity()
    }

    /// The client ended the request stream.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the client has ended the request stream.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// The call is committed: chunks before `position`, which the current attempt has taken, are dropped.
    pub fn commit(&mut self, position: u64) {
        self.committed = true;
        self.taken(position);
    }

    /// What follows at a position, in chunks from the first.
    pub fn next(&self, position: u64) -> Next {
        let Some(index) = position.checked_sub(self.dropped) else {
            return Next::Dropped;
        };
        match usize::try_from(index)
            .ok()
            .and_then(|index| self.chunks.get(index))
        {
            Some(chunk) => Next::Chunk(chunk.clone()),
            None if self.ended => Next::End,
            None => Next::Wait,
        }
    }

    /// The current attempt has taken all chunks before `position`. They are dropped if the call is committed.
    pub fn taken(&mut self, position: u64) {
        while self.committed && self.dropped < position {
            let Some(chunk) = self.chunks.pop_front() else {
                return;
            };
            self.bytes -= chunk.len();
            self.dropped += 1;
        }
    }

    /// Bytes in the buffer.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests;
