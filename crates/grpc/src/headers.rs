//! Names of the headers and trailers that this package reads and writes, and the check of the
//! content type.

use http::HeaderName;

/// Status code of a call, a decimal number (`PROTOCOL-HTTP2.md`, "Responses").
pub const GRPC_STATUS: HeaderName = HeaderName::from_static("grpc-status");
/// Percent-encoded text that accompanies the status (`PROTOCOL-HTTP2.md`, "Responses").
pub const GRPC_MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
/// `1` with a status that rejects the call: the backend did not start the call (protocol page, as
/// over HTTP/1.1).
pub const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
/// Milliseconds after which the client may retry; `-1` forbids a retry (gRFC A6, "Pushback").
pub const RETRY_PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");

/// Whether a `content-type` is gRPC's: `application/grpc` in any case, alone or followed by a
/// suffix (`+proto`) or by parameters (`PROTOCOL-HTTP2.md`, "Requests").
pub fn is_grpc(content_type: &[u8]) -> bool {
    const GRPC: &[u8] = b"application/grpc";
    content_type.len() >= GRPC.len()
        && content_type[..GRPC.len()].eq_ignore_ascii_case(GRPC)
        && content_type
            .get(GRPC.len())
            .is_none_or(|next| matches!(next, b'+' | b';' | b' '))
}
