//! What the played tests share: a door in this process that knows its configuration and backends, and a slow, plain reader of
//! HTTP/1.1 that has nothing in common with the library that the door uses.

#![allow(dead_code, reason = "every test uses a part of it")]

use maplefall_control_messages::{ConfigUpdate, Frame, InstanceUpdates};
use maplefall_gateway_config::parse_amend;
use maplefall_node_settings::Settings;
use maplefall_proxy::downstream::DownstreamServer;
use maplefall_proxy::driver::Proxy;
use maplefall_service_registry::{InstanceRecord, InstanceState};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Two routes to the one service: what may be repeated, and what may not.
pub const CONFIGURATION: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/safe/","safe",20,0.2,3,"00000001","one"],["r2","h.example","/once/","nonidempotent",20,0.2,3,"00000001","one"]]},"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}}}"#;

/// Chance from a seed.
pub struct Chance(Pcg32);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(Pcg32::seed_from_u64(seed))
    }

    /// A number below `most`; nought if that is nought.
    pub fn below(&mut self, most: usize) -> usize {
        self.0.next_u32() as usize % most.max(1)
    }

    /// True so many times in a hundred.
    pub fn percent(&mut self, part: usize) -> bool {
        self.below(100) < part
    }

    pub fn one_of<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len())]
    }
}

/// A door with its clients' side.
pub struct Front {
    pub door: Rc<Proxy>,
    pub clients: Rc<DownstreamServer>,
    pub address: SocketAddr,
    tasks: Vec<AbortHandle>,
}

impl Front {
    /// A door that has heard its configuration and of these backends; budgets allow any repeat.
    pub async fn open(seed: u64, backends: &[SocketAddr]) -> Front {
        Front::with(seed, backends, 4096).await
    }

    /// The same with so many descriptors.
    pub async fn with(seed: u64, backends: &[SocketAddr], sockets: usize) -> Front {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let text = format!(
            "Node = \"edge\"\nIp = \"127.0.0.1\"\nInternalPorts = [1,1]\nSeedAddrs = [\"127.0.0.1:1\"]\nBootstrap = true\nZone = \"z\"\n[Bind]\nFrontHttp = \"{address}\"\nReadyProbe = \"{address}\"\n"
        );
        let mut settings = Settings::read(&text, Path::new("edge.toml")).expect("settings");
        (
            settings.bounds.retry_budget_ratio,
            settings.bounds.retry_slack,
        ) = (50.0, 10_000.0);
        let door = Proxy::new(&settings, seed);
        let items = parse_amend(CONFIGURATION.as_bytes())
            .expect("a configuration")
            .items;
        let plans = ConfigUpdate {
            after: 0,
            index: 1,
            changes: Vec::new(),
            items,
            controllers: Vec::new(),
        };
        let words = backends
            .iter()
            .enumerate()
            .map(|(n, address)| InstanceRecord {
                id: format!("i-{n}"),
                service: "one".to_owned(),
                address: address.to_string(),
                zone: "z".to_owned(),
                capacity: 8,
                state: InstanceState::Serving as i32,
                seq: 1,
                warmup_left_ms: 0,
            });
        let words = InstanceUpdates {
            records: words.collect(),
            complete: true,
            ack_number: 0,
        };
        door.drive(|core, now, out| {
            core.receive(now, "x", Frame::ConfigUpdate(plans), out);
            core.receive(now, "x", Frame::InstanceUpdates(words), out);
        });
        let clients = DownstreamServer::new(door.clone(), sockets, 256 << 20);
        clients.serve(listener);
        let tasks = vec![
            tokio::task::spawn_local(door.clone().run_timers()).abort_handle(),
            tokio::task::spawn_local(door.clone().close_idle_periodically()).abort_handle(),
        ];
        Front {
            door,
            clients,
            address,
            tasks,
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.clients.close_listener();
    }
}

// ---- The plain reader -------------------------------------------------------------------------------

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    /// It has not come whole.
    Short,
    /// It can never be one.
    Bad(&'static str),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn all(&self, name: &str) -> Vec<&str> {
        let named = self
            .headers
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str()).collect()
    }

    /// The value of a header that stands there exactly once.
    pub fn single(&self, name: &str) -> Option<&str> {
        match self.all(name)[..] {
            [value] => Some(value),
            _ => None,
        }
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// Whether its sender ends the connection with it.
    pub fn closes(&self) -> bool {
        let options = self.all("connection").join(",").to_ascii_lowercase();
        let mut options = options.split(',').map(str::trim);
        if self.start.contains("HTTP/1.0") {
            !options.any(|option| option == "keep-alive")
        } else {
            options.any(|option| option == "close")
        }
    }
}

fn token(text: &str) -> bool {
    let odd = |c: char| !(c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c));
    !text.is_empty() && !text.contains(odd)
}

