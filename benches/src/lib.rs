//! Helpers that the benchmarks share: synthetic configuration items, heartbeats and instance records
//! with the shape and length that the platform's own have; the processor time of this thread and the
//! memory allocated; and a cluster of controllers in one process, without sockets.

pub mod cluster;
pub mod measure;
pub mod synthetic;
