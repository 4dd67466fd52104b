//! The membership of backends: feeds what each source reports to the merged endpoint list, and its changes to the driver.
//!
//! `maplefall-membership` decides what holds where sources disagree, and `maplefall-etcd` how an etcd is followed; here are the
//! tasks, the log, the state file and the files of nodes. Invariant: the driver sees each change of the merged list once, in
//! order (rules: docs/operators/membership.md).

#[cfg(feature = "breakages")]
use super::breakages;
use super::driver::Driver;
use super::sources::{Kind, Source, Sources};
use maplefall_etcd::client::{self, ConnectionConfig};
use maplefall_etcd::{one_line, value, Output, Report, SourceUpdate};
use maplefall_membership::{Event, Roster, SourceSettings, Update, MOST_NODES};
use maplefall_policy::Millis;
use maplefall_protocol::{Member, Members};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// A change that arrives later than this after it was written is logged.
const LATE_CHANGE_THRESHOLD: Millis = 500.0;
/// Late changes are logged at most once in this time.
const LATE_CHANGE_LOG_INTERVAL: Millis = 10_000.0;
/// Shortest time between two writes of the state file.
const PERSIST_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of a file of nodes, or of a state file, at most.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Log lines of all sources together in one window at most; the rest is counted. What others write to a source may cause lines.
const MAX_LOG_LINES: u32 = 40;
/// The window.
const LOG_WINDOW: Millis = 10_000.0;

/// The sources of the endpoint list and the list itself.
pub struct Membership {
    driver: Rc<Driver>,
    endpoints: RefCell<Roster>,
    /// The sources as they were read at the start, in order of precedence.
    sources: Vec<Source>,
    /// Where the list of each source is persisted for a restart.
    state_file: Option<PathBuf>,
    /// The agent's index among the sources.
    agent_index: Option<usize>,
    /// The endpoints of each etcd, by its index among the sources.
    etcd_places: BTreeMap<usize, watch::Sender<ConnectionConfig>>,
    /// Reads of files of nodes: each is a version.
    file_reads: Cell<u64>,
    /// When a late change was last logged.
    late_logged_at: Cell<Millis>,
    /// What was logged in the present window.
    log_limit: Cell<LogLimit>,
    /// The next deadline may have changed.
    timer_changed: Notify,
    /// The state file is out of date.
    state_changed: Notify,
}

impl Membership {
    /// An empty list of these sources.
    pub fn new(driver: Rc<Driver>, sources: Sources) -> Rc<Membership> {
        let Sources {
            list: sources,
            remember,
        } = sources;
        let etcd_place = |(at, source): (usize, &Source)| match &source.kind {
            Kind::Etcd { place, .. } => Some((at, watch::Sender::new(place.clone()))),
            Kind::Agent | Kind::File(_) => None,
        };
        let settings: Vec<SourceSettings> = sources
            .iter()
            .map(|source| source.settings.clone())
            .collect();
        Rc::new(Membership {
            driver,
            endpoints: RefCell::new(Roster::new(settings)),
            agent_index: sources.iter().position(|source| source.kind == Kind::Agent),
            etcd_places: sources.iter().enumerate().filter_map(etcd_place).collect(),
            sources,
            state_file: remember,
            file_reads: Cell::new(0),
            late_logged_at: Cell::new(f64::NEG_INFINITY),
            log_limit: Cell::default(),
            timer_changed: Notify::new(),
            state_changed: Notify::new(),
        })
    }

    /// Restores the list of the configuration file: it counts as the agent's list until the agent reports.
    pub fn restore_known_list(&self, known: &Members) {
        let source_index = self.agent_index.unwrap_or(0);
        let update =
            self.endpoints
                .borrow_mut()
                .recall(self.driver.clock.now(), source_index, known);
        self.publish(update);
    }