/// A line and where the next one begins; a line feed ends it, with or without the return before it.
fn line(bytes: &[u8], from: usize) -> Result<(String, usize), Odd> {
    let end = bytes[from..]
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(Odd::Short)?;
    let text: String = bytes[from..from + end]
        .iter()
        .map(|byte| char::from(*byte))
        .collect();
    let text = text.strip_suffix('\r').unwrap_or(&text).to_owned();
    Ok((text, from + end + 1))
}

fn fields(bytes: &[u8], from: usize) -> Result<(Vec<(String, String)>, usize), Odd> {
    let (mut headers, mut at) = (Vec::new(), from);
    loop {
        let (text, next) = line(bytes, at)?;
        at = next;
        if text.is_empty() {
            return Ok((headers, at));
        }
        let (name, value) = text.split_once(':').ok_or(Odd::Bad("colon"))?;
        if !token(name) || value.chars().any(|c| (c < ' ' && c != '\t') || c == '\x7f') {
            return Err(Odd::Bad("header"));
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
}

/// Start line and headers, and where the body begins. Empty lines before are passed over.
fn head(bytes: &[u8], from: usize) -> Result<(Message, usize), Odd> {
    let mut at = from;
    let start = loop {
        let (text, next) = line(bytes, at)?;
        at = next;
        if !text.is_empty() {
            break text;
        }
    };
    let (headers, at) = fields(bytes, at)?;
    Ok((
        Message {
            start,
            headers,
            body: Vec::new(),
        },
        at,
    ))
}

fn chunks(bytes: &[u8], from: usize) -> Result<(Vec<u8>, usize), Odd> {
    let (mut body, mut at) = (Vec::new(), from);
    loop {
        let (text, next) = line(bytes, at)?;
        let size = text.split(';').next().unwrap_or_default().trim();
        if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(Odd::Bad("chunk"));
        }
        let size = usize::from_str_radix(size, 16).map_err(|_| Odd::Bad("chunk"))?;
        if size == 0 {
            let (_, at) = fields(bytes, next)?;
            return Ok((body, at));
        }
        let end = next.checked_add(size).ok_or(Odd::Bad("chunk"))?;
        if bytes.len() < end + 2 {
            return Err(Odd::Short);
        }
        if &bytes[end..end + 2] != b"\r\n" {
            return Err(Odd::Bad("chunk end"));
        }
        body.extend_from_slice(&bytes[next..end]);
        at = end + 2;
    }
}

fn body(bytes: &[u8], message: &mut Message, at: usize) -> Result<usize, Odd> {
    match (
        &message.all("content-length")[..],
        &message.all("transfer-encoding")[..],
    ) {
        ([length], [])
            if !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit()) =>
        {
            let length: usize = length.parse().map_err(|_| Odd::Bad("length"))?;
            let end = at.checked_add(length).ok_or(Odd::Bad("length"))?;
            message.body = bytes.get(at..end).ok_or(Odd::Short)?.to_vec();
            Ok(end)
        }
        ([], [coding])
            if coding.eq_ignore_ascii_case("chunked") && !message.start.contains("HTTP/1.0") =>
        {
            let (body, end) = chunks(bytes, at)?;
            message.body = body;
            Ok(end)
        }
        _ => Err(Odd::Bad("framing")),
    }
}

/// The final answer that begins here, and where it ends. What comes before with a status below 200 is passed over.
pub fn answer(bytes: &[u8], from: usize, asked: &str) -> Result<(Message, usize), Odd> {
    let mut from = from;
    loop {
        let (mut message, at) = head(bytes, from)?;
        let mut words = message.start.splitn(3, ' ');
        let version = words.next().unwrap_or_default();
        let status = words.next().unwrap_or_default();
        if !["HTTP/1.0", "HTTP/1.1"].contains(&version)
            || status.len() != 3
            || !status.bytes().all(|byte| byte.is_ascii_digit())
        {
            return Err(Odd::Bad("status line"));
        }
        match message.status() {
            101 => return Err(Odd::Bad("upgrade")),
            100..200 => from = at,
            204 | 304 => return Ok((message, at)),
            200..600 if asked == "HEAD" => return Ok((message, at)),
            200..600 => {
                let end = body(bytes, &mut message, at)?;
                return Ok((message, end));
            }
            _ => return Err(Odd::Bad("status")),
        }
    }
}

/// The request that begins here, and where it ends.
pub fn request(bytes: &[u8], from: usize) -> Result<(Message, usize), Odd> {
    let (mut message, at) = head(bytes, from)?;
    if message.start.split(' ').count() != 3 {
        return Err(Odd::Bad("request line"));
    }
    if message.all("content-length").is_empty() && message.all("transfer-encoding").is_empty() {
        return Ok((message, at));
    }
    let end = body(bytes, &mut message, at)?;
    Ok((message, end))
}
