//! Days, drawn by chance from the kinds that there are.

use crate::kinds::{
    Kind, Kinds, Leaves, Struck, BACKENDS, BESIDES, BUSY, CUTS, NONE_SPARED, WHICH,
};
use crate::luck::Luck;
use crate::site::Site;
use toml::{Table, Value};

/// Planned work, for sites whose own days do not have the kind: what an operator does by himself, in the list's words "stop",
/// "replaced", "drain", "change of the config". What is in neither place is drawn as a fault, around which the rules ask less.
const PLANNED: [&str; 7] = [
    "release",
    "scale_in",
    "roll_term",
    "config_change",
    "config_race",
    "bad_config",
    "revoke",
];
/// Kinds that lean on the agreement of the counted machines, for [`Pile::Control`].
const CONTROL: [&str; 9] = [
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
/// Kinds after which an answer may be lost, late or somebody else's, for [`Pile::Answers`].
const ANSWERS: [&str; 9] = [
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
/// Faults of a day, from and through.
const FAULTS: (u32, u32) = (4, 12);
/// Planned works of a day, from and through.
const PLAN: (u32, u32) = (3, 40);
/// The same for [`Pile::Long`].
const LONG_PLAN: (u32, u32) = (150, 450);
/// Faults of a clump are this far from each other at most, in seconds.
const CLUMP_S: f64 = 3.0;
/// The part of the doors, and of the backends, that leaves for good in a day at most: where nobody is left, nobody can serve, and
/// what is broken then is nobody's fault. Counted machines that leave have successors.
const LEAVE_AT_MOST: f64 = 0.5;
/// Draws for each entry at most.
const TRIES: u32 = 8;
/// Less than this is not worth an entry.
const LEAST_SHARE: f64 = 0.02;
/// Nothing starts before the first of these, nor later than the second before the end of the day, in seconds.
const EDGES_S: (f64, f64) = (0.8, 2.0);
/// How the fields of an entry follow one another in a file; others come after them.
const ORDER: [&str; 11] = [
    "at", "kind", "on", "zone", "service", "share", "count", "x", "for_s", "gap_s", "how",
];
/// The bench's seeds are below this.
const SEEDS: u32 = 1 << 30;

/// What the days lean to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pile {
    /// To nothing.
    Mixed,
    /// To losses among the counted machines.
    Control,
    /// To backends and doors that answer badly or not.
    Answers,
    /// To hundreds of changes, and losses among the counted machines.
    Long,
}

/// One day.
pub struct Day {
    /// Its name, also of its file.
    pub name: String,
    /// What stands in it.
    pub table: Table,
}

impl Day {
    /// The day as the bench reads it: a line for each entry.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.table {
            match value
                .as_array()
                .filter(|list| list.iter().any(Value::is_table))
            {
                Some(list) => {
                    text.push_str(&format!("{key} = [\n"));
                    for entry in list {
                        text.push_str(&format!("  {},\n", inline(entry)));
                    }
                    text.push_str("]\n");
                }
                None => text.push_str(&format!("{key} = {value}\n")),
            }
        }
        text
    }
}

/// Draws days.
pub struct Drawer<'a> {
    site: &'a Site,
    kinds: &'a Kinds,
    pile: Pile,
    luck: Luck,
    seed: u64,
    /// What may still leave for good on the day that is drawn: of the doors, of the backends.
    may_leave: [f64; 2],
}

