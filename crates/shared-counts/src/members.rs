//! Who takes part: lives of doors, how old their news is, who is suspected and who is gone.
//!
//! A life shows that it goes on by its own time, which everybody passes on (a heartbeat as in chitchat and Cassandra), so a
//! door that reaches only some others is heard through them, and a link that works one way alone accuses nobody. A silent
//! one is judged by phi accrual (Hayashibara et al., "The phi accrual failure detector", 2004): by how its news has come of
//! late, not by a fixed limit, as that depends on the number of doors and on what the network loses. SWIM was weighed: its
//! pings would cost datagrams of their own, where heartbeats ride on digests that are sent anyway.

use crate::replica::Replica;
use crate::{DoorId, Life};
use maplefall_policy::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Pauses between news that are looked back on.
const MEMORY: f64 = 32.0;
/// Earlier lives of one door that are kept.
const FORMER_KEPT: usize = 2;
/// Heartbeats after which a door that was only told of is taken to be alive.
const PROOF: u32 = 2;

/// What is thought of a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Told of by others; it has shown no life since.
    Unproven,
    /// Its time goes on.
    Alive,
    /// Silent for longer than by chance.
    Suspected,
    /// Suspected for so long that it is not waited for.
    Gone,
}

/// The mean pause between news of one life.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    mean: f64,
    seen: f64,
}

impl Pauses {
    fn add(&mut self, pause: Millis) {
        self.seen = (self.seen + 1.0).min(MEMORY);
        self.mean += (pause - self.mean) / self.seen;
    }

    /// How little a silence is like chance: minus the decimal logarithm of the part of pauses that are longer. Whose news is
    /// passed on by chance has pauses like those of a Poisson process, so it is Cassandra's exponential form and not the
    /// normal one of the paper: by that one, of 100 doors one was suspected without cause every few seconds.
    fn phi(&self, silence: Millis) -> f64 {
        silence.max(0.0) / self.mean.max(1.0) * std::f64::consts::LOG10_E
    }
}

/// One life of a door, as known here.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its own time when it was last heard of, and the version of its counts by then.
    pub time: u64,
    /// See `time`.
    pub version: u64,
    /// When that was told here, less the time it took on its way where others passed it on.
    pub heard: Millis,
    /// The least that the clock here was ahead of its own, over all that was heard: the way there at its shortest.
    ahead: f64,
    /// Its own time up to which all its counts are known.
    pub complete: u64,
    /// What it has counted.
    pub replica: Replica,
}

impl Known {
    fn new(time: u64, version: u64, heard: Millis) -> Known {
        let ahead = heard - time as f64;
        Known {
            time,
            version,
            heard,
            ahead,
            complete: 0,
            replica: Replica::default(),
        }
    }

    /// When, on the clock here, its counts were as they are known; they came here by the shortest way or later.
    pub fn as_of(&self) -> Millis {
        self.complete as f64 + self.ahead
    }

    /// Its own time now, as far as it can be told here.
    pub fn own_time(&self, now: Millis) -> u64 {
        (now - self.ahead).max(self.time as f64) as u64
    }

    /// Its counts are complete up to the last news, if all versions by then are known.
    pub fn look_whether_complete(&mut self) {
        if self.replica.known() >= self.version {
            self.complete = self.complete.max(self.time);
        }
    }
}

/// A door that takes part.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of its present life.
    pub incarnation: u64,
    /// What is known of that life.
    pub now: Known,
    /// Its earlier lives whose counts still matter, by number.
    pub former: BTreeMap<u64, Known>,
    /// Lives up to this one are over and forgotten.
    pub over: u64,
    /// What is thought of it, and since when.
    pub state: State,
    /// See `state`.
    pub since: Millis,
    /// The number that it wants to see in what it is sent; none before its first greeting.
    pub nonce: Option<u64>,
    /// Numbers of its datagrams that have come: the highest, and which of the 64 before it.
    seen: (u64, u64),
    beats: u32,
    pauses: Pauses,
}

/// What is told of a life in passing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beat {
    /// Whose.
    pub life: Life,
    /// Its own time.
    pub time: u64,
    /// The version of its counts then.
    pub version: u64,
    /// How long ago the teller heard that, in milliseconds.
    pub age: u64,
}

impl Member {
    /// A door that was told of or has come itself.
    pub fn new(
        name: &str,
        address: SocketAddr,
        beat: &Beat,
        now: Millis,
        interval: Millis,
    ) -> Member {
        Member {
            name: name.to_owned(),
            address,
            incarnation: beat.life.incarnation,
            now: Known::new(beat.time, beat.version, now - beat.age as f64),
            former: BTreeMap::new(),
            over: 0,
            state: State::Unproven,
            since: now,
            nonce: None,
            seen: (0, 0),
            beats: 0,
            pauses: Pauses {
                mean: 4.0 * interval,
                seen: 1.0,
            },
        }
    }

    /// What is known of one of its lives.
    pub fn life(&self, incarnation: u64) -> Option<&Known> {
        if incarnation == self.incarnation {
            Some(&self.now)
        } else {
            self.former.get(&incarnation)
        }
    }

