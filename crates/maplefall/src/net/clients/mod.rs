//! Clients over HTTP/1.1: the listener, the shutdown, and the single final response of each
//! request.

mod connection;
mod socket;

use super::auth::{Auth, AuthResponse, CheckOutcome};
#[cfg(feature = "breakages")]
use super::breakages;
use super::config::Limits;
use super::driver::Driver;
use super::request::{read_body, read_head, RequestError};
use connection::{ClientConnection, CloseMode, ClosePriority, REQUEST_READ_TIMEOUT};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use maplefall_downstream::{
    evict_slow_transfers, evict_slowest, retry_after_value, BodyDeadlines, BodyMemory,
    CloseNotification, ConnectionGuard, ConnectionTable, ShutdownPhase,
};
use maplefall_memory_account::{Direction, PoolId};
use maplefall_policy::{Millis, RequestId};
use maplefall_protocol::FinalResponse;
use maplefall_upstream::{downstream_budget, MAX_BUFFER_BYTES};
use socket::ObservedSocket;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Path of the readiness check, which the load balancer in front of the gateways calls.
const HEALTH_PATH: &str = "/_health";
/// Time from SIGTERM until idle connections are closed: new connections arrive for up to 0.4 s
/// after SIGTERM.
const DRAIN_DELAY: Duration = Duration::from_millis(550);
/// Maximum time from SIGTERM to the exit, beyond the longest deadline: SIGKILL is sent 0.7 s beyond
/// that deadline.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(550);
/// Time to accept connections that were opened just before the end of the shutdown.
const ACCEPT_GRACE: Duration = Duration::from_millis(5);
/// Delay after a failed accept, for example when the process has no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How often connections are checked for time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The bodies of requests may take this fraction (1/n) of the memory.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Maximum time from the first byte of a request for which its body waits for memory.
const MAX_MEMORY_WAIT: Millis = 1000.0;
/// What [`Transfer`](maplefall_downstream::Transfer) calls the memory of long responses.
const LONG_RESPONSES: PoolId = PoolId {
    direction: Direction::Response,
    is_large: true,
};
/// `Retry-After` of a rejection because the authentication service gave no verdict: by default the
/// first backoff of the service's circuit breaker has ended by then.
const CHECK_UNAVAILABLE_RETRY_AFTER: Millis = 1000.0;

/// The clients' side of a gateway.
pub struct Clients {
    driver: Rc<Driver>,
    /// Checks callers; `None` without forward authentication.
    auth: Option<Rc<Auth>>,
    connections: Rc<ConnectionTable<ClientConnection>>,
    phase: watch::Sender<ShutdownPhase>,
    /// The memory for the bodies of requests.
    body_memory: Rc<BodyMemory>,
}

impl Clients {
    /// Creates the clients' side of `driver`, in a process with these limits.
    pub fn new(driver: Rc<Driver>, auth: Option<Rc<Auth>>, limits: Limits) -> Rc<Clients> {
        Rc::new(Clients {
            driver,
            auth,
            connections: ConnectionTable::new(
                downstream_budget(limits.sockets),
                CloseNotification::Waiting,
            ),
            phase: watch::Sender::new(ShutdownPhase::Serving),
            body_memory: BodyMemory::for_short_requests(
                (limits.memory_mb << 20) / REQUEST_MEMORY_DIVISOR,
            ),
        })
    }

    /// Accepts connections for as long as the process runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    self.wait_for_capacity().await;
                    let connection = ClientConnection::new(self.driver.clock.now(), address.ip());
                    let guard = self.connections.insert(connection);
                    tokio::task::spawn_local(self.clone().serve(stream, guard));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Waits until the number of connections is below the limit. A connection that the kernel has
    /// accepted counts as ours and must not wait long, so the connection with the highest priority
    /// for closing is closed.
    async fn wait_for_capacity(&self) {
        self.connections
            .wait_for_capacity(
                |connections| {
                    let now = self.driver.clock.now();
                    connections
                        .filter_map(|connection| {
                            Some((connection.close_priority(now)?, connection.clone()))
                        })
                        .max_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
                },
                |((kind, _), connection)| match kind {
                    ClosePriority::Idle => connection.close(CloseMode::Graceful),
                    _ => connection.close(CloseMode::Immediate),
                },
            )
            .await;
    }

