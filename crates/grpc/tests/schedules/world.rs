//! A model of a call, its client and its backends that records which attempts ran, and the checks
//! of the invariants.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use maplefall_grpc::frames::{prefix, Frames};
use maplefall_grpc::{
    Attempt, Call, CallResult, Code, End, Output, Shape, GRPC_STATUS, NOT_STARTED, REFUSED_STREAM,
    RETRY_PUSHBACK,
};
use maplefall_policy::Outcome;

/// The client's deadline, in milliseconds.
const DEADLINE: f64 = 100.0;
/// Timeout of one attempt, in milliseconds.
const ATTEMPT_TIMEOUT: f64 = 60.0;
/// Maximum number of attempts of a call.
const MAX_ATTEMPTS: u32 = 4;
const MAX_BUFFERED_BYTES: usize = 64;

/// A fault that is built into the driver, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    /// Every reset counts as a rejection.
    ResetIsRejection,
    /// Data of a previous attempt is delivered as the current attempt's.
    DataOfPreviousAttempt,
    /// A reset stream is reported as a success.
    ResetIsOk,
    /// Deadlines are ignored.
    IgnoresTime,
}

/// An event of the current attempt.
#[derive(Clone, Debug)]
pub enum Event {
    Head,
    /// A message of `length` bytes, truncated to `truncated_at` bytes with its prefix.
    Data {
        length: u8,
        truncated_at: Option<u8>,
    },
    /// A status after a response head.
    Trailers {
        code: u8,
        not_started: bool,
    },
    /// A status without a response head.
    TrailersOnly {
        code: u8,
        not_started: bool,
    },
    /// The response ends without a status.
    EndsWithoutStatus,
    Reset(u32),
    Unprocessed,
    ConnectionLost,
    Unreachable,
    /// This many milliseconds pass.
    Wait(u8),
}

/// The outputs that the client received.
#[derive(Default)]
struct Client {
    has_head: bool,
    data: Vec<u8>,
    end: Option<(CallResult, HeaderMap)>,
}

impl Client {
    fn receive(&mut self, outputs: Vec<Output>) -> Result<(), String> {
        for output in outputs {
            if self.end.is_some() {
                return Err(format!("{output:?} after the end"));
            }
            match output {
                Output::Commit if self.has_head => return Err("committed after a head".to_owned()),
                Output::Commit => {}
                Output::Head(_) if self.has_head => return Err("two heads".to_owned()),
                Output::Head(_) => self.has_head = true,
                Output::Data(_) if !self.has_head => return Err("data before a head".to_owned()),
                Output::Data(data) => self.data.extend(data),
                Output::Final(result, trailers) => self.end = Some((result, trailers)),
            }
        }
        Ok(())
    }
}

/// The current attempt, with the actual state of its backend.
struct CurrentAttempt {
    number: u32,
    attempt: Attempt,
    /// Whether the backend ran the call.
    has_run: bool,
    /// Bytes of the response that were delivered; `None` before the response head.
    response: Option<Vec<u8>>,
}

impl CurrentAttempt {
    fn has_response(&self) -> bool {
        self.response.is_some()
    }

    /// Whether the backend can still state that it did not start the call.
    fn is_untouched(&self) -> bool {
        !self.has_run && !self.has_response()
    }
}

/// An attempt that ended.
struct EndedAttempt {
    response: Vec<u8>,
    end: End,
}

/// A call, its client and its backends.
struct World {
    shape: Shape,
    idempotent: bool,
    defect: Option<Defect>,
    call: Call,
    client: Client,
    now: f64,
    attempts: u32,
    current: Option<CurrentAttempt>,
    /// Number of times that the call ran.
    runs: u32,
    last: Option<EndedAttempt>,
    previous_number: Option<u32>,
}

impl World {
    fn new(shape: Shape, idempotent: bool, defect: Option<Defect>) -> World {
        World {
            shape,
            idempotent,
            defect,
            call: Call::new(shape, DEADLINE, MAX_BUFFERED_BYTES),
            client: Client::default(),
            now: 0.0,
            attempts: 0,
            current: None,
            runs: 0,
            last: None,
            previous_number: None,
        }
    }

    /// The time that is passed to the code under test.
    fn clock(&self) -> f64 {
        if self.defect == Some(Defect::IgnoresTime) {
            0.0
        } else {
            self.now
        }
    }

    /// Acts as the decision module: begins a further attempt if a retry is permitted, otherwise
    /// ends the call.
    fn decide(&mut self) -> Result<(), String> {
        let last_end = self.last.as_ref().map(|last| &last.end);
        let succeeded = last_end.is_some_and(|end| end.outcome == Outcome::Ok);
        let may_retry = self.idempotent || last_end.is_none_or(End::never_ran);
        let mut outputs = Vec::new();
        if succeeded {
            self.call.serve(&mut outputs);
        } else if self.now >= DEADLINE {
            self.call.fail(self.now, &mut outputs);
        } else if self.attempts < MAX_ATTEMPTS && !self.call.committed() && may_retry {
            return self.begin_attempt();
        } else if may_retry {
            self.call.reject(Some(5.0), &mut outputs);
        } else {
            self.call.fail(self.now, &mut outputs);
        }
        self.client.receive(outputs)
    }

