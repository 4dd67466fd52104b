//! Draws scenarios at random from the listed kinds. The order of the draws is part of what a seed means: it must not change.

use crate::kinds::{
    Kind, Kinds, Permanence, Target, ALL_BACKENDS, BACKEND_SELECTORS, MACHINE_MODIFIERS,
    MACHINE_SELECTORS, MID_RESPONSE_STOP, PARTITION_EFFECTS,
};
use crate::random::RandomSource;
use crate::scenario::Scenario;
use crate::site::Site;
use toml::{Table, Value};

/// Kinds that are planned changes where the site's own scenarios do not use them: what an operator does deliberately. All other
/// kinds are drawn as faults, around which the rules demand less.
const PLANNED_KINDS: [&str; 7] = [
    "release",
    "scale_in",
    "roll_term",
    "config_change",
    "config_race",
    "bad_config",
    "revoke",
];
/// Kinds that stress the consensus of the control plane, for [`Emphasis::Control`].
const CONTROL_PLANE_KINDS: [&str; 9] = [
    "core_cut",
    "after_ack_kill",
    "after_ack_wipe",
    "disk_stall",
    "node_kill",
    "herd_kill",
    "roll_term",
    "config_race",
    "clock_step",
];
/// Kinds after which a response may be lost, late or mixed up, for [`Emphasis::Answers`].
const RESPONSE_KINDS: [&str; 9] = [
    "answer_lost",
    "garble",
    "srv_crash",
    "scale_in",
    "release",
    "roll_term",
    "herd_kill",
    "node_kill",
    "node_cut",
];
/// Minimum and maximum faults of a scenario, inclusive.
const FAULTS_PER_SCENARIO: (u32, u32) = (4, 12);
/// Minimum and maximum planned changes of a scenario, inclusive.
const CHANGES_PER_SCENARIO: (u32, u32) = (3, 40);
/// The same for [`Emphasis::Long`].
const CHANGES_PER_LONG_SCENARIO: (u32, u32) = (150, 450);
/// Maximum time between the faults of a cluster, in seconds.
const MAX_CLUSTER_SPAN_S: f64 = 3.0;
/// Maximum share of the proxies, and of the backends, that a scenario removes for good: with none left nothing can be served,
/// and a violation proves nothing. Removed control plane machines are replaced.
const MAX_REMOVED_SHARE: f64 = 0.5;
/// Maximum draws per entry; rejected draws are repeated.
const MAX_DRAWS_PER_ENTRY: u32 = 8;
/// Minimum share of an entry.
const MIN_SHARE: f64 = 0.02;
/// Seconds without a start of an entry, at the beginning and at the end of a scenario.
const QUIET_MARGINS_S: (f64, f64) = (0.8, 2.0);
/// Exclusive upper bound of the bench's seeds.
const SEED_LIMIT: u32 = 1 << 30;

/// Which kinds are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Emphasis {
    /// All kinds alike.
    Mixed,
    /// Faults of control plane machines.
    Control,
    /// Faults of backends and proxies that affect responses.
    Answers,
    /// Hundreds of planned changes, and faults of control plane machines.
    Long,
}

/// Generates the scenarios of a site, one after the other from one seed.
pub struct ScenarioGenerator<'a> {
    site: &'a Site,
    kinds: &'a Kinds,
    pile: Emphasis,
    random: RandomSource,
    seed: u64,
    /// Shares that the current scenario may still remove for good: of the proxies, of the backends.
    removal_budget: [f64; 2],
}

