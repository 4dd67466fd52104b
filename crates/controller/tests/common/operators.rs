//! Operators on a played fleet of exchanges: several orders under way at once, each sent until there is a clear answer; and the
//! judge of what they are told, which knows every change that was agreed on and looks at all of it every time.

#![allow(dead_code)]

use super::played::{Happened, Millis, Played};
use crate::plain::{Judgement, Plain};
use maplefall_controller::core::{Call, CallResponse};
use maplefall_gateway_config::{parse_amend, Change, Item, ItemKind, ItemSet};
use std::collections::{BTreeMap, BTreeSet};

/// A caller moves on after this.
const PATIENCE: Millis = 1000.0;
/// Orders under way at once.
const SLOTS: usize = 8;

/// An order, and what became of it.
pub struct Order {
    body: String,
    change: Option<Change>,
    /// Since when an exchange has said that it is taken, if its operator heard of it or not.
    taken: Option<Millis>,
    /// What its operator was told at last.
    told: Option<u16>,
    /// Changes that were agreed on when it was first sent.
    sent_after: usize,
    /// Two operators had it under way at once: one may be refused before what it asks for is there, and the other not.
    shared: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Doing {
    Idle,
    Calling(u64),
    Pausing,
}

struct Slot {
    /// The order that is sent, or nothing where all is read back.
    order: Option<usize>,
    doing: Doing,
    hops: u32,
    tries: u32,
    /// Timers of an earlier step are void.
    step: u64,
}

/// What was asked with a call.
struct Asked {
    order: Option<usize>,
    at: Millis,
    agreed: usize,
}

/// How often something happened: a test that brings nothing about proves nothing.
#[derive(Debug, Default)]
pub struct Count {
    /// Calls by what they were answered.
    pub answers: BTreeMap<&'static str, usize>,
    /// Orders that had been taken and were sent again.
    pub again: usize,
    /// Changes that were agreed on.
    pub agreed: usize,
    /// Whole states that a door was told.
    pub wholes: usize,
    /// Changes of the leader.
    pub leaders: usize,
}

/// Operators with their judge.
pub struct Operators {
    /// The fleet.
    pub fleet: Played,
    /// What happened how often.
    pub count: Count,
    orders: Vec<Order>,
    slots: Vec<Slot>,
    asked: BTreeMap<u64, Asked>,
    /// What was said to be taken under each number.
    contents: BTreeMap<(ItemKind, String, u32), Item>,
    /// What held before the first change that the doors were told one by one.
    base: Vec<Item>,
    /// Everything that was agreed on, in order, and how much of it there was after each change.
    agreed: Plain,
    lengths: Vec<(u64, usize)>,
    version: u32,
    nonce: u32,
    /// No new orders.
    pub winding_down: bool,
    /// Disks that were lost.
    pub wiped: usize,
}

const FIRST: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","Service","Version"],
"DataRows":[["r0","h0.example","/p0/","safe",1,"s0","00000001"],["r1","h0.example","/p1/","safe",1,"s1","00000001"]]},
"Tenants":{"ColumnNames":["Name","ApiKeys","BurstSize","Version"],"DataRows":[["t0",["k0"],1,"00000001"]]},
"Services":{"ColumnNames":["Name","ConnLimit","Version"],"DataRows":[["s0",9,"00000001"],["s1",9,"00000001"],["s2",9,"00000001"]]}}}"#;

