//! Which calls are made to an agent (`calls`), and which of its updates are applied (`versions`).
//!
//! **Versions.** An update above the last applied version is applied as it is. One at or below it comes from an agent that is behind
//! another, from one that repeats itself, or from one that restarted its numbering, and nothing tells which. So its list is kept beside
//! the applied one: only its stops are applied; neither what it has as up nor what it lacks changes anything. It replaces the applied
//! list
//!
//! 1. once its version is above the applied one: the agent has caught up, or its new numbering has passed the old one;
//! 2. at once, if it has an instance that started after the applied version came: all machines use one clock, so it is newer whatever its
//!    version;
//! 3. once it was received for [`MAX_PROPAGATION_DELAY`] without a gap: discovery reports every change within that time, so an agent that was there
//!    throughout has every stop that was reported before.
//!
//! If stops were applied from an outdated list whose agent was left since, and if a numbering that was superseded seems to come back,
//! versions cannot be compared: the list is kept beside the applied one too, and only 2 and 3 apply.
//!
//! **Silence.** An agent sends a line at least every [`HEARTBEAT`]. A local agent that has missed one is called a second time beside the
//! open call, at the next address; the call that receives a line first continues and the other is closed, so that no update is applied
//! twice. What a local agent knows counts as reported from the moment at which it knows it, and a call that was made while it was down may
//! never be answered: as long as it is silent, a second call is made again after each half of the time within which requests to a draining
//! backend have to stop. A shared agent is called again only when its call was silent for [`CALL_TIMEOUT`].

mod calls;
mod versions;

use crate::backend_list::BackendList;
use crate::interface::{CallId, Output, RequestKind, Settings};
use maplefall_backoff::Backoff;
use maplefall_policy::Millis;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use versions::OutdatedList;

/// An agent sends a line at least this often (protocol page, "Discovery").
pub const HEARTBEAT: Millis = 2000.0;
/// Discovery reports every change within this time (protocol page, "Figures").
pub const MAX_PROPAGATION_DELAY: Millis = 6000.0;
/// Silence after which a call is closed.
pub const CALL_TIMEOUT: Millis = 6500.0;
/// Silence after which a local agent is called beside the open call: a heartbeat was missed.
pub const HEARTBEAT_TIMEOUT: Millis = HEARTBEAT + 300.0;
/// How long a local agent may take for its first line before it is called again. Half of the time within which requests to a draining
/// backend have to stop is used instead if that is shorter.
pub const FIRST_LINE_TIMEOUT: Millis = 500.0;
/// The least of that, whatever the settings.
const MIN_FIRST_LINE_TIMEOUT: Millis = 50.0;
/// The least delay before an agent is called again after a call has ended.
pub const MIN_RETRY_DELAY: Millis = 250.0;

/// An open call.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    what: RequestKind,
    /// When it was made, or something was last received.
    active_at: Millis,
    /// Whether a line was received.
    has_line: bool,
}

/// Follows the agent of one process.
#[derive(Debug)]
pub struct Follower {
    /// The index of the agent among the roster's sources.
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
    /// A call beside it that has not received a line yet.
    second: Option<Call>,
    /// When the next call is due if none is open.
    next_call_at: Option<Millis>,
    /// When the next second call may be made.
    next_second_call_at: Millis,
    /// Whether the next call asks for the complete list.
    needs_complete_list: bool,
    /// The list that was applied.
    list: BackendList,
    /// Its version.
    version: Option<u64>,
    /// When it was last changed.
    applied_at: Millis,
    /// The last applied version of a numbering that another has superseded.
    superseded_version: Option<u64>,
    outdated: Option<OutdatedList>,
    /// Whether stops were applied from an outdated list that was left: the next agent may be older than these, whatever its versions.
    is_order_unknown: bool,
    /// The version of the last event for the roster. These rise whatever the agent's versions do.
    last_event: u64,
    last_line_at: Millis,
    /// Whether a call has ended since the last line.
    was_interrupted: bool,
    /// Names of entries that cannot be used and were reported; bounded.
    reported_entries: BTreeSet<String>,
    /// Whether the current outage was reported.
    is_outage_reported: bool,
}

impl Follower {
    /// Begins to follow at `now`; the first call is made by the first [`Follower::tick`] that is due.
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
        // Processes that start together spread their calls to a shared agent, if each has a list to start with.
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
            last_event: 0,
            last_line_at: now,
            was_interrupted: false,
            reported_entries: BTreeSet::new(),
            is_outage_reported: false,
        }
    }

    /// When [`Follower::tick`] is due; `None` if nothing is.
    pub fn next_due(&self) -> Option<Millis> {
        let silent_at = |call: &Call| call.active_at + self.silence_timeout(call);
        let second_call_at = self
            .main
            .as_ref()
            .filter(|_| self.is_local && self.second.is_none())
            .map(|main| silent_at(main).max(self.next_second_call_at));
        let main_timeout = self.main.map(|main| main.active_at + CALL_TIMEOUT);
        let second_timeout = self.second.as_ref().map(silent_at);
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

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        self.close_silent_second_call(now, &mut out);
        self.close_silent_main_call(now, &mut out);
        self.make_second_call(now, &mut out);
        if self.next_call_at.is_some_and(|due| due <= now) {
            self.next_call_at = None;
            self.main = Some(self.make_call(now, &mut out));
        }
        out
    }

    /// The agent is at this address from now on. The watch is opened again, also if the address is the same.
    pub fn move_to(&mut self, now: Millis, address: SocketAddr) -> Vec<Output> {
        let open_calls = [self.main.take(), self.second.take()];
        let mut out: Vec<Output> = open_calls
            .into_iter()
            .flatten()
            .map(|call| Output::CloseCall(call.id))
            .collect();
        self.addresses = vec![address];
        self.address = 0;
        // The agent there is asked for changes since the applied version.
        let outdated = self.outdated.take();
        self.is_order_unknown |= outdated.is_some_and(|outdated| outdated.has_stops_applied);
        self.needs_complete_list |= self.is_order_unknown;
        self.next_call_at = None;
        self.main = Some(self.make_call(now, &mut out));
        out
    }
}
