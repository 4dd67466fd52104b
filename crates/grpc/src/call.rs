//! One call of a client: which parts of its attempts the client sees, and its one final status.
//!
//! Invariants: nothing of an attempt is sent before the call is committed or served (gRFC A6, "When
//! Retries are Valid"), the buffered response is bounded, and the final status is sent once.

use crate::attempt::End;
use crate::headers::{GRPC_MESSAGE, GRPC_STATUS, RETRY_PUSHBACK};
use crate::percent_encoding;
use crate::status::Code;
use crate::Shape;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use maplefall_policy::{Millis, Outcome};
use std::collections::VecDeque;

/// Pushback that forbids a retry (gRFC A6).
const NO_RETRY: &str = "-1";

/// Result of a call in the platform's terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallResult {
    /// The client received the application's response, whatever its status.
    Served,
    /// The call did not run, or is idempotent, so that the client may retry.
    Rejected,
    /// The call may have run.
    Failed,
}

/// What to do next for the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Nothing to send. Reports to the decision module that the call can have no further attempt.
    Commit,
    /// Send the response head.
    Head(HeaderMap),
    /// Send bytes of the response's messages.
    Data(Bytes),
    /// Send the final status, once: as trailers if a head was sent, else as a `Trailers-Only`
    /// response.
    Final(CallResult, HeaderMap),
}

/// Error of a call that is committed or has its final status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the call can have no further attempt")]
pub struct Closed;

/// A call. Until the call is committed, the response of the current attempt is buffered, so that a
/// retry can replace it.
#[derive(Debug)]
pub struct Call {
    shape: Shape,
    deadline: Millis,
    /// Buffered response bytes beyond which the call is committed.
    max_buffered_bytes: usize,
    /// Attempts of the call begun so far.
    attempts: u32,
    current_attempt: Option<u32>,
    buffered: VecDeque<Output>,
    buffered_bytes: usize,
    committed: bool,
    finished: bool,
    /// How the last attempt ended, and its trailers.
    last_end: Option<(End, HeaderMap)>,
}

impl Call {
    /// A call whose client waits until `deadline`, in milliseconds of the caller's clock. A
    /// response of more than `max_buffered_bytes` commits it.
    pub fn new(shape: Shape, deadline: Millis, max_buffered_bytes: usize) -> Call {
        Call {
            shape,
            deadline,
            max_buffered_bytes,
            attempts: 0,
            current_attempt: None,
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            committed: false,
            finished: false,
            last_end: None,
        }
    }

    /// The client's deadline.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Cardinality of the method's messages.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Whether the call is committed to its current attempt.
    pub fn committed(&self) -> bool {
        self.committed
    }

    /// Begins an attempt and returns its number, from 0. The buffered response of the previous
    /// attempt is dropped.
    ///
    /// # Errors
    /// [`Closed`] if the call is committed or has its final status.
    pub fn begin(&mut self) -> Result<u32, Closed> {
        if self.finished || self.committed {
            return Err(Closed);
        }
        let number = self.attempts;
        self.attempts += 1;
        self.current_attempt = Some(number);
        self.drop_buffered();
        Ok(number)
    }

    fn drop_buffered(&mut self) {
        self.buffered.clear();
        self.buffered_bytes = 0;
    }

    /// Moves the buffered outputs to `outputs`.
    fn flush(&mut self, outputs: &mut Vec<Output>) {
        outputs.extend(self.buffered.drain(..));
        self.buffered_bytes = 0;
    }

    /// Whether this is the current attempt of an open call.
    fn is_current(&self, attempt: u32) -> bool {
        !self.finished && self.current_attempt == Some(attempt)
    }

    /// Handles the response head of an attempt. Ignored unless the attempt is the current one.
    pub fn head(&mut self, attempt: u32, head: HeaderMap, outputs: &mut Vec<Output>) {
        if self.is_current(attempt) {
            self.buffer_or_send(Output::Head(head), 0, outputs);
            // The client of a bidirectional stream may wait for the response head before it sends
            // its first message, so the head is sent at once, which commits the call.
            if self.shape == Shape::Bidi {
                self.commit(outputs);
            }
        }
    }

    /// Handles response bytes of an attempt. Ignored unless the attempt is the current one.
    pub fn data(&mut self, attempt: u32, data: Bytes, outputs: &mut Vec<Output>) {
        // Empty frames are dropped: an endless series would grow the buffer without counting any
        // bytes.
        if self.is_current(attempt) && !data.is_empty() {
            let length = data.len();
            self.buffer_or_send(Output::Data(data), length, outputs);
            // Messages of a stream are forwarded as they arrive; a unary response has no value
            // before its status.
            let over_limit = self.buffered_bytes > self.max_buffered_bytes;
            if !self.committed && (self.shape.response_streams() || over_limit) {
                self.commit(outputs);
            }
        }
    }

