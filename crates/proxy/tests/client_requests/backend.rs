//! Backends that echo and record each request.

use crate::common::http::{parse_request, ParseError};
use crate::common::random::Random;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Returns the body of the response to a request.
pub fn echo(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    [method.as_bytes(), b" ", path.as_bytes(), b" ", body].concat()
}

/// The start line and body of each received request, by id.
pub type ReceivedRequests = Rc<RefCell<HashMap<String, Vec<(String, Vec<u8>)>>>>;

async fn serve_connection(mut stream: TcpStream, received: ReceivedRequests, mut random: Random) {
    let mut buffer = Vec::new();
    loop {
        let (request, end) = loop {
            match parse_request(&buffer, 0) {
                Ok(request) => break request,
                Err(ParseError::Invalid(reason)) => {
                    panic!("the proxy wrote an invalid request: {reason}")
                }
                Err(ParseError::Incomplete) => {}
            }
            let mut chunk = [0_u8; 16 << 10];
            let Ok(count @ 1..) = stream.read(&mut chunk).await else {
                return;
            };
            buffer.extend_from_slice(&chunk[..count]);
        };
        buffer.drain(..end);
        let id = request.single("x-attempt-id").unwrap_or("none").to_owned();
        let request_line: Vec<&str> = request.start.split(' ').collect();
        received
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .push((request.start.clone(), request.body.clone()));
        for _ in 0..random.one_of(&[0, 0, 3, 30]) {
            tokio::task::yield_now().await;
        }
        let body = echo(request_line[0], request_line[1], &request.body);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let body = if request_line[0] == "HEAD" {
            &[][..]
        } else {
            &body
        };
        if stream
            .write_all(&[head.as_bytes(), body].concat())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Starts a backend on a loopback port.
pub async fn start_backend(received: ReceivedRequests) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(serve_connection(
                stream,
                received.clone(),
                Random::new(number),
            ));
        }
    });
    address
}
