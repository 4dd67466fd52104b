//! Quarantine of corrupt files: the directory is made empty for the store, and its files are kept once under `spoilt-*`.
//!
//! Invariant: all files are quarantined or none is. A part of them could pass for all (an intact first segment without its corrupt
//! second), and the controller would vouch for less than it has acknowledged. So the marker is durable before the first rename, a start
//! that finds it goes on with the quarantine, and it is gone from the disk before anything else is written.

use super::error::Error;
use super::files::{self, QUARANTINE_MARKER, QUARANTINE_NOTE, QUARANTINE_PREFIX};
use super::files::{SEGMENT_PREFIX, STATE_FILE_PREFIX, UNFINISHED_STATE_FILE};
use crate::disk::Disk;

/// Quarantines all files of the store. After an error it is to be called again, also in a later process.
pub(super) fn quarantine_files<D: Disk>(disk: &D) -> Result<(), Error> {
    let names = files::list(disk)?;
    if !names.iter().any(|name| name == QUARANTINE_MARKER) {
        remove_earlier_quarantine(disk, &names)?;
    }
    // The note with the marker: where no other file is left, only it says that this disk had content, and the controller would start a
    // new cluster.
    for name in [QUARANTINE_NOTE, QUARANTINE_MARKER] {
        let mut file = files::create(disk, name)?;
        files::sync(disk, name, &mut file)?;
    }
    files::sync_directory(disk)?;
    for name in names.iter().filter(|name| is_store_file(name)) {
        files::rename(disk, name, &format!("{QUARANTINE_PREFIX}{name}"))?;
    }
    // Without this a power loss after the next sync could bring back a part of the old names, and no marker.
    files::sync_directory(disk)?;
    files::remove(disk, QUARANTINE_MARKER)?;
    // Without this the marker could come back beside new files, which would then be quarantined.
    files::sync_directory(disk)
}

/// One quarantine is kept: a disk that is corrupt again and again does not fill up. The note stays.
fn remove_earlier_quarantine<D: Disk>(disk: &D, names: &[String]) -> Result<(), Error> {
    names
        .iter()
        .filter(|name| name.starts_with(QUARANTINE_PREFIX) && *name != QUARANTINE_NOTE)
        .try_for_each(|name| files::remove(disk, name))
}

fn is_store_file(name: &str) -> bool {
    name == UNFINISHED_STATE_FILE
        || files::parse_number(name, STATE_FILE_PREFIX).is_some()
        || files::parse_number(name, SEGMENT_PREFIX).is_some()
}