    fn buffer_or_send(&mut self, output: Output, length: usize, outputs: &mut Vec<Output>) {
        if self.committed {
            outputs.push(output);
        } else {
            self.buffered_bytes += length;
            self.buffered.push_back(output);
        }
    }

    /// Commits the call to its current attempt and sends the buffered outputs.
    pub fn commit(&mut self, outputs: &mut Vec<Output>) {
        if !self.finished && !self.committed {
            self.committed = true;
            outputs.push(Output::Commit);
            self.flush(outputs);
        }
    }

    /// Records the end of an attempt, with these trailers. The decision module decides whether
    /// another attempt follows.
    pub fn ended(&mut self, attempt: u32, end: End, trailers: HeaderMap) {
        if !self.is_current(attempt) {
            return;
        }
        self.current_attempt = None;
        self.last_end = Some((end, trailers));
    }

    /// Ends the call because the client cancelled it or the client's connection broke: nothing more
    /// is sent.
    pub fn cancel(&mut self) {
        self.finished = true;
        self.current_attempt = None;
        self.drop_buffered();
    }

    /// Whether the call has its final status or was cancelled.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Ends the call with the complete response of the last attempt.
    pub fn serve(&mut self, outputs: &mut Vec<Output>) {
        match self.last_end.take() {
            Some((end, trailers)) if end.outcome == Outcome::Ok => {
                if !self.finished {
                    self.flush(outputs);
                }
                self.finish(CallResult::Served, trailers, outputs);
            }
            // Without a successful attempt there is no status to serve: the call fails, since an
            // invented status would be worse.
            last_end => {
                self.last_end = last_end;
                self.fail(f64::NEG_INFINITY, outputs);
            }
        }
    }

    /// Rejects the call. The client may retry, after `retry_after` if given.
    pub fn reject(&mut self, retry_after: Option<Millis>, outputs: &mut Vec<Output>) {
        let text = match &self.last_end {
            Some((end, _)) => format!(
                "refused; trying again is harmless ({:?}: {})",
                end.code, end.reason
            ),
            None => "refused; trying again is harmless".to_owned(),
        };
        let mut trailers = status_trailers(Code::Unavailable, &text);
        if let Some(retry_after) = retry_after.filter(|time| time.is_finite()) {
            insert(
                &mut trailers,
                RETRY_PUSHBACK,
                &format!("{}", retry_after.max(0.0).ceil() as u64),
            );
        }
        self.finish(CallResult::Rejected, trailers, outputs);
    }

    /// Fails the call, which may have run, with a status that client libraries do not retry and a
    /// pushback that forbids retries.
    pub fn fail(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let timed_out = now >= self.deadline || self.current_attempt.is_some();
        let mut trailers = match self.last_end.take() {
            _ if timed_out => deadline_status(),
            None => status_trailers(Code::Unknown, "it may have run"),
            Some((end, _)) if end.code.is_retried_by_clients() => status_trailers(
                Code::Unknown,
                &format!("it may have run ({:?}: {})", end.code, end.reason),
            ),
            // The last attempt ended with the backend's own status.
            Some((end, trailers)) if end.reason.is_empty() => trailers,
            Some((end, _)) => status_trailers(end.code, end.reason),
        };
        forbid_retries(&mut trailers);
        self.finish(CallResult::Failed, trailers, outputs);
    }

    /// Fails the call with a status of the gateway's own, such as for a malformed call or a caller
    /// without permission.
    pub fn fail_with_status(&mut self, code: Code, reason: &str, outputs: &mut Vec<Output>) {
        self.finish(CallResult::Failed, status_trailers(code, reason), outputs);
    }

    fn finish(&mut self, result: CallResult, trailers: HeaderMap, outputs: &mut Vec<Output>) {
        if !self.finished {
            self.finished = true;
            self.current_attempt = None;
            self.drop_buffered();
            outputs.push(Output::Final(result, trailers));
        }
    }
}

/// Trailers with a status and, unless `text` is empty, a message.
pub fn status_trailers(code: Code, text: &str) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    insert(&mut trailers, GRPC_STATUS, &code.number().to_string());
    if !text.is_empty() {
        insert(&mut trailers, GRPC_MESSAGE, &percent_encoding::encode(text));
    }
    trailers
}

/// Trailers of a call that failed because its deadline passed.
pub(crate) fn deadline_status() -> HeaderMap {
    let mut trailers = status_trailers(Code::DeadlineExceeded, "no answer in time");
    forbid_retries(&mut trailers);
    trailers
}

fn forbid_retries(trailers: &mut HeaderMap) {
    insert(trailers, RETRY_PUSHBACK, NO_RETRY);
}

fn insert(trailers: &mut HeaderMap, name: HeaderName, value: &str) {
    // All values written here are printable ASCII, so the conversion does not fail.
    if let Ok(value) = HeaderValue::from_str(value) {
        trailers.insert(name, value);
    }
}
