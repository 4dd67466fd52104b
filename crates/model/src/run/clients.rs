//! Clients.

use super::event::Happens;
use super::request::{First, Try};
use super::Run;
use maplefall_policy as policy;
use maplefall_policy::{Event, RequestId};

impl Run<'_> {
    pub(super) fn ask(&mut self) {
        let end = self.world.seconds * 1000.0;
        if self.now >= end {
            return;
        }
        let pause = self.dice.exponential(1000.0 / self.rate);
        self.queue.push(self.now + pause, Happens::Ask);
        let customer = self.ranks.draw(&mut self.dice);
        self.ask_for(customer);
    }

    pub(super) fn spike(&mut self, customer: usize) {
        let demand = self.world.demand[self.groups[customer]].clone();
        let rate = self.settings.plans[self.customers[customer].plan].rate;
        let pause = 1000.0 * self.world.units / (rate * demand.spike).max(1e-9);
        let end = self.world.seconds * 1000.0;
        let until = (self.now + demand.spike_s * 1000.0).min(end);
        self.queue.push(
            self.now + self.dice.exponential(pause),
            Happens::Flood {
                customer,
                pause,
                until,
            },
        );
        let next = self.now + demand.every_s * 1000.0 * self.dice.within([0.7, 1.3]);
        if next < end {
            self.queue.push(next, Happens::Spike(customer));
        }
    }

    /// A first try of a customer.
    pub(super) fn ask_for(&mut self, customer: usize) {
        let class = self.classes.draw(&mut self.dice);
        // A geometric number of units with this mean, cut off at the most.
        let more = 1.0 - 1.0 / self.world.units;
        let mut units = 1.0;
        while units < self.world.most_units.floor() && self.dice.one() < more {
            units += 1.0;
        }
        let spec = &self.world.class[class];
        let mean = spec.work_ms * units / self.world.units;
        let work = if spec.cv <= 0.0 {
            mean
        } else if (spec.cv - 1.0).abs() < 1e-9 {
            self.dice.exponential(mean)
        } else {
            self.dice.log_normal(mean, spec.cv)
        };
        let true_units = units;
        if self.world.guess_cv > 0.0 {
            units = self
                .dice
                .log_normal(units, self.world.guess_cv)
                .round()
                .clamp(1.0, self.world.most_units);
        }
        let now = self.now;
        let plan = &self.settings.plans[self.customers[customer].plan];
        let ideal = &mut self.customers[customer].ideal;
        if ideal.holds(now, plan.rate, plan.burst, units) {
            ideal.left = (ideal.left - true_units).min(plan.burst);
            self.offered += spec.worth * plan.price * true_units;
            self.offered_by_plan[self.customers[customer].plan] +=
                spec.worth * plan.price * true_units;
            if let Some(group) = self.groups.get(customer) {
                self.offered_by_demand[*group].0 += spec.worth * plan.price * true_units;
                self.offered_by_demand[*group].1 += true_units;
            }
            self.offered_units += true_units;
        }
        self.outcome.first_tries += 1;
        let one = First {
            asked: now,
            customer,
            class,
            units,
            true_units,
            work,
            served: false,
            let_in: false,
        };
        self.firsts.push(one);
        self.begin_try(self.firsts.len() - 1, 0, None);
    }

    /// The door that a request of a customer comes to: the busiest of its set at present, or another.
    pub(super) fn door_for(&mut self, customer: usize, kept: Option<usize>) -> Option<usize> {
        let (spread, doors, now) = (self.spread(customer), self.doors.len(), self.now);
        let shifts = self.world.shift_s[1] > 0.0 && self.world.uneven > 0.0;
        if self.world.uneven > 0.0 && now >= self.customers[customer].until {
            let busiest = self.dice.below(spread);
            let lasts = if shifts {
                self.dice.within(self.world.shift_s) * 1000.0
            } else {
                f64::INFINITY
            };
            let one = &mut self.customers[customer];
            (one.busiest, one.until) = (busiest, now + lasts.max(1.0));
        }
        let (home, busiest, through) = {
            let one = &self.customers[customer];
            (one.home, one.busiest, one.through)
        };
        let from = if through > 0 {
            self.dice.below(through.min(spread))
        } else if self.world.uneven > 0.0 && self.dice.one() < self.world.uneven {
            busiest
        } else {
            self.dice.below(spread)
        };
        // A door that is down takes nothing; its clients find another one of the customer's set.
        let set = (0..spread).map(|at| (home + (from + at) % spread) % doors);
        kept.into_iter()
            .chain(set)
            .find(|door| self.doors[*door].up && !self.doors[*door].stopping)
    }

    pub(super) fn begin_try(&mut self, first: usize, number: u32, kept: Option<usize>) {
        let one = self.firsts[first].clone();
        let class = &self.world.class[one.class];
        let last = one.asked + class.give_up_ms;
        if self.now >= last {
            return;
        }
        let Some(door) = self.door_for(one.customer, kept) else {
            return self.come_back(first, number, None, None);
        };
        self.outcome.tries += 1;
        self.next_try += 1;
        let id = self.next_try;
        let life = self.doors[door].life;
        let one = Try {
            first,
            number,
            door,
            life,
            deadline: last,
            answered: false,
            sends: 0,
            out: None,
            inside: false,
            ran: 0,
        };
        self.tries.insert(id, one);
        let delay = self.delay();
        self.queue.push(self.now + delay, Happens::Come(id));
        self.queue.push(last, Happens::GiveUp(id));
    }

    /// Doors that a customer's requests come through. Where its plan has a ceiling no more than hold two of the largest requests
    /// each: else these could go through none of them.
    pub(super) fn spread(&self, customer: usize) -> usize {
        let most = match self.world.spread {
            0 => self.doors.len(),
            spread => spread.min(self.doors.len()),
        };
        let ceiling = self.settings.plans[self.customers[customer].plan].ceiling;
        let fits = ceiling.map_or(usize::MAX, |c| {
            (c.burst / (2.0 * self.world.most_units)) as usize
        });
        most.min(fits.max(2)).min(self.doors.len())
    }

    /// A client whose try was turned away tries again, if it has tries and time left.
    pub(super) fn come_back(
        &mut self,
        first: usize,
        number: u32,
        advised: Option<f64>,
        door: Option<usize>,
    ) {
        if number < self.world.retries {
            let follows = self.world.honour >= 1.0 || self.dice.one() < self.world.honour;
            let advised = advised.filter(|_| follows);
            let wait = advised.unwrap_or_else(|| self.dice.within(self.world.backoff_ms));
            let keeps = self.world.sticky > 0.0 && self.dice.one() < self.world.sticky;
            let again = Happens::Again {
                first,
                number: number + 1,
                door: door.filter(|_| keeps),
            };
            self.queue.push(self.now + wait, again);
        }
    }

    /// A door was killed with a try in hand: its client notices and tries again.
    pub(super) fn lose(&mut self, id: u32) {
        let Some(one) = self.tries.get_mut(&id).filter(|one| !one.answered) else {
            return;
        };
        one.answered = true;
        let (first, number) = (one.first, one.number);
        self.outcome.lost += 1;
        self.tries.remove(&id);
        self.come_back(first, number, None, None);
    }

    pub(super) fn give_up(&mut self, id: u32) {
        let Some(one) = self.tries.get_mut(&id) else {
            return;
        };
        if one.answered {
            self.forget(id);
            return;
        }
        one.answered = true;
        self.outcome.failed += 1;
        let (door, life) = (one.door, one.life);
        if self.doors[door].up && self.doors[door].life == life {
            self.tell(door, Event::ClientGone(RequestId(id)));
        }
        self.forget(id);
    }

    /// Lets go of a try that is answered and has no attempt out.
    pub(super) fn forget(&mut self, id: u32) {
        if self
            .tries
            .get(&id)
            .is_some_and(|one| one.answered && one.out.is_none())
        {
            self.tries.remove(&id);
        }
    }

    pub(super) fn answer(
        &mut self,
        id: u32,
        served: bool,
        advised: Option<f64>,
        refused: Option<policy::Reason>,
    ) {
        let Some(one) = self.tries.get_mut(&id) else {
            return;
        };
        if one.answered {
            self.outcome.doubled += 1;
            return;
        }
        one.answered = true;
        let (first, number, inside, door) = (one.first, one.number, one.inside, one.door);
        if served {
            self.outcome.served += 1;
            let took = self.now - self.firsts[first].asked;
            self.times.add(took);
            let one = &mut self.firsts[first];
            let spec = &self.world.class[one.class];
            if inside && !one.served && took <= spec.aim_ms {
                let price = self.settings.plans[self.customers[one.customer].plan].price;
                let worth = spec.worth * price * one.true_units;
                self.gained += worth;
                self.outcome.worth_by_plan[self.customers[one.customer].plan] += worth;
                if let Some(group) = self.groups.get(one.customer) {
                    self.outcome.worth_by_demand[*group] += worth;
                }
                if let Some(second) = self
                    .outcome
                    .by_second
                    .get_mut((one.asked / 1000.0) as usize)
                {
                    *second += worth;
                }
            }
            one.served = true;
        } else if let Some(reason) = refused {
            self.outcome.refused += 1;
            *self.outcome.refusals.entry(reason.name()).or_default() += 1;
            let (customer, units) = (self.firsts[first].customer, self.firsts[first].units);
            if self.holds(customer, units) {
                *self
                    .outcome
                    .refused_with_room
                    .entry(reason.name())
                    .or_default() += 1;
            }
            self.come_back(first, number, advised, Some(door));
        } else {
            self.outcome.failed += 1;
        }
        self.forget(id);
    }
}