impl Operators {
    /// A fleet whose first configuration is in force everywhere.
    pub fn new(seed: u64, size: usize) -> Operators {
        let mut fleet = Played::new(seed, size);
        fleet.fold_after = Some(12);
        let mut operators = Operators {
            fleet,
            count: Count::default(),
            orders: Vec::new(),
            slots: Vec::new(),
            asked: BTreeMap::new(),
            contents: BTreeMap::new(),
            base: Vec::new(),
            agreed: Plain::default(),
            lengths: Vec::new(),
            version: 2,
            nonce: 0,
            winding_down: true,
            wiped: 0,
        };
        for _ in 0..SLOTS {
            operators.slots.push(Slot {
                order: None,
                doing: Doing::Idle,
                hops: 0,
                tries: 0,
                step: 0,
            });
        }
        operators.order(FIRST.to_owned());
        operators.send(0, Some(0));
        operators.play(6000.0);
        assert_eq!(
            operators.orders[0].told,
            Some(200),
            "the first call is not taken"
        );
        for (_, items) in &operators.fleet.wholes {
            assert_eq!(items.items().count(), 6);
        }
        assert!(operators.fleet.truth.is_empty());
        operators.base = operators.fleet.wholes[0].1.items().cloned().collect();
        operators.agreed = Plain(operators.base.clone());
        let names = operators.fleet.names().to_vec();
        assert!(
            names
                .iter()
                .all(|name| operators.fleet.follower(name).index > 0),
            "a door has nothing"
        );
        operators.winding_down = false;
        for slot in 0..SLOTS {
            operators.pause(slot, slot as f64 * 30.0);
        }
        operators
    }

    /// Plays on for so long.
    pub fn play(&mut self, span: Millis) {
        let until = self.fleet.now() + span;
        loop {
            let happened = self.fleet.next(until);
            self.keep_up();
            match happened {
                Happened::Over => return,
                Happened::Answered(call, answer) => self.judge(call, &answer),
                Happened::Arrived(call, answer) => self.arrived(call, answer),
                Happened::Timer(id) => self.timer(id),
            }
        }
    }

    /// Joins all, lets every order come to a clear answer, sends all that was ever taken again, and looks at what is there.
    pub fn end(&mut self) {
        self.fleet.calm();
        self.winding_down = true;
        self.play(12_000.0);
        for name in self.fleet.names() {
            let disk = &self.fleet.disk(name).raft;
            let (sets, mark) = (disk.configuration(), disk.identity);
            println!(
                "{name}: {mark:?} term {} settled {} {sets:?}",
                disk.term, disk.members_committed
            );
        }
        let open = self
            .slots
            .iter()
            .filter(|slot| slot.doing != Doing::Idle)
            .count();
        assert_eq!(open, 0, "orders without a clear answer in calm times");
        for order in 0..self.orders.len() {
            let Order {
                told,
                taken,
                shared,
                ..
            } = &self.orders[order];
            if !shared && taken.is_some() && told.is_some_and(|told| told != 200) {
                panic!(
                    "order {order} was taken and refused: {}",
                    self.orders[order].body
                );
            }
        }
        let taken: Vec<usize> = (0..self.orders.len())
            .filter(|n| self.orders[*n].taken.is_some())
            .collect();
        for chunk in taken.chunks(SLOTS) {
            for (slot, order) in chunk.iter().enumerate() {
                self.orders[*order].told = None;
                self.send(slot, Some(*order));
            }
            self.play(1500.0);
            for order in chunk {
                assert_eq!(
                    self.orders[*order].told,
                    Some(200),
                    "sent again: {}",
                    self.orders[*order].body
                );
            }
        }
        let reads = self.count.answers.get("read").copied();
        self.send(0, None);
        self.play(1500.0);
        assert!(
            self.count.answers.get("read").copied() > reads,
            "nothing is read back"
        );
        // What an operator was told is refused is in force nowhere and never was.
        let refused = |order: &&Order| order.told.is_some_and(|told| told != 200);
        let told: BTreeSet<String> = self
            .orders
            .iter()
            .filter(|order| !refused(order))
            .flat_map(|order| order.change.iter().flat_map(|change| &change.items))
            .map(|item| format!("{item:?}"))
            .collect();
        for order in self.orders.iter().filter(refused) {
            for item in order
                .change
                .iter()
                .flat_map(|change| &change.items)
                .filter(|item| !item.dropped)
            {
                let agreed = self.agreed.0.contains(item) && !told.contains(&format!("{item:?}"));
                assert!(!agreed, "refused and in force: {item:?}");
            }
        }
        // Whole states are what the changes come to, and every door has all.
        for (index, items) in &self.fleet.wholes {
            let mut replayed = ItemSet::from_items(self.base.clone());
            for change in self.fleet.truth.range(..=*index).map(|(_, change)| change) {
                replayed.apply(change);
            }
            assert_eq!(*items, replayed, "the whole at {index}");
        }
        let last = self.fleet.truth.keys().next_back().copied().unwrap_or(0);
        for name in self.fleet.names() {
            assert!(
                self.fleet.follower(name).index >= last,
                "{name} has not caught up"
            );
        }
        self.count.agreed = self.fleet.truth.len();
        self.count.wholes = self.fleet.wholes.len();
        self.count.leaders = self
            .fleet
            .lines
            .iter()
            .filter(|(at, line)| line.contains(&format!("leader={at} ")))
            .count();
    }

