//! Attempts of calls: connections to backends, many calls on each, and what comes back on them.

use super::super::backends::{number, MOST_USAGE};
use super::passage::Passage;
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
const PREVIOUS: HeaderName = HeaderName::from_static("grpc-previous-rpc-attempts");
/// Bytes of heads and trailers of a backend's answer at most.
const LONGEST_HEAD: u32 = 32 * 1024;
/// How often idle connections are looked through.
const TIDY: Duration = Duration::from_millis(500);
/// A connection that was heard of within this time is taken to be alive by a call that must not run twice.
const HEARD: Duration = Duration::from_millis(20);
/// How long such a call waits at most for the connection to prove itself, as a part of its time.
const PROOF_PART: f64 = 0.25;
/// Connections that are tried for one attempt at most, where they break before anything is sent.
const TRIES: usize = 3;

/// A connection to a backend.
struct Connection {
    sender: SendRequest<Bytes>,
    dial: SocketAddr,
    /// Calls on it.
    calls: Cell<usize>,
    idle_since: Cell<Instant>,
    heard: Cell<Instant>,
    ping: Mutex<Option<PingPong>>,
    task: AbortHandle,
    /// Whether it takes no further call.
    over: Rc<Cell<bool>>,
    _slot: Slot,
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
struct OnIt(Rc<Connection>);

impl OnIt {
    fn new(connection: Rc<Connection>) -> OnIt {
        connection.calls.set(connection.calls.get() + 1);
        OnIt(connection)
    }
}

impl Drop for OnIt {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// A place in the budget of connections.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
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
pub struct Errand<'a> {
    /// Which backends take new work, and where they are.
    pub pools: &'a Pools,
    /// The clock.
    pub clock: Clock,
    /// What belongs to the request.
    pub order: &'a Order,
    /// The call.
    pub passage: &'a Passage,
    /// How long the attempt may take.
    pub limit: Millis,
    /// What is done lest a broken connection takes it along.
    pub care: Care,
    /// The driver's hold on it.
    pub line: &'a AttemptHandle,
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
    pub async fn attempt(&self, to: BackendId, errand: Errand<'_>) -> Ended {
        let Ok(number_of) = errand.passage.begin() else {
            return Ended::of(Outcome::NotSent);
        };
        let until = errand.clock.now() + errand.limit;
        let shape = errand.passage.shape();
        let mut attempt = Attempt::new(shape, until, errand.passage.deadline());
        let mut told = Told {
            max_units: self.max_units,
            ..Told::default()
        };
        let end = self
            .carry(to, &errand, number_of, until, &mut attempt, &mut told)
            .await;
        let outcome = end.outcome;
        errand.passage.ended(number_of, end, told.trailers);
        Ended {
            used: told.used,
            charge: told.charge,
            ..Ended::of(outcome)
        }
    }

