//! Cost of one item: frames, instance records, heartbeats, configuration changes.
//! `cargo bench -p maplefall-benches`

use bytes::BytesMut;
use criterion::{BatchSize, Criterion, Throughput};
use maplefall_benches::synthetic::{self, Size};
use maplefall_control_messages::{
    decode_frame, encode_frame, ConfigUpdate, Frame, Heartbeat, Heartbeats, InstanceUpdates,
};
use maplefall_gateway_config::{parse_amend, Change, ConfigState, RouteTable};
use maplefall_service_registry::Registry;
use std::hint::black_box;
use std::time::Duration;

const SMALL: Size = Size {
    routes: 1000,
    tenants: 1000,
    services: 120,
};

fn frames(c: &mut Criterion) {
    let instance_updates = |n: usize| {
        let records = (0..n)
            .map(|n| synthetic::instance_record(n, 120, 1))
            .collect();
        Frame::InstanceUpdates(InstanceUpdates {
            records,
            complete: false,
            ack_number: 0,
        })
    };
    let config_update = || {
        let items = synthetic::items(SMALL);
        Frame::ConfigUpdate(ConfigUpdate {
            after: 0,
            index: 9,
            items,
            ..ConfigUpdate::default()
        })
    };
    let heartbeats = || {
        let entries = (0..1000)
            .map(|n| Heartbeat {
                id: synthetic::backend_id(n),
                seq: 1000,
            })
            .collect();
        Frame::Heartbeats(Heartbeats {
            heartbeats: entries,
        })
    };
    let mut group = c.benchmark_group("frames");
    for (name, frame, items) in [
        ("word", instance_updates(1), 1),
        ("words", instance_updates(1000), 1000),
        ("plans", config_update(), 2120),
        ("alive", heartbeats(), 1000),
        ("ping", Frame::Ping(1), 1),
    ] {
        group.throughput(Throughput::Elements(items));
        let bytes = encode_frame(frame.clone());
        group.bench_function(format!("{name}/write"), |b| {
            b.iter_batched(
                || frame.clone(),
                |frame| black_box(encode_frame(frame)),
                BatchSize::LargeInput,
            );
        });
        group.bench_function(format!("{name}/read"), |b| {
            let buffer = || BytesMut::from(bytes.as_ref());
            b.iter_batched(
                buffer,
                |mut buffer| black_box(decode_frame(&mut buffer).is_ok()),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn registry(c: &mut Criterion) {
    let mut group = c.benchmark_group("directory");
    for size in [1000, 10_000, 40_000] {
        let mut registry = Registry::default();
        (0..size).for_each(|n| drop(registry.apply(0.0, synthetic::instance_record(n, 8900, 1))));
        let (mut n, mut seq) = (0, 1);
        group.bench_function(format!("beat/{size}"), |b| {
            b.iter_batched(
                || {
                    n = (n + 7919) % size;
                    seq += 1;
                    synthetic::instance_record(n, 8900, seq)
                },
                |record| registry.apply(1.0, record),
                BatchSize::SmallInput,
            );
        });
        group.bench_function(format!("overdue/{size}"), |b| {
            b.iter(|| black_box(registry.expire(1.0, 6000.0)));
        });
    }
    group.finish();
}

fn config(c: &mut Criterion) {
    let mut group = c.benchmark_group("numbering");
    let items = synthetic::items(SMALL);
    let state = ConfigState::from_items(items.clone());
    let change = parse_amend(synthetic::upsert_body(0..1, 0..0, 0..0, 120, 8).as_bytes());
    let change: Change = change.unwrap_or_default();
    group.bench_function("check_one/1000+1000", |b| {
        b.iter(|| black_box(state.check(&change).is_ok()))
    });
    group.bench_function("plan/1000+1000", |b| {
        b.iter(|| black_box(RouteTable::from_items(&state)))
    });
    group.bench_function("read_back/1000+1000", |b| {
        b.iter(|| black_box(state.read_back()))
    });
    let body = synthetic::upsert_body(0..1, 0..0, 0..0, 120, 8);
    group.bench_function("read_call/1", |b| {
        b.iter(|| black_box(parse_amend(body.as_bytes()).is_ok()))
    });
    group.finish();
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1200))
        .configure_from_args();
    frames(&mut c);
    registry(&mut c);
    config(&mut c);
    c.final_summary();
}
