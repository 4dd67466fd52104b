//! The disk of an exchange: a write-ahead log (`okaywal`) and a file that its old segments are folded into. A thread of its own
//! writes; what has come while it waited for the disk goes in one entry.
//!
//! Format 2 (1 named members without identities). Each entry of the log holds a [`Batch`] of records, each with its number; `state` holds a [`Folded`] of all records up to a
//! number. Both carry checksums (okaywal's CRC-32C; a FNV of the file). A torn entry was never acknowledged and is passed
//! over; a `state` that is torn is an error: it was renamed into place after its sync.

use maplefall_directory::{State, Word};
use maplefall_tandem::{Durable, Entry as LogEntry, Record, Snapshot};
use okaywal::{Configuration, Entry, EntryId, LogManager, ReadChunkResult, SegmentReader, WriteAheadLog};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc, Mutex, PoisonError};

/// The format that is written.
const FORMAT: u32 = 2;
/// A segment begins with this much room, and is folded beyond this much.
const SEGMENT: u32 = 256 << 10;
/// Bytes in one entry, about.
const BATCH: usize = 4 << 20;
/// What every segment begins with.
const MAGIC: &[u8] = b"okw\0";

/// One record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Stored {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Of the agreement.
    #[prost(message, optional, tag = "2")]
    pub tandem: Option<Record>,
    /// Doors that are lent to from here on.
    #[prost(string, repeated, tag = "3")]
    pub lent_to: Vec<String>,
    /// Words about backends.
    #[prost(message, repeated, tag = "4")]
    pub words: Vec<Word>,
}

/// What one entry of the log holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Batch {
    /// [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// In order.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Stored>,
}

/// What the file `state` holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Folded {
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
    pub voted: String,
    /// The mark of this disk.
    #[prost(uint64, optional, tag = "10")]
    pub identity: Option<u64>,
    /// Members up to this index are known to be agreed on.
    #[prost(uint64, tag = "11")]
    pub settled: u64,
    /// The state.
    #[prost(message, optional, tag = "6")]
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    #[prost(message, repeated, tag = "7")]
    pub log: Vec<LogEntry>,
    /// Doors that were lent to.
    #[prost(string, repeated, tag = "8")]
    pub lent_to: Vec<String>,
    /// Words about backends.
    #[prost(message, repeated, tag = "9")]
    pub words: Vec<Word>,
}

/// What is on a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// Of the agreement.
    pub tandem: Durable,
    /// Doors that were lent to.
    pub lent_to: BTreeSet<String>,
    /// The last word about each backend that has not left.
    pub words: BTreeMap<String, Word>,
    /// Number of the last record.
    pub number: u64,
}

impl Kept {
    fn take(&mut self, stored: Stored) {
        // A segment whose new name was lost comes a second time: what is folded already must not be taken again.
        if stored.number <= self.number {
            return;
        }
        self.number = stored.number;
        if let Some(record) = stored.tandem {
            self.tandem.take(record);
        }
        self.lent_to.extend(stored.lent_to);
        for word in stored.words {
            if matches!(word.state(), State::Lost | State::Left) {
                self.words.remove(&word.id);
            } else {
                self.words.insert(word.id.clone(), word);
            }
        }
    }

    fn fold(&self) -> Folded {
        Folded {
            format: FORMAT,
            number: self.number,
            term: self.tandem.term,
            voted: self.tandem.voted.clone(),
            identity: self.tandem.identity,
            settled: self.tandem.settled,
            snapshot: Some(self.tandem.snapshot.clone()),
            log: self.tandem.log.clone(),
            lent_to: self.lent_to.iter().cloned().collect(),
            words: self.words.values().cloned().collect(),
        }
    }

    fn unfold(folded: Folded) -> Kept {
        Kept {
            tandem: Durable {
                term: folded.term,
                voted: folded.voted,
                snapshot: folded.snapshot.unwrap_or_default(),
                log: folded.log,
                identity: folded.identity,
                settled: folded.settled,
            },
            lent_to: folded.lent_to.into_iter().collect(),
            words: folded.words.into_iter().map(|word| (word.id.clone(), word)).collect(),
            number: folded.number,
        }
    }
}

