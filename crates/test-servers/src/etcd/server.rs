//! Members of a fake etcd cluster: gRPC over connections that can be closed after any byte, stalled
//! or reset.

use super::store::{Refused, Store};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use maplefall_etcd_wire::{
    error, path, watch_request, AuthenticateRequest, AuthenticateResponse, CompactionRequest,
    DeleteRangeResponse, Event, HeaderResponse, LeaseGrantRequest, LeaseGrantResponse,
    LeaseRequest, LeaseResponse, PutResponse, RangeResponse, ResponseHeader, StatusResponse,
    TxnResponse, WatchCreateRequest, WatchRequest, WatchResponse,
};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::server::{Grpc, StreamingService, UnaryService};
use tonic::{Code, Status, Streaming};
use tonic_prost::ProstCodec;

/// Maximum number of responses queued on a stream.
const STREAM_QUEUE: usize = 16;
/// Size of the buffer between the server and its connection, in bytes.
const PIPE_BYTES: usize = 64 * 1024;
/// Maximum number of revisions in one watch response, as in etcd.
const MAX_REVISIONS: usize = 1000;
/// Interval at which expired leases are revoked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

type Body = tonic::body::Body;

/// The point at which the connection of a watch is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Before the next `created` response is sent.
    BeforeCreated,
    /// After a complete response with changes, skipping this many such responses first.
    Between(u32),
    /// Within the next response with changes, after its first bytes.
    Within,
}

/// What a client of a member is known to have received.
#[derive(Clone, Debug)]
pub enum Known {
    /// These changes were written to its connection.
    Written {
        /// The member.
        member: u64,
        /// The changes.
        events: Vec<Event>,
    },
    /// The client started a watch at the next revision, so it claims to have all changes up to this
    /// one.
    Claimed {
        /// The member.
        member: u64,
        /// The revision.
        revision: i64,
    },
}

/// State of a member, watched by its tasks.
#[derive(Clone, Debug, Default)]
struct State {
    down: bool,
    silent: bool,
    slow: Duration,
    /// The revision at which the member lags behind the cluster.
    behind: Option<i64>,
    /// Incremented to reset all connections.
    resets: u64,
    cut: Option<Cut>,
    /// Maximum number of changes in a fragment of a response, for clients that accept fragments.
    fragment_size: usize,
    /// Interval of progress notifications to watches that request them; 10 minutes in etcd.
    progress_interval: Option<Duration>,
}

/// Authentication state: the user, the password and the valid token.
#[derive(Debug, Default)]
struct Users {
    /// Name and password of the only user; `None` if authentication is disabled.
    credentials: Option<(String, String)>,
    /// Incremented to invalidate all issued tokens.
    generation: u64,
    /// Whether the tokens became invalid because users changed.
    changed: bool,
}

impl Users {
    fn token(&self) -> String {
        format!("token.{}", self.generation)
    }
}

type Listener = Box<dyn Fn(&Known) + Send + Sync>;

struct Inner {
    store: Mutex<Store>,
    /// Notified after each change of the store.
    changed: watch::Sender<u64>,
    users: Mutex<Users>,
    started_at: Instant,
    /// Number of range requests received.
    ranges: AtomicU64,
    /// Called for each [`Known`] event.
    on_known: Listener,
}

