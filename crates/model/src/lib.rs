//! A model of the fleet: proxies with the real decision module between clients and backends that are drawn, in simulated
//! time, at sizes that sockets don't reach.
//!
//! | file | job |
//! | --- | --- |
//! | [`world`] | a world as data: a TOML file, its faults, defaults and checks |
//! | [`random`] | the random generator of a run, distributions, the alias method |
//! | [`queue`] | the event queue |
//! | [`backend`] | a backend: cores, waiting room, slow start, connections |
//! | [`balancer`] | the decision policy of a proxy: the decision module, or a baseline |
//! | [`run`] | one run: the world's clock, the network, clients, faults |
//! | [`agent`] | discovery agents, with the real follower and membership in front of the proxies |
//! | [`metrics`] | what is counted |
//! | [`bound`], [`frontier`] | an upper bound for rules without communication, and how near each policy comes |
//! | [`search`] | the smallest seed and world at which a figure breaks a bound |
//! | [`compare`] | whether two sets of runs differ: paired by seed, by bootstrap |
//!
//! A run has no I/O, clock or thread; one seed gives one run, byte for byte. Nothing of a bench is copied: the world follows the
//! published ideas that each file names. What it leaves out stands in `docs/design/model.md`.

#![forbid(unsafe_code)]

pub mod agent;
pub mod backend;
pub mod balancer;
pub mod bound;
pub mod compare;
pub mod frontier;
pub mod metrics;
pub mod queue;
pub mod random;
pub mod run;
pub mod search;
pub mod world;

pub use metrics::Outcome;
pub use run::play;
pub use world::World;
