//! The final response of a request, and how an attempt at a backend ended.

use bytes::Bytes;
use maplefall_policy::{Millis, Outcome, Report};

/// The final response of a request. Each request has exactly one.
#[derive(Debug)]
pub enum FinalResponse {
    /// A backend's response body.
    Served(Bytes),
    /// The request did not run, or may run again: a retry is safe, after this many milliseconds if
    /// a time is advised.
    Rejected(Option<Millis>),
    /// The request may have run.
    Failed,
}

/// How an attempt ended, with the metadata of its response.
#[derive(Clone, Debug)]
pub struct EndedAttempt {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Complete body of a successful response; empty otherwise.
    pub body: Bytes,
    /// The customer's usage over the last metered period, as a fraction of its quota (`api-usage`).
    pub metered_usage: Option<f64>,
    /// Units that the request actually took (`api-charge`).
    pub true_units: Option<f64>,
    /// The backend's load report (`server-load`).
    pub report: Report,
    /// Number of established connections that broke during the attempt.
    pub broken_connections: u32,
}

impl EndedAttempt {
    /// Creates the end of an attempt that had no response.
    pub fn without_response(outcome: Outcome) -> EndedAttempt {
        EndedAttempt {
            outcome,
            body: Bytes::new(),
            metered_usage: None,
            true_units: None,
            report: Report::default(),
            broken_connections: 0,
        }
    }
}
