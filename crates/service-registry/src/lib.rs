//! Which backends there are. Every start of a backend is a life with an id of its own; what is said of a life is a
//! [`Word`], and of two words the later one holds, in whatever order they come. Nothing here does I/O.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on the caller's steady clock.
pub type Millis = f64;

/// Lives that are remembered at most; the longest silent of those that are over go first.
const MOST_LIVES: usize = 50_000;
/// A life that is over is remembered for this long: late words of it change nothing.
const REMEMBERED: Millis = 60_000.0;

/// What a life is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum InstanceState {
    /// It takes requests.
    Serving = 0,
    /// It finishes what it has.
    Draining = 1,
    /// Nobody has heard of it for long; a later beat brings it back.
    Expired = 2,
    /// It has said that it ends. Nothing brings it back.
    Deregistered = 3,
}

/// What is said of one life.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceRecord {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service; empty of a life that was only heard to leave.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it listens.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests that it works on at once.
    #[prost(uint32, tag = "5")]
    pub capacity: u32,
    /// What it is at.
    #[prost(enumeration = "InstanceState", tag = "6")]
    pub state: i32,
    /// Number of its call: the highest holds.
    #[prost(uint64, tag = "7")]
    pub seq: u64,
    /// Milliseconds for which it stays slow, from when this is said.
    #[prost(uint32, tag = "8")]
    pub warmup_left_ms: u32,
}

impl InstanceRecord {
    /// By what words of one life are ordered: its end, then the number of the call, then how far it is gone.
    fn order(&self) -> (bool, u64, InstanceState) {
        (
            self.state() == InstanceState::Deregistered,
            self.seq,
            self.state(),
        )
    }
}

/// One life, as it is known.
#[derive(Clone, Debug)]
struct Life {
    word: InstanceRecord,
    /// When anybody heard it last.
    heard: Millis,
    /// When it is no longer slow.
    warm: Millis,
}

impl Life {
    fn told(&self, now: Millis) -> InstanceRecord {
        InstanceRecord {
            warmup_left_ms: (self.warm - now).max(0.0) as u32,
            ..self.word.clone()
        }
    }
}

/// What a word has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// Something that the doors have to know.
    Changed(InstanceRecord),
    /// A sign of life.
    Refreshed,
    /// Nothing: it was late.
    Stale,
}

/// All lives that are known.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    lives: BTreeMap<String, Life>,
    swept: Millis,
}

impl Registry {
    /// Takes in what a backend or another exchange says.
    pub fn apply(&mut self, now: Millis, record: InstanceRecord) -> Applied {
        let warm = now + f64::from(record.warmup_left_ms);
        let Some(life) = self.lives.get_mut(&record.id) else {
            let life = Life {
                word: record,
                heard: now,
                warm,
            };
            let told = life.told(now);
            self.make_room();
            self.lives.insert(told.id.clone(), life);
            return Applied::Changed(told);
        };
        if record.order() <= life.word.order() {
            if record.order() == life.word.order() {
                life.heard = now;
            }
            return Applied::Stale;
        }
        let same = |a: &InstanceRecord, b: &InstanceRecord| {
            (a.state, &a.service, &a.address, &a.zone, a.capacity)
                == (b.state, &b.service, &b.address, &b.zone, b.capacity)
        };
        let news = !same(&life.word, &record);
        let mut word = record;
        if word.state() == InstanceState::Deregistered && word.service.is_empty() {
            // Who leaves says no more than its id.
            word = InstanceRecord {
                state: InstanceState::Deregistered.into(),
                seq: word.seq,
                ..life.word.clone()
            };
        }
        (life.word, life.heard, life.warm) = (word, now, warm);
        if news {
            Applied::Changed(life.told(now))
        } else {
            Applied::Refreshed
        }
    }

