//! A fake gRPC service and a fake client, over HTTP/2 without TLS. They follow gRPC's published
//! `PROTOCOL-HTTP2.md` and violate it where a test demands that; so they use an HTTP/2 library but
//! no gRPC library, which would prevent the violations.

use crate::draw;
use bytes::{Buf, Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum number of call ids in the log; further calls are not logged.
const MAX_LOGGED: usize = 200_000;

/// A way in which a call fails. Where nothing else is said, the call runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The response is only this status.
    Status(u8),
    /// The call does not run; the response is only this status, with `not-started: 1`.
    NotStarted(u8),
    /// The call does not run; the stream is reset with `REFUSED_STREAM`.
    Refused,
    /// The stream is reset with this error instead of a response.
    ResetUnanswered(u32),
    /// The response is a head and half of a message, then a reset with this error.
    ResetWithin(u32),
    /// The response is half of a message and trailers with `OK`.
    TruncatedMessage,
    /// The response is a message, and the stream ends without trailers.
    NoStatus,
    /// The response is `OK` without a message.
    NoMessage,
    /// The trailers follow the message after this delay.
    LateTrailers(Duration),
    /// The response head is sent after this delay.
    LateHead(Duration),
    /// No response is sent.
    NoResponse,
    /// The connection is closed instead of a response.
    Drop,
    /// The response is an HTML page with this HTTP status.
    Page(u16),
    /// The response is this many messages, then a reset with `CANCEL`.
    ResetAfterMessages(usize),
}

/// A call that was received.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its head arrived.
    pub at: Instant,
    /// The path.
    pub path: String,
    /// The metadata.
    pub headers: HeaderMap,
    /// The messages' bytes, without the length prefixes.
    pub messages: Vec<Vec<u8>>,
    /// Whether the call ran.
    pub ran: bool,
}

impl Seen {
    /// Returns a metadata value as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A fake echo service. A method whose name begins with `Watch` responds to one message with three,
/// `Upload` to many with one, `Report` to each of many with one.
pub struct Service {
    fault: RefCell<Vec<(Fault, f64)>>,
    log: RefCell<BTreeMap<String, Vec<Seen>>>,
    seed: u64,
    drawn: Cell<u64>,
    /// Processing time of a call.
    work: Cell<Duration>,
    streams: Cell<u32>,
}

impl Service {
    /// Creates a service without faults.
    pub fn new(seed: u64) -> Rc<Service> {
        Rc::new(Service {
            fault: RefCell::default(),
            log: RefCell::default(),
            seed,
            drawn: Cell::new(0),
            work: Cell::new(Duration::ZERO),
            streams: Cell::new(100),
        })
    }

    /// Sets the faults from now on, each with the fraction of calls that it affects.
    pub fn faults(&self, faults: &[(Fault, f64)]) {
        *self.fault.borrow_mut() = faults.to_vec();
    }

    /// Sets the processing time of a call from now on.
    pub fn work(&self, work: Duration) {
        self.work.set(work);
    }

    /// Sets the maximum number of concurrent calls on one connection, for new connections.
    pub fn streams(&self, streams: u32) {
        self.streams.set(streams);
    }

    /// Returns the attempts of a call, in order of arrival.
    pub fn attempts(&self, id: &str) -> Vec<Seen> {
        self.log.borrow().get(id).cloned().unwrap_or_default()
    }

    /// Returns the number of logged calls, counting each attempt.
    pub fn seen(&self) -> usize {
        self.log.borrow().values().map(Vec::len).sum()
    }

    /// Returns when the last logged call arrived.
    pub fn last(&self) -> Option<Instant> {
        self.log
            .borrow()
            .values()
            .flatten()
            .map(|seen| seen.at)
            .max()
    }

