//! A client's socket that reports what moves through it, which the HTTP library does not.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Is told what moves through a [`ClientSocket`].
pub trait SocketObserver {
    /// This many bytes, at least one, have arrived.
    ///
    /// # Errors
    /// If the connection has to be closed, since there is no memory for what it sends.
    fn bytes_received(&self, count: usize) -> io::Result<()>;
    /// The socket has taken this many bytes.
    fn bytes_sent(&self, count: usize);
    /// The socket takes no more bytes for now.
    fn send_blocked(&self);
}

/// A client's socket.
pub struct ClientSocket<O> {
    stream: TcpStream,
    observer: Rc<O>,
}

impl<O: SocketObserver> ClientSocket<O> {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, observer: Rc<O>) -> ClientSocket<O> {
        ClientSocket { stream, observer }
    }

    fn report_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending => self.observer.send_blocked(),
            Poll::Ready(Ok(count)) => self.observer.bytes_sent(*count),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl<O: SocketObserver> AsyncRead for ClientSocket<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - filled_before;
        if count > 0 {
            self.observer.bytes_received(count)?;
        }
        read
    }
}

impl<O: SocketObserver> AsyncWrite for ClientSocket<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.report_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.report_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
