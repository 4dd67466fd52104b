//! The HTTP/1.1 API for backends and the operator: `POST /api/rpc?call=...`.

use super::api_connection::{wait_for_capacity, ApiConnection};
use super::controller::Controller;
use super::descriptors::DescriptorBudget;
use super::ACCEPT_RETRY_INTERVAL;
use crate::core::{Call, CallResponse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use maplefall_downstream::{
    evict_slow_transfers, read_request_body, BodyDeadlines, BodyError, BodyMemory, BodyPolicy,
    ClientSocket, CloseNotification, ConnectionGuard, ConnectionTable, HeadMemory, Reservation,
};
use maplefall_node_settings::Limits;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// The path of all calls.
const RPC_PATH: &str = "/api/rpc";
/// Maximum length of the body of a call.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Maximum time for the body of a call to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which the body of a call waits for memory.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(2500);
/// Maximum number of API connections; for a further one, an idle one is closed.
const MAX_API_CONNECTIONS: usize = 1024;
/// Percentage of the process's memory limit that is for the bodies of calls.
const BODY_MEMORY_PERCENT: u64 = 78;
/// Percentage of the process's memory limit that is for heads beyond 8 KiB for each connection.
const HEAD_MEMORY_PERCENT: u64 = 10;
/// Maximum number of bytes that a connection buffers in each direction, and of a head.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum time for the head of a request to arrive on an API connection, including idle time
/// before it.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Length from which responses with the same content share their memory.
const MIN_SHARED_BYTES: usize = 16 << 10;

type HttpResponse = Response<Full<Bytes>>;

/// Accepts API connections until the process ends.
pub(super) async fn accept_connections(
    controller: Rc<Controller>,
    listener: TcpListener,
    limits: Limits,
) {
    let server = Rc::new(ApiServer::new(controller, limits));
    let started_at = server.started_at;
    tokio::task::spawn_local(evict_slow_transfers(
        server.connections.clone(),
        server.body_memory.clone(),
        move || started_at.elapsed().as_secs_f64() * 1000.0,
    ));
    loop {
        wait_for_capacity(&server.connections).await;
        match listener.accept().await {
            Ok((stream, from)) => {
                let connection =
                    ApiConnection::new(started_at, from.ip(), server.head_memory.clone());
                let guard = server.connections.insert(connection);
                tokio::task::spawn_local(server.clone().serve_connection(stream, guard));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

/// The server of all API connections.
struct ApiServer {
    controller: Rc<Controller>,
    connections: Rc<ConnectionTable<ApiConnection>>,
    body_memory: Rc<BodyMemory>,
    head_memory: Rc<HeadMemory>,
    started_at: Instant,
    /// The latest long response, which others with the same content share.
    latest_long_response: RefCell<Bytes>,
}

impl ApiServer {
    fn new(controller: Rc<Controller>, limits: Limits) -> ApiServer {
        let max_connections = DescriptorBudget::new(limits.file_limit).api;
        let memory_part = |percent| {
            let bytes = limits.memory_mb.saturating_mul(1 << 20) / 100 * percent;
            usize::try_from(bytes).unwrap_or(usize::MAX)
        };
        ApiServer {
            controller,
            connections: ConnectionTable::new(
                max_connections.min(MAX_API_CONNECTIONS),
                CloseNotification::Waiting,
            ),
            body_memory: BodyMemory::new(memory_part(BODY_MEMORY_PERCENT)),
            head_memory: HeadMemory::new(memory_part(HEAD_MEMORY_PERCENT)),
            started_at: Instant::now(),
            latest_long_response: RefCell::default(),
        }
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        guard: ConnectionGuard<ApiConnection>,
    ) {
        let connection = guard.state();
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let (server, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(server.respond(request, &connection).await) }
        });
        let http = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REQUEST_HEAD_TIMEOUT)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(
                TokioIo::new(ClientSocket::new(stream, connection.clone())),
                service,
            );
        tokio::select! {
            // A client that closes its connection or does not send HTTP is not logged.
            _ = http => {}
            () = connection.closed() => {}
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ApiConnection,
    ) -> HttpResponse {
        connection.head_received();
        let response = self.serve_request(request, connection).await;
        connection.response_ready();
        response
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        connection: &ApiConnection,
    ) -> HttpResponse {
        let (head, body) = request.into_parts();
        // The memory of the body is reserved until the call has its response.
        let (call, _reservation) = match self.read_call(&head, body, connection).await {
            Ok(call) => call,
            Err(error) => return text_response(error.status(), error.to_string()),
        };
        match self.controller.call(call).await {
            CallResponse::Ok(json) => json_response(self.share(json)),
            CallResponse::Rejected(status, reason) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
                text_response(status, reason)
            }
            CallResponse::Redirect(ip) => redirect_response(&head, &ip, self.controller.api_port),
            CallResponse::Unavailable => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "step=agree")
            }
        }
    }

    async fn read_call(
        &self,
        head: &Parts,
        body: Incoming,
        connection: &ApiConnection,
    ) -> Result<(Call, Option<Reservation>), BadRequest> {
        let now = tokio::time::Instant::now();
        let policy = BodyPolicy {
            memory: &self.body_memory,
            tenant: connection.tenant.clone(),
            max_bytes: MAX_BODY_BYTES,
            deadlines: BodyDeadlines {
                memory_wait: now + MAX_MEMORY_WAIT,
                read: now + BODY_TIMEOUT,
            },
            is_contiguous: true,
        };
        let body =
            read_request_body(body, policy, &connection.transfer, || connection.now()).await?;
        let call = parse_call(head, body.blocks.into_iter().next().unwrap_or_default())?;
        Ok((call, body.reservation))
    }

    /// Returns the content of a response. Long ones with the same content share their memory, so
    /// that each client that reads slowly does not hold a copy of the configuration.
    fn share(&self, json: String) -> Bytes {
        if json.len() < MIN_SHARED_BYTES {
            return json.into();
        }
        let mut latest = self.latest_long_response.borrow_mut();
        if *latest != json.as_bytes() {
            *latest = json.into();
        }
        latest.clone()
    }
}

