//! The events of a run.

use maplefall_policy as policy;
use maplefall_policy::{AlarmId, BackendEntry};

/// Something that happens.
#[derive(Clone, Debug)]
pub(super) enum Happens {
    /// The next first try is made.
    Ask,
    /// A client tries again.
    Again {
        first: usize,
        number: u32,
        door: Option<usize>,
    },
    /// A try comes to its door.
    Come(u32),
    /// A client stops waiting for a try.
    GiveUp(u32),
    /// An attempt comes to its backend.
    Reach(u64),
    /// A backend has done a job.
    Done {
        backend: usize,
        life: u32,
        attempt: u64,
    },
    /// The end of an attempt comes to its door.
    Reply(u64, policy::Outcome),
    /// An attempt's limit is over.
    Limit(u64),
    /// An alarm of a door's.
    Alarm {
        door: usize,
        life: u32,
        alarm: AlarmId,
    },
    /// A door hears of backends.
    Hear {
        door: usize,
        entries: Vec<BackendEntry>,
    },
    /// A door's agent hears of a version at one of its places.
    Learn {
        door: usize,
        at: usize,
        version: u64,
    },
    /// What a door's agent has to tell counts as told.
    Told { door: usize, version: u64 },
    /// Something is due between a door and its agent.
    Follow { door: usize, at: f64 },
    /// A door is told that its agent has moved.
    Moved {
        door: usize,
        close_ms: f64,
        behind_ms: f64,
    },
    /// A door begins to stop; has stopped.
    Stop {
        door: usize,
        stop_ms: f64,
        down_ms: f64,
    },
    /// See above.
    Stopped { door: usize, down_ms: f64 },
    /// A trouble begins.
    Trouble(usize),
    /// A door comes back.
    Back(usize),
    /// A backend begins to drain; ends.
    Drain(usize),
    /// See above.
    End(usize),
    /// A backend's speed changes.
    Speed(usize, f64),
    /// The next request of a flood's customer, or of one that comes once, until then.
    Flood {
        customer: usize,
        pause: f64,
        until: f64,
    },
    /// A customer's spike begins.
    Spike(usize),
    /// See above.
    OneShot { pause: f64, until: f64 },
    /// A partition ends.
    Heal,
    /// The backends of a zone start again.
    Revive(Vec<usize>),
}
