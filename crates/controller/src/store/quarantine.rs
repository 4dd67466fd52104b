//! Quarantine of corrupt files: the store's files are renamed to `spoilt-*`, which leaves the
//! directory empty for the store. One set of quarantined files is kept.
//!
//! Invariant: either all files are quarantined or none is. A subset of the files could be mistaken
//! for a complete directory (an intact first segment without its corrupt second one), and the
//! controller would then start without state that it has acknowledged. Therefore the in-progress
//! marker is durable before the first rename, a start that finds the marker continues the
//! quarantine, and the marker's removal is durable before anything else is written.

use super::error::Error;
use super::files::{self, PERMANENT_QUARANTINE_MARKER, QUARANTINE_MARKER, QUARANTINE_PREFIX};
use super::files::{SEGMENT_PREFIX, STATE_FILE_PREFIX, UNFINISHED_STATE_FILE};
use crate::disk::Disk;

/// Quarantines all files of the store. After an error it has to be called again, possibly by a
/// later process.
pub(super) fn quarantine_files<D: Disk>(disk: &D) -> Result<(), Error> {
    let names = files::list(disk)?;
    if !names.iter().any(|name| name == QUARANTINE_MARKER) {
        remove_earlier_quarantine(disk, &names)?;
    }
    // The permanent marker is created together with the in-progress one. If no other file is left,
    // it is the only evidence that this disk had content, without which the controller would
    // bootstrap a new cluster.
    for name in [PERMANENT_QUARANTINE_MARKER, QUARANTINE_MARKER] {
        let mut file = files::create(disk, name)?;
        files::sync(disk, name, &mut file)?;
    }
    files::sync_directory(disk)?;
    for name in names.iter().filter(|name| is_store_file(name)) {
        files::rename(disk, name, &format!("{QUARANTINE_PREFIX}{name}"))?;
    }
    // Without this sync, a power loss after the sync of the marker's removal could restore some of
    // the old names without the in-progress marker.
    files::sync_directory(disk)?;
    files::remove(disk, QUARANTINE_MARKER)?;
    // Without this sync, a power loss could restore the in-progress marker beside new files, which
    // would then be quarantined.
    files::sync_directory(disk)
}

/// Removes the files of an earlier quarantine, so that a disk that is corrupted repeatedly does not
/// fill up. The permanent marker stays.
fn remove_earlier_quarantine<D: Disk>(disk: &D, names: &[String]) -> Result<(), Error> {
    names
        .iter()
        .filter(|name| name.starts_with(QUARANTINE_PREFIX) && *name != PERMANENT_QUARANTINE_MARKER)
        .try_for_each(|name| files::remove(disk, name))
}

fn is_store_file(name: &str) -> bool {
    name == UNFINISHED_STATE_FILE
        || files::parse_number(name, STATE_FILE_PREFIX).is_some()
        || files::parse_number(name, SEGMENT_PREFIX).is_some()
}
