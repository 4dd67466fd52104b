//! A stand-in of a backend: answers as the users' page PROTOCOL says, and keeps what it ran.

use crate::http::{call, read_message, Message};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How many requests a backend works on at the same time.
const SLOTS: usize = 2;
/// How many more it queues before it sheds.
const QUEUE: usize = 4;

/// A request that a backend has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub start: String,
    pub tenant: Option<String>,
    pub authorization: Option<String>,
    pub answered: bool,
}

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    work: Duration,
    state: Mutex<State>,
    working: AtomicUsize,
    waiting: AtomicUsize,
    sequence: AtomicU64,
    leaving: AtomicBool,
    ended: AtomicBool,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    connections: Vec<TcpStream>,
}

impl Backend {
    /// Starts a backend. It sends no beats before [`Backend::beat`] or [`Backend::beat_regularly`].
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        work: Duration,
    ) -> Result<Arc<Backend>, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| format!("backend: {error}"))?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let backend = Arc::new(Backend {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            work,
            state: Mutex::default(),
            working: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.state.lock().unwrap().connections.push(copy);
                }
                let backend = accepting.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        Ok(backend)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = self.answer(&request);
            if self.ended.load(Ordering::SeqCst) || writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if let Some(id) = request.header("x-attempt-id") {
                let mut state = self.state.lock().unwrap();
                let run = state.runs.iter_mut().rev().find(|run| run.id == id);
                if let Some(run) = run {
                    run.answered = true;
                }
            }
            if self.leaving.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let leaving = self.leaving.load(Ordering::SeqCst);
        let id = request.header("x-attempt-id").unwrap_or_default();
        let close = if leaving { "Connection: close\r\n" } else { "" };
        let reply = |status: &str, extra: String, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{extra}{close}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if request.start.starts_with("GET /health ") {
            let status = if leaving {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return reply(status, format!("X-Instance-Id: {}\r\n", self.id), "");
        }
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != self.id)
        {
            let own = format!("X-Instance-Id: {}\r\n", self.id);
            return reply("421 Misdirected Request", own, "");
        }
        if id.is_empty() {
            return reply("400 Bad Request", "X-Not-Executed: 1\r\n".to_owned(), "");
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return reply(
                "503 Service Unavailable",
                "X-Not-Executed: 1\r\n".to_owned(),
                "",
            );
        }
        while self.working.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.working.fetch_sub(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(1));
        }
        let run = Run {
            at: Instant::now(),
            id: id.to_owned(),
            start: request.start.clone(),
            tenant: request.header("x-tenant").map(str::to_owned),
            authorization: request.header("authorization").map(str::to_owned),
            answered: false,
        };
        self.state.lock().unwrap().runs.push(run);
        thread::sleep(self.work);
        self.working.fetch_sub(1, Ordering::SeqCst);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let body = format!("done by {} for {id}", self.id);
        reply(
            "200 OK",
            format!("X-Server-Seal: {}.{id}\r\n", self.id),
            &body,
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Sends one beat; returns whether it was acknowledged.
    pub fn beat(&self, controllers: &[SocketAddr], first: usize) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"Address\":\"{}\",\"Details\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"sabana\",\"Capacity\":{SLOTS}}},\
             \"Observed\":{{\"State\":\"in_loop\",\"CallSeq\":{sequence},\"WarmupLeftS\":0}}}}",
            self.address, self.service
        );
        let query = format!("call=instances.beat&of={}", self.id);
        call(controllers, first, &query, &body).is_some_and(|answer| answer.status() == 200)
    }

    /// Sends a beat every `HeartbeatS` until it leaves or ends.
    pub fn beat_regularly(self: &Arc<Self>, controllers: Vec<SocketAddr>, first: usize) {
        let backend = self.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1500));
            if backend.leaving.load(Ordering::SeqCst) || backend.ended.load(Ordering::SeqCst) {
                return;
            }
            backend.beat(&controllers, first);
        });
    }

    /// Says that it leaves; returns the time of the acknowledgement.
    pub fn leave(&self, controllers: &[SocketAddr], first: usize) -> Option<Instant> {
        self.leaving.store(true, Ordering::SeqCst);
        let query = format!("call=instances.leave&of={}", self.id);
        let answer = call(controllers, first, &query, "{}")?;
        (answer.status() == 200).then(Instant::now)
    }

    /// Ends: accepts nothing more and closes all connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for connection in self.state.lock().unwrap().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}
