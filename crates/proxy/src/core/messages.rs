//! Inputs and outputs of [`Core`](super::Core): incoming requests, ended attempts, and the outputs
//! that the driver executes.

use crate::services::PoolCommand;
use maplefall_control_messages::Frame;
use maplefall_policy::{BackendId, Millis, Outcome, RequestId, SendMode};
use maplefall_upstream::ConnectionCounts;
use std::rc::Rc;

/// Smallest `Retry-After`: a client that retries sooner finds the proxy in the same state.
const MIN_RETRY_AFTER: Millis = 10.0;

/// The head of a request as the client sent it.
pub struct IncomingRequest<'a> {
    /// The value of `Host`.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The API key, if the request has one.
    pub api_key: Option<&'a str>,
    /// The client's remaining time, counted from `received_at`; `None` if the request does not
    /// state it.
    pub remaining: Option<Millis>,
    /// When the request was received.
    pub received_at: Millis,
    /// Whether the listener repeats [`Core::admit`](super::Core::admit) for a request that waits,
    /// after an earlier call ended in [`Rejection::RejectedUnless`]; not a client's retry. A repeat
    /// is not counted as an arrival of the tenant and requests no single token.
    pub is_repeated_admission: bool,
}

/// The proxy's own response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalResponse {
    /// The status code.
    pub status: u16,
    /// The value of `Retry-After`. `Some` guarantees that the request has not run.
    pub retry_after: Option<Millis>,
    /// Whether a backend's response, if there is one, is forwarded instead of this one.
    pub prefer_backend_response: bool,
}

impl LocalResponse {
    /// Creates a response that does not state whether the request has run.
    pub(super) fn with_status(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            prefer_backend_response: false,
        }
    }

    /// Creates a response which guarantees that the request has not run.
    pub(super) fn not_run(status: u16, retry_after: Millis) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: Some(retry_after.max(MIN_RETRY_AFTER)),
            prefer_backend_response: false,
        }
    }

    /// Creates a response to a request that may have run. A backend's error response is preferred,
    /// since it is more informative.
    pub(super) fn may_have_run(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            prefer_backend_response: true,
        }
    }
}

/// The reason why a request is not admitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The response is final.
    Rejected(LocalResponse),
    /// The response to send unless what is missing (a configuration, a backend, a quota lease or a
    /// token) arrives within this time.
    RejectedUnless(LocalResponse, Millis),
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The request's id within this proxy.
    pub id: RequestId,
    /// The tenant's name, which is forwarded to the backend.
    pub tenant: Option<Rc<str>>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// What was seen on the attempt's connections.
    pub connections: ConnectionCounts,
    /// Whether another instance listens at the backend's address (status 421).
    pub wrong_instance: bool,
}

impl AttemptEnd {
    /// Creates the end of an attempt without a response and without broken connections.
    pub(crate) fn without_response(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            connections: ConnectionCounts::default(),
            wrong_instance: false,
        }
    }
}

/// An operation that the driver has to execute.
#[derive(Debug)]
pub enum Output {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// The backend to send to.
        backend: BackendId,
        /// The backend's instance id, for `x-target-instance`.
        instance: Rc<str>,
        /// The client's remaining time, which the backend gets in `x-time-remaining`.
        remaining: Millis,
        /// How to guard the request against a connection that breaks.
        send_mode: SendMode,
    },
    /// Forward the response of the last attempt.
    ForwardResponse(RequestId),
    /// Send the proxy's own response, or a backend's response if the former allows it.
    Respond(RequestId, LocalResponse),
    /// Cancel an attempt that has timed out: close its connection, then call
    /// [`Core::attempt_ended`](super::Core::attempt_ended).
    CancelAttempt(RequestId, u32),
    /// Abandon an attempt whose client has disconnected: the same as `CancelAttempt`, with an
    /// outcome that does not count against the backend.
    AbandonAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// Whether the attempt is abandoned even if its request has been completely written.
        even_if_written: bool,
    },
    /// Change the connection pool of a backend.
    Pool(PoolCommand),
    /// Close the idle connections to a backend.
    CloseIdle(BackendId),
    /// Send a frame to the controller at this IP address.
    SendToController(String, Frame),
    /// The complete set of known controllers, by IP address.
    ControllersChanged(Vec<String>),
    /// Configuration, backends, leases or tokens have changed: the admission of waiting requests
    /// can be repeated.
    StateChanged,
    /// Write a line to the log.
    Log(String),
}
