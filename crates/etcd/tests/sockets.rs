//! The client against the played etcd over real connections that break in every way that is asked of it. Waits are for
//! events; the limits are generous.

use maplefall_etcd::client::{follow, Place, Straight};
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

struct Bed {
    etcd: Etcd,
    members: Vec<Member>,
    place: watch::Sender<Place>,
    seen: Rc<RefCell<Seen>>,
}

struct Seen {
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
    put_on(etcd, id, state, 0)
}

fn put_on(etcd: &Etcd, id: &str, state: &str, lease: i64) -> i64 {
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
        silence: 600.0,
        answer: 1000.0,
        retry: [5.0, 100.0],
        ..Settings::usual(0, 0, "/p")
    }
}

impl Bed {
    fn new(members: u64, settings: Settings) -> Bed {
        Bed::with(members, settings, Store::new(1), None)
    }

    fn with(members: u64, settings: Settings, store: Store, user: Option<(String, String)>) -> Bed {
        let etcd = Etcd::new(store, |_| {});
        let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
        let members: Vec<Member> = (0..members)
            .map(|n| etcd.member(n, listener()).unwrap())
            .collect();
        let endpoints = members
            .iter()
            .map(|member| format!("http://{}", member.address))
            .collect();
        let place = watch::Sender::new(Place {
            endpoints,
            user,
            authority: None,
        });
        // What vanishes is doubted only if nothing is left.
        let source = SourceSettings {
            max_missing_fraction: 0.9,
            suspicion_timeout: 300.0,
            ..SourceSettings::trusted("etcd")
        };
        let seen = Rc::new(RefCell::new(Seen {
            roster: EndpointList::new(vec![source]),
            reports: Vec::new(),
            snapshots: 0,
            changes: 0,
        }));
        let (to, begun) = (seen.clone(), Instant::now());
        let clock = move || begun.elapsed().as_secs_f64() * 1000.0;
        let take = move |output| {
            let mut seen = to.borrow_mut();
            match output {
                Output::Tell(told) => {
                    match &told.event {
                        maplefall_membership::Event::Snapshot { .. } => seen.snapshots += 1,
                        maplefall_membership::Event::Change { .. } => seen.changes += 1,
                        _ => {}
                    }
                    seen.roster.apply_event(clock(), told.event);
                }
                Output::Report(report) => seen.reports.push(report),
                Output::Command(_) => {}
            }
        };
        tokio::task::spawn_local(follow(settings, place.subscribe(), clock, take, Straight));
        Bed {
            etcd,
            members,
            place,
            seen,
        }
    }

    fn states(&self) -> BTreeMap<String, Health> {
        self.seen
            .borrow()
            .roster
            .members()
            .map(|member| (member.host.clone(), member.health))
            .collect()
    }

    async fn until(&self, what: &str, held: impl Fn(&Bed) -> bool) {
        let by = Instant::now() + LIMIT;
        while !held(self) {
            let reports: Vec<String> = self
                .seen
                .borrow()
                .reports
                .iter()
                .map(Report::to_string)
                .collect();
            assert!(
                Instant::now() < by,
                "{what}: {:?}\n{}",
                self.states(),
                reports.join("\n")
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn until_is(&self, expected: &[(&str, Health)]) {
        let expected: BTreeMap<String, Health> = expected
            .iter()
            .map(|(h, s)| ((*h).to_owned(), *s))
            .collect();
        self.until(&format!("{expected:?}"), |bed| bed.states() == expected)
            .await;
    }

    fn reported(&self, wanted: impl Fn(&Report) -> bool) -> usize {
        self.seen
            .borrow()
            .reports
            .iter()
            .filter(|report| wanted(report))
            .count()
    }
}

use Health::{Draining, Up};

#[test]
fn puts_drains_and_removals_come_over_a_real_connection() {
    run(async {
        let bed = Bed::new(1, settings());
        put(&bed.etcd, "a", "up");
        put(&bed.etcd, "b", "up");
        bed.until_is(&[("a", Up), ("b", Up)]).await;
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining), ("b", Up)]).await;
        delete(&bed.etcd, "a");
        bed.until_is(&[("b", Up)]).await;
        assert_eq!(bed.seen.borrow().snapshots, 1);
    });
}

#[test]
fn a_watch_cut_at_any_point_misses_nothing_and_repeats_nothing() {
    run(async {
        let bed = Bed::new(1, settings());
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
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
                bed.until("the change", |bed| {
                    bed.states().contains_key(&format!("d{n}{step}"))
                })
                .await;
            }
            bed.until("the drain", |bed| {
                bed.states().get(&format!("c{n}")) == Some(&Draining)
            })
            .await;
            assert!(!bed.members[0].to_be_cut(), "{cut:?} was not played");
        }
        assert_eq!(bed.seen.borrow().snapshots, 1, "all of it by the watch");
    });
}

