//! Parser of the decision module's settings by their wire names, used by all programs.
//!
//! The wire form is one line `path=value` for each setting. [`parse`] reads it; the table of wire
//! names, units and defaults is in `mapping.rs`. [`to_lines`] converts nested JSON to the wire
//! form, so that settings of a file and of the simulator are read the same way.
//!
//! Invariants: an unknown path is ignored; a missing one takes the default of
//! [`maplefall_policy::Settings`], [`maplefall_policy::Class`], [`maplefall_policy::Plan`] or
//! [`ConnectionTimeouts`]; all values that cannot be read are reported together, each with its
//! path.

mod flatten;
mod load_report;
mod mapping;
mod reader;

pub use flatten::{to_lines, wire_value};
pub use load_report::{report, set_metric, Metric};
pub use mapping::{parse, parse_all, ConnectionTimeouts, Names, ParsedSettings};

#[cfg(test)]
mod tests;
