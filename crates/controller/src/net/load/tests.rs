//! Tests of the load report and the slow call log lines.

use super::*;

/// Checks the fields of the load report, with times in milliseconds, and that a report resets the
/// counts.
#[test]
fn load_report_counts_inputs_by_kind() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut load = Load::new(start);
    load.handled(InputKind::LeaseRequest, at(0), at(30));
    load.handled(InputKind::LeaseRequest, at(30), at(50));
    load.handled(InputKind::PeerFrame, at(50), at(55));
    assert_eq!(load.tick(at(700)), None);
    let report = load.tick(at(5000)).expect("it is due");
    assert!(
        report
            .starts_with("event=load busy_ms=55 max_input_ms=30 max_tick_gap_ms=4300 slow_calls=0"),
        "{report}"
    );
    assert!(
        report.contains(" lease_requests=2 lease_requests_ms=50 "),
        "{report}"
    );
    assert!(
        report.contains(" peer_frames=1 peer_frames_ms=5 "),
        "{report}"
    );
    let next_report = load.tick(at(10_000)).expect("it is due again");
    assert!(next_report.contains(" busy_ms=0 "), "{next_report}");
}

/// Failed calls are logged with the id of the backend, and a flood of them does not fill the log.
#[test]
fn slow_calls_are_logged_up_to_a_limit() {
    let start = Instant::now();
    let mut load = Load::new(start);
    let abandoned = CallSummary::new(&Call::Deregister("i-7f3a91c2".to_owned()));
    assert_eq!(
        load.call_ended(&abandoned, Duration::from_millis(812))
            .as_deref(),
        Some("event=slow_call call=instances.leave of=i-7f3a91c2 outcome=abandoned ms=812")
    );
    let mut fast = CallSummary::new(&Call::ReadConfig);
    fast.outcome = Outcome::of(&CallResponse::Ok(String::new()));
    assert_eq!(load.call_ended(&fast, Duration::from_millis(3)), None);
    let mut unavailable = CallSummary::new(&Call::ReadConfig);
    unavailable.outcome = Outcome::of(&CallResponse::Unavailable);
    let logged = (0..1000)
        .filter_map(|_| load.call_ended(&unavailable, Duration::ZERO))
        .count();
    assert_eq!(logged, MAX_LOGGED_SLOW_CALLS as usize - 1);
    assert!(load.to_string().contains(" slow_calls=1001 "));
}
