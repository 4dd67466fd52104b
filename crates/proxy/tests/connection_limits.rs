//! Timeouts of idle client connections, and the connection limit.

mod common;

use common::slow_backend::{listen, run_local, send_request, SlowBackend};
use common::TestProxy;
use maplefall_gateway_config::Limits;
use maplefall_proxy::downstream::connection_state::{CloseDeadline, CloseMode, ConnectionState};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Guards clients that reuse a connection which has been idle for four fifths of `IdleS`, also
/// after a change of that limit, and bounds the time in which a request head arrives.
#[test]
fn idle_and_header_timeouts_follow_the_current_limits() {
    let limits = |idle_timeout: f64| Limits {
        idle_timeout,
        header_timeout: 3000.0,
        ..Limits::default()
    };
    let close_deadline = |at, mode| Some(CloseDeadline { at, mode });
    let mut state = ConnectionState::new(0.0);
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        close_deadline(15_000.0, CloseMode::Immediate)
    );
    assert!(state.bytes_received(1000.0) && !state.bytes_received(1500.0));
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        close_deadline(4000.0, CloseMode::Immediate)
    );
    state.head_received();
    assert!(
        !state.bytes_received(1600.0),
        "body bytes do not start a head"
    );
    assert_eq!(
        (state.close_deadline(&limits(15_000.0)), state.idle_since()),
        (None, None)
    );
    state.response_ready(9000.0);
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        close_deadline(24_000.0, CloseMode::Graceful)
    );
    assert_eq!(
        state.close_deadline(&limits(40_000.0)),
        close_deadline(49_000.0, CloseMode::Graceful)
    );
    assert_eq!(state.idle_since(), Some(9000.0));
    // A request that starts after four fifths of the idle timeout has the full header timeout.
    state.bytes_received(9000.0 + 0.8 * 15_000.0);
    assert_eq!(
        state.close_deadline(&limits(15_000.0)),
        close_deadline(24_000.0, CloseMode::Immediate)
    );
    state.closing();
    assert_eq!(
        (state.close_deadline(&limits(15_000.0)), state.idle_since()),
        (None, None)
    );
}

/// Guards new clients at the connection limit: the connection that has been idle longest is closed
/// to admit them.
#[test]
fn at_the_connection_limit_the_longest_idle_connection_is_closed() {
    run_local(async {
        let backend = Rc::new(SlowBackend::default());
        // The number of clients that 34 descriptors allow.
        let limit = maplefall_upstream::downstream_budget(34);
        let proxy = TestProxy::with_sockets(1, &[listen(backend.clone()).await], 34).await;
        let connections = RefCell::new(Vec::new());
        for _ in 0..limit {
            let mut stream = TcpStream::connect(proxy.address)
                .await
                .expect("a connection");
            assert_eq!(
                send_request(&mut stream, "/once/a")
                    .await
                    .expect("a response")
                    .status(),
                200
            );
            connections.borrow_mut().push(stream);
        }
        let mut new_client = TcpStream::connect(proxy.address)
            .await
            .expect("a connection");
        // The response must arrive much earlier than after 15 s, when `IdleS` closes the other
        // connections.
        let response = tokio::time::timeout(
            Duration::from_secs(10),
            send_request(&mut new_client, "/once/b"),
        )
        .await;
        assert_eq!(
            response.expect("in time").expect("a response").status(),
            200
        );
        let mut connections = connections.take();
        assert_eq!(
            connections[0]
                .read(&mut [0])
                .await
                .expect("an end of stream"),
            0,
            "the connection that has been idle longest is closed"
        );
        assert_eq!(
            send_request(&mut connections[limit - 1], "/once/c")
                .await
                .expect("a response")
                .status(),
            200
        );
    });
}
