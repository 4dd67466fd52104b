//! The files of the store's directory: their names, and disk operations with errors that name the
//! file.
//!
//! The names are fixed, because a start has to find the files of earlier versions.

use super::error::{Error, Operation};
use crate::disk::Disk;
use std::io::{self, Read, Write};

/// A state file that is being written. A start ignores and removes it.
pub(super) const UNFINISHED_STATE_FILE: &str = "fold";
/// A marker file that exists while corrupt files are being quarantined: as long as the marker
/// exists, some of them may still have their old names.
pub(super) const QUARANTINE_MARKER: &str = "setting-aside";
/// A marker file that exists permanently once files were quarantined, so that the quarantine is
/// known even if none of them is left.
pub(super) const PERMANENT_QUARANTINE_MARKER: &str = "spoilt-note";
/// Prefix of the names of quarantined files.
pub(super) const QUARANTINE_PREFIX: &str = "spoilt-";
/// Prefix of the names of format 1 files.
pub(super) const FORMAT_1_PREFIX: &str = "wal-";
/// Prefix of the names of segments, before the number.
pub(super) const SEGMENT_PREFIX: &str = "log-";
/// Prefix of the names of state files, before the number.
pub(super) const STATE_FILE_PREFIX: &str = "state-";
/// Digits of a number in a file name, with leading zeros, so that names sort by number.
const NUMBER_DIGITS: usize = 20;

/// Returns the name of a segment.
pub(super) fn segment_name(id: u64) -> String {
    format!("{SEGMENT_PREFIX}{id:0NUMBER_DIGITS$}")
}

/// Returns the name of the state file that contains all records up to this number.
pub(super) fn state_file_name(number: u64) -> String {
    format!("{STATE_FILE_PREFIX}{number:0NUMBER_DIGITS$}")
}

/// Returns the number in a file name that consists of this prefix and a number.
pub(super) fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    (digits.len() == NUMBER_DIGITS)
        .then(|| digits.parse().ok())
        .flatten()
}

/// Lists the names of all files.
pub(super) fn list<D: Disk>(disk: &D) -> Result<Vec<String>, Error> {
    disk.list()
        .map_err(Error::on_directory(disk, Operation::List))
}

/// Reads a whole file.
pub(super) fn read<D: Disk>(disk: &D, name: &str) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    disk.read(name)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .map_err(Error::on_file(disk, Operation::Read, name))?;
    Ok(bytes)
}

/// Creates an empty file. Its name is durable after [`sync_directory`].
pub(super) fn create<D: Disk>(disk: &D, name: &str) -> Result<D::File, Error> {
    disk.create(name)
        .map_err(Error::on_file(disk, Operation::Create, name))
}

/// Appends to a file and waits until its content is durable.
pub(super) fn write_and_sync<D: Disk>(
    disk: &D,
    name: &str,
    file: &mut D::File,
    bytes: &[u8],
) -> Result<(), Error> {
    file.write_all(bytes)
        .map_err(Error::on_file(disk, Operation::Write, name))?;
    sync(disk, name, file)
}

/// Waits until a file's content is durable.
pub(super) fn sync<D: Disk>(disk: &D, name: &str, file: &mut D::File) -> Result<(), Error> {
    disk.sync(file)
        .map_err(Error::on_file(disk, Operation::Sync, name))
}

/// Renames a file. The new name is durable after [`sync_directory`].
pub(super) fn rename<D: Disk>(disk: &D, from: &str, to: &str) -> Result<(), Error> {
    disk.rename(from, to)
        .map_err(Error::on_file(disk, Operation::Rename, from))
}

pub(super) fn remove<D: Disk>(disk: &D, name: &str) -> Result<(), Error> {
    disk.remove(name)
        .map_err(Error::on_file(disk, Operation::Remove, name))
}

/// Removes a file that an earlier attempt may have removed already.
pub(super) fn remove_if_present<D: Disk>(disk: &D, name: &str) -> Result<(), Error> {
    match disk.remove(name) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(Error::on_file(disk, Operation::Remove, name)(error))
        }
        _ => Ok(()),
    }
}

/// Waits until all names that were created, changed or removed are durable.
pub(super) fn sync_directory<D: Disk>(disk: &D) -> Result<(), Error> {
    disk.sync_directory()
        .map_err(Error::on_directory(disk, Operation::Sync))
}
