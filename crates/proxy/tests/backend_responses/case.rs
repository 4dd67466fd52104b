//! The record of one test case.

use crate::common::http::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// What a backend received and wrote on one connection.
#[derive(Default)]
pub struct ConnectionLog {
    /// All bytes that the backend wrote.
    pub written: Vec<u8>,
    /// For each write, the time after it and the total bytes written by then.
    pub write_times: Vec<(u64, usize)>,
    /// Each complete request, and the number of bytes written before it.
    pub requests: Vec<(Message, usize)>,
    /// What the backend did before the request was complete.
    pub early_responses: Vec<EarlyResponse>,
}

/// What a backend did with a request before it was complete: it responded, wrote other bytes, or
/// ended the connection.
pub struct EarlyResponse {
    /// The request's id.
    pub id: String,
    /// Offset in [`ConnectionLog::written`] at which the response begins.
    pub from: usize,
    /// Whether the backend had the complete head, so that it may have begun to work.
    pub had_head: bool,
}

/// A request as a client sent it.
#[derive(Clone)]
pub struct SentRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub at_most_once: bool,
    pub time: u64,
}

/// The requests of all clients and the connections of all backends in one case.
#[derive(Default)]
pub struct TestCase {
    /// Logical time: each reading is later than the previous ones.
    pub time: Cell<u64>,
    pub logs: RefCell<Vec<Rc<RefCell<ConnectionLog>>>>,
    pub sent: RefCell<HashMap<String, SentRequest>>,
    /// The responses that clients received.
    pub received: RefCell<Vec<(String, Message)>>,
}

impl TestCase {
    pub fn now(&self) -> u64 {
        self.time.set(self.time.get() + 1);
        self.time.get()
    }
}
