//! The watch of a played discovery agent.

use super::connections::Connection;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A discovery agent with one open watch, which says every so often that it is there.
pub struct AgentWatch {
    wire: Connection,
    says: Arc<Mutex<Option<TcpStream>>>,
}

/// Well within the two seconds that an agent may be silent, also on a slow machine.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl AgentWatch {
    /// Begins the answer to a watch that has been asked for.
    pub fn begin(mut wire: Connection) -> AgentWatch {
        wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let says = wire.reader.get_ref().try_clone().expect("a socket");
        let says = Arc::new(Mutex::new(Some(says)));
        let beats = says.clone();
        std::thread::spawn(move || {
            // Ends when the watch has, or when the other end has.
            while beats
                .lock()
                .unwrap()
                .as_mut()
                .is_some_and(|says| says.write_all(b"1\r\n\n\r\n").is_ok())
            {
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        AgentWatch { wire, says }
    }

    /// Says a line.
    pub fn line(&mut self, text: &str) {
        self.piece(&format!("{text}\n"));
    }

    /// Says part of a line, or several.
    pub fn piece(&mut self, text: &str) {
        let mut says = self.says.lock().unwrap();
        let says = says.as_mut().expect("an open watch");
        says.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .expect("the other end reads");
    }

    /// Says nothing from now on, and stays open.
    pub fn fall_silent(&mut self) {
        self.says.lock().unwrap().take();
    }

    /// Ends as it should.
    pub fn end(self) {
        let mut says = self.says.lock().unwrap();
        let says = says.as_mut().expect("an open watch");
        says.write_all(b"0\r\n\r\n").expect("the other end reads");
    }

    /// Whether the other end has closed.
    pub fn has_ended(&self) -> bool {
        self.wire.speaks()
    }

    /// Waits until the other end has closed.
    pub fn expect_end(&mut self) {
        self.fall_silent();
        self.wire.expect_end();
    }
}

impl Drop for AgentWatch {
    fn drop(&mut self) {
        self.fall_silent();
    }
}
