//! The socket of a connection to a backend, below the HTTP library. It tracks how much of a request
//! has been written, can delay the last byte of the head, and is closed immediately when its attempt is
//! aborted.

use crate::written_bytes::WrittenBytes;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long the last byte of a request's head is delayed to detect a broken connection: within one data
/// centre, a reset arrives in this time. Where the round trip is longer, the delay detects fewer
/// broken connections at the same cost.
const HEAD_END_DELAY: Duration = Duration::from_millis(2);

/// A socket that can be closed immediately from outside the HTTP library, and that counts towards
/// the connection limit until it is closed.
pub struct UpstreamSocket {
    socket: RefCell<Option<(TcpStream, ConnectionPermit)>>,
    written: RefCell<WrittenBytes>,
    /// Whether the last byte of the request's head is delayed to probe the connection.
    delay_head_end: Cell<bool>,
    /// The delay of the head's last byte, set once all bytes before it are written.
    head_end_delay: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl UpstreamSocket {
    pub(crate) fn new(stream: TcpStream, permit: ConnectionPermit) -> UpstreamSocket {
        UpstreamSocket {
            socket: RefCell::new(Some((stream, permit))),
            written: RefCell::default(),
            delay_head_end: Cell::default(),
            head_end_delay: RefCell::default(),
        }
    }

    /// Returns whether the request may have run: a backend may begin to work on it, and respond,
    /// once it has the complete head.
    pub fn may_have_run(&self) -> bool {
        self.written.borrow().is_head_complete()
    }

    /// Returns whether the request has been completely written.
    pub fn fully_written(&self) -> bool {
        self.written.borrow().is_complete()
    }

    /// Prepares for a request with a body of this length. With `delay_head_end`, the connection is
    /// probed before the last byte of the head is written.
    pub fn begin_request(&self, body_bytes: usize, delay_head_end: bool) {
        *self.written.borrow_mut() = WrittenBytes::new(body_bytes);
        self.delay_head_end.set(delay_head_end);
        self.head_end_delay.borrow_mut().take();
    }

    /// Returns how many of these bytes may be written now. To detect a connection that the backend
    /// has closed unnoticed, the last byte of the head is delayed and written only if nothing has
    /// come back. A request whose connection breaks before that byte has not run and can be sent
    /// again even if it is not idempotent. With that byte, a backend may begin to work on it.
    fn writable_bytes(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if !self.delay_head_end.get() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let Some(head_bytes) = self.written.borrow().head_bytes_left(bytes) else {
            return Poll::Ready(Ok(bytes.len()));
        };
        if head_bytes > 1 {
            return Poll::Ready(Ok(head_bytes - 1));
        }
        let mut delay = self.head_end_delay.borrow_mut();
        let delay = delay.get_or_insert_with(|| Box::pin(tokio::time::sleep(HEAD_END_DELAY)));
        ready!(delay.as_mut().poll(cx));
        // A reset that arrived during the delay is known only to the kernel so far.
        Poll::Ready(if self.is_open_and_empty() {
            Ok(bytes.len())
        } else {
            Err(io::ErrorKind::ConnectionReset.into())
        })
    }

    /// Writes as many bytes of the buffers as the socket takes, and records them.
    fn write_vectored(
        &self,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut socket = self.socket.borrow_mut();
        let Some((stream, _)) = socket.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let written = Pin::new(stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = &written {
            self.record_written(bufs, *count);
        }
        written
    }

    /// Records that this many bytes of the buffers have been written.
    fn record_written(&self, bufs: &[IoSlice<'_>], mut count: usize) {
        let mut written = self.written.borrow_mut();
        for buf in bufs {
            let bytes = &buf[..buf.len().min(count)];
            count -= bytes.len();
            written.record(bytes);
        }
    }

    pub(crate) fn close(&self) {
        self.socket.borrow_mut().take();
    }

    /// Returns whether the socket is open and has nothing to read, so that an unsolicited response
    /// is not mistaken for that of the next request. Queries the kernel, since the runtime notices
    /// arrived bytes only between two tasks.
    pub(crate) fn is_open_and_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket
            .as_ref()
            .map(|(stream, _)| SockRef::from(stream).peek(&mut byte));
        matches!(peeked, Some(Err(error)) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Counts a connection towards the limit, from before it is established until its socket is closed.
pub(crate) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    pub fn acquire(open_connections: &Rc<Cell<usize>>) -> ConnectionPermit {
        open_connections.set(open_connections.get() + 1);
        ConnectionPermit(open_connections.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The interface of an [`UpstreamSocket`] to the HTTP library.
pub(crate) struct SocketIo(pub Rc<UpstreamSocket>);

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.0.socket.borrow_mut().as_mut() {
            Some((stream, _)) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let writable = ready!(self.0.writable_bytes(cx, buf))?;
        self.0.write_vectored(cx, &[IoSlice::new(&buf[..writable])])
    }

    /// Writes the buffers without copying them into one. The HTTP library gives what is left of a
    /// head in the first buffer.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first: &[u8] = bufs.first().map_or(&[], |first| first);
        let writable = ready!(self.0.writable_bytes(cx, first))?;
        if writable < first.len() {
            self.0
                .write_vectored(cx, &[IoSlice::new(&first[..writable])])
        } else {
            self.0.write_vectored(cx, bufs)
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.close();
        Poll::Ready(Ok(()))
    }
}
