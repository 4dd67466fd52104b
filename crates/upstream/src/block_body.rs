//! A body that is held in blocks.

use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::any::Any;
use std::convert::Infallible;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};

/// Number of blocks after which other tasks have their turn.
const BLOCKS_PER_TURN: usize = 2;

/// A complete body in blocks, which are sent without being copied. Clones share the blocks and send
/// them from the first one on.
#[derive(Clone, Default)]
pub struct BlockBody {
    blocks: Rc<[Bytes]>,
    /// Number of blocks that have been sent.
    sent_blocks: usize,
    /// Number of bytes that have not been sent.
    bytes_left: usize,
    /// Number of blocks that may be sent before other tasks have their turn.
    blocks_in_turn: usize,
    /// What the blocks need as long as they are held, such as reserved memory.
    _owner: Option<Rc<dyn Any>>,
}

impl BlockBody {
    /// Creates a body. `owner` is dropped once no clone is left.
    pub fn new(blocks: Vec<Bytes>, owner: Option<Rc<dyn Any>>) -> BlockBody {
        let bytes_left = blocks.iter().map(Bytes::len).sum();
        BlockBody {
            blocks: blocks.into(),
            sent_blocks: 0,
            bytes_left,
            blocks_in_turn: BLOCKS_PER_TURN,
            _owner: owner,
        }
    }

    /// Returns the number of bytes that have not been sent.
    pub fn len(&self) -> usize {
        self.bytes_left
    }

    /// Returns whether no bytes are left to send.
    pub fn is_empty(&self) -> bool {
        self.bytes_left == 0
    }
}

impl From<Bytes> for BlockBody {
    fn from(bytes: Bytes) -> BlockBody {
        let blocks = if bytes.is_empty() {
            Vec::new()
        } else {
            vec![bytes]
        };
        BlockBody::new(blocks, None)
    }
}

impl std::fmt::Debug for BlockBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("BlockBody")
            .field("bytes_left", &self.bytes_left)
            .finish_non_exhaustive()
    }
}

impl Body for BlockBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.blocks_in_turn == 0 && !self.is_empty() {
            self.blocks_in_turn = BLOCKS_PER_TURN;
            // The first poll lets the runtime wake this task after it has looked for I/O events, so
            // that a task that waits for one has its turn too.
            let _ = pin!(tokio::task::yield_now()).poll(cx);
            return Poll::Pending;
        }
        let Some(block) = self.blocks.get(self.sent_blocks).cloned() else {
            return Poll::Ready(None);
        };
        self.sent_blocks += 1;
        self.blocks_in_turn -= 1;
        self.bytes_left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes_left as u64)
    }
}
