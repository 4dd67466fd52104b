//! A discrete-event simulation of the fleet: proxies that run the real decision module, between
//! simulated clients and backends, at sizes that real sockets do not reach.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`world`] | a world as data: a TOML file, its faults, defaults and checks |
//! | [`random`] | the random number generator of a run, distributions, the alias method |
//! | [`queue`] | the event queue |
//! | [`backend`] | a backend: cores, waiting room, slow start |
//! | [`balancer`] | the decision policy of a proxy: the decision module, or a baseline |
//! | [`run`] | one run: the event loop, the network, clients, faults |
//! | [`agent`] | discovery agents, with the real follower and membership on the proxies' side |
//! | [`metrics`] | the figures of a run |
//! | [`bound`], [`frontier`] | an upper bound for rules without communication, and how close each policy comes to it |
//! | [`search`] | the smallest seed and world at which a figure breaks a bound |
//! | [`compare`] | whether two sets of runs differ: paired by seed, by bootstrap |
//!
//! A run does no I/O, reads no clock and starts no thread; one seed gives one sample path, byte for
//! byte. The model follows the published methods that each file names and copies nothing from a
//! benchmark. `docs/design/model.md` lists what it leaves out.

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
pub use run::simulate;
pub use world::World;
