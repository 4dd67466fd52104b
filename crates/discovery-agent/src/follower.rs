//! Which calls are made to an agent, and what of its words holds.
//!
//! **Versions.** A word above the last version is taken as it is. One at or below it comes from an agent that is behind
//! what another has told, from one that repeats itself, or from one that counts anew; which of these, nobody says. So its
//! list is kept beside the one that has been told: only its stops are carried out, and neither what it calls up, nor what
//! it lacks, changes anything. Its list takes the place of the other
//!
//! 1. once its version passes the last one told: it has caught up, or has passed it in numbers of its own;
//! 2. at once, where it names a life that began after the last version was told: all machines read one clock, so that word
//!    is the newer one, whatever its number;
//! 3. once it has been heard for [`TOLD_WITHIN`] without a gap, and speaks: what discovery has to tell has been told by then, so an agent
//!    that was there all that time knows every stop that was told before it spoke.
//!
//! Where stops were taken from a list that was behind when its agent was left, and where an earlier numbering that was given
//! up seems to speak again, versions say nothing: the list is kept beside the other too, and only 2 and 3 hold.
//!
//! **Silence.** An agent that is there says something every [`HEARTBEAT`]. One's own that has missed one is asked a second
//! time beside the first call, at whatever place comes next; the one that speaks first goes on, and the other is ended, so
//! that no word is taken twice. What one's own agent has counts as told from the moment in which it has it, and a call that was made while it was
//! away may never be answered: so as long as it is silent a second call is made anew after each half of the time within which
//! sends to a backend that leaves have to stop. A shared one is asked again only when its call has been silent for [`GIVEN_UP`].

use crate::interface::{Believed, CallId, End, Heard, Output, Report, Settings, What};
use crate::line::{line, Line, Word};
use crate::list::List;
use maplefall_backoff::Backoff;
use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::{Member, Members};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// While nothing changes, an agent says so this often (protocol page, "Discovery").
pub const HEARTBEAT: Millis = 2000.0;
/// What discovery has to tell counts as told this much later at the latest (protocol page, "Figures").
pub const TOLD_WITHIN: Millis = 6000.0;
/// Silence on a call after which it has lost its other end.
pub const GIVEN_UP: Millis = 6500.0;
/// Silence after which an agent of one's own is asked beside the open call: a heartbeat has been missed.
pub const MISSED: Millis = HEARTBEAT + 300.0;
/// An agent of one's own answers at once; one that has not after so long is asked again, or after half of the time within
/// which sends to a backend that leaves have to stop, where that is shorter.
pub const ANSWERS_WITHIN: Millis = 500.0;
/// But no sooner than this, whatever the rule asks for.
pub const SHORTEST_ANSWER: Millis = 50.0;
/// Shortest pause before an agent is asked again after a call has ended.
pub const SHORTEST_PAUSE: Millis = 250.0;

/// Names that are remembered as told of.
const MOST_SPOILT: usize = 1024;

/// An open call.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    what: What,
    /// When it was made, or last said something.
    sign: Millis,
    /// Whether it has said a line.
    spoke: bool,
}

/// The list of an agent whose versions are not above what has been told.
#[derive(Debug)]
struct Behind {
    list: List,
    version: u64,
    /// Whether its versions say which of the two lists is the newer one.
    comparable: bool,
    /// Since when it has been heard without a gap.
    heard_since: Millis,
    /// Whether stops of it have been carried out.
    stopped: bool,
}

/// Follows the agent of one door.
#[derive(Debug)]
pub struct Follower {
    source: usize,
    own: bool,
    /// How long an answer is waited for before another call is made.
    answers_within: Millis,
    places: Vec<SocketAddr>,
    /// Which of the places is asked next.
    place: usize,
    pauses: Backoff,
    calls: u64,
    /// The call whose words hold, and one beside it that has said nothing yet.
    main: Option<Call>,
    beside: Option<Call>,
    /// When the next call is due, where none is open.
    ask_at: Option<Millis>,
    /// Whether the whole list is asked for next.
    ask_whole: bool,
    /// What has been told, up to which version, and when that was.
    list: List,
    version: Option<u64>,
    told_at: Millis,
    /// The version up to which an earlier numbering had been told, once another has taken its place.
    former: Option<u64>,
    behind: Option<Behind>,
    /// Whether stops were taken from a list that was behind and has been left: whoever is asked next may be older than
    /// these, whatever its versions.
    unordered: bool,
    /// Versions of the events for the roster: they count up whatever the agent's do.
    events: u64,
    /// When the next second call may be made.
    again_at: Millis,
    /// When the last line came, and whether a call has ended since.
    last_line: Millis,
    broken_off: bool,
    /// Whose entries were told of as not to be used, [`MOST_SPOILT`] at most; those of others are told of each time.
    spoilt: BTreeSet<String>,
    /// Whether an outage has been told of.
    down: bool,
}

