//! One established connection: a reader, a writer and a timer run concurrently until one of them
//! ends the connection.
//!
//! They share the state machine [`Liveness`]. The reader passes received messages to it and
//! delivers frames, the timer asks it whether a ping is due or the peer is dead, and the writer
//! sends pongs and pings ahead of all other frames, so that they never wait behind the queue.

use crate::chunking::{needs_chunking, split_into_chunks, ChunkAssembler};
use crate::liveness::{Actions, Liveness, Millis, Received, Side};
use crate::write::write_all;
use crate::ConnectionError;
use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame_up_to, encode_frame, Frame, FrameError, Hello, MAX_FRAME_BYTES,
};
use socket2::SockRef;
use std::cell::RefCell;
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// Capacity that the outgoing queue of a connection should have, in frames. A connection whose
/// queue is full should be dropped.
pub const OUTGOING_QUEUE_FRAMES: usize = 1024;
/// TCP_USER_TIMEOUT: how long the kernel waits for an acknowledgement of sent data.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Bytes reserved for each read, and the size up to which queued frames are combined into one
/// write.
const IO_BUFFER_BYTES: usize = 16 << 10;

/// Maximum size of a message before the handshake is complete, in bytes. A hello is far shorter.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 64 << 10;

/// The role of this end in the handshake of a connection.
#[derive(Clone, Debug)]
pub enum Handshake {
    /// This end opened the connection and first sends this hello.
    Initiator(Hello),
    /// The peer opened the connection and sends its hello.
    Acceptor,
}

/// An event on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// At the initiator: the peer reads and responds. Frames in the outgoing queue are sent from
    /// now on.
    Established,
    /// At the acceptor: a hello has been read, and a ping asks its sender to prove that it is
    /// alive. Fencing tokens are assigned in the order of these events.
    HelloReceived,
    /// At the acceptor: the sender of this hello was alive after the hello had been read.
    Verified(Hello),
    /// A frame was received.
    Frame(Frame),
}

/// Runs a connection until it ends, and returns the reason. The connection ends within the bound of
/// [`liveness`](crate::liveness) once it no longer carries data in both directions. The frames in
/// `outgoing` are already encoded and are sent once the connection is established. `on_event`
/// returns whether the connection continues.
pub async fn run_connection(
    stream: TcpStream,
    outgoing: mpsc::Receiver<Bytes>,
    handshake: Handshake,
    on_event: impl FnMut(Event) -> bool,
) -> ConnectionError {
    set_socket_options(&stream);
    let (read_half, write_half) = stream.into_split();
    let (side, hello) = match handshake {
        Handshake::Initiator(hello) => (Side::Initiator, Some(encode_frame(Frame::Hello(hello)))),
        Handshake::Acceptor => (Side::Acceptor, None),
    };
    let connection = Connection::new(side);
    let reader = Reader {
        connection: &connection,
        stream: read_half,
        chunks: ChunkAssembler::default(),
        unverified: None,
        on_event,
    };
    let writer = Writer {
        connection: &connection,
        stream: write_half,
        outgoing,
    };
    let ended = tokio::select! {
        ended = reader.run() => ended,
        ended = run_timer(&connection) => ended,
        ended = writer.run(hello) => ended,
    };
    match ended {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

/// Sets the socket options. Failures are ignored: without the options, a broken connection is only
/// detected later.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

/// The state shared by the reader, the writer and the timer of a connection.
struct Connection {
    started: Instant,
    probes: RefCell<Probes>,
    /// Wakes the writer: a pong or ping is pending, or the connection is established.
    writer_wakeup: Notify,
    /// Wakes the timer: the next deadline has changed.
    timer_wakeup: Notify,
}

impl Connection {
    fn new(side: Side) -> Connection {
        let started = Instant::now();
        Connection {
            started,
            probes: RefCell::new(Probes {
                liveness: Liveness::new(side, millis_since(started)),
                pong: None,
                ping: None,
            }),
            writer_wakeup: Notify::new(),
            timer_wakeup: Notify::new(),
        }
    }

    /// Returns the milliseconds since this end started to run the connection.
    fn now(&self) -> Millis {
        millis_since(self.started)
    }
}

fn millis_since(started: Instant) -> Millis {
    started.elapsed().as_secs_f64() * 1000.0
}

/// The liveness of a connection, and its pending pong and ping.
struct Probes {
    liveness: Liveness,
    pong: Option<u64>,
    ping: Option<u64>,
}

/// The content of a write.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteContent {
    ProbesOnly,
    ProbesAndFrames,
}

impl Probes {
    /// Takes and encodes the pending pong and ping, which precede the frames of a write. A ping
    /// that is due soon is added, except to a write that has neither a pong nor frames.
    fn take_encoded(&mut self, now: Millis, content: WriteContent) -> BytesMut {
        let may_piggyback = content == WriteContent::ProbesAndFrames || self.pong.is_some();
        if self.ping.is_none() && may_piggyback {
            self.ping = self.liveness.piggyback_ping(now);
        }
        let mut bytes = BytesMut::new();
        let frames = [
            self.pong.take().map(Frame::Pong),
            self.ping.take().map(Frame::Ping),
        ];
        for frame in frames.into_iter().flatten() {
            bytes.extend_from_slice(&encode_frame(frame));
        }
        bytes
    }
}

/// Reads frames and delivers them.
struct Reader<'a, F> {
    connection: &'a Connection,
    stream: OwnedReadHalf,
    chunks: ChunkAssembler,
    /// At the acceptor, the hello of the peer until the peer has proven that it is alive.
    unverified: Option<Hello>,
    on_event: F,
}