    /// Restores the list of each source from the state file. The list of the configuration file is newer than the agent's part
    /// of it, and is restored after it.
    pub fn restore_state_file(&self) {
        let Some(path) = &self.state_file else { return };
        let memberships: BTreeMap<String, Members> = match read_bounded(path) {
            Ok(None) => return,
            Ok(Some(text)) => match serde_json::from_slice(&text) {
                Ok(words) => words,
                Err(error) => {
                    return self.log(&format_args!("{}: not recalled: {error}", path.display()))
                }
            },
            Err(error) => {
                return self.log(&format_args!("{}: not recalled: {error}", path.display()))
            }
        };
        for (at, source) in self.sources.iter().enumerate() {
            if let Some(members) = memberships.get(&source.settings.name) {
                let update =
                    self.endpoints
                        .borrow_mut()
                        .recall(self.driver.clock.now(), at, members);
                self.publish(update);
            }
        }
    }

    /// Writes the state file whenever a list has changed, at most once in [`PERSIST_INTERVAL`].
    async fn persist_changes(self: Rc<Self>, path: PathBuf) {
        let mut failing = false;
        loop {
            self.state_changed.notified().await;
            let memberships: BTreeMap<String, Members> = {
                let endpoints = self.endpoints.borrow();
                endpoints
                    .words()
                    .map(|(settings, members)| (settings.name.clone(), members))
                    .collect()
            };
            let (target, temporary) = (path.clone(), path.with_extension("new"));
            // On another thread: a slow disk delays no request. The file is replaced at once, so it is complete at any moment.
            let written = tokio::task::spawn_blocking(move || {
                std::fs::write(&temporary, serde_json::to_vec(&memberships)?)?;
                std::fs::rename(&temporary, &target)
            });
            let written = written
                .await
                .unwrap_or_else(|error| Err(std::io::Error::other(error)));
            if let Err(error) = &written {
                if !failing {
                    self.log(&format_args!("{}: not written: {error}", path.display()));
                }
            }
            failing = written.is_err();
            tokio::time::sleep(PERSIST_INTERVAL).await;
        }
    }

    /// Follows every source but the agent, and handles deadlines, for as long as the process runs.
    pub fn start(self: &Rc<Self>, seed: u64) {
        tokio::task::spawn_local(self.clone().run_timers());
        if let Some(path) = &self.state_file {
            tokio::task::spawn_local(self.clone().persist_changes(path.clone()));
        }
        for (at, source) in self.sources.iter().enumerate() {
            match &source.kind {
                Kind::Agent => {}
                Kind::File(path) => self.read_nodes_file(at, path),
                Kind::Etcd { follow, .. } => {
                    let Some(place) = self.etcd_places.get(&at) else {
                        continue;
                    };
                    let settings = maplefall_etcd::Settings {
                        seed: seed ^ at as u64,
                        ..follow.clone()
                    };
                    let (clock, membership) = (self.driver.clone(), self.clone());
                    let clock = move || clock.clock.now();
                    let apply = move |output| membership.apply_etcd_output(at, output);
                    tokio::task::spawn_local(client::follow(
                        settings,
                        place.subscribe(),
                        clock,
                        apply,
                        etcd_seam(),
                    ));
                }
            }
        }
    }

    /// Applies sources that were read again at SIGHUP: endpoints, credentials and files of nodes change at once and the list
    /// stays; any other change needs a restart, and is logged.
    pub fn reload(&self, sources: &Sources) {
        let remember = &sources.remember;
        let sources = &sources.list;
        let same = |(old, new): (&Source, &Source)| {
            old.settings == new.settings
                && match (&old.kind, &new.kind) {
                    (Kind::Etcd { follow: old, .. }, Kind::Etcd { follow: new, .. }) => {
                        maplefall_etcd::Settings {
                            endpoint_count: 0,
                            ..old.clone()
                        } == maplefall_etcd::Settings {
                            endpoint_count: 0,
                            ..new.clone()
                        }
                    }
                    (old, new) => old == new,
                }
        };
        let reloadable = self.state_file == *remember
            && self.sources.len() == sources.len()
            && self.sources.iter().zip(sources).all(same);
        if !reloadable {
            self.log(&"the sources have changed in more than places and credentials: that takes a restart");
        }
        for (at, (old, new)) in self.sources.iter().zip(sources).enumerate() {
            match (&old.kind, &new.kind) {
                (Kind::Etcd { .. }, Kind::Etcd { place, .. }) => {
                    if let Some(place_sender) = self.etcd_places.get(&at) {
                        place_sender.send_if_modified(|old| {
                            let moved = old != place;
                            old.clone_from(place);
                            moved
                        });
                    }
                }
                (Kind::File(path), Kind::File(_)) => self.read_nodes_file(at, path),
                _ => {}
            }
        }
    }