    // ---- Orders -------------------------------------------------------------------------------------

    fn order(&mut self, body: String) -> usize {
        let change = parse_amend(body.as_bytes()).ok();
        let sent_after = self.lengths.len();
        self.orders.push(Order {
            body,
            change,
            taken: None,
            told: None,
            sent_after,
            shared: false,
        });
        self.orders.len() - 1
    }

    fn fresh(&mut self) -> usize {
        self.nonce += 1;
        // A number that an order under way has too, an old one, or a new one.
        let version = match self.fleet.draw(10) {
            0 | 1 if self.version > 3 => self.version,
            2 if self.version > 3 => 1 + self.fleet.draw(self.version),
            _ => {
                self.version += 1 + self.fleet.draw(3);
                self.version
            }
        };
        let (mut lists, mut drops) = (
            BTreeMap::<&str, Vec<String>>::new(),
            BTreeMap::<&str, Vec<String>>::new(),
        );
        let mut names = BTreeSet::new();
        for _ in 0..1 + self.fleet.draw(3) {
            let (kind, at) = (self.fleet.draw(8), self.fleet.draw(4));
            let nonce = self.nonce;
            let drop = self.fleet.draw(4) == 0;
            let (list, name, row) = match kind {
                0..=3 => {
                    let (host, prefix) = (self.fleet.draw(2), self.fleet.draw(3));
                    let (service, timeout) = (
                        self.fleet.draw(4),
                        if self.fleet.draw(40) == 0 { 601 } else { 2 },
                    );
                    let name = format!("r{at}");
                    let row = format!(
                        "[\"{name}\",\"h{host}.example\",\"/p{prefix}/\",\"safe\",{timeout},{nonce},\"s{service}\",\"{version:08x}\"]"
                    );
                    ("RouteTable", name, row)
                }
                4 | 5 => {
                    let (name, key) = (format!("t{at}"), self.fleet.draw(5));
                    let row =
                        format!("[\"{name}\",[\"k{key}\",\"own{at}\"],{nonce},\"{version:08x}\"]");
                    ("Tenants", name, row)
                }
                _ => {
                    let name = format!("s{at}");
                    let row = format!("[\"{name}\",{nonce},\"{version:08x}\"]");
                    ("Services", name, row)
                }
            };
            if !names.insert(name.clone()) {
                continue;
            }
            if drop {
                let row = format!("{{\"Name\":\"{name}\",\"Version\":\"{version:08x}\"}}");
                drops.entry(list).or_default().push(row);
            } else {
                lists.entry(list).or_default().push(row);
            }
        }
        let columns = |list: &str| {
            match list {
            "RouteTable" => {
                "\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"SetpointS\",\"Service\",\"Version\""
            }
            "Tenants" => "\"Name\",\"ApiKeys\",\"BurstSize\",\"Version\"",
            _ => "\"Name\",\"ConnLimit\",\"Version\"",
        }
        };
        let lists: Vec<String> = lists
            .iter()
            .map(|(list, rows)| {
                let (columns, rows) = (columns(list), rows.join(","));
                format!("\"{list}\":{{\"ColumnNames\":[{columns}],\"DataRows\":[{rows}]}}")
            })
            .collect();
        let drops: Vec<String> = drops
            .iter()
            .map(|(list, rows)| format!("\"{list}\":[{}]", rows.join(",")))
            .collect();
        self.order(format!(
            "{{\"Upsert\":{{{}}},\"Remove\":{{{}}}}}",
            lists.join(","),
            drops.join(",")
        ))
    }

