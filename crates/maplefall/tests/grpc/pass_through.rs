//! What is passed through unchanged, and what is rejected before an attempt.

use crate::harness::*;
use maplefall_test_servers::grpc::{framed, Call, Fault, Final};
use std::time::Duration;

#[test]
fn call_is_passed_through_with_its_metadata_and_trailers() {
    run(async {
        let bed = test_bed(2, "");
        let client = bed.client().await;
        for (n, path) in [READ, EXTEND, CHARGE].iter().enumerate() {
            let id = format!("a{n}");
            let served = client
                .call(
                    &call(&id, path, "5S")
                        .with("lot", "7")
                        .with("trace-bin", "AAH/"),
                )
                .await;
            assert_eq!(
                (served.http, served.code(), served.reset),
                (200, Some(0), None),
                "{served:?}"
            );
            assert_eq!(served.messages, [id.as_bytes()]);
            assert_eq!(served.trailer("receipt-bin"), Some("AAEC"));
            assert_eq!(served.head.get("served-by").unwrap(), "stand-in");
            let attempts: Vec<_> = bed
                .services
                .iter()
                .flat_map(|service| service.attempts(&id))
                .collect();
            assert_eq!(attempts.len(), 1);
            let sent = &attempts[0];
            assert_eq!(
                (
                    sent.path.as_str(),
                    sent.header("lot"),
                    sent.header("trace-bin")
                ),
                (*path, Some("7"), Some("AAH/"))
            );
            assert_eq!(
                (sent.header("te"), sent.header("content-type")),
                (Some("trailers"), Some("application/grpc"))
            );
            assert_eq!(sent.header("grpc-previous-rpc-attempts"), None);
            // The forwarded timeout is less than the client's, and not much less.
            let timeout = sent.header("grpc-timeout").unwrap();
            let (number, unit) = timeout.split_at(timeout.len() - 1);
            let micros = number.parse::<f64>().unwrap() * if unit == "u" { 1.0 } else { 1e-3 };
            assert!(
                matches!(unit, "u" | "n") && (2e6..5e6).contains(&micros),
                "{timeout}"
            );
        }
    });
}

#[test]
fn streams_are_forwarded_message_by_message_in_both_directions() {
    run(async {
        let bed = test_bed(1, "");
        let watched = send_call(&bed, "w", WATCH).await;
        assert_eq!(
            (watched.code(), watched.messages.len()),
            (Some(0), 3),
            "{watched:?}"
        );
        // Each message is echoed before the next one is sent: nothing waits for the end of a
        // stream.
        let client = bed.client().await;
        let (response, mut stream) = client.begin(&call("r", REPORT, "8S")).await.unwrap();
        stream.send_data(framed(b"one"), false).unwrap();
        let mut body = response.await.unwrap().into_body();
        assert_eq!(body.data().await.unwrap().unwrap(), framed(b"one"));
        stream.send_data(framed(b"two"), true).unwrap();
        assert_eq!(body.data().await.unwrap().unwrap(), framed(b"two"));
        assert!(body.data().await.is_none());
        assert_eq!(body.trailers().await.unwrap().unwrap()["grpc-status"], "0");
        let mut upload = call("u", UPLOAD, "8S");
        upload.messages = (0..20u8).map(|n| vec![n; 1000]).collect();
        let uploaded = client.call(&upload).await;
        assert_eq!(
            (uploaded.code(), uploaded.messages),
            (Some(0), vec![vec![19; 1000]])
        );
        assert_eq!(bed.services[0].attempts("u")[0].messages, upload.messages);
    });
}

/// Memory is bounded: a stream longer than the buffers passes through in both directions.
#[test]
fn stream_longer_than_the_buffers_is_passed_through() {
    run(async {
        let bed = test_bed(1, "held_bytes = 4096");
        let client = bed.client().await;
        let mut upload = call("u", UPLOAD, "8S");
        upload.messages = (0..200u8).map(|n| vec![n; 10_000]).collect();
        let uploaded = client.call(&upload).await;
        assert_eq!(
            (uploaded.code(), &uploaded.messages[..]),
            (Some(0), &[vec![199; 10_000]][..])
        );
        assert_eq!(bed.services[0].attempts("u")[0].messages, upload.messages);
        let mut report = call("r", REPORT, "8S");
        report.messages = upload.messages.clone();
        // The client sends everything before it reads: messages in transit wait in flow control
        // windows, not in memory.
        let (response, mut stream) = client.begin(&report).await.unwrap();
        let sent = report.messages.clone();
        let sender = tokio::task::spawn_local(async move {
            for message in &sent {
                let mut data = framed(message);
                while !data.is_empty() {
                    stream.reserve_capacity(data.len());
                    let capacity = match stream.capacity() {
                        0 => std::future::poll_fn(|cx| stream.poll_capacity(cx))
                            .await
                            .unwrap()
                            .unwrap(),
                        capacity => capacity,
                    };
                    stream
                        .send_data(data.split_to(capacity.min(data.len())), false)
                        .unwrap();
                }
            }
            stream.send_data(bytes::Bytes::new(), true).unwrap();
        });
        let mut seen = Final::default();
        maplefall_test_servers::grpc::read(response, &mut seen)
            .await
            .unwrap();
        sender.await.unwrap();
        assert_eq!(
            (seen.code(), seen.messages == report.messages),
            (Some(0), true)
        );
    });
}

