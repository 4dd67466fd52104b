//! The shared counter (protocol page, "The counter"): adds an amount to a named number and answers with the total.

use crate::wire::Link;
use maplefall_event_trace::Millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Names that are kept at most; a further one is turned away.
const MOST_NAMES: usize = 100_000;
/// Longest life of a name.
const LONGEST_LIFE: Millis = 60_000.0;
/// Greatest amount of a call.
const MOST_ADDED: f64 = 1e9;
/// Longest name.
const LONGEST_NAME: usize = 64;

/// Connections that it holds; it resets further ones.
const MOST_CONNECTIONS: usize = 32;
/// After how long it closes one that has stood idle.
const IDLE: Duration = Duration::from_secs(10);

/// A counter and what is done to it.
pub struct Counter {
    names: RefCell<HashMap<String, (f64, Instant)>>,
    open: Cell<usize>,
    /// Time that a call takes.
    delay: Duration,
}

impl Counter {
    /// An empty counter whose calls take so long.
    pub fn new(delay: Duration) -> Rc<Counter> {
        Rc::new(Counter {
            names: RefCell::default(),
            open: Cell::new(0),
            delay,
        })
    }

    /// Forgets everything, as a fresh one in its place would.
    pub fn replace(&self) {
        self.names.borrow_mut().clear();
    }

    /// Adds to a name; the status and the body of the answer.
    pub fn call(&self, now: Instant, target: &str) -> (u16, String) {
        let Some(call) = Call::read(target) else {
            return (400, String::new());
        };
        let mut names = self.names.borrow_mut();
        if names.len() >= MOST_NAMES {
            names.retain(|_, (_, end)| *end > now);
            if names.len() >= MOST_NAMES && !names.contains_key(call.name) {
                return (503, String::new());
            }
        }
        let life = Duration::try_from_secs_f64(call.life / 1000.0).unwrap_or_default();
        let entry = names
            .entry(call.name.to_owned())
            .or_insert((0.0, now + life));
        if entry.1 <= now {
            *entry = (0.0, now + life);
        }
        entry.0 += call.add;
        (200, format!("{}", entry.0))
    }

    /// Answers here for as long as the runtime runs.
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
            if counter.open.get() >= MOST_CONNECTIONS {
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
        while let Ok(Ok(message)) = tokio::time::timeout(IDLE, link.message()).await {
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

/// A call that can be read.
struct Call<'a> {
    name: &'a str,
    add: f64,
    life: Millis,
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
        let (add, life) = (field("add")?, field("ttl_ms")?);
        let good =
            (1..=LONGEST_NAME).contains(&name.len()) && add.abs() <= MOST_ADDED && life >= 1.0;
        good.then_some(Call {
            name,
            add,
            life: life.min(LONGEST_LIFE),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_count_adds_up_and_dies_with_its_life() {
        let (counter, now) = (Counter::new(Duration::ZERO), Instant::now());
        let call = |at: u64, target: &str| counter.call(now + Duration::from_millis(at), target);
        assert_eq!(
            call(0, "/v1/count/a?add=2.5&ttl_ms=100"),
            (200, "2.5".into())
        );
        // A later life does not extend it.
        assert_eq!(
            call(90, "/v1/count/a?add=-1&ttl_ms=4000"),
            (200, "1.5".into())
        );
        assert_eq!(call(100, "/v1/count/a?add=0&ttl_ms=10"), (200, "0".into()));
        counter.replace();
        assert_eq!(call(101, "/v1/count/a?add=7&ttl_ms=10"), (200, "7".into()));
        for bad in [
            "/v1/count/?add=1&ttl_ms=1",
            "/v1/count/a?add=1",
            "/v1/count/a?add=NaN&ttl_ms=5",
            "/x",
        ] {
            assert_eq!(call(0, bad).0, 400, "{bad}");
        }
    }
}