impl<F: FnMut(Event) -> bool> Reader<'_, F> {
    async fn run(mut self) -> Result<Infallible, ConnectionError> {
        let mut received = BytesMut::with_capacity(IO_BUFFER_BYTES);
        loop {
            match self.stream.read_buf(&mut received).await {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(_) => {}
                Err(error) => return Err(ConnectionError::Io(error)),
            }
            while let Some(frame) = decode_frame_up_to(&mut received, self.max_frame_bytes())? {
                self.receive_frame(frame)?;
            }
            received.reserve(IO_BUFFER_BYTES);
        }
    }

    fn is_established(&self) -> bool {
        self.connection.probes.borrow().liveness.is_established()
    }

    /// Returns the maximum size of the next message: whoever has not proven to be a process of the
    /// system makes this end hold little.
    fn max_frame_bytes(&self) -> usize {
        if self.is_established() {
            MAX_FRAME_BYTES
        } else {
            MAX_HANDSHAKE_FRAME_BYTES
        }
    }

    fn receive_frame(&mut self, frame: Frame) -> Result<(), ConnectionError> {
        // Chunks before the handshake is complete would add up to a long message.
        if matches!(frame, Frame::Chunk(_)) && !self.is_established() {
            return Err(FrameError::Malformed.into());
        }
        match self.chunks.push(frame)? {
            Some(frame) => self.handle_frame(frame),
            None => Ok(()),
        }
    }

    fn handle_frame(&mut self, frame: Frame) -> Result<(), ConnectionError> {
        let actions = self.update_liveness(&frame)?;
        let Some(event) = self.event_for(frame, actions) else {
            return Ok(());
        };
        if (self.on_event)(event) {
            Ok(())
        } else {
            Err(ConnectionError::Dropped)
        }
    }

    /// Passes a frame to the state machine, and wakes the writer and the timer if the resulting
    /// actions require it.
    fn update_liveness(&self, frame: &Frame) -> Result<Actions, ConnectionError> {
        let received = match frame {
            Frame::Hello(_) => Received::Hello,
            Frame::Ping(number) => Received::Ping(*number),
            Frame::Pong(number) => Received::Pong(*number),
            _ => Received::Other,
        };
        let mut probes = self.connection.probes.borrow_mut();
        let actions = probes.liveness.received(self.connection.now(), received)?;
        if actions.pong.is_some() || actions.ping.is_some() || actions.established {
            probes.pong = actions.pong.or(probes.pong);
            probes.ping = actions.ping.or(probes.ping);
            self.connection.writer_wakeup.notify_one();
        }
        if actions.established {
            self.connection.timer_wakeup.notify_one();
        }
        Ok(actions)
    }

    fn event_for(&mut self, frame: Frame, actions: Actions) -> Option<Event> {
        match (frame, self.unverified.take()) {
            (Frame::Hello(hello), _) => {
                self.unverified = Some(hello);
                Some(Event::HelloReceived)
            }
            (_, Some(hello)) if actions.established => Some(Event::Verified(hello)),
            (_, None) if actions.established => Some(Event::Established),
            (frame, _) if actions.deliver => Some(Event::Frame(frame)),
            _ => None,
        }
    }
}

