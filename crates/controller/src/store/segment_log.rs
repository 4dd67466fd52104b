//! The write-ahead log: segments `log-N`, each a sequence of frames.
//!
//! Invariant: a frame is written only once all frames before it, and the names of their files, are
//! durable. Therefore only the last frame of a segment can be torn, and it was never acknowledged.
//! A segment is never renamed, reused or truncated, and no frame is appended to it after a write or
//! sync of it has failed.

use super::error::Error;
use super::files;
use super::frame::Frame;
use crate::disk::Disk;

/// A set of segments with records that are in no state file.
#[derive(Debug, Default)]
pub(super) struct SegmentSet {
    /// Segment numbers, oldest first.
    pub(super) ids: Vec<u64>,
    /// Total length of the segments, including writes that failed in these segments.
    pub(super) bytes: u64,
}

impl SegmentSet {
    /// Puts older segments back after their compaction has failed.
    fn prepend(&mut self, mut older: SegmentSet) {
        older.ids.append(&mut self.ids);
        self.ids = older.ids;
        self.bytes += older.bytes;
    }
}

/// A log that is open for writing.
pub(super) struct SegmentLog<F> {
    /// The segment to which the next frame is appended; `None` if that frame begins a new segment.
    current: Option<F>,
    /// The number of the current segment, or of the next one if there is none.
    current_id: u64,
    uncompacted: SegmentSet,
    last_frame_bytes: usize,
}

impl<F: Send> SegmentLog<F> {
    /// Creates a log whose next frame begins segment `next_id`, after the segments in
    /// `uncompacted`.
    pub(super) fn new(next_id: u64, uncompacted: SegmentSet) -> SegmentLog<F> {
        SegmentLog {
            current: None,
            current_id: next_id,
            uncompacted,
            last_frame_bytes: 0,
        }
    }

    /// Returns the segments with records that are in no state file.
    pub(super) fn uncompacted(&self) -> &SegmentSet {
        &self.uncompacted
    }

    /// Returns the length of the last frame.
    pub(super) fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Appends a frame and waits until it is durable. After an error the frame may or may not be on
    /// the disk; the same frame may be appended again, but no other.
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

    /// After an error the content of the file is unknown. The file contains acknowledged frames, so
    /// it is left as it is, and the next frame begins another segment.
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

    /// Begins a segment with this frame. After an error the segment's file contains nothing that
    /// was acknowledged, and the next attempt truncates it, so that any number of attempts leaves
    /// only one file.
    fn begin_segment<D: Disk<File = F>>(&mut self, disk: &D, frame: &Frame) -> Result<(), Error> {
        let name = files::segment_name(self.current_id);
        let mut file = files::create(disk, &name)?;
        files::write_and_sync(disk, &name, &mut file, frame.bytes())?;
        // Without this sync of the directory, a power loss removes the segment's name, and with it
        // all content synced under that name.
        files::sync_directory(disk)?;
        self.current = Some(file);
        self.uncompacted.ids.push(self.current_id);
        self.uncompacted.bytes += frame.len() as u64;
        Ok(())
    }

    /// Ends the current segment and returns all segments for compaction; the next frame begins
    /// another segment.
    pub(super) fn take_uncompacted(&mut self) -> SegmentSet {
        if self.current.take().is_some() {
            self.current_id += 1;
        }
        std::mem::take(&mut self.uncompacted)
    }

    /// Takes back segments whose compaction has failed.
    pub(super) fn restore_uncompacted(&mut self, segments: SegmentSet) {
        self.uncompacted.prepend(segments);
    }
}
