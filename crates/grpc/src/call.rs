//! One call of a client: what of its attempts may be seen, and its one final status.

use crate::attempt::{End, GRPC_MESSAGE, GRPC_STATUS};
use crate::status::Code;
use crate::text;
use crate::Shape;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use maplefall_policy::{Millis, Outcome};
use std::collections::VecDeque;

/// When to call again, in milliseconds, or `-1`: not at all (gRFC A6).
pub const PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");

/// How a call ended, in the platform's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Result {
    /// The application's answer, whatever its status.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Nothing promised.
    Failed,
}

/// What the client is to be sent next.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Nothing to the client: the call can have no further attempt from now on, and the decision module is to be told.
    Commit,
    /// The head of the answer.
    Head(HeaderMap),
    /// Bytes of its messages.
    Data(Bytes),
    /// The end, once: trailers if a head has gone out, else the head alone.
    Final(Result, HeaderMap),
}

/// A call. Until it is committed nothing of an attempt goes out, so that another may take its place.
#[derive(Debug)]
pub struct Call {
    shape: Shape,
    deadline: Millis,
    /// Bytes of an answer that are held back at most.
    most: usize,
    attempts: u32,
    /// The attempt that is out.
    out: Option<u32>,
    held: VecDeque<Output>,
    bytes: usize,
    committed: bool,
    over: bool,
    /// How the last attempt ended, and its trailers.
    last: Option<(End, HeaderMap)>,
}