    /// What an operator does next.
    fn choose(&mut self, slot: usize) {
        if self.winding_down {
            self.slots[slot].doing = Doing::Idle;
            return;
        }
        let taken: Vec<usize> = (0..self.orders.len())
            .filter(|n| self.orders[*n].told == Some(200))
            .collect();
        match self.fleet.draw(10) {
            0 => self.send(slot, None),
            // The other operator sends what one of them has under way.
            1 if self
                .slots
                .iter()
                .any(|slot| slot.order.is_some() && slot.tries > 0) =>
            {
                let under_way: Vec<usize> = self
                    .slots
                    .iter()
                    .filter(|slot| slot.tries > 0)
                    .filter_map(|slot| slot.order)
                    .collect();
                let order = under_way
                    .get(self.fleet.draw(8) as usize % under_way.len().max(1))
                    .copied();
                if let Some(order) = order {
                    self.orders[order].shared = true;
                }
                self.send(slot, order);
            }
            2..=4 if !taken.is_empty() => {
                let order = taken[self.fleet.draw(taken.len() as u32) as usize];
                self.count.again += 1;
                self.send(slot, Some(order));
            }
            _ => {
                let order = self.fresh();
                self.send(slot, Some(order));
            }
        }
    }

    // ---- Calls --------------------------------------------------------------------------------------

    fn send(&mut self, slot: usize, order: Option<usize>) {
        (self.slots[slot].order, self.slots[slot].tries) = (order, 0);
        self.attempt(slot);
    }

    fn attempt(&mut self, slot: usize) {
        let to = self.fleet.any();
        (self.slots[slot].hops, self.slots[slot].tries) = (0, self.slots[slot].tries + 1);
        self.call(slot, &to);
    }

    fn call(&mut self, slot: usize, to: &str) {
        let order = self.slots[slot].order;
        let call = order.map_or(Call::ReadConfig, |n| {
            Call::Amend(self.orders[n].body.clone().into())
        });
        let number = self.fleet.call(to, call);
        let asked = Asked {
            order,
            at: self.fleet.now(),
            agreed: self.lengths.len(),
        };
        self.asked.insert(number, asked);
        self.slots[slot].doing = Doing::Calling(number);
        self.wait(slot, PATIENCE);
    }

    fn wait(&mut self, slot: usize, span: Millis) {
        self.slots[slot].step += 1;
        self.fleet
            .timer(span, (slot as u64) << 40 | self.slots[slot].step);
    }

    fn pause(&mut self, slot: usize, span: Millis) {
        self.slots[slot].doing = Doing::Pausing;
        self.wait(slot, span);
    }

    fn pause_more(&mut self, slot: usize) {
        let longest = 60.0 * f64::from(1_u32 << self.slots[slot].tries.min(4));
        let span = longest / 2.0 + f64::from(self.fleet.draw(longest as u32));
        self.pause(slot, span);
    }

    fn timer(&mut self, id: u64) {
        let (slot, step) = ((id >> 40) as usize, id & ((1 << 40) - 1));
        if self.slots[slot].step != step {
            return;
        }
        match self.slots[slot].doing {
            Doing::Calling(number) => {
                self.fleet.hang_up(number);
                self.pause_more(slot);
            }
            Doing::Pausing if self.slots[slot].tries > 0 => self.attempt(slot),
            Doing::Pausing => self.choose(slot),
            Doing::Idle => {}
        }
    }