    /// What is known of one of its lives.
    pub fn life_mut(&mut self, incarnation: u64) -> Option<&mut Known> {
        if incarnation == self.incarnation {
            Some(&mut self.now)
        } else {
            self.former.get_mut(&incarnation)
        }
    }

    /// All its lives that matter, the present one first.
    pub fn lives(&self) -> impl Iterator<Item = (u64, &Known)> {
        std::iter::once((self.incarnation, &self.now))
            .chain(self.former.iter().map(|(n, known)| (*n, known)))
    }

    /// Takes in a heartbeat of one of its lives; whether it was news.
    pub fn beat(&mut self, beat: &Beat, now: Millis, interval: Millis) -> bool {
        let heard = now - beat.age as f64;
        let incarnation = beat.life.incarnation;
        if incarnation > self.incarnation {
            // A new life: what the old one has counted still matters.
            let fresh = Known::new(beat.time, beat.version, heard);
            let old = std::mem::replace(&mut self.now, fresh);
            self.keep_former(self.incarnation, old);
            self.incarnation = incarnation;
            (self.state, self.since, self.beats) = (State::Unproven, now, 0);
            (self.nonce, self.seen) = (None, (0, 0));
            self.pauses = Pauses {
                mean: 4.0 * interval,
                seen: 1.0,
            };
            return true;
        }
        if incarnation < self.incarnation {
            if incarnation <= self.over {
                return false;
            }
            if let Some(known) = self.former.get_mut(&incarnation) {
                return known.beat(beat, heard);
            }
            self.keep_former(incarnation, Known::new(beat.time, beat.version, heard));
            return self.former.contains_key(&incarnation);
        }
        let (before, last) = (self.now.time, self.now.heard);
        if !self.now.beat(beat, heard) {
            return false;
        }
        if beat.time > before {
            self.beats = self.beats.saturating_add(1);
            if heard > last {
                // What was silent for an outage says nothing of how its news usually comes.
                self.pauses
                    .add((heard - last).min(20.0 * self.pauses.mean.max(interval)));
            }
            if self.beats >= PROOF && self.state != State::Alive {
                (self.state, self.since) = (State::Alive, now);
            }
        }
        true
    }

    fn keep_former(&mut self, incarnation: u64, known: Known) {
        self.former.insert(incarnation, known);
        while self.former.len() > FORMER_KEPT {
            if let Some((number, _)) = self.former.pop_first() {
                self.over = self.over.max(number);
            }
        }
    }

    /// Forgets an earlier life for good; how many counts went with it.
    pub fn forget_former(&mut self, incarnation: u64) -> usize {
        self.over = self.over.max(incarnation);
        self.former
            .remove(&incarnation)
            .map_or(0, |known| known.replica.len())
    }

    /// It has come itself, with an answer to what only this process could have told it: it is alive.
    pub fn proven(&mut self, now: Millis) {
        if self.state != State::Alive {
            (self.state, self.since) = (State::Alive, now);
        }
        self.beats = self.beats.max(PROOF);
    }

    /// Whether a datagram of its present life with this number is new; it is not from then on (a window as in RFC 4303,
    /// appendix A2).
    pub fn is_new(&mut self, number: u64) -> bool {
        let (top, bits) = self.seen;
        if number > top {
            let shift = number - top;
            let moved = if shift < 64 { bits << shift } else { 0 };
            self.seen = (number, moved | 1);
            return true;
        }
        let back = top - number;
        if back >= 64 || bits & (1 << back) != 0 {
            return false;
        }
        self.seen = (top, bits | (1 << back));
        true
    }

    /// How suspicious its silence is.
    pub fn phi(&self, now: Millis) -> f64 {
        self.pauses.phi(now - self.now.heard)
    }

    /// What is thought of it at this time.
    pub fn judge(&mut self, now: Millis, suspect: f64, gone_after: Millis) {
        let state = match self.state {
            State::Alive if self.phi(now) > suspect => State::Suspected,
            State::Suspected | State::Unproven if now - self.since > gone_after => State::Gone,
            state => state,
        };
        if state != self.state {
            (self.state, self.since) = (state, now);
            if state == State::Gone {
                self.beats = 0;
            }
        }
    }
}

impl Known {
    /// Takes in later news of this life; whether it was later.
    fn beat(&mut self, beat: &Beat, heard: Millis) -> bool {
        let later =
            beat.time > self.time || (beat.time == self.time && beat.version > self.version);
        if later {
            self.time = beat.time;
            self.version = self.version.max(beat.version);
            self.heard = self.heard.max(heard);
            self.ahead = self.ahead.min(heard - beat.time as f64);
        }
        self.look_whether_complete();
        later
    }
}

/// What a beat would say of a life.
pub fn beat_of(door: DoorId, incarnation: u64, known: &Known, now: Millis) -> Beat {
    let age = (now - known.heard).max(0.0) as u64;
    Beat {
        life: Life { door, incarnation },
        time: known.time,
        version: known.version,
        age,
    }
}
