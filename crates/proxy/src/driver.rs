//! The driver: hands what happens to [`Core`] and carries out what comes back.

use crate::core::{
    AdmittedRequest, AttemptEnd, Core, IncomingRequest, LocalResponse, Output, Rejection,
};
use crate::forward::{promises, BackendResponse, ForwardedRequest};
use crate::services::PoolCommand;
use bytes::Bytes;
use hyper::header::HeaderValue;
use maplefall_control_messages::encode_frame;
use maplefall_node_settings::Settings;
use maplefall_policy::{BackendId, Care, Millis, Outcome, RequestId};
use maplefall_settings::Links;
use maplefall_upstream::{send_request, upstream_budget, AttemptHandle, Clock, Pools};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// A connection to a backend that is not made within this has failed.
const DIAL: Millis = 400.0;
/// Backends close connections that have been idle for so long, where they do not say.
const IDLE: Millis = 8000.0;
/// Descriptors that are kept for files.
const FILES: usize = 200;

/// What a client gets.
pub enum Answer {
    /// A backend's answer.
    Reply(BackendResponse),
    /// The door's own.
    Own(LocalResponse),
}

struct Pending {
    order: Option<Rc<ForwardedRequest>>,
    answer: Option<oneshot::Sender<Answer>>,
    /// The last answer of a backend.
    reply: Option<BackendResponse>,
    out: Option<(u32, AttemptHandle)>,
    /// The hold on its last attempt, which knows where those before went.
    line: AttemptHandle,
}

/// A door: decisions, connections to backends, requests that wait.
pub struct Proxy {
    /// The one clock.
    pub clock: Clock,
    core: RefCell<Core>,
    pools: Pools,
    pending: RefCell<HashMap<RequestId, Pending>>,
    earlier: Notify,
    wakes: Cell<Millis>,
    /// What goes to exchanges, by address.
    pub exchanges: RefCell<HashMap<String, mpsc::Sender<Bytes>>>,
    /// Told when there are more exchanges than before.
    pub more_exchanges: Notify,
    /// Told when something has come that requests may have waited for.
    pub changed: Notify,
}