/// Queues pings when they are due, and ends the connection when the peer is dead.
async fn run_timer(connection: &Connection) -> Result<Infallible, ConnectionError> {
    loop {
        let deadline = connection.probes.borrow().liveness.next_deadline();
        let deadline = connection.started + Duration::from_secs_f64(deadline.max(0.0) / 1000.0);
        tokio::select! {
            () = connection.timer_wakeup.notified() => {}
            () = tokio::time::sleep_until(deadline) => {}
        }
        let mut probes = connection.probes.borrow_mut();
        if let Some(ping) = probes.liveness.tick(connection.now())? {
            probes.ping = Some(ping);
            connection.writer_wakeup.notify_one();
        }
    }
}

/// Writes pongs, pings and the frames of the outgoing queue.
struct Writer<'a> {
    connection: &'a Connection,
    stream: OwnedWriteHalf,
    outgoing: mpsc::Receiver<Bytes>,
}

impl Writer<'_> {
    async fn run(mut self, hello: Option<Bytes>) -> Result<Infallible, ConnectionError> {
        if let Some(hello) = hello {
            write_all(&mut self.stream, &hello).await?;
        }
        loop {
            let next = self.next_frame().await?;
            let content = match next {
                Some(_) => WriteContent::ProbesAndFrames,
                None => WriteContent::ProbesOnly,
            };
            let bytes = self.take_probes(content);
            if !bytes.is_empty() {
                // A ping may have been piggybacked, in which case the timer need not wake for that
                // ping.
                self.connection.timer_wakeup.notify_one();
            }
            self.write_frames(bytes, next).await?;
        }
    }

    /// Waits for a queued frame, if the connection is established, or for a wake-up (`None`).
    async fn next_frame(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        let is_established = self.connection.probes.borrow().liveness.is_established();
        tokio::select! {
            biased;
            frame = self.outgoing.recv(), if is_established => match frame {
                Some(frame) => Ok(Some(frame)),
                None => Err(ConnectionError::Dropped),
            },
            () = self.connection.writer_wakeup.notified() => Ok(None),
        }
    }

    /// Writes `bytes`, the given frame and further queued frames, as far as they fit into the
    /// buffer, in one write. Long frames are written in chunks.
    async fn write_frames(
        &mut self,
        mut bytes: BytesMut,
        mut next: Option<Bytes>,
    ) -> Result<(), ConnectionError> {
        while let Some(frame) = next.take() {
            if needs_chunking(&frame) {
                self.write_chunked(&mut bytes, frame).await?;
            } else {
                bytes.extend_from_slice(&frame);
            }
            if bytes.len() < IO_BUFFER_BYTES {
                next = self.outgoing.try_recv().ok();
            }
        }
        write_all(&mut self.stream, &bytes).await
    }

    /// Writes `bytes` and a long frame in chunks, with pongs and pings between them. Leaves `bytes`
    /// empty.
    async fn write_chunked(
        &mut self,
        bytes: &mut BytesMut,
        frame: Bytes,
    ) -> Result<(), ConnectionError> {
        for chunk in split_into_chunks(frame) {
            bytes.extend_from_slice(&self.take_probes(WriteContent::ProbesAndFrames));
            bytes.extend_from_slice(&chunk);
            write_all(&mut self.stream, bytes).await?;
            bytes.clear();
        }
        Ok(())
    }

    fn take_probes(&self, content: WriteContent) -> BytesMut {
        let now = self.connection.now();
        self.connection
            .probes
            .borrow_mut()
            .take_encoded(now, content)
    }
}
