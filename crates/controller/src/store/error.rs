//! Errors of the store.

use crate::disk::Disk;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// A disk operation that failed; the `step=` field of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Listing the directory.
    List,
    /// Reading a file.
    Read,
    /// Creating a file.
    Create,
    /// Writing to a file.
    Write,
    /// Syncing a file or the directory.
    Sync,
    /// Renaming a file.
    Rename,
    /// Removing a file.
    Remove,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::List => "list",
            Operation::Read => "read",
            Operation::Create => "create",
            Operation::Write => "write",
            Operation::Sync => "sync",
            Operation::Rename => "rename",
            Operation::Remove => "remove",
        })
    }
}

/// An error of the store, displayed as `key=value` pairs for the log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A disk operation failed. It may succeed later.
    #[error("step={operation} path={} error={:?}", path.display(), source.to_string())]
    Io {
        /// The operation that failed.
        operation: Operation,
        /// The file or directory on which the operation failed.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content of a file differs from what was written, or records before it are missing.
    #[error("step=read path={} error=corrupt", path.display())]
    Corrupt {
        /// The corrupt file.
        path: PathBuf,
    },
    /// A file was written in another format version. Nothing in the directory is changed.
    #[error("step=read path={} format={format}", path.display())]
    UnknownFormat {
        /// The file in the other format.
        path: PathBuf,
        /// The format version of the file.
        format: u32,
    },
    /// The number of a record to be written does not follow that of the previous record.
    #[error("step=write error=order expected={expected} actual={actual}")]
    OutOfOrder {
        /// The expected record number.
        expected: u64,
        /// The actual record number.
        actual: u64,
    },
    /// The write queue is full: the record with this number was not queued, and no later one will
    /// be.
    #[error("step=queue error=full number={number}")]
    QueueFull {
        /// Number of the record that was not queued.
        number: u64,
    },
}

impl Error {
    /// Turns an I/O error on the file `name` of the store's directory into [`Error::Io`].
    pub(super) fn on_file<'a, D: Disk>(
        disk: &'a D,
        operation: Operation,
        name: &'a str,
    ) -> impl FnOnce(io::Error) -> Error + 'a {
        move |source| Error::Io {
            operation,
            path: disk.path().join(name),
            source,
        }
    }

    /// Turns an I/O error on the store's directory itself into [`Error::Io`].
    pub(super) fn on_directory<D: Disk>(
        disk: &D,
        operation: Operation,
    ) -> impl FnOnce(io::Error) -> Error + '_ {
        move |source| Error::Io {
            operation,
            path: disk.path().to_owned(),
            source,
        }
    }

    /// Returns the error for a corrupt file `name` in the store's directory.
    pub(super) fn corrupt<D: Disk>(disk: &D, name: &str) -> Error {
        Error::Corrupt {
            path: disk.path().join(name),
        }
    }

    /// Returns the error for a file `name` in the store's directory with another format version.
    pub(super) fn unknown_format<D: Disk>(disk: &D, name: &str, format: u32) -> Error {
        Error::UnknownFormat {
            path: disk.path().join(name),
            format,
        }
    }
}
