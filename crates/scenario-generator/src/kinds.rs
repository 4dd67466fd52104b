//! The list of kinds, read from the bench's text.
//!
//! The text has a head of prose and then a line for each kind: `kind: what it does; how: a, b (what b is), c`. A value that an
//! entry has where it says nothing stands in brackets behind the field's name: `share (.15)`, `x ms (2000)`.

use crate::error::Error;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Numbers that an entry may have.
pub const FIELDS: [&str; 5] = ["for_s", "gap_s", "share", "count", "x"];

/// What a kind strikes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Struck {
    /// Machines whose loss is counted.
    Counted,
    /// Machines of any class, those whose loss is counted among them.
    Machines,
    /// Backends.
    Backends,
    /// Orders of the operator.
    Orders,
    /// Whatever else: clients, clocks.
    Other,
}

/// A kind of trouble or of planned work.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// What the list says about it.
    pub text: String,
    /// Its own variants.
    pub hows: Vec<String>,
    /// The numbers that it has, with the values that hold where an entry names none.
    pub fields: BTreeMap<String, Option<f64>>,
    /// What it strikes.
    pub struck: Struck,
    /// Whether what it strikes stays away.
    pub leaves: Leaves,
}

/// Whether what a kind strikes stays away for the rest of the day.
#[derive(Clone, Debug, PartialEq)]
pub enum Leaves {
    /// It comes back, or others come for it.
    Never,
    /// With this word among its `how`.
    With(String),
    /// It does.
    Always,
}

/// All kinds, and what the head of the list says of all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kinds {
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Words that an entry's `how` may hold besides its kind's own, as far as the head names them.
    pub words: BTreeSet<String>,
    /// Kinds of faults at a day's end.
    pub closings: Vec<String>,
    /// Their variants.
    pub closing_hows: Vec<String>,
}

/// Words for which machine is struck.
pub const WHICH: [&str; 3] = ["leader", "reader", "seed"];
/// Words for what is done besides, after those for which machine.
pub const BESIDES: [&str; 4] = ["meet", "race", "hard", "drain"];
/// Words for which backends are struck.
pub const BACKENDS: [&str; 2] = ["across", NONE_SPARED];
/// The word with which all of a service's backends are struck, whatever the share.
pub const NONE_SPARED: &str = "all";
/// Words for how a cut shows.
pub const CUTS: [&str; 2] = ["reset", "refuse"];
/// The word for a stop in the middle of an answer; the head says for which kind.
pub const BUSY: &str = "busy";

impl Kinds {
    /// Reads a list that the bench has printed.
    pub fn load(file: &Path) -> Result<Kinds, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_owned(), error))?;
        let kinds = Kinds::read(&text);
        if kinds.kinds.is_empty() {
            return Err(Error::NoKinds(file.to_owned()));
        }
        Ok(kinds)
    }

    /// Reads the text of a list. Lines that are neither are passed over.
    pub fn read(text: &str) -> Kinds {
        let (mut kinds, mut head) = (Vec::new(), Vec::new());
        for line in text.lines() {
            match line.split_once(':') {
                Some((name, text)) if is_name(name) && !text.trim().is_empty() => {
                    let kind = Kind::read(name, text.trim(), kinds.last());
                    kinds.push(kind);
                }
                // Prose may have colons too; what stands before them is no name.
                _ => head.push(line),
            }
        }
        let head = head.join(" ");
        let all_words: BTreeSet<&str> = words(&head).collect();
        let general = WHICH
            .iter()
            .chain(&BESIDES)
            .chain(&BACKENDS)
            .chain(&CUTS)
            .chain([&BUSY]);
        let general = general
            .filter(|word| all_words.contains(**word))
            .map(|word| (*word).to_owned());
        let (closings, closing_hows) = closing(&head);
        Kinds {
            words: general.collect(),
            kinds,
            closings,
            closing_hows,
        }
    }

    /// The kind of this name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Those of some words that the head names.
    pub fn named<'a>(&self, of: &[&'a str]) -> Vec<&'a str> {
        of.iter()
            .copied()
            .filter(|word| self.words.contains(*word))
            .collect()
    }
}

impl Kind {
    fn read(name: &str, text: &str, before: Option<&Kind>) -> Kind {
        let mut hows = Vec::new();
        let mut told = Vec::new();
        let mut leaves = Leaves::Never;
        for part in split(text, ';') {
            let part = part.trim();
            match part.strip_prefix("how") {
                // `how: a, b (what b is)`, and words alone where there is nothing to say about them: `how: a b`.
                Some(rest) if rest.starts_with(':') => {
                    for one in split(&rest[1..], ',') {
                        if one.contains("leave") || one.contains("for good") {
                            leaves = words(one)
                                .next()
                                .map_or(Leaves::Never, |word| Leaves::With(word.to_owned()));
                        }
                        hows.extend(
                            words(&outside(one))
                                .filter(|word| is_name(word))
                                .map(str::to_owned),
                        );
                    }
                }
                // `how a: what a is`.
                Some(rest) if rest.starts_with(' ') && rest.contains(':') => {
                    let name = rest.split(':').next().unwrap_or_default().trim();
                    hows.extend(is_name(name).then(|| name.to_owned()));
                }
                _ => told.push(part),
            }
        }
        let told = told.join("; ");
        let fields = FIELDS
            .iter()
            .filter_map(|field| Some(((*field).to_owned(), field_of(&told, field)?)));
        let mut fields: BTreeMap<String, Option<f64>> = fields.collect();
        if words(&told).any(|word| word == "leave") {
            leaves = Leaves::Always;
        }
        // What does the same as the kind before it has the same variants and numbers.
        if let Some(before) = before.filter(|_| told.starts_with("the same")) {
            hows.extend(
                before
                    .hows
                    .iter()
                    .filter(|how| !hows.contains(how))
                    .cloned()
                    .collect::<Vec<_>>(),
            );
            fields.extend(before.fields.clone());
        }
        let struck = struck(name, &told);
        Kind {
            name: name.to_owned(),
            text: text.to_owned(),
            hows,
            fields,
            struck,
            leaves,
        }
    }

