//! Measures of traffic, named after its unit: what fades, averages of pace, a store that several draw on. Nothing here decides,
//! reads a clock or does I/O.

use rand_core::RngCore;
use std::collections::BTreeMap;

/// Milliseconds on the caller's clock.
pub type Millis = f64;

/// Pressure is averaged over this many shortest aims.
const PRESSURE_AIMS: f64 = 2.0;
/// Step of the opening for an answer that took no time, for each shortest aim that has passed.
const OPENING_STEP: f64 = 0.15;
/// The opening rests where answers take this part of their aims on average, a slow one counted as a whole.
const TARGET_AIMS: f64 = 0.25;
/// The opening at the start of one of very many gateways.
const OPENING_START: f64 = 0.6;
/// The opening stays above this, so that there are answers to learn from.
const OPENING_LEAST: f64 = 0.05;

/// A value that fades, as of `at`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    /// The value.
    pub value: f64,
    /// As of then.
    pub at: Millis,
}

impl Fading {
    /// What is left of it, where it halves in `half` milliseconds.
    pub fn faded(&self, now: Millis, half: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-((now - self.at) / half) * std::f64::consts::LN_2).exp()
    }
}

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
/// How far one good answer moves distrust toward nought.
const TRUST_STEP: f64 = 0.2;
/// Distrust at which a backend is reported as set aside, and half of which takes it back.
const SET_ASIDE: f64 = 0.5;

/// What the end of one attempt tells of whoever it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lesson {
    /// It served.
    Good,
    /// It did not, or not in time.
    Bad,
    /// A connection that had come up broke.
    Broke,
    /// There was no connection.
    Refused,
    /// It turned this plan away.
    Full(usize),
    /// Nothing.
    None,
}

/// How far somebody is trusted, by what became of what was sent there: in all, for one plan, and for one class.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    against: Fading,
    /// Against it for one plan alone, from what it was turned away as full.
    full: BTreeMap<usize, Fading>,
    /// Of each class that was sent there: when it was answered last, and what is against it from attempts that hung.
    classes: BTreeMap<usize, (Millis, Fading)>,
    aside: bool,
}

impl Trust {
    /// What is against it up to this is no hindrance: it lets one request try who has failed before.
    pub const FORGOTTEN: f64 = FORGOTTEN;

    /// When a class was answered last.
    pub fn answered(&self, class: usize) -> Option<Millis> {
        self.classes.get(&class).map(|(answered, _)| *answered)
    }

    /// Whether a class hangs there.
    pub fn hangs(&self, now: Millis, aim: Millis, class: usize) -> bool {
        let known = self.classes.get(&class);
        known.is_some_and(|(_, hanging)| hanging.faded(now, HANGING_AIMS * aim) > FORGOTTEN)
    }

    /// What is against it for a request of this plan and class.
    pub fn against(&self, now: Millis, aim: Millis, plan: usize, class: usize) -> f64 {
        let full = self
            .full
            .get(&plan)
            .map_or(0.0, |full| full.faded(now, DISTRUST_AIMS * aim));
        let known = self.classes.get(&class);
        let hanging = known.map_or(0.0, |(_, hanging)| hanging.faded(now, HANGING_AIMS * aim));
        self.against
            .faded(now, DISTRUST_AIMS * aim)
            .max(full)
            .max(hanging)
    }

    /// Whether it is doubted now.
    pub fn doubted(&self, now: Millis, aim: Millis) -> bool {
        self.against.faded(now, DISTRUST_AIMS * aim) > FORGOTTEN
    }

    /// Since when it may be doubted, if at all.
    pub fn doubt(&self) -> Option<Millis> {
        (self.against.value > FORGOTTEN).then_some(self.against.at)
    }

    /// An attempt of a class was answered, or hung.
    pub fn class(&mut self, now: Millis, class: usize, answered: bool, hung: bool) {
        let known = self
            .classes
            .entry(class)
            .or_insert((now, Fading::default()));
        if answered {
            known.0 = now;
            known.1.value *= 0.5;
        } else if hung {
            known.1 = Fading {
                value: 1.0,
                at: now,
            };
        }
    }

    /// Takes in how an attempt ended; tells whether it is set aside (`true`) or taken back by it. Guards against one that turns
    /// one plan away with room for others: full is held against it for that plan alone.
    pub fn learn(&mut self, now: Millis, aim: Millis, lesson: Lesson) -> Option<bool> {
        let known = match lesson {
            Lesson::Full(plan) => self.full.entry(plan).or_default(),
            _ => &mut self.against,
        };
        let before = known.faded(now, DISTRUST_AIMS * aim);
        let value = match lesson {
            Lesson::Good => before * (1.0 - TRUST_STEP),
            Lesson::Broke => before + BREAK_STEP * (1.0 - before),
            Lesson::Refused => 1.0,
            Lesson::Bad | Lesson::Full(_) => before + DISTRUST_STEP * (1.0 - before),
            Lesson::None => before,
        };
        *known = Fading { value, at: now };
        let after = self.against.faded(now, DISTRUST_AIMS * aim);
        let aside = if self.aside {
            after >= SET_ASIDE / 2.0
        } else {
            after > SET_ASIDE
        };
        (std::mem::replace(&mut self.aside, aside) != aside).then_some(aside)
    }
}

/// A cap on what may be open at once, held in parts: what a part has beyond whole ones is a share of the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cap {
    /// What is open.
    pub open: u32,
    /// The time in which more might have been, as of `at`.
    spare: Millis,
    at: Millis,
}

impl Cap {
    /// Nothing is open.
    pub fn new(now: Millis) -> Cap {
        Cap {
            open: 0,
            spare: 0.0,
            at: now,
        }
    }

