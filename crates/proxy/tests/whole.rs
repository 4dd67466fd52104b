//! The whole path over loopback: an exchange with its disk, a door as a process, played backends, an operator and clients.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Longest time that anything may take here; only a fault uses it up.
const PATIENCE: Duration = Duration::from_secs(30);

struct Answer {
    status: u16,
    head: String,
    body: String,
}

/// Reads one message; `None` at the end.
fn message(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.to_ascii_lowercase();
    let length = length
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

fn ask(to: SocketAddr, text: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = message(&mut BufReader::new(stream))?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head, body })
}

/// Asks again until the answer is as wanted.
fn until(to: SocketAddr, text: &str, wanted: impl Fn(&Answer) -> bool) -> Answer {
    let end = Instant::now() + PATIENCE;
    loop {
        match ask(to, text) {
            Some(answer) if wanted(&answer) => return answer,
            answer => {
                let told = answer.map(|answer| (answer.status, answer.body));
                assert!(Instant::now() < end, "{text}: {told:?}");
                std::thread::yield_now();
            }
        }
    }
}

fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A backend that hands every request to its script and writes what that says; nothing for silence.
fn backend(
    script: impl Fn(&str) -> Option<String> + Send + Clone + 'static,
) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (told, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (script, told) = (script.clone(), told.clone());
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().expect("a socket");
                let mut reader = BufReader::new(stream);
                while let Some((head, body)) = message(&mut reader) {
                    let _ = told.send(format!("{head}{body}"));
                    if let Some(answer) = script(&head) {
                        let _ = writer.write_all(answer.as_bytes());
                    }
                }
            });
        }
    });
    (address, requests)
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

