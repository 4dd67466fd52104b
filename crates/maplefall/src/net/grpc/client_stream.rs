//! The two halves of a client's stream: its upload and the response.
//!
//! Invariant: nothing is taken from a call's queue before the client's flow control has capacity
//! for it, so every wait is cancel-safe.

use super::proxied_call::ProxiedCall;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use hyper::body::Bytes;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{HeaderMap, Response};
use maplefall_grpc::{NextOutput, Output};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::task::AbortHandle;

/// The result of sending the next part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Sent,
    /// The status has been sent.
    Finished,
    /// The client has disconnected.
    Disconnected,
}

/// The response stream, before and after its head is sent.
pub(super) enum ResponseStream {
    AwaitingHead(SendResponse<Bytes>),
    Streaming(SendStream<Bytes>),
    Closed,
}

impl ResponseStream {
    /// Ready once the client has cancelled the call or its connection is closed.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // A reset and a connection error both mean that the client has disconnected.
        match self {
            ResponseStream::AwaitingHead(respond) => respond.poll_reset(cx).map(drop),
            ResponseStream::Streaming(stream) => stream.poll_reset(cx).map(drop),
            ResponseStream::Closed => Poll::Pending,
        }
    }

    /// Sends the next output, as far as the client's flow control permits.
    fn poll_step(&mut self, call: &ProxiedCall, cx: &mut Context<'_>) -> Poll<Step> {
        if self.poll_disconnected(cx).is_ready() {
            return Poll::Ready(Step::Disconnected);
        }
        let next = ready!(call.poll_output(cx));
        let mut max_bytes = usize::MAX;
        if let (NextOutput::Data(length @ 1..), ResponseStream::Streaming(stream)) =
            (next, &mut *self)
        {
            stream.reserve_capacity(length);
            // `poll_capacity` wakes for an increase of the capacity only, not for capacity that is
            // there already.
            max_bytes = match stream.capacity() {
                0 => match ready!(stream.poll_capacity(cx)) {
                    Some(Ok(capacity)) => capacity,
                    _ => return Poll::Ready(Step::Disconnected),
                },
                capacity => capacity,
            };
            if max_bytes == 0 {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
        let Some(output) = call.take_output(max_bytes) else {
            return Poll::Ready(Step::Sent);
        };
        Poll::Ready(if self.send(output) {
            Step::Finished
        } else {
            Step::Sent
        })
    }

    /// Waits until the client has cancelled the call.
    pub(super) async fn disconnected(&mut self) {
        std::future::poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    /// Sends the next output. Cancel-safe: nothing is taken from the queue before there is capacity
    /// for it.
    pub(super) async fn step(&mut self, call: &ProxiedCall) -> Step {
        std::future::poll_fn(|cx| self.poll_step(call, cx)).await
    }

    /// Sends a part of the response; `true` if the part was the last or cannot be sent.
    fn send(&mut self, output: Output) -> bool {
        let ended = matches!(output, Output::Final(..));
        *self = match (std::mem::replace(self, ResponseStream::Closed), output) {
            (ResponseStream::AwaitingHead(mut respond), Output::Head(headers)) => {
                let mut response = Response::new(());
                *response.headers_mut() = headers;
                match respond.send_response(response, false) {
                    Ok(stream) => ResponseStream::Streaming(stream),
                    Err(_) => return true,
                }
            }
            (ResponseStream::AwaitingHead(mut respond), Output::Final(_, trailers)) => {
                let _ = respond.send_response(trailers_only(trailers), true);
                return true;
            }
            (ResponseStream::Streaming(mut stream), Output::Data(data)) => {
                if stream.send_data(data, false).is_err() {
                    return true;
                }
                ResponseStream::Streaming(stream)
            }
            (ResponseStream::Streaming(mut stream), Output::Final(_, trailers)) => {
                let _ = stream.send_trailers(trailers);
                return true;
            }
            (stream, _) => stream,
        };
        ended
    }

    /// Sends the rest of the response, up to the call's status.
    pub(super) async fn send_all(&mut self, call: &ProxiedCall) {
        while self.step(call).await == Step::Sent {}
    }
}

/// Reads a client's upload for as long as the call is open.
pub(super) struct UploadReader(AbortHandle);

impl UploadReader {
    /// Starts reading. The end of the client's half ends the upload; a reset does not.
    pub(super) fn start(mut body: RecvStream, call: Rc<ProxiedCall>) -> UploadReader {
        let task = tokio::task::spawn_local(async move {
            loop {
                call.wait_for_upload_capacity().await;
                match body.data().await {
                    Some(Ok(data)) => {
                        let length = data.len();
                        call.push_upload(data);
                        let _ = body.flow_control().release_capacity(length);
                    }
                    // The response stream notices the client's reset and reports it.
                    Some(Err(_)) => return,
                    None => return call.end_upload(),
                }
            }
        });
        UploadReader(task.abort_handle())
    }
}

impl Drop for UploadReader {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Builds a response without a body (`Trailers-Only`).
pub(super) fn trailers_only(trailers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.headers_mut() = trailers;
    let kind = HeaderValue::from_static("application/grpc");
    response.headers_mut().entry(CONTENT_TYPE).or_insert(kind);
    response
}
