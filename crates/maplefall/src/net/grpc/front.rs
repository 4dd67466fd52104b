//! Clients of gRPC: the listener, calls as they come, and the one final status of each.

use super::super::auth::{Auth, AuthResponse, Checked};
use super::super::driver::Driver;
use super::super::request::{customer, name, text, Terms};
use super::back::GRPC_TIMEOUT;
use super::passage::{NextOutput, ProxiedCall};
use super::settings::{GrpcSettings, Route};
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use hyper::body::Bytes;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, TE, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use maplefall_grpc::frames::Frames;
use maplefall_grpc::{is_grpc, status_trailers, timeout, Call, Code, Output};
use maplefall_policy::{Millis, PlanId, RequestId};
use maplefall_protocol::headers::{API_PLAN, API_TERMS, IDEMPOTENCY_KEY, REQUEST_ID};
use maplefall_protocol::{Answer, Incoming, Order, LONGEST_BODY};
use maplefall_settings::plain;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;

/// Bytes of a call's metadata at most.
const MAX_METADATA_BYTES: u32 = 16 * 1024;
/// How long a connection may take to begin to speak HTTP/2.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a message that has to come whole may take.
const MESSAGE_TIMEOUT: Millis = 2000.0;
/// Pause when the system has no descriptor for a new connection, and between looks where there is no room for one.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// When a client that could not be let in is told to come again.
const UNCHECKED_RETRY_AFTER: Millis = 1000.0;
/// Beyond the longest deadline, how long a planned stop takes at most.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(550);
/// How long calls are still taken on open connections once a stop is planned: `GOAWAY` has to come there.
const GOAWAY_GRACE: Duration = Duration::from_millis(50);

/// The clients' side of gRPC.
pub struct GrpcServer {
    driver: Rc<Driver>,
    auth: Option<Rc<Auth>>,
    settings: GrpcSettings,
    connections: Cell<usize>,
    calls: Cell<usize>,
    closed: Notify,
    stopping: watch::Sender<bool>,
}

/// Why a call is turned down unseen by the decisions.
#[derive(Debug)]
enum CallRejection {
    /// It is no gRPC: an answer of HTTP.
    Http(StatusCode),
    /// It is, and cannot be used.
    Grpc(Code, String),
    /// Its client has gone.
    Disconnected,
}

fn invalid_header(header: &HeaderName) -> CallRejection {
    CallRejection::Grpc(
        Code::InvalidArgument,
        format!("{header} is missing, repeated or cannot be read"),
    )
}

impl GrpcServer {
    /// The clients' side of `door`.
    pub fn new(
        driver: Rc<Driver>,
        auth: Option<Rc<Auth>>,
        settings: GrpcSettings,
    ) -> Rc<GrpcServer> {
        Rc::new(GrpcServer {
            driver,
            auth,
            settings,
            connections: Cell::new(0),
            calls: Cell::new(0),
            closed: Notify::new(),
            stopping: watch::Sender::new(false),
        })
    }

