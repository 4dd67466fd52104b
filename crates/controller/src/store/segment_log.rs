//! The write-ahead log: segments `log-N`, each a sequence of frames.
//!
//! Invariant: a frame is begun only once all frames before it are durable, name of their file included. So only the last frame of a
//! segment can be torn, and it was never acknowledged. A segment is never renamed, reused or cut, and gets no more frames after a
//! write or sync of it has failed.

use super::error::Error;
use super::files;
use super::frame::Frame;
use crate::disk::Disk;

/// Segments that hold records which no state file holds.
#[derive(Debug, Default)]
pub(super) struct SegmentSet {
    /// Their numbers, oldest first.
    pub(super) ids: Vec<u64>,
    /// Their length, that of writes which failed in them included.
    pub(super) bytes: u64,
}

impl SegmentSet {
    /// Puts older segments back, whose compaction has failed.
    fn prepend(&mut self, mut older: SegmentSet) {
        older.ids.append(&mut self.ids);
        self.ids = older.ids;
        self.bytes += older.bytes;
    }
}

/// The log that is open for writing.
pub(super) struct SegmentLog<F> {
    /// The segment that gets the next frame, once it has one.
    current: Option<F>,
    /// Its number, or that of the one that is begun next.
    current_id: u64,
    uncompacted: SegmentSet,
    last_frame_bytes: usize,
}

impl<F: Send> SegmentLog<F> {
    /// A log whose next frame begins the segment of number `next_id`, after these segments.
    pub(super) fn new(next_id: u64, uncompacted: SegmentSet) -> SegmentLog<F> {
        SegmentLog {
            current: None,
            current_id: next_id,
            uncompacted,
            last_frame_bytes: 0,
        }
    }

    /// Segments that hold records which no state file holds.
    pub(super) fn uncompacted(&self) -> &SegmentSet {
        &self.uncompacted
    }

    /// Length of the last frame.
    pub(super) fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Appends a frame and waits until it is durable. After an error it may be on the disk or not; the same frame may be appended
    /// again, and nothing else.
    pub(super) fn append<D: Disk<File = F>>(
        &mut self,
        disk: &D,
        frame: &mut Frame,
    ) -> Result<(), Error> {
        frame.write_header(self.current_id);
        self.last_frame_bytes = frame.len();
        match self.current.take() {
            Some(file) => self.append_to_current(disk, file, frame),
            None => self.begin_segment(disk, frame),
        }
    }

    /// After an error the file's content is unknown. It has frames that were acknowledged, so it stays as it is, and the next frame
    /// begins another segment.
    fn append_to_current<D: Disk<File = F>>(
        &mut self,
        disk: &D,
        mut file: F,
        frame: &Frame,
    ) -> Result<(), Error> {
        let name = files::segment_name(self.current_id);
        self.uncompacted.bytes += frame.len() as u64;
        let result = files::write_and_sync(disk, &name, &mut file, frame.bytes());
        match result {
            Ok(()) => self.current = Some(file),
            Err(_) => self.current_id += 1,
        }
        result
    }

    /// After an error the file holds nothing that was acknowledged, and the next attempt empties it: attempts leave one file, however
    /// many they are.
    fn begin_segment<D: Disk<File = F>>(&mut self, disk: &D, frame: &Frame) -> Result<(), Error> {
        let name = files::segment_name(self.current_id);
        let mut file = files::create(disk, &name)?;
        files::write_and_sync(disk, &name, &mut file, frame.bytes())?;
        // Without this a loss of power takes the name, and with it all that is synced under it.
        files::sync_directory(disk)?;
        self.current = Some(file);
        self.uncompacted.ids.push(self.current_id);
        self.uncompacted.bytes += frame.len() as u64;
        Ok(())
    }

    /// Ends the current segment and hands over all segments for compaction; the next frame begins another.
    pub(super) fn take_uncompacted(&mut self) -> SegmentSet {
        if self.current.take().is_some() {
            self.current_id += 1;
        }
        std::mem::take(&mut self.uncompacted)
    }

    /// Takes segments back whose compaction has failed.
    pub(super) fn restore_uncompacted(&mut self, segments: SegmentSet) {
        self.uncompacted.prepend(segments);
    }
}
