//! The built front door between sockets that a test holds: it plays the clients, backends and discovery by
//! hand, a message at a time. Nothing here sleeps; what does not come within `PATIENCE` fails the test.

#![allow(dead_code)]

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A client's patience, longer than any test waits for.
pub const LONG: &str = "8.000";

pub const PATIENCE: Duration = Duration::from_secs(30);

/// Settings with a class of each effect and two plans, one of them narrow.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 4000.0, "give_up": 8000.0, "credit": 1.0, "late_worth": 0.0,
               "idempotency": effect, "group": "all", "memory_span": 8000.0, "streaming": false})
    };
    json!({
        "fleet_size": 2, "me": 0, "my_zone": 0, "zones": ["uio-1"], "tick": 2.0, "registry_mode": "pushed",
        "grades": [class("read", "safe"), class("extend", "keyed"), class("charge", "unsafe")],
        "plans": [
            {"name": "wide", "per_second": 1000.0, "peak_units": 4000.0, "max_out": 0, "pays": 1.0},
            {"name": "narrow", "per_second": 0.5, "peak_units": 2.0, "max_out": 0, "pays": 1.0},
        ],
        "extra": {"max_units": 8, "meter": 500.0, "cost_after": true},
        "policy_limits": {"send_cap": 3, "second_copies": false, "cancel": true, "probes": false,
            "retry_after": true, "max_retry_after": 2000.0, "dial_timeout": 5000.0, "idle_close": 600000.0},
        "report": {"names": [], "via": "off"},
        "rules": {"answer_slack": 8.0, "stop_sending_within": 500.0, "start_capacity": 0.2, "warm_up": 15000.0,
            "overload_factor": 3.0, "fall": 1500.0},
    })
}

pub fn member(host: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": dial.to_string(), "site": "uio-1", "class": "std", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

pub fn members(seq: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// A listener on a port of its own.
pub struct Place(pub TcpListener);

impl Place {
    pub fn new() -> Place {
        Place(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// The next connection that the front door opens here.
    pub fn accept(&self) -> Wire {
        wait_for("a connection", || self.try_accept())
    }

    /// The next connection, or nothing if the front door says something to `client` first.
    pub fn accept_or(&self, client: &Wire) -> Option<Wire> {
        wait_for("a connection or an answer", || match self.try_accept() {
            Some(wire) => Some(Some(wire)),
            None => client.speaks().then_some(None),
        })
    }

    /// The next call whose first line is this. Others are ended: a front door asks again, beside a call that is open, where
    /// a test has been slow to answer.
    pub fn asked(&self, first: &str) -> Wire {
        let first = format!("GET /catalog/members{first} HTTP/1.1");
        loop {
            let mut wire = self.accept();
            if wire.read().first == first {
                return wire;
            }
        }
    }

    /// The next connection, if there is one.
    pub fn try_accept(&self) -> Option<Wire> {
        self.0.set_nonblocking(true).unwrap();
        match self.0.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                Some(Wire::new(stream))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => panic!("{error}"),
        }
    }

    /// Whether a connection is waiting to be accepted.
    pub fn called(&self) -> bool {
        self.try_accept().is_some()
    }
}

/// A place whose waiting line is full with the connections that come along: a further one hangs until these
/// have been accepted.
pub fn crowded_place() -> (Place, Vec<TcpStream>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .expect("a runtime");
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().unwrap()).expect("a port");
        socket
            .listen(1)
            .expect("a listener")
            .into_std()
            .expect("a listener")
    });
    let place = Place(listener);
    // The system lets in one more than it is told.
    let fillers = (0..2)
        .map(|_| TcpStream::connect(place.address()).expect("room for two"))
        .collect();
    (place, fillers)
}

/// An address that refuses connections; while the socket is held, nobody else gets its port.
pub fn refusing_place() -> (SocketAddr, tokio::net::TcpSocket) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().unwrap()).expect("a port");
    (socket.local_addr().expect("an address"), socket)
}