    /// Closes connections whose time limit is over, or whose clients hardly move what others need
    /// the memory of, for as long as the process runs.
    pub async fn sweep(self: Rc<Self>) {
        let clock = self.driver.clock;
        tokio::task::spawn_local(evict_slow_transfers(
            self.connections.clone(),
            self.body_memory.clone(),
            move || clock.now(),
        ));
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = self.driver.clock.now();
            self.connections.for_each(|connection| {
                if let Some(mode) = connection.overdue_close(now) {
                    connection.close(mode);
                }
            });
            if self.driver.take_response_memory_exhausted() {
                evict_slowest(&self.connections, LONG_RESPONSES, now);
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, guard: ConnectionGuard<ClientConnection>) {
        let connection = guard.state();
        // Without TCP_NODELAY responses are late, not wrong.
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(ObservedSocket::new(
            stream,
            connection.clone(),
            self.driver.clock,
        ));
        let service = service_fn(|request| {
            let (clients, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(clients.respond(request, &connection).await) }
        });
        let http = hyper::server::conn::http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(io, service);
        let mut http = std::pin::pin!(http);
        let mut phase = self.phase.subscribe();
        let mut closing = false;
        loop {
            tokio::select! {
                // An error means that the client disconnected or sent invalid HTTP; the library has
                // responded to the latter.
                _ = http.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == ShutdownPhase::ClosingIdle), if !closing => {}
                () = connection.transfer.send_evicted() => return,
                mode = connection.close_requested() => if mode == Some(CloseMode::Immediate) { return },
            }
            closing = true;
            http.as_mut().graceful_shutdown();
        }
    }

