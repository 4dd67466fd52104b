//! The list of backends: a watch that is resumed where it ended, and the whole list when one is unreadable.

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use maplefall_agent::{line, Line, Unreadable, Word};
use maplefall_back_off::BackOff;
use maplefall_policy::{Discovery, Settings};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Discovery says something every 2 s; a watch silent for three of these has lost its other end.
const SILENCE: Duration = Duration::from_millis(6500);
/// Shortest pause before discovery is asked again after a watch has ended, in milliseconds.
pub const SHORTEST_PAUSE: f64 = 250.0;
/// Longest line that is taken in.
const LONGEST_LINE: usize = 4 << 20;

/// How a watch ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("silent")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    #[error("a line of over {LONGEST_LINE} bytes")]
    TooLong,
}

impl Ended {
    /// Whether changes since the version last had may not do any more.
    fn spoils_the_version(&self) -> bool {
        match self {
            Ended::Unreadable(_) | Ended::TooLong => true,
            Ended::Status(status) => *status != StatusCode::SERVICE_UNAVAILABLE,
            _ => false,
        }
    }
}

/// What is heard of discovery.
#[derive(Clone, Copy, Debug)]
pub enum Heard<'a> {
    /// The list, or what changed in it.
    Word(&'a Word),
    /// It is there, and nothing has changed.
    Alive,
    /// Its watch has ended.
    Lost,
}

/// The pauses between calls to discovery. Where it pushes, it is an agent on this machine that answers at once and at no
/// cost, and what it has been sent counts as told: it is asked at once and soon again, however large the fleet. Where it
/// must be asked, it is one service for all doors, and the pauses go by how many these are.
pub fn pauses(settings: &Settings, seed: u64) -> BackOff {
    let sharing = match settings.discovery {
        Discovery::Pushed => 1,
        Discovery::OnRequest => settings.gateways,
    };
    BackOff::new(sharing, SHORTEST_PAUSE, seed)
}

/// Follows discovery for as long as the front door runs, from the `version` that it last had, and hands on what is
/// told. When `agent` tells another address, the old watch is left at once and resumed there. Discovery that fails is
/// asked again after one of the [`pauses`].
pub async fn follow(
    take: impl Fn(Heard<'_>),
    mut agent: watch::Receiver<SocketAddr>,
    mut version: Option<u64>,
    mut pauses: BackOff,
) {
    let mut down = false;
    if version.is_some() {
        // Doors that were started together ask one after another, as long as each has a list to serve from.
        tokio::time::sleep(Duration::from_secs_f64(pauses.at_the_start() / 1000.0)).await;
    }
    loop {
        let address = *agent.borrow_and_update();
        let before = version;
        let path = match version {
            Some(seq) => format!("/catalog/members?watch=1&from={seq}"),
            None => "/catalog/members".to_owned(),
        };
        let heard = Cell::new(false);
        let hear = |word: Heard<'_>| {
            heard.set(true);
            take(word);
        };
        let ended = tokio::select! {
            ended = read(&hear, address, &path, &mut version) => ended,
            _ = agent.changed() => continue,
        };
        // A place that does not know the version, or tells what cannot be read, is asked for the whole list; one that has
        // too much to do is not, as that costs it more than the changes.
        if ended.as_ref().is_err_and(Ended::spoils_the_version) {
            version = None;
        }
        let whole_list = before.is_none() && ended.is_ok();
        if whole_list && version.is_some() {
            continue;
        }
        take(Heard::Lost);
        if heard.get() {
            pauses.served();
        }
        // One line for an outage, not one for each try.
        if !down || version != before {
            let why = ended.err().map_or("closed".to_owned(), |error| error.to_string());
            eprintln!("discovery: watch ended: {why}");
        }
        down = version == before;
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(pauses.pause() / 1000.0)) => {}
            _ = agent.changed() => {}
        }
    }
}

