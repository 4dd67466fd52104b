//! Tests of decoding frames from any sequence of reads, and bytes that are not frames.

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

/// Guards against frames that are lost or corrupt because a read ended in the middle of a frame.
#[test]
fn frames_are_decoded_wherever_a_read_ends() {
    let bytes = [
        encode_frame(hello()),
        encode_frame(Frame::Ping(3)),
        encode_frame(hello()),
    ]
    .concat();
    for end in 0..=bytes.len() {
        let (mut received, mut frames) = (BytesMut::new(), Vec::new());
        for read in [&bytes[..end], &bytes[end..]] {
            received.extend_from_slice(read);
            while let Some(frame) = decode_frame(&mut received).expect("frames") {
                frames.push(frame);
            }
        }
        assert_eq!(
            frames,
            [hello(), Frame::Ping(3), hello()],
            "read up to {end}"
        );
    }
}

/// Guards against foreign clients on an internal port: their bytes cause no panic, and no memory is
/// allocated for a length that is only announced.
#[test]
fn bytes_that_are_not_a_frame_are_rejected() {
    let mut too_long = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert_eq!(
        decode_frame(&mut too_long),
        Err(FrameError::TooLong(MAX_FRAME_BYTES + 1))
    );
    assert!(matches!(
        decode_frame(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n\r\n"[..])),
        Err(FrameError::TooLong(_))
    ));
    fn does_not_panic(bytes: Vec<u8>) -> bool {
        let mut received = BytesMut::from(Bytes::from(bytes).as_ref());
        while let Ok(Some(_)) = decode_frame(&mut received) {}
        true
    }
    println!("seed 3");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2000)
        .quickcheck(does_not_panic as fn(Vec<u8>) -> bool);
}
