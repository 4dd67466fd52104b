//! Tests of connections over real sockets with a paused clock: time does not advance while anything
//! can be read or written, and advances at once when nothing can.

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

/// Time within which both ends detect a dead connection.
const DETECTION_BOUND: Duration = Duration::from_millis((PONG_TIMEOUT + PING_INTERVAL) as u64 + 50);

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        ip: "127.0.0.1".into(),
        incarnation: 7,
        ..Hello::default()
    }
}

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let (initiator, acceptor) = tokio::join!(TcpStream::connect(address), listener.accept());
    (
        initiator.expect("a connection"),
        acceptor.expect("a connection").0,
    )
}

fn queue() -> (mpsc::Sender<Bytes>, mpsc::Receiver<Bytes>) {
    mpsc::channel(OUTGOING_QUEUE_FRAMES)
}

/// Reads the next frame from a stream without [`run_connection`] at this end.
async fn read_frame(stream: &mut TcpStream, received: &mut BytesMut) -> Frame {
    loop {
        if let Some(frame) = decode_frame(received).expect("frames") {
            return frame;
        }
        assert!(
            stream.read_buf(received).await.expect("bytes") > 0,
            "closed"
        );
    }
}

/// Guards against faults on a working connection: it is established, carries frames both ways,
/// including a chunked one, and stays up.
#[tokio::test(start_paused = true)]
async fn a_working_connection_carries_frames_both_ways_and_stays_up() {
    let (initiator, acceptor) = connected_pair().await;
    let long = Frame::InstanceUpdates(InstanceUpdates {
        ack_number: 3,
        records: vec![record_of_size(1 << 20)],
        complete: true,
    });
    let ((to_acceptor, initiator_queue), (to_initiator, acceptor_queue)) = (queue(), queue());
    to_acceptor
        .try_send(encode_frame(long.clone()))
        .expect("queue has capacity");
    to_acceptor
        .try_send(encode_frame(Frame::InstancesPersisted(1)))
        .expect("queue has capacity");
    to_initiator
        .try_send(encode_frame(Frame::InstancesPersisted(2)))
        .expect("queue has capacity");
    let (at_initiator, at_acceptor) = (RefCell::new(Vec::new()), RefCell::new(Vec::new()));
    let initiator_end = run_connection(
        initiator,
        initiator_queue,
        Handshake::Initiator(hello()),
        |event| {
            at_initiator.borrow_mut().push(event);
            true
        },
    );
    let acceptor_end = run_connection(acceptor, acceptor_queue, Handshake::Acceptor, |event| {
        at_acceptor.borrow_mut().push(event);
        true
    });
    tokio::select! {
        end = initiator_end => panic!("connection ended: {end}"),
        end = acceptor_end => panic!("connection ended: {end}"),
        () = tokio::time::sleep(Duration::from_secs(60)) => {}
    }
    assert_eq!(
        at_initiator.into_inner(),
        [
            Event::Established,
            Event::Frame(Frame::InstancesPersisted(2))
        ]
    );
    let at_acceptor = at_acceptor.into_inner();
    let expected = [
        Event::HelloReceived,
        Event::Verified(hello()),
        Event::Frame(long),
        Event::Frame(Frame::InstancesPersisted(1)),
    ];
    assert_eq!(at_acceptor, expected);
}

fn record_of_size(size: usize) -> maplefall_service_registry::InstanceRecord {
    maplefall_service_registry::InstanceRecord {
        id: "x".repeat(size),
        ..maplefall_service_registry::InstanceRecord::default()
    }
}

/// Guards against a peer that accepts a connection and then neither reads nor writes: the
/// connection is never established, and ends in time.
#[tokio::test(start_paused = true)]
async fn an_acceptor_that_does_nothing_is_detected_in_time() {
    let (initiator, _acceptor) = connected_pair().await;
    let (_sender, outgoing) = queue();
    let started = Instant::now();
    let end = run_connection(initiator, outgoing, Handshake::Initiator(hello()), |_| {
        panic!("connection was established")
    })
    .await;
    assert!(
        matches!(end, ConnectionError::Liveness(LivenessError::Timeout)),
        "{end}"
    );
    assert!(
        started.elapsed() <= DETECTION_BOUND,
        "{:?}",
        started.elapsed()
    );
}

