//! The membership of backends: passes the reports of each source to the merged list, and the list's
//! changes to the driver.
//!
//! `maplefall-membership` merges sources that disagree, and `maplefall-etcd` follows an etcd; this
//! module has the tasks, the log, the state file and the node files. Invariant: the driver receives
//! each change of the merged list once, in order (rules: docs/operators/membership.md).

#[cfg(feature = "breakages")]
use super::breakages;
use super::driver::Driver;
use super::sources::{Source, SourceKind, Sources};
use maplefall_etcd::client::{self, ConnectionConfig};
use maplefall_etcd::{one_line, value, Output, Report, SourceUpdate};
use maplefall_membership::{EndpointList, Event, SourceSettings, Update, MAX_BACKENDS};
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

/// Delay between the write of a change and its arrival beyond which the change is logged, in
/// milliseconds.
const LATE_CHANGE_THRESHOLD: Millis = 500.0;
/// Minimum interval between log lines on late changes.
const LATE_CHANGE_LOG_INTERVAL: Millis = 10_000.0;
/// Minimum interval between two writes of the state file.
const PERSIST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of a node file and of a state file, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Maximum number of log lines of all sources together in one window; further ones are only
/// counted. Data that others write to a source may cause log lines.
const MAX_LOG_LINES: u32 = 40;
/// Length of the window in which log lines are counted.
const LOG_WINDOW: Millis = 10_000.0;

/// The sources of backends and the merged list.
pub struct Membership {
    driver: Rc<Driver>,
    endpoints: RefCell<EndpointList>,
    /// The sources as read at the start, in order of precedence.
    sources: Vec<Source>,
    /// The file where the list of each source is persisted for a restart.
    state_file: Option<PathBuf>,
    /// The agent's index among the sources.
    agent_index: Option<usize>,
    /// Endpoints and credentials of each etcd, by its index among the sources.
    etcd_access: BTreeMap<usize, watch::Sender<ConnectionConfig>>,
    /// Number of reads of node files; each read is a version.
    file_reads: Cell<u64>,
    /// When a late change was last logged.
    late_logged_at: Cell<Millis>,
    /// Log lines in the present window.
    log_limit: Cell<LogLimit>,
    /// Notified when the next deadline may have changed.
    timer_changed: Notify,
    /// Notified when the state file is out of date.
    state_changed: Notify,
}

impl Membership {
    /// Creates an empty list of these sources.
    pub fn new(driver: Rc<Driver>, sources: Sources) -> Rc<Membership> {
        let Sources {
            list: sources,
            remember,
        } = sources;
        let access_sender = |(at, source): (usize, &Source)| match &source.kind {
            SourceKind::Etcd { access, .. } => Some((at, watch::Sender::new(access.clone()))),
            SourceKind::Agent | SourceKind::File(_) => None,
        };
        let settings: Vec<SourceSettings> = sources
            .iter()
            .map(|source| source.settings.clone())
            .collect();
        Rc::new(Membership {
            driver,
            endpoints: RefCell::new(EndpointList::new(settings)),
            agent_index: sources
                .iter()
                .position(|source| source.kind == SourceKind::Agent),
            etcd_access: sources
                .iter()
                .enumerate()
                .filter_map(access_sender)
                .collect(),
            sources,
            state_file: remember,
            file_reads: Cell::new(0),
            late_logged_at: Cell::new(f64::NEG_INFINITY),
            log_limit: Cell::default(),
            timer_changed: Notify::new(),
            state_changed: Notify::new(),
        })
    }

    /// Restores the list of the configuration file, which counts as the agent's list until the
    /// agent reports.
    pub fn restore_known_list(&self, known: &Members) {
        let source_index = self.agent_index.unwrap_or(0);
        let update =
            self.endpoints
                .borrow_mut()
                .restore(self.driver.clock.now(), source_index, known);
        self.publish(update);
    }

    /// Restores the list of each source from the state file. The configuration file's list is newer
    /// than the agent's list in the state file, and is restored after it.
    pub fn restore_state_file(&self) {
        let Some(path) = &self.state_file else { return };
        let memberships: BTreeMap<String, Members> = match read_bounded(path) {
            Ok(None) => return,
            Ok(Some(text)) => match serde_json::from_slice(&text) {
                Ok(memberships) => memberships,
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
                        .restore(self.driver.clock.now(), at, members);
                self.publish(update);
            }
        }
    }