/// Asks for `path` and takes in each line of the answer until it ends.
async fn read(
    take: &impl Fn(Heard<'_>),
    agent: SocketAddr,
    path: &str,
    version: &mut Option<u64>,
) -> Result<(), Ended> {
    let stream = timeout(SILENCE, TcpStream::connect(agent)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // Ends with this function: the set ends its tasks when it is dropped.
    let mut tied = tokio::task::JoinSet::new();
    tied.spawn_local(connection);
    let request = Request::get(path).header(HOST, agent.to_string()).body(Empty::<Bytes>::new())?;
    let answer = timeout(SILENCE, sender.send_request(request)).await??;
    if answer.status() != StatusCode::OK {
        return Err(Ended::Status(answer.status()));
    }
    let mut body = answer.into_body();
    let mut pending = Vec::new();
    while let Some(frame) = timeout(SILENCE, body.frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        for byte in data {
            if byte == b'\n' {
                take_line(take, &pending, version)?;
                pending.clear();
            } else if pending.len() < LONGEST_LINE {
                pending.push(byte);
            } else {
                return Err(Ended::TooLong);
            }
        }
    }
    take_line(take, &pending, version)
}

/// Hands a line to the front door; an empty one only says that discovery is there.
fn take_line(take: &impl Fn(Heard<'_>), text: &[u8], version: &mut Option<u64>) -> Result<(), Ended> {
    match line(text)? {
        Line::Alive => take(Heard::Alive),
        Line::Word(word) => {
            take(Heard::Word(&word));
            *version = Some(word.members.seq);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Guards the rule on drains in a large fleet: a door that starts with an old list may send to no backend 500 ms after
    /// the agent beside it has heard of the drain, so it cannot take turns with doors whose agents are their own.
    #[test]
    fn an_agent_of_its_own_is_asked_at_once_however_large_the_fleet() {
        for gateways in [1, 4, 100, 315, u32::MAX] {
            let pushed = Settings {
                gateways,
                discovery: Discovery::Pushed,
                drain_grace: 500.0,
                ..Settings::default()
            };
            let asked = Settings { discovery: Discovery::OnRequest, ..pushed.clone() };
            let longest = |settings: &Settings, of: fn(&mut BackOff) -> f64| {
                (0..50).map(|seed| of(&mut pauses(settings, seed))).fold(0.0, f64::max)
            };
            assert_eq!(longest(&pushed, BackOff::at_the_start), 0.0, "{gateways} doors");
            assert!(longest(&pushed, BackOff::pause) < pushed.drain_grace, "{gateways} doors");
            assert_eq!(longest(&asked, BackOff::at_the_start) > 1000.0, gateways >= 100, "{gateways} doors");
        }
    }

    /// Guards a discovery that has too much to do against being asked for more: turned away, a door goes on from the
    /// version that it has; only where that is unknown is the whole list asked for.
    #[test]
    fn a_door_that_is_turned_away_asks_for_changes_again_and_not_for_the_whole_list() {
        let answers = [
            "503 Service Unavailable",
            "503 Service Unavailable",
            "404 Not Found",
            "503 Service Unavailable",
        ];
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let asked = runtime.block_on(tokio::task::LocalSet::new().run_until(async {
            let agent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let (_keep, address) = watch::channel(agent.local_addr().expect("an address"));
            let pauses = BackOff::new(1, SHORTEST_PAUSE, 7);
            let following = tokio::task::spawn_local(follow(|_| {}, address, Some(7), pauses));
            let mut asked = Vec::new();
            for status in answers {
                let (mut stream, _) = agent.accept().await.expect("a call");
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    assert!(stream.read_buf(&mut head).await.expect("a request") > 0, "ended");
                }
                let head = String::from_utf8(head).expect("text");
                asked.push(head.split(' ').nth(1).expect("a path").to_owned());
                let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).await.expect("a reader");
            }
            following.abort();
            asked
        }));
        let changes = "/catalog/members?watch=1&from=7";
        assert_eq!(asked, [changes, changes, changes, "/catalog/members"]);
    }
}
