//! A played network for datagrams: everything that goes to a door goes through a socket of the relay's, and is lost, doubled,
//! held back or cut off by a script that can change while it runs.

use crate::draw;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Datagrams that are held back at most; more are lost.
const MOST_HELD: usize = 8192;
/// Bytes of a datagram that are passed on at most.
const MOST_BYTES: usize = 2048;

/// What happens to datagrams.
#[derive(Clone, Debug, Default)]
pub struct NetworkConditions {
    /// Part of them that is lost.
    pub loss: f64,
    /// Part of the others that comes twice.
    pub duplicated: f64,
    /// Least and most time that each is held back, in milliseconds.
    pub delay_ms: (f64, f64),
    /// Pairs of doors, from and to, between which nothing passes. Who sends is known by its address.
    pub partitions: BTreeSet<(usize, usize)>,
}

/// What the relay has done.
#[derive(Debug, Default)]
pub struct Carried {
    /// Datagrams that were passed on.
    pub passed: AtomicU64,
    /// Datagrams that were lost, cut off or too many.
    pub lost: AtomicU64,
}

struct Held {
    due: Instant,
    order: u64,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for Held {}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Held {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// A running relay with a socket for each door.
pub struct Relay {
    /// Where to send what is meant for a door.
    pub addresses: Vec<SocketAddr>,
    /// What it has done.
    pub carried: Arc<Carried>,
    doors: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    weather: Arc<Mutex<NetworkConditions>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Opens a socket for each of so many doors on loopback ports of the system's choice; `seed` is its only chance.
    ///
    /// # Errors
    /// What the system says.
    pub fn new(doors: usize, seed: u64) -> io::Result<Relay> {
        let mut relay = Relay {
            addresses: Vec::new(),
            carried: Arc::default(),
            doors: Arc::new(Mutex::new(vec![None; doors])),
            weather: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
        };
        for door in 0..doors {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(2)))?;
            relay.addresses.push(socket.local_addr()?);
            let (known, weather) = (relay.doors.clone(), relay.weather.clone());
            let (carried, stop) = (relay.carried.clone(), relay.stop.clone());
            let seed = seed ^ (door as u64) << 32;
            let carry = move || carry(&socket, door, seed, &known, &weather, &carried, &stop);
            relay.threads.push(std::thread::spawn(carry));
        }
        Ok(relay)
    }

    /// Where a door really listens.
    pub fn set_destination(&self, door: usize, address: SocketAddr) {
        if let Some(slot) = lock(&self.doors).get_mut(door) {
            *slot = Some(address);
        }
    }

    /// From now on this happens to datagrams.
    pub fn set_conditions(&self, weather: NetworkConditions) {
        *lock(&self.weather) = weather;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that has panicked has said so already.
            let _ = thread.join();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn carry(
    socket: &UdpSocket,
    door: usize,
    seed: u64,
    doors: &Mutex<Vec<Option<SocketAddr>>>,
    weather: &Mutex<NetworkConditions>,
    carried: &Carried,
    stop: &AtomicBool,
) {
    let mut held: BinaryHeap<Reverse<Held>> = BinaryHeap::new();
    let mut bytes = [0; MOST_BYTES];
    let mut order = 0;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        while held.peek().is_some_and(|Reverse(first)| first.due <= now) {
            let Some(Reverse(first)) = held.pop() else {
                break;
            };
            // A door that is not there refuses: that is a loss like any other.
            let _ = socket.send_to(&first.bytes, first.to);
            carried.passed.fetch_add(1, Ordering::Relaxed);
        }
        let Ok((length, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let (to, sender) = {
            let doors = lock(doors);
            (
                doors.get(door).copied().flatten(),
                doors.iter().position(|known| *known == Some(from)),
            )
        };
        let weather = lock(weather).clone();
        order += 1;
        let cut = sender.is_some_and(|sender| weather.partitions.contains(&(sender, door)));
        let lost = draw(seed, order, 0) < weather.loss;
        let (Some(to), false, true) = (to, cut || lost, held.len() + 2 <= MOST_HELD) else {
            carried.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let copies = 1 + u64::from(draw(seed, order, 1) < weather.duplicated);
        for copy in 0..copies {
            let (least, most) = weather.delay_ms;
            let late = least + (most - least) * draw(seed, order, 2 + copy);
            let due = now + Duration::from_secs_f64(late.max(0.0) / 1000.0);
            held.push(Reverse(Held {
                due,
                order: 2 * order + copy,
                to,
                bytes: bytes[..length].to_vec(),
            }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the relay itself: what it is told to lose or to cut does not come, the rest does, doubled where told.
    #[test]
    fn it_loses_doubles_and_cuts_what_it_is_told() {
        let relay = Relay::new(2, 7).expect("a relay");
        let ends: Vec<UdpSocket> = (0..2)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
            .collect();
        for (door, end) in ends.iter().enumerate() {
            end.set_read_timeout(Some(Duration::from_millis(500)))
                .expect("a limit");
            relay.set_destination(door, end.local_addr().expect("an address"));
        }
        let count = |weather: NetworkConditions| {
            relay.set_conditions(weather);
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
