//! Who the backends are: hands what each source learns to the roster, and what comes out of it to the driver.
//!
//! What is true where sources disagree, `maplefall-membership` decides, and how an etcd is followed `maplefall-etcd`; this file
//! only carries.

#[cfg(feature = "breakages")]
use super::breakages;
use super::door::Door;
use super::sources::{Kind, Source, Sources};
use maplefall_etcd::client::{self, Place};
use maplefall_etcd::{one_line, value, Output, Report, Told};
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

/// A change that comes later than this after it was written is told of.
const LATE: Millis = 500.0;
/// At most once in this time.
const LATE_AGAIN: Millis = 10_000.0;
/// Shortest time from one writing down to the next.
const WRITTEN_EVERY: Duration = Duration::from_secs(1);
/// Longest file of nodes, or of what a last life wrote down, that is read.
const LONGEST_FILE: u64 = 64 << 20;
/// Lines of the log that all sources together may fill in one span; the rest is counted. What peers write may cause lines.
const MOST_LINES: u32 = 40;
/// The span.
const LINES_SPAN: Millis = 10_000.0;

/// The sources of one front door.
pub struct Membership {
    door: Rc<Door>,
    roster: RefCell<Roster>,
    /// As they were read at the start.
    sources: Vec<Source>,
    /// Where what they said is written down for a later life.
    remember: Option<PathBuf>,
    /// The agent's place among them.
    agent: Option<usize>,
    /// Where each etcd is, by its place among the sources.
    places: BTreeMap<usize, watch::Sender<Place>>,
    /// Versions of the files of nodes: each reading is one.
    readings: Cell<u64>,
    /// When a late change was last told of.
    late_told: Cell<Millis>,
    /// How much the log has been told lately.
    lines: Cell<Lines>,
    /// Something may have come due earlier.
    stirred: Notify,
    /// Something was said that is not written down yet.
    unwritten: Notify,
}

impl Membership {
    /// With these sources, the one that goes before the others first.
    pub fn new(door: Rc<Door>, sources: Sources) -> Rc<Membership> {
        let Sources {
            list: sources,
            remember,
        } = sources;
        let place = |(at, source): (usize, &Source)| match &source.kind {
            Kind::Etcd { place, .. } => Some((at, watch::Sender::new(place.clone()))),
            Kind::Agent | Kind::File(_) => None,
        };
        let settings: Vec<SourceSettings> = sources
            .iter()
            .map(|source| source.settings.clone())
            .collect();
        Rc::new(Membership {
            door,
            roster: RefCell::new(Roster::new(settings)),
            agent: sources.iter().position(|source| source.kind == Kind::Agent),
            places: sources.iter().enumerate().filter_map(place).collect(),
            sources,
            remember,
            readings: Cell::new(0),
            late_told: Cell::new(f64::NEG_INFINITY),
            lines: Cell::default(),
            stirred: Notify::new(),
            unwritten: Notify::new(),
        })
    }

    /// Begins with the list that the front door was started with: as the first source's word, until it speaks.
    pub fn recall(&self, known: &Members) {
        let first = self.agent.unwrap_or(0);
        let update = self
            .roster
            .borrow_mut()
            .recall(self.door.clock.now(), first, known);
        self.hand_on(update);
    }

    /// Begins with what each source had said in the last life, where that is written down. The list that the front door was
    /// started with is newer than the agent's part of it, and comes after.
    pub fn recall_last_life(&self) {
        let Some(path) = &self.remember else { return };
        let words: BTreeMap<String, Members> = match bounded(path) {
            Ok(None) => return,
            Ok(Some(text)) => match serde_json::from_slice(&text) {
                Ok(words) => words,
                Err(error) => {
                    return self.say(&format_args!("{}: not recalled: {error}", path.display()))
                }
            },
            Err(error) => {
                return self.say(&format_args!("{}: not recalled: {error}", path.display()))
            }
        };
        for (at, source) in self.sources.iter().enumerate() {
            if let Some(members) = words.get(&source.settings.name) {
                let update = self
                    .roster
                    .borrow_mut()
                    .recall(self.door.clock.now(), at, members);
                self.hand_on(update);
            }
        }
    }

    /// Writes down what the sources say whenever it has changed, at most once in [`WRITTEN_EVERY`].
    async fn write_down(self: Rc<Self>, path: PathBuf) {
        let mut failing = false;
        loop {
            self.unwritten.notified().await;
            let words: BTreeMap<String, Members> = {
                let roster = self.roster.borrow();
                roster
                    .words()
                    .map(|(settings, members)| (settings.name.clone(), members))
                    .collect()
            };
            let (to, fresh) = (path.clone(), path.with_extension("new"));
            // Off the one thread: a slow disk holds up no request. A file that is there is whole at any moment.
            let written = tokio::task::spawn_blocking(move || {
                std::fs::write(&fresh, serde_json::to_vec(&words)?)?;
                std::fs::rename(&fresh, &to)
            });
            let written = written
                .await
                .unwrap_or_else(|error| Err(std::io::Error::other(error)));
            if let Err(error) = &written {
                if !failing {
                    self.say(&format_args!("{}: not written: {error}", path.display()));
                }
            }
            failing = written.is_err();
            tokio::time::sleep(WRITTEN_EVERY).await;
        }
    }

