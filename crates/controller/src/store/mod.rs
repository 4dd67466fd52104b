//! The disk of an exchange: a write-ahead log in segments, and a file that its old segments are folded into. A thread of its own
//! writes; what has come while it waited for the disk goes in one frame. `docs/design/control-disk.md` argues why it holds.
//!
//! Format 2, all numbers little-endian:
//!
//! - `log-N`, N from 1 upwards: frames one after the other. A frame: `mf2` and a nought, N (8 bytes), length of what it holds (4),
//!   CRC-32C of that (4), CRC-32C of these 20 bytes (4), and a [`Batch`]. A frame is begun once all before it are synced: only the
//!   last of a segment can be torn, and was not acknowledged. A segment that a write or a sync has failed on is never written again.
//! - `state-N`: a [`Folded`] of all records up to number N, after the same head. It is written as `fold`, synced, renamed, and the
//!   folder synced; then what it stands for is removed.
//! - `spoilt-*`: what could not be read, once, and a note that it was; `setting-aside` stands while it is so named.
//!
//! **Room.** With S bytes of the biggest state and B of the biggest batch (4 MiB and one record), at most 4 S + 2 B + 192 KiB are on
//! the disk (two states, the segments that are folded, those that are written meanwhile), and as much again in what was set aside.
//! In memory: the state, and while it is folded the bytes of that.

use crate::disk::Disk;
use maplefall_raft::{Entry as LogEntry, PersistentState, PersistentUpdate, Snapshot};
use maplefall_service_registry::{InstanceRecord, InstanceState};
use prost::encoding;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, Read, Write};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// The format that is written.
const FORMAT: u32 = 2;
/// What a frame begins with.
const MARK: [u8; 4] = *b"mf2\0";
/// Bytes before what a frame holds.
const HEAD: usize = 24;
/// What a state is written as.
const FOLD: &str = "fold";
/// Stands while spoilt files are set aside.
const MARKER: &str = "setting-aside";
/// Says that something was set aside, for good.
const NOTE: &str = "spoilt-note";
/// Before the names of files that were set aside.
const SPOILT: &str = "spoilt-";
/// The first and the longest pause before a disk that refuses is tried again.
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// Records that wait for the disk at most.
const MOST_RECORDS: usize = 65_536;
/// Bytes of records that wait for the disk at most; a single record may be longer.
const MOST_QUEUED: usize = 32 << 20;

/// Sizes that the store goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Bytes of log that are folded, at least; a state that is longer waits for as many bytes of log as it has.
    pub compact_after: u64,
    /// Segments after which is folded, however short they are (each start that finds a log begins one).
    pub max_segments: usize,
    /// Bytes of a state that are written at a time; longer if the batch before was.
    pub write_slice: usize,
    /// Bytes in one frame, about.
    pub max_batch: usize,
}

impl Default for StoreLimits {
    fn default() -> StoreLimits {
        StoreLimits {
            compact_after: 192 << 10,
            max_segments: 16,
            write_slice: 1 << 20,
            max_batch: 4 << 20,
        }
    }
}
/// Waits for slots of the quotas that are remembered at most: one that is forgotten is waited out again.
const MOST_WAITED: usize = 64;

/// One record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoreRecord {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Of the agreement.
    #[prost(message, optional, tag = "2")]
    pub raft: Option<PersistentUpdate>,
    /// Doors that are lent to from here on.
    #[prost(string, repeated, tag = "3")]
    pub leased_to: Vec<String>,
    /// Words about backends.
    #[prost(message, repeated, tag = "4")]
    pub instances: Vec<InstanceRecord>,
    /// From here on `lent_to` names every door that may hold a loan of this exchange.
    #[prost(bool, tag = "8")]
    pub leased_to_complete: bool,
    /// Indices of entries whose slots of the quotas have been waited for.
    #[prost(uint64, repeated, tag = "9")]
    pub waited_slots: Vec<u64>,
    /// Doors that hold nothing any more.
    #[prost(string, repeated, tag = "10")]
    pub released: Vec<String>,
}

/// What one entry of the log holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Batch {
    /// [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// In order.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<StoreRecord>,
}