    /// Writes the state file whenever a list has changed, at most once per [`PERSIST_INTERVAL`].
    async fn persist_changes(self: Rc<Self>, path: PathBuf) {
        let mut failing = false;
        loop {
            self.state_changed.notified().await;
            let memberships: BTreeMap<String, Members> = {
                let endpoints = self.endpoints.borrow();
                endpoints
                    .source_entries()
                    .map(|(settings, members)| (settings.name.clone(), members))
                    .collect()
            };
            let (target, temporary) = (path.clone(), path.with_extension("new"));
            // The write runs on another thread, so that a slow disk delays no request. The file is
            // replaced by a rename, so it is complete at any time.
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

    /// Follows every source except the agent, and handles deadlines, for as long as the process
    /// runs.
    pub fn start(self: &Rc<Self>, seed: u64) {
        tokio::task::spawn_local(self.clone().run_timers());
        if let Some(path) = &self.state_file {
            tokio::task::spawn_local(self.clone().persist_changes(path.clone()));
        }
        for (at, source) in self.sources.iter().enumerate() {
            match &source.kind {
                SourceKind::Agent => {}
                SourceKind::File(path) => self.read_nodes_file(at, path),
                SourceKind::Etcd { follow, .. } => {
                    let Some(access) = self.etcd_access.get(&at) else {
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
                        access.subscribe(),
                        clock,
                        apply,
                        etcd_seam(),
                    ));
                }
            }
        }
    }

    /// Applies sources that were read again at SIGHUP: endpoints, credentials and node files change
    /// at once without emptying the list; any other change needs a restart, and is logged.
    pub fn reload(&self, sources: &Sources) {
        let remember = &sources.remember;
        let sources = &sources.list;
        let same = |(old, new): (&Source, &Source)| {
            old.settings == new.settings
                && match (&old.kind, &new.kind) {
                    (
                        SourceKind::Etcd { follow: old, .. },
                        SourceKind::Etcd { follow: new, .. },
                    ) => {
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
            self.log(&"sources not fully reloaded: changes other than endpoints, credentials and node files need a restart");
        }
        for (at, (old, new)) in self.sources.iter().zip(sources).enumerate() {
            match (&old.kind, &new.kind) {
                (SourceKind::Etcd { .. }, SourceKind::Etcd { access, .. }) => {
                    if let Some(sender) = self.etcd_access.get(&at) {
                        sender.send_if_modified(|old| {
                            let changed = old != access;
                            old.clone_from(access);
                            changed
                        });
                    }
                }
                (SourceKind::File(path), SourceKind::File(_)) => self.read_nodes_file(at, path),
                _ => {}
            }
        }
    }

    /// Returns the agent's index among the sources, if the agent is one.
    pub fn agent(&self) -> Option<usize> {
        self.agent_index
    }

    /// Applies an output of the agent's follower.
    pub fn apply_agent_output(&self, output: maplefall_discovery_agent::Output) {
        match output {
            maplefall_discovery_agent::Output::Event(event) => self.apply_event(event),
            maplefall_discovery_agent::Output::Report(report) => {
                self.log(&format_args!(
                    "discovery: {}",
                    one_line(&report.to_string())
                ));
            }
            // Calls to the discovery agent are opened and closed by the module `discovery`, not
            // here.
            maplefall_discovery_agent::Output::OpenCall { .. }
            | maplefall_discovery_agent::Output::CloseCall(_) => {}
        }
    }

    fn apply_etcd_output(&self, at: usize, output: Output) {
        let name = &self.sources[at].settings.name;
        match output {
            Output::Command(_) => {}
            // The reports logged here are about the etcd source; ordinary changes of its nodes are
            // not logged one by one.
            Output::Report(report @ Report::Unreadable { .. }) => {
                self.log(&format_args!("{name}: passed over: {report}"));
            }
            Output::Report(report) => self.log(&format_args!("{name}: {report}")),
            Output::Update(SourceUpdate {
                event,
                revisions_behind,
                delay,
            }) => {
                let now = self.driver.clock.now();
                if delay.is_some_and(|delay| delay > LATE_CHANGE_THRESHOLD)
                    && now - self.late_logged_at.get() >= LATE_CHANGE_LOG_INTERVAL
                {
                    self.late_logged_at.set(now);
                    let delay = delay.unwrap_or(0.0);
                    self.log(&format_args!(
                        "{name}: a change arrived {delay:.0} ms after it was written, {revisions_behind} revisions behind"
                    ));
                }
                self.apply_event(event);
            }
        }
    }

    fn read_nodes_file(&self, source: usize, path: &Path) {
        match read_nodes(path) {
            Ok((hosts, invalid)) => {
                let seq = self.file_reads.get() + 1;
                self.file_reads.set(seq);
                for (id, why) in &invalid {
                    self.log(&format_args!(
                        "{}: {}: passed over: {why}",
                        path.display(),
                        one_line(id)
                    ));
                }
                let invalid = invalid.into_iter().map(|(id, _)| id).collect();
                let members = Members {
                    seq,
                    whole: true,
                    hosts,
                };
                self.apply_event(Event::Snapshot {
                    source,
                    members,
                    unreadable: invalid,
                });
            }
            Err(error) => {
                self.log(&format_args!("{}: {error}", path.display()));
                self.apply_event(Event::Lost { source });
            }
        }
    }

    /// Writes a log line, unless the limit of the window is reached.
    fn log(&self, line: &dyn Display) {
        let mut log_limit = self.log_limit.get();
        let admitted = log_limit.admit(self.driver.clock.now());
        self.log_limit.set(log_limit);
        if let Some(suppressed) = admitted {
            if suppressed > 0 {
                eprintln!("membership: {suppressed} log lines suppressed");
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

    fn apply_event(&self, event: Event) {
        #[cfg(feature = "breakages")]
        if let Some(update) = breakages::bypass_roster(&event, &self.endpoints.borrow()) {
            return self.publish(update);
        }
        let changed = matches!(event, Event::Snapshot { .. } | Event::Change { .. });
        let update = self
            .endpoints
            .borrow_mut()
            .apply_event(self.driver.clock.now(), event);
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

/// Numbers of lines that were logged and suppressed in the present window.
#[derive(Clone, Copy, Debug, Default)]
struct LogLimit {
    window_start: Millis,
    written: u32,
    suppressed: u32,
}

impl LogLimit {
    /// Returns `Some` if a line may be logged now, with the number of lines suppressed before it.
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

/// Reads a file of bounded length; `None` if there is none.
fn read_bounded(path: &Path) -> Result<Option<Vec<u8>>, String> {
    let read = || {
        let mut text = Vec::new();
        // Counts the bytes read, because a file may grow while it is read.
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

/// Ids of invalid nodes, each with the reason.
type UnusableNodes = Vec<(String, String)>;

/// Reads the nodes of a file: one JSON object that maps ids to documents, which have the same form
/// as values in etcd.
///
/// # Errors
/// The file cannot be read, is too long, is not a JSON object, or has too many nodes.
fn read_nodes(path: &Path) -> Result<(Vec<Member>, UnusableNodes), String> {
    let text = read_bounded(path)?.ok_or("the file does not exist")?;
    let documents: BTreeMap<String, serde_json::Value> =
        serde_json::from_slice(&text).map_err(|error| error.to_string())?;
    if documents.len() > MAX_BACKENDS {
        return Err(format!("the file has more than {MAX_BACKENDS} nodes"));
    }
    let (mut nodes, mut invalid) = (Vec::new(), Vec::new());
    for (id, document) in documents {
        let read = value::parse_id(id.as_bytes(), b"")
            .and_then(|id| value::parse_member(id, document.to_string().as_bytes()));
        match read {
            Ok((member, _)) => nodes.push(member),
            Err(why) => invalid.push((id, one_line(&why.to_string()))),
        }
    }
    Ok((nodes, invalid))
}

/// Returns all errors in a node file, for `maplefall check`.
pub fn node_file_errors(path: &Path) -> Vec<String> {
    match read_nodes(path) {
        Ok((_, invalid)) => invalid
            .into_iter()
            .map(|(id, why)| format!("{}: {}: {why}", path.display(), one_line(&id)))
            .collect(),
        Err(error) => vec![format!("{}: {error}", path.display())],
    }
}

#[cfg(test)]
mod tests;
