//! Behaviour of the simulated processes, disks and connections.

use super::{Event, Millis, Occurrence, Simulation, TICK};
use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, ConfigUpdate, Frame, Hello};
use maplefall_controller::core::{Core, Output};
use maplefall_controller::store::StoreRecord;
use maplefall_gateway_config::ItemSet;
use maplefall_node_settings::Settings;
use rand_core::RngCore;
use std::path::Path;

fn settings(names: &[String], ip: &str, bootstrap: bool) -> Settings {
    let seeds: Vec<String> = names
        .iter()
        .map(|name| format!("\"{name}:8381\""))
        .collect();
    let text = format!(
        "Node = \"core-{ip}\"\nServes = [\"controller\"]\nIp = \"{ip}\"\nInternalPorts = [7560,7575]\nSeedAddrs = [{}]\n\
         Bootstrap = {bootstrap}\nQuorumMember = true\nHeartbeatS = 1.5\n",
        seeds.join(",")
    );
    Settings::parse(&text, Path::new("test")).expect("settings")
}

impl Simulation {
    pub(super) fn schedule(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        let micros = ((self.now + delay) * 1000.0).ceil() as u64;
        self.events.insert((micros, self.sequence), event);
    }

    pub(super) fn handle(&mut self, event: Event) {
        let Some(event) = self.defer_if_paused(event) else {
            return;
        };
        match event {
            Event::Timer(id) => self.occurrences.push(Occurrence::Timer(id)),
            Event::Start { at, incarnation } => self.start(&at, incarnation),
            Event::Tick { at, incarnation } => {
                if self
                    .nodes
                    .get(&at)
                    .is_some_and(|node| node.incarnation == incarnation)
                {
                    self.drive(&at, |core, now, out| core.tick(now, out));
                    self.schedule(TICK, Event::Tick { at, incarnation });
                }
            }
            Event::Persisted {
                at,
                incarnation,
                record,
            } => {
                let number = record.number;
                let Some(node) = self
                    .nodes
                    .get_mut(&at)
                    .filter(|node| node.incarnation == incarnation)
                else {
                    return;
                };
                node.pending_writes
                    .retain(|waiting| waiting.number != number);
                node.disk.apply(record);
                self.drive(&at, |core, now, out| core.persisted(now, number, out));
            }
            Event::Frame {
                to,
                incarnation,
                from,
                frame,
            } => {
                let is_blocked = self.blocked_links.contains(&(from.clone(), to.clone()));
                if !is_blocked
                    && self
                        .nodes
                        .get(&to)
                        .is_some_and(|node| node.incarnation == incarnation)
                {
                    self.drive(&to, |core, now, out| {
                        core.receive_from_peer(now, &from, frame, out)
                    });
                }
            }
            Event::Call { at, number, call } => {
                if self.pending_calls.contains_key(&number) {
                    self.drive(&at, |core, now, out| core.call(now, number, call, out));
                }
            }
            Event::Response { number, response } => {
                if self.pending_calls.remove(&number).is_some() {
                    self.occurrences
                        .push(Occurrence::Received(number, response));
                }
            }
        }
    }

    /// Defers events of a paused process until it resumes.
    fn defer_if_paused(&mut self, event: Event) -> Option<Event> {
        let node_name = match &event {
            Event::Frame { to: at, .. }
            | Event::Persisted { at, .. }
            | Event::Tick { at, .. }
            | Event::Call { at, .. } => Some(at.clone()),
            _ => None,
        };
        let paused_until = node_name
            .and_then(|at| self.nodes.get(&at))
            .map_or(0.0, |node| node.paused_until);
        if paused_until > self.now {
            // Whether a resuming process ticks first or reads its frames first is random.
            let is_tick = matches!(event, Event::Tick { .. });
            let is_after_frames = is_tick && (self.frames_first || self.draw_bool(0.5));
            let delay = paused_until - self.now + if is_after_frames { 1.0 } else { 0.0 };
            self.schedule(delay, event);
            return None;
        }
        Some(event)
    }

