//! Errors of reading the inputs and writing the scenarios, printed as `key=value` pairs.

use std::fmt;
use std::path::{Path, PathBuf};

/// The step that failed, the file and the cause.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("step=read file={} error={:?}", .0.display(), .1.kind())]
    Read(PathBuf, std::io::Error),
    /// A file or a folder cannot be written.
    #[error("step=write file={} error={:?}", .0.display(), .1.kind())]
    Write(PathBuf, std::io::Error),
    /// A site file is not TOML, or lacks data that scenarios need.
    #[error("step=site file={} error={:?}", .0.display(), .1)]
    Site(PathBuf, String),
    /// A list of kinds contains no kind.
    #[error("step=kinds file={} error=\"the list contains no kind\"", .0.display())]
    NoKinds(PathBuf),
}

impl Error {
    /// Returns the error for an unusable site file.
    pub fn site(file: &Path, cause: impl fmt::Display) -> Error {
        Error::Site(file.to_owned(), cause.to_string())
    }
}