/// Whether somebody has asked for a connection to this address and has no answer yet.
pub fn dialling(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
    let port = format!(":{:04X}", address.port());
    let asked = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 3 && fields[2].ends_with(&port) && fields[3] == "02"
    };
    table.lines().any(asked)
}

/// Looks again and again until there is something.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "{what} was due");
        std::thread::yield_now();
    }
}

/// A message as it came: its first line, its headers, its body.
#[derive(Debug)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// One end of a connection.
pub struct Wire {
    pub reader: BufReader<TcpStream>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Wire {
            reader: BufReader::new(stream),
        }
    }

    pub fn to(address: SocketAddr) -> Wire {
        Wire::new(TcpStream::connect(address).expect("the front door accepts"))
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the other end reads");
    }

    /// The next whole message.
    pub fn read(&mut self) -> Message {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a first line");
        assert!(
            !line.is_empty(),
            "the connection ended where a message was due"
        );
        let first = line.trim_end().to_owned();
        let mut headers = HashMap::new();
        loop {
            line.clear();
            self.reader.read_line(&mut line).expect("a header");
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(0, |text| text.parse().expect("a length"));
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("a whole body");
        Message {
            first,
            headers,
            body,
        }
    }

    /// Answers with a status, further header lines and a body.
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) {
        self.write(format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Whether the other end has said something, or closed.
    pub fn speaks(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let spoke = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        spoke
    }

    /// Waits until the other end says something or closes; tells whether it said something.
    pub fn says_something(&self) -> bool {
        wait_for("a word or an end", || self.speaks().then_some(()));
        matches!(self.reader.get_ref().peek(&mut [0]), Ok(1..))
    }

    /// Waits until this end or the other hears something; tells whether this one did.
    pub fn speaks_before(&self, other: &Wire) -> bool {
        wait_for("a word on one of two connections", || match self.speaks() {
            true => Some(true),
            false => other.speaks().then_some(false),
        })
    }

    /// Waits until the other end has closed, with nothing more said.
    pub fn expect_end(&mut self) {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => assert_eq!(String::from_utf8_lossy(&rest), ""),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{error}"),
        }
    }
}

/// A discovery agent with one open watch, which says every so often that it is there.
pub struct Watch {
    wire: Wire,
    says: Arc<Mutex<Option<TcpStream>>>,
}

/// Well within the two seconds that an agent may be silent, also on a slow machine.
const BEAT: Duration = Duration::from_millis(200);

impl Watch {
    /// Begins the answer to a watch that has been asked for.
    pub fn begin(mut wire: Wire) -> Watch {
        wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let says = wire.reader.get_ref().try_clone().expect("a socket");
        let says = Arc::new(Mutex::new(Some(says)));
        let beats = says.clone();
        std::thread::spawn(move || {
            // Ends when the watch has, or when the other end has.
            while beats
                .lock()
                .unwrap()
                .as_mut()
                .is_some_and(|says| says.write_all(b"1\r\n\n\r\n").is_ok())
            {
                std::thread::sleep(BEAT);
            }
        });
        Watch { wire, says }
    }

    /// Says a line.
    pub fn line(&mut self, text: &str) {
        self.piece(&format!("{text}\n"));
    }

    /// Says part of a line, or several.
    pub fn piece(&mut self, text: &str) {
        let mut says = self.says.lock().unwrap();
        let says = says.as_mut().expect("an open watch");
        says.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .expect("the other end reads");
    }

    /// Says nothing from now on, and stays open.
    pub fn fall_silent(&mut self) {
        self.says.lock().unwrap().take();
    }

    /// Ends as it should.
    pub fn end(self) {
        let mut says = self.says.lock().unwrap();
        let says = says.as_mut().expect("an open watch");
        says.write_all(b"0\r\n\r\n").expect("the other end reads");
    }

    /// Whether the other end has closed.
    pub fn has_ended(&self) -> bool {
        self.wire.speaks()
    }

    /// Waits until the other end has closed.
    pub fn expect_end(&mut self) {
        self.fall_silent();
        self.wire.expect_end();
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.fall_silent();
    }
}

