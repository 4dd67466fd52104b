//! A disk in memory that can be stopped before any of its steps, refuse, and lose its machine's power: bytes that no sync of their
//! file covers are there, missing or torn; each name that was made, changed or removed since the last sync of the folder is kept or
//! lost by itself.

use maplefall_controller::disk::Disk;
use std::collections::BTreeMap;
use std::io::{self, Cursor, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A small source of chance, splitmix64.
#[derive(Clone, Copy, Debug)]
pub struct Chance(pub u64);

impl Chance {
    /// Below this.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % bound.max(1) as u64) as usize
    }
}

/// One file, whatever its name.
#[derive(Clone, Debug, Default)]
struct Content {
    /// What a reader sees.
    seen: Vec<u8>,
    /// What a loss of power leaves.
    synced: Vec<u8>,
    /// Places and bytes of writes that no sync covers.
    pending: Vec<(usize, Vec<u8>)>,
    /// The names it has had since the last sync of the folder; the first is on the disk (none: it has none there).
    names: Vec<Option<String>>,
}

/// What does not work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Steps after which nothing works any more: the process has ended.
    pub stop_after: Option<u64>,
    /// One in this many steps is refused; a write may have done a part. Nought for none.
    pub refuse_one_in: usize,
    /// Refusals that are left.
    pub refusals: u64,
    /// A guard that is taken out: the folder's sync does nothing.
    pub no_folder_sync: bool,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<Content>,
    faults: Faults,
    steps: u64,
    chance: Option<Chance>,
    most: usize,
    refused: u64,
}

/// The disk; clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Played(Arc<Mutex<State>>);

/// A file that is written.
pub struct File(Arc<Mutex<State>>, usize);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// One more step, if it works.
    fn step(&mut self) -> io::Result<()> {
        if self
            .faults
            .stop_after
            .is_some_and(|most| self.steps >= most)
        {
            return Err(io::Error::other("the process has ended"));
        }
        self.steps += 1;
        if self.faults.refuse_one_in > 0 && self.faults.refusals > 0 {
            let one_in = self.faults.refuse_one_in;
            if self.chance.get_or_insert(Chance(1)).below(one_in) == 0 {
                self.faults.refusals -= 1;
                self.refused += 1;
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
        }
        Ok(())
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.files
            .iter()
            .position(|file| file.names.last().and_then(Option::as_deref) == Some(name))
    }

    fn name(&mut self, file: usize, name: Option<&str>) {
        self.files[file].names.push(name.map(str::to_owned));
    }

    fn room(&mut self) {
        let used = self
            .files
            .iter()
            .filter(|file| file.names.last().is_some_and(Option::is_some));
        self.most = self.most.max(used.map(|file| file.seen.len()).sum());
    }
}

impl Content {
    fn write(&mut self, bytes: &[u8]) {
        self.pending.push((self.seen.len(), bytes.to_vec()));
        self.seen.extend(bytes);
    }

    /// What a loss of power leaves.
    fn lose(&mut self, chance: &mut Chance) {
        let mut left = std::mem::take(&mut self.synced);
        for (place, bytes) in self.pending.drain(..) {
            let (from, to) = match chance.below(4) {
                0 => (0, 0),
                1 => (0, bytes.len()),
                2 => (0, chance.below(bytes.len() + 1)),
                _ => {
                    let from = chance.below(bytes.len() + 1);
                    (from, from + chance.below(bytes.len() - from + 1))
                }
            };
            if to > from {
                left.resize(left.len().max(place + to), 0);
                left[place + from..place + to].copy_from_slice(&bytes[from..to]);
            } else if chance.below(4) == 0 {
                // Its length came to the disk, and its bytes did not.
                left.resize(left.len().max(place + bytes.len()), 0);
            }
        }
        (self.seen, self.synced) = (left.clone(), left);
    }
}

impl Played {
    /// Sets what does not work from here on, and counts steps anew.
    pub fn set(&self, faults: Faults, chance: u64) {
        let mut state = lock(&self.0);
        (state.faults, state.steps, state.chance) = (faults, 0, Some(Chance(chance)));
    }

    /// Steps since then.
    pub fn steps(&self) -> u64 {
        lock(&self.0).steps
    }

    /// Refusals so far.
    pub fn refused(&self) -> u64 {
        lock(&self.0).refused
    }

    /// The most bytes that were on it at a time.
    pub fn most(&self) -> usize {
        lock(&self.0).most
    }

    /// Another disk that holds the same.
    pub fn copy(&self) -> Played {
        Played(Arc::new(Mutex::new(lock(&self.0).clone())))
    }

