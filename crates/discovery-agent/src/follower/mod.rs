//! Decides which calls are made to an agent (`calls`), and which of its updates are applied
//! (`versions`).
//!
//! **Versions.** An update above the last applied version is applied as it is. One at or below it
//! comes from an agent that is behind another, from one that repeats itself, or from one that
//! restarted its numbering; these cannot be distinguished. So the agent's list is kept beside the
//! applied one as outdated, and only its stops are applied: neither the backends that it lists as
//! up nor those that it lacks change anything. It replaces the applied list
//!
//! 1. once its version is above the applied one: the agent has caught up, or its new numbering has
//!    passed the old one;
//! 2. at once, if it has an instance that started after the applied version was received: all
//!    machines use one clock, so the list is newer whatever its version;
//! 3. once it was received for [`MAX_PROPAGATION_DELAY`] without a gap: discovery reports every
//!    change within that time, so an agent that was connected throughout has every stop that was
//!    reported before.
//!
//! Versions cannot be compared if stops were applied from an outdated list whose agent is no longer
//! followed, or if a superseded numbering seems to return: then the list is kept beside the applied
//! one too, and only 2 and 3 apply.
//!
//! **Timeouts.** An agent sends a line at least every [`HEARTBEAT`]. If a local agent misses one, a
//! second call is made beside the open one, at the next address if the open one has received no
//! line. The call that receives a line first continues and the other is closed, so that no update
//! is applied twice. What a local agent has received counts as reported from that moment on, and a
//! call that was made while the agent was down may never be answered: as long as the agent sends
//! nothing, the second call is repeated after each half of the grace period of a drain. A shared
//! agent is called again only when its call has received nothing for [`CALL_TIMEOUT`].

mod calls;
mod versions;

use crate::backend_list::BackendList;
use crate::interface::{CallId, Output, RequestKind, Settings};
use maplefall_backoff::Backoff;
use maplefall_policy::Millis;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use versions::OutdatedList;

/// The interval within which an agent sends at least one line (protocol page, "Discovery").
pub const HEARTBEAT: Millis = 2000.0;
/// The time within which discovery reports every change (protocol page, "Figures").
pub const MAX_PROPAGATION_DELAY: Millis = 6000.0;
/// The time without received data after which a call is closed.
pub const CALL_TIMEOUT: Millis = 6500.0;
/// The time without received data after which a local agent is called a second time beside the open
/// call: a heartbeat was missed.
pub const HEARTBEAT_TIMEOUT: Millis = HEARTBEAT + 300.0;
/// The time within which a local agent has to send its first line before it is called again. Half
/// of the grace period of a drain is used instead if that is shorter.
pub const FIRST_LINE_TIMEOUT: Millis = 500.0;
/// The minimum of that timeout, whatever the settings.
const MIN_FIRST_LINE_TIMEOUT: Millis = 50.0;
/// The minimum delay before a shared agent is called again after a call has ended; the maximum for
/// a local one.
pub const MIN_RETRY_DELAY: Millis = 250.0;

/// An open call.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    what: RequestKind,
    /// When the call was made or last received something.
    active_at: Millis,
    /// Whether a line was received.
    has_received_line: bool,
}

/// Follows the agent of one process.
#[derive(Debug)]
pub struct Follower {
    /// The index of the agent among the sources of the endpoint list.
    source: usize,
    /// Whether the agent is local and not shared.
    is_local: bool,
    first_line_timeout: Millis,
    addresses: Vec<SocketAddr>,
    /// The index of the address that is called next.
    address: usize,
    backoff: Backoff,
    last_call: u64,
    /// The call whose updates are applied.
    main: Option<Call>,
    /// A call beside the main one that has not received a line yet.
    second: Option<Call>,
    /// When the next call is due if none is open.
    next_call_at: Option<Millis>,
    /// When the next second call is allowed.
    next_second_call_at: Millis,
    /// Whether the next call asks for the complete list.
    needs_complete_list: bool,
    /// The applied list.
    list: BackendList,
    /// The version of the applied list.
    version: Option<u64>,
    /// When the applied list was last changed.
    applied_at: Millis,
    /// The last applied version of a numbering that another has superseded.
    superseded_version: Option<u64>,
    outdated: Option<OutdatedList>,
    /// Whether stops were applied from an outdated list whose agent is no longer followed: the next
    /// agent can be older than these stops, whatever its versions.
    is_order_unknown: bool,
    /// The version of the last event for the endpoint list. It increases whatever the agent's
    /// versions do.
    last_event_version: u64,
    last_line_at: Millis,
    /// Whether a call has ended since the last line.
    was_interrupted: bool,
    /// The names of invalid entries that were reported; bounded.
    reported_entries: BTreeSet<String>,
    /// Whether the current outage was reported.
    is_outage_reported: bool,
}