    fn arrived(&mut self, call: u64, answer: CallResponse) {
        let Some(slot) = self
            .slots
            .iter()
            .position(|slot| slot.doing == Doing::Calling(call))
        else {
            return;
        };
        let clear = match answer {
            CallResponse::Ok(_) => 200,
            CallResponse::Rejected(status, _) => status,
            CallResponse::Redirect(to) if self.slots[slot].hops < 2 => {
                self.slots[slot].hops += 1;
                return self.call(slot, &to);
            }
            CallResponse::Redirect(_) | CallResponse::Unavailable => return self.pause_more(slot),
        };
        if let Some(order) = self.slots[slot].order {
            self.orders[order].told = Some(clear);
        }
        self.slots[slot].tries = 0;
        let span = 20.0 + f64::from(self.fleet.draw(400));
        self.pause(slot, span);
        if self.winding_down {
            self.slots[slot].doing = Doing::Idle;
        }
    }

    // ---- Judging ------------------------------------------------------------------------------------

    /// Takes in what doors were told since.
    fn keep_up(&mut self) {
        if self.base.is_empty() || self.fleet.truth.len() == self.lengths.len() {
            return;
        }
        let last = self.lengths.last().map_or(0, |(index, _)| *index);
        for (index, change) in self.fleet.truth.range(last + 1..) {
            let judgement = self.agreed.judge(change);
            assert_eq!(
                judgement,
                Judgement::New,
                "agreed on at {index}: {change:?}"
            );
            self.agreed.take(change);
            self.lengths.push((*index, self.agreed.0.len()));
        }
        assert_eq!(
            self.fleet.truth.len(),
            self.lengths.len(),
            "a change came after a later one"
        );
    }

    /// What had been agreed on after so many changes.
    fn after(&self, changes: usize) -> Plain {
        let length = changes
            .checked_sub(1)
            .map_or(self.base.len(), |last| self.lengths[last].1);
        Plain(self.agreed.0[..length].to_vec())
    }

    /// Judges what an exchange says, whether it arrives or not.
    fn judge(&mut self, call: u64, answer: &CallResponse) {
        let Some(asked) = self.asked.remove(&call) else {
            return;
        };
        let now = self.fleet.now();
        let what = match answer {
            CallResponse::Ok(_) if asked.order.is_none() => "read",
            CallResponse::Ok(_) => "taken",
            CallResponse::Rejected(409, _) => "conflict",
            CallResponse::Rejected(..) => "refused",
            CallResponse::Redirect(_) => "elsewhere",
            CallResponse::Unavailable => "unknown",
        };
        *self.count.answers.entry(what).or_default() += 1;
        match (asked.order, answer) {
            (None, CallResponse::Ok(text)) if !self.base.is_empty() => {
                let sound = (asked.agreed..=self.lengths.len()).rev().any(|changes| {
                    ItemSet::from_items(self.after(changes).held().into_values().collect())
                        .read_back()
                        == *text
                });
                assert!(sound, "read back after {} changes: {text}", asked.agreed);
            }
            (Some(order), CallResponse::Ok(_)) => {
                let order = &mut self.orders[order];
                order.taken = order.taken.or(Some(now));
                for item in order.change.iter().flat_map(|change| &change.items) {
                    let number = (item.kind(), item.name.clone(), item.version);
                    let content = self.contents.entry(number).or_insert_with(|| item.clone());
                    assert_eq!(
                        content, item,
                        "two contents were confirmed under one number"
                    );
                    if !self.base.is_empty() {
                        assert!(
                            self.agreed.0.contains(item),
                            "confirmed and not agreed on: {item:?}"
                        );
                    }
                }
            }
            (Some(order), CallResponse::Rejected(status, why)) => {
                let order = &self.orders[order];
                assert!(
                    order.taken.is_none_or(|taken| taken > asked.at),
                    "taken at {:?}, then {status} {why} for a call of {}: {}",
                    order.taken,
                    asked.at,
                    order.body
                );
                let Some(change) = &order.change else { return };
                let due = if *status == 409 {
                    Judgement::Conflict
                } else {
                    Judgement::Invalid
                };
                let due = (order.sent_after..=self.lengths.len())
                    .rev()
                    .any(|n| self.after(n).judge(change) == due);
                assert!(due, "{status} {why} without a cause: {}", order.body);
            }
            _ => {}
        }
    }
}
