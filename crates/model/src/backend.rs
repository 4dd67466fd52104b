//! A backend: a multi-server queue with a bounded waiting room, heterogeneous speed and slow start.

use std::collections::VecDeque;

/// Work of one attempt that arrived at a backend.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Identifier of the attempt.
    pub attempt: u64,
    /// Service time on a warm core of speed 1, in milliseconds.
    pub work: f64,
    /// Time of arrival, in milliseconds.
    pub arrived: f64,
}

/// Parameters of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendConfig {
    /// Number of cores (servers of the queue).
    pub cores: usize,
    /// Capacity of the waiting room; requests beyond it are rejected.
    pub queue: usize,
    /// Fraction of the capacity that a backend has when it starts.
    pub initial_capacity: f64,
    /// Time from start to full capacity, in milliseconds.
    pub warm_up_ms: f64,
}

/// State of a backend.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its parameters.
    pub config: BackendConfig,
    /// When it started; `None` if it was warm before the run.
    pub started: Option<f64>,
    /// Whether its process runs.
    pub up: bool,
    /// When its drain was announced, if it was.
    pub drained: Option<f64>,
    /// Speed of a core as a multiple of the nominal one.
    pub speed: f64,
    cores_in_use: usize,
    waiting: VecDeque<Job>,
    /// Total work admitted, in milliseconds of a warm core.
    pub work: f64,
    /// Arrival times and work of the attempts received within the overload window while warming up.
    recent: VecDeque<(f64, f64)>,
}

/// Outcome of an arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAdmission {
    /// The job starts immediately and completes at this time.
    Started(f64),
    /// The job waits for a core.
    Queued,
    /// The waiting room is full; the job is rejected.
    Full,
}

impl Backend {
    /// Creates an idle backend.
    pub fn new(config: BackendConfig, speed: f64, started: Option<f64>) -> Backend {
        Backend {
            config,
            started,
            up: true,
            drained: None,
            speed,
            cores_in_use: 0,
            waiting: VecDeque::new(),
            work: 0.0,
            recent: VecDeque::new(),
        }
    }

    /// Returns the fraction of the full capacity that the backend has at `now`.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let fraction = ((now - started) / self.config.warm_up_ms.max(1.0)).clamp(0.0, 1.0);
        self.config.initial_capacity + (1.0 - self.config.initial_capacity) * fraction
    }

    fn service_time(&self, job: &Job, now: f64) -> f64 {
        job.work / (self.speed * self.capacity_fraction(now)).max(1e-6)
    }

    /// Admits a job: starts it, queues it or rejects it.
    pub fn admit(&mut self, job: Job, now: f64) -> JobAdmission {
        if self.cores_in_use < self.config.cores {
            self.cores_in_use += 1;
            self.work += job.work;
            return JobAdmission::Started(now + self.service_time(&job, now));
        }
        if self.waiting.len() >= self.config.queue {
            return JobAdmission::Full;
        }
        self.work += job.work;
        self.waiting.push_back(job);
        JobAdmission::Queued
    }

    /// Releases a core: starts the next job and returns it with its completion time, if one waits.
    pub fn start_next(&mut self, now: f64) -> Option<(Job, f64)> {
        match self.waiting.pop_front() {
            Some(job) => Some((job, now + self.service_time(&job, now))),
            None => {
                self.cores_in_use = self.cores_in_use.saturating_sub(1);
                None
            }
        }
    }

    /// Stops the process and returns the number of jobs that it held.
    pub fn stop(&mut self) -> usize {
        let in_flight = self.cores_in_use + self.waiting.len();
        (self.up, self.cores_in_use) = (false, 0);
        self.waiting.clear();
        in_flight
    }

    /// Returns the number of jobs in service or waiting.
    pub fn in_flight(&self) -> usize {
        self.cores_in_use + self.waiting.len()
    }

    /// Whether the work that arrived within the window while warming up exceeds `factor` times the
    /// current capacity, plus `slack`. Adds this arrival to the window.
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
        sent > factor * self.speed * capacity_fraction * self.config.cores as f64 * window + slack
    }
}
