//! What a client receives, for any sizes of chunks and windows and any time at which the response
//! ends or the deadline passes.

use bytes::Bytes;
use http::HeaderMap;
use maplefall_grpc::frames::{prefix, Frames};
use maplefall_grpc::{CallResult, NextOutput, Output, ResponseQueue, GRPC_STATUS};
use proptest::prelude::*;

const MAX_BYTES: usize = 100;

/// A message of this length with its prefix; each byte is the message's number.
fn message(number: u8, length: usize) -> Vec<u8> {
    let mut message = prefix(length as u32).to_vec();
    message.extend(std::iter::repeat_n(number, length));
    message
}

fn push_data(queue: &mut ResponseQueue, bytes: &[u8]) {
    queue.push(Output::Data(Bytes::copy_from_slice(bytes)));
}

fn status(result: CallResult) -> Output {
    Output::Final(result, HeaderMap::new())
}

/// Takes all outputs, at most `window` bytes at a time.
fn drain(queue: &mut ResponseQueue, window: usize) -> (Vec<u8>, Option<CallResult>) {
    let (mut bytes, mut result) = (Vec::new(), None);
    while queue.next().is_some() {
        match queue.take(window) {
            Some(Output::Data(data)) => bytes.extend(data),
            Some(Output::Final(final_result, _)) => result = Some(final_result),
            _ => {}
        }
    }
    (bytes, result)
}

/// Guards against losing queued messages when a stream breaks: they are sent before the status.
/// Seen: a gateway that read messages and a reset at once sent only the status.
#[test]
fn queued_messages_are_sent_before_the_status() {
    for result in [CallResult::Served, CallResult::Rejected, CallResult::Failed] {
        let mut queue = ResponseQueue::new(MAX_BYTES);
        queue.push(Output::Head(HeaderMap::new()));
        push_data(&mut queue, &message(1, 10));
        push_data(&mut queue, &message(2, 10));
        queue.push(status(result));
        let expected = [message(1, 10), message(2, 10)].concat();
        assert_eq!(drain(&mut queue, 7), (expected, Some(result)));
    }
}

#[test]
fn message_is_sent_once_it_is_complete() {
    let mut queue = ResponseQueue::new(MAX_BYTES);
    let (first, second) = (message(1, 10), message(2, 20));
    push_data(&mut queue, &[&first[..], &second[..8]].concat());
    assert_eq!(queue.next(), Some(NextOutput::Data(first.len())));
    assert_eq!(drain(&mut queue, 100), (first, None));
    assert_eq!(queue.next(), None);
    push_data(&mut queue, &second[8..]);
    assert_eq!(drain(&mut queue, 100), (second, None));
}

/// Guards against a full queue that waits for the rest of a message while nothing more is received.
#[test]
fn message_longer_than_the_queue_is_sent_in_chunks() {
    let mut queue = ResponseQueue::new(MAX_BYTES);
    let long = message(1, 3 * MAX_BYTES);
    let mut sent = Vec::new();
    for chunk in long.chunks(60) {
        assert!(!queue.is_full(), "a full queue would stop receiving");
        push_data(&mut queue, chunk);
        sent.extend(drain(&mut queue, 1000).0);
    }
    assert_eq!(sent, long);
}

/// Guards against a status that waits for a client that does not read, and against counting its
/// truncated response as served.
#[test]
fn status_does_not_wait_for_messages_after_the_deadline() {
    let mut queue = ResponseQueue::new(MAX_BYTES);
    push_data(&mut queue, &message(1, 10));
    queue.push(status(CallResult::Served));
    queue.take(4);
    queue.expire();
    let Some(Output::Final(CallResult::Failed, trailers)) = queue.take(4) else {
        panic!("no status");
    };
    assert_eq!(trailers[GRPC_STATUS], "4");
    assert_eq!(queue.next(), None);
}

#[test]
fn completely_taken_response_keeps_its_status_after_the_deadline() {
    let mut queue = ResponseQueue::new(MAX_BYTES);
    push_data(&mut queue, &message(1, 10));
    queue.push(status(CallResult::Served));
    queue.take(100);
    queue.expire();
    assert_eq!(queue.take(4), Some(status(CallResult::Served)));
}

proptest! {
    /// Guards against lost, reordered or truncated messages: the client receives a prefix of the
    /// backend's bytes with every complete message, and a truncated message only if the message is
    /// longer than the queue.
    #[test]
    fn client_receives_every_complete_message_and_no_truncated_short_one(
        lengths in proptest::collection::vec(0usize..60, 0..8),
        chunk_sizes in proptest::collection::vec(1usize..50, 1..40),
        windows in proptest::collection::vec(0usize..40, 1..40),
        end in 0usize..400,
        served: bool,
    ) {
        let messages: Vec<Vec<u8>> = lengths.iter().enumerate().map(|(n, length)| message(n as u8, *length)).collect();
        let stream = messages.concat();
        let received = if served { &stream[..] } else { &stream[..end.min(stream.len())] };
        let mut queue = ResponseQueue::new(MAX_BYTES);
        let (mut sent, mut position) = (Vec::new(), 0);
        let (mut chunk_sizes, mut windows) = (chunk_sizes.iter().cycle(), windows.iter().cycle());
        while position < received.len() {
            if !queue.is_full() {
                let to = (position + chunk_sizes.next().unwrap()).min(received.len());
                push_data(&mut queue, &received[position..to]);
                position = to;
            }
            let window = *windows.next().unwrap();
            if window > 0 || queue.is_full() {
                if let Some(Output::Data(data)) = queue.take(window.max(1)) {
                    sent.extend(data);
                }
            }
        }
        queue.push(status(if served { CallResult::Served } else { CallResult::Failed }));
        let (rest, result) = drain(&mut queue, 13);
        sent.extend(rest);
        prop_assert!(result.is_some());
        prop_assert_eq!(&received[..sent.len()], &sent[..]);
        let mut frames = Frames::default();
        frames.take(&sent).unwrap();
        let mut received_frames = Frames::default();
        received_frames.take(received).unwrap();
        prop_assert_eq!(frames.messages(), received_frames.messages());
        prop_assert!(!frames.in_message() || frames.bytes_in_message() + MAX_BYTES >= 60);
        if served {
            prop_assert_eq!(sent.len(), received.len());
        }
    }
}
