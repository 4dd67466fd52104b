//! End-to-end tests over loopback: a controller with its state on disk, a proxy process, backends,
//! an operator and clients.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Maximum time of any step; reached only on a failure.
const TIMEOUT: Duration = Duration::from_secs(30);

struct ClientResponse {
    status: u16,
    head: String,
    body: String,
}

/// Reads one message; returns `None` at the end of the stream.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
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

fn request_once(to: SocketAddr, text: &str) -> Option<ClientResponse> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_message(&mut BufReader::new(stream))?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(ClientResponse { status, head, body })
}

/// Repeats a request until its response is the expected one.
fn request_until(
    to: SocketAddr,
    text: &str,
    is_expected: impl Fn(&ClientResponse) -> bool,
) -> ClientResponse {
    let end = Instant::now() + TIMEOUT;
    loop {
        match request_once(to, text) {
            Some(response) if is_expected(&response) => return response,
            response => {
                let last = response.map(|response| (response.status, response.body));
                assert!(Instant::now() < end, "{text}: {last:?}");
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

/// Starts a backend that writes what `script` returns for each request, nothing for `None`.
fn start_backend(
    script: impl Fn(&str) -> Option<String> + Send + Clone + 'static,
) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (forwarded, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (script, forwarded) = (script.clone(), forwarded.clone());
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().expect("a socket");
                let mut reader = BufReader::new(stream);
                while let Some((head, body)) = read_message(&mut reader) {
                    let _ = forwarded.send(format!("{head}{body}"));
                    if let Some(response) = script(&head) {
                        let _ = writer.write_all(response.as_bytes());
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

fn response(head: &str, status: &str, headers: &str, body: &str) -> Option<String> {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    Some(format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

struct TestSystem {
    directory: PathBuf,
    proxy: Child,
    control: SocketAddr,
    front_http: SocketAddr,
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        let _ = self.proxy.kill();
        let _ = self.proxy.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn free_address(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a port")
}

impl TestSystem {
    fn start(name: &str, backends: &[(&str, SocketAddr)]) -> TestSystem {
        let directory =
            std::env::temp_dir().join(format!("maplefall-whole-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory).expect("a directory");
        // Controller and proxy have an address each, because the internal port is the same on both.
        let [controller_ip, proxy_ip] = [2, 3].map(|n| IpAddr::V4(Ipv4Addr::new(127, 0, 0, n)));
        let (control, internal_port) = (
            free_address(controller_ip),
            free_address(controller_ip).port(),
        );
        let (front_http, ready_probe) = (free_address(proxy_ip), free_address(proxy_ip));
        let common_settings = format!("InternalPorts = [{internal_port},{internal_port}]\nSeedAddrs = [\"{control}\"]\nBootstrap = true\nQuorumMember = true\nZone = \"z\"\n");
        let controller_settings = format!(
            "Node = \"core\"\nIp = \"{controller_ip}\"\n{common_settings}DataDir = {:?}\n[Bind]\nControl = \"{control}\"\n",
            directory.join("data")
        );
        let settings = maplefall_node_settings::Settings::parse(&controller_settings, &directory)
            .expect("settings");
        let settings_file = maplefall_node_settings::SettingsFile::new(directory.join("core.toml"));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let local = tokio::task::LocalSet::new();
            runtime
                .block_on(local.run_until(maplefall_controller::net::run(
                    settings,
                    settings_file,
                    7,
                )))
                .expect("a controller");
        });
        let proxy_settings_file = directory.join("edge.toml");
        let proxy_settings = format!("Node = \"edge\"\nIp = \"{proxy_ip}\"\n{common_settings}[Bind]\nFrontHttp = \"{front_http}\"\nReadyProbe = \"{ready_probe}\"\n");
        fs::write(&proxy_settings_file, proxy_settings).expect("a file");
        let proxy = Command::new(env!("CARGO_BIN_EXE_maplefall-proxy"))
            .arg("run")
            .env("MAPLEFALL_CONFIG", &proxy_settings_file)
            .stderr(Stdio::null())
            .spawn()
            .expect("a proxy");
        let system = TestSystem {
            directory,
            proxy,
            control,
            front_http,
        };
        for (id, address) in backends {
            let service = id.split('-').next().unwrap_or_default();
            let heartbeat = format!("{{\"Address\":\"{address}\",\"Details\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\"Zone\":\"z\",\"Capacity\":2}},\"Observed\":{{\"State\":\"in_loop\",\"CallSeq\":1,\"WarmupLeftS\":0}}}}");
            let call = post(&format!("/api/rpc?call=instances.beat&of={id}"), &heartbeat);
            request_until(control, &call, |response| response.status == 200);
        }
        request_until(
            control,
            &post("/api/rpc?call=config.amend", CONFIGURATION),
            |response| response.status == 200,
        );
        request_until(
            ready_probe,
            "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
            |response| response.status == 200,
        );
        system
    }
}

const CONFIGURATION: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/one/","safe",20,0.2,3,"00000001","one"],["r2","h.example","/two/","nonidempotent",20,0.2,3,"00000001","two"]]},"Tenants":{"ColumnNames":["Name","ApiKeys","RatePerS","BurstSize","Version"],"DataRows":[["t1",["k1"],1000,1000,"00000001"]]},"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"],["two","/health","00000001"]]}}}"#;

fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: abc\r\nAuthorization: Token k1\r\n{headers}\r\n")
}

/// Guards the complete path: a request reaches the backend with the right headers and the response
/// comes back unchanged; a request without a valid key or a route is rejected; a tenant header of
/// the client is not forwarded.
#[test]
fn a_request_is_forwarded_and_its_response_returned_unchanged() {
    let (backend_address, requests) = start_backend(|head| {
        response(
            head,
            "200 OK",
            "X-Server-Seal: s1\r\nKeep-Alive: timeout=5\r\n",
            "whole",
        )
    });
    let system = TestSystem::start("way", &[("one-1", backend_address)]);
    let headers = "X-Tenant: other\r\nX-Target-Instance: x\r\nConnection: X-Odd\r\nX-Odd: 1\r\nX-Time-Remaining: 20000\r\n";
    // The tenant's token bucket is empty at first, and fills once the lease is granted.
    let response = request_until(
        system.front_http,
        &get("/one/a?b=%20c", headers),
        |response| response.status != 429,
    );
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "whole"),
        "{}",
        response.head
    );
    assert_eq!(
        header(&response.head, "x-server-seal").as_deref(),
        Some("s1")
    );
    assert_eq!(header(&response.head, "keep-alive"), None);
    let request = requests.recv_timeout(TIMEOUT).expect("a request");
    assert!(
        request.starts_with("GET /one/a?b=%20c HTTP/1.1\r\n"),
        "{request}"
    );
    let forwarded = [
        "x-tenant",
        "x-target-instance",
        "authorization",
        "x-odd",
        "x-attempt-id",
    ]
    .map(|name| header(&request, name));
    assert_eq!(
        forwarded,
        [
            Some("t1".into()),
            Some("one-1".into()),
            None,
            None,
            Some("abc".into())
        ]
    );
    let status = |text: &str| {
        request_until(system.front_http, text, |response| response.status != 429).status
    };
    assert_eq!(status(&get("/one/", "").replace("k1", "k2")), 401);
    assert_eq!(status(&get("/three/", "")), 404);
    // A chunked body is forwarded with a Content-Length; a request with two lengths is rejected.
    let chunked = get("/one/", "Transfer-Encoding: chunked\r\n").replace("GET", "PUT")
        + "3\r\nabc\r\n0\r\n\r\n";
    assert_eq!(status(&chunked), 200);
    let request = requests
        .iter()
        .find(|request| request.starts_with("PUT"))
        .expect("a request");
    assert!(
        request.ends_with("abc") && header(&request, "content-length").as_deref() == Some("3"),
        "{request}"
    );
    let two_lengths = get("/one/", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd";
    assert_eq!(status(&two_lengths), 400);
    let config_read = request_until(
        system.control,
        &post("/api/rpc?call=config.read", ""),
        |response| response.status == 200,
    );
    assert!(
        config_read.body.contains("\"k1\"") && config_read.body.contains("\"00000001\""),
        "{}",
        config_read.body
    );
    let truncated = post(
        "/api/rpc?call=config.amend",
        &CONFIGURATION[..CONFIGURATION.len() / 2],
    );
    assert_eq!(
        request_once(system.control, &truncated)
            .expect("a response")
            .status,
        400
    );
}

/// Guards non-idempotent requests: if one backend rejected a request and another may have run it,
/// the client receives no status that implies that it has not run, not even the one of the first
/// backend. The benchmark found a 503 for a request that a backend had run.
#[test]
fn no_status_implies_that_a_request_that_may_have_run_has_not_run() {
    let end = Instant::now() + TIMEOUT;
    let mut second_attempts = 0;
    let mut systems = 0;
    while second_attempts < 1 {
        assert!(
            Instant::now() < end,
            "the unresponsive backend never received a second attempt in {systems} systems"
        );
        systems += 1;
        second_attempts += second_attempts_of_a_system(&format!("promise-{systems}"), end);
    }
}

/// Maximum number of requests to one system. If the first attempts have gone to the unresponsive
/// backend by chance, that backend is ejected by then and receives no second attempts.
const REQUESTS_PER_SYSTEM: usize = 100;

/// Sends requests to a system with a backend that rejects all of them and an unresponsive one,
/// until the unresponsive one has received the second attempt of a request. Returns the number of
/// such attempts.
fn second_attempts_of_a_system(name: &str, end: Instant) -> usize {
    let reject =
        |head: &str| response(head, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
    let (rejecting_backend, rejected_requests) = start_backend(reject);
    // The unresponsive backend reads requests and never responds; receiving a request twice means
    // running it twice.
    let (unresponsive_backend, runs) = start_backend(|_| None);
    let system = TestSystem::start(
        name,
        &[
            ("two-1", rejecting_backend),
            ("two-2", unresponsive_backend),
        ],
    );
    let mut second_attempts = 0;
    // Several requests are needed: the retry budget grows with requests, and the first ones find
    // the tenant's token bucket empty.
    for _ in 0..REQUESTS_PER_SYSTEM {
        if second_attempts > 0 || Instant::now() >= end {
            break;
        }
        let request = get("/two/", "X-Time-Remaining: 400\r\nContent-Length: 2\r\n")
            .replace("GET", "POST")
            + "ab";
        let response = request_once(system.front_http, &request).expect("a response");
        let runs = runs.try_iter().count();
        // Requests that one backend rejected and that then ran at the unresponsive one.
        second_attempts += runs.min(rejected_requests.try_iter().count());
        assert!(runs <= 1, "the request was forwarded twice");
        assert_eq!(
            runs == 1,
            !matches!(response.status, 429 | 503 | 408 | 421),
            "status {} after {runs} runs",
            response.status
        );
    }
    second_attempts
}
