//! One call of a client: what of its attempts the client may see, and its one final status.
//!
//! Invariants: nothing of an attempt is sent before the call is committed or served (gRFC A6, "When Retries are Valid"), the
//! buffered response is bounded, and the final status is sent once.

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
    /// The client got the application's response, whatever its status.
    Served,
    /// The call did not run, or may run twice: a retry is harmless.
    Rejected,
    /// The call may have run.
    Failed,
}

/// What to do next for the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Nothing to send: from now on the call can have no further attempt, which the decision module has to know.
    Commit,
    /// Send the response head.
    Head(HeaderMap),
    /// Send bytes of the response's messages.
    Data(Bytes),
    /// Send the final status, once: as trailers if a head was sent, else as a `Trailers-Only` response.
    Final(CallResult, HeaderMap),
}

/// The call has its final status, or is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the call can have no further attempt")]
pub struct Closed;

/// A call. Until it is committed, the response of the current attempt is buffered, so that a retry may replace it.
#[derive(Debug)]
pub struct Call {
    shape: Shape,
    deadline: Millis,
    /// Buffered bytes of a response beyond which the call is committed.
    max_buffered_bytes: usize,
    /// Attempts begun so far.
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
    /// A call whose client waits until `deadline`, in milliseconds of the caller's clock. A response of more than
    /// `max_buffered_bytes` commits it.
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

    /// When the client gives up.
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

    /// Begins an attempt and returns its number, from 0. The buffered response of the attempt before is dropped.
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

    /// Sends what is buffered.
    fn flush(&mut self, outputs: &mut Vec<Output>) {
        outputs.extend(self.buffered.drain(..));
        self.buffered_bytes = 0;
    }

    /// Whether events of this attempt count.
    fn is_current(&self, attempt: u32) -> bool {
        !self.finished && self.current_attempt == Some(attempt)
    }

    /// An attempt received its response head. Ignored unless it is the current attempt.
    pub fn head(&mut self, attempt: u32, head: HeaderMap, outputs: &mut Vec<Output>) {
        if self.is_current(attempt) {
            self.buffer_or_send(Output::Head(head), 0, outputs);
            // The client may wait for the head before it sends its first message.
            if self.shape == Shape::Bidi {
                self.commit(outputs);
            }
        }
    }

    /// An attempt received bytes of its response. Ignored unless it is the current attempt.
    pub fn data(&mut self, attempt: u32, data: Bytes, outputs: &mut Vec<Output>) {
        // Empty frames are dropped: without end they would fill the buffer and count no bytes.
        if self.is_current(attempt) && !data.is_empty() {
            let length = data.len();
            self.buffer_or_send(Output::Data(data), length, outputs);
            // A stream's messages are wanted as they come; a unary response is worth nothing before its status.
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

    /// Commits the call to its current attempt and sends what is buffered.
    pub fn commit(&mut self, outputs: &mut Vec<Output>) {
        if !self.finished && !self.committed {
            self.committed = true;
            outputs.push(Output::Commit);
            self.flush(outputs);
        }
    }

    /// An attempt ended, with these trailers. The decision module decides whether another follows.
    pub fn ended(&mut self, attempt: u32, end: End, trailers: HeaderMap) {
        if !self.is_current(attempt) {
            return;
        }
        self.current_attempt = None;
        self.last_end = Some((end, trailers));
    }

    /// The client cancelled the call or its connection broke: nothing is sent any more.
    pub fn cancel(&mut self) {
        self.finished = true;
        self.current_attempt = None;
        self.drop_buffered();
    }

    /// Whether the call has its final status, or its client has gone.
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
            // Not asked for without a successful attempt; a made-up status would be worse than a failure.
            last_end => {
                self.last_end = last_end;
                self.fail(f64::NEG_INFINITY, outputs);
            }
        }
    }

    /// Rejects the call: a retry is harmless, after `wait` where that is advised.
    pub fn reject(&mut self, wait: Option<Millis>, outputs: &mut Vec<Output>) {
        let text = match &self.last_end {
            Some((end, _)) => format!(
                "refused; trying again is harmless ({:?}: {})",
                end.code, end.reason
            ),
            None => "refused; trying again is harmless".to_owned(),
        };
        let mut trailers = status_trailers(Code::Unavailable, &text);
        if let Some(wait) = wait.filter(|wait| wait.is_finite()) {
            insert(
                &mut trailers,
                RETRY_PUSHBACK,
                &format!("{}", wait.max(0.0).ceil() as u64),
            );
        }
        self.finish(CallResult::Rejected, trailers, outputs);
    }

    /// Fails the call, which may have run: with no status that client libraries retry, and a pushback that forbids retries.
    pub fn fail(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let timed_out = now >= self.deadline || self.current_attempt.is_some();
        let mut trailers = match self.last_end.take() {
            _ if timed_out => deadline_status(),
            None => status_trailers(Code::Unknown, "it may have run"),
            Some((end, _)) if end.code.is_retried_by_clients() => status_trailers(
                Code::Unknown,
                &format!("it may have run ({:?}: {})", end.code, end.reason),
            ),
            // The status is the backend's own.
            Some((end, trailers)) if end.reason.is_empty() => trailers,
            Some((end, _)) => status_trailers(end.code, end.reason),
        };
        forbid_retries(&mut trailers);
        self.finish(CallResult::Failed, trailers, outputs);
    }

    /// Ends the call with a status of the gateway's: the call is malformed, or its caller is not permitted.
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

/// Trailers with a status and, unless it is empty, its text.
pub fn status_trailers(code: Code, text: &str) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    insert(&mut trailers, GRPC_STATUS, &code.number().to_string());
    if !text.is_empty() {
        insert(&mut trailers, GRPC_MESSAGE, &percent_encoding::encode(text));
    }
    trailers
}

/// Trailers of a call that has failed because its deadline has passed.
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
