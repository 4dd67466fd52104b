//! A client that sends one request after the other on its connection while that is open, and
//! sometimes disconnects.

use super::common::http::Message;
use super::common::random::Random;
use super::common::slow_backend::read_response;
use super::{RequestKind, World};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Percentage of the requests whose client disconnects before the response.
const DISCONNECT_PERCENT: usize = 15;
const MAX_TIME_TO_DISCONNECT_MS: usize = 50;

/// Outcome of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client received a response with this status.
    Responded(u16),
    /// The connection was closed without a response.
    Closed,
    /// The client disconnected.
    Disconnected,
}

pub struct Client {
    world: Rc<World>,
    random: Random,
}

impl Client {
    pub fn new(world: Rc<World>, seed: u64) -> Client {
        Client {
            world,
            random: Random::new(seed),
        }
    }

    pub async fn run(mut self) {
        while !self.world.is_finished.get() {
            let proxies = self.world.proxies.borrow().clone();
            let proxy = self.random.one_of(&proxies);
            // A stopped proxy refuses connections; the client then draws a proxy again.
            match TcpStream::connect(proxy).await {
                Ok(stream) => self.use_connection(stream).await,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Sends requests until the connection ends or the run is over.
    async fn use_connection(&mut self, mut stream: TcpStream) {
        while !self.world.is_finished.get() {
            let disconnects = self.random.percent(DISCONNECT_PERCENT);
            let (kind, path) = match self.random.below(3) {
                0 => (RequestKind::Idempotent, "/safe/"),
                1 => (RequestKind::Idempotent, "/patient/"),
                _ => (RequestKind::NonIdempotent, "/once/"),
            };
            // Slow requests are idempotent ones whose clients disconnect.
            let is_long = disconnects && kind == RequestKind::Idempotent;
            let path = format!("{path}{}", if is_long { "long" } else { "a" });
            let id = self.world.begin_attempt(kind);
            let pending_response = send_request(&mut stream, &path, &id);
            let time_to_disconnect =
                Duration::from_millis(self.random.below(MAX_TIME_TO_DISCONNECT_MS) as u64);
            let response = if disconnects {
                tokio::time::timeout(time_to_disconnect, pending_response)
                    .await
                    .ok()
            } else {
                Some(pending_response.await)
            };
            let Some(response) = response else {
                drop(stream);
                return self.record_outcome(&id, Outcome::Disconnected);
            };
            let Ok(message) = response else {
                return self.record_outcome(&id, Outcome::Closed);
            };
            let response_id = message.single("x-attempt-id");
            assert_eq!(
                response_id,
                Some(id.as_str()),
                "response to another request"
            );
            self.record_outcome(&id, Outcome::Responded(message.status()));
            if message.closes() {
                return;
            }
        }
    }

    fn record_outcome(&self, id: &str, outcome: Outcome) {
        self.world.update_attempt(id, |attempt| {
            attempt.outcome = Some((outcome, Instant::now()));
        });
    }
}

async fn send_request(stream: &mut TcpStream, path: &str, id: &str) -> std::io::Result<Message> {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 8000\r\nContent-Length: 2\r\n\r\nab"
    );
    stream.write_all(text.as_bytes()).await?;
    read_response(stream).await
}
