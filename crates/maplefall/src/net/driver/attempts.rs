//! Attempts at backends: starting them for the decision module, and ending each.
//!
//! Invariant: an attempt is finished once, by its response, its timeout or its cancellation,
//! whichever comes first. A later one of these no longer finds the attempt in the table.

use super::state::Attempt;
use super::timers::TimerEvent;
use super::Driver;
use crate::net::backends;
#[cfg(feature = "breakages")]
use crate::net::breakages::{self, Breakage};
use crate::net::grpc::{self, ProxiedCall};
use maplefall_policy::{AttemptEnded, BackendId, Event, Millis, Outcome, RequestId, SendMode};
use maplefall_protocol::{EndedAttempt, FinalResponse, ForwardedRequest};
use maplefall_upstream::AttemptHandle;
use std::rc::Rc;

/// The parameters of an attempt's task.
struct OutgoingAttempt {
    request: RequestId,
    number: u32,
    backend: BackendId,
    forwarded: Rc<ForwardedRequest>,
    /// The gRPC call, if the request arrived over gRPC.
    call: Option<Rc<ProxiedCall>>,
    /// Time limit of the attempt in milliseconds.
    timeout: Millis,
    /// How the request is protected against a connection that turns out to be broken.
    send_mode: SendMode,
}

impl Driver {
    /// Sends a request to a backend. The attempt ends after `timeout`, and at the request's
    /// deadline at the latest.
    pub(super) fn send(
        self: &Rc<Self>,
        id: RequestId,
        backend: BackendId,
        timeout: Option<Millis>,
        send_mode: SendMode,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts_started;
        request.attempts_started += 1;
        let timeout = timeout.unwrap_or(f64::INFINITY).min(request.deadline - now);
        let not_needed =
            request.response_sender.is_none() || request.in_flight.is_some() || timeout <= 0.0;
        if not_needed || number >= self.settings.max_attempts {
            drop(state);
            let end = EndedAttempt::without_response(Outcome::NotSent);
            let event = attempt_ended(id, number, backend, 0.0, &end, false);
            return self.post(now, Event::AttemptEnded(event));
        }
        if let Some(counts) = self.shared_counts.get().filter(|_| number == 0) {
            counts.record_usage(now, request.customer, request.plan, request.reserved_units);
        }
        let handle = self.spawn_attempt(OutgoingAttempt {
            request: id,
            number,
            backend,
            forwarded: request.forwarded.clone(),
            call: request.call.clone(),
            timeout,
            send_mode,
        });
        #[cfg(feature = "breakages")]
        if breakages::is(Breakage::SentTwice) {
            self.resend(backend, request.forwarded.clone(), 0);
        }
        request.in_flight = Some(Attempt {
            number,
            backend,
            sent_at: now,
            handle,
        });
        drop(state);
        self.set_timer(now + timeout, TimerEvent::AttemptTimeout(id, number));
    }

    /// Spawns the task of an attempt.
    fn spawn_attempt(self: &Rc<Self>, attempt: OutgoingAttempt) -> AttemptHandle {
        #[cfg(feature = "breakages")]
        let attempt = self.break_attempt(attempt);
        let handle = AttemptHandle::default();
        let (driver, task_handle) = (self.clone(), handle.clone());
        let task = tokio::task::spawn_local(async move {
            let end = driver.run_attempt(&attempt, &task_handle).await;
            driver.finish_attempt(attempt.request, attempt.number, end);
        });
        handle.attach_task(task.abort_handle());
        handle
    }

    /// Runs an attempt to its end.
    async fn run_attempt(
        self: &Rc<Self>,
        attempt: &OutgoingAttempt,
        handle: &AttemptHandle,
    ) -> EndedAttempt {
        let Some(call) = &attempt.call else {
            return backends::send_attempt(
                &self.pools,
                &self.response_reader,
                attempt.backend,
                &attempt.forwarded,
                attempt.timeout,
                attempt.send_mode,
                handle,
            )
            .await;
        };
        let context = grpc::AttemptContext {
            pools: &self.pools,
            clock: self.clock,
            forwarded: &attempt.forwarded,
            call,
            timeout: attempt.timeout,
            send_mode: attempt.send_mode,
            handle,
            committed: &|| self.response_started(attempt.request),
        };
        self.grpc_backends.attempt(attempt.backend, context).await
    }