/// A fake etcd cluster.
#[derive(Clone)]
pub struct Etcd(Arc<Inner>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Etcd {
    /// Creates a cluster with this store; `on_known` is called with what clients are known to have
    /// received, in that order.
    pub fn new(store: Store, on_known: impl Fn(&Known) + Send + Sync + 'static) -> Etcd {
        Etcd(Arc::new(Inner {
            store: Mutex::new(store),
            changed: watch::Sender::new(0),
            users: Mutex::default(),
            started_at: Instant::now(),
            ranges: AtomicU64::new(0),
            on_known: Box::new(on_known),
        }))
    }

    /// Calls `action` on the store, then notifies the watches.
    pub fn with<T>(&self, action: impl FnOnce(&mut Store) -> T) -> T {
        let result = action(&mut lock(&self.0.store));
        self.0.changed.send_modify(|count| *count += 1);
        result
    }

    /// Returns the number of range requests received.
    pub fn ranges(&self) -> u64 {
        self.0.ranges.load(Ordering::Relaxed)
    }

    /// Returns the milliseconds since the cluster was created, the clock of its leases.
    pub fn now(&self) -> f64 {
        self.0.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Enables authentication with this user only, and invalidates all issued tokens.
    pub fn only(&self, user: &str, password: &str) {
        let mut users = lock(&self.0.users);
        users.credentials = Some((user.to_owned(), password.to_owned()));
        (users.generation, users.changed) = (users.generation + 1, true);
    }

    /// Invalidates all issued tokens.
    pub fn forget_tokens(&self) {
        let mut users = lock(&self.0.users);
        (users.generation, users.changed) = (users.generation + 1, false);
    }

    /// Starts a member that serves `listener` until the returned value is dropped. Must be called
    /// on a Tokio runtime.
    pub fn member(&self, number: u64, listener: StdListener) -> std::io::Result<Member> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(State {
            fragment_size: usize::MAX,
            ..State::default()
        }));
        let member = MemberContext {
            etcd: self.clone(),
            number,
            state: state.clone(),
        };
        let accepting = tokio::spawn(member.clone().accept(listener));
        let leases = tokio::spawn(member.clone().expire());
        Ok(Member {
            address,
            state,
            tasks: [accepting.abort_handle(), leases.abort_handle()],
        })
    }
}

/// A handle to a running member, which controls its failures. Dropping it stops the member.
#[derive(Debug)]
pub struct Member {
    /// The address that the member listens at.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    tasks: [tokio::task::AbortHandle; 2],
}

impl Drop for Member {
    fn drop(&mut self) {
        self.state.send_modify(|state| state.resets += 1);
        self.tasks.iter().for_each(tokio::task::AbortHandle::abort);
    }
}

impl Member {
    /// Resets all connections, and, while `down` is set, every new one.
    pub fn down(&self, down: bool) {
        self.state.send_modify(|state| {
            state.down = down;
            state.resets += 1;
        });
    }

