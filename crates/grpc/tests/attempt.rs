//! What an attempt comes to where status, transport and time say different things: a row for each case.

use http::{HeaderMap, HeaderName, HeaderValue};
use maplefall_grpc::frames::prefix;
use maplefall_grpc::{Attempt, Code, End, Shape, CANCEL, REFUSED_STREAM};
use maplefall_policy::Outcome;

const UNTIL: f64 = 500.0;
const DEADLINE: f64 = 1000.0;

fn map(lines: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(
            name.parse::<HeaderName>().unwrap(),
            HeaderValue::from_str(value).unwrap(),
        );
    }
    map
}

fn head() -> HeaderMap {
    map(&[("content-type", "application/grpc+proto")])
}

fn message() -> Vec<u8> {
    [&prefix(3)[..], b"abc"].concat()
}

/// One whose head has gone out.
fn sent(shape: Shape) -> Attempt {
    let mut attempt = Attempt::new(shape, UNTIL, DEADLINE);
    attempt.sent();
    attempt
}

/// One whose answer has begun, with these bytes of messages.
fn answering(shape: Shape, data: &[u8]) -> Attempt {
    let mut attempt = sent(shape);
    assert_eq!(attempt.head(1.0, 200, &head(), false), None);
    assert_eq!(attempt.data(data), None);
    attempt
}

fn told(end: Option<End>) -> (Outcome, Code) {
    let end = end.expect("an end");
    (end.outcome, end.code)
}

#[test]
fn a_status_counts_with_what_came_before_it() {
    let cut = &message()[..5];
    let two = [message(), message()].concat();
    let rows: [(Shape, &[u8], &str, Outcome, Code); 12] = [
        (Shape::Unary, &message(), "0", Outcome::Ok, Code::Ok),
        (Shape::Unary, &[], "0", Outcome::Error, Code::Internal),
        (Shape::Unary, cut, "0", Outcome::Reset, Code::Internal),
        (
            Shape::ServerStream,
            cut,
            "0",
            Outcome::Reset,
            Code::Internal,
        ),
        (
            Shape::ServerStream,
            cut,
            "5",
            Outcome::Reset,
            Code::Internal,
        ),
        (Shape::ServerStream, &two, "0", Outcome::Ok, Code::Ok),
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
        let end = answering(shape, data).trailers(10.0, &map(&[("grpc-status", status)]));
        assert_eq!(told(end), (outcome, code), "{shape:?} {data:?} {status}");
    }
}

#[test]
fn a_unary_answer_has_one_message() {
    let mut attempt = answering(Shape::Unary, &message());
    assert_eq!(
        told(attempt.data(&[0])),
        (Outcome::Reset, Code::Internal),
        "a second one begins"
    );
    let mut attempt = answering(Shape::Unary, &[]);
    assert_eq!(
        told(attempt.data(&[9, 0, 0])),
        (Outcome::Reset, Code::Internal),
        "no message at all"
    );
}

#[test]
fn a_deadline_that_is_over_goes_before_any_status() {
    for status in ["0", "5", "14"] {
        let trailers = map(&[("grpc-status", status), ("not-started", "1")]);
        let late = answering(Shape::Unary, &message()).trailers(DEADLINE, &trailers);
        assert_eq!(
            told(late),
            (Outcome::Timeout, Code::DeadlineExceeded),
            "{status}"
        );
        let late = sent(Shape::Unary).head(DEADLINE, 200, &trailers, true);
        assert_eq!(
            told(late),
            (Outcome::Timeout, Code::DeadlineExceeded),
            "{status}"
        );
        let in_time = answering(Shape::Unary, &message()).trailers(DEADLINE - 0.1, &trailers);
        assert_ne!(told(in_time).0, Outcome::Timeout, "{status}");
    }
}

