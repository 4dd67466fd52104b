//! Clients that are played byte by byte before a whole door with honest backends that count: clients that send several requests
//! before the first is answered, split them anywhere, go midway, close their half, wait for word to go on or don't, and write what
//! is no request or could be read as two. Judged by a plain reader (`common`):
//!
//! - The answers on a connection belong to its requests in their order, none twice and none too many.
//! - Where the end of a request cannot be told for sure, nothing behind it on its connection is answered or sent on.
//! - What comes to a backend is a request that a client sent, unchanged; one that may not be repeated comes once.
//!
//! Seeds are printed with what breaks.

mod common;

use common::{answer, request, Chance, Front, Odd};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Connections that are played, and how many at a time.
const CASES: u64 = 3000;
const AT_A_TIME: usize = 32;
/// Longest time that one answer may take; only a fault uses it up.
const PATIENCE: Duration = Duration::from_secs(30);

/// What a message on a client's connection is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Is {
    /// A proper request.
    Proper,
    /// One that may be served, and is the last that is read on its connection.
    Last,
    /// None, or one that is refused; nothing behind it is read.
    Refused,
}

#[derive(Clone, Debug)]
struct Item {
    id: String,
    is: Is,
    what: usize,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    bytes: Vec<u8>,
}

fn in_chunks(chance: &mut Chance, body: &[u8]) -> Vec<u8> {
    let (mut text, mut left) = (Vec::new(), body);
    while !left.is_empty() {
        let (now, later) = left.split_at(1 + chance.below(left.len()));
        let extension = chance.one_of(&["", "", ";x=\"y\""]);
        text.extend(format!("{:x}{extension}\r\n", now.len()).into_bytes());
        text.extend_from_slice(now);
        text.extend_from_slice(b"\r\n");
        left = later;
    }
    text.extend_from_slice(chance.one_of(&[&b"0\r\n\r\n"[..], &b"0\r\nX-Late: 1\r\n\r\n"[..]]));
    text
}

