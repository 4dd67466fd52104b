//! Frames, however they come, and what is none.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame, encode_frame, Frame, FrameError, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use quickcheck::{Gen, QuickCheck};

fn hello() -> Frame {
    Frame::Hello(Hello {
        version: PROTOCOL_VERSION,
        ip: "10.0.0.1".into(),
        incarnation: 7,
        ..Hello::default()
    })
}

/// Guards against reads that end anywhere.
#[test]
fn frames_come_whole_wherever_they_are_cut() {
    let bytes = [
        encode_frame(hello()),
        encode_frame(Frame::Ping(3)),
        encode_frame(hello()),
    ]
    .concat();
    for cut in 0..=bytes.len() {
        let (mut come, mut got) = (BytesMut::new(), Vec::new());
        for part in [&bytes[..cut], &bytes[cut..]] {
            come.extend_from_slice(part);
            while let Some(frame) = decode_frame(&mut come).expect("frames") {
                got.push(frame);
            }
        }
        assert_eq!(got, [hello(), Frame::Ping(3), hello()], "cut at {cut}");
    }
}

/// Guards against strangers on an internal port: no panic, and no room taken for a length that is only told.
#[test]
fn what_is_no_frame_is_told() {
    let mut long = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert_eq!(
        decode_frame(&mut long),
        Err(FrameError::TooLong(MAX_FRAME_BYTES + 1))
    );
    assert!(matches!(
        decode_frame(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n\r\n"[..])),
        Err(FrameError::TooLong(_))
    ));
    fn survives(bytes: Vec<u8>) -> bool {
        let mut come = BytesMut::from(Bytes::from(bytes).as_ref());
        while let Ok(Some(_)) = decode_frame(&mut come) {}
        true
    }
    println!("seed 3");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2000)
        .quickcheck(survives as fn(Vec<u8>) -> bool);
}
