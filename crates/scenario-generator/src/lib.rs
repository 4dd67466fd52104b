//! Generates scenarios with several concurrent faults for the users' bench.
//!
//! The kinds of faults and planned changes come from the text in which the bench lists them
//! ([`kinds`]); machines, zones and services come from a deployment's site file ([`site`]).
//! [`generator`] draws a [`scenario`] from both. Nothing is tied to one deployment: a kind that
//! this crate does not know is drawn with the default values and the variants from the list.
//!
//! The same seed, list and site give the same scenarios: every draw uses [`random`], in a fixed
//! order.

pub mod error;
pub mod generator;
pub mod kinds;
pub mod random;
pub mod scenario;
pub mod site;
