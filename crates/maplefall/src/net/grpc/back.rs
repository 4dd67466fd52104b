//! Attempts of calls: connections to backends, many calls on each, and what comes back on them.

use super::super::backends::{header_number, MAX_USAGE_PERCENT};
use super::passage::ProxiedCall;
use h2::client::{self, SendRequest};
use h2::{Ping, PingPong, RecvStream, SendStream};
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, TE};
use hyper::{HeaderMap, Method, Request, Uri, Version};
use maplefall_grpc::{timeout, Attempt, Call, End, Next};
use maplefall_policy::{BackendId, Care, Millis, Outcome};
use maplefall_protocol::headers::{API_CHARGE, API_USAGE, REQUEST_ID};
use maplefall_protocol::{Ended, Order};
use maplefall_settings::Links;
use maplefall_upstream::{AttemptHandle, Clock, ConnectError, Pools};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::AbortHandle;

/// `grpc-timeout`.
pub const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// How many attempts came before this one (gRFC A6).
const PREVIOUS_ATTEMPTS: HeaderName = HeaderName::from_static("grpc-previous-rpc-attempts");
/// Bytes of heads and trailers of a backend's answer at most.
const MAX_HEADER_BYTES: u32 = 32 * 1024;
/// How often idle connections are looked through.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A connection that was heard of within this time is taken to be alive by a call that must not run twice.
const LIVENESS_WINDOW: Duration = Duration::from_millis(20);
/// How long such a call waits at most for the connection to prove itself, as a part of its time.
const PING_TIMEOUT_FRACTION: f64 = 0.25;
/// Connections that are tried for one attempt at most, where they break before anything is sent.
const MAX_CONNECTIONS_PER_ATTEMPT: usize = 3;

/// A connection to a backend.
struct Connection {
    sender: SendRequest<Bytes>,
    dial: SocketAddr,
    /// Calls on it.
    calls: Cell<usize>,
    idle_since: Cell<Instant>,
    last_activity: Cell<Instant>,
    ping: Mutex<Option<PingPong>>,
    task: AbortHandle,
    /// Whether it takes no further call.
    closed: Rc<Cell<bool>>,
    _slot: ConnectionSlot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // With no call on it there is nothing left to wait for.
        if self.calls.get() == 0 {
            self.task.abort();
        }
    }
}

/// A call's place on a connection.
struct CallGuard(Rc<Connection>);

impl CallGuard {
    fn new(connection: Rc<Connection>) -> CallGuard {
        connection.calls.set(connection.calls.get() + 1);
        CallGuard(connection)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// A place in the budget of connections.
struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connections to all backends that calls go to.
pub struct Backends {
    links: Links,
    budget: usize,
    streams: usize,
    open: Rc<Cell<usize>>,
    max_units: f64,
    connections: RefCell<HashMap<BackendId, Vec<Rc<Connection>>>>,
    /// Held by whoever dials a backend: the others wait for what comes of it rather than dial too.
    dialling: RefCell<HashMap<BackendId, Rc<Mutex<()>>>>,
}

/// What an attempt is carried out with.
pub struct AttemptContext<'a> {
    /// Which backends take new work, and where they are.
    pub pools: &'a Pools,
    /// The clock.
    pub clock: Clock,
    /// What belongs to the request.
    pub forwarded: &'a Order,
    /// The call.
    pub call: &'a ProxiedCall,
    /// How long the attempt may take.
    pub timeout: Millis,
    /// What is done lest a broken connection takes it along.
    pub care: Care,
    /// The driver's hold on it.
    pub handle: &'a AttemptHandle,
    /// Tells the decision module that there will be no further attempt.
    pub committed: &'a dyn Fn(),
}

impl Backends {
    /// At most `budget` connections, with `streams` calls on each; a call counts `max_units` at most.
    pub fn new(links: Links, budget: usize, streams: usize, max_units: f64) -> Backends {
        Backends {
            links,
            budget,
            streams,
            open: Rc::default(),
            max_units,
            connections: RefCell::default(),
            dialling: RefCell::default(),
        }
    }