    /// Follows every source but the agent, and carries out what comes due, for as long as the front door runs.
    pub fn start(self: &Rc<Self>, seed: u64) {
        tokio::task::spawn_local(self.clone().keep_time());
        if let Some(path) = &self.remember {
            tokio::task::spawn_local(self.clone().write_down(path.clone()));
        }
        for (at, source) in self.sources.iter().enumerate() {
            match &source.kind {
                Kind::Agent => {}
                Kind::File(path) => self.read_file(at, path),
                Kind::Etcd { follow, .. } => {
                    let Some(place) = self.places.get(&at) else {
                        continue;
                    };
                    // The driver's clock counts in Unix time.
                    let settings = maplefall_etcd::Settings {
                        seed: seed ^ at as u64,
                        ..follow.clone()
                    };
                    let (clock, told) = (self.door.clone(), self.clone());
                    let clock = move || clock.clock.now();
                    let take = move |output| told.etcd_said(at, output);
                    tokio::task::spawn_local(client::follow(
                        settings,
                        place.subscribe(),
                        clock,
                        take,
                        seam(),
                    ));
                }
            }
        }
    }

    /// Goes over to sources that were read anew at SIGHUP: endpoints, credentials and files of nodes move at once, what is
    /// known stays; what else has changed takes a restart.
    pub fn take_up(&self, sources: &Sources) {
        let remember = &sources.remember;
        let sources = &sources.list;
        let same = |(old, new): (&Source, &Source)| {
            old.settings == new.settings
                && match (&old.kind, &new.kind) {
                    (Kind::Etcd { follow: old, .. }, Kind::Etcd { follow: new, .. }) => {
                        maplefall_etcd::Settings {
                            endpoints: 0,
                            ..old.clone()
                        } == maplefall_etcd::Settings {
                            endpoints: 0,
                            ..new.clone()
                        }
                    }
                    (old, new) => old == new,
                }
        };
        let fits = self.remember == *remember
            && self.sources.len() == sources.len()
            && self.sources.iter().zip(sources).all(same);
        if !fits {
            self.say(&"the sources have changed in more than places and credentials: that takes a restart");
        }
        for (at, (old, new)) in self.sources.iter().zip(sources).enumerate() {
            match (&old.kind, &new.kind) {
                (Kind::Etcd { .. }, Kind::Etcd { place, .. }) => {
                    if let Some(told) = self.places.get(&at) {
                        told.send_if_modified(|old| {
                            let moved = old != place;
                            old.clone_from(place);
                            moved
                        });
                    }
                }
                (Kind::File(path), Kind::File(_)) => self.read_file(at, path),
                _ => {}
            }
        }
    }

    /// The agent's place among the sources, if it is one.
    pub fn agent(&self) -> Option<usize> {
        self.agent
    }

    /// Takes in what came of following the agent.
    pub fn agent_said(&self, output: maplefall_discovery_agent::Output) {
        match output {
            maplefall_discovery_agent::Output::Tell(event) => self.take(event),
            maplefall_discovery_agent::Output::Report(report) => {
                self.say(&format_args!(
                    "discovery: {}",
                    one_line(&report.to_string())
                ));
            }
            // Calls are the carrier's.
            maplefall_discovery_agent::Output::Ask { .. }
            | maplefall_discovery_agent::Output::HangUp(_) => {}
        }
    }

    fn etcd_said(&self, at: usize, output: Output) {
        let name = &self.sources[at].settings.name;
        match output {
            Output::Command(_) => {}
            // Ordinary comings and goings of nodes are not told of one by one; these are about the source.
            Output::Report(report @ Report::Unreadable { .. }) => {
                self.say(&format_args!("{name}: passed over: {report}"));
            }
            Output::Report(report) => self.say(&format_args!("{name}: {report}")),
            Output::Tell(Told {
                event,
                behind,
                late,
            }) => {
                let now = self.door.clock.now();
                if late.is_some_and(|late| late > LATE) && now - self.late_told.get() >= LATE_AGAIN
                {
                    self.late_told.set(now);
                    let late = late.unwrap_or(0.0);
                    self.say(&format_args!(
                        "{name}: a change came {late:.0} ms after it was written, {behind} revisions behind"
                    ));
                }
                self.take(event);
            }
        }
    }

