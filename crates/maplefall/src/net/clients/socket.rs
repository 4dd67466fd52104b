//! A client's socket that records when bytes arrive, which the HTTP library does not report before a
//! head is complete, and whether the client takes what is written.

use super::connection::ClientConnection;
#[cfg(feature = "breakages")]
use crate::net::breakages;
use maplefall_upstream::Clock;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

pub(super) struct ObservedSocket {
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    clock: Clock,
}

impl ObservedSocket {
    pub fn new(stream: TcpStream, connection: Rc<ClientConnection>, clock: Clock) -> Self {
        ObservedSocket {
            stream,
            connection,
            clock,
        }
    }

    fn report_write(&self, written: &Poll<io::Result<usize>>) {
        let transfer = &self.connection.transfer;
        match written {
            Poll::Pending => transfer.send_blocked(self.clock.now()),
            Poll::Ready(Ok(count)) => transfer.bytes_sent(*count),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for ObservedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        if count > 0 {
            self.connection.bytes_received(count, self.clock.now());
        }
        read
    }
}

impl AsyncWrite for ObservedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        #[cfg(feature = "breakages")]
        if (buf.starts_with(b"HTTP/1.1 200")
            && breakages::is(breakages::Breakage::DuplicateResponse))
            || (buf.starts_with(b"HTTP/1.1 503")
                && breakages::is(breakages::Breakage::LateVerdictResponse))
        {
            let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
            // The breakage writes the response a second time; if the socket's buffer is full, the
            // response is written once only.
            let _ = self.stream.try_write(buf);
            return wrote;
        }
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
        #[cfg(feature = "breakages")]
        if breakages::is(breakages::Breakage::DuplicateResponse)
            || breakages::is(breakages::Breakage::LateVerdictResponse)
        {
            return false;
        }
        self.stream.is_write_vectored()
    }
}