    fn start(&mut self, name: &str, incarnation: u64) {
        let (now, names) = (self.now, self.names.clone());
        let seed = u64::from(self.rng.next_u32()) << 8 | 1;
        let Some(node) = self
            .nodes
            .get_mut(name)
            .filter(|node| node.incarnation == incarnation)
        else {
            return;
        };
        let mut out = Vec::new();
        let settings = settings(&names, name, node.bootstrap);
        let mut core = Core::new(&settings, now, seed, node.disk.clone(), &mut out);
        if let Some(entries) = self.compact_after {
            core.set_compaction_threshold(entries);
        }
        node.bootstrap = false;
        node.core = Some(core);
        let index = node.proxy.index;
        self.handle_outputs(name, out);
        let hello = Hello {
            node: format!("proxy-{name}"),
            incarnation: 1 + incarnation,
            config_index: index,
            ..Hello::default()
        };
        self.drive(name, |core, now, out| {
            core.proxy_connected(now, 1, &hello, out)
        });
        for peer in names.iter().filter(|peer| *peer != name) {
            self.drive(name, |core, now, out| core.peer_connected(now, peer, out));
            self.drive(peer, |core, now, out| core.peer_connected(now, name, out));
        }
        let delay = f64::from(self.draw(100));
        self.schedule(
            delay,
            Event::Tick {
                at: name.to_owned(),
                incarnation,
            },
        );
    }

    pub(super) fn drive(
        &mut self,
        name: &str,
        step: impl FnOnce(&mut Core, Millis, &mut Vec<Output>),
    ) {
        let (now, mut out) = (self.now, Vec::new());
        let Some(core) = self.nodes.get_mut(name).and_then(|node| node.core.as_mut()) else {
            return;
        };
        step(core, now, &mut out);
        self.handle_outputs(name, out);
    }

    fn handle_outputs(&mut self, name: &str, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, record) => {
                    let delay = 0.5 + f64::from(self.draw(25)) / 10.0;
                    let now = self.now;
                    let Some(node) = self.nodes.get_mut(name) else {
                        return;
                    };
                    let record = StoreRecord { number, ..*record };
                    node.pending_writes.push(record.clone());
                    node.disk_free_at = node.disk_free_at.max(now) + delay;
                    let (delay, incarnation) = (node.disk_free_at - now, node.incarnation);
                    self.schedule(
                        delay,
                        Event::Persisted {
                            at: name.to_owned(),
                            incarnation,
                            record,
                        },
                    );
                }
                Output::SendToPeer(to, bytes) => self.send(name, &to, bytes),
                Output::SendToAllPeers(bytes) => {
                    for to in self.names.clone().iter().filter(|to| *to != name) {
                        self.send(name, to, bytes.clone());
                    }
                }
                Output::SendToProxy(_, bytes) => {
                    if let Ok(Some(Frame::ConfigUpdate(update))) =
                        decode_frame(&mut BytesMut::from(&bytes[..]))
                    {
                        self.receive_config(name, update);
                    }
                }
                Output::Respond(number, response) => {
                    self.occurrences
                        .push(Occurrence::Responded(number, response.clone()));
                    if !self.unreachable.contains(name) && !self.draw_bool(self.response_loss) {
                        let delay = 0.2 + f64::from(self.draw(20)) / 10.0;
                        self.schedule(delay, Event::Response { number, response });
                    }
                }
                Output::Log(line) => self.log_lines.push((name.to_owned(), line)),
                Output::Debug(_) => {}
                // No proxy requests leases in this simulation.
                Output::LeaseRequestsQueued => {}
            }
        }
    }

    fn send(&mut self, from: &str, to: &str, bytes: Bytes) {
        if self
            .blocked_links
            .contains(&(from.to_owned(), to.to_owned()))
            || self.draw_bool(self.frame_loss)
        {
            return;
        }
        let Ok(Some(frame)) = decode_frame(&mut BytesMut::from(&bytes[..])) else {
            panic!("malformed frame")
        };
        let delay = 0.3 + f64::from(self.draw(20)) / 10.0;
        let now = self.now;
        let last = self
            .last_arrivals
            .entry((from.to_owned(), to.to_owned()))
            .or_default();
        *last = last.max(now + delay);
        let delay = *last - now;
        let incarnation = self.nodes.get(to).map_or(0, |node| node.incarnation);
        self.schedule(
            delay,
            Event::Frame {
                to: to.to_owned(),
                incarnation,
                from: from.to_owned(),
                frame,
            },
        );
    }

    /// Applies a configuration update as a proxy does.
    fn receive_config(&mut self, name: &str, update: ConfigUpdate) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let proxy = &mut node.proxy;
        if update.index <= proxy.index || update.after > proxy.index {
            return;
        }
        if update.after == 0 {
            proxy.items = ItemSet::from_items(update.items);
            self.complete_configs
                .push((update.index, proxy.items.clone()));
        }
        for indexed in update.changes {
            let Some(change) = indexed.change.filter(|_| indexed.index > proxy.index) else {
                continue;
            };
            proxy.items.apply(&change);
            let committed_change = self
                .committed
                .entry(indexed.index)
                .or_insert_with(|| change.clone());
            assert_eq!(
                *committed_change, change,
                "{name} committed a different change at {}",
                indexed.index
            );
        }
        proxy.index = update.index;
    }
}