fn item(chance: &mut Chance, id: &str, number: usize) -> Item {
    let once = chance.percent(60);
    let method = chance.one_of(&["GET", "POST", "POST", "PUT", "HEAD"]);
    let path = format!(
        "/{}/{id}/a%20b?q={number}&r=/x",
        if once { "once" } else { "safe" }
    );
    let length = chance.one_of(&[1, 8, 40, 40, 3000]);
    let body: Vec<u8> = if ["GET", "HEAD"].contains(&method) {
        Vec::new()
    } else {
        (0..1 + chance.below(length))
            .map(|at| b"abcdefgh\r\nGET"[(at + number) % 13])
            .collect()
    };
    let common = format!("Host: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 20000\r\n");
    let head = format!("{method} {path} HTTP/1.1\r\n{common}");
    let with = |more: &str, body: &[u8]| [head.as_bytes(), more.as_bytes(), b"\r\n", body].concat();
    let whole = |more: &str| {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        with(&format!("{length}{more}"), &body)
    };
    // A request inside another, for readers who take the wrong one of two ends.
    let inner = format!("POST /once/smuggled-{id} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: smuggled-{id}\r\nContent-Length: 0\r\n\r\n");
    let hidden = format!("0\r\n\r\n{inner}");
    let length = hidden.len();
    let what = chance.below(90);
    let refused = |bytes: Vec<u8>| (Is::Refused, bytes);
    let (is, bytes) = match what {
        0 => (
            Is::Last,
            with(
                &format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"),
                hidden.as_bytes(),
            ),
        ),
        1 => (
            Is::Last,
            with(
                &format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"),
                hidden.as_bytes(),
            ),
        ),
        2 => refused(with(
            &format!("Content-Length: {length}\r\nContent-Length: 5\r\n"),
            hidden.as_bytes(),
        )),
        3 => refused(with(
            &format!("Content-Length: +{length}\r\n"),
            hidden.as_bytes(),
        )),
        4 => refused(with("Transfer-Encoding: identity\r\n", hidden.as_bytes())),
        5 => refused(with(
            "Transfer-Encoding: chunked, identity\r\n",
            hidden.as_bytes(),
        )),
        6 => refused(with("Transfer-Encoding: xchunked\r\n", hidden.as_bytes())),
        7 => refused(with(
            "Transfer-Encoding: chunked\r\n",
            format!("0x0\r\n\r\n{inner}").as_bytes(),
        )),
        8 => refused(with(
            "Transfer-Encoding: chunked\r\n",
            format!("3\r\nabcd\r\n{hidden}").as_bytes(),
        )),
        9 => refused(with(
            "Transfer-Encoding: chunked\r\n",
            format!("-1\r\n{hidden}").as_bytes(),
        )),
        10 => refused(with(
            "Transfer-Encoding: chunked\r\n",
            format!("fffffffffffffffff\r\n{hidden}").as_bytes(),
        )),
        11 => refused(with("X-Odd: a\r\n folded\r\n", b"")),
        12 => refused(with("X-Odd : a\r\n", b"")),
        13 => refused(with("X-Odd: a\0b\r\n", b"")),
        14 => refused(with("No colon\r\n", b"")),
        15 => refused(
            head.replace("Host: h.example\r\n", "")
                .into_bytes()
                .into_iter()
                .chain(*b"\r\n")
                .collect(),
        ),
        16 => refused(with("Host: other.example\r\n", b"")),
        17 => refused(with("X-Attempt-Id: other\r\n", b"")),
        18 => refused(format!("{method}\t{path} HTTP/1.1\r\n{common}\r\n").into_bytes()),
        19 => refused(format!("{method}  {path} HTTP/1.1\r\n{common}\r\n").into_bytes()),
        20 => refused(format!("{method} {path} x HTTP/1.1\r\n{common}\r\n").into_bytes()),
        21 => refused(
            format!("{method} http://other.example{path} HTTP/1.1\r\n{common}\r\n").into_bytes(),
        ),
        22 => refused(format!("CONNECT h.example:80 HTTP/1.1\r\n{common}\r\n").into_bytes()),
        23 => refused(b"\x16\x03\x01\x02\r\n\r\n".to_vec()),
        24 => refused(with(&format!("X-Long: {}\r\n", "x".repeat(200 << 10)), b"")),
        25 => refused(format!("{method} {path} HTTP/2.0\r\n{common}\r\n").into_bytes()),
        26 => refused(with("Content-Length: 5, 6\r\n", b"abcdef")),
        27 => refused(with("X-Time-Remaining: never\r\n", b"")),
        28 => refused(
            format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: \r\n\r\n")
                .into_bytes(),
        ),
        29 => (Is::Last, whole("Connection: close\r\n")),
        30 => (
            Is::Last,
            [
                format!("{method} {path} HTTP/1.0\r\n{common}").into_bytes(),
                whole("")[head.len()..].to_vec(),
            ]
            .concat(),
        ),
        31..35 => (Is::Proper, whole("").into_iter().collect()),
        35 => (
            Is::Proper,
            [
                format!("{method} http://h.example{path} HTTP/1.1\r\n{common}").into_bytes(),
                whole("")[head.len()..].to_vec(),
            ]
            .concat(),
        ),
        36 => (Is::Proper, [b"\r\n".to_vec(), whole("")].concat()),
        37..40 => (Is::Proper, whole("Expect: 100-continue\r\n")),
        40..60 if !body.is_empty() => {
            let chunks = in_chunks(chance, &body);
            (Is::Proper, with("Transfer-Encoding: chunked\r\n", &chunks))
        }
        _ => (Is::Proper, whole("X-Odd: \t spaced\t \r\n")),
    };
    // What is served of one that is framed in two ways is what its chunks say: nothing.
    let body = if what < 2 { Vec::new() } else { body };
    Item {
        id: id.to_owned(),
        is,
        what,
        method,
        path,
        body,
        bytes,
    }
}

// ---- The honest backend -----------------------------------------------------------------------------

fn echo(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    [method.as_bytes(), b" ", path.as_bytes(), b" ", body].concat()
}

/// What came, by id: how often, and whether it was as sent is compared by the echo.
type Seen = Rc<RefCell<HashMap<String, Vec<(String, Vec<u8>)>>>>;

