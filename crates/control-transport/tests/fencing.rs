//! Tests of fencing over a simulated network on which any message may arrive late. Seeds are
//! printed; the same seed gives the same run.

use maplefall_control_transport::fencing::{Admission, ConnectionFence};
use maplefall_control_transport::liveness::{Liveness, Received, Side};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

/// Step of the simulation, in milliseconds.
const STEP: f64 = 10.0;

/// The behaviour of the acceptor.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Correct,
    /// Faulty: a connection is admitted by its hello, in place of all earlier ones.
    AdmittedByHello,
    /// Faulty: tokens follow the order of verification, not of hellos.
    TokenByPong,
}

/// The order in which messages were sent: incarnation of the process, and number of the connection
/// in that incarnation.
type SendOrder = (u32, u32);

/// A connection of a proxy, with the messages in transit to the controller in the order of arrival.
struct Connection {
    send_order: SendOrder,
    liveness: Liveness,
    token: u64,
    /// The time of arrival of each message.
    in_transit: VecDeque<(f64, Received)>,
    /// Whether the process still reads the connection.
    is_read: bool,
    closed: bool,
}

impl Connection {
    /// Adds five other messages, which arrive 20 ms apart from `first` on.
    fn send_others(&mut self, first: f64) {
        self.in_transit
            .extend((0..5).map(|n| (first + f64::from(n) * 20.0, Received::Other)));
    }

    fn next_arrival(&mut self, now: f64) -> Option<Received> {
        let (at, message) = self.in_transit.front().copied()?;
        if at > now {
            return None;
        }
        self.in_transit.pop_front();
        Some(message)
    }
}

/// A controller's ping in transit to the proxy.
struct PingInTransit {
    arrives_at: f64,
    connection: usize,
    number: u64,
}

/// A proxy that opens one connection after another to a controller, in one incarnation after
/// another. Messages of an earlier incarnation, even its hello and pong, may arrive late, since the
/// operating system retransmits them.
struct Simulation {
    variant: Variant,
    rng: Pcg32,
    now: f64,
    fence: ConnectionFence<()>,
    connections: Vec<Connection>,
    next_connection_at: f64,
    pings: Vec<PingInTransit>,
    send_order: SendOrder,
    newest_delivered: SendOrder,
    /// Whether a message was delivered that is older than one delivered before.
    delivered_stale: bool,
}

impl Simulation {
    fn new(seed: u64, variant: Variant) -> Simulation {
        Simulation {
            variant,
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            fence: ConnectionFence::default(),
            connections: Vec::new(),
            next_connection_at: 0.0,
            pings: Vec::new(),
            send_order: (0, 0),
            newest_delivered: (0, 0),
            delivered_stale: false,
        }
    }

