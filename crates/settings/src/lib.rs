//! Settings of the decision module, read by their wire names: the one mapping for all programs.
//!
//! The wire form is a line `path=value` for each setting. [`parse`] reads it; the table of wire names, units and defaults is
//! in `mapping.rs`. [`facts`] writes it for nested JSON, so that settings of a file and of the simulator are read the same way.
//!
//! Invariants: an unknown path is ignored; a missing one takes the default of [`maplefall_policy::Settings`],
//! [`maplefall_policy::Class`], [`maplefall_policy::Plan`] or [`Links`]; and all values that cannot be read are reported
//! together, each by its path.

mod flatten;
mod load_report;
mod mapping;
mod reader;

pub use flatten::{facts, plain};
pub use load_report::{report, tell, Metric};
pub use mapping::{parse, parse_all, Links, Names, Told};

#[cfg(test)]
mod tests;
