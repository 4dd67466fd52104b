//! Plots of results as SVG, drawn by plotters.

use plotters::prelude::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Maximum number of result lines that are read.
const MAX_LINES: usize = 100_000;

/// Points of each series, by its name.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

fn number(value: &Value) -> Option<f64> {
    value.as_f64().or_else(|| value.as_str()?.parse().ok())
}

fn points(text: &str, x: &str, y: &str, by: Option<&str>) -> Result<Series, String> {
    let mut series = Series::new();
    for (at, line) in text.lines().take(MAX_LINES).enumerate() {
        let result: Value =
            serde_json::from_str(line).map_err(|error| format!("line {}: {error}", at + 1))?;
        let name = by.map_or(String::new(), |by| {
            result[by].to_string().trim_matches('"').to_owned()
        });
        let points = series.entry(name).or_default();
        if x == "second" {
            let seconds = result["by_second"].as_array().into_iter().flatten();
            points.extend(
                seconds
                    .enumerate()
                    .filter_map(|(at, value)| Some((at as f64, number(value)?))),
            );
            continue;
        }
        match (number(&result[x]), number(&result[y])) {
            (Some(x), Some(y)) => points.push((x, y)),
            _ => {
                return Err(format!(
                    "line {}: expected {x} and {y} to be figures",
                    at + 1
                ))
            }
        }
    }
    if series.values().all(Vec::is_empty) {
        return Err("no results to plot".to_owned());
    }
    Ok(series)
}

/// Returns the mean of `y` at each distinct `x`, in the order of `x`.
fn means(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut sums: Vec<(f64, f64, f64)> = Vec::new();
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
    for (x, y) in sorted {
        match sums.last_mut().filter(|last| last.0 == x) {
            Some(last) => (last.1, last.2) = (last.1 + y, last.2 + 1.0),
            None => sums.push((x, y, 1.0)),
        }
    }
    sums.into_iter()
        .map(|(x, sum, count)| (x, sum / count))
        .collect()
}

/// Draws results to a file.
///
/// # Errors
/// One line that names what could not be read or drawn.
pub fn draw(text: &str, x: &str, y: &str, by: Option<&str>, out: &Path) -> Result<(), String> {
    let series = points(text, x, y, by)?;
    let all = || series.values().flatten();
    let minimum = |of: fn(&(f64, f64)) -> f64| all().map(of).fold(f64::INFINITY, f64::min);
    let maximum = |of: fn(&(f64, f64)) -> f64| all().map(of).fold(f64::NEG_INFINITY, f64::max);
    let (left, right, top) = (
        minimum(|point| point.0),
        maximum(|point| point.0),
        maximum(|point| point.1),
    );
    let bottom = minimum(|point| point.1).min(0.0);
    let (right, top) = (
        if right > left { right } else { left + 1.0 },
        if top > bottom { top } else { bottom + 1.0 },
    );
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", out.display());
    let root = SVGBackend::new(out, (900, 540)).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(left..right, bottom..top * 1.05)
        .map_err(|error| failed(&error))?;
    let label = if x == "second" {
        "worth served in time"
    } else {
        y
    };
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(label)
        .draw()
        .map_err(|error| failed(&error))?;
    for (at, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let line_series = LineSeries::new(means(points), color.stroke_width(2));
        let drawn = chart
            .draw_series(line_series)
            .map_err(|error| failed(&error))?;
        if !name.is_empty() {
            drawn
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        if x != "second" {
            let dots = points
                .iter()
                .map(|point| Circle::new(*point, 3, color.filled()));
            chart.draw_series(dots).map_err(|error| failed(&error))?;
        }
    }
    if by.is_some() {
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .draw()
            .map_err(|error| failed(&error))?;
    }
    root.present().map_err(|error| failed(&error))
}
