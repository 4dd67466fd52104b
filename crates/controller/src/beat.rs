//! What a backend says of itself.

use maplefall_gateway_config::{parse, Json};
use maplefall_service_registry::{InstanceRecord, InstanceState};

/// Longest that a backend is taken to stay slow, in milliseconds.
const COLDEST: f64 = 600_000.0;

/// Reads the body of `instances.beat`; the error names the field.
pub fn read_beat(id: &str, body: &[u8]) -> Result<InstanceRecord, &'static str> {
    let whole = parse(body).map_err(|_| "body")?;
    let whole = whole.as_object().ok_or("body")?;
    let part = |name| whole.get(name).and_then(Json::as_object);
    let (details, observed) = (
        part("Details").ok_or("Details")?,
        part("Observed").ok_or("Observed")?,
    );
    let text = |value: Option<&Json>| {
        value
            .and_then(Json::as_string)
            .map(|text| text.as_str().to_owned())
            .filter(|text| !text.is_empty())
    };
    let figure = |value: Option<&Json>| {
        value
            .and_then(Json::as_number)
            .map(|n| n.to_f64_lossy())
            .filter(|x| x.is_finite() && *x >= 0.0)
    };
    let state = match text(observed.get("State")).ok_or("State")?.as_str() {
        "in_loop" => InstanceState::Serving,
        "decaying" => InstanceState::Draining,
        _ => return Err("State"),
    };
    let address = text(whole.get("Address")).ok_or("Address")?;
    address
        .parse::<std::net::SocketAddr>()
        .map_err(|_| "Address")?;
    Ok(InstanceRecord {
        id: id.to_owned(),
        service: text(details.get("Service")).ok_or("Service")?,
        address,
        zone: text(details.get("Zone")).unwrap_or_default(),
        capacity: figure(details.get("Capacity")).unwrap_or(1.0) as u32,
        state: state.into(),
        seq: figure(observed.get("CallSeq")).ok_or("CallSeq")? as u64,
        warmup_left_ms: (figure(observed.get("WarmupLeftS")).unwrap_or(0.0) * 1000.0).min(COLDEST)
            as u32,
    })
}
