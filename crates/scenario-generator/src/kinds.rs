//! The list of fault and change kinds, parsed from the bench's text.
//!
//! The text has a head of prose and then a line per kind: `kind: what it does; how: a, b (what b is), c`. The default of a field
//! stands in parentheses behind its name: `share (.15)`, `x ms (2000)`.

use crate::error::Error;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Numeric fields that an entry may have.
pub const NUMERIC_FIELDS: [&str; 5] = ["for_s", "gap_s", "share", "count", "x"];

/// What a kind affects first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Control plane machines, whose failures the site limits.
    Counted,
    /// Machines of any class.
    Machines,
    /// Backends.
    Backends,
    /// Configuration changes of the operator.
    Orders,
    /// Anything else, such as clients and clocks.
    Other,
}

/// A kind of fault or of planned change.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its description in the list.
    pub text: String,
    /// Its own variants.
    pub variants: Vec<String>,
    /// Its numeric fields with their defaults.
    pub fields: BTreeMap<String, Option<f64>>,
    /// What it affects.
    pub target: Target,
    /// Whether what it affects is removed for good.
    pub permanence: Permanence,
}

/// Whether a kind removes what it affects for the rest of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Permanence {
    /// It returns or is replaced.
    Never,
    /// Only with this word in `how`.
    With(String),
    /// It is removed.
    Always,
}

/// All kinds, and what the head of the list says about all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kinds {
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Known modifiers that the head names; any entry's `how` may hold them besides the kind's variants.
    pub modifiers: BTreeSet<String>,
    /// Kinds of closing faults, at the end of a scenario.
    pub closing_kinds: Vec<String>,
    /// Their variants.
    pub closing_variants: Vec<String>,
}

/// Modifiers that select the affected machine.
pub const MACHINE_SELECTORS: [&str; 3] = ["leader", "reader", "seed"];
/// Modifiers for what happens besides, after the selector.
pub const MACHINE_MODIFIERS: [&str; 4] = ["meet", "race", "hard", "drain"];
/// Modifiers that select the affected backends.
pub const BACKEND_SELECTORS: [&str; 2] = ["across", ALL_BACKENDS];
/// The modifier that affects all backends of a service, whatever the share.
pub const ALL_BACKENDS: &str = "all";
/// Modifiers for how a partition shows.
pub const PARTITION_EFFECTS: [&str; 2] = ["reset", "refuse"];
/// The modifier for a stop in the middle of a response; the head says for which kind.
pub const MID_RESPONSE_STOP: &str = "busy";

impl Kinds {
    /// Reads a list that the bench has printed.
    ///
    /// # Errors
    /// The file cannot be read or names no kind.
    pub fn load(file: &Path) -> Result<Kinds, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_owned(), error))?;
        let kinds = Kinds::read(&text);
        if kinds.kinds.is_empty() {
            return Err(Error::NoKinds(file.to_owned()));
        }
        Ok(kinds)
    }

    /// Parses the text of a list; lines that are no kind belong to the head.
    pub fn read(text: &str) -> Kinds {
        let (mut kinds, mut head) = (Vec::new(), Vec::new());
        for line in text.lines() {
            match line.split_once(':') {
                Some((name, text)) if is_name(name) && !text.trim().is_empty() => {
                    let kind = Kind::read(name, text.trim(), kinds.last());
                    kinds.push(kind);
                }
                // Prose may have colons too, but no name before them.
                _ => head.push(line),
            }
        }
        let head = head.join(" ");
        let words_of_head: BTreeSet<&str> = words(&head).collect();
        let general = MACHINE_SELECTORS
            .iter()
            .chain(&MACHINE_MODIFIERS)
            .chain(&BACKEND_SELECTORS)
            .chain(&PARTITION_EFFECTS)
            .chain([&MID_RESPONSE_STOP]);
        let general = general
            .filter(|word| words_of_head.contains(**word))
            .map(|word| (*word).to_owned());
        let (closing_kinds, closing_variants) = closing(&head);
        Kinds {
            modifiers: general.collect(),
            kinds,
            closing_kinds,
            closing_variants,
        }
    }

    /// The kind of this name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Those of the given modifiers that the head names.
    pub fn named<'a>(&self, of: &[&'a str]) -> Vec<&'a str> {
        of.iter()
            .copied()
            .filter(|word| self.modifiers.contains(*word))
            .collect()
    }
}

