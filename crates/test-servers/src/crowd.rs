//! Clients that hold what a server gives them: bodies and heads that never end, idle connections,
//! responses that are read slowly or not at all. All clients of a [`Crowd`] run on one thread of
//! their own and keep their connections until the crowd is dropped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;

/// Size of the largest piece in which content is written, in bytes.
const MAX_PIECE_BYTES: usize = 64 << 10;
/// Receive buffer of the clients' sockets, in bytes: what a server cannot write stays with it.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Time after which a client whose connect fails tries again.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How often [`Crowd::wait_until_sent`] looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes that a slow reader reads at once.
const SLOW_READ_BYTES: usize = 256;
/// Time between two reads of a slow reader.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(200);
/// The content of all bodies and heads.
static CONTENT: [u8; MAX_PIECE_BYTES] = [b'c'; MAX_PIECE_BYTES];

/// How a client writes its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// As it is: the content of a body with a length, or of a head.
    Plain,
    /// Each piece in a chunk, without the last chunk.
    Chunked,
}

/// What a client does once it has written everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// It reads nothing.
    Nothing,
    /// It reads a few bytes at a time, with pauses.
    Slowly,
}

/// One client: it writes `opening`, then content, and keeps its connection open.
#[derive(Clone, Debug)]
pub struct CrowdClient {
    /// Time before the client connects.
    pub delay: Duration,
    /// What is written first: one or more heads, or a part of one.
    pub opening: String,
    /// Number of bytes of content that follow.
    pub content_bytes: usize,
    /// How the content is framed.
    pub framing: Framing,
    /// Size of the pieces in which the content is written, at most 64 KiB.
    pub piece_bytes: usize,
    /// Time between two pieces, so that each arrives alone.
    pub pause: Duration,
    /// What the client does afterwards.
    pub reading: Reading,
}

impl CrowdClient {
    /// A client that writes `opening` and nothing else, and reads nothing.
    pub fn new(opening: impl Into<String>) -> CrowdClient {
        CrowdClient {
            delay: Duration::ZERO,
            opening: opening.into(),
            content_bytes: 0,
            framing: Framing::Plain,
            piece_bytes: MAX_PIECE_BYTES,
            pause: Duration::ZERO,
            reading: Reading::Nothing,
        }
    }

    /// Connects after a delay.
    pub fn after(self, delay: Duration) -> CrowdClient {
        CrowdClient { delay, ..self }
    }

    /// Adds content, written as fast as the server reads it.
    pub fn with_content(self, content_bytes: usize) -> CrowdClient {
        CrowdClient {
            content_bytes,
            ..self
        }
    }

    /// Writes the content in pieces with pauses between them.
    pub fn in_pieces(self, framing: Framing, piece_bytes: usize, pause: Duration) -> CrowdClient {
        CrowdClient {
            framing,
            piece_bytes: piece_bytes.min(MAX_PIECE_BYTES),
            pause,
            ..self
        }
    }

    /// Reads slowly what the server sends.
    pub fn reading_slowly(self) -> CrowdClient {
        CrowdClient {
            reading: Reading::Slowly,
            ..self
        }
    }

    async fn run(self, address: SocketAddr, finished: Arc<AtomicUsize>) {
        tokio::time::sleep(self.delay).await;
        let mut stream = connect(address).await;
        // A server may refuse the client or close its connection at any time.
        let _ = self.write(&mut stream).await;
        finished.fetch_add(1, Ordering::Relaxed);
        if self.reading == Reading::Slowly {
            read_slowly(&mut stream).await;
        }
        // The connection is held until the crowd is dropped.
        std::future::pending::<()>().await;
    }

    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.opening.as_bytes()).await?;
        let mut left = self.content_bytes;
        while left > 0 {
            let piece = left.min(self.piece_bytes);
            self.write_piece(stream, &CONTENT[..piece]).await?;
            left -= piece;
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
        }
        Ok(())
    }

    async fn write_piece(&self, stream: &mut TcpStream, piece: &[u8]) -> std::io::Result<()> {
        if self.framing == Framing::Plain {
            return stream.write_all(piece).await;
        }
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        stream.write_all(&chunk).await
    }
}

async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        if let Ok(stream) = try_connect(address).await {
            return stream;
        }
        tokio::time::sleep(CONNECT_RETRY_INTERVAL).await;
    }
}

async fn try_connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn read_slowly(stream: &mut TcpStream) {
    let mut buffer = [0; SLOW_READ_BYTES];
    while let Ok(1..) = stream.read(&mut buffer).await {
        tokio::time::sleep(SLOW_READ_INTERVAL).await;
    }
}

/// Clients that hold their connections until the crowd is dropped.
pub struct Crowd {
    size: usize,
    /// Number of clients that have written everything, or were refused.
    finished: Arc<AtomicUsize>,
    /// Dropped to end the thread.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts the clients.
    ///
    /// # Panics
    /// If the system allows no further thread.
    pub fn start(address: SocketAddr, clients: Vec<CrowdClient>) -> Crowd {
        let (stop, stopped) = oneshot::channel::<()>();
        let finished = Arc::new(AtomicUsize::new(0));
        let size = clients.len();
        let shared = finished.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                for client in clients {
                    tokio::spawn(client.run(address, shared.clone()));
                }
                let _ = stopped.await;
            });
        });
        Crowd {
            size,
            finished,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Waits until every client has written all that it writes, or was refused; at most for
    /// `limit`, since a server may leave unread what it has no memory for.
    pub fn wait_until_sent(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.finished.load(Ordering::Relaxed) < self.size && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
