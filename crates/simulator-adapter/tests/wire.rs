//! The adapter binary over its pipes, on small handwritten frames.

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

fn start() -> Child {
    Command::new(env!("CARGO_BIN_EXE_maplefall-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts")
}

fn finish(mut child: Child) -> Output {
    drop(child.stdin.take());
    child.wait_with_output().expect("the adapter ends")
}

fn frame(clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = clock
        .to_le_bytes()
        .into_iter()
        .chain(records.concat())
        .collect();
    (body.len() as u32)
        .to_le_bytes()
        .into_iter()
        .chain(body)
        .collect()
}

fn record(code: u16, instance: u32, fields: &[&[u8]]) -> Vec<u8> {
    [
        &code.to_le_bytes()[..],
        &instance.to_le_bytes()[..],
        &fields.concat(),
    ]
    .concat()
}

fn create(instance: u32, settings: &str) -> Vec<u8> {
    record(
        256,
        instance,
        &[
            &7u64.to_le_bytes(),
            &(settings.len() as u32).to_le_bytes(),
            settings.as_bytes(),
        ],
    )
}

fn cached_list(instance: u32) -> Vec<u8> {
    let entry = [
        &[0u8][..],
        &0f64.to_le_bytes(),
        &9u32.to_le_bytes(),
        &[0, 0, 0, 2],
        &1f32.to_le_bytes(),
    ]
    .concat();
    record(
        257,
        instance,
        &[&[2], &1u32.to_le_bytes(), &1u32.to_le_bytes(), &entry],
    )
}

fn request_arrived(instance: u32, id: u32) -> Vec<u8> {
    let (one, zero) = (1f32.to_le_bytes(), 0f32.to_le_bytes());
    let deadline = 5000f64.to_le_bytes();
    let plan = 0u32.to_le_bytes();
    record(
        258,
        instance,
        &[
            &id.to_le_bytes(),
            &one,
            &zero,
            &5u64.to_le_bytes(),
            &deadline,
            &plan,
            &one,
            &[0, 0],
        ],
    )
}

const SETTINGS: &str = "grades.count=1\ngrades.0.aim=1000\ngrades.0.give_up=3000\ngrades.0.idempotency=safe\n\
                     plans.count=1\nplans.0.per_second=5\nplans.0.peak_units=10\ntick=2.0\nsomething.new=1\n";

/// Reads one reply; returns its number of records and its body.
fn reply(child: &mut Child) -> (u32, Vec<u8>) {
    let out = child.stdout.as_mut().expect("a pipe");
    let mut header = [0; 8];
    out.read_exact(&mut header).expect("a reply");
    let length = u32::from_le_bytes(header[..4].try_into().unwrap());
    let mut body = vec![0; length as usize - 4];
    out.read_exact(&mut body).expect("a complete reply");
    (u32::from_le_bytes(header[4..].try_into().unwrap()), body)
}

fn send(child: &mut Child, frame: &[u8]) {
    let input = child.stdin.as_mut().expect("a pipe");
    input
        .write_all(frame)
        .and_then(|()| input.flush())
        .expect("the adapter reads");
}

#[test]
fn a_request_is_forwarded_and_every_batch_gets_one_reply() {
    let mut child = start();
    send(&mut child, &frame(0.0, &[]));
    assert_eq!(reply(&mut child), (0, vec![]));
    let records = [
        create(3, SETTINGS),
        cached_list(3),
        create(4, SETTINGS),
        cached_list(4),
    ];
    send(&mut child, &frame(1.0, &records));
    assert_eq!(reply(&mut child), (0, vec![]));
    send(&mut child, &frame(2.0, &[request_arrived(3, 77)]));
    let (count, body) = reply(&mut child);
    assert_eq!(count, 2);
    assert_eq!(body[..2], 324u16.to_le_bytes()); // a timer before the deadline
    let sent = &body[22..];
    assert_eq!(sent[..2], 320u16.to_le_bytes());
    assert_eq!(
        sent[2..14],
        [3u32.to_le_bytes(), 77u32.to_le_bytes(), 9u32.to_le_bytes()].concat()
    );
    // The same instance, retired and created again in one batch, has no state of request 77.
    let second_batch = [
        record(265, 3, &[]),
        create(3, SETTINGS),
        cached_list(3),
        record(261, 3, &[&77u32.to_le_bytes()]),
    ];
    send(&mut child, &frame(3.0, &second_batch));
    assert_eq!(reply(&mut child), (0, vec![]));
    let output = finish(child);
    assert!(output.status.success());
}

#[test]
fn invalid_settings_are_reported_as_instance_failure() {
    let mut child = start();
    send(&mut child, &frame(1.0, &[create(3, "tick=soon")]));
    let (count, body) = reply(&mut child);
    assert_eq!((count, &body[..2]), (1, &329u16.to_le_bytes()[..]));
    assert!(String::from_utf8_lossy(&body).contains("tick=soon"));
    assert!(finish(child).status.success());
}

#[test]
fn a_truncated_or_malformed_frame_ends_the_adapter_with_an_error() {
    let cases: [(Vec<u8>, &str); 3] = [
        (vec![40, 0, 0, 0, 1, 2], "truncated frame"),
        (
            frame(1.0, &[record(999, 1, &[])]),
            "code 999: unknown event code",
        ),
        (frame(1.0, &[record(262, 1, &[&[1, 2]])]), "overruns"),
    ];
    for (bytes, expected) in cases {
        let mut child = start();
        send(&mut child, &bytes);
        let output = finish(child);
        assert!(!output.status.success());
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(expected), "{text}");
        assert_eq!(text.lines().count(), 1);
    }
}