    /// The agent's index among the sources, if it is one.
    pub fn agent(&self) -> Option<usize> {
        self.agent_index
    }

    /// Applies an output of the agent's follower.
    pub fn apply_agent_output(&self, output: maplefall_discovery_agent::Output) {
        match output {
            maplefall_discovery_agent::Output::Tell(event) => self.take(event),
            maplefall_discovery_agent::Output::Report(report) => {
                self.log(&format_args!(
                    "discovery: {}",
                    one_line(&report.to_string())
                ));
            }
            // Calls are made by `discovery`.
            maplefall_discovery_agent::Output::Ask { .. }
            | maplefall_discovery_agent::Output::HangUp(_) => {}
        }
    }

    fn apply_etcd_output(&self, at: usize, output: Output) {
        let name = &self.sources[at].settings.name;
        match output {
            Output::Command(_) => {}
            // Ordinary changes of nodes are not logged one by one; these are about the source.
            Output::Report(report @ Report::Unreadable { .. }) => {
                self.log(&format_args!("{name}: passed over: {report}"));
            }
            Output::Report(report) => self.log(&format_args!("{name}: {report}")),
            Output::Update(SourceUpdate {
                event,
                revisions_behind: behind,
                delay: late,
            }) => {
                let now = self.driver.clock.now();
                if late.is_some_and(|late| late > LATE_CHANGE_THRESHOLD)
                    && now - self.late_logged_at.get() >= LATE_CHANGE_LOG_INTERVAL
                {
                    self.late_logged_at.set(now);
                    let late = late.unwrap_or(0.0);
                    self.log(&format_args!(
                        "{name}: a change came {late:.0} ms after it was written, {behind} revisions behind"
                    ));
                }
                self.take(event);
            }
        }
    }

    fn read_nodes_file(&self, source: usize, path: &Path) {
        match read_nodes(path) {
            Ok((hosts, unread)) => {
                let seq = self.file_reads.get() + 1;
                self.file_reads.set(seq);
                for (id, why) in &unread {
                    self.log(&format_args!(
                        "{}: {}: passed over: {why}",
                        path.display(),
                        one_line(id)
                    ));
                }
                let unread = unread.into_iter().map(|(id, _)| id).collect();
                let members = Members {
                    seq,
                    whole: true,
                    hosts,
                };
                self.take(Event::Snapshot {
                    source,
                    members,
                    unread,
                });
            }
            Err(error) => {
                self.log(&format_args!("{}: {error}", path.display()));
                self.take(Event::Lost { source });
            }
        }
    }

