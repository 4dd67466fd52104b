//! Connections over real sockets, with the clock of the test's own: it stands still while anything can be read or written, and goes
//! on at once when nothing can.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame, encode_frame, Frame, Hello, InstanceUpdates, PROTOCOL_VERSION,
};
use maplefall_control_transport::liveness::{LivenessError, PING_INTERVAL, PONG_TIMEOUT};
use maplefall_control_transport::{
    run_connection, ConnectionError, Event, Handshake, OUTGOING_QUEUE_FRAMES,
};
use std::cell::RefCell;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const BOUND: Duration = Duration::from_millis((PONG_TIMEOUT + PING_INTERVAL) as u64 + 50);

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        ip: "127.0.0.1".into(),
        incarnation: 7,
        ..Hello::default()
    }
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (dialled, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (
        dialled.expect("a connection"),
        accepted.expect("a connection").0,
    )
}

fn queue() -> (mpsc::Sender<Bytes>, mpsc::Receiver<Bytes>) {
    mpsc::channel(OUTGOING_QUEUE_FRAMES)
}

/// Waits for the next frame, by hand.
async fn next(stream: &mut TcpStream, come: &mut BytesMut) -> Frame {
    loop {
        if let Some(frame) = decode_frame(come).expect("frames") {
            return frame;
        }
        assert!(stream.read_buf(come).await.expect("bytes") > 0, "closed");
    }
}

/// Guards both ends of a calm link: it comes up, carries a frame each way, a long one too, and lives.
#[tokio::test(start_paused = true)]
async fn a_calm_link_carries_both_ways_and_lives() {
    let (dialled, accepted) = pair().await;
    let long = Frame::InstanceUpdates(InstanceUpdates {
        ack_number: 3,
        records: vec![big(1 << 20)],
        complete: true,
    });
    let ((to_far, far_queue), (to_near, near_queue)) = (queue(), queue());
    to_far.try_send(encode_frame(long.clone())).expect("room");
    to_far
        .try_send(encode_frame(Frame::InstancesPersisted(1)))
        .expect("room");
    to_near
        .try_send(encode_frame(Frame::InstancesPersisted(2)))
        .expect("room");
    let (near, far) = (RefCell::new(Vec::new()), RefCell::new(Vec::new()));
    let dials = run_connection(dialled, far_queue, Handshake::Initiator(hello()), |event| {
        near.borrow_mut().push(event);
        true
    });
    let accepts = run_connection(accepted, near_queue, Handshake::Acceptor, |event| {
        far.borrow_mut().push(event);
        true
    });
    tokio::select! {
        end = dials => panic!("it ended: {end}"),
        end = accepts => panic!("it ended: {end}"),
        () = tokio::time::sleep(Duration::from_secs(60)) => {}
    }
    assert_eq!(
        near.into_inner(),
        [Event::Up, Event::Frame(Frame::InstancesPersisted(2))]
    );
    let far = far.into_inner();
    let expected = [
        Event::HelloReceived,
        Event::Verified(hello()),
        Event::Frame(long),
        Event::Frame(Frame::InstancesPersisted(1)),
    ];
    assert_eq!(far, expected);
}

fn big(size: usize) -> maplefall_service_registry::InstanceRecord {
    maplefall_service_registry::InstanceRecord {
        id: "x".repeat(size),
        ..maplefall_service_registry::InstanceRecord::default()
    }
}

/// Guards who dials a machine that accepts and then neither reads nor writes: the link never comes up, and ends in time.
#[tokio::test(start_paused = true)]
async fn who_accepts_and_does_nothing_is_known_in_time() {
    let (dialled, _accepted) = pair().await;
    let (_sender, outgoing) = queue();
    let from = Instant::now();
    let end = run_connection(dialled, outgoing, Handshake::Initiator(hello()), |_| {
        panic!("it came up")
    })
    .await;
    assert!(
        matches!(end, ConnectionError::Liveness(LivenessError::Timeout)),
        "{end}"
    );
    assert!(from.elapsed() <= BOUND, "{:?}", from.elapsed());
}