/// An application status is passed to the client unchanged, once, with its trailers.
#[test]
fn status_of_the_application_is_not_retried() {
    run(async {
        let bed = test_bed(2, "");
        for code in [3, 5, 6, 7, 9, 10, 11, 12, 16] {
            bed.faults(&[(Fault::Status(code), 1.0)]);
            let id = format!("w{code}");
            let seen = send_call(&bed, &id, READ).await;
            assert_eq!(
                (seen.code(), bed.attempts(&id)),
                (Some(code), 1),
                "{seen:?}"
            );
            assert_eq!(seen.trailer("grpc-message"), Some("by the stand-in"));
            assert_eq!(
                (
                    seen.trailer("receipt-bin"),
                    seen.trailer("grpc-retry-pushback-ms")
                ),
                (Some("AAEC"), None)
            );
        }
    });
}

#[test]
fn malformed_calls_are_rejected_and_never_forwarded() {
    run(async {
        let bed = test_bed(1, "");
        let client = bed.client().await;
        let mut two = call("m0", CHARGE, "5S");
        two.messages.push(b"more".to_vec());
        let mut none = call("m1", CHARGE, "5S");
        none.messages.clear();
        let mut long = call("m2", CHARGE, "5S");
        long.messages = vec![vec![7; 70_000]];
        let malformed = [
            (two, 3),
            (none, 3),
            (long, 8),
            (call("m3", CHARGE, "5"), 3),
            (call("m4", CHARGE, "5S").with("cookie", "client=xyz"), 3),
            (call("m5", CHARGE, "5S").with("api-plan", "none"), 3),
            (call("m6", CHARGE, "5S").with("api-terms", "units=0"), 3),
            (call("m7", CHARGE, "5S").with("idempotency-key", "k"), 3),
            (Call::new("m8", EXTEND, "wide", "5S"), 3),
            (call("m9", "/lots.v1.Sessions/Other", "5S"), 12),
            (call("a b", CHARGE, "5S"), 3),
        ];
        for (malformed, code) in malformed {
            let rejected = client.call(&malformed).await;
            assert_eq!(
                (rejected.code(), rejected.http),
                (Some(code), 200),
                "{malformed:?} {rejected:?}"
            );
        }
        let page = client
            .call(&call("p", CHARGE, "5S").with("content-type", "text/plain"))
            .await;
        assert!(page.http == 415 || page.code() == Some(3), "{page:?}");
        assert_eq!(
            client.call(&call("same", CHARGE, "5S")).await.code(),
            Some(0)
        );
        assert_eq!(
            client.call(&call("same", CHARGE, "5S")).await.code(),
            Some(6),
            "an id was accepted for two calls"
        );
        assert_eq!((bed.services[0].seen(), bed.attempts("same")), (1, 1));
    });
}

