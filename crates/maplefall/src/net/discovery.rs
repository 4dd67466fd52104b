//! The list of backends: a watch that is resumed where it ended, and the whole list when one is unreadable.

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use maplefall_protocol::Members;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Discovery says something every 2 s; a watch silent for three of these has lost its other end.
const SILENCE: Duration = Duration::from_millis(6500);
/// Pause before discovery is asked again after a watch has ended.
const PAUSE: Duration = Duration::from_millis(250);
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
    #[error("unreadable line: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("a line of over {LONGEST_LINE} bytes")]
    TooLong,
}

/// What is heard of discovery.
#[derive(Clone, Copy, Debug)]
pub enum Heard<'a> {
    /// The list, or what changed in it.
    Members(&'a Members),
    /// It is there, and nothing has changed.
    Alive,
    /// Its watch has ended.
    Lost,
}

/// Follows discovery for as long as the front door runs, from the `version` that it last had, and hands on what is
/// told. When `agent` tells another address, the old watch is left at once and resumed there.
pub async fn follow(
    take: impl Fn(Heard<'_>),
    mut agent: watch::Receiver<SocketAddr>,
    mut version: Option<u64>,
) {
    let mut down = false;
    loop {
        let address = *agent.borrow_and_update();
        let before = version;
        let path = match version {
            Some(seq) => format!("/catalog/members?watch=1&from={seq}"),
            None => "/catalog/members".to_owned(),
        };
        let ended = tokio::select! {
            ended = read(&take, address, &path, &mut version) => ended,
            _ = agent.changed() => continue,
        };
        // A place that does not know the version, or tells what cannot be read, is asked for the whole list.
        if matches!(ended, Err(Ended::Unreadable(_) | Ended::TooLong | Ended::Status(_))) {
            version = None;
        }
        let whole_list = before.is_none() && ended.is_ok();
        if whole_list && version.is_some() {
            continue;
        }
        take(Heard::Lost);
        // One line for an outage, not one for each try.
        if !down || version != before {
            let why = ended.err().map_or("closed".to_owned(), |error| error.to_string());
            eprintln!("discovery: watch ended: {why}");
        }
        down = version == before;
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
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
fn take_line(take: &impl Fn(Heard<'_>), line: &[u8], version: &mut Option<u64>) -> Result<(), Ended> {
    if line.trim_ascii().is_empty() {
        take(Heard::Alive);
        return Ok(());
    }
    let members: Members = serde_json::from_slice(line)?;
    take(Heard::Members(&members));
    *version = Some(members.seq);
    Ok(())
}
