//! A backend: cores that work, a waiting room, slow start, connections.

use std::collections::VecDeque;

/// Work that has come to a backend.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Which attempt.
    pub attempt: u64,
    /// Its work on a warm core, in milliseconds.
    pub work: f64,
    /// When it came.
    pub arrived: f64,
}

/// What a backend is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendConfig {
    /// Cores.
    pub cores: usize,
    /// Requests that may wait; beyond that they are rejected unseen.
    pub queue: usize,
    /// Part of its capacity with which it starts, and after how long it is warm, in milliseconds.
    pub initial_capacity: f64,
    /// See above.
    pub warm_up_ms: f64,
}

/// State of a backend.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What it is.
    pub shape: BackendConfig,
    /// When it started; `None` if long ago.
    pub started: Option<f64>,
    /// Whether its process runs.
    pub up: bool,
    /// When its drain was announced to all, if it was.
    pub drained: Option<f64>,
    /// Speed of a core against the usual one.
    pub speed: f64,
    busy_cores: usize,
    waiting: VecDeque<Job>,
    /// Work sent to it, in milliseconds of a warm core.
    pub work: f64,
    /// When, and how much, it was sent of late while warming up.
    recent: VecDeque<(f64, f64)>,
}

/// What became of a job that came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAdmission {
    /// It is worked on, until then.
    Started(f64),
    /// It waits.
    Queued,
    /// It was rejected unseen.
    Full,
}

impl Backend {
    /// One of this shape.
    pub fn new(shape: BackendConfig, speed: f64, started: Option<f64>) -> Backend {
        Backend {
            shape,
            started,
            up: true,
            drained: None,
            speed,
            busy_cores: 0,
            waiting: VecDeque::new(),
            work: 0.0,
            recent: VecDeque::new(),
        }
    }

    /// Part of its capacity that it has now.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let fraction = ((now - started) / self.shape.warm_up_ms.max(1.0)).clamp(0.0, 1.0);
        self.shape.initial_capacity + (1.0 - self.shape.initial_capacity) * fraction
    }

    fn time_of(&self, job: &Job, now: f64) -> f64 {
        job.work / (self.speed * self.capacity_fraction(now)).max(1e-6)
    }

    /// A job comes.
    pub fn admit(&mut self, job: Job, now: f64) -> JobAdmission {
        if self.busy_cores < self.shape.cores {
            self.busy_cores += 1;
            self.work += job.work;
            return JobAdmission::Started(now + self.time_of(&job, now));
        }
        if self.waiting.len() >= self.shape.queue {
            return JobAdmission::Full;
        }
        self.work += job.work;
        self.waiting.push_back(job);
        JobAdmission::Queued
    }

    /// A core has become free: the next job, and when it will be done.
    pub fn start_next(&mut self, now: f64) -> Option<(Job, f64)> {
        match self.waiting.pop_front() {
            Some(job) => Some((job, now + self.time_of(&job, now))),
            None => {
                self.busy_cores = self.busy_cores.saturating_sub(1);
                None
            }
        }
    }

    /// Its process ends: what it held.
    pub fn stop(&mut self) -> usize {
        let in_flight = self.busy_cores + self.waiting.len();
        (self.up, self.busy_cores) = (false, 0);
        self.waiting.clear();
        in_flight
    }

    /// Requests in it.
    pub fn in_flight(&self) -> usize {
        self.busy_cores + self.waiting.len()
    }

    /// Whether what was sent to it while warming up is over the multiple of its present capacity within the window.
    pub fn is_overloaded(
        &mut self,
        now: f64,
        work: f64,
        factor: f64,
        window: f64,
        slack: f64,
    ) -> bool {
        let capacity_fraction = self.capacity_fraction(now);
        if capacity_fraction >= 1.0 {
            self.recent.clear();
            return false;
        }
        self.recent.push_back((now, work));
        while self.recent.front().is_some_and(|(at, _)| now - at > window) {
            self.recent.pop_front();
        }
        let sent: f64 = self.recent.iter().map(|(_, work)| work).sum();
        sent > factor * self.speed * capacity_fraction * self.shape.cores as f64 * window + slack
    }
}