impl Follower {
    /// Begins to follow at `now`; the first call comes out with the first [`Follower::tick`] that is due.
    pub fn new(settings: Settings, now: Millis) -> Follower {
        let Settings {
            source,
            own,
            sharing,
            stop_within,
            seed,
            places,
            known,
        } = settings;
        let mut pauses = Backoff::new(sharing, SHORTEST_PAUSE, seed);
        // Doors that were started together ask a shared agent one after another, as long as each has a list to serve from.
        let wait = if known.is_some() && !own {
            pauses.initial_delay()
        } else {
            0.0
        };
        Follower {
            source,
            own,
            answers_within: (stop_within / 2.0).clamp(SHORTEST_ANSWER, ANSWERS_WITHIN),
            places,
            place: 0,
            pauses,
            calls: 0,
            main: None,
            beside: None,
            ask_at: Some(now + wait),
            ask_whole: known.is_none(),
            list: known
                .as_ref()
                .map(|known| List::new(&known.hosts))
                .unwrap_or_default(),
            version: known.map(|known| known.seq),
            told_at: now,
            former: None,
            behind: None,
            unordered: false,
            events: 0,
            again_at: now,
            last_line: now,
            broken_off: false,
            spoilt: BTreeSet::new(),
            down: false,
        }
    }

    /// When [`Follower::tick`] has something to do next.
    pub fn next_due(&self) -> Option<Millis> {
        let main = self
            .main
            .as_ref()
            .map(|call| call.sign + self.patience(call));
        let given_up = self.main.as_ref().map(|call| call.sign + GIVEN_UP);
        let beside = self
            .beside
            .as_ref()
            .map(|call| call.sign + self.patience(call));
        let first = main
            .filter(|_| self.own && self.beside.is_none())
            .map(|due| due.max(self.again_at));
        [self.ask_at, first, given_up, beside]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        let over = |call: &Option<Call>, patience: Millis| {
            call.as_ref().is_some_and(|c| now >= c.sign + patience)
        };
        if let Some(call) = self
            .beside
            .filter(|call| now >= call.sign + self.patience(call))
        {
            out.push(Output::HangUp(call.id));
            self.beside = None;
            self.next_place();
        }
        if over(&self.main, GIVEN_UP) {
            if let Some(call) = self.main.take() {
                out.push(Output::HangUp(call.id));
                self.lost("silent", &mut out);
                // The other call, where there is one, goes on in its place.
                self.main = self.beside.take();
                if self.main.is_none() {
                    self.next_place();
                    match self.own {
                        true => self.ask_at = Some(now),
                        false => self.pause(now),
                    }
                }
            }
        }
        if self.own && self.beside.is_none() && now >= self.again_at {
            if let Some(call) = self
                .main
                .filter(|call| now >= call.sign + self.patience(call))
            {
                if !call.spoke {
                    self.next_place();
                }
                self.beside = Some(self.ask(now, &mut out));
            }
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            self.main = Some(self.ask(now, &mut out));
        }
        out
    }

    /// The agent is at `place` from now on, also where that is the same: the watch is opened anew.
    pub fn moved(&mut self, now: Millis, place: SocketAddr) -> Vec<Output> {
        let mut out: Vec<Output> = [self.main.take(), self.beside.take()]
            .into_iter()
            .flatten()
            .map(|call| Output::HangUp(call.id))
            .collect();
        (self.places, self.place) = (vec![place], 0);
        // Whoever answers there is asked for what has changed since what has been told.
        self.unordered |= self.behind.take().is_some_and(|behind| behind.stopped);
        self.ask_whole |= self.unordered;
        self.ask_at = None;
        self.main = Some(self.ask(now, &mut out));
        out
    }