impl From<BodyError> for BadRequest {
    fn from(error: BodyError) -> BadRequest {
        match error {
            BodyError::Invalid | BodyError::TooLong => BadRequest::Body,
            BodyError::Timeout => BadRequest::BodyTimeout,
            BodyError::OutOfMemory => BadRequest::OutOfMemory,
        }
    }
}

/// Why a request is not a valid call. The texts are the bodies of the responses.
#[derive(Debug, thiserror::Error)]
enum BadRequest {
    #[error("step=read field=body")]
    Body,
    /// The body did not arrive in time. The response guarantees to the client that no part of the
    /// call was applied.
    #[error("step=read field=body late")]
    BodyTimeout,
    /// There is currently no memory for the body, none of which was applied.
    #[error("step=read field=room")]
    OutOfMemory,
    #[error("step=route")]
    Path,
    #[error("step=route field=method")]
    Method,
    #[error("step=route field=call")]
    Call,
}

impl BadRequest {
    fn status(&self) -> StatusCode {
        match self {
            BadRequest::Body | BadRequest::Call => StatusCode::BAD_REQUEST,
            BadRequest::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            BadRequest::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            BadRequest::Path => StatusCode::NOT_FOUND,
            BadRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
        }
    }
}

fn parse_call(head: &Parts, body: Bytes) -> Result<Call, BadRequest> {
    if head.uri.path() != RPC_PATH {
        return Err(BadRequest::Path);
    }
    if head.method != Method::POST {
        return Err(BadRequest::Method);
    }
    let query = head.uri.query().unwrap_or_default();
    let instance = query_value(query, "of").filter(|id| !id.is_empty());
    match (query_value(query, "call"), instance) {
        (Some("instances.beat"), Some(id)) => Ok(Call::Heartbeat(id.to_owned(), body)),
        (Some("instances.leave"), Some(id)) => Ok(Call::Deregister(id.to_owned())),
        (Some("config.amend"), _) => Ok(Call::Amend(body)),
        (Some("config.read"), _) => Ok(Call::ReadConfig),
        _ => Err(BadRequest::Call),
    }
}

/// Returns the first value of a query parameter.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn json_response(json: Bytes) -> HttpResponse {
    let mut response = text_response(StatusCode::OK, json);
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Redirects the request to the same target at another controller.
fn redirect_response(head: &Parts, ip: &str, port: u16) -> HttpResponse {
    let mut response = text_response(StatusCode::TEMPORARY_REDIRECT, "");
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    if let Ok(location) = HeaderValue::try_from(format!("http://{ip}:{port}{target}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
