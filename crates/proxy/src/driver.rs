//! The driver: passes inputs with the current time to [`Core`] and executes its outputs on
//! connections, timers and waiting clients.

use crate::core::{
    AdmittedRequest, AttemptEnd, Core, IncomingRequest, LocalResponse, Output, Rejection,
};
use crate::forward::{status_implies_not_run, BackendResponse, ForwardedRequest};
use crate::services::PoolCommand;
use bytes::Bytes;
use maplefall_control_messages::encode_frame;
use maplefall_downstream::{BodyMemory, HeadMemory};
use maplefall_node_settings::Settings;
use maplefall_policy::{BackendId, Millis, Outcome, RequestId, SendMode};
use maplefall_settings::ConnectionTimeouts;
use maplefall_upstream::{
    send_request, upstream_budget, AttemptHandle, Clock, Pools, RequestOptions,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// Timeout for establishing a connection to a backend.
const CONNECT_TIMEOUT: Millis = 400.0;
/// Idle time after which backends close a connection.
const BACKEND_IDLE_TIMEOUT: Millis = 8000.0;
/// Descriptors reserved for files.
pub const RESERVED_DESCRIPTORS: usize = 200;

/// Percentage of the process's memory limit that is for bodies. The rest is for connections, heads,
/// the configuration and the allocator.
const BODY_MEMORY_PERCENT: u64 = 78;

/// Percentage of the process's memory limit that is for heads beyond 8 KiB for each connection.
const HEAD_MEMORY_PERCENT: u64 = 10;

/// Returns a part of a process's memory limit, in bytes.
fn memory_part(memory_mb: u64, percent: u64) -> usize {
    let bytes = memory_mb.saturating_mul(1 << 20) / 100 * percent;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// The final response to a client.
pub enum ClientResponse {
    /// A response from a backend.
    Backend(BackendResponse),
    /// A response of the proxy itself.
    Local(LocalResponse),
}

/// An admitted request whose response is pending.
pub struct PendingResponse {
    /// The request's id, for [`Proxy::client_disconnected`].
    pub id: RequestId,
    /// Receives the response.
    pub response: oneshot::Receiver<ClientResponse>,
}

struct InFlightAttempt {
    number: u32,
    handle: AttemptHandle,
}

/// An admitted request until it has its response and no attempt is in flight. The core limits the
/// number of pending requests.
struct PendingRequest {
    request: Rc<ForwardedRequest>,
    /// Sends the response to the waiting client; `None` once the response has been sent or the
    /// client has disconnected.
    responder: Option<oneshot::Sender<ClientResponse>>,
    /// The response of the last attempt.
    backend_response: Option<BackendResponse>,
    in_flight: Option<InFlightAttempt>,
    /// The handle of the last attempt, which records the connections of earlier attempts.
    last_handle: AttemptHandle,
}

impl PendingRequest {
    fn take_in_flight(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.in_flight.take_if(|attempt| attempt.number == number)
    }
}

/// An attempt to start, as in [`Output::Send`].
struct Attempt {
    request: RequestId,
    number: u32,
    backend: BackendId,
    instance: Rc<str>,
    remaining: Millis,
    send_mode: SendMode,
}

/// A proxy: the core, the connections to backends and the pending requests.
pub struct Proxy {
    /// The clock that gives the time of all inputs.
    pub clock: Clock,
    core: RefCell<Core>,
    pools: Pools,
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    /// The memory for the bodies of requests and responses.
    pub body_memory: Rc<BodyMemory>,
    /// The memory for long heads of requests.
    pub head_memory: Rc<HeadMemory>,
    /// Notified when a timer was set that is due before `next_wakeup`.
    timer_set: Notify,
    next_wakeup: Cell<Millis>,
    /// Queues of encoded frames to the connected controllers, by IP address.
    pub controller_queues: RefCell<HashMap<String, mpsc::Sender<Bytes>>>,
    /// Notified when further controllers become known.
    pub controllers_changed: Notify,
    /// Notified when configuration, backends, leases or tokens have changed.
    pub state_changed: Notify,
}

impl Proxy {
    /// Creates a proxy without configuration and backends. `seed` is passed to [`Core::new`].
    pub fn new(settings: &Settings, seed: u64) -> Rc<Proxy> {
        let max_sockets = settings
            .limits
            .file_limit
            .saturating_sub(RESERVED_DESCRIPTORS);
        let memory_mb = settings.limits.memory_mb;
        let timeouts = ConnectionTimeouts {
            dial_timeout: CONNECT_TIMEOUT,
            idle_close: BACKEND_IDLE_TIMEOUT,
        };
        Rc::new(Proxy {
            clock: Clock::new(),
            core: RefCell::new(Core::new(settings, seed)),
            pools: Pools::new(timeouts, upstream_budget(max_sockets)),
            pending: RefCell::default(),
            body_memory: BodyMemory::new(memory_part(memory_mb, BODY_MEMORY_PERCENT)),
            head_memory: HeadMemory::new(memory_part(memory_mb, HEAD_MEMORY_PERCENT)),
            timer_set: Notify::new(),
            next_wakeup: Cell::new(f64::INFINITY),
            controller_queues: RefCell::default(),
            controllers_changed: Notify::new(),
            state_changed: Notify::new(),
        })
    }

    /// Calls a function of the core that has no outputs.
    pub fn with_core<T>(&self, call: impl FnOnce(&mut Core) -> T) -> T {
        call(&mut self.core.borrow_mut())
    }

    /// Passes an input to the core and executes its outputs.
    pub fn drive<T>(
        self: &Rc<Self>,
        input: impl FnOnce(&mut Core, Millis, &mut Vec<Output>) -> T,
    ) -> T {
        let mut outputs = Vec::new();
        let result = input(&mut self.core.borrow_mut(), self.clock.now(), &mut outputs);
        for output in outputs {
            self.execute_output(output);
        }
        let next_due = self.core.borrow_mut().next_due().unwrap_or(f64::INFINITY);
        if next_due < self.next_wakeup.get() {
            self.timer_set.notify_one();
        }
        result
    }

    fn execute_output(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send {
                request,
                attempt,
                backend,
                instance,
                remaining,
                send_mode,
            } => self.send(Attempt {
                request,
                number: attempt,
                backend,
                instance,
                remaining,
                send_mode,
            }),
            Output::ForwardResponse(id) => self.forward_response(id),
            Output::Respond(id, response) => self.respond(id, response),
            Output::CancelAttempt(id, attempt) => self.cancel_attempt(id, attempt),
            Output::AbandonAttempt {
                request,
                attempt,
                even_if_written,
            } => self.abandon_attempt(request, attempt, even_if_written),
            Output::Pool(PoolCommand::Open(id, address)) => self.pools.open(id, address, 0.0),
            Output::Pool(PoolCommand::Drain(id)) => self.pools.drain(id),
            Output::Pool(PoolCommand::Remove(id)) => self.pools.remove(id),
            Output::CloseIdle(id) => self.pools.close_idle(id),
            Output::SendToController(controller, frame) => {
                let queue = self.controller_queues.borrow().get(&controller).cloned();
                // The frame is dropped if the controller's queue is full; the connection to such a
                // controller ends by its keep-alive timeout.
                let _ = queue.map(|queue| queue.try_send(encode_frame(frame)));
            }
            Output::ControllersChanged(_) => self.controllers_changed.notify_one(),
            Output::StateChanged => self.state_changed.notify_waiters(),
            Output::Log(line) => log::info!("{line}"),
        }
    }

    fn forward_response(&self, id: RequestId) {
        let mut pending = self.pending.borrow_mut();
        let Some(request) = pending.get_mut(&id) else {
            return;
        };
        let responder = request.responder.take();
        let response = request.backend_response.take();
        if let (Some(responder), Some(response)) = (responder, response) {
            let _ = responder.send(ClientResponse::Backend(response));
        }
    }

    fn respond(&self, id: RequestId, local: LocalResponse) {
        let mut pending = self.pending.borrow_mut();
        let Some(request) = pending.get_mut(&id) else {
            return;
        };
        // Two kinds of backend responses are not forwarded: one which states that the request has
        // not run, since a later attempt may have run it, and one whose status alone implies this,
        // since the request may have run.
        let is_forwardable = |response: &BackendResponse| {
            response.outcome == Outcome::Error && !status_implies_not_run(response.status)
        };
        let backend_response = request
            .backend_response
            .take()
            .filter(|response| local.prefer_backend_response && is_forwardable(response));
        if let Some(responder) = request.responder.take() {
            let response =
                backend_response.map_or(ClientResponse::Local(local), ClientResponse::Backend);
            let _ = responder.send(response);
        }
        if request.in_flight.is_none() {
            pending.remove(&id);
        }
    }

    fn take_in_flight(&self, id: RequestId, number: u32) -> Option<InFlightAttempt> {
        let mut pending = self.pending.borrow_mut();
        pending.get_mut(&id)?.take_in_flight(number)
    }

    fn cancel_attempt(self: &Rc<Self>, id: RequestId, number: u32) {
        let attempt = self.take_in_flight(id, number);
        // If the driver has no record of the attempt in flight, the attempt's task has not run yet,
        // so nothing of the request has been written.
        let outcome = match &attempt {
            Some(attempt) if attempt.handle.may_have_run() => Outcome::Timeout,
            _ => Outcome::ConnectFailed,
        };
        if let Some(attempt) = attempt {
            attempt.handle.abort();
        }
        self.attempt_ended(id, number, AttemptEnd::without_response(outcome));
    }

    fn abandon_attempt(self: &Rc<Self>, id: RequestId, number: u32, even_if_written: bool) {
        let fully_written = self.pending.borrow().get(&id).is_some_and(|request| {
            let in_flight = request.in_flight.as_ref();
            in_flight.is_some_and(|attempt| attempt.handle.fully_written())
        });
        if fully_written && !even_if_written {
            return;
        }
        if let Some(attempt) = self.take_in_flight(id, number) {
            attempt.handle.abort();
        }
        let end = AttemptEnd::without_response(Outcome::Cancelled);
        self.attempt_ended(id, number, end);
    }

    /// Admits a request, or rejects it with its response. `build` creates the request to forward.
    pub fn admit(
        self: &Rc<Self>,
        incoming: &IncomingRequest<'_>,
        build: impl FnOnce(&AdmittedRequest) -> ForwardedRequest,
    ) -> Result<PendingResponse, Rejection> {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        let admitted = self.core.borrow_mut().admit(now, incoming, &mut outputs);
        let result = admitted.map(|admitted| {
            let (responder, response) = oneshot::channel();
            let request = PendingRequest {
                request: Rc::new(build(&admitted)),
                responder: Some(responder),
                backend_response: None,
                in_flight: None,
                last_handle: AttemptHandle::default(),
            };
            self.pending.borrow_mut().insert(admitted.id, request);
            PendingResponse {
                id: admitted.id,
                response,
            }
        });
        // The outputs of the admission are executed only now, since one may refer to the request
        // that was just added to the pending ones.
        self.drive(|_, _, out| out.append(&mut outputs));
        result
    }

    /// Handles a client that disconnected before its response.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.drive(|core, now, out| core.client_disconnected(now, id, out));
        let mut pending = self.pending.borrow_mut();
        if let Some(request) = pending.get_mut(&id) {
            request.responder = None;
            if request.in_flight.is_none() {
                pending.remove(&id);
            }
        }
    }

    /// Starts the task of an attempt.
    fn send(self: &Rc<Self>, attempt: Attempt) {
        let (request, handle) = {
            let mut pending = self.pending.borrow_mut();
            let Some(entry) = pending.get_mut(&attempt.request) else {
                return;
            };
            entry.last_handle = entry.last_handle.for_retry();
            entry.in_flight = Some(InFlightAttempt {
                number: attempt.number,
                handle: entry.last_handle.clone(),
            });
            entry.backend_response = None;
            (entry.request.clone(), entry.last_handle.clone())
        };
        let task =
            tokio::task::spawn_local(self.clone().run_attempt(attempt, request, handle.clone()));
        handle.attach_task(task.abort_handle());
    }

    async fn run_attempt(
        self: Rc<Self>,
        attempt: Attempt,
        request: Rc<ForwardedRequest>,
        handle: AttemptHandle,
    ) {
        let options = RequestOptions {
            backend: attempt.backend,
            send_mode: attempt.send_mode,
            timeout: attempt.remaining,
            body_bytes: request.body.len(),
        };
        let result = send_request(
            &self.pools,
            options,
            &handle,
            |remaining| request.to_backend(&attempt.instance, remaining),
            async |response| request.read_response(response, &self.body_memory).await,
            // Every response that was read repeats the request's own id.
            |_| true,
        )
        .await;
        let (outcome, response) = match result.result {
            Ok(response) => (response.outcome, Some(response)),
            Err(outcome) => (outcome, None),
        };
        let end = AttemptEnd {
            outcome,
            connections: result.connections,
            wrong_instance: response
                .as_ref()
                .is_some_and(|response| response.wrong_instance),
        };
        {
            let mut pending = self.pending.borrow_mut();
            let Some(entry) = pending.get_mut(&attempt.request) else {
                return;
            };
            if entry.take_in_flight(attempt.number).is_none() {
                return;
            }
            entry.backend_response = response;
        }
        self.attempt_ended(attempt.request, attempt.number, end);
    }

    fn attempt_ended(self: &Rc<Self>, id: RequestId, number: u32, end: AttemptEnd) {
        self.drive(|core, now, out| core.attempt_ended(now, id, number, end, out));
        let mut pending = self.pending.borrow_mut();
        if pending
            .get(&id)
            .is_some_and(|request| request.responder.is_none() && request.in_flight.is_none())
        {
            pending.remove(&id);
        }
    }

    /// Runs timers when they are due, for as long as the process runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next_due = self.core.borrow_mut().next_due();
            self.next_wakeup.set(next_due.unwrap_or(f64::INFINITY));
            match next_due {
                Some(at) if at <= self.clock.now() => {
                    self.drive(|core, now, out| core.run_timers(now, out));
                }
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.timer_set.notified() => {}
                },
                None => self.timer_set.notified().await,
            }
        }
    }

    /// Closes idle connections before backends do, for as long as the process runs.
    pub async fn close_idle_periodically(self: Rc<Self>) {
        self.pools.close_idle_periodically().await;
    }
}
