//! The decisions of a gateway. Settings, events and actions are in `interface.rs`.
//!
//! Read from the top: constants, admission (the design: recent average, box, slice), the rules' own stores
//! (ceiling, cold start), choice of backend, attempts and answers, the list of backends.

use crate::interface::*;
use maplefall_choice::{Index, Is, Standing};
use rand_core::{RngCore, SeedableRng};
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
/// Pressure is averaged over this many shortest aims.
const PRESSURE_AIMS: f64 = 2.0;
/// An answer is slow beyond this part of its aim.
const SLOW_AIMS: f64 = 0.5;
/// Step of the opening for an answer that took no time, for each shortest aim that has passed.
const OPENING_STEP: f64 = 0.15;
/// The opening rests where answers take this part of their aims on average, a slow one counted as a whole.
const TARGET_AIMS: f64 = 0.25;
/// Requests over which their usual size is averaged.
const USUAL_MEMORY: f64 = 30.0;
/// The opening at the start of one of very many gateways.
const OPENING_START: f64 = 0.6;
/// Usual requests that the evidence of a new customer begins with; it is taken to ask for half of its quota.
const PRIOR: f64 = 0.5;
/// What the meter told is forgotten this many times as fast as what else is known.
const RECALL: f64 = 2.0;
/// Standard deviations of chance by which evidence must pass the box limit.
const BOX_DOUBT: f64 = 3.0;
/// The opening stays above this, so that there are answers to learn from.
const OPENING_LEAST: f64 = 0.05;
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
/// Distrust halves in this many shortest aims without news.
const DISTRUST_AIMS: f64 = 4.0;
/// Distrust up to this is no hindrance: it lets one request try a backend that has failed before.
const FORGOTTEN: f64 = 0.1;
/// Distrust of a backend for one class halves in this many shortest aims without news: trying it out costs a
/// request all of its time.
const HANGING_AIMS: f64 = 8.0;
/// How far one failure moves distrust toward one.
const DISTRUST_STEP: f64 = 0.4;
/// How far a connection that breaks moves it: little, since one that is refused or silent tells far more.
const BREAK_STEP: f64 = 0.1;
/// For this many shortest aims after a connection broke, every request is sent with caution.
const CAUTION_AIMS: f64 = 8.0;
/// How far one good answer moves distrust toward nought.
const TRUST_STEP: f64 = 0.2;
/// Distrust at which a backend is reported as set aside, and half of which takes it back.
const SET_ASIDE: f64 = 0.5;
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
    /// Attempts out, and the time in which more might have been, as of `opened`.
    open: u32,
    spare: Millis,
    opened: Millis,
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

/// What is left of a customer's quota over all gateways, by what they tell one another.
#[derive(Clone, Copy, Debug)]
struct News {
    /// Units in the one store of all, as of `t`, by all use that is known; it may hold less, never more.
    left: f64,
    t: Millis,
    /// What the last news said of itself.
    as_of: Millis,
    error: f64,
    heard: f64,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Flight {
    at: Millis,
    class: ClassId,
    load: f64,
    units: f64,
}

/// How far a backend is shunned, as of `at`; it fades.
#[derive(Clone, Copy, Debug, Default)]
struct Distrust {
    value: f64,
    at: Millis,
}

impl Distrust {
    /// What is left of it, where it halves in `half` milliseconds.
    fn faded(&self, now: Millis, half: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-((now - self.at) / half) * std::f64::consts::LN_2).exp()
    }
}

/// What a choice found: the cost, of whom, and the wait expected there.
type Cost = (f64, BackendId, Millis);
type Found = (Option<Cost>, Option<Cost>, Pcg32);

/// The last place among the chosen, and the cold backend whose turn it is.
type Chosen = (f64, Option<BackendId>);

/// What a gateway holds of one backend for one class.
#[derive(Clone, Copy, Debug)]
struct ForClass {
    answered: Millis,
    /// Distrust from attempts that hung.
    hanging: Distrust,
}

/// What a gateway holds of one backend.
#[derive(Clone, Debug)]
struct Backend {
    entry: BackendEntry,
    out: BTreeMap<RequestId, Flight>,
    /// Sums of time and of load at the send over recent answers: their ratio is the time per unit of load.
    time: f64,
    load: f64,
    last_answer: Millis,
    distrust: Distrust,
    /// Distrust for one plan alone, from what it was turned away as full.
    full: BTreeMap<PlanId, Distrust>,
    /// By class; a class that it has not been sent has no entry.
    classes: BTreeMap<ClassId, ForClass>,
    set_aside: bool,
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
    news: BTreeMap<CustomerId, News>,
    evict_at: Millis,
    backends: BTreeMap<BackendId, Backend>,
    /// The backends by what is asked of them all; follows every change of one.
    index: Index<BackendId>,
    requests: BTreeMap<RequestId, Live>,
    time: f64,
    load: f64,
    pressure: f64,
    pressure_at: Millis,
    retries: f64,
    /// When a connection to a backend broke last.
    broke_at: Millis,
    /// Part of the quotas that the backends can bear, as slow answers tell; last told at `answer_at`.
    opening: f64,
    answer_at: Millis,
    /// Units of a request, on average.
    usual: f64,
}

impl Gateway {
    /// A gateway with these settings; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let gateways = f64::from(settings.gateways.max(1));
        let retries = settings.retry_start;
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
            time: 0.0,
            load: 0.0,
            pressure: 0.0,
            pressure_at: 0.0,
            retries,
            broke_at: f64::NEG_INFINITY,
            // One of many does not see what all let in at once, so it begins part open; one alone, open.
            opening: OPENING_START + (1.0 - OPENING_START) / gateways,
            usual: 1.0,
            answer_at: 0.0,
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

    /// Goes by other settings from now on: classes and plans may be added and changed, and stay at their places.
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

    // ---- Admission: the design's recent average, box and slice --------------------------------------

