//! The value of `Retry-After`.

use hyper::header::HeaderValue;

/// Returns the header value for a delay in milliseconds: seconds with three decimals, `0.250` for
/// 250. `None` if the text is not a valid header value, which no finite delay causes.
pub fn retry_after_value(delay_ms: f64) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{:.3}", delay_ms / 1000.0)).ok()
}
