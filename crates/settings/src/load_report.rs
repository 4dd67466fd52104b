//! Metrics of a backend's load report. The settings list their names; a report carries their values
//! in the same order.

use maplefall_policy::Report;

/// A metric of a load report, with its wire name in `report.names`.
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
    /// Returns the metric with a wire name.
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

/// Returns the load report in which `values[i]` is the value of `metrics[i]`. Surplus values are
/// ignored; metrics without a value are `None`.
pub fn report(metrics: &[Metric], values: &[f32]) -> Report {
    let mut report = Report::default();
    for (metric, value) in metrics.iter().zip(values) {
        set_metric(&mut report, *metric, *value);
    }
    report
}

/// Sets the value of one metric of a load report.
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