    /// Accepts connections for as long as the front door runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // Who finds no room waits in the system's line.
            while self.connections.get() >= self.settings.connections {
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
            match listener.accept().await {
                Ok((stream, address)) => {
                    self.connections.set(self.connections.get() + 1);
                    let open = OpenGuard {
                        front: self.clone(),
                        kind: OpenKind::Connection,
                    };
                    tokio::task::spawn_local(self.clone().serve(stream, address.ip(), open));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Takes no new calls, and returns once those that were taken have their status.
    pub async fn stop(&self) {
        let max_deadline = self
            .driver
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        let max_deadline = Duration::try_from_secs_f64(max_deadline / 1000.0).unwrap_or_default();
        let end = tokio::time::Instant::now() + max_deadline + SHUTDOWN_GRACE;
        self.stopping.send_replace(true);
        tokio::time::sleep(GOAWAY_GRACE).await;
        while self.connections.get() > 0 {
            if tokio::time::timeout_at(end, self.closed.notified())
                .await
                .is_err()
            {
                eprintln!("stopped with {} calls without a status", self.calls.get());
                return;
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, peer: IpAddr, _open: OpenGuard) {
        // Without it calls are late, not wrong.
        let _ = stream.set_nodelay(true);
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(self.settings.streams)
            .max_header_list_size(MAX_METADATA_BYTES);
        let handshake =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
        // Whoever speaks no HTTP/2 is not answered in it.
        let Ok(Ok(mut connection)) = handshake else {
            return;
        };
        let idle =
            Duration::try_from_secs_f64(self.settings.idle / 1000.0).unwrap_or(HANDSHAKE_TIMEOUT);
        let active = Rc::new(Cell::new(0));
        let mut stopping = self.stopping.subscribe();
        let mut draining = false;
        loop {
            tokio::select! {
                run_call = connection.accept() => match run_call {
                    Some(Ok((request, respond))) => self.clone().start_call(request, respond, peer, &active),
                    // The connection is over, its calls with it.
                    Some(Err(_)) | None => return,
                },
                _ = stopping.wait_for(|stopping| *stopping), if !draining => {
                    draining = true;
                    connection.graceful_shutdown();
                }
                () = tokio::time::sleep(idle) => {
                    if active.get() == 0 {
                        // One that does not even take its leave is dropped.
                        if draining {
                            return;
                        }
                        draining = true;
                        connection.graceful_shutdown();
                    }
                }
            }
        }
    }

    fn start_call(
        self: Rc<Self>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        peer: IpAddr,
        active: &Rc<Cell<usize>>,
    ) {
        if self.calls.get() >= self.settings.calls {
            // Its client may send it again, here or elsewhere: nobody has looked at it (RFC 9113, 8.7).
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        self.calls.set(self.calls.get() + 1);
        let open = OpenGuard {
            front: self.clone(),
            kind: OpenKind::Call(active.clone()),
        };
        active.set(active.get() + 1);
        tokio::task::spawn_local(async move {
            let _open = open;
            self.call(request, respond, peer).await;
        });
    }

    async fn call(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        peer: IpAddr,
    ) {
        let (head, mut body) = request.into_parts();
        let now = self.driver.clock.now();
        let read = async {
            let (incoming, route) = self.read_head(&head, now)?;
            let metadata = forwarded_metadata(&head.headers, self.auth.as_deref());
            let max_replay_bytes = self.settings.max_buffered_bytes;
            let call = Rc::new(ProxiedCall::new(
                &head.uri,
                metadata,
                route.shape,
                incoming.deadline,
                max_replay_bytes,
            ));
            if !route.shape.request_streams() {
                let end = self
                    .driver
                    .clock
                    .instant(incoming.deadline.min(now + MESSAGE_TIMEOUT));
                let message = tokio::time::timeout_at(end, read_single_message(&mut body, &call));
                let timed_out = |_| {
                    CallRejection::Grpc(
                        Code::DeadlineExceeded,
                        "the message did not come in time".to_owned(),
                    )
                };
                message.await.map_err(timed_out)??;
            }
            Ok((incoming, call))
        };
        match read.await {
            Ok((incoming, passage)) => {
                self.proxy_call(&head, body, respond, peer, incoming, passage)
                    .await
            }
            Err(CallRejection::Disconnected) => {}
            Err(CallRejection::Http(status)) => {
                let mut response = Response::new(());
                *response.status_mut() = status;
                // Where it cannot be sent, there is nobody to send it to.
                let _ = respond.send_response(response, true);
            }
            Err(CallRejection::Grpc(code, why)) => {
                let _ = respond.send_response(trailers_only(status_trailers(code, &why)), true);
            }
        }
    }

    /// Reads a call's head.
    fn read_head(&self, head: &Parts, now: Millis) -> Result<(Incoming, Route), CallRejection> {
        if head.method != Method::POST {
            return Err(CallRejection::Http(StatusCode::METHOD_NOT_ALLOWED));
        }
        let headers = &head.headers;
        if !text(headers, &CONTENT_TYPE).is_ok_and(|kind| is_grpc(kind.as_bytes())) {
            return Err(CallRejection::Http(StatusCode::UNSUPPORTED_MEDIA_TYPE));
        }
        let route = self.settings.routes.find(head.uri.path());
        let route = route
            .ok_or_else(|| CallRejection::Grpc(Code::Unimplemented, "no such method".to_owned()))?;
        let (settings, names) = (&self.driver.settings, &self.driver.names);
        let header =
            |header: HeaderName| text(headers, &header).map_err(|_| invalid_header(&header));
        let id = name(headers, &REQUEST_ID).map_err(|_| invalid_header(&REQUEST_ID))?;
        let plan_name = plain(header(API_PLAN)?);
        let plan = names.plans.iter().position(|name| *name == plan_name);
        let plan = plan
            .ok_or_else(|| CallRejection::Grpc(Code::InvalidArgument, "unknown plan".to_owned()))?;
        let class = &settings.classes[route.class.0];
        let keyed = headers.contains_key(IDEMPOTENCY_KEY);
        if keyed != matches!(class.effect, maplefall_policy::Effect::Keyed { .. }) {
            return Err(invalid_header(&IDEMPOTENCY_KEY));
        }
        if keyed {
            name(headers, &IDEMPOTENCY_KEY).map_err(|_| invalid_header(&IDEMPOTENCY_KEY))?;
        }
        let time = match headers.contains_key(&GRPC_TIMEOUT) {
            true => timeout::parse(header(GRPC_TIMEOUT)?.as_bytes())
                .ok_or_else(|| invalid_header(&GRPC_TIMEOUT))?,
            false => f64::INFINITY,
        };
        let (units, spread) = match headers.contains_key(&API_TERMS) {
            true => {
                let terms = Terms::read(header(API_TERMS)?, settings)
                    .ok_or_else(|| invalid_header(&API_TERMS))?;
                (terms.units, terms.spread)
            }
            // A client that names no set comes through all front doors.
            false => (route.units, f64::from(settings.gateways.max(1))),
        };
        let path = head
            .uri
            .path_and_query()
            .ok_or(CallRejection::Http(StatusCode::BAD_REQUEST))?;
        let authority = head
            .uri
            .authority()
            .map_or("localhost", |authority| authority.as_str());
        let host = HeaderValue::from_str(authority).map_err(|_| invalid_header(&HOST))?;
        let incoming = Incoming {
            at: now,
            // No client waits for longer than its class allows.
            deadline: now + time.min(class.deadline),
            checked: true,
            customer: customer(headers).ok_or_else(|| invalid_header(&hyper::header::COOKIE))?,
            plan: PlanId(plan),
            class: route.class,
            units,
            spread,
            order: Order {
                id: id.into(),
                id_value: headers[REQUEST_ID].clone(),
                host,
                method: Method::POST,
                uri: path.clone().into(),
                key: headers.get(IDEMPOTENCY_KEY).cloned(),
                content_type: headers.get(CONTENT_TYPE).cloned(),
                onward: Vec::new(),
                body: Bytes::new(),
            },
        };
        Ok((incoming, route))
    }

    /// Hands a call to the decisions and carries its answer to the client.
    async fn proxy_call(
        &self,
        head: &Parts,
        body: RecvStream,
        respond: SendResponse<Bytes>,
        peer: IpAddr,
        mut incoming: Incoming,
        call: Rc<ProxiedCall>,
    ) {
        let mut response = ResponseStream::AwaitingHead(respond);
        let (class, plan, deadline) = (incoming.class, incoming.plan.0, incoming.deadline);
        let auth = self.auth.as_ref().filter(|auth| auth.checks_class(class));
        incoming.at = self.driver.clock.now();
        incoming.checked = auth.is_none();
        let Some((id, mut answer)) = self.driver.start_call(incoming, Some(call.clone())) else {
            let why = "a call with this id has come before";
            call.update(|call, outputs| call.turn_down(Code::AlreadyExists, why, outputs));
            return response.send_all(&call).await;
        };
        let mut waiting = PendingCallGuard {
            driver: &self.driver,
            call: &call,
            id: Some(id),
        };
        // Where the message has come whole there is nothing more to read.
        let _reader = call
            .shape()
            .request_streams()
            .then(|| UploadReader::start(body, call.clone()));
        if let Some(auth) = auth.filter(|_| self.driver.awaits_check(id)) {
            let caller = auth.caller(head, class, plan, peer);
            let checked = tokio::select! {
                checked = auth.authorize(&self.driver, caller, id, deadline, &mut answer) => checked,
                () = response.disconnected() => return,
            };
            match checked {
                Checked::Passed => {}
                Checked::Answered(answer) => {
                    waiting.id = None;
                    self.apply_answer(&call, answer);
                    return response.send_all(&call).await;
                }
                Checked::Denied(carried) => {
                    waiting.id = None;
                    let (code, why) = denial_status(&carried);
                    call.update(|call, outputs| call.turn_down(code, why, outputs));
                    return response.send_all(&call).await;
                }
                Checked::Unchecked => {
                    waiting.id = None;
                    let wait = self
                        .driver
                        .settings
                        .retry_after
                        .then_some(UNCHECKED_RETRY_AFTER);
                    call.update(|call, outputs| call.refuse(wait, outputs));
                    return response.send_all(&call).await;
                }
            }
        }
        let mut answered = false;
        loop {
            tokio::select! {
                biased;
                said = &mut answer, if !answered => {
                    answered = true;
                    waiting.id = None;
                    self.apply_answer(&call, said.unwrap_or(Answer::Failed));
                }
                // Its place in the table is given up by `waiting`.
                step = response.step(&call) => if step != Step::Sent { return },
            }
        }
    }

    /// Turns the decisions' answer into the call's end.
    fn apply_answer(&self, call: &ProxiedCall, answer: Answer) {
        let now = self.driver.clock.now();
        if !matches!(answer, Answer::Served(_)) {
            call.drop_messages();
        }
        call.update(|call: &mut Call, outputs| match answer {
            Answer::Served(_) => call.serve(outputs),
            Answer::Refused(wait) => call.refuse(wait, outputs),
            Answer::Failed => call.fail(now, outputs),
        });
    }
}

/// What the authentication service's denial is to a client of gRPC.
fn denial_status(auth_response: &AuthResponse) -> (Code, &'static str) {
    match auth_response {
        // A page to sign in at is of no use to it.
        AuthResponse::Denial { status, .. }
            if *status == StatusCode::UNAUTHORIZED || status.is_redirection() =>
        {
            (Code::Unauthenticated, "the caller is not signed in")
        }
        _ => (Code::PermissionDenied, "the caller may not"),
    }
}

/// Metadata that goes on: all but what belongs to the connection, to this hop's time, and what only the authentication
/// service may say.
fn forwarded_metadata(headers: &HeaderMap, auth: Option<&Auth>) -> HeaderMap {
    let mut metadata = headers.clone();
    for name in [
        CONNECTION,
        HOST,
        TE,
        TRANSFER_ENCODING,
        UPGRADE,
        GRPC_TIMEOUT,
    ] {
        metadata.remove(name);
    }
    if let Some(auth) = auth {
        auth.strip(&mut metadata);
    }
    metadata
}

/// Reads the one message of a call whose client sends one.
async fn read_single_message(
    body: &mut RecvStream,
    call: &ProxiedCall,
) -> Result<(), CallRejection> {
    let mut frames = Frames::default();
    let mut received = 0;
    while let Some(data) = body.data().await {
        let data = data.map_err(|_| CallRejection::Disconnected)?;
        received += data.len();
        let _ = body.flow_control().release_capacity(data.len());
        if frames.take(&data).is_err() || frames.messages() + u64::from(frames.within()) > 1 {
            return Err(CallRejection::Grpc(
                Code::InvalidArgument,
                "one message was expected".to_owned(),
            ));
        }
        if received > LONGEST_BODY + 5 || frames.length() as usize > LONGEST_BODY {
            let why = format!("a message of {LONGEST_BODY} bytes at most was expected");
            return Err(CallRejection::Grpc(Code::ResourceExhausted, why));
        }
        call.push_upload(data);
    }
    if frames.messages() != 1 {
        return Err(CallRejection::Grpc(
            Code::InvalidArgument,
            "one message was expected".to_owned(),
        ));
    }
    call.end_upload();
    Ok(())
}

/// A head that is the whole answer: `Trailers-Only`.
fn trailers_only(trailers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.headers_mut() = trailers;
    let kind = HeaderValue::from_static("application/grpc");
    response.headers_mut().entry(CONTENT_TYPE).or_insert(kind);
    response
}

/// What became of the next thing that was to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Sent,
    /// The status is out.
    Finished,
    /// Nobody listens any more.
    Disconnected,
}

/// The client's stream, before its head and after it.
enum ResponseStream {
    AwaitingHead(SendResponse<Bytes>),
    Streaming(SendStream<Bytes>),
    Closed,
}

impl ResponseStream {
    /// Whether the client has given the call up, or its connection is gone.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // A word in either case: nobody listens any more.
        match self {
            ResponseStream::AwaitingHead(respond) => respond.poll_reset(cx).map(drop),
            ResponseStream::Streaming(stream) => stream.poll_reset(cx).map(drop),
            ResponseStream::Closed => Poll::Pending,
        }
    }

    /// Sends what comes next, as far as the client takes it.
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
            // The library wakes for more room alone, not for what there is.
            max_bytes = match stream.capacity() {
                0 => match ready!(stream.poll_capacity(cx)) {
                    Some(Ok(room)) => room,
                    _ => return Poll::Ready(Step::Disconnected),
                },
                room => room,
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

    async fn disconnected(&mut self) {
        std::future::poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    /// May be dropped at any wait: nothing is taken before there is room for it.
    async fn step(&mut self, call: &ProxiedCall) -> Step {
        std::future::poll_fn(|cx| self.poll_step(call, cx)).await
    }

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
            (side, _) => side,
        };
        ended
    }

    /// Sends all that there is, up to the call's status.
    async fn send_all(&mut self, call: &ProxiedCall) {
        while self.step(call).await == Step::Sent {}
    }
}

/// Reads what a client streams, for as long as its call is open.
struct UploadReader(AbortHandle);

impl UploadReader {
    fn start(mut body: RecvStream, call: Rc<ProxiedCall>) -> UploadReader {
        let task = tokio::task::spawn_local(async move {
            loop {
                call.wait_for_upload_capacity().await;
                match body.data().await {
                    Some(Ok(data)) => {
                        let length = data.len();
                        call.push_upload(data);
                        let _ = body.flow_control().release_capacity(length);
                    }
                    // Whoever waits for the client's reset tells the rest.
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

/// Tells the driver when a client goes away before its call has a status.
struct PendingCallGuard<'a> {
    driver: &'a Rc<Driver>,
    call: &'a ProxiedCall,
    id: Option<RequestId>,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.call.update(|call, _| call.gone());
            self.driver.client_disconnected(id);
            self.driver.cancel_if_permitted(id);
        }
    }
}

/// Counts a connection, or a call, while it is open.
struct OpenGuard {
    front: Rc<GrpcServer>,
    kind: OpenKind,
}

enum OpenKind {
    Connection,
    Call(Rc<Cell<usize>>),
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        match &self.kind {
            OpenKind::Connection => {
                self.front.connections.set(self.front.connections.get() - 1);
                self.front.closed.notify_one();
            }
            OpenKind::Call(active) => {
                active.set(active.get() - 1);
                self.front.calls.set(self.front.calls.get() - 1);
            }
        }
    }
}
