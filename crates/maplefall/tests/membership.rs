//! The front door with an etcd among the sources of its list, against the played etcd.

mod sockets;

use maplefall_etcd_wire::{DeleteRangeRequest, PutRequest};
use maplefall_test_servers::etcd::store::Store;
use maplefall_test_servers::etcd::{Etcd, Member};
use serde_json::Value;
use sockets::*;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// A played etcd of two members on a thread of its own.
struct Cluster {
    etcd: Etcd,
    members: Vec<Member>,
    /// Dropped, its thread ends.
    _end: tokio::sync::oneshot::Sender<()>,
}

impl Cluster {
    fn new() -> Cluster {
        let (hand_out, handed_out) = std::sync::mpsc::channel();
        let (end, ended) = tokio::sync::oneshot::channel::<()>();
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
                hand_out.send((etcd, members)).unwrap();
                let _ = ended.await;
            });
        });
        let (etcd, members) = handed_out.recv().expect("a played etcd");
        Cluster {
            etcd,
            members,
            _end: end,
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

fn file(text: &str) -> String {
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

fn ready(program: &Program) {
    wait_for("readiness", || {
        let mut client = program.client();
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        (client.read().status() == 200).then_some(())
    });
}

#[test]
fn etcd_alone_feeds_the_list_and_its_endpoints_change_at_sighup() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new(), Listener::new()];
    cluster.put("a", backends[0].address(), "up");
    let sources = file(&cluster.source(&[0]));
    let nobody = Listener::new();
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    let program = Program::start_with(&variables, 256, settings(), nobody.address(), Value::Null);
    ready(&program);
    assert!(!nobody.called(), "an agent that is no source is not asked");
    let mut asking = OpenBackends::new(&program, &backends);
    asking.only(0);
    cluster.put("b", backends[1].address(), "up");
    cluster.put("a", backends[0].address(), "draining");
    asking.only(1);
    // The member goes away for good; the file names another one.
    std::fs::write(&sources, cluster.source(&[1])).expect("a file");
    cluster.members[0].down(true);
    program.reload(&program.config.to_string());
    cluster.put("c", backends[2].address(), "up");
    cluster.delete("b");
    asking.only(2);
}

#[test]
fn drain_reported_by_etcd_overrides_the_agent() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new(), Listener::new()];
    for (id, backend) in ["a", "b"].iter().zip(&backends) {
        cluster.put(id, backend.address(), "up");
    }
    let sources = file(&format!(
        "[[source]]\nkind = \"agent\"\n{}",
        cluster.source(&[0, 1])
    ));
    let discovery = Listener::new();
    let list: Vec<Value> = ["a", "b", "c"]
        .iter()
        .zip(&backends)
        .map(|(id, place)| member(id, place.address(), "up"))
        .collect();
    let known = members(7, true, &list[..2]);
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    cluster.put("a", backends[0].address(), "draining");
    let mut program = Program::start_with(&variables, 256, settings(), discovery.address(), known);
    let mut wire = discovery.accept();
    wire.read();
    let mut watch = AgentWatch::begin(wire);
    // Both are heard: from here on nothing goes to a.
    while !program.log_line().contains("watching from revision") {}
    let mut asking = OpenBackends::new(&program, &backends);
    assert!(asking.only(1).is_empty(), "a drained backend was used");
    // The agent says up, in a change and in a whole list; then it drains b, which leaves c alone.
    let draining = |id: &str, at: usize| member(id, backends[at].address(), "draining");
    watch.line(&members(8, false, &list[..1]).to_string());
    watch.line(&members(9, true, &list).to_string());
    watch.line(&members(10, false, &[draining("b", 1)]).to_string());
    let others = asking.only(2);
    assert!(!others.contains(&0), "the agent undid the drain");
    // Etcd's word on b cannot undo the agent's; its own drain of a it takes back.
    cluster.put("b", backends[1].address(), "up");
    cluster.put("a", backends[0].address(), "up");
    watch.line(&members(11, false, &[draining("c", 2)]).to_string());
    let others = asking.only(0);
    assert!(!others.contains(&1), "etcd undid the agent's drain");
}

#[test]
fn mistakes_in_a_file_of_sources_are_reported_by_field() {
    let path = file("[[source]]\nkind = \"etcd\"\nendpoints = [\"127.0.0.1:1\"]\n");
    let output = Command::new(env!("CARGO_BIN_EXE_maplefall"))
        .args(["check", &path])
        .output()
        .unwrap();
    let said = String::from_utf8(output.stdout).unwrap();
    assert!(!output.status.success());
    assert!(
        said.contains(&format!("{path}: source.0.prefix: ")),
        "{said}"
    );
    assert!(
        said.contains("source.0.endpoints: http://HOST:PORT was expected"),
        "{said}"
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
        "it does not start"
    );
}

#[test]
fn file_of_nodes_adds_nodes_and_is_reloaded_at_sighup() {
    let backends = [Listener::new(), Listener::new()];
    let nodes = file("");
    let write = |which: usize| {
        let text =
            serde_json::json!({"n": {"address": backends[which].address().to_string()}, "bad": 3});
        std::fs::write(&nodes, text.to_string()).expect("a file");
    };
    write(0);
    let sources = file(&format!(
        "[[source]]\nkind = \"file\"\npath = \"{nodes}\"\n"
    ));
    let nobody = Listener::new();
    let known = Value::Null;
    let config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": nobody.address().to_string(), "seed": "1",
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
    let mut asking = OpenBackends::new(&program, &backends);
    asking.only(0);
    write(1);
    program.reload(&program.config.to_string());
    asking.only(1);
}