impl Batch {
    fn frame(&self) -> Vec<u8> {
        frame(self.encoded_len(), |bytes| self.encode_raw(bytes))
    }
}

/// What a file `state-N` holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StateFile {
    /// [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Records up to this number are in it.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The term and the vote.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// See above.
    #[prost(string, tag = "4")]
    pub voted_for: String,
    /// The mark of this disk.
    #[prost(uint64, optional, tag = "10")]
    pub identity: Option<u64>,
    /// Members up to this index are known to be agreed on.
    #[prost(uint64, tag = "11")]
    pub members_committed: u64,
    /// The state.
    #[prost(message, optional, tag = "6")]
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    #[prost(message, repeated, tag = "7")]
    pub log: Vec<LogEntry>,
    /// Doors that were lent to.
    #[prost(string, repeated, tag = "8")]
    pub leased_to: Vec<String>,
    /// Words about backends.
    #[prost(message, repeated, tag = "9")]
    pub instances: Vec<InstanceRecord>,
    /// Whether `lent_to` names every door that may hold a loan.
    #[prost(bool, tag = "14")]
    pub leased_to_complete: bool,
    /// Entries whose slots have been waited for.
    #[prost(uint64, repeated, tag = "15")]
    pub waited_slots: Vec<u64>,
}

/// What is on a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// Of the agreement.
    pub raft: PersistentState,
    /// Doors that were lent to.
    pub leased_to: BTreeSet<String>,
    /// The last word about each backend that has not left.
    pub instances: BTreeMap<String, InstanceRecord>,
    /// Whether `lent_to` names every door that may hold a loan: a disk that came empty does not know.
    pub leased_to_complete: bool,
    /// Entries whose slots of the quotas have been waited for, the latest few.
    pub waited_slots: BTreeSet<u64>,
    /// Number of the last record.
    pub number: u64,
    /// What was here could not be read and was set aside: this machine has lost its disk.
    pub quarantined: bool,
}

impl StoredState {
    /// Takes in one record, in order.
    pub fn apply(&mut self, stored: StoreRecord) {
        // A segment that was removed may come back: what is folded already must not be taken again.
        if stored.number <= self.number {
            return;
        }
        self.number = stored.number;
        if let Some(record) = stored.raft {
            self.raft.apply(record);
        }
        for name in &stored.released {
            self.leased_to.remove(name);
        }
        self.leased_to.extend(stored.leased_to);
        self.leased_to_complete |= stored.leased_to_complete;
        self.waited_slots.extend(stored.waited_slots);
        while self.waited_slots.len() > MOST_WAITED {
            self.waited_slots.pop_first();
        }
        for word in stored.instances {
            if matches!(
                word.state(),
                InstanceState::Expired | InstanceState::Deregistered
            ) {
                self.instances.remove(&word.id);
            } else {
                self.instances.insert(word.id.clone(), word);
            }
        }
    }

    /// Whether this may be the first start of all, as the settings say: not where something was set aside. Who is told so while a disk
    /// that was read once is spoilt has been started before, and has forgotten what it said.
    pub fn may_bootstrap(&self, settings: bool) -> bool {
        settings && !self.quarantined
    }

    /// A frame with a [`Folded`], without a copy of what goes into it.
    fn encode_state_file(&self) -> Vec<u8> {
        let head = StateFile {
            format: FORMAT,
            number: self.number,
            term: self.raft.term,
            voted_for: self.raft.voted_for.clone(),
            identity: self.raft.identity,
            members_committed: self.raft.members_committed,
            leased_to_complete: self.leased_to_complete,
            waited_slots: self.waited_slots.iter().copied().collect(),
            ..StateFile::default()
        };
        let (snapshot, log) = (&self.raft.snapshot, &self.raft.log);
        let words = self
            .instances
            .values()
            .map(|word| encoding::message::encoded_len(9, word));
        let length = head.encoded_len()
            + encoding::message::encoded_len(6, snapshot)
            + encoding::message::encoded_len_repeated(7, log)
            + self
                .leased_to
                .iter()
                .map(|name| encoding::string::encoded_len(8, name))
                .sum::<usize>()
            + words.sum::<usize>();
        frame(length, |bytes| {
            head.encode_raw(bytes);
            encoding::message::encode(6, snapshot, bytes);
            encoding::message::encode_repeated(7, log, bytes);
            self.leased_to
                .iter()
                .for_each(|name| encoding::string::encode(8, name, bytes));
            self.instances
                .values()
                .for_each(|word| encoding::message::encode(9, word, bytes));
        })
    }

