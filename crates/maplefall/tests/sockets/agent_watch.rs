//! The watch stream of a fake discovery agent.

use super::connections::Connection;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A fake discovery agent's side of one open watch, which sends heartbeats at a fixed interval.
pub struct AgentWatch {
    connection: Connection,
    writer: Arc<Mutex<Option<TcpStream>>>,
}

/// Interval between heartbeats, well below the two seconds after which the gateway polls an agent
/// without heartbeats, also on a slow machine.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl AgentWatch {
    /// Starts the response to a watch request.
    pub fn begin(mut connection: Connection) -> AgentWatch {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let writer = connection.reader.get_ref().try_clone().expect("a socket");
        let writer = Arc::new(Mutex::new(Some(writer)));
        let heartbeat_writer = writer.clone();
        std::thread::spawn(move || {
            // The heartbeats stop when the watch is dropped or the gateway has closed the
            // connection.
            while heartbeat_writer
                .lock()
                .unwrap()
                .as_mut()
                .is_some_and(|writer| writer.write_all(b"1\r\n\n\r\n").is_ok())
            {
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        AgentWatch { connection, writer }
    }

    /// Sends one line.
    pub fn send_line(&mut self, text: &str) {
        self.send_text(&format!("{text}\n"));
    }

    /// Sends part of a line, or several lines.
    pub fn send_text(&mut self, text: &str) {
        let mut writer = self.writer.lock().unwrap();
        let writer = writer.as_mut().expect("an open watch");
        writer
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .expect("the gateway reads");
    }

    /// Stops the heartbeats and all other sending; the connection stays open.
    pub fn stop_sending(&mut self) {
        self.writer.lock().unwrap().take();
    }

    /// Ends the response with the last chunk.
    pub fn end(self) {
        let mut writer = self.writer.lock().unwrap();
        let writer = writer.as_mut().expect("an open watch");
        writer.write_all(b"0\r\n\r\n").expect("the gateway reads");
    }

    /// Returns whether the gateway has closed the watch.
    pub fn has_ended(&self) -> bool {
        self.connection.is_readable()
    }

    /// Waits until the gateway has closed the watch.
    pub fn expect_end(&mut self) {
        self.stop_sending();
        self.connection.expect_end();
    }
}

impl Drop for AgentWatch {
    fn drop(&mut self) {
        self.stop_sending();
    }
}