/// Callers are checked over gRPC as over HTTP.
#[test]
fn callers_are_checked_as_over_http() {
    run(async {
        let auth = maplefall_test_servers::auth::Auth::new(7);
        auth.grant("ana", &["Remote-User: ana"]);
        let listener = listener();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(auth.clone().serve(listener));
        let path = format!(
            "{}/grpc-auth-{}.toml",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let text = format!(
            "servers = [\"http://{address}/auth\"]\ncredentials = [\"authorization\"]\nonward = [\"remote-user\"]\n\
             [classes]\nread = \"closed\"\ncharge = \"closed\"\n"
        );
        std::fs::write(&path, text).unwrap();
        let bed = test_bed_with(
            1,
            "",
            &[("MAPLEFALL_FORWARD_AUTH", &path)],
            settings_without_quota(),
        );
        let client = bed.client().await;
        let charge_call = |id: &str, credential: &str| {
            call(id, CHARGE, "5S")
                .with("authorization", credential)
                .with("remote-user", "forged")
        };
        assert_eq!(client.call(&charge_call("a", "ana")).await.code(), Some(0));
        assert_eq!(
            bed.services[0].attempts("a")[0].header("remote-user"),
            Some("ana")
        );
        assert_eq!(client.call(&charge_call("b", "eva")).await.code(), Some(16));
        auth.deny_with(403, &[]);
        assert_eq!(client.call(&charge_call("c", "tom")).await.code(), Some(7));
        auth.fault(Some((
            maplefall_test_servers::auth::Fault::Status(500),
            1.0,
        )));
        assert_eq!(client.call(&charge_call("d", "ina")).await.code(), Some(14));
        assert_eq!(
            (bed.attempts("b"), bed.attempts("c"), bed.attempts("d")),
            (0, 0, 0)
        );
    });
}

/// An independent client and backend, tonic's, with calls of etcd's published protocol through the
/// gateway.
#[test]
fn tonic_client_reaches_tonic_backend() {
    use hyper::http::uri::PathAndQuery;
    use maplefall_etcd_wire::{
        path, watch_request, PutRequest, RangeRequest, RangeResponse, WatchCreateRequest,
    };
    use maplefall_etcd_wire::{PutResponse, WatchRequest, WatchResponse};
    use maplefall_test_servers::etcd::{store::Store, Etcd};
    use tonic::{Code, Request};
    use tonic_prost::ProstCodec;

    fn request<T>(id: &str, message: T) -> Request<T> {
        let mut request = Request::new(message);
        for (name, value) in [
            ("request-id", id),
            ("api-plan", "wide"),
            ("cookie", "client=00000000b4d65521"),
        ] {
            request.metadata_mut().insert(name, value.parse().unwrap());
        }
        request.set_timeout(Duration::from_secs(5));
        request
    }

    run(async {
        let etcd = Etcd::new(Store::new(1), |_| {});
        let member = etcd.member(0, listener()).unwrap();
        let (_program, grpc) = start(&[member.address], "", &[], settings_without_quota());
        let channel = tonic::transport::Endpoint::from_shared(format!("http://{grpc}"))
            .unwrap()
            .connect()
            .await;
        let mut client = tonic::client::Grpc::new(channel.unwrap());
        client.ready().await.unwrap();
        let put = PutRequest {
            key: b"lot".to_vec(),
            value: b"7".to_vec(),
            ..Default::default()
        };
        let codec: ProstCodec<PutRequest, PutResponse> = ProstCodec::default();
        let done = client
            .unary(
                request("f1", put.clone()),
                PathAndQuery::from_static(path::PUT),
                codec,
            )
            .await;
        assert!(done.unwrap().into_inner().header.is_some());
        client.ready().await.unwrap();
        let range = RangeRequest {
            key: b"lot".to_vec(),
            ..Default::default()
        };
        let codec: ProstCodec<RangeRequest, RangeResponse> = ProstCodec::default();
        let found = client
            .unary(
                request("f2", range),
                PathAndQuery::from_static(path::RANGE),
                codec,
            )
            .await;
        assert_eq!(found.unwrap().into_inner().kvs[0].value, b"7");
        // The service returns an error with its own message.
        client.ready().await.unwrap();
        let codec: ProstCodec<PutRequest, PutResponse> = ProstCodec::default();
        let empty = PutRequest {
            key: Vec::new(),
            ..put.clone()
        };
        let error = client
            .unary(
                request("f3", empty),
                PathAndQuery::from_static(path::PUT),
                codec,
            )
            .await
            .unwrap_err();
        assert_eq!(error.code(), Code::InvalidArgument, "{error:?}");
        assert!(error.message().contains("key"), "{error:?}");
        // A method without a route is rejected.
        client.ready().await.unwrap();
        let codec: ProstCodec<PutRequest, PutResponse> = ProstCodec::default();
        let path = PathAndQuery::from_static("/etcdserverpb.Lease/LeaseGrant");
        let error = client
            .unary(request("f4", put.clone()), path, codec)
            .await
            .unwrap_err();
        assert_eq!(error.code(), Code::Unimplemented, "{error:?}");
        // A bidirectional call: a request for a watch, then changes as they occur.
        client.ready().await.unwrap();
        let (requests, request_stream) = tokio::sync::mpsc::channel(4);
        let create = WatchCreateRequest {
            key: b"lot".to_vec(),
            ..Default::default()
        };
        let create = watch_request::Union::Create(create);
        requests
            .send(WatchRequest {
                union: Some(create),
            })
            .await
            .unwrap();
        let codec: ProstCodec<WatchRequest, WatchResponse> = ProstCodec::default();
        let request_stream = request(
            "f5",
            tokio_stream::wrappers::ReceiverStream::new(request_stream),
        );
        let mut watch = client
            .streaming(
                request_stream,
                PathAndQuery::from_static("/etcdserverpb.Watch/Watch"),
                codec,
            )
            .await
            .unwrap()
            .into_inner();
        assert!(watch.message().await.unwrap().unwrap().created);
        etcd.with(|store| {
            store
                .put(&PutRequest {
                    value: b"8".to_vec(),
                    ..put
                })
                .unwrap()
        });
        let change = watch.message().await.unwrap().unwrap();
        assert_eq!(change.events[0].kv.as_ref().unwrap().value, b"8");
        drop(requests);
    });
}