/// Guards against a peer that opens a connection and sends nothing.
#[tokio::test(start_paused = true)]
async fn an_initiator_that_sends_nothing_is_detected_in_time() {
    let (_initiator, acceptor) = connected_pair().await;
    let (_sender, outgoing) = queue();
    let started = Instant::now();
    let end = run_connection(acceptor, outgoing, Handshake::Acceptor, |_| {
        panic!("connection was established")
    })
    .await;
    assert!(
        matches!(end, ConnectionError::Liveness(LivenessError::HelloTimeout)),
        "{end}"
    );
    assert!(
        started.elapsed() <= DETECTION_BOUND,
        "{:?}",
        started.elapsed()
    );
}

/// Guards against a peer that, once the connection is established, writes and never reads: the data
/// that it sends do not keep the connection alive.
#[tokio::test(start_paused = true)]
async fn a_peer_that_writes_and_never_reads_is_detected_in_time() {
    let (initiator, mut peer) = connected_pair().await;
    let (_sender, outgoing) = queue();
    let end = run_connection(initiator, outgoing, Handshake::Initiator(hello()), |_| true);
    let writing_peer = async {
        let mut received = BytesMut::new();
        assert!(matches!(
            read_frame(&mut peer, &mut received).await,
            Frame::Hello(_)
        ));
        peer.write_all(&encode_frame(Frame::Ping(1)))
            .await
            .expect("written");
        assert_eq!(read_frame(&mut peer, &mut received).await, Frame::Pong(1));
        let started = Instant::now();
        let mut number = 1;
        while started.elapsed() < Duration::from_secs(60) {
            number += 1;
            let frames = [
                encode_frame(Frame::Ping(number)),
                encode_frame(Frame::InstancesPersisted(number)),
            ]
            .concat();
            if peer.write_all(&frames).await.is_err() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let started = Instant::now();
    tokio::select! {
        end = end => assert!(matches!(end, ConnectionError::Liveness(LivenessError::Timeout)), "{end}"),
        () = writing_peer => panic!("connection stayed up"),
    }
    assert!(
        started.elapsed() <= DETECTION_BOUND,
        "{:?}",
        started.elapsed()
    );
}

/// Guards against writes without progress: the peer sends one ping and then reads nothing more
/// while the socket buffers fill up.
#[tokio::test(start_paused = true)]
async fn a_peer_that_stops_reading_is_detected_in_time() {
    let (initiator, mut peer) = connected_pair().await;
    let (sender, outgoing) = queue();
    for _ in 0..64 {
        sender
            .try_send(encode_frame(Frame::InstanceUpdates(InstanceUpdates {
                records: vec![record_of_size(1 << 20)],
                ..InstanceUpdates::default()
            })))
            .expect("queue has capacity");
    }
    let end = run_connection(initiator, outgoing, Handshake::Initiator(hello()), |_| true);
    let idle_peer = async {
        let mut received = BytesMut::new();
        assert!(matches!(
            read_frame(&mut peer, &mut received).await,
            Frame::Hello(_)
        ));
        peer.write_all(&encode_frame(Frame::Ping(1)))
            .await
            .expect("written");
        std::future::pending::<()>().await;
    };
    let started = Instant::now();
    tokio::select! {
        end = end => assert!(matches!(end, ConnectionError::Liveness(LivenessError::Timeout) | ConnectionError::WriteStalled), "{end}"),
        () = idle_peer => {}
    }
    assert!(
        started.elapsed() <= DETECTION_BOUND,
        "{:?}",
        started.elapsed()
    );
}

/// Guards against foreign clients: chunks that do not add up to a frame end the connection.
#[tokio::test(start_paused = true)]
async fn chunks_that_make_no_frame_end_the_connection() {
    let (mut initiator, acceptor) = connected_pair().await;
    let (_sender, outgoing) = queue();
    let chunk = maplefall_control_messages::Chunk {
        data: Bytes::from_static(&[0, 0, 0, 9, 1]),
        last: true,
    };
    initiator
        .write_all(&encode_frame(Frame::Chunk(chunk)))
        .await
        .expect("written");
    let end = run_connection(acceptor, outgoing, Handshake::Acceptor, |_| {
        panic!("connection was established")
    })
    .await;
    assert!(matches!(end, ConnectionError::Frame(_)), "{end}");
}