    fn begin_attempt(&mut self) -> Result<(), String> {
        let number = self
            .call
            .begin()
            .map_err(|_| "an open call cannot begin an attempt")?;
        if number != self.attempts {
            return Err(format!(
                "attempt {number} was expected to be number {}",
                self.attempts
            ));
        }
        self.attempts += 1;
        self.current = Some(CurrentAttempt {
            number,
            attempt: Attempt::new(self.shape, self.now + ATTEMPT_TIMEOUT, DEADLINE),
            has_run: false,
            response: None,
        });
        Ok(())
    }

    fn step(&mut self, event: &Event) -> Result<(), String> {
        if self.client.end.is_some() {
            return Ok(());
        }
        let Some(mut current) = self.current.take() else {
            return self.decide();
        };
        let (mut outputs, mut trailers) = (Vec::new(), HeaderMap::new());
        let end = self.deliver(event, &mut current, &mut trailers, &mut outputs);
        match end.map(|end| self.distort(end)) {
            Some(end) => self.end_attempt(current, end, trailers)?,
            None => self.current = Some(current),
        }
        self.client.receive(outputs)
    }

    /// Applies the driver's built-in fault to the end of an attempt.
    fn distort(&self, mut end: End) -> End {
        if end.outcome == Outcome::Reset {
            match self.defect {
                Some(Defect::ResetIsRejection) => end.outcome = Outcome::Full,
                Some(Defect::ResetIsOk) => end.outcome = Outcome::Ok,
                _ => {}
            }
        }
        end
    }

    fn end_attempt(
        &mut self,
        current: CurrentAttempt,
        end: End,
        trailers: HeaderMap,
    ) -> Result<(), String> {
        if current.has_run && end.never_ran() {
            return Err(format!("an attempt that ran is reported as {end:?}"));
        }
        self.previous_number = Some(current.number);
        self.call.ended(current.number, end.clone(), trailers);
        self.last = Some(EndedAttempt {
            response: current.response.unwrap_or_default(),
            end,
        });
        Ok(())
    }

    /// Lets the backend run the call, as it does unless it states that it did not start the call.
    fn run(&mut self, current: &mut CurrentAttempt) {
        current.attempt.sent();
        if !current.has_run {
            current.has_run = true;
            self.runs += 1;
        }
    }

    /// Delivers an event to the current attempt; events that cannot happen now are skipped.
    fn deliver(
        &mut self,
        event: &Event,
        current: &mut CurrentAttempt,
        trailers: &mut HeaderMap,
        outputs: &mut Vec<Output>,
    ) -> Option<End> {
        let clock = self.clock();
        match event {
            Event::Head => self.deliver_head(current, outputs),
            Event::Data {
                length,
                truncated_at,
            } if current.has_response() => {
                self.deliver_data(*length, *truncated_at, current, outputs)
            }
            Event::Trailers { code, not_started } if current.has_response() => {
                *trailers = self.status(*code, *not_started, current);
                current.attempt.trailers(clock, trailers)
            }
            Event::TrailersOnly { code, not_started } if !current.has_response() => {
                *trailers = self.status(*code, *not_started, current);
                current.attempt.head(clock, 200, trailers, true)
            }
            Event::EndsWithoutStatus if current.has_response() => {
                self.run(current);
                current.attempt.ended_without_status()
            }
            Event::Reset(REFUSED_STREAM) if current.is_untouched() => {
                current.attempt.sent();
                current.attempt.reset(clock, REFUSED_STREAM)
            }
            Event::Reset(error) if *error != REFUSED_STREAM || current.has_response() => {
                self.run(current);
                current.attempt.reset(clock, *error)
            }
            Event::Unprocessed if current.is_untouched() => current.attempt.unprocessed(),
            Event::ConnectionLost => {
                self.run(current);
                current.attempt.lost()
            }
            Event::Unreachable if current.is_untouched() => current.attempt.unreachable(),
            Event::Wait(time) => {
                self.now += f64::from(*time);
                // The driver cancels the attempt once the client's deadline has passed.
                let expired = self.now >= DEADLINE && self.defect != Some(Defect::IgnoresTime);
                expired.then(|| current.attempt.timed_out()).flatten()
            }
            _ => None,
        }
    }

