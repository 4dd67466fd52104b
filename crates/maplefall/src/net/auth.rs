//! Forward authentication: sends sub-requests to the service on pooled connections and interprets
//! its responses.
//!
//! `maplefall-forward-auth` decides which server is queried, for how long, and what is cached.
//! Invariant: a caller's decision is made before the request's deadline, and a dropped wait leaves
//! no state behind (`WaitGuard`).

use super::auth_settings::{AuthSettings, KeyPart};
#[cfg(feature = "breakages")]
use super::breakages::{self, Breakage};
use super::driver::Driver;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use maplefall_forward_auth::headers::{cache_ttl, RequestContext};
use maplefall_forward_auth::{
    CheckId, Decision, Failure, Gate, Key, KeyHasher, Output, RejectReason, Verdict,
};
use maplefall_policy::{BackendId, ClassId, Millis, RequestId};
use maplefall_protocol::FinalResponse;
use maplefall_settings::ConnectionTimeouts;
use maplefall_upstream::Clock;
use maplefall_upstream::{BlockBody, ConnectError, Pools};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// Time limit for connecting to the service, in milliseconds.
const DIAL_TIMEOUT: Millis = 250.0;
/// Number of the process's descriptors per check in flight: limits the checks if descriptors are
/// scarce.
const SOCKETS_PER_CHECK: usize = 16;

/// The service's response: headers for the forwarded request, or a response to the client in its
/// place.
#[derive(Debug)]
pub enum AuthResponse {
    /// Headers to add to the request for the backend.
    Onward(Vec<(HeaderName, HeaderValue)>),
    /// The service's own response, to be sent to the client.
    Denial {
        /// Status of the response.
        status: StatusCode,
        /// Headers of the response, without those of the service's connection.
        headers: Vec<(HeaderName, HeaderValue)>,
        /// Body of the response.
        body: Bytes,
    },
}

/// The result for a request whose caller had to be checked.
pub enum CheckOutcome {
    /// The caller is authorized.
    Passed,
    /// The decision module ended the request first, with this response.
    Answered(FinalResponse),
    /// The caller is denied; the service's response goes to the client.
    Denied(Rc<AuthResponse>),
    /// The caller could not be checked; no attempt was made.
    Unavailable,
}

/// The caller of a request, for its check.
pub struct Caller {
    key: Key,
    headers: Rc<HeaderMap>,
    class: ClassId,
}

/// A check with the requests that wait for it.
struct PendingCheck {
    headers: Rc<HeaderMap>,
    waiters: usize,
}

struct Waiter {
    key: Key,
    decision_sender: oneshot::Sender<Decision<AuthResponse>>,
}

/// Checks the callers of requests.
pub struct Auth {
    settings: AuthSettings,
    clock: Clock,
    key_hasher: KeyHasher,
    gate: RefCell<Gate<AuthResponse>>,
    waiters: RefCell<HashMap<u64, Waiter>>,
    last_waiter_id: Cell<u64>,
    /// Pending checks by the key of the caller; at most as many as there are waiting requests.
    pending_checks: RefCell<HashMap<Key, PendingCheck>>,
    /// Tasks of checks in flight.
    in_flight: RefCell<HashMap<CheckId, AbortHandle>>,
    pools: Pools,
    timer_changed: Notify,
}

/// Returns the number of descriptors for checks, taken from those for backends, in a process of
/// this many descriptors.
pub fn reserved_sockets(settings: Option<&AuthSettings>, descriptors: usize) -> usize {
    settings.map_or(0, |settings| {
        settings
            .gate
            .max_in_flight
            .min((descriptors / SOCKETS_PER_CHECK).max(1))
    })
}

fn server_id(server: usize) -> BackendId {
    BackendId(server as u32)
}

