//! Round trip of traces through their text form, and rejection of invalid traces with the line
//! number.

use maplefall_event_trace::*;

fn header() -> Header {
    Header {
        version: VERSION,
        scenario: "calm".into(),
        seed: 7,
        proxies: 2,
        classes: Vec::new(),
        plans: Vec::new(),
        rules: Rules::platform(700.0),
    }
}

/// Guards traces that are evaluated from a file later: events and their numbers must survive the
/// text form.
#[test]
fn a_trace_is_read_back_as_it_was_written() {
    let recorder = Recorder::new();
    recorder.record(EventKind::Proxy {
        proxy: 1,
        state: ProxyState::Ended { code: Some(3) },
    });
    recorder.record(EventKind::Node {
        node: 4,
        state: NodeState::Up {
            cores: 2.0,
            initial_capacity: 0.2,
            warmup_ms: 9e3,
        },
    });
    recorder.record(EventKind::RequestFailed {
        id: "a".into(),
        proxy: 0,
        connection: 3,
        reason: FailureReason::Truncated,
    });
    recorder.record(EventKind::AttemptEnded {
        attempt: 9,
        end: AttemptEnd::Cancelled,
    });
    for i in 1..2000 {
        let deadline = f64::from(i) * 1.234_567_890_123 + 1.0 / f64::from(i);
        recorder.record(EventKind::AttemptReceived {
            attempt: 1,
            node: 0,
            proxy: 0,
            id: "a".into(),
            key: None,
            fingerprint: request_fingerprint("GET", "/a", None, b""),
            first_byte_at: deadline,
            complete: true,
            work: deadline / 3.0,
        });
    }
    let trace = Trace {
        header: header(),
        events: recorder.take_events(),
    };
    let text = trace.to_text().unwrap();
    assert_eq!(Trace::from_text(&text).unwrap(), trace);
}

/// Guards the comparison of sent and received requests: a change of any part, or of a boundary
/// between two parts, changes the fingerprint.
#[test]
fn a_fingerprint_covers_every_part() {
    let fingerprints = [
        request_fingerprint("GET", "/a", None, b""),
        request_fingerprint("POST", "/a", None, b""),
        request_fingerprint("GET", "/b", None, b""),
        request_fingerprint("GET", "/a", Some("k"), b""),
        request_fingerprint("GET", "/a", None, b"k"),
        request_fingerprint("GET", "/ak", None, b""),
    ];
    for (i, fingerprint) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[..i].contains(fingerprint), "{i}");
    }
    assert_eq!(
        fingerprints[3],
        request_fingerprint("GET", "/a", Some("k"), b"")
    );
}

#[test]
fn an_invalid_trace_is_rejected_with_its_line() {
    assert!(matches!(Trace::from_text(""), Err(TraceError::Empty)));
    let header_line = serde_json::to_string(&header()).unwrap();
    let at_5_ms = r#"{"at":5.0,"what":"ran","attempt":1}"#;
    let at_4_ms = r#"{"at":4.0,"what":"ran","attempt":2}"#;
    let error = Trace::from_text(&format!("{header_line}\n{at_5_ms}\n{at_4_ms}\n")).unwrap_err();
    assert!(error.to_string().starts_with("line 3: "), "{error}");
    let error = Trace::from_text(&format!("{header_line}\n{{\"at\":1}}\n")).unwrap_err();
    assert!(error.to_string().starts_with("line 2: "), "{error}");
    let other_version = header_line.replace("\"version\":1", "\"version\":9");
    assert!(matches!(
        Trace::from_text(&other_version),
        Err(TraceError::Version(9))
    ));
}

