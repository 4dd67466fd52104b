//! Validation of a client's call before the decision module sees it.
//!
//! A request that is not gRPC gets an HTTP response; an invalid call gets a gRPC status.

use super::attempt::GRPC_TIMEOUT;
use super::proxied_call::ProxiedCall;
use super::settings::Route;
use crate::net::auth::Auth;
use crate::net::request::{ascii_header, customer, identifier_header, Terms};
use h2::RecvStream;
use hyper::body::Bytes;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, COOKIE, HOST, TE, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use maplefall_grpc::frames::Frames;
use maplefall_grpc::routes::Routes;
use maplefall_grpc::{is_grpc, timeout, Code};
use maplefall_policy::{Class, Idempotency, Millis, PlanId, Settings};
use maplefall_protocol::headers::{API_PLAN, API_TERMS, IDEMPOTENCY_KEY, REQUEST_ID};
use maplefall_protocol::{ForwardedRequest, Incoming, MAX_BODY_BYTES};
use maplefall_settings::{wire_value, Names};

/// Length of the prefix of each message: a flag and the message's length.
const FRAME_HEADER_BYTES: usize = 5;

/// Why a call is rejected before the decision module sees it.
#[derive(Debug)]
pub(super) enum CallRejection {
    /// The request is not gRPC; the status of the HTTP response.
    Http(StatusCode),
    /// The call is invalid; its gRPC status and message.
    Grpc(Code, String),
    /// The client has disconnected.
    Disconnected,
}

impl CallRejection {
    fn invalid_argument(message: &str) -> CallRejection {
        CallRejection::Grpc(Code::InvalidArgument, message.to_owned())
    }

    fn invalid_header(header: &HeaderName) -> CallRejection {
        CallRejection::Grpc(
            Code::InvalidArgument,
            format!("{header} is missing, repeated or cannot be read"),
        )
    }
}

/// The rules that calls are validated against.
pub(super) struct CallRules<'a> {
    /// The settings of the configuration file.
    pub(super) settings: &'a Settings,
    /// Names of classes and plans.
    pub(super) names: &'a Names,
    /// The class and shape of each method.
    pub(super) routes: &'a Routes<Route>,
}

impl CallRules<'_> {
    /// Parses and validates the head of a call that arrived at `now`.
    ///
    /// # Errors
    /// The first rule that the call violates.
    pub(super) fn read_head(
        &self,
        head: &Parts,
        now: Millis,
    ) -> Result<(Incoming, Route), CallRejection> {
        let headers = &head.headers;
        let route = self.route(head)?;
        let id = identifier_header(headers, &REQUEST_ID)
            .map_err(|_| CallRejection::invalid_header(&REQUEST_ID))?;
        let plan = self.plan(headers)?;
        let class = &self.settings.classes[route.class.0];
        check_idempotency_key(headers, class)?;
        let timeout = read_timeout(headers)?;
        let (units, gateways) = self.units_and_gateways(headers, route)?;
        let path = head
            .uri
            .path_and_query()
            .ok_or(CallRejection::Http(StatusCode::BAD_REQUEST))?;
        let authority = head
            .uri
            .authority()
            .map_or("localhost", |authority| authority.as_str());
        let host =
            HeaderValue::from_str(authority).map_err(|_| CallRejection::invalid_header(&HOST))?;
        let incoming = Incoming {
            at: now,
            // The timeout is limited to the deadline of the class.
            deadline: now + timeout.min(class.deadline),
            authorized: true,
            customer: customer(headers).ok_or_else(|| CallRejection::invalid_header(&COOKIE))?,
            plan,
            class: route.class,
            units,
            gateways,
            forwarded: ForwardedRequest {
                id: id.into(),
                id_value: headers[REQUEST_ID].clone(),
                host,
                method: Method::POST,
                uri: path.clone().into(),
                key: headers.get(IDEMPOTENCY_KEY).cloned(),
                content_type: headers.get(CONTENT_TYPE).cloned(),
                added_headers: Vec::new(),
                body: Bytes::new(),
            },
        };
        Ok((incoming, route))
    }

    /// Returns the route of the called method.
    fn route(&self, head: &Parts) -> Result<Route, CallRejection> {
        if head.method != Method::POST {
            return Err(CallRejection::Http(StatusCode::METHOD_NOT_ALLOWED));
        }
        if !ascii_header(&head.headers, &CONTENT_TYPE).is_ok_and(|kind| is_grpc(kind.as_bytes())) {
            return Err(CallRejection::Http(StatusCode::UNSUPPORTED_MEDIA_TYPE));
        }
        self.routes
            .find(head.uri.path())
            .ok_or_else(|| CallRejection::Grpc(Code::Unimplemented, "no such method".to_owned()))
    }

    fn plan(&self, headers: &HeaderMap) -> Result<PlanId, CallRejection> {
        let plan_name = wire_value(header_text(headers, &API_PLAN)?);
        self.names
            .plans
            .iter()
            .position(|name| *name == plan_name)
            .map(PlanId)
            .ok_or_else(|| CallRejection::invalid_argument("unknown plan"))
    }

    /// Returns the quota units of a call, and the number of gateways that its customer's calls are
    /// spread over.
    fn units_and_gateways(
        &self,
        headers: &HeaderMap,
        route: Route,
    ) -> Result<(f64, f64), CallRejection> {
        if !headers.contains_key(&API_TERMS) {
            // Without the header for units and gateways, the customer's calls are spread over all
            // gateways.
            return Ok((route.units, f64::from(self.settings.gateways.max(1))));
        }
        let terms = Terms::read(header_text(headers, &API_TERMS)?, self.settings)
            .ok_or_else(|| CallRejection::invalid_header(&API_TERMS))?;
        Ok((terms.units, terms.gateways))
    }
}

