//! The state machine of one door: datagrams, use and the time in; datagrams and facts out.
//!
//! Drive it like this: [`Node::used`] for each use, [`Node::receive`] for each datagram, [`Node::tick`] when
//! [`Node::due`] has come, and after each of them send what [`Node::poll`] hands out until it is empty and tell the decisions
//! what [`Node::poll_fact`] hands out.
//!
//! News travels twice. What has just changed goes as a rumour in the next rounds, the largest change first, and each door
//! passes it on a few times; that is fast and may miss some. Digests tell who knows which versions, and whoever lacks some
//! gets them in order; that is slower and misses nothing.

use crate::gate::Gate;
use crate::heard::{epoch_of, Fact, Heard};
use crate::members::{beat_of, Beat, Member, State};
use crate::replica::Versioned;
use crate::settings::Settings;
use crate::status::{MemberStatus, Status, UseStatus};
use crate::wire::{self, Card, Head, Kind, Line, Refused, Seal, Section, Writer};
use crate::{replica::Delta, Customer, DoorId, Epoch, Life, TAIL};
use maplefall_policy::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Datagrams that wait to be sent at most.
const MOST_OUT: usize = 512;
/// Rumours that are kept at most.
const MOST_RUMOURS: usize = 2048;
/// Datagrams that answer one at most.
const REPLIES: usize = 3;
/// Part of a round's datagram that its digest may take.
const DIGEST_PART: f64 = 0.6;
/// Cards of others that go into what is left of a datagram at most.
const CARDS: usize = 8;
/// A door that has sent no more datagrams than this has just begun.
const NEWCOMER: u64 = 24;
/// A door that is not heard of is called in one of so many rounds.
const CALL_SILENT: u32 = 5;
/// A seed is called in one of so many rounds.
const CALL_SEED: u32 = 16;
/// How far ahead of the date here a life may have begun, or be, in milliseconds: dates differ, but not by more.
const MOST_AHEAD: u64 = 86_400_000;
/// Versions and ages are below this.
const MOST_NUMBER: u64 = 1 << 48;
/// Epochs that a life's count may be ahead of its heartbeat as it is known here.
const EPOCHS_AHEAD: u32 = 4;
/// How long the age of all news is kept before it is looked up anew.
const AGE_KEPT: Millis = 20.0;
/// Bytes of a status in one datagram.
const STATUS_PART: usize = 1000;

/// Something the caller is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// Who a door is at its start.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its name, the same in every life.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Doors to call first.
    pub seeds: Vec<SocketAddr>,
    /// The date, in milliseconds since 1970: it numbers this life.
    pub date: u64,
    /// The only source of chance; new with each start.
    pub seed: u64,
}

/// A change that is passed on a few times.
#[derive(Clone, Copy, Debug)]
struct Rumour {
    /// Datagrams that it still goes into.
    left: u32,
    /// How much has changed since it was new, in thousandths of a unit.
    amount: u64,
}

/// What a datagram is answered with. No list is longer than the datagram had lines.
#[derive(Debug, Default)]
struct Answer {
    /// Lives, and up to which version the sender knows them.
    owed: Vec<(Life, u64)>,
    /// What is lacking here.
    want: Vec<Line>,
    /// Doors whose cards the sender may lack.
    cards: Vec<DoorId>,
    /// Whether the sender has just begun and is told of as many doors as there is room for.
    welcome: bool,
}

/// A budget of so many a second.
#[derive(Clone, Copy, Debug)]
struct Budget {
    rate: f64,
    left: f64,
    at: Millis,
}

impl Budget {
    fn take(&mut self, now: Millis) -> bool {
        let gained = self.rate * (now - self.at).max(0.0) / 1000.0;
        (self.left, self.at) = ((self.left + gained).min(self.rate), now);
        let takes = self.left >= 1.0;
        if takes {
            self.left -= 1.0;
        }
        takes
    }
}

/// What was counted of datagrams and bounds, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Datagrams taken in, and their bytes.
    pub taken: (u64, u64),
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams, or lines of them, that changed nothing, by reason.
    pub refused: BTreeMap<Refused, u64>,
    /// Datagrams that were not sent for want of budget or room.
    pub held_back: u64,
    /// Uses that a count at its width did not take.
    pub full_counts: u64,
    /// Times that this door heard of a life of its own name that was not over, and took a new number.
    pub renamed: u64,
}

/// One door's part in sharing counts.
pub struct Node {
    set: Settings,
    seal: Seal,
    rng: Pcg64Mcg,
    id: DoorId,
    me: Member,
    born: Millis,
    date: u64,
    nonce: u64,
    seeds: Vec<SocketAddr>,
    others: BTreeMap<DoorId, Member>,
    gate: Gate,
    epoch: Epoch,
    rumours: BTreeMap<(Life, Epoch, Customer), Rumour>,
    heard: Heard,
    counts: usize,
    next_round: Millis,
    sent: u64,
    budget_in: Budget,
    budget_out: Budget,
    out: VecDeque<Output>,
    age: Option<(Millis, Millis, usize)>,
    /// When this door took a new number last.
    renamed: Option<Millis>,
    status: Vec<u8>,
    /// What has been counted.
    pub tally: Tally,
}

