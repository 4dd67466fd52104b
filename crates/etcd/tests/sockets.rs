//! The client against the fake etcd over real connections, with injected failures. Tests wait for
//! events, with a generous time limit.

use maplefall_etcd::client::{follow, ConnectionConfig, PassThrough};
use maplefall_etcd::{Output, Report, Settings};
use maplefall_etcd_wire::{DeleteRangeRequest, PutRequest};
use maplefall_membership::{EndpointList, SourceSettings};
use maplefall_protocol::Health;
use maplefall_test_servers::etcd::store::Store;
use maplefall_test_servers::etcd::{Cut, Etcd, Member};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const LIMIT: Duration = Duration::from_secs(30);

struct TestBed {
    etcd: Etcd,
    members: Vec<Member>,
    config: watch::Sender<ConnectionConfig>,
    observed: Rc<RefCell<Observed>>,
}

struct Observed {
    roster: EndpointList,
    reports: Vec<Report>,
    snapshots: usize,
    changes: usize,
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn put(etcd: &Etcd, id: &str, state: &str) -> i64 {
    put_with_lease(etcd, id, state, 0)
}

fn put_with_lease(etcd: &Etcd, id: &str, state: &str, lease: i64) -> i64 {
    let port = 1000
        + id.bytes().fold(0u16, |sum, byte| {
            sum.wrapping_mul(7).wrapping_add(byte.into())
        }) % 9000;
    let value = format!(r#"{{"address":"127.0.0.1:{port}","state":"{state}"}}"#).into_bytes();
    let put = PutRequest {
        key: format!("/p/members/{id}").into(),
        value,
        lease,
        prev_kv: false,
    };
    etcd.with(|store| {
        store.put(&put).unwrap();
        store.revision()
    })
}

fn delete(etcd: &Etcd, id: &str) {
    let key = format!("/p/members/{id}").into_bytes();
    etcd.with(|store| {
        store
            .delete(&DeleteRangeRequest {
                key,
                ..Default::default()
            })
            .unwrap()
    });
}

fn settings() -> Settings {
    Settings {
        watch_timeout: 600.0,
        call_timeout: 1000.0,
        backoff: [5.0, 100.0],
        ..Settings::with_defaults(0, 0, "/p")
    }
}

impl TestBed {
    fn new(members: u64, settings: Settings) -> TestBed {
        TestBed::with(members, settings, Store::new(1), None)
    }

    fn with(
        members: u64,
        settings: Settings,
        store: Store,
        user: Option<(String, String)>,
    ) -> TestBed {
        let etcd = Etcd::new(store, |_| {});
        let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
        let members: Vec<Member> = (0..members)
            .map(|n| etcd.member(n, listener()).unwrap())
            .collect();
        let endpoints = members
            .iter()
            .map(|member| format!("http://{}", member.address))
            .collect();
        let config = watch::Sender::new(ConnectionConfig {
            endpoints,
            user,
            authority: None,
        });
        // Missing nodes are suspected only if the snapshot lacks more than nine tenths of the
        // nodes.
        let source = SourceSettings {
            max_missing_fraction: 0.9,
            suspicion_timeout: 300.0,
            ..SourceSettings::trusted("etcd")
        };
        let observed = Rc::new(RefCell::new(Observed {
            roster: EndpointList::new(vec![source]),
            reports: Vec::new(),
            snapshots: 0,
            changes: 0,
        }));
        let (target, started) = (observed.clone(), Instant::now());
        let clock = move || started.elapsed().as_secs_f64() * 1000.0;
        let on_output = move |output| {
            let mut observed = target.borrow_mut();
            match output {
                Output::Update(update) => {
                    match &update.event {
                        maplefall_membership::Event::Snapshot { .. } => observed.snapshots += 1,
                        maplefall_membership::Event::Change { .. } => observed.changes += 1,
                        _ => {}
                    }
                    observed.roster.apply_event(clock(), update.event);
                }
                Output::Report(report) => observed.reports.push(report),
                Output::Command(_) => {}
            }
        };
        tokio::task::spawn_local(follow(
            settings,
            config.subscribe(),
            clock,
            on_output,
            PassThrough,
        ));
        TestBed {
            etcd,
            members,
            config,
            observed,
        }
    }

    fn states(&self) -> BTreeMap<String, Health> {
        self.observed
            .borrow()
            .roster
            .members()
            .map(|member| (member.host.clone(), member.health))
            .collect()
    }

    async fn wait_until(&self, what: &str, condition: impl Fn(&TestBed) -> bool) {
        let deadline = Instant::now() + LIMIT;
        while !condition(self) {
            let reports: Vec<String> = self
                .observed
                .borrow()
                .reports
                .iter()
                .map(Report::to_string)
                .collect();
            assert!(
                Instant::now() < deadline,
                "{what}: {:?}\n{}",
                self.states(),
                reports.join("\n")
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn wait_for_states(&self, expected: &[(&str, Health)]) {
        let expected: BTreeMap<String, Health> = expected
            .iter()
            .map(|(h, s)| ((*h).to_owned(), *s))
            .collect();
        self.wait_until(&format!("{expected:?}"), |bed| bed.states() == expected)
            .await;
    }

    fn count_reports(&self, wanted: impl Fn(&Report) -> bool) -> usize {
        self.observed
            .borrow()
            .reports
            .iter()
            .filter(|report| wanted(report))
            .count()
    }
}

use Health::{Draining, Up};

#[test]
fn puts_drains_and_deletions_arrive_over_a_real_connection() {
    run(async {
        let bed = TestBed::new(1, settings());
        put(&bed.etcd, "a", "up");
        put(&bed.etcd, "b", "up");
        bed.wait_for_states(&[("a", Up), ("b", Up)]).await;
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining), ("b", Up)]).await;
        delete(&bed.etcd, "a");
        bed.wait_for_states(&[("b", Up)]).await;
        assert_eq!(bed.observed.borrow().snapshots, 1);
    });
}

#[test]
fn watch_interrupted_at_any_point_neither_misses_nor_repeats_changes() {
    run(async {
        let bed = TestBed::new(1, settings());
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
        for (n, cut) in [
            Cut::Between(0),
            Cut::Within,
            Cut::BeforeCreated,
            Cut::Between(1),
            Cut::Within,
        ]
        .into_iter()
        .enumerate()
        {
            bed.members[0].cut(cut);
            if cut == Cut::BeforeCreated {
                bed.members[0].break_off();
            }
            for (step, state) in ["up", "draining", "up", "draining"].into_iter().enumerate() {
                put(&bed.etcd, &format!("c{n}"), state);
                put(&bed.etcd, &format!("d{n}{step}"), "up");
                bed.wait_until("the change", |bed| {
                    bed.states().contains_key(&format!("d{n}{step}"))
                })
                .await;
            }
            bed.wait_until("the drain", |bed| {
                bed.states().get(&format!("c{n}")) == Some(&Draining)
            })
            .await;
            assert!(!bed.members[0].to_be_cut(), "{cut:?} did not happen");
        }
        assert_eq!(
            bed.observed.borrow().snapshots,
            1,
            "all changes arrived by the watch"
        );
    });
}

#[test]
fn drain_written_while_disconnected_is_found_after_a_compaction() {
    run(async {
        let bed = TestBed::new(1, settings());
        for id in ["a", "b", "c", "d"] {
            put(&bed.etcd, id, "up");
        }
        bed.wait_until("four", |bed| bed.states().len() == 4).await;
        bed.members[0].down(true);
        put(&bed.etcd, "a", "draining");
        delete(&bed.etcd, "b");
        // A drain and its reversal, both while the connection is down.
        put(&bed.etcd, "c", "draining");
        let last = put(&bed.etcd, "c", "up");
        bed.etcd.with(|store| store.compact(last).unwrap());
        bed.members[0].down(false);
        bed.wait_for_states(&[("a", Draining), ("c", Up), ("d", Up)])
            .await;
        assert_eq!(
            bed.count_reports(|report| matches!(report, Report::Compacted { .. })),
            1
        );
        assert_eq!(bed.observed.borrow().snapshots, 2);
    });
}

#[test]
fn unresponsive_member_with_an_open_connection_is_replaced_by_another() {
    run(async {
        let bed = TestBed::new(2, settings());
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
        bed.wait_until("the watch", |bed| {
            bed.count_reports(|report| matches!(report, Report::Watching { .. })) == 1
        })
        .await;
        bed.members[0].silent(true);
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining)]).await;
        assert_eq!(
            bed.count_reports(|report| report.to_string().contains("no watch response")),
            1
        );
    });
}

