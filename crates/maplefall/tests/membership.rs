//! The gateway with etcd among the sources of its backend list, against a fake etcd.

mod sockets;

use maplefall_etcd_wire::{DeleteRangeRequest, PutRequest};
use maplefall_test_servers::etcd::store::Store;
use maplefall_test_servers::etcd::{Etcd, Member};
use serde_json::Value;
use sockets::*;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// A fake etcd of two members on its own thread.
struct Cluster {
    etcd: Etcd,
    members: Vec<Member>,
    /// Ends the thread when dropped.
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl Cluster {
    fn new() -> Cluster {
        let (sender, receiver) = std::sync::mpsc::channel();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let etcd = Etcd::new(Store::new(1), |_| {});
                let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
                let members: Vec<Member> = (0..2)
                    .map(|n| etcd.member(n, listener()).unwrap())
                    .collect();
                sender.send((etcd, members)).unwrap();
                let _ = stopped.await;
            });
        });
        let (etcd, members) = receiver.recv().expect("a fake etcd");
        Cluster {
            etcd,
            members,
            _stop: stop,
        }
    }

    fn put(&self, id: &str, dial: SocketAddr, state: &str) {
        let value =
            serde_json::json!({"address": dial.to_string(), "zone": "uio-1", "state": state});
        let (key, value) = (
            format!("/lots/members/{id}").into_bytes(),
            value.to_string().into_bytes(),
        );
        self.etcd.with(|store| {
            store
                .put(&PutRequest {
                    key,
                    value,
                    ..Default::default()
                })
                .unwrap()
        });
    }

    fn delete(&self, id: &str) {
        let key = format!("/lots/members/{id}").into_bytes();
        self.etcd.with(|store| {
            store
                .delete(&DeleteRangeRequest {
                    key,
                    ..Default::default()
                })
                .unwrap()
        });
    }

    fn source(&self, members: &[usize]) -> String {
        let endpoints: Vec<String> = members
            .iter()
            .map(|member| format!("\"http://{}\"", self.members[*member].address))
            .collect();
        format!(
            "[[source]]\nkind = \"etcd\"\nprefix = \"/lots\"\nendpoints = [{}]\nretry_ms = [5, 100]\n",
            endpoints.join(", ")
        )
    }
}

fn write_file(text: &str) -> String {
    static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = format!(
        "{}/sources-{}-{number}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, text).expect("a file");
    path
}

fn wait_until_ready(program: &Program) {
    wait_for("readiness", || {
        let mut client = program.client();
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        (client.read().status() == 200).then_some(())
    });
}

#[test]
fn etcd_is_the_only_source_and_its_endpoints_change_at_sighup() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new(), Listener::new()];
    cluster.put("a", backends[0].address(), "up");
    let sources = write_file(&cluster.source(&[0]));
    let unused_agent = Listener::new();
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    let program = Program::start_with_variables(
        &variables,
        256,
        settings(),
        unused_agent.address(),
        Value::Null,
    );
    wait_until_ready(&program);
    assert!(
        !unused_agent.has_connection(),
        "an agent that is not a source got a connection"
    );
    let mut probe = TrafficProbe::new(&program, &backends);
    probe.send_until_all_reach(0);
    cluster.put("b", backends[1].address(), "up");
    cluster.put("a", backends[0].address(), "draining");
    probe.send_until_all_reach(1);
    // The first member of etcd stays down; the file of sources names another one.
    std::fs::write(&sources, cluster.source(&[1])).expect("a file");
    cluster.members[0].down(true);
    program.reload(&program.config.to_string());
    cluster.put("c", backends[2].address(), "up");
    cluster.delete("b");
    probe.send_until_all_reach(2);
}