fn answer(head: &str, status: &str, more: &str, body: &str) -> Option<String> {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    Some(format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

struct System {
    folder: PathBuf,
    door: Child,
    control: SocketAddr,
    front: SocketAddr,
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = self.door.kill();
        let _ = self.door.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a port")
}

impl System {
    fn start(name: &str, backends: &[(&str, SocketAddr)]) -> System {
        let folder =
            std::env::temp_dir().join(format!("maplefall-whole-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        // One address for each machine: the inner port is the same on both.
        let [core, edge] = [2, 3].map(|n| IpAddr::V4(Ipv4Addr::new(127, 0, 0, n)));
        let (control, inner) = (free(core), free(core).port());
        let (front, probe) = (free(edge), free(edge));
        let common = format!("InternalPorts = [{inner},{inner}]\nSeedAddrs = [\"{control}\"]\nBootstrap = true\nQuorumMember = true\nZone = \"z\"\n");
        let exchange = format!(
            "Node = \"core\"\nIp = \"{core}\"\n{common}DataDir = {:?}\n[Bind]\nControl = \"{control}\"\n",
            folder.join("data")
        );
        let settings =
            maplefall_node_settings::Settings::parse(&exchange, &folder).expect("settings");
        let watched = maplefall_node_settings::SettingsFile::new(folder.join("core.toml"));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let local = tokio::task::LocalSet::new();
            runtime
                .block_on(local.run_until(maplefall_controller::net::run(settings, watched, 7)))
                .expect("an exchange");
        });
        let file = folder.join("edge.toml");
        let edge = format!("Node = \"edge\"\nIp = \"{edge}\"\n{common}[Bind]\nFrontHttp = \"{front}\"\nReadyProbe = \"{probe}\"\n");
        fs::write(&file, edge).expect("a file");
        let door = Command::new(env!("CARGO_BIN_EXE_maplefall-proxy"))
            .arg("run")
            .env("MAPLEFALL_CONFIG", &file)
            .stderr(Stdio::null())
            .spawn()
            .expect("a door");
        let system = System {
            folder,
            door,
            control,
            front,
        };
        for (id, address) in backends {
            let service = id.split('-').next().unwrap_or_default();
            let beat = format!("{{\"Address\":\"{address}\",\"Details\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\"Zone\":\"z\",\"Capacity\":2}},\"Observed\":{{\"State\":\"in_loop\",\"CallSeq\":1,\"WarmupLeftS\":0}}}}");
            let call = post(&format!("/api/rpc?call=instances.beat&of={id}"), &beat);
            until(control, &call, |answer| answer.status == 200);
        }
        until(
            control,
            &post("/api/rpc?call=config.amend", FIRST),
            |answer| answer.status == 200,
        );
        until(
            probe,
            "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
            |answer| answer.status == 200,
        );
        system
    }
}

const FIRST: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/one/","safe",20,0.2,3,"00000001","one"],["r2","h.example","/two/","nonidempotent",20,0.2,3,"00000001","two"]]},"Tenants":{"ColumnNames":["Name","ApiKeys","RatePerS","BurstSize","Version"],"DataRows":[["t1",["k1"],1000,1000,"00000001"]]},"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"],["two","/health","00000001"]]}}}"#;

fn get(path: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: abc\r\nAuthorization: Token k1\r\n{more}\r\n")
}

/// Guards the whole path: a request comes to the backend as it should and its answer back unchanged; who has no key or no
/// route is told so; what the client says of its tenant does not pass.
#[test]
fn a_request_goes_all_the_way_and_its_answer_back() {
    let (one, seen) = backend(|head| {
        answer(
            head,
            "200 OK",
            "X-Server-Seal: s1\r\nKeep-Alive: timeout=5\r\n",
            "whole",
        )
    });
    let system = System::start("way", &[("one-1", one)]);
    let more = "X-Tenant: other\r\nX-Target-Instance: x\r\nConnection: X-Odd\r\nX-Odd: 1\r\nX-Time-Remaining: 20000\r\n";
    // Its bucket is empty at first, and fills as soon as the loan is there.
    let got = until(system.front, &get("/one/a?b=%20c", more), |answer| {
        answer.status != 429
    });
    assert_eq!(
        (got.status, got.body.as_str()),
        (200, "whole"),
        "{}",
        got.head
    );
    assert_eq!(header(&got.head, "x-server-seal").as_deref(), Some("s1"));
    assert_eq!(header(&got.head, "keep-alive"), None);
    let request = seen.recv_timeout(PATIENCE).expect("a request");
    assert!(
        request.starts_with("GET /one/a?b=%20c HTTP/1.1\r\n"),
        "{request}"
    );
    let told = [
        "x-tenant",
        "x-target-instance",
        "authorization",
        "x-odd",
        "x-attempt-id",
    ]
    .map(|n| header(&request, n));
    assert_eq!(
        told,
        [
            Some("t1".into()),
            Some("one-1".into()),
            None,
            None,
            Some("abc".into())
        ]
    );
    let status = |text: &str| until(system.front, text, |answer| answer.status != 429).status;
    assert_eq!(status(&get("/one/", "").replace("k1", "k2")), 401);
    assert_eq!(status(&get("/three/", "")), 404);
    // Chunks come as a body with a length; two lengths, or a length beside chunks, are no request to pass on as they are.
    let chunked = get("/one/", "Transfer-Encoding: chunked\r\n").replace("GET", "PUT")
        + "3\r\nabc\r\n0\r\n\r\n";
    assert_eq!(status(&chunked), 200);
    let request = seen
        .iter()
        .find(|request| request.starts_with("PUT"))
        .expect("a request");
    assert!(
        request.ends_with("abc") && header(&request, "content-length").as_deref() == Some("3"),
        "{request}"
    );
    let twice = get("/one/", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd";
    assert_eq!(status(&twice), 400);
    let back = until(
        system.control,
        &post("/api/rpc?call=config.read", ""),
        |answer| answer.status == 200,
    );
    assert!(
        back.body.contains("\"k1\"") && back.body.contains("\"00000001\""),
        "{}",
        back.body
    );
    let bad = post("/api/rpc?call=config.amend", &FIRST[..FIRST.len() / 2]);
    assert_eq!(ask(system.control, &bad).expect("an answer").status, 400);
}

/// Guards requests that must not run twice: one that a backend has turned away and another may have run gets no promise, also
/// not the one that the first gave. Seen on the bench: "answered 503, and a server ran it".
#[test]
fn what_may_have_run_gets_no_promise() {
    let shed = |head: &str| answer(head, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
    let (sheds, turned) = backend(shed);
    // It takes the request and says nothing; whoever comes a second time would have run it twice.
    let (silent, ran) = backend(|_| None);
    let system = System::start("promise", &[("two-1", sheds), ("two-2", silent)]);
    let mut tried = 0;
    let end = Instant::now() + PATIENCE;
    // Repeats are earned, and the first requests find their bucket empty.
    while tried < 1 {
        assert!(
            Instant::now() < end,
            "the silent one was never tried second"
        );
        let post = get("/two/", "X-Time-Remaining: 400\r\nContent-Length: 2\r\n")
            .replace("GET", "POST")
            + "ab";
        let got = ask(system.front, &post).expect("an answer");
        let ran = ran.try_iter().count();
        // One that was turned away first and ran then.
        tried += ran.min(turned.try_iter().count());
        assert!(ran <= 1, "it was sent on twice");
        assert_eq!(
            ran == 1,
            !matches!(got.status, 429 | 503 | 408 | 421),
            "{} where {ran} ran",
            got.status
        );
    }
}
