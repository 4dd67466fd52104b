//! The follower's commands carried out over gRPC (etcd v3, `KV.Range`, `Watch.Watch`, `Auth.Authenticate`,
//! `Lease.LeaseTimeToLive`), on a current-thread runtime inside a `LocalSet`.

use crate::text::one_line;
use crate::{Command, ConnectionId, Failure, Follower, Input, Output, Settings};
use http::uri::PathAndQuery;
use maplefall_etcd_wire::{
    error, path, watch_request, AuthenticateRequest, AuthenticateResponse, LeaseRequest,
    LeaseResponse, WatchProgressRequest, WatchRequest, WatchResponse,
};
use maplefall_policy::Millis;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_stream::wrappers::ReceiverStream;
use tonic::client::Grpc;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};
use tonic_prost::ProstCodec;

/// Longest message that is read: twice what etcd takes in one request, and so sends in one piece. Pages that are longer are
/// asked for again with fewer keys.
const LONGEST_MESSAGE: usize = 4 << 20;
/// Inputs that wait for the follower at most, each of one message; the stream waits behind them.
const WAITING: usize = 16;
/// Inputs that are taken in one go, before the runtime's other work has its turn.
const AT_ONCE: usize = 64;

/// Where etcd is and who asks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionConfig {
    /// `http://HOST:PORT`, or `https://` with the feature `tls`.
    pub endpoints: Vec<String>,
    /// User and password.
    pub user: Option<(String, String)>,
    /// The authority that signed the members' certificates, as PEM; for `https` only.
    pub authority: Option<Vec<u8>>,
}

/// What stands between the follower and the sockets; [`PassThrough`] changes nothing. A rehearsal's broken builds sit here.
pub trait Interceptor {
    /// A command on its way to the sockets.
    fn command(&mut self, command: Command) -> Command {
        command
    }

    /// An input on its way to the follower.
    fn input(&mut self, input: Input) -> Input {
        input
    }
}

/// Nothing stands between.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassThrough;

impl Interceptor for PassThrough {}

/// Follows a prefix for as long as it is polled. Where `place` is told anew, it goes on there from what it has seen.
/// `clock` gives the time that is handed to the follower; `take` gets what the follower tells and reports, in order.
pub async fn follow(
    mut settings: Settings,
    mut place: watch::Receiver<ConnectionConfig>,
    clock: impl Fn() -> Millis,
    mut take: impl FnMut(Output),
    mut seam: impl Interceptor,
) {
    let mut at = place.borrow_and_update().clone();
    (settings.endpoint_count, settings.authenticate) = (at.endpoints.len(), at.user.is_some());
    let mut follower = Follower::new(settings.clone());
    let (sender, mut inputs) = mpsc::channel(WAITING);
    let mut link: Option<Link> = None;
    loop {
        follower.handle_timeout(clock());
        while let Some(output) = follower.poll_output() {
            match output {
                Output::Command(Command::Open {
                    connection,
                    endpoint,
                }) => {
                    let uri = at.endpoints.get(endpoint).cloned().unwrap_or_default();
                    link = Some(Link::open(connection, uri, &at, sender.clone()));
                }
                Output::Command(Command::Close { .. }) => link = None,
                Output::Command(command) => {
                    if let Some(link) = &mut link {
                        link.carry_out(seam.command(command));
                    }
                }
                told => take(told),
            }
        }
        let pause = follower
            .poll_timeout()
            .map_or(f64::INFINITY, |due| due - clock());
        // A whole millisecond more: the runtime's timers are no finer, and waking too early would be in vain.
        let pause = Duration::from_secs_f64((pause.clamp(0.0, 60_000.0) + 1.0) / 1000.0);
        tokio::select! {
            input = inputs.recv() => {
                let Some((connection, input)) = input else { return };
                follower.handle(clock(), connection, seam.input(input));
                for _ in 1..AT_ONCE {
                    let Ok((connection, input)) = inputs.try_recv() else { break };
                    follower.handle(clock(), connection, seam.input(input));
                }
            }
            () = tokio::time::sleep(pause) => {}
            changed = place.changed() => {
                if changed.is_err() {
                    return;
                }
                at = place.borrow_and_update().clone();
                (settings.endpoint_count, settings.authenticate) = (at.endpoints.len(), at.user.is_some());
                follower.reconfigure(clock(), settings.clone());
            }
        }
    }
}

