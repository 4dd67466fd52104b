//! A child process whose memory and descriptors are observed, and requests to it that are repeated
//! until they are answered.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often the number of open descriptors is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an unanswered request is repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two repetitions.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which [`send_until_answered`] gives up: far more than a server may take to free what
/// others hold, and far less than a client can ask it to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// What a process may hold.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Highest resident memory, in MiB.
    pub memory_mb: u64,
    /// Highest number of open descriptors.
    pub descriptors: usize,
}

/// A child process, killed on drop.
pub struct MeasuredProcess {
    child: Child,
    max_descriptors: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl MeasuredProcess {
    /// Starts the process.
    ///
    /// # Panics
    /// If it cannot be started.
    pub fn start(command: &mut Command) -> MeasuredProcess {
        MeasuredProcess::observe(command.spawn().expect("the program starts"))
    }

    /// Observes a process that has been started.
    pub fn observe(child: Child) -> MeasuredProcess {
        let max_descriptors = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let sampler = {
            let (pid, max_descriptors, ended) =
                (child.id(), max_descriptors.clone(), ended.clone());
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    max_descriptors.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        MeasuredProcess {
            child,
            max_descriptors,
            ended,
            sampler: Some(sampler),
        }
    }

    /// Returns the highest resident memory so far, in KiB; 0 if the process has ended.
    pub fn peak_resident_kib(&self) -> u64 {
        peak_resident_kib(self.child.id())
    }

    /// Checks that the process runs and has always been within its limits.
    ///
    /// # Panics
    /// If it has not.
    pub fn assert_within(&mut self, limits: ProcessLimits) {
        let status = self.child.try_wait().expect("the state of the process");
        assert_eq!(status, None, "the process has ended");
        let peak_kib = self.peak_resident_kib();
        let descriptors = self.max_descriptors.load(Ordering::Relaxed);
        println!("peak_kib={peak_kib} descriptors={descriptors} {limits:?}");
        assert!(
            peak_kib <= limits.memory_mb * 1024,
            "{peak_kib} KiB were resident, {limits:?}"
        );
        assert!(
            descriptors <= limits.descriptors,
            "{descriptors} descriptors were open, {limits:?}"
        );
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
    }
}

/// Returns the highest resident memory of a process so far, in KiB; 0 if it has ended.
pub fn peak_resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Returns the number of open descriptors of a process; 0 if it has ended.
pub fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// A response with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// The status.
    pub status: u16,
    /// The body, if it has a length.
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the response; `None` if there is none in time.
pub fn send_once(address: SocketAddr, request: &[u8]) -> Option<ReceivedResponse> {
    let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    // A response may come before the request is written, so an error of the writer is no failure.
    let _ = stream.write_all(request);
    read_response(&mut BufReader::new(stream))
}

fn read_response(reader: &mut impl BufRead) -> Option<ReceivedResponse> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(ReceivedResponse { status, body })
}

/// Sends a request, made anew by `build_request` for each try, until the response has this status.
///
/// # Panics
/// If there is no such response within a minute.
pub fn send_until_answered(
    address: SocketAddr,
    status: u16,
    mut build_request: impl FnMut() -> Vec<u8>,
) -> ReceivedResponse {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut last = None;
    while Instant::now() < deadline {
        last = send_once(address, &build_request());
        if let Some(response) = last.as_ref().filter(|response| response.status == status) {
            return response.clone();
        }
        std::thread::sleep(REPEAT_INTERVAL);
    }
    let last = last.map(|response| response.status);
    panic!("no response with status {status} from {address} in time; the last one was {last:?}");
}
