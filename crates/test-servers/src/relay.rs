//! A fake network for datagrams: each datagram to a gateway passes through a socket of the relay,
//! which can lose, duplicate, delay or block it. The conditions can change while the relay runs.

use crate::draw;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of delayed datagrams; further ones are dropped.
const MAX_DELAYED: usize = 8192;
/// Maximum number of bytes of a datagram that are forwarded.
const MAX_BYTES: usize = 2048;

/// How datagrams are treated.
#[derive(Clone, Debug, Default)]
pub struct NetworkConditions {
    /// Fraction of the datagrams that is lost.
    pub loss: f64,
    /// Fraction of the other datagrams that is delivered twice.
    pub duplicated: f64,
    /// Minimum and maximum delay of a datagram, in milliseconds.
    pub delay_ms: (f64, f64),
    /// Pairs of gateways (sender, receiver) between which every datagram is dropped. The sender is
    /// identified by its address.
    pub partitions: BTreeSet<(usize, usize)>,
}

/// Counters of a relay.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams that were forwarded, duplicates included.
    pub passed: AtomicU64,
    /// Datagrams that were dropped: lost, partitioned off, without a destination, or over the
    /// limit.
    pub lost: AtomicU64,
}

struct Delayed {
    due: Instant,
    order: u64,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for Delayed {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for Delayed {}

impl PartialOrd for Delayed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delayed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// A running relay with a socket for each gateway.
pub struct Relay {
    /// The relay's address for each gateway, to which its datagrams must be sent.
    pub addresses: Vec<SocketAddr>,
    /// The counters.
    pub counters: Arc<Counters>,
    gateways: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    conditions: Arc<Mutex<NetworkConditions>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Opens a socket for each of `gateways` gateways on loopback ports chosen by the system; all
    /// random draws depend on `seed`.
    ///
    /// # Errors
    /// The operating system's error if a socket can't be opened.
    pub fn new(gateways: usize, seed: u64) -> io::Result<Relay> {
        let mut relay = Relay {
            addresses: Vec::new(),
            counters: Arc::default(),
            gateways: Arc::new(Mutex::new(vec![None; gateways])),
            conditions: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
        };
        for gateway in 0..gateways {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(2)))?;
            relay.addresses.push(socket.local_addr()?);
            let (known, conditions) = (relay.gateways.clone(), relay.conditions.clone());
            let (counters, stop) = (relay.counters.clone(), relay.stop.clone());
            let seed = seed ^ (gateway as u64) << 32;
            let forward = move || {
                forward(
                    &socket,
                    gateway,
                    seed,
                    &known,
                    &conditions,
                    &counters,
                    &stop,
                )
            };
            relay.threads.push(std::thread::spawn(forward));
        }
        Ok(relay)
    }

    /// Sets the address that a gateway really listens at.
    pub fn set_destination(&self, gateway: usize, address: SocketAddr) {
        if let Some(slot) = lock(&self.gateways).get_mut(gateway) {
            *slot = Some(address);
        }
    }

    /// Sets how datagrams are treated from now on.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        *lock(&self.conditions) = conditions;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic of the thread was reported by the panic hook already.
            let _ = thread.join();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn forward(
    socket: &UdpSocket,
    gateway: usize,
    seed: u64,
    gateways: &Mutex<Vec<Option<SocketAddr>>>,
    conditions: &Mutex<NetworkConditions>,
    counters: &Counters,
    stop: &AtomicBool,
) {
    let mut delayed: BinaryHeap<Reverse<Delayed>> = BinaryHeap::new();
    let mut bytes = [0; MAX_BYTES];
    let mut order = 0;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        while delayed
            .peek()
            .is_some_and(|Reverse(first)| first.due <= now)
        {
            let Some(Reverse(first)) = delayed.pop() else {
                break;
            };
            // A send to a gateway that is down may fail; the datagram is then lost.
            let _ = socket.send_to(&first.bytes, first.to);
            counters.passed.fetch_add(1, Ordering::Relaxed);
        }
        let Ok((length, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let (to, sender) = {
            let gateways = lock(gateways);
            (
                gateways.get(gateway).copied().flatten(),
                gateways.iter().position(|known| *known == Some(from)),
            )
        };
        let conditions = lock(conditions).clone();
        order += 1;
        let partitioned =
            sender.is_some_and(|sender| conditions.partitions.contains(&(sender, gateway)));
        let lost = draw(seed, order, 0) < conditions.loss;
        let (Some(to), false, true) = (to, partitioned || lost, delayed.len() + 2 <= MAX_DELAYED)
        else {
            counters.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let deliveries = 1 + u64::from(draw(seed, order, 1) < conditions.duplicated);
        for delivery in 0..deliveries {
            let (min, max) = conditions.delay_ms;
            let delay = min + (max - min) * draw(seed, order, 2 + delivery);
            let due = now + Duration::from_secs_f64(delay.max(0.0) / 1000.0);
            delayed.push(Reverse(Delayed {
                due,
                order: 2 * order + delivery,
                to,
                bytes: bytes[..length].to_vec(),
            }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Lost or partitioned datagrams must not arrive, and all others must, twice where duplicated.
    #[test]
    fn datagrams_are_lost_duplicated_and_partitioned_as_configured() {
        let relay = Relay::new(2, 7).expect("a relay");
        let ends: Vec<UdpSocket> = (0..2)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
            .collect();
        for (gateway, end) in ends.iter().enumerate() {
            end.set_read_timeout(Some(Duration::from_millis(500)))
                .expect("a limit");
            relay.set_destination(gateway, end.local_addr().expect("an address"));
        }
        let count = |conditions: NetworkConditions| {
            relay.set_conditions(conditions);
            for byte in 0..100u8 {
                ends[0].send_to(&[byte], relay.addresses[1]).expect("sent");
            }
            let mut bytes = [0; 8];
            std::iter::from_fn(|| ends[1].recv_from(&mut bytes).ok()).count()
        };
        assert_eq!(count(NetworkConditions::default()), 100);
        assert_eq!(
            count(NetworkConditions {
                duplicated: 1.0,
                ..NetworkConditions::default()
            }),
            200
        );
        let some = count(NetworkConditions {
            loss: 0.3,
            delay_ms: (0.0, 20.0),
            ..NetworkConditions::default()
        });
        assert!((55..85).contains(&some), "{some}");
        assert_eq!(
            count(NetworkConditions {
                partitions: BTreeSet::from([(0, 1)]),
                ..NetworkConditions::default()
            }),
            0
        );
        assert_eq!(
            count(NetworkConditions {
                partitions: BTreeSet::from([(1, 0)]),
                ..NetworkConditions::default()
            }),
            100
        );
    }
}
