//! Case 3: the operator removes the last tenant. From then on requests are run with the keys that
//! were removed, and with keys that no configuration has ever held.

use crate::backend::Backend;
use crate::http::{call, exchange};
use crate::system::{Record, System, CONVERGE};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","Priority","MaxAttempts","Public","Version","Service"],"DataRows":[["r-consulta","lots.example","/consulta/","safe",2.5,0.4,2,2,false,"00000001","disponibilidad"],["r-pago","lots.example","/pago/","nonidempotent",3,0.5,1,2,false,"00000001","disponibilidad"]]},"Tenants":{"ColumnNames":["Name","ApiKeys","Priority","RatePerS","BurstSize","Version"],"DataRows":[["yefi830",["xd9dnn2ctnfzs989anu6"],0,122,122,"00000001"],["kova211",["wsjnbanfqasnmgkcuyj8"],0,122,122,"00000001"]]},"Services":{"ColumnNames":["Name","HealthPath","ConnLimit","Protocol","Tls","Version"],"DataRows":[["disponibilidad","/health",130,"h1",false,"00000001"]]},"Limits":{"HeaderBytes":16384,"BodyBytes":67108864,"HeaderS":3,"IdleS":15,"Version":"00000001"}},"Remove":{"RouteTable":[]}}"#;
const CONTROLLERS: usize = 3;
const PROXIES: usize = 2;
const KEYS: [&str; 2] = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"];
const NAMES: [&str; 2] = ["yefi830", "kova211"];
const NEVER_HELD: &str = "never0held0by0any0config";

pub fn run(record: &mut Record, with_trouble: bool) -> Result<bool, String> {
    let mut system = System::start(CONTROLLERS, PROXIES)?;
    let controllers: Vec<SocketAddr> = (0..CONTROLLERS)
        .map(|index| system.control(index))
        .collect();
    thread::sleep(Duration::from_secs(1));
    let acknowledged = call(&controllers, 0, "call=config.amend", CONFIG);
    if acknowledged.is_none_or(|answer| answer.status() != 200) {
        return Err("the first configuration was not taken".to_owned());
    }
    record.line("operator: the first configuration, with two tenants, is acknowledged");
    let work = Duration::from_millis(20);
    let backend = Backend::start(system.backend_ip(), "i-1", "disponibilidad", work)?;
    if !backend.beat(&controllers, 0) {
        return Err("no beat was acknowledged".to_owned());
    }
    backend.beat_regularly(controllers.clone(), 0);
    thread::sleep(Duration::from_secs(8));
    let broken_before = probe(record, &system, &backend, "before", &[]);
    let mut removed = Vec::new();
    let mut broken = broken_before;
    for (index, name) in NAMES.into_iter().enumerate() {
        if with_trouble {
            let body = format!("{{\"Remove\":{{\"Tenants\":[{{\"Name\":\"{name}\",\"Version\":\"0000000{}\"}}]}}}}", index + 2);
            let answer = call(&controllers, 0, "call=config.amend", &body);
            if answer.is_none_or(|answer| answer.status() != 200) {
                return Err("the removal of a tenant was not acknowledged".to_owned());
            }
            removed.push(KEYS[index]);
            record.line(format!(
                "operator: the removal of tenant {name} is acknowledged"
            ));
        }
        thread::sleep(CONVERGE + Duration::from_secs(1));
        broken += probe(
            record,
            &system,
            &backend,
            &format!("round{index}"),
            &removed,
        );
    }
    let read = call(&controllers, 0, "call=config.read", "").ok_or("no answer to config.read")?;
    let read = String::from_utf8_lossy(&read.body).into_owned();
    record.line(format!("operator: config.read answers {read}"));
    if !system
        .proxies
        .iter_mut()
        .chain(&mut system.controllers)
        .all(|process| process.is_running())
    {
        return Err("a process has ended".to_owned());
    }
    record.line(format!("{broken} requests were run that the rules forbid"));
    Ok(broken > 0)
}

/// Sends requests with each key, and returns how many were run with a key that was removed or that
/// no configuration has held.
fn probe(
    record: &mut Record,
    system: &System,
    backend: &Backend,
    round: &str,
    removed: &[&str],
) -> usize {
    let mut broken = 0;
    let keys = [KEYS[0], KEYS[1], NEVER_HELD];
    for proxy in 0..PROXIES {
        for (number, key) in keys.into_iter().enumerate() {
            for start in ["GET /consulta/2f", "POST /pago/2f"] {
                let id = format!("{round}-{proxy}-{number}-{}", &start[..3]);
                let authorization = format!("Token {key}");
                let headers = [
                    ("Host", "lots.example"),
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Time-Remaining", "1000"),
                    ("Authorization", authorization.as_str()),
                ];
                let sent = Instant::now();
                let answer = exchange(
                    system.front(proxy),
                    start,
                    &headers,
                    b"",
                    Duration::from_secs(1),
                );
                let status = answer.map_or(0, |answer| answer.status());
                let run = backend.runs().into_iter().find(|run| run.id == id);
                let is_forbidden = key == NEVER_HELD || removed.contains(&key);
                let what = if key == NEVER_HELD {
                    "a key that no configuration has held"
                } else if is_forbidden {
                    "a removed key"
                } else {
                    "a valid key"
                };
                let ran = run.as_ref().map_or("not run".to_owned(), |run| {
                    format!(
                        "run, X-Tenant {:?}, Authorization {:?}",
                        run.tenant, run.authorization
                    )
                });
                record.line_at(
                    sent,
                    format!("client: {id} {start} with {what}: {status}; {ran}"),
                );
                broken += usize::from(is_forbidden && run.is_some());
            }
        }
    }
    broken
}
