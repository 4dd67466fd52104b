//! The discovery agent of one front door (protocol page, "Discovery"): the whole list, a watch with changes and
//! heartbeats; and failures: silent, broken off, moved. How late it hears of a change is up to whoever tells it.

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

/// While nothing changes, an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How often one that is behind looks whether it has come to know more.
const STEP: Duration = Duration::from_millis(20);
/// Changes that are kept; a watch from before them begins with the whole list.
const MOST_CHANGES: usize = 4096;

/// The list as one front door's agent has it, also for the driver that writes its next configuration.
#[derive(Clone, Debug, Default)]
pub struct List(Arc<Mutex<Held>>);

#[derive(Debug, Default)]
struct Held {
    seq: u64,
    members: BTreeMap<String, Member>,
    changes: VecDeque<Change>,
    /// The list as it was before the oldest change that is kept.
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
    /// A list that begins with these entries.
    pub fn new(members: impl IntoIterator<Item = Member>) -> List {
        let members: BTreeMap<String, Member> = members
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        let before = members.clone();
        List(Arc::new(Mutex::new(Held {
            seq: 1,
            members,
            changes: VecDeque::new(),
            before,
        })))
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The whole list.
    pub fn snapshot(&self) -> Members {
        let held = self.held();
        Members {
            seq: held.seq,
            whole: true,
            hosts: held.members.values().cloned().collect(),
        }
    }

    /// Takes a change in; tells its version.
    fn change(&self, member: &Member) -> u64 {
        let mut held = self.held();
        held.seq += 1;
        let seq = held.seq;
        put(&mut held.members, member);
        held.changes.push_back(Change {
            seq,
            at: Instant::now(),
            member: member.clone(),
        });
        if held.changes.len() > MOST_CHANGES {
            if let Some(oldest) = held.changes.pop_front() {
                put(&mut held.before, &oldest.member);
            }
        }
        seq
    }

    /// The version that was the last one so long ago.
    fn version(&self, ago: Duration) -> u64 {
        let held = self.held();
        let oldest = held
            .changes
            .front()
            .map_or(held.seq, |change| change.seq - 1);
        let now = Instant::now();
        let known = held
            .changes
            .iter()
            .rev()
            .find(|change| now.saturating_duration_since(change.at) >= ago);
        known.map_or(oldest, |change| change.seq)
    }

    /// What changed after a version and up to what is known, or the whole list as it is known where the former is not.
    fn since(&self, from: Option<u64>, known: u64) -> Members {
        let held = self.held();
        let oldest = held
            .changes
            .front()
            .map_or(held.seq, |change| change.seq - 1);
        let from = from.filter(|from| (oldest..=known).contains(from));
        let mut last = if from.is_some() {
            BTreeMap::new()
        } else {
            held.before.clone()
        };
        for Change { member, .. } in held
            .changes
            .iter()
            .filter(|c| (from.unwrap_or(0) + 1..=known).contains(&c.seq))
        {
            match from {
                // Among changes a removal is told.
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

/// The number of a node by the name that [`host`] gave it.
pub fn number(host: &str) -> Option<u32> {
    host.strip_prefix("node-")?.parse().ok()
}

/// The name of a node in the list.
pub fn host(node: u32) -> String {
    format!("node-{node}")
}

/// How an agent is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// Counts up with each change of the list.
    version: u64,
    silent: bool,
    /// Counts up with each time that all watches are broken off.
    broken: u64,
    /// Counts up with each time that open connections lose this end without a word.
    vanished: u64,
    /// What else is wrong with it.
    lapse: Option<Lapse>,
}

/// What an agent that speaks may do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// It knows no more than what was known so long ago, also of what it had told before.
    Behind(Duration),
    /// Each list breaks off in its middle.
    Half,
    /// Each list has an entry that cannot be used, and the addresses of draining nodes cannot be read.
    Spoilt,
}

/// One front door's agent.
pub struct Agent {
    door: u32,
    list: List,
    recorder: Recorder,
    /// Turns a start time into the wire's Unix time and back.
    unix_start: Millis,
    state: watch::Sender<State>,
    /// The listening task, ended when the agent moves.
    listening: RefCell<Option<tokio::task::AbortHandle>>,
}

impl Agent {
    /// An agent that tells this list; `unix_start` is the Unix time at which the record began.
    pub fn new(door: u32, list: List, recorder: Recorder, unix_start: Millis) -> Rc<Agent> {
        let (state, listening) = (watch::Sender::default(), RefCell::default());
        Rc::new(Agent {
            door,
            list,
            recorder,
            unix_start,
            state,
            listening,
        })
    }

    /// Answers here from now on. Where it answered before, it takes no new connection, and `grace` later it closes
    /// the open ones.
    pub fn listen(self: &Rc<Self>, listener: StdListener, grace: Duration) {
        let task = tokio::task::spawn_local(self.clone().accept(listener, grace)).abort_handle();
        if let Some(old) = self.listening.replace(Some(task)) {
            old.abort();
        }
    }

    /// It hears of a change, and hands it on unless it is silent.
    pub fn update(&self, member: &Member) {
        let version = self.list.change(member);
        if let Some(node) = number(&member.host) {
            let (door, health) = (self.door, health(member.health));
            self.recorder.record(EventKind::NodeUpdateDue {
                proxy: door,
                node,
                health,
                version,
            });
        }
        self.state.send_modify(|state| state.version += 1);
    }

    /// Tells again what it knows of every node.
    pub fn repeat(&self) {
        self.list
            .snapshot()
            .hosts
            .iter()
            .for_each(|member| self.update(member));
    }

    /// Says nothing from now on, or speaks again.
    pub fn set_silent(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// Does this wrong from now on, or nothing.
    pub fn set_lapse(&self, lapse: Option<Lapse>) {
        self.state.send_modify(|state| state.lapse = lapse);
    }

    /// Its end of all open connections vanishes without a word; new ones are served.
    pub fn vanish(&self) {
        self.state.send_modify(|state| state.vanished += 1);
    }

    /// Breaks off all watches.
    pub fn break_off(&self) {
        self.state.send_modify(|state| state.broken += 1);
    }

    async fn accept(self: Rc<Self>, listener: StdListener, grace: Duration) {
        // Dropped with this task: its receivers then know that the agent has moved.
        let here = watch::Sender::new(());
        let Ok(listener) = TcpListener::from_std(listener) else {
            return;
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve(stream, here.subscribe(), grace));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        mut here: watch::Receiver<()>,
        grace: Duration,
    ) {
        let mut link = Link::over(stream);
        let mut state = self.state.subscribe();
        let State {
            broken, vanished, ..
        } = *state.borrow_and_update();
        let mut gone = self.state.subscribe();
        let moved = async {
            while here.changed().await.is_ok() {}
            tokio::time::sleep(grace).await;
        };
        let speaks = async {
            tokio::select! {
                // What is told in the moment in which this end vanishes is not told here.
                biased;
                _ = gone.wait_for(|state| state.vanished != vanished) => {}
                () = self.talk(&mut link) => return,
            }
            // Nothing is heard of this end again, and it hears nothing.
            std::future::pending().await
        };
        tokio::select! {
            biased;
            _ = state.wait_for(|state| state.broken != broken) => {}
            () = speaks => return,
            () = moved => return,
        }
        link.reset();
    }

    async fn talk(&self, link: &mut Link) {
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
                let body = line(&members, lapse);
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
                self.told(&members);
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
            // What it has told here it does not take back: one that has fallen behind has nothing to add.
            if first || from.is_some_and(|from| from < known) {
                let news = self.list.since(from, known);
                first = false;
                from = Some(news.seq);
                let text = line(&news, lapse);
                if lapse == Some(Lapse::Half) {
                    // Its first half as a chunk, and then nothing: the answer has not ended as it should.
                    let _ = chunk(link, &text[..text.len() / 2]).await;
                    return;
                }
                if chunk(link, &text).await.is_err() {
                    return;
                }
                self.told(&news);
            }
            let behind = matches!(lapse, Some(Lapse::Behind(_)));
            let beat = tokio::time::Instant::now() + HEARTBEAT;
            loop {
                tokio::select! {
                    changed = state.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    // What is known grows with time alone.
                    () = tokio::time::sleep(STEP), if behind => {
                        if from.is_some_and(|from| from < self.known()) {
                            break;
                        }
                    }
                    () = tokio::time::sleep_until(beat) => {
                        if !state.borrow().silent && chunk(link, "\n").await.is_err() {
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

    /// The version up to which it knows the list.
    fn known(&self) -> u64 {
        match self.state.borrow().lapse {
            Some(Lapse::Behind(ago)) => self.list.version(ago),
            _ => self.list.version(Duration::ZERO),
        }
    }

    /// Notes what has been written to the front door.
    fn told(&self, members: &Members) {
        record_update(&self.recorder, self.door, members, self.unix_start);
    }
}

/// Notes that a front door has been told these entries, by its agent or by the list that it started with.
pub fn record_update(recorder: &Recorder, door: u32, members: &Members, unix_start: Millis) {
    for member in &members.hosts {
        let Some(node) = number(&member.host) else {
            continue;
        };
        let (health, version) = (health(member.health), members.seq);
        let born = (member.born_ms > 0.0).then_some(member.born_ms - unix_start);
        recorder.record(EventKind::NodeUpdate {
            proxy: door,
            node,
            health,
            started_at: born,
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

fn line(members: &Members, lapse: Option<Lapse>) -> String {
    // Figures of a list are finite and its names are text: this cannot fail, and an empty line says nothing.
    let mut text = match lapse {
        Some(Lapse::Spoilt) => spoilt(members).to_string(),
        _ => serde_json::to_string(members).unwrap_or_default(),
    };
    text.push('\n');
    text
}

/// A list in which one entry is nobody's, and draining nodes have no address that could be read.
fn spoilt(members: &Members) -> serde_json::Value {
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

async fn chunk(link: &mut Link, text: &str) -> std::io::Result<()> {
    link.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}