impl Auth {
    /// Creates the checks with these settings, on at most `sockets` connections.
    pub fn new(mut settings: AuthSettings, clock: Clock, seed: u64, sockets: usize) -> Rc<Auth> {
        settings.gate.max_in_flight = settings.gate.max_in_flight.min(sockets);
        settings.gate.seed = seed;
        let timeouts = ConnectionTimeouts {
            dial_timeout: DIAL_TIMEOUT,
            idle_close: settings.idle_close,
        };
        let pools = Pools::new(timeouts, sockets);
        for (at, server) in settings.servers.iter().enumerate() {
            pools.open(server_id(at), server.dial, 0.0);
        }
        // The secret for callers' keys is known to this process only: keys of one incarnation mean
        // nothing in another.
        let secret = [seed.to_be_bytes(), process_secret()]
            .concat()
            .try_into()
            .unwrap_or([0; 16]);
        Rc::new(Auth {
            gate: RefCell::new(Gate::new(settings.gate.clone())),
            settings,
            clock,
            key_hasher: KeyHasher::new(secret),
            waiters: RefCell::default(),
            last_waiter_id: Cell::new(0),
            pending_checks: RefCell::default(),
            in_flight: RefCell::default(),
            pools,
            timer_changed: Notify::new(),
        })
    }

    /// Returns whether callers of a class are checked.
    pub fn checks_class(&self, class: ClassId) -> bool {
        self.settings.checked.get(class.0).copied().unwrap_or(false)
    }

    /// Drops all cached verdicts.
    pub fn clear_cache(&self) {
        self.gate.borrow_mut().clear_cache();
    }

    /// Returns the caller of a request that was received from `peer`.
    pub fn caller(&self, head: &Parts, class: ClassId, plan: usize, peer: IpAddr) -> Caller {
        let mut headers = head.headers.clone();
        self.settings.headers.strip(&mut headers);
        let host = headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let credentials: Vec<Option<Vec<u8>>> =
            self.settings.headers.credentials(&headers).collect();
        #[cfg(feature = "breakages")]
        let credentials = if breakages::is(Breakage::KeyWithoutCredential) {
            Vec::new()
        } else {
            credentials
        };
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let key_part = |part: &KeyPart| match part {
            KeyPart::Class => class.0.to_be_bytes().to_vec(),
            KeyPart::Plan => plan.to_be_bytes().to_vec(),
            KeyPart::Method => head.method.as_str().as_bytes().to_vec(),
            KeyPart::Host => host.as_bytes().to_vec(),
            KeyPart::Uri => target.as_bytes().to_vec(),
        };
        let key_parts: Vec<Vec<u8>> = self.settings.key.iter().map(key_part).collect();
        let parts = credentials
            .iter()
            .map(Option::as_deref)
            .chain(key_parts.iter().map(|part| Some(part.as_slice())));
        let key = self.key_hasher.key(parts);
        let context = RequestContext {
            method: &head.method,
            uri: &head.uri,
            host: &host,
            proto: self.settings.proto,
            peer,
        };
        Caller {
            key,
            headers: Rc::new(self.settings.headers.sub_request(&headers, &context)),
            class,
        }
    }

    /// Checks a caller. The decision is made by the end of the check's budget, which is before the
    /// request's deadline.
    pub async fn check(
        self: &Rc<Self>,
        caller: Caller,
        deadline: Millis,
    ) -> Decision<AuthResponse> {
        let id = self.last_waiter_id.get() + 1;
        self.last_waiter_id.set(id);
        let (decision_sender, decision) = oneshot::channel();
        self.waiters.borrow_mut().insert(
            id,
            Waiter {
                key: caller.key,
                decision_sender,
            },
        );
        self.pending_checks
            .borrow_mut()
            .entry(caller.key)
            .or_insert_with(|| PendingCheck {
                headers: caller.headers.clone(),
                waiters: 0,
            })
            .waiters += 1;
        // Removes the waiter however this wait ends.
        let _wait_guard = WaitGuard { auth: self, id };
        self.gate
            .borrow_mut()
            .submit(self.clock.now(), id, caller.key, caller.class.0, deadline);
        self.execute_outputs();
        decision
            .await
            .unwrap_or(Decision::Reject(RejectReason::CheckFailed))
    }

