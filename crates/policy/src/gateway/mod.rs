//! The decisions of a gateway: its constants, what it holds, and who of its parts hears of what.

mod attempts;
mod backends;
mod choice;
mod customers;

use crate::interface::*;
use maplefall_backend_index::{Index, Is, Standing};
use maplefall_load_estimators::{chance, in_range, Cap, Lesson, Pace, Store, Strain, Trust};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// The box shuts at this many times the quota rate (and the burst's share on top): the design's figure.
const BOX_FACTOR: f64 = 3.0;
/// A slice refills at up to this many times the local recent rate: the design's figure.
const RISE_FACTOR: f64 = 2.0;
/// Largest requests that a slice holds at least: the design's figure.
const SLICE_LEAST: f64 = 2.0;
/// Halflife of the recent average, in burst lengths (the design asks for one at least): a flood that lasts
/// should shut the box. A spike with its retries should not: slices hold it to the quota already.
const HALFLIFE_BURSTS: f64 = 16.0;
/// Halflife of what else is known of a customer's use, in burst lengths.
const RECENT_BURSTS: f64 = 4.0;
/// The average counts as of this part of its memory at least, however young the gateway is.
const COUNTED_LEAST: f64 = 0.05;
/// Halflife where a plan has no burst length, in longest deadlines.
const HALFLIFE_DEADLINES: f64 = 1.0;
/// Entries of customers are looked through for eviction once in this many halflives.
const EVICT_HALFLIVES: f64 = 2.0;
/// A slice rises toward its target over this many burst lengths: slower than a spike, faster than a shift.
const RISE_BURSTS: f64 = 2.0;
/// Longest wait at the chosen backend, as a part of the shortest aim, before a request is refused at once.
const WAIT_LIMIT: f64 = 0.33;
/// A client's patience must hold this many times the expected answer: half of the answers take longer.
const PATIENCE: f64 = 1.5;
/// An answer is slow beyond this part of its aim.
const SLOW_AIMS: f64 = 0.5;
/// Requests over which their usual size is averaged.
const USUAL_MEMORY: f64 = 30.0;
/// Usual requests that the evidence of a new customer begins with; it is taken to ask for half of its quota.
const PRIOR: f64 = 0.5;
/// What the meter told is forgotten this many times as fast as what else is known.
const RECALL: f64 = 2.0;
/// Standard deviations of chance by which evidence must pass the box limit.
const BOX_DOUBT: f64 = 3.0;
/// Answers over which a backend's time per unit of load is averaged.
const PACE_MEMORY: f64 = 16.0;
/// A backend is overdue once it is silent for this many times what its oldest attempt should have taken.
const SILENCE: f64 = 3.0;
/// An attempt that may be repeated is given up after this many times what it should take.
const HUNG: f64 = 8.0;
/// Least time that such an attempt gets, as a part of its aim.
const HUNG_AIMS: f64 = 0.4;
/// Opening above which, and lack of pressure by which, the backends are taken to have room for a repeat.
const CALM: f64 = 0.95;
/// For this many shortest aims after a connection broke, every request is sent with caution.
const CAUTION_AIMS: f64 = 8.0;
/// A crossing between zones is worth this many times its price of the aim in waiting.
const CROSSING_AIMS: f64 = 10.0;
/// Part of a ceiling's slack that the parts make use of; the rest is for rounding.
const SLACK_USED: f64 = 0.9;
/// Part of the multiple that pushes a cold backend over which a gateway makes use of.
const COLD_PART: f64 = 0.6;
/// Part of the shortest aim after which a client is asked back where another gateway may hold its try.
const ELSEWHERE_AIMS: f64 = 0.3;
/// News of use elsewhere is good for this many shortest aims.
const NEWS_AIMS: f64 = 6.0;
/// Gateways by which each backend is chosen, on average: with fewer, some would get far more than others.
const CHOSEN_BY: f64 = 16.0;
/// Backends that are chosen at least: with fewer, one that is cold or sick shifts too much to the others.
const CHOSEN_LEAST: usize = 8;
/// A backend that is not among the chosen must be better by this many aims.
const STRANGE_AIMS: f64 = 0.25;
/// Alarm that asks again for the list of backends.
const LIST_ALARM: AlarmId = AlarmId(u64::MAX);

/// The recent average rate of the design: an impulse `n` at time `t`, decaying with a halflife.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cewma {
    n: f64,
    t: Millis,
}

impl Cewma {
    /// Counts an arrival of `units`; `lambda` is ln 2 / halflife, per millisecond.
    pub fn feed(&mut self, now: Millis, units: f64, lambda: f64) {
        self.n = units + self.n * (lambda * (self.t - now)).exp();
        self.t = now;
    }

    /// The recent rate, in units a second.
    pub fn rate(&self, now: Millis, lambda: f64) -> f64 {
        1000.0 * self.n * lambda * (lambda * (self.t - now)).exp()
    }
}

/// What a gateway holds of one customer.
#[derive(Clone, Debug, Default)]
struct Customer {
    average: Cewma,
    /// Units of its largest request so far, and what its slice holds at most by it.
    largest: f64,
    depth: f64,
    /// Units in this gateway's slice, and in its part of the ceiling, as of `t`.
    slice: f64,
    ceiling: f64,
    t: Millis,
    /// Refill of the slice, in units a second.
    flow: f64,
    cap: Cap,
    metered: Millis,
    /// Units asked of all gateways by the meter, and what the quota held meanwhile, as of `metered`.
    asked: f64,
    held: f64,
    /// Share of its requests that is let in at present.
    share: f64,
}