impl Node {
    /// A door that has just started.
    pub fn new(set: Settings, start: Start, now: Millis) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(start.seed);
        let id = DoorId::of(&start.name);
        let life = Life {
            door: id,
            incarnation: start.date.max(1),
        };
        let beat = Beat {
            life,
            time: 0,
            version: 0,
            age: 0,
        };
        let me = Member::new(&start.name, start.address, &beat, now, set.interval);
        let nonce = rng.next_u64() | 1;
        let gate = Gate::new(set.most_told, rng.next_u64());
        // Doors that start together do not speak together.
        let next_round = now + set.interval * chance(&mut rng);
        let budget = Budget {
            rate: set.most_per_second,
            left: set.most_per_second,
            at: now,
        };
        let seeds = start
            .seeds
            .into_iter()
            .filter(|seed| *seed != start.address)
            .collect();
        Node {
            seal: Seal::new(&set.cluster, &set.key),
            set,
            rng,
            id,
            me,
            born: now,
            date: start.date,
            nonce,
            seeds,
            others: BTreeMap::new(),
            gate,
            epoch: 0,
            rumours: BTreeMap::new(),
            heard: Heard::default(),
            counts: 0,
            next_round,
            sent: 0,
            budget_in: budget,
            budget_out: budget,
            out: VecDeque::new(),
            age: None,
            renamed: None,
            status: Vec::new(),
            tally: Tally::default(),
        }
    }

    // ---- Counting -----------------------------------------------------------------------------------

    /// A customer has used so many units here, or given so many back where it is below nought.
    pub fn used(&mut self, now: Millis, customer: Customer, units: f64) {
        let milli = (units * 1000.0).round();
        if !milli.is_finite() || milli == 0.0 {
            return;
        }
        // The cast holds at the bounds of the type; a count stops at its width long before.
        let milli = milli as i64;
        self.enter_epoch(now);
        let (epoch, customer) = self.place(customer, milli);
        let before = self.me.now.replica.len();
        let told = self.me.now.replica.change(epoch, customer, milli);
        self.counts += self.me.now.replica.len() - before;
        if told.is_none() {
            self.tally.full_counts += 1;
        }
        self.spread(self.my_life(), epoch, customer, milli.unsigned_abs());
    }

    /// The count that a change belongs to: the customer's own, if it has one or gets one, else that of the tail.
    fn place(&mut self, customer: Customer, milli: i64) -> (Epoch, Customer) {
        let own = &self.me.now.replica;
        let earlier = self.epoch.saturating_sub(1);
        if own.get(self.epoch, customer).is_some() {
            return (self.epoch, customer);
        }
        // What is given back after an epoch's end is given back to the epoch that took it.
        if milli < 0 && own.get(earlier, customer).is_some() {
            return (earlier, customer);
        }
        let room = self.counts < self.set.most_counts;
        if milli > 0 && customer != TAIL && room && self.gate.asks(customer, milli.unsigned_abs()) {
            return (self.epoch, customer);
        }
        (self.epoch, TAIL)
    }

    fn my_life(&self) -> Life {
        Life {
            door: self.id,
            incarnation: self.me.incarnation,
        }
    }

    fn my_time(&self, now: Millis) -> u64 {
        (now - self.born).max(0.0) as u64
    }

    fn my_beat(&self, now: Millis) -> Beat {
        Beat {
            life: self.my_life(),
            time: self.my_time(now),
            version: self.me.now.replica.known(),
            age: 0,
        }
    }

    /// Begins a new epoch when its time has come, and lets go of those that are over.
    fn enter_epoch(&mut self, now: Millis) {
        let epoch = epoch_of(self.my_time(now), self.set.epoch);
        if epoch > self.epoch {
            self.epoch = epoch;
            self.gate = Gate::new(self.set.most_told, self.rng.next_u64());
        }
    }

    /// Lets go of all epochs that are over, each by its own life's time.
    fn forget(&mut self, now: Millis) {
        let kept = self.set.epochs_kept - 1;
        let mine = self.my_time(now);
        self.counts -= self
            .me
            .now
            .replica
            .forget_before(epoch_of(mine, self.set.epoch).saturating_sub(kept));
        let horizon = self.set.epoch * f64::from(self.set.epochs_kept);
        for member in self
            .others
            .values_mut()
            .chain(std::iter::once(&mut self.me))
        {
            let over: Vec<u64> = member
                .former
                .iter()
                .filter(|(_, known)| now - known.heard > horizon)
                .map(|(number, _)| *number)
                .collect();
            for number in over {
                self.counts -= member.forget_former(number);
            }
            for number in member.former.keys().copied().collect::<Vec<_>>() {
                self.counts -= forget_epochs(member, number, now, &self.set);
            }
        }
        for member in self.others.values_mut() {
            self.counts -= forget_epochs(member, member.incarnation, now, &self.set);
        }
        let gone = |member: &Member| {
            member.state == State::Gone && now - member.since > self.set.forget_after
        };
        let ids: Vec<DoorId> = self
            .others
            .iter()
            .filter(|(_, member)| gone(member))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(member) = self.others.remove(&id) {
                self.counts -= member
                    .lives()
                    .map(|(_, known)| known.replica.len())
                    .sum::<usize>();
            }
        }
        self.heard.forget(now, horizon);
        let lives: Vec<(Life, Epoch, Customer)> = self
            .rumours
            .keys()
            .filter(|(life, epoch, customer)| self.told(*life, *epoch, *customer).is_none())
            .copied()
            .collect();
        for key in lives {
            self.rumours.remove(&key);
        }
    }

    fn told(&self, life: Life, epoch: Epoch, customer: Customer) -> Option<Versioned> {
        self.member(life.door)?
            .life(life.incarnation)?
            .replica
            .told(epoch, customer)
    }

    fn member(&self, door: DoorId) -> Option<&Member> {
        if door == self.id {
            Some(&self.me)
        } else {
            self.others.get(&door)
        }
    }

    fn member_mut(&mut self, door: DoorId) -> Option<&mut Member> {
        if door == self.id {
            Some(&mut self.me)
        } else {
            self.others.get_mut(&door)
        }
    }

    /// Notes that a count goes into the next rounds.
    fn spread(&mut self, life: Life, epoch: Epoch, customer: Customer, amount: u64) {
        let doors = (self.others.len() + 1) as f64;
        // Passed on so many times by each that hears it, a rumour misses a door by chance about once in e^4 times.
        let left = (doors.log2().ceil() as u32 + 4).min(12);
        let key = (life, epoch, customer);
        if self.rumours.len() >= MOST_RUMOURS && !self.rumours.contains_key(&key) {
            return;
        }
        let rumour = self
            .rumours
            .entry(key)
            .or_insert(Rumour { left, amount: 0 });
        rumour.left = left;
        rumour.amount = rumour.amount.saturating_add(amount);
    }

    // ---- What is known ------------------------------------------------------------------------------

    /// What is used elsewhere by a customer; `None` where nothing was heard of it. What a fact has told is not told again.
    pub fn fact(&mut self, now: Millis, customer: Customer) -> Option<Fact> {
        let (as_of, _) = self.news(now);
        let untold = self.untold();
        self.heard.fact(now, customer, as_of, untold)
    }

    /// The next customer of whom something new was heard, with what it is.
    pub fn poll_fact(&mut self, now: Millis) -> Option<(Customer, Fact)> {
        let customer = self.heard.next()?;
        self.fact(now, customer).map(|fact| (customer, fact))
    }

    /// Since when news of doors that are heard of may be missing here, and how many doors are heard of, this one with them.
    pub fn news(&mut self, now: Millis) -> (Millis, usize) {
        if let Some((_, as_of, doors)) = self.age.filter(|(at, _, _)| now - at < AGE_KEPT) {
            // What was known then is still known.
            return (as_of, doors);
        }
        let alive = self
            .others
            .values()
            .filter(|member| member.state == State::Alive);
        let (as_of, doors) = alive.fold((now, 1), |(as_of, doors), member| {
            (as_of.min(member.now.as_of()), doors + 1)
        });
        self.age = Some((now, as_of, doors));
        (as_of, doors)
    }

    /// Units that one customer may have used elsewhere without being told one by one, if all doors are as full as this one.
    fn untold(&self) -> f64 {
        self.gate.untold() as f64 / 1000.0 * self.others.len() as f64
    }

    /// What a customer has used in the epochs that are kept, by all that is known, in thousandths of a unit.
    pub fn total(&self, customer: Customer) -> i64 {
        let all = self.others.values().chain(std::iter::once(&self.me));
        all.flat_map(Member::lives)
            .map(|(_, known)| known.replica.total(customer))
            .sum()
    }

    /// What one door has counted of a customer in the epochs that are kept, over all its lives, as known here.
    pub fn total_of(&self, door: DoorId, customer: Customer) -> i64 {
        let lives = self.member(door).into_iter().flat_map(Member::lives);
        lives.map(|(_, known)| known.replica.total(customer)).sum()
    }

    /// Doors that are known, by name and state, this one left out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Which life of this door it is.
    pub fn life(&self) -> Life {
        self.my_life()
    }

    /// Counts that are held.
    pub fn counts(&self) -> usize {
        self.counts
    }

    /// What operators are shown.
    pub fn show(&mut self, now: Millis, most: usize) -> Status {
        self.age = None;
        let (as_of, alive) = self.news(now);
        let members = self.others.values().map(|member| MemberStatus {
            name: member.name.clone(),
            address: member.address,
            state: member.state,
            incarnation: member.incarnation,
            former: member.former.len(),
            news_ms: (now - member.now.heard).max(0.0).round(),
            complete_ms: (member.now.complete > 0)
                .then(|| (now - member.now.as_of()).max(0.0).round()),
            counts: member.lives().map(|(_, known)| known.replica.len()).sum(),
        });
        let mut totals: BTreeMap<Customer, i64> = BTreeMap::new();
        for member in self.others.values().chain(std::iter::once(&self.me)) {
            for (_, known) in member.lives() {
                for (_, customer, count) in known.replica.counts() {
                    *totals.entry(customer).or_default() += count.net();
                }
            }
        }
        let tail = totals.remove(&TAIL).unwrap_or(0);
        let mut largest: Vec<(Customer, i64)> = totals.into_iter().collect();
        largest.sort_by_key(|(customer, milli)| (std::cmp::Reverse(*milli), *customer));
        let largest = largest.into_iter().take(most);
        Status {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            doors: alive,
            members: members.collect(),
            customers: largest
                .map(|(quota, milli)| {
                    let (plan, customer) = crate::whose(quota);
                    UseStatus {
                        customer,
                        plan,
                        units: milli as f64 / 1000.0,
                    }
                })
                .collect(),
            tail_units: tail as f64 / 1000.0,
            counts: self.counts,
            behind_ms: (now - as_of).max(0.0).round(),
            untold_units: self.untold(),
            datagrams_in: self.tally.taken.0,
            bytes_in: self.tally.taken.1,
            datagrams_out: self.tally.sent.0,
            bytes_out: self.tally.sent.1,
            held_back: self.tally.held_back,
            renamed: self.tally.renamed,
            refused: self
                .tally
                .refused
                .iter()
                .map(|(reason, count)| (*reason, *count))
                .collect(),
        }
    }

    // ---- Rounds -------------------------------------------------------------------------------------

    /// When [`Node::tick`] is due.
    pub fn due(&self) -> Millis {
        self.next_round
    }

    /// What is to be sent next.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Carries out what has come due.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_round {
            return;
        }
        // Drawn anew each time, so that no two doors stay in step; a clock that jumped is not made up for.
        self.next_round = now + self.set.interval * (0.8 + 0.4 * chance(&mut self.rng));
        self.enter_epoch(now);
        for member in self.others.values_mut() {
            member.judge(now, self.set.suspect, self.set.gone_after);
        }
        self.age = None;
        self.forget(now);
        let peers = self.peers();
        let rumours = self.rumours_by_weight();
        for id in peers {
            self.gossip_to(now, id, &rumours);
        }
        self.call_seeds(now);
        self.rumours.retain(|_, rumour| rumour.left > 0);
    }

    /// Whom to tell in this round.
    fn peers(&mut self) -> Vec<DoorId> {
        let of = |state: fn(State) -> bool| {
            let chosen = self
                .others
                .iter()
                .filter(move |(_, member)| state(member.state));
            chosen.map(|(id, _)| *id).collect::<Vec<_>>()
        };
        // Whoever was only told of is called like the rest: it will answer, or be gone soon.
        let mut alive = of(|state| matches!(state, State::Alive | State::Unproven));
        let silent = of(|state| matches!(state, State::Suspected | State::Gone));
        let mut peers = Vec::new();
        for _ in 0..self.set.fan_out.min(alive.len()) {
            let at = below(&mut self.rng, alive.len());
            peers.push(alive.swap_remove(at));
        }
        // Somebody who is not heard of may be on the other side of a split that has healed.
        if !silent.is_empty() && below(&mut self.rng, CALL_SILENT as usize) == 0 {
            peers.push(silent[below(&mut self.rng, silent.len())]);
        }
        peers
    }

    fn call_seeds(&mut self, now: Millis) {
        let alone = !self
            .others
            .values()
            .any(|member| member.state == State::Alive);
        if self.seeds.is_empty() || (!alone && below(&mut self.rng, CALL_SEED as usize) != 0) {
            return;
        }
        let seed = self.seeds[below(&mut self.rng, self.seeds.len())];
        let met = self
            .others
            .values()
            .any(|m| m.address == seed && m.state == State::Alive);
        if !met {
            self.greet(now, seed, 0);
        }
    }

    /// The rumours, the largest change first.
    fn rumours_by_weight(&self) -> Vec<(Life, Epoch, Customer)> {
        let mut all: Vec<_> = self.rumours.iter().collect();
        all.sort_by_key(|(key, rumour)| (std::cmp::Reverse(rumour.amount), **key));
        all.into_iter().map(|(key, _)| *key).collect()
    }

    fn head(&mut self, kind: Kind, echo: u64) -> Head {
        self.sent += 1;
        Head {
            kind,
            from: self.my_life(),
            number: self.sent,
            nonce: self.nonce,
            echo,
        }
    }

    fn my_card(&self, now: Millis) -> Card {
        Card {
            beat: self.my_beat(now),
            address: self.me.address,
            name: self.me.name.clone(),
        }
    }

    fn begin(&mut self, now: Millis, kind: Kind, echo: u64) -> Writer {
        let head = self.head(kind, echo);
        let mut writer = Writer::new(&self.seal, &head, self.set.datagram);
        writer.add(&Section::Cards(vec![self.my_card(now)]));
        writer
    }

    fn greet(&mut self, now: Millis, to: SocketAddr, echo: u64) {
        let writer = self.begin(now, Kind::Hello, echo);
        self.send(now, to, writer);
    }

    fn send(&mut self, now: Millis, to: SocketAddr, writer: Writer) {
        if !self.budget_out.take(now) || self.out.len() >= MOST_OUT {
            self.tally.held_back += 1;
            return;
        }
        let bytes = writer.seal(&self.seal);
        self.tally.sent.0 += 1;
        self.tally.sent.1 += bytes.len() as u64;
        self.out.push_back(Output { to, bytes });
    }

    fn gossip_to(&mut self, now: Millis, id: DoorId, rumours: &[(Life, Epoch, Customer)]) {
        let Some(peer) = self.others.get(&id) else {
            return;
        };
        let to = peer.address;
        let Some(echo) = peer.nonce else {
            return self.greet(now, to, 0);
        };
        let mut writer = self.begin(now, Kind::Gossip, echo);
        let room = (writer.room() as f64 * DIGEST_PART) as usize;
        writer.add(&Section::Digest(self.digest(now, room)));
        self.add_rumours(&mut writer, rumours);
        self.add_cards(now, &mut writer, CARDS);
        self.send(now, to, writer);
    }

    /// Fills what is left of a datagram with cards of others, drawn by chance: so all get to know all.
    fn add_cards(&mut self, now: Millis, writer: &mut Writer, most: usize) {
        // Only those who have shown life to this door: what somebody made up goes no further than to whom it was told.
        let lives = |member: &Member| matches!(member.state, State::Alive | State::Suspected);
        let mut there: Vec<DoorId> = self
            .others
            .iter()
            .filter(|(_, member)| lives(member))
            .map(|(id, _)| *id)
            .collect();
        for _ in 0..most.min(there.len()) {
            let id = there.swap_remove(below(&mut self.rng, there.len()));
            let Some(card) = self.card_of(now, id) else {
                continue;
            };
            if !writer.add(&Section::Cards(vec![card])) {
                return;
            }
        }
    }

    fn card_of(&self, now: Millis, id: DoorId) -> Option<Card> {
        let member = self.others.get(&id)?;
        let beat = beat_of(id, member.incarnation, &member.now, now);
        Some(Card {
            beat,
            address: member.address,
            name: member.name.clone(),
        })
    }

    /// Lines of a digest: this door's own first, then by turns the newest news of others and some by chance. The newest
    /// spread like rumours; those by chance mend what rumours miss.
    fn digest(&mut self, now: Millis, room: usize) -> Vec<Line> {
        let mut lines = vec![Line {
            beat: self.my_beat(now),
            known: self.me.now.replica.known(),
        }];
        let mut used = wire::bytes_of_line(&lines[0]);
        let mut lives: Vec<(Millis, DoorId, u64)> = Vec::new();
        lives.extend(
            self.me
                .former
                .iter()
                .map(|(number, known)| (known.heard, self.id, *number)),
        );
        for (id, member) in &self.others {
            // Of a door that shows no life nobody needs to hear, unless it has counted something.
            let silent = !matches!(member.state, State::Alive | State::Suspected);
            if silent && member.lives().all(|(_, known)| known.replica.is_empty()) {
                continue;
            }
            lives.extend(
                member
                    .lives()
                    .map(|(number, known)| (known.heard, *id, number)),
            );
        }
        lives.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        while !lives.is_empty() {
            let by_chance = lines.len() % 3 == 0;
            let at = if by_chance {
                below(&mut self.rng, lives.len())
            } else {
                lives.len() - 1
            };
            let (_, id, number) = lives.remove(at);
            let Some(known) = self.member(id).and_then(|member| member.life(number)) else {
                continue;
            };
            let line = Line {
                beat: beat_of(id, number, known, now),
                known: known.replica.known(),
            };
            used += wire::bytes_of_line(&line);
            if used > room {
                break;
            }
            lines.push(line);
        }
        lines
    }

    /// Fills what is left of a datagram with rumours, a section for each life.
    fn add_rumours(&mut self, writer: &mut Writer, rumours: &[(Life, Epoch, Customer)]) {
        let mut by_life: BTreeMap<Life, Vec<Versioned>> = BTreeMap::new();
        let mut room = writer.room();
        for (life, epoch, customer) in rumours {
            let Some(told) = self.told(*life, *epoch, *customer) else {
                continue;
            };
            let head = if by_life.contains_key(life) {
                0
            } else {
                SECTION_HEAD
            };
            let bytes = wire::bytes_of(&told) + head;
            if bytes > room {
                break;
            }
            room -= bytes;
            by_life.entry(*life).or_default().push(told);
            if let Some(rumour) = self.rumours.get_mut(&(*life, *epoch, *customer)) {
                rumour.left = rumour.left.saturating_sub(1);
            }
        }
        for (life, counts) in by_life {
            writer.add(&Section::Counts(
                life,
                Delta {
                    after: 0,
                    up_to: 0,
                    counts,
                },
            ));
        }
    }

    // ---- Datagrams ----------------------------------------------------------------------------------

    fn refuse(&mut self, why: Refused) {
        *self.tally.refused.entry(why).or_default() += 1;
    }

    /// Takes in a datagram. Whatever is wrong with it changes nothing but a figure in [`Node::tally`].
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        if !self.budget_in.take(now) {
            return self.refuse(Refused::TooMany);
        }
        self.tally.taken.0 += 1;
        self.tally.taken.1 += bytes.len() as u64;
        let result = wire::read(&self.seal, bytes).and_then(|(head, sections)| {
            self.look_absurd(now, &head, &sections)?;
            self.take_in(now, from, &head, sections)
        });
        if let Err(why) = result {
            self.refuse(why);
        }
    }

    /// Whether anything in a datagram cannot be true; then nothing of it is believed.
    fn look_absurd(&self, now: Millis, head: &Head, sections: &[Section]) -> Result<(), Refused> {
        let latest = self
            .date
            .saturating_add(self.my_time(now))
            .saturating_add(MOST_AHEAD);
        let life = |life: &Life| life.incarnation > 0 && life.incarnation <= latest;
        let beat = |beat: &Beat| {
            life(&beat.life)
                && beat.life.incarnation.saturating_add(beat.time) <= latest
                && beat.version < MOST_NUMBER
                && beat.age < MOST_NUMBER
        };
        let line = |line: &Line| beat(&line.beat) && line.known < MOST_NUMBER;
        let believable = |section: &Section| match section {
            Section::Cards(cards) => cards.iter().all(|card| beat(&card.beat)),
            Section::Digest(lines) | Section::Want(lines) => lines.iter().all(line),
            Section::Counts(of, delta) => {
                life(of)
                    && delta.up_to < MOST_NUMBER
                    && self.epochs_believable(now, *of, &delta.counts)
            }
            Section::Text(..) | Section::Part(_) => true,
        };
        if life(&head.from) && sections.iter().all(believable) {
            Ok(())
        } else {
            Err(Refused::Absurd)
        }
    }

    fn epochs_believable(&self, now: Millis, of: Life, counts: &[Versioned]) -> bool {
        let known = self
            .member(of.door)
            .and_then(|member| member.life(of.incarnation));
        let Some(known) = known else { return true };
        let time = if of == self.my_life() {
            self.my_time(now)
        } else {
            known.own_time(now)
        };
        let last = epoch_of(time, self.set.epoch).saturating_add(EPOCHS_AHEAD);
        counts
            .iter()
            .all(|told| told.epoch <= last && told.version < MOST_NUMBER)
    }

    fn take_in(
        &mut self,
        now: Millis,
        from: SocketAddr,
        head: &Head,
        sections: Vec<Section>,
    ) -> Result<(), Refused> {
        if head.from == self.my_life() {
            return Err(Refused::Repeated);
        }
        let card = sections.iter().find_map(|section| match section {
            Section::Cards(cards) => cards
                .iter()
                .find(|card| card.beat.life == head.from)
                .cloned(),
            _ => None,
        });
        let back = card.as_ref().map_or(from, |card| card.address);
        match head.kind {
            Kind::Ask => return self.answer_ask(now, from, head, &sections),
            Kind::Told => return Err(Refused::Absurd),
            Kind::Hello | Kind::Gossip if head.echo != self.nonce => {
                self.greet(now, back, head.nonce);
                return if head.kind == Kind::Hello {
                    Ok(())
                } else {
                    Err(Refused::Unproven)
                };
            }
            Kind::Hello | Kind::Gossip => {}
        }
        if head.from.door == self.id {
            // Another process under this door's name, or this one's earlier life: what it is decides about its card.
            if let Some(card) = &card {
                self.beat_of_mine(now, &card.beat);
            }
            return Err(Refused::Repeated);
        }
        if !self.others.contains_key(&head.from.door) {
            let card = card.as_ref().ok_or(Refused::NoMember)?;
            self.meet(now, card)?;
        }
        let interval = self.set.interval;
        let member = self
            .others
            .get_mut(&head.from.door)
            .ok_or(Refused::NoMember)?;
        if head.from.incarnation < member.incarnation {
            // Its date went back, or it is late: it is told of the life that it cannot know.
            let beat = beat_of(head.from.door, member.incarnation, &member.now, now);
            let newer = Card {
                beat,
                address: member.address,
                name: member.name.clone(),
            };
            let mut writer = self.begin(now, Kind::Gossip, head.nonce);
            writer.add(&Section::Cards(vec![newer]));
            self.send(now, back, writer);
            return Err(Refused::Repeated);
        }
        if let Some(card) = &card {
            member.beat(&card.beat, now, interval);
            member.address = card.address;
        }
        if head.from.incarnation != member.incarnation {
            return Err(Refused::NoMember);
        }
        if !member.is_new(head.number) {
            return Err(Refused::Repeated);
        }
        member.proven(now);
        member.nonce = Some(head.nonce);
        self.age = None;
        let mut answer = Answer {
            welcome: head.number <= NEWCOMER,
            ..Answer::default()
        };
        for section in sections {
            self.take_section(now, section, &mut answer);
        }
        self.reply(now, head.from.door, answer);
        Ok(())
    }

    fn take_section(&mut self, now: Millis, section: Section, answer: &mut Answer) {
        match section {
            Section::Cards(cards) => {
                for card in cards {
                    if card.beat.life.door == self.id {
                        self.beat_of_mine(now, &card.beat);
                    } else if let Err(why) = self.meet(now, &card) {
                        self.refuse(why);
                    }
                }
            }
            Section::Digest(lines) => {
                for line in lines {
                    if let Some(known) = self.take_line(now, &line, answer) {
                        let want = Line { known, ..line };
                        answer
                            .want
                            .extend((line.known > known || known == 0).then_some(want));
                    }
                }
            }
            Section::Want(lines) => {
                for line in lines {
                    self.take_line(now, &line, answer);
                    // Whoever knows nothing of a door may not know its card either.
                    answer
                        .cards
                        .extend((line.known == 0).then_some(line.beat.life.door));
                }
            }
            Section::Counts(life, delta) => self.take_counts(now, life, &delta),
            Section::Text(..) | Section::Part(_) => {}
        }
    }

    /// Gets to know a door, or hears of it again.
    fn meet(&mut self, now: Millis, card: &Card) -> Result<(), Refused> {
        let (id, interval) = (card.beat.life.door, self.set.interval);
        if let Some(member) = self.others.get_mut(&id) {
            let moved = card.beat.life.incarnation > member.incarnation;
            member.beat(&card.beat, now, interval);
            if moved {
                member.address = card.address;
            }
            return Ok(());
        }
        // What was silent for so long is gone wherever it was heard of: it would go from door to door for ever.
        let old = card.beat.age as f64 > self.set.gone_after.max(self.set.horizon());
        if old || self.others.len() + 1 >= self.set.most_members {
            return Err(Refused::NoMember);
        }
        self.others.insert(
            id,
            Member::new(&card.name, card.address, &card.beat, now, interval),
        );
        Ok(())
    }

    /// Somebody tells of a life of this door's name.
    fn beat_of_mine(&mut self, now: Millis, beat: &Beat) {
        let mine = self.my_life();
        let impossible = beat.life == mine && beat.time > self.my_time(now).saturating_add(1000);
        if beat.life.incarnation > mine.incarnation || impossible {
            // Two processes that go on under one name would number each other up for ever.
            if self.renamed.is_some_and(|at| now - at < self.set.horizon()) {
                return;
            }
            self.renamed = Some(now);
            // A date that went back made this life's number smaller than an earlier one's, or two processes have one name.
            // What was counted under the old number stays there and is told on; a new number begins at nought.
            let number = beat.life.incarnation + 1;
            let old = self.my_beat(now);
            self.me.beat(&old, now, self.set.interval);
            let fresh = Beat {
                life: Life {
                    door: self.id,
                    incarnation: number,
                },
                time: 0,
                version: 0,
                age: 0,
            };
            self.me.beat(&fresh, now, self.set.interval);
            self.born = now;
            self.epoch = 0;
            self.gate = Gate::new(self.set.most_told, self.rng.next_u64());
            // Rumours of the old number go on as they are.
            self.tally.renamed += 1;
            if beat.life.incarnation > mine.incarnation {
                self.me.beat(beat, now, self.set.interval);
            }
            return;
        }
        if beat.life.incarnation < mine.incarnation {
            self.me.beat(beat, now, self.set.interval);
        }
    }

    /// Takes in a heartbeat and what the sender lacks; up to which version it is known here, unless it is over.
    fn take_line(&mut self, now: Millis, line: &Line, answer: &mut Answer) -> Option<u64> {
        let (life, interval) = (line.beat.life, self.set.interval);
        if life.door == self.id {
            if life != self.my_life() || line.beat.time > self.my_time(now) {
                self.beat_of_mine(now, &line.beat);
            }
        } else if let Some(member) = self.others.get_mut(&life.door) {
            member.beat(&line.beat, now, interval);
        } else {
            return Some(0);
        }
        let here = self
            .member(life.door)?
            .life(life.incarnation)?
            .replica
            .known();
        if here > line.known {
            answer.owed.push((life, line.known));
        }
        Some(here)
    }

    fn take_counts(&mut self, now: Millis, life: Life, delta: &Delta) {
        let mine = life == self.my_life();
        let kept = self.set.most_counts;
        let (mut counts, mut no_room) = (self.counts, 0);
        let mut news = Vec::new();
        let Some(known) = self
            .member_mut(life.door)
            .and_then(|member| member.life_mut(life.incarnation))
        else {
            return;
        };
        if mine {
            // Nobody knows more of this life than it does itself.
            return;
        }
        for told in &delta.counts {
            let before = known.replica.len();
            match known.replica.join(told, counts < kept) {
                Ok(Some(change)) => news.push((*told, change)),
                Ok(None) => {}
                Err(_) => no_room += 1,
            }
            counts += known.replica.len() - before;
        }
        if no_room == 0 && delta.up_to > 0 {
            known.replica.heard_all(delta.after, delta.up_to);
        }
        known.look_whether_complete();
        self.counts = counts;
        for _ in 0..no_room {
            self.refuse(Refused::NoRoom);
        }
        self.age = None;
        let rumour = delta.up_to == 0;
        for (told, change) in news {
            if told.customer != TAIL {
                self.heard
                    .add(now, told.customer, change.taken, change.returned);
            }
            if rumour {
                self.spread(
                    life,
                    told.epoch,
                    told.customer,
                    change.taken + change.returned,
                );
            }
        }
    }

    /// Sends what somebody lacks, and asks for what is lacking here.
    fn reply(&mut self, now: Millis, to: DoorId, answer: Answer) {
        let Some((address, Some(echo))) =
            self.others.get(&to).map(|peer| (peer.address, peer.nonce))
        else {
            return;
        };
        let Answer {
            mut owed,
            want,
            cards,
            welcome,
        } = answer;
        if owed.is_empty() && want.is_empty() && cards.is_empty() && !welcome {
            return;
        }
        // Whoever has much to hear of many hears of each in turn.
        for at in (1..owed.len()).rev() {
            owed.swap(at, below(&mut self.rng, at + 1));
        }
        let mut owed = VecDeque::from(owed);
        for datagram in 0..REPLIES {
            let mut writer = self.begin(now, Kind::Gossip, echo);
            if datagram == 0 {
                let most = writer.room() / 2 / wire::LINE_BYTES;
                writer.add(&Section::Want(want[..want.len().min(most)].to_vec()));
                for card in cards
                    .iter()
                    .take(CARDS)
                    .filter_map(|id| self.card_of(now, *id))
                {
                    writer.add(&Section::Cards(vec![card]));
                }
            } else if owed.is_empty() {
                break;
            }
            while let Some((life, after)) = owed.pop_front() {
                let known = self
                    .member(life.door)
                    .and_then(|member| member.life(life.incarnation));
                let Some(known) = known else { continue };
                let mut room = writer.room().saturating_sub(SECTION_HEAD);
                let delta = known.replica.delta(after, |told| {
                    let bytes = wire::bytes_of(told);
                    let fits = bytes <= room;
                    room = room.saturating_sub(bytes);
                    fits
                });
                let (up_to, whole) = (delta.up_to, delta.up_to == known.replica.known());
                if delta.up_to > delta.after && writer.room() > SECTION_HEAD {
                    writer.add(&Section::Counts(life, delta));
                }
                if !whole {
                    owed.push_front((life, up_to));
                    break;
                }
            }
            if datagram == 0 && welcome {
                self.add_cards(now, &mut writer, usize::MAX);
            }
            self.send(now, address, writer);
        }
    }

    /// An operator's question, from somebody who has the key and has heard this process's nonce.
    fn answer_ask(
        &mut self,
        now: Millis,
        from: SocketAddr,
        head: &Head,
        sections: &[Section],
    ) -> Result<(), Refused> {
        if head.echo != self.nonce {
            self.greet(now, from, head.nonce);
            return Err(Refused::Unproven);
        }
        let part = sections.iter().find_map(|section| match section {
            Section::Part(part) => Some(*part as usize),
            _ => None,
        });
        let part = part.ok_or(Refused::Absurd)?;
        if part == 0 {
            // The parts are of one moment: that of the first question.
            self.status = self.show(now, 50).json().into_bytes();
        }
        let parts = self.status.len().div_ceil(STATUS_PART);
        let text = self
            .status
            .chunks(STATUS_PART)
            .nth(part)
            .ok_or(Refused::Absurd)?
            .to_vec();
        let head = self.head(Kind::Told, head.nonce);
        let mut writer = Writer::new(&self.seal, &head, wire::MOST_DATAGRAM);
        writer.add(&Section::Text(parts as u32, text));
        self.send(now, from, writer);
        Ok(())
    }
}

/// Bytes before the counts of a section: kind, length, life, two versions.
const SECTION_HEAD: usize = 3 + 8 + 7 + 7 + 7;

/// Lets go of a life's epochs that are over by its own time; how many counts went.
fn forget_epochs(member: &mut Member, incarnation: u64, now: Millis, set: &Settings) -> usize {
    let Some(known) = member.life_mut(incarnation) else {
        return 0;
    };
    let present = epoch_of(known.own_time(now), set.epoch);
    known
        .replica
        .forget_before(present.saturating_sub(set.epochs_kept - 1))
}

/// A number drawn evenly from nought to one.
fn chance(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// A whole number drawn from those below `most`, which is not nought.
fn below(rng: &mut Pcg64Mcg, most: usize) -> usize {
    (chance(rng) * most as f64) as usize
}