    /// Carries out one attempt and tells how it ended.
    pub async fn attempt(&self, to: BackendId, context: AttemptContext<'_>) -> Ended {
        let Ok(attempt_number) = context.call.begin_attempt() else {
            return Ended::of(Outcome::NotSent);
        };
        let deadline = context.clock.now() + context.timeout;
        let shape = context.call.shape();
        let mut attempt = Attempt::new(shape, deadline, context.call.deadline());
        let mut metadata = ResponseMetadata {
            max_units: self.max_units,
            ..ResponseMetadata::default()
        };
        let end = self
            .run_attempt(
                to,
                &context,
                attempt_number,
                deadline,
                &mut attempt,
                &mut metadata,
            )
            .await;
        let outcome = end.outcome;
        context
            .call
            .end_attempt(attempt_number, end, metadata.trailers);
        Ended {
            used: metadata.used,
            charge: metadata.charge,
            ..Ended::of(outcome)
        }
    }

    async fn run_attempt(
        &self,
        to: BackendId,
        context: &AttemptContext<'_>,
        attempt_number: u32,
        deadline: Millis,
        attempt: &mut Attempt,
        metadata: &mut ResponseMetadata,
    ) -> End {
        let end = |end: Option<End>| end.unwrap_or_else(|| ALREADY_ENDED.clone());
        for _ in 0..MAX_CONNECTIONS_PER_ATTEMPT {
            let guard = match self.connection(to, context.pools).await {
                Ok(connection) => CallGuard::new(connection),
                Err(ConnectError::LocalLimit) => return NOT_SENT.clone(),
                Err(ConnectError::Unreachable) => return end(attempt.unreachable()),
            };
            let connection = &guard.0;
            if context.care != Care::Usual
                && !connection
                    .is_alive(context.timeout * PING_TIMEOUT_FRACTION)
                    .await
            {
                connection.closed.set(true);
                continue;
            }
            let Ok(mut sender) = connection.sender.clone().ready().await else {
                connection.closed.set(true);
                continue;
            };
            // The wait may have outlasted the backend's place in the list, or its life.
            if context.pools.dial_address(to) != Some(connection.dial) {
                return NOT_SENT.clone();
            }
            let time_left = deadline - context.clock.now();
            let Some(request) = build_request(context, time_left, attempt_number) else {
                return NOT_SENT.clone();
            };
            let no_body = context.call.upload_ends_at(0);
            let Ok((response, upload)) = sender.send_request(request, no_body) else {
                connection.closed.set(true);
                continue;
            };
            attempt.sent();
            context.handle.mark_multiplexed();
            let mut upload = std::pin::pin!(send_upload(context, upload, no_body));
            let mut response = std::pin::pin!(read_response(
                context,
                connection,
                attempt_number,
                attempt,
                metadata,
                response
            ));
            let mut uploading = true;
            return loop {
                tokio::select! {
                    ended = &mut response => break end(ended),
                    () = &mut upload, if uploading => uploading = false,
                }
            };
        }
        end(attempt.unreachable())
    }

    /// A connection with room for one more call.
    async fn connection(
        &self,
        to: BackendId,
        pools: &Pools,
    ) -> Result<Rc<Connection>, ConnectError> {
        let Some(dial) = pools.dial_address(to) else {
            return Err(ConnectError::LocalLimit);
        };
        if let Some(connection) = self.open_connection(to, dial) {
            return Ok(connection);
        }
        let dialling = self.dialling.borrow_mut().entry(to).or_default().clone();
        let _turn = dialling.lock().await;
        // Whoever dialled meanwhile may have left room.
        if let Some(connection) = self.open_connection(to, dial) {
            return Ok(connection);
        }
        if self.open.get() >= self.budget && !self.close_oldest() {
            return Err(ConnectError::LocalLimit);
        }
        self.open.set(self.open.get() + 1);
        let slot = ConnectionSlot(self.open.clone());
        let limit =
            Duration::try_from_secs_f64(self.links.dial_timeout / 1000.0).unwrap_or_default();
        let dialled = tokio::time::timeout(limit, dial_h2(dial)).await;
        let Ok(Some((sender, mut connection))) = dialled else {
            return Err(ConnectError::Unreachable);
        };
        let ping = Mutex::new(connection.ping_pong());
        let closed = Rc::new(Cell::new(false));
        let ended = closed.clone();
        let task = tokio::task::spawn_local(async move {
            // Whatever ends it, the calls on it are told.
            let _ = connection.await;
            ended.set(true);
        });
        let now = Instant::now();
        let connection = Rc::new(Connection {
            sender,
            dial,
            calls: Cell::new(0),
            idle_since: Cell::new(now),
            last_activity: Cell::new(now - LIVENESS_WINDOW),
            ping,
            task: task.abort_handle(),
            closed,
            _slot: slot,
        });
        self.connections
            .borrow_mut()
            .entry(to)
            .or_default()
            .push(connection.clone());
        Ok(connection)
    }

