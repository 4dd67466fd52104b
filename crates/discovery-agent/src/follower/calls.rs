//! Makes and closes the calls to the agent, and handles what they receive.

use super::{
    Call, Follower, CALL_TIMEOUT, HEARTBEAT_TIMEOUT, MAX_PROPAGATION_DELAY, MIN_RETRY_DELAY,
};
use crate::interface::{CallEnd, CallEvent, CallId, Output, Report, RequestKind, TrustReason};
use crate::parse::{parse_line, Line};
use maplefall_membership::Event;
use maplefall_policy::Millis;

/// The status of an overloaded agent.
const SERVICE_UNAVAILABLE: u16 = 503;

impl Follower {
    // ---- Timeouts -------------------------------------------------------------------------------

    /// Returns the time without received data after which a call is considered idle, and the agent
    /// is called a second time or the call is closed.
    pub(super) fn idle_timeout(&self, call: &Call) -> Millis {
        match (self.is_local, call.has_received_line) {
            (false, _) => CALL_TIMEOUT,
            (true, true) => HEARTBEAT_TIMEOUT,
            // The head of a response alone does not show that the agent works: it may be all that
            // was written.
            (true, false) => self.first_line_timeout,
        }
    }

    fn is_idle(&self, now: Millis, call: &Call) -> bool {
        now >= call.active_at + self.idle_timeout(call)
    }

    pub(super) fn close_idle_second_call(&mut self, now: Millis, out: &mut Vec<Output>) {
        if let Some(call) = self.second.filter(|call| self.is_idle(now, call)) {
            out.push(Output::CloseCall(call.id));
            self.second = None;
            self.next_address();
        }
    }

    /// Closes the main call after its timeout. The second call replaces it if there is one.
    pub(super) fn close_idle_main_call(&mut self, now: Millis, out: &mut Vec<Output>) {
        let is_timed_out = |call: &Call| now >= call.active_at + CALL_TIMEOUT;
        let Some(call) = self.main.filter(is_timed_out) else {
            return;
        };
        out.push(Output::CloseCall(call.id));
        self.emit_source_lost("no data before the timeout", out);
        self.main = self.second.take();
        if self.main.is_some() {
            return;
        }
        self.next_address();
        if self.is_local {
            self.next_call_at = Some(now);
        } else {
            self.schedule_call(now);
        }
    }

    /// Calls a local agent a second time if its main call is idle.
    pub(super) fn make_second_call(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.is_local || self.second.is_some() || now < self.next_second_call_at {
            return;
        }
        if let Some(main) = self.main.filter(|call| self.is_idle(now, call)) {
            if !main.has_received_line {
                self.next_address();
            }
            self.second = Some(self.make_call(now, out));
        }
    }

    // ---- Making calls ---------------------------------------------------------------------------

    fn next_address(&mut self) {
        self.address = (self.address + 1) % self.addresses.len().max(1);
    }

    pub(super) fn schedule_call(&mut self, now: Millis) {
        let delay = if self.is_local {
            self.first_line_timeout.min(MIN_RETRY_DELAY)
        } else {
            self.backoff.next_delay()
        };
        self.next_call_at = Some(now + delay);
    }

    pub(super) fn make_call(&mut self, now: Millis, out: &mut Vec<Output>) -> Call {
        self.last_call += 1;
        let id = CallId(self.last_call);
        // A call to an agent whose list is outdated continues from that list's version.
        let outdated_version = self.outdated.as_ref().map(|outdated| outdated.version);
        let what = match outdated_version.or(self.version) {
            Some(from) if !self.needs_complete_list => RequestKind::Watch(from),
            _ => RequestKind::CompleteList,
        };
        if let Some(address) = self.addresses.get(self.address) {
            out.push(Output::OpenCall {
                call: id,
                address: *address,
                request: what,
            });
        }
        Call {
            id,
            what,
            active_at: now,
            has_received_line: false,
        }
    }

    // ---- Receiving ------------------------------------------------------------------------------

