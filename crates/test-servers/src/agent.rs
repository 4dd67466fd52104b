//! A fake discovery agent of one gateway (protocol page, "Discovery"): it serves the full member
//! list and watches with changes and heartbeats. Scripts can make it silent, reset its watches,
//! move it or set a [`Lapse`]. How late it learns of a change is up to the caller of
//! [`Agent::update`].

use crate::wire::Link;
use maplefall_event_trace::{EventKind, Health, Millis, Recorder};
use maplefall_protocol::{Health as Wire, Member, Members};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of the empty lines on a watch while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Interval at which a watch of a lagging agent checks for changes that have become visible.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of changes kept; a watch from an older version starts with the full list.
const MAX_CHANGES: usize = 4096;

/// The member list of one gateway's agent. It is shared with the driver, which writes the gateway's
/// next configuration from it.
#[derive(Clone, Debug, Default)]
pub struct List(Arc<Mutex<ListState>>);

#[derive(Debug, Default)]
struct ListState {
    seq: u64,
    members: BTreeMap<String, Member>,
    changes: VecDeque<Change>,
    /// The list before the oldest kept change.
    before: BTreeMap<String, Member>,
}

#[derive(Debug)]
struct Change {
    seq: u64,
    at: Instant,
    member: Member,
}

fn put(members: &mut BTreeMap<String, Member>, member: &Member) {
    if member.health == Wire::Removed {
        members.remove(&member.host);
    } else {
        members.insert(member.host.clone(), member.clone());
    }
}