#[test]
fn a_drain_written_while_away_is_found_though_the_history_is_gone() {
    run(async {
        let bed = Bed::new(1, settings());
        for id in ["a", "b", "c", "d"] {
            put(&bed.etcd, id, "up");
        }
        bed.until("four", |bed| bed.states().len() == 4).await;
        bed.members[0].down(true);
        put(&bed.etcd, "a", "draining");
        delete(&bed.etcd, "b");
        // A drain and the undo of it, both while away.
        put(&bed.etcd, "c", "draining");
        let last = put(&bed.etcd, "c", "up");
        bed.etcd.with(|store| store.compact(last).unwrap());
        bed.members[0].down(false);
        bed.until_is(&[("a", Draining), ("c", Up), ("d", Up)]).await;
        assert_eq!(
            bed.reported(|report| matches!(report, Report::Compacted { .. })),
            1
        );
        assert_eq!(bed.seen.borrow().snapshots, 2);
    });
}

#[test]
fn a_member_that_falls_silent_with_its_connection_open_is_left_for_another() {
    run(async {
        let bed = Bed::new(2, settings());
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
        bed.until("the watch", |bed| {
            bed.reported(|report| matches!(report, Report::Watching { .. })) == 1
        })
        .await;
        bed.members[0].silent(true);
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining)]).await;
        assert_eq!(
            bed.reported(|report| report.to_string().contains("silent")),
            1
        );
    });
}

#[test]
fn a_member_that_is_behind_is_left_for_another() {
    run(async {
        let bed = Bed::new(2, settings());
        put(&bed.etcd, "a", "up");
        let old = put(&bed.etcd, "b", "up");
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining), ("b", Up)]).await;
        bed.members[1].behind(Some(old));
        bed.members[0].down(true);
        bed.until("the lag is told", |bed| {
            bed.reported(|r| matches!(r, Report::Behind { .. })) > 0
        })
        .await;
        assert_eq!(bed.states()["a"], Draining);
        bed.members[1].behind(None);
        put(&bed.etcd, "b", "draining");
        bed.until_is(&[("a", Draining), ("b", Draining)]).await;
    });
}

#[test]
fn another_cluster_is_read_anew_and_what_it_lacks_is_doubted() {
    run(async {
        let bed = Bed::new(1, settings());
        for id in ["a", "b", "c"] {
            put(&bed.etcd, id, "up");
        }
        bed.until("three", |bed| bed.states().len() == 3).await;
        // An empty one comes in its place.
        bed.etcd.with(|store| *store = Store::new(2));
        bed.members[0].break_off();
        bed.until("the other cluster", |bed| bed.seen.borrow().snapshots == 2)
            .await;
        assert_eq!(
            bed.states().len(),
            3,
            "an empty answer is not believed at once"
        );
        assert_eq!(
            bed.reported(|report| matches!(report, Report::OtherCluster { was: 1, is: 2 })),
            1
        );
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining), ("b", Up), ("c", Up)]).await;
        tokio::time::sleep(Duration::from_millis(310)).await;
        bed.seen.borrow_mut().roster.tick(1e6);
        bed.until_is(&[("a", Draining)]).await;
    });
}

#[test]
fn pages_and_pieces_are_put_together() {
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
        let bed = Bed::with(
            1,
            Settings {
                page: 400,
                ..settings()
            },
            store,
            None,
        );
        // All at one address: one of them holds it; the reading tells how many came.
        bed.until("the reading", |bed| {
            bed.reported(|report| matches!(report, Report::Read { nodes: 2500, .. })) == 1
        })
        .await;
        bed.members[0].set_fragment_size(7);
        bed.until("the watch", |bed| {
            bed.reported(|report| matches!(report, Report::Watching { .. })) == 1
        })
        .await;
        let before = bed.seen.borrow().changes;
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
        bed.until("the nodes", |bed| bed.states().len() == 101)
            .await;
        assert_eq!(
            bed.seen.borrow().changes,
            before + 1,
            "one revision is one change, in however many pieces"
        );
    });
}

/// Guards against a reading that begins again without end: what is longer than a message may be looks like a compaction.
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
        let bed = Bed::with(
            1,
            Settings {
                page: 1000,
                ..settings()
            },
            store,
            None,
        );
        bed.until("the nodes", |bed| bed.states().len() == 600)
            .await;
        // 9 MB in pages of up to 4 MiB.
        assert!(bed.etcd.ranges() >= 3, "{}", bed.etcd.ranges());
        assert_eq!(
            bed.reported(|report| matches!(report, Report::Lost { .. })),
            0
        );
    });
}

#[test]
fn a_user_signs_in_and_again_when_the_token_is_refused() {
    run(async {
        let user = Some(("front".to_owned(), "secret".to_owned()));
        let bed = Bed::with(1, settings(), Store::new(1), user);
        bed.etcd.only("front", "secret");
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
        bed.etcd.forget_tokens();
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining)]).await;
        assert_eq!(bed.seen.borrow().snapshots, 1);
    });
}