    /// A life says that it ends.
    pub fn deregister(&mut self, now: Millis, id: &str) -> Applied {
        let held = self.lives.get(id).map(|life| life.word.clone());
        let word = held.unwrap_or_else(|| InstanceRecord {
            id: id.to_owned(),
            ..InstanceRecord::default()
        });
        self.apply(
            now,
            InstanceRecord {
                state: InstanceState::Deregistered.into(),
                seq: word.seq + 1,
                ..word
            },
        )
    }

    /// Another exchange has heard this life, up to this call.
    pub fn refresh(&mut self, now: Millis, id: &str, seq: u64) -> Applied {
        let Some(life) = self.lives.get_mut(id) else {
            return Applied::Stale;
        };
        if seq < life.word.seq || life.word.state() == InstanceState::Deregistered {
            return Applied::Stale;
        }
        if seq > life.word.seq && life.word.state() == InstanceState::Expired {
            // What it is at is not told here: its next beat does.
            return Applied::Stale;
        }
        life.word.seq = seq;
        life.heard = now;
        Applied::Refreshed
    }

    /// What is known of a life.
    pub fn word(&self, now: Millis, id: &str) -> Option<InstanceRecord> {
        self.lives.get(id).map(|life| life.told(now))
    }

    /// Finds lives that nobody has heard for `silence`, and takes them for lost.
    pub fn expire(&mut self, now: Millis, silence: Millis) -> Vec<InstanceRecord> {
        let mut expire_instance = Vec::new();
        for life in self.lives.values_mut() {
            let open = matches!(
                life.word.state(),
                InstanceState::Serving | InstanceState::Draining
            );
            if open && now - life.heard >= silence {
                life.word.state = InstanceState::Expired.into();
                expire_instance.push(life.told(now));
            }
        }
        if now - self.swept > REMEMBERED / 4.0 {
            self.swept = now;
            self.lives.retain(|_, life| {
                matches!(
                    life.word.state(),
                    InstanceState::Serving | InstanceState::Draining
                ) || now - life.heard < REMEMBERED
            });
        }
        expire_instance
    }

    /// Somebody who knows all tells of these lives only: takes for lost what it does not name and nobody has spoken of for
    /// `silence`.
    pub fn reconcile(
        &mut self,
        now: Millis,
        named: &BTreeSet<&str>,
        silence: Millis,
    ) -> Vec<InstanceRecord> {
        let mut lost = Vec::new();
        for (id, life) in &mut self.lives {
            let open = matches!(
                life.word.state(),
                InstanceState::Serving | InstanceState::Draining
            );
            if open && now - life.heard >= silence && !named.contains(id.as_str()) {
                life.word.state = InstanceState::Expired.into();
                lost.push(life.told(now));
            }
        }
        lost
    }

    /// A life turns out to be over, whatever was said of it.
    pub fn lost(&mut self, now: Millis, id: &str) -> Option<InstanceRecord> {
        let life = self.lives.get_mut(id)?;
        life.word.state = InstanceState::Expired.into();
        Some(life.told(now))
    }

    /// Counts all lives as heard now: whoever was away could not hear them.
    pub fn restart_timeouts(&mut self, now: Millis) {
        self.lives
            .values_mut()
            .for_each(|life| life.heard = life.heard.max(now));
    }

    /// All that is known.
    pub fn records(&self, now: Millis) -> Vec<InstanceRecord> {
        self.lives.values().map(|life| life.told(now)).collect()
    }

    /// Lives that are known.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Whether no life is known.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    fn make_room(&mut self) {
        if self.lives.len() < MOST_LIVES {
            return;
        }
        let over = |life: &Life| {
            !matches!(
                life.word.state(),
                InstanceState::Serving | InstanceState::Draining
            )
        };
        let oldest = self
            .lives
            .iter()
            .min_by(|(_, a), (_, b)| over(b).cmp(&over(a)).then(a.heard.total_cmp(&b.heard)))
            .map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.lives.remove(&id);
        }
    }
}