    fn unfold(folded: StateFile) -> StoredState {
        StoredState {
            raft: PersistentState {
                term: folded.term,
                voted_for: folded.voted_for,
                snapshot: folded.snapshot.unwrap_or_default(),
                log: folded.log,
                identity: folded.identity,
                members_committed: folded.members_committed,
            },
            leased_to: folded.leased_to.into_iter().collect(),
            instances: folded
                .instances
                .into_iter()
                .map(|word| (word.id.clone(), word))
                .collect(),
            leased_to_complete: folded.leased_to_complete,
            waited_slots: folded.waited_slots.into_iter().collect(),
            number: folded.number,
            quarantined: false,
        }
    }
}

/// Why a disk cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A step on this path failed.
    Io(&'static str, PathBuf, io::Error),
    /// The file is not what was written, or what came before it is missing.
    Corrupt(PathBuf),
    /// It was written by a program of another format.
    UnknownFormat(PathBuf, u32),
    /// A record does not follow the one before it: number due, number met.
    OutOfOrder(u64, u64),
    /// So much waits for the disk that the record of this number could not be queued.
    QueueFull(u64),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(step, path, error) => {
                write!(
                    f,
                    "step={step} path={} error={:?}",
                    path.display(),
                    error.to_string()
                )
            }
            Error::Corrupt(path) => write!(f, "step=read path={} error=spoilt", path.display()),
            Error::UnknownFormat(path, format) => {
                write!(f, "step=read path={} format={format}", path.display())
            }
            Error::OutOfOrder(due, met) => write!(f, "step=write error=order due={due} met={met}"),
            Error::QueueFull(number) => write!(f, "step=queue error=full number={number}"),
        }
    }
}

impl std::error::Error for Error {}

/// A state that is being written.
struct Fold<F> {
    file: F,
    bytes: Vec<u8>,
    done: usize,
    number: u64,
    /// The segments that it stands for.
    covers: Vec<u64>,
    /// Their length.
    log_bytes: u64,
}

/// A disk that is open for writing.
pub struct Store<D: Disk> {
    disk: D,
    limits: StoreLimits,
    /// All that is on the disk.
    kept: StoredState,
    /// The segment that is written, once it has been begun.
    segment: Option<D::File>,
    /// Its number, or that of the one that is begun next.
    segment_id: u64,
    /// Segments that hold what no state does.
    segments: Vec<u64>,
    /// Their length, and that of what has failed in them.
    log_bytes: u64,
    /// Numbers of states: the last one, and before it any whose folder could not be synced.
    states: Vec<u64>,
    /// Length of the last one.
    state_bytes: u64,
    fold: Option<Fold<D::File>>,
    /// Files that are to be removed.
    stale: Vec<String>,
    /// Length of the last frame.
    last_frame: usize,
}

impl<D: Disk> Store<D> {
    /// Opens the folder, and tells what is in it. All that it tells is on the disk, also if it was not before.
    pub fn open(disk: D) -> Result<(Store<D>, StoredState), Error> {
        Store::open_with(disk, StoreLimits::default()).map_err(|(_, error)| error)
    }

    /// The same with other sizes; with an error it gives the disk back.
    pub fn open_with(disk: D, limits: StoreLimits) -> Result<(Store<D>, StoredState), (D, Error)> {
        let found = match Found::read(&disk) {
            Ok(found) => found,
            Err(error) => return Err((disk, error)),
        };
        let (mut store, mut last) = Store::new(disk, limits, found);
        match store.settle(last.as_mut()) {
            Ok(()) => Ok(store.opened()),
            Err(error) => Err((store.disk, error)),
        }
    }