    /// Handles an event of a call. Events of a closed call are ignored.
    pub fn handle_call_event(
        &mut self,
        now: Millis,
        call: CallId,
        event: CallEvent,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        if self.second.is_some_and(|second| second.id == call)
            && !self.handle_second_call_event(now, &event, &mut out)
        {
            return out;
        }
        let Some(main) = self.main.as_mut().filter(|main| main.id == call) else {
            return out;
        };
        match event {
            CallEvent::ResponseStarted => main.active_at = now,
            CallEvent::Line(text) => {
                main.active_at = now;
                let is_first_line = !std::mem::replace(&mut main.has_received_line, true);
                self.handle_line(now, call, is_first_line, &text, &mut out);
            }
            CallEvent::Ended(end) => self.handle_main_call_end(now, end, &mut out),
        }
        out
    }

    /// Handles an event of the second call. Returns whether the call has replaced the main one,
    /// because it received a line first.
    fn handle_second_call_event(
        &mut self,
        now: Millis,
        event: &CallEvent,
        out: &mut Vec<Output>,
    ) -> bool {
        match event {
            CallEvent::Line(_) => {
                if let Some(main) = std::mem::replace(&mut self.main, self.second.take()) {
                    out.push(Output::CloseCall(main.id));
                }
                true
            }
            // The head of a response alone does not show that the agent works.
            CallEvent::ResponseStarted => false,
            CallEvent::Ended(_) => {
                // A refused call takes no time: without a delay it would be repeated in a busy
                // loop.
                self.next_second_call_at = now + self.first_line_timeout;
                self.second = None;
                self.next_address();
                false
            }
        }
    }

    /// Handles a line of the main call.
    fn handle_line(
        &mut self,
        now: Millis,
        call: CallId,
        is_first_line: bool,
        text: &[u8],
        out: &mut Vec<Output>,
    ) {
        let was_interrupted = std::mem::take(&mut self.was_interrupted);
        let has_gap = was_interrupted || now - self.last_line_at > HEARTBEAT_TIMEOUT;
        self.last_line_at = now;
        if let Some(second) = self.second.take() {
            out.push(Output::CloseCall(second.id));
        }
        if let Some(outdated) = self.outdated.as_mut().filter(|_| has_gap) {
            outdated.received_since = now;
        }
        self.backoff.reset();
        match parse_line(text) {
            Ok(Line::Heartbeat) => {
                self.is_outage_reported = false;
                out.push(Output::Event(Event::Resumed {
                    source: self.source,
                }));
            }
            Ok(Line::Update(update)) => {
                self.is_outage_reported = false;
                self.apply_update(now, is_first_line, &update, out);
            }
            Err(error) => {
                out.push(Output::CloseCall(call));
                self.handle_main_call_end(now, CallEnd::MalformedLine(error.to_string()), out);
            }
        }
        let outdated = self.outdated.as_ref();
        if outdated.is_some_and(|outdated| now - outdated.received_since >= MAX_PROPAGATION_DELAY) {
            let reason = TrustReason::ReceivedWithoutGap(MAX_PROPAGATION_DELAY);
            self.trust_outdated_list(now, reason, out);
        }
    }

    fn handle_main_call_end(&mut self, now: Millis, end: CallEnd, out: &mut Vec<Output>) {
        let Some(call) = self.main.take() else {
            return;
        };
        if call.what == RequestKind::CompleteList
            && call.has_received_line
            && end == CallEnd::Complete
        {
            // The complete list was received; a watch continues from it.
            self.main = Some(self.make_call(now, out));
            return;
        }
        let reason = match end {
            CallEnd::Complete => "closed".to_owned(),
            CallEnd::ConnectionFailed(reason) => reason,
            CallEnd::Status(status) => {
                // Another status means that the agent does not have the version: the complete list
                // is requested. It is not requested from an overloaded agent, which it costs more
                // than changes.
                self.needs_complete_list |= status != SERVICE_UNAVAILABLE;
                format!("status {status}")
            }
            CallEnd::MalformedLine(reason) => {
                self.needs_complete_list = true;
                reason
            }
        };
        self.emit_source_lost(&reason, out);
        if !call.has_received_line {
            self.next_address();
        }
        self.main = self.second.take();
        if self.main.is_none() {
            self.schedule_call(now);
        }
    }

    /// Emits the loss of the source, and reports it once per outage.
    fn emit_source_lost(&mut self, reason: &str, out: &mut Vec<Output>) {
        self.was_interrupted = true;
        out.push(Output::Event(Event::Lost {
            source: self.source,
        }));
        if !std::mem::replace(&mut self.is_outage_reported, true) {
            out.push(Output::Report(Report::WatchEnded(reason.to_owned())));
        }
    }
}
