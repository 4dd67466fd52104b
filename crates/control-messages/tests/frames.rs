//! Frames, however they come, and what is none.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{read, write, Broken, Frame, Hello, LONGEST, VERSION};
use quickcheck::{Gen, QuickCheck};

fn hello() -> Frame {
    Frame::Hello(Hello {
        version: VERSION,
        ip: "10.0.0.1".into(),
        life: 7,
        ..Hello::default()
    })
}

/// Guards against reads that end anywhere.
#[test]
fn frames_come_whole_wherever_they_are_cut() {
    let bytes = [write(hello()), write(Frame::Ping(3)), write(hello())].concat();
    for cut in 0..=bytes.len() {
        let (mut come, mut got) = (BytesMut::new(), Vec::new());
        for part in [&bytes[..cut], &bytes[cut..]] {
            come.extend_from_slice(part);
            while let Some(frame) = read(&mut come).expect("frames") {
                got.push(frame);
            }
        }
        assert_eq!(got, [hello(), Frame::Ping(3), hello()], "cut at {cut}");
    }
}

/// Guards against strangers on an internal port: no panic, and no room taken for a length that is only told.
#[test]
fn what_is_no_frame_is_told() {
    let mut long = BytesMut::from(&(LONGEST as u32 + 1).to_be_bytes()[..]);
    assert_eq!(read(&mut long), Err(Broken::TooLong(LONGEST + 1)));
    assert!(matches!(
        read(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n\r\n"[..])),
        Err(Broken::TooLong(_))
    ));
    fn survives(bytes: Vec<u8>) -> bool {
        let mut come = BytesMut::from(Bytes::from(bytes).as_ref());
        while let Ok(Some(_)) = read(&mut come) {}
        true
    }
    println!("seed 3");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2000)
        .quickcheck(survives as fn(Vec<u8>) -> bool);
}
