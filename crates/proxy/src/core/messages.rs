//! What goes into [`Core`](super::Core) and what comes out: incoming requests, ends of attempts, and the outputs that
//! the driver carries out.

use crate::services::PoolCommand;
use maplefall_control_messages::Frame;
use maplefall_policy::{BackendId, Millis, Outcome, RequestId, SendMode};
use std::rc::Rc;

/// Smallest `Retry-After`: a client that comes back sooner finds the same state.
const MIN_RETRY_AFTER: Millis = 10.0;

/// The head of a request as the client sent it.
pub struct IncomingRequest<'a> {
    /// The value of `Host`.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The API key, if the request has one.
    pub api_key: Option<&'a str>,
    /// How long the client waits, counted from `received_at`; `None` if it does not say.
    pub remaining: Option<Millis>,
    /// When its first byte arrived.
    pub received_at: Millis,
    /// Whether it was counted by an earlier call of [`Core::admit`](super::Core::admit) that ended in
    /// [`Rejection::RejectedUnless`].
    pub is_retry: bool,
}

/// The proxy's own response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalResponse {
    /// The status code.
    pub status: u16,
    /// The value of `Retry-After`. `Some` promises that the request has not run.
    pub retry_after: Option<Millis>,
    /// Whether a backend's response, if there is one, is forwarded in place of this.
    pub prefer_backend_response: bool,
}

impl LocalResponse {
    /// A response without a promise.
    pub(super) fn with_status(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            prefer_backend_response: false,
        }
    }

    /// A response that promises that the request has not run.
    pub(super) fn not_run(status: u16, retry_after: Millis) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: Some(retry_after.max(MIN_RETRY_AFTER)),
            prefer_backend_response: false,
        }
    }

    /// A response to a request that may have run: a backend's error says more than ours.
    pub(super) fn may_have_run(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            prefer_backend_response: true,
        }
    }
}

/// Why a request is not admitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The response is final.
    Rejected(LocalResponse),
    /// The response, unless what is missing (a configuration, backends, a quota lease) arrives within this time.
    RejectedUnless(LocalResponse, Millis),
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Its id within this proxy.
    pub id: RequestId,
    /// The tenant's name, for the backend.
    pub tenant: Option<Rc<str>>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// Established connections that broke during the attempt.
    pub broken_connections: u32,
    /// Whether another instance listens at the backend's address (status 421).
    pub wrong_instance: bool,
}

impl AttemptEnd {
    /// An attempt that ended without a response and without broken connections.
    pub(crate) fn without_response(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            broken_connections: 0,
            wrong_instance: false,
        }
    }
}

/// What the driver has to do.
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
    /// Forward the response that the last attempt brought.
    ForwardResponse(RequestId),
    /// Respond without a backend.
    Respond(RequestId, LocalResponse),
    /// The attempt has had its time: close its connection, then call [`Core::attempt_ended`](super::Core::attempt_ended).
    CancelAttempt(RequestId, u32),
    /// The client has gone: the same, with an outcome that says nothing about the backend.
    AbandonAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// Whether also a request that has been completely written is abandoned.
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
    /// Configuration, backends or leases changed: requests that wait for them may try again.
    StateChanged,
    /// Write a line to the log.
    Log(String),
}
