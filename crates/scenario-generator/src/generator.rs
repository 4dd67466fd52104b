//! Draws scenarios at random from the listed kinds. A seed's scenarios depend on the order of the
//! draws, which must not change.

use crate::kinds::{
    Kind, Kinds, Permanence, Target, ALL_BACKENDS, BACKEND_SELECTORS, MACHINE_MODIFIERS,
    MACHINE_SELECTORS, MID_RESPONSE_STOP, PARTITION_EFFECTS,
};
use crate::random::RandomSource;
use crate::scenario::Scenario;
use crate::site::Site;
use toml::{Table, Value};

/// Kinds that count as planned changes, which an operator makes deliberately, unless the site's
/// standard scenarios decide it. All other kinds are drawn as faults, around which the rules demand
/// less.
const PLANNED_KINDS: [&str; 7] = [
    "release",
    "scale_in",
    "roll_term",
    "config_change",
    "config_race",
    "bad_config",
    "revoke",
];
/// Kinds that stress the consensus of the control plane, for [`Emphasis::ControlPlane`].
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
/// Kinds after which a response can be lost, late or mixed up, for [`Emphasis::Responses`].
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
/// Minimum and maximum number of faults in a scenario, inclusive.
const FAULTS_PER_SCENARIO: (u32, u32) = (4, 12);
/// Minimum and maximum number of planned changes in a scenario, inclusive.
const CHANGES_PER_SCENARIO: (u32, u32) = (3, 40);
/// Minimum and maximum number of planned changes for [`Emphasis::Long`], inclusive.
const CHANGES_PER_LONG_SCENARIO: (u32, u32) = (150, 450);
/// Maximum time between the faults of a cluster, in seconds.
const MAX_CLUSTER_SPAN_S: f64 = 3.0;
/// Maximum share of the proxies, and of the backends, that a scenario removes for good: with none
/// left nothing can be served, and a violation would prove nothing. Removed control plane machines
/// are replaced.
const MAX_REMOVED_SHARE: f64 = 0.5;
/// Maximum number of draws per wanted entry; rejected draws are repeated.
const MAX_DRAWS_PER_ENTRY: u32 = 8;
/// Minimum share of an entry.
const MIN_SHARE: f64 = 0.02;
/// Seconds at the beginning and at the end of a scenario in which no entry starts.
const QUIET_MARGINS_S: (f64, f64) = (0.8, 2.0);
/// Exclusive upper bound of the bench's seeds.
const SEED_LIMIT: u32 = 1 << 30;

/// The kinds that are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Emphasis {
    /// None: all kinds have the same weight.
    Mixed,
    /// Faults of control plane machines.
    ControlPlane,
    /// Faults of backends and proxies that affect responses.
    Responses,
    /// Hundreds of planned changes, and faults of control plane machines.
    Long,
}

/// Generates the scenarios of a site, one after another from one seed.
pub struct ScenarioGenerator<'a> {
    site: &'a Site,
    kinds: &'a Kinds,
    emphasis: Emphasis,
    random: RandomSource,
    seed: u64,
    /// Shares of the proxies and of the backends that the current scenario may still remove for
    /// good.
    removal_budget: [f64; 2],
}

