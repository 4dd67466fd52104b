//! Who the backends are: hands what each source learns to the roster, and what comes out of it to the driver.
//!
//! What is true where sources disagree, `maplefall-roster` decides; this file only carries.

use super::door::Door;
use maplefall_protocol::Members;
use maplefall_roster::{Event, Roster, SourceSettings, Update};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The platform's agent among the sources.
const AGENT: usize = 0;

/// The sources of one front door.
pub struct Membership {
    door: Rc<Door>,
    roster: RefCell<Roster>,
    /// The agent's last version.
    agent_version: Cell<u64>,
}

impl Membership {
    /// With the platform's agent as the only source, believed in everything.
    pub fn new(door: Rc<Door>) -> Rc<Membership> {
        let roster = RefCell::new(Roster::new(vec![SourceSettings::trusted("agent")]));
        Rc::new(Membership { door, roster, agent_version: Cell::new(0) })
    }

    /// Begins with the list that the front door was started with.
    pub fn recall(&self, known: &Members) {
        let update = self.roster.borrow_mut().recall(self.door.clock.now(), AGENT, known);
        self.hand_on(update, true);
    }

    /// Takes in a line of the agent's watch.
    pub fn agent_told(&self, members: &Members) {
        // An agent's stream is read in order, and one that counts anew is another agent: its word holds all the same.
        if members.seq <= self.agent_version.replace(members.seq) {
            self.take(Event::Reborn { source: AGENT });
        }
        let (source, members, whole) = (AGENT, members.clone(), members.whole);
        self.take(match whole {
            true => Event::Snapshot { source, members, unread: Vec::new() },
            false => Event::Change { source, members },
        });
    }

    fn take(&self, event: Event) {
        let update = self.roster.borrow_mut().take(self.door.clock.now(), event);
        self.hand_on(update, false);
    }

    fn hand_on(&self, update: Update, cached: bool) {
        if !update.changes.is_empty() {
            let members = Members { seq: 0, whole: false, hosts: update.changes };
            self.door.list_changed(&members, cached);
        }
    }
}