/// A quota's figures at this gateway.
#[derive(Clone, Copy, Debug)]
struct Part {
    lambda: f64,
    /// Lambda of what else is known, of which slices rise.
    recent: f64,
    /// Lambda with which what the meter told is forgotten: a sliver hears too seldom to forget sooner.
    recall: f64,
    limit: f64,
    even: f64,
    depth: f64,
    spread: f64,
    /// Attempts that may be open at once.
    open: f64,
    /// Whether the even share of the burst does not hold one usual request.
    sliver: bool,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Flight {
    at: Millis,
    class: ClassId,
    load: f64,
    units: f64,
}

/// What a choice found: the cost, of whom, and the wait expected there.
type Cost = (f64, BackendId, Millis);
type Found = (Option<Cost>, Option<Cost>, Pcg32);

/// The last place among the chosen, and the cold backend whose turn it is.
type Chosen = (f64, Option<BackendId>);

/// What a gateway holds of one backend.
#[derive(Clone, Debug)]
struct Backend {
    entry: BackendEntry,
    out: BTreeMap<RequestId, Flight>,
    /// Over recent answers, by the load at the send.
    pace: Pace,
    last_answer: Millis,
    trust: Trust,
    /// Its turn while cold: it may be sent a request at one.
    turn: f64,
    /// Its place among those that this gateway prefers, drawn once: the lowest are chosen.
    place: f64,
}

/// A request that has no final answer yet, or whose last attempt is still out.
#[derive(Clone, Debug)]
struct Live {
    request: Request,
    arrived: Millis,
    /// When it could be sent on: later than it arrived, if its caller was checked first.
    begun: Millis,
    /// Whether it waits for its caller's check.
    held: bool,
    sends: u32,
    out: Option<BackendId>,
    /// Send time, zone and cell of the first attempt that may have run.
    may_have_run: Option<(Millis, ZoneId, CellId)>,
    started: bool,
    answered: bool,
    /// Whether it is known to be slow.
    slow: bool,
}

/// Where a request may be sent next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reach {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Nowhere,
}

/// The decisions of one gateway.
pub struct Gateway {
    set: Settings,
    rng: Pcg32,
    born: Option<Millis>,
    aim: Millis,
    customers: BTreeMap<CustomerId, Customer>,
    /// Empty where gateways tell one another nothing.
    news: BTreeMap<CustomerId, Store>,
    evict_at: Millis,
    backends: BTreeMap<BackendId, Backend>,
    /// The backends by what is asked of them all; follows every change of one.
    index: Index<BackendId>,
    requests: BTreeMap<RequestId, Live>,
    pace: Pace,
    strain: Strain,
    retries: f64,
    /// When a connection to a backend broke last.
    broke_at: Millis,
    /// Units of a request, on average.
    usual: f64,
}

impl Gateway {
    /// A gateway with these settings; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (retries, strain) = (settings.retry_start, Strain::new(settings.gateways));
        let mut gateway = Gateway {
            set: settings,
            rng: Pcg32::seed_from_u64(seed),
            born: None,
            aim: 1000.0,
            customers: BTreeMap::new(),
            news: BTreeMap::new(),
            evict_at: 0.0,
            backends: BTreeMap::new(),
            index: Index::default(),
            requests: BTreeMap::new(),
            pace: Pace::default(),
            strain,
            retries,
            broke_at: f64::NEG_INFINITY,
            usual: 1.0,
        };
        gateway.amend(|_| {});
        gateway
    }

    /// Takes one event that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.born.get_or_insert(now);
        match event {
            Event::Backends(kind, entries) => self.list_changed(now, kind, &entries, actions),
            Event::Arrival(request) => self.arrived(now, request, actions),
            Event::Checked { request, passes } => self.checked(now, request, passes, actions),
            Event::Elsewhere(told) => self.used_elsewhere(now, &told),
            Event::StreamStarted(id) => {
                self.requests.entry(id).and_modify(|live| live.started = true);
            }
            Event::Settled(settled) => self.settled(now, &settled, actions),
            Event::ClientGone(id) => self.abandon(id, actions),
            Event::Alarm(LIST_ALARM) => actions.push(Action::Subscribe),
            Event::Alarm(AlarmId(name)) => self.out_of_time(now, name, actions),
            // No probes are sent: load is judged by this gateway's own attempts.
            Event::Probed { .. } => {}
        }
    }

    /// Goes by other settings: classes and plans may be added and changed, and stay at their places.
    pub fn amend(&mut self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.set);
        let aim = self.set.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        self.aim = if aim.is_finite() { aim.max(1.0) } else { 1000.0 };
    }

    /// The same gateway, looking at all backends for each choice: it does the same, and takes longer.
    pub fn walking(self) -> Self {
        Gateway { index: Index::walking(), ..self }
    }

    /// What it holds, and what its choices took.
    pub fn figures(&self) -> Figures {
        Figures { customers: self.customers.len(), looked_at: self.index.looked_at() }
    }
}
