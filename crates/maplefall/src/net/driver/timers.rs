//! Timers: what becomes due, in the order of its time, and the task that waits for it.
//!
//! Invariant: the task sleeps until the earliest timer that still means something. A timer set before it wakes the task.

use super::state::{PendingRequest, State};
use super::Driver;
use maplefall_policy::{Event, Millis, Outcome, RequestId, TimerId};
use maplefall_protocol::{EndedAttempt, FinalResponse};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// The fraction of the time of a call that is kept at most for a status that may leave late.
const MAX_RESERVE_FRACTION: f64 = 0.1;

/// What becomes due.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// An alarm of the decision module.
    Alarm(TimerId),
    /// The timeout of a request's attempt of this number.
    AttemptTimeout(RequestId, u32),
    /// The client of a request stops waiting.
    Deadline(RequestId),
}

impl TimerEvent {
    /// Whether there is nothing left to do for it. What an alarm means only the decision module knows: it always fires.
    fn is_stale(self, requests: &HashMap<RequestId, PendingRequest>) -> bool {
        match self {
            TimerEvent::Alarm(_) => false,
            TimerEvent::Deadline(id) => requests
                .get(&id)
                .is_none_or(|request| request.answer_sender.is_none()),
            TimerEvent::AttemptTimeout(id, number) => requests
                .get(&id)
                .and_then(|request| request.in_flight.as_ref())
                .is_none_or(|attempt| attempt.number != number),
        }
    }
}

/// An entry of the queue; of two for one time, the one that was set first comes first.
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

/// What the queue has next.
enum NextTimer {
    /// Nothing is set.
    None,
    /// Nothing is due before this time.
    At(Millis),
    /// This is due, and was taken out of the queue.
    Due(TimerEvent),
}

impl TimerQueue {
    /// Sets a timer; `true` if it comes before all others.
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

    /// Takes out the earliest timer if it is due.
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
    /// Drops the earliest timers as long as nothing is left to do for them, so that nobody wakes for them: most requests are
    /// finished long before their deadlines.
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
    /// Sets a timer, and wakes the task if it comes before all others.
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

    /// A timer that was set for `due` has woken the task.
    fn record_wakeup(&self, due: Millis) {
        let mut delay = self.scheduling_delay.get();
        delay.record(self.clock.now(), due);
        self.scheduling_delay.set(delay);
    }

    /// How much earlier than its deadline a call is to end, so that its status leaves in time: as late as timers have run of late, by
    /// other processes on the machine. `time_left` is the call's.
    pub fn status_reserve(&self, time_left: Millis) -> Millis {
        let delay = self.scheduling_delay.get().current(self.clock.now());
        delay.min(MAX_RESERVE_FRACTION * time_left)
    }

    fn handle_timer(self: &Rc<Self>, now: Millis, event: TimerEvent) {
        match event {
            TimerEvent::Alarm(timer) => self.post(now, Event::Timer(timer)),
            TimerEvent::AttemptTimeout(id, number) => self.handle_timeout(now, id, number),
            TimerEvent::Deadline(id) => self.handle_deadline(now, id),
        }
    }

    fn handle_timeout(self: &Rc<Self>, now: Millis, id: RequestId, number: u32) {
        // A stream that has begun is not given up for its length: its client's deadline ends it.
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
        // The decision module answers before this; a request that it still keeps must not stay without an answer.
        let unanswered = self.state.borrow().is_unanswered(id);
        if unanswered {
            self.send_answer(id, FinalResponse::Failed);
            self.post(now, Event::ClientDisconnected(id));
        }
    }
}
