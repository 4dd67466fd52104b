//! Members of a played etcd: gRPC over connections that can be cut at any byte, fall silent, or be refused.

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

/// Answers that wait on a watch's stream at most.
const WAITING: usize = 16;
/// Bytes between the server and its connection.
const PIPE: usize = 64 * 1024;
/// Revisions that one answer of a watch holds at most, as in etcd.
const MOST_REVISIONS: usize = 1000;
/// How often leases are looked at.
const LEASES: Duration = Duration::from_millis(20);

type Body = tonic::body::Body;

/// Where a watch is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Before the next `created` is sent.
    BeforeCreated,
    /// After this many further answers with changes, each sent whole.
    Between(u32),
    /// Within the next answer with changes: some of its bytes have gone.
    Within,
}

/// What a client of a member knows.
#[derive(Clone, Debug)]
pub enum Known {
    /// These changes have been written to its connection.
    Written {
        /// Which member.
        member: u64,
        /// The changes.
        events: Vec<Event>,
    },
    /// It asked to watch from the next revision on: so it says that it has seen all up to this one.
    Claimed {
        /// Which member.
        member: u64,
        /// The revision.
        revision: i64,
    },
}

/// How a member is.
#[derive(Clone, Debug, Default)]
struct State {
    down: bool,
    silent: bool,
    slow: Duration,
    /// The revision that it lags at.
    behind: Option<i64>,
    /// Counts up when all connections are broken off.
    broken: u64,
    cut: Option<Cut>,
    /// Changes of one piece of an answer, where the client takes pieces.
    piece: usize,
    /// How often a watch that wants it is told that there is nothing new; etcd's own is 10 minutes.
    notices: Option<Duration>,
}

/// Who may call: the user, the password and the token that holds.
#[derive(Debug, Default)]
struct Users {
    one: Option<(String, String)>,
    /// Counts up when every token that was given is refused.
    generation: u64,
    /// Whether that is since users have changed.
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
    /// Told whenever the store has changed.
    changed: watch::Sender<u64>,
    users: Mutex<Users>,
    begun: Instant,
    /// Readings that were asked for.
    ranges: AtomicU64,
    /// Told of what clients know.
    told: Listener,
}

/// A played cluster.
#[derive(Clone)]
pub struct Etcd(Arc<Inner>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Etcd {
    /// A cluster with this store; `told` hears of what clients know, in the order in which they come to know it.
    pub fn new(store: Store, told: impl Fn(&Known) + Send + Sync + 'static) -> Etcd {
        Etcd(Arc::new(Inner {
            store: Mutex::new(store),
            changed: watch::Sender::new(0),
            users: Mutex::default(),
            begun: Instant::now(),
            ranges: AtomicU64::new(0),
            told: Box::new(told),
        }))
    }

    /// Does something to the store; watches hear of it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Store) -> T) -> T {
        let done = act(&mut lock(&self.0.store));
        self.0.changed.send_modify(|count| *count += 1);
        done
    }

    /// How many readings were asked for.
    pub fn ranges(&self) -> u64 {
        self.0.ranges.load(Ordering::Relaxed)
    }

    /// Milliseconds since the cluster began, the time that its leases go by.
    pub fn now(&self) -> f64 {
        self.0.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// From now on only this user may call; every token that was given is refused.
    pub fn only(&self, user: &str, password: &str) {
        let mut users = lock(&self.0.users);
        users.one = Some((user.to_owned(), password.to_owned()));
        (users.generation, users.changed) = (users.generation + 1, true);
    }

    /// Every token that was given is refused from now on.
    pub fn forget_tokens(&self) {
        let mut users = lock(&self.0.users);
        (users.generation, users.changed) = (users.generation + 1, false);
    }

    /// Starts a member that listens here. It lives for as long as it is held; call it on a runtime.
    pub fn member(&self, number: u64, listener: StdListener) -> std::io::Result<Member> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(State {
            piece: usize::MAX,
            ..State::default()
        }));
        let seat = Seat {
            etcd: self.clone(),
            number,
            state: state.clone(),
        };
        let accepting = tokio::spawn(seat.clone().accept(listener));
        let leases = tokio::spawn(seat.clone().expire());
        Ok(Member {
            address,
            state,
            tasks: [accepting.abort_handle(), leases.abort_handle()],
        })
    }
}

