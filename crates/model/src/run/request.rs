//! Requests, tries and attempts that a run follows.

/// A first try and what came of it.
#[derive(Clone, Debug)]
pub(super) struct First {
    pub(super) asked: f64,
    pub(super) customer: usize,
    pub(super) class: usize,
    /// What it is guessed to take, and what it takes in truth.
    pub(super) units: f64,
    pub(super) true_units: f64,
    pub(super) work: f64,
    pub(super) served: bool,
    /// Whether a try of it was let in within its quota.
    pub(super) let_in: bool,
}

/// A try that is not over.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub(super) first: usize,
    pub(super) number: u32,
    pub(super) door: usize,
    pub(super) life: u32,
    pub(super) deadline: f64,
    pub(super) answered: bool,
    pub(super) sends: u32,
    pub(super) out: Option<u64>,
    pub(super) inside: bool,
    pub(super) ran: u32,
}

/// An attempt that is not over.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: u32,
    pub(super) number: u32,
    pub(super) backend: usize,
    pub(super) door: usize,
    pub(super) life: u32,
    pub(super) sent: f64,
    pub(super) first: usize,
    /// Whether its end has been told to its door.
    pub(super) settled: bool,
    /// Whether it is in its backend, or on its way there.
    pub(super) there: bool,
}