impl<'a> ScenarioGenerator<'a> {
    /// A generator for a site; the seed determines all scenarios.
    pub fn new(
        site: &'a Site,
        kinds: &'a Kinds,
        pile: Emphasis,
        seed: u64,
    ) -> ScenarioGenerator<'a> {
        ScenarioGenerator {
            site,
            kinds,
            pile,
            random: RandomSource::new(seed),
            seed,
            removal_budget: [0.0; 2],
        }
    }

    /// The next scenario; `None` if the site has none to start from.
    pub fn scenario(&mut self, number: u32) -> Option<Scenario> {
        self.removal_budget = [MAX_REMOVED_SHARE; 2];
        let mut table = self.random.choose(&self.site.days)?.clone();
        let pile = match self.pile {
            Emphasis::Mixed => "mixed",
            Emphasis::Control => "control",
            Emphasis::Answers => "answers",
            Emphasis::Long => "long",
        };
        let name = format!("{}-{pile}-{}-{number:03}", self.site.name, self.seed);
        table.insert("name".to_owned(), name.clone().into());
        table.insert(
            "seed".to_owned(),
            i64::from(self.random.integer(1, SEED_LIMIT - 1)).into(),
        );
        table.insert("plan".to_owned(), Value::Array(self.plan()));
        table.insert("faults".to_owned(), Value::Array(self.faults()));
        table.remove("closing");
        if let Some(closing) = self.closing() {
            table.insert("closing".to_owned(), closing);
        }
        Some(Scenario { name, table })
    }

    /// Whether a kind is a planned change: as the site's own scenarios use it, else by `PLANNED_KINDS`.
    pub fn planned(&self, kind: &str) -> bool {
        if self.site.planned.contains(kind) != self.site.faults.contains(kind) {
            return self.site.planned.contains(kind);
        }
        PLANNED_KINDS.contains(&kind)
    }

    fn weight(&self, kind: &Kind) -> f64 {
        let leans = match self.pile {
            Emphasis::Mixed => return 1.0,
            Emphasis::Control | Emphasis::Long => {
                CONTROL_PLANE_KINDS.contains(&kind.name.as_str()) || kind.target == Target::Counted
            }
            Emphasis::Answers => {
                RESPONSE_KINDS.contains(&kind.name.as_str()) || kind.target == Target::Backends
            }
        };
        if leans {
            6.0
        } else {
            0.5
        }
    }

    fn plan(&mut self) -> Vec<Value> {
        let all = &self.kinds.kinds;
        let planned: Vec<&Kind> = all.iter().filter(|kind| self.planned(&kind.name)).collect();
        let changes: Vec<&Kind> = planned
            .iter()
            .copied()
            .filter(|kind| kind.target == Target::Orders && !kind.has("count"))
            .collect();
        let (low, high) = if self.pile == Emphasis::Long {
            CHANGES_PER_LONG_SCENARIO
        } else {
            CHANGES_PER_SCENARIO
        };
        // Few changes are as likely as many.
        let wanted = self
            .random
            .log_uniform(f64::from(low), f64::from(high) + 1.0) as u32;
        // Mostly changes of the configuration: those that remove machines wait for each other.
        let single = if self.pile == Emphasis::Long {
            0.98
        } else {
            0.7
        };
        let mut entries = Vec::new();
        // An entry that would remove too much is drawn again.
        for _ in 0..MAX_DRAWS_PER_ENTRY * wanted {
            if entries.len() >= wanted as usize {
                break;
            }
            let weights: Vec<(f64, &Kind)> = planned
                .iter()
                .map(|kind| (self.weight(kind), *kind))
                .collect();
            let kind = if !changes.is_empty() && self.random.chance(single) {
                self.random.choose(&changes).copied()
            } else {
                self.random
                    .choose_weighted(&weights, |(weight, _)| *weight)
                    .map(|(_, kind)| *kind)
            };
            let Some(kind) = kind else { break };
            let at = self.random_time();
            entries.extend(self.entry(kind, at).map(|entry| (at, entry)));
        }
        sorted_by_time(entries)
    }

    fn faults(&mut self) -> Vec<Value> {
        let all = &self.kinds.kinds;
        let faults: Vec<&Kind> = all
            .iter()
            .filter(|kind| !self.planned(&kind.name))
            .collect();
        let wanted = self
            .random
            .integer(FAULTS_PER_SCENARIO.0, FAULTS_PER_SCENARIO.1);
        let clusters: Vec<(f64, Target)> = (0..self.random.integer(1, 3))
            .filter_map(|_| {
                let kind = self.choose_kind(&faults)?;
                Some((self.random_time(), kind.target))
            })
            .collect();
        let mut entries = Vec::new();
        // What would take away too much is drawn anew.
        for _ in 0..MAX_DRAWS_PER_ENTRY * wanted {
            if entries.len() >= wanted as usize {
                break;
            }
            let cluster = if self.random.chance(0.55) {
                self.random.choose(&clusters).copied()
            } else {
                None
            };
            let (kind, at) = match cluster {
                Some((at, target)) => {
                    let alike: Vec<&Kind> = faults
                        .iter()
                        .copied()
                        .filter(|kind| may_cluster(kind.target, target))
                        .collect();
                    let later = at + self.random.uniform(0.0, MAX_CLUSTER_SPAN_S);
                    (
                        self.choose_kind(&alike),
                        later.min(self.site.length_s - QUIET_MARGINS_S.1),
                    )
                }
                None => (self.choose_kind(&faults), self.random_time()),
            };
            let Some(kind) = kind else { break };
            entries.extend(self.entry(kind, at).map(|entry| (at, entry)));
        }
        sorted_by_time(entries)
    }

    fn choose_kind(&mut self, of: &[&'a Kind]) -> Option<&'a Kind> {
        let weights: Vec<(f64, &Kind)> = of.iter().map(|kind| (self.weight(kind), *kind)).collect();
        self.random
            .choose_weighted(&weights, |(weight, _)| *weight)
            .map(|(_, kind)| *kind)
    }

    fn random_time(&mut self) -> f64 {
        self.random
            .uniform(QUIET_MARGINS_S.0, self.site.length_s - QUIET_MARGINS_S.1)
    }

    /// Draws an entry; `None` if it would remove too much.
    fn entry(&mut self, kind: &Kind, at: f64) -> Option<Value> {
        let mut entry = Table::new();
        entry.insert("at".to_owned(), rounded(at, 2));
        entry.insert("kind".to_owned(), kind.name.clone().into());
        let core = self.class(kind, &mut entry);
        self.numbers(kind, core, &mut entry);
        let how = self.how(kind, core);
        if !how.is_empty() {
            entry.insert("how".to_owned(), how.into());
        }
        self.place(kind, core, &mut entry);
        (core || self.stays(kind, &mut entry)).then_some(Value::Table(entry))
    }

    /// Reduces an entry to the remaining removal budget; false if nothing is left of it.
    fn stays(&mut self, kind: &Kind, entry: &mut Table) -> bool {
        let how = entry.get("how").and_then(Value::as_str).unwrap_or_default();
        let permanence = match &kind.permanence {
            Permanence::Never => false,
            Permanence::With(word) => how.split(' ').any(|one| one == word),
            Permanence::Always => true,
        };
        if !permanence {
            return true;
        }
        // With this modifier the bench ignores the share.
        if how.split(' ').any(|one| one == ALL_BACKENDS) {
            return false;
        }
        let left = &mut self.removal_budget[usize::from(kind.target == Target::Backends)];
        let share = entry
            .get("share")
            .and_then(Value::as_float)
            .unwrap_or(1.0)
            .min(*left);
        if share < MIN_SHARE {
            return false;
        }
        *left -= share;
        entry.insert("share".to_owned(), rounded(share, 2));
        true
    }

    /// Draws the class of the affected machines; true for control plane machines.
    fn class(&mut self, kind: &Kind, entry: &mut Table) -> bool {
        if kind.target == Target::Counted {
            return true;
        }
        if !kind.has_class() || !self.site.classes.contains("core") {
            return false;
        }
        let core = match self.pile {
            Emphasis::Mixed => 0.5,
            Emphasis::Control | Emphasis::Long => 0.85,
            Emphasis::Answers => 0.2,
        };
        let core = self.random.chance(core);
        if core {
            entry.insert("on".to_owned(), "core".into());
        }
        core
    }

    fn numbers(&mut self, kind: &Kind, core: bool, entry: &mut Table) {
        let planned = self.planned(&kind.name);
        if kind.has("for_s") || !planned {
            let for_s = match self.random.integer(0, 3) {
                0 => self.random.log_uniform(0.3, 1.5),
                1 | 2 => self.random.log_uniform(1.5, 8.0),
                _ => self.random.log_uniform(8.0, 22.0),
            };
            entry.insert("for_s".to_owned(), rounded(for_s, 1));
        }
        if kind.has("gap_s") {
            entry.insert(
                "gap_s".to_owned(),
                rounded(self.random.log_uniform(0.1, 4.0), 2),
            );
        }
        let (share, count) = (kind.has("share"), kind.has("count"));
        // The bench takes either: a count suits few machines, a share many.
        if count || core && share && kind.target == Target::Machines {
            let most = if core {
                self.site.tolerated_losses + 1
            } else {
                4
            };
            entry.insert(
                "count".to_owned(),
                i64::from(self.random.integer(1, most)).into(),
            );
        } else if share {
            let usual = self.usual(kind, "share").unwrap_or(0.3);
            let share = if self.random.chance(0.15) {
                1.0
            } else {
                usual * self.random.log_uniform(0.4, 2.5)
            };
            entry.insert("share".to_owned(), rounded(share.clamp(0.02, 1.0), 2));
        }
        if kind.has("x") {
            let usual = self.usual(kind, "x").unwrap_or(3.0);
            let x = match usual {
                // A part of what is done.
                usual if usual < 1.0 => {
                    rounded((usual * self.random.log_uniform(0.4, 6.0)).min(0.4), 3)
                }
                // A number at a time.
                1.0 => rounded(f64::from(self.random.integer(1, 3)), 1),
                // Milliseconds of a jump, also far ones, to both sides.
                usual if kind.text.contains("jumps") => {
                    let side = if self.random.chance(0.5) { 1.0 } else { -1.0 };
                    rounded(side * usual * self.random.log_uniform(0.2, 30.0), 0)
                }
                usual => rounded(usual * self.random.log_uniform(0.4, 2.0), 1),
            };
            entry.insert("x".to_owned(), x);
        }
    }

    /// The default of a field: from the list, else from the site's own scenarios.
    fn usual(&self, kind: &Kind, field: &str) -> Option<f64> {
        let listed = kind.fields.get(field).copied().flatten();
        listed.or_else(|| {
            self.site
                .numbers
                .get(&(kind.name.clone(), field.to_owned()))
                .copied()
        })
    }

    fn how(&mut self, kind: &Kind, core: bool) -> String {
        let mut words: Vec<String> = Vec::new();
        // The kind's variants, and those that only the site's scenarios use.
        let seen = self
            .site
            .variants
            .get(&kind.name)
            .into_iter()
            .flatten()
            .cloned();
        let general: Vec<&str> = MACHINE_SELECTORS
            .iter()
            .chain(&MACHINE_MODIFIERS)
            .chain(&BACKEND_SELECTORS)
            .chain(&PARTITION_EFFECTS)
            .chain([&MID_RESPONSE_STOP])
            .copied()
            .collect();
        let seen = seen.filter(|how| how.split(' ').all(|word| !general.contains(&word)));
        let mut own = kind.variants.clone();
        own.extend(seen.filter(|how| !kind.variants.contains(how)));
        // A configuration change always names what it changes.
        let always = kind.target == Target::Orders;
        if always || self.random.chance(0.6) {
            words.extend(self.random.choose(&own).cloned());
            if own.len() > 1 && !always && self.random.chance(0.2) {
                words.extend(self.random.choose(&own).cloned());
            }
        }
        match kind.target {
            Target::Backends => {
                if self.random.chance(0.25) {
                    words.extend(self.choose_modifier(&BACKEND_SELECTORS));
                }
                if kind.name == "answer_lost" && self.random.chance(0.4) {
                    words.extend(self.choose_modifier(&PARTITION_EFFECTS));
                }
            }
            Target::Counted | Target::Machines => {
                if core && self.random.chance(0.6) {
                    words.extend(self.choose_modifier(&MACHINE_SELECTORS));
                }
                for word in MACHINE_MODIFIERS {
                    if core && self.random.chance(0.25) {
                        words.extend(self.choose_modifier(&[word]));
                    }
                }
                if kind.name == "roll_term" && self.random.chance(0.4) {
                    words.extend(self.choose_modifier(&[MID_RESPONSE_STOP]));
                }
                if kind.is_partition() && self.random.chance(0.4) {
                    words.extend(self.choose_modifier(&PARTITION_EFFECTS));
                }
            }
            Target::Orders | Target::Other => {}
        }
        let mut kept: Vec<String> = Vec::new();
        for word in words.iter().flat_map(|how| how.split(' ')) {
            if !kept.iter().any(|one| one == word) {
                kept.push(word.to_owned());
            }
        }
        kept.join(" ")
    }

    fn choose_modifier(&mut self, of: &[&str]) -> Option<String> {
        let named = self.kinds.named(of);
        self.random.choose(&named).map(|word| (*word).to_owned())
    }

    fn place(&mut self, kind: &Kind, core: bool, entry: &mut Table) {
        if core || !self.random.chance(0.2) {
            return;
        }
        let (field, of) = match kind.target {
            Target::Backends => ("service", &self.site.services),
            Target::Machines => ("zone", &self.site.zones),
            _ => return,
        };
        if let Some(name) = self.random.choose(of) {
            entry.insert(field.to_owned(), name.clone().into());
        }
    }

    fn closing(&mut self) -> Option<Value> {
        if self.kinds.closing_kinds.is_empty() || self.random.chance(0.1) {
            return None;
        }
        let kind = self.random.choose(&self.kinds.closing_kinds)?.clone();
        let seen = self.site.closing_variants.get(&kind).into_iter().flatten();
        let variants: Vec<String> = self
            .kinds
            .closing_variants
            .iter()
            .chain(seen)
            .cloned()
            .collect();
        let mut closing = Table::new();
        closing.insert("kind".to_owned(), kind.into());
        closing.insert(
            "down_s".to_owned(),
            rounded(self.random.log_uniform(0.4, 3.0), 2),
        );
        if self.random.chance(0.6) {
            if let Some(how) = self.random.choose(&variants) {
                closing.insert("how".to_owned(), how.clone().into());
            }
        }
        Some(Value::Table(closing))
    }
}

/// Whether two targets may share a cluster: equal ones, and machines of any class with control plane machines.
fn may_cluster(one: Target, other: Target) -> bool {
    let machines = [Target::Counted, Target::Machines];
    one == other || machines.contains(&one) && machines.contains(&other)
}

fn rounded(number: f64, digits: i32) -> Value {
    let scale = 10.0_f64.powi(digits);
    Value::Float((number * scale).round() / scale)
}

fn sorted_by_time(mut entries: Vec<(f64, Value)>) -> Vec<Value> {
    entries.sort_by(|a, b| a.0.total_cmp(&b.0));
    entries.into_iter().map(|(_, entry)| entry).collect()
}
