//! Valid, ambiguous and invalid messages on clients' connections.

use crate::common::random::Random;

/// How the proxy must treat a message on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Validity {
    /// A valid request.
    Valid,
    /// A request that may be served; the proxy reads nothing after it on its connection.
    LastOnConnection,
    /// An invalid message, or a request that is rejected; the proxy reads nothing after it.
    Rejected,
}

/// A message with the expected treatment by the proxy.
#[derive(Clone, Debug)]
pub struct TestMessage {
    pub id: String,
    pub validity: Validity,
    pub variant: usize,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub bytes: Vec<u8>,
}

fn chunked_body(random: &mut Random, body: &[u8]) -> Vec<u8> {
    let (mut text, mut remaining) = (Vec::new(), body);
    while !remaining.is_empty() {
        let (chunk, after_chunk) = remaining.split_at(1 + random.below(remaining.len()));
        let extension = random.one_of(&["", "", ";x=\"y\""]);
        text.extend(format!("{:x}{extension}\r\n", chunk.len()).into_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
        remaining = after_chunk;
    }
    text.extend_from_slice(random.one_of(&[&b"0\r\n\r\n"[..], &b"0\r\nX-Late: 1\r\n\r\n"[..]]));
    text
}

/// Returns a random message with this id.
pub fn random_message(random: &mut Random, id: &str, number: usize) -> TestMessage {
    let at_most_once = random.percent(60);
    let method = random.one_of(&["GET", "POST", "POST", "PUT", "HEAD"]);
    let path = format!(
        "/{}/{id}/a%20b?q={number}&r=/x",
        if at_most_once { "once" } else { "safe" }
    );
    let length = random.one_of(&[1, 8, 40, 40, 3000]);
    let body: Vec<u8> = if ["GET", "HEAD"].contains(&method) {
        Vec::new()
    } else {
        (0..1 + random.below(length))
            .map(|at| b"abcdefgh\r\nGET"[(at + number) % 13])
            .collect()
    };
    let common = format!("Host: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 20000\r\n");
    let head = format!("{method} {path} HTTP/1.1\r\n{common}");
    let with_headers =
        |headers: &str, body: &[u8]| [head.as_bytes(), headers.as_bytes(), b"\r\n", body].concat();
    let with_length = |headers: &str| {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        with_headers(&format!("{length}{headers}"), &body)
    };
    // A request within the body of another one: a parser that takes the wrong one of two possible
    // ends of that body reads it as a request of its own.
    let smuggled = format!("POST /once/smuggled-{id} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: smuggled-{id}\r\nContent-Length: 0\r\n\r\n");
    let smuggled_body = format!("0\r\n\r\n{smuggled}");
    let length = smuggled_body.len();
    let variant = random.below(90);
    let rejected = |bytes: Vec<u8>| (Validity::Rejected, bytes);
    let (validity, bytes) = match variant {
        0 => (
            Validity::LastOnConnection,
            with_headers(
                &format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"),
                smuggled_body.as_bytes(),
            ),
        ),
        1 => (
            Validity::LastOnConnection,
            with_headers(
                &format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"),
                smuggled_body.as_bytes(),
            ),
        ),
        2 => rejected(with_headers(
            &format!("Content-Length: {length}\r\nContent-Length: 5\r\n"),
            smuggled_body.as_bytes(),
        )),
        3 => rejected(with_headers(
            &format!("Content-Length: +{length}\r\n"),
            smuggled_body.as_bytes(),
        )),
        4 => rejected(with_headers(
            "Transfer-Encoding: identity\r\n",
            smuggled_body.as_bytes(),
        )),
        5 => rejected(with_headers(
            "Transfer-Encoding: chunked, identity\r\n",
            smuggled_body.as_bytes(),
        )),
        6 => rejected(with_headers(
            "Transfer-Encoding: xchunked\r\n",
            smuggled_body.as_bytes(),
        )),
        7 => rejected(with_headers(
            "Transfer-Encoding: chunked\r\n",
            format!("0x0\r\n\r\n{smuggled}").as_bytes(),
        )),
        8 => rejected(with_headers(
            "Transfer-Encoding: chunked\r\n",
            format!("3\r\nabcd\r\n{smuggled_body}").as_bytes(),
        )),
        9 => rejected(with_headers(
            "Transfer-Encoding: chunked\r\n",
            format!("-1\r\n{smuggled_body}").as_bytes(),
        )),
        10 => rejected(with_headers(
            "Transfer-Encoding: chunked\r\n",
            format!("fffffffffffffffff\r\n{smuggled_body}").as_bytes(),
        )),
        11 => rejected(with_headers("X-Odd: a\r\n folded\r\n", b"")),
        12 => rejected(with_headers("X-Odd : a\r\n", b"")),
        13 => rejected(with_headers("X-Odd: a\0b\r\n", b"")),
        14 => rejected(with_headers("No colon\r\n", b"")),
        15 => rejected(
            head.replace("Host: h.example\r\n", "")
                .into_bytes()
                .into_iter()
                .chain(*b"\r\n")
                .collect(),
        ),
        16 => rejected(with_headers("Host: other.example\r\n", b"")),
        17 => rejected(with_headers("X-Attempt-Id: other\r\n", b"")),
        18 => rejected(format!("{method}\t{path} HTTP/1.1\r\n{common}\r\n").into_bytes()),
        19 => rejected(format!("{method}  {path} HTTP/1.1\r\n{common}\r\n").into_bytes()),
        20 => rejected(format!("{method} {path} x HTTP/1.1\r\n{common}\r\n").into_bytes()),
        21 => rejected(
            format!("{method} http://other.example{path} HTTP/1.1\r\n{common}\r\n").into_bytes(),
        ),
        22 => rejected(format!("CONNECT h.example:80 HTTP/1.1\r\n{common}\r\n").into_bytes()),
        23 => rejected(b"\x16\x03\x01\x02\r\n\r\n".to_vec()),
        24 => rejected(with_headers(
            &format!("X-Long: {}\r\n", "x".repeat(200 << 10)),
            b"",
        )),
        25 => rejected(format!("{method} {path} HTTP/2.0\r\n{common}\r\n").into_bytes()),
        26 => rejected(with_headers("Content-Length: 5, 6\r\n", b"abcdef")),
        27 => rejected(with_headers("X-Time-Remaining: never\r\n", b"")),
        28 => rejected(
            format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: \r\n\r\n")
                .into_bytes(),
        ),
        29 => (
            Validity::LastOnConnection,
            with_length("Connection: close\r\n"),
        ),
        30 => (
            Validity::LastOnConnection,
            [
                format!("{method} {path} HTTP/1.0\r\n{common}").into_bytes(),
                with_length("")[head.len()..].to_vec(),
            ]
            .concat(),
        ),
        31..35 => (Validity::Valid, with_length("").into_iter().collect()),
        35 => (
            Validity::Valid,
            [
                format!("{method} http://h.example{path} HTTP/1.1\r\n{common}").into_bytes(),
                with_length("")[head.len()..].to_vec(),
            ]
            .concat(),
        ),
        36 => (
            Validity::Valid,
            [b"\r\n".to_vec(), with_length("")].concat(),
        ),
        37..40 => (Validity::Valid, with_length("Expect: 100-continue\r\n")),
        40..60 if !body.is_empty() => {
            let chunks = chunked_body(random, &body);
            (
                Validity::Valid,
                with_headers("Transfer-Encoding: chunked\r\n", &chunks),
            )
        }
        _ => (Validity::Valid, with_length("X-Odd: \t spaced\t \r\n")),
    };
    // A message with both kinds of framing is read as chunked: its body is empty.
    let body = if variant < 2 { Vec::new() } else { body };
    TestMessage {
        id: id.to_owned(),
        validity,
        variant,
        method,
        path,
        body,
        bytes,
    }
}
