//! A call with the queues between the client's stream and the attempts.
//!
//! Invariant: the queues in both directions are bounded. A client that reads slowly stops the
//! attempt from reading. The client's upload is kept for retries up to a limit, beyond which the
//! call is committed to its attempt.

use hyper::body::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Uri};
use maplefall_grpc::{Call, Closed, End, Next, NextOutput, Output, Replay, ResponseQueue, Shape};
use maplefall_policy::Millis;
use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// Limit in bytes on the queue for the client, beyond which an attempt stops reading.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// A call in flight, with its queues.
pub struct ProxiedCall {
    /// The method, as the path at a backend.
    pub path: PathAndQuery,
    /// The client's `:authority`.
    pub authority: String,
    /// The metadata, without the headers of the client's connection.
    pub metadata: HeaderMap,
    call: RefCell<Call>,
    replay: RefCell<Replay>,
    response: RefCell<ResponseQueue>,
    /// Wakes the sender of the response once there is output.
    output_waker: Cell<Option<Waker>>,
    /// Notified when output has been sent to the client.
    output_taken: Notify,
    /// Notified when the client has uploaded a chunk or ended its half.
    upload_added: Notify,
    /// Notified when an attempt has sent part of the upload.
    upload_taken: Notify,
}

impl ProxiedCall {
    /// Creates a call of this shape whose client waits until `deadline`.
    pub fn new(
        uri: &Uri,
        metadata: HeaderMap,
        shape: Shape,
        deadline: Millis,
        max_replay_bytes: usize,
    ) -> ProxiedCall {
        ProxiedCall {
            path: uri
                .path_and_query()
                .cloned()
                .unwrap_or_else(|| PathAndQuery::from_static("/")),
            authority: uri
                .authority()
                .map_or("localhost", |authority| authority.as_str())
                .to_owned(),
            metadata,
            call: RefCell::new(Call::new(shape, deadline, max_replay_bytes)),
            replay: RefCell::new(Replay::new(max_replay_bytes)),
            response: RefCell::new(ResponseQueue::new(MAX_QUEUED_BYTES)),
            output_waker: Cell::new(None),
            output_taken: Notify::new(),
            upload_added: Notify::new(),
            upload_taken: Notify::new(),
        }
    }

    /// Returns the time until which the client waits.
    pub fn deadline(&self) -> Millis {
        self.call.borrow().deadline()
    }

    /// Returns whether client and backend send one message or many.
    pub fn shape(&self) -> Shape {
        self.call.borrow().shape()
    }

    /// Updates the call and queues the outputs for the client. `true` if this committed the call:
    /// the decision module must then be notified before anything else happens.
    pub fn update(&self, decide: impl FnOnce(&mut Call, &mut Vec<Output>)) -> bool {
        let mut outputs = Vec::new();
        decide(&mut self.call.borrow_mut(), &mut outputs);
        let mut committed = false;
        for output in outputs {
            match output {
                Output::Commit => committed = true,
                output => self.response.borrow_mut().push(output),
            }
        }
        if let Some(waker) = self.output_waker.take() {
            waker.wake();
        }
        committed
    }

    /// Begins an attempt and returns its number.
    ///
    /// # Errors
    /// The call is committed or has its status already.
    pub fn begin_attempt(&self) -> Result<u32, Closed> {
        self.call.borrow_mut().begin()
    }

    /// Ends an attempt.
    pub fn end_attempt(&self, attempt: u32, end: End, trailers: HeaderMap) {
        self.call.borrow_mut().ended(attempt, end, trailers);
    }

    /// Waits until the queue for the client holds [`MAX_QUEUED_BYTES`] at most.
    pub async fn wait_for_capacity(&self) {
        while self.response.borrow().is_full() && !self.call.borrow().is_finished() {
            self.output_taken.notified().await;
        }
    }

    // ---- To the client ------------------------------------------------------------------------

    /// Returns the next output for the client, once there is one.
    pub fn poll_output(&self, cx: &mut Context<'_>) -> Poll<NextOutput> {
        match self.response.borrow().next() {
            Some(next) => Poll::Ready(next),
            None => {
                self.output_waker.set(Some(cx.waker().clone()));
                Poll::Pending
            }
        }
    }

    /// Takes the next output for the client; at most `max` bytes of messages.
    pub fn take_output(&self, max: usize) -> Option<Output> {
        let taken = self.response.borrow_mut().take(max);
        self.output_taken.notify_one();
        taken
    }

    /// Records that the client's deadline has passed: unread output is dropped, and the status is
    /// sent without waiting for the client to read.
    pub fn expire(&self) {
        self.response.borrow_mut().expire();
        self.output_taken.notify_one();
    }

    // ---- From the client ----------------------------------------------------------------------

    /// Adds a chunk of the client's upload.
    pub fn push_upload(&self, chunk: Bytes) {
        self.replay.borrow_mut().push(chunk);
        self.upload_added.notify_one();
    }

    /// Records that the client has ended its half of the stream.
    pub fn end_upload(&self) {
        self.replay.borrow_mut().end();
        self.upload_added.notify_one();
    }

    /// Waits until more may be read from the client.
    pub async fn wait_for_upload_capacity(&self) {
        while !self.replay.borrow().has_capacity() {
            self.upload_taken.notified().await;
        }
    }

    /// Waits for the chunk of the upload with this index. `committed` is called if the call must be
    /// committed before the upload can continue.
    pub async fn next_upload(&self, index: u64, committed: &dyn Fn()) -> Next {
        loop {
            let next = self.replay.borrow().next(index);
            if next != Next::Wait {
                return next;
            }
            // The replay buffer is full and has been sent completely, so the rest of the upload
            // cannot be kept: no retry is possible from here on.
            if !self.replay.borrow().has_capacity() {
                if self.update(Call::commit) {
                    committed();
                }
                self.replay.borrow_mut().commit(index);
                self.upload_taken.notify_one();
            }
            self.upload_added.notified().await;
        }
    }

    /// Records that the present attempt has sent all chunks before this index.
    pub fn record_sent(&self, index: u64) {
        self.replay.borrow_mut().taken(index);
        self.upload_taken.notify_one();
    }

    /// Returns whether the client has ended its half and uploaded nothing from this index on.
    pub fn upload_ends_at(&self, index: u64) -> bool {
        self.replay.borrow().next(index) == Next::End
    }
}