    fn arrived(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        if self.set.plans.get(request.plan.0).is_none() || self.set.classes.get(request.class.0).is_none() {
            actions.push(self.refusal(request.id, Reason::Unknown, None));
            return;
        }
        request.units = in_range(request.units, 0.0, self.set.max_units.max(1.0), 1.0);
        request.spread = in_range(request.spread, 1.0, f64::from(self.set.gateways.max(1)), 1.0).round();
        let class = &self.set.classes[request.class.0];
        request.deadline = in_range(request.deadline, now, now + class.deadline, now + class.deadline);
        self.evict(now);
        let live = Live {
            request,
            arrived: now,
            begun: now,
            held: !request.checked,
            sends: 0,
            out: None,
            may_have_run: None,
            started: false,
            answered: false,
            slow: false,
        };
        match self.admit(now, &live) {
            Ok(_) if live.held => {
                let alarm = AlarmId(u64::from(request.id.0));
                actions.push(Action::SetAlarm { at: self.cut(&live), alarm });
                actions.push(Action::Check(request.id));
                self.requests.insert(request.id, live);
            }
            Ok(backend) => self.begin(now, live, backend, actions),
            Err((reason, wait)) => actions.push(self.refusal(request.id, reason, wait)),
        }
    }

    /// Sends a request on for the first time.
    fn begin(&mut self, now: Millis, live: Live, backend: BackendId, actions: &mut Vec<Action>) {
        self.retries = (self.retries + self.set.retry_share).min(self.set.retry_depth);
        let id = live.request.id;
        let alarm = AlarmId(u64::from(id.0));
        actions.push(Action::SetAlarm { at: self.slow_mark(&live).min(self.cut(&live)), alarm });
        self.requests.insert(id, live);
        self.send(now, id, backend, actions);
    }

    /// A held request goes on as if it came now, but for its quota, which it has, and its deadline, which has
    /// not moved.
    fn checked(&mut self, now: Millis, id: RequestId, passes: bool, actions: &mut Vec<Action>) {
        if !self.requests.get(&id).is_some_and(|live| live.held) {
            return;
        }
        let Some(mut live) = self.requests.remove(&id) else { return };
        (live.held, live.begun) = (false, now);
        let request = live.request;
        let open = self.part(&request).open;
        let backend =
            if passes && self.open_room(now, &request, open) { self.room(now, &live) } else { None };
        match backend {
            Some(backend) => self.begin(now, live, backend, actions),
            None => {
                self.give_back(&request);
                if passes {
                    actions.push(self.refusal(id, Reason::Backends, None));
                }
            }
        }
    }