/// Guards who accepts somebody that says nothing.
#[tokio::test(start_paused = true)]
async fn who_dials_and_says_nothing_is_known_in_time() {
    let (_dialled, accepted) = pair().await;
    let (_sender, outgoing) = queue();
    let from = Instant::now();
    let end = run_connection(accepted, outgoing, Handshake::Acceptor, |_| {
        panic!("it came up")
    })
    .await;
    assert!(
        matches!(end, ConnectionError::Liveness(LivenessError::HelloTimeout)),
        "{end}"
    );
    assert!(from.elapsed() <= BOUND, "{:?}", from.elapsed());
}

/// Guards a link that has come up, and whose other end from then on talks and never reads: what it says keeps nothing alive.
#[tokio::test(start_paused = true)]
async fn who_talks_and_never_reads_is_known_in_time() {
    let (dialled, mut far) = pair().await;
    let (_sender, outgoing) = queue();
    let end = run_connection(dialled, outgoing, Handshake::Initiator(hello()), |_| true);
    let talks = async {
        let mut come = BytesMut::new();
        assert!(matches!(next(&mut far, &mut come).await, Frame::Hello(_)));
        far.write_all(&encode_frame(Frame::Ping(1)))
            .await
            .expect("written");
        assert_eq!(next(&mut far, &mut come).await, Frame::Pong(1));
        let from = Instant::now();
        let mut number = 1;
        while from.elapsed() < Duration::from_secs(60) {
            number += 1;
            let talk = [
                encode_frame(Frame::Ping(number)),
                encode_frame(Frame::InstancesPersisted(number)),
            ]
            .concat();
            if far.write_all(&talk).await.is_err() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let from = Instant::now();
    tokio::select! {
        end = end => assert!(matches!(end, ConnectionError::Liveness(LivenessError::Timeout)), "{end}"),
        () = talks => panic!("it lived on"),
    }
    assert!(from.elapsed() <= BOUND, "{:?}", from.elapsed());
}

/// Guards writes that get on by nothing: who answers pings once, then takes nothing more of what fills the connection.
#[tokio::test(start_paused = true)]
async fn who_takes_nothing_is_known_in_time() {
    let (dialled, mut far) = pair().await;
    let (sender, outgoing) = queue();
    for _ in 0..64 {
        sender
            .try_send(encode_frame(Frame::InstanceUpdates(InstanceUpdates {
                records: vec![big(1 << 20)],
                ..InstanceUpdates::default()
            })))
            .expect("room");
    }
    let end = run_connection(dialled, outgoing, Handshake::Initiator(hello()), |_| true);
    let stands = async {
        let mut come = BytesMut::new();
        assert!(matches!(next(&mut far, &mut come).await, Frame::Hello(_)));
        far.write_all(&encode_frame(Frame::Ping(1)))
            .await
            .expect("written");
        std::future::pending::<()>().await;
    };
    let from = Instant::now();
    tokio::select! {
        end = end => assert!(matches!(end, ConnectionError::Liveness(LivenessError::Timeout) | ConnectionError::WriteStalled), "{end}"),
        () = stands => {}
    }
    assert!(from.elapsed() <= BOUND, "{:?}", from.elapsed());
}

/// Guards against strangers: a part that never ends takes no more room than a frame may, and parts that hold no frame end the link.
#[tokio::test(start_paused = true)]
async fn parts_that_make_no_frame_end_the_link() {
    let (mut dialled, accepted) = pair().await;
    let (_sender, outgoing) = queue();
    let part = maplefall_control_messages::Chunk {
        data: Bytes::from_static(&[0, 0, 0, 9, 1]),
        last: true,
    };
    dialled
        .write_all(&encode_frame(Frame::Chunk(part)))
        .await
        .expect("written");
    let end = run_connection(accepted, outgoing, Handshake::Acceptor, |_| {
        panic!("it came up")
    })
    .await;
    assert!(matches!(end, ConnectionError::Frame(_)), "{end}");
}