    /// Serves connections of `listener` for as long as the future is polled.
    ///
    /// # Errors
    /// The operating system's error if the listener can't be used.
    pub async fn serve(self: Rc<Self>, listener: StdListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        loop {
            let (stream, _) = listener.accept().await?;
            tokio::task::spawn_local(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        // If this fails, responses are delayed but still correct.
        let _ = stream.set_nodelay(true);
        let mut builder = h2::server::Builder::new();
        builder.max_concurrent_streams(self.streams.get());
        let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
            return;
        };
        let close = Rc::new(Notify::new());
        loop {
            tokio::select! {
                call = connection.accept() => {
                    let Some(Ok((request, respond))) = call else { return };
                    let (service, close) = (self.clone(), close.clone());
                    tokio::task::spawn_local(async move {
                        // The peer may have gone already.
                        let _ = service.respond(request, respond, &close).await;
                    });
                }
                () = close.notified() => return,
            }
        }
    }

    fn next_fault(&self) -> Option<Fault> {
        self.drawn.set(self.drawn.get() + 1);
        let mut sample = draw(self.seed, self.drawn.get(), 1);
        for (fault, share) in self.fault.borrow().iter() {
            if sample < *share {
                return Some(*fault);
            }
            sample -= share;
        }
        None
    }

    fn log_call(&self, id: &str, call: Seen) -> Option<usize> {
        let mut log = self.log.borrow_mut();
        if log.len() >= MAX_LOGGED {
            return None;
        }
        let attempts = log.entry(id.to_owned()).or_default();
        attempts.push(call);
        Some(attempts.len() - 1)
    }

    fn update(&self, id: &str, index: Option<usize>, change: impl FnOnce(&mut Seen)) {
        let mut log = self.log.borrow_mut();
        if let Some(seen) = index.and_then(|at| log.get_mut(id)?.get_mut(at)) {
            change(seen);
        }
    }

    async fn respond(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        close: &Notify,
    ) -> Result<(), h2::Error> {
        let (head, body) = request.into_parts();
        let id = head
            .headers
            .get("request-id")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let path = head.uri.path().to_owned();
        let fault = self.next_fault();
        let seen = Seen {
            at: Instant::now(),
            path: path.clone(),
            headers: head.headers,
            messages: Vec::new(),
            ran: false,
        };
        let index = self.log_call(&id, seen);
        match fault {
            Some(Fault::Refused) => {
                respond.send_reset(Reason::REFUSED_STREAM);
                return Ok(());
            }
            Some(Fault::NotStarted(code)) => {
                let mut trailers = status(code);
                trailers.insert("not-started", HeaderValue::from_static("1"));
                respond.send_response(trailers_only(trailers), true)?;
                return Ok(());
            }
            _ => {}
        }
        let method = path.rsplit('/').next().unwrap_or_default();
        let mut messages = Messages::new(body);
        if method.starts_with("Report") {
            // The handler of a bidirectional stream runs from the first message on.
            let mut stream = None;
            while let Some(message) = messages.next().await? {
                self.update(&id, index, |seen| {
                    seen.ran = true;
                    seen.messages.push(message.to_vec());
                });
                if stream.is_none() {
                    stream = Some(respond.send_response(response_head(), false)?);
                }
                if let Some(stream) = &mut stream {
                    send(stream, framed(&message)).await?;
                }
            }
            let mut stream = match stream {
                Some(stream) => stream,
                None => respond.send_response(response_head(), false)?,
            };
            return self.finish(&mut stream, fault).await;
        }
        let mut received = Vec::new();
        while let Some(message) = messages.next().await? {
            received.push(message.to_vec());
        }
        let last = received.last().cloned().unwrap_or_default();
        self.update(&id, index, |seen| {
            (seen.ran, seen.messages) = (true, received)
        });
        tokio::time::sleep(self.work.get()).await;
        let message = framed(&last);
        let half = message.slice(..message.len() / 2);
        let count = if method.starts_with("Watch") { 3 } else { 1 };
        match fault {
            Some(Fault::Status(code)) => {
                respond.send_response(trailers_only(status(code)), true)?;
                return Ok(());
            }
            Some(Fault::ResetUnanswered(error)) => {
                respond.send_reset(Reason::from(error));
                return Ok(());
            }
            Some(Fault::NoResponse) => {
                // The stream stays open until the peer resets it.
                let _ = std::future::poll_fn(|cx| respond.poll_reset(cx)).await;
                return Ok(());
            }
            Some(Fault::Drop) => {
                close.notify_one();
                // Returning would drop the stream and reset it before the connection is closed.
                std::future::pending::<()>().await;
                return Ok(());
            }
            Some(Fault::Page(http)) => {
                let mut response = Response::new(());
                *response.status_mut() = http::StatusCode::from_u16(http).unwrap_or_default();
                response
                    .headers_mut()
                    .insert("content-type", HeaderValue::from_static("text/html"));
                let mut stream = respond.send_response(response, false)?;
                stream.send_data(Bytes::from_static(b"<p>sorry</p>"), true)?;
                return Ok(());
            }
            Some(Fault::LateHead(late)) => tokio::time::sleep(late).await,
            _ => {}
        }
        let mut stream = respond.send_response(response_head(), false)?;
        match fault {
            Some(Fault::ResetWithin(error)) => {
                stream.send_data(half, false)?;
                // Data sent immediately before a reset may never be written.
                tokio::time::sleep(Duration::from_millis(2)).await;
                stream.send_reset(Reason::from(error));
                return Ok(());
            }
            Some(Fault::TruncatedMessage) => {
                stream.send_data(half, false)?;
                return stream.send_trailers(status(0));
            }
            Some(Fault::NoStatus) => return stream.send_data(message, true),
            Some(Fault::NoMessage) => return stream.send_trailers(status(0)),
            Some(Fault::ResetAfterMessages(after)) => {
                for _ in 0..after {
                    send(&mut stream, message.clone()).await?;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
                stream.send_reset(Reason::CANCEL);
                return Ok(());
            }
            _ => {}
        }
        for _ in 0..count {
            send(&mut stream, message.clone()).await?;
        }
        self.finish(&mut stream, fault).await
    }

    async fn finish(
        &self,
        stream: &mut SendStream<Bytes>,
        fault: Option<Fault>,
    ) -> Result<(), h2::Error> {
        if let Some(Fault::LateTrailers(late)) = fault {
            tokio::time::sleep(late).await;
        }
        stream.send_trailers(status(0))
    }
}

fn response_head() -> Response<()> {
    let mut response = Response::new(());
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    response
        .headers_mut()
        .insert("served-by", HeaderValue::from_static("stand-in"));
    response
}

fn status(code: u8) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", HeaderValue::from(u16::from(code)));
    trailers.insert("grpc-message", HeaderValue::from_static("by the stand-in"));
    trailers.insert("receipt-bin", HeaderValue::from_static("AAEC"));
    trailers
}

/// Returns a trailers-only response.
fn trailers_only(trailers: HeaderMap) -> Response<()> {
    let mut response = response_head();
    response.headers_mut().extend(trailers);
    response
}

/// Returns a message with its length prefix.
pub fn framed(message: &[u8]) -> Bytes {
    let mut framed = vec![0];
    framed.extend((message.len() as u32).to_be_bytes());
    framed.extend(message);
    Bytes::from(framed)
}

/// Sends all data, within the peer's flow-control window.
async fn send(stream: &mut SendStream<Bytes>, mut data: Bytes) -> Result<(), h2::Error> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = match stream.capacity() {
            0 => match std::future::poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(capacity) => capacity?,
                None => return Ok(()),
            },
            capacity => capacity,
        };
        stream.send_data(data.split_to(capacity.min(data.len())), false)?;
    }
    Ok(())
}