    /// Opens it as [`Store::open`] does. While the disk refuses, it is tried again and again; if what is on it cannot be read, that is
    /// set aside: the machine has lost its disk.
    pub fn open_with_retries(
        disk: D,
        limits: StoreLimits,
    ) -> Result<(Store<D>, StoredState), Error> {
        let mut trouble = Trouble::default();
        let found = loop {
            let error = match Found::read(&disk) {
                Ok(found) => break found,
                Err(Error::Corrupt(path)) => {
                    log::error!(
                        "event=disk_spoilt step=read path={} files=set_aside",
                        path.display()
                    );
                    match set_aside(&disk) {
                        Ok(()) => continue,
                        Err(error) => error,
                    }
                }
                Err(error @ Error::Io(..)) => error,
                Err(error) => return Err(error),
            };
            trouble.wait(&disk, &error);
        };
        trouble.over(&disk);
        let (mut store, mut last) = Store::new(disk, limits, found);
        store.insist(|store| store.settle(last.as_mut()));
        Ok(store.opened())
    }

    fn new(disk: D, limits: StoreLimits, found: Found) -> (Store<D>, Option<Vec<u8>>) {
        let store = Store {
            disk,
            limits,
            kept: found.kept,
            segment: None,
            segment_id: found.last_segment + 1,
            segments: found.segments,
            log_bytes: found.log_bytes,
            states: found.state.iter().map(|(number, _)| *number).collect(),
            state_bytes: found.state.map_or(0, |(_, length)| length),
            fold: None,
            stale: found.stale,
            last_frame: 0,
        };
        (store, found.last)
    }

    /// What was found may have been read from the system's memory: the last frame, if its sync had failed or not begun when the process
    /// ended, and names. All is on the disk after this. That frame is written anew: after a sync that failed, a second one may say
    /// that all is well and have written nothing.
    fn settle(&mut self, last: Option<&mut Vec<u8>>) -> Result<(), Error> {
        match last {
            Some(frame) => self.append(frame),
            None => self.sync_folder(),
        }
    }

    fn opened(self) -> (Store<D>, StoredState) {
        let kept = self.kept.clone();
        (self, kept)
    }

    /// Writes records and waits until they are on disk. After an error, the same records may be written again and nothing else: they
    /// may be on the disk, or not.
    pub fn write(&mut self, records: Vec<StoreRecord>) -> Result<(), Error> {
        let batch = Batch {
            format: FORMAT,
            records,
        };
        self.check(&batch)?;
        self.append(&mut batch.frame())?;
        batch
            .records
            .into_iter()
            .for_each(|record| self.kept.apply(record));
        Ok(())
    }

    fn check(&self, batch: &Batch) -> Result<(), Error> {
        let mut due = self.kept.number;
        for record in &batch.records {
            due += 1;
            if record.number != due {
                return Err(Error::OutOfOrder(due, record.number));
            }
        }
        Ok(())
    }

    fn append(&mut self, frame: &mut [u8]) -> Result<(), Error> {
        let fresh = self.segment.is_none();
        let result = self.append_to(frame);
        match (&result, fresh) {
            (Ok(()), true) => self.segments.push(self.segment_id),
            (Ok(()), false) => {}
            // Nothing that was told of is in it: it is made anew.
            (Err(_), true) => self.segment = None,
            // What a file holds after that is not known. It has frames that were told of, and gets no more.
            (Err(_), false) => {
                self.segment = None;
                self.segment_id += 1;
            }
        }
        if result.is_ok() || !fresh {
            self.log_bytes += frame.len() as u64;
        }
        self.last_frame = frame.len();
        result
    }

    fn append_to(&mut self, frame: &mut [u8]) -> Result<(), Error> {
        let name = segment_name(self.segment_id);
        let failed = |disk: &D, step, error| Error::Io(step, disk.path().join(&name), error);
        stamp(frame, self.segment_id);
        if let Some(file) = &mut self.segment {
            file.write_all(frame)
                .map_err(|error| failed(&self.disk, "write", error))?;
            return self
                .disk
                .sync(file)
                .map_err(|error| failed(&self.disk, "sync", error));
        }
        let mut file = self
            .disk
            .create(&name)
            .map_err(|error| failed(&self.disk, "make", error))?;
        file.write_all(frame)
            .map_err(|error| failed(&self.disk, "write", error))?;
        self.disk
            .sync(&mut file)
            .map_err(|error| failed(&self.disk, "sync", error))?;
        // A name is lost with the power, and with it all that was synced under it.
        self.sync_folder()?;
        self.segment = Some(file);
        Ok(())
    }