    /// Checks the caller of a pending request, and reports the result to the driver.
    pub async fn authorize(
        self: &Rc<Self>,
        driver: &Rc<Driver>,
        caller: Caller,
        id: RequestId,
        deadline: Millis,
        answer: &mut oneshot::Receiver<FinalResponse>,
    ) -> CheckOutcome {
        let decision = tokio::select! {
            // The decision module may end the request first: at its deadline, or when no backends
            // are left.
            answer = &mut *answer => return CheckOutcome::Answered(answer.unwrap_or(FinalResponse::Failed)),
            decision = self.check(caller, deadline) => decision,
        };
        #[cfg(feature = "breakages")]
        let decision = match decision {
            Decision::Reject(reason) if breakages::is(Breakage::FailOpen) => {
                Decision::PassUnchecked(reason)
            }
            decision => decision,
        };
        let outcome = match decision {
            Decision::Pass(response) => {
                let onward = match &*response {
                    AuthResponse::Onward(headers) => headers.as_slice(),
                    AuthResponse::Denial { .. } => &[],
                };
                driver.caller_authorized(id, onward);
                #[cfg(feature = "breakages")]
                if breakages::is(Breakage::SentAgainAfterCheck) {
                    driver.resend_in_flight(id);
                }
                return CheckOutcome::Passed;
            }
            Decision::PassUnchecked(_) => {
                driver.caller_authorized(id, &[]);
                return CheckOutcome::Passed;
            }
            Decision::Deny(response) => CheckOutcome::Denied(response),
            Decision::Reject(_) => CheckOutcome::Unavailable,
        };
        match driver.caller_denied(id) {
            true => outcome,
            false => CheckOutcome::Answered(answer.await.unwrap_or(FinalResponse::Failed)),
        }
    }

    /// Removes from a client's headers those that only the service may set.
    pub fn strip(&self, headers: &mut HeaderMap) {
        self.settings.headers.strip(headers);
    }

