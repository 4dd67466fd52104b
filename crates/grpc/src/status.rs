//! Status codes (gRPC's `statuscodes.md`), and the codes for responses without a gRPC status: for
//! an HTTP status by `http-grpc-status-mapping.md`, for a `RST_STREAM` by the table of error codes
//! in `PROTOCOL-HTTP2.md`.
//!
//! Invariant: only a code of [`StatusClass::Rejected`] can mean that a call was not started.

/// A gRPC status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Code {
    /// `OK`.
    Ok = 0,
    /// `CANCELLED`.
    Cancelled = 1,
    /// `UNKNOWN`.
    Unknown = 2,
    /// `INVALID_ARGUMENT`.
    InvalidArgument = 3,
    /// `DEADLINE_EXCEEDED`.
    DeadlineExceeded = 4,
    /// `NOT_FOUND`.
    NotFound = 5,
    /// `ALREADY_EXISTS`.
    AlreadyExists = 6,
    /// `PERMISSION_DENIED`.
    PermissionDenied = 7,
    /// `RESOURCE_EXHAUSTED`.
    ResourceExhausted = 8,
    /// `FAILED_PRECONDITION`.
    FailedPrecondition = 9,
    /// `ABORTED`.
    Aborted = 10,
    /// `OUT_OF_RANGE`.
    OutOfRange = 11,
    /// `UNIMPLEMENTED`.
    Unimplemented = 12,
    /// `INTERNAL`.
    Internal = 13,
    /// `UNAVAILABLE`.
    Unavailable = 14,
    /// `DATA_LOSS`.
    DataLoss = 15,
    /// `UNAUTHENTICATED`.
    Unauthenticated = 16,
}

/// What a status code implies about the execution of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusClass {
    /// The application responded: its status is forwarded to the client unchanged, and a retry
    /// would not change it.
    Responded,
    /// The call failed; it may have run.
    Failed,
    /// The deadline expired in transit or at the backend; the call may have run, or may still run.
    TimedOut,
    /// The backend rejected the call, which was not started if the backend also states so
    /// ([`NOT_STARTED`](crate::NOT_STARTED)).
    Rejected,
}

impl Code {
    /// All codes, indexed by their numbers.
    pub const ALL: [Code; 17] = [
        Code::Ok,
        Code::Cancelled,
        Code::Unknown,
        Code::InvalidArgument,
        Code::DeadlineExceeded,
        Code::NotFound,
        Code::AlreadyExists,
        Code::PermissionDenied,
        Code::ResourceExhausted,
        Code::FailedPrecondition,
        Code::Aborted,
        Code::OutOfRange,
        Code::Unimplemented,
        Code::Internal,
        Code::Unavailable,
        Code::DataLoss,
        Code::Unauthenticated,
    ];

    /// The code's number on the wire.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// The code of a `grpc-status` value. Anything but a known number is `UNKNOWN`, as in the
    /// published client libraries.
    pub fn from_wire(text: &[u8]) -> Code {
        let number = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse::<usize>().ok());
        number
            .and_then(|number| Code::ALL.get(number).copied())
            .unwrap_or(Code::Unknown)
    }

    /// The code for an HTTP status without a `grpc-status` (`http-grpc-status-mapping.md`).
    pub fn from_http_status(status: u16) -> Code {
        match status {
            400 => Code::Internal,
            401 => Code::Unauthenticated,
            403 => Code::PermissionDenied,
            404 => Code::Unimplemented,
            429 | 502..=504 => Code::Unavailable,
            _ => Code::Unknown,
        }
    }

    /// The code for a `RST_STREAM` with this error code (`PROTOCOL-HTTP2.md`, "Errors"; RFC 9113,
    /// 7).
    pub fn from_reset_code(error: u32) -> Code {
        match error {
            // The HTTP/2 error codes NO_ERROR to INTERNAL_ERROR and FLOW_CONTROL_ERROR,
            // SETTINGS_TIMEOUT, FRAME_SIZE_ERROR, COMPRESSION_ERROR, CONNECT_ERROR.
            0..=4 | 6 | 9 | 10 => Code::Internal,
            REFUSED_STREAM => Code::Unavailable,
            CANCEL => Code::Cancelled,
            ENHANCE_YOUR_CALM => Code::ResourceExhausted,
            INADEQUATE_SECURITY => Code::PermissionDenied,
            // STREAM_CLOSED and unknown codes have no mapping.
            _ => Code::Unknown,
        }
    }

    /// What the code implies about the execution of the call.
    pub fn class(self) -> StatusClass {
        match self {
            Code::Ok
            | Code::InvalidArgument
            | Code::NotFound
            | Code::AlreadyExists
            | Code::PermissionDenied
            | Code::FailedPrecondition
            | Code::Aborted
            | Code::OutOfRange
            | Code::Unimplemented
            | Code::Unauthenticated => StatusClass::Responded,
            Code::Cancelled | Code::Unknown | Code::Internal | Code::DataLoss => {
                StatusClass::Failed
            }
            Code::DeadlineExceeded => StatusClass::TimedOut,
            Code::ResourceExhausted | Code::Unavailable => StatusClass::Rejected,
        }
    }

    /// Whether client libraries retry a call with this code: common retry policies list these codes
    /// (gRFC A6).
    pub fn is_retried_by_clients(self) -> bool {
        matches!(
            self,
            Code::Unavailable | Code::ResourceExhausted | Code::Aborted
        )
    }
}

/// HTTP/2 error code `REFUSED_STREAM`: the stream was not processed (RFC 9113, 8.7).
pub const REFUSED_STREAM: u32 = 7;
/// HTTP/2 error code `CANCEL`: the stream is no longer needed (RFC 9113, 7).
pub const CANCEL: u32 = 8;
/// HTTP/2 error code `ENHANCE_YOUR_CALM` (RFC 9113, 7).
const ENHANCE_YOUR_CALM: u32 = 0xb;
/// HTTP/2 error code `INADEQUATE_SECURITY` (RFC 9113, 7).
const INADEQUATE_SECURITY: u32 = 0xc;

#[cfg(test)]
mod tests;
