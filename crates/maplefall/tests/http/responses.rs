//! Which responses of backends are served.

use crate::sockets::*;

/// Bytes that a backend sends after a response, in the same write or later, never become the next
/// request's response. The good response is served and the connection is not used again.
#[test]
fn bytes_after_a_response_are_served_to_nobody() {
    let extra_response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (extra, same_write) in [
        (extra_response, true),
        ("noise", true),
        (extra_response, false),
        ("noise", false),
    ] {
        let bed = TestBed::new(1);
        let mut client = bed.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
        let mut backend = bed.backends[0].accept();
        backend.read();
        let good = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
        if same_write {
            backend.write(format!("{good}{extra}"));
            assert_eq!(client.read().body, b"one");
        } else {
            backend.write(good);
            assert_eq!(client.read().body, b"one");
            backend.write(extra);
        }
        client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = bed.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.respond(200, "", "two");
        assert_eq!(
            client.read().body,
            b"two",
            "{extra}, same write: {same_write}"
        );
        backend.expect_end();
    }
}

/// A response that cannot be recognised as complete is not served, and an endless one is not waited
/// for: a non-idempotent request fails at once, its connection is closed, and the next one is
/// served on another.
#[test]
fn incomplete_response_is_a_failure_at_once() {
    let endless = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
        "x".repeat(80_000)
    );
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-Pad: pppppppppppp\r\n".repeat(4000)
    );
    let cases = [
        ("noise", "\u{83}\u{4}no\r\n\r\n"),
        (
            "no status",
            "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "two lengths",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "no length",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno",
        ),
        (
            "bad chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
        ),
        (
            "another protocol",
            "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        ),
        ("an endless response", endless.as_str()),
        ("an endless head", head.as_str()),
    ];
    for (name, text) in cases {
        let bed = TestBed::new(1);
        let mut client = bed.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
        let mut backend = bed.backends[0].accept();
        backend.read();
        let started = std::time::Instant::now();
        // The gateway may close the connection before everything is written.
        let _ = std::io::Write::write_all(backend.reader.get_mut(), text.as_bytes());
        assert_eq!(client.read().status(), 502, "{name}");
        assert!(
            started.elapsed().as_secs_f64() < 3.0,
            "{name}: waited for more"
        );
        backend.expect_end();
        client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = bed.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.respond(200, "", "fine");
        assert_eq!(client.read().body, b"fine", "{name}");
    }
}

/// Informational (1xx) responses ahead of a good response and meaningless usage figures do no harm.
#[test]
fn good_response_with_odd_figures_is_served() {
    let bed = TestBed::new(1);
    let (mut client, mut backend) = bed.hold_request("id-1");
    backend.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
    backend.respond(
        200,
        "Api-Usage: %%%\r\nApi-Usage: 9e99\r\nApi-Charge: =,=\r\nApi-Charge: 1\r\n",
        "paid",
    );
    let response = client.read();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// A good response far beyond the agreed 64 KiB is passed on completely, with a length or in
/// chunks, and repeatedly: the memory that each takes is freed.
#[test]
fn long_response_is_passed_on_completely() {
    let bed = TestBed::new(1);
    let mut client = bed.program.client();
    let long = "0123456789abcdef".repeat(25_000);
    client.write(request_of("id-0", "charge", "wide", LONG_TIMEOUT));
    let mut backend = bed.backends[0].accept();
    // All responses together are more than fits into memory.
    for number in 1..=200 {
        backend.read();
        if number % 2 == 0 {
            backend.respond(200, "", &long);
        } else {
            let (head, length) = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", long.len());
            backend.write(format!("{head}\r\n\r\n{length:x}\r\n{long}\r\n0\r\n\r\n"));
        }
        let response = client.read();
        assert_eq!(response.status(), 200, "number {number}");
        assert!(
            response.body == long.as_bytes(),
            "number {number}: {} bytes",
            response.body.len()
        );
        client.write(request_of(
            &format!("id-{number}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
    }
}