#[test]
fn drain_reported_by_etcd_overrides_the_agent() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new(), Listener::new()];
    for (id, backend) in ["a", "b"].iter().zip(&backends) {
        cluster.put(id, backend.address(), "up");
    }
    let sources = write_file(&format!(
        "[[source]]\nkind = \"agent\"\n{}",
        cluster.source(&[0, 1])
    ));
    let discovery = Listener::new();
    let list: Vec<Value> = ["a", "b", "c"]
        .iter()
        .zip(&backends)
        .map(|(id, backend)| member(id, backend.address(), "up"))
        .collect();
    let known = members(7, true, &list[..2]);
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    cluster.put("a", backends[0].address(), "draining");
    let mut program =
        Program::start_with_variables(&variables, 256, settings(), discovery.address(), known);
    let mut connection = discovery.accept();
    connection.read();
    let mut watch = AgentWatch::begin(connection);
    // Both sources have reported: from here on nothing is forwarded to backend a, which etcd
    // drains.
    while !program.log_line().contains("watching from revision") {}
    let mut probe = TrafficProbe::new(&program, &backends);
    assert!(
        probe.send_until_all_reach(1).is_empty(),
        "a draining backend got a request"
    );
    // The agent reports backend a as up, in a change and in a full list; then it drains b, so that
    // only c is left.
    let draining = |id: &str, at: usize| member(id, backends[at].address(), "draining");
    watch.send_line(&members(8, false, &list[..1]).to_string());
    watch.send_line(&members(9, true, &list).to_string());
    watch.send_line(&members(10, false, &[draining("b", 1)]).to_string());
    let others = probe.send_until_all_reach(2);
    assert!(!others.contains(&0), "the agent ended etcd's drain");
    // An `up` from etcd does not end the agent's drain of b; it does end etcd's own drain of a.
    cluster.put("b", backends[1].address(), "up");
    cluster.put("a", backends[0].address(), "up");
    watch.send_line(&members(11, false, &[draining("c", 2)]).to_string());
    let others = probe.send_until_all_reach(0);
    assert!(!others.contains(&1), "etcd ended the agent's drain");
}

#[test]
fn mistakes_in_a_source_file_are_reported_by_field() {
    let path = write_file("[[source]]\nkind = \"etcd\"\nendpoints = [\"127.0.0.1:1\"]\n");
    let output = Command::new(env!("CARGO_BIN_EXE_maplefall"))
        .args(["check", &path])
        .output()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(!output.status.success());
    assert!(
        stdout.contains(&format!("{path}: source.0.prefix: ")),
        "{stdout}"
    );
    assert!(
        stdout.contains("source.0.endpoints: http://HOST:PORT was expected"),
        "{stdout}"
    );
    let (child, _) = spawn(
        &serde_json::json!({"seed": "1", "limits": {"sockets": 64}, "settings": settings(),
            "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"})
        .to_string(),
        &[("MAPLEFALL_SOURCES", &path)],
    );
    let output = child.wait_with_output().unwrap();
    assert!(!output.status.success());
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("source.0.prefix"),
        "the program did not report the field at its start"
    );
}

#[test]
fn node_file_adds_backends_and_is_reloaded_at_sighup() {
    let backends = [Listener::new(), Listener::new()];
    let node_file = write_file("");
    let write = |which: usize| {
        let text =
            serde_json::json!({"n": {"address": backends[which].address().to_string()}, "bad": 3});
        std::fs::write(&node_file, text.to_string()).expect("a file");
    };
    write(0);
    let sources = write_file(&format!(
        "[[source]]\nkind = \"file\"\npath = \"{node_file}\"\n"
    ));
    let unused_agent = Listener::new();
    let known = Value::Null;
    let config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": unused_agent.address().to_string(), "seed": "1",
        "limits": {"sockets": 256}, "known": known, "settings": settings(),
    });
    let (mut child, path) = spawn(&config.to_string(), &[("MAPLEFALL_SOURCES", &sources)]);
    let mut log = std::io::BufReader::new(child.stderr.take().expect("a pipe"));
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).unwrap();
    assert!(line.contains("bad: passed over"), "{line}");
    line.clear();
    std::io::BufRead::read_line(&mut log, &mut line).unwrap();
    let address = line
        .trim()
        .rsplit(' ')
        .next()
        .and_then(|text| text.parse().ok())
        .expect("an address");
    let program = Program {
        child,
        address,
        log,
        config,
        path,
    };
    let mut probe = TrafficProbe::new(&program, &backends);
    probe.send_until_all_reach(0);
    write(1);
    program.reload(&program.config.to_string());
    probe.send_until_all_reach(1);
}

/// Backends known only to a lost source expire, also without any further update.
#[test]
fn backends_known_only_to_a_lost_agent_are_removed_while_etcd_is_up() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new()];
    cluster.put("b", backends[1].address(), "up");
    let (refusing, _socket) = refusing_address();
    let text = format!(
        "[[source]]\nkind = \"agent\"\nkeep_ms = 300\n{}",
        cluster.source(&[0])
    );
    let sources = write_file(&text);
    let known = members(7, true, &[member("a", backends[0].address(), "up")]);
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    // Connections to the agent's address are refused.
    let mut program = Program::start_with_variables(&variables, 256, settings(), refusing, known);
    while !program
        .log_line()
        .contains("a was known from lost sources only: given up")
    {}
    TrafficProbe::new(&program, &backends).send_until_all_reach(1);
}

