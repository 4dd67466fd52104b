//! Connections between processes of the system: frames over TCP, a bounded queue for what goes out, and an end to whatever
//! no longer carries both ways ([`liveness`]). Named after the cords by which an operator joins two lines.

pub mod fencing;
pub mod liveness;

use bytes::{Buf, Bytes, BytesMut};
use liveness::{Liveness, LivenessError, Millis, Received, Side, PONG_TIMEOUT};
use maplefall_control_messages::{
    decode_frame, encode_frame, Chunk, Frame, FrameError, Hello, MAX_FRAME_BYTES,
};
use socket2::SockRef;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// Frames that may wait to be written on one connection: one that lets more pile up is ended.
pub const OUTGOING_QUEUE_FRAMES: usize = 1024;
/// How long the system waits for what it has sent to be confirmed.
const UNCONFIRMED: Duration = Duration::from_millis(2000);
/// A write that gets on by nothing for this long ends the connection.
const STUCK: Duration = Duration::from_millis(PONG_TIMEOUT as u64);
/// How long a connection may take to come up.
const COMES_UP: Duration = Duration::from_millis(400);
/// Pauses before a connection is dialled again: the first, and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Bytes read at a time.
const READ: usize = 16 << 10;
/// Longer frames go in parts of this many bytes, so that a ping never waits behind a whole one.
const PART: usize = 64 << 10;

/// Why a connection ended.
#[derive(Debug)]
pub enum ConnectionError {
    /// It could not be made.
    Connect(SocketAddr, io::Error),
    /// It broke.
    Io(io::Error),
    /// The other side closed it.
    Closed,
    /// It no longer carries both ways, or nobody reads at its other end.
    Dead(LivenessError),
    /// The other side takes nothing.
    WriteStalled,
    /// What came is no frame.
    Frame(FrameError),
    /// This side lets it go, or too much waits to be written.
    Dropped,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Connect(address, error) => {
                write!(f, "why=connect address={address} error={:?}", error.kind())
            }
            ConnectionError::Io(error) => write!(f, "why=broke error={:?}", error.kind()),
            ConnectionError::Closed => write!(f, "why=closed"),
            ConnectionError::Dead(LivenessError::Unanswered) => write!(f, "why=unanswered"),
            ConnectionError::Dead(LivenessError::NoHello) => write!(f, "why=no_hello"),
            ConnectionError::Dead(LivenessError::UnexpectedMessage) => write!(f, "why=order"),
            ConnectionError::WriteStalled => write!(f, "why=stuck"),
            ConnectionError::Frame(broken) => write!(f, "why=frame {broken}"),
            ConnectionError::Dropped => write!(f, "why=let_go"),
        }
    }
}

impl std::error::Error for ConnectionError {}

/// How long to wait before a connection is dialled again: longer each time, until it has come up.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectBackoff(Duration);

impl Default for ReconnectBackoff {
    fn default() -> ReconnectBackoff {
        ReconnectBackoff(PAUSES.0)
    }
}

impl ReconnectBackoff {
    /// Waits.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.0).await;
        self.0 = (self.0 * 2).min(PAUSES.1);
    }
}

/// Opens a connection from this machine's address: whoever is called knows the caller by it.
pub async fn connect(from: IpAddr, address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let failed = |error| ConnectionError::Connect(address, error);
    let socket = if from.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
    .map_err(failed)?;
    socket.bind(SocketAddr::new(from, 0)).map_err(failed)?;
    let connect = tokio::time::timeout(COMES_UP, socket.connect(address)).await;
    connect
        .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
        .map_err(failed)
}

/// Which end of a connection this is.
#[derive(Clone, Debug)]
pub enum Handshake {
    /// This end has dialled, and says this first.
    Initiator(Hello),
    /// The other end has, and says who it is.
    Acceptor,
}

/// What happens on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Who was dialled reads and answers: what is put into the queue from here on is sent.
    Up,
    /// Somebody's hello has been read, and is asked to prove that it is new: links are numbered in this order.
    HelloReceived,
    /// Who has dialled says this, and was alive after it was read here.
    Verified(Hello),
    /// A frame.
    Frame(Frame),
}

