//! What one item costs: frames, words, beats, changes. `cargo bench -p maplefall-benches`

use bytes::BytesMut;
use criterion::{BatchSize, Criterion, Throughput};
use maplefall_benches::made::{self, Size};
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
    let words = |n: usize| {
        let words = (0..n).map(|n| made::word(n, 120, 1)).collect();
        Frame::InstanceUpdates(InstanceUpdates {
            records: words,
            complete: false,
            ack_number: 0,
        })
    };
    let plans = || {
        let items = made::items(SMALL);
        Frame::ConfigUpdate(ConfigUpdate {
            after: 0,
            index: 9,
            items,
            ..ConfigUpdate::default()
        })
    };
    let alive = || {
        let seen = (0..1000)
            .map(|n| Heartbeat {
                id: made::backend(n),
                seq: 1000,
            })
            .collect();
        Frame::Heartbeats(Heartbeats { heartbeats: seen })
    };
    let mut group = c.benchmark_group("frames");
    for (name, frame, items) in [
        ("word", words(1), 1),
        ("words", words(1000), 1000),
        ("plans", plans(), 2120),
        ("alive", alive(), 1000),
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
            let come = || BytesMut::from(bytes.as_ref());
            b.iter_batched(
                come,
                |mut come| black_box(decode_frame(&mut come).is_ok()),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn directory(c: &mut Criterion) {
    let mut group = c.benchmark_group("directory");
    for size in [1000, 10_000, 40_000] {
        let mut directory = Registry::default();
        (0..size).for_each(|n| drop(directory.apply(0.0, made::word(n, 8900, 1))));
        let (mut n, mut seq) = (0, 1);
        group.bench_function(format!("beat/{size}"), |b| {
            b.iter_batched(
                || {
                    n = (n + 7919) % size;
                    seq += 1;
                    made::word(n, 8900, seq)
                },
                |word| directory.apply(1.0, word),
                BatchSize::SmallInput,
            );
        });
        group.bench_function(format!("overdue/{size}"), |b| {
            b.iter(|| black_box(directory.expire(1.0, 6000.0)));
        });
    }
    group.finish();
}

fn numbering(c: &mut Criterion) {
    let mut group = c.benchmark_group("numbering");
    let items = made::items(SMALL);
    let board = ConfigState::from_items(items.clone());
    let one = parse_amend(made::call(0..1, 0..0, 0..0, 120, 8).as_bytes());
    let one: Change = one.unwrap_or_default();
    group.bench_function("check_one/1000+1000", |b| {
        b.iter(|| black_box(board.check(&one).is_ok()))
    });
    group.bench_function("plan/1000+1000", |b| {
        b.iter(|| black_box(RouteTable::from_items(&board)))
    });
    group.bench_function("read_back/1000+1000", |b| {
        b.iter(|| black_box(board.read_back()))
    });
    let body = made::call(0..1, 0..0, 0..0, 120, 8);
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
    directory(&mut c);
    numbering(&mut c);
    c.final_summary();
}
