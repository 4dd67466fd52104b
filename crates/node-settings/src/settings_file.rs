//! A settings file that is polled for changes: the platform may replace it without a signal.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file metadata by which a change is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length: u64,
}

/// A settings file that is polled for changes.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// The version at the last check; `None` if the file could not be read yet.
    version: Option<FileVersion>,
}

impl SettingsFile {
    /// Starts watching a file, from its current version on.
    pub fn new(path: PathBuf) -> SettingsFile {
        let version = file_version(&path);
        SettingsFile { path, version }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns whether the file has changed since the last call. A missing file counts as
    /// unchanged, since it may be about to be replaced.
    pub fn changed(&mut self) -> bool {
        let Some(version) = file_version(&self.path) else {
            return false;
        };
        self.version.replace(version) != Some(version)
    }
}

fn file_version(path: &Path) -> Option<FileVersion> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileVersion {
        modified: metadata.modified().ok()?,
        length: metadata.len(),
    })
}
