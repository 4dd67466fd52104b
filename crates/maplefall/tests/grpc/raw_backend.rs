//! A backend that writes its HTTP/2 frames itself (RFC 9113): for frames that the library does not
//! send on request, and for responses whose frames arrive in one write.

use maplefall_test_servers::grpc::framed;
use std::net::TcpListener;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Responds to the first call of each connection with these bytes and closes the connection.
pub async fn raw_backend(listener: TcpListener, response: impl Fn(usize) -> Vec<u8>) -> usize {
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut connections = 0;
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let bytes = response(connections);
        connections += 1;
        let mut received = Vec::new();
        // Sends an empty SETTINGS frame, then the given bytes, once the call is complete
        // (END_STREAM on its DATA).
        stream
            .write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0])
            .await
            .unwrap();
        let ended = loop {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                break false;
            }
            // Each PING is acknowledged.
            if let Some(at) = received.windows(9).position(|w| w[..5] == [0, 0, 8, 6, 0]) {
                if received.len() >= at + 17 {
                    let mut pong = received[at..at + 17].to_vec();
                    pong[4] = 1;
                    stream.write_all(&pong).await.unwrap();
                    received.drain(..at + 17);
                }
            }
            if received
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

/// Returns a `GOAWAY` with this last stream id.
pub fn go_away(last: u8) -> Vec<u8> {
    vec![0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, last, 0, 0, 0, 0]
}

/// Returns the first stream's response headers: `:status` 200 and the content type of gRPC, both by
/// the static table of HPACK (RFC 7541).
pub fn response_head() -> Vec<u8> {
    let content_type = b"application/grpc";
    let mut block = vec![0x88, 0x0f, 0x10, content_type.len() as u8];
    block.extend(content_type);
    const END_HEADERS: u8 = 4;
    frame(1, END_HEADERS, &block)
}

/// Returns a message on the first stream, in its own DATA frame.
pub fn message_frame(message: &[u8]) -> Vec<u8> {
    data_frame(&framed(message))
}

/// Returns a DATA frame with these bytes on the first stream.
pub fn data_frame(bytes: &[u8]) -> Vec<u8> {
    frame(0, 0, bytes)
}

/// Returns a reset of the first stream with this error code.
pub fn reset_frame(error: u32) -> Vec<u8> {
    frame(3, 0, &error.to_be_bytes())
}

fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let [_, high, middle, low] = (payload.len() as u32).to_be_bytes();
    let mut frame = vec![high, middle, low, kind, flags, 0, 0, 0, 1];
    frame.extend(payload);
    frame
}