/// A member, by which its failures are called. Dropped, it is gone.
#[derive(Debug)]
pub struct Member {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    tasks: [tokio::task::AbortHandle; 2],
}

impl Drop for Member {
    fn drop(&mut self) {
        self.state.send_modify(|state| state.broken += 1);
        self.tasks.iter().for_each(tokio::task::AbortHandle::abort);
    }
}

impl Member {
    /// Resets all connections, and every new one until it is told to be up again.
    pub fn down(&self, down: bool) {
        self.state.send_modify(|state| {
            state.down = down;
            state.broken += 1;
        });
    }

    /// Resets all connections.
    pub fn break_off(&self) {
        self.state.send_modify(|state| state.broken += 1);
    }

    /// Says nothing more on any connection, all of which stay open; or speaks again.
    pub fn silent(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// Answers every call this much later.
    pub fn slow(&self, slow: Duration) {
        self.state.send_modify(|state| state.slow = slow);
    }

    /// Knows nothing beyond this revision, or is no longer behind.
    pub fn behind(&self, at: Option<i64>) {
        self.state.send_modify(|state| state.behind = at);
    }

    /// Cuts the next watch that comes to this point, once.
    pub fn cut(&self, cut: Cut) {
        self.state.send_modify(|state| state.cut = Some(cut));
    }

    /// Whether the cut that was called for is still to come.
    pub fn to_be_cut(&self) -> bool {
        self.state.borrow().cut.is_some()
    }

    /// Tells watches that want it this often that there is nothing new.
    pub fn set_progress_interval(&self, every: Duration) {
        self.state.send_modify(|state| state.notices = Some(every));
    }

    /// Sends answers of more changes than this in pieces to clients that take them.
    pub fn set_fragment_size(&self, changes: usize) {
        self.state.send_modify(|state| state.piece = changes.max(1));
    }
}

// ---- Connections ------------------------------------------------------------------------------------

/// A member as its tasks see it.
#[derive(Clone)]
struct Seat {
    etcd: Etcd,
    number: u64,
    state: Arc<watch::Sender<State>>,
}

/// One connection's bytes.
#[derive(Clone)]
struct Wire {
    /// Bytes that may still go out before it is cut; `None` for no end.
    left: Arc<watch::Sender<Option<usize>>>,
    /// Bytes that have gone out.
    sent: Arc<watch::Sender<u64>>,
}

impl Wire {
    /// Cut after so many more bytes.
    fn cut(&self, after: usize) {
        self.left.send_replace(Some(after));
    }
}

impl Seat {
    async fn expire(self) {
        loop {
            tokio::time::sleep(LEASES).await;
            let now = self.etcd.now();
            let over = lock(&self.etcd.0.store).expire(now);
            if over {
                self.etcd.0.changed.send_modify(|count| *count += 1);
            }
        }
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().carry(stream));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Carries the bytes of one connection to and from the server, for as long as the member's state allows.
    async fn carry(self, stream: TcpStream) {
        let reset = |stream: &TcpStream| {
            // A stream that cannot be told to reset is closed: the other end sees it go all the same.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        };
        let mut state = self.state.subscribe();
        let broken = {
            let state = state.borrow_and_update();
            if state.down {
                return reset(&stream);
            }
            state.broken
        };
        let _ = stream.set_nodelay(true);
        let (ours, theirs) = tokio::io::duplex(PIPE);
        let wire = Wire {
            left: Arc::new(watch::Sender::new(None)),
            sent: Arc::new(watch::Sender::new(0)),
        };
        let (seat, on) = (self.clone(), wire.clone());
        let service = service_fn(move |request| {
            let (seat, on) = (seat.clone(), on.clone());
            async move { Ok::<_, Infallible>(seat.serve(request, on).await) }
        });
        let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        let serving = tokio::spawn(builder.serve_connection(TokioIo::new(theirs), service));
        let (mut from_server, mut to_server) = tokio::io::split(ours);
        let (mut from_client, mut to_client) = stream.into_split();
        let outward = async {
            let mut buffer = vec![0; 16 * 1024];
            let mut left = wire.left.subscribe();
            let mut silence = self.state.subscribe();
            loop {
                if *left.borrow() == Some(0) {
                    return;
                }
                let read = tokio::select! {
                    read = from_server.read(&mut buffer) => read,
                    // Looked at again: it may have been cut.
                    _ = left.changed() => continue,
                };
                let Ok(count @ 1..) = read else { return };
                if silence.wait_for(|state| !state.silent).await.is_err() {
                    return;
                }
                let may = left.borrow().map_or(count, |left| left.min(count));
                if to_client.write_all(&buffer[..may]).await.is_err() {
                    return;
                }
                wire.sent.send_modify(|sent| *sent += may as u64);
                wire.left.send_if_modified(|left| {
                    *left = left.map(|left| left - may);
                    false
                });
                if may < count {
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
            _ = state.wait_for(|state| state.broken != broken) => {}
        }
        serving.abort();
        if let Ok(stream) = from_client.reunite(to_client) {
            reset(&stream);
        }
    }

    // ---- Calls ----------------------------------------------------------------------------------------

    /// The revision that the member is at.
    fn at(&self) -> i64 {
        let last = lock(&self.etcd.0.store).revision();
        self.state
            .borrow()
            .behind
            .map_or(last, |behind| behind.min(last))
    }

    fn header(&self) -> Option<ResponseHeader> {
        let at = self.at();
        Some(lock(&self.etcd.0.store).header(self.number, at))
    }

    async fn serve(self, request: Request<Incoming>, wire: Wire) -> Response<Body> {
        let slow = self.state.borrow().slow;
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        let path = request.uri().path().to_owned();
        // A watch is let in or not when it is asked for on its stream, as in etcd.
        let token = request
            .headers()
            .get("token")
            .map(|token| token.as_bytes().to_vec());
        if path != path::AUTHENTICATE && path != path::WATCH {
            if let Err(refused) = self.permitted(token.as_deref()) {
                return Status::from(refused).into_http();
            }
        }
        let now = self.etcd.now();
        match path.as_str() {
            path::RANGE => {
                self.etcd.0.ranges.fetch_add(1, Ordering::Relaxed);
                self.answered(request, |store, asked, at| store.range(&asked, at))
                    .await
            }
            path::PUT => {
                self.answered(request, |store, asked, _| store.put(&asked))
                    .await
            }
            path::DELETE_RANGE => {
                self.answered(request, |store, asked, _| store.delete(&asked))
                    .await
            }
            path::TXN => {
                self.answered(request, |store, asked, at| store.txn(&asked, at))
                    .await
            }
            path::COMPACT => {
                let compact = |store: &mut Store, asked: CompactionRequest, _| {
                    store
                        .compact(asked.revision)
                        .map(|()| HeaderResponse::default())
                };
                self.answered(request, compact).await
            }
            path::LEASE_GRANT => {
                let grant = |store: &mut Store, asked: LeaseGrantRequest, _| {
                    let id = store.grant(now, asked.ttl, asked.id)?;
                    Ok(LeaseGrantResponse {
                        id,
                        ttl: asked.ttl,
                        ..LeaseGrantResponse::default()
                    })
                };
                self.answered(request, grant).await
            }
            path::LEASE_REVOKE => {
                let revoke = |store: &mut Store, asked: LeaseRequest, _| {
                    store.revoke(asked.id).map(|()| HeaderResponse::default())
                };
                self.answered(request, revoke).await
            }
            path::LEASE_TIME_TO_LIVE => {
                let left = |store: &mut Store, LeaseRequest { id }, _| {
                    Ok(LeaseResponse {
                        id,
                        ttl: store.time_to_live(now, id),
                        ..LeaseResponse::default()
                    })
                };
                self.answered(request, left).await
            }
            path::LEASE_KEEP_ALIVE => {
                let mut grpc = Grpc::new(ProstCodec::<LeaseResponse, LeaseRequest>::default());
                grpc.streaming(KeepAlive(self), request).await
            }
            path::AUTHENTICATE => {
                let (one, token) = {
                    let users = lock(&self.etcd.0.users);
                    (users.one.clone(), users.token())
                };
                let sign_in = move |_: &mut Store, asked: AuthenticateRequest, _| match &one {
                    None => Err(Refused(error::NOT_ENABLED)),
                    Some(one) if *one != (asked.name, asked.password) => {
                        Err(Refused(error::PASSWORD))
                    }
                    Some(_) => Ok(AuthenticateResponse {
                        token: token.clone(),
                        ..Default::default()
                    }),
                };
                self.answered(request, sign_in).await
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
                self.answered(request, status).await
            }
            path::WATCH => {
                let mut grpc = Grpc::new(ProstCodec::<WatchResponse, WatchRequest>::default());
                grpc.streaming(Watching(self, wire, token), request).await
            }
            _ => Status::unimplemented("a call that is not played").into_http(),
        }
    }

    /// Whether the caller may call.
    fn permitted(&self, token: Option<&[u8]>) -> Result<(), Refused> {
        let users = lock(&self.etcd.0.users);
        match token {
            _ if users.one.is_none() => Ok(()),
            None => Err(Refused(error::NO_USER)),
            Some(token) if token == users.token().as_bytes() => Ok(()),
            Some(_) if users.changed => Err(Refused(error::OLD_AUTH)),
            Some(_) => Err(Refused(error::TOKEN)),
        }
    }

    /// A call that is answered at once out of the store, as the member knows it; watches hear of what it changes.
    async fn answered<Q, A>(
        &self,
        request: Request<Incoming>,
        act: impl Fn(&mut Store, Q, i64) -> Result<A, Refused> + Send,
    ) -> Response<Body>
    where
        Q: prost::Message + Default + 'static,
        A: Headed + prost::Message + Default + 'static,
    {
        let call = |asked: Q| {
            let at = self.at();
            let mut answer = self.etcd.with(|store| act(store, asked, at))?;
            *answer.head() = self.header();
            Ok(answer)
        };
        Grpc::new(ProstCodec::<A, Q>::default())
            .unary(Call(call), request)
            .await
    }
}

/// An answer with the head that every answer has.
trait Headed {
    fn head(&mut self) -> &mut Option<ResponseHeader>;
}

macro_rules! headed {
    ($($answer:ty),* $(,)?) => {
        $(impl Headed for $answer {
            fn head(&mut self) -> &mut Option<ResponseHeader> {
                &mut self.header
            }
        })*
    };
}

headed!(
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

/// A call that answers at once.
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

struct KeepAlive(Seat);

impl StreamingService<LeaseRequest> for KeepAlive {
    type Response = LeaseResponse;
    type ResponseStream = ReceiverStream<Result<LeaseResponse, Status>>;
    type Future = Boxed<Self::ResponseStream>;

    fn call(&mut self, request: tonic::Request<Streaming<LeaseRequest>>) -> Self::Future {
        let (say, said) = mpsc::channel(WAITING);
        let seat = self.0.clone();
        tokio::spawn(async move {
            let mut asked = request.into_inner();
            while let Ok(Some(LeaseRequest { id })) = asked.message().await {
                let ttl = lock(&seat.etcd.0.store).keep_alive(seat.etcd.now(), id);
                if say
                    .send(Ok(LeaseResponse {
                        header: seat.header(),
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
            ReceiverStream::new(said),
        ))))
    }
}

// ---- Watches ----------------------------------------------------------------------------------------

/// With the token that the call came with.
struct Watching(Seat, Wire, Option<Vec<u8>>);

impl StreamingService<WatchRequest> for Watching {
    type Response = WatchResponse;
    type ResponseStream = ReceiverStream<Result<WatchResponse, Status>>;
    type Future = Boxed<Self::ResponseStream>;

    fn call(&mut self, request: tonic::Request<Streaming<WatchRequest>>) -> Self::Future {
        let (say, said) = mpsc::channel(WAITING);
        let stream = Stream {
            token: self.2.clone(),
            seat: self.0.clone(),
            wire: self.1.clone(),
            say,
            watches: BTreeMap::new(),
            last: 0,
        };
        tokio::spawn(stream.run(request.into_inner()));
        Box::pin(std::future::ready(Ok(tonic::Response::new(
            ReceiverStream::new(said),
        ))))
    }
}

/// One stream of watches.
struct Stream {
    token: Option<Vec<u8>>,
    seat: Seat,
    wire: Wire,
    say: mpsc::Sender<Result<WatchResponse, Status>>,
    /// What each asked for, and the revision from which it has not been told.
    watches: BTreeMap<i64, (WatchCreateRequest, i64)>,
    last: i64,
}

/// The stream is over.
struct Over;

/// Waits for the next notice, if there are any.
async fn notice(every: Option<Duration>) {
    match every {
        Some(every) => tokio::time::sleep(every).await,
        None => std::future::pending().await,
    }
}

impl Stream {
    async fn run(mut self, mut asked: Streaming<WatchRequest>) {
        let mut changed = self.seat.etcd.0.changed.subscribe();
        let mut state = self.seat.state.subscribe();
        loop {
            changed.borrow_and_update();
            let notices = state.borrow_and_update().notices;
            if self.tell().await.is_err() {
                return;
            }
            tokio::select! {
                request = asked.message() => {
                    let Ok(Some(request)) = request else { return };
                    if self.asked(request).await.is_err() {
                        return;
                    }
                }
                () = notice(notices) => {
                    if self.tell_progress().await.is_err() {
                        return;
                    }
                }
                change = changed.changed() => if change.is_err() { return },
                change = state.changed() => if change.is_err() { return },
                () = self.say.closed() => return,
            }
        }
    }

    /// Tells each watch that wants it how far it is; all of them have just been told what is new.
    async fn tell_progress(&self) -> Result<(), Over> {
        for (id, (create, _)) in &self.watches {
            if create.progress_notify {
                self.say(self.answer(*id)).await?;
            }
        }
        Ok(())
    }

    fn answer(&self, watch_id: i64) -> WatchResponse {
        WatchResponse {
            header: self.seat.header(),
            watch_id,
            ..WatchResponse::default()
        }
    }

    async fn say(&self, answer: WatchResponse) -> Result<(), Over> {
        self.say.send(Ok(answer)).await.map_err(|_| Over)
    }

    async fn asked(&mut self, request: WatchRequest) -> Result<(), Over> {
        match request.union {
            Some(watch_request::Union::Create(create)) => {
                let refused = match self.seat.permitted(self.token.as_deref()) {
                    Err(Refused(why)) => Some(format!("rpc error: desc = {why}")),
                    Ok(())
                        if create.watch_id != 0 && self.watches.contains_key(&create.watch_id) =>
                    {
                        Some("mvcc: duplicate watch ID provided on the WatchStream".to_owned())
                    }
                    Ok(()) => None,
                };
                if let Some(cancel_reason) = refused {
                    // Of no watch: there is none.
                    let refused = self.answer(-1);
                    return self
                        .say(WatchResponse {
                            created: true,
                            canceled: true,
                            cancel_reason,
                            ..refused
                        })
                        .await;
                }
                let id = if create.watch_id != 0 {
                    create.watch_id
                } else {
                    self.last
                };
                self.last = self.last.max(id) + 1;
                if self.take(|cut| *cut == Cut::BeforeCreated).is_some() {
                    self.wire.cut(0);
                    return Err(Over);
                }
                let from = if create.start_revision > 0 {
                    create.start_revision
                } else {
                    self.seat.at() + 1
                };
                (self.seat.etcd.0.told)(&Known::Claimed {
                    member: self.seat.number,
                    revision: from - 1,
                });
                self.watches.insert(id, (create, from));
                self.say(WatchResponse {
                    created: true,
                    ..self.answer(id)
                })
                .await
            }
            Some(watch_request::Union::Cancel(cancel)) => {
                match self.watches.remove(&cancel.watch_id) {
                    Some(_) => {
                        self.say(WatchResponse {
                            canceled: true,
                            ..self.answer(cancel.watch_id)
                        })
                        .await
                    }
                    None => Ok(()),
                }
            }
            // Only once every watch has been told all there is, as in etcd.
            Some(watch_request::Union::Progress(_)) => {
                self.tell().await?;
                self.say(self.answer(-1)).await
            }
            None => Ok(()),
        }
    }

    /// The cut that was called for, if it is the one wanted; it is then used up.
    fn take(&self, wanted: impl Fn(&Cut) -> bool) -> Option<Cut> {
        let mut found = None;
        self.seat.state.send_if_modified(|state| {
            found = state.cut.take_if(|cut| wanted(cut));
            false
        });
        found
    }

    /// Tells every watch what is new to it.
    async fn tell(&mut self) -> Result<(), Over> {
        let ids: Vec<i64> = self.watches.keys().copied().collect();
        for id in ids {
            loop {
                let at = self.seat.at();
                let Some((create, from)) = self.watches.get(&id) else {
                    break;
                };
                let changes = lock(&self.seat.etcd.0.store).changes(
                    &create.key,
                    &create.range_end,
                    *from,
                    at,
                );
                let changes = match changes {
                    Ok(changes) => changes,
                    Err(kept) => {
                        self.watches.remove(&id);
                        let answer = WatchResponse {
                            canceled: true,
                            compact_revision: kept,
                            ..self.answer(id)
                        };
                        self.say(answer).await?;
                        break;
                    }
                };
                let (old, piece) = (create.prev_kv, self.seat.state.borrow().piece);
                let piece = if create.fragment { piece } else { usize::MAX };
                let Some((last, _)) = changes.iter().take(MOST_REVISIONS).next_back() else {
                    break;
                };
                let next = last + 1;
                let events = changes
                    .into_iter()
                    .take(MOST_REVISIONS)
                    .flat_map(|(_, events)| events);
                let events: Vec<Event> = events
                    .map(|event| Event {
                        prev_kv: event.prev_kv.clone().filter(|_| old),
                        ..event
                    })
                    .collect();
                self.send(id, events, piece).await?;
                if let Some(watch) = self.watches.get_mut(&id) {
                    watch.1 = next;
                }
            }
        }
        Ok(())
    }

    /// Sends changes in one answer or in pieces, or as much of it as the cut that was called for lets out.
    async fn send(&self, id: i64, events: Vec<Event>, piece: usize) -> Result<(), Over> {
        let mut sent = self.wire.sent.subscribe();
        sent.borrow_and_update();
        let within = self.take(|cut| *cut == Cut::Within).is_some();
        if within {
            // The head of the frame and a little of what is in it.
            self.wire.cut(15);
        }
        let between = self.take(|cut| matches!(cut, Cut::Between(_)));
        let pieces = events.len().div_ceil(piece.min(events.len()).max(1));
        for (number, part) in events.chunks(piece.min(events.len()).max(1)).enumerate() {
            let fragment = number + 1 < pieces;
            self.say(WatchResponse {
                fragment,
                events: part.to_vec(),
                ..self.answer(id)
            })
            .await?;
            if let Some(Cut::Between(0)) = between {
                // What has been said goes out; what follows does not.
                if sent.changed().await.is_ok() {
                    self.wire.cut(0);
                }
                return Err(Over);
            }
        }
        if let Some(Cut::Between(more @ 1..)) = between {
            self.seat.state.send_if_modified(|state| {
                state.cut.get_or_insert(Cut::Between(more - 1));
                false
            });
        }
        // Written is what has left: not what a silence holds back, nor what went down with its connection.
        let left = tokio::select! {
            left = sent.changed() => left.is_ok(),
            () = self.say.closed() => false,
        };
        if within || !left {
            return Err(Over);
        }
        (self.seat.etcd.0.told)(&Known::Written {
            member: self.seat.number,
            events,
        });
        Ok(())
    }
}
