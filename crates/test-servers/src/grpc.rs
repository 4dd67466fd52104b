//! A played gRPC service and a played client of one, over HTTP/2 without TLS. What they write is by gRPC's published
//! `PROTOCOL-HTTP2.md`, stream by stream, and where it is called for against it: an HTTP/2 library carries the frames, no gRPC
//! library stands in the way of what is wrong.

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

/// Calls that the log holds at most; beyond them nothing is noted.
const MOST_LOGGED: usize = 200_000;

/// A way to fail at a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It runs, and the answer is this status alone.
    Status(u8),
    /// It does not run: this status alone, with `not-started: 1`.
    NotStarted(u8),
    /// The stream is refused unread: it does not run.
    Refused,
    /// It runs, and the stream is reset with this error in the answer's place.
    ResetUnanswered(u32),
    /// It runs; a head, half of a message, and a reset with this error.
    ResetWithin(u32),
    /// It runs; half of a message, and trailers that say `OK`.
    TruncatedMessage,
    /// It runs; a whole message, and the stream ends without trailers.
    NoStatus,
    /// It runs; `OK` without a message.
    NoMessage,
    /// It runs; the trailers come so much later than the message.
    LateTrailers(Duration),
    /// It runs; the head comes so much later.
    LateHead(Duration),
    /// It runs, and nothing is ever said.
    NoResponse,
    /// It runs, and the connection is closed instead of an answer.
    Drop,
    /// It runs, and the answer is a page of this HTTP status.
    Page(u16),
    /// It runs; of a stream's answer so many messages come, then a reset with `CANCEL`.
    ResetAfterMessages(usize),
}

/// A call as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its head came.
    pub at: Instant,
    /// Its path.
    pub path: String,
    /// Its metadata.
    pub headers: HeaderMap,
    /// Its messages' bytes, without their prefixes.
    pub messages: Vec<Vec<u8>>,
    /// Whether it ran.
    pub ran: bool,
}

impl Seen {
    /// A piece of metadata, as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A played service. It sends back what it is sent; a method whose name begins with `Watch` answers one message with three,
/// one with `Upload` many with one, one with `Report` each of many with one.
pub struct Service {
    fault: RefCell<Vec<(Fault, f64)>>,
    log: RefCell<BTreeMap<String, Vec<Seen>>>,
    seed: u64,
    drawn: Cell<u64>,
    /// How long a call takes.
    work: Cell<Duration>,
    streams: Cell<u32>,
}

impl Service {
    /// A service that fails at nothing.
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

    /// Strikes these parts of the calls from now on.
    pub fn faults(&self, faults: &[(Fault, f64)]) {
        *self.fault.borrow_mut() = faults.to_vec();
    }

    /// Takes so long for each call from now on.
    pub fn work(&self, work: Duration) {
        self.work.set(work);
    }

    /// Takes so many calls on one connection at most, for connections to come.
    pub fn streams(&self, streams: u32) {
        self.streams.set(streams);
    }

    /// The attempts of a call, in their order.
    pub fn attempts(&self, id: &str) -> Vec<Seen> {
        self.log.borrow().get(id).cloned().unwrap_or_default()
    }

    /// How many calls came, each attempt.
    pub fn seen(&self) -> usize {
        self.log.borrow().values().map(Vec::len).sum()
    }

    /// When the last call began here.
    pub fn last(&self) -> Option<Instant> {
        self.log
            .borrow()
            .values()
            .flatten()
            .map(|seen| seen.at)
            .max()
    }

    /// Serves here for as long as it is polled.
    ///
    /// # Errors
    /// What the system says of the listener.
    pub async fn serve(self: Rc<Self>, listener: StdListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        loop {
            let (stream, _) = listener.accept().await?;
            tokio::task::spawn_local(self.clone().talk(stream));
        }
    }

    async fn talk(self: Rc<Self>, stream: TcpStream) {
        // Without it answers are late, not wrong.
        let _ = stream.set_nodelay(true);
        let mut builder = h2::server::Builder::new();
        builder.max_concurrent_streams(self.streams.get());
        let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
            return;
        };
        let cut = Rc::new(Notify::new());
        loop {
            tokio::select! {
                call = connection.accept() => {
                    let Some(Ok((request, respond))) = call else { return };
                    let (service, cut) = (self.clone(), cut.clone());
                    tokio::task::spawn_local(async move {
                        // Whoever has gone hears no answer.
                        let _ = service.answer(request, respond, &cut).await;
                    });
                }
                () = cut.notified() => return,
            }
        }
    }