    /// A connection that is open already and has room.
    fn open_connection(&self, to: BackendId, dial: SocketAddr) -> Option<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        let known = connections.get_mut(&to)?;
        known.retain(|connection| !connection.closed.get() && connection.dial == dial);
        known
            .iter()
            .find(|connection| connection.calls.get() < connection.max_calls(self.streams))
            .cloned()
    }

    /// Closes the connection without calls that has been so for longest; tells whether there was one.
    fn close_oldest(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let idle = connections.iter().flat_map(|(id, known)| {
            let idle = known
                .iter()
                .enumerate()
                .filter(|(_, connection)| connection.calls.get() == 0);
            idle.map(|(at, connection)| (connection.idle_since.get(), *id, at))
        });
        let Some((_, id, at)) = idle.min_by_key(|(since, _, _)| *since) else {
            return false;
        };
        connections
            .get_mut(&id)
            .map(|known| known.remove(at))
            .is_some()
    }

    /// Closes connections that nobody needs, for as long as the front door runs.
    pub async fn close_idle_connections(&self, pools: &Pools) {
        let max_idle =
            Duration::try_from_secs_f64(self.links.idle_close / 1000.0).unwrap_or_default();
        loop {
            tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
            self.connections.borrow_mut().retain(|id, known| {
                let takes_new = pools.accepts_requests(*id);
                known.retain(|connection| {
                    let idle = connection.calls.get() == 0;
                    let old = connection.idle_since.get().elapsed() > max_idle;
                    !connection.closed.get() && !(idle && (old || !takes_new))
                });
                !known.is_empty()
            });
            let connections = self.connections.borrow();
            self.dialling
                .borrow_mut()
                .retain(|id, turn| connections.contains_key(id) || Rc::strong_count(turn) > 1);
        }
    }
}

impl Connection {
    /// Calls that it takes at most: the backend's own limit counts too, as far as it has told one.
    fn max_calls(&self, streams: usize) -> usize {
        streams.min(self.sender.current_max_send_streams())
    }

    /// Guards calls that must not run twice against connections that are dead unseen: one that has not been heard of for
    /// a moment is asked first, by a `PING` (RFC 9113, 6.7).
    async fn is_alive(&self, wait: Millis) -> bool {
        if self.last_activity.get().elapsed() < LIVENESS_WINDOW {
            return true;
        }
        let wait = Duration::try_from_secs_f64(wait / 1000.0).unwrap_or_default();
        let pong = async {
            let mut ping = self.ping.lock().await;
            match ping.as_mut() {
                Some(ping) => ping.ping(Ping::opaque()).await.is_ok(),
                None => false,
            }
        };
        let alive = tokio::time::timeout(wait, pong).await == Ok(true);
        if alive {
            self.last_activity.set(Instant::now());
        }
        alive
    }
}

const NOT_SENT: &End = &End {
    outcome: Outcome::NotSent,
    code: maplefall_grpc::Code::Unavailable,
    why: "not sent",
};
/// An attempt tells its end once, and it is taken once.
const ALREADY_ENDED: &End = &End {
    outcome: Outcome::Reset,
    code: maplefall_grpc::Code::Internal,
    why: "over",
};

/// What came with an end.
#[derive(Default)]
struct ResponseMetadata {
    trailers: HeaderMap,
    used: Option<f64>,
    charge: Option<f64>,
    max_units: f64,
}

impl ResponseMetadata {
    /// What heads and trailers tell of the customer; the first word counts.
    fn read_usage(&mut self, headers: &HeaderMap) {
        let used =
            header_number(headers, &API_USAGE, MAX_USAGE_PERCENT).map(|percent| percent / 100.0);
        self.used = self.used.or(used);
        self.charge = self
            .charge
            .or(header_number(headers, &API_CHARGE, self.max_units));
    }
}

async fn dial_h2(
    address: SocketAddr,
) -> Option<(SendRequest<Bytes>, client::Connection<TcpStream, Bytes>)> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Without it calls are late, not wrong.
    let _ = stream.set_nodelay(true);
    let mut builder = client::Builder::new();
    builder
        .enable_push(false)
        .max_header_list_size(MAX_HEADER_BYTES);
    builder.handshake(stream).await.ok()
}