/// The running program.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    pub log: BufReader<ChildStderr>,
    /// Its configuration and the file that holds it.
    pub config: Value,
    pub path: String,
}

static FILES: AtomicU32 = AtomicU32::new(0);

/// Starts the program with a configuration file of this text; the file's path comes along.
pub fn spawn(config: &str, variables: &[(&str, &str)]) -> (Child, String) {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = format!(
        "{}/config-{}-{number}.json",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, config).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplefall"));
    for name in [
        "BALANCER_NAME",
        "BALANCER_LISTEN",
        "BALANCER_DISCOVERY",
        "MAPLEFALL_SOURCES",
    ] {
        command.env_remove(name);
    }
    command
        .envs(variables.iter().copied())
        .env("BALANCER_CONFIG", &path)
        .stderr(Stdio::piped());
    (command.spawn().expect("the program starts"), path)
}

impl Program {
    pub fn start(settings: Value, discovery: SocketAddr, known: Value) -> Program {
        Program::start_within(256, settings, discovery, known)
    }

    /// Starts with so many descriptors.
    pub fn start_within(
        sockets: u32,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> Program {
        Program::start_with(&[], sockets, settings, discovery, known)
    }

    /// Starts with these variables too.
    pub fn start_with(
        more: &[(&str, &str)],
        sockets: u32,
        settings: Value,
        discovery: SocketAddr,
        known: Value,
    ) -> Program {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known, "settings": settings,
        });
        // As in service: the variable tells the same as the file.
        let mut variables = vec![("BALANCER_DISCOVERY", config["discovery"].as_str().unwrap())];
        variables.extend_from_slice(more);
        let (mut child, path) = spawn(&config.to_string(), &variables);
        let log = BufReader::new(child.stderr.take().expect("a pipe"));
        // From here on it is ended with the test, also where it says something else than where it listens.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut program = Program {
            child,
            address,
            log,
            config,
            path,
        };
        let line = program.log_line();
        let told = line
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|text| text.parse().ok());
        program.address = told.unwrap_or_else(|| panic!("no address in {line:?}"));
        program
    }

    pub fn client(&self) -> Wire {
        Wire::to(self.address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and tells the program.
    pub fn reload(&self, config: &str) {
        self.replace_config(config);
        self.signal("-HUP");
    }

    /// Replaces the configuration file.
    pub fn replace_config(&self, config: &str) {
        let fresh = format!("{}.new", self.path);
        std::fs::write(&fresh, config).expect("a file");
        std::fs::rename(&fresh, &self.path).expect("a file replaced");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .expect("kill runs")
            .success());
    }

    /// The next line of its log.
    pub fn log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("a line");
        line
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("an exit")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A front door with backends and a discovery that has been asked for a watch.
pub struct Scene {
    pub program: Program,
    pub discovery: Place,
    pub watch: Watch,
    pub backends: Vec<Place>,
}

impl Scene {
    pub fn new(backends: usize) -> Scene {
        Scene::with(settings(), backends)
    }

    pub fn with(settings: Value, count: usize) -> Scene {
        let discovery = Place::new();
        let backends: Vec<Place> = (0..count).map(|_| Place::new()).collect();
        let hosts: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(i, b)| member(&format!("s-{i}"), b.address(), "up"))
            .collect();
        let program = Program::start(settings, discovery.address(), members(7, true, &hosts));
        let wire = discovery.asked("?watch=1&from=7");
        Scene {
            program,
            discovery,
            watch: Watch::begin(wire),
            backends,
        }
    }

    /// A request that may not be repeated, taken in and held at a backend: its client, and where it is held.
    pub fn hold(&self, id: &str) -> (Wire, Wire) {
        let mut client = self.program.client();
        client.write(request_of(id, "charge", "wide", LONG));
        let mut backend = self.accept_any().1;
        backend.read();
        (client, backend)
    }

    /// The next connection to any backend, with the backend's place.
    pub fn accept_any(&self) -> (usize, Wire) {
        wait_for("a connection to a backend", || {
            self.backends
                .iter()
                .enumerate()
                .find_map(|(i, place)| place.try_accept().map(|wire| (i, wire)))
        })
    }

    /// Whether no backend has a connection waiting to be accepted.
    pub fn nobody_called(&self) -> bool {
        !self.backends.iter().any(Place::called)
    }
}

