//! What is played, as data: a TOML file, and every mistake in it with its field. Times are milliseconds where a name ends in
//! `_ms`, seconds where it ends in `_s`.

use maplefall_policy::Effect;
use serde::{Deserialize, Serialize};

/// Requests that a run may draw at most: what a world needs of memory and time follows from it.
const MOST_REQUESTS: f64 = 50e6;
/// Bytes that a world may need at most.
const MOST_BYTES: f64 = 8e9;

/// How a backend is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// By the project's decision module, admission too.
    Module,
    /// By who sees the true state of all backends and quotas: what is within reach.
    Oracle,
    /// By chance.
    Random,
    /// In turn.
    RoundRobin,
    /// The one with the fewest of the door's own attempts out.
    LeastOut,
    /// The better of two by chance (Mitzenmacher).
    TwoChoices,
    /// The better of two among so many (a fixed aperture).
    Aperture(usize),
}

/// What is let in, where a plain policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// All.
    None,
    /// Each door its even share of a quota.
    Even,
    /// Each door a whole quota.
    Whole,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Part of the requests.
    pub share: f64,
    /// Mean work of a request of the usual size.
    pub work_ms: f64,
    /// Coefficient of variation of the work; 1 is drawn exponentially, 0 not at all.
    pub cv: f64,
    /// An answer within this earns its worth.
    pub aim_ms: f64,
    /// How long a client waits.
    pub give_up_ms: f64,
    /// Worth of a unit.
    pub worth: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSpec {
    /// Part of the customers.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Factor on the worth.
    pub price: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trouble {
    /// Doors are killed and come back with their last list, each after a time drawn from the range.
    RestartDoors {
        /// When.
        at_s: f64,
        /// Part of them.
        part: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Backends drain, go and are replaced by cold ones.
    ReplaceBackends {
        /// When.
        at_s: f64,
        /// Part of them.
        part: f64,
        /// Over which time their drains begin.
        over_s: f64,
        /// From drain to end.
        drain_ms: f64,
    },
    /// Backends get slow for a while.
    SlowBackends {
        /// When.
        at_s: f64,
        /// Part of them.
        part: f64,
        /// Speed that is left.
        speed: f64,
        /// For how long.
        for_s: f64,
    },
}

impl Trouble {
    fn at_s(&self) -> f64 {
        match self {
            Trouble::RestartDoors { at_s, .. }
            | Trouble::ReplaceBackends { at_s, .. }
            | Trouble::SlowBackends { at_s, .. } => *at_s,
        }
    }
}

/// A world.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Its name.
    pub name: String,
    /// Simulated time.
    pub seconds: f64,
    /// Front doors.
    pub doors: usize,
    /// Backends.
    pub backends: usize,
    /// Cores of each, requests that may wait there.
    pub cores: usize,
    /// See above.
    pub queue: usize,
    /// Cold start: part of the capacity at first, time until warm.
    pub cold_from: f64,
    /// See above.
    pub cold_ms: f64,
    /// Coefficient of variation of backends' speeds.
    pub speed_cv: f64,
    /// Multiple of its present capacity, and for how long, by which a cold backend falls over.
    pub fall_multiple: f64,
    /// See above.
    pub fall_ms: f64,
    /// One way between a door and a backend, or a client.
    pub delay_ms: [f64; 2],
    /// Time that a new connection takes, and work that it costs the backend.
    pub handshake_ms: f64,
    /// See above.
    /// After how long without use a connection is closed.
    pub idle_ms: f64,
    /// How late doors hear of changes of the list.
    pub notice_ms: [f64; 2],
    /// Grace after a drain was told.
    pub drain_grace_ms: f64,
    /// Customers, and the exponent of their sizes by rank (Zipf).
    pub customers: usize,
    /// See above.
    pub zipf: f64,
    /// Part of what all backends can do that is asked for.
    pub load: f64,
    /// Doors that a customer's requests come through; 0 for all.
    pub spread: usize,
    /// Mean units of a request; they are drawn from 1 up to `most_units`.
    pub units: f64,
    /// See above.
    pub most_units: f64,
    /// Quotas are set so that customers use this part of theirs on average; 0 leaves the plans' rates as they stand.
    pub usage: f64,
    /// Tries after the first, and the wait before each where nothing is advised.
    pub retries: u32,
    /// See above.
    pub backoff_ms: [f64; 2],
    /// How a backend is chosen.
    pub choice: Choice,
    /// What a plain policy lets in.
    pub admission: Admission,
    /// Attempts for one request at most.
    pub attempts: u32,
    /// Classes; the usual three if none is named.
    pub class: Vec<ClassSpec>,
    /// Plans; the usual three if none is named.
    pub plan: Vec<PlanSpec>,
    /// What goes wrong.
    pub trouble: Vec<Trouble>,
}

impl Default for World {
    fn default() -> Self {
        let class = |share, aim_ms, give_up_ms, worth, effect: &str| ClassSpec {
            share,
            work_ms: 80.0,
            cv: 1.0,
            aim_ms,
            give_up_ms,
            worth,
            effect: effect.to_owned(),
        };
        let plan = |share, rate, burst, price| PlanSpec { share, rate, burst, price };
        World {
            name: "world".to_owned(),
            seconds: 20.0,
            doors: 4,
            backends: 12,
            cores: 2,
            queue: 24,
            cold_from: 0.25,
            cold_ms: 10_000.0,
            speed_cv: 0.1,
            fall_multiple: 3.0,
            fall_ms: 1500.0,
            delay_ms: [0.2, 1.0],
            handshake_ms: 2.0,
            idle_ms: 30_000.0,
            notice_ms: [200.0, 2500.0],
            drain_grace_ms: 500.0,
            customers: 200,
            zipf: 0.8,
            load: 0.6,
            spread: 0,
            units: 3.0,
            most_units: 8.0,
            usage: 0.6,
            retries: 2,
            backoff_ms: [50.0, 250.0],
            choice: Choice::Module,
            admission: Admission::Even,
            attempts: 3,
            class: vec![
                class(0.46, 600.0, 2500.0, 3.0, "safe"),
                class(0.27, 750.0, 2000.0, 5.0, "keyed"),
                class(0.27, 750.0, 2500.0, 3.0, "unsafe"),
            ],
            plan: vec![plan(0.6, 2.0, 10.0, 0.6), plan(0.3, 6.0, 15.0, 0.8), plan(0.1, 20.0, 30.0, 1.5)],
            trouble: Vec::new(),
        }
    }
}

impl World {
    /// Reads a world file's text.
    ///
    /// # Errors
    /// What cannot be read, or every figure that cannot be used, each with its field and what was expected.
    pub fn read(text: &str) -> Result<World, Vec<String>> {
        let world: World =
            toml::from_str(text).map_err(|error| vec![error.to_string().trim_end().to_owned()])?;
        let mistakes = world.mistakes();
        if mistakes.is_empty() {
            Ok(world)
        } else {
            Err(mistakes)
        }
    }

    /// Requests a second that the load makes: work of a request of the usual size against all cores.
    pub fn requests_per_second(&self) -> f64 {
        let share: f64 = self.class.iter().map(|class| class.share).sum();
        let work: f64 = self.class.iter().map(|class| class.share * class.work_ms).sum();
        self.load * (self.backends * self.cores) as f64 * 1000.0 * share / work.max(1e-9)
    }

    /// Bytes that a run needs, roughly.
    pub fn bytes(&self) -> f64 {
        let doors = self.doors as f64;
        let spread = if self.spread == 0 { doors } else { doors.min(self.spread as f64) };
        // Every door holds every backend, and each customer at as many doors as its requests come through, but no more than
        // there are requests.
        let requests = self.requests_per_second() * self.seconds;
        doors * self.backends as f64 * 400.0
            + (self.customers as f64 * spread).min(requests) * 250.0
            + requests * 8.0
    }

    /// The effect of a class by its name.
    pub fn effect(class: &ClassSpec) -> Option<Effect> {
        match class.effect.as_str() {
            "safe" => Some(Effect::Safe),
            "keyed" => Some(Effect::Keyed { group: maplefall_policy::Group::All, memory: 2000.0 }),
            "unsafe" => Some(Effect::Unsafe),
            _ => None,
        }
    }

    /// All that cannot be used.
    pub fn mistakes(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut within = |field: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                found.push(format!("{field}: a number from {least} to {most} was expected, not {value}"));
            }
        };
        within("seconds", self.seconds, 0.1, 3600.0);
        within("doors", self.doors as f64, 1.0, 10_000.0);
        within("backends", self.backends as f64, 1.0, 100_000.0);
        within("cores", self.cores as f64, 1.0, 1024.0);
        within("queue", self.queue as f64, 0.0, 1e9);
        within("cold_from", self.cold_from, 0.01, 1.0);
        within("cold_ms", self.cold_ms, 0.0, 3.6e6);
        within("speed_cv", self.speed_cv, 0.0, 2.0);
        within("fall_multiple", self.fall_multiple, 1.0, 1e6);
        within("fall_ms", self.fall_ms, 1.0, 1e6);
        within("handshake_ms", self.handshake_ms, 0.0, 1e4);
        within("idle_ms", self.idle_ms, 1.0, 3.6e6);
        within("drain_grace_ms", self.drain_grace_ms, 0.0, 1e6);
        within("customers", self.customers as f64, 1.0, 1e7);
        within("zipf", self.zipf, 0.0, 4.0);
        within("load", self.load, 0.001, 100.0);
        within("spread", self.spread as f64, 0.0, 10_000.0);
        within("most_units", self.most_units, 1.0, 1e6);
        within("units", self.units, 1.0, self.most_units.max(1.0));
        within("usage", self.usage, 0.0, 100.0);
        within("retries", f64::from(self.retries), 0.0, 10.0);
        within("attempts", f64::from(self.attempts), 1.0, 10.0);
        if let Choice::Aperture(width) = self.choice {
            within("choice.aperture", width as f64, 1.0, 100_000.0);
        }
        let ranges =
            [("delay_ms", self.delay_ms), ("notice_ms", self.notice_ms), ("backoff_ms", self.backoff_ms)];
        for (field, range) in ranges {
            within(&format!("{field}.0"), range[0], 0.0, 1e6);
            within(&format!("{field}.1"), range[1], range[0].max(0.0), 1e6);
        }
        for (at, class) in self.class.iter().enumerate() {
            within(&format!("class.{at}.share"), class.share, 0.0, 1e6);
            within(&format!("class.{at}.work_ms"), class.work_ms, 0.001, 1e6);
            within(&format!("class.{at}.cv"), class.cv, 0.0, 20.0);
            within(&format!("class.{at}.aim_ms"), class.aim_ms, 1.0, 1e7);
            within(&format!("class.{at}.give_up_ms"), class.give_up_ms, class.aim_ms.max(1.0), 1e7);
            within(&format!("class.{at}.worth"), class.worth, 0.0, 1e6);
        }
        for (at, plan) in self.plan.iter().enumerate() {
            within(&format!("plan.{at}.share"), plan.share, 0.0, 1e6);
            within(&format!("plan.{at}.rate"), plan.rate, 0.001, 1e9);
            within(&format!("plan.{at}.burst"), plan.burst, 0.001, 1e9);
            within(&format!("plan.{at}.price"), plan.price, 0.0, 1e6);
        }
        for (at, trouble) in self.trouble.iter().enumerate() {
            // What is drawn after the end would never be played.
            within(&format!("trouble.{at}.at_s"), trouble.at_s(), 0.0, self.seconds);
            match trouble {
                Trouble::RestartDoors { part, down_ms, .. } => {
                    within(&format!("trouble.{at}.part"), *part, 0.0, 1.0);
                    within(&format!("trouble.{at}.down_ms.0"), down_ms[0], 0.0, 1e6);
                    within(&format!("trouble.{at}.down_ms.1"), down_ms[1], down_ms[0].max(0.0), 1e6);
                }
                Trouble::ReplaceBackends { part, over_s, drain_ms, .. } => {
                    within(&format!("trouble.{at}.part"), *part, 0.0, 1.0);
                    within(&format!("trouble.{at}.over_s"), *over_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.drain_ms"), *drain_ms, 0.0, 1e6);
                }
                Trouble::SlowBackends { part, speed, for_s, .. } => {
                    within(&format!("trouble.{at}.part"), *part, 0.0, 1.0);
                    within(&format!("trouble.{at}.speed"), *speed, 0.001, 10.0);
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                }
            }
        }
        for (at, class) in self.class.iter().enumerate() {
            if World::effect(class).is_none() {
                found.push(format!("class.{at}.effect: safe, keyed or unsafe was expected"));
            }
        }
        if self.class.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            found.push("class: one with a share above 0 was expected".to_owned());
        }
        if self.plan.iter().map(|plan| plan.share).sum::<f64>() <= 0.0 {
            found.push("plan: one with a share above 0 was expected".to_owned());
        }
        if found.is_empty() {
            let (requests, bytes) = (self.requests_per_second() * self.seconds, self.bytes());
            if requests > MOST_REQUESTS {
                found.push(format!("load: {requests:.0} requests, {MOST_REQUESTS:.0} at most were expected"));
            }
            if bytes > MOST_BYTES {
                found.push(format!(
                    "doors: a world of {bytes:.0} bytes, {MOST_BYTES:.0} at most were expected"
                ));
            }
        }
        found
    }
}