    /// What was never sent on takes nothing from its quota.
    fn give_back(&mut self, request: &Request) {
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            // More than they hold is taken off again before anybody uses it.
            customer.slice += request.units;
            customer.ceiling += request.units;
        }
        self.use_news(request.customer, -request.units);
    }

    // Where gateways tell one another what they let in, there is one store again, known a little late. What
    // it surely holds is let in, what it surely lacks is refused, and what is in doubt goes by the slice.

    /// Takes in what others have let in.
    fn used_elsewhere(&mut self, now: Millis, told: &Elsewhere) {
        let Some(plan) = self.set.plans.get(told.plan.0).filter(|plan| plan.rate > 0.0) else { return };
        let fresh = News { left: plan.burst, t: now, as_of: now, error: 0.0, heard: 1.0 };
        let news = self.news.entry(told.customer).or_insert(fresh);
        news.refill(now, plan);
        let units = in_range(told.units, -plan.burst, 2.0 * plan.burst, 0.0);
        news.left = (news.left - units).clamp(-plan.burst, plan.burst);
        // Of gateways that are not heard of, each may use its even share.
        news.heard = in_range(told.heard, 0.0, 1.0, 0.0);
        news.as_of = in_range(told.as_of, 0.0, now, 0.0);
        news.error = in_range(told.error, 0.0, f64::MAX, f64::MAX);
    }

    /// Counts what this gateway lets in.
    fn use_news(&mut self, customer: CustomerId, units: f64) {
        if let Some(news) = self.news.get_mut(&customer) {
            news.left -= units;
        }
    }

    /// Units that are left at least and at most, by news that are not old.
    fn left(&mut self, now: Millis, request: &Request) -> Option<(f64, f64)> {
        let plan = &self.set.plans[request.plan.0];
        let news = self.news.get_mut(&request.customer)?;
        news.refill(now, plan);
        let good = now - news.as_of <= NEWS_AIMS * self.aim;
        good.then_some((news.left - news.error, news.left))
    }

    /// Lets a request in and names its backend, or tells how long the reason to refuse it will last.
    fn admit(&mut self, now: Millis, live: &Live) -> Result<BackendId, (Reason, Option<Millis>)> {
        let request = &live.request;
        let part = self.part(request);
        let born = self.born.unwrap_or(now);
        // Guards the ceiling of a customer that was forgotten: its part may have been empty when last seen.
        let unseen = born.max(now - EVICT_HALFLIVES * self.longest_halflife());
        let per_unit = self.common_pace() / 1000.0;
        self.feel_pressure(now);
        let left = self.left(now, request);
        let luck = chance(&mut self.rng);
        let plan = &self.set.plans[request.plan.0];
        let pressure = self.pressure.max(1.0 - self.opening);
        let opening = self.opening;
        self.usual += (request.units - self.usual) / USUAL_MEMORY;
        let usual = self.usual;
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            depth: part.depth,
            slice: part.depth,
            t: unseen,
            flow: part.even,
            opened: now,
            metered: now,
            share: 1.0,
            ..Customer::default()
        });
        // Guards against a sliver that a small request came to first: it would have started with room for
        // this one, and hardly fills to it in a day. A slice that is a good part of the burst waits to fill.
        if part.sliver {
            customer.slice += (part.depth - customer.depth).max(0.0);
        }
        customer.depth = part.depth;
        customer.largest = customer.largest.max(request.units);
        let (asked, held) = customer.evidence(now, plan, &part, now - born, usual);
        let excess = asked / held;
        // Guards against slices that rise and are never told that they let in too much: no meter, no rise.
        let past_quota = excess > 1.0 || self.set.meter_period <= 0.0;
        customer.refill(now, plan, &part, pressure, past_quota, now - born);
        customer.average.feed(now, request.units, part.lambda);
        if plan.rate > 0.0 {
            // The box: beyond the limit everything is refused until the estimate has decayed.
            let rate = customer.average.rate(now, part.lambda);
            // For a sliver it shuts on all evidence, less what chance may add.
            let sure = (asked - BOX_DOUBT * (asked * usual).sqrt()) * plan.rate / held;
            let sure = if part.sliver && left.is_none() { sure } else { 0.0 };
            let rate = rate.max(sure);
            if rate > part.limit {
                return Err((Reason::Box, Some((rate / part.limit).ln() / part.lambda)));
            }
            let whole = left.is_some_and(|(least, _)| request.units <= least);
            if let Some((_, most)) = left.filter(|(_, most)| *most < request.units) {
                return Err((Reason::SoldOut, Some(1000.0 * (request.units - most) / plan.rate)));
            }
            // Guards against slices too small to tell use past the quota from a few requests that happen to
            // meet at one of many gateways: a sliver lets in by chance, by what all evidence says.
            let strain = match left {
                Some((_, most)) => 1.0 - most / plan.burst.max(request.units),
                None if part.sliver => excess,
                None => excess.min(1.0),
            };
            customer.share = opening / strain.max(opening);
            // By Little's law a cap on attempts out is a rate too: what others have out is not seen.
            let others = excess.min(1.0) * plan.rate * per_unit * (1.0 - 1.0 / part.spread);
            let spare = f64::from(plan.max_open) - f64::from(customer.open);
            let fits = if part.open < 1.0 && others > 0.0 { spare / (others + others.sqrt()) } else { 1.0 };
            if luck > customer.share.min(fits) {
                return Err((Reason::Share, None));
            }
            // Under pressure a slice keeps a reserve: those nearest the end of their quotas give way first.
            let reserve = pressure * (part.depth - request.units).max(0.0);
            let short = request.units + reserve - customer.slice;
            if short > 0.0 && !whole {
                // Guards against advice that is of no use any more: the next try may come to another gateway,
                // whose slice holds it; this one cannot know, and the time to ask there is short.
                let elsewhere = if part.spread > 1.0 { ELSEWHERE_AIMS * self.aim } else { f64::INFINITY };
                return Err((Reason::Slice, Some((1000.0 * short / part.even).min(elsewhere))));
            }
        }
        let short_of_ceiling = plan.ceiling.is_some() && customer.ceiling < request.units;
        if !self.open_room(now, request, part.open) {
            return Err((Reason::Open, None));
        }
        if short_of_ceiling {
            return Err((Reason::Ceiling, None));
        }
        let backend = self.room(now, live).ok_or((Reason::Backends, None))?;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            // By news it may let in more than its slice holds.
            customer.slice = (customer.slice - request.units).max(0.0);
            customer.ceiling -= request.units;
        }
        self.use_news(request.customer, request.units);
        Ok(backend)
    }

    /// Whether a customer may have one more attempt out: an open cap is held in parts, and what a part has
    /// beyond whole attempts is a share of the time.
    fn open_room(&mut self, now: Millis, request: &Request, part: f64) -> bool {
        let (aim, most) = (self.aim, f64::from(self.set.plans[request.plan.0].max_open));
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.pass_time(now, part, aim);
        let open = f64::from(customer.open + 1);
        let most = if part < 1.0 { most } else { part };
        open <= most.ceil() && (open <= most.floor() || customer.spare > 0.0)
    }

    /// The backend for a request, if it has room: a client that leaves before an answer can be expected would
    /// come again after work done for nothing.
    fn room(&mut self, now: Millis, live: &Live) -> Option<BackendId> {
        let (backend, wait) = self.choose(now, live, Reach::Anywhere)?;
        let pace = self.backends.get(&backend).map_or(0.0, |b| self.pace(b));
        let expected = wait + pace * live.request.units;
        let slow = wait > WAIT_LIMIT * self.aim;
        let late = PATIENCE * expected > live.request.deadline - now;
        (!slow && !late).then_some(backend)
    }

    /// Halflife of the recent average of a plan that has a rate.
    fn halflife(plan: &Plan) -> Millis {
        HALFLIFE_BURSTS * 1000.0 * plan.burst / plan.rate
    }

    fn longest_halflife(&self) -> Millis {
        let rated = self.set.plans.iter().filter(|p| p.rate > 0.0);
        rated.map(Self::halflife).fold(1000.0, f64::max)
    }

    fn part(&self, request: &Request) -> Part {
        let plan = &self.set.plans[request.plan.0];
        let largest = self.customers.get(&request.customer).map_or(0.0, |c| c.largest).max(request.units);
        let halflife = if plan.rate > 0.0 && plan.burst > 0.0 {
            Self::halflife(plan)
        } else {
            HALFLIFE_DEADLINES * self.set.classes.iter().map(|c| c.deadline).fold(1000.0, f64::max)
        };
        let recent = std::f64::consts::LN_2 * HALFLIFE_BURSTS / RECENT_BURSTS / halflife;
        let least = (largest + 0.5 * RECENT_BURSTS * plan.burst.max(largest) / request.spread)
            .min(SLICE_LEAST * largest);
        let sliver = request.spread > 1.0 && plan.burst / request.spread < self.usual;
        // A sliver has too few requests to tell a lasting flood from chance by the long average alone.
        let lambda = if sliver { recent } else { std::f64::consts::LN_2 / halflife };
        Part {
            lambda,
            recent,
            recall: if sliver { recent } else { RECALL * recent },
            limit: BOX_FACTOR * plan.rate + 1000.0 * lambda * plan.burst,
            even: plan.rate / request.spread,
            sliver,
            depth: (plan.burst / request.spread).max(least),
            spread: request.spread,
            open: if plan.max_open > 0 { f64::from(plan.max_open) / request.spread } else { f64::INFINITY },
        }
    }

    /// Forgets customers whose entry says no more than a new one would.
    fn evict(&mut self, now: Millis) {
        if now < self.evict_at {
            return;
        }
        let longest = self.longest_halflife();
        let age = EVICT_HALFLIVES * longest;
        self.evict_at = now + age / 4.0;
        let left = |c: &Customer| c.average.n * (-(now - c.t) * std::f64::consts::LN_2 / longest).exp();
        let usual = self.usual;
        self.customers.retain(|_, c| c.open > 0 || now - c.t < age || left(c) > usual);
        self.news.retain(|_, news| now - news.t < age);
    }

    /// How short of capacity the gateway finds the backends, from nought to one.
    fn feel_pressure(&mut self, now: Millis) {
        let keep = (-(now - self.pressure_at) / (PRESSURE_AIMS * self.aim)).exp();
        let busy = self.index.all_busy().iter().filter_map(|id| self.backends.get(id));
        let best = busy.map(|b| self.wait(b)).fold(f64::INFINITY, f64::min);
        let felt = if best.is_finite() { (best / (WAIT_LIMIT * self.aim)).min(1.0) } else { 0.0 };
        let felt = (2.0 * felt - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * keep + felt * (1.0 - keep);
        self.pressure_at = now;
    }

    /// Guards against queues that others fill: where many gateways share a fleet, each has hardly any
    /// attempt out at a backend, so its own load tells nothing while answers get slow everywhere. All let in
    /// less by the same measure, until answers take the target part of their aims on average.
    fn feel_answer(&mut self, now: Millis, part_of_aim: f64) {
        let step = OPENING_STEP * ((now - self.answer_at) / self.aim).min(1.0);
        // One alone or one of two sees much of the queues itself.
        let target = TARGET_AIMS * (1.0 + 1.0 / f64::from(self.set.gateways.max(1)).powi(2));
        let change = step * (1.0 - part_of_aim / target);
        self.opening = (self.opening + change).clamp(OPENING_LEAST, 1.0);
        self.answer_at = now;
    }

    fn refusal(&self, request: RequestId, reason: Reason, wait: Option<Millis>) -> Action {
        let advised = if self.set.retry_after { wait } else { None };
        Action::Refuse {
            request,
            reason,
            retry_after: advised.map(|w| w.clamp(0.0, self.set.max_retry_after)),
        }
    }

    // ---- Choice of backend --------------------------------------------------------------------------

    /// The backend with the least expected time, and the wait expected there.
    fn choose(&mut self, now: Millis, live: &Live, reach: Reach) -> Option<(BackendId, Millis)> {
        let last = self.last_chosen(now);
        let mut of = self.index.placed_up_to(if reach == Reach::Anywhere { last } else { 1.0 });
        let by = (last, self.cold_turn(now, last, &of));
        let mut found = self.least(now, live, reach, by, &of);
        // Each of the others costs this at least: the detour, and the time of the fastest.
        let pace = self.index.least_pace().unwrap_or(f64::INFINITY).min(self.common_pace());
        let others = (STRANGE_AIMS * self.aim + pace * live.request.units) * (1.0 - 1e-9);
        if of.len() < self.index.ready().len() && found.1.is_none_or(|(cost, _, _)| cost >= others) {
            self.index.done_with(of);
            of = self.index.placed_up_to(1.0);
            found = self.least(now, live, reach, by, &of);
        }
        self.index.done_with(of);
        let (drawn, best, rng) = found;
        self.rng = rng;
        // A cold one in its turn goes first, unless it is distrusted or has too much of this gateway's own.
        let best = match (drawn, best) {
            (Some(cold), Some(warm)) if cold.0 > warm.0 + WAIT_LIMIT * self.aim => Some(warm),
            (drawn, best) => drawn.or(best),
        };
        best.map(|(_, id, wait)| (id, wait))
    }

    /// The cold one in its turn and the least cost of the others, among these backends in the order of ids.
    /// Chance is drawn for each that could be had, also where only some are looked at.
    fn least(&self, now: Millis, live: &Live, reach: Reach, by: Chosen, of: &[BackendId]) -> Found {
        let (last, cold) = by;
        let (mut drawn, mut best, mut rng): (_, Option<Cost>, _) = (None, None, self.rng.clone());
        let (first, span) = (self.set.start_capacity, self.set.warm_up);
        let some = of.len() < self.index.ready().len();
        let mut draws = 0;
        for (id, backend) in of.iter().filter_map(|id| Some((id, self.backends.get(id)?))) {
            let fits = match reach {
                Reach::Anywhere => true,
                Reach::Zone(zone) => backend.entry.zone == zone,
                Reach::Cell(cell) => backend.entry.cell == cell,
                Reach::Nowhere => false,
            };
            if !fits || (cold != Some(*id) && backend.warmth(now, first, span) < 1.0) {
                continue;
            }
            if some {
                let before = self.index.warm_before(*id, cold);
                rng.advance(before - draws);
                draws = before + 1;
            }
            let wait = self.wait(backend);
            let strange = if backend.place > last { STRANGE_AIMS * self.aim } else { 0.0 };
            let cost = self.cost(now, live, backend, wait) * (1.0 + 0.05 * chance(&mut rng)) + strange;
            if cold == Some(*id) {
                drawn = Some((cost, *id, wait));
            } else if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, *id, wait));
            }
        }
        if some {
            rng.advance(self.index.warm(cold) - draws);
        }
        (drawn, best, rng)
    }

    /// What sending a request to a backend is expected to cost, as time.
    fn cost(&self, now: Millis, live: &Live, backend: &Backend, wait: Millis) -> Millis {
        let unsafe_one = self.set.classes[live.request.class.0].effect == Effect::Unsafe;
        let overdue = self.overdue(now, backend, live.request.class);
        let mut cost = wait.max(overdue) + self.pace(backend) * live.request.units;
        let distrust = self.distrust(now, backend, &live.request) * if unsafe_one { 2.0 } else { 1.0 };
        cost += (distrust - FORGOTTEN).max(0.0) * self.aim;
        if backend.entry.zone != self.set.zone {
            cost += CROSSING_AIMS * self.set.cross_zone_price * self.aim;
        }
        cost
    }

    /// Time per unit of load at all backends.
    fn common_pace(&self) -> f64 {
        if self.load > 0.0 {
            self.time / self.load
        } else {
            self.aim / 10.0
        }
    }

    /// Time per unit of load at a backend; with few answers, nearer to that of all.
    fn pace(&self, backend: &Backend) -> f64 {
        let common = self.common_pace();
        let mean = self.load / PACE_MEMORY;
        let prior = if mean > 0.0 { mean } else { 1.0 };
        (backend.time + prior * common) / (backend.load + prior)
    }

    /// Load at a backend: the units this gateway has out there. Reports are not counted: they come late and
    /// every gateway reads the same ones; what others send shows in the time per unit.
    fn load_of(backend: &Backend) -> f64 {
        backend.out.values().map(|f| f.units).sum()
    }

    /// Time until a request sent now would be begun, as far as own attempts tell.
    fn wait(&self, backend: &Backend) -> Millis {
        self.pace(backend) * Self::load_of(backend)
    }

    /// Guards against a backend that has gone silent: how long its oldest attempt is overdue without news. It
    /// turns the choice elsewhere but refuses nothing: answers may be lost where there is no queue. A class
    /// that is known to hang there speaks only for itself.
    fn overdue(&self, now: Millis, backend: &Backend, class: ClassId) -> Millis {
        let speaks = |flight: &&Flight| flight.class == class || !self.hangs(now, backend, flight.class);
        let silent = |flight: &Flight| {
            let answered = if flight.class == class { None } else { Some(backend.last_answer) };
            self.silent(now, backend, flight, answered)
        };
        backend.out.values().filter(speaks).map(silent).fold(0.0, f64::max)
    }

    fn hangs(&self, now: Millis, backend: &Backend, class: ClassId) -> bool {
        let known = backend.classes.get(&class);
        known.is_some_and(|known| known.hanging.faded(now, HANGING_AIMS * self.aim) > FORGOTTEN)
    }

    /// How long an attempt is overdue without news of its class from its backend.
    fn silent(&self, now: Millis, backend: &Backend, flight: &Flight, news: Option<Millis>) -> Millis {
        let answered = news.unwrap_or_else(|| Self::answered(backend, flight));
        now - flight.at.max(answered) - SILENCE * self.pace(backend) * flight.load
    }

    fn answered(backend: &Backend, flight: &Flight) -> Millis {
        backend.classes.get(&flight.class).map_or(flight.at, |known| known.answered)
    }

    fn distrust(&self, now: Millis, backend: &Backend, request: &Request) -> f64 {
        let full = backend.full.get(&request.plan).map_or(0.0, |d| d.faded(now, DISTRUST_AIMS * self.aim));
        let known = backend.classes.get(&request.class);
        let hanging = known.map_or(0.0, |known| known.hanging.faded(now, HANGING_AIMS * self.aim));
        backend.distrust.faded(now, DISTRUST_AIMS * self.aim).max(full).max(hanging)
    }

    /// The last place of a backend that is among the chosen. Guards against a connection for each pair: where
    /// a hundred gateways have few requests each, nearly every one would pay for a handshake. Others stand in
    /// for those that are distrusted, or slower by far. All are chosen where there are few gateways.
    fn last_chosen(&mut self, now: Millis) -> f64 {
        let (backends, fades) = (&self.backends, DISTRUST_AIMS * self.aim);
        let doubted = |b: &Backend| b.distrust.faded(now, fades) > FORGOTTEN;
        self.index.keep_doubted(|id| backends.get(&id).is_some_and(doubted));
        let trusted = self.index.trusted();
        let most = (CHOSEN_BY * trusted as f64 / f64::from(self.set.gateways.max(1))).ceil() as usize;
        let most = most.max(CHOSEN_LEAST);
        if most >= trusted {
            return 1.0;
        }
        self.index.place_of(most).unwrap_or(1.0)
    }

    /// The cold backend whose turn this request is, if it is one's. Guards cold backends: each gets its
    /// warmth of what a warm one gets, as the warmth of all allows, and where hardly any is warm no more than
    /// a part of the multiple that pushes it over. Turns come evenly from a drawn start: so shares hold
    /// over the fleet though each of hundreds of gateways has few requests for many backends, and no first
    /// requests come in step.
    fn cold_turn(&mut self, now: Millis, last: f64, of: &[BackendId]) -> Option<BackendId> {
        let (first, span) = (self.set.start_capacity, self.set.warm_up);
        let backends = &self.backends;
        let cold = |id: &BackendId| backends.get(id).filter(|b| b.warmth(now, first, span) < 1.0);
        self.index.keep_cold(|id| cold(&id).is_some());
        if !self.index.cold().any(|id| cold(&id).is_some_and(|b| b.place <= last)) {
            return None;
        }
        let chosen = of.iter().filter_map(|id| backends.get(id)).filter(|b| b.place <= last);
        let weights = chosen.map(|b| (b.entry.size * b.warmth(now, first, span), b.entry.size));
        let (warm, size) = weights.fold((0.0, 0.0), |sum, (w, s)| (sum.0 + w, sum.1 + s));
        if warm >= size {
            return None;
        }
        let most = (COLD_PART * self.set.overload_factor).max(1.0);
        let per_weight = (1.0 / warm.max(0.01)).min(most / size);
        let mut next: Option<(f64, BackendId)> = None;
        for id in self.index.cold() {
            let Some(backend) = self.backends.get_mut(&id).filter(|b| b.place <= last) else { continue };
            let warmth = backend.warmth(now, first, span);
            backend.turn = (backend.turn + warmth * backend.entry.size * per_weight).min(2.0);
            if backend.turn >= 1.0 && next.is_none_or(|(turn, _)| backend.turn > turn) {
                next = Some((backend.turn, id));
            }
        }
        next.map(|(_, id)| id)
    }

    // ---- Attempts and answers -----------------------------------------------------------------------

    /// When a request gets its final answer at the latest: with its aim where later is worth nothing.
    fn cut(&self, live: &Live) -> Millis {
        let class = &self.set.classes[live.request.class.0];
        let last = live.request.deadline - 2.0 * self.set.tick;
        if class.late_worth > 0.0 {
            last
        } else {
            last.min(live.arrived + class.aim)
        }
    }

    /// When an answer is slow. It is felt at once: a time-out is news when queues have long filled.
    fn slow_mark(&self, live: &Live) -> Millis {
        let size = (live.request.units / self.usual.max(0.01)).max(1.0);
        live.begun + (SLOW_AIMS * size).min(1.0) * self.set.classes[live.request.class.0].aim
    }

    fn send(&mut self, now: Millis, id: RequestId, to: BackendId, actions: &mut Vec<Action>) {
        let (Some(live), Some(backend)) = (self.requests.get(&id), self.backends.get(&to)) else { return };
        let units = live.request.units.max(0.01);
        let load = Self::load_of(backend) + units;
        let left = self.cut(live) - now;
        let limit = self.patience(now, live, self.pace(backend) * load).min(left).max(self.set.tick);
        if let Some(backend) = self.backends.get_mut(&to) {
            backend.out.insert(id, Flight { at: now, class: live.request.class, load, units });
            backend.turn = (backend.turn - 1.0).max(0.0);
        }
        self.follow(to);
        let Some(live) = self.requests.get_mut(&id) else { return };
        live.sends += 1;
        live.out = Some(to);
        if let Some(customer) = self.customers.get_mut(&live.request.customer) {
            customer.open += 1;
        }
        // Guards against connections that are dead unseen, in pools or in what lies between: a request that
        // must not run twice is lost with each. Others can be repeated and go without while none breaks,
        // since caution costs each request the time of a way there and back.
        let effect = self.set.classes[live.request.class.0].effect;
        let care = match effect {
            Effect::Unsafe => Care::Once,
            _ if now - self.broke_at < CAUTION_AIMS * self.aim => Care::Proof,
            _ => Care::Usual,
        };
        actions.push(Action::Send { request: id, backend: to, limit: Some(limit), care });
    }

    /// Most attempts for a request.
    fn attempts(&self, live: &Live) -> u32 {
        self.set.max_attempts.min(self.set.classes[live.request.class.0].max_attempts)
    }

    /// How long an attempt is waited for that should take `expected`. Guards against one that hangs and eats
    /// the whole of its request's time: what may be repeated is given up while another attempt still has the
    /// time that this one had. The last attempt gets all that is left.
    fn patience(&self, now: Millis, live: &Live, expected: Millis) -> Millis {
        let class = &self.set.classes[live.request.class.0];
        let again = match class.effect {
            Effect::Safe => true,
            Effect::Keyed { group: Group::All, memory } => memory > class.aim,
            _ => false,
        };
        let limit = (HUNG * expected).max(HUNG_AIMS * class.aim);
        let fits = 2.0 * limit <= self.cut(live) - now && live.sends + 1 < self.attempts(live);
        // Where answers are slow everywhere a repeat would only add to the queues.
        let calm = self.opening > CALM && self.pressure < 1.0 - CALM;
        if again && fits && calm && self.retries >= 1.0 {
            limit
        } else {
            f64::INFINITY
        }
    }

    fn settled(&mut self, now: Millis, settled: &Settled, actions: &mut Vec<Action>) {
        let Some(mut live) = self.requests.remove(&settled.request) else { return };
        if live.out != Some(settled.backend) || settled.attempt + 1 != live.sends {
            self.requests.insert(settled.request, live);
            return;
        }
        live.out = None;
        if settled.outcome == Outcome::Ok && !live.slow {
            let mark = self.slow_mark(&live) - live.begun;
            self.feel_answer(now, (SLOW_AIMS * (now - live.begun) / mark).min(1.0));
        }
        self.learn(now, &live.request, settled, actions);
        self.settle_quota(now, &live.request, settled);
        let over = settled.closed || live.answered || settled.outcome == Outcome::Ok;
        if over {
            return;
        }
        let proven = matches!(settled.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        if !proven && live.may_have_run.is_none() {
            let place = self.backends.get(&settled.backend).map(|b| (b.entry.zone, b.entry.cell));
            let (zone, cell) = place.unwrap_or((ZoneId(u32::MAX), CellId(u32::MAX)));
            live.may_have_run = Some((now - settled.elapsed.max(0.0), zone, cell));
        }
        let reach = self.reach(now, &live);
        let time_left = self.cut(&live) - now > self.set.tick;
        if !live.started && time_left && self.retries >= 1.0 && live.sends < self.attempts(&live) {
            if let Some((backend, _)) = self.choose(now, &live, reach) {
                self.retries -= 1.0;
                let id = live.request.id;
                self.requests.insert(id, live);
                self.send(now, id, backend, actions);
                return;
            }
        }
        actions.push(self.last_word(now, &live));
    }

    /// Where a request may be sent after what has happened to it.
    fn reach(&self, now: Millis, live: &Live) -> Reach {
        let Some((since, zone, cell)) = live.may_have_run else { return Reach::Anywhere };
        match self.set.classes[live.request.class.0].effect {
            Effect::Safe => Reach::Anywhere,
            Effect::Unsafe => Reach::Nowhere,
            Effect::Keyed { memory, .. } if now - since >= memory - 2.0 * self.set.tick => Reach::Nowhere,
            Effect::Keyed { group: Group::All, .. } => Reach::Anywhere,
            Effect::Keyed { group: Group::Zone, .. } => Reach::Zone(zone),
            Effect::Keyed { group: Group::Cell, .. } => Reach::Cell(cell),
        }
    }

    /// The final answer for a request that will not be served: a refusal only where repeating is harmless.
    fn last_word(&self, now: Millis, live: &Live) -> Action {
        let mut seen = live.clone();
        if let (None, Some(to)) = (seen.may_have_run, seen.out) {
            let flight = self.backends.get(&to).and_then(|b| b.out.get(&live.request.id));
            seen.may_have_run = Some((flight.map_or(0.0, |f| f.at), ZoneId(0), CellId(0)));
        }
        let safe = self.set.classes[live.request.class.0].effect == Effect::Safe;
        if safe || self.reach(now, &seen) == Reach::Anywhere {
            self.refusal(live.request.id, Reason::Attempts, None)
        } else {
            Action::Fail(live.request.id)
        }
    }

    fn out_of_time(&mut self, now: Millis, name: u64, actions: &mut Vec<Action>) {
        let Ok(id) = u32::try_from(name).map(RequestId) else { return };
        let Some(live) = self.requests.get(&id) else { return };
        if live.answered || live.started {
            return;
        }
        let cut = self.cut(live);
        if live.held && now < cut {
            return;
        }
        if now < cut && !live.slow {
            actions.push(Action::SetAlarm { at: cut, alarm: AlarmId(name) });
            // What hangs is no sign of queues: a fallen opening would refuse what the backends have room for.
            let attempt = live.out.and_then(|to| self.backends.get(&to)).map(|b| (b, b.out.get(&id)));
            let hangs = matches!(attempt, Some((b, Some(flight))) if self.silent(now, b, flight, None) > 0.0);
            if !hangs {
                self.feel_answer(now, 1.0);
            }
            self.requests.entry(id).and_modify(|live| live.slow = true);
            return;
        }
        actions.push(self.last_word(now, live));
        self.abandon(id, actions);
    }

    /// Ends a request, calling off an attempt that is still out.
    fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get_mut(&id) else { return };
        live.answered = true;
        if live.out.is_none() {
            let held = live.held;
            if let Some(live) = self.requests.remove(&id).filter(|_| held) {
                self.give_back(&live.request);
            }
        } else if self.set.cancel && !live.started {
            actions.push(Action::CallOff { request: id, attempt: live.sends - 1 });
        }
    }

    fn settle_quota(&mut self, now: Millis, request: &Request, settled: &Settled) {
        let part = self.part(request);
        let plan = &self.set.plans[request.plan.0];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.pass_time(now, part.open, self.aim);
        customer.open = customer.open.saturating_sub(1);
        if let Some(true_units) = settled.true_units.filter(|u| u.is_finite()) {
            // The quota counts the true units, so the slice does; the ceiling goes by the guess.
            customer.slice = (customer.slice + request.units - true_units).min(part.depth);
            if let Some(news) = self.news.get_mut(&request.customer) {
                news.left += request.units - true_units;
            }
        }
        if let Some(used) = settled.use_of_quota.filter(|u| u.is_finite()) {
            let span = (now - customer.metered).min(self.set.meter_period) / 1000.0;
            let keep = (part.recall * (customer.metered - now)).exp();
            let held = plan.rate * span;
            customer.held = customer.held * keep + held;
            customer.asked = customer.asked * keep + used * held / customer.share;
            customer.metered = now;
        }
    }

    /// What an outcome tells of its backend.
    fn learn(&mut self, now: Millis, request: &Request, settled: &Settled, actions: &mut Vec<Action>) {
        let Some(mut backend) = self.backends.remove(&settled.backend) else { return };
        let flight = backend.out.remove(&request.id);
        let answered = matches!(settled.outcome, Outcome::Ok);
        // Nothing has come from there since this attempt went out: its other connections may be as dead.
        let silent = flight.is_some_and(|flight| flight.at >= backend.last_answer);
        if settled.outcome == Outcome::Timeout && silent {
            actions.push(Action::CloseIdle(settled.backend));
        }
        // Guards against a backend that lets one class hang and answers the others: it is held against it for
        // that class, whether the attempt timed out or was called off, and tells nothing of its pace. It also
        // covers one that hangs for all, and hurts, by a detour, where one answer alone was lost on the way.
        let hung = flight.is_some_and(|flight| self.silent(now, &backend, &flight, None) > 0.0);
        let entry = ForClass { answered: now, hanging: Distrust::default() };
        let known = backend.classes.entry(request.class).or_insert(entry);
        match settled.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Full => {
                known.answered = now;
                known.hanging.value *= 0.5;
            }
            Outcome::Timeout | Outcome::Cancelled if hung => known.hanging = Distrust { value: 1.0, at: now },
            _ => {}
        }
        backend.last_answer = now;
        let slow = matches!(settled.outcome, Outcome::Timeout | Outcome::Cancelled);
        if let Some(flight) = flight.filter(|_| answered || (slow && !hung)) {
            let keep = 1.0 - 1.0 / PACE_MEMORY;
            let elapsed = settled.elapsed.max(0.0);
            backend.time = backend.time * keep + elapsed;
            backend.load = backend.load * keep + flight.load;
            let keep = 1.0 - 1.0 / (PACE_MEMORY * self.backends.len().max(1) as f64);
            self.time = self.time * keep + elapsed;
            self.load = self.load * keep + flight.load;
        }
        // Guards against a backend that turns one plan away with room for others: full is held against it for
        // that plan alone. One that is full for all is found out by each.
        let known = match settled.outcome {
            Outcome::Full => backend.full.entry(request.plan).or_default(),
            _ => &mut backend.distrust,
        };
        let before = known.faded(now, DISTRUST_AIMS * self.aim);
        // Guards against trouble on the way taken for sick backends: where connections break everywhere, each
        // would be set aside in turn and the rest be crowded. It costs some requests at a backend that takes
        // connections and breaks every one; a process that died refuses the next one, and that tells enough.
        let broke = settled.broken > 0;
        if broke {
            self.broke_at = now;
        }
        let value = match settled.outcome {
            Outcome::Ok => before * (1.0 - TRUST_STEP),
            Outcome::ConnectFailed | Outcome::Reset if broke => before + BREAK_STEP * (1.0 - before),
            Outcome::ConnectFailed => 1.0,
            Outcome::Error | Outcome::Reset | Outcome::Timeout | Outcome::Full => {
                before + DISTRUST_STEP * (1.0 - before)
            }
            Outcome::Cancelled | Outcome::NotSent => before,
        };
        *known = Distrust { value, at: now };
        let after = backend.distrust.faded(now, DISTRUST_AIMS * self.aim);
        if !backend.set_aside && after > SET_ASIDE {
            backend.set_aside = true;
            actions
                .push(Action::Log(format!("backend {} set aside: {:?}", settled.backend.0, settled.outcome)));
        } else if backend.set_aside && after < SET_ASIDE / 2.0 {
            backend.set_aside = false;
            actions.push(Action::Log(format!("backend {} taken back", settled.backend.0)));
        }
        self.backends.insert(settled.backend, backend);
        self.follow(settled.backend);
    }

    /// Has the index follow a backend that has changed.
    fn follow(&mut self, id: BackendId) {
        let standing = self.backends.get(&id).map(|b| Standing {
            is: match b.entry.availability {
                Availability::Ready => Is::Ready,
                Availability::Gone if b.out.is_empty() => Is::Over,
                _ => Is::Leaving,
            },
            place: b.place,
            cold: b.entry.started,
            doubted: (b.distrust.value > FORGOTTEN).then_some(b.distrust.at),
            busy: !b.out.is_empty(),
            pace: (b.load > 0.0).then(|| b.time / b.load),
        });
        self.index.set(id, standing);
    }

    // ---- The list of backends -----------------------------------------------------------------------

    fn list_changed(&mut self, now: Millis, kind: ListKind, entries: &[BackendEntry], out: &mut Vec<Action>) {
        if self.set.discovery == Discovery::OnRequest {
            match kind {
                ListKind::Cached => out.push(Action::Subscribe),
                ListKind::Failed => {
                    let pause = self.set.ask_within / 8.0 * (0.5 + chance(&mut self.rng));
                    out.push(Action::SetAlarm { at: now + pause, alarm: LIST_ALARM });
                }
                ListKind::Full | ListKind::Changes => {}
            }
        }
        let whole = matches!(kind, ListKind::Full | ListKind::Cached);
        if whole {
            for backend in self.backends.values_mut() {
                backend.entry.availability = Availability::Gone;
            }
        }
        for entry in entries {
            let mut entry = *entry;
            entry.size = in_range(entry.size, 0.01, 1e6, 1.0);
            let (turn, place) = (chance(&mut self.rng), chance(&mut self.rng));
            let fresh = Backend::new(entry, now, turn, place);
            let known = self.backends.entry(entry.id).or_insert_with(|| fresh.clone());
            if known.entry.started != entry.started {
                let (flights, place) = (std::mem::take(&mut known.out), known.place);
                *known = Backend { out: flights, place, ..fresh };
            }
            known.entry = entry;
        }
        let all: Vec<BackendId> = if whole { self.backends.keys().copied().collect() } else { Vec::new() };
        all.into_iter().chain(entries.iter().map(|e| e.id)).for_each(|id| self.follow(id));
        for id in self.index.over().collect::<Vec<_>>() {
            self.backends.remove(&id);
            self.follow(id);
        }
    }
}

