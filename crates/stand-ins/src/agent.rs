//! The discovery agent of one front door (protocol page, "Discovery"): the whole list, a watch with changes and
//! heartbeats; and failures: silent, broken off, moved. How late it hears of a change is up to whoever tells it.

use crate::wire::Link;
use maplefall_protocol::{Health as Wire, Member, Members};
use maplefall_record::{Entry, Health, Millis, Recorder};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// While nothing changes, an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Changes that are kept; a watch from before them begins with the whole list.
const MOST_CHANGES: usize = 4096;

/// The list as one front door's agent has it, also for the driver that writes its next configuration.
#[derive(Clone, Debug, Default)]
pub struct List(Arc<Mutex<Held>>);

#[derive(Debug, Default)]
struct Held {
    seq: u64,
    members: BTreeMap<String, Member>,
    changes: Vec<(u64, Member)>,
}

impl List {
    /// A list that begins with these entries.
    pub fn new(members: impl IntoIterator<Item = Member>) -> List {
        let members = members.into_iter().map(|member| (member.host.clone(), member)).collect();
        List(Arc::new(Mutex::new(Held { seq: 1, members, changes: Vec::new() })))
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The whole list.
    pub fn whole(&self) -> Members {
        let held = self.held();
        Members { seq: held.seq, whole: true, hosts: held.members.values().cloned().collect() }
    }

    fn change(&self, member: &Member) {
        let mut held = self.held();
        held.seq += 1;
        let seq = held.seq;
        if member.health == Wire::Removed {
            held.members.remove(&member.host);
        } else {
            held.members.insert(member.host.clone(), member.clone());
        }
        held.changes.push((seq, member.clone()));
        if held.changes.len() > MOST_CHANGES {
            held.changes.remove(0);
        }
    }

    /// What changed after this version, or the whole list where that is not known any more.
    fn since(&self, from: Option<u64>) -> Members {
        let held = self.held();
        let oldest = held.changes.first().map_or(held.seq, |(seq, _)| seq - 1);
        let Some(from) = from.filter(|from| (oldest..=held.seq).contains(from)) else {
            drop(held);
            return self.whole();
        };
        let mut last: BTreeMap<&str, &Member> = BTreeMap::new();
        for (_, member) in held.changes.iter().filter(|(seq, _)| *seq > from) {
            last.insert(&member.host, member);
        }
        Members { seq: held.seq, whole: false, hosts: last.into_values().cloned().collect() }
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
        Rc::new(Agent { door, list, recorder, unix_start, state, listening })
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
    pub fn tell(&self, member: &Member) {
        self.list.change(member);
        self.state.send_modify(|state| state.version += 1);
    }

    /// Tells again what it knows of every node.
    pub fn repeat(&self) {
        self.list.whole().hosts.iter().for_each(|member| self.tell(member));
    }

    /// Says nothing from now on, or speaks again.
    pub fn silence(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// Breaks off all watches.
    pub fn break_off(&self) {
        self.state.send_modify(|state| state.broken += 1);
    }

    async fn accept(self: Rc<Self>, listener: StdListener, grace: Duration) {
        // Dropped with this task: its receivers then know that the agent has moved.
        let here = watch::Sender::new(());
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve(stream, here.subscribe(), grace));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, mut here: watch::Receiver<()>, grace: Duration) {
        let mut link = Link::over(stream);
        let mut state = self.state.subscribe();
        let broken = state.borrow_and_update().broken;
        let moved = async {
            while here.changed().await.is_ok() {}
            tokio::time::sleep(grace).await;
        };
        tokio::select! {
            () = self.talk(&mut link) => {}
            () = moved => {}
            _ = state.wait_for(|state| state.broken != broken) => link.reset(),
        }
    }

    async fn talk(&self, link: &mut Link) {
        while let Ok(message) = link.message().await {
            let mut state = self.state.subscribe();
            if state.wait_for(|state| !state.silent).await.is_err() {
                return;
            }
            if !message.target.starts_with("/catalog/members") {
                if link.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await.is_err() {
                    return;
                }
            } else if message.query("watch") == Some("1") {
                let from = message.query("from").and_then(|text| text.parse().ok());
                return self.watch(link, from, state).await;
            } else {
                let members = self.list.whole();
                let body = line(&members);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                if link.write(head.as_bytes()).await.is_err() {
                    return;
                }
                self.told(&members);
            }
        }
    }

    async fn watch(&self, link: &mut Link, mut from: Option<u64>, mut state: watch::Receiver<State>) {
        if link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let mut first = true;
        loop {
            state.borrow_and_update();
            let news = self.list.since(from);
            if first || !news.hosts.is_empty() || news.whole {
                first = false;
                from = Some(news.seq);
                if chunk(link, &line(&news)).await.is_err() {
                    return;
                }
                self.told(&news);
            }
            tokio::select! {
                changed = state.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(HEARTBEAT) => {
                    if !state.borrow().silent && chunk(link, "\n").await.is_err() {
                        return;
                    }
                }
            }
            if state.wait_for(|state| !state.silent).await.is_err() {
                return;
            }
        }
    }

    /// Notes what has been written to the front door.
    fn told(&self, members: &Members) {
        told(&self.recorder, self.door, members, self.unix_start);
    }
}

/// Notes that a front door has been told these entries, by its agent or by the list that it started with.
pub fn told(recorder: &Recorder, door: u32, members: &Members, unix_start: Millis) {
    for member in &members.hosts {
        let Some(node) = number(&member.host) else { continue };
        let health = match member.health {
            Wire::Up => Health::Up,
            Wire::Draining => Health::Draining,
            Wire::Removed => Health::Removed,
        };
        let born = (member.born_ms > 0.0).then_some(member.born_ms - unix_start);
        recorder.note(Entry::Told { door, node, health, born, source: 0 });
    }
}

fn line(members: &Members) -> String {
    // Figures of a list are finite and its names are text: this cannot fail, and an empty line says nothing.
    let mut text = serde_json::to_string(members).unwrap_or_default();
    text.push('\n');
    text
}

async fn chunk(link: &mut Link, text: &str) -> std::io::Result<()> {
    link.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
