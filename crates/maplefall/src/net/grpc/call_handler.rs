//! Handles one call of a client, from its head to its single final status.
//!
//! Invariant: for a call that the driver has started, either the status is sent here or the client
//! is reported as disconnected (`PendingCallGuard`).

use super::client_stream::{trailers_only, ResponseStream, Step, UploadReader};
use super::proxied_call::ProxiedCall;
use super::server::GrpcServer;
use super::validation::{forwarded_metadata, read_single_message, CallRejection, CallRules};
use crate::net::auth::{AuthResponse, CheckOutcome};
use crate::net::driver::Driver;
use h2::server::SendResponse;
use h2::RecvStream;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use maplefall_grpc::{status_trailers, Call, Code};
use maplefall_policy::{Millis, RequestId};
use maplefall_protocol::{FinalResponse, Incoming};
use std::net::IpAddr;
use std::rc::Rc;

/// Time limit in milliseconds for a message that must be complete before the call starts.
const MESSAGE_TIMEOUT: Millis = 2000.0;
/// Advised retry delay in milliseconds for a call rejected because the authentication service gave
/// no verdict.
const CHECK_UNAVAILABLE_RETRY_AFTER: Millis = 1000.0;

impl GrpcServer {
    /// Handles a call until its status is sent or its client has disconnected.
    pub(super) async fn handle_call(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        peer: IpAddr,
    ) {
        let (head, mut body) = request.into_parts();
        match self.read_call(&head, &mut body).await {
            Ok((incoming, call)) => {
                self.proxy_call(&head, body, respond, peer, incoming, call)
                    .await
            }
            Err(CallRejection::Disconnected) => {}
            Err(CallRejection::Http(status)) => {
                let mut response = Response::new(());
                *response.status_mut() = status;
                // Sending fails if the client has disconnected.
                let _ = respond.send_response(response, true);
            }
            Err(CallRejection::Grpc(code, message)) => {
                let trailers = status_trailers(code, &message);
                let _ = respond.send_response(trailers_only(trailers), true);
            }
        }
    }

    /// Reads the head of a call, and also its message if the client sends exactly one.
    async fn read_call(
        &self,
        head: &Parts,
        body: &mut RecvStream,
    ) -> Result<(Incoming, Rc<ProxiedCall>), CallRejection> {
        let now = self.driver.clock.now();
        let rules = CallRules {
            settings: &self.driver.settings,
            names: &self.driver.names,
            routes: &self.settings.routes,
        };
        let (mut incoming, route) = rules.read_head(head, now)?;
        // On a busy machine a status may be sent late, and a status after the deadline is useless
        // to the client.
        incoming.deadline -= self.driver.status_reserve(incoming.deadline - now);
        let call = Rc::new(ProxiedCall::new(
            &head.uri,
            forwarded_metadata(&head.headers, self.auth.as_deref()),
            route.shape,
            incoming.deadline,
            self.settings.max_buffered_bytes,
        ));
        if !route.shape.request_streams() {
            let end = incoming.deadline.min(now + MESSAGE_TIMEOUT);
            let end = self.driver.clock.instant(end);
            tokio::time::timeout_at(end, read_single_message(body, &call))
                .await
                .map_err(|_| {
                    let message = "the message did not come in time";
                    CallRejection::Grpc(Code::DeadlineExceeded, message.to_owned())
                })??;
        }
        Ok((incoming, call))
    }

    /// Starts a call in the driver and sends its response to the client.
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
        incoming.authorized = auth.is_none();
        let Some((id, mut answer)) = self.driver.start_call(incoming, Some(call.clone())) else {
            let message = "a call with this id has come before";
            call.update(|call, outputs| {
                call.fail_with_status(Code::AlreadyExists, message, outputs)
            });
            return response.send_all(&call).await;
        };
        let mut guard = PendingCallGuard {
            driver: &self.driver,
            call: &call,
            id: Some(id),
        };
        // A call with one message has been read completely.
        let _reader = call
            .shape()
            .request_streams()
            .then(|| UploadReader::start(body, call.clone()));
        if let Some(auth) = auth.filter(|_| self.driver.awaits_authorization(id)) {
            let caller = auth.caller(head, class, plan, peer);
            let checked = tokio::select! {
                checked = auth.authorize(&self.driver, caller, id, deadline, &mut answer) => checked,
                () = response.disconnected() => return,
            };
            if !matches!(checked, CheckOutcome::Passed) {
                guard.id = None;
                self.apply_check(&call, checked);
                return response.send_all(&call).await;
            }
        }
        let mut answered = false;
        let mut expired = false;
        let mut deadline_timer = std::pin::pin!(tokio::time::sleep_until(
            self.driver.clock.instant(deadline)
        ));
        loop {
            tokio::select! {
                biased;
                received = &mut answer, if !answered => {
                    answered = true;
                    guard.id = None;
                    self.apply_answer(&call, received.unwrap_or(FinalResponse::Failed));
                }
                step = response.step(&call) => if step != Step::Sent { return },
                // Ensures that a client that stops reading still gets its status.
                () = &mut deadline_timer, if answered && !expired => {
                    expired = true;
                    call.expire();
                }
            }
        }
    }

    /// Ends a call whose caller did not pass the check.
    fn apply_check(&self, call: &ProxiedCall, checked: CheckOutcome) {
        match checked {
            CheckOutcome::Passed => {}
            CheckOutcome::Answered(answer) => self.apply_answer(call, answer),
            CheckOutcome::Denied(auth_response) => {
                let (code, message) = denial_status(&auth_response);
                call.update(|call, outputs| call.fail_with_status(code, message, outputs));
            }
            CheckOutcome::Unavailable => {
                let retry_after = self
                    .driver
                    .settings
                    .retry_after
                    .then_some(CHECK_UNAVAILABLE_RETRY_AFTER);
                call.update(|call, outputs| call.reject(retry_after, outputs));
            }
        }
    }

    /// Ends a call by the decision module's final response.
    fn apply_answer(&self, call: &ProxiedCall, answer: FinalResponse) {
        let now = self.driver.clock.now();
        call.update(|call: &mut Call, outputs| match answer {
            FinalResponse::Served(_) => call.serve(outputs),
            FinalResponse::Rejected(retry_after) => call.reject(retry_after, outputs),
            FinalResponse::Failed => call.fail(now, outputs),
        });
    }
}

/// Returns the status of a call that the authentication service has denied.
fn denial_status(auth_response: &AuthResponse) -> (Code, &'static str) {
    match auth_response {
        // A redirect to a sign-in page is useless to a gRPC client.
        AuthResponse::Denial { status, .. }
            if *status == StatusCode::UNAUTHORIZED || status.is_redirection() =>
        {
            (Code::Unauthenticated, "the caller is not signed in")
        }
        _ => (Code::PermissionDenied, "the caller may not"),
    }
}

/// Notifies the driver when a client disconnects before its call has a status.
struct PendingCallGuard<'a> {
    driver: &'a Rc<Driver>,
    call: &'a ProxiedCall,
    /// The call's request id; `None` once the call has its status.
    id: Option<RequestId>,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.call.update(|call, _| call.cancel());
            self.driver.client_disconnected(id);
            self.driver.cancel_if_permitted(id);
        }
    }
}
