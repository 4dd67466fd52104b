//! A real directory that is removed after the test.

use std::fs;
use std::path::{Path, PathBuf};

pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Returns a path at which nothing exists; each test uses its own name.
    pub fn new(name: &str) -> TestDirectory {
        let path =
            std::env::temp_dir().join(format!("maplefall-disk-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TestDirectory(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Returns the files whose names have this prefix, sorted.
    pub fn files(&self, prefix: &str) -> Vec<PathBuf> {
        let files = fs::read_dir(&self.0)
            .expect("a directory")
            .filter_map(Result::ok)
            .map(|file| file.path());
        let mut matching: Vec<PathBuf> = files
            .filter(|path| {
                path.file_name()
                    .is_some_and(|name| name.to_string_lossy().starts_with(prefix))
            })
            .collect();
        matching.sort();
        matching
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