/// What the three parts of a connection's task share.
struct Shared {
    live: Liveness,
    /// The echo and the ping that are to be written next: they go before everything else.
    echo: Option<u64>,
    ping: Option<u64>,
}

impl Shared {
    /// What goes before the next write, `alone` or with something else.
    fn first(&mut self, now: Millis, alone: bool) -> BytesMut {
        if self.ping.is_none() && (!alone || self.echo.is_some()) {
            self.ping = self.live.piggyback_ping(now);
        }
        let mut bytes = BytesMut::new();
        let frames = [
            self.echo.take().map(Frame::Pong),
            self.ping.take().map(Frame::Ping),
        ];
        frames
            .into_iter()
            .flatten()
            .for_each(|frame| bytes.extend_from_slice(&encode_frame(frame)));
        bytes
    }
}

/// Carries frames both ways until the connection ends, which is within [`liveness`]'s bound once it no longer carries both ways.
/// `event` tells whether to go on.
pub async fn run_connection(
    stream: TcpStream,
    mut outgoing: mpsc::Receiver<Bytes>,
    open: Handshake,
    mut event: impl FnMut(Event) -> bool,
) -> ConnectionError {
    // Without these a connection that is cut off is noticed later.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNCONFIRMED));
    let (mut from, mut to) = stream.into_split();
    let started = Instant::now();
    let now = || started.elapsed().as_secs_f64() * 1000.0;
    let (side, greeting) = match open {
        Handshake::Initiator(hello) => (Side::Initiator, Some(encode_frame(Frame::Hello(hello)))),
        Handshake::Acceptor => (Side::Acceptor, None),
    };
    let shared = RefCell::new(Shared {
        live: Liveness::new(side, now()),
        echo: None,
        ping: None,
    });
    // Something is to be written that is not in the queue; the time at which something is due has moved.
    let (wake, moved) = (Notify::new(), Notify::new());
    let reading = async {
        let (mut come, mut long) = (BytesMut::with_capacity(READ), BytesMut::new());
        let mut hello = None;
        loop {
            match from.read_buf(&mut come).await {
                Ok(0) => return ConnectionError::Closed,
                Ok(_) => {}
                Err(error) => return ConnectionError::Io(error),
            }
            loop {
                let frame = match decode_frame(&mut come).and_then(|frame| whole(frame, &mut long))
                {
                    Ok(Some(Taken::Frame(frame))) => frame,
                    Ok(Some(Taken::Part)) => continue,
                    Ok(None) => break,
                    Err(broken) => return ConnectionError::Frame(broken),
                };
                let came = match &frame {
                    Frame::Hello(_) => Received::Hello,
                    Frame::Ping(number) => Received::Ping(*number),
                    Frame::Pong(number) => Received::Pong(*number),
                    _ => Received::Other,
                };
                let todo = match shared.borrow_mut().live.received(now(), came) {
                    Ok(todo) => todo,
                    Err(dead) => return ConnectionError::Dead(dead),
                };
                if todo.pong.is_some() || todo.ping.is_some() || todo.established {
                    let mut shared = shared.borrow_mut();
                    (shared.echo, shared.ping) =
                        (todo.pong.or(shared.echo), todo.ping.or(shared.ping));
                    wake.notify_one();
                }
                if todo.established {
                    moved.notify_one();
                }
                let on = match (frame, hello.take()) {
                    (Frame::Hello(said), _) => {
                        hello = Some(said);
                        event(Event::HelloReceived)
                    }
                    (_, Some(said)) if todo.established => event(Event::Verified(said)),
                    (_, None) if todo.established => event(Event::Up),
                    (frame, _) if todo.deliver => event(Event::Frame(frame)),
                    _ => true,
                };
                if !on {
                    return ConnectionError::Dropped;
                }
            }
            come.reserve(READ);
        }
    };
    let timing = async {
        loop {
            let due = shared.borrow().live.next_deadline();
            let due = started + Duration::from_secs_f64(due.max(0.0) / 1000.0);
            tokio::select! {
                () = moved.notified() => {}
                () = tokio::time::sleep_until(due) => {}
            }
            let mut shared = shared.borrow_mut();
            match shared.live.tick(now()) {
                Ok(None) => {}
                Ok(ping) => {
                    shared.ping = ping;
                    wake.notify_one();
                }
                Err(dead) => return ConnectionError::Dead(dead),
            }
        }
    };
    let writing = async {
        if let Some(greeting) = greeting {
            if let Err(end) = put(&mut to, &greeting).await {
                return end;
            }
        }
        loop {
            let up = shared.borrow().live.is_established();
            let next = tokio::select! {
                biased;
                next = outgoing.recv(), if up => match next {
                    Some(next) => Some(next),
                    None => return ConnectionError::Dropped,
                },
                () = wake.notified() => None,
            };
            let mut bytes = shared.borrow_mut().first(now(), next.is_none());
            if !bytes.is_empty() {
                // A ping may have gone with it: the timer need not wake for that one.
                moved.notify_one();
            }
            let mut next = next;
            while let Some(frame) = next.take() {
                if frame.len() <= PART {
                    bytes.extend_from_slice(&frame);
                } else if let Err(end) = put_parts(&mut to, &mut bytes, frame, || {
                    shared.borrow_mut().first(now(), false)
                })
                .await
                {
                    return end;
                }
                if bytes.len() < READ {
                    next = outgoing.try_recv().ok();
                }
            }
            if let Err(end) = put(&mut to, &bytes).await {
                return end;
            }
        }
    };
    tokio::select! {
        end = reading => end,
        end = timing => end,
        end = writing => end,
    }
}