/// One connection and all that is out on it; dropped, all of it ends.
struct Link {
    connection: ConnectionId,
    inputs: mpsc::Sender<(ConnectionId, Input)>,
    shared: Rc<Shared>,
    /// What is said on the watch that is open.
    watch: Option<mpsc::Sender<WatchRequest>>,
    tasks: JoinSet<()>,
}

struct Shared {
    channel: RefCell<Option<Channel>>,
    token: RefCell<Option<MetadataValue<Ascii>>>,
    user: Option<(String, String)>,
}

impl Link {
    fn open(
        connection: ConnectionId,
        uri: String,
        place: &ConnectionConfig,
        inputs: mpsc::Sender<(ConnectionId, Input)>,
    ) -> Link {
        let shared = Rc::new(Shared {
            channel: RefCell::default(),
            token: RefCell::default(),
            user: place.user.clone(),
        });
        let mut link = Link {
            connection,
            inputs,
            shared,
            watch: None,
            tasks: JoinSet::new(),
        };
        let (shared, authority) = (link.shared.clone(), place.authority.clone());
        link.spawn(async move {
            match connect(uri, authority).await {
                Ok(channel) => {
                    shared.channel.replace(Some(channel));
                    Input::Opened
                }
                Err(reason) => Input::Failed(Failure::Unavailable(reason)),
            }
        });
        link
    }

    fn spawn(&mut self, work: impl std::future::Future<Output = Input> + 'static) {
        let (inputs, connection) = (self.inputs.clone(), self.connection);
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn_local(async move {
            let input = work.await;
            // Nobody listens any more: then nobody needs it.
            let _ = inputs.send((connection, input)).await;
        });
    }

    fn carry_out(&mut self, command: Command) {
        let shared = self.shared.clone();
        match command {
            Command::Authenticate { .. } => self.spawn(async move {
                let (name, password) = shared.user.clone().unwrap_or_default();
                let asked = AuthenticateRequest { name, password };
                let answer: Result<AuthenticateResponse, Status> =
                    shared.call(path::AUTHENTICATE, asked).await;
                let token = answer.map(|answer| MetadataValue::try_from(answer.token));
                match token {
                    Ok(Ok(token)) => {
                        shared.token.replace(Some(token));
                        Input::Authenticated
                    }
                    Ok(Err(_)) => {
                        Input::Failed(Failure::Unavailable("a token that is no text".to_owned()))
                    }
                    // A user that etcd does not ask for is no mistake: it may be asked for tomorrow.
                    Err(status) if status.message().contains(error::NOT_ENABLED) => {
                        Input::Authenticated
                    }
                    Err(status) => Input::Failed(failure(&status)),
                }
            }),
            Command::Range { request, .. } => self.spawn(async move {
                match shared.call(path::RANGE, request).await {
                    Ok(page) => Input::Page(page),
                    Err(status) => Input::Failed(failure(&status)),
                }
            }),
            Command::LeaseTimeToLive { lease, .. } => self.spawn(async move {
                let asked = LeaseRequest { id: lease };
                let answer: Result<LeaseResponse, Status> =
                    shared.call(path::LEASE_TIME_TO_LIVE, asked).await;
                Input::LeaseTimeToLive {
                    lease,
                    ttl: answer.ok().map(|answer| answer.ttl),
                }
            }),
            Command::Watch { request, .. } => {
                let (say, said) = mpsc::channel(4);
                let first = WatchRequest {
                    union: Some(watch_request::Union::Create(request)),
                };
                // There is room: the channel is new.
                let _ = say.try_send(first);
                self.watch = Some(say);
                let (inputs, connection) = (self.inputs.clone(), self.connection);
                self.spawn(
                    async move { Input::Failed(shared.watch(said, connection, &inputs).await) },
                );
            }
            Command::RequestProgress { .. } => {
                let asked = watch_request::Union::Progress(WatchProgressRequest {});
                if let Some(say) = &self.watch {
                    // A stream that takes no more is found by its silence.
                    let _ = say.try_send(WatchRequest { union: Some(asked) });
                }
            }
            Command::Open { .. } | Command::Close { .. } => {}
        }
    }
}

