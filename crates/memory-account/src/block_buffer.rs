//! A body that is joined from the pieces in which it arrives.

use bytes::Bytes;

/// Size of a block of a long body, in bytes.
pub const BLOCK_BYTES: usize = 64 << 10;
/// Size of the first block of a body of unknown length, in bytes.
const FIRST_BLOCK_BYTES: usize = 4 << 10;
/// What a block costs beside its content: its entry in the list, its reference count, and the
/// allocator's header, in bytes.
const BLOCK_OVERHEAD_BYTES: usize = 128;

/// Returns what a body of this length takes in memory, in bytes, blocks included.
pub fn charge(length: usize) -> usize {
    length + length.div_ceil(BLOCK_BYTES) * BLOCK_OVERHEAD_BYTES
}

/// Joins pieces into blocks. A piece may be a slice of a far larger buffer, which would stay
/// allocated as long as the piece, so pieces are copied.
#[derive(Debug)]
pub struct BlockBuffer {
    /// Length of the body, if it is known.
    announced: Option<usize>,
    /// Size of the largest block, in bytes.
    max_block_bytes: usize,
    full_blocks: Vec<Bytes>,
    last_block: Vec<u8>,
    /// Number of bytes in all blocks.
    length: usize,
    /// Number of bytes that are allocated, with the overhead of each block.
    allocated: usize,
}

impl BlockBuffer {
    /// Creates a buffer without blocks for a body whose length may be known.
    pub fn new(announced: Option<usize>) -> BlockBuffer {
        BlockBuffer {
            announced,
            max_block_bytes: BLOCK_BYTES,
            full_blocks: Vec::new(),
            last_block: Vec::new(),
            length: 0,
            allocated: 0,
        }
    }

    /// Creates a buffer that holds a body of known length in one block.
    pub fn contiguous(announced: Option<usize>) -> BlockBuffer {
        BlockBuffer {
            max_block_bytes: announced.unwrap_or(0).max(BLOCK_BYTES),
            ..BlockBuffer::new(announced)
        }
    }

    /// Returns the number of bytes that were appended.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns what the buffer takes in memory once `bytes` more are appended.
    pub fn charge_with(&self, bytes: usize) -> usize {
        let mut left = bytes.saturating_sub(self.last_block.capacity() - self.last_block.len());
        let mut length = self.length + bytes - left;
        let mut charge = self.allocated;
        while left > 0 {
            let block = self.block_size(length);
            charge += block + BLOCK_OVERHEAD_BYTES;
            length += block.min(left);
            left -= block.min(left);
        }
        charge
    }

    /// Appends a piece. Bytes beyond the announced length are kept too.
    pub fn append(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let free = self.last_block.capacity() - self.last_block.len();
            if free == 0 {
                self.begin_block();
                continue;
            }
            let (head, rest) = piece.split_at(free.min(piece.len()));
            self.last_block.extend_from_slice(head);
            self.length += head.len();
            piece = rest;
        }
    }

    /// Returns the blocks; none if nothing was appended.
    pub fn into_blocks(mut self) -> Vec<Bytes> {
        self.end_block();
        self.full_blocks
    }

    /// Returns the size of a block that begins at this position of the body.
    fn block_size(&self, position: usize) -> usize {
        match self.announced {
            Some(announced) if announced > position => {
                (announced - position).min(self.max_block_bytes)
            }
            _ => position.clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES),
        }
    }

    fn begin_block(&mut self) {
        self.end_block();
        let size = self.block_size(self.length);
        self.last_block = Vec::with_capacity(size);
        self.allocated += size + BLOCK_OVERHEAD_BYTES;
    }

    fn end_block(&mut self) {
        let block = std::mem::take(&mut self.last_block);
        if !block.is_empty() {
            self.full_blocks.push(Bytes::from(block));
        }
    }
}