/// What a frame on the wire has brought.
enum Taken {
    /// A frame.
    Frame(Frame),
    /// A part of one that is not whole yet.
    Part,
}

/// Puts long frames together; there is room for one of [`LONGEST`] at most.
fn whole(frame: Option<Frame>, long: &mut BytesMut) -> Result<Option<Taken>, FrameError> {
    let Some(Frame::Chunk(part)) = frame else {
        return Ok(frame.map(Taken::Frame));
    };
    let length = long.len() + part.data.len();
    if length > MAX_FRAME_BYTES + 4 {
        return Err(FrameError::TooLong(length));
    }
    long.extend_from_slice(&part.data);
    if !part.last {
        return Ok(Some(Taken::Part));
    }
    let frame = decode_frame(long)?.ok_or(FrameError::Malformed)?;
    let left = std::mem::take(long);
    if !left.is_empty() || matches!(frame, Frame::Chunk(_)) {
        return Err(FrameError::Malformed);
    }
    Ok(Some(Taken::Frame(frame)))
}

/// Writes all, as long as it gets on.
async fn put(to: &mut OwnedWriteHalf, mut bytes: &[u8]) -> Result<(), ConnectionError> {
    while !bytes.is_empty() {
        match tokio::time::timeout(STUCK, to.write(bytes)).await {
            Ok(Ok(0)) => return Err(ConnectionError::Closed),
            Ok(Ok(written)) => bytes.advance(written),
            Ok(Err(error)) => return Err(ConnectionError::Io(error)),
            Err(_) => return Err(ConnectionError::WriteStalled),
        }
    }
    Ok(())
}

/// Writes what waits and a long frame after it, in parts, with what is urgent between them.
async fn put_parts(
    to: &mut OwnedWriteHalf,
    bytes: &mut BytesMut,
    mut frame: Bytes,
    first: impl Fn() -> BytesMut,
) -> Result<(), ConnectionError> {
    while !frame.is_empty() {
        let part = frame.split_to(frame.len().min(PART));
        bytes.extend_from_slice(&first());
        bytes.extend_from_slice(&encode_frame(Frame::Chunk(Chunk {
            data: part,
            last: frame.is_empty(),
        })));
        put(to, bytes).await?;
        bytes.clear();
    }
    Ok(())
}
