//! A call between its client's stream and its attempts: what goes either way, in bounded queues.

use hyper::body::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Uri};
use maplefall_grpc::{Call, Closed, End, Next, Output, Replay, Shape};
use maplefall_policy::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// Bytes on their way to a client that is slow to take them, at which an attempt stops reading.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// A call on its way.
pub struct ProxiedCall {
    /// Where it goes at a backend.
    pub path: PathAndQuery,
    /// What it names as its host.
    pub authority: String,
    /// Its metadata, less what belongs to the hop.
    pub metadata: HeaderMap,
    call: RefCell<Call>,
    replay: RefCell<Replay>,
    outputs: RefCell<VecDeque<Output>>,
    queued: Cell<usize>,
    /// Who waits for something to send to the client.
    output_waker: Cell<Option<Waker>>,
    /// The client has taken something.
    output_taken: Notify,
    /// The client has sent something.
    upload_added: Notify,
    /// An attempt has taken something that the client sent.
    upload_taken: Notify,
}

impl ProxiedCall {
    /// A call of this shape whose client waits until `deadline`.
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
            outputs: RefCell::default(),
            queued: Cell::new(0),
            output_waker: Cell::new(None),
            output_taken: Notify::new(),
            upload_added: Notify::new(),
            upload_taken: Notify::new(),
        }
    }

    /// When its client gives up.
    pub fn deadline(&self) -> Millis {
        self.call.borrow().deadline()
    }

    /// How its messages go.
    pub fn shape(&self) -> Shape {
        self.call.borrow().shape()
    }

    /// Lets the call decide, and queues what is to go to the client. `true` if the call was committed by it: then the
    /// decision module is to be told before anything else happens.
    pub fn update(&self, decide: impl FnOnce(&mut Call, &mut Vec<Output>)) -> bool {
        let mut outputs = Vec::new();
        decide(&mut self.call.borrow_mut(), &mut outputs);
        let mut committed = false;
        for output in outputs {
            match output {
                Output::Commit => committed = true,
                output => {
                    self.queued.set(self.queued.get() + size(&output));
                    self.outputs.borrow_mut().push_back(output);
                }
            }
        }
        if let Some(waker) = self.output_waker.take() {
            waker.wake();
        }
        committed
    }

    /// An attempt begins; its number.
    pub fn begin_attempt(&self) -> Result<u32, Closed> {
        self.call.borrow_mut().begin()
    }

    /// An attempt has ended.
    pub fn end_attempt(&self, attempt: u32, end: End, trailers: HeaderMap) {
        self.call.borrow_mut().ended(attempt, end, trailers);
    }

    /// Waits until the client has taken most of what is on its way to it.
    pub async fn wait_for_capacity(&self) {
        while self.queued.get() > MAX_QUEUED_BYTES && !self.call.borrow().over() {
            self.output_taken.notified().await;
        }
    }

    // ---- To the client ------------------------------------------------------------------------------

    /// What goes to the client next, once there is something; of messages, their length alone.
    pub fn poll_output(&self, cx: &mut Context<'_>) -> Poll<NextOutput> {
        match self.outputs.borrow().front() {
            Some(Output::Data(data)) => Poll::Ready(NextOutput::Data(data.len())),
            Some(_) => Poll::Ready(NextOutput::Other),
            None => {
                self.output_waker.set(Some(cx.waker().clone()));
                Poll::Pending
            }
        }
    }

    /// Takes what goes to the client next; of messages no more than `most` bytes.
    pub fn take_output(&self, max: usize) -> Option<Output> {
        let mut outputs = self.outputs.borrow_mut();
        let taken = match outputs.front_mut() {
            Some(Output::Data(data)) if data.len() > max => Output::Data(data.split_to(max)),
            _ => outputs.pop_front()?,
        };
        self.queued.set(self.queued.get() - size(&taken));
        self.output_taken.notify_one();
        Some(taken)
    }

    /// Drops messages that the client has not taken: its time is over, and its status must not wait behind them.
    pub fn drop_messages(&self) {
        self.outputs
            .borrow_mut()
            .retain(|output| !matches!(output, Output::Data(_)));
        self.queued.set(0);
        self.output_taken.notify_one();
    }

    // ---- From the client ----------------------------------------------------------------------------

    /// The client has sent this.
    pub fn push_upload(&self, chunk: Bytes) {
        self.replay.borrow_mut().push(chunk);
        self.upload_added.notify_one();
    }

    /// The client has ended its half.
    pub fn end_upload(&self) {
        self.replay.borrow_mut().end();
        self.upload_added.notify_one();
    }

    /// Waits until more may be taken from the client.
    pub async fn wait_for_upload_capacity(&self) {
        while !self.replay.borrow().has_room() {
            self.upload_taken.notified().await;
        }
    }

    /// What comes at a place of what the client sends; waits for it. `committed` is called where the call has to be
    /// committed to go on.
    pub async fn next_upload(&self, index: u64, committed: &dyn Fn()) -> Next {
        loop {
            let next = self.replay.borrow().next(index);
            if next != Next::Wait {
                return next;
            }
            // All that can be kept has been sent and the client has more: it can't be sent again any more.
            if !self.replay.borrow().has_room() {
                if self.update(Call::commit) {
                    committed();
                }
                self.replay.borrow_mut().commit(index);
                self.upload_taken.notify_one();
            }
            self.upload_added.notified().await;
        }
    }

    /// The present attempt has taken all before a place.
    pub fn mark_sent(&self, index: u64) {
        self.replay.borrow_mut().taken(index);
        self.upload_taken.notify_one();
    }

    /// Whether the client has ended its half and sent nothing beyond a place.
    pub fn upload_ends_at(&self, index: u64) -> bool {
        self.replay.borrow().next(index) == Next::End
    }
}

/// What goes to a client next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextOutput {
    /// So many bytes of messages.
    Data(usize),
    /// A head or an end.
    Other,
}

fn size(output: &Output) -> usize {
    match output {
        Output::Data(data) => data.len(),
        _ => 0,
    }
}
