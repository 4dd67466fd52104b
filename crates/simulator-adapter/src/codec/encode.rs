//! Encodes the actions of a batch into one reply frame.

use super::action_code;

/// A reply frame under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn start(&mut self, code: u16, instance_id: u32) -> &mut Vec<u8> {
        self.count += 1;
        self.body.extend(code.to_le_bytes());
        self.body.extend(instance_id.to_le_bytes());
        &mut self.body
    }

    /// Sends a request to a backend; `timeout` is in milliseconds, 0 for none.
    pub fn send(&mut self, instance_id: u32, id: u32, backend: u32, timeout: f64) {
        let body = self.start(action_code::SEND, instance_id);
        body.extend(id.to_le_bytes());
        body.extend(backend.to_le_bytes());
        body.extend(timeout.to_le_bytes());
    }

    /// Rejects a request; `retry_after` is in milliseconds, 0 for none.
    pub fn reject(&mut self, instance_id: u32, id: u32, retry_after: f64) {
        let body = self.start(action_code::REJECT, instance_id);
        body.extend(id.to_le_bytes());
        body.extend(retry_after.to_le_bytes());
    }

    /// Fails a request.
    pub fn fail(&mut self, instance_id: u32, id: u32) {
        self.start(action_code::FAIL, instance_id)
            .extend(id.to_le_bytes());
    }

    /// Cancels an attempt of a request.
    pub fn cancel(&mut self, instance_id: u32, id: u32, attempt: u16) {
        let body = self.start(action_code::CANCEL, instance_id);
        body.extend(id.to_le_bytes());
        body.extend(attempt.to_le_bytes());
    }

    /// Sets a timer; `at` is in milliseconds on the simulator's clock.
    pub fn set_timer(&mut self, instance_id: u32, at: f64, timer_id: u64) {
        let body = self.start(action_code::SET_TIMER, instance_id);
        body.extend(at.to_le_bytes());
        body.extend(timer_id.to_le_bytes());
    }

    /// Checks the health of a backend.
    pub fn probe(&mut self, instance_id: u32, backend: u32) {
        self.start(action_code::PROBE, instance_id)
            .extend(backend.to_le_bytes());
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&mut self, instance_id: u32, backend: u32) {
        self.start(action_code::CLOSE_IDLE, instance_id)
            .extend(backend.to_le_bytes());
    }

    /// Subscribes to changes of the backend list.
    pub fn subscribe(&mut self, instance_id: u32) {
        self.start(action_code::SUBSCRIBE, instance_id).push(1);
    }

    /// Fetches the complete backend list.
    pub fn fetch_list(&mut self, instance_id: u32) {
        self.start(action_code::FETCH_LIST, instance_id);
    }

    /// Writes a log line.
    pub fn log(&mut self, instance_id: u32, text: &str) {
        self.text(action_code::LOG, instance_id, text);
    }

    /// Reports that an instance failed and was removed.
    pub fn instance_failed(&mut self, instance_id: u32, text: &str) {
        self.text(action_code::INSTANCE_FAILED, instance_id, text);
    }

    fn text(&mut self, code: u16, instance_id: u32, text: &str) {
        let mut length = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        let body = self.start(code, instance_id);
        body.extend((length as u16).to_le_bytes());
        body.extend(&text.as_bytes()[..length]);
    }

    /// Returns the complete frame with its header: the length of the rest, then the number of
    /// actions.
    pub fn into_frame(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend((4 + self.body.len() as u32).to_le_bytes());
        frame.extend(self.count.to_le_bytes());
        frame.extend(self.body);
        frame
    }
}