async fn serve(mut stream: TcpStream, seen: Seen, mut chance: Chance) {
    let mut inbox = Vec::new();
    loop {
        let (asked, end) = loop {
            match request(&inbox, 0) {
                Ok(asked) => break asked,
                Err(Odd::Bad(why)) => panic!("the door wrote no request: {why}"),
                Err(Odd::Short) => {}
            }
            let mut part = [0_u8; 16 << 10];
            let Ok(count @ 1..) = stream.read(&mut part).await else {
                return;
            };
            inbox.extend_from_slice(&part[..count]);
        };
        inbox.drain(..end);
        let id = asked.single("x-attempt-id").unwrap_or("none").to_owned();
        let words: Vec<&str> = asked.start.split(' ').collect();
        seen.borrow_mut()
            .entry(id.clone())
            .or_default()
            .push((asked.start.clone(), asked.body.clone()));
        for _ in 0..chance.one_of(&[0, 0, 3, 30]) {
            tokio::task::yield_now().await;
        }
        let body = echo(words[0], words[1], &asked.body);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let body = if words[0] == "HEAD" { &[][..] } else { &body };
        if stream
            .write_all(&[head.as_bytes(), body].concat())
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn listen(seen: Seen) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(serve(stream, seen.clone(), Chance::new(number)));
        }
    });
    address
}

// ---- A client ---------------------------------------------------------------------------------------

/// How often things happened.
#[derive(Default, Debug)]
struct Tally {
    requests: u64,
    served: u64,
    refused: u64,
    own: u64,
    went: u64,
}

/// How a client ends.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// It reads to the end.
    Reads,
    /// It closes its half once all is written, and reads to the end.
    HalfCloses,
    /// It goes after so many bytes.
    Goes(usize),
}

async fn play(
    seed: u64,
    front: SocketAddr,
    items: &[Item],
    tally: &RefCell<Tally>,
) -> Result<(), String> {
    let mut chance = Chance::new(seed ^ 1 << 40);
    let text: Vec<u8> = items.iter().flat_map(|item| item.bytes.clone()).collect();
    let end = match chance.below(10) {
        0 => End::Goes(chance.below(text.len() + 1)),
        1 => End::HalfCloses,
        _ => End::Reads,
    };
    let stream = TcpStream::connect(front)
        .await
        .map_err(|error| format!("no door: {error}"))?;
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let most = if let End::Goes(most) = end {
        most
    } else {
        text.len()
    };
    let (how, pieces) = (chance.below(6), text[..most].to_vec());
    let resets = chance.percent(50);
    let write = async move {
        let mut left = &pieces[..];
        while !left.is_empty() {
            let size = match how {
                0 if pieces.len() < 2000 => 1,
                0..3 => 1 + chance.below(left.len()),
                _ => left.len(),
            };
            if writer.write_all(&left[..size]).await.is_err() {
                break;
            }
            left = &left[size..];
            for _ in 0..chance.below(4) {
                tokio::task::yield_now().await;
            }
        }
        if end == End::HalfCloses {
            let _ = writer.shutdown().await;
        }
        // Else it stays open until the reading has ended.
        writer
    };
    let due = items
        .iter()
        .position(|item| item.is != Is::Proper)
        .map_or(items.len(), |last| last + 1);
    let read = async {
        let (mut inbox, mut from, mut got) = (Vec::new(), 0, Vec::new());
        loop {
            if matches!(end, End::Goes(_)) {
                return Ok((got, false));
            }
            // One is no HEAD, whatever its item says: it was sent as CONNECT.
            let asked = items
                .get(got.len())
                .filter(|item| item.what != 22)
                .map_or("GET", |item| item.method);
            match answer(&inbox, from, asked) {
                Ok((message, end)) => {
                    from = end;
                    got.push(message);
                    continue;
                }
                Err(Odd::Bad(why)) => return Err(format!("no answer: {why}")),
                Err(Odd::Short) => {}
            }
            if got.len() == due && due == items.len() && items[due - 1].is == Is::Proper {
                return Ok((got, false));
            }
            let mut part = [0_u8; 16 << 10];
            let count = tokio::time::timeout(PATIENCE, reader.read(&mut part)).await;
            match count.map_err(|_| format!("answer {} of {due} never came", got.len()))? {
                Ok(count @ 1..) => inbox.extend_from_slice(&part[..count]),
                // A client that has closed its half is taken to be gone, maybe after it was told to go on.
                _ if from < inbox.len() && &inbox[from..] != b"HTTP/1.1 100 Continue\r\n\r\n" => {
                    return Err(format!(
                        "a part of an answer: {:?}",
                        String::from_utf8_lossy(&inbox[from..])
                    ));
                }
                _ => return Ok((got, true)),
            }
        }
    };
    let (writer, read) = tokio::join!(write, read);
    let (got, closed) = read?;
    if let End::Goes(_) = end {
        if resets {
            let _ = socket2::SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
        }
        tally.borrow_mut().went += 1;
        return Ok(());
    }
    let mut tally = tally.borrow_mut();
    tally.requests += items.len() as u64;
    // A close that meets unread bytes may cost what was written before it.
    if end == End::Reads && got.len() < due && !(closed && items[due - 1].is != Is::Proper) {
        return Err(format!("{} answers to {due} requests", got.len()));
    }
    for (at, message) in got.iter().enumerate() {
        let Some(item) = items[..due].get(at) else {
            return Err(format!(
                "an answer behind the last: {} {:?}",
                message.start, message.headers
            ));
        };
        let (id, is) = (&item.id, (item.is, item.what));
        match message.all("x-attempt-id")[..] {
            [one] if one == id => {}
            [] | [""] if item.is == Is::Refused => {}
            ref other => return Err(format!("{id} {is:?}: answered as {other:?}")),
        }
        match message.status() {
            200 if item.is == Is::Refused => return Err(format!("{id} {is:?}: served")),
            200 => {
                let body = echo(item.method, &item.path, &item.body);
                if message.body != body && item.method != "HEAD" {
                    return Err(format!(
                        "{id} {is:?}: {:?}",
                        String::from_utf8_lossy(&message.body)
                    ));
                }
                tally.served += 1;
            }
            400..500 if item.is == Is::Refused => tally.refused += 1,
            502..505 if item.is != Is::Refused => tally.own += 1,
            status => return Err(format!("{id} {is:?}: {status}")),
        }
    }
    Ok(())
}

