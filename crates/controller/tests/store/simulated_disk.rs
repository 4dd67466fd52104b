//! A disk in memory that can crash before any step, fail, and lose power.
//!
//! After a power loss, bytes that no sync of their file covers are present, missing or torn; each
//! name that was created, changed or removed since the last sync of the directory is kept or lost
//! independently. After a failed sync, the system may treat unsynced bytes as clean, so that no
//! later sync writes them.

use maplefall_controller::disk::Disk;
use std::collections::BTreeSet;
use std::io::{self, Cursor, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A deterministic random number generator, splitmix64.
#[derive(Clone, Copy, Debug)]
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    /// Returns a number below `bound`, or 0 for a bound of 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % bound.max(1) as u64) as usize
    }
}

/// A write that no sync of its file covers.
#[derive(Clone, Debug)]
struct UnsyncedWrite {
    offset: usize,
    bytes: Vec<u8>,
}

/// A file, independent of its name.
#[derive(Clone, Debug, Default)]
struct SimulatedInode {
    /// The bytes that a reader gets.
    visible: Vec<u8>,
    /// The bytes that are certain to survive a power loss.
    durable: Vec<u8>,
    unsynced: Vec<UnsyncedWrite>,
    /// The names of the file since the last sync of the directory, `None` while it had none; the
    /// first is the durable one.
    names: Vec<Option<String>>,
}

/// The faults of a disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Number of steps after which every step fails, as if the process had ended.
    pub crash_after: Option<u64>,
    /// One in this many steps fails, 0 for none; a failed write may have written a part.
    pub fail_one_in: usize,
    /// Number of failures that are left.
    pub remaining_failures: u64,
    /// Whether syncs of the directory do nothing: a test checks that the simulation detects the
    /// records that such a broken disk loses.
    pub ignores_directory_sync: bool,
}

impl Faults {
    /// Returns faults that consist only of a crash after this many steps.
    pub fn crash_after(steps: u64) -> Faults {
        Faults {
            crash_after: Some(steps),
            ..Faults::default()
        }
    }

    /// Returns faults that consist only of failures: one in `fail_one_in` steps, and at most
    /// `remaining_failures` in all.
    pub fn failures(fail_one_in: usize, remaining_failures: u64) -> Faults {
        Faults {
            fail_one_in,
            remaining_failures,
            ..Faults::default()
        }
    }
}

#[derive(Clone, Debug, Default)]
struct State {
    inodes: Vec<SimulatedInode>,
    faults: Faults,
    steps: u64,
    random: Option<SplitMix64>,
    max_bytes: usize,
    failures: u64,
}

/// The disk; clones share its content.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

/// A file that is open for writing.
pub struct SimulatedFile {
    disk: Arc<Mutex<State>>,
    inode: usize,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Counts a step, or returns the error with which it fails.
    fn step(&mut self) -> io::Result<()> {
        if self
            .faults
            .crash_after
            .is_some_and(|steps| self.steps >= steps)
        {
            return Err(io::Error::other("the process has ended"));
        }
        self.steps += 1;
        if self.faults.fail_one_in > 0 && self.faults.remaining_failures > 0 {
            let one_in = self.faults.fail_one_in;
            if self.random.get_or_insert(SplitMix64(1)).below(one_in) == 0 {
                self.faults.remaining_failures -= 1;
                self.failures += 1;
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
        }
        Ok(())
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.inodes
            .iter()
            .position(|inode| inode.current_name() == Some(name))
    }

    fn set_name(&mut self, inode: usize, name: Option<&str>) {
        self.inodes[inode].names.push(name.map(str::to_owned));
    }

    fn update_max_bytes(&mut self) {
        let named = self
            .inodes
            .iter()
            .filter(|inode| inode.current_name().is_some());
        self.max_bytes = self
            .max_bytes
            .max(named.map(|inode| inode.visible.len()).sum());
    }
}

impl SimulatedInode {
    fn current_name(&self) -> Option<&str> {
        self.names.last().and_then(Option::as_deref)
    }

