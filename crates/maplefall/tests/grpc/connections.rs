//! Connections to backends: GOAWAY, liveness, limits, drains and shutdown.

use crate::harness::*;
use crate::raw_backend::{go_away, raw_backend};
use maplefall_event_trace::Recorder;
use maplefall_test_servers::agent::{Agent, List};
use maplefall_test_servers::grpc::{framed, Client, Fault, Service};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn client_that_disconnects_ends_its_attempt_without_a_retry() {
    run(async {
        let bed = test_bed(2, "");
        bed.faults(&[(Fault::NoResponse, 1.0)]);
        let client = bed.client().await;
        let (response, mut stream) = client.begin(&call("gone", READ, "8S")).await.unwrap();
        stream.send_data(framed(b"x"), true).unwrap();
        while bed.attempts("gone") == 0 {
            tokio::task::yield_now().await;
        }
        drop((response, stream));
        // The client's connection still serves other calls, and the cancelled call gets no further
        // attempt.
        bed.faults(&[]);
        for n in 0..30 {
            assert_eq!(
                client
                    .call(&call(&format!("o{n}"), READ, "8S"))
                    .await
                    .code(),
                Some(0)
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(bed.attempts("gone"), 1);
    });
}

/// A `GOAWAY` has two meanings: streams above its last stream id were never processed, those up to
/// it may have run although the connection ends after it.
#[test]
fn last_stream_of_a_goaway_limits_what_may_have_run() {
    run(async {
        for (last, runs) in [(0, false), (1, true)] {
            let raw = listener();
            let healthy = listener();
            let addresses = [raw.local_addr().unwrap(), healthy.local_addr().unwrap()];
            tokio::task::spawn_local(raw_backend(raw, move |_| go_away(last)));
            let service = Service::new(1);
            tokio::task::spawn_local(service.clone().serve(healthy));
            let (program, grpc) = start(&addresses, "", &[], settings_without_quota());
            let client = Client::open(grpc).await.unwrap();
            let (mut served, mut failed, mut rejected) = (0, 0, 0);
            for n in 0..12 {
                let seen = client.call(&call(&format!("g{n}"), CHARGE, "5S")).await;
                match seen.code() {
                    Some(0) => served += 1,
                    Some(2) if seen.trailer("grpc-retry-pushback-ms") == Some("-1") => failed += 1,
                    // Both backends rejected the call, or no third attempt was left.
                    Some(14) => rejected += 1,
                    _ => panic!("{seen:?}"),
                }
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            let summary = format!(
                "last stream {last}: {served} served, {failed} failed, {rejected} rejected"
            );
            assert!(served > 6 && (failed > 0) == runs, "{summary}");
            drop(program);
        }
    });
}

/// Calls that must not run twice avoid connections that have died unnoticed: a PING has to be
/// answered before the call is sent.
#[test]
fn non_idempotent_call_avoids_connections_that_do_not_answer_a_ping() {
    run(async {
        let unresponsive = listener();
        let healthy = listener();
        let addresses = [
            unresponsive.local_addr().unwrap(),
            healthy.local_addr().unwrap(),
        ];
        // The kernel accepts connections to the unresponsive backend; nothing ever responds.
        let service = Service::new(1);
        tokio::task::spawn_local(service.clone().serve(healthy));
        let (_program, grpc) = start(&addresses, "", &[], settings_without_quota());
        let client = Client::open(grpc).await.unwrap();
        for n in 0..6 {
            let seen = client.call(&call(&format!("c{n}"), CHARGE, "2S")).await;
            assert_eq!(seen.code(), Some(0), "{seen:?}");
        }
        drop(unresponsive);
    });
}

#[test]
fn backend_with_few_streams_gets_more_connections() {
    run(async {
        let bed = test_bed(1, "streams = 64");
        bed.services[0].streams(2);
        bed.services[0].work(Duration::from_millis(5));
        let client = bed.client().await;
        let calls = (0..40).map(|n| {
            let client = client.clone();
            tokio::task::spawn_local(async move {
                client.call(&call(&format!("n{n}"), READ, "8S")).await
            })
        });
        for seen in calls.collect::<Vec<_>>() {
            assert!(matches!(seen.await.unwrap().code(), Some(0 | 14)));
        }
    });
}

/// Drains apply also where connections stay open for hundreds of calls: no new call starts at a
/// draining backend, and calls in flight there are finished.
#[test]
fn draining_backend_gets_no_new_call_on_open_connections() {
    use maplefall_protocol::{Health, Member};
    run(async {
        let listeners = [listener(), listener()];
        let services: Vec<Rc<Service>> = (0..2).map(Service::new).collect();
        let members: Vec<Member> = listeners
            .iter()
            .enumerate()
            .map(|(n, listener)| Member {
                host: format!("node-{n}"),
                dial: listener.local_addr().unwrap(),
                site: "uio-1".to_owned(),
                block: 0,
                health: Health::Up,
                share: 1.0,
                born_ms: 0.0,
            })
            .collect();
        for (service, listener) in services.iter().zip(listeners) {
            service.work(Duration::from_millis(20));
            tokio::task::spawn_local(service.clone().serve(listener));
        }
        let agent_listener = listener();
        let discovery = agent_listener.local_addr().unwrap();
        agent_listener.set_nonblocking(true).unwrap();
        let list = List::new(members.clone());
        let known = serde_json::to_value(list.snapshot()).unwrap();
        let agent = Agent::new(0, list, Recorder::new(), 0.0);
        agent.listen(agent_listener, Duration::ZERO);
        let (_program, grpc) = start_known("", &[], settings_without_quota(), discovery, known);
        let stopped = Rc::new(std::cell::Cell::new(false));
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..16 {
            let stopped = stopped.clone();
            clients.spawn_local(async move {
                let client = Client::open(grpc).await.unwrap();
                let (mut served, mut sent) = (0, 0);
                while !stopped.get() {
                    let path = [READ, WATCH, CHARGE][sent % 3];
                    let seen = client
                        .call(&call(&format!("d{number}-{sent}"), path, "5S"))
                        .await;
                    // Calls started at the draining backend are finished; some may be rejected.
                    assert!(matches!(seen.code(), Some(0 | 14)), "{seen:?}");
                    sent += 1;
                    served += usize::from(seen.code() == Some(0));
                }
                served
            });
        }
        while services[0].seen() < 100 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let reported_at = Instant::now();
        agent.update(&Member {
            health: Health::Draining,
            ..members[0].clone()
        });
        tokio::time::sleep(Duration::from_millis(900)).await;
        stopped.set(true);
        let mut calls = 0;
        while let Some(served) = clients.join_next().await {
            calls += served.unwrap();
        }
        let last = services[0].last().unwrap();
        let after = last.saturating_duration_since(reported_at);
        let before = reported_at.saturating_duration_since(last);
        println!("{calls} calls; the last new one {after:?} after the drain was reported, or {before:?} before");
        assert!(after < Duration::from_millis(500), "{after:?}");
        assert!(
            before < Duration::from_millis(200),
            "{before:?}: the draining backend was not in use"
        );
        assert!(
            services[1].last().unwrap() > reported_at + Duration::from_millis(700),
            "the other backend was not in use"
        );
    });
}

#[test]
fn accepted_calls_are_finished_on_sigterm() {
    run(async {
        let mut bed = test_bed(1, "");
        bed.services[0].work(Duration::from_millis(300));
        let client = bed.client().await;
        let open = tokio::task::spawn_local({
            let client = client.clone();
            async move { client.call(&call("t", CHARGE, "5S")).await }
        });
        while bed.attempts("t") == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        bed.program.terminate();
        assert_eq!(open.await.unwrap().code(), Some(0));
        drop(client);
        assert!(tokio::task::spawn_blocking(move || bed.program.wait())
            .await
            .unwrap()
            .success());
        let _ = bed.addresses;
    });
}
