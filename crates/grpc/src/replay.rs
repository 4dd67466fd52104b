//! The request stream of a call, buffered so that a retry can send it again (gRFC A6, "Memory
//! Management (Buffering)").
//!
//! Invariant: until the call is committed no chunk is dropped, so every attempt sends the same
//! bytes from the first.

use bytes::Bytes;
use std::collections::VecDeque;

/// Buffer of the chunks that the client sent. Until the call is [committed](Replay::commit) all
/// chunks are kept, afterwards only those that the current attempt has not taken. The size is
/// bounded by `max_bytes` and one further chunk, which the transport has received already.
#[derive(Debug)]
pub struct Replay {
    chunks: VecDeque<Bytes>,
    /// Number of chunks dropped from the front.
    dropped: u64,
    bytes: usize,
    max_bytes: usize,
    ended: bool,
    committed: bool,
}

/// The content of the request stream at a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// The chunk at the position.
    Chunk(Bytes),
    /// The client has not sent the next chunk yet.
    Wait,
    /// The client has ended the request stream.
    End,
    /// The chunk was dropped after the commit, so no attempt can read it.
    Dropped,
}

impl Replay {
    /// An empty buffer with a limit of `max_bytes`.
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

    /// Appends a chunk from the client. Returns `false` if the buffer is full; capacity is freed
    /// only after the call is committed and the current attempt has taken chunks.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        // Empty chunks are dropped: an endless series would grow the buffer without counting any
        // bytes.
        if chunk.is_empty() {
            return self.has_capacity();
        }
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
        self.has_capacity()
    }

    /// Records that the client ended the request stream.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the client has ended the request stream.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Commits the call and drops the chunks before `position`, which the current attempt has
    /// taken.
    pub fn commit(&mut self, position: u64) {
        self.committed = true;
        self.taken(position);
    }

    /// The content at `position`, a number of chunks from the start of the stream.
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

    /// Records that the current attempt has taken all chunks before `position`, and drops them if
    /// the call is committed.
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
