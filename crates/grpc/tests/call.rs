//! What a client may see of a call, step by step.

use bytes::Bytes;
use http::HeaderMap;
use maplefall_grpc::{
    Call, Closed, Code, End, Output, Result as Ended, Shape, GRPC_STATUS, PUSHBACK,
};
use maplefall_policy::Outcome;

const DEADLINE: f64 = 1000.0;
const HELD: usize = 10;

fn call(shape: Shape) -> Call {
    Call::new(shape, DEADLINE, HELD)
}

fn told(outputs: &[Output]) -> String {
    let letter = |output: &Output| match output {
        Output::Commit => 'c',
        Output::Head(_) => 'h',
        Output::Data(_) => 'd',
        Output::Final(Ended::Served, _) => 'S',
        Output::Final(Ended::Refused, _) => 'R',
        Output::Final(Ended::Failed, _) => 'F',
    };
    outputs.iter().map(letter).collect()
}

/// The status of the last output.
fn status(outputs: &[Output]) -> (Code, Option<&str>) {
    match outputs.last() {
        Some(Output::Final(_, trailers)) => {
            let code = Code::from_wire(trailers[GRPC_STATUS].as_bytes());
            (
                code,
                trailers.get(PUSHBACK).and_then(|told| told.to_str().ok()),
            )
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_unary_answer_is_held_until_it_is_served_and_no_longer_than_there_is_room() {
    let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
    let first = call.begin().unwrap();
    call.head(first, HeaderMap::new(), &mut outputs);
    call.data(first, Bytes::from_static(b"0123456789"), &mut outputs);
    assert_eq!(told(&outputs), "", "there may be another attempt");
    call.data(first, Bytes::from_static(b"0"), &mut outputs);
    assert_eq!(told(&outputs), "chdd");
    assert!(call.committed());
    assert_eq!(
        call.begin(),
        Err(Closed),
        "what has been seen cannot be taken back"
    );
}

#[test]
fn a_stream_is_committed_by_its_first_message_and_one_both_ways_by_its_head() {
    for (shape, at_head, at_data) in [
        (Shape::Unary, "", ""),
        (Shape::ClientStream, "", ""),
        (Shape::ServerStream, "", "chd"),
        (Shape::Bidi, "ch", "chd"),
    ] {
        let (mut call, mut outputs) = (call(shape), Vec::new());
        let first = call.begin().unwrap();
        call.head(first, HeaderMap::new(), &mut outputs);
        assert_eq!(told(&outputs), at_head, "{shape:?}");
        call.data(first, Bytes::from_static(b"1"), &mut outputs);
        assert_eq!(told(&outputs), at_data, "{shape:?}");
    }
}

#[test]
fn nothing_is_seen_of_an_attempt_that_another_took_the_place_of() {
    let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
    let first = call.begin().unwrap();
    call.head(first, HeaderMap::new(), &mut outputs);
    call.data(first, Bytes::from_static(b"one"), &mut outputs);
    call.ended(
        first,
        End::new(Outcome::Reset, Code::Internal, "cut"),
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
    assert_eq!(told(&outputs), "hdS");
    assert_eq!(outputs[1], Output::Data(Bytes::from_static(b"two")));
}

#[test]
fn a_call_has_one_end_whatever_is_said_then() {
    let (mut call, mut outputs) = (call(Shape::ServerStream), Vec::new());
    let first = call.begin().unwrap();
    call.refuse(Some(120.4), &mut outputs);
    assert_eq!(status(&outputs), (Code::Unavailable, Some("121")));
    call.fail(0.0, &mut outputs);
    call.serve(&mut outputs);
    call.refuse(None, &mut outputs);
    call.turn_down(Code::Internal, "", &mut outputs);
    call.head(first, HeaderMap::new(), &mut outputs);
    call.data(first, Bytes::from_static(b"1"), &mut outputs);
    call.commit(&mut outputs);
    assert_eq!((told(&outputs).as_str(), call.begin()), ("R", Err(Closed)));
    // Nobody is told anything once the client has gone.
    let (mut gone, mut outputs) = (self::call(Shape::Unary), Vec::new());
    gone.begin().unwrap();
    gone.gone();
    gone.fail(0.0, &mut outputs);
    assert_eq!((outputs.len(), gone.begin()), (0, Err(Closed)));
}

#[test]
fn a_failure_says_what_it_knows_and_invites_nobody() {
    let failed = |end: Option<End>, now| {
        let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
        let first = call.begin().unwrap();
        if let Some(end) = end {
            let trailers = maplefall_grpc::status_trailers(end.code, "its own word");
            call.ended(first, end, trailers);
        }
        call.fail(now, &mut outputs);
        assert_eq!(told(&outputs), "F");
        let (code, pushback) = status(&outputs);
        assert_eq!(pushback, Some("-1"));
        code
    };
    let end = |code| Some(End::new(Outcome::Error, code, ""));
    assert_eq!(
        failed(None, 10.0),
        Code::DeadlineExceeded,
        "an attempt was cut off: its time was over"
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

/// Guards memory against a backend that sends frames with nothing in them for ever.
#[test]
fn empty_frames_are_neither_held_nor_passed_on() {
    for shape in [Shape::Unary, Shape::Bidi] {
        let (mut call, mut outputs) = (call(shape), Vec::new());
        let first = call.begin().unwrap();
        call.head(first, HeaderMap::new(), &mut outputs);
        (0..1000).for_each(|_| call.data(first, Bytes::new(), &mut outputs));
        call.commit(&mut outputs);
        assert_eq!(told(&outputs), "ch", "{shape:?}");
    }
}

/// Guards against a status made of nothing: nobody is served whose last attempt did not end well.
#[test]
fn what_did_not_end_well_is_not_served() {
    let (mut call, mut outputs) = (call(Shape::Unary), Vec::new());
    let first = call.begin().unwrap();
    call.ended(
        first,
        End::new(Outcome::Reset, Code::Internal, "cut"),
        HeaderMap::new(),
    );
    call.serve(&mut outputs);
    assert_eq!(
        (told(&outputs).as_str(), status(&outputs).0),
        ("F", Code::Internal)
    );
}