/// Why a disk cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A step on this path failed.
    Disk(&'static str, PathBuf, io::Error),
    /// The file is not what was written.
    Spoilt(PathBuf),
    /// It was written by a later program.
    Format(PathBuf, u32),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Disk(step, path, error) => {
                write!(f, "step={step} path={} error={:?}", path.display(), error.to_string())
            }
            Error::Spoilt(path) => write!(f, "step=read path={} error=spoilt", path.display()),
            Error::Format(path, format) => write!(f, "step=read path={} format={format}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

/// A disk that is open for writing.
pub struct Store {
    wal: WriteAheadLog,
    kept: Arc<Mutex<Kept>>,
    path: PathBuf,
}

impl Store {
    /// Opens the folder, and tells what is in it.
    pub fn open(path: &Path) -> Result<(Store, Kept), Error> {
        let at = |step, path: &Path| {
            let path = path.to_owned();
            move |error| Error::Disk(step, path, error)
        };
        fs::create_dir_all(path).map_err(at("create", path))?;
        let state = path.join("state");
        let kept = match fs::read(&state) {
            Ok(bytes) => read_state(&state, &bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Kept::default(),
            Err(error) => return Err(at("read", &state)(error)),
        };
        drop_empty_segments(path)?;
        let kept = Arc::new(Mutex::new(kept));
        let manager = Manager { kept: kept.clone(), path: path.to_owned() };
        let wal = Configuration::default_for(path)
            .preallocate_bytes(SEGMENT)
            .checkpoint_after_bytes(u64::from(SEGMENT) * 3 / 4)
            .open(manager)
            .map_err(at("recover", path))?;
        let found = lock(&kept).clone();
        Ok((Store { wal, kept, path: path.to_owned() }, found))
    }

    /// Writes records and waits until they are on disk.
    pub fn write(&self, records: Vec<Stored>) -> Result<(), Error> {
        let at = |error| Error::Disk("write", self.path.clone(), error);
        // Before the log has them: a segment is folded from this as soon as it is full.
        records.iter().for_each(|record| lock(&self.kept).take(record.clone()));
        let bytes = Batch { format: FORMAT, records }.encode_to_vec();
        let mut entry = self.wal.begin_entry().map_err(at)?;
        entry.write_chunk(&bytes).map_err(at)?;
        entry.commit().map_err(at)?;
        Ok(())
    }

    /// Closes it once all that is due to be folded is folded.
    pub fn close(self) -> Result<(), Error> {
        self.wal.shutdown().map_err(|error| Error::Disk("close", self.path, error))
    }

    /// Runs on a thread of its own: writes what comes, in order, and tells the number of the last record that is on disk. A
    /// disk that fails ends it with the error: what is on it then only a new start can tell.
    pub fn run(self, incoming: &mpsc::Receiver<Stored>, mut written: impl FnMut(Result<u64, Error>) -> bool) {
        while let Ok(first) = incoming.recv() {
            let mut size = first.encoded_len();
            let mut records = vec![first];
            while size < BATCH {
                let Ok(next) = incoming.try_recv() else { break };
                size += next.encoded_len();
                records.push(next);
            }
            let last = records.last().map_or(0, |record| record.number);
            let result = self.write(records).map(|()| last);
            let failed = result.is_err();
            if !written(result) || failed {
                return;
            }
        }
    }
}

fn lock(kept: &Mutex<Kept>) -> std::sync::MutexGuard<'_, Kept> {
    kept.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A segment whose first bytes never came to the disk holds nothing that was acknowledged, and the library would not open it.
fn drop_empty_segments(path: &Path) -> Result<(), Error> {
    let at = |error| Error::Disk("list", path.to_owned(), error);
    for file in fs::read_dir(path).map_err(at)? {
        let file = file.map_err(at)?;
        if !file.file_name().to_string_lossy().starts_with("wal-") {
            continue;
        }
        let mut head = [0; 5];
        let read = File::open(file.path()).and_then(|mut file| file.read_exact(&mut head));
        if read.is_err() || &head[..4] != MAGIC {
            fs::remove_file(file.path()).map_err(|error| Error::Disk("remove", file.path(), error))?;
        }
    }
    Ok(())
}

/// FNV-1a, 64 bits.
fn checksum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

fn read_state(path: &Path, bytes: &[u8]) -> Result<Kept, Error> {
    let spoilt = || Error::Spoilt(path.to_owned());
    let (sum, rest) = bytes.split_first_chunk::<8>().ok_or_else(spoilt)?;
    if u64::from_be_bytes(*sum) != checksum(rest) {
        return Err(spoilt());
    }
    let folded = Folded::decode(rest).map_err(|_| spoilt())?;
    if folded.format != FORMAT {
        return Err(Error::Format(path.to_owned(), folded.format));
    }
    Ok(Kept::unfold(folded))
}

/// The library's view of the state that its log stands before.
#[derive(Debug)]
struct Manager {
    kept: Arc<Mutex<Kept>>,
    path: PathBuf,
}

impl LogManager for Manager {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        let mut whole = Vec::new();
        loop {
            match entry.read_chunk()? {
                ReadChunkResult::Chunk(mut chunk) => {
                    let data = chunk.read_all()?;
                    // Torn: it was never acknowledged.
                    if chunk.bytes_remaining() > 0 || !chunk.check_crc().unwrap_or(false) {
                        return Ok(());
                    }
                    whole.extend(data);
                }
                ReadChunkResult::EndOfEntry => break,
                ReadChunkResult::AbortedEntry => return Ok(()),
            }
        }
        let unreadable = || io::Error::new(io::ErrorKind::InvalidData, "an entry of another format");
        let batch = Batch::decode(whole.as_slice()).map_err(|_| unreadable())?;
        if batch.format != FORMAT {
            return Err(unreadable());
        }
        batch.records.into_iter().for_each(|record| lock(&self.kept).take(record));
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> io::Result<()> {
        let bytes = lock(&self.kept).fold().encode_to_vec();
        let (new, old) = (self.path.join("state.new"), self.path.join("state"));
        let mut file = File::create(&new)?;
        file.write_all(&checksum(&bytes).to_be_bytes())?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&new, &old)?;
        File::open(&self.path)?.sync_all()
    }
}
