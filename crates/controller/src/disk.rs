//! The calls that the store makes on a disk: a directory of files, behind a trait so that a test can simulate power losses.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A directory of files.
///
/// Durable is what survives a power loss: the content of a file after [`Disk::sync`] on it, a name that was created, changed or removed
/// after [`Disk::sync_directory`]. What is not durable may be lost, each write and each name by itself.
///
/// Errors may be temporary, and any call may be repeated. After a failed [`Disk::sync`] nothing may be assumed about the file's
/// content, and a second sync that succeeds does not make it durable.
pub trait Disk: Send + 'static {
    /// A file that is written from its start to its end.
    type File: Write + Send;
    /// A file that is read from its start to its end.
    type Reader: Read;

    /// Where the directory is, for error messages.
    fn path(&self) -> &Path;

    /// Names of all files, in any order.
    ///
    /// # Errors
    ///
    /// If the directory cannot be read, or not be created.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Opens a file for reading. What is read need not be durable: it may come from the system's memory.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none; any other if it cannot be opened.
    fn read(&self, name: &str) -> io::Result<Self::Reader>;

    /// Creates an empty file, or empties the one of that name. The name is durable after [`Disk::sync_directory`].
    ///
    /// # Errors
    ///
    /// If the disk returns an error, for one because it is full.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Waits until all that was written to a file is durable. Its name need not be.
    ///
    /// # Errors
    ///
    /// If the disk returns an error; the content of the file is then unknown.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file; no file may have the new name. A power loss before [`Disk::sync_directory`] leaves either name, or none.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none; any other if the disk returns an error.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. A power loss before [`Disk::sync_directory`] may bring it back.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if there is none; any other if the disk returns an error.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until all names are durable.
    ///
    /// # Errors
    ///
    /// If the disk returns an error; each name that was not durable may still be lost.
    fn sync_directory(&self) -> io::Result<()>;

    /// Waits before the next attempt on a disk that returned an error.
    fn sleep(&self, delay: Duration);
}

/// A directory of the operating system's file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// The directory at this path; [`Disk::list`] creates it if there is none.
    pub fn new(path: &Path) -> Directory {
        Directory {
            path: path.to_owned(),
        }
    }

    fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Creates the directory with those above it. Its own name is durable after this, those of directories above it need not be.
    fn create_durably(&self) -> io::Result<()> {
        fs::create_dir_all(&self.path)?;
        match self.path.parent() {
            Some(parent) => File::open(parent)?.sync_all(),
            None => Ok(()),
        }
    }
}

impl Disk for Directory {
    type File = File;
    type Reader = File;

    fn path(&self) -> &Path {
        &self.path
    }

    fn list(&self) -> io::Result<Vec<String>> {
        if !self.path.exists() {
            self.create_durably()?;
        }
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // A name that is not UTF-8 is not the store's.
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<File> {
        File::open(self.file_path(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.file_path(name))
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.file_path(from), self.file_path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.file_path(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn sleep(&self, delay: Duration) {
        std::thread::sleep(delay);
    }
}