impl<'a> ScenarioGenerator<'a> {
    /// Creates a generator for a site; the seed determines all scenarios.
    pub fn new(
        site: &'a Site,
        kinds: &'a Kinds,
        emphasis: Emphasis,
        seed: u64,
    ) -> ScenarioGenerator<'a> {
        ScenarioGenerator {
            site,
            kinds,
            emphasis,
            random: RandomSource::new(seed),
            seed,
            removal_budget: [0.0; 2],
        }
    }

    /// Draws the next scenario; `None` if the site has no standard scenario to start from.
    pub fn next_scenario(&mut self, number: u32) -> Option<Scenario> {
        self.removal_budget = [MAX_REMOVED_SHARE; 2];
        let mut table = self.random.choose(&self.site.standard_scenarios)?.clone();
        let emphasis = match self.emphasis {
            Emphasis::Mixed => "mixed",
            Emphasis::ControlPlane => "control",
            Emphasis::Responses => "answers",
            Emphasis::Long => "long",
        };
        let name = format!("{}-{emphasis}-{}-{number:03}", self.site.name, self.seed);
        table.insert("name".to_owned(), name.clone().into());
        table.insert(
            "seed".to_owned(),
            i64::from(self.random.integer(1, SEED_LIMIT - 1)).into(),
        );
        table.insert("plan".to_owned(), Value::Array(self.draw_plan()));
        table.insert("faults".to_owned(), Value::Array(self.draw_faults()));
        table.remove("closing");
        if let Some(closing) = self.draw_closing() {
            table.insert("closing".to_owned(), closing);
        }
        Some(Scenario { name, table })
    }

    /// Returns whether a kind is a planned change: as the site's standard scenarios use it, else by
    /// `PLANNED_KINDS`.
    pub fn is_planned(&self, kind: &str) -> bool {
        if self.site.planned_kinds.contains(kind) != self.site.fault_kinds.contains(kind) {
            return self.site.planned_kinds.contains(kind);
        }
        PLANNED_KINDS.contains(&kind)
    }

    fn weight(&self, kind: &Kind) -> f64 {
        let preferred = match self.emphasis {
            Emphasis::Mixed => return 1.0,
            Emphasis::ControlPlane | Emphasis::Long => {
                CONTROL_PLANE_KINDS.contains(&kind.name.as_str()) || kind.target == Target::Counted
            }
            Emphasis::Responses => {
                RESPONSE_KINDS.contains(&kind.name.as_str()) || kind.target == Target::Backends
            }
        };
        if preferred {
            6.0
        } else {
            0.5
        }
    }

    fn draw_plan(&mut self) -> Vec<Value> {
        let all = &self.kinds.kinds;
        let planned: Vec<&Kind> = all
            .iter()
            .filter(|kind| self.is_planned(&kind.name))
            .collect();
        let changes: Vec<&Kind> = planned
            .iter()
            .copied()
            .filter(|kind| kind.target == Target::Orders && !kind.has_field("count"))
            .collect();
        let (low, high) = if self.emphasis == Emphasis::Long {
            CHANGES_PER_LONG_SCENARIO
        } else {
            CHANGES_PER_SCENARIO
        };
        // Log-uniform: small numbers of changes are as likely as large ones.
        let target_count = self
            .random
            .log_uniform(f64::from(low), f64::from(high) + 1.0) as u32;
        // Most are configuration changes: changes that remove machines wait for each other.
        let change_probability = if self.emphasis == Emphasis::Long {
            0.98
        } else {
            0.7
        };
        let mut entries = Vec::new();
        // An entry that would exceed the removal budget is drawn again.
        for _ in 0..MAX_DRAWS_PER_ENTRY * target_count {
            if entries.len() >= target_count as usize {
                break;
            }
            let weights: Vec<(f64, &Kind)> = planned
                .iter()
                .map(|kind| (self.weight(kind), *kind))
                .collect();
            let kind = if !changes.is_empty() && self.random.chance(change_probability) {
                self.random.choose(&changes).copied()
            } else {
                self.random
                    .choose_weighted(&weights, |(weight, _)| *weight)
                    .map(|(_, kind)| *kind)
            };
            let Some(kind) = kind else { break };
            let at = self.random_time();
            entries.extend(self.draw_entry(kind, at).map(|entry| (at, entry)));
        }
        sorted_by_time(entries)
    }

    fn draw_faults(&mut self) -> Vec<Value> {
        let all = &self.kinds.kinds;
        let faults: Vec<&Kind> = all
            .iter()
            .filter(|kind| !self.is_planned(&kind.name))
            .collect();
        let target_count = self
            .random
            .integer(FAULTS_PER_SCENARIO.0, FAULTS_PER_SCENARIO.1);
        let clusters: Vec<(f64, Target)> = (0..self.random.integer(1, 3))
            .filter_map(|_| {
                let kind = self.choose_kind(&faults)?;
                Some((self.random_time(), kind.target))
            })
            .collect();
        let mut entries = Vec::new();
        // An entry that would exceed the removal budget is drawn again.
        for _ in 0..MAX_DRAWS_PER_ENTRY * target_count {
            if entries.len() >= target_count as usize {
                break;
            }
            let cluster = if self.random.chance(0.55) {
                self.random.choose(&clusters).copied()
            } else {
                None
            };
            let (kind, at) = match cluster {
                Some((at, target)) => {
                    let candidates: Vec<&Kind> = faults
                        .iter()
                        .copied()
                        .filter(|kind| may_cluster(kind.target, target))
                        .collect();
                    let later = at + self.random.uniform(0.0, MAX_CLUSTER_SPAN_S);
                    (
                        self.choose_kind(&candidates),
                        later.min(self.site.length_s - QUIET_MARGINS_S.1),
                    )
                }
                None => (self.choose_kind(&faults), self.random_time()),
            };
            let Some(kind) = kind else { break };
            entries.extend(self.draw_entry(kind, at).map(|entry| (at, entry)));
        }
        sorted_by_time(entries)
    }

    fn choose_kind(&mut self, candidates: &[&'a Kind]) -> Option<&'a Kind> {
        let weights: Vec<(f64, &Kind)> = candidates
            .iter()
            .map(|kind| (self.weight(kind), *kind))
            .collect();
        self.random
            .choose_weighted(&weights, |(weight, _)| *weight)
            .map(|(_, kind)| *kind)
    }

    fn random_time(&mut self) -> f64 {
        self.random
            .uniform(QUIET_MARGINS_S.0, self.site.length_s - QUIET_MARGINS_S.1)
    }

    /// Draws an entry; `None` if it would exceed the removal budget.
    fn draw_entry(&mut self, kind: &Kind, at: f64) -> Option<Value> {
        let mut entry = Table::new();
        entry.insert("at".to_owned(), rounded(at, 2));
        entry.insert("kind".to_owned(), kind.name.clone().into());
        let control_plane = self.draw_class(kind, &mut entry);
        self.draw_numbers(kind, control_plane, &mut entry);
        let how = self.draw_how(kind, control_plane);
        if !how.is_empty() {
            entry.insert("how".to_owned(), how.into());
        }
        self.draw_location(kind, control_plane, &mut entry);
        (control_plane || self.fit_removal_budget(kind, &mut entry)).then_some(Value::Table(entry))
    }

    /// Limits an entry to the remaining removal budget; false if it does not fit.
    fn fit_removal_budget(&mut self, kind: &Kind, entry: &mut Table) -> bool {
        let how = entry.get("how").and_then(Value::as_str).unwrap_or_default();
        let permanence = match &kind.permanence {
            Permanence::Never => false,
            Permanence::With(word) => how.split(' ').any(|known| known == word),
            Permanence::Always => true,
        };
        if !permanence {
            return true;
        }
        // With this modifier the bench ignores the share.
        if how.split(' ').any(|known| known == ALL_BACKENDS) {
            return false;
        }
        let remaining = &mut self.removal_budget[usize::from(kind.target == Target::Backends)];
        let share = entry
            .get("share")
            .and_then(Value::as_float)
            .unwrap_or(1.0)
            .min(*remaining);
        if share < MIN_SHARE {
            return false;
        }
        *remaining -= share;
        entry.insert("share".to_owned(), rounded(share, 2));
        true
    }

    /// Draws the class of the affected machines; returns true for control plane machines.
    fn draw_class(&mut self, kind: &Kind, entry: &mut Table) -> bool {
        if kind.target == Target::Counted {
            return true;
        }
        if !kind.has_class() || !self.site.classes.contains("core") {
            return false;
        }
        let control_plane = match self.emphasis {
            Emphasis::Mixed => 0.5,
            Emphasis::ControlPlane | Emphasis::Long => 0.85,
            Emphasis::Responses => 0.2,
        };
        let control_plane = self.random.chance(control_plane);
        if control_plane {
            entry.insert("on".to_owned(), "core".into());
        }
        control_plane
    }

    fn draw_numbers(&mut self, kind: &Kind, control_plane: bool, entry: &mut Table) {
        let planned = self.is_planned(&kind.name);
        if kind.has_field("for_s") || !planned {
            let for_s = match self.random.integer(0, 3) {
                0 => self.random.log_uniform(0.3, 1.5),
                1 | 2 => self.random.log_uniform(1.5, 8.0),
                _ => self.random.log_uniform(8.0, 22.0),
            };
            entry.insert("for_s".to_owned(), rounded(for_s, 1));
        }
        if kind.has_field("gap_s") {
            entry.insert(
                "gap_s".to_owned(),
                rounded(self.random.log_uniform(0.1, 4.0), 2),
            );
        }
        let (share, count) = (kind.has_field("share"), kind.has_field("count"));
        // The bench takes either; a count suits few machines and a share many.
        if count || control_plane && share && kind.target == Target::Machines {
            let max_count = if control_plane {
                self.site.tolerated_losses + 1
            } else {
                4
            };
            entry.insert(
                "count".to_owned(),
                i64::from(self.random.integer(1, max_count)).into(),
            );
        } else if share {
            let default = self.default_value(kind, "share").unwrap_or(0.3);
            let share = if self.random.chance(0.15) {
                1.0
            } else {
                default * self.random.log_uniform(0.4, 2.5)
            };
            entry.insert("share".to_owned(), rounded(share.clamp(0.02, 1.0), 2));
        }
        if kind.has_field("x") {
            let default = self.default_value(kind, "x").unwrap_or(3.0);
            let x = match default {
                // A fraction of the operations.
                default if default < 1.0 => {
                    rounded((default * self.random.log_uniform(0.4, 6.0)).min(0.4), 3)
                }
                // A number of targets at a time.
                1.0 => rounded(f64::from(self.random.integer(1, 3)), 1),
                // Milliseconds of a clock jump in either direction, including large ones.
                default if kind.text.contains("jumps") => {
                    let sign = if self.random.chance(0.5) { 1.0 } else { -1.0 };
                    rounded(sign * default * self.random.log_uniform(0.2, 30.0), 0)
                }
                default => rounded(default * self.random.log_uniform(0.4, 2.0), 1),
            };
            entry.insert("x".to_owned(), x);
        }
    }

    /// Returns the default of a field: from the list, else from the site file.
    fn default_value(&self, kind: &Kind, field: &str) -> Option<f64> {
        let listed = kind.fields.get(field).copied().flatten();
        listed.or_else(|| {
            self.site
                .field_values
                .get(&(kind.name.clone(), field.to_owned()))
                .copied()
        })
    }

    fn draw_how(&mut self, kind: &Kind, control_plane: bool) -> String {
        let mut selected: Vec<String> = Vec::new();
        // The kind's variants, and further ones that only the site file uses.
        let site_variants = self
            .site
            .variants
            .get(&kind.name)
            .into_iter()
            .flatten()
            .cloned();
        let modifiers: Vec<&str> = MACHINE_SELECTORS
            .iter()
            .chain(&MACHINE_MODIFIERS)
            .chain(&BACKEND_SELECTORS)
            .chain(&PARTITION_EFFECTS)
            .chain([&MID_RESPONSE_STOP])
            .copied()
            .collect();
        let site_variants =
            site_variants.filter(|how| how.split(' ').all(|word| !modifiers.contains(&word)));
        let mut variants = kind.variants.clone();
        variants.extend(site_variants.filter(|how| !kind.variants.contains(how)));
        // A configuration change always has a variant that names what it changes.
        let required = kind.target == Target::Orders;
        if required || self.random.chance(0.6) {
            selected.extend(self.random.choose(&variants).cloned());
            if variants.len() > 1 && !required && self.random.chance(0.2) {
                selected.extend(self.random.choose(&variants).cloned());
            }
        }
        match kind.target {
            Target::Backends => {
                if self.random.chance(0.25) {
                    selected.extend(self.choose_modifier(&BACKEND_SELECTORS));
                }
                if kind.name == "answer_lost" && self.random.chance(0.4) {
                    selected.extend(self.choose_modifier(&PARTITION_EFFECTS));
                }
            }
            Target::Counted | Target::Machines => {
                if control_plane && self.random.chance(0.6) {
                    selected.extend(self.choose_modifier(&MACHINE_SELECTORS));
                }
                for word in MACHINE_MODIFIERS {
                    if control_plane && self.random.chance(0.25) {
                        selected.extend(self.choose_modifier(&[word]));
                    }
                }
                if kind.name == "roll_term" && self.random.chance(0.4) {
                    selected.extend(self.choose_modifier(&[MID_RESPONSE_STOP]));
                }
                if kind.is_partition() && self.random.chance(0.4) {
                    selected.extend(self.choose_modifier(&PARTITION_EFFECTS));
                }
            }
            Target::Orders | Target::Other => {}
        }
        let mut unique: Vec<String> = Vec::new();
        for word in selected.iter().flat_map(|how| how.split(' ')) {
            if !unique.iter().any(|known| known == word) {
                unique.push(word.to_owned());
            }
        }
        unique.join(" ")
    }

    fn choose_modifier(&mut self, candidates: &[&str]) -> Option<String> {
        let listed = self.kinds.listed_modifiers(candidates);
        self.random.choose(&listed).map(|word| (*word).to_owned())
    }

    fn draw_location(&mut self, kind: &Kind, control_plane: bool, entry: &mut Table) {
        if control_plane || !self.random.chance(0.2) {
            return;
        }
        let (field, names) = match kind.target {
            Target::Backends => ("service", &self.site.services),
            Target::Machines => ("zone", &self.site.zones),
            _ => return,
        };
        if let Some(name) = self.random.choose(names) {
            entry.insert(field.to_owned(), name.clone().into());
        }
    }

    fn draw_closing(&mut self) -> Option<Value> {
        if self.kinds.closing_kinds.is_empty() || self.random.chance(0.1) {
            return None;
        }
        let kind = self.random.choose(&self.kinds.closing_kinds)?.clone();
        let site_variants = self.site.closing_variants.get(&kind).into_iter().flatten();
        let variants: Vec<String> = self
            .kinds
            .closing_variants
            .iter()
            .chain(site_variants)
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

/// Returns whether two targets may share a cluster: equal ones, and machines of any class with
/// control plane machines.
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
