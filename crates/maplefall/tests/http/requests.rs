//! What is forwarded unchanged, and what is rejected before an attempt.

use crate::sockets::*;

/// The parts of a request that must stay unchanged do, and so does the response's body.
#[test]
fn request_is_forwarded_unchanged_and_its_response_comes_back() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "extend", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    let sent = backend.read();
    assert_eq!(sent.first_line, "POST /extend/a?b=c HTTP/1.1");
    assert_eq!(sent.header("request-id"), Some("id-1"));
    assert_eq!(sent.header("idempotency-key"), Some("5c0f6e1a"));
    assert_eq!(sent.body, b"hello");
    let wait: f64 = sent
        .header("request-timeout")
        .expect("a timeout")
        .parse()
        .unwrap();
    assert!(wait > 0.0 && wait <= 8.0, "{wait}");
    backend.respond(200, "Api-Usage: 55\r\nApi-Charge: 2\r\n", "paid");
    let response = client.read();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// Connections are reused, since each new one costs the backend work.
#[test]
fn connections_on_both_sides_are_reused() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "read", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    for id in ["id-1", "id-2", "id-3"] {
        assert_eq!(backend.read().header("request-id"), Some(id));
        backend.respond(200, "", id);
        assert_eq!(client.read().body, id.as_bytes());
        if id != "id-3" {
            client.write(request_of(
                if id == "id-1" { "id-2" } else { "id-3" },
                "read",
                "wide",
                LONG_TIMEOUT,
            ));
        }
    }
    assert!(bed.no_backend_connected());
}

/// A request whose id is in flight already is rejected, so that no id has two attempts at once.
#[test]
fn id_in_flight_is_rejected() {
    let bed = TestBed::new(1);
    let (mut client, mut backend) = bed.hold_request("id-1");
    let mut second = bed.program.client();
    second.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(second.read().status(), 409);
    assert!(bed.no_backend_connected());
    backend.respond(200, "", "once");
    assert_eq!(client.read().body, b"once");
}

/// Each malformed request gets one response, and no part of it reaches a backend.
#[test]
fn bad_requests_are_rejected() {
    let bed = TestBed::new(1);
    let good = request_of("id-1", "charge", "wide", LONG_TIMEOUT);
    let without = |name: &str| {
        let lines = good.split("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<Vec<_>>().join("\r\n")
    };
    let mut cases: Vec<(String, u16)> = [
        "Request-Id",
        "Request-Class",
        "Api-Plan",
        "Cookie",
        "Request-Timeout",
        "Api-Terms",
    ]
    .iter()
    .map(|name| (without(name), 400))
    .collect();
    for (from, to, status) in [
        ("Request-Class: charge", "Request-Class: refund", 400),
        ("POST /charge/", "POST /read/", 400),
        ("POST /charge/", "PUT /charge/", 400),
        ("POST /charge/", "GET /charge/", 400),
        (
            "Content-Length: 5",
            "Idempotency-Key: 1\r\nContent-Length: 5",
            400,
        ),
        ("Api-Plan: wide", "Api-Plan: broad", 400),
        ("client=00000000b4d65521", "client=b4d65521", 400),
        ("client=00000000b4d65521", "client=0000000200000000", 400),
        ("client=00000000b4d65521", "client=+0000000b4d65521", 400),
        ("client=00000000b4d65521", "other=1", 400),
        ("Request-Timeout: 8", "Request-Timeout: soon", 400),
        ("Request-Timeout: 8", "Request-Timeout: -1", 400),
        ("Request-Timeout: 8", "Request-Timeout: inf", 400),
        ("Request-Timeout: 8", "Request-Timeout: NaN", 400),
        ("units=1", "units=0", 400),
        ("units=1", "units=many", 400),
        ("units=1", "units=8.5", 400),
        ("units=1", "units=1,units=1", 400),
        ("spread=1", "spread=1e999", 400),
        ("spread=1", "spread=3", 400),
        ("spread=1", "spread=0", 400),
        ("spread=1", "spread=1.5", 400),
        (",first=0", "", 400),
        ("first=0", "first=2", 400),
        ("first=0", "first=-1", 400),
        ("first=0", "first=0.5", 400),
        ("Host: ser", "Host: other\r\nHost: ser", 400),
        ("Host: ser", "Host: s\u{e9}r", 400),
        ("Host: ser", "Request-Id: id-2\r\nHost: ser", 400),
        (
            "Host: ser",
            "Cookie: client=00000000b4d65521\r\nHost: ser",
            400,
        ),
        (
            "Host: ser",
            "Api-Terms: units=1,spread=1,first=0\r\nHost: ser",
            400,
        ),
        ("Request-Id: id-1", "Request-Id: id 1", 400),
        ("/charge/a", "/charge/\u{e9}", 400),
        ("/charge/a", "/charger/a", 400),
        ("/charge/a", "//charge/a", 400),
        ("Content-Length: 5", "Content-Length: -5", 400),
        ("Content-Length: 5", "Content-Length: 65537", 413),
        ("Content-Length: 5", "Content-Length: five", 400),
        ("HTTP/1.1", "HTTX/1.1", 400),
        ("Host: ser", "Host\0: ser", 400),
    ] {
        assert!(good.contains(from), "{from}");
        cases.push((good.replacen(from, to, 1), status));
    }
    for (text, status) in cases {
        let mut client = bed.program.client();
        client.write(&text);
        assert_eq!(client.read().status(), status, "{text}");
        client.expect_end();
    }
    assert!(bed.no_backend_connected());
    // A client that disconnects within a request has no effect on later ones.
    let mut client = bed.program.client();
    client.write(&good[..good.len() - 2]);
    drop(client);
    let mut client = bed.program.client();
    client.write(&good);
    let mut backend = bed.backends[0].accept();
    backend.read();
    backend.respond(200, "", "fine");
    assert_eq!(client.read().status(), 200);
}

/// An oversized head is rejected instead of buffered.
#[test]
fn endless_head_is_rejected() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    let long = format!("X: {}\r\nHost: ser", "x".repeat(70_000));
    client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT).replacen(
        "Host: ser",
        &long,
        1,
    ));
    assert_eq!(client.read().status(), 431);
    assert!(bed.no_backend_connected());
}