/// A call as it is written to a backend, which is told what is left of its time.
fn build_request(
    context: &AttemptContext<'_>,
    time_left: Millis,
    attempt_number: u32,
) -> Option<Request<()>> {
    let call = context.call;
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.authority.as_str())
        .path_and_query(call.path.clone())
        .build()
        .ok()?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_2;
    let headers = request.headers_mut();
    *headers = call.metadata.clone();
    headers.insert(TE, HeaderValue::from_static("trailers"));
    headers.insert(REQUEST_ID, context.forwarded.id_value.clone());
    headers.insert(
        GRPC_TIMEOUT,
        HeaderValue::try_from(timeout::format(time_left)).ok()?,
    );
    if attempt_number > 0 {
        headers.insert(PREVIOUS_ATTEMPTS, HeaderValue::from(attempt_number));
    }
    for (name, value) in &context.forwarded.onward {
        headers.append(name.clone(), value.clone());
    }
    Some(request)
}

/// Sends what the client sends, as far as the backend takes it.
async fn send_upload(context: &AttemptContext<'_>, mut upload: SendStream<Bytes>, no_body: bool) {
    if no_body {
        return;
    }
    let mut index = 0;
    loop {
        match context.call.next_upload(index, context.committed).await {
            Next::Chunk(mut chunk) => {
                while !chunk.is_empty() {
                    upload.reserve_capacity(chunk.len());
                    // The library wakes for more room alone, not for what there is.
                    let capacity = match upload.capacity() {
                        0 => match std::future::poll_fn(|cx| upload.poll_capacity(cx)).await {
                            Some(Ok(capacity)) => capacity,
                            // The backend wants no more: its answer says why.
                            _ => return,
                        },
                        capacity => capacity,
                    };
                    if upload
                        .send_data(chunk.split_to(capacity.min(chunk.len())), false)
                        .is_err()
                    {
                        return;
                    }
                }
                index += 1;
                context.call.mark_sent(index);
            }
            Next::End => {
                let _ = upload.send_data(Bytes::new(), true);
                return;
            }
            // Nobody begins an attempt at a call that is committed.
            Next::Wait | Next::Gone => return,
        }
    }
}

/// Reads the answer; `None` if its end has been told.
async fn read_response(
    context: &AttemptContext<'_>,
    connection: &Connection,
    attempt_number: u32,
    attempt: &mut Attempt,
    metadata: &mut ResponseMetadata,
    response: client::ResponseFuture,
) -> Option<End> {
    let now = || context.clock.now();
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return transport_error(attempt, connection, now(), &error),
    };
    connection.last_activity.set(Instant::now());
    let (head, mut body): (_, RecvStream) = response.into_parts();
    metadata.read_usage(&head.headers);
    if let Some(end) = attempt.head(
        now(),
        head.status.as_u16(),
        &head.headers,
        body.is_end_stream(),
    ) {
        metadata.trailers = head.headers;
        return Some(end);
    }
    context
        .call
        .update(|call, outputs| call.head(attempt_number, head.headers, outputs));
    while let Some(data) = body.data().await {
        let data = match data {
            Ok(data) => data,
            Err(error) => return transport_error(attempt, connection, now(), &error),
        };
        connection.last_activity.set(Instant::now());
        if let Some(end) = attempt.data(&data) {
            return Some(end);
        }
        let length = data.len();
        if context
            .call
            .update(|call: &mut Call, outputs| call.data(attempt_number, data, outputs))
        {
            (context.committed)();
        }
        context.call.wait_for_capacity().await;
        // Where the stream is over there is no window to open.
        let _ = body.flow_control().release_capacity(length);
    }
    match body.trailers().await {
        Ok(Some(trailers)) => {
            metadata.read_usage(&trailers);
            let end = attempt.trailers(now(), &trailers);
            metadata.trailers = trailers;
            end
        }
        Ok(None) => attempt.ended_bare(),
        Err(error) => transport_error(attempt, connection, now(), &error),
    }
}

/// What an error of the transport means for an attempt.
fn transport_error(
    attempt: &mut Attempt,
    connection: &Connection,
    now: Millis,
    error: &h2::Error,
) -> Option<End> {
    if error.is_reset() && error.is_remote() {
        let reason = error.reason().map_or(0, u32::from);
        return attempt.reset(now, reason);
    }
    connection.closed.set(true);
    if error.is_go_away() && error.is_remote() {
        attempt.unprocessed()
    } else {
        attempt.lost()
    }
}