    fn write(&mut self, bytes: &[u8]) {
        self.unsynced.push(UnsyncedWrite {
            offset: self.visible.len(),
            bytes: bytes.to_vec(),
        });
        self.visible.extend(bytes);
    }

    fn sync(&mut self) {
        for UnsyncedWrite { offset, bytes } in self.unsynced.drain(..) {
            let end = offset + bytes.len();
            self.durable.resize(self.durable.len().max(end), 0);
            self.durable[offset..end].copy_from_slice(&bytes);
        }
    }

    /// Draws which bytes of each unsynced write survive a power loss.
    fn lose_power(&mut self, random: &mut SplitMix64) {
        let mut left = std::mem::take(&mut self.durable);
        for UnsyncedWrite { offset, bytes } in self.unsynced.drain(..) {
            let (from, to) = match random.below(4) {
                0 => (0, 0),
                1 => (0, bytes.len()),
                2 => (0, random.below(bytes.len() + 1)),
                _ => {
                    let from = random.below(bytes.len() + 1);
                    (from, from + random.below(bytes.len() - from + 1))
                }
            };
            if to > from {
                left.resize(left.len().max(offset + to), 0);
                left[offset + from..offset + to].copy_from_slice(&bytes[from..to]);
            } else if random.below(4) == 0 {
                // The file's new length reached the disk, but the written bytes did not.
                left.resize(left.len().max(offset + bytes.len()), 0);
            }
        }
        (self.visible, self.durable) = (left.clone(), left);
    }
}

impl SimulatedDisk {
    /// Sets the faults from now on, and counts steps from 0.
    pub fn set_faults(&self, faults: Faults, seed: u64) {
        let mut state = lock(&self.0);
        (state.faults, state.steps, state.random) = (faults, 0, Some(SplitMix64(seed)));
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.set_faults(Faults::default(), 0);
    }

    /// Returns the number of steps since the faults were set.
    pub fn steps(&self) -> u64 {
        lock(&self.0).steps
    }

    /// Returns the number of steps that have failed.
    pub fn failures(&self) -> u64 {
        lock(&self.0).failures
    }

    /// Returns the maximum number of bytes that were on the disk at a time.
    pub fn max_bytes(&self) -> usize {
        lock(&self.0).max_bytes
    }

    /// Returns a separate disk with the same content and faults.
    pub fn fork(&self) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(lock(&self.0).clone())))
    }

    /// Returns the names of all files.
    pub fn file_names(&self) -> Vec<String> {
        lock(&self.0)
            .inodes
            .iter()
            .filter_map(|inode| inode.names.last().cloned().flatten())
            .collect()
    }

    /// Changes the bytes of a file durably, without the store; `None` removes it.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(Vec<u8>) -> Option<Vec<u8>>) {
        let mut state = lock(&self.0);
        let Some(index) = state.find(name) else {
            return;
        };
        let inode = &mut state.inodes[index];
        match change(std::mem::take(&mut inode.visible)) {
            Some(bytes) => {
                *inode = SimulatedInode {
                    visible: bytes.clone(),
                    durable: bytes,
                    names: vec![Some(name.to_owned())],
                    ..SimulatedInode::default()
                }
            }
            None => drop(state.inodes.remove(index)),
        }
    }

    /// Simulates a power loss. A file whose name a later file has taken is lost if the later one
    /// keeps that name.
    pub fn lose_power(&self, random: &mut SplitMix64) {
        let mut state = lock(&self.0);
        let mut taken_names = BTreeSet::new();
        let mut inodes = std::mem::take(&mut state.inodes);
        // Later files are drawn first, so that they claim their names before the files they
        // replaced.
        inodes.reverse();
        inodes.retain_mut(|inode| {
            inode.lose_power(random);
            // A file that was renamed may lose both names.
            let may_lose_all = usize::from(inode.names.len() > 1);
            let drawn = random.below(inode.names.len() + may_lose_all);
            let name = inode.names.get(drawn).cloned().flatten();
            let keeps_name = name
                .as_ref()
                .is_some_and(|name| taken_names.insert(name.clone()));
            inode.names = vec![name];
            keeps_name
        });
        inodes.reverse();
        state.inodes = inodes;
    }
}

