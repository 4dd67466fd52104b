//! The disk operations of the store on a directory of files, behind a trait so that tests can
//! simulate power losses.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A directory of files.
///
/// Durable state survives a power loss: the content of a file after [`Disk::sync`] on it; a name
/// that was created, changed or removed after [`Disk::sync_directory`]. Anything else may be lost,
/// each write and each name independently.
///
/// Errors may be temporary, and any operation may be repeated. After a failed [`Disk::sync`] the
/// content of the file is undefined, and a later successful sync does not make it durable.
pub trait Disk: Send + 'static {
    /// A file that is written sequentially from its start.
    type File: Write + Send;
    /// A file that is read sequentially from its start.
    type Reader: Read;

    /// Returns the path of the directory, for error messages.
    fn path(&self) -> &Path;

    /// Returns the names of all files, in any order.
    ///
    /// # Errors
    ///
    /// If the directory cannot be read or created.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Opens a file for reading. The content need not be durable: it may come from the system's
    /// page cache.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file does not exist; any other kind if it cannot be
    /// opened.
    fn read(&self, name: &str) -> io::Result<Self::Reader>;

    /// Creates an empty file, or truncates an existing one of that name. The name is durable after
    /// [`Disk::sync_directory`].
    ///
    /// # Errors
    ///
    /// If the disk returns an error, for example because it is full.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Waits until all content written to a file is durable. The file's name need not be durable.
    ///
    /// # Errors
    ///
    /// If the disk returns an error; the content of the file is then undefined.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file; no file may have the new name. After a power loss before
    /// [`Disk::sync_directory`], the file has either name, or none.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file does not exist; any other kind if the disk returns
    /// an error.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. A power loss before [`Disk::sync_directory`] may restore it.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file does not exist; any other kind if the disk returns
    /// an error.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until the names of all files are durable.
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
    /// Returns the directory at this path; [`Disk::list`] creates it if it does not exist.
    pub fn new(path: &Path) -> Directory {
        Directory {
            path: path.to_owned(),
        }
    }

    fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Creates the directory and its missing parents. The directory's own name is durable
    /// afterwards, those of its parents need not be.
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
            // Names that are not UTF-8 do not belong to the store.
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
