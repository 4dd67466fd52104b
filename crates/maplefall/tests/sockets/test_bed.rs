//! The program between played backends and a played discovery agent.

use super::agent_watch::AgentWatch;
use super::connections::{wait_for, Connection, Listener};
use super::program::Program;
use super::{member, members, request, request_of, settings, LONG_TIMEOUT};
use serde_json::Value;
use std::sync::atomic::{AtomicU32, Ordering};

/// A front door with backends and a discovery that has been asked for a watch.
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
        let wire = discovery.asked("?watch=1&from=7");
        TestBed {
            program,
            discovery,
            watch: AgentWatch::begin(wire),
            backends,
        }
    }

    /// A request that may not be repeated, taken in and held at a backend: its client, and where it is held.
    pub fn hold(&self, id: &str) -> (Connection, Connection) {
        let mut client = self.program.client();
        client.write(request_of(id, "charge", "wide", LONG_TIMEOUT));
        let mut backend = self.accept_any().1;
        backend.read();
        (client, backend)
    }

    /// The next connection to any backend, with the backend's place.
    pub fn accept_any(&self) -> (usize, Connection) {
        wait_for("a connection to a backend", || {
            self.backends
                .iter()
                .enumerate()
                .find_map(|(i, place)| place.try_accept().map(|wire| (i, wire)))
        })
    }

    /// Whether no backend has a connection waiting to be accepted.
    pub fn nobody_called(&self) -> bool {
        !self.backends.iter().any(Listener::called)
    }
}

static NEXT_REQUEST: AtomicU32 = AtomicU32::new(0);

/// One client, and the connections that the front door has open to backends.
pub struct OpenBackends<'a> {
    program: &'a Program,
    client: Connection,
    backends: &'a [Listener],
    open: Vec<(usize, Connection)>,
}

impl<'a> OpenBackends<'a> {
    pub fn new(program: &'a Program, backends: &'a [Listener]) -> OpenBackends<'a> {
        OpenBackends {
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
        let id = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        // A front door may close a connection between two requests, as it does once one has stood idle.
        if self.client.speaks() {
            self.client = self.program.client();
        }
        self.client.write(request_of(
            &format!("asked-{id}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let at = wait_for("the request at a backend, or an answer", || {
            // Connections that the front door has closed are no more looked at, also those that it closes just now.
            let says = |wire: &Connection| {
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
                    self.open.push((at, Connection::new(stream)));
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
