//! Status codes, and what a transport's end stands for where no status came (gRPC's `statuscodes.md`,
//! `http-grpc-status-mapping.md` and the table of error codes in `PROTOCOL-HTTP2.md`).

/// A status code of gRPC.
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

/// What a status says of the backend's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The application has answered: its word goes to the client as it is, and asking again would change nothing.
    Answer,
    /// The call went wrong; it may have run.
    Fault,
    /// Time ran out on the way or at the backend; it may have run, or may yet.
    Late,
    /// The backend turned it away: never run, if the backend says so too.
    TurnedAway,
}

impl Code {
    /// All codes, each in the place of its number.
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

    /// The number on the wire.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// The code in a `grpc-status`. One that is no number or not known counts as `UNKNOWN`, as in the published clients.
    pub fn from_wire(text: &[u8]) -> Code {
        let number = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse::<usize>().ok());
        number
            .and_then(|number| Code::ALL.get(number).copied())
            .unwrap_or(Code::Unknown)
    }

    /// What an HTTP status without a `grpc-status` stands for.
    pub fn of_http(status: u16) -> Code {
        match status {
            400 => Code::Internal,
            401 => Code::Unauthenticated,
            403 => Code::PermissionDenied,
            404 => Code::Unimplemented,
            429 | 502..=504 => Code::Unavailable,
            _ => Code::Unknown,
        }
    }

    /// What a `RST_STREAM` with this error code stands for (RFC 9113, 7).
    pub fn of_reset(error: u32) -> Code {
        match error {
            // NO_ERROR to INTERNAL_ERROR and FLOW_CONTROL_ERROR, SETTINGS_TIMEOUT, FRAME_SIZE_ERROR, COMPRESSION_ERROR,
            // CONNECT_ERROR.
            0..=4 | 6 | 9 | 10 => Code::Internal,
            REFUSED_STREAM => Code::Unavailable,
            CANCEL => Code::Cancelled,
            0xb => Code::ResourceExhausted,
            0xc => Code::PermissionDenied,
            // STREAM_CLOSED has no mapping, what is not known none either.
            _ => Code::Unknown,
        }
    }

    /// What it says of the backend's work.
    pub fn meaning(self) -> Meaning {
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
            | Code::Unauthenticated => Meaning::Answer,
            Code::Cancelled | Code::Unknown | Code::Internal | Code::DataLoss => Meaning::Fault,
            Code::DeadlineExceeded => Meaning::Late,
            Code::ResourceExhausted | Code::Unavailable => Meaning::TurnedAway,
        }
    }

    /// Whether client libraries send such a call again by themselves: their usual retry policies name these.
    pub fn invites_repeats(self) -> bool {
        matches!(
            self,
            Code::Unavailable | Code::ResourceExhausted | Code::Aborted
        )
    }
}

/// `REFUSED_STREAM`: nothing of the stream was looked at (RFC 9113, 8.7).
pub const REFUSED_STREAM: u32 = 7;
/// `CANCEL`.
pub const CANCEL: u32 = 8;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_places_and_what_is_not_known_is_unknown() {
        for (number, code) in Code::ALL.iter().enumerate() {
            assert_eq!(usize::from(code.number()), number);
            assert_eq!(Code::from_wire(number.to_string().as_bytes()), *code);
        }
        for odd in ["17", "-1", "", "0x0", " 0", "99999999999999999999", "OK"] {
            assert_eq!(Code::from_wire(odd.as_bytes()), Code::Unknown, "{odd:?}");
        }
    }

    /// The rows of the published tables, by hand.
    #[test]
    fn the_published_mappings_hold() {
        let http = [
            (400, 13),
            (401, 16),
            (403, 7),
            (404, 12),
            (429, 14),
            (502, 14),
            (503, 14),
            (504, 14),
        ];
        for (status, code) in http {
            assert_eq!(Code::of_http(status).number(), code, "{status}");
        }
        assert!([200, 204, 302, 418, 500]
            .iter()
            .all(|status| Code::of_http(*status) == Code::Unknown));
        let resets = [
            (0, 13),
            (1, 13),
            (2, 13),
            (3, 13),
            (4, 13),
            (6, 13),
            (7, 14),
            (8, 1),
            (9, 13),
            (10, 13),
            (11, 8),
            (12, 7),
        ];
        for (error, code) in resets {
            assert_eq!(Code::of_reset(error).number(), code, "{error}");
        }
        assert_eq!(
            (Code::of_reset(5), Code::of_reset(13)),
            (Code::Unknown, Code::Unknown)
        );
    }
}