impl Proxy {
    /// A door that knows nothing yet.
    pub fn new(settings: &Settings, seed: u64) -> Rc<Proxy> {
        let sockets = settings.limits.file_limit.saturating_sub(FILES);
        Rc::new(Proxy {
            clock: Clock::new(),
            core: RefCell::new(Core::new(settings, seed)),
            pools: Pools::new(
                Links {
                    dial_timeout: DIAL,
                    idle_close: IDLE,
                },
                upstream_budget(sockets),
            ),
            pending: RefCell::default(),
            earlier: Notify::new(),
            wakes: Cell::new(f64::INFINITY),
            exchanges: RefCell::default(),
            more_exchanges: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Asks the core something.
    pub fn ask<T>(&self, question: impl FnOnce(&mut Core) -> T) -> T {
        question(&mut self.core.borrow_mut())
    }

    /// Hands something that happened to the core, and carries out what comes back.
    pub fn drive<T>(
        self: &Rc<Self>,
        step: impl FnOnce(&mut Core, Millis, &mut Vec<Output>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = step(&mut self.core.borrow_mut(), self.clock.now(), &mut out);
        for output in out {
            self.carry_out(output);
        }
        let next = self.core.borrow_mut().next_due().unwrap_or(f64::INFINITY);
        if next < self.wakes.get() {
            self.earlier.notify_one();
        }
        result
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send {
                request,
                attempt,
                backend,
                instance,
                limit,
                care,
            } => {
                self.send(request, attempt, backend, instance, (limit, care));
            }
            Output::ForwardResponse(id) => {
                let mut pending = self.pending.borrow_mut();
                let Some(entry) = pending.get_mut(&id) else {
                    return;
                };
                if let (Some(answer), Some(reply)) = (entry.answer.take(), entry.reply.take()) {
                    let _ = answer.send(Answer::Reply(reply));
                }
            }
            Output::Respond(id, last) => {
                let mut pending = self.pending.borrow_mut();
                let Some(entry) = pending.get_mut(&id) else {
                    return;
                };
                // One that says that it has not run promises what a later attempt may have broken; one whose status promises that
                // without the word for it may have run.
                let passes = |reply: &BackendResponse| {
                    reply.outcome == Outcome::Error && !promises(reply.status)
                };
                let reply = entry
                    .reply
                    .take()
                    .filter(|reply| last.prefer_backend_response && passes(reply));
                if let Some(answer) = entry.answer.take() {
                    let _ = answer.send(reply.map_or(Answer::Own(last), Answer::Reply));
                }
                if entry.out.is_none() {
                    pending.remove(&id);
                }
            }
            Output::CancelAttempt(id, number) => {
                let line = {
                    let mut pending = self.pending.borrow_mut();
                    let out = pending
                        .get_mut(&id)
                        .and_then(|entry| entry.out.take_if(|(n, _)| *n == number));
                    out.map(|(_, line)| line)
                };
                // One that is not out has not been carried that far: its task has yet to run.
                let outcome = match &line {
                    Some(line) if line.fully_written() => Outcome::Timeout,
                    _ => Outcome::ConnectFailed,
                };
                if let Some(line) = line {
                    line.abort();
                }
                self.ended(
                    id,
                    number,
                    AttemptEnd {
                        outcome,
                        broken_connections: 0,
                        wrong_instance: false,
                    },
                );
            }
            Output::Pool(PoolCommand::Open(id, address)) => self.pools.open(id, address, 0.0),
            Output::Pool(PoolCommand::Drain(id)) => self.pools.drain(id),
            Output::Pool(PoolCommand::Remove(id)) => self.pools.remove(id),
            Output::CloseIdle(id) => self.pools.close_idle(id),
            Output::SendToController(exchange, frame) => {
                let sender = self.exchanges.borrow().get(&exchange).cloned();
                // A connection whose queue is full ends by its silence.
                let _ = sender.map(|sender| sender.try_send(encode_frame(frame)));
            }
            Output::ControllersChanged(_) => self.more_exchanges.notify_one(),
            Output::StateChanged => self.changed.notify_waiters(),
            Output::Log(line) => log::info!("{line}"),
        }
    }

    /// Takes a request in. What is answered at once comes back at once.
    pub fn arrive(
        self: &Rc<Self>,
        arrival: &IncomingRequest<'_>,
        order: impl FnOnce(&AdmittedRequest) -> ForwardedRequest,
    ) -> Result<(RequestId, oneshot::Receiver<Answer>), Rejection> {
        let (sender, receiver) = oneshot::channel();
        let mut out = Vec::new();
        let now = self.clock.now();
        let accepted = self.core.borrow_mut().admit(now, arrival, &mut out);
        if let Ok(accepted) = &accepted {
            let order = Some(Rc::new(order(accepted)));
            let entry = Pending {
                order,
                answer: Some(sender),
                reply: None,
                out: None,
                line: AttemptHandle::default(),
            };
            self.pending.borrow_mut().insert(accepted.id, entry);
        }
        self.drive(|_, _, more| more.append(&mut out));
        accepted.map(|accepted| (accepted.id, receiver))
    }

    /// A client has gone away before its answer.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        self.drive(|core, now, out| core.client_disconnected(now, id, out));
        let mut pending = self.pending.borrow_mut();
        if let Some(entry) = pending.get_mut(&id) {
            entry.answer = None;
            if entry.out.is_none() {
                pending.remove(&id);
            }
        }
    }

    fn send(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u32,
        backend: BackendId,
        instance: Rc<str>,
        (limit, care): (Millis, Care),
    ) {
        let (order, line) = {
            let mut pending = self.pending.borrow_mut();
            let Some(entry) = pending.get_mut(&id) else {
                return;
            };
            entry.line = entry.line.for_retry();
            let line = entry.line.clone();
            entry.out = Some((attempt, line.clone()));
            entry.reply = None;
            (entry.order.clone(), line)
        };
        let Some(order) = order else { return };
        let (door, on) = (self.clone(), line.clone());
        let task = tokio::task::spawn_local(async move {
            let carried = send_request(
                &door.pools,
                backend,
                (care, limit),
                &on,
                (order.body.len(), |left| order.request(&instance, left)),
                async |answer| order.read(answer).await,
                |reply: &BackendResponse| reply.outcome == Outcome::Full,
            )
            .await;
            let broken = carried.broken_connections;
            let (outcome, reply) = match carried.result {
                Ok(reply) => (reply.outcome, Some(reply)),
                Err(outcome) => (outcome, None),
            };
            let stranger = reply.as_ref().is_some_and(|reply| reply.wrong_instance);
            {
                let mut pending = door.pending.borrow_mut();
                let Some(entry) = pending.get_mut(&id) else {
                    return;
                };
                if entry
                    .out
                    .take_if(|(number, _)| *number == attempt)
                    .is_none()
                {
                    return;
                }
                entry.reply = reply;
            }
            door.ended(
                id,
                attempt,
                AttemptEnd {
                    outcome,
                    broken_connections: broken,
                    wrong_instance: stranger,
                },
            );
        });
        line.attach_task(task.abort_handle());
    }

    fn ended(self: &Rc<Self>, id: RequestId, attempt: u32, ended: AttemptEnd) {
        self.drive(|core, now, out| core.attempt_ended(now, id, attempt, ended, out));
        let mut pending = self.pending.borrow_mut();
        if pending
            .get(&id)
            .is_some_and(|entry| entry.answer.is_none() && entry.out.is_none())
        {
            pending.remove(&id);
        }
    }

    /// Fires what comes due, for as long as the door runs.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.core.borrow_mut().next_due();
            self.wakes.set(next.unwrap_or(f64::INFINITY));
            match next {
                Some(at) if at <= self.clock.now() => {
                    self.drive(|core, now, out| core.run_timers(now, out));
                }
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.earlier.notified() => {}
                },
                None => self.earlier.notified().await,
            }
        }
    }

    /// Disposes of idle connections before backends do, for as long as the door runs.
    pub async fn tidy(self: Rc<Self>) {
        self.pools.close_idle_periodically().await;
    }
}

/// The header that tells a backend whose request it is.
pub fn tenant_value(accepted: &AdmittedRequest) -> Option<HeaderValue> {
    accepted
        .tenant
        .as_ref()
        .and_then(|tenant| HeaderValue::from_str(tenant).ok())
}