    /// Takes in what happened to a call; one that was hung up says nothing any more.
    pub fn heard_of(&mut self, now: Millis, call: CallId, heard: Heard) -> Vec<Output> {
        let mut out = Vec::new();
        if self.beside.is_some_and(|beside| beside.id == call) {
            match heard {
                Heard::Line(_) => {}
                // The head alone says nothing of the list.
                Heard::Begun => return out,
                Heard::Ended(_) => {
                    // One that is refused takes no time: without a pause it would be made again and again.
                    self.again_at = now + self.answers_within;
                    self.beside = None;
                    self.next_place();
                    return out;
                }
            }
            // It has spoken first: it goes on alone.
            if let Some(main) = std::mem::replace(&mut self.main, self.beside.take()) {
                out.push(Output::HangUp(main.id));
            }
        }
        let Some(main) = self.main.as_mut().filter(|main| main.id == call) else {
            return out;
        };
        match heard {
            Heard::Begun => main.sign = now,
            Heard::Line(text) => {
                let gap = std::mem::take(&mut self.broken_off) || now - self.last_line > MISSED;
                self.last_line = now;
                main.sign = now;
                let goes_on = std::mem::replace(&mut main.spoke, true);
                if let Some(beside) = self.beside.take() {
                    out.push(Output::HangUp(beside.id));
                }
                if let Some(behind) = self.behind.as_mut().filter(|_| gap) {
                    behind.heard_since = now;
                }
                self.pauses.reset();
                match line(&text) {
                    Ok(Line::Alive) => {
                        self.down = false;
                        out.push(Output::Tell(Event::Resumed {
                            source: self.source,
                        }));
                    }
                    Ok(Line::Word(word)) => {
                        self.down = false;
                        self.word(now, goes_on, &word, &mut out);
                    }
                    Err(error) => {
                        out.push(Output::HangUp(call));
                        self.ended(now, End::Unreadable(error.to_string()), &mut out);
                    }
                }
                let long = |behind: &Behind| now - behind.heard_since >= TOLD_WITHIN;
                if self.behind.as_ref().is_some_and(long) {
                    self.believe(now, Believed::HeardForLong(TOLD_WITHIN), &mut out);
                }
            }
            Heard::Ended(end) => self.ended(now, end, &mut out),
        }
        out
    }

    /// How long a call may be silent before the agent is asked beside it.
    fn patience(&self, call: &Call) -> Millis {
        match (self.own, call.spoke) {
            (false, _) => GIVEN_UP,
            (true, true) => MISSED,
            // The head alone says nothing of the list: that the agent has it already may be all that was written.
            (true, false) => self.answers_within,
        }
    }

    fn next_place(&mut self) {
        self.place = (self.place + 1) % self.places.len().max(1);
    }

    fn pause(&mut self, now: Millis) {
        let pause = if self.own {
            self.answers_within.min(SHORTEST_PAUSE)
        } else {
            self.pauses.next_delay()
        };
        self.ask_at = Some(now + pause);
    }

    fn ask(&mut self, now: Millis, out: &mut Vec<Output>) -> Call {
        self.calls += 1;
        let id = CallId(self.calls);
        // Where its own list is known it goes on from there, else from what has been told.
        let from = self
            .behind
            .as_ref()
            .map(|behind| behind.version)
            .or(self.version);
        let what = match from {
            Some(from) if !self.ask_whole => What::Watch(from),
            _ => What::Whole,
        };
        if let Some(place) = self.places.get(self.place) {
            out.push(Output::Ask {
                call: id,
                place: *place,
                what,
            });
        }
        Call {
            id,
            what,
            sign: now,
            spoke: false,
        }
    }

    /// The main call has ended.
    fn ended(&mut self, now: Millis, end: End, out: &mut Vec<Output>) {
        let Some(call) = self.main.take() else { return };
        if call.what == What::Whole && call.spoke && end == End::Whole {
            // The list is there; a watch goes on from it.
            self.main = Some(self.ask(now, out));
            return;
        }
        let why = match end {
            End::Whole => "closed".to_owned(),
            End::Broken(why) => why,
            End::Status(status) => {
                // A place that does not know the version is asked for the whole list; one that has too much to do is not, as
                // that costs it more than the changes.
                self.ask_whole |= status != 503;
                format!("status {status}")
            }
            End::Unreadable(why) => {
                self.ask_whole = true;
                why
            }
        };
        self.lost(&why, out);
        if !call.spoke {
            self.next_place();
        }
        self.main = self.beside.take();
        if self.main.is_none() {
            self.pause(now);
        }
    }

    fn lost(&mut self, why: &str, out: &mut Vec<Output>) {
        self.broken_off = true;
        out.push(Output::Tell(Event::Lost {
            source: self.source,
        }));
        // One line for an outage, not one for each try.
        if !std::mem::replace(&mut self.down, true) {
            out.push(Output::Report(Report::Lost(why.to_owned())));
        }
    }

    // ---- Words --------------------------------------------------------------------------------------

