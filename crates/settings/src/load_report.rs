//! Values of a backend's load report, which settings list by name and reports carry by position.

use maplefall_policy::Report;

/// A value of a load report. Wire names stand in `report.names`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// `concurrent`: requests in flight.
    InFlight,
    /// `depth`: requests in the queue.
    Queue,
    /// `load_share`: fraction of the processors in use.
    Utilisation,
    /// `mean_ms`: recent service time, in milliseconds.
    Latency,
    /// `tps`: requests served per second.
    Throughput,
    /// `err_ps`: errors per second.
    Errors,
    /// Any other name; its values are ignored.
    Unknown,
}

impl Metric {
    /// The metric of a wire name.
    pub(crate) fn from_wire(name: &str) -> Metric {
        match name {
            "concurrent" => Metric::InFlight,
            "depth" => Metric::Queue,
            "load_share" => Metric::Utilisation,
            "mean_ms" => Metric::Latency,
            "tps" => Metric::Throughput,
            "err_ps" => Metric::Errors,
            _ => Metric::Unknown,
        }
    }
}

/// The load report with these values, `values[i]` being that of `metrics[i]`. Surplus values are ignored, missing ones unset.
pub fn report(metrics: &[Metric], values: &[f32]) -> Report {
    let mut report = Report::default();
    for (metric, value) in metrics.iter().zip(values) {
        set_metric(&mut report, *metric, *value);
    }
    report
}

/// Sets one value of a load report.
pub fn set_metric(report: &mut Report, metric: Metric, value: f32) {
    let value = Some(f64::from(value));
    match metric {
        Metric::InFlight => report.in_flight = value,
        Metric::Queue => report.queue = value,
        Metric::Utilisation => report.utilisation = value,
        Metric::Latency => report.latency = value,
        Metric::Throughput => report.throughput = value,
        Metric::Errors => report.errors = value,
        Metric::Unknown => {}
    }
}
