//! The platform's agent: makes the calls that `maplefall-discovery-agent` requests, and delivers
//! their results.
//!
//! Invariant: a call that the follower has ended delivers nothing further, and a call that delivers
//! faster than the follower processes is slowed down rather than buffered.

#[cfg(feature = "breakages")]
use super::breakages;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use maplefall_discovery_agent::{
    CallEnd, CallEvent, CallId, Follower, LineSplitter, Output, RequestKind,
};
use maplefall_upstream::Clock;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// Maximum number of buffered lines of all calls; a call with more waits. A line may be up to
/// `MAX_LINE_BYTES` long, so the bound keeps an agent that sends much from filling the memory.
const CALL_CHANNEL_CAPACITY: usize = 1;

/// An event of a call.
type CallUpdate = (CallId, CallEvent);

/// Follows the agent for as long as the process runs, and delivers the follower's outputs other
/// than calls. When `moved` changes, the old watch is closed at once and a new one is opened at
/// that address.
pub async fn follow(
    mut follower: Follower,
    clock: Clock,
    mut moved: watch::Receiver<SocketAddr>,
    deliver: impl Fn(Output),
) {
    let (updates, mut received) = mpsc::channel::<CallUpdate>(CALL_CHANNEL_CAPACITY);
    let mut calls: HashMap<CallId, AbortHandle> = HashMap::new();
    // The set aborts its tasks when it is dropped at the end of this function.
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let deadline = async {
            match follower.next_due() {
                Some(due) if due <= clock.now() => {}
                Some(due) => tokio::time::sleep_until(clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        let outputs = tokio::select! {
            // Received events are handled before deadlines: a watch that has just received
            // something has not timed out.
            biased;
            Some((call, event)) = received.recv() => {
                if let CallEvent::Ended(_) = event {
                    calls.remove(&call);
                }
                #[cfg(feature = "breakages")]
                let event = breakages::received_event(event);
                #[cfg(feature = "breakages")]
                let original = event.clone();
                let outputs = follower.handle_call_event(clock.now(), call, event);
                #[cfg(feature = "breakages")]
                let outputs = breakages::follower_outputs(&original, outputs);
                outputs
            }
            Ok(()) = moved.changed() => {
                let address = *moved.borrow_and_update();
                follower.move_to(clock.now(), address)
            }
            () = deadline => follower.tick(clock.now()),
        };
        while tasks.try_join_next().is_some() {}
        for output in outputs {
            match output {
                Output::OpenCall {
                    call,
                    address,
                    request,
                } => {
                    let updates = updates.clone();
                    let task = tasks.spawn_local(async move {
                        let end = run_call(call, address, request, &updates).await;
                        // Sending fails when the process ends.
                        let _ = updates.send((call, CallEvent::Ended(end))).await;
                    });
                    calls.insert(call, task);
                }
                Output::CloseCall(call) => {
                    if let Some(task) = calls.remove(&call) {
                        task.abort();
                    }
                }
                output => deliver(output),
            }
        }
    }
}

/// Makes a call, sends each line of the response, and returns how the call ended.
async fn run_call(
    call: CallId,
    address: SocketAddr,
    kind: RequestKind,
    updates: &mpsc::Sender<CallUpdate>,
) -> CallEnd {
    read_response(call, address, kind, updates)
        .await
        .unwrap_or_else(|end| end)
}

fn broken_connection(error: impl std::fmt::Display) -> CallEnd {
    CallEnd::ConnectionFailed(error.to_string())
}

async fn read_response(
    call: CallId,
    address: SocketAddr,
    kind: RequestKind,
    updates: &mpsc::Sender<CallUpdate>,
) -> Result<CallEnd, CallEnd> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(broken_connection)?;
    stream.set_nodelay(true).map_err(broken_connection)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(broken_connection)?;
    let mut connection_task = tokio::task::JoinSet::new();
    connection_task.spawn_local(connection);
    let request = Request::get(kind.path())
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new());
    let response = sender
        .send_request(request.map_err(broken_connection)?)
        .await
        .map_err(broken_connection)?;
    if response.status() != StatusCode::OK {
        return Err(CallEnd::Status(response.status().as_u16()));
    }
    let send = |event| async { updates.send((call, event)).await.map_err(broken_connection) };
    send(CallEvent::ResponseStarted).await?;
    let mut body = response.into_body();
    let mut lines = LineSplitter::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(broken_connection)?.into_data() else {
            continue;
        };
        let mut complete = Vec::new();
        let pushed = lines.push(&data, |line| {
            complete.push(line.to_vec());
            Ok(())
        });
        for line in complete {
            send(CallEvent::Line(line)).await?;
        }
        pushed.map_err(|error| CallEnd::MalformedLine(error.to_string()))?;
    }
    let rest = lines.remainder();
    if !rest.is_empty() {
        send(CallEvent::Line(rest)).await?;
    }
    Ok(CallEnd::Complete)
}