#[test]
fn member_that_is_behind_is_replaced_by_another() {
    run(async {
        let bed = TestBed::new(2, settings());
        put(&bed.etcd, "a", "up");
        let old = put(&bed.etcd, "b", "up");
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining), ("b", Up)]).await;
        bed.members[1].behind(Some(old));
        bed.members[0].down(true);
        bed.wait_until("the lag is reported", |bed| {
            bed.count_reports(|r| matches!(r, Report::Behind { .. })) > 0
        })
        .await;
        assert_eq!(bed.states()["a"], Draining);
        bed.members[1].behind(None);
        put(&bed.etcd, "b", "draining");
        bed.wait_for_states(&[("a", Draining), ("b", Draining)])
            .await;
    });
}

#[test]
fn another_cluster_is_read_in_full_and_its_missing_nodes_are_suspected() {
    run(async {
        let bed = TestBed::new(1, settings());
        for id in ["a", "b", "c"] {
            put(&bed.etcd, id, "up");
        }
        bed.wait_until("three", |bed| bed.states().len() == 3).await;
        // An empty cluster takes the place of the first one.
        bed.etcd.with(|store| *store = Store::new(2));
        bed.members[0].break_off();
        bed.wait_until("the other cluster", |bed| {
            bed.observed.borrow().snapshots == 2
        })
        .await;
        assert_eq!(
            bed.states().len(),
            3,
            "nodes that an empty snapshot lacks are kept at first"
        );
        assert_eq!(
            bed.count_reports(|report| matches!(
                report,
                Report::ClusterChanged {
                    previous: 1,
                    current: 2
                }
            )),
            1
        );
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining), ("b", Up), ("c", Up)])
            .await;
        tokio::time::sleep(Duration::from_millis(310)).await;
        bed.observed.borrow_mut().roster.tick(1e6);
        bed.wait_for_states(&[("a", Draining)]).await;
    });
}

