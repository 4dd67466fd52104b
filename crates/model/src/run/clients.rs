//! Clients: when they make requests, which proxy they choose, how they retry, and what a response
//! is worth.
//!
//! All properties of a client request are drawn when it is made, before any policy decides on it.
//! A client request earns its value at most once.

use super::event::RunEvent;
use super::quota::customer;
use super::request::{ClientRequest, ProxyRequest};
use super::Run;
use maplefall_policy as policy;
use maplefall_policy::{Event, RequestId};

impl Run<'_> {
    /// Makes a client request and schedules the next one, until the horizon.
    pub(super) fn schedule_next_request(&mut self) {
        let end = self.world.seconds * 1000.0;
        if self.now >= end {
            return;
        }
        let gap = self.random.exponential(1000.0 / self.rate);
        self.queue.push(self.now + gap, RunEvent::NextRequest);
        let customer = self.ranks.draw(&mut self.random);
        self.start_client_request(customer);
    }

    /// Starts a spike of a customer and schedules its next one.
    pub(super) fn start_spike(&mut self, customer: usize) {
        let demand = self.world.demand[self.groups[customer]].clone();
        let rate = self.settings.plans[self.customers[customer].plan].rate;
        let mean_gap = 1000.0 * self.world.units / (rate * demand.spike).max(1e-9);
        let end = self.world.seconds * 1000.0;
        let until = (self.now + demand.spike_s * 1000.0).min(end);
        self.queue.push(
            self.now + self.random.exponential(mean_gap),
            RunEvent::FloodRequest {
                customer,
                mean_gap,
                until,
            },
        );
        let next = self.now + demand.every_s * 1000.0 * self.random.uniform_within([0.7, 1.3]);
        if next < end {
            self.queue.push(next, RunEvent::SpikeStart(customer));
        }
    }

    /// Draws a client request of a customer and sends it to a proxy.
    pub(super) fn start_client_request(&mut self, customer: usize) {
        let class = self.classes.draw(&mut self.random);
        // The units are geometrically distributed with this mean, truncated at `max_units`.
        let continue_probability = 1.0 - 1.0 / self.world.units;
        let mut units = 1.0;
        while units < self.world.max_units.floor() && self.random.uniform() < continue_probability {
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
        if ideal_bucket.has_tokens(now, plan.rate, plan.burst, units) {
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
        let request = ClientRequest {
            started_at: now,
            customer,
            class,
            units,
            true_units,
            work,
            served: false,
            admitted: false,
        };
        self.client_requests.push(request);
        self.send_to_proxy(self.client_requests.len() - 1, 0, None);
    }

    /// Chooses the proxy of a customer's request: the currently busiest of the customer's set, or
    /// another one.
    pub(super) fn choose_proxy(&mut self, customer: usize, kept: Option<usize>) -> Option<usize> {
        let (spread, proxies, now) = (self.spread(customer), self.proxies.len(), self.now);
        let shifts = self.world.shift_s[1] > 0.0 && self.world.uneven > 0.0;
        if self.world.uneven > 0.0 && now >= self.customers[customer].busiest_until {
            let busiest = self.random.uniform_below(spread);
            let duration = if shifts {
                self.random.uniform_within(self.world.shift_s) * 1000.0
            } else {
                f64::INFINITY
            };
            let customer_state = &mut self.customers[customer];
            (customer_state.busiest, customer_state.busiest_until) =
                (busiest, now + duration.max(1.0));
        }
        let (home, busiest, flood_spread) = {
            let customer_state = &self.customers[customer];
            (
                customer_state.home,
                customer_state.busiest,
                customer_state.flood_spread,
            )
        };
        let from = if flood_spread > 0 {
            self.random.uniform_below(flood_spread.min(spread))
        } else if self.world.uneven > 0.0 && self.random.uniform() < self.world.uneven {
            busiest
        } else {
            self.random.uniform_below(spread)
        };
        // A proxy that is down or stopping accepts nothing; clients go to the next one of the
        // customer's set.
        let set = (0..spread).map(|at| (home + (from + at) % spread) % proxies);
        kept.into_iter()
            .chain(set)
            .find(|proxy| self.proxies[*proxy].up && !self.proxies[*proxy].stopping)
    }

    /// Sends a client request, or a retry of it, to a proxy: to `kept`, the one of the previous
    /// try, if that is up.
    pub(super) fn send_to_proxy(
        &mut self,
        client_request: usize,
        number: u32,
        kept: Option<usize>,
    ) {
        let request = self.client_requests[client_request].clone();
        let class = &self.world.class[request.class];
        let deadline = request.started_at + class.client_timeout_ms;
        if self.now >= deadline {
            return;
        }
        let Some(proxy) = self.choose_proxy(request.customer, kept) else {
            return self.schedule_retry(client_request, number, None, None);
        };
        self.outcome.proxy_requests += 1;
        self.next_proxy_request += 1;
        let id = self.next_proxy_request;
        let incarnation = self.proxies[proxy].incarnation;
        let proxy_request = ProxyRequest {
            client_request,
            number,
            proxy,
            incarnation,
            deadline,
            completed: false,
            attempts_sent: 0,
            pending_attempt: None,
            within_quota: false,
            executions: 0,
        };
        self.proxy_requests.insert(id, proxy_request);
        let delay = self.delay();
        self.queue
            .push(self.now + delay, RunEvent::ProxyReceives(id));
        self.queue.push(deadline, RunEvent::ClientTimeout(id));
    }

    /// Returns the number of proxies that a customer's requests come through. A plan with a hard
    /// rate limit is spread over no more proxies than can admit two of the largest requests each;
    /// otherwise a proxy could not admit a single one.
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

    /// Schedules a retry of a client request that was rejected or lost, if retries are left.
    pub(super) fn schedule_retry(
        &mut self,
        client_request: usize,
        number: u32,
        advised: Option<f64>,
        proxy: Option<usize>,
    ) {
        if number < self.world.retries {
            let follows = self.world.honour >= 1.0 || self.random.uniform() < self.world.honour;
            let advised = advised.filter(|_| follows);
            let wait = advised.unwrap_or_else(|| self.random.uniform_within(self.world.backoff_ms));
            let keeps = self.world.sticky > 0.0 && self.random.uniform() < self.world.sticky;
            let again = RunEvent::Retry {
                client_request,
                number: number + 1,
                proxy: proxy.filter(|_| keeps),
            };
            self.queue.push(self.now + wait, again);
        }
    }

    /// Handles a request that was pending at a proxy when it stopped: the client notices and
    /// retries.
    pub(super) fn lose_request(&mut self, id: u32) {
        let Some(request) = self
            .proxy_requests
            .get_mut(&id)
            .filter(|request| !request.completed)
        else {
            return;
        };
        request.completed = true;
        let (client_request, number) = (request.client_request, request.number);
        self.outcome.lost += 1;
        self.proxy_requests.remove(&id);
        self.schedule_retry(client_request, number, None, None);
    }

    /// Handles a client's timeout: an uncompleted request fails, and its proxy is notified.
    pub(super) fn expire_request(&mut self, id: u32) {
        let Some(request) = self.proxy_requests.get_mut(&id) else {
            return;
        };
        if request.completed {
            self.forget_request(id);
            return;
        }
        request.completed = true;
        self.outcome.failed += 1;
        let (proxy, incarnation) = (request.proxy, request.incarnation);
        if self.proxies[proxy].up && self.proxies[proxy].incarnation == incarnation {
            self.deliver_event(proxy, Event::ClientDisconnected(RequestId(id)));
        }
        self.forget_request(id);
    }

    /// Drops a request that is completed and has no pending attempt.
    pub(super) fn forget_request(&mut self, id: u32) {
        if self
            .proxy_requests
            .get(&id)
            .is_some_and(|request| request.completed && request.pending_attempt.is_none())
        {
            self.proxy_requests.remove(&id);
        }
    }

    /// Completes a request: served, rejected for a reason (with an advised retry delay in
    /// milliseconds), or else failed.
    pub(super) fn complete_request(
        &mut self,
        id: u32,
        served: bool,
        advised: Option<f64>,
        rejected: Option<policy::RejectReason>,
    ) {
        let Some(request) = self.proxy_requests.get_mut(&id) else {
            return;
        };
        if request.completed {
            self.outcome.duplicate_responses += 1;
            return;
        }
        request.completed = true;
        let (client_request, number, within_quota, proxy) = (
            request.client_request,
            request.number,
            request.within_quota,
            request.proxy,
        );
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

    /// Counts a served request; its value counts once, if it was within the quota and within the
    /// latency target.
    fn record_served(&mut self, client_request: usize, within_quota: bool) {
        self.outcome.served += 1;
        let request = &mut self.client_requests[client_request];
        let latency = self.now - request.started_at;
        self.latencies.add(latency);
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

    /// Counts a rejected request by reason, and whether the customer's true quota would have
    /// covered it.
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

    /// Makes a request of a flood or a spike and schedules the next one, until it ends.
    pub(super) fn continue_flood(&mut self, customer: usize, mean_gap: f64, until: f64) {
        if self.now < until {
            let next = self.now + self.random.exponential(mean_gap);
            self.queue.push(
                next,
                RunEvent::FloodRequest {
                    customer,
                    mean_gap,
                    until,
                },
            );
            self.start_client_request(customer);
        } else {
            self.customers[customer].flood_spread = 0;
        }
    }

    /// Makes the request of a new one-shot customer and schedules the next one, until the fault
    /// ends.
    pub(super) fn continue_one_shots(&mut self, mean_gap: f64, until: f64) {
        if self.now < until {
            let next = self.now + self.random.exponential(mean_gap);
            self.queue
                .push(next, RunEvent::OneShotRequest { mean_gap, until });
            let plan = self.plans.draw(&mut self.random);
            let home = self.random.uniform_below(self.world.proxies);
            let new_customer = customer(&self.settings, plan, home, self.now);
            self.customers.push(new_customer);
            self.start_client_request(self.customers.len() - 1);
        }
    }
}
