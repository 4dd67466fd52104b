//! A fake authentication service for forward authentication. A check is a sub-request with the
//! caller's headers: a 2xx response lets the request pass, any other is sent to the client. The
//! service logs each check and can fail as each [`Fault`] describes.

use crate::wire::Link;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of checks in the log; the oldest are dropped.
const MAX_LOGGED: usize = 200_000;
/// Maximum number of open connections; further ones are reset.
const MAX_CONNECTIONS: usize = 1024;
/// Size of a chunk of an endless response, in bytes.
const CHUNK_SIZE: usize = 16 * 1024;

/// A way in which a check fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The check is read, but no response is sent.
    Stall,
    /// Only half of the response head is written.
    HalfHead,
    /// The response is delayed by this long.
    Late(Duration),
    /// The connection is reset when it is accepted.
    ResetBefore,
    /// The connection is reset at the first bytes of the check.
    ResetWithin,
    /// The connection is reset after the complete check was read.
    ResetAfter,
    /// The response is written twice.
    Twice,
    /// The response body has no end.
    Endless,
    /// The connection is closed after a complete response that does not announce the close.
    Close,
    /// The response has this status.
    Status(u16),
    /// The response has a folded header line and a bare CR that tries to inject a header.
    Splitting,
}

/// A check that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When the check was complete.
    pub at: Instant,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The method of the sub-request itself.
    pub method: String,
    /// The target of the sub-request itself.
    pub target: String,
    /// The status of the response, whether or not a fault prevented sending it.
    pub status: u16,
}

impl Seen {
    /// Returns the value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// What a valid credential grants.
#[derive(Clone, Debug, Default)]
struct Grant {
    /// Header lines of the response, without line ends.
    headers: Vec<String>,
}

/// A fake authentication service. A credential is the complete value of an `authorization` header.
pub struct Auth {
    grants: RefCell<HashMap<String, Grant>>,
    /// Status and header lines of a denial.
    denial: RefCell<(u16, Vec<String>)>,
    /// The fault of checks, and the fraction of them that it affects.
    fault: Cell<Option<(Fault, f64)>>,
    log: RefCell<VecDeque<Seen>>,
    open: Cell<usize>,
    rng: RefCell<Pcg32>,
}

impl Auth {
    /// Creates a service that denies every credential with 401.
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

    /// Accepts a credential from now on, with these header lines in the response.
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

    /// Sets the fault and the fraction of checks that it affects; `None` for no fault.
    pub fn fault(&self, fault: Option<(Fault, f64)>) {
        self.fault.set(fault);
    }

    /// Returns the logged checks, oldest first.
    pub fn log(&self) -> Vec<Seen> {
        self.log.borrow().iter().cloned().collect()
    }

    /// Returns the number of logged checks.
    pub fn checks(&self) -> usize {
        self.log.borrow().len()
    }

