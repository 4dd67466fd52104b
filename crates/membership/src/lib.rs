//! Membership: the list of backends, merged from several discovery sources.
//!
//! Each source (the platform's agent, etcd, a file) delivers [`Event`]s to an [`EndpointList`],
//! which returns one ordered list of changes for the policy and [`Report`]s for the log. The time
//! is an argument of each call: nothing here does I/O or reads a clock.
//!
//! The rules, which the modules refer to by number:
//!
//! 1. **Versions.** An event is applied only if its version is above the last one of its source.
//!    Late events, from a second stream or a lagging replica, change nothing. [`Event::Replaced`]
//!    resets the versions.
//! 2. **Stops win.** A drain or removal by an authoritative source (a stop) stays in force, even if
//!    other sources list the backend as up, until that source revokes it or any source reports a
//!    newer instance of the backend (a later start). A stop applies to the instances known when it
//!    was received, not to later ones.
//! 3. **Snapshots.** A backend that a source listed and its new snapshot lacks was removed by that
//!    source. If the snapshot lacks more than a configured fraction of the source's backends, the
//!    missing ones are suspected instead: each stays until the suspicion timeout has passed without
//!    the source listing it again, and the source is connected. Backends already suspected do not
//!    count against later snapshots. An entry that is present but unreadable is not missing: the
//!    previous entry stays. Removals by name are applied at once.
//! 4. **Lost sources.** The entries of a lost source stay. Backends known only from lost sources
//!    expire after a timeout, but only while another source is connected: if all sources are lost
//!    nothing expires, since a discovery outage must not empty the list.
//! 5. **One backend per address.** Of several backends at one address that are not removed, the one
//!    that started last owns it, then the one with the lower name; the others count as removed for
//!    as long as they share the address.
//! 6. **Details** (address, zone, size) come from the newest instance; if several sources have it,
//!    from the first of them in the settings.

mod addresses;
mod endpoint_list;
mod interface;
mod merge;
mod source;

pub use endpoint_list::EndpointList;
pub use interface::{Event, Report, SourceSettings, Update, MAX_BACKENDS};
