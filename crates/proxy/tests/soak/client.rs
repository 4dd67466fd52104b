//! A client that sends one request after the other on the same connection for as long as it is open, and sometimes leaves.

use super::common::http::Message;
use super::common::random::Random;
use super::common::slow_backend::read_response;
use super::{Kind, World};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Percentage of the requests whose client leaves before the response.
const LEAVES_PERCENT: usize = 15;
const MAX_PATIENCE_MS: usize = 50;

/// What became of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A response with this status.
    Answered(u16),
    /// The connection was closed without a response.
    Closed,
    /// The client left.
    Left,
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
        while !self.world.is_over.get() {
            let proxies = self.world.proxies.borrow().clone();
            let proxy = self.random.one_of(&proxies);
            // A proxy that has just gone refuses; the next one may not.
            match TcpStream::connect(proxy).await {
                Ok(stream) => self.use_connection(stream).await,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Sends requests until the connection ends or the play is over.
    async fn use_connection(&mut self, mut stream: TcpStream) {
        while !self.world.is_over.get() {
            let leaves = self.random.percent(LEAVES_PERCENT);
            let (kind, path) = match self.random.below(3) {
                0 => (Kind::Idempotent, "/safe/"),
                1 => (Kind::Idempotent, "/patient/"),
                _ => (Kind::Once, "/once/"),
            };
            // Only who leaves may ask for what takes long.
            let is_long = leaves && kind == Kind::Idempotent;
            let path = format!("{path}{}", if is_long { "long" } else { "a" });
            let id = self.world.begin_attempt(kind);
            let exchange = exchange(&mut stream, &path, &id);
            let patience = Duration::from_millis(self.random.below(MAX_PATIENCE_MS) as u64);
            let response = if leaves {
                tokio::time::timeout(patience, exchange).await.ok()
            } else {
                Some(exchange.await)
            };
            let Some(response) = response else {
                drop(stream);
                return self.ended(&id, Ended::Left);
            };
            let Ok(message) = response else {
                return self.ended(&id, Ended::Closed);
            };
            let answered = message.single("x-attempt-id");
            assert_eq!(answered, Some(id.as_str()), "it answers another request");
            self.ended(&id, Ended::Answered(message.status()));
            if message.closes() {
                return;
            }
        }
    }

    fn ended(&self, id: &str, ended: Ended) {
        self.world.change(id, |attempt| {
            attempt.ended = Some((ended, Instant::now()));
        });
    }
}

async fn exchange(stream: &mut TcpStream, path: &str, id: &str) -> std::io::Result<Message> {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 8000\r\nContent-Length: 2\r\n\r\nab"
    );
    stream.write_all(text.as_bytes()).await?;
    read_response(stream).await
}
