//! The platform's agent: carries out the calls that `maplefall-discovery-agent` asks for, and hands on what comes of them.

#[cfg(feature = "breakages")]
use super::breakages;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use maplefall_discovery_agent::{CallId, End, Follower, Heard, Lines, Output, What};
use maplefall_upstream::Clock;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// Lines of calls that wait to be taken in; a call that has more to say waits itself. Each may be as long as `LONGEST_LINE`, and
/// two calls are open at most: so few, that an agent that says much fills no memory.
const WAITING: usize = 1;

/// What a call said.
type Said = (CallId, Heard);

/// Follows the agent for as long as the front door runs, and hands on what comes out but for the calls. When `moved` tells
/// another address, the old watch is left at once and opened there.
pub async fn follow(
    mut follower: Follower,
    clock: Clock,
    mut moved: watch::Receiver<SocketAddr>,
    take: impl Fn(Output),
) {
    let (says, mut hear) = mpsc::channel::<Said>(WAITING);
    let mut calls: HashMap<CallId, AbortHandle> = HashMap::new();
    // Ends with this function: the set ends its tasks when it is dropped.
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let due = async {
            match follower.next_due() {
                Some(due) if due <= clock.now() => {}
                Some(due) => tokio::time::sleep_until(clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        let out = tokio::select! {
            // What has been said goes before what is due: a watch is not taken for silent that has just spoken.
            biased;
            Some((call, heard)) = hear.recv() => {
                if let Heard::Ended(_) = heard {
                    calls.remove(&call);
                }
                #[cfg(feature = "breakages")]
                let heard = breakages::as_heard(heard);
                #[cfg(feature = "breakages")]
                let as_it_came = heard.clone();
                let out = follower.heard_of(clock.now(), call, heard);
                #[cfg(feature = "breakages")]
                let out = breakages::as_told(&as_it_came, out);
                out
            }
            Ok(()) = moved.changed() => {
                let place = *moved.borrow_and_update();
                follower.moved(clock.now(), place)
            }
            () = due => follower.tick(clock.now()),
        };
        while tasks.try_join_next().is_some() {}
        for output in out {
            match output {
                Output::Ask { call, place, what } => {
                    let says = says.clone();
                    let task = tasks.spawn_local(async move {
                        let end = ask(call, place, what, &says).await;
                        // Nobody hears it only when the front door has ended.
                        let _ = says.send((call, Heard::Ended(end))).await;
                    });
                    calls.insert(call, task);
                }
                Output::HangUp(call) => {
                    if let Some(task) = calls.remove(&call) {
                        task.abort();
                    }
                }
                output => take(output),
            }
        }
    }
}

/// Makes a call and says each line of its answer until it ends.
async fn ask(call: CallId, place: SocketAddr, what: What, says: &mpsc::Sender<Said>) -> End {
    read(call, place, what, says)
        .await
        .unwrap_or_else(|end| end)
}

fn broken(error: impl std::fmt::Display) -> End {
    End::Broken(error.to_string())
}

async fn read(
    call: CallId,
    place: SocketAddr,
    what: What,
    says: &mpsc::Sender<Said>,
) -> Result<End, End> {
    let stream = TcpStream::connect(place).await.map_err(broken)?;
    stream.set_nodelay(true).map_err(broken)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(broken)?;
    let mut tied = tokio::task::JoinSet::new();
    tied.spawn_local(connection);
    let request = Request::get(what.path())
        .header(HOST, place.to_string())
        .body(Empty::<Bytes>::new());
    let answer = sender
        .send_request(request.map_err(broken)?)
        .await
        .map_err(broken)?;
    if answer.status() != StatusCode::OK {
        return Err(End::Status(answer.status().as_u16()));
    }
    let say = |heard| async { says.send((call, heard)).await.map_err(broken) };
    say(Heard::Begun).await?;
    let mut body = answer.into_body();
    let mut lines = Lines::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(broken)?.into_data() else {
            continue;
        };
        let mut whole = Vec::new();
        let cut = lines.push(&data, |line| {
            whole.push(line.to_vec());
            Ok(())
        });
        for line in whole {
            say(Heard::Line(line)).await?;
        }
        cut.map_err(|error| End::Unreadable(error.to_string()))?;
    }
    let rest = lines.rest();
    if !rest.is_empty() {
        say(Heard::Line(rest)).await?;
    }
    Ok(End::Whole)
}