    /// Finishes an attempt, unless it has been finished already.
    pub(super) fn finish_attempt(
        self: &Rc<Self>,
        id: RequestId,
        number: u32,
        mut end: EndedAttempt,
    ) {
        let now = self.clock.now();
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(request) = state.requests.get_mut(&id) else {
                return;
            };
            let Some(attempt) = request
                .in_flight
                .take_if(|attempt| attempt.number == number)
            else {
                return;
            };
            if matches!(end.outcome, Outcome::Cancelled | Outcome::Timeout) {
                // A request whose head has not been completely written when the connection closes
                // cannot run.
                if end.outcome == Outcome::Timeout && !attempt.handle.may_have_run() {
                    end.outcome = Outcome::ConnectFailed;
                }
                attempt.handle.abort();
            }
            #[cfg(feature = "breakages")]
            self.break_end(&mut end, attempt.backend, &request.forwarded);
            if let Some(sender) = request
                .response_sender
                .take_if(|_| end.outcome == Outcome::Ok)
            {
                let _ = sender.send(FinalResponse::Served(end.body.clone()));
            }
            if let (Some(counts), Some(charge)) = (self.shared_counts.get(), end.true_units) {
                let correction = charge - request.reserved_units;
                counts.record_usage(now, request.customer, request.plan, correction);
            }
            let elapsed = now - attempt.sent_at;
            let request_closed = request.response_sender.is_none();
            attempt_ended(id, number, attempt.backend, elapsed, &end, request_closed)
        };
        self.post(now, Event::AttemptEnded(event));
        self.state.borrow_mut().remove_if_finished(id);
    }
}

/// Builds the decision module's event for the end of an attempt. `request_closed`: the request has
/// its final response.
fn attempt_ended(
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    elapsed: Millis,
    end: &EndedAttempt,
    request_closed: bool,
) -> AttemptEnded {
    AttemptEnded {
        request,
        attempt,
        backend,
        outcome: end.outcome,
        elapsed,
        request_closed,
        metered_usage: end.metered_usage,
        true_units: end.true_units,
        report: end.report,
        broken_connections: end.broken_connections,
    }
}

/// Deliberate faults for rehearsals; no released build contains them.
#[cfg(feature = "breakages")]
impl Driver {
    fn break_attempt(&self, mut attempt: OutgoingAttempt) -> OutgoingAttempt {
        attempt.forwarded = breakages::forwarded_request(attempt.forwarded);
        if let Some(last) = self.last_started.get() {
            if breakages::is(Breakage::NewestBackendOnly) {
                attempt.backend = last;
            }
        }
        attempt
    }

    fn break_end(
        self: &Rc<Self>,
        end: &mut EndedAttempt,
        backend: BackendId,
        forwarded: &Rc<ForwardedRequest>,
    ) {
        if end.outcome != Outcome::Ok {
            return;
        }
        if breakages::is(Breakage::StaleBody) {
            std::mem::swap(&mut end.body, &mut *self.last_body.borrow_mut());
        }
        if breakages::is(Breakage::SentAfterResponse) {
            self.resend(backend, forwarded.clone(), 150);
        }
    }

    /// Sends a further copy of a request after `after_ms`, without the decision module.
    fn resend(self: &Rc<Self>, backend: BackendId, forwarded: Rc<ForwardedRequest>, after_ms: u64) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(after_ms)).await;
            let handle = AttemptHandle::default();
            backends::send_attempt(
                &driver.pools,
                &driver.response_reader,
                backend,
                &forwarded,
                2000.0,
                SendMode::Immediate,
                &handle,
            )
            .await;
        });
    }

    /// Sends a further copy of a request to the backend of its attempt in flight, without the
    /// decision module.
    pub fn resend_in_flight(self: &Rc<Self>, id: RequestId) {
        let state = self.state.borrow();
        let Some(request) = state.requests.get(&id) else {
            return;
        };
        let Some(backend) = request.in_flight.as_ref().map(|attempt| attempt.backend) else {
            return;
        };
        let forwarded = request.forwarded.clone();
        drop(state);
        self.resend(backend, forwarded, 30);
    }
}