impl Customer {
    /// Units asked of all gateways and what the quota held meanwhile, as far as one of many can tell: by the
    /// meter and, for a sliver, by its own recent average. Both begin with a little: few prove nothing.
    fn evidence(&self, now: Millis, plan: &Plan, part: &Part, age: Millis, usual: f64) -> (f64, f64) {
        let keep = (part.recall * (self.metered - now)).exp();
        let (asked, held) = (PRIOR * usual + self.asked * keep, 2.0 * PRIOR * usual + self.held * keep);
        if !part.sliver {
            return (asked, held);
        }
        let seen = self.average.n * (part.lambda * (self.average.t - now)).exp();
        let own =
            part.even / 1000.0 / part.lambda * (1.0 - (-part.lambda * age).exp()) + plan.burst / part.spread;
        (asked + usual + seen, held + own)
    }

    /// Counts the time in which fewer attempts were open than this gateway's part of the cap allows, or more.
    fn pass_time(&mut self, now: Millis, part: f64, most: Millis) {
        let gained = (part.min(1e6) - f64::from(self.open)) * (now - self.opened).max(0.0);
        self.spare = (self.spare + gained).clamp(-most, most);
        self.opened = now;
    }

    /// Brings slice and ceiling part up to now; their flow follows demand as the design says.
    fn refill(
        &mut self,
        now: Millis,
        plan: &Plan,
        part: &Part,
        pressure: f64,
        past_quota: bool,
        age: Millis,
    ) {
        let span = (now - self.t).max(0.0) / 1000.0;
        // The average starts at nought, so what a young gateway has counted is taken over the time it had.
        let counted = (1.0 - (-part.lambda * age).exp()).max(COUNTED_LEAST);
        let recent = self.average.rate(now, part.lambda) / counted;
        let wanted = (RISE_FACTOR * recent).min(plan.rate).max(part.even);
        let target = if past_quota { part.even } else { part.even + (wanted - part.even) * (1.0 - pressure) };
        let rises = RECENT_BURSTS / RISE_BURSTS / std::f64::consts::LN_2;
        let rise = 1.0 - (-part.recent * 1000.0 * span * rises).exp();
        self.flow = target.min(self.flow + (target - self.flow).max(0.0) * rise).max(part.even);
        self.slice = (self.slice + self.flow * span).min(part.depth);
        if let Some(ceiling) = plan.ceiling {
            let depth = (ceiling.burst + SLACK_USED * ceiling.slack) / part.spread;
            self.ceiling = (self.ceiling + ceiling.rate / part.spread * span).min(depth);
        }
        self.t = now;
    }
}

