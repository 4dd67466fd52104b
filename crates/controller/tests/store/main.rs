//! The store on its disk: restarts, power losses, failing disks and corruption.
//!
//! The invariant under test: whatever happens, a start finds all acknowledged records in order, and
//! none that was not written; files that cannot be read are rejected. See
//! `docs/design/control-disk.md`.

mod corruption;
mod disk_errors;
mod error_text;
mod format;
mod power_loss;
mod restart;
mod simulated_disk;
mod test_directory;
mod workload;
