//! What the store asks of a disk: a folder of files, in words that a test can play.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A folder of files. What is not synced may be lost with the machine's power: bytes of a file by its own sync, a name that was
/// made, changed or removed by the folder's.
pub trait Disk: Send + 'static {
    /// A file that is written from its start to its end.
    type File: Write + Send;
    /// A file that is read from its start to its end.
    type Reader: Read;

    /// Where it is, for error messages.
    fn path(&self) -> &Path;
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Opens a file for reading.
    fn read(&self, name: &str) -> io::Result<Self::Reader>;
    /// Makes an empty file; one of that name is emptied.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Waits until all that was written to a file is on the disk.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// Gives a file another name. No file has that name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Waits until all names are on the disk.
    fn sync_folder(&self) -> io::Result<()>;
    /// Waits before the next try on a disk that refused.
    fn sleep(&self, time: Duration);
}

/// A folder of the system.
#[derive(Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// The folder at this path; it is made once something is written.
    pub fn new(path: &Path) -> Directory {
        Directory(path.to_owned())
    }
}

impl Disk for Directory {
    type File = File;
    type Reader = File;

    fn path(&self) -> &Path {
        &self.0
    }

    fn list(&self) -> io::Result<Vec<String>> {
        if !self.0.exists() {
            fs::create_dir_all(&self.0)?;
            if let Some(parent) = self.0.parent() {
                File::open(parent)?.sync_all()?;
            }
        }
        let mut names = Vec::new();
        for file in fs::read_dir(&self.0)? {
            // What is no text is none of the store's.
            names.extend(file?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<File> {
        File::open(self.0.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.0.join(name))
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }
}
