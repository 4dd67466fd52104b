//! The store on its disk: restarts, power losses, failing and corrupt disks.
//!
//! The invariant under test: whatever happens, a start finds all records that were acknowledged, in order, and none that was not
//! written; what cannot be read is rejected. See `docs/design/control-disk.md`.

mod corruption;
mod disk_errors;
mod error_text;
mod format;
mod power_loss;
mod restart;
mod simulated_disk;
mod test_directory;
mod workload;
