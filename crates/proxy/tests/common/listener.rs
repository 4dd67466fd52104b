//! A server on a loopback port.

use std::future::Future;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Starts a server that runs `serve` for each connection, in a task of its own. Returns its address.
pub async fn listen_with<F>(serve: impl Fn(TcpStream) -> F + 'static) -> SocketAddr
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream));
        }
    });
    address
}
