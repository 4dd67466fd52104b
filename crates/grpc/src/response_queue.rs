//! What is to be sent to a call's client, in order.
//!
//! Invariants: before the client's deadline nothing is dropped but a message that its backend has not finished; a message is begun
//! once it is complete, or longer than the queue may be; the status is last.

use crate::call::{deadline_status, CallResult, Output};
use crate::frames::Frames;
use std::collections::VecDeque;

/// What is sent to a client next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextOutput {
    /// So many bytes of messages.
    Data(usize),
    /// The head or the status.
    Other,
}

/// The part of a response that its client has not taken yet.
#[derive(Debug)]
pub struct ResponseQueue {
    outputs: VecDeque<Output>,
    /// Bytes of messages in `outputs`.
    queued_bytes: usize,
    max_bytes: usize,
    /// Position at the end of the queue.
    received: Frames,
}

impl ResponseQueue {
    /// An empty queue. Beyond `max_bytes` of messages it [is full](Self::is_full).
    pub fn new(max_bytes: usize) -> ResponseQueue {
        ResponseQueue {
            outputs: VecDeque::new(),
            queued_bytes: 0,
            max_bytes,
            received: Frames::default(),
        }
    }

    /// Whether no more is to be received from the backend until the client has taken something.
    pub fn is_full(&self) -> bool {
        self.queued_bytes > self.max_bytes
    }

    /// Appends an output. A status ends the response: a message that has begun and of which nothing is sent yet is dropped, since
    /// client libraries take half of a message before a status for an error of the transport.
    pub fn push(&mut self, output: Output) {
        match &output {
            Output::Data(data) => {
                self.queued_bytes += data.len();
                // An attempt whose messages cannot be told apart has ended before.
                let _ = self.received.take(data);
            }
            Output::Final(..) => self.drop_incomplete_message(),
            Output::Head(_) | Output::Commit => {}
        }
        self.outputs.push_back(output);
    }

    /// What is sent next; `None` while there is nothing to send.
    pub fn next(&self) -> Option<NextOutput> {
        match self.outputs.front()? {
            Output::Data(data) => match data.len().min(self.sendable_bytes()) {
                0 => None,
                length => Some(NextOutput::Data(length)),
            },
            _ => Some(NextOutput::Other),
        }
    }

    /// Takes what is sent next; of messages `max` bytes at most.
    pub fn take(&mut self, max: usize) -> Option<Output> {
        let Some(NextOutput::Data(length)) = self.next() else {
            return self.next().and_then(|_| self.outputs.pop_front());
        };
        let length = length.min(max);
        self.queued_bytes -= length;
        match self.outputs.front_mut() {
            Some(Output::Data(data)) if data.len() > length => {
                Some(Output::Data(data.split_to(length)))
            }
            _ => self.outputs.pop_front(),
        }
    }

    /// The client's deadline has passed: drops all messages, so that the status does not wait until the client reads on. A response
    /// that is not complete any more does not count as served.
    pub fn expire(&mut self) {
        if self.queued_bytes == 0 {
            return;
        }
        self.queued_bytes = 0;
        self.outputs
            .retain(|output| !matches!(output, Output::Data(_)));
        if let Some(Output::Final(result @ CallResult::Served, trailers)) = self.outputs.back_mut()
        {
            *result = CallResult::Failed;
            *trailers = deadline_status();
        }
    }

    /// Bytes that may be sent: all up to the end of the last complete message, and those of a message that is begun or too long to
    /// be held.
    fn sendable_bytes(&self) -> usize {
        if self.is_full() {
            return self.queued_bytes;
        }
        self.queued_bytes - self.unsent_incomplete_bytes()
    }

    /// Bytes of a message that is incomplete at the end of the queue, if none of it is sent.
    fn unsent_incomplete_bytes(&self) -> usize {
        let bytes = self.received.bytes_in_message();
        if bytes <= self.queued_bytes {
            bytes
        } else {
            0
        }
    }

    fn drop_incomplete_message(&mut self) {
        let mut left = self.unsent_incomplete_bytes();
        self.queued_bytes -= left;
        self.received = Frames::default();
        while left > 0 {
            let Some(Output::Data(data)) = self.outputs.back_mut() else {
                return;
            };
            let dropped = left.min(data.len());
            left -= dropped;
            data.truncate(data.len() - dropped);
            if data.is_empty() {
                self.outputs.pop_back();
            }
        }
    }
}