    /// Takes in a word, of a call that `goes_on` if it has said something before.
    fn word(&mut self, now: Millis, goes_on: bool, word: &Word, out: &mut Vec<Output>) {
        self.tell_of_spoilt(word, out);
        let Members { seq, whole, .. } = word.members;
        if whole {
            self.ask_whole = false;
        }
        if let Some(mut behind) = self.behind.take() {
            let (entries, unread) = behind.list.read(word);
            behind.list.take(whole, &entries, &unread);
            behind.version = seq;
            self.behind = Some(behind);
            return self.settle_behind(now, &entries, out);
        }
        let (entries, unread) = self.list.read(word);
        // Another call that jumps to where an earlier numbering had come may speak of that one.
        let former = self
            .former
            .filter(|former| !goes_on && seq >= *former && self.version < Some(*former));
        let out_of_order = |told: u64| {
            seq < told
                || self.unordered
                || former.is_some()
                || (seq == told && self.differs(whole, &entries, &unread))
        };
        match self.version {
            Some(told) if out_of_order(told) => {
                out.push(Output::Report(Report::Behind { version: seq, told }));
                if whole {
                    let mut list = self.list.clone();
                    list.take(true, &entries, &unread);
                    let comparable = !self.unordered && former.is_none();
                    self.behind = Some(Behind {
                        list,
                        version: seq,
                        comparable,
                        heard_since: now,
                        stopped: false,
                    });
                    self.settle_behind(now, &entries, out);
                } else {
                    // What it continues is not what is known here: its whole list has to be asked for. After a pause, as one
                    // that never gives it would be asked again and again.
                    self.carry_out_stops(now, &entries, out);
                    if let Some(main) = self.main.take() {
                        out.push(Output::HangUp(main.id));
                    }
                    self.ask_whole = true;
                    self.broken_off = true;
                    self.pause(now);
                }
            }
            Some(told) if seq == told => self.tell(false, Vec::new(), Vec::new(), out),
            _ => {
                self.list.take(whole, &entries, &unread);
                (self.version, self.told_at) = (Some(seq), now);
                self.tell(whole, entries, unread, out);
            }
        }
    }

    /// Tells of entries that cannot be used, once for each until it can be used again.
    fn tell_of_spoilt(&mut self, word: &Word, out: &mut Vec<Output>) {
        if !self.spoilt.is_empty() {
            word.members.hosts.iter().for_each(|member| {
                self.spoilt.remove(&member.host);
            });
        }
        for passed in &word.passed_over {
            let host = passed
                .host
                .as_ref()
                .map_or("an entry", |spoilt| spoilt.host.as_str());
            let told = match self.spoilt.len() >= MOST_SPOILT {
                true => self.spoilt.contains(host),
                false => !self.spoilt.insert(host.to_owned()),
            };
            if told {
                continue;
            }
            out.push(Output::Report(Report::PassedOver {
                host: host.to_owned(),
                why: passed.why.clone(),
            }));
        }
    }

    /// Whether a word of the version that has been told says something else.
    fn differs(&self, whole: bool, entries: &[Member], unread: &[String]) -> bool {
        let mut then = self.list.clone();
        then.take(whole, entries, unread);
        then != self.list
    }

    /// Carries out of the older list what may be, and believes it once that is due.
    fn settle_behind(&mut self, now: Millis, entries: &[Member], out: &mut Vec<Output>) {
        let Some(behind) = &self.behind else { return };
        let passed = behind.comparable && self.version.is_none_or(|told| behind.version > told);
        if self.version == Some(behind.version) && behind.list == self.list {
            (self.behind, self.unordered) = (None, false);
            self.tell(false, Vec::new(), Vec::new(), out);
        } else if passed {
            self.believe(now, Believed::Passed, out);
        } else if List::newer_life(entries, self.told_at) {
            self.believe(now, Believed::NewerLife, out);
        } else {
            self.carry_out_stops(now, entries, out);
        }
    }

    fn carry_out_stops(&mut self, now: Millis, entries: &[Member], out: &mut Vec<Output>) {
        let stops = self.list.stops(entries);
        self.list.take(false, &stops, &[]);
        if !stops.is_empty() {
            self.told_at = now;
            match &mut self.behind {
                Some(behind) => behind.stopped = true,
                None => self.unordered = true,
            }
        }
        // Where there are none, it is heard all the same.
        self.tell(false, stops, Vec::new(), out);
    }

    fn believe(&mut self, now: Millis, why: Believed, out: &mut Vec<Output>) {
        let Some(Behind { list, version, .. }) = self.behind.take() else {
            return;
        };
        if why != Believed::Passed {
            // Another numbering has taken the place of the one before, unless it is that one again.
            self.former = self.version.filter(|told| version < *told);
        }
        self.unordered = false;
        out.push(Output::Report(Report::Believed { why, version }));
        (self.version, self.told_at) = (Some(version), now);
        self.tell(true, list.members(), Vec::new(), out);
        self.list = list;
    }

    fn tell(
        &mut self,
        whole: bool,
        hosts: Vec<Member>,
        unread: Vec<String>,
        out: &mut Vec<Output>,
    ) {
        self.events += 1;
        let (source, members) = (
            self.source,
            Members {
                seq: self.events,
                whole,
                hosts,
            },
        );
        out.push(Output::Tell(match whole {
            true => Event::Snapshot {
                source,
                members,
                unread,
            },
            false => Event::Change { source, members },
        }));
    }
}