#[test]
fn answers_come_in_the_order_of_their_requests_and_nothing_is_smuggled() {
    let begun = Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let (next, tally) = (
        Rc::new(Cell::new(0)),
        Rc::new(RefCell::new(Tally::default())),
    );
    let (broken, seen) = (Rc::new(RefCell::new(Vec::new())), Seen::default());
    let sent = Rc::new(RefCell::new(HashMap::new()));
    runtime.block_on(local.run_until(async {
        let backends = [listen(seen.clone()).await, listen(seen.clone()).await];
        let front = Front::open(1, &backends).await;
        let players: Vec<_> = (0..AT_A_TIME)
            .map(|_| {
                let (next, tally, broken) = (next.clone(), tally.clone(), broken.clone());
                let (sent, front) = (sent.clone(), front.address);
                tokio::task::spawn_local(async move {
                    while next.get() < CASES {
                        let seed = next.get();
                        next.set(seed + 1);
                        let mut chance = Chance::new(seed);
                        let items: Vec<Item> = (0..1 + chance.below(6))
                            .map(|number| item(&mut chance, &format!("{seed}-{number}"), number))
                            .collect();
                        sent.borrow_mut()
                            .extend(items.iter().map(|item| (item.id.clone(), item.clone())));
                        if let Err(why) = play(seed, front, &items, &tally).await {
                            broken.borrow_mut().push(format!("seed {seed}: {why}"));
                        }
                    }
                })
            })
            .collect();
        for player in players {
            player.await.expect("a player");
        }
    }));
    let (mut broken, tally) = (broken.take(), tally.borrow());
    for (id, all) in seen.borrow().iter() {
        let sent = sent.borrow();
        let Some(item) = sent.get(id) else {
            broken.push(format!("{id}: nobody sent it: {all:?}"));
            continue;
        };
        let start = format!("{} {} HTTP/1.1", item.method, item.path);
        let same = all
            .iter()
            .all(|(line, body)| *line == start && *body == item.body);
        if !same || item.is == Is::Refused || (all.len() > 1 && item.path.starts_with("/once/")) {
            broken.push(format!("{id} {:?} {}: came as {all:?}", item.is, item.what));
        }
    }
    println!(
        "{CASES} connections in {:.1} s, {} broken: {tally:?}",
        begun.elapsed().as_secs_f64(),
        broken.len()
    );
    assert!(
        broken.is_empty(),
        "{} broken, the first: {:#?}",
        broken.len(),
        &broken[..broken.len().min(12)]
    );
    assert!(
        tally.served > 4 * tally.own && tally.refused > CASES / 10,
        "{tally:?}"
    );
}
