//! Membership: the list of backends, merged from several discovery sources.
//!
//! Sources (the platform's agent, etcd, a file) pass what they learn as [`Event`]s with the time to a [`EndpointList`], which returns one
//! ordered list of changes for the policy, and [`Report`]s for the log. Nothing here does I/O or reads a clock.
//!
//! The rules, which the modules refer to by number:
//!
//! 1. **Versions.** An event is applied only if its version is above the last one of its source. What is late, on a second stream or from
//!    a replica that lags, changes nothing. [`Event::Replaced`] restarts the versions.
//! 2. **Stops win.** A drain or removal by an authoritative source is in force, whoever else says *up*, until that source takes it back
//!    or any source has a newer instance of the node (a later start). A stop is for the instances known when it came, and for no later
//!    one.
//! 3. **Snapshots.** A node that a source had and a snapshot of it lacks was removed by that source. But if the snapshot lacks more than
//!    a part, the missing nodes are suspected: they stay until the source, still connected, has not named them for the suspicion
//!    timeout. Nodes that are suspected already say nothing of later snapshots. An entry that is there and cannot be read is not missing:
//!    the previous one stays. Removals by name are believed at once.
//! 4. **Lost sources.** The entries of a lost source stay. Nodes known from lost sources alone expire after a timeout, but only while
//!    another source is connected: with all sources lost nothing expires, since a failing discovery must not empty the list.
//! 5. **One address, one node.** Of several nodes at one address that are not removed, the one that started last owns it, then the lower
//!    name; the others count as removed for as long as that lasts.
//! 6. **Details** (address, zone, size) come from the newest instance, then from the first source in the settings.

mod addresses;
mod endpoint_list;
mod interface;
mod merge;
mod source;

pub use endpoint_list::EndpointList;
pub use interface::{Event, Report, SourceSettings, Update, MAX_BACKENDS};
