//! Clients: when they make requests, which proxy they choose, how they retry, and what an answer is worth.
//!
//! A client request is drawn before anything becomes of it, so that the load of a seed is the same under every policy. It earns
//! its value at most once.

use super::event::RunEvent;
use super::quota::customer;
use super::request::{ClientRequest, ProxyRequest};
use super::Run;
use maplefall_policy as policy;
use maplefall_policy::{Event, RequestId};

impl Run<'_> {
    /// Schedules the next client request and makes this one, until the end of the world.
    pub(super) fn schedule_next_request(&mut self) {
        let end = self.world.seconds * 1000.0;
        if self.now >= end {
            return;
        }
        let pause = self.random.exponential(1000.0 / self.rate);
        self.queue.push(self.now + pause, RunEvent::NextRequest);
        let customer = self.ranks.draw(&mut self.random);
        self.start_client_request(customer);
    }

    /// Begins a spike of a customer and schedules its next one.
    pub(super) fn start_spike(&mut self, customer: usize) {
        let demand = self.world.demand[self.groups[customer]].clone();
        let rate = self.settings.plans[self.customers[customer].plan].rate;
        let pause = 1000.0 * self.world.units / (rate * demand.spike).max(1e-9);
        let end = self.world.seconds * 1000.0;
        let until = (self.now + demand.spike_s * 1000.0).min(end);
        self.queue.push(
            self.now + self.random.exponential(pause),
            RunEvent::FloodRequest {
                customer,
                pause,
                until,
            },
        );
        let next = self.now + demand.every_s * 1000.0 * self.random.within([0.7, 1.3]);
        if next < end {
            self.queue.push(next, RunEvent::SpikeStart(customer));
        }
    }

    /// Draws a client request of a customer and sends it to a proxy.
    pub(super) fn start_client_request(&mut self, customer: usize) {
        let class = self.classes.draw(&mut self.random);
        // A geometric number of units with this mean, cut off at the most.
        let more = 1.0 - 1.0 / self.world.units;
        let mut units = 1.0;
        while units < self.world.max_units.floor() && self.random.one() < more {
            units += 1.0;
        }
        let spec = &self.world.class[class];
        let mean = spec.work_ms * units / self.world.units;
        let work = if spec.cv <= 0.0 {
            mean
        } else if (spec.cv - 1.0).abs() < 1e-9 {
            self.random.exponential(mean)
        } else {
            self.random.log_normal(mean, spec.cv)
        };
        let true_units = units;
        if self.world.estimate_cv > 0.0 {
            units = self
                .random
                .log_normal(units, self.world.estimate_cv)
                .round()
                .clamp(1.0, self.world.max_units);
        }
        let now = self.now;
        let plan = &self.settings.plans[self.customers[customer].plan];
        let ideal_bucket = &mut self.customers[customer].ideal_bucket;
        if ideal_bucket.has(now, plan.rate, plan.burst, units) {
            ideal_bucket.tokens = (ideal_bucket.tokens - true_units).min(plan.burst);
            self.offered_value += spec.value * plan.price * true_units;
            self.offered_value_by_plan[self.customers[customer].plan] +=
                spec.value * plan.price * true_units;
            if let Some(group) = self.groups.get(customer) {
                self.offered_by_demand[*group].0 += spec.value * plan.price * true_units;
                self.offered_by_demand[*group].1 += true_units;
            }
            self.offered_units += true_units;
        }
        self.outcome.client_requests += 1;
        let one = ClientRequest {
            started_at: now,
            customer,
            class,
            units,
            true_units,
            work,
            served: false,
            admitted: false,
        };
        self.client_requests.push(one);
        self.send_to_proxy(self.client_requests.len() - 1, 0, None);
    }

    /// The proxy that a request of a customer comes to: the busiest of its set at present, or another.
    pub(super) fn choose_proxy(&mut self, customer: usize, kept: Option<usize>) -> Option<usize> {
        let (spread, proxies, now) = (self.spread(customer), self.proxies.len(), self.now);
        let shifts = self.world.shift_s[1] > 0.0 && self.world.uneven > 0.0;
        if self.world.uneven > 0.0 && now >= self.customers[customer].busiest_until {
            let busiest = self.random.below(spread);
            let duration = if shifts {
                self.random.within(self.world.shift_s) * 1000.0
            } else {
                f64::INFINITY
            };
            let one = &mut self.customers[customer];
            (one.busiest, one.busiest_until) = (busiest, now + duration.max(1.0));
        }
        let (home, busiest, through) = {
            let one = &self.customers[customer];
            (one.home, one.busiest, one.through)
        };
        let from = if through > 0 {
            self.random.below(through.min(spread))
        } else if self.world.uneven > 0.0 && self.random.one() < self.world.uneven {
            busiest
        } else {
            self.random.below(spread)
        };
        // A proxy that is down takes nothing; its clients find another one of the customer's set.
        let set = (0..spread).map(|at| (home + (from + at) % spread) % proxies);
        kept.into_iter()
            .chain(set)
            .find(|proxy| self.proxies[*proxy].up && !self.proxies[*proxy].stopping)
    }

    /// Sends a client request, or a retry of it, to a proxy: to the one `kept` from before if it is up.
    pub(super) fn send_to_proxy(
        &mut self,
        client_request: usize,
        number: u32,
        kept: Option<usize>,
    ) {
        let one = self.client_requests[client_request].clone();
        let class = &self.world.class[one.class];
        let deadline = one.started_at + class.client_timeout_ms;
        if self.now >= deadline {
            return;
        }
        let Some(proxy) = self.choose_proxy(one.customer, kept) else {
            return self.schedule_retry(client_request, number, None, None);
        };
        self.outcome.proxy_requests += 1;
        self.next_proxy_request += 1;
        let id = self.next_proxy_request;
        let incarnation = self.proxies[proxy].incarnation;
        let one = ProxyRequest {
            client_request,
            number,
            proxy,
            incarnation,
            deadline,
            answered: false,
            attempts_sent: 0,
            pending_attempt: None,
            within_quota: false,
            executions: 0,
        };
        self.proxy_requests.insert(id, one);
        let delay = self.delay();
        self.queue
            .push(self.now + delay, RunEvent::ProxyReceives(id));
        self.queue.push(deadline, RunEvent::ClientTimeout(id));
    }

    /// Number of proxies that a customer's requests come through. A plan with a ceiling is spread over no more proxies than can
    /// admit two of the largest requests each; otherwise those could pass none of them.
    pub(super) fn spread(&self, customer: usize) -> usize {
        let configured = match self.world.spread {
            0 => self.proxies.len(),
            spread => spread.min(self.proxies.len()),
        };
        let rate_limit = self.settings.plans[self.customers[customer].plan].rate_limit;
        let fits = rate_limit.map_or(usize::MAX, |c| {
            (c.burst / (2.0 * self.world.max_units)) as usize
        });
        configured.min(fits.max(2)).min(self.proxies.len())
    }

    /// A client whose request was rejected tries again, if it has retries and time left.
    pub(super) fn schedule_retry(
        &mut self,
        client_request: usize,
        number: u32,
        advised: Option<f64>,
        proxy: Option<usize>,
    ) {
        if number < self.world.retries {
            let follows = self.world.honour >= 1.0 || self.random.one() < self.world.honour;
            let advised = advised.filter(|_| follows);
            let wait = advised.unwrap_or_else(|| self.random.within(self.world.backoff_ms));
            let keeps = self.world.sticky > 0.0 && self.random.one() < self.world.sticky;
            let again = RunEvent::Retry {
                client_request,
                number: number + 1,
                proxy: proxy.filter(|_| keeps),
            };
            self.queue.push(self.now + wait, again);
        }
    }

    /// A proxy was killed with a request in hand: its client notices and tries again.
    pub(super) fn lose_request(&mut self, id: u32) {
        let Some(one) = self.proxy_requests.get_mut(&id).filter(|one| !one.answered) else {
            return;
        };
        one.answered = true;
        let (client_request, number) = (one.client_request, one.number);
        self.outcome.lost += 1;
        self.proxy_requests.remove(&id);
        self.schedule_retry(client_request, number, None, None);
    }

    /// The client stops waiting: an unanswered request fails, and its proxy is notified.
    pub(super) fn expire_request(&mut self, id: u32) {
        let Some(one) = self.proxy_requests.get_mut(&id) else {
            return;
        };
        if one.answered {
            self.forget_request(id);
            return;
        }
        one.answered = true;
        self.outcome.failed += 1;
        let (proxy, incarnation) = (one.proxy, one.incarnation);
        if self.proxies[proxy].up && self.proxies[proxy].incarnation == incarnation {
            self.deliver_event(proxy, Event::ClientDisconnected(RequestId(id)));
        }
        self.forget_request(id);
    }

    /// Drops a request that is answered and has no pending attempt.
    pub(super) fn forget_request(&mut self, id: u32) {
        if self
            .proxy_requests
            .get(&id)
            .is_some_and(|one| one.answered && one.pending_attempt.is_none())
        {
            self.proxy_requests.remove(&id);
        }
    }

    /// Answers a request: served, rejected for a reason (with an advised delay in milliseconds), or else failed.
    pub(super) fn answer_client(
        &mut self,
        id: u32,
        served: bool,
        advised: Option<f64>,
        rejected: Option<policy::RejectReason>,
    ) {
        let Some(one) = self.proxy_requests.get_mut(&id) else {
            return;
        };
        if one.answered {
            self.outcome.duplicate_answers += 1;
            return;
        }
        one.answered = true;
        let (client_request, number, within_quota, proxy) =
            (one.client_request, one.number, one.within_quota, one.proxy);
        if served {
            self.record_served(client_request, within_quota);
        } else if let Some(reason) = rejected {
            self.record_rejected(client_request, reason);
            self.schedule_retry(client_request, number, advised, Some(proxy));
        } else {
            self.outcome.failed += 1;
        }
        self.forget_request(id);
    }

    /// Counts a served request; its value counts once, if it was within the quota and within the latency target.
    fn record_served(&mut self, client_request: usize, within_quota: bool) {
        self.outcome.served += 1;
        let request = &mut self.client_requests[client_request];
        let latency = self.now - request.started_at;
        self.times.add(latency);
        let class = &self.world.class[request.class];
        if within_quota && !request.served && latency <= class.latency_target_ms {
            let plan = self.customers[request.customer].plan;
            let value = class.value * self.settings.plans[plan].price * request.true_units;
            self.served_value += value;
            self.outcome.served_value_by_plan[plan] += value;
            if let Some(group) = self.groups.get(request.customer) {
                self.outcome.served_value_by_demand[*group] += value;
            }
            let second = (request.started_at / 1000.0) as usize;
            if let Some(value_of_second) = self.outcome.by_second.get_mut(second) {
                *value_of_second += value;
            }
        }
        request.served = true;
    }

    /// Counts a rejected request by reason, and whether the customer's true quota would have covered it.
    fn record_rejected(&mut self, client_request: usize, reason: policy::RejectReason) {
        self.outcome.rejected += 1;
        *self.outcome.rejections.entry(reason.name()).or_default() += 1;
        let ClientRequest {
            customer, units, ..
        } = self.client_requests[client_request];
        if self.has_quota(customer, units) {
            *self
                .outcome
                .rejected_within_quota
                .entry(reason.name())
                .or_default() += 1;
        }
    }

    /// Makes a request of a flood and schedules the next, until the flood's end.
    pub(super) fn continue_flood(&mut self, customer: usize, pause: f64, until: f64) {
        if self.now < until {
            let next = self.now + self.random.exponential(pause);
            self.queue.push(
                next,
                RunEvent::FloodRequest {
                    customer,
                    pause,
                    until,
                },
            );
            self.start_client_request(customer);
        } else {
            self.customers[customer].through = 0;
        }
    }

    /// Makes the request of a new customer and schedules the next one, until the end.
    pub(super) fn continue_one_shots(&mut self, pause: f64, until: f64) {
        if self.now < until {
            let next = self.now + self.random.exponential(pause);
            self.queue
                .push(next, RunEvent::OneShotRequest { pause, until });
            let plan = self.plans.draw(&mut self.random);
            let home = self.random.below(self.world.proxies);
            let one = customer(&self.settings, plan, home, self.now);
            self.customers.push(one);
            self.start_client_request(self.customers.len() - 1);
        }
    }
}
