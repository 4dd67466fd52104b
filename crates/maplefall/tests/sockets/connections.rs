//! Listeners and connections that a test controls directly.

use super::TEST_TIMEOUT;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

/// A listener on a free port of the loopback address.
pub struct Listener(pub TcpListener);

impl Listener {
    pub fn new() -> Listener {
        Listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// Waits for the next connection from the gateway.
    pub fn accept(&self) -> Connection {
        wait_for("a connection", || self.try_accept())
    }

    /// Waits for the next connection; returns `None` if the gateway responds to `client` first.
    pub fn accept_or_response(&self, client: &Connection) -> Option<Connection> {
        wait_for("a connection or a response", || match self.try_accept() {
            Some(connection) => Some(Some(connection)),
            None => client.is_readable().then_some(None),
        })
    }

    /// Waits for the next request for the member list with this query. Connections with other
    /// requests are closed: the gateway sends a second request beside an open one when a test
    /// responds slowly.
    pub fn accept_list_request(&self, query: &str) -> Connection {
        let first_line = format!("GET /catalog/members{query} HTTP/1.1");
        loop {
            let mut connection = self.accept();
            if connection.read().first_line == first_line {
                return connection;
            }
        }
    }

    /// Accepts a connection if one is waiting.
    pub fn try_accept(&self) -> Option<Connection> {
        self.0.set_nonblocking(true).unwrap();
        match self.0.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                Some(Connection::new(stream))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => panic!("{error}"),
        }
    }

    /// Accepts and drops a connection if one is waiting; returns whether there was one.
    pub fn has_connection(&self) -> bool {
        self.try_accept().is_some()
    }
}

/// Returns a listener whose accept backlog is full, with the connections that fill it: a further
/// connect hangs until these have been accepted.
pub fn listener_with_full_backlog() -> (Listener, Vec<TcpStream>) {
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
    let listener = Listener(listener);
    // The kernel accepts one connection more than the backlog.
    let fillers = (0..2)
        .map(|_| TcpStream::connect(listener.address()).expect("the backlog holds two"))
        .collect();
    (listener, fillers)
}

/// Returns an address that refuses connections; the port stays reserved while the socket is held.
pub fn refusing_address() -> (SocketAddr, tokio::net::TcpSocket) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().unwrap()).expect("a port");
    (socket.local_addr().expect("an address"), socket)
}

/// Returns whether a connect to this address has been started and not accepted yet.
pub fn has_pending_connect(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
    let port = format!(":{:04X}", address.port());
    let is_syn_sent = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 3 && fields[2].ends_with(&port) && fields[3] == "02"
    };
    table.lines().any(is_syn_sent)
}

/// Polls until there is a value; panics after `TEST_TIMEOUT`.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::yield_now();
    }
}

/// An HTTP/1.1 message as received: first line, headers and body.
#[derive(Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// One end of an HTTP/1.1 connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Connection {
            reader: BufReader::new(stream),
        }
    }

    pub fn connect(address: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(address).expect("the gateway accepts"))
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the peer reads");
    }

    /// Reads the next complete message.
    pub fn read(&mut self) -> Message {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a first line");
        assert!(
            !line.is_empty(),
            "the connection ended before a complete message"
        );
        let first_line = line.trim_end().to_owned();
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
        self.reader.read_exact(&mut body).expect("a complete body");
        Message {
            first_line,
            headers,
            body,
        }
    }

    /// Sends a response with a status, further header lines and a body.
    pub fn respond(&mut self, status: u16, headers: &str, body: &str) {
        self.write(format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Returns whether the peer has sent data or closed.
    pub fn is_readable(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let readable = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        readable
    }

    /// Waits until the peer sends data or closes; returns whether it sent data.
    pub fn receives_data(&self) -> bool {
        wait_for("data or the end of the connection", || {
            self.is_readable().then_some(())
        });
        matches!(self.reader.get_ref().peek(&mut [0]), Ok(1..))
    }

    /// Waits until this connection or `other` is readable; returns whether this one was.
    pub fn is_readable_before(&self, other: &Connection) -> bool {
        wait_for("data on one of two connections", || {
            match self.is_readable() {
                true => Some(true),
                false => other.is_readable().then_some(false),
            }
        })
    }

    /// Waits until the peer has closed without sending more data.
    pub fn expect_end(&mut self) {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => assert_eq!(String::from_utf8_lossy(&rest), ""),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{error}"),
        }
    }
}