    fn sync_folder(&self) -> Result<(), Error> {
        self.disk
            .sync_folder()
            .map_err(|error| Error::Io("sync", self.disk.path().to_owned(), error))
    }

    /// Whether [`Store::step`] has something to do.
    pub fn has_background_work(&self) -> bool {
        self.fold.is_some() || !self.stale.is_empty() || self.due()
    }

    fn due(&self) -> bool {
        self.log_bytes >= self.limits.compact_after.max(self.state_bytes)
            || self.segments.len() > self.limits.max_segments
    }

    /// Takes one step of what can wait: folding, a slice at a time, and removing what is folded. After an error it begins again.
    pub fn step(&mut self) -> Result<(), Error> {
        if let Some(name) = self.stale.last() {
            match self.disk.remove(name) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    return Err(Error::Io("remove", self.disk.path().join(name), error));
                }
                _ => self.stale.truncate(self.stale.len() - 1),
            }
            return Ok(());
        }
        match self.fold.take() {
            None if self.due() => self.begin_fold(),
            None => Ok(()),
            Some(mut fold) => {
                let result = self.continue_fold(&mut fold);
                match result {
                    Ok(true) => {}
                    Ok(false) => self.fold = Some(fold),
                    Err(_) => {
                        self.segments.splice(0..0, std::mem::take(&mut fold.covers));
                        self.log_bytes += fold.log_bytes;
                    }
                }
                result.map(|_| ())
            }
        }
    }

    fn begin_fold(&mut self) -> Result<(), Error> {
        let file = self
            .disk
            .create(FOLD)
            .map_err(|error| Error::Io("make", self.disk.path().join(FOLD), error))?;
        if self.segment.take().is_some() {
            self.segment_id += 1;
        }
        let mut bytes = self.kept.encode_state_file();
        stamp(&mut bytes, self.kept.number);
        self.fold = Some(Fold {
            file,
            bytes,
            done: 0,
            number: self.kept.number,
            covers: std::mem::take(&mut self.segments),
            log_bytes: std::mem::take(&mut self.log_bytes),
        });
        Ok(())
    }

    /// Whether it is done.
    fn continue_fold(&mut self, fold: &mut Fold<D::File>) -> Result<bool, Error> {
        let failed = |disk: &D, step, error| Error::Io(step, disk.path().join(FOLD), error);
        if fold.done < fold.bytes.len() {
            // No slower than the log grows meanwhile.
            let slice = self
                .limits
                .write_slice
                .max(self.last_frame)
                .min(fold.bytes.len() - fold.done);
            let written = fold
                .file
                .write_all(&fold.bytes[fold.done..fold.done + slice]);
            written.map_err(|error| failed(&self.disk, "write", error))?;
            self.disk
                .sync(&mut fold.file)
                .map_err(|error| failed(&self.disk, "sync", error))?;
            fold.done += slice;
            return Ok(false);
        }
        let name = state_name(fold.number);
        self.disk
            .rename(FOLD, &name)
            .map_err(|error| failed(&self.disk, "rename", error))?;
        let (number, others) = (fold.number, |other: &u64| *other != fold.number);
        let older = std::mem::replace(&mut self.states, vec![number]);
        let older: Vec<u64> = older.into_iter().filter(others).collect();
        if let Err(error) = self.sync_folder() {
            self.states.splice(0..0, older);
            return Err(error);
        }
        // From here on it stands for what it covers.
        self.state_bytes = fold.bytes.len() as u64;
        self.stale.extend(older.into_iter().map(state_name));
        self.stale
            .extend(fold.covers.iter().map(|id| segment_name(*id)));
        Ok(true)
    }

    /// Closes it once all that is due to be folded is folded.
    pub fn close(mut self) -> Result<(), Error> {
        while self.has_background_work() {
            self.step()?;
        }
        Ok(())
    }

    /// Runs on a thread of its own: writes what comes, in order, and tells the number of the last record that is on disk. A disk that
    /// refuses is tried again until it takes the same records; nothing is told of meanwhile.
    pub fn run(
        mut self,
        incoming: &WriteQueueReceiver,
        mut written: impl FnMut(Result<u64, Error>) -> bool,
    ) {
        loop {
            let first = if self.has_background_work() {
                incoming.receiver.try_recv()
            } else {
                incoming.wait()
            };
            match first {
                Ok(first) => {
                    let batch = incoming.batch(first, self.limits.max_batch);
                    if let Err(error) = self.check(&batch) {
                        written(Err(error));
                        return;
                    }
                    let last = batch.records.last().map_or(0, |record| record.number);
                    let mut frame = batch.frame();
                    self.insist(|store| store.append(&mut frame));
                    incoming.done(&batch);
                    batch
                        .records
                        .into_iter()
                        .for_each(|record| self.kept.apply(record));
                    if !written(Ok(last)) {
                        return;
                    }
                }
                Err(mpsc::TryRecvError::Empty) => {}
                Err(mpsc::TryRecvError::Disconnected) => return,
            }
            if self.has_background_work() {
                self.insist(Store::step);
            }
        }
    }

    fn insist(&mut self, mut what: impl FnMut(&mut Store<D>) -> Result<(), Error>) {
        let mut trouble = Trouble::default();
        while let Err(error) = what(self) {
            trouble.wait(&self.disk, &error);
        }
        trouble.over(&self.disk);
    }

    /// The disk itself, as it is.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// A disk that refuses.