/// An agent that restarts its version numbers is accepted again: a backend in its list that started
/// since the previous list shows that its list is the newer one.
#[test]
fn agent_that_restarts_its_versions_is_accepted() {
    let TestBed {
        program,
        mut watch,
        backends,
        ..
    } = TestBed::new(2);
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    // The backend's start is within the next minute: machines share one clock, but the test does
    // not wait for that time.
    let started_ms = (now + 60.0) * 1000.0;
    let list = |seq, whole, states: [&str; 2], started_ms: [f64; 2]| {
        let host = |n: usize| {
            let mut host = member(&format!("s-{n}"), backends[n].address(), states[n]);
            host["born_ms"] = started_ms[n].into();
            host
        };
        members(seq, whole, &[host(0), host(1)]).to_string()
    };
    let lines = [
        list(90, true, ["draining", "up"], [0.0, 0.0]),
        list(3, true, ["up", "draining"], [started_ms, 0.0]),
        list(4, false, ["draining", "up"], [started_ms, 0.0]),
    ];
    let mut probe = TrafficProbe::new(&program, &backends);
    for (line, serving) in lines.iter().zip([1, 0, 1]) {
        watch.send_line(line);
        probe.send_until_all_reach(serving);
    }
}

#[test]
fn oversized_file_is_not_read() {
    let node_file = write_file("");
    std::fs::File::options()
        .write(true)
        .open(&node_file)
        .unwrap()
        .set_len((64 << 20) + 1)
        .unwrap();
    let sources = write_file(&format!(
        "[[source]]\nkind = \"file\"\npath = \"{node_file}\"\n"
    ));
    let output = Command::new(env!("CARGO_BIN_EXE_maplefall"))
        .args(["check", &sources])
        .output()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(
        stdout.contains("67108864 bytes at most were expected"),
        "{stdout}"
    );
}

/// A gateway restarted while etcd is down recovers the list, and which source drained which
/// backend, from disk.
#[test]
fn restart_restores_the_persisted_list() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new()];
    cluster.put("a", backends[0].address(), "draining");
    cluster.put("b", backends[1].address(), "up");
    let path = write_file("");
    std::fs::remove_file(&path).expect("a file");
    let path = path.replace(".toml", ".json");
    let sources = write_file(&format!(
        "remember = \"{path}\"\n[[source]]\nkind = \"agent\"\n{}",
        cluster.source(&[0])
    ));
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    let discovery = Listener::new();
    let list: Vec<Value> = ["a", "b"]
        .iter()
        .zip(&backends)
        .map(|(id, backend)| member(id, backend.address(), "up"))
        .collect();
    let start = || {
        Program::start_with_variables(
            &variables,
            256,
            settings(),
            discovery.address(),
            Value::Null,
        )
    };
    let program = start();
    wait_until_ready(&program);
    wait_for("the list on disk", || {
        std::fs::read_to_string(&path)
            .ok()
            .filter(|text| text.contains("draining"))
    });
    drop(program);
    while discovery.has_connection() {}
    cluster.members[0].down(true);
    let program = start();
    wait_until_ready(&program);
    // The agent reports both backends as up; etcd's drain of a still applies, although etcd is
    // down.
    let mut connection = discovery.accept();
    connection.read();
    let mut watch = AgentWatch::begin(connection);
    watch.send_line(&members(1, true, &list).to_string());
    TrafficProbe::new(&program, &backends).send_until_all_reach(1);
    // The list in the configuration is added to the persisted one and does not replace it.
    drop(program);
    drop(watch);
    while discovery.has_connection() {}
    let unused_agent = Listener::new();
    let only_etcd = write_file(&format!("remember = \"{path}\"\n{}", cluster.source(&[0])));
    let etcd_variables = [("MAPLEFALL_SOURCES", only_etcd.as_str())];
    let (refusing, _socket) = refusing_address();
    for serving in [0, 1] {
        // One of the two addresses refuses connections, so each request that is served went to the
        // other.
        let at = |which: usize| {
            if which == serving {
                backends[which].address()
            } else {
                refusing
            }
        };
        let persisted = serde_json::json!({"etcd": members(0, true, &[member("a", at(0), "up")])});
        std::fs::write(&path, persisted.to_string()).expect("a file");
        let known = members(7, true, &[member("b", at(1), "up")]);
        let program = Program::start_with_variables(
            &etcd_variables,
            256,
            settings(),
            unused_agent.address(),
            known,
        );
        TrafficProbe::new(&program, &backends).send_until_all_reach(serving);
    }
    // A file that cannot be read is reported, and the gateway starts with an empty list.
    std::fs::write(&path, "{").expect("a file");
    let (mut child, _) = spawn(
        &serde_json::json!({"seed": "1", "limits": {"sockets": 64}, "settings": settings(), "name": "n0",
            "listen": "127.0.0.1:0", "discovery": discovery.address().to_string()})
        .to_string(),
        &variables,
    );
    let mut log = std::io::BufReader::new(child.stderr.take().expect("a pipe"));
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(line.contains("not recalled"), "{line}");
}
