//! Why the store cannot use its disk.

use crate::disk::Disk;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The call on the disk that failed: `step=` of an error's line.
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
    /// Making a file or the directory durable.
    Sync,
    /// Giving a file another name.
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

/// Why the store cannot use its disk, shown as `key=value` pairs for the log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call on the disk failed. It may succeed later.
    #[error("step={operation} path={} error={:?}", path.display(), source.to_string())]
    Io {
        /// The call.
        operation: Operation,
        /// The file or directory.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file does not hold what was written to it, or records before it are missing.
    #[error("step=read path={} error=corrupt", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
    },
    /// A file was written by a program of another format version. Nothing in the directory is changed.
    #[error("step=read path={} format={format}", path.display())]
    UnknownFormat {
        /// The file.
        path: PathBuf,
        /// Its format version.
        format: u32,
    },
    /// A record to be written does not follow the one before it.
    #[error("step=write error=order expected={expected} actual={actual}")]
    OutOfOrder {
        /// Number of the record that was due.
        expected: u64,
        /// Number of the record that came.
        actual: u64,
    },
    /// Too much waits for the disk: the record of this number was not queued, and none after it will be.
    #[error("step=queue error=full number={number}")]
    QueueFull {
        /// Number of the record.
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

    /// The same for the directory itself.
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

    /// The file `name` of the store's directory is corrupt.
    pub(super) fn corrupt<D: Disk>(disk: &D, name: &str) -> Error {
        Error::Corrupt {
            path: disk.path().join(name),
        }
    }

    /// The file `name` of the store's directory has another format version.
    pub(super) fn unknown_format<D: Disk>(disk: &D, name: &str, format: u32) -> Error {
        Error::UnknownFormat {
            path: disk.path().join(name),
            format,
        }
    }
}
