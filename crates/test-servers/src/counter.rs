//! A fake of the shared counter service (protocol page, "The counter"): a call adds an amount to a
//! named count and receives the total.

use crate::wire::Link;
use maplefall_event_trace::Millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Maximum number of names; calls with further names are rejected.
const MAX_NAMES: usize = 100_000;
/// Maximum time to live of a name.
const MAX_TTL_MS: Millis = 60_000.0;
/// Maximum absolute amount of a call.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 64;

/// Maximum number of open connections; further ones are reset.
const MAX_CONNECTIONS: usize = 32;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A fake counter service.
pub struct Counter {
    names: RefCell<HashMap<String, (f64, Instant)>>,
    open: Cell<usize>,
    /// Processing time of a call.
    delay: Duration,
}

impl Counter {
    /// Creates an empty counter whose calls take `delay` each.
    pub fn new(delay: Duration) -> Rc<Counter> {
        Rc::new(Counter {
            names: RefCell::default(),
            open: Cell::new(0),
            delay,
        })
    }

    /// Deletes all names, as if a new instance had replaced the service.
    pub fn replace(&self) {
        self.names.borrow_mut().clear();
    }

    /// Handles a call; returns the status and the body of the response.
    pub fn call(&self, now: Instant, target: &str) -> (u16, String) {
        let Some(call) = Call::read(target) else {
            return (400, String::new());
        };
        let mut names = self.names.borrow_mut();
        if names.len() >= MAX_NAMES {
            names.retain(|_, (_, end)| *end > now);
            if names.len() >= MAX_NAMES && !names.contains_key(call.name) {
                return (503, String::new());
            }
        }
        let ttl = Duration::try_from_secs_f64(call.ttl / 1000.0).unwrap_or_default();
        let entry = names
            .entry(call.name.to_owned())
            .or_insert((0.0, now + ttl));
        if entry.1 <= now {
            *entry = (0.0, now + ttl);
        }
        entry.0 += call.add;
        (200, format!("{}", entry.0))
    }

    /// Serves connections of `listener` for as long as the runtime runs.
    pub async fn serve(self: Rc<Self>, listener: StdListener) {
        let Ok(listener) = TcpListener::from_std(listener) else {
            return;
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            let (counter, mut link) = (self.clone(), Link::over(stream));
            if counter.open.get() >= MAX_CONNECTIONS {
                link.reset();
                continue;
            }
            counter.open.set(counter.open.get() + 1);
            tokio::task::spawn_local(async move {
                counter.talk(&mut link).await;
                counter.open.set(counter.open.get() - 1);
            });
        }
    }

    async fn talk(&self, link: &mut Link) {
        while let Ok(Ok(message)) = tokio::time::timeout(IDLE_TIMEOUT, link.message()).await {
            if !self.delay.is_zero() {
                tokio::time::sleep(self.delay).await;
            }
            let (status, body) = match message.method.as_str() {
                "POST" => self.call(Instant::now(), &message.target),
                _ => (404, String::new()),
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if link.write(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// A parsed call.
struct Call<'a> {
    name: &'a str,
    add: f64,
    ttl: Millis,
}

impl Call<'_> {
    fn read(target: &str) -> Option<Call<'_>> {
        let (name, query) = target.strip_prefix("/v1/count/")?.split_once('?')?;
        let field = |wanted: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(known, _)| *known == wanted)?
                .1
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite())
        };
        let (add, ttl) = (field("add")?, field("ttl_ms")?);
        let valid = (1..=MAX_NAME).contains(&name.len()) && add.abs() <= MAX_AMOUNT && ttl >= 1.0;
        valid.then_some(Call {
            name,
            add,
            ttl: ttl.min(MAX_TTL_MS),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_count_adds_up_and_expires() {
        let (counter, now) = (Counter::new(Duration::ZERO), Instant::now());
        let call = |at: u64, target: &str| counter.call(now + Duration::from_millis(at), target);
        assert_eq!(
            call(0, "/v1/count/a?add=2.5&ttl_ms=100"),
            (200, "2.5".into())
        );
        // The time to live of a later call does not extend the first one.
        assert_eq!(
            call(90, "/v1/count/a?add=-1&ttl_ms=4000"),
            (200, "1.5".into())
        );
        assert_eq!(call(100, "/v1/count/a?add=0&ttl_ms=10"), (200, "0".into()));
        counter.replace();
        assert_eq!(call(101, "/v1/count/a?add=7&ttl_ms=10"), (200, "7".into()));
        for malformed in [
            "/v1/count/?add=1&ttl_ms=1",
            "/v1/count/a?add=1",
            "/v1/count/a?add=NaN&ttl_ms=5",
            "/x",
        ] {
            assert_eq!(call(0, malformed).0, 400, "{malformed}");
        }
    }
}
