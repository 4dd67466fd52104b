//! Executes the follower's commands over gRPC (etcd v3: `KV.Range`, `Watch.Watch`,
//! `Auth.Authenticate`, `Lease.LeaseTimeToLive`), on a current-thread runtime inside a `LocalSet`.

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

/// Maximum size of a message: twice the maximum size of a request that etcd accepts, which is also
/// the size of the fragments that it sends. A longer page is requested again with fewer keys.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum number of inputs queued for the follower, each of one message. A full queue blocks the
/// stream.
const INPUT_QUEUE: usize = 16;
/// Maximum number of inputs handled before the runtime's other tasks run.
const INPUTS_PER_TURN: usize = 64;

/// Endpoints and credentials of an etcd cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionConfig {
    /// Endpoints: `http://HOST:PORT`, or `https://HOST:PORT` with the feature `tls`.
    pub endpoints: Vec<String>,
    /// User and password.
    pub user: Option<(String, String)>,
    /// Certificate of the authority that signed the members' certificates, as PEM; for `https`
    /// only.
    pub authority: Option<Vec<u8>>,
}

/// A hook between the follower and the sockets, for builds that inject faults. [`PassThrough`]
/// changes nothing.
pub trait Interceptor {
    /// Returns the command to execute in place of `command`.
    fn command(&mut self, command: Command) -> Command {
        command
    }

    /// Returns the input for the follower in place of `input`.
    fn input(&mut self, input: Input) -> Input {
        input
    }
}

/// An [`Interceptor`] that changes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassThrough;

impl Interceptor for PassThrough {}

/// Follows a prefix for as long as the future is polled. When `config` changes, it reconnects with
/// the new one and resumes from the last revision seen. `clock` returns the follower's time.
/// `on_output` gets the updates and reports, in order.
pub async fn follow(
    mut settings: Settings,
    mut config: watch::Receiver<ConnectionConfig>,
    clock: impl Fn() -> Millis,
    mut on_output: impl FnMut(Output),
    mut interceptor: impl Interceptor,
) {
    let mut current = config.borrow_and_update().clone();
    (settings.endpoint_count, settings.authenticate) =
        (current.endpoints.len(), current.user.is_some());
    let mut follower = Follower::new(settings.clone());
    let (sender, mut inputs) = mpsc::channel(INPUT_QUEUE);
    let mut link: Option<Link> = None;
    loop {
        follower.handle_timeout(clock());
        while let Some(output) = follower.poll_output() {
            match output {
                Output::Command(Command::Open {
                    connection,
                    endpoint,
                }) => {
                    let uri = current.endpoints.get(endpoint).cloned().unwrap_or_default();
                    link = Some(Link::open(connection, uri, &current, sender.clone()));
                }
                Output::Command(Command::Close { .. }) => link = None,
                Output::Command(command) => {
                    if let Some(link) = &mut link {
                        link.execute(interceptor.command(command));
                    }
                }
                output => on_output(output),
            }
        }
        let delay = follower
            .poll_timeout()
            .map_or(f64::INFINITY, |due| due - clock());
        // The wait is one millisecond longer: the runtime's timers have that resolution, and a
        // wake-up before the deadline would do nothing.
        let delay = Duration::from_secs_f64((delay.clamp(0.0, 60_000.0) + 1.0) / 1000.0);
        tokio::select! {
            input = inputs.recv() => {
                let Some((connection, input)) = input else { return };
                follower.handle(clock(), connection, interceptor.input(input));
                for _ in 1..INPUTS_PER_TURN {
                    let Ok((connection, input)) = inputs.try_recv() else { break };
                    follower.handle(clock(), connection, interceptor.input(input));
                }
            }
            () = tokio::time::sleep(delay) => {}
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
                current = config.borrow_and_update().clone();
                (settings.endpoint_count, settings.authenticate) = (current.endpoints.len(), current.user.is_some());
                follower.reconfigure(clock(), settings.clone());
            }
        }
    }
}

