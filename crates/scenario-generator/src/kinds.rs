//! The list of fault and change kinds, parsed from the bench's text.
//!
//! The text has a prose head and then one line per kind: `kind: what it does; how: a, b (what b
//! is), c`. The default of a field follows its name in parentheses: `share (.15)`, `x ms (2000)`.

use crate::error::Error;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Numeric fields that an entry of a scenario may have.
pub const NUMERIC_FIELDS: [&str; 5] = ["for_s", "gap_s", "share", "count", "x"];

/// What a kind affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Control plane machines; the site limits how many of them may fail at once.
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
    /// Name of the kind.
    pub name: String,
    /// Text of the kind's line after the name.
    pub text: String,
    /// Variants that the line lists under `how`.
    pub variants: Vec<String>,
    /// Numeric fields of the kind with their defaults.
    pub fields: BTreeMap<String, Option<f64>>,
    /// What the kind affects.
    pub target: Target,
    /// Whether the kind removes its targets for the rest of the scenario.
    pub permanence: Permanence,
}

/// Whether a kind removes its targets for the rest of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Permanence {
    /// The targets return or are replaced.
    Never,
    /// The targets are removed only with this word in `how`.
    With(String),
    /// The targets are always removed.
    Always,
}

/// All kinds, and the modifiers and closing faults from the head of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kinds {
    /// The kinds, in the order of the list.
    pub kinds: Vec<Kind>,
    /// Known modifiers that the head names; the `how` of an entry may hold them in addition to the
    /// kind's variants.
    pub modifiers: BTreeSet<String>,
    /// Kinds of the closing fault, at the end of a scenario.
    pub closing_kinds: Vec<String>,
    /// Variants of the closing fault.
    pub closing_variants: Vec<String>,
}

/// Modifiers that select the affected machine.
pub const MACHINE_SELECTORS: [&str; 3] = ["leader", "reader", "seed"];
/// Modifiers for additional effects; they follow the selector.
pub const MACHINE_MODIFIERS: [&str; 4] = ["meet", "race", "hard", "drain"];
/// Modifiers that select the affected backends.
pub const BACKEND_SELECTORS: [&str; 2] = ["across", ALL_BACKENDS];
/// Modifier that affects all backends of a service, regardless of the share.
pub const ALL_BACKENDS: &str = "all";
/// Modifiers for how connections fail in a partition.
pub const PARTITION_EFFECTS: [&str; 2] = ["reset", "refuse"];
/// Modifier for a stop in the middle of a response; the head names the kind that takes it.
pub const MID_RESPONSE_STOP: &str = "busy";

impl Kinds {
    /// Reads the file of a list that the bench printed.
    ///
    /// # Errors
    /// Fails if the file cannot be read or contains no kind.
    pub fn load(file: &Path) -> Result<Kinds, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_owned(), error))?;
        let kinds = Kinds::parse(&text);
        if kinds.kinds.is_empty() {
            return Err(Error::NoKinds(file.to_owned()));
        }
        Ok(kinds)
    }

    /// Parses the text of a list; lines that define no kind belong to the head.
    pub fn parse(text: &str) -> Kinds {
        let (mut kinds, mut head) = (Vec::new(), Vec::new());
        for line in text.lines() {
            match line.split_once(':') {
                Some((name, text)) if is_name(name) && !text.trim().is_empty() => {
                    let kind = Kind::parse(name, text.trim(), kinds.last());
                    kinds.push(kind);
                }
                // Prose can contain colons too, but never directly after a name.
                _ => head.push(line),
            }
        }
        let head = head.join(" ");
        let head_words: BTreeSet<&str> = words(&head).collect();
        let known = MACHINE_SELECTORS
            .iter()
            .chain(&MACHINE_MODIFIERS)
            .chain(&BACKEND_SELECTORS)
            .chain(&PARTITION_EFFECTS)
            .chain([&MID_RESPONSE_STOP]);
        let known = known
            .filter(|word| head_words.contains(**word))
            .map(|word| (*word).to_owned());
        let (closing_kinds, closing_variants) = parse_closing(&head);
        Kinds {
            modifiers: known.collect(),
            kinds,
            closing_kinds,
            closing_variants,
        }
    }

    /// Returns the kind with this name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns those of the given modifiers that the head names.
    pub fn listed_modifiers<'a>(&self, modifiers: &[&'a str]) -> Vec<&'a str> {
        modifiers
            .iter()
            .copied()
            .filter(|word| self.modifiers.contains(*word))
            .collect()
    }
}

