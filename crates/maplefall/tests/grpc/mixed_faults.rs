//! gRPC calls to fake services that inject all kinds of faults at once.

use crate::harness::*;
use maplefall_test_servers::grpc::{Client, Fault};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Over 10,000 calls of all classes and shapes, under all faults at once: each has one status, and
/// no more attempts than its class allows.
#[test]
fn ten_thousand_calls_under_mixed_faults_have_one_status_and_no_attempt_too_many() {
    const CLIENTS: usize = 40;
    const CALLS_PER_CLIENT: usize = 255;
    const PATHS: [&str; 6] = [READ, EXTEND, CHARGE, WATCH, WATCH_CHARGE, UPLOAD];
    run(async {
        // The latency target of 200 ms is well below the clients' deadlines, since a call expected
        // to take longer than its client's deadline is rejected before any attempt.
        let mut settings = settings_without_quota();
        (0..3).for_each(|class| settings["grades"][class]["aim"] = serde_json::json!(200.0));
        let bed = test_bed_with(3, "connections = 64", &[], settings);
        let late = Duration::from_millis(700);
        bed.faults(&[
            (Fault::Status(14), 0.02),
            (Fault::Status(5), 0.02),
            (Fault::Status(13), 0.01),
            (Fault::NotStarted(14), 0.02),
            (Fault::Refused, 0.02),
            (Fault::ResetUnanswered(2), 0.02),
            (Fault::ResetUnanswered(8), 0.01),
            (Fault::ResetWithin(2), 0.02),
            (Fault::TruncatedMessage, 0.02),
            (Fault::NoStatus, 0.01),
            (Fault::NoMessage, 0.01),
            (Fault::LateTrailers(late), 0.003),
            (Fault::LateHead(late), 0.003),
            (Fault::NoResponse, 0.003),
            (Fault::Drop, 0.002),
            (Fault::Page(503), 0.01),
            (Fault::ResetAfterMessages(1), 0.01),
        ]);
        let began = Instant::now();
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..CLIENTS {
            let address = bed.grpc;
            clients.spawn_local(async move {
                let client = Client::open(address).await.unwrap();
                let mut seen = Vec::new();
                for n in 0..CALLS_PER_CLIENT {
                    let (id, path) = (format!("m{number}-{n}"), PATHS[(n + number) % PATHS.len()]);
                    let response = client.call(&call(&id, path, "600m")).await;
                    seen.push((id, path, response));
                }
                seen
            });
        }
        let mut all = Vec::new();
        while let Some(seen) = clients.join_next().await {
            all.extend(seen.unwrap());
        }
        let mut codes: BTreeMap<u8, usize> = BTreeMap::new();
        let mut retried = 0;
        for (id, path, seen) in &all {
            // Each call has one status, from the gateway, in time: the test client would have
            // reported a reset or a second status.
            let code = seen
                .code()
                .unwrap_or_else(|| panic!("{id} {path}: no status: {seen:?}"));
            assert_eq!(seen.reset, None, "{id}: {seen:?}");
            assert!(
                seen.took < Duration::from_millis(600 + 58),
                "{id} {path} was late: {:?} {seen:?}",
                seen.took
            );
            *codes.entry(code).or_default() += 1;
            let (attempts, ran) = (bed.attempts(id), bed.ran(id));
            retried += usize::from(attempts > 1);
            assert!(attempts <= 3, "{id}: {attempts} attempts");
            let non_idempotent = [CHARGE, WATCH_CHARGE].contains(path);
            if non_idempotent {
                assert!(ran <= 1, "{id} {path} ran {ran} times");
                // Status 14 is a rejection, for which the call must not have run.
                assert!(
                    code != 14 || ran == 0,
                    "{id} was rejected and ran: {seen:?}"
                );
            }
            match code {
                0 => {
                    // A stream may be empty and still be complete.
                    let counts = if [WATCH, WATCH_CHARGE].contains(path) {
                        [0, 3]
                    } else {
                        [1, 1]
                    };
                    assert!(
                        counts.contains(&seen.messages.len()) && seen.truncated_bytes == 0,
                        "{id}: {seen:?}"
                    );
                    assert!(
                        seen.messages.iter().all(|message| message == id.as_bytes()),
                        "{id}: {seen:?}"
                    );
                    assert!(ran >= 1, "{id} was served and did not run");
                }
                5 => assert_eq!(
                    seen.trailer("receipt-bin"),
                    Some("AAEC"),
                    "the application's trailers: {seen:?}"
                ),
                14 => {}
                // Any other status is a failure, which asks the client not to retry.
                _ => assert_eq!(
                    seen.trailer("grpc-retry-pushback-ms"),
                    Some("-1"),
                    "{id} {path}: {seen:?}"
                ),
            }
        }
        println!(
            "{} calls in {:.1} s, {} attempts, {retried} calls retried, by status {codes:?}",
            all.len(),
            began.elapsed().as_secs_f64(),
            bed.services
                .iter()
                .map(|service| service.seen())
                .sum::<usize>()
        );
        assert_eq!(all.len(), CLIENTS * CALLS_PER_CLIENT);
        assert!(all.len() >= 10_000 && retried > 100, "{retried}");
        assert!(codes[&0] > 7000, "{codes:?}");
    });
}
