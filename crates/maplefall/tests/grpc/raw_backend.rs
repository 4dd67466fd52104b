//! A backend written frame by frame (RFC 9113): what the library would not do on call, and responses whose frames come in one piece.

use maplefall_test_servers::grpc::framed;
use std::net::TcpListener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Answers the first call of each connection with these bytes and closes the connection.
pub async fn raw_backend(listener: TcpListener, answer: impl Fn(usize) -> Vec<u8>) -> usize {
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut connections = 0;
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let bytes = answer(connections);
        connections += 1;
        let mut got = Vec::new();
        // SETTINGS, empty; then whatever is called for, once the call has come whole (END_STREAM on its DATA).
        stream
            .write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0])
            .await
            .unwrap();
        let ended = loop {
            if stream.read_buf(&mut got).await.unwrap_or(0) == 0 {
                break false;
            }
            // A PING is answered.
            if let Some(at) = got.windows(9).position(|w| w[..5] == [0, 0, 8, 6, 0]) {
                if got.len() >= at + 17 {
                    let mut pong = got[at..at + 17].to_vec();
                    pong[4] = 1;
                    stream.write_all(&pong).await.unwrap();
                    got.drain(..at + 17);
                }
            }
            if got
                .windows(9)
                .any(|w| w[3] == 0 && w[4] & 1 == 1 && w[5..9] == [0, 0, 0, 1])
            {
                break true;
            }
        };
        if ended {
            stream.write_all(&bytes).await.unwrap();
        }
    }
}

/// `GOAWAY` whose last stream is this one.
pub fn go_away(last: u8) -> Vec<u8> {
    vec![0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, last, 0, 0, 0, 0]
}

/// The first stream's response head: `:status` 200 and the content type of gRPC, both by the static table of HPACK (RFC 7541).
pub fn response_head() -> Vec<u8> {
    let content_type = b"application/grpc";
    let mut block = vec![0x88, 0x0f, 0x10, content_type.len() as u8];
    block.extend(content_type);
    const END_HEADERS: u8 = 4;
    frame(1, END_HEADERS, &block)
}

/// A message on the first stream, in a frame of its own.
pub fn message_frame(message: &[u8]) -> Vec<u8> {
    data_frame(&framed(message))
}

/// Bytes of messages on the first stream.
pub fn data_frame(bytes: &[u8]) -> Vec<u8> {
    frame(0, 0, bytes)
}

/// A reset of the first stream with this error.
pub fn reset_frame(error: u32) -> Vec<u8> {
    frame(3, 0, &error.to_be_bytes())
}

fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let [_, high, middle, low] = (payload.len() as u32).to_be_bytes();
    let mut frame = vec![high, middle, low, kind, flags, 0, 0, 0, 1];
    frame.extend(payload);
    frame
}
