//! Timers of requests, attempts and the decision module, and the task that waits for them.
//!
//! Invariant: the task sleeps until the earliest timer that is not stale. A timer set before that
//! one wakes the task.

use super::state::{PendingRequest, State};
use super::Driver;
use maplefall_policy::{Event, Millis, Outcome, RequestId, TimerId};
use maplefall_protocol::{EndedAttempt, FinalResponse};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// Maximum fraction of a call's remaining time by which the call ends early, so that its status is
/// sent before the client's deadline.
const MAX_RESERVE_FRACTION: f64 = 0.1;

/// The kind of a timer.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// A timer of the decision module.
    PolicyTimer(TimerId),
    /// The timeout of a request's attempt, by the attempt's number.
    AttemptTimeout(RequestId, u32),
    /// The deadline of a request: its client stops waiting.
    Deadline(RequestId),
}

impl TimerEvent {
    /// Returns whether the timer has nothing left to do. A timer of the decision module always
    /// fires, because only the module knows its purpose.
    fn is_stale(self, requests: &HashMap<RequestId, PendingRequest>) -> bool {
        match self {
            TimerEvent::PolicyTimer(_) => false,
            TimerEvent::Deadline(id) => requests
                .get(&id)
                .is_none_or(|request| request.response_sender.is_none()),
            TimerEvent::AttemptTimeout(id, number) => requests
                .get(&id)
                .and_then(|request| request.in_flight.as_ref())
                .is_none_or(|attempt| attempt.number != number),
        }
    }
}

/// An entry of the queue. Timers for the same time fire in the order in which they were set.
#[derive(Clone, Copy, Debug)]
struct Timer {
    at: Millis,
    sequence: u64,
    event: TimerEvent,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

/// All timers, the earliest first.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<Timer>>,
    last_sequence: u64,
}

/// The state of the queue at a given time.
enum NextTimer {
    /// The queue is empty.
    None,
    /// No timer is due before this time.
    At(Millis),
    /// This timer is due and has been removed from the queue.
    Due(TimerEvent),
}

impl TimerQueue {
    /// Sets a timer; `true` if it is the earliest.
    fn set(&mut self, at: Millis, event: TimerEvent) -> bool {
        let is_earliest = self.heap.peek().is_none_or(|Reverse(first)| at < first.at);
        self.last_sequence += 1;
        self.heap.push(Reverse(Timer {
            at,
            sequence: self.last_sequence,
            event,
        }));
        is_earliest
    }

    /// Removes the earliest timer if it is due.
    fn next(&mut self, now: Millis) -> NextTimer {
        let Some(Reverse(first)) = self.heap.peek().copied() else {
            return NextTimer::None;
        };
        if first.at > now {
            return NextTimer::At(first.at);
        }
        self.heap.pop();
        NextTimer::Due(first.event)
    }
}

impl State {
    /// Drops stale timers from the front of the queue, so that they do not wake the task: most
    /// requests finish long before their deadlines.
    fn discard_stale_timers(&mut self) {
        while let Some(Reverse(first)) = self.timers.heap.peek() {
            if !first.event.is_stale(&self.requests) {
                return;
            }
            self.timers.heap.pop();
        }
    }
}

impl Driver {
    /// Sets a timer, and wakes the task if it is the earliest.
    pub(super) fn set_timer(&self, at: Millis, event: TimerEvent) {
        if self.state.borrow_mut().timers.set(at, event) {
            self.timer_advanced.notify_one();
        }
    }

    /// Handles each timer when it becomes due, for as long as the process runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let next = {
                let mut state = self.state.borrow_mut();
                state.discard_stale_timers();
                state.timers.next(now)
            };
            match next {
                NextTimer::Due(event) => self.handle_timer(now, event),
                NextTimer::At(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => self.record_wakeup(at),
                    () = self.timer_advanced.notified() => {}
                },
                NextTimer::None => self.timer_advanced.notified().await,
            }
        }
    }

    /// Records that the timer set for `due` has woken the task.
    fn record_wakeup(&self, due: Millis) {
        let mut delay = self.scheduling_delay.get();
        delay.record(self.clock.now(), due);
        self.scheduling_delay.set(delay);
    }

    /// How much earlier than its deadline a call must end so that its status is sent in time: the
    /// recent delay of timers, which other processes on the machine cause. `time_left` is the time
    /// until the call's deadline.
    pub fn status_reserve(&self, time_left: Millis) -> Millis {
        let delay = self.scheduling_delay.get().current(self.clock.now());
        delay.min(MAX_RESERVE_FRACTION * time_left)
    }

    fn handle_timer(self: &Rc<Self>, now: Millis, event: TimerEvent) {
        match event {
            TimerEvent::PolicyTimer(timer) => self.post(now, Event::Timer(timer)),
            TimerEvent::AttemptTimeout(id, number) => self.handle_timeout(now, id, number),
            TimerEvent::Deadline(id) => self.handle_deadline(now, id),
        }
    }

    fn handle_timeout(self: &Rc<Self>, now: Millis, id: RequestId, number: u32) {
        // A stream whose response has started is not timed out: the client's deadline ends it.
        let deadline_of_stream = self
            .state
            .borrow()
            .requests
            .get(&id)
            .filter(|request| request.response_started && request.deadline > now)
            .map(|request| request.deadline);
        match deadline_of_stream {
            Some(deadline) => self.set_timer(deadline, TimerEvent::AttemptTimeout(id, number)),
            None => {
                self.finish_attempt(id, number, EndedAttempt::without_response(Outcome::Timeout))
            }
        }
    }

    fn handle_deadline(self: &Rc<Self>, now: Millis, id: RequestId) {
        // The decision module normally ends the request earlier; a request that is still pending
        // must get a response.
        let pending = self.state.borrow().awaits_response(id);
        if pending {
            self.send_response(id, FinalResponse::Failed);
            self.post(now, Event::ClientDisconnected(id));
        }
    }
}