/// One event of each kind as earlier versions wrote it; the field names are the file format.
const EVENTS_OF_VERSION_1: &str = r#"{"at":1.5,"what":"door","door":0,"state":"started"}
{"at":2.5,"what":"told","door":0,"node":0,"health":"up","born":null,"source":0,"version":1}
{"at":3.5,"what":"node","node":0,"state":"up","cores":2.0,"cold_from":1.0,"cold_ms":10000.0}
{"at":20.5,"what":"asked","id":"0e15","item":0,"retry":0,"door":0,"link":1,"customer":92,"plan":2,"class":2,"units":1.0,"deadline":1742.5,"form":161}
{"at":30.5,"what":"came","attempt":1,"node":2,"door":0,"id":"0e15","key":null,"form":161,"first":29.5,"whole":true,"work":30.25}
{"at":31.5,"what":"ran","attempt":1}
{"at":32.5,"what":"over","attempt":1,"end":"served"}
{"at":33.5,"what":"answered","id":"0e15","link":1,"status":200,"attempt":1,"retry_after_ms":null}
{"at":34.5,"what":"failure","name":"nodes replaced","begins":true}
{"at":35.5,"what":"node","node":4,"state":"draining"}
{"at":36.5,"what":"committed","node":4,"health":"draining"}
{"at":37.5,"what":"due","door":0,"node":4,"health":"draining","version":2}
{"at":38.5,"what":"over","attempt":118,"end":"turned_away"}
{"at":39.5,"what":"node","node":4,"state":"gone"}
{"at":40.5,"what":"over","attempt":297,"end":"given_up"}
{"at":41.5,"what":"unanswered","id":"1a75","door":1,"link":19,"why":"closed"}
{"at":42.5,"what":"unanswered","id":"1a75","door":1,"link":0,"why":"not_taken"}
{"at":43.5,"what":"door","door":1,"state":"ended","code":null}
{"at":44.5,"what":"used","door":1,"cpu_ms":240.0,"memory_kib":14484}
{"at":45.5,"what":"lateness","actions":1060,"p50_ms":1.25,"p99_ms":5.375,"most_ms":13.75}
{"at":46.5,"what":"surplus","door":0,"link":1,"id":"0e15"}
{"at":47.5,"what":"rude","kind":"half a head","status":null,"neglected":true}
{"at":48.5,"what":"credential","customer":7,"passes":false}
{"at":49.5,"what":"node","node":1,"state":"fell"}
{"at":50.5,"what":"over","attempt":2,"end":"spoilt"}
{"at":51.5,"what":"over","attempt":3,"end":"reset"}
{"at":52.5,"what":"over","attempt":4,"end":"error"}
{"at":53.5,"what":"unanswered","id":"1a75","door":1,"link":19,"why":"cut"}
{"at":54.5,"what":"unanswered","id":"1a75","door":1,"link":19,"why":"silent"}
{"at":55.5,"what":"door","door":1,"state":"killed"}
{"at":56.5,"what":"door","door":1,"state":"terminated"}
{"at":57.5,"what":"door","door":1,"state":"reloaded"}
{"at":58.5,"what":"door","door":1,"state":"ready"}
"#;

/// A header as earlier versions wrote it.
const HEADER_OF_VERSION_1: &str = r#"{"version":1,"scenario":"short","seed":1,"doors":2,"classes":[{"name":"consulta","effect":"safe","memory_ms":0.0,"aim_ms":600.0,"worth":3.0,"late_worth":0.2,"unchecked":false}],"plans":[{"name":"municipal","rate":24.0,"burst":40.0,"price":1.8,"ceiling":{"rate":50.0,"burst":80.0,"slack":8.0}}],"rules":{"answer_slack_ms":8.0,"drain_grace_ms":500.0,"overload_factor":3.0,"overload_window_ms":1500.0,"cold_slack_ms":704.0,"most_attempts":3,"socket_slack_ms":50.0,"revoked_ms":0.0,"told_within_ms":6000.0,"shared_ms":0.0}}"#;

/// Guards the file format against renames in the code: a trace of an earlier version is read and
/// written back byte for byte.
#[test]
fn a_trace_of_version_1_is_read_and_written_byte_for_byte() {
    let text = format!("{HEADER_OF_VERSION_1}\n{EVENTS_OF_VERSION_1}");
    let trace = Trace::from_text(&text).unwrap();
    assert_eq!(trace.events.len(), 33);
    assert_eq!(trace.to_text().unwrap(), text);
}
