//! Compaction: replaces old segments by a state file, written one slice at a time between other
//! writes.
//!
//! Invariant: a file is removed only once its replacement is durable. A state file is written as
//! `fold`, synced, renamed to a name that was never used before, and the directory synced; only
//! then are earlier segments and state files obsolete. Whichever names a power loss removes, either
//! the new state file exists, or the older one with all segments after it.

use super::error::Error;
use super::files::{self, UNFINISHED_STATE_FILE};
use super::frame::Frame;
use super::segment_log::{SegmentLog, SegmentSet};
use super::state::StoredState;
use super::state_file::StateFile;
use super::StoreLimits;
use crate::disk::Disk;

/// Number and length of a state file.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateFileInfo {
    /// Number of the last record that the state file contains; the file contains all records up to
    /// it.
    pub(super) number: u64,
    /// Length of the state file.
    pub(super) bytes: u64,
}

/// A state file that is being written.
struct Compaction<F> {
    file: F,
    frame: Frame,
    written_bytes: usize,
    /// The number of the state file: it contains all records up to this one.
    number: u64,
    /// The segments that the state file replaces.
    replaces: SegmentSet,
}

impl<F: Send> Compaction<F> {
    fn begin<D: Disk<File = F>>(
        disk: &D,
        state: &StoredState,
        log: &mut SegmentLog<F>,
    ) -> Result<Compaction<F>, Error> {
        let file = files::create(disk, UNFINISHED_STATE_FILE)?;
        let mut frame = StateFile::encode_state(state);
        frame.write_header(state.number);
        Ok(Compaction {
            file,
            frame,
            written_bytes: 0,
            number: state.number,
            replaces: log.take_uncompacted(),
        })
    }

    fn is_written(&self) -> bool {
        self.written_bytes == self.frame.len()
    }

    fn write_slice<D: Disk<File = F>>(
        &mut self,
        disk: &D,
        max_slice_bytes: usize,
    ) -> Result<(), Error> {
        let rest = &self.frame.bytes()[self.written_bytes..];
        let slice = &rest[..max_slice_bytes.min(rest.len())];
        files::write_and_sync(disk, UNFINISHED_STATE_FILE, &mut self.file, slice)?;
        self.written_bytes += slice.len();
        Ok(())
    }
}

/// Decides when to compact, performs compactions in steps, and removes the files that they made
/// obsolete.
pub(super) struct Compactor<F> {
    running: Option<Compaction<F>>,
    /// Numbers of state files: the latest one, preceded by any that a power loss may restore in its
    /// place because the directory could not be synced.
    state_files: Vec<u64>,
    /// Length of the latest state file.
    state_file_bytes: u64,
    /// Files to be removed, starting with the last.
    obsolete_files: Vec<String>,
}

impl<F: Send> Compactor<F> {
    /// Creates a compactor for a directory with this state file and these files to be removed.
    pub(super) fn new(
        state_file: Option<StateFileInfo>,
        obsolete_files: Vec<String>,
    ) -> Compactor<F> {
        Compactor {
            running: None,
            state_files: state_file.iter().map(|file| file.number).collect(),
            state_file_bytes: state_file.map_or(0, |file| file.bytes),
            obsolete_files,
        }
    }

    /// Returns whether [`Compactor::step`] has work to do.
    pub(super) fn has_work(&self, limits: &StoreLimits, log: &SegmentLog<F>) -> bool {
        self.running.is_some() || !self.obsolete_files.is_empty() || self.is_due(limits, log)
    }

    /// Returns whether a compaction is due. If the state file is longer than `compact_after_bytes`,
    /// a compaction is due once the log is as long as the state file. A compaction then writes
    /// about as much as was logged before it, so each byte is written about twice, however long the
    /// state is.
    fn is_due(&self, limits: &StoreLimits, log: &SegmentLog<F>) -> bool {
        let uncompacted = log.uncompacted();
        uncompacted.bytes >= limits.compact_after_bytes.max(self.state_file_bytes)
            || uncompacted.ids.len() > limits.max_segments
    }

    /// Performs one step: removes an obsolete file, or begins or continues a due compaction. A
    /// compaction that fails is abandoned, and a later step starts it again.
    pub(super) fn step<D: Disk<File = F>>(
        &mut self,
        disk: &D,
        limits: &StoreLimits,
        state: &StoredState,
        log: &mut SegmentLog<F>,
    ) -> Result<(), Error> {
        if let Some(name) = self.obsolete_files.last() {
            files::remove_if_present(disk, name)?;
            self.obsolete_files.pop();
            return Ok(());
        }
        match self.running.take() {
            Some(compaction) => self.advance(disk, limits, compaction, log),
            None if self.is_due(limits, log) => {
                self.running = Some(Compaction::begin(disk, state, log)?);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn advance<D: Disk<File = F>>(
        &mut self,
        disk: &D,
        limits: &StoreLimits,
        mut compaction: Compaction<F>,
        log: &mut SegmentLog<F>,
    ) -> Result<(), Error> {
        let is_written = compaction.is_written();
        let result = if is_written {
            self.publish(disk, &compaction)
        } else {
            // A slice of the state file is at least as long as the last batch, because otherwise
            // the log grows faster than the state file is written.
            let max_slice_bytes = limits.write_slice_bytes.max(log.last_frame_bytes());
            compaction.write_slice(disk, max_slice_bytes)
        };
        match result {
            Ok(()) if is_written => {}
            Ok(()) => self.running = Some(compaction),
            Err(_) => log.restore_uncompacted(compaction.replaces),
        }
        result
    }

    /// Replaces the compacted files by the finished state file.
    fn publish<D: Disk<File = F>>(
        &mut self,
        disk: &D,
        compaction: &Compaction<F>,
    ) -> Result<(), Error> {
        let number = compaction.number;
        files::rename(disk, UNFINISHED_STATE_FILE, &files::state_file_name(number))?;
        let mut older = std::mem::replace(&mut self.state_files, vec![number]);
        older.retain(|other| *other != number);
        if let Err(error) = files::sync_directory(disk) {
            // A power loss may restore the name of an older state file, so that file is kept until
            // a sync of the directory has succeeded.
            self.state_files.splice(0..0, older);
            return Err(error);
        }
        self.state_file_bytes = compaction.frame.len() as u64;
        self.obsolete_files
            .extend(older.into_iter().map(files::state_file_name));
        let replaced = compaction.replaces.ids.iter().copied();
        self.obsolete_files
            .extend(replaced.map(files::segment_name));
        Ok(())
    }
}
