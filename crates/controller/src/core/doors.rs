//! What doors are told: the configuration and their loans.

use super::*;

impl Core {
    /// A door has opened a connection, of this number.
    pub fn proxy_connected(
        &mut self,
        now: Millis,
        conn: u64,
        hello: &Hello,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Log(format!(
            "event=door_up node={} index={}",
            hello.node, hello.config_index
        )));
        let receive_from_proxy = Door {
            node: hello.node.clone(),
            life: hello.incarnation,
            index: hello.config_index,
            told_all: false,
            held_back: false,
            unanswered: None,
        };
        self.doors.insert(conn, receive_from_proxy);
        // Even where nothing has changed: the door learns which exchanges there are.
        self.plans(now, conn, true, out);
        self.tell_all(now, conn, out);
    }

    /// A door's connection has ended.
    pub fn proxy_disconnected(&mut self, conn: u64, out: &mut Vec<Output>) {
        if let Some(door) = self.doors.remove(&conn) {
            out.push(Output::Log(format!("event=door_down node={}", door.node)));
        }
    }

    /// A door says something.
    pub fn door(&mut self, now: Millis, conn: u64, frame: Frame, out: &mut Vec<Output>) {
        let Frame::LeaseRequest(report) = frame else {
            return;
        };
        let Some(door) = self.doors.get(&conn) else {
            return;
        };
        if !self.lent_to.contains(&door.node) && !report.release {
            if self.lent_to.len() >= MOST_NAMED {
                return;
            }
            // Before it is lent anything, its name is on disk: a later life asks it first.
            let name = door.node.clone();
            self.lent_to.insert(name.clone());
            self.naming.insert(name.clone());
            let stored = StoreRecord {
                leased_to: vec![name.clone()],
                ..StoreRecord::default()
            };
            self.write(stored, Wrote::Name(name, conn, report), out);
            return;
        }
        if self.naming.contains(&door.node) {
            // Its name is still on the way there: what it says next waits for the same write.
            self.writing.push_back((
                self.last_write,
                Wrote::Name(door.node.clone(), conn, report),
            ));
            return;
        }
        self.reported(now, conn, &report, out);
    }

    /// A door's name is on disk.
    pub(super) fn named(
        &mut self,
        now: Millis,
        name: &str,
        conn: u64,
        report: &LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        self.naming.remove(name);
        self.reported(now, conn, report, out);
    }

    /// Whether doors may be answered: this exchange is known to be a member that had applied all that was agreed a short while ago.
    fn leased(&self, now: Millis) -> bool {
        self.tandem.is_voter() && membership_lease_valid(now, self.tandem.last_quorum_contact(now))
    }

    pub(super) fn reported(
        &mut self,
        now: Millis,
        conn: u64,
        report: &LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        let leased = self.leased(now);
        let Some(door) = self.doors.get_mut(&conn) else {
            return;
        };
        // A door that stops gives back: that is heard at any time.
        if !leased && !report.release {
            door.unanswered = Some((now, report.clone()));
            return;
        }
        door.unanswered = None;
        let mine = door.node.clone();
        let tenants = self
            .board
            .active(maplefall_gateway_config::ItemKind::Tenant)
            .map(|item| item.name.as_str());
        let caller = ClientId {
            name: &door.node,
            incarnation: door.life,
            connection: conn,
        };
        let answers = self.lender.handle_request(now, caller, report, tenants);
        for (node, lent) in answers {
            let conn = if node == mine {
                Some(conn)
            } else {
                self.conn_of(&node)
            };
            if let Some(conn) = conn {
                self.say(conn, encode_frame(Frame::LeaseGrant(lent)), out);
            }
        }
    }

    /// The latest connection of a door.
    pub(super) fn conn_of(&self, node: &str) -> Option<u64> {
        self.doors
            .iter()
            .rev()
            .find(|(_, door)| door.node == node)
            .map(|(conn, _)| *conn)
    }

    pub(super) fn spread_plans(&mut self, now: Millis, out: &mut Vec<Output>) {
        for conn in self.doors.keys().copied().collect::<Vec<_>>() {
            self.plans(now, conn, false, out);
        }
    }

    /// Tells a door what it lacks of the configuration. One that has none gets it only from an exchange in touch with a majority: it
    /// would serve by what may be long out of date. One that has some may stay with it, and news is news: its index only rises.
    pub(super) fn plans(&mut self, now: Millis, conn: u64, always: bool, out: &mut Vec<Output>) {
        let in_touch = self.in_touch(now);
        let Some(door) = self.doors.get_mut(&conn) else {
            return;
        };
        let held_back = self.index > 0 && door.index == 0 && !in_touch;
        let news = self.index > door.index && !held_back;
        if held_back && !std::mem::replace(&mut door.held_back, true) {
            out.push(Output::Log(format!(
                "event=held_back node={} why=out_of_touch",
                door.node
            )));
        }
        if !news && !always {
            return;
        }
        let exchanges = self.tandem.voters().iter().cloned().collect();
        let mut plans = ConfigUpdate {
            after: door.index,
            index: door.index,
            controllers: exchanges,
            ..ConfigUpdate::default()
        };
        if news {
            let after = door.index;
            (plans.index, door.index) = (self.index, self.index);
            if after > 0 && after >= self.ring_after {
                plans.changes = self
                    .ring
                    .iter()
                    .filter(|one| one.index > after)
                    .cloned()
                    .collect();
            } else {
                plans.after = 0;
                plans.items = self.board.items().cloned().collect();
            }
        }
        self.say(conn, encode_frame(Frame::ConfigUpdate(plans)), out);
    }

    pub(super) fn say(&mut self, conn: u64, bytes: Bytes, out: &mut Vec<Output>) {
        if self.doors.contains_key(&conn) {
            out.push(Output::SendToProxy(conn, bytes));
        }
    }

    /// Says what has become of this exchange's slots, and lends by them from now on.
    pub(super) fn slots_turned(&mut self, turns: Vec<SlotEvent>, out: &mut Vec<Output>) {
        if turns.is_empty() {
            return;
        }
        for turn in turns {
            let line = match turn {
                SlotEvent::Owned(since) => format!("event=slot_owned since={since}"),
                SlotEvent::Waiting(since, ms) => {
                    format!("event=slot_waits since={since} ms={ms:.0}")
                }
                SlotEvent::Lost(since) => format!("event=slot_lost since={since}"),
                SlotEvent::WaitOver(since) => {
                    // A later life with this disk need not wait again.
                    let stored = StoreRecord {
                        waited_slots: vec![since],
                        ..StoreRecord::default()
                    };
                    self.write(stored, Wrote::Note, out);
                    format!("event=slot_owned since={since} waited=true")
                }
            };
            out.push(Output::Log(line));
        }
        // What shrinks is said at once; whatever is answered from here on says it too.
        for (node, lent) in self.lender.set_limit(self.shares.limit()) {
            if let Some(conn) = self.conn_of(&node) {
                self.say(conn, encode_frame(Frame::LeaseGrant(lent)), out);
            }
        }
    }

    /// Time passes for what is lent.
    pub(super) fn keep_lending(&mut self, now: Millis, out: &mut Vec<Output>) {
        let turns = self.shares.tick(now);
        self.slots_turned(turns, out);
        if !self.lent_known && now - self.born >= LEASE_DURATION + CLOCK_SKEW {
            // What lives with an earlier disk have lent has run out.
            self.lent_known = true;
            self.write(
                StoreRecord {
                    leased_to_complete: true,
                    ..StoreRecord::default()
                },
                Wrote::Note,
                out,
            );
        }
        if self.lent_known && now - self.struck >= STRIKE {
            self.struck = now;
            let (lender, naming) = (&self.lender, &self.naming);
            let over =
                |name: &&String| !lender.may_hold_lease(now, name) && !naming.contains(*name);
            let forgotten: Vec<String> = self.lent_to.iter().filter(over).cloned().collect();
            if !forgotten.is_empty() {
                // A door that comes again is written down again, after this.
                forgotten.iter().for_each(|name| {
                    self.lent_to.remove(name);
                });
                self.write(
                    StoreRecord {
                        released: forgotten,
                        ..StoreRecord::default()
                    },
                    Wrote::Note,
                    out,
                );
            }
        }
        let leased = self.leased(now);
        if std::mem::replace(&mut self.was_leased, leased) != leased {
            // Who asked just before need not ask again.
            let asked = |door: &mut Door| {
                door.unanswered
                    .take()
                    .filter(|(at, _)| now - at < 2.0 * TELL)
            };
            let due: Vec<(u64, LeaseRequest)> = self
                .doors
                .iter_mut()
                .filter_map(|(conn, door)| Some((*conn, asked(door)?.1)))
                .collect();
            for (conn, report) in due {
                self.door(now, conn, Frame::LeaseRequest(report), out);
            }
            let contact = now - self.tandem.last_quorum_contact(now);
            out.push(Output::Log(if leased {
                format!("event=lease limit={}", self.lender.limit())
            } else {
                format!("event=lease_over contact_ms={contact:.0}")
            }));
        }
    }
}
