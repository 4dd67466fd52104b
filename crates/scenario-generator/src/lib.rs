//! Generates scenarios with several concurrent faults for the users' bench.
//!
//! The kinds of faults and planned changes come from the text in which the bench lists them ([`kinds`]), machines, zones and
//! services from a deployment's site file ([`site`]); [`generator`] combines both into a [`scenario`]. Nothing is tied to one
//! deployment: an unknown kind is generated with the default values and the variants that the list gives for it.
//!
//! The same seed, list and site give the same scenarios: every draw goes through [`random`], in a fixed order.

pub mod error;
pub mod generator;
pub mod kinds;
pub mod random;
pub mod scenario;
pub mod site;