    fn deliver_head(
        &mut self,
        current: &mut CurrentAttempt,
        outputs: &mut Vec<Output>,
    ) -> Option<End> {
        current.attempt.sent();
        let mut head = HeaderMap::new();
        head.insert("content-type", HeaderValue::from_static("application/grpc"));
        let end = current.attempt.head(self.clock(), 200, &head, false);
        if !current.has_response() && end.is_none() {
            current.response = Some(Vec::new());
            self.call.head(current.number, head, outputs);
        }
        end
    }

    fn deliver_data(
        &mut self,
        length: u8,
        truncated_at: Option<u8>,
        current: &mut CurrentAttempt,
        outputs: &mut Vec<Output>,
    ) -> Option<End> {
        self.run(current);
        let mut data = prefix(u32::from(length)).to_vec();
        data.extend(std::iter::repeat_n(
            current.number as u8,
            usize::from(length),
        ));
        data.truncate(truncated_at.map_or(usize::MAX, usize::from).max(1));
        let end = current.attempt.data(&data);
        if end.is_none() {
            if let Some(response) = &mut current.response {
                response.extend(&data);
            }
            self.call.data(current.number, Bytes::from(data), outputs);
        }
        if let Some(previous) = self.previous_number {
            if self.defect == Some(Defect::DataOfPreviousAttempt) {
                let late = [&prefix(1)[..], &[previous as u8]].concat();
                self.call.data(current.number, Bytes::from(late), outputs);
            } else {
                // Late data of a previous attempt arrives under that attempt's number, and must be
                // ignored.
                self.call
                    .data(previous, Bytes::from_static(b"late"), outputs);
            }
        }
        end
    }

    /// Headers of a status. A backend sends `not-started` only with a rejection, and only if it has
    /// not run the call.
    fn status(&mut self, code: u8, not_started: bool, current: &mut CurrentAttempt) -> HeaderMap {
        let rejects = matches!(
            Code::ALL.get(usize::from(code)),
            Some(Code::ResourceExhausted | Code::Unavailable)
        );
        let rejected = not_started && rejects && !current.has_run;
        if rejected {
            current.attempt.sent();
        } else {
            self.run(current);
        }
        let mut headers = HeaderMap::new();
        headers.insert(GRPC_STATUS, HeaderValue::from(u16::from(code)));
        if rejected {
            headers.insert(NOT_STARTED, HeaderValue::from_static("1"));
        }
        headers
    }

    fn check(&self) -> Result<(), String> {
        if !self.idempotent && self.runs > 1 {
            return Err(format!("a non-idempotent call ran {} times", self.runs));
        }
        let Some((result, trailers)) = &self.client.end else {
            return Ok(());
        };
        let code = trailers
            .get(GRPC_STATUS)
            .map(|code| Code::from_wire(code.as_bytes()))
            .ok_or("no status")?;
        match result {
            CallResult::Served => self.check_served(code),
            CallResult::Rejected if !self.idempotent && self.runs > 0 => {
                Err("a rejected non-idempotent call ran".to_owned())
            }
            CallResult::Rejected => Ok(()),
            CallResult::Failed => check_failed(code, trailers),
        }
    }

    fn check_served(&self, code: Code) -> Result<(), String> {
        let EndedAttempt { response, end } = self.last.as_ref().ok_or("served by no attempt")?;
        if self.now >= DEADLINE {
            return Err("served too late".to_owned());
        }
        if end.outcome != Outcome::Ok || end.code != code {
            return Err(format!("served with {code:?} after {end:?}"));
        }
        if self.client.data != *response {
            return Err(format!("served {:?} of {response:?}", self.client.data));
        }
        let mut frames = Frames::default();
        frames
            .take(response)
            .map_err(|_| "served an invalid message")?;
        if frames.in_message() {
            return Err("served a truncated message".to_owned());
        }
        Ok(())
    }
}

fn check_failed(code: Code, trailers: &HeaderMap) -> Result<(), String> {
    if code == Code::Ok || code.is_retried_by_clients() {
        return Err(format!("failed with {code:?}"));
    }
    if trailers
        .get(RETRY_PUSHBACK)
        .is_none_or(|value| value != "-1")
    {
        return Err("failed without forbidding a retry".to_owned());
    }
    Ok(())
}

/// Result of a schedule.
pub struct Run {
    /// Attempts of the call that were begun.
    pub attempts: u32,
    /// Result of the call; `None` if the call is still open.
    pub result: Option<CallResult>,
}

/// Runs a schedule and checks the invariants after each event.
///
/// # Errors
/// The invariant that was violated.
pub fn run_schedule(
    shape: Shape,
    non_idempotent: bool,
    events: &[Event],
    defect: Option<Defect>,
) -> Result<Run, String> {
    let mut world = World::new(shape, !non_idempotent, defect);
    for event in events {
        world.step(event)?;
        world.check()?;
    }
    Ok(Run {
        attempts: world.attempts,
        result: world.client.end.map(|(result, _)| result),
    })
}
