//! The final response of a request, and how an attempt at a backend ended.

use bytes::Bytes;
use maplefall_policy::{Millis, Outcome, Report};

/// The final response of a request. Each request has exactly one.
#[derive(Debug)]
pub enum Answer {
    /// A backend's response body.
    Served(Bytes),
    /// The request did not run, or may run again: a retry is harmless, after this many milliseconds if a time is advised.
    Refused(Option<Millis>),
    /// The request may have run.
    Failed,
}

/// How an attempt ended, with the metadata of its response.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Complete body of a successful response; else empty.
    pub body: Bytes,
    /// The tenant's usage over the last metered period, as a fraction of its quota (`api-usage`).
    pub used: Option<f64>,
    /// Units that the request actually took (`api-charge`).
    pub charge: Option<f64>,
    /// The backend's load report (`server-load`).
    pub report: Report,
    /// Established connections that broke during the attempt.
    pub broken_connections: u32,
}

impl Ended {
    /// An end without a response.
    pub fn of(outcome: Outcome) -> Ended {
        Ended {
            outcome,
            body: Bytes::new(),
            used: None,
            charge: None,
            report: Report::default(),
            broken_connections: 0,
        }
    }
}