#[test]
fn pages_and_fragments_are_assembled() {
    run(async {
        let mut store = Store::new(1);
        for n in 0..2500 {
            let value = br#"{"address":"127.0.0.1:80"}"#.to_vec();
            let put = PutRequest {
                key: format!("/p/members/n{n}").into(),
                value,
                ..Default::default()
            };
            store.put(&put).unwrap();
        }
        let bed = TestBed::with(
            1,
            Settings {
                page_size: 400,
                ..settings()
            },
            store,
            None,
        );
        // All nodes have one address, so the list has only one of them; the report counts all that
        // were read.
        bed.wait_until("the read", |bed| {
            bed.count_reports(|report| matches!(report, Report::Read { nodes: 2500, .. })) == 1
        })
        .await;
        bed.members[0].set_fragment_size(7);
        bed.wait_until("the watch", |bed| {
            bed.count_reports(|report| matches!(report, Report::Watching { .. })) == 1
        })
        .await;
        let before = bed.observed.borrow().changes;
        let puts = (0..100).map(|n| {
            let value = format!(r#"{{"address":"127.0.0.1:{}"}}"#, 2000 + n).into_bytes();
            let put = PutRequest {
                key: format!("/p/members/m{n}").into(),
                value,
                ..Default::default()
            };
            let put = maplefall_etcd_wire::request_op::Request::Put(put);
            maplefall_etcd_wire::RequestOp { request: Some(put) }
        });
        let txn = maplefall_etcd_wire::TxnRequest {
            success: puts.collect(),
            ..Default::default()
        };
        bed.etcd
            .with(|store| store.txn(&txn, store.revision()).unwrap());
        bed.wait_until("the nodes", |bed| bed.states().len() == 101)
            .await;
        assert_eq!(
            bed.observed.borrow().changes,
            before + 1,
            "one revision is one change, whatever the number of fragments"
        );
    });
}

/// Guards against a full read that restarts forever: the error for a response over the message
/// limit has the same gRPC code as a compaction.
#[test]
fn values_too_long_for_one_message_are_read_in_smaller_pages() {
    run(async {
        let mut store = Store::new(1);
        for n in 0..600 {
            let filler = "x".repeat(15_000);
            let value = format!(
                r#"{{"address":"127.0.0.1:{}","note":"{filler}"}}"#,
                1000 + n
            )
            .into_bytes();
            let put = PutRequest {
                key: format!("/p/members/n{n}").into(),
                value,
                ..Default::default()
            };
            store.put(&put).unwrap();
        }
        let bed = TestBed::with(
            1,
            Settings {
                page_size: 1000,
                ..settings()
            },
            store,
            None,
        );
        bed.wait_until("the nodes", |bed| bed.states().len() == 600)
            .await;
        // The 9 MB of nodes are read in pages of up to 4 MiB.
        assert!(bed.etcd.ranges() >= 3, "{}", bed.etcd.ranges());
        assert_eq!(
            bed.count_reports(|report| matches!(report, Report::Lost { .. })),
            0
        );
    });
}

#[test]
fn client_authenticates_again_when_its_token_is_rejected() {
    run(async {
        let user = Some(("front".to_owned(), "secret".to_owned()));
        let bed = TestBed::with(1, settings(), Store::new(1), user);
        bed.etcd.only("front", "secret");
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
        bed.etcd.forget_tokens();
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining)]).await;
        assert_eq!(bed.observed.borrow().snapshots, 1);
    });
}

