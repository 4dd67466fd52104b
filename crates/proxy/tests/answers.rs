//! Backends that are played byte by byte before a whole door: answers are right, spoilt, cut, doubled, early, late, coded, framed in
//! two ways or in none, written at once, in pieces or byte by byte; connections close and break at any moment, also while a request
//! is under way. Judged by a plain reader of what was on the wire (`common`):
//!
//! - What a client gets is an answer of the door's own, or exactly a whole answer that a backend wrote in this request's place,
//!   under its id, and sealed if it is a success.
//! - A request that came after something odd had been written on a connection never comes on that connection.
//! - A request that may not be repeated comes whole to one backend at most, unless the ones before said, whole and under its id,
//!   that they have not run it; and it gets no status that promises more than that. What had come of it before its last byte does
//!   not count: without that byte there is no request.
//! - What comes to a backend is what a client sent.
//!
//! Seeds are printed with what breaks.

mod common;

use common::{answer, request, Chance, Front, Message, Odd};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Cases that are played, and how many of them at a time.
const CASES: u64 = 2000;
const AT_A_TIME: usize = 48;
/// Longest time that one answer may take; only a fault uses it up.
const PATIENCE: Duration = Duration::from_secs(30);
/// What a client waits where all is well, and where backends may be silent, in milliseconds.
const WAITS: [u64; 2] = [1000, 40];

/// What a backend saw and wrote on one connection.
#[derive(Default)]
struct Wire {
    /// All that it wrote, and at which moment each part ended.
    wrote: Vec<u8>,
    moments: Vec<(u64, usize)>,
    /// Every request that came whole, and how much had been written by then.
    came: Vec<(Message, usize)>,
    /// Answers that began before their request had come whole: the id, and where.
    early: Vec<(String, usize)>,
}

/// A request as a client sent it.
#[derive(Clone)]
struct Sent {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    once: bool,
    moment: u64,
}

#[derive(Default)]
struct Case {
    /// Moments: every one is later than those before it.
    moment: Cell<u64>,
    wires: RefCell<Vec<Rc<RefCell<Wire>>>>,
    sent: RefCell<HashMap<String, Sent>>,
    /// What clients got.
    got: RefCell<Vec<(String, Message)>>,
}

impl Case {
    fn now(&self) -> u64 {
        self.moment.set(self.moment.get() + 1);
        self.moment.get()
    }
}

// ---- Backends ---------------------------------------------------------------------------------------

/// How a backend's turn ends.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Keep,
    Close,
    Reset,
}

/// A right answer under this id; a failure has no seal.
fn right(chance: &mut Chance, id: &str) -> Vec<u8> {
    let (status, more) = chance.one_of(&[
        ("200 OK", ""),
        ("200 OK", ""),
        (
            "200 OK",
            "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
        ),
        ("200 OK", ""),
        ("200 OK", "Server: x\r\n"),
        ("200 OK", ""),
        ("201 Created", ""),
        ("200", "Connection: close\r\n"),
        ("204 No Content", ""),
        ("404 Not Found", ""),
        ("500 Internal Server Error", ""),
        ("503 Service Unavailable", "X-Not-Executed: 1\r\n"),
        ("503 Service Unavailable", "X-Not-Executed: 1\r\n"),
        ("429 Too Many Requests", "X-Not-Executed: 1\r\n"),
        ("503 Service Unavailable", ""),
        ("429 Too Many Requests", ""),
        ("408 Request Timeout", ""),
        ("400 Bad Request", "X-Not-Executed: 1\r\n"),
    ]);
    let seal = if status.starts_with('2') {
        "X-Server-Seal: 3e1b.07\r\n"
    } else {
        ""
    };
    let body = format!("for {id}{}", "+".repeat(chance.below(40)));
    let head = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{seal}{more}");
    if status.starts_with("204") {
        return format!("{head}\r\n").into_bytes();
    }
    if chance.percent(65) {
        return format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
    }
    let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let mut left = body.as_str();
    while !left.is_empty() {
        let (now, later) = left.split_at(1 + chance.below(left.len()));
        let extension = chance.one_of(&["", "", ";a=b"]);
        text += &format!("{:x}{extension}\r\n{now}\r\n", now.len());
        left = later;
    }
    text += chance.one_of(&["0\r\n\r\n", "0\r\n\r\n", "0\r\nX-Late: 1\r\n\r\n"]);
    text.into_bytes()
}

