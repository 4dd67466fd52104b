//! Gateways that share counts through a simulated network that loses, duplicates, delays and blocks
//! datagrams: shared totals against the actual use of each customer.

mod sockets;

use maplefall_test_servers::relay::{NetworkConditions, Relay};
use maplefall_test_servers::wire::{Link, Message};
use serde_json::Value;
use sockets::{member, members, settings, Program};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const TEST_TIMEOUT: Duration = Duration::from_secs(120);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends within its timeout");
    });
}

/// Thousandths of units admitted for each customer: as estimated when a request reached the
/// backend, and as charged by its response.
#[derive(Default)]
struct Usage {
    admitted: RefCell<BTreeMap<u64, i64>>,
    charged: RefCell<BTreeMap<u64, i64>>,
    attempts: Cell<u32>,
}

/// A backend that responds to every request and charges half of the estimated units for every third
/// one.
async fn backend(listener: TcpListener, usage: Rc<Usage>) {
    listener.set_nonblocking(true).unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let usage = usage.clone();
        tokio::task::spawn_local(async move {
            let mut link = Link::over(stream);
            while let Ok(message) = link.message().await {
                // Customer and units are in the path, which is forwarded unchanged:
                // /read/CUSTOMER?UNITS.
                let (path, units) = message.target.split_once('?').unwrap();
                let customer: u64 = path.rsplit('/').next().unwrap().parse().unwrap();
                let units: f64 = units.parse().unwrap();
                let number = usage.attempts.get() + 1;
                usage.attempts.set(number);
                let charge = if number % 3 == 0 { units / 2.0 } else { units };
                *usage.admitted.borrow_mut().entry(customer).or_default() +=
                    (units * 1000.0) as i64;
                *usage.charged.borrow_mut().entry(customer).or_default() +=
                    (charge * 1000.0) as i64;
                let response = format!(
                    "HTTP/1.1 200 X\r\nApi-Charge: {charge}\r\nContent-Length: 2\r\n\r\nok"
                );
                if link.write(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

struct TestBed {
    relay: Relay,
    usage: Rc<Usage>,
    gateways: Vec<Program>,
    files: Vec<String>,
    gossip: Vec<SocketAddr>,
    host: Value,
    settings: Value,
}

fn test_bed(gateways: usize, mut settings: Value) -> TestBed {
    settings["fleet_size"] = gateways.into();
    let relay = Relay::new(gateways, 11).unwrap();
    let usage = Rc::new(Usage::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let host = member("s-0", listener.local_addr().unwrap(), "up");
    tokio::task::spawn_local(backend(listener, usage.clone()));
    let mut bed = TestBed {
        relay,
        usage,
        gateways: vec![],
        files: vec![],
        gossip: vec![],
        host,
        settings,
    };
    for gateway in 0..gateways {
        bed.files
            .push(bed.file(gateway, "quito", "00112233445566778899aabbccddeeff"));
        let (program, gossip) = bed.start(gateway);
        bed.gateways.push(program);
        bed.gossip.push(gossip);
        bed.relay.set_destination(gateway, gossip);
    }
    bed
}

impl TestBed {
    fn file(&self, gateway: usize, cluster: &str, key: &str) -> String {
        static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let path = format!(
            "{}/counts-{}-{number}.toml",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let fronts = &self.relay.addresses;
        let text = format!(
            "cluster = \"{cluster}\"\nkey = \"{key}\"\ngossip = \"127.0.0.1:0\"\nadvertise = \"{}\"\n\
             seeds = [\"{}\", \"{}\"]\ninterval_ms = 50\nepoch_ms = 600000\nmost_told = 4096\n",
            fronts[gateway], fronts[0], fronts[1]
        );
        std::fs::write(&path, text).unwrap();
        path
    }

    fn start(&self, gateway: usize) -> (Program, SocketAddr) {
        let no_agent: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let name = format!("n{gateway}");
        let variables = [
            ("MAPLEFALL_SHARED_COUNTS", self.files[gateway].as_str()),
            ("BALANCER_NAME", &name),
        ];
        let known = members(7, true, std::slice::from_ref(&self.host));
        let mut program =
            Program::start_with_variables(&variables, 1024, self.settings.clone(), no_agent, known);
        let line = loop {
            let line = program.log_line();
            if line.contains("shares counts on") {
                break line;
            }
        };
        let address = line
            .split_whitespace()
            .rev()
            .nth(2)
            .unwrap()
            .parse()
            .unwrap();
        (program, address)
    }

    /// Returns a gateway's state of the shared counts, from the operators' command.
    fn status(&self, gateway: usize) -> Value {
        let output = self.command(gateway, &["counts", "status", "--json"]);
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        serde_json::from_slice(&output.stdout).unwrap()
    }

    fn command(&self, gateway: usize, arguments: &[&str]) -> Output {
        let address = self.gossip[gateway].to_string();
        let options = ["--file", &self.files[gateway], "--ask", &address];
        Command::new(env!("CARGO_BIN_EXE_maplefall"))
            .args(arguments)
            .args(options)
            .output()
            .unwrap()
    }

    /// Returns thousandths of units by customer, as counted by a gateway.
    fn totals(&self, gateway: usize) -> BTreeMap<u64, i64> {
        let status = self.status(gateway);
        let customers = status["customers"].as_array().unwrap().iter();
        let total = |entry: &Value| {
            (
                entry["customer"].as_u64().unwrap(),
                (entry["units"].as_f64().unwrap() * 1000.0).round() as i64,
            )
        };
        customers.map(total).collect()
    }

    async fn wait_until(&self, label: &str, mut condition: impl FnMut() -> bool) -> Duration {
        let started = Instant::now();
        while !condition() {
            assert!(
                started.elapsed() < Duration::from_secs(60),
                "{label}: {:#?}",
                self.status(0)
            );
            // The backend runs on this thread, too.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }

    async fn wait_until_joined(&self) {
        let gateways = self.gateways.len();
        self.wait_until("all gateways know each other", || {
            (0..gateways).all(|gateway| self.status(gateway)["doors"] == gateways)
        })
        .await;
    }

    /// Sends this many requests, to the gateways in turn, for customers 1 to 6.
    async fn traffic(&self, count: usize, label: &str) {
        let mut links = Vec::new();
        for gateway in &self.gateways {
            links.push(Link::open(gateway.address).await.unwrap());
        }
        let gateways = self.gateways.len();
        for number in 0..count {
            let (link, customer) = (&mut links[number % gateways], 1 + number % 6);
            let response = send_request(
                link,
                &format!("{label}-{number}"),
                customer as u64,
                1 + number % 8,
            )
            .await;
            assert_eq!(response.status, 200, "{label}-{number}");
        }
    }
}

async fn send_request(link: &mut Link, id: &str, customer: u64, units: usize) -> Message {
    let text = sockets::request_of(id, "read", "wide", "8")
        .replace(
            "client=00000000b4d65521",
            &format!("client={customer:016x}"),
        )
        .replace("/read/a?b=c", &format!("/read/{customer}?{units}"))
        .replace("units=1,spread=1", &format!("units={units},spread=2"));
    link.write(text.as_bytes()).await.unwrap();
    link.message().await.unwrap()
}

/// Shared totals never exceed the actual use while a third of the datagrams are lost, a tenth
/// duplicated and all delayed; they equal it within 10 s of the last request.
#[test]
fn shared_totals_match_the_true_usage() {
    run(async {
        let bed = test_bed(4, settings());
        bed.wait_until_joined().await;
        let lossy = NetworkConditions {
            loss: 0.3,
            duplicated: 0.1,
            delay_ms: (0.0, 120.0),
            ..NetworkConditions::default()
        };
        bed.relay.set_conditions(lossy);
        for round in 0..8 {
            bed.traffic(60, &format!("rough{round}")).await;
            for gateway in 0..4 {
                for (customer, total) in bed.totals(gateway) {
                    let admitted = bed.usage.admitted.borrow()[&customer];
                    assert!(
                        total <= admitted,
                        "gateway {gateway} counts {total} of customer {customer}, {admitted} were admitted"
                    );
                }
            }
        }
        let usage = bed.usage.charged.borrow().clone();
        let took = bed
            .wait_until("all equal", || {
                (0..4).all(|gateway| bed.totals(gateway) == usage)
            })
            .await;
        println!("equal after {took:?}");
        assert!(took < Duration::from_secs(10));
        let rejected = bed.status(0)["refused"].clone();
        assert!(
            rejected["repeated"].as_u64().unwrap_or(0) > 0,
            "no duplicates were recognised: {rejected}"
        );
        assert!(
            rejected["forged"].is_null() && rejected["absurd"].is_null(),
            "{rejected}"
        );
    });
}

/// A partition heals, and a gateway that is killed and restarted without state learns the counts of
/// its earlier incarnation.
#[test]
fn partition_heals_and_a_restarted_gateway_is_counted_once() {
    run(async {
        let mut bed = test_bed(4, settings());
        bed.wait_until_joined().await;
        let cut_links = |left: &[usize], right: &[usize]| {
            let pairs = left
                .iter()
                .flat_map(|l| right.iter().flat_map(move |r| [(*l, *r), (*r, *l)]));
            pairs.collect::<BTreeSet<_>>()
        };
        bed.relay.set_conditions(NetworkConditions {
            partitions: cut_links(&[0, 1], &[2, 3]),
            ..NetworkConditions::default()
        });
        bed.wait_until("the partition is noticed", || {
            bed.status(0)["doors"] == 2 && bed.status(3)["doors"] == 2
        })
        .await;
        bed.traffic(120, "split").await;
        let usage = bed.usage.charged.borrow().clone();
        assert!(
            (0..4).all(|gateway| bed.totals(gateway) != usage),
            "a gateway knows the counts across the partition"
        );
        bed.relay.set_conditions(NetworkConditions::default());
        bed.wait_until_joined().await;
        bed.wait_until("all equal after the partition", || {
            (0..4).all(|gateway| bed.totals(gateway) == usage)
        })
        .await;
        // Dropping the program kills the process; its successor listens on another port, under the
        // same name and relay address.
        let (program, gossip) = bed.start(3);
        bed.gateways[3] = program;
        bed.gossip[3] = gossip;
        bed.relay.set_destination(3, gossip);
        bed.wait_until_joined().await;
        bed.traffic(40, "again").await;
        let usage = bed.usage.charged.borrow().clone();
        bed.wait_until("all equal again", || {
            (0..4).all(|gateway| bed.totals(gateway) == usage)
        })
        .await;
    });
}

/// A customer whose requests all reach one of four gateways gets its whole quota with shared
/// counts, and a quarter of it without. It requests four times its quota; its use is what the
/// backend charged in the end, since a third of the requests are charged half of the units that
/// they were admitted for. Both bounds use the time that actually passed.
#[test]
fn gateway_that_gets_all_requests_can_use_the_whole_quota() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 40.0;
    const CUSTOMER: u64 = 9;
    run(async {
        let mut settings = settings();
        settings["plans"][0]["per_second"] = RATE.into();
        settings["plans"][0]["peak_units"] = BURST.into();
        let bed = test_bed(4, settings);
        bed.wait_until_joined().await;
        let started = Instant::now();
        // A first request at another gateway makes the customer known to all gateways, as customers
        // seen before are.
        let mut first = Link::open(bed.gateways[1].address).await.unwrap();
        assert_eq!(
            send_request(&mut first, "first", CUSTOMER, 1).await.status,
            200
        );
        bed.wait_until("the customer is known", || {
            bed.totals(0).contains_key(&CUSTOMER)
        })
        .await;
        let mut link = Link::open(bed.gateways[0].address).await.unwrap();
        let charged = || bed.usage.charged.borrow()[&CUSTOMER] as f64 / 1000.0;
        // Token bucket of a single gateway that gets all requests, for comparison: it starts with
        // as many tokens as the tested gateway's own bucket.
        let (mut single_tokens, mut single_updated_at, mut used_by_one_gateway) =
            (BURST - 1.0, Instant::now(), 0.0);
        let (load_started, mut requested, mut rejected) = (Instant::now(), 0.0, 0);
        while load_started.elapsed() < Duration::from_secs(4) {
            if requested > BURST + 4.0 * RATE * load_started.elapsed().as_secs_f64() {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
            single_tokens =
                (single_tokens + RATE * single_updated_at.elapsed().as_secs_f64()).min(BURST);
            single_updated_at = Instant::now();
            let before = charged();
            let status = send_request(&mut link, &format!("w{requested}"), CUSTOMER, 2)
                .await
                .status;
            requested += 2.0;
            rejected += u32::from(status == 429);
            // Half of a request's units are returned where the backend charges half.
            let charge = if status == 200 {
                charged() - before
            } else {
                2.0
            };
            if single_tokens >= 2.0 {
                single_tokens -= charge;
                used_by_one_gateway += charge;
            }
        }
        let (used, quota) = (charged(), BURST + RATE * started.elapsed().as_secs_f64());
        println!(
            "{used} units of a quota of {quota:.1}, {used_by_one_gateway} by one gateway; {requested} requested"
        );
        assert!(rejected > 0, "no request exceeded the quota");
        assert!(used <= quota, "used {used}, quota {quota}");
        assert!(
            used >= 0.9 * used_by_one_gateway,
            "used {used}, one gateway would admit {used_by_one_gateway}"
        );
    });
}

/// The command line against a running gateway: members, customers, a wrong key and a wrong cluster.
#[test]
fn command_line_shows_members_and_customers() {
    run(async {
        let bed = test_bed(2, settings());
        bed.wait_until_joined().await;
        bed.traffic(12, "some").await;
        let members = bed.command(0, &["counts", "members"]);
        let text = String::from_utf8_lossy(&members.stdout).into_owned();
        assert!(
            text.contains("n1") && text.contains("alive") && !text.contains("customer 1 "),
            "{text}"
        );
        let customers = bed.command(0, &["counts", "customers"]);
        assert!(String::from_utf8_lossy(&customers.stdout).contains("customer 1 "));
        let mut other = bed;
        other.files[0] = other.file(0, "quito", "ffffffffffffffffffffffffffffffff");
        let wrong = other.command(0, &["counts", "members"]);
        let text = String::from_utf8_lossy(&wrong.stderr).into_owned();
        assert!(
            !wrong.status.success() && text.contains("no answer"),
            "{text}"
        );
        other.files[0] = other.file(0, "cuenca", "00112233445566778899aabbccddeeff");
        assert!(!other.command(0, &["counts", "members"]).status.success());
        let rejected = other.status(1)["refused"].clone();
        assert!(rejected.is_object(), "{rejected}");
        let checked = Command::new(env!("CARGO_BIN_EXE_maplefall"))
            .args(["check", &other.files[1]])
            .output();
        assert!(checked.unwrap().status.success());
    });
}