    fn read_file(&self, source: usize, path: &Path) {
        match nodes_of(path) {
            Ok((hosts, unread)) => {
                let seq = self.readings.get() + 1;
                self.readings.set(seq);
                for (id, why) in &unread {
                    self.say(&format_args!(
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
                self.say(&format_args!("{}: {error}", path.display()));
                self.take(Event::Lost { source });
            }
        }
    }

    /// A line of the log, unless there were many.
    fn say(&self, line: &dyn Display) {
        let mut lines = self.lines.get();
        let may = lines.may(self.door.clock.now());
        self.lines.set(lines);
        if let Some(left_out) = may {
            if left_out > 0 {
                eprintln!("membership: {left_out} lines were left out");
            }
            eprintln!("membership: {line}");
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let due = self.roster.borrow().next_due();
            let sleep = async {
                match due {
                    Some(due) => tokio::time::sleep_until(self.door.clock.instant(due)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {
                    let update = self.roster.borrow_mut().tick(self.door.clock.now());
                    self.hand_on(update);
                }
                () = self.stirred.notified() => {}
            }
        }
    }

    fn take(&self, event: Event) {
        #[cfg(feature = "breakages")]
        if let Some(update) = breakages::past_the_roster(&event, &self.roster.borrow()) {
            return self.hand_on(update);
        }
        let said = matches!(event, Event::Snapshot { .. } | Event::Change { .. });
        let update = self.roster.borrow_mut().take(self.door.clock.now(), event);
        self.hand_on(update);
        if said {
            self.unwritten.notify_one();
        }
    }

    fn hand_on(&self, update: Update) {
        for report in &update.reports {
            self.say(report);
        }
        if !update.changes.is_empty() {
            self.door.list_changed(update.changes);
        }
        self.stirred.notify_one();
    }
}

#[cfg(feature = "breakages")]
fn seam() -> breakages::EtcdSeam {
    breakages::EtcdSeam::default()
}

#[cfg(not(feature = "breakages"))]
fn seam() -> client::Straight {
    client::Straight
}

/// How many lines the log was told in a span.
#[derive(Clone, Copy, Debug, Default)]
struct Lines {
    since: Millis,
    told: u32,
    left_out: u32,
}

impl Lines {
    /// Whether a line may be told now; if so, how many were left out before it.
    fn may(&mut self, now: Millis) -> Option<u32> {
        if now - self.since >= LINES_SPAN {
            (self.since, self.told) = (now, 0);
        }
        if self.told < MOST_LINES {
            self.told += 1;
            Some(std::mem::take(&mut self.left_out))
        } else {
            self.left_out += 1;
            None
        }
    }
}

/// A file of bounded length; `None` if there is none.
fn bounded(path: &Path) -> Result<Option<Vec<u8>>, String> {
    let read = || {
        let mut text = Vec::new();
        // The length is that of what is read: a file may grow while it is.
        let count = std::fs::File::open(path)?
            .take(LONGEST_FILE + 1)
            .read_to_end(&mut text)?;
        std::io::Result::Ok((text, count as u64))
    };
    match read() {
        Ok((_, count)) if count > LONGEST_FILE => {
            Err(format!("{LONGEST_FILE} bytes at most were expected"))
        }
        Ok((text, _)) => Ok(Some(text)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

/// Ids that could not be used, each with the reason.
type Unread = Vec<(String, String)>;

/// The nodes of a file: one JSON object, from ids to the documents that etcd's values hold too.
fn nodes_of(path: &Path) -> Result<(Vec<Member>, Unread), String> {
    let text = bounded(path)?.ok_or("there is no such file")?;
    let told: BTreeMap<String, serde_json::Value> =
        serde_json::from_slice(&text).map_err(|error| error.to_string())?;
    if told.len() > MOST_NODES {
        return Err(format!("{MOST_NODES} nodes at most were expected"));
    }
    let (mut nodes, mut unread) = (Vec::new(), Vec::new());
    for (id, document) in told {
        let read = value::id(id.as_bytes(), b"")
            .and_then(|id| value::member(id, document.to_string().as_bytes()));
        match read {
            Ok((member, _)) => nodes.push(member),
            Err(why) => unread.push((id, one_line(&why.to_string()))),
        }
    }
    Ok((nodes, unread))
}

/// Where a file of nodes is, for `check`.
pub fn file_mistakes(path: &Path) -> Vec<String> {
    match nodes_of(path) {
        Ok((_, unread)) => unread
            .into_iter()
            .map(|(id, why)| format!("{}: {}: {why}", path.display(), one_line(&id)))
            .collect(),
        Err(error) => vec![format!("{}: {error}", path.display())],
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log that a peer fills: it is told so much in a span, and how much was left out.
    #[test]
    fn the_log_is_told_so_much_in_a_span_and_the_rest_is_counted() {
        let mut lines = Lines::default();
        let told = (0..10_000)
            .filter(|n| lines.may(1e6 + f64::from(*n) / 10.0).is_some())
            .count();
        assert_eq!(told, MOST_LINES as usize);
        assert_eq!(lines.may(1e6 + LINES_SPAN), Some(10_000 - MOST_LINES));
        assert_eq!(lines.may(1e6 + LINES_SPAN), Some(0));
    }
}