#[derive(Default)]
struct Trouble {
    tries: u32,
}

impl Trouble {
    fn wait(&mut self, disk: &impl Disk, error: &Error) {
        self.tries += 1;
        // At first, and ever more seldom.
        if self.tries.is_power_of_two() {
            log::error!("event=disk_refuses tries={} {error}", self.tries);
        }
        disk.sleep(PAUSES.1.min(PAUSES.0 * (1 << self.tries.min(10)) / 2));
    }

    fn over(self, disk: &impl Disk) {
        if self.tries > 0 {
            log::info!(
                "event=disk_back path={} tries={}",
                disk.path().display(),
                self.tries
            );
        }
    }
}

/// Where records are left for the disk's thread.
pub struct WriteQueue {
    sender: mpsc::SyncSender<StoreRecord>,
    bytes: Arc<AtomicUsize>,
    closed: AtomicBool,
}

/// The other end of a [`Queue`].
pub struct WriteQueueReceiver {
    receiver: mpsc::Receiver<StoreRecord>,
    bytes: Arc<AtomicUsize>,
}

/// A queue of at most 65,536 records and 32 MiB; one record may be longer.
pub fn write_queue() -> (WriteQueue, WriteQueueReceiver) {
    let (sender, receiver) = mpsc::sync_channel(MOST_RECORDS);
    let bytes = Arc::new(AtomicUsize::new(0));
    (
        WriteQueue {
            sender,
            bytes: bytes.clone(),
            closed: AtomicBool::new(false),
        },
        WriteQueueReceiver { receiver, bytes },
    )
}

impl WriteQueue {
    /// Leaves a record. One that has no room closes the queue: a later one on the disk would say that all before it are.
    pub fn push(&self, stored: StoreRecord) -> Result<(), Error> {
        let (number, size) = (stored.number, stored.encoded_len());
        let waiting = self.bytes.load(Ordering::Acquire);
        let room = waiting == 0 || waiting + size <= MOST_QUEUED;
        if self.closed.load(Ordering::Acquire) || !room {
            self.closed.store(true, Ordering::Release);
            return Err(Error::QueueFull(number));
        }
        self.bytes.fetch_add(size, Ordering::AcqRel);
        self.sender.try_send(stored).map_err(|_| {
            self.closed.store(true, Ordering::Release);
            Error::QueueFull(number)
        })
    }
}

impl WriteQueueReceiver {
    fn wait(&self) -> Result<StoreRecord, mpsc::TryRecvError> {
        self.receiver
            .recv()
            .map_err(|_| mpsc::TryRecvError::Disconnected)
    }

    fn batch(&self, first: StoreRecord, most: usize) -> Batch {
        let mut size = first.encoded_len();
        let mut records = vec![first];
        while size < most {
            let Ok(next) = self.receiver.try_recv() else {
                break;
            };
            size += next.encoded_len();
            records.push(next);
        }
        Batch {
            format: FORMAT,
            records,
        }
    }

