//! How an attempt ended, and the one final answer of a request.

use bytes::Bytes;
use maplefall_policy::{Millis, Outcome, Report};

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer.
    Served(Bytes),
    /// Trying again is harmless; when, if advised.
    Refused(Option<Millis>),
    /// Nothing promised.
    Failed,
}

/// How an attempt ended and what its answer told.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The whole body of a good answer.
    pub body: Bytes,
    /// The customer's use, as a part of its rate.
    pub used: Option<f64>,
    /// The true units.
    pub charge: Option<f64>,
    /// The backend's load.
    pub report: Report,
    /// Connections that had come up and broke under it.
    pub broken: u32,
}

impl Ended {
    /// An end without an answer.
    pub fn of(outcome: Outcome) -> Ended {
        Ended {
            outcome,
            body: Bytes::new(),
            used: None,
            charge: None,
            report: Report::default(),
            broken: 0,
        }
    }
}
