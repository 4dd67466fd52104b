//! Which calls are retried, and what their clients are told.

use crate::harness::*;
use maplefall_test_servers::grpc::Fault;
use std::time::Duration;

/// A non-idempotent call that may have run is not retried, whatever the backend's response claims,
/// and the client is asked not to retry either.
#[test]
fn non_idempotent_call_that_may_have_run_is_never_retried() {
    run(async {
        let bed = test_bed(3, "");
        let faults = [
            (Fault::ResetUnanswered(8), 1),
            (Fault::ResetUnanswered(2), 13),
            (Fault::ResetWithin(0), 13),
            (Fault::ResetWithin(8), 1),
            (Fault::ResetWithin(7), 2),
            (Fault::TruncatedMessage, 13),
            (Fault::NoStatus, 2),
            (Fault::NoMessage, 13),
            (Fault::Drop, 2),
            (Fault::Page(503), 2),
            (Fault::Page(200), 2),
            (Fault::Status(14), 2),
            (Fault::Status(8), 2),
            (Fault::Status(13), 13),
            (Fault::Status(2), 2),
        ];
        for (n, (fault, code)) in faults.iter().enumerate() {
            bed.faults(&[(*fault, 1.0)]);
            let id = format!("c{n}");
            let failed = send_call(&bed, &id, CHARGE).await;
            assert_eq!(
                (failed.code(), failed.reset),
                (Some(*code), None),
                "{fault:?} {failed:?}"
            );
            assert_eq!(
                failed.trailer("grpc-retry-pushback-ms"),
                Some("-1"),
                "{fault:?}"
            );
            assert!(
                failed.messages.is_empty() && failed.truncated_bytes == 0,
                "{fault:?}"
            );
            assert_eq!((bed.attempts(&id), bed.ran(&id)), (1, 1), "{fault:?}");
        }
    });
}

#[test]
fn call_that_cannot_have_run_is_retried_whatever_its_class() {
    run(async {
        for fault in [Fault::Refused, Fault::NotStarted(14), Fault::NotStarted(8)] {
            let bed = test_bed(2, "");
            bed.services[0].faults(&[(fault, 1.0)]);
            let mut twice = 0;
            for n in 0..20 {
                let id = format!("t{n}");
                let served = send_call(&bed, &id, CHARGE).await;
                assert_eq!(
                    (served.code(), bed.ran(&id)),
                    (Some(0), 1),
                    "{fault:?} {served:?}"
                );
                let retried = bed.services[1].attempts(&id);
                if bed.attempts(&id) == 2 {
                    twice += 1;
                    assert_eq!(retried[0].header("grpc-previous-rpc-attempts"), Some("1"));
                }
            }
            assert!(twice > 0, "{fault:?} never caused a retry");
        }
    });
}

/// A rejection of a call that cannot have run states so, and allows the client to retry.
#[test]
fn rejection_allows_a_retry() {
    run(async {
        let bed = test_bed(1, "");
        bed.faults(&[(Fault::Refused, 1.0)]);
        let rejected = send_call(&bed, "r", CHARGE).await;
        assert_eq!(
            (rejected.code(), bed.ran("r")),
            (Some(14), 0),
            "{rejected:?}"
        );
        assert_ne!(rejected.trailer("grpc-retry-pushback-ms"), Some("-1"));
        assert!(rejected
            .trailer("grpc-message")
            .unwrap()
            .contains("harmless"));
        // Calls over the quota are rejected with advice when to retry.
        let client = bed.client().await;
        let mut advised = 0;
        for n in 0..50 {
            let rejected = client
                .call(&call(&format!("q{n}"), READ, "8S").with("api-plan", "narrow"))
                .await;
            assert!(matches!(rejected.code(), Some(0 | 14)), "{rejected:?}");
            advised += usize::from(
                rejected
                    .trailer("grpc-retry-pushback-ms")
                    .is_some_and(|wait| wait != "-1"),
            );
        }
        assert!(advised >= 40, "{advised}");
    });
}

