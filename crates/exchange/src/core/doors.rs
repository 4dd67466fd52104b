//! What doors are told: the configuration and their loans.

use super::*;

impl Core {
    /// A door has opened a connection, of this number.
    pub fn door_up(&mut self, now: Millis, conn: u64, hello: &Hello, out: &mut Vec<Output>) {
        out.push(Output::Log(format!("event=door_up node={} index={}", hello.node, hello.index)));
        let door = Door {
            node: hello.node.clone(),
            life: hello.life,
            index: hello.index,
            told_all: false,
            held_back: false,
        };
        self.doors.insert(conn, door);
        // Even where nothing has changed: the door learns which exchanges there are.
        self.plans(now, conn, true, out);
        self.tell_all(now, conn, out);
    }

    /// A door's connection has ended.
    pub fn door_down(&mut self, conn: u64, out: &mut Vec<Output>) {
        if let Some(door) = self.doors.remove(&conn) {
            out.push(Output::Log(format!("event=door_down node={}", door.node)));
        }
    }

    /// A door says something.
    pub fn door(&mut self, now: Millis, conn: u64, frame: Frame, out: &mut Vec<Output>) {
        let Frame::Report(report) = frame else { return };
        let Some(door) = self.doors.get(&conn) else { return };
        if !self.lent_to.contains(&door.node) && !report.last {
            // Before it is lent anything, its name is on disk: a later life asks it first.
            self.lent_to.insert(door.node.clone());
            let stored = Stored { lent_to: vec![door.node.clone()], ..Stored::default() };
            self.write(stored, Wrote::Name(conn, report), out);
            return;
        }
        self.reported(now, conn, &report, out);
    }

    pub(super) fn reported(&mut self, now: Millis, conn: u64, report: &Report, out: &mut Vec<Output>) {
        let (Some(door), Some(lender)) = (self.doors.get(&conn), &mut self.lender) else { return };
        let mine = door.node.clone();
        let tenants = self.board.standing(maplefall_numbering::Kind::Tenant).map(|item| item.name.as_str());
        let answers = lender.report(now, &door.node, door.life, report, tenants);
        for (node, lent) in answers {
            let conn = if node == mine { Some(conn) } else { self.conn_of(&node) };
            if let Some(conn) = conn {
                self.say(conn, write(Frame::Lent(lent)), out);
            }
        }
    }

    /// The latest connection of a door.
    pub(super) fn conn_of(&self, node: &str) -> Option<u64> {
        self.doors.iter().rev().find(|(_, door)| door.node == node).map(|(conn, _)| *conn)
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
        let Some(door) = self.doors.get_mut(&conn) else { return };
        let held_back = self.index > 0 && door.index == 0 && !in_touch;
        let news = self.index > door.index && !held_back;
        if held_back && !std::mem::replace(&mut door.held_back, true) {
            out.push(Output::Log(format!("event=held_back node={} why=out_of_touch", door.node)));
        }
        if !news && !always {
            return;
        }
        let exchanges = self.tandem.voters().iter().cloned().collect();
        let mut plans = Plans { after: door.index, index: door.index, exchanges, ..Plans::default() };
        if news {
            let after = door.index;
            (plans.index, door.index) = (self.index, self.index);
            if after > 0 && after >= self.ring_after {
                plans.changes = self.ring.iter().filter(|one| one.index > after).cloned().collect();
            } else {
                plans.after = 0;
                plans.items = self.board.items().cloned().collect();
            }
        }
        self.say(conn, write(Frame::Plans(plans)), out);
    }

    pub(super) fn say(&mut self, conn: u64, bytes: Bytes, out: &mut Vec<Output>) {
        if self.doors.contains_key(&conn) {
            out.push(Output::Door(conn, bytes));
        }
    }

    /// Begins to lend, or goes by another number of lenders.
    pub(super) fn lend(&mut self, now: Millis) {
        let voters = self.tandem.voters();
        if !voters.contains(&self.me) || !self.tandem.trusted() {
            return;
        }
        match &mut self.lender {
            Some(lender) => lender.set_lenders(voters.len()),
            None => {
                let known = self.lent_known.then(|| self.lent_to.clone());
                self.lender = Some(Lender::new(now, voters.len(), known));
            }
        }
    }
}