/// Guards the ageing of what only a lost source knows, and that it goes on by itself, with nothing said.
#[test]
fn nodes_known_to_a_lost_agent_only_are_removed_while_etcd_is_up() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new()];
    cluster.put("b", backends[1].address(), "up");
    let (refusing, _held) = refusing_address();
    let text = format!(
        "[[source]]\nkind = \"agent\"\nkeep_ms = 300\n{}",
        cluster.source(&[0])
    );
    let sources = file(&text);
    let known = members(7, true, &[member("a", backends[0].address(), "up")]);
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    // Nobody answers where the agent should be.
    let mut program = Program::start_with(&variables, 256, settings(), refusing, known);
    while !program
        .log_line()
        .contains("a was known from lost sources only: given up")
    {}
    OpenBackends::new(&program, &backends).only(1);
}

/// Guards against an agent that has begun to count anew and is not believed any more: a backend that started since shows
/// at once that its word is the newer one.
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
    // A start in the next minute: machines read one clock, but this test does not wait for it.
    let born = (now + 60.0) * 1000.0;
    let list = |seq, whole, states: [&str; 2], born: [f64; 2]| {
        let host = |n: usize| {
            let mut host = member(&format!("s-{n}"), backends[n].address(), states[n]);
            host["born_ms"] = born[n].into();
            host
        };
        members(seq, whole, &[host(0), host(1)]).to_string()
    };
    let lines = [
        list(90, true, ["draining", "up"], [0.0, 0.0]),
        list(3, true, ["up", "draining"], [born, 0.0]),
        list(4, false, ["draining", "up"], [born, 0.0]),
    ];
    let mut asking = OpenBackends::new(&program, &backends);
    for (line, serves) in lines.iter().zip([1, 0, 1]) {
        watch.line(line);
        asking.only(serves);
    }
}

#[test]
fn file_that_is_too_long_is_not_read() {
    let nodes = file("");
    std::fs::File::options()
        .write(true)
        .open(&nodes)
        .unwrap()
        .set_len((64 << 20) + 1)
        .unwrap();
    let sources = file(&format!(
        "[[source]]\nkind = \"file\"\npath = \"{nodes}\"\n"
    ));
    let output = Command::new(env!("CARGO_BIN_EXE_maplefall"))
        .args(["check", &sources])
        .output()
        .unwrap();
    let said = String::from_utf8(output.stdout).unwrap();
    assert!(
        said.contains("67108864 bytes at most were expected"),
        "{said}"
    );
}

/// Guards a restart while etcd is away: the list, and who stopped what, outlive the process where there is a disk.
#[test]
fn restart_restores_the_persisted_list() {
    let cluster = Cluster::new();
    let backends = [Listener::new(), Listener::new()];
    cluster.put("a", backends[0].address(), "draining");
    cluster.put("b", backends[1].address(), "up");
    let path = file("");
    std::fs::remove_file(&path).expect("a file");
    let path = path.replace(".toml", ".json");
    let sources = file(&format!(
        "remember = \"{path}\"\n[[source]]\nkind = \"agent\"\n{}",
        cluster.source(&[0])
    ));
    let variables = [("MAPLEFALL_SOURCES", sources.as_str())];
    let discovery = Listener::new();
    let list: Vec<Value> = ["a", "b"]
        .iter()
        .zip(&backends)
        .map(|(id, place)| member(id, place.address(), "up"))
        .collect();
    let start = || {
        Program::start_with(
            &variables,
            256,
            settings(),
            discovery.address(),
            Value::Null,
        )
    };
    let program = start();
    ready(&program);
    wait_for("the list on disk", || {
        std::fs::read_to_string(&path)
            .ok()
            .filter(|text| text.contains("draining"))
    });
    drop(program);
    while discovery.called() {}
    cluster.members[0].down(true);
    let program = start();
    ready(&program);
    // The agent says up of both; etcd's drain of a holds, though etcd is away.
    let mut wire = discovery.accept();
    wire.read();
    let mut watch = AgentWatch::begin(wire);
    watch.line(&members(1, true, &list).to_string());
    OpenBackends::new(&program, &backends).only(1);
    // The list that it is started with comes to what is written down, and does not take its place.
    drop(program);
    drop(watch);
    while discovery.called() {}
    let nobody = Listener::new();
    let only_etcd = file(&format!("remember = \"{path}\"\n{}", cluster.source(&[0])));
    let variables_too = [("MAPLEFALL_SOURCES", only_etcd.as_str())];
    let (refusing, _held) = refusing_address();
    for serves in [0, 1] {
        // One of the two is of no use: whoever is served is so by the other.
        let at = |which: usize| {
            if which == serves {
                backends[which].address()
            } else {
                refusing
            }
        };
        let words = serde_json::json!({"etcd": members(0, true, &[member("a", at(0), "up")])});
        std::fs::write(&path, words.to_string()).expect("a file");
        let known = members(7, true, &[member("b", at(1), "up")]);
        let program = Program::start_with(&variables_too, 256, settings(), nobody.address(), known);
        OpenBackends::new(&program, &backends).only(serves);
    }
    // What cannot be read is told, and all begins with nothing.
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
