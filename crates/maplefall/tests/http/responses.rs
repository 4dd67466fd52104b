//! Which responses of backends are served.

use crate::sockets::*;

/// Guards against a wrong answer: what a backend sends behind an answer, in one write with it or later, never becomes
/// the next request's. The good answer is served and the connection is not used again.
#[test]
fn bytes_after_a_response_are_served_to_nobody() {
    let copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (behind, together) in [
        (copy, true),
        ("noise", true),
        (copy, false),
        ("noise", false),
    ] {
        let scene = TestBed::new(1);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
        let mut backend = scene.backends[0].accept();
        backend.read();
        let good = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
        if together {
            backend.write(format!("{good}{behind}"));
            assert_eq!(client.read().body, b"one");
        } else {
            backend.write(good);
            assert_eq!(client.read().body, b"one");
            backend.write(behind);
        }
        client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = scene.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.answer(200, "", "two");
        assert_eq!(client.read().body, b"two", "{behind} together: {together}");
        backend.expect_end();
    }
}

/// Guards against serving what cannot be told to be whole, and against waiting for what does not end: an unsafe
/// request fails at once, its connection is closed, and the next one is served on another.
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
        ("an answer without end", endless.as_str()),
        ("a head without end", head.as_str()),
    ];
    for (name, text) in cases {
        let scene = TestBed::new(1);
        let mut client = scene.program.client();
        client.write(request_of("id-1", "charge", "wide", LONG_TIMEOUT));
        let mut backend = scene.backends[0].accept();
        backend.read();
        let begun = std::time::Instant::now();
        // The front door may close before all is written.
        let _ = std::io::Write::write_all(backend.reader.get_mut(), text.as_bytes());
        assert_eq!(client.read().status(), 502, "{name}");
        assert!(
            begun.elapsed().as_secs_f64() < 3.0,
            "{name}: waited for more"
        );
        backend.expect_end();
        client.write(request_of("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = scene.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.answer(200, "", "fine");
        assert_eq!(client.read().body, b"fine", "{name}");
    }
}

/// Guards good answers with odd company: 1xx ahead and figures that say nothing spoil nothing.
#[test]
fn good_response_with_odd_figures_is_served() {
    let scene = TestBed::new(1);
    let (mut client, mut backend) = scene.hold("id-1");
    backend.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
    backend.answer(
        200,
        "Api-Usage: %%%\r\nApi-Usage: 9e99\r\nApi-Charge: =,=\r\nApi-Charge: 1\r\n",
        "paid",
    );
    let answer = client.read();
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// Guards long answers: a good one far beyond the agreed 64 KiB is passed on whole, told by its length or in chunks, and
/// again and again: the room that each takes is given back.
#[test]
fn long_response_is_passed_on_completely() {
    let scene = TestBed::new(1);
    let mut client = scene.program.client();
    let long = "0123456789abcdef".repeat(25_000);
    client.write(request_of("id-0", "charge", "wide", LONG_TIMEOUT));
    let mut backend = scene.backends[0].accept();
    // More than the memory would hold together.
    for number in 1..=200 {
        backend.read();
        if number % 2 == 0 {
            backend.answer(200, "", &long);
        } else {
            let (head, length) = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", long.len());
            backend.write(format!("{head}\r\n\r\n{length:x}\r\n{long}\r\n0\r\n\r\n"));
        }
        let answer = client.read();
        assert_eq!(answer.status(), 200, "number {number}");
        assert!(
            answer.body == long.as_bytes(),
            "number {number}: {} bytes",
            answer.body.len()
        );
        client.write(request_of(
            &format!("id-{number}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
    }
}
