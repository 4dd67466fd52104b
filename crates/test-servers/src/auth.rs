//! A played authentication service, as forward authentication asks it: a sub-request with the caller's headers; 2xx lets
//! the request pass, anything else is the answer. It fails in every way on call, and logs each check.

use crate::wire::Link;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Checks that the log holds at most; beyond it the oldest are forgotten.
const MOST_LOGGED: usize = 200_000;
/// Connections that it holds; it resets further ones.
const MOST_CONNECTIONS: usize = 1024;
/// Length of a piece of an answer without end.
const PIECE: usize = 16 * 1024;

/// A way to fail at a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The check is read and never answered.
    Stall,
    /// Half of the answer's head is written, and no more.
    HalfHead,
    /// The answer comes this much later.
    Late(Duration),
    /// The connection is reset as it is accepted.
    ResetBefore,
    /// It is reset at the check's first bytes.
    ResetWithin,
    /// It is reset once the check is whole.
    ResetAfter,
    /// The answer is written twice.
    Twice,
    /// The answer's body has no end.
    Endless,
    /// The answer is whole, and the connection is closed right behind it without a word.
    Close,
    /// The answer is this status.
    Status(u16),
    /// The answer's headers carry a line break and a header of their own.
    Splitting,
}

/// A check as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When.
    pub at: Instant,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The method and target of the sub-request itself.
    pub method: String,
    /// Its target.
    pub target: String,
    /// The status that was meant for it.
    pub status: u16,
}

impl Seen {
    /// The first header of this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// What the service knows of a credential.
#[derive(Clone, Debug, Default)]
struct Grant {
    /// Headers that go with a pass, each a whole line without its end.
    headers: Vec<String>,
}

/// A played authentication service. Credentials are whole values of the header `authorization`.
pub struct Auth {
    grants: RefCell<HashMap<String, Grant>>,
    /// What a denial is: status and header lines.
    denial: RefCell<(u16, Vec<String>)>,
    /// What befalls checks, and which part of them.
    fault: Cell<Option<(Fault, f64)>>,
    log: RefCell<VecDeque<Seen>>,
    open: Cell<usize>,
    rng: RefCell<Pcg32>,
}

impl Auth {
    /// A service that denies everybody with 401.
    pub fn new(seed: u64) -> Rc<Auth> {
        Rc::new(Auth {
            grants: RefCell::default(),
            denial: RefCell::new((
                401,
                vec!["WWW-Authenticate: Bearer realm=\"lots\"".to_owned()],
            )),
            fault: Cell::new(None),
            log: RefCell::default(),
            open: Cell::new(0),
            rng: RefCell::new(Pcg32::seed_from_u64(seed)),
        })
    }

    /// Lets a credential pass from now on, with these header lines.
    pub fn grant(&self, credential: &str, headers: &[&str]) {
        let headers = headers.iter().map(|line| (*line).to_owned()).collect();
        self.grants
            .borrow_mut()
            .insert(credential.to_owned(), Grant { headers });
    }

    /// Denies a credential from now on.
    pub fn revoke(&self, credential: &str) {
        self.grants.borrow_mut().remove(credential);
    }

    /// Denies with this status and these header lines from now on.
    pub fn deny_with(&self, status: u16, headers: &[&str]) {
        *self.denial.borrow_mut() = (
            status,
            headers.iter().map(|line| (*line).to_owned()).collect(),
        );
    }

    /// Strikes this part of the checks from now on; `None` ends it.
    pub fn fault(&self, fault: Option<(Fault, f64)>) {
        self.fault.set(fault);
    }

    /// The checks that came, the oldest first.
    pub fn log(&self) -> Vec<Seen> {
        self.log.borrow().iter().cloned().collect()
    }

    /// How many checks came.
    pub fn checks(&self) -> usize {
        self.log.borrow().len()
    }