/// A connection with its calls in flight, which are cancelled when it is dropped.
struct Link {
    connection: ConnectionId,
    inputs: mpsc::Sender<(ConnectionId, Input)>,
    shared: Rc<Shared>,
    /// Sender of requests on the open watch stream.
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
        config: &ConnectionConfig,
        inputs: mpsc::Sender<(ConnectionId, Input)>,
    ) -> Link {
        let shared = Rc::new(Shared {
            channel: RefCell::default(),
            token: RefCell::default(),
            user: config.user.clone(),
        });
        let mut link = Link {
            connection,
            inputs,
            shared,
            watch: None,
            tasks: JoinSet::new(),
        };
        let (shared, authority) = (link.shared.clone(), config.authority.clone());
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
            // Sending fails only if `follow` has ended, which needs no input any more.
            let _ = inputs.send((connection, input)).await;
        });
    }

    fn execute(&mut self, command: Command) {
        let shared = self.shared.clone();
        match command {
            Command::Authenticate { .. } => self.spawn(async move {
                let (name, password) = shared.user.clone().unwrap_or_default();
                let request = AuthenticateRequest { name, password };
                let response: Result<AuthenticateResponse, Status> =
                    shared.call(path::AUTHENTICATE, request).await;
                let token = response.map(|response| MetadataValue::try_from(response.token));
                match token {
                    Ok(Ok(token)) => {
                        shared.token.replace(Some(token));
                        Input::Authenticated
                    }
                    Ok(Err(_)) => Input::Failed(Failure::Unavailable(
                        "the token is not valid as metadata".to_owned(),
                    )),
                    // Credentials are allowed while authentication is disabled: it can be enabled
                    // later.
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
                let request = LeaseRequest { id: lease };
                let response: Result<LeaseResponse, Status> =
                    shared.call(path::LEASE_TIME_TO_LIVE, request).await;
                Input::LeaseTimeToLive {
                    lease,
                    ttl: response.ok().map(|response| response.ttl),
                }
            }),
            Command::Watch { request, .. } => {
                let (requests, request_stream) = mpsc::channel(4);
                let first = WatchRequest {
                    union: Some(watch_request::Union::Create(request)),
                };
                // Sending cannot fail: the channel is new and empty.
                let _ = requests.try_send(first);
                self.watch = Some(requests);
                let (inputs, connection) = (self.inputs.clone(), self.connection);
                self.spawn(async move {
                    Input::Failed(shared.watch(request_stream, connection, &inputs).await)
                });
            }
            Command::RequestProgress { .. } => {
                let request = watch_request::Union::Progress(WatchProgressRequest {});
                if let Some(requests) = &self.watch {
                    // If the stream accepts no more requests, the watch timeout closes the
                    // connection.
                    let _ = requests.try_send(WatchRequest {
                        union: Some(request),
                    });
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
        Ok(Grpc::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
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
            .map_err(|error| Status::unavailable(root_cause(&error)))?;
        let (path, codec) = (
            PathAndQuery::from_static(path),
            ProstCodec::<Q, A>::default(),
        );
        Ok(grpc
            .unary(self.request(message), path, codec)
            .await?
            .into_inner())
    }

    /// Passes the responses of a watch stream to the follower until the stream ends. Returns the
    /// reason for the end.
    async fn watch(
        &self,
        request_stream: mpsc::Receiver<WatchRequest>,
        connection: ConnectionId,
        inputs: &mpsc::Sender<(ConnectionId, Input)>,
    ) -> Failure {
        let opened = async {
            let mut grpc = self.grpc()?;
            grpc.ready()
                .await
                .map_err(|error| Status::unavailable(root_cause(&error)))?;
            let codec = ProstCodec::<WatchRequest, WatchResponse>::default();
            let request = self.request(ReceiverStream::new(request_stream));
            grpc.streaming(request, PathAndQuery::from_static(path::WATCH), codec)
                .await
        };
        let mut stream = match opened.await {
            Ok(response) => response.into_inner(),
            Err(status) => return failure(&status),
        };
        loop {
            match stream.message().await {
                Ok(Some(response)) => {
                    if inputs
                        .send((connection, Input::WatchResponse(response)))
                        .await
                        .is_err()
                    {
                        return Failure::Unavailable(
                            "the receiver of inputs was dropped".to_owned(),
                        );
                    }
                }
                Ok(None) => return Failure::Unavailable("the watch stream ended".to_owned()),
                Err(status) => return failure(&status),
            }
        }
    }
}

async fn connect(uri: String, authority: Option<Vec<u8>>) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(uri).map_err(|error| root_cause(&error))?;
    // The follower has its own timeouts; this one bounds a connection attempt in any case.
    let endpoint = endpoint
        .connect_timeout(Duration::from_secs(10))
        .tcp_nodelay(true);
    let endpoint = with_tls(endpoint, authority)?;
    endpoint.connect().await.map_err(|error| root_cause(&error))
}

#[cfg(feature = "tls")]
fn with_tls(endpoint: Endpoint, authority: Option<Vec<u8>>) -> Result<Endpoint, String> {
    use tonic::transport::{Certificate, ClientTlsConfig};
    if endpoint.uri().scheme_str() != Some("https") {
        return Ok(endpoint);
    }
    let mut tls = ClientTlsConfig::new();
    if let Some(pem) = authority {
        tls = tls.ca_certificate(Certificate::from_pem(pem));
    }
    endpoint.tls_config(tls).map_err(|error| root_cause(&error))
}

#[cfg(not(feature = "tls"))]
fn with_tls(endpoint: Endpoint, _authority: Option<Vec<u8>>) -> Result<Endpoint, String> {
    match endpoint.uri().scheme_str() {
        Some("https") => Err("https: this build has no TLS (feature `tls`)".to_owned()),
        _ => Ok(endpoint),
    }
}

/// Returns the innermost source of an error, since the outer errors only state that a call failed.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    one_line(&error.to_string())
}

/// Converts a gRPC status into a failure.
fn failure(status: &Status) -> Failure {
    let reason = match std::error::Error::source(status) {
        Some(source) => root_cause(source),
        None => one_line(status.message()),
    };
    if let Some(failure) = Failure::from_message(status.message()) {
        return failure;
    }
    match status.code() {
        Code::Unauthenticated => Failure::InvalidToken,
        Code::PermissionDenied => Failure::PermissionDenied(reason),
        // The gRPC library's error for a message over the limit, which has the same code as etcd's
        // for a compacted revision.
        Code::OutOfRange if status.message().contains("message length too large") => {
            Failure::TooLarge
        }
        code => Failure::Unavailable(format!("{code:?}: {reason}")),
    }
}