    /// Counts the time in which fewer were open than this part allows, or more.
    pub fn pass_time(&mut self, now: Millis, part: f64, most: Millis) {
        let gained = (part.min(1e6) - f64::from(self.open)) * (now - self.at).max(0.0);
        self.spare = (self.spare + gained).clamp(-most, most);
        self.at = now;
    }

    /// Whether one more may be opened: a part below one goes by the whole cap.
    pub fn room(&mut self, now: Millis, part: f64, whole: f64, most: Millis) -> bool {
        self.pass_time(now, part, most);
        let open = f64::from(self.open + 1);
        let least = if part < 1.0 { whole } else { part };
        open <= least.ceil() && (open <= least.floor() || self.spare > 0.0)
    }
}

/// Sums of time and of load over recent work: their ratio is the time per unit of load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Milliseconds.
    pub time: f64,
    /// Units of load.
    pub load: f64,
}

impl Pace {
    /// Counts work, where older work counts less by `keep`.
    pub fn learn(&mut self, keep: f64, time: f64, load: f64) {
        self.time = self.time * keep + time;
        self.load = self.load * keep + load;
    }

    /// The time per unit of load, if anything is known.
    pub fn ratio(&self) -> Option<f64> {
        (self.load > 0.0).then(|| self.time / self.load)
    }
}

/// What is left of a store that several draw on and tell one another so.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Units in it, as of `t`, by all use that is known; it may hold less, never more.
    left: f64,
    t: Millis,
    /// What the last news said of itself.
    as_of: Millis,
    error: f64,
    heard: f64,
}

impl Store {
    /// A full one.
    pub fn full(now: Millis, burst: f64) -> Store {
        Store {
            left: burst,
            t: now,
            as_of: now,
            error: 0.0,
            heard: 1.0,
        }
    }

    /// When it was drawn on or told of last.
    pub fn at(&self) -> Millis {
        self.t
    }

    /// Fills it for those that are heard of: what is theirs of `rate` units a second.
    pub fn refill(&mut self, now: Millis, rate: f64, burst: f64) {
        let gained = rate * self.heard * (now - self.t).max(0.0) / 1000.0;
        self.left = (self.left + gained).min(burst);
        self.t = now;
    }

    /// Takes in what others have drawn until `as_of`, but for `error`. Of those that are not heard of, each may use its part.
    pub fn told(
        &mut self,
        now: Millis,
        burst: f64,
        units: f64,
        (as_of, error, heard): (Millis, f64, f64),
    ) {
        let units = in_range(units, -burst, 2.0 * burst, 0.0);
        self.left = (self.left - units).clamp(-burst, burst);
        self.heard = in_range(heard, 0.0, 1.0, 0.0);
        self.as_of = in_range(as_of, 0.0, now, 0.0);
        self.error = in_range(error, 0.0, f64::MAX, f64::MAX);
    }

    /// Draws on it, or gives back.
    pub fn draw(&mut self, units: f64) {
        self.left -= units;
    }

    /// Units that are left at least and at most, by news that are not older than `good`.
    pub fn left(&self, now: Millis, good: Millis) -> Option<(f64, f64)> {
        (now - self.as_of <= good).then_some((self.left - self.error, self.left))
    }
}

/// How short of capacity those behind a gateway are, as it feels it.
#[derive(Clone, Copy, Debug)]
pub struct Strain {
    /// By the waits behind its own attempts, from nought to one.
    pub pressure: f64,
    pressure_at: Millis,
    /// Part of what is asked that they can bear, as slow answers tell.
    pub opening: f64,
    answer_at: Millis,
}

impl Strain {
    /// One of so many gateways: it does not see what all let in at once, so it begins part open; one alone, open.
    pub fn new(gateways: u32) -> Strain {
        let opening = OPENING_START + (1.0 - OPENING_START) / f64::from(gateways.max(1));
        Strain {
            pressure: 0.0,
            pressure_at: 0.0,
            opening,
            answer_at: 0.0,
        }
    }

    /// The best wait is this part of the longest that is borne; not finite where nothing waits.
    pub fn feel_wait(&mut self, now: Millis, aim: Millis, part: f64) {
        let keep = (-(now - self.pressure_at) / (PRESSURE_AIMS * aim)).exp();
        let felt = if part.is_finite() { part.min(1.0) } else { 0.0 };
        let felt = (2.0 * felt - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * keep + felt * (1.0 - keep);
        self.pressure_at = now;
    }

    /// Guards against queues that others fill: where many gateways share a fleet, each has hardly any attempt out at a
    /// backend, so its own load tells nothing while answers get slow everywhere. All let in less by the same measure,
    /// until answers take the target part of their aims on average.
    pub fn feel_answer(&mut self, now: Millis, aim: Millis, gateways: u32, part_of_aim: f64) {
        let step = OPENING_STEP * ((now - self.answer_at) / aim).min(1.0);
        // One alone or one of two sees much of the queues itself.
        let target = TARGET_AIMS * (1.0 + 1.0 / f64::from(gateways.max(1)).powi(2));
        let change = step * (1.0 - part_of_aim / target);
        self.opening = (self.opening + change).clamp(OPENING_LEAST, 1.0);
        self.answer_at = now;
    }
}

/// A number drawn evenly from nought to one.
pub fn chance(rng: &mut impl RngCore) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// A figure from outside, held within bounds; `otherwise` stands in for what is not a number.
pub fn in_range(value: f64, least: f64, most: f64, otherwise: f64) -> f64 {
    if value.is_finite() {
        value.clamp(least, most.max(least))
    } else {
        otherwise
    }
}