/// The only words that are believed of what may run twice.
#[test]
fn that_nothing_ran_is_believed_of_few() {
    let turned_away = [("grpc-status", "14"), ("not-started", "1")];
    let believed = [
        sent(Shape::Unary).reset(1.0, REFUSED_STREAM),
        sent(Shape::Unary).unprocessed(),
        sent(Shape::Unary).head(1.0, 200, &map(&turned_away), true),
        sent(Shape::Unary).head(1.0, 503, &map(&[("not-started", "1")]), false),
        Attempt::new(Shape::Unary, UNTIL, DEADLINE).lost(),
        Attempt::new(Shape::Unary, UNTIL, DEADLINE).unreachable(),
        Attempt::new(Shape::Unary, UNTIL, DEADLINE).timed_out(),
    ];
    for end in believed {
        let end = end.expect("an end");
        assert!(end.never_ran(), "{end:?}");
    }
    let not_believed = [
        sent(Shape::Unary).head(1.0, 200, &map(&turned_away[..1]), true),
        sent(Shape::Unary).head(
            1.0,
            200,
            &map(&[("grpc-status", "13"), ("not-started", "1")]),
            true,
        ),
        sent(Shape::Unary).head(
            1.0,
            200,
            &map(&[("grpc-status", "14"), ("not-started", "yes")]),
            true,
        ),
        sent(Shape::Unary).head(1.0, 503, &map(&[]), false),
        sent(Shape::Unary).head(1.0, 500, &map(&[("not-started", "1")]), false),
        sent(Shape::Unary).lost(),
        sent(Shape::Unary).timed_out(),
        sent(Shape::Unary).reset(1.0, CANCEL),
        sent(Shape::Unary).reset(1.0, 0),
        answering(Shape::Unary, &[]).reset(1.0, REFUSED_STREAM),
        answering(Shape::Unary, &[]).unprocessed(),
        answering(Shape::ServerStream, &message()).trailers(1.0, &map(&turned_away)),
    ];
    for (row, end) in not_believed.into_iter().enumerate() {
        let end = end.expect("an end");
        assert!(!end.never_ran(), "row {row}: {end:?}");
    }
}

#[test]
fn a_reset_at_the_end_of_its_time_is_a_time_out() {
    assert_eq!(
        told(sent(Shape::Unary).reset(UNTIL, CANCEL)),
        (Outcome::Timeout, Code::DeadlineExceeded)
    );
    assert_eq!(
        told(sent(Shape::Unary).reset(UNTIL - 1.0, CANCEL)),
        (Outcome::Reset, Code::Cancelled)
    );
    assert_eq!(
        told(sent(Shape::Unary).reset(UNTIL, 2)),
        (Outcome::Reset, Code::Internal)
    );
}

#[test]
fn what_is_no_answer_of_grpc_is_told_by_its_http_status() {
    let rows = [
        (401, "text/html", Outcome::Error, Code::Unauthenticated),
        (404, "text/html", Outcome::Error, Code::Unimplemented),
        (503, "application/grpc", Outcome::Error, Code::Unavailable),
        (200, "text/html", Outcome::Error, Code::Unknown),
        (200, "application/grpcx", Outcome::Error, Code::Unknown),
        (200, "application/json", Outcome::Error, Code::Unknown),
    ];
    for (status, kind, outcome, code) in rows {
        let end = sent(Shape::Unary).head(1.0, status, &map(&[("content-type", kind)]), false);
        assert_eq!(told(end), (outcome, code), "{status} {kind}");
    }
    let bare = sent(Shape::Unary).head(1.0, 200, &head(), true);
    assert_eq!(
        told(bare),
        (Outcome::Reset, Code::Unknown),
        "neither message nor status"
    );
    assert_eq!(
        told(answering(Shape::Unary, &message()).ended_bare()),
        (Outcome::Reset, Code::Unknown)
    );
    let none = answering(Shape::Unary, &message()).trailers(1.0, &map(&[("x", "1")]));
    assert_eq!(told(none), (Outcome::Reset, Code::Unknown));
    for kind in [
        "application/grpc",
        "Application/gRPC",
        "application/grpc+json",
        "application/grpc;a=b",
    ] {
        assert_eq!(
            sent(Shape::Unary).head(1.0, 200, &map(&[("content-type", kind)]), false),
            None,
            "{kind}"
        );
    }
}

#[test]
fn an_end_is_told_once() {
    let mut attempt = answering(Shape::Unary, &message());
    assert!(attempt
        .trailers(1.0, &map(&[("grpc-status", "0")]))
        .is_some());
    assert_eq!(
        attempt.reset(2.0, 0),
        None,
        "NO_ERROR behind the trailers (RFC 9113, 8.1)"
    );
    assert_eq!(
        (
            attempt.lost(),
            attempt.timed_out(),
            attempt.ended_bare(),
            attempt.unprocessed()
        ),
        (None, None, None, None)
    );
    assert_eq!(attempt.trailers(3.0, &map(&[("grpc-status", "13")])), None);
    assert_eq!(
        (attempt.data(&[9]), attempt.head(3.0, 500, &map(&[]), true)),
        (None, None)
    );
}