static ASKED: AtomicU32 = AtomicU32::new(0);

/// One client, and the connections that the front door has open to backends.
pub struct Asking<'a> {
    program: &'a Program,
    client: Wire,
    backends: &'a [Place],
    open: Vec<(usize, Wire)>,
}

impl<'a> Asking<'a> {
    pub fn new(program: &'a Program, backends: &'a [Place]) -> Asking<'a> {
        Asking {
            program,
            client: program.client(),
            backends,
            open: Vec::new(),
        }
    }

    /// Sends one request and answers it; tells which backend had it, or `None` if it was turned away: tests ask faster than
    /// any quota allows for long.
    pub fn who(&mut self) -> Option<usize> {
        // An id is good once, whoever asks.
        let id = ASKED.fetch_add(1, Ordering::Relaxed);
        // A front door may close a connection between two requests, as it does once one has stood idle.
        if self.client.speaks() {
            self.client = self.program.client();
        }
        self.client
            .write(request_of(&format!("asked-{id}"), "read", "wide", LONG));
        let at = wait_for("the request at a backend, or an answer", || {
            // Connections that the front door has closed are no more looked at, also those that it closes just now.
            let says = |wire: &Wire| {
                wire.speaks() && matches!(wire.reader.get_ref().peek(&mut [0]), Ok(1..))
            };
            self.open.retain(|(_, wire)| !wire.speaks() || says(wire));
            if let Some(at) = self.open.iter().position(|(_, wire)| says(wire)) {
                return Some(Some(at));
            }
            for (at, place) in self.backends.iter().enumerate() {
                place.0.set_nonblocking(true).unwrap();
                if let Ok((stream, _)) = place.0.accept() {
                    stream.set_nonblocking(false).unwrap();
                    self.open.push((at, Wire::new(stream)));
                }
            }
            self.client.speaks().then_some(None)
        });
        let Some(at) = at else {
            assert!(matches!(self.client.read().status(), 429 | 503));
            return None;
        };
        let (backend, wire) = &mut self.open[at];
        wire.read();
        wire.answer(200, "", "yes");
        assert_eq!(self.client.read().status(), 200);
        Some(*backend)
    }

    /// Sends requests until one is turned away; tells who had some before.
    pub fn refused(&mut self) -> Vec<usize> {
        let mut others = Vec::new();
        wait_for("a refusal", || match self.who() {
            Some(at) => {
                others.push(at);
                None
            }
            None => Some(()),
        });
        others
    }

    /// Sends requests until ten in a row went to this backend, as they do once it alone is left; tells who else had some.
    pub fn only(&mut self, wanted: usize) -> Vec<usize> {
        let (mut others, mut row) = (Vec::new(), 0);
        wait_for("ten requests in a row at the backend that is left", || {
            match self.who() {
                Some(at) if at == wanted => row += 1,
                Some(other) => {
                    others.push(other);
                    row = 0;
                }
                None => {}
            }
            (row == 10).then_some(())
        });
        others
    }
}

/// A well-formed request of a class: its method, key and body follow from the class.
pub fn request(id: &str, class: &str) -> String {
    request_of(id, class, "wide", "1.5")
}

pub fn request_of(id: &str, class: &str, plan: &str, timeout: &str) -> String {
    let (method, extra, body) = match class {
        "read" => ("GET", "", ""),
        "extend" => (
            "POST",
            "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 5\r\n",
            "hello",
        ),
        _ => ("POST", "Content-Length: 5\r\n", "hello"),
    };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Api-Plan: {plan}\r\nCookie: client=00000000b4d65521\r\nRequest-Timeout: {timeout}\r\n\
         Api-Terms: units=1,spread=1,first=0\r\n{extra}\r\n{body}"
    )
}
