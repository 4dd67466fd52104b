//! The built gateway between sockets that the test controls: the test acts as clients, backends and
//! discovery agent, one message at a time. Nothing here waits for a fixed time; whatever does not
//! arrive within `TEST_TIMEOUT` fails the test.

#![allow(dead_code, unused_imports)]

mod agent_watch;
mod connections;
mod program;
mod test_bed;

pub use agent_watch::*;
pub use connections::*;
pub use program::*;
pub use test_bed::*;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// A client's request timeout, in seconds; longer than any test waits.
pub const LONG_TIMEOUT: &str = "8.000";

pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns settings with one class of each idempotency and two plans, one of them with a small
/// quota.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 4000.0, "give_up": 8000.0, "credit": 1.0, "late_worth": 0.0,
               "idempotency": effect, "group": "all", "memory_span": 8000.0, "streaming": false})
    };
    json!({
        "fleet_size": 2, "me": 0, "my_zone": 0, "zones": ["uio-1"], "tick": 2.0, "registry_mode": "pushed",
        "grades": [class("read", "safe"), class("extend", "keyed"), class("charge", "unsafe")],
        "plans": [
            {"name": "wide", "per_second": 1000.0, "peak_units": 4000.0, "max_out": 0, "pays": 1.0},
            {"name": "narrow", "per_second": 0.5, "peak_units": 2.0, "max_out": 0, "pays": 1.0},
        ],
        "extra": {"max_units": 8, "meter": 500.0, "cost_after": true},
        "policy_limits": {"send_cap": 3, "second_copies": false, "cancel": true, "probes": false,
            "retry_after": true, "max_retry_after": 2000.0, "dial_timeout": 5000.0, "idle_close": 600000.0},
        "report": {"names": [], "via": "off"},
        "rules": {"answer_slack": 8.0, "stop_sending_within": 500.0, "start_capacity": 0.2, "warm_up": 15000.0,
            "overload_factor": 3.0, "fall": 1500.0},
    })
}

pub fn member(host: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": dial.to_string(), "site": "uio-1", "class": "std", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

pub fn members(seq: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// Returns a well-formed request of a class, which determines method, idempotency key and body.
pub fn request(id: &str, class: &str) -> String {
    request_of(id, class, "wide", "1.5")
}

pub fn request_of(id: &str, class: &str, plan: &str, timeout: &str) -> String {
    let (method, extra, body) = match class {
        "read" => ("GET", "", ""),
        "extend" => (
            "POST",
            "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 5\r\n",
            "hello",
        ),
        _ => ("POST", "Content-Length: 5\r\n", "hello"),
    };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Api-Plan: {plan}\r\nCookie: client=00000000b4d65521\r\nRequest-Timeout: {timeout}\r\n\
         Api-Terms: units=1,spread=1,first=0\r\n{extra}\r\n{body}"
    )
}
