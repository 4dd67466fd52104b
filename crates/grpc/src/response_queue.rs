//! Outputs to be sent to a call's client, in order.
//!
//! Invariants: before the client's deadline nothing is dropped except a message that the backend
//! has not completed; sending a message begins once it is complete, or the queue is full; the
//! status is last.

use crate::call::{deadline_status, CallResult, Output};
use crate::frames::Frames;
use std::collections::VecDeque;

/// The next output to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextOutput {
    /// The next bytes of messages, with their number.
    Data(usize),
    /// The head or the status.
    Other,
}

/// The outputs of a response that the client has not taken yet.
#[derive(Debug)]
pub struct ResponseQueue {
    outputs: VecDeque<Output>,
    /// Bytes of messages in `outputs`.
    queued_bytes: usize,
    max_bytes: usize,
    /// Position in the message stream at the end of the queue.
    received: Frames,
}

impl ResponseQueue {
    /// An empty queue, which [is full](Self::is_full) beyond `max_bytes` of messages.
    pub fn new(max_bytes: usize) -> ResponseQueue {
        ResponseQueue {
            outputs: VecDeque::new(),
            queued_bytes: 0,
            max_bytes,
            received: Frames::default(),
        }
    }

    /// Whether receiving from the backend has to stop until the client has taken bytes.
    pub fn is_full(&self) -> bool {
        self.queued_bytes > self.max_bytes
    }

    /// Appends an output. A status ends the response: an incomplete message of which nothing was
    /// sent yet is dropped, since client libraries treat a truncated message before a status as a
    /// transport error.
    pub fn push(&mut self, output: Output) {
        match &output {
            Output::Data(data) => {
                self.queued_bytes += data.len();
                // The count cannot fail here: an attempt with an invalid flag has ended before its
                // bytes are queued.
                let _ = self.received.take(data);
            }
            Output::Final(..) => self.drop_incomplete_message(),
            Output::Head(_) | Output::Commit => {}
        }
        self.outputs.push_back(output);
    }

    /// The next output; `None` while there is nothing to send.
    pub fn next(&self) -> Option<NextOutput> {
        match self.outputs.front()? {
            Output::Data(data) => match data.len().min(self.sendable_bytes()) {
                0 => None,
                length => Some(NextOutput::Data(length)),
            },
            _ => Some(NextOutput::Other),
        }
    }

    /// Removes and returns the next output, with at most `max_bytes` bytes of messages.
    pub fn take(&mut self, max_bytes: usize) -> Option<Output> {
        let Some(NextOutput::Data(length)) = self.next() else {
            return self.next().and_then(|_| self.outputs.pop_front());
        };
        let length = length.min(max_bytes);
        self.queued_bytes -= length;
        match self.outputs.front_mut() {
            Some(Output::Data(data)) if data.len() > length => {
                Some(Output::Data(data.split_to(length)))
            }
            _ => self.outputs.pop_front(),
        }
    }

    /// Drops all queued messages because the client's deadline has passed, so that the status does
    /// not wait for the client to read them. A served response that loses messages becomes a failed
    /// one with the status of an expired deadline.
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

    /// Bytes that may be sent: all up to the end of the last complete message, and those of an
    /// incomplete message that was sent in part or that fills the queue.
    fn sendable_bytes(&self) -> usize {
        if self.is_full() {
            return self.queued_bytes;
        }
        self.queued_bytes - self.unsent_incomplete_bytes()
    }

    /// Bytes of the incomplete message at the end of the queue; 0 if a part of it was sent.
    fn unsent_incomplete_bytes(&self) -> usize {
        let bytes = self.received.bytes_in_message();
        if bytes <= self.queued_bytes {
            bytes
        } else {
            0
        }
    }

    fn drop_incomplete_message(&mut self) {
        let mut remaining = self.unsent_incomplete_bytes();
        self.queued_bytes -= remaining;
        self.received = Frames::default();
        while remaining > 0 {
            let Some(Output::Data(data)) = self.outputs.back_mut() else {
                return;
            };
            let dropped = remaining.min(data.len());
            remaining -= dropped;
            data.truncate(data.len() - dropped);
            if data.is_empty() {
                self.outputs.pop_back();
            }
        }
    }
}
