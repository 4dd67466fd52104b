//! The program between fake backends and a fake discovery agent.

use super::agent_watch::AgentWatch;
use super::connections::{wait_for, Connection, Listener};
use super::program::Program;
use super::{member, members, request, request_of, settings, LONG_TIMEOUT};
use serde_json::Value;
use std::sync::atomic::{AtomicU32, Ordering};

/// A gateway with backends and a discovery agent on which it has opened a watch.
pub struct TestBed {
    pub program: Program,
    pub discovery: Listener,
    pub watch: AgentWatch,
    pub backends: Vec<Listener>,
}

impl TestBed {
    pub fn new(backends: usize) -> TestBed {
        TestBed::with(settings(), backends)
    }

    pub fn with(settings: Value, count: usize) -> TestBed {
        let discovery = Listener::new();
        let backends: Vec<Listener> = (0..count).map(|_| Listener::new()).collect();
        let hosts: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(i, b)| member(&format!("s-{i}"), b.address(), "up"))
            .collect();
        let program = Program::start(settings, discovery.address(), members(7, true, &hosts));
        let connection = discovery.accept_list_request("?watch=1&from=7");
        TestBed {
            program,
            discovery,
            watch: AgentWatch::begin(connection),
            backends,
        }
    }

    /// Sends a non-idempotent request and holds it at a backend; returns the client's and the
    /// backend's connection.
    pub fn hold_request(&self, id: &str) -> (Connection, Connection) {
        let mut client = self.program.client();
        client.write(request_of(id, "charge", "wide", LONG_TIMEOUT));
        let mut backend = self.accept_any().1;
        backend.read();
        (client, backend)
    }

    /// Waits for the next connection to any backend; also returns the backend's index.
    pub fn accept_any(&self) -> (usize, Connection) {
        wait_for("a connection to a backend", || {
            self.backends
                .iter()
                .enumerate()
                .find_map(|(i, listener)| listener.try_accept().map(|connection| (i, connection)))
        })
    }

    /// Returns whether no backend has a connection waiting to be accepted.
    pub fn no_backend_connected(&self) -> bool {
        !self.backends.iter().any(Listener::has_connection)
    }
}

static NEXT_REQUEST: AtomicU32 = AtomicU32::new(0);

/// A client that sends one request after another, with the gateway's open connections to the
/// backends; shows which backends get requests.
pub struct TrafficProbe<'a> {
    program: &'a Program,
    client: Connection,
    backends: &'a [Listener],
    open: Vec<(usize, Connection)>,
}

impl<'a> TrafficProbe<'a> {
    pub fn new(program: &'a Program, backends: &'a [Listener]) -> TrafficProbe<'a> {
        TrafficProbe {
            program,
            client: program.client(),
            backends,
            open: Vec::new(),
        }
    }

    /// Sends one request and lets the backend respond; returns the backend's index, or `None` if
    /// the gateway rejected the request, for example over the quota, which tests soon exceed.
    pub fn send_request(&mut self) -> Option<usize> {
        // A request id is accepted only once, whichever client sends it.
        let id = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        // The gateway may close a connection between two requests, for example when it has been
        // idle.
        if self.client.is_readable() {
            self.client = self.program.client();
        }
        self.client.write(request_of(
            &format!("asked-{id}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let at = wait_for("the request at a backend or a response", || {
            // Drops connections that the gateway has closed, also those that it closes during this
            // poll.
            let has_data = |connection: &Connection| {
                connection.is_readable()
                    && matches!(connection.reader.get_ref().peek(&mut [0]), Ok(1..))
            };
            self.open
                .retain(|(_, connection)| !connection.is_readable() || has_data(connection));
            if let Some(at) = self
                .open
                .iter()
                .position(|(_, connection)| has_data(connection))
            {
                return Some(Some(at));
            }
            for (at, listener) in self.backends.iter().enumerate() {
                listener.0.set_nonblocking(true).unwrap();
                if let Ok((stream, _)) = listener.0.accept() {
                    stream.set_nonblocking(false).unwrap();
                    self.open.push((at, Connection::new(stream)));
                }
            }
            self.client.is_readable().then_some(None)
        });
        let Some(at) = at else {
            assert!(matches!(self.client.read().status(), 429 | 503));
            return None;
        };
        let (backend, connection) = &mut self.open[at];
        connection.read();
        connection.respond(200, "", "yes");
        assert_eq!(self.client.read().status(), 200);
        Some(*backend)
    }

    /// Sends requests until one is rejected; returns the backends that got requests before.
    pub fn send_until_rejected(&mut self) -> Vec<usize> {
        let mut others = Vec::new();
        wait_for("a rejection", || match self.send_request() {
            Some(at) => {
                others.push(at);
                None
            }
            None => Some(()),
        });
        others
    }

    /// Sends requests until ten in a row reached this backend, as they do once it is the only one
    /// left; returns which other backends got requests before.
    pub fn send_until_all_reach(&mut self, expected: usize) -> Vec<usize> {
        let (mut others, mut in_a_row) = (Vec::new(), 0);
        wait_for("ten requests in a row at the remaining backend", || {
            match self.send_request() {
                Some(at) if at == expected => in_a_row += 1,
                Some(other) => {
                    others.push(other);
                    in_a_row = 0;
                }
                None => {}
            }
            (in_a_row == 10).then_some(())
        });
        others
    }
}
