//! Responses to requests that the proxy has not read completely.

mod common;

use common::slow_backend::{listen, read_response, run_local, SlowBackend};
use common::TestProxy;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Length of a request body: more than the body limit and the kernel buffers.
const BODY_BYTES: usize = 100 << 20;
const CHUNK_BYTES: usize = 64 << 10;
/// Timeout of a client's write: one that takes longer means that the proxy has stopped reading.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);
const CLIENTS: usize = 5;

/// Guards a response that is queued when its connection is closed: a client that is still sending
/// receives the 413 for its too long body.
#[test]
fn a_client_that_is_still_sending_gets_the_response() {
    run_local(async {
        let backend = Rc::new(SlowBackend::default());
        let proxy = TestProxy::start(1, &[listen(backend.clone()).await]).await;
        for number in 0..CLIENTS {
            let mut stream = TcpStream::connect(proxy.address)
                .await
                .expect("a connection");
            let head = format!(
                "POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a{number}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            stream
                .write_all(head.as_bytes())
                .await
                .expect("the head is sent");
            let chunk = vec![7; CHUNK_BYTES];
            // Writes until the proxy has closed the connection or stopped reading.
            while let Ok(Ok(())) =
                tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&chunk)).await
            {}
            let response = read_response(&mut stream).await.expect("a response");
            assert_eq!((response.status(), response.closes()), (413, true));
        }
        assert_eq!(backend.received.get(), 0);
    });
}
