//! Attempts: executes the decisions of a service's policy and reports ended attempts back to it.

use super::requests::InFlightAttempt;
use super::timers::Timer;
use super::{AttemptEnd, Core, Output};
use maplefall_policy::{
    Action, AttemptEnded, BackendId, Event, Millis, Outcome, Report, RequestId, SendMode,
};

/// Returns whether an attempt with this outcome cannot have run the request.
fn has_not_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent
    )
}

impl Core {
    /// Handles the end of an attempt. An attempt that is no longer in flight is ignored.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u32,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending
            .in_flight
            .take_if(|attempt| attempt.number == number)
        else {
            return;
        };
        self.stats.record_connections(end.connections);
        pending.may_have_run |= !has_not_run(end.outcome);
        if end.outcome == Outcome::Ok && !pending.responded {
            pending.responded = true;
            self.stats.forwarded += 1;
            out.push(Output::ForwardResponse(id));
        }
        let (service, request_closed) = (pending.service, pending.responded);
        if end.connections.early_responses > 0 {
            self.log_early_response(attempt.backend, &end, out);
        }
        if end.wrong_instance {
            self.expire_wrong_instance(now, attempt.backend, out);
        }
        let ended = AttemptEnded {
            request: id,
            attempt: number,
            backend: attempt.backend,
            outcome: end.outcome,
            elapsed: now - attempt.sent_at,
            request_closed,
            metered_usage: None,
            true_units: None,
            report: Report::default(),
            broken_connections: end.connections.broken,
        };
        self.handle_policy_event(now, service, Event::AttemptEnded(ended), out);
        self.remove_if_finished(id);
    }

    /// Logs an attempt in which the backend responded before its request was completely written.
    fn log_early_response(&self, backend: BackendId, end: &AttemptEnd, out: &mut Vec<Output>) {
        let backend = self.services.backend(backend);
        let instance = backend.map_or("unknown", |backend| &backend.instance);
        out.push(Output::Log(format!(
            "event=early_response backend={instance} outcome={:?} early_responses={} connections_broken={}",
            end.outcome, end.connections.early_responses, end.connections.broken
        )));
    }

    /// Passes an event to a service's policy and executes the resulting actions.
    pub(super) fn handle_policy_event(
        &mut self,
        now: Millis,
        service: usize,
        event: Event,
        out: &mut Vec<Output>,
    ) {
        let mut actions = Vec::new();
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        service.gateway.handle(now, event, &mut actions);
        for action in actions {
            self.execute_action(now, action, out);
        }
    }

    fn execute_action(&mut self, now: Millis, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
                mode,
            } => self.send(now, request, backend, timeout, mode, out),
            Action::Reject {
                request,
                reason,
                retry_after,
            } => self.reject(request, reason, retry_after, out),
            Action::Fail(request) => self.fail(now, request, out),
            Action::CancelAttempt { request, attempt } => {
                out.push(Output::CancelAttempt(request, attempt));
            }
            Action::SetTimer { at, timer } => {
                if let Ok(id) = u32::try_from(timer.0) {
                    self.timers.set(at, Timer::Policy(RequestId(id)));
                }
            }
            Action::CloseIdle(backend) => out.push(Output::CloseIdle(backend)),
            Action::Log(text) => {
                out.push(Output::Log(format!("event=backend_health text={text:?}")));
            }
            // Authorization, discovery and probes are not needed in the proxy: clients are
            // authenticated by their keys, and controllers push the instances and run the health
            // checks.
            Action::Authorize(_) | Action::Subscribe | Action::FetchBackends | Action::Probe(_) => {
            }
        }
    }

    /// Starts the next attempt of a request, or ends it immediately if its backend is unknown or no
    /// time is left.
    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        backend: BackendId,
        timeout: Option<Millis>,
        send_mode: SendMode,
        out: &mut Vec<Output>,
    ) {
        let instance = self
            .services
            .backend(backend)
            .map(|backend| backend.instance.clone());
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let number = pending.attempts;
        pending.attempts += 1;
        self.stats.retries += u64::from(number > 0);
        let remaining = pending.deadline - now;
        let timeout = timeout.unwrap_or(f64::INFINITY).min(remaining);
        pending.in_flight = Some(InFlightAttempt {
            number,
            backend,
            sent_at: now,
        });
        let Some(instance) = instance.filter(|_| timeout > 0.0) else {
            let end = AttemptEnd::without_response(Outcome::NotSent);
            self.attempt_ended(now, id, number, end, out);
            return;
        };
        pending.sent = true;
        self.timers.set(
            now + timeout,
            Timer::AttemptTimeout {
                request: id,
                attempt: number,
            },
        );
        out.push(Output::Send {
            request: id,
            attempt: number,
            backend,
            instance,
            remaining,
            send_mode,
        });
    }
}