    /// Serves here for as long as it is polled.
    ///
    /// # Errors
    /// What the system says of the listener.
    pub async fn serve(self: Rc<Self>, listener: StdListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let auth = self.clone();
                    tokio::task::spawn_local(async move {
                        auth.open.set(auth.open.get() + 1);
                        auth.clone().talk(stream).await;
                        auth.open.set(auth.open.get() - 1);
                    });
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// What befalls the next check.
    fn strikes(&self) -> Option<Fault> {
        let (fault, part) = self.fault.get()?;
        let lot = f64::from(self.rng.borrow_mut().next_u32()) / 4_294_967_296.0;
        (lot < part).then_some(fault)
    }

    async fn talk(self: Rc<Self>, stream: TcpStream) {
        let mut link = Link::over(stream);
        if self.open.get() > MOST_CONNECTIONS
            || matches!(self.fault.get(), Some((Fault::ResetBefore, _)))
        {
            return link.reset();
        }
        loop {
            if link.pending() == 0 && !matches!(link.more().await, Ok(true)) {
                return;
            }
            let fault = self.strikes();
            if fault == Some(Fault::ResetWithin) {
                return link.reset();
            }
            let Ok(message) = link.message().await else {
                return;
            };
            let closes = message.closes();
            let (status, headers) =
                self.verdict(message.header("authorization").unwrap_or_default());
            let status = if let Some(Fault::Status(status)) = fault {
                status
            } else {
                status
            };
            self.note(Seen {
                at: Instant::now(),
                headers: message.headers,
                method: message.method,
                target: message.target,
                status,
            });
            let mut head = format!("HTTP/1.1 {status} X\r\n");
            headers
                .iter()
                .for_each(|line| head.push_str(&format!("{line}\r\n")));
            if fault == Some(Fault::Splitting) {
                head.push_str("Remote-User: eva\r\n\x20folded: yes\rInjected: 1\r\n");
            }
            let answer = format!("{head}Content-Length: 0\r\n\r\n");
            let written = match fault {
                Some(Fault::ResetAfter) => return link.reset(),
                Some(Fault::Stall) => return link.until_closed().await,
                Some(Fault::HalfHead) => {
                    // Whoever has gone is not answered.
                    let _ = link.write(&answer.as_bytes()[..answer.len() / 2]).await;
                    return link.until_closed().await;
                }
                Some(Fault::Late(late)) => {
                    tokio::time::sleep(late).await;
                    link.write(answer.as_bytes()).await
                }
                Some(Fault::Twice) => link.write(answer.repeat(2).as_bytes()).await,
                Some(Fault::Endless) => {
                    let mut written = link
                        .write(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())
                        .await;
                    let piece = format!("{PIECE:x}\r\n{}\r\n", "x".repeat(PIECE));
                    while written.is_ok() {
                        written = link.write(piece.as_bytes()).await;
                    }
                    written
                }
                _ => link.write(answer.as_bytes()).await,
            };
            if written.is_err() || closes || fault == Some(Fault::Close) {
                return;
            }
        }
    }

    fn note(&self, seen: Seen) {
        let mut log = self.log.borrow_mut();
        if log.len() >= MOST_LOGGED {
            log.pop_front();
        }
        log.push_back(seen);
    }

    fn verdict(&self, credential: &str) -> (u16, Vec<String>) {
        match self.grants.borrow().get(credential) {
            Some(grant) => (200, grant.headers.clone()),
            None => self.denial.borrow().clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{Message, NoMessage};
    use std::future::Future;

    fn run(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            tokio::time::timeout(Duration::from_secs(30), test)
                .await
                .expect("in time");
        });
    }

    async fn asked(auth: &Rc<Auth>, credential: &str) -> (Link, Result<Message, NoMessage>) {
        let listener = StdListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(auth.clone().serve(listener));
        let mut link = Link::open(address).await.unwrap();
        let ask = format!(
            "GET /auth HTTP/1.1\r\nHost: a\r\nAuthorization: {credential}\r\nX-Forwarded-Uri: /x\r\n\r\n"
        );
        // A connection that is reset at once may be so before this is written.
        let _ = link.write(ask.as_bytes()).await;
        let answer = link.message().await;
        (link, answer)
    }

    #[test]
    fn it_lets_pass_whom_it_knows_until_it_does_not() {
        run(async {
            let auth = Auth::new(1);
            auth.grant(
                "Bearer ana",
                &["Remote-User: ana", "Cache-Control: max-age=5"],
            );
            let (_, answer) = asked(&auth, "Bearer ana").await;
            let answer = answer.unwrap();
            assert_eq!(
                (answer.status, answer.header("remote-user")),
                (200, Some("ana"))
            );
            let (_, answer) = asked(&auth, "Bearer eva").await;
            let answer = answer.unwrap();
            assert_eq!(answer.status, 401);
            assert!(answer.header("www-authenticate").is_some());
            auth.revoke("Bearer ana");
            auth.deny_with(302, &["Location: /login"]);
            let (_, answer) = asked(&auth, "Bearer ana").await;
            assert_eq!(answer.unwrap().header("location"), Some("/login"));
            let log = auth.log();
            assert_eq!(
                log.iter().map(|seen| seen.status).collect::<Vec<_>>(),
                [200, 401, 302]
            );
            assert_eq!(
                (log[0].header("x-forwarded-uri"), log[0].target.as_str()),
                (Some("/x"), "/auth")
            );
        });
    }

    #[test]
    fn every_fault_is_what_it_says() {
        run(async {
            let auth = Auth::new(1);
            auth.grant("a", &[]);
            let with = |fault| {
                auth.fault(Some((fault, 1.0)));
                asked(&auth, "a")
            };
            for fault in [Fault::ResetBefore, Fault::ResetWithin, Fault::ResetAfter] {
                assert!(
                    matches!(with(fault).await.1, Err(NoMessage::Closed)),
                    "{fault:?}"
                );
            }
            assert_eq!(auth.checks(), 1, "only the last was read whole");
            assert_eq!(with(Fault::Status(500)).await.1.unwrap().status, 500);
            let (mut link, answer) = with(Fault::Close).await;
            assert_eq!(answer.unwrap().status, 200);
            assert!(matches!(link.message().await, Err(NoMessage::Closed)));
            let (mut link, answer) = with(Fault::Twice).await;
            assert_eq!(
                (answer.unwrap().status, link.message().await.unwrap().status),
                (200, 200)
            );
            assert!(
                matches!(with(Fault::Endless).await.1, Err(NoMessage::Garbage(_))),
                "a body in chunks"
            );
            assert!(with(Fault::Late(Duration::from_millis(30))).await.1.is_ok());
            for fault in [Fault::Stall, Fault::HalfHead] {
                let waits = tokio::time::timeout(Duration::from_millis(100), with(fault)).await;
                assert!(waits.is_err(), "{fault:?} was answered");
            }
            auth.fault(None);
            assert!(asked(&auth, "a").await.1.is_ok());
        });
    }
}
