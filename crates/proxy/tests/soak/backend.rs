//! A backend that takes time for its responses, and stops working on a request when its connection
//! closes.

use super::common::http::parse_request;
use super::common::random::Random;
use super::World;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Maximum work time of most requests, in milliseconds.
const MAX_WORK_MS: usize = 60;
/// Work time of requests with `long` in their path: their clients disconnect before the response.
const LONG_WORK: Duration = Duration::from_millis(4000);

pub struct SoakBackend {
    world: Rc<World>,
}

/// What a backend does with a request.
#[derive(Clone, Copy)]
enum Behaviour {
    Respond,
    /// Rejects the request for lack of capacity, and states that it has not run.
    Reject,
    /// Runs the request and closes the connection without a response.
    RunAndClose,
}

impl SoakBackend {
    /// Starts a backend on a loopback port.
    pub async fn listen(world: Rc<World>, seed: u64) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let backend = Rc::new(SoakBackend { world });
        tokio::task::spawn_local(async move {
            let mut connections = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connections += 1;
                let random = Random::new(seed * 100_003 + connections);
                tokio::task::spawn_local(backend.clone().serve(stream, random));
            }
        });
        address
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, mut random: Random) {
        let (mut buffer, mut chunk) = (Vec::new(), [0_u8; 4096]);
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            buffer.extend_from_slice(&chunk[..count]);
            let Ok((request, end)) = parse_request(&buffer, 0) else {
                continue;
            };
            buffer.drain(..end);
            let id = request
                .single("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let behaviour = match random.below(100) {
                0..8 => Behaviour::Reject,
                8..10 => Behaviour::RunAndClose,
                _ => Behaviour::Respond,
            };
            if matches!(behaviour, Behaviour::Reject) {
                let text = format!("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(text.as_bytes()).await;
                continue;
            }
            let work = if request.start.contains("long") {
                LONG_WORK
            } else {
                Duration::from_millis(random.below(MAX_WORK_MS) as u64)
            };
            let finished = self.work(&id, &mut stream, work).await;
            if !finished || matches!(behaviour, Behaviour::RunAndClose) {
                return;
            }
            let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
            let _ = stream.write_all(text.as_bytes()).await;
        }
    }

    /// Works on a request until it is done or the connection closes; returns whether it is done.
    async fn work(&self, id: &str, stream: &mut TcpStream, work: Duration) -> bool {
        self.world.update_attempt(id, |attempt| {
            attempt.runs += 1;
            attempt.working_backends += 1;
        });
        let mut byte = [0_u8; 1];
        let finished = tokio::select! {
            () = tokio::time::sleep(work) => true,
            _ = stream.peek(&mut byte) => false,
        };
        self.world.update_attempt(id, |attempt| {
            attempt.working_backends -= 1;
            attempt.work_ended_at = Some(Instant::now());
        });
        finished
    }
}