    fn strikes(&self) -> Option<Fault> {
        self.drawn.set(self.drawn.get() + 1);
        let mut lot = draw(self.seed, self.drawn.get(), 1);
        for (fault, part) in self.fault.borrow().iter() {
            if lot < *part {
                return Some(*fault);
            }
            lot -= part;
        }
        None
    }

    fn note(&self, id: &str, seen: Seen) -> Option<usize> {
        let mut log = self.log.borrow_mut();
        if log.len() >= MOST_LOGGED {
            return None;
        }
        let attempts = log.entry(id.to_owned()).or_default();
        attempts.push(seen);
        Some(attempts.len() - 1)
    }

    fn update(&self, id: &str, place: Option<usize>, change: impl FnOnce(&mut Seen)) {
        let mut log = self.log.borrow_mut();
        if let Some(seen) = place.and_then(|at| log.get_mut(id)?.get_mut(at)) {
            change(seen);
        }
    }

    async fn answer(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        cut: &Notify,
    ) -> Result<(), h2::Error> {
        let (head, body) = request.into_parts();
        let id = head
            .headers
            .get("request-id")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let path = head.uri.path().to_owned();
        let fault = self.strikes();
        let seen = Seen {
            at: Instant::now(),
            path: path.clone(),
            headers: head.headers,
            messages: Vec::new(),
            ran: false,
        };
        let place = self.note(&id, seen);
        match fault {
            Some(Fault::Refused) => {
                respond.send_reset(Reason::REFUSED_STREAM);
                return Ok(());
            }
            Some(Fault::NotStarted(code)) => {
                let mut trailers = status(code);
                trailers.insert("not-started", HeaderValue::from_static("1"));
                respond.send_response(bare(trailers), true)?;
                return Ok(());
            }
            _ => {}
        }
        let method = path.rsplit('/').next().unwrap_or_default();
        let mut messages = Messages::new(body);
        if method.starts_with("Report") {
            // A stream's handler runs from its first message on.
            let mut stream = None;
            while let Some(message) = messages.next().await? {
                self.update(&id, place, |seen| {
                    seen.ran = true;
                    seen.messages.push(message.to_vec());
                });
                if stream.is_none() {
                    stream = Some(respond.send_response(answer_head(), false)?);
                }
                if let Some(stream) = &mut stream {
                    send(stream, framed(&message)).await?;
                }
            }
            let mut stream = match stream {
                Some(stream) => stream,
                None => respond.send_response(answer_head(), false)?,
            };
            return self.end(&mut stream, fault).await;
        }
        let mut whole = Vec::new();
        while let Some(message) = messages.next().await? {
            whole.push(message.to_vec());
        }
        let last = whole.last().cloned().unwrap_or_default();
        self.update(&id, place, |seen| (seen.ran, seen.messages) = (true, whole));
        tokio::time::sleep(self.work.get()).await;
        let message = framed(&last);
        let half = message.slice(..message.len() / 2);
        let count = if method.starts_with("Watch") { 3 } else { 1 };
        match fault {
            Some(Fault::Status(code)) => {
                respond.send_response(bare(status(code)), true)?;
                return Ok(());
            }
            Some(Fault::ResetUnanswered(error)) => {
                respond.send_reset(Reason::from(error));
                return Ok(());
            }
            Some(Fault::NoResponse) => {
                // The stream stays open for as long as the other end wants it.
                let _ = std::future::poll_fn(|cx| respond.poll_reset(cx)).await;
                return Ok(());
            }
            Some(Fault::Drop) => {
                cut.notify_one();
                // Given up here the stream would be reset first.
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
        let mut stream = respond.send_response(answer_head(), false)?;
        match fault {
            Some(Fault::ResetWithin(error)) => {
                stream.send_data(half, false)?;
                // What is reset at once may never be written.
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
        self.end(&mut stream, fault).await
    }

    async fn end(
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

fn answer_head() -> Response<()> {
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

/// A head that is the whole answer.
fn bare(trailers: HeaderMap) -> Response<()> {
    let mut response = answer_head();
    response.headers_mut().extend(trailers);
    response
}

/// A message with its prefix.
pub fn framed(message: &[u8]) -> Bytes {
    let mut framed = vec![0];
    framed.extend((message.len() as u32).to_be_bytes());
    framed.extend(message);
    Bytes::from(framed)
}

/// Sends all of this as the other end takes it.
async fn send(stream: &mut SendStream<Bytes>, mut data: Bytes) -> Result<(), h2::Error> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let room = match stream.capacity() {
            0 => match std::future::poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(room) => room?,
                None => return Ok(()),
            },
            room => room,
        };
        stream.send_data(data.split_to(room.min(data.len())), false)?;
    }
    Ok(())
}

/// Messages taken from a stream.
struct Messages {
    body: RecvStream,
    read: BytesMut,
}

impl Messages {
    fn new(body: RecvStream) -> Messages {
        Messages {
            body,
            read: BytesMut::new(),
        }
    }

    /// The next whole message; `None` at the end, with what is cut left in `read`.
    async fn next(&mut self) -> Result<Option<Bytes>, h2::Error> {
        loop {
            if self.read.len() >= 5 {
                let length =
                    u32::from_be_bytes([self.read[1], self.read[2], self.read[3], self.read[4]])
                        as usize;
                if self.read.len() >= 5 + length {
                    self.read.advance(5);
                    return Ok(Some(self.read.split_to(length).freeze()));
                }
            }
            let Some(data) = self.body.data().await else {
                return Ok(None);
            };
            let data = data?;
            self.read.extend_from_slice(&data);
            // Where the stream is over there is no window to open.
            let _ = self.body.flow_control().release_capacity(data.len());
        }
    }
}

/// What a client saw of a call.
#[derive(Clone, Debug, Default)]
pub struct Final {
    /// The HTTP status; 0 if no head came.
    pub http: u16,
    /// The head.
    pub head: HeaderMap,
    /// Whole messages.
    pub messages: Vec<Vec<u8>>,
    /// Bytes of a message that was cut.
    pub truncated_bytes: usize,
    /// The trailers, or the head again where it was all.
    pub trailers: HeaderMap,
    /// The error that the stream was reset with, if it was.
    pub reset: Option<u32>,
    /// How long it took from the call's head to its end.
    pub took: Duration,
}

impl Final {
    /// The status; `None` if none came.
    pub fn code(&self) -> Option<u8> {
        self.trailers
            .get("grpc-status")?
            .to_str()
            .ok()?
            .parse()
            .ok()
    }

    /// A trailer, as text.
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
    /// Metadata.
    pub headers: Vec<(String, String)>,
    /// What is sent, each a message.
    pub messages: Vec<Vec<u8>>,
}

impl Call {
    /// A call with the platform's metadata.
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

    /// With one more piece of metadata.
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
    /// Connects.
    ///
    /// # Errors
    /// If no connection comes up.
    pub async fn open(to: SocketAddr) -> Result<Client, String> {
        Client::open_with(to, h2::client::Builder::new()).await
    }

    /// Connects, with a window of so many bytes for each answer.
    ///
    /// # Errors
    /// If no connection comes up.
    pub async fn open_with_window(to: SocketAddr, window: u32) -> Result<Client, String> {
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(window);
        Client::open_with(to, builder).await
    }

    async fn open_with(to: SocketAddr, builder: h2::client::Builder) -> Result<Client, String> {
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| error.to_string())?;
        // Without it calls are late, not wrong.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = builder
            .handshake(stream)
            .await
            .map_err(|error| error.to_string())?;
        tokio::task::spawn_local(async move {
            // Whatever ends it, its calls are told.
            let _ = connection.await;
        });
        Ok(Client(sender))
    }

    /// Makes a call: sends all, then reads all.
    pub async fn call(&self, call: &Call) -> Final {
        let began = Instant::now();
        let mut seen = Final::default();
        if let Err(error) = self.carry(call, &mut seen).await {
            seen.reset = Some(error.reason().map_or(u32::MAX, u32::from));
        }
        seen.took = began.elapsed();
        seen
    }

    async fn carry(&self, call: &Call, seen: &mut Final) -> Result<(), h2::Error> {
        let (answer, mut stream) = self.begin(call).await?;
        for message in &call.messages {
            // Who answers early may not take all of it.
            if send(&mut stream, framed(message)).await.is_err() {
                break;
            }
        }
        let _ = stream.send_data(Bytes::new(), true);
        read(answer, seen).await
    }

    /// Sends a call's head alone.
    ///
    /// # Errors
    /// If the connection is over.
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

/// Reads an answer to its end.
///
/// # Errors
/// If the stream is reset or the connection breaks; what came before is in `seen`.
pub async fn read(answer: h2::client::ResponseFuture, seen: &mut Final) -> Result<(), h2::Error> {
    let answer = answer.await?;
    let (head, body) = answer.into_parts();
    (seen.http, seen.head) = (head.status.as_u16(), head.headers.clone());
    if body.is_end_stream() {
        seen.trailers = head.headers;
        return Ok(());
    }
    let mut messages = Messages::new(body);
    loop {
        let next = messages.next().await;
        seen.truncated_bytes = messages.read.len();
        match next? {
            Some(message) => seen.messages.push(message.to_vec()),
            None => break,
        }
    }
    seen.trailers = messages.body.trailers().await?.unwrap_or_default();
    Ok(())
}