    async fn carry(
        &self,
        to: BackendId,
        errand: &Errand<'_>,
        number_of: u32,
        until: Millis,
        attempt: &mut Attempt,
        told: &mut Told,
    ) -> End {
        let end = |end: Option<End>| end.unwrap_or_else(|| END_TOLD.clone());
        for _ in 0..TRIES {
            let on_it = match self.connection(to, errand.pools).await {
                Ok(connection) => OnIt::new(connection),
                Err(ConnectError::LocalLimit) => return NOT_SENT.clone(),
                Err(ConnectError::Unreachable) => return end(attempt.unreachable()),
            };
            let connection = &on_it.0;
            if errand.care != Care::Usual
                && !connection.proves_itself(errand.limit * PROOF_PART).await
            {
                connection.over.set(true);
                continue;
            }
            let Ok(mut sender) = connection.sender.clone().ready().await else {
                connection.over.set(true);
                continue;
            };
            // The wait may have outlasted the backend's place in the list, or its life.
            if errand.pools.dial_address(to) != Some(connection.dial) {
                return NOT_SENT.clone();
            }
            let left = until - errand.clock.now();
            let Some(request) = request(errand, left, number_of) else {
                return NOT_SENT.clone();
            };
            let bare = errand.passage.ends_at(0);
            let Ok((answer, upload)) = sender.send_request(request, bare) else {
                connection.over.set(true);
                continue;
            };
            attempt.sent();
            errand.line.mark_multiplexed();
            let mut upload = std::pin::pin!(send_up(errand, upload, bare));
            let mut answer =
                std::pin::pin!(read(errand, connection, number_of, attempt, told, answer));
            let mut uploading = true;
            return loop {
                tokio::select! {
                    ended = &mut answer => break end(ended),
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
        if let Some(connection) = self.known(to, dial) {
            return Ok(connection);
        }
        let dialling = self.dialling.borrow_mut().entry(to).or_default().clone();
        let _turn = dialling.lock().await;
        // Whoever dialled meanwhile may have left room.
        if let Some(connection) = self.known(to, dial) {
            return Ok(connection);
        }
        if self.open.get() >= self.budget && !self.close_oldest() {
            return Err(ConnectError::LocalLimit);
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(self.open.clone());
        let limit =
            Duration::try_from_secs_f64(self.links.dial_timeout / 1000.0).unwrap_or_default();
        let dialled = tokio::time::timeout(limit, dial_h2(dial)).await;
        let Ok(Some((sender, mut connection))) = dialled else {
            return Err(ConnectError::Unreachable);
        };
        let ping = Mutex::new(connection.ping_pong());
        let over = Rc::new(Cell::new(false));
        let ended = over.clone();
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
            heard: Cell::new(now - HEARD),
            ping,
            task: task.abort_handle(),
            over,
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
    fn known(&self, to: BackendId, dial: SocketAddr) -> Option<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        let known = connections.get_mut(&to)?;
        known.retain(|connection| !connection.over.get() && connection.dial == dial);
        known
            .iter()
            .find(|connection| connection.calls.get() < connection.most(self.streams))
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
    pub async fn tidy(&self, pools: &Pools) {
        let longest =
            Duration::try_from_secs_f64(self.links.idle_close / 1000.0).unwrap_or_default();
        loop {
            tokio::time::sleep(TIDY).await;
            self.connections.borrow_mut().retain(|id, known| {
                let takes_new = pools.accepts_requests(*id);
                known.retain(|connection| {
                    let idle = connection.calls.get() == 0;
                    let old = connection.idle_since.get().elapsed() > longest;
                    !connection.over.get() && !(idle && (old || !takes_new))
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
    fn most(&self, streams: usize) -> usize {
        streams.min(self.sender.current_max_send_streams())
    }

    /// Guards calls that must not run twice against connections that are dead unseen: one that has not been heard of for
    /// a moment is asked first, by a `PING` (RFC 9113, 6.7).
    async fn proves_itself(&self, wait: Millis) -> bool {
        if self.heard.get().elapsed() < HEARD {
            return true;
        }
        let wait = Duration::try_from_secs_f64(wait / 1000.0).unwrap_or_default();
        let asked = async {
            let mut ping = self.ping.lock().await;
            match ping.as_mut() {
                Some(ping) => ping.ping(Ping::opaque()).await.is_ok(),
                None => false,
            }
        };
        let alive = tokio::time::timeout(wait, asked).await == Ok(true);
        if alive {
            self.heard.set(Instant::now());
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
const END_TOLD: &End = &End {
    outcome: Outcome::Reset,
    code: maplefall_grpc::Code::Internal,
    why: "over",
};

/// What came with an end.
#[derive(Default)]
struct Told {
    trailers: HeaderMap,
    used: Option<f64>,
    charge: Option<f64>,
    max_units: f64,
}

impl Told {
    /// What heads and trailers tell of the customer; the first word counts.
    fn hear(&mut self, headers: &HeaderMap) {
        let used = number(headers, &API_USAGE, MOST_USAGE).map(|percent| percent / 100.0);
        self.used = self.used.or(used);
        self.charge = self.charge.or(number(headers, &API_CHARGE, self.max_units));
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
        .max_header_list_size(LONGEST_HEAD);
    builder.handshake(stream).await.ok()
}

/// A call as it is written to a backend, which is told what is left of its time.
fn request(errand: &Errand<'_>, left: Millis, number_of: u32) -> Option<Request<()>> {
    let passage = errand.passage;
    let uri = Uri::builder()
        .scheme("http")
        .authority(passage.authority.as_str())
        .path_and_query(passage.path.clone())
        .build()
        .ok()?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_2;
    let headers = request.headers_mut();
    *headers = passage.metadata.clone();
    headers.insert(TE, HeaderValue::from_static("trailers"));
    headers.insert(REQUEST_ID, errand.order.id_value.clone());
    headers.insert(
        GRPC_TIMEOUT,
        HeaderValue::try_from(timeout::format(left)).ok()?,
    );
    if number_of > 0 {
        headers.insert(PREVIOUS, HeaderValue::from(number_of));
    }
    for (name, value) in &errand.order.onward {
        headers.append(name.clone(), value.clone());
    }
    Some(request)
}

/// Sends what the client sends, as far as the backend takes it.
async fn send_up(errand: &Errand<'_>, mut upload: SendStream<Bytes>, bare: bool) {
    if bare {
        return;
    }
    let mut place = 0;
    loop {
        match errand.passage.next(place, errand.committed).await {
            Next::Chunk(mut chunk) => {
                while !chunk.is_empty() {
                    upload.reserve_capacity(chunk.len());
                    // The library wakes for more room alone, not for what there is.
                    let room = match upload.capacity() {
                        0 => match std::future::poll_fn(|cx| upload.poll_capacity(cx)).await {
                            Some(Ok(room)) => room,
                            // The backend wants no more: its answer says why.
                            _ => return,
                        },
                        room => room,
                    };
                    if upload
                        .send_data(chunk.split_to(room.min(chunk.len())), false)
                        .is_err()
                    {
                        return;
                    }
                }
                place += 1;
                errand.passage.took(place);
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
async fn read(
    errand: &Errand<'_>,
    connection: &Connection,
    number_of: u32,
    attempt: &mut Attempt,
    told: &mut Told,
    answer: client::ResponseFuture,
) -> Option<End> {
    let now = || errand.clock.now();
    let answer = match answer.await {
        Ok(answer) => answer,
        Err(error) => return broken(attempt, connection, now(), &error),
    };
    connection.heard.set(Instant::now());
    let (head, mut body): (_, RecvStream) = answer.into_parts();
    told.hear(&head.headers);
    if let Some(end) = attempt.head(
        now(),
        head.status.as_u16(),
        &head.headers,
        body.is_end_stream(),
    ) {
        told.trailers = head.headers;
        return Some(end);
    }
    errand
        .passage
        .with(|call, outputs| call.head(number_of, head.headers, outputs));
    while let Some(data) = body.data().await {
        let data = match data {
            Ok(data) => data,
            Err(error) => return broken(attempt, connection, now(), &error),
        };
        connection.heard.set(Instant::now());
        if let Some(end) = attempt.data(&data) {
            return Some(end);
        }
        let length = data.len();
        if errand
            .passage
            .with(|call: &mut Call, outputs| call.data(number_of, data, outputs))
        {
            (errand.committed)();
        }
        errand.passage.room().await;
        // Where the stream is over there is no window to open.
        let _ = body.flow_control().release_capacity(length);
    }
    match body.trailers().await {
        Ok(Some(trailers)) => {
            told.hear(&trailers);
            let end = attempt.trailers(now(), &trailers);
            told.trailers = trailers;
            end
        }
        Ok(None) => attempt.ended_bare(),
        Err(error) => broken(attempt, connection, now(), &error),
    }
}

/// What an error of the transport means for an attempt.
fn broken(
    attempt: &mut Attempt,
    connection: &Connection,
    now: Millis,
    error: &h2::Error,
) -> Option<End> {
    if error.is_reset() && error.is_remote() {
        let reason = error.reason().map_or(0, u32::from);
        return attempt.reset(now, reason);
    }
    connection.over.set(true);
    if error.is_go_away() && error.is_remote() {
        attempt.unprocessed()
    } else {
        attempt.lost()
    }
}
