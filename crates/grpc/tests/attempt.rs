//! How an attempt ends when status, transport and deadline contradict each other, one table row per
//! case.

use http::{HeaderMap, HeaderName, HeaderValue};
use maplefall_grpc::frames::prefix;
use maplefall_grpc::{Attempt, Code, End, Shape, CANCEL, REFUSED_STREAM};
use maplefall_policy::Outcome;

const ATTEMPT_DEADLINE: f64 = 500.0;
const DEADLINE: f64 = 1000.0;

fn headers(entries: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in entries {
        headers.append(
            name.parse::<HeaderName>().unwrap(),
            HeaderValue::from_str(value).unwrap(),
        );
    }
    headers
}

fn response_head() -> HeaderMap {
    headers(&[("content-type", "application/grpc+proto")])
}

fn message() -> Vec<u8> {
    [&prefix(3)[..], b"abc"].concat()
}

/// An attempt whose request head was sent.
fn sent_attempt(shape: Shape) -> Attempt {
    let mut attempt = Attempt::new(shape, ATTEMPT_DEADLINE, DEADLINE);
    attempt.sent();
    attempt
}

/// An attempt whose response has begun, with these bytes of messages.
fn responding_attempt(shape: Shape, data: &[u8]) -> Attempt {
    let mut attempt = sent_attempt(shape);
    assert_eq!(attempt.head(1.0, 200, &response_head(), false), None);
    assert_eq!(attempt.data(data), None);
    attempt
}

fn outcome_and_code(end: Option<End>) -> (Outcome, Code) {
    let end = end.expect("the attempt has ended");
    (end.outcome, end.code)
}

#[test]
fn messages_override_a_status_that_contradicts_them() {
    let truncated = &message()[..5];
    let two_messages = [message(), message()].concat();
    let rows: [(Shape, &[u8], &str, Outcome, Code); 12] = [
        (Shape::Unary, &message(), "0", Outcome::Ok, Code::Ok),
        (Shape::Unary, &[], "0", Outcome::Error, Code::Internal),
        (Shape::Unary, truncated, "0", Outcome::Reset, Code::Internal),
        (
            Shape::ServerStream,
            truncated,
            "0",
            Outcome::Reset,
            Code::Internal,
        ),
        (
            Shape::ServerStream,
            truncated,
            "5",
            Outcome::Reset,
            Code::Internal,
        ),
        (
            Shape::ServerStream,
            &two_messages,
            "0",
            Outcome::Ok,
            Code::Ok,
        ),
        (Shape::ServerStream, &[], "0", Outcome::Ok, Code::Ok),
        (
            Shape::ClientStream,
            &[],
            "0",
            Outcome::Error,
            Code::Internal,
        ),
        (Shape::Unary, &[], "5", Outcome::Ok, Code::NotFound),
        (
            Shape::Unary,
            &message(),
            "13",
            Outcome::Error,
            Code::Internal,
        ),
        (
            Shape::Unary,
            &message(),
            "4",
            Outcome::Timeout,
            Code::DeadlineExceeded,
        ),
        (
            Shape::Unary,
            &message(),
            "99",
            Outcome::Error,
            Code::Unknown,
        ),
    ];
    for (shape, data, status, outcome, code) in rows {
        let end =
            responding_attempt(shape, data).trailers(10.0, &headers(&[("grpc-status", status)]));
        assert_eq!(
            outcome_and_code(end),
            (outcome, code),
            "{shape:?} {data:?} {status}"
        );
    }
}

#[test]
fn unary_response_has_exactly_one_message() {
    let mut attempt = responding_attempt(Shape::Unary, &message());
    assert_eq!(
        outcome_and_code(attempt.data(&[0])),
        (Outcome::Reset, Code::Internal),
        "a second message begins"
    );
    let mut attempt = responding_attempt(Shape::Unary, &[]);
    assert_eq!(
        outcome_and_code(attempt.data(&[9, 0, 0])),
        (Outcome::Reset, Code::Internal),
        "an invalid compression flag"
    );
}

#[test]
fn expired_deadline_overrides_any_status() {
    for status in ["0", "5", "14"] {
        let trailers = headers(&[("grpc-status", status), ("not-started", "1")]);
        let late = responding_attempt(Shape::Unary, &message()).trailers(DEADLINE, &trailers);
        assert_eq!(
            outcome_and_code(late),
            (Outcome::Timeout, Code::DeadlineExceeded),
            "{status}"
        );
        let late = sent_attempt(Shape::Unary).head(DEADLINE, 200, &trailers, true);
        assert_eq!(
            outcome_and_code(late),
            (Outcome::Timeout, Code::DeadlineExceeded),
            "{status}"
        );
        let in_time =
            responding_attempt(Shape::Unary, &message()).trailers(DEADLINE - 0.1, &trailers);
        assert_ne!(outcome_and_code(in_time).0, Outcome::Timeout, "{status}");
    }
}