#[test]
fn client_authenticates_again_after_a_change_of_users() {
    run(async {
        let user = Some(("front".to_owned(), "secret".to_owned()));
        let bed = TestBed::with(1, settings(), Store::new(1), user);
        bed.etcd.only("front", "secret");
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
        // A change of users invalidates the token, although the user stays the same: the open watch
        // continues, and the next watch needs a new token.
        bed.etcd.only("front", "secret");
        put(&bed.etcd, "b", "up");
        bed.wait_for_states(&[("a", Up), ("b", Up)]).await;
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining), ("b", Up)]).await;
        assert_eq!(
            bed.count_reports(|report| report.to_string().contains("not permitted")),
            0
        );
    });
}

/// Guards an idle prefix in a busy store: progress notifications advance the revision of its watch
/// beyond the compaction, so that it can be resumed without a full read.
#[test]
fn progress_notifications_keep_an_idle_watch_ahead_of_the_compaction() {
    run(async {
        for notices in [true, false] {
            let bed = TestBed::new(1, settings());
            put(&bed.etcd, "a", "up");
            bed.wait_for_states(&[("a", Up)]).await;
            bed.wait_until("the watch", |bed| {
                bed.count_reports(|r| matches!(r, Report::Watching { .. })) == 1
            })
            .await;
            let last = bed.etcd.with(|store| {
                for _ in 0..50 {
                    let other = PutRequest {
                        key: b"/other".to_vec(),
                        ..Default::default()
                    };
                    store.put(&other).unwrap();
                }
                store.revision()
            });
            if notices {
                bed.members[0].set_progress_interval(Duration::from_millis(20));
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            bed.etcd.with(|store| store.compact(last).unwrap());
            bed.members[0].break_off();
            put(&bed.etcd, "a", "draining");
            bed.wait_for_states(&[("a", Draining)]).await;
            let compacted = bed.count_reports(|report| matches!(report, Report::Compacted { .. }));
            assert_eq!(compacted, usize::from(!notices), "with notices: {notices}");
        }
    });
}

#[test]
fn credentials_are_allowed_while_authentication_is_disabled() {
    run(async {
        let user = Some(("front".to_owned(), "secret".to_owned()));
        let bed = TestBed::with(1, settings(), Store::new(1), user);
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
        // Authentication is enabled from here on.
        bed.etcd.only("front", "secret");
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining)]).await;
    });
}

#[test]
fn wrong_password_is_reported_once() {
    run(async {
        let settings = Settings {
            backoff: [5.0, 20.0],
            ..settings()
        };
        let bed = TestBed::with(
            1,
            settings,
            Store::new(1),
            Some(("front".to_owned(), "wrong".to_owned())),
        );
        bed.etcd.only("front", "secret");
        let denied = |bed: &TestBed| {
            bed.count_reports(|r| r.to_string().contains("invalid user ID or password"))
        };
        bed.wait_until("the report", |bed| denied(bed) == 1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            bed.observed.borrow().reports.len(),
            1,
            "{:?}",
            bed.observed.borrow().reports
        );
        // A reload corrects the password.
        let mut config = bed.config.borrow().clone();
        config.user = Some(("front".to_owned(), "secret".to_owned()));
        bed.config.send_replace(config);
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
    });
}

#[test]
fn change_of_endpoints_keeps_the_list() {
    run(async {
        let bed = TestBed::new(2, settings());
        put(&bed.etcd, "a", "up");
        bed.wait_for_states(&[("a", Up)]).await;
        let mut config = bed.config.borrow().clone();
        config.endpoints.remove(0);
        bed.members[0].down(true);
        bed.config.send_replace(config);
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining)]).await;
        assert_eq!(
            bed.observed.borrow().snapshots,
            1,
            "the watch resumed from the last revision"
        );
    });
}

#[test]
fn expired_lease_removes_its_node_and_is_reported() {
    run(async {
        let bed = TestBed::new(1, settings());
        let now = bed.etcd.now();
        let lease = bed.etcd.with(|store| store.grant(now, 1, 0)).unwrap();
        put_with_lease(&bed.etcd, "a", "up", lease);
        put(&bed.etcd, "b", "up");
        bed.wait_for_states(&[("a", Up), ("b", Up)]).await;
        bed.wait_for_states(&[("b", Up)]).await;
        let named =
            |report: &Report| matches!(report, Report::LeaseEnded { hosts, .. } if hosts == &["a"]);
        bed.wait_until("the lease is named", |bed| bed.count_reports(named) == 1)
            .await;
    });
}

#[test]
fn slow_member_is_awaited_and_one_that_never_responds_is_replaced() {
    run(async {
        let bed = TestBed::new(2, settings());
        put(&bed.etcd, "a", "up");
        bed.members[0].slow(Duration::from_millis(300));
        bed.wait_for_states(&[("a", Up)]).await;
        assert_eq!(bed.observed.borrow().snapshots, 1);
        bed.members[0].slow(Duration::from_secs(3600));
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.wait_for_states(&[("a", Draining)]).await;
    });
}