/// A right answer made wrong in one way, or in none.
fn spoilt(chance: &mut Chance, id: &str, earlier: &str) -> (Vec<u8>, Then) {
    let mut bytes = right(chance, id);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let with = |from: &str, to: &str| text.replacen(from, to, 1).into_bytes();
    let mut then = if chance.percent(5) {
        Then::Close
    } else {
        Then::Keep
    };
    let id_line = format!("X-Attempt-Id: {id}\r\n");
    match chance.below(220) {
        0 => bytes = with(&id_line, &format!("X-Attempt-Id: {earlier}\r\n")),
        1 => bytes = with(&id_line, ""),
        2 => bytes = with(&id_line, &format!("{id_line}X-Attempt-Id: {earlier}\r\n")),
        3 => bytes = with("X-Server-Seal: 3e1b.07\r\n", ""),
        4 => {
            bytes.truncate(chance.below(bytes.len()));
            then = chance.one_of(&[Then::Close, Then::Reset]);
        }
        5 => bytes = b"\x16\x03\x01 none of your business\r\n\r\n".to_vec(),
        6 => bytes.extend_from_slice(b"and more"),
        7 => bytes.extend(right(chance, earlier)),
        8 => bytes.extend(bytes.clone()),
        9 => {
            let part = right(chance, earlier);
            bytes.extend_from_slice(&part[..chance.below(part.len())]);
        }
        10 => bytes = with("Content-Length: ", "Content-Length: 1"),
        11 => bytes = with("Content-Length: ", "Content-Length: +"),
        12 => bytes = with("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n"),
        13 => bytes = with("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"),
        14 => {
            bytes = with(
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
            )
        }
        15 => {
            let framing = if text.contains("Content-Length") {
                "Content-Length"
            } else {
                "Transfer-Encoding"
            };
            bytes = with(framing, "X-Was");
            then = Then::Close;
        }
        16 => {
            bytes = with("Transfer-Encoding: chunked", "Transfer-Encoding: identity");
            then = chance.one_of(&[Then::Close, Then::Keep]);
        }
        17 => bytes = with("\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n"),
        18 => bytes = with("\r\n\r\n", "\r\n folded\r\n\r\n"),
        19 => bytes = with("X-Attempt-Id:", "X-Attempt-Id :"),
        20 => bytes = text.replace("\r\n", "\n").into_bytes(),
        21 => {
            bytes = with(
                "HTTP/1.1 ",
                &"HTTP/1.1 100 Continue\r\n\r\n".repeat(1 + chance.below(30)),
            )
        }
        22 => {
            bytes = with(
                "HTTP/1.1",
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1",
            )
        }
        23 => bytes = with("HTTP/1.1 2", "HTTP/1.1 7"),
        24 => bytes = with("HTTP/1.1", "HTTP/1.0"),
        25 => {
            bytes = with(
                "HTTP/1.1",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1",
            )
        }
        26 => {
            bytes = with(
                "\r\n\r\n",
                "\r\nConnection: X-Server-Seal, X-Attempt-Id\r\n\r\n",
            )
        }
        27 => bytes = with("HTTP/1.1 ", "\r\n\r\nHTTP/1.1 "),
        28..32 => {
            let at = chance.below(bytes.len());
            bytes[at] ^= 1 << chance.below(8);
        }
        32 | 33 => {
            bytes.clear();
            then = chance.one_of(&[Then::Close, Then::Reset]);
        }
        _ => {}
    }
    (bytes, then)
}