impl Follower {
    /// Creates a follower at `now`; the first call is made by the first [`Follower::tick`] that is
    /// due.
    pub fn new(settings: Settings, now: Millis) -> Follower {
        let Settings {
            source,
            is_local,
            process_count,
            drain_grace_period,
            seed,
            addresses,
            initial_list,
        } = settings;
        let mut backoff = Backoff::new(process_count, MIN_RETRY_DELAY, seed);
        // Processes that start together spread their calls to a shared agent, if they have a list
        // to start with.
        let delay = if initial_list.is_some() && !is_local {
            backoff.initial_delay()
        } else {
            0.0
        };
        Follower {
            source,
            is_local,
            first_line_timeout: (drain_grace_period / 2.0)
                .clamp(MIN_FIRST_LINE_TIMEOUT, FIRST_LINE_TIMEOUT),
            addresses,
            address: 0,
            backoff,
            last_call: 0,
            main: None,
            second: None,
            next_call_at: Some(now + delay),
            next_second_call_at: now,
            needs_complete_list: initial_list.is_none(),
            list: initial_list
                .as_ref()
                .map(|list| BackendList::new(&list.hosts))
                .unwrap_or_default(),
            version: initial_list.map(|list| list.seq),
            applied_at: now,
            superseded_version: None,
            outdated: None,
            is_order_unknown: false,
            last_event_version: 0,
            last_line_at: now,
            was_interrupted: false,
            reported_entries: BTreeSet::new(),
            is_outage_reported: false,
        }
    }

    /// Returns when [`Follower::tick`] is due; `None` if nothing is.
    pub fn next_due(&self) -> Option<Millis> {
        let idle_at = |call: &Call| call.active_at + self.idle_timeout(call);
        let second_call_at = self
            .main
            .as_ref()
            .filter(|_| self.is_local && self.second.is_none())
            .map(|main| idle_at(main).max(self.next_second_call_at));
        let main_timeout = self.main.map(|main| main.active_at + CALL_TIMEOUT);
        let second_timeout = self.second.as_ref().map(idle_at);
        [
            self.next_call_at,
            second_call_at,
            main_timeout,
            second_timeout,
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp)
    }

    /// Closes calls that have timed out, and makes the calls that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        self.close_idle_second_call(now, &mut out);
        self.close_idle_main_call(now, &mut out);
        self.make_second_call(now, &mut out);
        if self.next_call_at.is_some_and(|due| due <= now) {
            self.next_call_at = None;
            self.main = Some(self.make_call(now, &mut out));
        }
        out
    }

    /// Follows the agent at this address from now on. The watch is opened again, even if the
    /// address is the same.
    pub fn move_to(&mut self, now: Millis, address: SocketAddr) -> Vec<Output> {
        let open_calls = [self.main.take(), self.second.take()];
        let mut out: Vec<Output> = open_calls
            .into_iter()
            .flatten()
            .map(|call| Output::CloseCall(call.id))
            .collect();
        self.addresses = vec![address];
        self.address = 0;
        // The agent at that address is asked for changes since the applied version.
        let outdated = self.outdated.take();
        self.is_order_unknown |= outdated.is_some_and(|outdated| outdated.has_stops_applied);
        self.needs_complete_list |= self.is_order_unknown;
        self.next_call_at = None;
        self.main = Some(self.make_call(now, &mut out));
        out
    }
}