    fn draw(&mut self, max: f64) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 * max
    }

    fn run(mut self, until: f64) -> bool {
        while self.now < until {
            self.now += STEP;
            if self.now >= self.next_connection_at {
                self.open_connection();
            }
            self.deliver_pings();
            for index in 0..self.connections.len() {
                self.deliver_messages(index);
            }
        }
        self.delivered_stale
    }

    /// Opens a connection. The previous connection is closed; in 30% of the cases its process has
    /// ended.
    fn open_connection(&mut self) {
        for connection in &mut self.connections {
            connection.is_read = false;
        }
        self.send_order = if self.draw(1.0) < 0.3 {
            (self.send_order.0 + 1, 0)
        } else {
            (self.send_order.0, self.send_order.1 + 1)
        };
        let is_late = self.draw(1.0) < 0.4;
        let hello_at = self.now + self.draw(if is_late { 3000.0 } else { 5.0 });
        let mut connection = Connection {
            send_order: self.send_order,
            liveness: Liveness::new(Side::Acceptor, self.now),
            token: 0,
            in_transit: VecDeque::from([(hello_at, Received::Hello)]),
            is_read: true,
            closed: false,
        };
        if self.variant == Variant::AdmittedByHello {
            connection.send_others(hello_at);
        }
        self.connections.push(connection);
        self.next_connection_at = self.now + 100.0 + self.draw(2500.0);
    }

    /// Delivers the controller's pings to the process. If the process still reads the connection,
    /// it sends a pong and further messages.
    fn deliver_pings(&mut self) {
        let now = self.now;
        let (arrived, in_transit): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pings)
            .into_iter()
            .partition(|ping| ping.arrives_at <= now);
        self.pings = in_transit;
        for ping in arrived {
            let is_late = self.draw(1.0) < 0.3;
            if !self.connections[ping.connection].is_read {
                continue;
            }
            let delay = self.draw(if is_late { 3000.0 } else { 5.0 });
            let connection = &mut self.connections[ping.connection];
            let last_arrival = connection.in_transit.back().map_or(now, |(at, _)| *at);
            let pong_at = last_arrival.max(now) + delay;
            connection
                .in_transit
                .push_back((pong_at, Received::Pong(ping.number)));
            connection.send_others(pong_at);
        }
    }

    fn deliver_messages(&mut self, index: usize) {
        while let Some(message) = self.connections[index].next_arrival(self.now) {
            if self.connections[index].closed {
                continue;
            }
            let delivered = if self.variant == Variant::AdmittedByHello {
                self.receive_unverified(index, message)
            } else {
                self.receive(index, message)
            };
            let connection = &self.connections[index];
            let is_current = self.fence.is_current(&(), connection.token);
            if delivered && !connection.closed && is_current {
                self.delivered_stale |= connection.send_order < self.newest_delivered;
                self.newest_delivered = self.newest_delivered.max(connection.send_order);
            }
        }
    }

    /// Processes a message. Returns whether the message is to be delivered.
    fn receive_unverified(&mut self, index: usize, message: Received) -> bool {
        if message == Received::Hello {
            let token = self.fence.next_token();
            self.connections[index].token = token;
            self.fence.admit(&(), token);
        }
        message == Received::Other
    }

    /// Processes a message. Returns whether the message is to be delivered.
    fn receive(&mut self, index: usize, message: Received) -> bool {
        let connection = &mut self.connections[index];
        let Ok(actions) = connection.liveness.received(self.now, message) else {
            connection.closed = true;
            return false;
        };
        let by_pong = actions.established && self.variant == Variant::TokenByPong;
        if message == Received::Hello || by_pong {
            connection.token = self.fence.next_token();
        }
        if actions.established {
            connection.closed = self.fence.admit(&(), connection.token) == Admission::Stale;
        }
        if let Some(number) = actions.ping {
            let arrives_at = self.now + self.draw(5.0);
            self.pings.push(PingInTransit {
                arrives_at,
                connection: index,
                number,
            });
        }
        actions.deliver
    }
}

fn delivers_stale_messages(seed: u64, variant: Variant) -> bool {
    Simulation::new(seed, variant).run(20_000.0)
}

/// Guards against stale messages between processes: no message of an earlier incarnation or
/// connection is delivered once a later connection was admitted. In the same runs, the faulty
/// variants deliver such messages.
#[test]
fn no_message_of_an_earlier_connection_is_delivered_after_a_later_one() {
    println!("seeds 2000 to 2399");
    let stale_runs = (2000..2400)
        .filter(|seed| delivers_stale_messages(*seed, Variant::Correct))
        .count();
    assert_eq!(stale_runs, 0, "runs that delivered stale messages");
    for faulty_variant in [Variant::AdmittedByHello, Variant::TokenByPong] {
        let faulty_runs = (2000..2400)
            .filter(|seed| delivers_stale_messages(*seed, faulty_variant))
            .count();
        println!("stale messages delivered by faulty variant {faulty_variant:?}: in {faulty_runs} of 400");
        assert!(faulty_runs > 0, "{faulty_variant:?}");
    }
}
