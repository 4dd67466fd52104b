//! Validation of numbers from external input.

/// Returns `value` clamped to `min..=max`, or `default` if it is not a finite number.
///
/// A `max` below `min` counts as `min`.
pub fn clamp_or(value: f64, min: f64, max: f64, default: f64) -> f64 {
    if value.is_finite() {
        value.clamp(min, max.max(min))
    } else {
        default
    }
}