#[test]
fn idempotent_call_is_retried_until_it_is_served() {
    run(async {
        let bed = test_bed(2, "");
        let half = [
            (Fault::ResetUnanswered(2), 0.06),
            (Fault::ResetWithin(2), 0.06),
            (Fault::TruncatedMessage, 0.06),
            (Fault::Drop, 0.06),
            (Fault::Status(14), 0.06),
        ];
        bed.faults(&half);
        let (mut served, mut retried) = (0, 0);
        for n in 0..60 {
            let (id, path) = (format!("s{n}"), if n % 2 == 0 { READ } else { EXTEND });
            let seen = send_call(&bed, &id, path).await;
            served += usize::from(seen.code() == Some(0));
            retried += usize::from(bed.attempts(&id) > 1);
            assert!(bed.attempts(&id) <= 3);
            if seen.code() == Some(0) {
                assert_eq!(
                    seen.messages,
                    [id.as_bytes()],
                    "one complete message, from the successful attempt"
                );
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(
            served >= 50 && retried >= 3,
            "{served} served, {retried} calls retried"
        );
    });
}

/// A stream that breaks halfway is not retried, whatever its class: its client has already received
/// a part of it, which cannot be replaced.
///
/// This test failed in 9 of 100 runs beside sixteen busy processes: headers and status arrived, the
/// two messages did not. The gateway had read messages and reset in one go and dropped what was
/// queued when the final status came. A trial log of each drop had 9 lines in these 9 runs, none in
/// the 91 others, each with both messages and 7.99 s left. `slow_clients.rs` reproduces the failure
/// without load.
#[test]
fn stream_that_breaks_halfway_is_not_retried() {
    run(async {
        let bed = test_bed(2, "");
        bed.faults(&[(Fault::ResetAfterMessages(2), 1.0)]);
        for (n, path) in [WATCH, WATCH_CHARGE].iter().enumerate() {
            let id = format!("b{n}");
            let broken = send_call(&bed, &id, path).await;
            assert_eq!(
                (broken.messages.len(), broken.reset, bed.attempts(&id)),
                (2, None, 1),
                "{broken:?}"
            );
            let (code, pushback) = if n == 0 { (14, None) } else { (1, Some("-1")) };
            assert_eq!(
                (broken.code(), broken.trailer("grpc-retry-pushback-ms")),
                (Some(code), pushback),
                "{path}"
            );
        }
        // A stream broken before its first message may be retried if its class allows retries.
        bed.faults(&[(Fault::ResetAfterMessages(0), 0.4)]);
        let mut retried = 0;
        for n in 0..20 {
            let id = format!("f{n}");
            let seen = send_call(&bed, &id, WATCH).await;
            retried += usize::from(bed.attempts(&id) > 1 && seen.code() == Some(0));
            assert!(
                matches!(
                    (seen.code(), seen.messages.len()),
                    (Some(0), 3) | (Some(14), 0)
                ),
                "{seen:?}"
            );
        }
        assert!(retried > 0);
    });
}

/// A backend may send its status, even `OK`, only after the call's deadline: the client then gets
/// another status, at the deadline.
#[test]
fn status_after_the_deadline_does_not_count() {
    run(async {
        let late = Duration::from_millis(1500);
        let mut seen = tokio::task::JoinSet::new();
        for fault in [
            Fault::LateTrailers(late),
            Fault::LateHead(late),
            Fault::NoResponse,
        ] {
            for path in [CHARGE, WATCH] {
                // Each call has a gateway of its own: a backend that has been late would get no
                // more requests for a while.
                let bed = test_bed(1, "");
                seen.spawn_local(async move {
                    bed.faults(&[(fault, 1.0)]);
                    let seen = bed.client().await.call(&call("d", path, "1S")).await;
                    (fault, path, bed.attempts("d"), seen)
                });
            }
        }
        while let Some(seen) = seen.join_next().await {
            let (fault, path, attempts, seen) = seen.unwrap();
            // The status is 4 (deadline exceeded); for a call that may run again it may also be 14,
            // a rejection, which invites a retry.
            let expected = seen.code() == Some(4) || (path == WATCH && seen.code() == Some(14));
            assert!(expected && attempts == 1, "{fault:?} {path} {seen:?}");
            assert!(
                (900..1058).contains(&seen.took.as_millis()),
                "{fault:?} {path} {:?}",
                seen.took
            );
            let messages = if path == WATCH && fault == Fault::LateTrailers(late) {
                3
            } else {
                0
            };
            assert_eq!(seen.messages.len(), messages, "{fault:?} {path}");
        }
        // A response that is late but within the deadline is served.
        let bed = test_bed(1, "");
        bed.faults(&[(Fault::LateTrailers(Duration::from_millis(60)), 1.0)]);
        assert_eq!(
            bed.client()
                .await
                .call(&call("ok", CHARGE, "2S"))
                .await
                .code(),
            Some(0)
        );
    });
}