/// Guards non-idempotent calls against a retry of an attempt that may have run.
#[test]
fn only_unambiguous_signals_count_as_never_run() {
    let rejected = [("grpc-status", "14"), ("not-started", "1")];
    let never_run = [
        sent_attempt(Shape::Unary).reset(1.0, REFUSED_STREAM),
        sent_attempt(Shape::Unary).unprocessed(),
        sent_attempt(Shape::Unary).head(1.0, 200, &headers(&rejected), true),
        sent_attempt(Shape::Unary).head(1.0, 503, &headers(&[("not-started", "1")]), false),
        Attempt::new(Shape::Unary, ATTEMPT_DEADLINE, DEADLINE).lost(),
        Attempt::new(Shape::Unary, ATTEMPT_DEADLINE, DEADLINE).unreachable(),
        Attempt::new(Shape::Unary, ATTEMPT_DEADLINE, DEADLINE).timed_out(),
    ];
    for end in never_run {
        let end = end.expect("the attempt has ended");
        assert!(end.never_ran(), "{end:?}");
    }
    let may_have_run = [
        sent_attempt(Shape::Unary).head(1.0, 200, &headers(&rejected[..1]), true),
        sent_attempt(Shape::Unary).head(
            1.0,
            200,
            &headers(&[("grpc-status", "13"), ("not-started", "1")]),
            true,
        ),
        sent_attempt(Shape::Unary).head(
            1.0,
            200,
            &headers(&[("grpc-status", "14"), ("not-started", "yes")]),
            true,
        ),
        sent_attempt(Shape::Unary).head(1.0, 503, &headers(&[]), false),
        sent_attempt(Shape::Unary).head(1.0, 500, &headers(&[("not-started", "1")]), false),
        sent_attempt(Shape::Unary).lost(),
        sent_attempt(Shape::Unary).timed_out(),
        sent_attempt(Shape::Unary).reset(1.0, CANCEL),
        sent_attempt(Shape::Unary).reset(1.0, 0),
        responding_attempt(Shape::Unary, &[]).reset(1.0, REFUSED_STREAM),
        responding_attempt(Shape::Unary, &[]).unprocessed(),
        responding_attempt(Shape::ServerStream, &message()).trailers(1.0, &headers(&rejected)),
    ];
    for (row, end) in may_have_run.into_iter().enumerate() {
        let end = end.expect("the attempt has ended");
        assert!(!end.never_ran(), "row {row}: {end:?}");
    }
}

#[test]
fn cancel_reset_after_the_deadline_is_a_timeout() {
    assert_eq!(
        outcome_and_code(sent_attempt(Shape::Unary).reset(ATTEMPT_DEADLINE, CANCEL)),
        (Outcome::Timeout, Code::DeadlineExceeded)
    );
    assert_eq!(
        outcome_and_code(sent_attempt(Shape::Unary).reset(ATTEMPT_DEADLINE - 1.0, CANCEL)),
        (Outcome::Reset, Code::Cancelled)
    );
    assert_eq!(
        outcome_and_code(sent_attempt(Shape::Unary).reset(ATTEMPT_DEADLINE, 2)),
        (Outcome::Reset, Code::Internal)
    );
}

#[test]
fn non_grpc_response_is_mapped_by_its_http_status() {
    let rows = [
        (401, "text/html", Outcome::Error, Code::Unauthenticated),
        (404, "text/html", Outcome::Error, Code::Unimplemented),
        (503, "application/grpc", Outcome::Error, Code::Unavailable),
        (200, "text/html", Outcome::Error, Code::Unknown),
        (200, "application/grpcx", Outcome::Error, Code::Unknown),
        (200, "application/json", Outcome::Error, Code::Unknown),
    ];
    for (status, content_type, outcome, code) in rows {
        let end = sent_attempt(Shape::Unary).head(
            1.0,
            status,
            &headers(&[("content-type", content_type)]),
            false,
        );
        assert_eq!(
            outcome_and_code(end),
            (outcome, code),
            "{status} {content_type}"
        );
    }
    let status_missing = sent_attempt(Shape::Unary).head(1.0, 200, &response_head(), true);
    assert_eq!(
        outcome_and_code(status_missing),
        (Outcome::Reset, Code::Unknown),
        "a head that ends the stream without a status"
    );
    assert_eq!(
        outcome_and_code(responding_attempt(Shape::Unary, &message()).ended_without_status()),
        (Outcome::Reset, Code::Unknown)
    );
    let without_status =
        responding_attempt(Shape::Unary, &message()).trailers(1.0, &headers(&[("x", "1")]));
    assert_eq!(
        outcome_and_code(without_status),
        (Outcome::Reset, Code::Unknown)
    );
    for content_type in [
        "application/grpc",
        "Application/gRPC",
        "application/grpc+json",
        "application/grpc;a=b",
    ] {
        assert_eq!(
            sent_attempt(Shape::Unary).head(
                1.0,
                200,
                &headers(&[("content-type", content_type)]),
                false
            ),
            None,
            "{content_type}"
        );
    }
}

#[test]
fn end_is_reported_once() {
    let mut attempt = responding_attempt(Shape::Unary, &message());
    assert!(attempt
        .trailers(1.0, &headers(&[("grpc-status", "0")]))
        .is_some());
    assert_eq!(
        attempt.reset(2.0, 0),
        None,
        "NO_ERROR after the trailers (RFC 9113, 8.1)"
    );
    assert_eq!(
        (
            attempt.lost(),
            attempt.timed_out(),
            attempt.ended_without_status(),
            attempt.unprocessed()
        ),
        (None, None, None, None)
    );
    assert_eq!(
        attempt.trailers(3.0, &headers(&[("grpc-status", "13")])),
        None
    );
    assert_eq!(
        (
            attempt.data(&[9]),
            attempt.head(3.0, 500, &headers(&[]), true)
        ),
        (None, None)
    );
}