    /// Handles deadlines of checks, and closes idle connections, for as long as the process runs.
    pub async fn run_timers(self: Rc<Self>) {
        let pools_owner = self.clone();
        tokio::task::spawn_local(async move { pools_owner.pools.close_idle_periodically().await });
        loop {
            let deadline = self.gate.borrow().next_deadline();
            let sleep = async {
                match deadline {
                    Some(due) => tokio::time::sleep_until(self.clock.instant(due)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {
                    self.gate.borrow_mut().tick(self.clock.now());
                    self.execute_outputs();
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn execute_outputs(self: &Rc<Self>) {
        loop {
            let Some(output) = self.gate.borrow_mut().output() else {
                break;
            };
            match output {
                Output::Decided { request, decision } => {
                    if let Some(waiter) = self.remove_waiter(request) {
                        // Sending fails if the client has disconnected.
                        let _ = waiter.decision_sender.send(decision);
                    }
                }
                Output::Cancel { check } => {
                    if let Some(task) = self.in_flight.borrow_mut().remove(&check) {
                        task.abort();
                    }
                }
                Output::Check {
                    check,
                    attempt,
                    key,
                    server,
                    ..
                } => {
                    let Some(headers) = self
                        .pending_checks
                        .borrow()
                        .get(&key)
                        .map(|check| check.headers.clone())
                    else {
                        continue;
                    };
                    let auth = self.clone();
                    let task = tokio::task::spawn_local(async move {
                        let result = auth.send_check(server, &headers).await;
                        auth.in_flight.borrow_mut().remove(&check);
                        let now = auth.clock.now();
                        match result {
                            Ok(verdict) => auth
                                .gate
                                .borrow_mut()
                                .verdict_received(now, check, attempt, verdict),
                            Err(failure) => auth
                                .gate
                                .borrow_mut()
                                .check_failed(now, check, attempt, failure),
                        }
                        auth.execute_outputs();
                    });
                    self.in_flight
                        .borrow_mut()
                        .insert(check, task.abort_handle());
                }
            }
        }
        self.timer_changed.notify_one();
    }

    /// Removes a request's waiter, and the check if this was its last waiter.
    fn remove_waiter(&self, id: u64) -> Option<Waiter> {
        let waiter = self.waiters.borrow_mut().remove(&id)?;
        let mut pending_checks = self.pending_checks.borrow_mut();
        if let Some(check) = pending_checks.get_mut(&waiter.key) {
            check.waiters -= 1;
            if check.waiters == 0 {
                pending_checks.remove(&waiter.key);
            }
        }
        Some(waiter)
    }

    /// Sends a check to a server, once.
    async fn send_check(
        &self,
        server: usize,
        headers: &HeaderMap,
    ) -> Result<Verdict<AuthResponse>, Failure> {
        let endpoint = self.settings.servers.get(server).ok_or(Failure::Server)?;
        let id = server_id(server);
        let pooled = self.pools.take_quiescent(id);
        let reused = pooled.is_some();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => self
                .pools
                .connect(endpoint.dial)
                .await
                .map_err(|error| match error {
                    // The local limit on connections is not the server's fault; there may be
                    // capacity a moment later.
                    ConnectError::LocalLimit => Failure::ReusedConnection,
                    ConnectError::Unreachable => Failure::Server,
                })?,
        };
        let mut request = Request::new(BlockBody::default());
        *request.method_mut() = Method::GET;
        *request.uri_mut() = endpoint.target.clone();
        *request.headers_mut() = headers.clone();
        if let Ok(host) = HeaderValue::try_from(endpoint.dial.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        connection.socket.begin_request(0, false);
        let connection_failure = if reused {
            Failure::ReusedConnection
        } else {
            Failure::Server
        };
        connection
            .sender
            .ready()
            .await
            .map_err(|_| connection_failure)?;
        let response = connection
            .sender
            .send_request(request)
            .await
            .map_err(|_| connection_failure)?;
        let verdict = self.read_verdict(response).await.ok_or(Failure::Server)?;
        self.pools.put_back(id, endpoint.dial, connection);
        Ok(verdict)
    }

    /// Returns the verdict of a response; `None` if the service itself failed, or the response is
    /// truncated or too long.
    async fn read_verdict(
        &self,
        response: Response<IncomingBody>,
    ) -> Option<Verdict<AuthResponse>> {
        let (head, body) = response.into_parts();
        if head.status.is_server_error() || head.status.is_informational() {
            return None;
        }
        let max_bytes = self.settings.headers.max_bytes;
        let body = Limited::new(body, max_bytes)
            .collect()
            .await
            .ok()?
            .to_bytes();
        let allowed = head.status.is_success();
        let response = if allowed {
            AuthResponse::Onward(
                self.settings
                    .headers
                    .headers_for_backend(&head.headers)
                    .ok()?,
            )
        } else {
            let headers = self
                .settings
                .headers
                .headers_for_client(&head.headers)
                .ok()?;
            AuthResponse::Denial {
                status: head.status,
                headers,
                body,
            }
        };
        let bytes = cached_size(&response);
        Some(Verdict {
            passes: allowed,
            response: Rc::new(response),
            bytes,
            ttl: cache_ttl(&head.headers),
        })
    }
}

/// Returns the bytes that a verdict takes in the cache.
fn cached_size(response: &AuthResponse) -> usize {
    let (headers, body) = match response {
        AuthResponse::Onward(headers) => (headers, 0),
        AuthResponse::Denial { headers, body, .. } => (headers, body.len()),
    };
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 64)
        .sum::<usize>()
        + body
}

/// Returns bits that only this process knows: the standard library's hash key, from the system's
/// random source.
fn process_secret() -> [u8; 8] {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
        .to_be_bytes()
}

/// Ends a wait when the request is decided or its client disconnects.
struct WaitGuard<'a> {
    auth: &'a Rc<Auth>,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.auth.remove_waiter(self.id).is_some() {
            self.auth
                .gate
                .borrow_mut()
                .cancel(self.auth.clock.now(), self.id);
            self.auth.execute_outputs();
        }
    }
}
