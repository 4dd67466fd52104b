//! What can go wrong with input and output.

use std::fmt;
use std::path::{Path, PathBuf};

/// What was being done, with which file, and what went wrong.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read.
    Read(PathBuf, std::io::Error),
    /// A file or a folder could not be written.
    Write(PathBuf, std::io::Error),
    /// A site file is no TOML, or lacks what a day needs.
    Site(PathBuf, String),
    /// A list of kinds names none.
    NoKinds(PathBuf),
}

impl Error {
    /// A site file that cannot be used.
    pub fn site(file: &Path, what: impl fmt::Display) -> Error {
        Error::Site(file.to_owned(), what.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read(file, error) => {
                write!(
                    to,
                    "step=read file={} error={:?}",
                    file.display(),
                    error.kind()
                )
            }
            Error::Write(file, error) => {
                write!(
                    to,
                    "step=write file={} error={:?}",
                    file.display(),
                    error.kind()
                )
            }
            Error::Site(file, what) => {
                write!(to, "step=site file={} error={what:?}", file.display())
            }
            Error::NoKinds(file) => {
                write!(
                    to,
                    "step=kinds file={} error=\"no kind is named\"",
                    file.display()
                )
            }
        }
    }
}

impl std::error::Error for Error {}