    /// Whether the kind has this number.
    pub fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// Whether links are cut.
    pub fn cuts(&self) -> bool {
        self.name.ends_with("_cut") || self.text.contains("cut off")
    }

    /// Whether an entry may name a class of machines.
    pub fn has_class(&self) -> bool {
        self.struck == Struck::Machines && !self.cuts()
    }
}

fn is_name(word: &str) -> bool {
    !word.is_empty()
        && word
            .chars()
            .all(|one| one.is_ascii_lowercase() || one == '_')
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(|one: char| !(one.is_ascii_alphanumeric() || one == '_'))
        .filter(|word| !word.is_empty())
}

/// Splits where no bracket is open.
fn split(text: &str, at: char) -> Vec<&str> {
    let (mut parts, mut from, mut open) = (Vec::new(), 0, 0_u32);
    for (place, one) in text.char_indices() {
        match one {
            '(' => open += 1,
            ')' => open = open.saturating_sub(1),
            _ if one == at && open == 0 => {
                parts.push(&text[from..place]);
                from = place + one.len_utf8();
            }
            _ => {}
        }
    }
    parts.push(&text[from..]);
    parts
}

/// What stands in no bracket.
fn outside(text: &str) -> String {
    let mut open = 0_u32;
    let mut kept = String::new();
    for one in text.chars() {
        match one {
            '(' => open += 1,
            ')' => open = open.saturating_sub(1),
            _ if open == 0 => kept.push(one),
            _ => {}
        }
    }
    kept
}

/// Whether a text names a field, and its value if one stands in brackets behind it, at most one word (a unit) between.
fn field_of(text: &str, field: &str) -> Option<Option<f64>> {
    let mut named = None;
    let mut from = 0;
    while let Some(place) = text[from..].find(field) {
        let (start, end) = (from + place, from + place + field.len());
        from = end;
        let joined = |one: char| one.is_ascii_alphanumeric() || one == '_';
        if text[..start].ends_with(joined) || text[end..].starts_with(joined) {
            continue;
        }
        let rest = text[end..].trim_start();
        let rest = rest
            .trim_start_matches(|one: char| one.is_ascii_lowercase())
            .trim_start();
        let value = rest
            .strip_prefix('(')
            .and_then(|rest| rest.split(')').next());
        named = Some(value.and_then(|value| value.trim().parse().ok()));
        if named != Some(None) {
            break;
        }
    }
    named
}

/// What a kind strikes, by what is said of it.
fn struck(name: &str, told: &str) -> Struck {
    let says = |of: &[&str]| words(told).any(|word| of.contains(&word));
    if name.split('_').any(|part| part == "config") || says(&["keys"]) {
        Struck::Orders
    } else if told.contains("time of day") {
        Struck::Other
    } else if says(&["disk", "disks", "acknowledges"])
        || says(&["counted"]) && !name.starts_with("node_")
    {
        Struck::Counted
    } else if says(&["machine", "machines", "killed", "SIGKILL", "SIGTERM"]) {
        Struck::Machines
    } else if says(&[
        "server", "servers", "answer", "answers", "replaced", "drain", "drains",
    ]) {
        Struck::Backends
    } else {
        Struck::Other
    }
}

/// Kinds and variants of the fault at a day's end: `closing = { kind = a | b, down_s } ... how c: ...; how d: ...`.
fn closing(head: &str) -> (Vec<String>, Vec<String>) {
    let Some((_, rest)) = head.split_once("closing = {") else {
        return (Vec::new(), Vec::new());
    };
    let (braces, prose) = rest.split_once('}').unwrap_or((rest, ""));
    let kinds = braces.split_once("kind =").map_or("", |(_, kinds)| kinds);
    let kinds = kinds
        .split(',')
        .next()
        .unwrap_or_default()
        .split('|')
        .map(str::trim);
    let kinds = kinds
        .filter(|kind| is_name(kind))
        .map(str::to_owned)
        .collect();
    let mut hows = Vec::new();
    for (place, _) in prose.match_indices("how ") {
        let word = prose[place + 4..]
            .split(':')
            .next()
            .unwrap_or_default()
            .trim();
        if is_name(word) && !hows.iter().any(|known| known == word) {
            hows.push(word.to_owned());
        }
    }
    (kinds, hows)
}