impl List {
    /// Creates a list with these members, at version 1.
    pub fn new(members: impl IntoIterator<Item = Member>) -> List {
        let members: BTreeMap<String, Member> = members
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        let before = members.clone();
        List(Arc::new(Mutex::new(ListState {
            seq: 1,
            members,
            changes: VecDeque::new(),
            before,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the full list.
    pub fn snapshot(&self) -> Members {
        let state = self.lock();
        Members {
            seq: state.seq,
            whole: true,
            hosts: state.members.values().cloned().collect(),
        }
    }

    /// Applies a change and returns its version.
    fn change(&self, member: &Member) -> u64 {
        let mut state = self.lock();
        state.seq += 1;
        let seq = state.seq;
        put(&mut state.members, member);
        state.changes.push_back(Change {
            seq,
            at: Instant::now(),
            member: member.clone(),
        });
        if state.changes.len() > MAX_CHANGES {
            if let Some(oldest) = state.changes.pop_front() {
                put(&mut state.before, &oldest.member);
            }
        }
        seq
    }

    /// Returns the version that was current `ago` before now.
    fn version(&self, ago: Duration) -> u64 {
        let state = self.lock();
        let oldest = state
            .changes
            .front()
            .map_or(state.seq, |change| change.seq - 1);
        let now = Instant::now();
        let known = state
            .changes
            .iter()
            .rev()
            .find(|change| now.saturating_duration_since(change.at) >= ago);
        known.map_or(oldest, |change| change.seq)
    }

    /// Returns the changes after version `from` up to version `known`; without `from`, or if it is
    /// no longer kept or newer than `known`, the full list at `known`.
    fn since(&self, from: Option<u64>, known: u64) -> Members {
        let state = self.lock();
        let oldest = state
            .changes
            .front()
            .map_or(state.seq, |change| change.seq - 1);
        let from = from.filter(|from| (oldest..=known).contains(from));
        let mut last = if from.is_some() {
            BTreeMap::new()
        } else {
            state.before.clone()
        };
        for Change { member, .. } in state
            .changes
            .iter()
            .filter(|c| (from.unwrap_or(0) + 1..=known).contains(&c.seq))
        {
            match from {
                // A list of changes includes removals.
                Some(_) => {
                    last.insert(member.host.clone(), member.clone());
                }
                None => put(&mut last, member),
            }
        }
        Members {
            seq: known,
            whole: from.is_none(),
            hosts: last.into_values().collect(),
        }
    }
}

/// Returns the backend number in a host name made by [`host`].
pub fn number(host: &str) -> Option<u32> {
    host.strip_prefix("node-")?.parse().ok()
}

/// Returns the host name of a backend in the list.
pub fn host(backend: u32) -> String {
    format!("node-{backend}")
}

/// The state of an agent, watched by its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// Incremented on each change of the list.
    version: u64,
    silent: bool,
    /// Incremented to reset all connections.
    resets: u64,
    /// Incremented to abandon all open connections without closing them.
    vanished: u64,
    /// What the agent does wrong.
    lapse: Option<Lapse>,
}

/// What an agent that responds does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// It serves the list as it was this long ago, even if it sent newer versions before.
    Behind(Duration),
    /// Each list is truncated to its first half.
    Half,
    /// Each list has one invalid entry, and the addresses of draining backends are malformed.
    Spoilt,
}

/// The fake agent of one gateway.
pub struct Agent {
    gateway: u32,
    list: List,
    recorder: Recorder,
    /// Unix time at which the event trace began; converts start times from the wire to trace times.
    unix_start: Millis,
    state: watch::Sender<State>,
    /// The task that accepts connections; aborted when the agent moves.
    listening: RefCell<Option<tokio::task::AbortHandle>>,
}

impl Agent {
    /// Creates an agent that serves `list`; `unix_start` is the Unix time at which the event trace
    /// began.
    pub fn new(gateway: u32, list: List, recorder: Recorder, unix_start: Millis) -> Rc<Agent> {
        let (state, listening) = (watch::Sender::default(), RefCell::default());
        Rc::new(Agent {
            gateway,
            list,
            recorder,
            unix_start,
            state,
            listening,
        })
    }

    /// Serves connections of `listener` from now on. On the previous listener the agent accepts no
    /// more connections, and it closes the open ones after `grace`.
    pub fn listen(self: &Rc<Self>, listener: StdListener, grace: Duration) {
        let task = tokio::task::spawn_local(self.clone().accept(listener, grace)).abort_handle();
        if let Some(old) = self.listening.replace(Some(task)) {
            old.abort();
        }
    }

    /// Applies a change to the list and sends it to all watches, unless the agent is silent.
    pub fn update(&self, member: &Member) {
        let version = self.list.change(member);
        if let Some(node) = number(&member.host) {
            let (gateway, health) = (self.gateway, health(member.health));
            self.recorder.record(EventKind::NodeUpdateDue {
                proxy: gateway,
                node,
                health,
                version,
            });
        }
        self.state.send_modify(|state| state.version += 1);
    }

    /// Applies and sends the current entry of every member again.
    pub fn repeat(&self) {
        self.list
            .snapshot()
            .hosts
            .iter()
            .for_each(|member| self.update(member));
    }

    /// Stops sending anything on all connections, or resumes.
    pub fn set_silent(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// Sets what the agent does wrong from now on; `None` for nothing.
    pub fn set_lapse(&self, lapse: Option<Lapse>) {
        self.state.send_modify(|state| state.lapse = lapse);
    }

    /// Abandons all open connections without closing them; new ones are served.
    pub fn vanish(&self) {
        self.state.send_modify(|state| state.vanished += 1);
    }

    /// Resets all connections.
    pub fn break_off(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    async fn accept(self: Rc<Self>, listener: StdListener, grace: Duration) {
        // Dropped when this task is aborted, which notifies its receivers that the agent has moved.
        let active = watch::Sender::new(());
        let Ok(listener) = TcpListener::from_std(listener) else {
            return;
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve(stream, active.subscribe(), grace));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        mut active: watch::Receiver<()>,
        grace: Duration,
    ) {
        let mut link = Link::over(stream);
        let mut state = self.state.subscribe();
        let State {
            resets, vanished, ..
        } = *state.borrow_and_update();
        let mut vanishing = self.state.subscribe();
        let moved = async {
            while active.changed().await.is_ok() {}
            tokio::time::sleep(grace).await;
        };
        let serving = async {
            tokio::select! {
                // A change applied in the same moment as the connection is abandoned must not be
                // sent.
                biased;
                _ = vanishing.wait_for(|state| state.vanished != vanished) => {}
                () = self.serve_requests(&mut link) => return,
            }
            // The abandoned connection stays open, but nothing is read from it or written to it.
            std::future::pending().await
        };
        tokio::select! {
            biased;
            _ = state.wait_for(|state| state.resets != resets) => {}
            () = serving => return,
            () = moved => return,
        }
        link.reset();
    }

    async fn serve_requests(&self, link: &mut Link) {
        while let Ok(message) = link.message().await {
            let mut state = self.state.subscribe();
            if state.wait_for(|state| !state.silent).await.is_err() {
                return;
            }
            if !message.target.starts_with("/catalog/members") {
                if link
                    .write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .await
                    .is_err()
                {
                    return;
                }
            } else if message.query("watch") == Some("1") {
                let from = message.query("from").and_then(|text| text.parse().ok());
                return self.watch(link, from, state).await;
            } else {
                let members = self.list.since(None, self.known());
                let lapse = self.state.borrow().lapse;
                let body = encode_line(&members, lapse);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let text = if lapse == Some(Lapse::Half) {
                    &body[..body.len() / 2]
                } else {
                    &body[..]
                };
                if link.write((head + text).as_bytes()).await.is_err() || lapse == Some(Lapse::Half)
                {
                    return;
                }
                self.record_update(&members);
            }
        }
    }

    async fn watch(
        &self,
        link: &mut Link,
        mut from: Option<u64>,
        mut state: watch::Receiver<State>,
    ) {
        if link
            .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .is_err()
        {
            return;
        }
        let mut first = true;
        loop {
            state.borrow_and_update();
            let lapse = state.borrow().lapse;
            let known = self.known();
            // A watch never goes back: an agent that lags behind what it sent here sends nothing.
            if first || from.is_some_and(|from| from < known) {
                let update = self.list.since(from, known);
                first = false;
                from = Some(update.seq);
                let text = encode_line(&update, lapse);
                if lapse == Some(Lapse::Half) {
                    // Sends half of the line as a chunk and closes without the last chunk.
                    let _ = write_chunk(link, &text[..text.len() / 2]).await;
                    return;
                }
                if write_chunk(link, &text).await.is_err() {
                    return;
                }
                self.record_update(&update);
            }
            let behind = matches!(lapse, Some(Lapse::Behind(_)));
            let next_heartbeat = tokio::time::Instant::now() + HEARTBEAT;
            loop {
                tokio::select! {
                    changed = state.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    // With a lag, further changes become visible as time passes.
                    () = tokio::time::sleep(LAG_POLL_INTERVAL), if behind => {
                        if from.is_some_and(|from| from < self.known()) {
                            break;
                        }
                    }
                    () = tokio::time::sleep_until(next_heartbeat) => {
                        if !state.borrow().silent && write_chunk(link, "\n").await.is_err() {
                            return;
                        }
                        break;
                    }
                }
            }
            if state.wait_for(|state| !state.silent).await.is_err() {
                return;
            }
        }
    }

    /// Returns the newest version that the agent serves.
    fn known(&self) -> u64 {
        match self.state.borrow().lapse {
            Some(Lapse::Behind(ago)) => self.list.version(ago),
            _ => self.list.version(Duration::ZERO),
        }
    }

    /// Records the entries that were sent to the gateway.
    fn record_update(&self, members: &Members) {
        record_update(&self.recorder, self.gateway, members, self.unix_start);
    }
}

/// Records that a gateway received these entries, from its agent or in its initial configuration.
pub fn record_update(recorder: &Recorder, gateway: u32, members: &Members, unix_start: Millis) {
    for member in &members.hosts {
        let Some(node) = number(&member.host) else {
            continue;
        };
        let (health, version) = (health(member.health), members.seq);
        let started_at = (member.born_ms > 0.0).then_some(member.born_ms - unix_start);
        recorder.record(EventKind::NodeUpdate {
            proxy: gateway,
            node,
            health,
            started_at,
            source: 0,
            version,
        });
    }
}

fn health(of: Wire) -> Health {
    match of {
        Wire::Up => Health::Up,
        Wire::Draining => Health::Draining,
        Wire::Removed => Health::Removed,
    }
}

fn encode_line(members: &Members, lapse: Option<Lapse>) -> String {
    // Encoding can't fail: numbers in a list are finite and names are UTF-8. The fallback, an empty
    // line, would be read as a heartbeat.
    let mut text = match lapse {
        Some(Lapse::Spoilt) => with_invalid_entries(members).to_string(),
        _ => serde_json::to_string(members).unwrap_or_default(),
    };
    text.push('\n');
    text
}

/// Returns the list with an additional invalid entry and with malformed addresses of draining
/// backends.
fn with_invalid_entries(members: &Members) -> serde_json::Value {
    let mut list = serde_json::to_value(members).unwrap_or_default();
    if let Some(hosts) = list
        .get_mut("hosts")
        .and_then(serde_json::Value::as_array_mut)
    {
        for entry in hosts
            .iter_mut()
            .filter(|entry| entry["health"] == "draining")
        {
            entry["dial"] = "nowhere".into();
        }
        hosts.push(serde_json::json!({"host": "nobody", "health": "up", "dial": 7}));
    }
    list
}

async fn write_chunk(link: &mut Link, text: &str) -> std::io::Result<()> {
    link.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}
