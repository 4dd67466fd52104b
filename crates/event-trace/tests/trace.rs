//! Traces are read back as they were written, and what is no trace is rejected with its line.

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

/// Guards records that are judged later: every kind of line comes back as it was written.
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
    let record = Trace {
        header: header(),
        events: recorder.take_events(),
    };
    let text = record.to_text().unwrap();
    assert_eq!(Trace::from_text(&text).unwrap(), record);
}

/// Guards the comparison of what was sent with what came: a change of any part, or of where one ends, shows.
#[test]
fn a_fingerprint_covers_every_part() {
    let forms = [
        request_fingerprint("GET", "/a", None, b""),
        request_fingerprint("POST", "/a", None, b""),
        request_fingerprint("GET", "/b", None, b""),
        request_fingerprint("GET", "/a", Some("k"), b""),
        request_fingerprint("GET", "/a", None, b"k"),
        request_fingerprint("GET", "/ak", None, b""),
    ];
    for (i, one) in forms.iter().enumerate() {
        assert!(!forms[..i].contains(one), "{i}");
    }
    assert_eq!(forms[3], request_fingerprint("GET", "/a", Some("k"), b""));
}

#[test]
fn an_invalid_trace_is_rejected_with_its_line() {
    assert!(matches!(Trace::from_text(""), Err(TraceError::Empty)));
    let first = serde_json::to_string(&header()).unwrap();
    let later = r#"{"at":5.0,"what":"ran","attempt":1}"#;
    let earlier = r#"{"at":4.0,"what":"ran","attempt":2}"#;
    let error = Trace::from_text(&format!("{first}\n{later}\n{earlier}\n")).unwrap_err();
    assert!(error.to_string().starts_with("line 3: "), "{error}");
    let error = Trace::from_text(&format!("{first}\n{{\"at\":1}}\n")).unwrap_err();
    assert!(error.to_string().starts_with("line 2: "), "{error}");
    let other = first.replace("\"version\":1", "\"version\":9");
    assert!(matches!(
        Trace::from_text(&other),
        Err(TraceError::Version(9))
    ));
}