impl Shared {
    fn grpc(&self) -> Result<Grpc<Channel>, Status> {
        let channel = self
            .channel
            .borrow()
            .clone()
            .ok_or_else(|| Status::unavailable("not connected"))?;
        Ok(Grpc::new(channel).max_decoding_message_size(LONGEST_MESSAGE))
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = self.token.borrow().clone() {
            request.metadata_mut().insert("token", token);
        }
        request
    }

    async fn call<Q, A>(&self, path: &'static str, message: Q) -> Result<A, Status>
    where
        Q: prost::Message + 'static,
        A: prost::Message + Default + 'static,
    {
        let mut grpc = self.grpc()?;
        grpc.ready()
            .await
            .map_err(|error| Status::unavailable(root(&error)))?;
        let (path, codec) = (
            PathAndQuery::from_static(path),
            ProstCodec::<Q, A>::default(),
        );
        Ok(grpc
            .unary(self.request(message), path, codec)
            .await?
            .into_inner())
    }

    /// Hands on what the watch says until it ends; tells how it ended.
    async fn watch(
        &self,
        said: mpsc::Receiver<WatchRequest>,
        connection: ConnectionId,
        inputs: &mpsc::Sender<(ConnectionId, Input)>,
    ) -> Failure {
        let opened = async {
            let mut grpc = self.grpc()?;
            grpc.ready()
                .await
                .map_err(|error| Status::unavailable(root(&error)))?;
            let codec = ProstCodec::<WatchRequest, WatchResponse>::default();
            let request = self.request(ReceiverStream::new(said));
            grpc.streaming(request, PathAndQuery::from_static(path::WATCH), codec)
                .await
        };
        let mut stream = match opened.await {
            Ok(answer) => answer.into_inner(),
            Err(status) => return failure(&status),
        };
        loop {
            match stream.message().await {
                Ok(Some(answer)) => {
                    if inputs
                        .send((connection, Input::WatchResponse(answer)))
                        .await
                        .is_err()
                    {
                        return Failure::Unavailable("nobody listens".to_owned());
                    }
                }
                Ok(None) => return Failure::Unavailable("the watch's stream ended".to_owned()),
                Err(status) => return failure(&status),
            }
        }
    }
}

async fn connect(uri: String, authority: Option<Vec<u8>>) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(uri).map_err(|error| root(&error))?;
    // The follower has its own limits of time; here nothing may hang for ever.
    let endpoint = endpoint
        .connect_timeout(Duration::from_secs(10))
        .tcp_nodelay(true);
    let endpoint = secured(endpoint, authority)?;
    endpoint.connect().await.map_err(|error| root(&error))
}

#[cfg(feature = "tls")]
fn secured(endpoint: Endpoint, authority: Option<Vec<u8>>) -> Result<Endpoint, String> {
    use tonic::transport::{Certificate, ClientTlsConfig};
    if endpoint.uri().scheme_str() != Some("https") {
        return Ok(endpoint);
    }
    let mut tls = ClientTlsConfig::new();
    if let Some(pem) = authority {
        tls = tls.ca_certificate(Certificate::from_pem(pem));
    }
    endpoint.tls_config(tls).map_err(|error| root(&error))
}

#[cfg(not(feature = "tls"))]
fn secured(endpoint: Endpoint, _authority: Option<Vec<u8>>) -> Result<Endpoint, String> {
    match endpoint.uri().scheme_str() {
        Some("https") => Err("https: this build has no TLS (feature `tls`)".to_owned()),
        _ => Ok(endpoint),
    }
}

/// The innermost cause of an error: the outer ones say only that something failed.
fn root(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    one_line(&error.to_string())
}

/// What a status means to the follower.
fn failure(status: &Status) -> Failure {
    let reason = match std::error::Error::source(status) {
        Some(source) => root(source),
        None => one_line(status.message()),
    };
    if let Some(failure) = Failure::from_message(status.message()) {
        return failure;
    }
    match status.code() {
        Code::Unauthenticated => Failure::InvalidToken,
        Code::PermissionDenied => Failure::PermissionDenied(reason),
        // Of the same code as a compacted revision: the library's own word on a message over the limit.
        Code::OutOfRange if status.message().contains("message length too large") => {
            Failure::TooLarge
        }
        code => Failure::Unavailable(format!("{code:?}: {reason}")),
    }
}
