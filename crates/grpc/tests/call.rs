//! What a client receives for a call, step by step.

use bytes::Bytes;
use http::HeaderMap;
use maplefall_grpc::{
    Call, CallResult, Closed, Code, End, Output, Shape, GRPC_STATUS, RETRY_PUSHBACK,
};
use maplefall_policy::Outcome;

const DEADLINE: f64 = 1000.0;
const MAX_BUFFERED_BYTES: usize = 10;

fn call(shape: Shape) -> Call {
    Call::new(shape, DEADLINE, MAX_BUFFERED_BYTES)
}

fn summary(outputs: &[Output]) -> String {
    let letter = |output: &Output| match output {
        Output::Commit => 'c',
        Output::Head(_) => 'h',
        Output::Data(_) => 'd',
        Output::Final(CallResult::Served, _) => 'S',
        Output::Final(CallResult::Rejected, _) => 'R',
        Output::Final(CallResult::Failed, _) => 'F',
    };
    outputs.iter().map(letter).collect()
}

/// Status and pushback of the last output.
fn status(outputs: &[Output]) -> (Code, Option<&str>) {
    match outputs.last() {
        Some(Output::Final(_, trailers)) => {
            let code = Code::from_wire(trailers[GRPC_STATUS].as_bytes());
            (
                code,
                trailers
                    .get(RETRY_PUSHBACK)
                    .and_then(|value| value.to_str().ok()),
            )
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn unary_response_is_buffered_until_served_or_over_the_limit() {
    let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
    let first = call.begin().unwrap();
    call.head(first, HeaderMap::new(), &mut outputs);
    call.data(first, Bytes::from_static(b"0123456789"), &mut outputs);
    assert_eq!(summary(&outputs), "", "there may be another attempt");
    call.data(first, Bytes::from_static(b"0"), &mut outputs);
    assert_eq!(summary(&outputs), "chdd");
    assert!(call.committed());
    assert_eq!(
        call.begin(),
        Err(Closed),
        "a committed call has no further attempt"
    );
}

#[test]
fn server_streams_commit_at_the_first_message_and_bidi_at_the_head() {
    for (shape, at_head, at_data) in [
        (Shape::Unary, "", ""),
        (Shape::ClientStream, "", ""),
        (Shape::ServerStream, "", "chd"),
        (Shape::Bidi, "ch", "chd"),
    ] {
        let (mut call, mut outputs) = (call(shape), Vec::new());
        let first = call.begin().unwrap();
        call.head(first, HeaderMap::new(), &mut outputs);
        assert_eq!(summary(&outputs), at_head, "{shape:?}");
        call.data(first, Bytes::from_static(b"1"), &mut outputs);
        assert_eq!(summary(&outputs), at_data, "{shape:?}");
    }
}

#[test]
fn replaced_attempt_is_never_visible_to_the_client() {
    let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
    let first = call.begin().unwrap();
    call.head(first, HeaderMap::new(), &mut outputs);
    call.data(first, Bytes::from_static(b"one"), &mut outputs);
    call.ended(
        first,
        End::new(Outcome::Reset, Code::Internal, "truncated"),
        HeaderMap::new(),
    );
    let second = call.begin().unwrap();
    call.data(first, Bytes::from_static(b"late"), &mut outputs);
    call.head(second, HeaderMap::new(), &mut outputs);
    call.data(second, Bytes::from_static(b"two"), &mut outputs);
    call.ended(
        second,
        End::new(Outcome::Ok, Code::Ok, ""),
        maplefall_grpc::status_trailers(Code::Ok, ""),
    );
    call.serve(&mut outputs);
    assert_eq!(summary(&outputs), "hdS");
    assert_eq!(outputs[1], Output::Data(Bytes::from_static(b"two")));
}

#[test]
fn call_has_one_final_status() {
    let (mut call, mut outputs) = (call(Shape::ServerStream), Vec::new());
    let first = call.begin().unwrap();
    call.reject(Some(120.4), &mut outputs);
    assert_eq!(status(&outputs), (Code::Unavailable, Some("121")));
    call.fail(0.0, &mut outputs);
    call.serve(&mut outputs);
    call.reject(None, &mut outputs);
    call.fail_with_status(Code::Internal, "", &mut outputs);
    call.head(first, HeaderMap::new(), &mut outputs);
    call.data(first, Bytes::from_static(b"1"), &mut outputs);
    call.commit(&mut outputs);
    assert_eq!(
        (summary(&outputs).as_str(), call.begin()),
        ("R", Err(Closed))
    );
    // Nothing is sent after the client cancelled the call.
    let (mut cancelled, mut outputs) = (self::call(Shape::Unary), Vec::new());
    cancelled.begin().unwrap();
    cancelled.cancel();
    cancelled.fail(0.0, &mut outputs);
    assert_eq!((outputs.len(), cancelled.begin()), (0, Err(Closed)));
}

#[test]
fn failed_call_carries_no_status_that_clients_retry() {
    let failed = |end: Option<End>, now| {
        let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
        let first = call.begin().unwrap();
        if let Some(end) = end {
            let trailers = maplefall_grpc::status_trailers(end.code, "message of the backend");
            call.ended(first, end, trailers);
        }
        call.fail(now, &mut outputs);
        assert_eq!(summary(&outputs), "F");
        let (code, pushback) = status(&outputs);
        assert_eq!(pushback, Some("-1"));
        code
    };
    let end = |code| Some(End::new(Outcome::Error, code, ""));
    assert_eq!(
        failed(None, 10.0),
        Code::DeadlineExceeded,
        "an attempt was still in flight: the deadline expired"
    );
    assert_eq!(failed(end(Code::Internal), 10.0), Code::Internal);
    assert_eq!(
        failed(end(Code::Internal), DEADLINE),
        Code::DeadlineExceeded
    );
    for code in [Code::Unavailable, Code::ResourceExhausted, Code::Aborted] {
        assert_eq!(failed(end(code), 10.0), Code::Unknown, "{code:?}");
    }
}

/// Guards memory against a backend that sends an endless series of empty frames.
#[test]
fn empty_frames_are_neither_buffered_nor_forwarded() {
    for shape in [Shape::Unary, Shape::Bidi] {
        let (mut call, mut outputs) = (call(shape), Vec::new());
        let first = call.begin().unwrap();
        call.head(first, HeaderMap::new(), &mut outputs);
        (0..1000).for_each(|_| call.data(first, Bytes::new(), &mut outputs));
        call.commit(&mut outputs);
        assert_eq!(summary(&outputs), "ch", "{shape:?}");
    }
}

/// Guards against an invented status: a call is served only by an attempt that succeeded.
#[test]
fn only_a_successful_attempt_is_served() {
    let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
    let first = call.begin().unwrap();
    call.ended(
        first,
        End::new(Outcome::Reset, Code::Internal, "truncated"),
        HeaderMap::new(),
    );
    call.serve(&mut outputs);
    assert_eq!(
        (summary(&outputs).as_str(), status(&outputs).0),
        ("F", Code::Internal)
    );
}