    /// They wait no longer.
    fn done(&self, batch: &Batch) {
        self.bytes.fetch_sub(
            batch.records.iter().map(Message::encoded_len).sum(),
            Ordering::AcqRel,
        );
    }
}

// ---- What is on a disk --------------------------------------------------------------------------------

fn segment_name(id: u64) -> String {
    format!("log-{id:020}")
}

fn state_name(number: u64) -> String {
    format!("state-{number:020}")
}

fn number_in(name: &str, before: &str) -> Option<u64> {
    let digits = name.strip_prefix(before)?;
    (digits.len() == 20).then(|| digits.parse().ok()).flatten()
}

/// A frame round what is encoded, whose head is yet to be stamped.
fn frame(length: usize, encode: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + length);
    bytes.resize(HEAD, 0);
    encode(&mut bytes);
    bytes
}

/// Makes it a frame of the file with this number.
fn stamp(frame: &mut [u8], id: u64) {
    let Some((head, payload)) = frame.split_first_chunk_mut::<HEAD>() else {
        return;
    };
    head[..4].copy_from_slice(&MARK);
    head[4..12].copy_from_slice(&id.to_le_bytes());
    // The longest is a state, and far from 4 GiB.
    head[12..16].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    head[16..20].copy_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let sum = crc32c::crc32c(&head[..20]);
    head[20..].copy_from_slice(&sum.to_le_bytes());
}

/// Length and checksum of what a frame holds, if a head of this file's frames stands here.
fn head(id: u64, bytes: &[u8]) -> Option<(usize, u32)> {
    let head = bytes.first_chunk::<HEAD>()?;
    let number = |at: usize| {
        head[at..at + 4]
            .iter()
            .rev()
            .fold(0, |n: u32, byte| n << 8 | u32::from(*byte))
    };
    let known = head[..4] == MARK && head[4..12] == id.to_le_bytes();
    (known && number(20) == crc32c::crc32c(&head[..20])).then(|| (number(12) as usize, number(16)))
}

/// What the frame that stands here holds, if it is whole.
fn whole(id: u64, bytes: &[u8]) -> Option<&[u8]> {
    let (length, sum) = head(id, bytes)?;
    let payload = bytes[HEAD..].get(..length)?;
    (crc32c::crc32c(payload) == sum).then_some(payload)
}

/// Whether a frame begins after the torn one that stands at the front: then that one was synced.
fn frame_after(id: u64, bytes: &[u8]) -> bool {
    let from = head(id, bytes).map_or(1, |(length, _)| HEAD + length);
    let rest = bytes.get(from..).unwrap_or_default();
    rest.windows(HEAD)
        .any(|window| window[0] == MARK[0] && head(id, window).is_some())
}

/// What was found on a disk.
struct Found {
    kept: StoredState,
    state: Option<(u64, u64)>,
    segments: Vec<u64>,
    last_segment: u64,
    log_bytes: u64,
    stale: Vec<String>,
    /// The frame with the last record, if that is in no state.
    last: Option<Vec<u8>>,
}