#[test]
fn users_that_have_changed_make_it_sign_in_anew() {
    run(async {
        let user = Some(("front".to_owned(), "secret".to_owned()));
        let bed = Bed::with(1, settings(), Store::new(1), user);
        bed.etcd.only("front", "secret");
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
        // The same user, after a change of users: the watch of old goes on, and the next one needs a token of now.
        bed.etcd.only("front", "secret");
        put(&bed.etcd, "b", "up");
        bed.until_is(&[("a", Up), ("b", Up)]).await;
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining), ("b", Up)]).await;
        assert_eq!(
            bed.reported(|report| report.to_string().contains("not permitted")),
            0
        );
    });
}

/// Guards a quiet prefix in a busy store: its watch is told how far it is, and does not fall behind the compaction.
#[test]
fn notices_keep_a_quiet_watch_ahead_of_the_compaction() {
    run(async {
        for notices in [true, false] {
            let bed = Bed::new(1, settings());
            put(&bed.etcd, "a", "up");
            bed.until_is(&[("a", Up)]).await;
            bed.until("the watch", |bed| {
                bed.reported(|r| matches!(r, Report::Watching { .. })) == 1
            })
            .await;
            let last = bed.etcd.with(|store| {
                for _ in 0..50 {
                    let busy = PutRequest {
                        key: b"/other".to_vec(),
                        ..Default::default()
                    };
                    store.put(&busy).unwrap();
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
            bed.until_is(&[("a", Draining)]).await;
            let compacted = bed.reported(|report| matches!(report, Report::Compacted { .. }));
            assert_eq!(compacted, usize::from(!notices), "with notices: {notices}");
        }
    });
}

#[test]
fn a_user_that_etcd_does_not_ask_for_is_no_mistake() {
    run(async {
        let user = Some(("front".to_owned(), "secret".to_owned()));
        let bed = Bed::with(1, settings(), Store::new(1), user);
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
        // Asked for from now on, the user signs in.
        bed.etcd.only("front", "secret");
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining)]).await;
    });
}

#[test]
fn a_wrong_password_is_one_clear_line() {
    run(async {
        let settings = Settings {
            retry: [5.0, 20.0],
            ..settings()
        };
        let bed = Bed::with(
            1,
            settings,
            Store::new(1),
            Some(("front".to_owned(), "wrong".to_owned())),
        );
        bed.etcd.only("front", "secret");
        let denied =
            |bed: &Bed| bed.reported(|r| r.to_string().contains("invalid user ID or password"));
        bed.until("the line", |bed| denied(bed) == 1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            bed.seen.borrow().reports.len(),
            1,
            "{:?}",
            bed.seen.borrow().reports
        );
        // The password is mended by a reload.
        let mut place = bed.place.borrow().clone();
        place.user = Some(("front".to_owned(), "secret".to_owned()));
        bed.place.send_replace(place);
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
    });
}

#[test]
fn endpoints_move_without_losing_what_is_known() {
    run(async {
        let bed = Bed::new(2, settings());
        put(&bed.etcd, "a", "up");
        bed.until_is(&[("a", Up)]).await;
        let mut place = bed.place.borrow().clone();
        place.endpoints.remove(0);
        bed.members[0].down(true);
        bed.place.send_replace(place);
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining)]).await;
        assert_eq!(
            bed.seen.borrow().snapshots,
            1,
            "the watch went on from what was seen"
        );
    });
}

#[test]
fn a_lease_that_runs_out_takes_its_node_and_is_named() {
    run(async {
        let bed = Bed::new(1, settings());
        let now = bed.etcd.now();
        let lease = bed.etcd.with(|store| store.grant(now, 1, 0)).unwrap();
        put_on(&bed.etcd, "a", "up", lease);
        put(&bed.etcd, "b", "up");
        bed.until_is(&[("a", Up), ("b", Up)]).await;
        bed.until_is(&[("b", Up)]).await;
        let named =
            |report: &Report| matches!(report, Report::LeaseGone { hosts, .. } if hosts == &["a"]);
        bed.until("the lease is named", |bed| bed.reported(named) == 1)
            .await;
    });
}

#[test]
fn a_member_that_answers_slowly_is_waited_for_and_one_that_never_does_is_not() {
    run(async {
        let bed = Bed::new(2, settings());
        put(&bed.etcd, "a", "up");
        bed.members[0].slow(Duration::from_millis(300));
        bed.until_is(&[("a", Up)]).await;
        assert_eq!(bed.seen.borrow().snapshots, 1);
        bed.members[0].slow(Duration::from_secs(3600));
        bed.members[0].break_off();
        put(&bed.etcd, "a", "draining");
        bed.until_is(&[("a", Draining)]).await;
    });
}