impl Write for SimulatedFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = lock(&self.disk);
        if let Err(error) = state.step() {
            // A failed write may have written a part of its bytes, unless the process has ended.
            let done = state
                .random
                .get_or_insert(SplitMix64(2))
                .below(bytes.len() + 1);
            if state
                .faults
                .crash_after
                .is_none_or(|steps| state.steps < steps)
            {
                state.inodes[self.inode].write(&bytes[..done]);
            }
            return Err(error);
        }
        state.inodes[self.inode].write(bytes);
        state.update_max_bytes();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Disk for SimulatedDisk {
    type File = SimulatedFile;
    type Reader = Cursor<Vec<u8>>;

    fn path(&self) -> &Path {
        Path::new("simulated")
    }

    fn list(&self) -> io::Result<Vec<String>> {
        lock(&self.0).step()?;
        Ok(self.file_names())
    }

    fn read(&self, name: &str) -> io::Result<Cursor<Vec<u8>>> {
        let mut state = lock(&self.0);
        state.step()?;
        let index = state.find(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Cursor::new(state.inodes[index].visible.clone()))
    }

    fn create(&self, name: &str) -> io::Result<SimulatedFile> {
        let mut state = lock(&self.0);
        state.step()?;
        // An existing file of that name is emptied, which is simulated as another file that takes
        // the name.
        if let Some(old) = state.find(name) {
            state.set_name(old, None);
        }
        state.inodes.push(SimulatedInode {
            names: vec![None, Some(name.to_owned())],
            ..SimulatedInode::default()
        });
        Ok(SimulatedFile {
            disk: self.0.clone(),
            inode: state.inodes.len() - 1,
        })
    }

    fn sync(&self, file: &mut SimulatedFile) -> io::Result<()> {
        let mut state = lock(&self.0);
        let result = state.step();
        let mut random = *state.random.get_or_insert(SplitMix64(3));
        let may_crash = state.faults.crash_after.is_some();
        let inode = &mut state.inodes[file.inode];
        match &result {
            Ok(()) => inode.sync(),
            // After a failed sync the system may treat the bytes as clean, and no later sync writes
            // them.
            Err(_) if !may_crash => {
                let keep = random.below(2) == 0;
                inode.unsynced.retain(|_| keep && random.below(2) == 0);
            }
            Err(_) => {}
        }
        state.random = Some(random);
        result
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = lock(&self.0);
        state.step()?;
        let index = state.find(from).ok_or(io::ErrorKind::NotFound)?;
        if let Some(old) = state.find(to) {
            state.set_name(old, None);
        }
        state.set_name(index, Some(to));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.0);
        state.step()?;
        let index = state.find(name).ok_or(io::ErrorKind::NotFound)?;
        state.set_name(index, None);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = lock(&self.0);
        state.step()?;
        if !state.faults.ignores_directory_sync {
            for inode in &mut state.inodes {
                let last = inode.names.pop().flatten();
                inode.names = vec![last];
            }
        }
        Ok(())
    }

    fn sleep(&self, _: Duration) {}
}

/// A disk that ends the process, by a panic, on the delay before a retry.
pub struct CrashingDisk(pub SimulatedDisk);

impl Disk for CrashingDisk {
    type File = SimulatedFile;
    type Reader = Cursor<Vec<u8>>;

    fn path(&self) -> &Path {
        self.0.path()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.0.list()
    }

    fn read(&self, name: &str) -> io::Result<Self::Reader> {
        self.0.read(name)
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        self.0.create(name)
    }

    fn sync(&self, file: &mut Self::File) -> io::Result<()> {
        self.0.sync(file)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.0.sync_directory()
    }

    fn sleep(&self, _: Duration) {
        std::panic::resume_unwind(Box::new("the process has ended"));
    }
}