fn header_text<'a>(headers: &'a HeaderMap, header: &HeaderName) -> Result<&'a str, CallRejection> {
    ascii_header(headers, header).map_err(|_| CallRejection::invalid_header(header))
}

/// Checks that the idempotency key is present for classes that need one, and absent for others.
fn check_idempotency_key(headers: &HeaderMap, class: &Class) -> Result<(), CallRejection> {
    let keyed = headers.contains_key(IDEMPOTENCY_KEY);
    let readable = !keyed || identifier_header(headers, &IDEMPOTENCY_KEY).is_ok();
    if keyed != matches!(class.idempotency, Idempotency::Keyed { .. }) || !readable {
        return Err(CallRejection::invalid_header(&IDEMPOTENCY_KEY));
    }
    Ok(())
}

/// Returns the client's timeout in milliseconds; infinite if the header is absent.
fn read_timeout(headers: &HeaderMap) -> Result<Millis, CallRejection> {
    if !headers.contains_key(&GRPC_TIMEOUT) {
        return Ok(f64::INFINITY);
    }
    timeout::parse(header_text(headers, &GRPC_TIMEOUT)?.as_bytes())
        .ok_or_else(|| CallRejection::invalid_header(&GRPC_TIMEOUT))
}

/// Returns the forwarded metadata: without the headers of the connection and of this hop's timeout,
/// and without those that only the authentication service may set.
pub(super) fn forwarded_metadata(headers: &HeaderMap, auth: Option<&Auth>) -> HeaderMap {
    let mut metadata = headers.clone();
    for name in [
        CONNECTION,
        HOST,
        TE,
        TRANSFER_ENCODING,
        UPGRADE,
        GRPC_TIMEOUT,
    ] {
        metadata.remove(name);
    }
    if let Some(auth) = auth {
        auth.strip(&mut metadata);
    }
    metadata
}

/// Reads the single message of a call, at most [`MAX_BODY_BYTES`] bytes.
///
/// # Errors
/// There is not exactly one message, the message is too long, or the client has disconnected.
pub(super) async fn read_single_message(
    body: &mut RecvStream,
    call: &ProxiedCall,
) -> Result<(), CallRejection> {
    let not_single = || CallRejection::invalid_argument("one message was expected");
    let mut frames = Frames::default();
    let mut received = 0;
    while let Some(data) = body.data().await {
        let data = data.map_err(|_| CallRejection::Disconnected)?;
        received += data.len();
        let _ = body.flow_control().release_capacity(data.len());
        if frames.take(&data).is_err() || frames.messages() + u64::from(frames.in_message()) > 1 {
            return Err(not_single());
        }
        if received > MAX_BODY_BYTES + FRAME_HEADER_BYTES
            || frames.length() as usize > MAX_BODY_BYTES
        {
            let message = format!("a message of {MAX_BODY_BYTES} bytes at most was expected");
            return Err(CallRejection::Grpc(Code::ResourceExhausted, message));
        }
        call.push_upload(data);
    }
    if frames.messages() != 1 {
        return Err(not_single());
    }
    call.end_upload();
    Ok(())
}