/// Decodes the messages of a stream.
struct Messages {
    body: RecvStream,
    buffer: BytesMut,
}

impl Messages {
    fn new(body: RecvStream) -> Messages {
        Messages {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next complete message; `None` at the end, with the bytes of a truncated message
    /// left in `buffer`.
    async fn next(&mut self) -> Result<Option<Bytes>, h2::Error> {
        loop {
            if self.buffer.len() >= 5 {
                let length = u32::from_be_bytes([
                    self.buffer[1],
                    self.buffer[2],
                    self.buffer[3],
                    self.buffer[4],
                ]) as usize;
                if self.buffer.len() >= 5 + length {
                    self.buffer.advance(5);
                    return Ok(Some(self.buffer.split_to(length).freeze()));
                }
            }
            let Some(data) = self.body.data().await else {
                return Ok(None);
            };
            let data = data?;
            self.buffer.extend_from_slice(&data);
            // If the stream has ended, there is no window to extend.
            let _ = self.body.flow_control().release_capacity(data.len());
        }
    }
}

/// What a client received for a call.
#[derive(Clone, Debug, Default)]
pub struct Final {
    /// The HTTP status; 0 if no head was received.
    pub http: u16,
    /// The headers of the response.
    pub head: HeaderMap,
    /// The complete messages.
    pub messages: Vec<Vec<u8>>,
    /// Number of bytes of a truncated message.
    pub truncated_bytes: usize,
    /// The trailers, or the headers again for a trailers-only response.
    pub trailers: HeaderMap,
    /// The error of the reset if the stream was reset; `u32::MAX` for an error without a reason.
    pub reset: Option<u32>,
    /// Time from the start of the call to its end.
    pub took: Duration,
}

impl Final {
    /// Returns the gRPC status, if one was received.
    pub fn code(&self) -> Option<u8> {
        self.trailers
            .get("grpc-status")?
            .to_str()
            .ok()?
            .parse()
            .ok()
    }

    /// Returns a trailer as text.
    pub fn trailer(&self, name: &str) -> Option<&str> {
        self.trailers
            .get(name)
            .and_then(|value| value.to_str().ok())
    }
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// `/package.Service/Method`.
    pub path: String,
    /// The metadata.
    pub headers: Vec<(String, String)>,
    /// The messages to send.
    pub messages: Vec<Vec<u8>>,
}

impl Call {
    /// Creates a call with the platform's metadata and the id as its only message.
    pub fn new(id: &str, path: &str, plan: &str, timeout: &str) -> Call {
        let headers = [
            ("request-id", id),
            ("api-plan", plan),
            ("cookie", "client=00000000b4d65521"),
            ("api-terms", "units=1,spread=1,first=0"),
            ("grpc-timeout", timeout),
        ];
        let headers = headers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        Call {
            path: path.to_owned(),
            headers,
            messages: vec![id.as_bytes().to_vec()],
        }
    }

    /// Sets a metadata value, replacing an earlier one.
    pub fn with(mut self, name: &str, value: &str) -> Call {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A client's connection.
#[derive(Clone)]
pub struct Client(h2::client::SendRequest<Bytes>);

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    /// If the connection can't be established.
    pub async fn open(to: SocketAddr) -> Result<Client, String> {
        Client::open_with(to, h2::client::Builder::new()).await
    }

    /// Opens a connection with this flow-control window, in bytes, for each response.
    ///
    /// # Errors
    /// If the connection can't be established.
    pub async fn open_with_window(to: SocketAddr, window: u32) -> Result<Client, String> {
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(window);
        Client::open_with(to, builder).await
    }

    async fn open_with(to: SocketAddr, builder: h2::client::Builder) -> Result<Client, String> {
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| error.to_string())?;
        // If this fails, calls are delayed but still correct.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = builder
            .handshake(stream)
            .await
            .map_err(|error| error.to_string())?;
        tokio::task::spawn_local(async move {
            // An error of the connection is also reported to its calls.
            let _ = connection.await;
        });
        Ok(Client(sender))
    }

    /// Makes a call: sends all messages, then reads the whole response.
    pub async fn call(&self, call: &Call) -> Final {
        let began = Instant::now();
        let mut seen = Final::default();
        if let Err(error) = self.exchange(call, &mut seen).await {
            seen.reset = Some(error.reason().map_or(u32::MAX, u32::from));
        }
        seen.took = began.elapsed();
        seen
    }

    async fn exchange(&self, call: &Call, seen: &mut Final) -> Result<(), h2::Error> {
        let (response, mut stream) = self.begin(call).await?;
        for message in &call.messages {
            // A service that responds early may not read all messages.
            if send(&mut stream, framed(message)).await.is_err() {
                break;
            }
        }
        let _ = stream.send_data(Bytes::new(), true);
        read(response, seen).await
    }

    /// Starts a call by sending only its head.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn begin(
        &self,
        call: &Call,
    ) -> Result<(h2::client::ResponseFuture, SendStream<Bytes>), h2::Error> {
        let mut sender = self.0.clone().ready().await?;
        let mut request =
            Request::post(format!("http://lots.internal{}", call.path)).header("te", "trailers");
        if !call.headers.iter().any(|(name, _)| name == "content-type") {
            request = request.header("content-type", "application/grpc");
        }
        for (name, value) in &call.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        let Ok(request) = request.body(()) else {
            return Err(h2::Error::from(Reason::PROTOCOL_ERROR));
        };
        sender.send_request(request, false)
    }
}

/// Reads a response to its end.
///
/// # Errors
/// If the stream is reset or the connection breaks; `seen` holds what was received before.
pub async fn read(response: h2::client::ResponseFuture, seen: &mut Final) -> Result<(), h2::Error> {
    let response = response.await?;
    let (head, body) = response.into_parts();
    (seen.http, seen.head) = (head.status.as_u16(), head.headers.clone());
    if body.is_end_stream() {
        seen.trailers = head.headers;
        return Ok(());
    }
    let mut messages = Messages::new(body);
    loop {
        let next = messages.next().await;
        seen.truncated_bytes = messages.buffer.len();
        match next? {
            Some(message) => seen.messages.push(message.to_vec()),
            None => break,
        }
    }
    seen.trailers = messages.body.trailers().await?.unwrap_or_default();
    Ok(())
}