    /// Writes a log line, unless there were many.
    fn log(&self, line: &dyn Display) {
        let mut log_limit = self.log_limit.get();
        let admitted = log_limit.admit(self.driver.clock.now());
        self.log_limit.set(log_limit);
        if let Some(suppressed) = admitted {
            if suppressed > 0 {
                eprintln!("membership: {suppressed} lines were left out");
            }
            eprintln!("membership: {line}");
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let deadline = self.endpoints.borrow().next_due();
            let sleep = async {
                match deadline {
                    Some(deadline) => {
                        tokio::time::sleep_until(self.driver.clock.instant(deadline)).await
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {
                    let update = self.endpoints.borrow_mut().tick(self.driver.clock.now());
                    self.publish(update);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn take(&self, event: Event) {
        #[cfg(feature = "breakages")]
        if let Some(update) = breakages::past_the_roster(&event, &self.endpoints.borrow()) {
            return self.publish(update);
        }
        let changed = matches!(event, Event::Snapshot { .. } | Event::Change { .. });
        let update = self
            .endpoints
            .borrow_mut()
            .take(self.driver.clock.now(), event);
        self.publish(update);
        if changed {
            self.state_changed.notify_one();
        }
    }

    fn publish(&self, update: Update) {
        for report in &update.reports {
            self.log(report);
        }
        if !update.changes.is_empty() {
            self.driver.apply_changes(update.changes);
        }
        self.timer_changed.notify_one();
    }
}

#[cfg(feature = "breakages")]
fn etcd_seam() -> breakages::EtcdSeam {
    breakages::EtcdSeam::default()
}

#[cfg(not(feature = "breakages"))]
fn etcd_seam() -> client::PassThrough {
    client::PassThrough
}

/// How many lines were logged in the present window.
#[derive(Clone, Copy, Debug, Default)]
struct LogLimit {
    window_start: Millis,
    written: u32,
    suppressed: u32,
}

impl LogLimit {
    /// Whether a line may be logged now; if so, how many were suppressed before it.
    fn admit(&mut self, now: Millis) -> Option<u32> {
        if now - self.window_start >= LOG_WINDOW {
            (self.window_start, self.written) = (now, 0);
        }
        if self.written < MAX_LOG_LINES {
            self.written += 1;
            Some(std::mem::take(&mut self.suppressed))
        } else {
            self.suppressed += 1;
            None
        }
    }
}

/// A file of bounded length; `None` if there is none.
fn read_bounded(path: &Path) -> Result<Option<Vec<u8>>, String> {
    let read = || {
        let mut text = Vec::new();
        // The bytes read are counted: a file may grow while it is read.
        let count = std::fs::File::open(path)?
            .take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut text)?;
        std::io::Result::Ok((text, count as u64))
    };
    match read() {
        Ok((_, count)) if count > MAX_FILE_BYTES => {
            Err(format!("{MAX_FILE_BYTES} bytes at most were expected"))
        }
        Ok((text, _)) => Ok(Some(text)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

/// Ids of nodes that cannot be used, each with the reason.
type UnusableNodes = Vec<(String, String)>;

/// The nodes of a file: one JSON object, from ids to the documents that are values in etcd too.
///
/// # Errors
/// The file cannot be read, is too long, is no JSON object, or has too many nodes.
fn read_nodes(path: &Path) -> Result<(Vec<Member>, UnusableNodes), String> {
    let text = read_bounded(path)?.ok_or("there is no such file")?;
    let documents: BTreeMap<String, serde_json::Value> =
        serde_json::from_slice(&text).map_err(|error| error.to_string())?;
    if documents.len() > MOST_NODES {
        return Err(format!("{MOST_NODES} nodes at most were expected"));
    }
    let (mut nodes, mut unread) = (Vec::new(), Vec::new());
    for (id, document) in documents {
        let read = value::parse_id(id.as_bytes(), b"")
            .and_then(|id| value::parse_member(id, document.to_string().as_bytes()));
        match read {
            Ok((member, _)) => nodes.push(member),
            Err(why) => unread.push((id, one_line(&why.to_string()))),
        }
    }
    Ok((nodes, unread))
}

/// Every mistake in a file of nodes, for `maplefall check`.
pub fn file_mistakes(path: &Path) -> Vec<String> {
    match read_nodes(path) {
        Ok((_, unread)) => unread
            .into_iter()
            .map(|(id, why)| format!("{}: {}: {why}", path.display(), one_line(&id)))
            .collect(),
        Err(error) => vec![format!("{}: {error}", path.display())],
    }
}

#[cfg(test)]
mod tests;