    /// Shuts down gracefully: still accepts connections, responds to all requests that arrive, and
    /// returns when every connection is closed or the time limit is over.
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
        self.phase.send_replace(ShutdownPhase::ClosingAfterResponse);
        #[cfg(feature = "breakages")]
        if breakages::is(breakages::Breakage::ExitsOnTerm) {
            return;
        }
        tokio::time::sleep(DRAIN_DELAY).await;
        self.phase.send_replace(ShutdownPhase::ClosingIdle);
        while !self.connections.is_empty() {
            let closed = tokio::time::timeout_at(end, self.connections.closed()).await;
            if closed.is_err() {
                eprintln!(
                    "stopped with {} requests without a response",
                    self.driver.requests_without_response()
                );
                return;
            }
            // A further connection may wait to be accepted.
            tokio::time::sleep(ACCEPT_GRACE).await;
        }
    }

    async fn respond(
        &self,
        request: Request<IncomingBody>,
        connection: &ClientConnection,
    ) -> Response<Full<Bytes>> {
        let mut close = self.connections.is_saturated();
        let mut response = if request.uri().path() == HEALTH_PATH {
            connection.request_complete();
            self.health()
        } else {
            self.handle_request(request, connection)
                .await
                .unwrap_or_else(|error| {
                    // After a rejected request, later bytes on its connection cannot be trusted to
                    // be a request.
                    close = true;
                    let mut response = Response::new(Full::new(Bytes::from(format!("{error}\n"))));
                    *response.status_mut() = error.status();
                    response
                })
        };
        if close || *self.phase.borrow() != ShutdownPhase::Serving {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let body_bytes = response.body().size_hint().exact().unwrap_or(0) as usize;
        connection.response_ready(body_bytes, self.driver.clock.now());
        response
    }

    fn health(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.driver.ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    async fn handle_request(
        &self,
        request: Request<IncomingBody>,
        connection: &ClientConnection,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let first = connection.first_byte_at();
        let (head, body) = request.into_parts();
        let mut incoming = read_head(&self.driver.settings, &self.driver.names, &head, first)?;
        let clock = self.driver.clock;
        let read_started_at = connection.read_started_at();
        let deadlines = BodyDeadlines {
            memory_wait: clock.instant(read_started_at + MAX_MEMORY_WAIT),
            read: clock.instant(read_started_at + REQUEST_READ_TIMEOUT),
        };
        let body = read_body(
            body,
            &head.method,
            &self.body_memory,
            deadlines,
            &connection.transfer,
            || clock.now(),
        )
        .await?;
        // The memory is reserved until the request has its response.
        let _reservation = body.reservation;
        incoming.forwarded.body = body.blocks.into_iter().next().unwrap_or_default();
        incoming.at = connection.last_byte_at();
        connection.request_complete();
        let (class, plan, deadline) = (incoming.class, incoming.plan.0, incoming.deadline);
        let auth = self.auth.as_ref().filter(|auth| auth.checks_class(class));
        incoming.authorized = auth.is_none();
        #[cfg(feature = "breakages")]
        let incoming_deadline = incoming.deadline;
        let (id, mut answer) = self
            .driver
            .start_request(incoming)
            .ok_or(RequestError::DuplicateId)?;
        let mut disconnect_guard = DisconnectGuard {
            driver: &self.driver,
            id: Some(id),
        };
        let checked = match auth.filter(|_| self.driver.awaits_authorization(id)) {
            None => CheckOutcome::Passed,
            Some(auth) => {
                let caller = auth.caller(&head, class, plan, connection.address);
                auth.authorize(&self.driver, caller, id, deadline, &mut answer)
                    .await
            }
        };
        let answer = match checked {
            CheckOutcome::Passed => answer.await.unwrap_or(FinalResponse::Failed),
            CheckOutcome::Answered(answer) => answer,
            CheckOutcome::Denied(auth_response) => {
                disconnect_guard.id = None;
                return Ok(denial_response(&auth_response));
            }
            CheckOutcome::Unavailable => {
                disconnect_guard.id = None;
                return Ok(self.check_unavailable_response());
            }
        };
        disconnect_guard.id = None;
        #[cfg(feature = "breakages")]
        if matches!(answer, FinalResponse::Rejected(_))
            && breakages::is(breakages::Breakage::LateRejection)
        {
            let late = incoming_deadline + breakages::LATE_RESPONSE_MS;
            tokio::time::sleep_until(self.driver.clock.instant(late)).await;
        }
        Ok(http_response(answer))
    }
}

impl Clients {
    /// The response to a request whose caller could not be checked: no attempt was made.
    fn check_unavailable_response(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let settings = &self.driver.settings;
        if settings.retry_after {
            let wait = CHECK_UNAVAILABLE_RETRY_AFTER.min(settings.max_retry_after);
            if let Some(wait) = retry_after_value(wait) {
                response.headers_mut().insert(RETRY_AFTER, wait);
            }
        }
        response
    }
}

/// The authentication service's complete response.
fn denial_response(auth_response: &AuthResponse) -> Response<Full<Bytes>> {
    let AuthResponse::Denial {
        status,
        headers,
        body,
    } = auth_response
    else {
        // Unreachable: `maplefall-forward-auth` returns the verdict that it was given, so a denied
        // caller's response is always an `AuthResponse::Denial`.
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::FORBIDDEN;
        return response;
    };
    let mut response = Response::new(Full::new(body.clone()));
    *response.status_mut() = *status;
    for (name, value) in headers {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

/// Notifies the driver when a client disconnects before its response.
struct DisconnectGuard<'a> {
    driver: &'a Rc<Driver>,
    id: Option<RequestId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.driver.client_disconnected(id);
        }
    }
}

fn http_response(answer: FinalResponse) -> Response<Full<Bytes>> {
    let (status, body, wait) = match answer {
        FinalResponse::Served(body) => (StatusCode::OK, body, None),
        FinalResponse::Rejected(wait) => (StatusCode::TOO_MANY_REQUESTS, Bytes::new(), wait),
        FinalResponse::Failed => (StatusCode::BAD_GATEWAY, Bytes::new(), None),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if let Some(wait) = wait.and_then(retry_after_value) {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}