impl Found {
    fn read<D: Disk>(disk: &D) -> Result<Found, Error> {
        let names = disk
            .list()
            .map_err(|error| Error::Io("list", disk.path().to_owned(), error))?;
        let spoilt = |name: &str| Error::Corrupt(disk.path().join(name));
        if let Some(name) = names.iter().find(|name| name.starts_with("wal-")) {
            return Err(Error::UnknownFormat(disk.path().join(name), 1));
        }
        if names.iter().any(|name| name == MARKER) {
            return Err(spoilt(MARKER));
        }
        let sorted = |before| {
            let mut all: Vec<u64> = names
                .iter()
                .filter_map(|name| number_in(name, before))
                .collect();
            all.sort_unstable();
            all
        };
        let (mut states, segments) = (sorted("state-"), sorted("log-"));
        let mut found = Found {
            kept: StoredState::default(),
            state: None,
            segments: Vec::new(),
            last_segment: segments.last().copied().unwrap_or(0),
            log_bytes: 0,
            stale: states
                .iter()
                .rev()
                .skip(1)
                .map(|number| state_name(*number))
                .collect(),
            last: None,
        };
        if names.iter().any(|name| name == FOLD) {
            found.stale.push(FOLD.to_owned());
        }
        if let Some(number) = states.pop() {
            let name = state_name(number);
            let bytes = read_all(disk, &name)?;
            found.state = Some((number, bytes.len() as u64));
            let payload = whole(number, &bytes).ok_or_else(|| spoilt(&name))?;
            if HEAD + payload.len() != bytes.len() {
                return Err(spoilt(&name));
            }
            let folded = StateFile::decode(payload).map_err(|_| spoilt(&name))?;
            if folded.format != FORMAT {
                return Err(Error::UnknownFormat(disk.path().join(&name), folded.format));
            }
            if folded.number != number {
                return Err(spoilt(&name));
            }
            found.kept = StoredState::unfold(folded);
        }
        let folded = found.kept.number;
        for id in segments {
            let name = segment_name(id);
            let bytes = read_all(disk, &name)?;
            let last = found.replay(disk, &name, id, &bytes)?;
            if last > folded {
                found.segments.push(id);
                found.log_bytes += bytes.len() as u64;
            } else {
                found.stale.push(name);
            }
        }
        found.kept.quarantined = names.iter().any(|name| name.starts_with(SPOILT));
        Ok(found)
    }

    /// Takes in the frames of a segment, and tells the last record in it.
    fn replay<D: Disk>(
        &mut self,
        disk: &D,
        name: &str,
        id: u64,
        mut bytes: &[u8],
    ) -> Result<u64, Error> {
        let path = || disk.path().join(name);
        let mut last = 0;
        while let Some(payload) = whole(id, bytes) {
            bytes = &bytes[HEAD + payload.len()..];
            let batch = Batch::decode(payload).map_err(|_| Error::Corrupt(path()))?;
            if batch.format != FORMAT {
                return Err(Error::UnknownFormat(path(), batch.format));
            }
            let before = self.kept.number;
            for record in batch.records {
                last = last.max(record.number);
                if record.number > self.kept.number + 1 {
                    // What came before it was on the disk.
                    return Err(Error::Corrupt(path()));
                }
                self.kept.apply(record);
            }
            if self.kept.number > before {
                self.last = Some(frame(payload.len(), |bytes| bytes.extend(payload)));
            }
        }
        if frame_after(id, bytes) {
            return Err(Error::Corrupt(path()));
        }
        Ok(last)
    }
}

fn read_all<D: Disk>(disk: &D, name: &str) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let read = disk
        .read(name)
        .and_then(|mut file| file.read_to_end(&mut bytes));
    read.map_err(|error| Error::Io("read", disk.path().join(name), error))?;
    Ok(bytes)
}

/// Gives all files other names, so that the folder is empty to the store. One such set is kept. The marker is on the disk before the
/// first name changes, and off it before anything else is written: a part of the old files is never taken for all of them.
fn set_aside<D: Disk>(disk: &D) -> Result<(), Error> {
    let failed = |step, name: &str, error| Error::Io(step, disk.path().join(name), error);
    let sync = || {
        disk.sync_folder()
            .map_err(|error| failed("sync", "", error))
    };
    let names = disk.list().map_err(|error| failed("list", "", error))?;
    if !names.iter().any(|name| name == MARKER) {
        for name in names
            .iter()
            .filter(|name| name.starts_with(SPOILT) && *name != NOTE)
        {
            disk.remove(name)
                .map_err(|error| failed("remove", name, error))?;
        }
    }
    for name in [NOTE, MARKER] {
        let mut file = disk
            .create(name)
            .map_err(|error| failed("make", name, error))?;
        disk.sync(&mut file)
            .map_err(|error| failed("sync", name, error))?;
    }
    sync()?;
    let ours = |name: &str| {
        name == FOLD || number_in(name, "state-").is_some() || number_in(name, "log-").is_some()
    };
    for name in names.iter().filter(|name| ours(name)) {
        disk.rename(name, &format!("{SPOILT}{name}"))
            .map_err(|error| failed("rename", name, error))?;
    }
    sync()?;
    disk.remove(MARKER)
        .map_err(|error| failed("remove", MARKER, error))?;
    sync()
}