impl<'a> Drawer<'a> {
    /// What days of a site are drawn with.
    pub fn new(site: &'a Site, kinds: &'a Kinds, pile: Pile, seed: u64) -> Drawer<'a> {
        Drawer {
            site,
            kinds,
            pile,
            luck: Luck::new(seed),
            seed,
            may_leave: [0.0; 2],
        }
    }

    /// The next day. `None` if the site has none to start from.
    pub fn day(&mut self, number: u32) -> Option<Day> {
        self.may_leave = [LEAVE_AT_MOST; 2];
        let mut table = self.luck.one_of(&self.site.days)?.clone();
        let pile = match self.pile {
            Pile::Mixed => "mixed",
            Pile::Control => "control",
            Pile::Answers => "answers",
            Pile::Long => "long",
        };
        let name = format!("{}-{pile}-{}-{number:03}", self.site.name, self.seed);
        table.insert("name".to_owned(), name.clone().into());
        table.insert(
            "seed".to_owned(),
            i64::from(self.luck.whole(1, SEEDS - 1)).into(),
        );
        table.insert("plan".to_owned(), Value::Array(self.plan()));
        table.insert("faults".to_owned(), Value::Array(self.faults()));
        table.remove("closing");
        if let Some(closing) = self.closing() {
            table.insert("closing".to_owned(), closing);
        }
        Some(Day { name, table })
    }

    /// Whether a kind is planned work: as the site's own days have it, or as the table above.
    pub fn planned(&self, kind: &str) -> bool {
        if self.site.planned.contains(kind) != self.site.faults.contains(kind) {
            return self.site.planned.contains(kind);
        }
        PLANNED.contains(&kind)
    }

    fn weight(&self, kind: &Kind) -> f64 {
        let leans = match self.pile {
            Pile::Mixed => return 1.0,
            Pile::Control | Pile::Long => {
                CONTROL.contains(&kind.name.as_str()) || kind.struck == Struck::Counted
            }
            Pile::Answers => {
                ANSWERS.contains(&kind.name.as_str()) || kind.struck == Struck::Backends
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
            .filter(|kind| kind.struck == Struck::Orders && !kind.has("count"))
            .collect();
        let (low, high) = if self.pile == Pile::Long {
            LONG_PLAN
        } else {
            PLAN
        };
        // Days with few works are as likely as days with many.
        let many = self.luck.factor(f64::from(low), f64::from(high) + 1.0) as u32;
        // All but some are single changes: works that take machines away wait for each other.
        let single = if self.pile == Pile::Long { 0.98 } else { 0.7 };
        let mut entries = Vec::new();
        // What would take away too much is drawn anew.
        for _ in 0..TRIES * many {
            if entries.len() >= many as usize {
                break;
            }
            let weights: Vec<(f64, &Kind)> = planned
                .iter()
                .map(|kind| (self.weight(kind), *kind))
                .collect();
            let kind = if !changes.is_empty() && self.luck.chance(single) {
                self.luck.one_of(&changes).copied()
            } else {
                self.luck
                    .weighed(&weights, |(weight, _)| *weight)
                    .map(|(_, kind)| *kind)
            };
            let Some(kind) = kind else { break };
            let at = self.moment();
            entries.extend(self.entry(kind, at).map(|entry| (at, entry)));
        }
        in_order(entries)
    }

    fn faults(&mut self) -> Vec<Value> {
        let all = &self.kinds.kinds;
        let faults: Vec<&Kind> = all
            .iter()
            .filter(|kind| !self.planned(&kind.name))
            .collect();
        let many = self.luck.whole(FAULTS.0, FAULTS.1);
        let clumps: Vec<(f64, Struck)> = (0..self.luck.whole(1, 3))
            .filter_map(|_| {
                let kind = self.draw_of(&faults)?;
                Some((self.moment(), kind.struck))
            })
            .collect();
        let mut entries = Vec::new();
        // What would take away too much is drawn anew.
        for _ in 0..TRIES * many {
            if entries.len() >= many as usize {
                break;
            }
            let clump = if self.luck.chance(0.55) {
                self.luck.one_of(&clumps).copied()
            } else {
                None
            };
            let (kind, at) = match clump {
                Some((at, struck)) => {
                    let alike: Vec<&Kind> = faults
                        .iter()
                        .copied()
                        .filter(|kind| near(kind.struck, struck))
                        .collect();
                    let later = at + self.luck.between(0.0, CLUMP_S);
                    (
                        self.draw_of(&alike),
                        later.min(self.site.length_s - EDGES_S.1),
                    )
                }
                None => (self.draw_of(&faults), self.moment()),
            };
            let Some(kind) = kind else { break };
            entries.extend(self.entry(kind, at).map(|entry| (at, entry)));
        }
        in_order(entries)
    }

    fn draw_of(&mut self, of: &[&'a Kind]) -> Option<&'a Kind> {
        let weights: Vec<(f64, &Kind)> = of.iter().map(|kind| (self.weight(kind), *kind)).collect();
        self.luck
            .weighed(&weights, |(weight, _)| *weight)
            .map(|(_, kind)| *kind)
    }

    fn moment(&mut self) -> f64 {
        self.luck.between(EDGES_S.0, self.site.length_s - EDGES_S.1)
    }

    /// Draws an entry. `None` if it would take away what has to stay.
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

    /// Cuts an entry down to what may leave for good.
    fn stays(&mut self, kind: &Kind, entry: &mut Table) -> bool {
        let how = entry.get("how").and_then(Value::as_str).unwrap_or_default();
        let leaves = match &kind.leaves {
            Leaves::Never => false,
            Leaves::With(word) => how.split(' ').any(|one| one == word),
            Leaves::Always => true,
        };
        if !leaves {
            return true;
        }
        // Where none is spared, the share says nothing.
        if how.split(' ').any(|one| one == NONE_SPARED) {
            return false;
        }
        let left = &mut self.may_leave[usize::from(kind.struck == Struck::Backends)];
        let share = entry
            .get("share")
            .and_then(Value::as_float)
            .unwrap_or(1.0)
            .min(*left);
        if share < LEAST_SHARE {
            return false;
        }
        *left -= share;
        entry.insert("share".to_owned(), rounded(share, 2));
        true
    }

    /// Draws the class of the machines that are struck; true if they are counted ones.
    fn class(&mut self, kind: &Kind, entry: &mut Table) -> bool {
        if kind.struck == Struck::Counted {
            return true;
        }
        if !kind.has_class() || !self.site.classes.contains("core") {
            return false;
        }
        let core = match self.pile {
            Pile::Mixed => 0.5,
            Pile::Control | Pile::Long => 0.85,
            Pile::Answers => 0.2,
        };
        let core = self.luck.chance(core);
        if core {
            entry.insert("on".to_owned(), "core".into());
        }
        core
    }

    fn numbers(&mut self, kind: &Kind, core: bool, entry: &mut Table) {
        let planned = self.planned(&kind.name);
        if kind.has("for_s") || !planned {
            let for_s = match self.luck.whole(0, 3) {
                0 => self.luck.factor(0.3, 1.5),
                1 | 2 => self.luck.factor(1.5, 8.0),
                _ => self.luck.factor(8.0, 22.0),
            };
            entry.insert("for_s".to_owned(), rounded(for_s, 1));
        }
        if kind.has("gap_s") {
            entry.insert("gap_s".to_owned(), rounded(self.luck.factor(0.1, 4.0), 2));
        }
        let (share, count) = (kind.has("share"), kind.has("count"));
        // Of few machines a number is named, of many a part: the bench takes one of them.
        if count || core && share && kind.struck == Struck::Machines {
            let most = if core { self.site.losses + 1 } else { 4 };
            entry.insert(
                "count".to_owned(),
                i64::from(self.luck.whole(1, most)).into(),
            );
        } else if share {
            let usual = self.usual(kind, "share").unwrap_or(0.3);
            let share = if self.luck.chance(0.15) {
                1.0
            } else {
                usual * self.luck.factor(0.4, 2.5)
            };
            entry.insert("share".to_owned(), rounded(share.clamp(0.02, 1.0), 2));
        }
        if kind.has("x") {
            let usual = self.usual(kind, "x").unwrap_or(3.0);
            let x = match usual {
                // A part of what is done.
                usual if usual < 1.0 => rounded((usual * self.luck.factor(0.4, 6.0)).min(0.4), 3),
                // A number at a time.
                1.0 => rounded(f64::from(self.luck.whole(1, 3)), 1),
                // Milliseconds of a jump, also far ones, to both sides.
                usual if kind.text.contains("jumps") => {
                    let side = if self.luck.chance(0.5) { 1.0 } else { -1.0 };
                    rounded(side * usual * self.luck.factor(0.2, 30.0), 0)
                }
                usual => rounded(usual * self.luck.factor(0.4, 2.0), 1),
            };
            entry.insert("x".to_owned(), x);
        }
    }

    /// What the site's own days have, or else what the list gives.
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
        // Own variants, also those that stand only in the site's days.
        let seen = self
            .site
            .hows
            .get(&kind.name)
            .into_iter()
            .flatten()
            .cloned();
        let general: Vec<&str> = WHICH
            .iter()
            .chain(&BESIDES)
            .chain(&BACKENDS)
            .chain(&CUTS)
            .chain([&BUSY])
            .copied()
            .collect();
        let seen = seen.filter(|how| how.split(' ').all(|word| !general.contains(&word)));
        let mut own = kind.hows.clone();
        own.extend(seen.filter(|how| !kind.hows.contains(how)));
        // An order names what it changes, always.
        let always = kind.struck == Struck::Orders;
        if always || self.luck.chance(0.6) {
            words.extend(self.luck.one_of(&own).cloned());
            if own.len() > 1 && !always && self.luck.chance(0.2) {
                words.extend(self.luck.one_of(&own).cloned());
            }
        }
        match kind.struck {
            Struck::Backends => {
                if self.luck.chance(0.25) {
                    words.extend(self.one_general(&BACKENDS));
                }
                if kind.name == "answer_lost" && self.luck.chance(0.4) {
                    words.extend(self.one_general(&CUTS));
                }
            }
            Struck::Counted | Struck::Machines => {
                if core && self.luck.chance(0.6) {
                    words.extend(self.one_general(&WHICH));
                }
                for word in BESIDES {
                    if core && self.luck.chance(0.25) {
                        words.extend(self.one_general(&[word]));
                    }
                }
                if kind.name == "roll_term" && self.luck.chance(0.4) {
                    words.extend(self.one_general(&[BUSY]));
                }
                if kind.cuts() && self.luck.chance(0.4) {
                    words.extend(self.one_general(&CUTS));
                }
            }
            Struck::Orders | Struck::Other => {}
        }
        let mut kept: Vec<String> = Vec::new();
        for word in words.iter().flat_map(|how| how.split(' ')) {
            if !kept.iter().any(|one| one == word) {
                kept.push(word.to_owned());
            }
        }
        kept.join(" ")
    }

    fn one_general(&mut self, of: &[&str]) -> Option<String> {
        let named = self.kinds.named(of);
        self.luck.one_of(&named).map(|word| (*word).to_owned())
    }

    fn place(&mut self, kind: &Kind, core: bool, entry: &mut Table) {
        if core || !self.luck.chance(0.2) {
            return;
        }
        let (field, of) = match kind.struck {
            Struck::Backends => ("service", &self.site.services),
            Struck::Machines => ("zone", &self.site.zones),
            _ => return,
        };
        if let Some(name) = self.luck.one_of(of) {
            entry.insert(field.to_owned(), name.clone().into());
        }
    }

    fn closing(&mut self) -> Option<Value> {
        if self.kinds.closings.is_empty() || self.luck.chance(0.1) {
            return None;
        }
        let kind = self.luck.one_of(&self.kinds.closings)?.clone();
        let seen = self.site.closing_hows.get(&kind).into_iter().flatten();
        let hows: Vec<String> = self
            .kinds
            .closing_hows
            .iter()
            .chain(seen)
            .cloned()
            .collect();
        let mut closing = Table::new();
        closing.insert("kind".to_owned(), kind.into());
        closing.insert("down_s".to_owned(), rounded(self.luck.factor(0.4, 3.0), 2));
        if self.luck.chance(0.6) {
            if let Some(how) = self.luck.one_of(&hows) {
                closing.insert("how".to_owned(), how.clone().into());
            }
        }
        Some(Value::Table(closing))
    }
}

/// What falls into one clump: the same things, and machines of any class beside the counted ones.
fn near(one: Struck, other: Struck) -> bool {
    let machines = [Struck::Counted, Struck::Machines];
    one == other || machines.contains(&one) && machines.contains(&other)
}

/// An entry on one line, when and what first.
fn inline(entry: &Value) -> String {
    let Some(table) = entry.as_table() else {
        return entry.to_string();
    };
    let mut fields: Vec<(&String, &Value)> = table.iter().collect();
    let place = |field: &str| {
        ORDER
            .iter()
            .position(|one| *one == field)
            .unwrap_or(ORDER.len())
    };
    fields.sort_by_key(|(field, _)| place(field));
    let fields: Vec<String> = fields
        .into_iter()
        .map(|(field, value)| format!("{field} = {value}"))
        .collect();
    format!("{{ {} }}", fields.join(", "))
}

fn rounded(number: f64, digits: i32) -> Value {
    let scale = 10.0_f64.powi(digits);
    Value::Float((number * scale).round() / scale)
}

fn in_order(mut entries: Vec<(f64, Value)>) -> Vec<Value> {
    entries.sort_by(|a, b| a.0.total_cmp(&b.0));
    entries.into_iter().map(|(_, entry)| entry).collect()
}