impl Kind {
    fn read(name: &str, text: &str, before: Option<&Kind>) -> Kind {
        let mut variants = Vec::new();
        let mut description = Vec::new();
        let mut permanence = Permanence::Never;
        for part in split(text, ';') {
            let part = part.trim();
            match part.strip_prefix("how") {
                // `how: a, b (what b is)`, and words alone where there is nothing to say about them: `how: a b`.
                Some(rest) if rest.starts_with(':') => {
                    for one in split(&rest[1..], ',') {
                        if one.contains("leave") || one.contains("for good") {
                            permanence = words(one).next().map_or(Permanence::Never, |word| {
                                Permanence::With(word.to_owned())
                            });
                        }
                        variants.extend(
                            words(&outside(one))
                                .filter(|word| is_name(word))
                                .map(str::to_owned),
                        );
                    }
                }
                // `how a: what a is`.
                Some(rest) if rest.starts_with(' ') && rest.contains(':') => {
                    let name = rest.split(':').next().unwrap_or_default().trim();
                    variants.extend(is_name(name).then(|| name.to_owned()));
                }
                _ => description.push(part),
            }
        }
        let description = description.join("; ");
        let fields = NUMERIC_FIELDS
            .iter()
            .filter_map(|field| Some(((*field).to_owned(), field_of(&description, field)?)));
        let mut fields: BTreeMap<String, Option<f64>> = fields.collect();
        if words(&description).any(|word| word == "leave") {
            permanence = Permanence::Always;
        }
        // "The same" refers to the kind before it, with its variants and numbers.
        if let Some(before) = before.filter(|_| description.starts_with("the same")) {
            variants.extend(
                before
                    .variants
                    .iter()
                    .filter(|how| !variants.contains(how))
                    .cloned()
                    .collect::<Vec<_>>(),
            );
            fields.extend(before.fields.clone());
        }
        let target = target(name, &description);
        Kind {
            name: name.to_owned(),
            text: text.to_owned(),
            variants,
            fields,
            target,
            permanence,
        }
    }

    /// Whether the kind has this numeric field.
    pub fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// Whether it partitions the network.
    pub fn is_partition(&self) -> bool {
        self.name.ends_with("_cut") || self.text.contains("cut off")
    }

    /// Whether an entry may name a class of machines.
    pub fn has_class(&self) -> bool {
        self.target == Target::Machines && !self.is_partition()
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

/// Splits at a character outside of parentheses.
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

/// The text outside of parentheses.
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

/// Whether a text names a field, with the default in parentheses behind it, at most one word (a unit) between.
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

/// What a kind affects, by its description.
fn target(name: &str, description: &str) -> Target {
    let mentions = |of: &[&str]| words(description).any(|word| of.contains(&word));
    if name.split('_').any(|part| part == "config") || mentions(&["keys"]) {
        Target::Orders
    } else if description.contains("time of day") {
        Target::Other
    } else if mentions(&["disk", "disks", "acknowledges"])
        || mentions(&["counted"]) && !name.starts_with("node_")
    {
        Target::Counted
    } else if mentions(&["machine", "machines", "killed", "SIGKILL", "SIGTERM"]) {
        Target::Machines
    } else if mentions(&[
        "server", "servers", "answer", "answers", "replaced", "drain", "drains",
    ]) {
        Target::Backends
    } else {
        Target::Other
    }
}

/// Kinds and variants of the closing fault: `closing = { kind = a | b, down_s } ... how c: ...; how d: ...`.
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
    let mut variants = Vec::new();
    for (place, _) in prose.match_indices("how ") {
        let word = prose[place + 4..]
            .split(':')
            .next()
            .unwrap_or_default()
            .trim();
        if is_name(word) && !variants.iter().any(|known| known == word) {
            variants.push(word.to_owned());
        }
    }
    (kinds, variants)
}
