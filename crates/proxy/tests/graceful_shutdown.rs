//! Graceful shutdown of a proxy: over sockets, and of the core alone.

mod common;

use common::slow_backend::{listen, run_local, send_request, SlowBackend, TIMEOUT};
use common::{
    config_update, serving_instances, settings_of, unused_addresses, TestProxy, CONFIGURATION,
};
use maplefall_proxy::{Core, IncomingRequest, Output};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Guards connections that arrive at the end of a shutdown (rule LOST): in a benchmark, when all
/// requests had their responses, the proxy still accepted connections and then broke them. While a
/// request is pending, new clients are served and their connections closed after the response;
/// after that connections are refused, and nothing more is forwarded.
#[test]
fn after_the_shutdown_no_connection_is_accepted() {
    run_local(async {
        let backend = Rc::new(SlowBackend::default());
        let proxy = TestProxy::start(1, &[listen(backend.clone()).await]).await;
        let address = proxy.address;
        let pending = tokio::task::spawn_local(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            send_request(&mut stream, "/once/held").await
        });
        backend.request_held.notified().await;
        let server = proxy.server.clone();
        let shutdown = tokio::task::spawn_local(async move {
            server
                .shut_down_by(Duration::ZERO, Instant::now() + TIMEOUT)
                .await;
        });
        // Connections are kept until the shutdown has begun.
        loop {
            let mut stream = TcpStream::connect(address)
                .await
                .expect("the proxy accepts while a request is pending");
            let response = send_request(&mut stream, "/once/more")
                .await
                .expect("a response");
            assert_eq!(response.status(), 200);
            if response.closes() {
                break;
            }
        }
        assert!(!shutdown.is_finished());
        backend.release.notify_one();
        let response = pending.await.expect("a client").expect("a response");
        assert_eq!((response.status(), response.closes()), (200, true));
        shutdown.await.expect("a shutdown");
        // No connection may be accepted during the 20 ms in which the last frames to the
        // controllers are sent.
        let received = backend.received.get();
        for _ in 0..20 {
            let result = match TcpStream::connect(address).await {
                Ok(mut stream) => send_request(&mut stream, "/once/late")
                    .await
                    .map(|message| message.start),
                Err(error) => Err(error),
            };
            assert_eq!(
                result.map_err(|error| error.kind()),
                Err(ErrorKind::ConnectionRefused)
            );
        }
        assert_eq!(backend.received.get(), received, "a request was forwarded");
    });
}

/// Guards requests in flight at a shutdown: attempts at a slow backend are not aborted before their
/// clients' deadlines, even if they are idempotent.
#[test]
fn during_a_shutdown_no_attempt_is_aborted_before_its_deadline() {
    for shutting_down in [false, true] {
        let mut settings = settings_of(unused_addresses(1)[0]);
        settings.bounds.retry_budget_ratio = 50.0;
        let mut core = Core::new(&settings, 1);
        let mut out = Vec::new();
        core.receive(0.0, "x", config_update(CONFIGURATION), &mut out);
        let instances = serving_instances(&unused_addresses(2));
        core.receive(0.0, "x", instances, &mut out);
        let incoming = IncomingRequest {
            host: "h.example",
            path: "/safe/a",
            api_key: None,
            remaining: None,
            received_at: 10.0,
            is_repeated_admission: false,
        };
        core.admit(10.0, &incoming, &mut out)
            .expect("the request is admitted");
        assert!(out
            .iter()
            .any(|output| matches!(output, Output::Send { .. })));
        if shutting_down {
            core.shut_down();
        }
        // The deadline is 20 s after the request was received.
        let mut aborted_at = None;
        for at in (20..19_000).step_by(10) {
            out.clear();
            core.run_timers(f64::from(at), &mut out);
            if out
                .iter()
                .any(|output| matches!(output, Output::CancelAttempt(..) | Output::Respond(..)))
            {
                aborted_at = aborted_at.or(Some(at));
            }
        }
        assert_eq!(
            aborted_at.is_none(),
            shutting_down,
            "aborted at {aborted_at:?} ms"
        );
        if shutting_down {
            core.run_timers(20_010.0, &mut out);
            assert!(
                out.iter()
                    .any(|output| matches!(output, Output::CancelAttempt(..))),
                "the attempt outlasts its deadline"
            );
        }
    }
}