    /// Resets all connections.
    pub fn break_off(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Stops sending on all connections, which stay open, or resumes.
    pub fn silent(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// Delays the processing of every call.
    pub fn slow(&self, slow: Duration) {
        self.state.send_modify(|state| state.slow = slow);
    }

    /// Makes the member lag behind the cluster at this revision; `None` ends the lag.
    pub fn behind(&self, at: Option<i64>) {
        self.state.send_modify(|state| state.behind = at);
    }

    /// Closes the connection of the next watch that reaches this point, once.
    pub fn cut(&self, cut: Cut) {
        self.state.send_modify(|state| state.cut = Some(cut));
    }

    /// Returns whether a requested [`Cut`] has not been made yet.
    pub fn to_be_cut(&self) -> bool {
        self.state.borrow().cut.is_some()
    }

    /// Sets the interval of progress notifications to watches that request them.
    pub fn set_progress_interval(&self, every: Duration) {
        self.state
            .send_modify(|state| state.progress_interval = Some(every));
    }

    /// Sets the maximum number of changes in a response; larger ones are fragmented for clients
    /// that accept that.
    pub fn set_fragment_size(&self, changes: usize) {
        self.state
            .send_modify(|state| state.fragment_size = changes.max(1));
    }
}

// ---- Connections -------------------------------------------------------------------------------

/// The state of a member that its tasks share.
#[derive(Clone)]
struct MemberContext {
    etcd: Etcd,
    number: u64,
    state: Arc<watch::Sender<State>>,
}

/// Controls how many bytes are sent on a connection.
#[derive(Clone)]
struct OutputLimit {
    /// Bytes that may still be sent before the connection is closed; `None` for no limit.
    remaining: Arc<watch::Sender<Option<usize>>>,
    /// Bytes that have been sent.
    sent: Arc<watch::Sender<u64>>,
}

impl OutputLimit {
    /// Closes the connection after `bytes` more bytes.
    fn close_after(&self, bytes: usize) {
        self.remaining.send_replace(Some(bytes));
    }
}

impl MemberContext {
    async fn expire(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let now = self.etcd.now();
            let expired = lock(&self.etcd.0.store).expire(now);
            if expired {
                self.etcd.0.changed.send_modify(|count| *count += 1);
            }
        }
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().forward(stream));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Copies the bytes of one connection to and from the server for as long as the member's state
    /// allows.
    async fn forward(self, stream: TcpStream) {
        let reset = |stream: &TcpStream| {
            // If the option can't be set, the connection is closed normally instead.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        };
        let mut state = self.state.subscribe();
        let resets = {
            let state = state.borrow_and_update();
            if state.down {
                return reset(&stream);
            }
            state.resets
        };
        let _ = stream.set_nodelay(true);
        let (ours, theirs) = tokio::io::duplex(PIPE_BYTES);
        let output_limit = OutputLimit {
            remaining: Arc::new(watch::Sender::new(None)),
            sent: Arc::new(watch::Sender::new(0)),
        };
        let (member, limit) = (self.clone(), output_limit.clone());
        let service = service_fn(move |request| {
            let (member, limit) = (member.clone(), limit.clone());
            async move { Ok::<_, Infallible>(member.serve(request, limit).await) }
        });
        let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        let serving = tokio::spawn(builder.serve_connection(TokioIo::new(theirs), service));
        let (mut from_server, mut to_server) = tokio::io::split(ours);
        let (mut from_client, mut to_client) = stream.into_split();
        let outward = async {
            let mut buffer = vec![0; 16 * 1024];
            let mut remaining = output_limit.remaining.subscribe();
            let mut silent = self.state.subscribe();
            loop {
                if *remaining.borrow() == Some(0) {
                    return;
                }
                let read = tokio::select! {
                    read = from_server.read(&mut buffer) => read,
                    // Checks the limit again.
                    _ = remaining.changed() => continue,
                };
                let Ok(count @ 1..) = read else { return };
                if silent.wait_for(|state| !state.silent).await.is_err() {
                    return;
                }
                let allowed = remaining
                    .borrow()
                    .map_or(count, |remaining| remaining.min(count));
                if to_client.write_all(&buffer[..allowed]).await.is_err() {
                    return;
                }
                output_limit
                    .sent
                    .send_modify(|sent| *sent += allowed as u64);
                output_limit.remaining.send_if_modified(|remaining| {
                    *remaining = remaining.map(|remaining| remaining - allowed);
                    false
                });
                if allowed < count {
                    return;
                }
            }
        };
        let inward = async {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(count @ 1..) = from_client.read(&mut buffer).await {
                if to_server.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = outward => {}
            () = inward => {}
            _ = state.wait_for(|state| state.resets != resets) => {}
        }
        serving.abort();
        if let Ok(stream) = from_client.reunite(to_client) {
            reset(&stream);
        }
    }

    // ---- Calls ---------------------------------------------------------------------------------

    /// Returns the revision that the member is at.
    fn revision(&self) -> i64 {
        let last = lock(&self.etcd.0.store).revision();
        self.state
            .borrow()
            .behind
            .map_or(last, |behind| behind.min(last))
    }

    fn header(&self) -> Option<ResponseHeader> {
        let at = self.revision();
        Some(lock(&self.etcd.0.store).header(self.number, at))
    }

    async fn serve(self, request: Request<Incoming>, limit: OutputLimit) -> Response<Body> {
        let slow = self.state.borrow().slow;
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        let path = request.uri().path().to_owned();
        // A watch is authorized when it is created on its stream, as in etcd.
        let token = request
            .headers()
            .get("token")
            .map(|token| token.as_bytes().to_vec());
        if path != path::AUTHENTICATE && path != path::WATCH {
            if let Err(error) = self.permitted(token.as_deref()) {
                return Status::from(error).into_http();
            }
        }
        let now = self.etcd.now();
        match path.as_str() {
            path::RANGE => {
                self.etcd.0.ranges.fetch_add(1, Ordering::Relaxed);
                self.unary(request, |store, message, at| store.range(&message, at))
                    .await
            }
            path::PUT => {
                self.unary(request, |store, message, _| store.put(&message))
                    .await
            }
            path::DELETE_RANGE => {
                self.unary(request, |store, message, _| store.delete(&message))
                    .await
            }
            path::TXN => {
                self.unary(request, |store, message, at| store.txn(&message, at))
                    .await
            }
            path::COMPACT => {
                let compact = |store: &mut Store, message: CompactionRequest, _| {
                    store
                        .compact(message.revision)
                        .map(|()| HeaderResponse::default())
                };
                self.unary(request, compact).await
            }
            path::LEASE_GRANT => {
                let grant = |store: &mut Store, message: LeaseGrantRequest, _| {
                    let id = store.grant(now, message.ttl, message.id)?;
                    Ok(LeaseGrantResponse {
                        id,
                        ttl: message.ttl,
                        ..LeaseGrantResponse::default()
                    })
                };
                self.unary(request, grant).await
            }
            path::LEASE_REVOKE => {
                let revoke = |store: &mut Store, message: LeaseRequest, _| {
                    store.revoke(message.id).map(|()| HeaderResponse::default())
                };
                self.unary(request, revoke).await
            }
            path::LEASE_TIME_TO_LIVE => {
                let time_to_live = |store: &mut Store, LeaseRequest { id }, _| {
                    Ok(LeaseResponse {
                        id,
                        ttl: store.time_to_live(now, id),
                        ..LeaseResponse::default()
                    })
                };
                self.unary(request, time_to_live).await
            }
            path::LEASE_KEEP_ALIVE => {
                let mut grpc = Grpc::new(ProstCodec::<LeaseResponse, LeaseRequest>::default());
                grpc.streaming(KeepAlive(self), request).await
            }
            path::AUTHENTICATE => {
                let (credentials, token) = {
                    let users = lock(&self.etcd.0.users);
                    (users.credentials.clone(), users.token())
                };
                let authenticate =
                    move |_: &mut Store, message: AuthenticateRequest, _| match &credentials {
                        None => Err(Refused(error::NOT_ENABLED)),
                        Some(known) if *known != (message.name, message.password) => {
                            Err(Refused(error::PASSWORD))
                        }
                        Some(_) => Ok(AuthenticateResponse {
                            token: token.clone(),
                            ..Default::default()
                        }),
                    };
                self.unary(request, authenticate).await
            }
            path::STATUS => {
                let leader = self.number;
                let status = move |_: &mut Store, _: HeaderResponse, _| {
                    Ok(StatusResponse {
                        version: "3.5.0".to_owned(),
                        leader,
                        ..StatusResponse::default()
                    })
                };
                self.unary(request, status).await
            }
            path::WATCH => {
                let mut grpc = Grpc::new(ProstCodec::<WatchResponse, WatchRequest>::default());
                grpc.streaming(WatchService(self, limit, token), request)
                    .await
            }
            _ => Status::unimplemented("a call that is not played").into_http(),
        }
    }

    /// Checks the caller's token.
    fn permitted(&self, token: Option<&[u8]>) -> Result<(), Refused> {
        let users = lock(&self.etcd.0.users);
        match token {
            _ if users.credentials.is_none() => Ok(()),
            None => Err(Refused(error::NO_USER)),
            Some(token) if token == users.token().as_bytes() => Ok(()),
            Some(_) if users.changed => Err(Refused(error::OLD_AUTH)),
            Some(_) => Err(Refused(error::TOKEN)),
        }
    }

    /// Handles a call immediately, with the store at the member's revision; watches are notified.
    async fn unary<Q, A>(
        &self,
        request: Request<Incoming>,
        action: impl Fn(&mut Store, Q, i64) -> Result<A, Refused> + Send,
    ) -> Response<Body>
    where
        Q: prost::Message + Default + 'static,
        A: HasHeader + prost::Message + Default + 'static,
    {
        let call = |message: Q| {
            let at = self.revision();
            let mut response = self.etcd.with(|store| action(store, message, at))?;
            *response.header_mut() = self.header();
            Ok(response)
        };
        Grpc::new(ProstCodec::<A, Q>::default())
            .unary(Call(call), request)
            .await
    }
}

/// A response with the header that every etcd response has.
trait HasHeader {
    fn header_mut(&mut self) -> &mut Option<ResponseHeader>;
}

macro_rules! has_header {
    ($($response:ty),* $(,)?) => {
        $(impl HasHeader for $response {
            fn header_mut(&mut self) -> &mut Option<ResponseHeader> {
                &mut self.header
            }
        })*
    };
}

has_header!(
    RangeResponse,
    PutResponse,
    DeleteRangeResponse,
    TxnResponse,
    HeaderResponse,
    LeaseGrantResponse,
    LeaseResponse,
    AuthenticateResponse,
    StatusResponse,
);

impl From<Refused> for Status {
    fn from(refused: Refused) -> Status {
        let code = match refused.0 {
            error::COMPACTED | error::FUTURE => Code::OutOfRange,
            error::NO_LEASE => Code::NotFound,
            error::LEASE_EXISTS | error::NOT_ENABLED => Code::FailedPrecondition,
            error::TOKEN => Code::Unauthenticated,
            error::DENIED => Code::PermissionDenied,
            error::PASSWORD
            | error::NO_USER
            | error::OLD_AUTH
            | error::DUPLICATE
            | error::EMPTY_KEY => Code::InvalidArgument,
            _ => Code::Unknown,
        };
        Status::new(code, refused.0)
    }
}

type Boxed<T> = Pin<Box<dyn Future<Output = Result<tonic::Response<T>, Status>> + Send>>;

/// A unary call whose response is available immediately.
struct Call<F>(F);

impl<Q, A, F: Fn(Q) -> Result<A, Status>> UnaryService<Q> for Call<F>
where
    A: Send + 'static,
{
    type Response = A;
    type Future = std::future::Ready<Result<tonic::Response<A>, Status>>;

    fn call(&mut self, request: tonic::Request<Q>) -> Self::Future {
        std::future::ready((self.0)(request.into_inner()).map(tonic::Response::new))
    }
}

struct KeepAlive(MemberContext);

impl StreamingService<LeaseRequest> for KeepAlive {
    type Response = LeaseResponse;
    type ResponseStream = ReceiverStream<Result<LeaseResponse, Status>>;
    type Future = Boxed<Self::ResponseStream>;

    fn call(&mut self, request: tonic::Request<Streaming<LeaseRequest>>) -> Self::Future {
        let (responses, receiver) = mpsc::channel(STREAM_QUEUE);
        let member = self.0.clone();
        tokio::spawn(async move {
            let mut requests = request.into_inner();
            while let Ok(Some(LeaseRequest { id })) = requests.message().await {
                let ttl = lock(&member.etcd.0.store).keep_alive(member.etcd.now(), id);
                if responses
                    .send(Ok(LeaseResponse {
                        header: member.header(),
                        id,
                        ttl,
                    }))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        Box::pin(std::future::ready(Ok(tonic::Response::new(
            ReceiverStream::new(receiver),
        ))))
    }
}

// ---- Watches -----------------------------------------------------------------------------------

/// The watch service, with the token of the call.
struct WatchService(MemberContext, OutputLimit, Option<Vec<u8>>);

impl StreamingService<WatchRequest> for WatchService {
    type Response = WatchResponse;
    type ResponseStream = ReceiverStream<Result<WatchResponse, Status>>;
    type Future = Boxed<Self::ResponseStream>;

    fn call(&mut self, request: tonic::Request<Streaming<WatchRequest>>) -> Self::Future {
        let (responses, receiver) = mpsc::channel(STREAM_QUEUE);
        let stream = WatchStream {
            token: self.2.clone(),
            member: self.0.clone(),
            limit: self.1.clone(),
            responses,
            watches: BTreeMap::new(),
            next_id: 0,
        };
        tokio::spawn(stream.run(request.into_inner()));
        Box::pin(std::future::ready(Ok(tonic::Response::new(
            ReceiverStream::new(receiver),
        ))))
    }
}

/// A stream that carries several watches.
struct WatchStream {
    token: Option<Vec<u8>>,
    member: MemberContext,
    limit: OutputLimit,
    responses: mpsc::Sender<Result<WatchResponse, Status>>,
    /// The request of each watch and the next revision to send to it, by watch id.
    watches: BTreeMap<i64, (WatchCreateRequest, i64)>,
    next_id: i64,
}

/// Marks the end of a stream.
struct StreamEnded;

/// Waits for the next progress notification, forever if there is none.
async fn progress_timer(every: Option<Duration>) {
    match every {
        Some(every) => tokio::time::sleep(every).await,
        None => std::future::pending().await,
    }
}

impl WatchStream {
    async fn run(mut self, mut requests: Streaming<WatchRequest>) {
        let mut changed = self.member.etcd.0.changed.subscribe();
        let mut state = self.member.state.subscribe();
        loop {
            changed.borrow_and_update();
            let interval = state.borrow_and_update().progress_interval;
            if self.send_changes().await.is_err() {
                return;
            }
            tokio::select! {
                request = requests.message() => {
                    let Ok(Some(request)) = request else { return };
                    if self.handle_request(request).await.is_err() {
                        return;
                    }
                }
                () = progress_timer(interval) => {
                    if self.send_progress().await.is_err() {
                        return;
                    }
                }
                change = changed.changed() => if change.is_err() { return },
                change = state.changed() => if change.is_err() { return },
                () = self.responses.closed() => return,
            }
        }
    }

    /// Sends a progress notification to each watch that requested them. All changes must have been
    /// sent before.
    async fn send_progress(&self) -> Result<(), StreamEnded> {
        for (id, (create, _)) in &self.watches {
            if create.progress_notify {
                self.respond(self.response(*id)).await?;
            }
        }
        Ok(())
    }

    fn response(&self, watch_id: i64) -> WatchResponse {
        WatchResponse {
            header: self.member.header(),
            watch_id,
            ..WatchResponse::default()
        }
    }

    async fn respond(&self, response: WatchResponse) -> Result<(), StreamEnded> {
        self.responses
            .send(Ok(response))
            .await
            .map_err(|_| StreamEnded)
    }

    async fn handle_request(&mut self, request: WatchRequest) -> Result<(), StreamEnded> {
        match request.union {
            Some(watch_request::Union::Create(create)) => {
                let rejection = match self.member.permitted(self.token.as_deref()) {
                    Err(Refused(reason)) => Some(format!("rpc error: desc = {reason}")),
                    Ok(())
                        if create.watch_id != 0 && self.watches.contains_key(&create.watch_id) =>
                    {
                        Some("mvcc: duplicate watch ID provided on the WatchStream".to_owned())
                    }
                    Ok(()) => None,
                };
                if let Some(cancel_reason) = rejection {
                    // The watch was not created, so it has no id.
                    let response = self.response(-1);
                    return self
                        .respond(WatchResponse {
                            created: true,
                            canceled: true,
                            cancel_reason,
                            ..response
                        })
                        .await;
                }
                let id = if create.watch_id != 0 {
                    create.watch_id
                } else {
                    self.next_id
                };
                self.next_id = self.next_id.max(id) + 1;
                if self.take_cut(|cut| *cut == Cut::BeforeCreated).is_some() {
                    self.limit.close_after(0);
                    return Err(StreamEnded);
                }
                let from = if create.start_revision > 0 {
                    create.start_revision
                } else {
                    self.member.revision() + 1
                };
                (self.member.etcd.0.on_known)(&Known::Claimed {
                    member: self.member.number,
                    revision: from - 1,
                });
                self.watches.insert(id, (create, from));
                self.respond(WatchResponse {
                    created: true,
                    ..self.response(id)
                })
                .await
            }
            Some(watch_request::Union::Cancel(cancel)) => {
                match self.watches.remove(&cancel.watch_id) {
                    Some(_) => {
                        self.respond(WatchResponse {
                            canceled: true,
                            ..self.response(cancel.watch_id)
                        })
                        .await
                    }
                    None => Ok(()),
                }
            }
            // Sent only after all changes have been sent to every watch, as in etcd.
            Some(watch_request::Union::Progress(_)) => {
                self.send_changes().await?;
                self.respond(self.response(-1)).await
            }
            None => Ok(()),
        }
    }

    /// Takes the requested cut if `wanted` selects it.
    fn take_cut(&self, wanted: impl Fn(&Cut) -> bool) -> Option<Cut> {
        let mut found = None;
        self.member.state.send_if_modified(|state| {
            found = state.cut.take_if(|cut| wanted(cut));
            false
        });
        found
    }

    /// Sends each watch the changes that it has not received yet.
    async fn send_changes(&mut self) -> Result<(), StreamEnded> {
        let ids: Vec<i64> = self.watches.keys().copied().collect();
        for id in ids {
            loop {
                let at = self.member.revision();
                let Some((create, from)) = self.watches.get(&id) else {
                    break;
                };
                let changes = lock(&self.member.etcd.0.store).changes(
                    &create.key,
                    &create.range_end,
                    *from,
                    at,
                );
                let changes = match changes {
                    Ok(changes) => changes,
                    Err(compacted) => {
                        self.watches.remove(&id);
                        let response = WatchResponse {
                            canceled: true,
                            compact_revision: compacted,
                            ..self.response(id)
                        };
                        self.respond(response).await?;
                        break;
                    }
                };
                let (prev_kv, fragment_size) =
                    (create.prev_kv, self.member.state.borrow().fragment_size);
                let fragment_size = if create.fragment {
                    fragment_size
                } else {
                    usize::MAX
                };
                let Some((last, _)) = changes.iter().take(MAX_REVISIONS).next_back() else {
                    break;
                };
                let next = last + 1;
                let events = changes
                    .into_iter()
                    .take(MAX_REVISIONS)
                    .flat_map(|(_, events)| events);
                let events: Vec<Event> = events
                    .map(|event| Event {
                        prev_kv: event.prev_kv.clone().filter(|_| prev_kv),
                        ..event
                    })
                    .collect();
                self.send(id, events, fragment_size).await?;
                if let Some(watch) = self.watches.get_mut(&id) {
                    watch.1 = next;
                }
            }
        }
        Ok(())
    }

    /// Sends changes in one response or in fragments, up to the requested cut.
    async fn send(
        &self,
        id: i64,
        events: Vec<Event>,
        fragment_size: usize,
    ) -> Result<(), StreamEnded> {
        let mut sent = self.limit.sent.subscribe();
        sent.borrow_and_update();
        let within = self.take_cut(|cut| *cut == Cut::Within).is_some();
        if within {
            // The frame's header and the first bytes of its payload.
            self.limit.close_after(15);
        }
        let between = self.take_cut(|cut| matches!(cut, Cut::Between(_)));
        let fragments = events
            .len()
            .div_ceil(fragment_size.min(events.len()).max(1));
        for (number, chunk) in events
            .chunks(fragment_size.min(events.len()).max(1))
            .enumerate()
        {
            let fragment = number + 1 < fragments;
            self.respond(WatchResponse {
                fragment,
                events: chunk.to_vec(),
                ..self.response(id)
            })
            .await?;
            if let Some(Cut::Between(0)) = between {
                // The response sent so far goes out; what follows does not.
                if sent.changed().await.is_ok() {
                    self.limit.close_after(0);
                }
                return Err(StreamEnded);
            }
        }
        if let Some(Cut::Between(remaining @ 1..)) = between {
            self.member.state.send_if_modified(|state| {
                state.cut.get_or_insert(Cut::Between(remaining - 1));
                false
            });
        }
        // Only bytes that left the member count as written: not those held back while it is silent
        // or lost with the connection.
        let written = tokio::select! {
            changed = sent.changed() => changed.is_ok(),
            () = self.responses.closed() => false,
        };
        if within || !written {
            return Err(StreamEnded);
        }
        (self.member.etcd.0.on_known)(&Known::Written {
            member: self.member.number,
            events,
        });
        Ok(())
    }
}
