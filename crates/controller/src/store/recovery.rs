//! Recovery of the state from the directory at a start.
//!
//! Invariant: the recovered state consists of records 1 to some number, exactly as they were
//! written, and no acknowledged record is missing. A directory for which this cannot be established
//! is corrupt as a whole. There is one exception, which cannot be avoided with one sync per write:
//! a corrupt last frame cannot be told from a write that was never acknowledged.

use super::compaction::StateFileInfo;
use super::error::Error;
use super::files::{self, FORMAT_1_PREFIX, QUARANTINE_MARKER, QUARANTINE_PREFIX};
use super::files::{SEGMENT_PREFIX, STATE_FILE_PREFIX, UNFINISHED_STATE_FILE};
use super::frame::{self, Frame, FRAME_HEADER_BYTES};
use super::quarantine;
use super::record::{Batch, FORMAT_VERSION};
use super::retry::Retry;
use super::segment_log::SegmentSet;
use super::state::StoredState;
use super::state_file::StateFile;
use crate::disk::Disk;
use prost::Message;

/// The content of the store's directory, as a start finds it.
#[derive(Default)]
pub(super) struct RecoveredDirectory {
    /// The result of applying all records that were found.
    pub(super) state: StoredState,
    /// The latest state file.
    pub(super) state_file: Option<StateFileInfo>,
    /// Segments with records that are in no state file.
    pub(super) uncompacted: SegmentSet,
    /// The highest segment number, 0 if there is no segment.
    pub(super) last_segment_id: u64,
    /// Files whose content is no longer needed.
    pub(super) obsolete_files: Vec<String>,
    /// The frame with the last record, if that is in no state file.
    pub(super) last_frame: Option<Frame>,
}

impl RecoveredDirectory {
    /// Reads all files without changing any.
    ///
    /// # Errors
    ///
    /// [`Error::Io`], [`Error::Corrupt`] (also during an unfinished quarantine, which then has to
    /// be completed) and [`Error::UnknownFormat`].
    pub(super) fn read<D: Disk>(disk: &D) -> Result<RecoveredDirectory, Error> {
        let names = files::list(disk)?;
        if let Some(name) = names.iter().find(|name| name.starts_with(FORMAT_1_PREFIX)) {
            return Err(Error::unknown_format(disk, name, 1));
        }
        if names.iter().any(|name| name == QUARANTINE_MARKER) {
            return Err(Error::corrupt(disk, QUARANTINE_MARKER));
        }
        let segment_ids = numbers_of(&names, SEGMENT_PREFIX);
        let mut recovered = RecoveredDirectory {
            last_segment_id: segment_ids.last().copied().unwrap_or(0),
            ..RecoveredDirectory::default()
        };
        recovered.read_state_files(disk, &names)?;
        recovered.read_segments(disk, segment_ids)?;
        recovered.state.quarantined = names.iter().any(|name| name.starts_with(QUARANTINE_PREFIX));
        Ok(recovered)
    }

    /// Reads the latest state file; earlier ones and an unfinished one are obsolete.
    fn read_state_files<D: Disk>(&mut self, disk: &D, names: &[String]) -> Result<(), Error> {
        let mut numbers = numbers_of(names, STATE_FILE_PREFIX);
        let last = numbers.pop();
        let older = numbers.into_iter().rev();
        self.obsolete_files
            .extend(older.map(files::state_file_name));
        if names.iter().any(|name| name == UNFINISHED_STATE_FILE) {
            self.obsolete_files.push(UNFINISHED_STATE_FILE.to_owned());
        }
        let Some(number) = last else {
            return Ok(());
        };
        let name = files::state_file_name(number);
        let bytes = files::read(disk, &name)?;
        self.state_file = Some(StateFileInfo {
            number,
            bytes: bytes.len() as u64,
        });
        self.state = StateFile::decode_file(disk, &name, number, &bytes)?.into();
        Ok(())
    }

    /// Applies the records of all segments, oldest first; segments without a record after the state
    /// file are obsolete.
    fn read_segments<D: Disk>(&mut self, disk: &D, segment_ids: Vec<u64>) -> Result<(), Error> {
        let compacted_number = self.state.number;
        for id in segment_ids {
            let name = files::segment_name(id);
            let bytes = files::read(disk, &name)?;
            let last_number = self.replay_segment(disk, &name, id, &bytes)?;
            if last_number > compacted_number {
                self.uncompacted.ids.push(id);
                self.uncompacted.bytes += bytes.len() as u64;
            } else {
                self.obsolete_files.push(name);
            }
        }
        Ok(())
    }

    /// Applies the records of a segment, up to its torn end if it has one. Returns the highest
    /// record number in it, 0 if it has no record.
    fn replay_segment<D: Disk>(
        &mut self,
        disk: &D,
        name: &str,
        id: u64,
        mut bytes: &[u8],
    ) -> Result<u64, Error> {
        let mut last_number = 0;
        while let Some(payload) = frame::read_payload(id, bytes) {
            bytes = &bytes[FRAME_HEADER_BYTES + payload.len()..];
            let batch = Batch::decode(payload).map_err(|_| Error::corrupt(disk, name))?;
            if batch.format != FORMAT_VERSION {
                return Err(Error::unknown_format(disk, name, batch.format));
            }
            let number_before = self.state.number;
            for record in batch.records {
                last_number = last_number.max(record.number);
                if record.number > self.state.number + 1 {
                    // The number of this record does not follow that of the last applied record.
                    // The records between the two were durable before this one was written, so they
                    // have been lost.
                    return Err(Error::corrupt(disk, name));
                }
                self.state.apply(record);
            }
            if self.state.number > number_before {
                self.last_frame = Some(Frame::encode(payload.len(), |frame| frame.extend(payload)));
            }
        }
        if frame::has_later_frame(id, bytes) {
            return Err(Error::corrupt(disk, name));
        }
        Ok(last_number)
    }
}

/// Returns the numbers of all files with this prefix, in ascending order.
fn numbers_of(names: &[String], prefix: &str) -> Vec<u64> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| files::parse_number(name, prefix))
        .collect();
    numbers.sort_unstable();
    numbers
}

/// Reads the directory, with retries while the disk returns errors. Corrupt files are quarantined,
/// after which the directory is treated as empty.
///
/// # Errors
///
/// [`Error::UnknownFormat`] only.
pub(super) fn read_with_retries<D: Disk>(disk: &D) -> Result<RecoveredDirectory, Error> {
    let mut retry = Retry::default();
    loop {
        let error = match RecoveredDirectory::read(disk) {
            Ok(recovered) => {
                retry.succeeded(disk);
                return Ok(recovered);
            }
            Err(Error::Corrupt { path }) => {
                log::error!(
                    "event=disk_corrupt step=read path={} files=quarantined",
                    path.display()
                );
                match quarantine::quarantine_files(disk) {
                    Ok(()) => continue,
                    Err(error) => error,
                }
            }
            Err(error @ Error::Io { .. }) => error,
            Err(error) => return Err(error),
        };
        retry.failed(disk, &error);
    }
}