/// A customer over its quota is rejected at once and told when to retry.
#[test]
fn customer_over_its_quota_is_rejected_with_retry_after() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    client.write(request_of("id-0", "read", "narrow", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    let mut served = 0;
    for id in 1.. {
        assert!(id < 20, "never rejected");
        backend.read();
        backend.respond(200, "", "ok");
        assert_eq!(client.read().status(), 200);
        served += 1;
        client.write(request_of(
            &format!("id-{id}"),
            "read",
            "narrow",
            LONG_TIMEOUT,
        ));
        if client.is_readable_before(&backend) {
            break;
        }
    }
    assert!(served <= 2, "{served} units of a burst of 2");
    let response = client.read();
    assert_eq!(response.status(), 429);
    let retry_after: f64 = response
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .unwrap();
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
}

/// No request can hide in the body of another: a chunked request, with or without a length, is not
/// served, and its connection is closed before anything after it is read.
#[test]
fn chunks_beside_a_length_are_rejected_and_smuggle_nothing() {
    let bed = TestBed::new(1);
    let hidden = request_of("id-2", "charge", "wide", LONG_TIMEOUT);
    let (length, chunks) = ("Content-Length: 5", "Transfer-Encoding: chunked");
    for framing in [
        format!("{length}\r\n{chunks}"),
        format!("{chunks}\r\n{length}"),
        chunks.to_owned(),
    ] {
        let good = request_of("id-1", "charge", "wide", LONG_TIMEOUT).replacen(length, &framing, 1);
        let head = good.strip_suffix("hello").unwrap();
        let mut client = bed.program.client();
        client.write(format!("{head}0\r\n\r\n{hidden}"));
        assert_eq!(client.read().status(), 411, "{framing}");
        client.expect_end();
    }
    assert!(bed.no_backend_connected());
}

/// An id is accepted for one request; a later request with the same id counts as another one's, so
/// that nothing takes effect twice. To bound memory, a request's timeout is limited to the deadline
/// of its class.
#[test]
fn id_is_accepted_once_and_no_wait_exceeds_the_class_deadline() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    client.write(request_of("id-1", "charge", "wide", "1e12"));
    let mut backend = bed.backends[0].accept();
    let wait: f64 = backend
        .read()
        .header("request-timeout")
        .expect("a timeout")
        .parse()
        .unwrap();
    assert!(wait > 0.0 && wait <= 8.0, "{wait}");
    backend.respond(200, "", "once");
    assert_eq!(client.read().status(), 200);
    client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 409);
    client.expect_end();
    assert!(bed.no_backend_connected());
}
