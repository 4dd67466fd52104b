//! The driver: hands what happens to [`Core`] and carries out what comes back.

use crate::core::{Accepted, Arrival, Core, Ended, Final, Not, Output};
use crate::forward::{promises, Order, Reply};
use crate::services::Pool;
use bytes::Bytes;
use hyper::header::HeaderValue;
use maplefall_control_messages::write;
use maplefall_node_settings::Settings;
use maplefall_policy::{BackendId, Care, Millis, Outcome, RequestId};
use maplefall_settings::Links;
use maplefall_upstream::{budget, carry, Clock, Line, Pools};
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
    Reply(Reply),
    /// The door's own.
    Own(Final),
}

struct Pending {
    order: Option<Rc<Order>>,
    answer: Option<oneshot::Sender<Answer>>,
    /// The last answer of a backend.
    reply: Option<Reply>,
    out: Option<(u32, Line)>,
    /// The hold on its last attempt, which knows where those before went.
    line: Line,
}

/// A door: decisions, connections to backends, requests that wait.
pub struct Door {
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

impl Door {
    /// A door that knows nothing yet.
    pub fn new(settings: &Settings, seed: u64) -> Rc<Door> {
        let sockets = settings.limits.file_limit.saturating_sub(FILES);
        Rc::new(Door {
            clock: Clock::new(),
            core: RefCell::new(Core::new(settings, seed)),
            pools: Pools::new(
                Links {
                    dial_timeout: DIAL,
                    idle_close: IDLE,
                },
                budget(sockets),
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
            Output::Pass(id) => {
                let mut pending = self.pending.borrow_mut();
                let Some(entry) = pending.get_mut(&id) else {
                    return;
                };
                if let (Some(answer), Some(reply)) = (entry.answer.take(), entry.reply.take()) {
                    let _ = answer.send(Answer::Reply(reply));
                }
            }
            Output::Answer(id, last) => {
                let mut pending = self.pending.borrow_mut();
                let Some(entry) = pending.get_mut(&id) else {
                    return;
                };
                // One that says that it has not run promises what a later attempt may have broken; one whose status promises that
                // without the word for it may have run.
                let passes =
                    |reply: &Reply| reply.outcome == Outcome::Error && !promises(reply.status);
                let reply = entry
                    .reply
                    .take()
                    .filter(|reply| last.backends && passes(reply));
                if let Some(answer) = entry.answer.take() {
                    let _ = answer.send(reply.map_or(Answer::Own(last), Answer::Reply));
                }
                if entry.out.is_none() {
                    pending.remove(&id);
                }
            }
            Output::GiveUp(id, number) => {
                let line = {
                    let mut pending = self.pending.borrow_mut();
                    let out = pending
                        .get_mut(&id)
                        .and_then(|entry| entry.out.take_if(|(n, _)| *n == number));
                    out.map(|(_, line)| line)
                };
                // One that is not out has not been carried that far: its task has yet to run.
                let outcome = match &line {
                    Some(line) if line.whole() => Outcome::Timeout,
                    _ => Outcome::ConnectFailed,
                };
                if let Some(line) = line {
                    line.give_up();
                }
                self.ended(
                    id,
                    number,
                    Ended {
                        outcome,
                        broken: 0,
                        stranger: false,
                    },
                );
            }
            Output::Pool(Pool::Open(id, address)) => self.pools.open(id, address, 0.0),
            Output::Pool(Pool::Drain(id)) => self.pools.drain(id),
            Output::Pool(Pool::Remove(id)) => self.pools.remove(id),
            Output::CloseIdle(id) => self.pools.close_idle(id),
            Output::Say(exchange, frame) => {
                let sender = self.exchanges.borrow().get(&exchange).cloned();
                // A connection whose queue is full ends by its silence.
                let _ = sender.map(|sender| sender.try_send(write(frame)));
            }
            Output::Exchanges(_) => self.more_exchanges.notify_one(),
            Output::Changed => self.changed.notify_waiters(),
            Output::Log(line) => log::info!("{line}"),
        }
    }

    /// Takes a request in. What is answered at once comes back at once.
    pub fn arrive(
        self: &Rc<Self>,
        arrival: &Arrival<'_>,
        order: impl FnOnce(&Accepted) -> Order,
    ) -> Result<(RequestId, oneshot::Receiver<Answer>), Not> {
        let (sender, receiver) = oneshot::channel();
        let mut out = Vec::new();
        let now = self.clock.now();
        let accepted = self.core.borrow_mut().arrive(now, arrival, &mut out);
        if let Ok(accepted) = &accepted {
            let order = Some(Rc::new(order(accepted)));
            let entry = Pending {
                order,
                answer: Some(sender),
                reply: None,
                out: None,
                line: Line::default(),
            };
            self.pending.borrow_mut().insert(accepted.id, entry);
        }
        self.drive(|_, _, more| more.append(&mut out));
        accepted.map(|accepted| (accepted.id, receiver))
    }

    /// A client has gone away before its answer.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        self.drive(|core, now, out| core.client_gone(now, id, out));
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
            entry.line = entry.line.again();
            let line = entry.line.clone();
            entry.out = Some((attempt, line.clone()));
            entry.reply = None;
            (entry.order.clone(), line)
        };
        let Some(order) = order else { return };
        let (door, on) = (self.clone(), line.clone());
        let task = tokio::task::spawn_local(async move {
            let carried = carry(
                &door.pools,
                backend,
                (care, limit),
                &on,
                (order.body.len(), |left| order.request(&instance, left)),
                async |answer| order.read(answer).await,
                |reply: &Reply| reply.outcome == Outcome::Full,
            )
            .await;
            let broken = carried.broken;
            let (outcome, reply) = match carried.end {
                Ok(reply) => (reply.outcome, Some(reply)),
                Err(outcome) => (outcome, None),
            };
            let stranger = reply.as_ref().is_some_and(|reply| reply.stranger);
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
                Ended {
                    outcome,
                    broken,
                    stranger,
                },
            );
        });
        line.tie(task.abort_handle());
    }

    fn ended(self: &Rc<Self>, id: RequestId, attempt: u32, ended: Ended) {
        self.drive(|core, now, out| core.ended(now, id, attempt, ended, out));
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
                    self.drive(|core, now, out| core.fire(now, out));
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
        self.pools.tidy().await;
    }
}

/// The header that tells a backend whose request it is.
pub fn tenant_value(accepted: &Accepted) -> Option<HeaderValue> {
    accepted
        .tenant
        .as_ref()
        .and_then(|tenant| HeaderValue::from_str(tenant).ok())
}