impl Kind {
    fn parse(name: &str, text: &str, previous: Option<&Kind>) -> Kind {
        let mut variants = Vec::new();
        let mut description = Vec::new();
        let mut permanence = Permanence::Never;
        for part in split(text, ';') {
            let part = part.trim();
            match part.strip_prefix("how") {
                // `how: a, b (what b is)`, or without descriptions `how: a b`.
                Some(rest) if rest.starts_with(':') => {
                    for variant in split(&rest[1..], ',') {
                        if variant.contains("leave") || variant.contains("for good") {
                            permanence = words(variant).next().map_or(Permanence::Never, |word| {
                                Permanence::With(word.to_owned())
                            });
                        }
                        variants.extend(
                            words(&outside_parentheses(variant))
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
            .filter_map(|field| Some(((*field).to_owned(), field_default(&description, field)?)));
        let mut fields: BTreeMap<String, Option<f64>> = fields.collect();
        if words(&description).any(|word| word == "leave") {
            permanence = Permanence::Always;
        }
        // "The same" refers to the previous kind: its variants and fields apply too.
        if let Some(previous) = previous.filter(|_| description.starts_with("the same")) {
            variants.extend(
                previous
                    .variants
                    .iter()
                    .filter(|variant| !variants.contains(variant))
                    .cloned()
                    .collect::<Vec<_>>(),
            );
            fields.extend(previous.fields.clone());
        }
        let target = classify_target(name, &description);
        Kind {
            name: name.to_owned(),
            text: text.to_owned(),
            variants,
            fields,
            target,
            permanence,
        }
    }

    /// Returns whether the kind has this numeric field.
    pub fn has_field(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// Returns whether the kind partitions the network.
    pub fn is_partition(&self) -> bool {
        self.name.ends_with("_cut") || self.text.contains("cut off")
    }

    /// Returns whether an entry of the kind may name a class of machines.
    pub fn has_class(&self) -> bool {
        self.target == Target::Machines && !self.is_partition()
    }
}

fn is_name(word: &str) -> bool {
    !word.is_empty()
        && word
            .chars()
            .all(|character| character.is_ascii_lowercase() || character == '_')
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(|character: char| !(character.is_ascii_alphanumeric() || character == '_'))
        .filter(|word| !word.is_empty())
}

/// Splits a text at each occurrence of a character outside of parentheses.
fn split(text: &str, at: char) -> Vec<&str> {
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0_u32);
    for (position, character) in text.char_indices() {
        match character {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ if character == at && depth == 0 => {
                parts.push(&text[start..position]);
                start = position + character.len_utf8();
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

/// Returns the text outside of parentheses.
fn outside_parentheses(text: &str) -> String {
    let mut depth = 0_u32;
    let mut result = String::new();
    for character in text.chars() {
        match character {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ if depth == 0 => result.push(character),
            _ => {}
        }
    }
    result
}

/// Returns the default of a field, which follows its name in parentheses with at most one word (a
/// unit) between: `None` if the text does not name the field, `Some(None)` if it names no default.
fn field_default(text: &str, field: &str) -> Option<Option<f64>> {
    let mut default = None;
    let mut search_from = 0;
    while let Some(position) = text[search_from..].find(field) {
        let (start, end) = (search_from + position, search_from + position + field.len());
        search_from = end;
        let is_word_character =
            |character: char| character.is_ascii_alphanumeric() || character == '_';
        if text[..start].ends_with(is_word_character) || text[end..].starts_with(is_word_character)
        {
            continue;
        }
        let rest = text[end..].trim_start();
        let rest = rest
            .trim_start_matches(|character: char| character.is_ascii_lowercase())
            .trim_start();
        let value = rest
            .strip_prefix('(')
            .and_then(|rest| rest.split(')').next());
        default = Some(value.and_then(|value| value.trim().parse().ok()));
        if default != Some(None) {
            break;
        }
    }
    default
}

/// Derives the target of a kind from its name and description.
fn classify_target(name: &str, description: &str) -> Target {
    let mentions = |listed: &[&str]| words(description).any(|word| listed.contains(&word));
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

/// Returns the kinds and variants of the closing fault from the head: `closing = { kind = a | b,
/// down_s } ... how c: ...; how d: ...`.
fn parse_closing(head: &str) -> (Vec<String>, Vec<String>) {
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
    for (position, _) in prose.match_indices("how ") {
        let word = prose[position + 4..]
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