/// The call has its final status, or can have no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl Call {
    /// A call whose client waits until `deadline`; at most `most` bytes of an answer are held back.
    pub fn new(shape: Shape, deadline: Millis, most: usize) -> Call {
        Call {
            shape,
            deadline,
            most,
            attempts: 0,
            out: None,
            held: VecDeque::new(),
            bytes: 0,
            committed: false,
            over: false,
            last: None,
        }
    }

    /// When its client gives up.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// How its messages go.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Whether it can have no further attempt.
    pub fn committed(&self) -> bool {
        self.committed
    }

    /// An attempt begins; its number, from 0. What was held of an earlier one is dropped.
    ///
    /// # Errors
    /// If the call can have none.
    pub fn begin(&mut self) -> std::result::Result<u32, Closed> {
        if self.over || self.committed {
            return Err(Closed);
        }
        let number = self.attempts;
        self.attempts += 1;
        self.out = Some(number);
        self.drop_held();
        Ok(number)
    }

    fn drop_held(&mut self) {
        self.held.clear();
        self.bytes = 0;
    }

    fn hears(&self, attempt: u32) -> bool {
        !self.over && self.out == Some(attempt)
    }

    /// The head of an attempt's answer.
    pub fn head(&mut self, attempt: u32, head: HeaderMap, outputs: &mut Vec<Output>) {
        if self.hears(attempt) {
            self.pass(Output::Head(head), 0, outputs);
            // Its client may wait for this before it says anything.
            if self.shape == Shape::Bidi {
                self.commit(outputs);
            }
        }
    }

    /// Bytes of an attempt's answer.
    pub fn data(&mut self, attempt: u32, data: Bytes, outputs: &mut Vec<Output>) {
        // An empty frame says nothing, and without end they would take no room by their bytes.
        if self.hears(attempt) && !data.is_empty() {
            let length = data.len();
            self.pass(Output::Data(data), length, outputs);
            // A stream's messages are wanted as they come; a unary answer is worth nothing before its status.
            if !self.committed && (self.shape.answer_streams() || self.bytes > self.most) {
                self.commit(outputs);
            }
        }
    }

    fn pass(&mut self, output: Output, length: usize, outputs: &mut Vec<Output>) {
        if self.committed {
            outputs.push(output);
        } else {
            self.bytes += length;
            self.held.push_back(output);
        }
    }

    /// The call can have no further attempt: what it holds goes out.
    pub fn commit(&mut self, outputs: &mut Vec<Output>) {
        if !self.over && !self.committed {
            self.committed = true;
            outputs.push(Output::Commit);
            outputs.extend(self.held.drain(..));
            self.bytes = 0;
        }
    }

    /// An attempt has ended, with these trailers. Whether another follows is not decided here.
    pub fn ended(&mut self, attempt: u32, end: End, trailers: HeaderMap) {
        if !self.hears(attempt) {
            return;
        }
        self.out = None;
        self.last = Some((end, trailers));
    }

    /// Its client has gone: nothing goes out any more.
    pub fn gone(&mut self) {
        self.over = true;
        self.out = None;
        self.drop_held();
    }

    /// Whether it has its final status, or nobody waits for one.
    pub fn over(&self) -> bool {
        self.over
    }

    /// It is served: the last attempt's answer goes out whole.
    pub fn serve(&mut self, outputs: &mut Vec<Output>) {
        match self.last.take() {
            Some((end, trailers)) if end.outcome == Outcome::Ok => {
                if !self.over {
                    outputs.extend(self.held.drain(..));
                    self.bytes = 0;
                }
                self.finish(Result::Served, trailers, outputs);
            }
            // Nobody says so without such an attempt; a status made of nothing would be worse than a failure.
            last => {
                self.last = last;
                self.fail(f64::NEG_INFINITY, outputs);
            }
        }
    }

    /// It is refused: trying again is harmless, after this time where it is advised.
    pub fn refuse(&mut self, wait: Option<Millis>, outputs: &mut Vec<Output>) {
        let text = match &self.last {
            Some((end, _)) => format!(
                "refused; trying again is harmless ({:?}: {})",
                end.code, end.why
            ),
            None => "refused; trying again is harmless".to_owned(),
        };
        let mut trailers = status(Code::Unavailable, &text);
        if let Some(wait) = wait.filter(|wait| wait.is_finite()) {
            insert(
                &mut trailers,
                PUSHBACK,
                &format!("{}", wait.max(0.0).ceil() as u64),
            );
        }
        self.finish(Result::Refused, trailers, outputs);
    }

    /// It has failed: it may have run. No status says so that client libraries answer with a call of their own, and the
    /// pushback tells them not to.
    pub fn fail(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let late = now >= self.deadline || self.out.is_some();
        let mut trailers = match self.last.take() {
            _ if late => status(Code::DeadlineExceeded, "no answer in time"),
            None => status(Code::Unknown, "it may have run"),
            Some((end, _)) if end.code.invites_repeats() => status(
                Code::Unknown,
                &format!("it may have run ({:?}: {})", end.code, end.why),
            ),
            // The backend's own word, if it is one.
            Some((end, trailers)) if end.why.is_empty() => trailers,
            Some((end, _)) => status(end.code, end.why),
        };
        insert(&mut trailers, PUSHBACK, "-1");
        self.finish(Result::Failed, trailers, outputs);
    }

    /// It ends by this status without having been let in: it is malformed, or its caller may not.
    pub fn turn_down(&mut self, code: Code, why: &str, outputs: &mut Vec<Output>) {
        self.finish(Result::Failed, status(code, why), outputs);
    }

    fn finish(&mut self, result: Result, trailers: HeaderMap, outputs: &mut Vec<Output>) {
        if !self.over {
            self.over = true;
            self.out = None;
            self.drop_held();
            outputs.push(Output::Final(result, trailers));
        }
    }
}

/// Trailers of a status.
pub fn status(code: Code, text: &str) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    insert(&mut trailers, GRPC_STATUS, &code.number().to_string());
    if !text.is_empty() {
        insert(&mut trailers, GRPC_MESSAGE, &text::encode(text));
    }
    trailers
}

fn insert(trailers: &mut HeaderMap, name: HeaderName, value: &str) {
    // What is written here is printable ASCII.
    if let Ok(value) = HeaderValue::from_str(value) {
        trailers.insert(name, value);
    }
}