/// A backend's end of a connection.
struct Peer {
    stream: TcpStream,
    case: Rc<Case>,
    wire: Rc<RefCell<Wire>>,
}

impl Peer {
    async fn write(&mut self, bytes: &[u8], chance: &mut Chance) -> bool {
        let how = chance.below(16);
        let mut left = bytes;
        while !left.is_empty() {
            let size = match how {
                0 => 1,
                1..5 => 1 + chance.below(left.len()),
                _ => left.len(),
            };
            let (now, later) = left.split_at(size);
            left = later;
            if self.stream.write_all(now).await.is_err() {
                return false;
            }
            {
                let mut wire = self.wire.borrow_mut();
                wire.wrote.extend_from_slice(now);
                let end = wire.wrote.len();
                wire.moments.push((self.case.now(), end));
            }
            tokio::task::yield_now().await;
        }
        true
    }

    fn end(self, then: Then) {
        if then == Then::Reset {
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

async fn serve(mut peer: Peer, mut chance: Chance) {
    let (mut inbox, mut earlier) = (Vec::new(), "0-0-0".to_owned());
    let mut late = false;
    loop {
        let mut part = [0_u8; 16 << 10];
        let Ok(count @ 1..) = peer.stream.read(&mut part).await else {
            return;
        };
        let begun = inbox.is_empty();
        inbox.extend_from_slice(&part[..count]);
        if std::mem::take(&mut late) {
            let extra = right(&mut chance, &earlier);
            peer.write(&extra, &mut chance).await;
        }
        let (asked, end) = match request(&inbox, 0) {
            Ok(asked) => asked,
            Err(Odd::Bad(why)) => panic!("the door wrote no request: {why}"),
            Err(Odd::Short) => {
                if !begun || !chance.percent(15) {
                    continue;
                }
                // A part of it has come: all but the last byte, or what one write held.
                let text = String::from_utf8_lossy(&inbox);
                let id = text
                    .lines()
                    .find_map(|line| line.strip_prefix("x-attempt-id: "))
                    .unwrap_or("none");
                {
                    let mut wire = peer.wire.borrow_mut();
                    let wrote = wire.wrote.len();
                    wire.early.push((id.to_owned(), wrote));
                }
                let (bytes, then) = match chance.below(6) {
                    0 => (Vec::new(), Then::Close),
                    1 => (Vec::new(), Then::Reset),
                    2 => (right(&mut chance, id), Then::Keep),
                    3 => (right(&mut chance, &earlier), Then::Keep),
                    4 => (b"HTTP/1.1 1".to_vec(), Then::Keep),
                    _ => (right(&mut chance, id), Then::Close),
                };
                if !peer.write(&bytes, &mut chance).await || then != Then::Keep {
                    return peer.end(then);
                }
                continue;
            }
        };
        inbox.drain(..end);
        let id = asked.single("x-attempt-id").unwrap_or("none").to_owned();
        let silent = asked
            .single("x-time-remaining")
            .and_then(|ms| ms.parse::<u64>().ok())
            .unwrap_or(0)
            < 50;
        {
            let mut wire = peer.wire.borrow_mut();
            let wrote = wire.wrote.len();
            wire.came.push((asked, wrote));
        }
        if silent && chance.percent(60) {
            continue;
        }
        let (bytes, then) = spoilt(&mut chance, &id, &earlier);
        if !peer.write(&bytes, &mut chance).await || then != Then::Keep {
            return peer.end(then);
        }
        // Something that nobody asked for: soon, or just as the next request comes; or the end, which may meet it.
        match chance.below(40) {
            0 | 1 => {
                for _ in 0..chance.below(30) {
                    tokio::task::yield_now().await;
                }
                let extra = if chance.percent(30) {
                    b"x".to_vec()
                } else {
                    right(&mut chance, &id)
                };
                peer.write(&extra, &mut chance).await;
            }
            2 => late = true,
            3 => {
                for _ in 0..chance.below(30) {
                    tokio::task::yield_now().await;
                }
                return peer.end(chance.one_of(&[Then::Close, Then::Reset]));
            }
            _ => {}
        }
        earlier = id;
    }
}

async fn listen(case: Rc<Case>, seed: u64) -> (SocketAddr, tokio::task::AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let task = tokio::task::spawn_local(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let _ = stream.set_nodelay(true);
            let wire = Rc::new(RefCell::new(Wire::default()));
            case.wires.borrow_mut().push(wire.clone());
            let chance = Chance::new(seed ^ (number << 32));
            tokio::task::spawn_local(serve(
                Peer {
                    stream,
                    case: case.clone(),
                    wire,
                },
                chance,
            ));
        }
    });
    (address, task.abort_handle())
}

// ---- Clients ----------------------------------------------------------------------------------------

/// One client after the other on kept connections; some go before their answer.
async fn ask(
    case: Rc<Case>,
    front: SocketAddr,
    mut chance: Chance,
    name: String,
) -> Result<(), String> {
    let mut kept: Option<TcpStream> = None;
    for number in 0..2 + chance.below(5) {
        let id = format!("{name}-{number}");
        let once = chance.percent(60);
        let method = chance.one_of(&["GET", "POST", "POST", "PUT", "HEAD"]);
        let long = if chance.percent(2) { 400 << 10 } else { 64 };
        let body = if ["GET", "HEAD"].contains(&method) {
            0
        } else {
            chance.below(long)
        };
        let sent = Sent {
            method,
            path: format!("/{}/{id}?q={number}", if once { "once" } else { "safe" }),
            body: (0..body).map(|at| b"abcdefgh"[(at + number) % 8]).collect(),
            once,
            moment: case.now(),
        };
        let wait = if chance.percent(4) {
            WAITS[1]
        } else {
            WAITS[0]
        };
        let mut bytes = format!(
            "{method} {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: {wait}\r\n",
            sent.path
        )
        .into_bytes();
        if body > 0 {
            bytes.extend(format!("Content-Length: {body}\r\n").into_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&sent.body);
        case.sent.borrow_mut().insert(id.clone(), sent);
        let mut stream = match kept.take().filter(|_| chance.percent(85)) {
            Some(stream) => stream,
            None => TcpStream::connect(front)
                .await
                .map_err(|error| format!("no door: {error}"))?,
        };
        if stream.write_all(&bytes).await.is_err() {
            continue;
        }
        if chance.percent(3) {
            for _ in 0..chance.below(20) {
                tokio::task::yield_now().await;
            }
            continue;
        }
        let mut inbox = Vec::new();
        let got = loop {
            let mut part = [0_u8; 16 << 10];
            let read = tokio::time::timeout(PATIENCE, stream.read(&mut part));
            let count = read
                .await
                .map_err(|_| format!("{id}: no answer"))?
                .unwrap_or(0);
            inbox.extend_from_slice(&part[..count]);
            match answer(&inbox, 0, method) {
                Ok((got, end)) if end == inbox.len() => break Some(got),
                Ok((_, end)) => {
                    return Err(format!(
                        "{id}: {} bytes behind the answer",
                        inbox.len() - end
                    ))
                }
                Err(Odd::Bad(why)) => return Err(format!("{id}: no answer: {why}")),
                Err(Odd::Short) if count == 0 && inbox.is_empty() => break None,
                Err(Odd::Short) if count == 0 => return Err(format!("{id}: a part of an answer")),
                Err(Odd::Short) => {}
            }
        };
        if let Some(got) = got {
            if !got.closes() {
                kept = Some(stream);
            }
            case.got.borrow_mut().push((id, got));
        }
    }
    Ok(())
}

// ---- Judgement --------------------------------------------------------------------------------------

/// How often things happened.
#[derive(Default, Debug)]
struct Tally {
    requests: u64,
    passed: u64,
    own: u64,
    not_sent: u64,
    lost: u64,
    sent_on: u64,
    again: u64,
    odd: u64,
}

fn judge(case: &Case, tally: &mut Tally) -> Result<(), String> {
    let sent = case.sent.borrow();
    // Of each request, in no order: what came of it on each wire, and the answer to it there.
    let mut came: HashMap<&str, Vec<Option<Message>>> = HashMap::new();
    let wires: Vec<_> = case.wires.borrow().iter().cloned().collect();
    let wires: Vec<_> = wires.iter().map(|wire| wire.borrow()).collect();
    for wire in &wires {
        // Up to where answers have been read, and from which moment on the connection is of no more use.
        let (mut read, mut over) = (0, None::<u64>);
        let written = |upto: usize| {
            wire.moments
                .iter()
                .find(|(_, end)| *end >= upto)
                .map_or(0, |(at, _)| *at)
        };
        let mut here: Vec<&str> = Vec::new();
        for (asked, wrote) in &wire.came {
            let id = asked
                .single("x-attempt-id")
                .ok_or("a request without one id")?;
            let (known, was) = sent
                .get_key_value(id)
                .ok_or(format!("{id}: nobody sent it"))?;
            if !asked
                .start
                .starts_with(&format!("{} {} HTTP/1.", was.method, was.path))
                || asked.body != was.body
            {
                return Err(format!("{id}: it was changed on its way: {asked:?}"));
            }
            if here.contains(&id) {
                return Err(format!("{id}: it came twice on one connection"));
            }
            here.push(known);
            // What was written on it before the client had sent this.
            if over.is_some_and(|at| at < was.moment) {
                return Err(format!(
                    "{id}: it came on a connection that was of no more use"
                ));
            }
            if *wrote > read && written(read + 1) < was.moment {
                return Err(format!(
                    "{id}: it came behind {} bytes that nobody asked for",
                    wrote - read
                ));
            }
            let mut answered = None;
            if over.is_none() {
                match answer(&wire.wrote, read, was.method) {
                    Ok((got, end)) if got.single("x-attempt-id") == Some(id) => {
                        read = end;
                        if got.closes() {
                            over = Some(written(end));
                        }
                        answered = Some(got);
                    }
                    Ok((_, end)) => over = Some(written(end)),
                    Err(Odd::Bad(_)) => over = Some(written(wire.wrote.len())),
                    // Whatever the door makes of it, it cannot have read an answer from it.
                    Err(Odd::Short) => over = Some(u64::MAX),
                }
                tally.odd += u64::from(over.is_some());
            }
            came.entry(known).or_default().push(answered);
        }
    }
    tally.sent_on += came.values().map(|all| all.len() as u64).sum::<u64>();
    tally.again += came.values().map(|all| all.len() as u64 - 1).sum::<u64>();
    let not_run = |got: &Option<Message>| {
        let said = |got: &Message| got.status() == 421 || !got.all("x-not-executed").is_empty();
        got.as_ref()
            .is_some_and(|got| said(got) && !(200..300).contains(&got.status()))
    };
    for (id, all) in &came {
        let may_have_run = all.iter().filter(|got| !not_run(got)).count();
        if sent[*id].once && may_have_run > 1 {
            return Err(format!(
                "{id}: sent {} times, and {may_have_run} may have run it",
                all.len()
            ));
        }
    }
    let none = Vec::new();
    for (id, got) in case.got.borrow().iter() {
        let all = came.get(id.as_str()).unwrap_or(&none);
        if got.single("x-attempt-id") != Some(id) {
            return Err(format!("{id}: answered as {:?}", got.all("x-attempt-id")));
        }
        let promise = [408, 421, 429, 503].contains(&got.status());
        if promise && sent[id].once && !all.iter().all(not_run) {
            return Err(format!(
                "{id}: answered {} and it may have run",
                got.status()
            ));
        }
        // The door gives a body only where it could not read the request.
        let unread = got.status() == 408 && got.body == b"step=read field=body\n" && all.is_empty();
        let own = ([502, 503, 504].contains(&got.status()) && got.body.is_empty() || unread)
            && got.all("x-server-seal").is_empty()
            && got.all("x-not-executed").is_empty();
        let head = sent[id].method == "HEAD";
        let same = |theirs: &&Message| {
            theirs.status() == got.status()
                && (head || theirs.body == got.body)
                && theirs.all("x-server-seal") == got.all("x-server-seal")
                && theirs.all("content-encoding").is_empty()
                && ((300..600).contains(&theirs.status())
                    || theirs.single("x-server-seal").is_some())
        };
        // One that began before its request was whole, and was read after.
        let early = wires.iter().flat_map(|wire| {
            let here = wire.early.iter().filter(|(early, _)| early == id);
            here.filter_map(|(_, from)| answer(&wire.wrote, *from, sent[id].method).ok())
        });
        let early: Vec<_> = early
            .map(|(got, _)| got)
            .filter(|got| got.single("x-attempt-id") == Some(id))
            .collect();
        match all.iter().flatten().chain(&early).find(same) {
            Some(_) => tally.passed += 1,
            None if own => {
                tally.own += 1;
                tally.not_sent += u64::from(all.is_empty());
            }
            None => {
                return Err(format!(
                    "{id}: {} {:?} is no backend's answer to it",
                    got.start, got.headers
                ))
            }
        }
    }
    tally.requests += sent.len() as u64;
    tally.lost += (sent.len() - case.got.borrow().len()) as u64;
    Ok(())
}

async fn play(seed: u64, tally: &RefCell<Tally>) -> Result<(), String> {
    let mut chance = Chance::new(seed);
    let case = Rc::new(Case::default());
    let (mut backends, mut tasks) = (Vec::new(), Vec::new());
    for number in 0..1 + chance.below(3) as u64 {
        let (address, task) = listen(case.clone(), seed ^ (number + 1) << 48).await;
        backends.push(address);
        tasks.push(task);
    }
    let front = Front::open(seed, &backends).await;
    let clients: Vec<_> = (0..1 + chance.below(3))
        .map(|lane| {
            let chance = Chance::new(seed ^ (lane as u64 + 1) << 56);
            tokio::task::spawn_local(ask(
                case.clone(),
                front.address,
                chance,
                format!("{seed}-{lane}"),
            ))
        })
        .collect();
    let mut result = Ok(());
    for client in clients {
        result = result.and(client.await.map_err(|error| error.to_string())?);
    }
    tasks.iter().for_each(|task| task.abort());
    result.and_then(|()| judge(&case, &mut tally.borrow_mut()))
}

#[test]
fn what_a_client_gets_is_its_own_answer_and_nothing_is_sent_twice() {
    let begun = Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let (next, tally) = (
        Rc::new(Cell::new(0)),
        Rc::new(RefCell::new(Tally::default())),
    );
    let broken = Rc::new(RefCell::new(Vec::new()));
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(async {
        let players: Vec<_> = (0..AT_A_TIME)
            .map(|_| {
                let (next, tally, broken) = (next.clone(), tally.clone(), broken.clone());
                tokio::task::spawn_local(async move {
                    while next.get() < CASES {
                        let seed = next.get();
                        next.set(seed + 1);
                        if let Err(why) = play(seed, &tally).await {
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
    let (broken, tally) = (broken.borrow(), tally.borrow());
    println!(
        "{CASES} cases in {:.1} s, {} broken: {tally:?}",
        begun.elapsed().as_secs_f64(),
        broken.len()
    );
    assert!(
        broken.is_empty(),
        "{} of {CASES}, the first: {:#?}",
        broken.len(),
        &broken[..broken.len().min(8)]
    );
    // The play is worth something only while most requests are served, and many are repeated.
    assert!(
        tally.passed > tally.own && tally.again > CASES && tally.odd > CASES,
        "{tally:?}"
    );
}