    /// Serves connections of `listener` for as long as the future is polled.
    ///
    /// # Errors
    /// The operating system's error if the listener can't be used.
    pub async fn serve(self: Rc<Self>, listener: StdListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let auth = self.clone();
                    tokio::task::spawn_local(async move {
                        auth.open.set(auth.open.get() + 1);
                        auth.clone().serve_connection(stream).await;
                        auth.open.set(auth.open.get() - 1);
                    });
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Draws the fault of the next check.
    fn next_fault(&self) -> Option<Fault> {
        let (fault, share) = self.fault.get()?;
        let sample = f64::from(self.rng.borrow_mut().next_u32()) / 4_294_967_296.0;
        (sample < share).then_some(fault)
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let mut link = Link::over(stream);
        if self.open.get() > MAX_CONNECTIONS
            || matches!(self.fault.get(), Some((Fault::ResetBefore, _)))
        {
            return link.reset();
        }
        loop {
            if link.pending() == 0 && !matches!(link.more().await, Ok(true)) {
                return;
            }
            let fault = self.next_fault();
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
            self.log_check(Seen {
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
            let response = format!("{head}Content-Length: 0\r\n\r\n");
            let written = match fault {
                Some(Fault::ResetAfter) => return link.reset(),
                Some(Fault::Stall) => return link.until_closed().await,
                Some(Fault::HalfHead) => {
                    // The peer may have closed the connection already.
                    let _ = link.write(&response.as_bytes()[..response.len() / 2]).await;
                    return link.until_closed().await;
                }
                Some(Fault::Late(late)) => {
                    tokio::time::sleep(late).await;
                    link.write(response.as_bytes()).await
                }
                Some(Fault::Twice) => link.write(response.repeat(2).as_bytes()).await,
                Some(Fault::Endless) => {
                    let mut written = link
                        .write(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())
                        .await;
                    let chunk = format!("{CHUNK_SIZE:x}\r\n{}\r\n", "x".repeat(CHUNK_SIZE));
                    while written.is_ok() {
                        written = link.write(chunk.as_bytes()).await;
                    }
                    written
                }
                _ => link.write(response.as_bytes()).await,
            };
            if written.is_err() || closes || fault == Some(Fault::Close) {
                return;
            }
        }
    }

    fn log_check(&self, check: Seen) {
        let mut log = self.log.borrow_mut();
        if log.len() >= MAX_LOGGED {
            log.pop_front();
        }
        log.push_back(check);
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

    async fn check(auth: &Rc<Auth>, credential: &str) -> (Link, Result<Message, NoMessage>) {
        let listener = StdListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(auth.clone().serve(listener));
        let mut link = Link::open(address).await.unwrap();
        let request = format!(
            "GET /auth HTTP/1.1\r\nHost: a\r\nAuthorization: {credential}\r\nX-Forwarded-Uri: /x\r\n\r\n"
        );
        // A connection that is reset when accepted may be reset before this write.
        let _ = link.write(request.as_bytes()).await;
        let response = link.message().await;
        (link, response)
    }

    #[test]
    fn granted_credentials_pass_until_revoked() {
        run(async {
            let auth = Auth::new(1);
            auth.grant(
                "Bearer ana",
                &["Remote-User: ana", "Cache-Control: max-age=5"],
            );
            let (_, response) = check(&auth, "Bearer ana").await;
            let response = response.unwrap();
            assert_eq!(
                (response.status, response.header("remote-user")),
                (200, Some("ana"))
            );
            let (_, response) = check(&auth, "Bearer eva").await;
            let response = response.unwrap();
            assert_eq!(response.status, 401);
            assert!(response.header("www-authenticate").is_some());
            auth.revoke("Bearer ana");
            auth.deny_with(302, &["Location: /login"]);
            let (_, response) = check(&auth, "Bearer ana").await;
            assert_eq!(response.unwrap().header("location"), Some("/login"));
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
    fn every_fault_acts_as_documented() {
        run(async {
            let auth = Auth::new(1);
            auth.grant("a", &[]);
            let with = |fault| {
                auth.fault(Some((fault, 1.0)));
                check(&auth, "a")
            };
            for fault in [Fault::ResetBefore, Fault::ResetWithin, Fault::ResetAfter] {
                assert!(
                    matches!(with(fault).await.1, Err(NoMessage::Closed)),
                    "{fault:?}"
                );
            }
            assert_eq!(auth.checks(), 1, "only the last check was read completely");
            assert_eq!(with(Fault::Status(500)).await.1.unwrap().status, 500);
            let (mut link, response) = with(Fault::Close).await;
            assert_eq!(response.unwrap().status, 200);
            assert!(matches!(link.message().await, Err(NoMessage::Closed)));
            let (mut link, response) = with(Fault::Twice).await;
            assert_eq!(
                (
                    response.unwrap().status,
                    link.message().await.unwrap().status
                ),
                (200, 200)
            );
            assert!(
                matches!(with(Fault::Endless).await.1, Err(NoMessage::Malformed(_))),
                "a chunked body"
            );
            assert!(with(Fault::Late(Duration::from_millis(30))).await.1.is_ok());
            for fault in [Fault::Stall, Fault::HalfHead] {
                let response = tokio::time::timeout(Duration::from_millis(100), with(fault)).await;
                assert!(response.is_err(), "{fault:?}: a response was sent");
            }
            auth.fault(None);
            assert!(check(&auth, "a").await.1.is_ok());
        });
    }
}
