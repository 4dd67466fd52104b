//! Parsing of backends' heartbeats, the body of the call `instances.beat`.

use maplefall_gateway_config::{parse, Json};
use maplefall_service_registry::{InstanceRecord, InstanceState};

/// Maximum warm-up time that a backend may announce, in milliseconds; longer ones are clamped to
/// it.
const MAX_WARMUP_MS: f64 = 600_000.0;

/// Parses the heartbeat of the instance `id`.
///
/// # Errors
///
/// Returns the name of the first field that is missing or malformed; the client gets it in the
/// response.
pub(super) fn parse_heartbeat(id: &str, body: &[u8]) -> Result<InstanceRecord, &'static str> {
    let document = parse(body).map_err(|_| "body")?;
    let document = document.as_object().ok_or("body")?;
    let section = |name| document.get(name).and_then(Json::as_object);
    let details = section("Details").ok_or("Details")?;
    let observed = section("Observed").ok_or("Observed")?;
    let state = match text(observed.get("State")).ok_or("State")?.as_str() {
        "in_loop" => InstanceState::Serving,
        "decaying" => InstanceState::Draining,
        _ => return Err("State"),
    };
    let address = text(document.get("Address")).ok_or("Address")?;
    address
        .parse::<std::net::SocketAddr>()
        .map_err(|_| "Address")?;
    let warmup_left_ms = non_negative(observed.get("WarmupLeftS")).unwrap_or(0.0) * 1000.0;
    Ok(InstanceRecord {
        id: id.to_owned(),
        service: text(details.get("Service")).ok_or("Service")?,
        address,
        zone: text(details.get("Zone")).unwrap_or_default(),
        capacity: non_negative(details.get("Capacity")).unwrap_or(1.0) as u32,
        state: state.into(),
        seq: non_negative(observed.get("CallSeq")).ok_or("CallSeq")? as u64,
        warmup_left_ms: warmup_left_ms.min(MAX_WARMUP_MS) as u32,
    })
}

/// Returns the string, unless it is empty.
fn text(value: Option<&Json>) -> Option<String> {
    value
        .and_then(Json::as_string)
        .map(|text| text.as_str().to_owned())
        .filter(|text| !text.is_empty())
}

/// Returns the number, if it is finite and not negative.
fn non_negative(value: Option<&Json>) -> Option<f64> {
    value
        .and_then(Json::as_number)
        .map(|number| number.to_f64_lossy())
        .filter(|number| number.is_finite() && *number >= 0.0)
}