    /// All names that a reader sees.
    pub fn names(&self) -> Vec<String> {
        lock(&self.0)
            .files
            .iter()
            .filter_map(|file| file.names.last().cloned().flatten())
            .collect()
    }

    /// Changes a file's bytes behind the store's back; they are on the disk. `None` removes it.
    pub fn spoil(&self, name: &str, change: impl FnOnce(Vec<u8>) -> Option<Vec<u8>>) {
        let mut state = lock(&self.0);
        let Some(at) = state.find(name) else { return };
        let file = &mut state.files[at];
        match change(std::mem::take(&mut file.seen)) {
            Some(bytes) => {
                *file = Content {
                    seen: bytes.clone(),
                    synced: bytes,
                    names: vec![Some(name.to_owned())],
                    ..Content::default()
                }
            }
            None => drop(state.files.remove(at)),
        }
    }

    /// The machine loses its power. A name that another file has taken since is lost if that one's is kept.
    pub fn lose_power(&self, chance: &mut Chance) {
        let mut state = lock(&self.0);
        // Later files first: what took a name over stands before whom it took it from.
        let mut taken: BTreeMap<String, ()> = BTreeMap::new();
        let mut files = std::mem::take(&mut state.files);
        files.reverse();
        files.retain_mut(|file| {
            file.lose(chance);
            // A file whose name was changed may have lost both.
            let drawn = chance.below(file.names.len() + usize::from(file.names.len() > 1));
            let name = file.names.get(drawn).cloned().flatten();
            let free = name
                .as_ref()
                .is_some_and(|name| taken.insert(name.clone(), ()).is_none());
            file.names = vec![name];
            free
        });
        files.reverse();
        state.files = files;
    }
}

impl Write for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = lock(&self.0);
        if let Err(error) = state.step() {
            // A part may have been done.
            let done = state.chance.get_or_insert(Chance(2)).below(bytes.len() + 1);
            if state
                .faults
                .stop_after
                .is_none_or(|most| state.steps < most)
            {
                state.files[self.1].write(&bytes[..done]);
            }
            return Err(error);
        }
        state.files[self.1].write(bytes);
        state.room();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Disk for Played {
    type File = File;
    type Reader = Cursor<Vec<u8>>;

    fn path(&self) -> &Path {
        Path::new("played")
    }

    fn list(&self) -> io::Result<Vec<String>> {
        lock(&self.0).step()?;
        Ok(self.names())
    }

    fn read(&self, name: &str) -> io::Result<Cursor<Vec<u8>>> {
        let mut state = lock(&self.0);
        state.step()?;
        let at = state.find(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Cursor::new(state.files[at].seen.clone()))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let mut state = lock(&self.0);
        state.step()?;
        // One of that name is emptied: to whoever loses power it is another file that has taken its name.
        if let Some(old) = state.find(name) {
            state.name(old, None);
        }
        let names = vec![None, Some(name.to_owned())];
        state.files.push(Content {
            names,
            ..Content::default()
        });
        Ok(File(self.0.clone(), state.files.len() - 1))
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        let mut state = lock(&self.0);
        let result = state.step();
        let mut chance = *state.chance.get_or_insert(Chance(3));
        let stopped = state.faults.stop_after.is_some();
        let content = &mut state.files[file.1];
        match &result {
            Ok(()) => {
                for (place, bytes) in content.pending.drain(..) {
                    content
                        .synced
                        .resize(content.synced.len().max(place + bytes.len()), 0);
                    content.synced[place..place + bytes.len()].copy_from_slice(&bytes);
                }
            }
            // What a sync that failed was to write is clean to the system, and no later one writes it.
            Err(_) if !stopped => {
                let keep = chance.below(2) == 0;
                content.pending.retain(|_| keep && chance.below(2) == 0);
            }
            Err(_) => {}
        }
        state.chance = Some(chance);
        result
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = lock(&self.0);
        state.step()?;
        let at = state.find(from).ok_or(io::ErrorKind::NotFound)?;
        if let Some(old) = state.find(to) {
            state.name(old, None);
        }
        state.name(at, Some(to));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.0);
        state.step()?;
        let at = state.find(name).ok_or(io::ErrorKind::NotFound)?;
        state.name(at, None);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = lock(&self.0);
        state.step()?;
        if !state.faults.no_folder_sync {
            for file in &mut state.files {
                let last = file.names.pop().flatten();
                file.names = vec![last];
            }
        }
        Ok(())
    }

    fn sleep(&self, _: Duration) {}
}