impl News {
    /// Fills the store of those gateways that are heard of: what is theirs of the quota.
    fn refill(&mut self, now: Millis, plan: &Plan) {
        let gained = plan.rate * self.heard * (now - self.t).max(0.0) / 1000.0;
        self.left = (self.left + gained).min(plan.burst);
        self.t = now;
    }
}

impl Backend {
    fn new(entry: BackendEntry, now: Millis, turn: f64, place: f64) -> Self {
        Backend {
            entry,
            out: BTreeMap::new(),
            time: 0.0,
            load: 0.0,
            last_answer: now,
            distrust: Distrust::default(),
            full: BTreeMap::new(),
            classes: BTreeMap::new(),
            set_aside: false,
            turn,
            place,
        }
    }

    /// Share of its capacity that a started backend has at least, by what it starts with and when it is warm.
    fn warmth(&self, now: Millis, first: f64, span: Millis) -> f64 {
        let Some(at) = self.entry.started else { return 1.0 };
        first + (1.0 - first) * ((now - at) / span.max(1.0)).clamp(0.0, 1.0)
    }
}

/// A number drawn evenly from nought to one.
fn chance(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// A figure from outside, held within bounds; `otherwise` stands in for what is not a number.
fn in_range(value: f64, least: f64, most: f64, otherwise: f64) -> f64 {
    if value.is_finite() {
        value.clamp(least, most.max(least))
    } else {
        otherwise
    }
}
