//! How operators send calls, follow redirects, and back off.

use super::{Activity, Operators, SentCall, CALL_TIMEOUT};
use crate::simulation::Millis;
use maplefall_controller::core::{Call, CallResponse};

impl Operators {
    pub(super) fn send(&mut self, operator: usize, amendment: Option<usize>) {
        (
            self.operators[operator].amendment,
            self.operators[operator].attempts,
        ) = (amendment, 0);
        self.attempt(operator);
    }

    fn attempt(&mut self, operator: usize) {
        let to = self.simulation.random_controller();
        (
            self.operators[operator].redirects,
            self.operators[operator].attempts,
        ) = (0, self.operators[operator].attempts + 1);
        self.call(operator, &to);
    }

    fn call(&mut self, operator: usize, to: &str) {
        let amendment = self.operators[operator].amendment;
        let call = amendment.map_or(Call::ReadConfig, |n| {
            Call::Amend(self.amendments[n].body.clone().into())
        });
        let number = self.simulation.call(to, call);
        let sent_call = SentCall {
            amendment,
            at: self.simulation.now(),
            committed: self.lengths.len(),
        };
        self.sent_calls.insert(number, sent_call);
        self.operators[operator].activity = Activity::Calling(number);
        self.start_timer(operator, CALL_TIMEOUT);
    }

    fn start_timer(&mut self, operator: usize, span: Millis) {
        self.operators[operator].step += 1;
        self.simulation.timer(
            span,
            (operator as u64) << 40 | self.operators[operator].step,
        );
    }

    pub(super) fn back_off_for(&mut self, operator: usize, span: Millis) {
        self.operators[operator].activity = Activity::BackingOff;
        self.start_timer(operator, span);
    }

    fn back_off(&mut self, operator: usize) {
        let max_span = 60.0 * f64::from(1_u32 << self.operators[operator].attempts.min(4));
        let span = max_span / 2.0 + f64::from(self.simulation.draw(max_span as u32));
        self.back_off_for(operator, span);
    }

    pub(super) fn timer(&mut self, id: u64) {
        let (operator, step) = ((id >> 40) as usize, id & ((1 << 40) - 1));
        if self.operators[operator].step != step {
            return;
        }
        match self.operators[operator].activity {
            Activity::Calling(number) => {
                self.simulation.cancel_call(number);
                self.back_off(operator);
            }
            Activity::BackingOff if self.operators[operator].attempts > 0 => self.attempt(operator),
            Activity::BackingOff => self.choose_next(operator),
            Activity::Idle => {}
        }
    }

    pub(super) fn receive_response(&mut self, call: u64, response: CallResponse) {
        let Some(operator) = self
            .operators
            .iter()
            .position(|operator| operator.activity == Activity::Calling(call))
        else {
            return;
        };
        let status = match response {
            CallResponse::Ok(_) => 200,
            CallResponse::Rejected(status, _) => status,
            CallResponse::Redirect(to) if self.operators[operator].redirects < 2 => {
                self.operators[operator].redirects += 1;
                return self.call(operator, &to);
            }
            CallResponse::Redirect(_) | CallResponse::Unavailable => {
                return self.back_off(operator)
            }
        };
        if let Some(amendment) = self.operators[operator].amendment {
            self.amendments[amendment].status = Some(status);
        }
        self.operators[operator].attempts = 0;
        let span = 20.0 + f64::from(self.simulation.draw(400));
        self.back_off_for(operator, span);
        if self.is_winding_down {
            self.operators[operator].activity = Activity::Idle;
        }
    }
}
