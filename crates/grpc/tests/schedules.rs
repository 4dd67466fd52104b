//! Random schedules of attempts, answers, ends and times, against what the rules promise, with a world that knows the truth:
//!
//! - a call has one final status, and nothing behind it; what it is shown comes from one attempt alone, in order;
//! - it is served only by an attempt that ended well and in time, and then by the whole of it;
//! - an attempt that ran in truth is never told as one that has not, so what must not run twice does not;
//! - a refused call that must not run twice has not run, and a failed one carries no status that invites a repeat;
//! - what is held stays within its bound.
//!
//! `GRPC_SCHEDULES=N` plays more.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use maplefall_grpc::frames::prefix;
use maplefall_grpc::{
    Attempt, Call, Code, End, Output, Result as Ended, Shape, GRPC_STATUS, PUSHBACK,
};
use maplefall_policy::Outcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const DEADLINE: f64 = 100.0;
const HELD: usize = 64;

/// How the carrier is broken, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    /// Every reset is taken for a refusal.
    ResetIsRefusal,
    /// What comes of a former attempt is handed in for the present one.
    FormerAttempt,
    /// A cut stream is told as ended well.
    CutIsOk,
    /// Nobody looks at the time.
    NoTime,
}

/// What a backend does next with the attempt that is out.
#[derive(Clone, Debug)]
enum Move {
    Head,
    /// A message of so many bytes, cut after so many of its frame's.
    Data(u8, Option<u8>),
    Trailers(u8, bool),
    Bare(u8, bool),
    EndsBare,
    Reset(u32),
    Unprocessed,
    Lost,
    Unreachable,
    Wait(u8),
}

fn a_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        4 => Just(Move::Head),
        6 => (0..40u8, proptest::option::weighted(0.1, 0..6u8)).prop_map(|(length, cut)| Move::Data(length, cut)),
        5 => (prop_oneof![3 => Just(0u8), 2 => 0..18u8], any::<bool>()).prop_map(|(code, not)| Move::Trailers(code, not)),
        1 => (0..18u8, any::<bool>()).prop_map(|(code, not)| Move::Bare(code, not)),
        1 => Just(Move::EndsBare),
        2 => prop_oneof![Just(0u32), Just(2), Just(7), Just(8), 0..14u32].prop_map(Move::Reset),
        1 => Just(Move::Unprocessed),
        1 => Just(Move::Lost),
        1 => Just(Move::Unreachable),
        2 => (0..40u8).prop_map(Move::Wait),
    ]
}

/// What the client was sent.
#[derive(Default)]
struct Client {
    head: bool,
    data: Vec<u8>,
    end: Option<(Ended, HeaderMap)>,
}

struct World {
    shape: Shape,
    /// Whether it must not run twice.
    unsafe_: bool,
    broken: Option<Broken>,
    call: Call,
    client: Client,
    now: f64,
    attempts: u32,
    /// The attempt that is out, whether it has run in truth, and what of its answer was handed in.
    out: Option<(u32, Attempt, bool, Vec<u8>)>,
    ran: u32,
    /// The answer of the attempt that ended last, and how.
    last: Option<(Vec<u8>, End)>,
    former: Option<u32>,
}

impl World {
    fn new(shape: Shape, unsafe_: bool, broken: Option<Broken>) -> World {
        World {
            shape,
            unsafe_,
            broken,
            call: Call::new(shape, DEADLINE, HELD),
            client: Client::default(),
            now: 0.0,
            attempts: 0,
            out: None,
            ran: 0,
            last: None,
            former: None,
        }
    }

    fn sees(&mut self, outputs: Vec<Output>) -> Result<(), String> {
        for output in outputs {
            if self.client.end.is_some() {
                return Err(format!("{output:?} after the end"));
            }
            match output {
                Output::Commit if self.client.head => {
                    return Err("committed after a head".to_owned())
                }
                Output::Commit => {}
                Output::Head(_) if self.client.head => return Err("two heads".to_owned()),
                Output::Head(_) => self.client.head = true,
                Output::Data(_) if !self.client.head => return Err("data before a head".to_owned()),
                Output::Data(data) => self.client.data.extend(data),
                Output::Final(ended, trailers) => self.client.end = Some((ended, trailers)),
            }
        }
        Ok(())
    }

    /// The part of the decision module: another attempt where the class permits it, or the last word.
    fn decide(&mut self) -> Result<(), String> {
        let served = matches!(&self.last, Some((_, end)) if end.outcome == Outcome::Ok);
        let never = self.last.as_ref().is_none_or(|(_, end)| end.never_ran());
        let mut outputs = Vec::new();
        if served {
            self.call.serve(&mut outputs);
        } else if self.now >= DEADLINE {
            self.call.fail(self.now, &mut outputs);
        } else if self.attempts < 4 && !self.call.committed() && (never || !self.unsafe_) {
            let number = self
                .call
                .begin()
                .map_err(|_| "an open call takes no attempt")?;
            if number != self.attempts {
                return Err(format!("attempt {number} is the {}th", self.attempts));
            }
            self.attempts += 1;
            let attempt = Attempt::new(self.shape, self.now + 60.0, DEADLINE);
            self.out = Some((number, attempt, false, Vec::new()));
            return Ok(());
        } else if never || !self.unsafe_ {
            self.call.refuse(Some(5.0), &mut outputs);
        } else {
            self.call.fail(self.now, &mut outputs);
        }
        self.sees(outputs)
    }

    fn step(&mut self, step: &Move) -> Result<(), String> {
        if self.client.end.is_some() {
            return Ok(());
        }
        if self.out.is_none() {
            return self.decide();
        }
        let Some((number, attempt, ran, answer)) = &mut self.out else {
            return Ok(());
        };
        let (mut outputs, mut trailers) = (Vec::new(), HeaderMap::new());
        let clock = if self.broken == Some(Broken::NoTime) {
            0.0
        } else {
            self.now
        };
        // Whatever does not say that it has not run has.
        let runs = |ran: &mut bool, all: &mut u32, attempt: &mut Attempt| {
            attempt.sent();
            if !*ran {
                (*ran, *all) = (true, *all + 1);
            }
        };
        let status = |code: u8, not: bool| {
            let mut map = HeaderMap::new();
            map.insert(GRPC_STATUS, HeaderValue::from(u16::from(code)));
            if not {
                map.insert("not-started", HeaderValue::from_static("1"));
            }
            map
        };
        let mut end = match step {
            Move::Head => {
                attempt.sent();
                let mut head = HeaderMap::new();
                head.insert("content-type", HeaderValue::from_static("application/grpc"));
                let end = attempt.head(clock, 200, &head, false);
                if answer.is_empty() && end.is_none() {
                    // Marks that the answer has begun.
                    answer.push(b'H');
                    self.call.head(*number, head, &mut outputs);
                }
                end
            }
            Move::Data(length, cut) if !answer.is_empty() => {
                runs(ran, &mut self.ran, attempt);
                let mut data = prefix(u32::from(*length)).to_vec();
                data.extend(std::iter::repeat_n(*number as u8, usize::from(*length)));
                data.truncate(cut.map_or(usize::MAX, usize::from).max(1));
                let end = attempt.data(&data);
                if end.is_none() {
                    answer.extend(&data);
                    self.call.data(*number, Bytes::from(data), &mut outputs);
                }
                if let (Some(Broken::FormerAttempt), Some(former)) = (self.broken, self.former) {
                    let late = [&prefix(1)[..], &[former as u8]].concat();
                    self.call.data(*number, Bytes::from(late), &mut outputs);
                } else if let Some(former) = self.former {
                    // A late word of a former attempt, under its own number.
                    self.call
                        .data(former, Bytes::from_static(b"late"), &mut outputs);
                }
                end
            }
            Move::Trailers(code, not) if !answer.is_empty() => {
                // A backend that turns away says so in truth.
                let away = *not && matches!(code, 8 | 14) && !*ran;
                if !away {
                    runs(ran, &mut self.ran, attempt);
                }
                trailers = status(*code, away);
                attempt.trailers(clock, &trailers)
            }
            Move::Bare(code, not) if answer.is_empty() => {
                let turned_away = *not && matches!(code, 8 | 14);
                if turned_away && !*ran {
                    attempt.sent();
                } else {
                    runs(ran, &mut self.ran, attempt);
                }
                trailers = status(*code, turned_away && !*ran);
                attempt.head(clock, 200, &trailers, true)
            }
            Move::EndsBare if !answer.is_empty() => {
                runs(ran, &mut self.ran, attempt);
                attempt.ended_bare()
            }
            Move::Reset(7) if answer.is_empty() && !*ran => {
                attempt.sent();
                attempt.reset(clock, 7)
            }
            Move::Reset(error) if *error != 7 || !answer.is_empty() => {
                runs(ran, &mut self.ran, attempt);
                attempt.reset(clock, *error)
            }
            Move::Unprocessed if !*ran && answer.is_empty() => attempt.unprocessed(),
            Move::Lost => {
                runs(ran, &mut self.ran, attempt);
                attempt.lost()
            }
            Move::Unreachable if !*ran && answer.is_empty() => attempt.unreachable(),
            Move::Wait(time) => {
                self.now += f64::from(*time);
                // The driver gives it up; nothing of it is heard any more.
                let over = self.now >= DEADLINE && self.broken != Some(Broken::NoTime);
                if over {
                    attempt.timed_out()
                } else {
                    None
                }
            }
            _ => None,
        };
        match (self.broken, &mut end) {
            (Some(Broken::ResetIsRefusal), Some(end)) if end.outcome == Outcome::Reset => {
                end.outcome = Outcome::Full;
            }
            (Some(Broken::CutIsOk), Some(end)) if end.outcome == Outcome::Reset => {
                end.outcome = Outcome::Ok
            }
            _ => {}
        }
        let number = *number;
        if let Some(end) = end {
            let Some((_, _, ran, answer)) = self.out.take() else {
                return Ok(());
            };
            if ran && end.never_ran() {
                return Err(format!("an attempt that ran is told as {end:?}"));
            }
            self.former = Some(number);
            self.call.ended(number, end.clone(), trailers);
            self.last = Some((answer, end));
        }
        self.sees(outputs)
    }

    fn check(&self) -> Result<(), String> {
        if self.unsafe_ && self.ran > 1 {
            return Err(format!("it ran {} times", self.ran));
        }
        let Some((ended, trailers)) = &self.client.end else {
            return Ok(());
        };
        let code = trailers
            .get(GRPC_STATUS)
            .map(|code| Code::from_wire(code.as_bytes()))
            .ok_or("no status")?;
        match ended {
            Ended::Served => {
                let (answer, end) = self.last.as_ref().ok_or("served by nobody")?;
                if self.now >= DEADLINE {
                    return Err("served too late".to_owned());
                }
                if end.outcome != Outcome::Ok || end.code != code {
                    return Err(format!("served with {code:?} after {end:?}"));
                }
                let whole = answer.strip_prefix(b"H").unwrap_or_default();
                if self.client.data != whole {
                    return Err(format!("served {:?} of {whole:?}", self.client.data));
                }
                let mut frames = maplefall_grpc::frames::Frames::default();
                frames
                    .take(whole)
                    .map_err(|_| "served what is no message")?;
                if frames.within() {
                    return Err("served a cut message".to_owned());
                }
            }
            Ended::Refused if self.unsafe_ && self.ran > 0 => {
                return Err("refused, and it ran".to_owned())
            }
            Ended::Refused => {}
            Ended::Failed => {
                if code == Code::Ok || code.invites_repeats() {
                    return Err(format!("failed with {code:?}"));
                }
                if trailers.get(PUSHBACK).is_none_or(|told| told != "-1") {
                    return Err("failed without telling not to call again".to_owned());
                }
            }
        }
        Ok(())
    }
}

fn shapes() -> impl Strategy<Value = Shape> {
    prop_oneof![
        Just(Shape::Unary),
        Just(Shape::ServerStream),
        Just(Shape::ClientStream),
        Just(Shape::Bidi)
    ]
}

fn schedule() -> impl Strategy<Value = (Shape, bool, Vec<Move>)> {
    (
        shapes(),
        any::<bool>(),
        proptest::collection::vec(a_move(), 1..60),
    )
}

fn play(
    shape: Shape,
    unsafe_: bool,
    moves: &[Move],
    broken: Option<Broken>,
) -> Result<(u32, Option<Ended>), String> {
    let mut world = World::new(shape, unsafe_, broken);
    for step in moves {
        world.step(step)?;
        world.check()?;
    }
    Ok((world.attempts, world.client.end.map(|(ended, _)| ended)))
}

fn cases(usual: u32) -> u32 {
    std::env::var("GRPC_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn no_schedule_breaks_a_rule() {
    let tally = std::cell::RefCell::new([0u64; 5]);
    let run = runner(cases(4_000)).run(&schedule(), |(shape, unsafe_, moves)| {
        let (attempts, end) = play(shape, unsafe_, &moves, None).map_err(TestCaseError::fail)?;
        let mut tally = tally.borrow_mut();
        tally[0] += u64::from(attempts);
        let place = match end {
            None => 1,
            Some(Ended::Served) => 2,
            Some(Ended::Refused) => 3,
            Some(Ended::Failed) => 4,
        };
        tally[place] += 1;
        Ok(())
    });
    let [attempts, open, served, refused, failed] = *tally.borrow();
    println!(
        "{attempts} attempts; {served} calls served, {refused} refused, {failed} failed, {open} left open"
    );
    run.unwrap();
    assert!(
        [served, refused, failed].iter().all(|count| *count > 200),
        "every end is met"
    );
}

#[test]
fn each_way_to_be_broken_is_found() {
    for broken in [
        Broken::ResetIsRefusal,
        Broken::FormerAttempt,
        Broken::CutIsOk,
        Broken::NoTime,
    ] {
        let run = runner(1_000).run(&schedule(), |(shape, unsafe_, moves)| {
            play(shape, unsafe_, &moves, Some(broken))
                .map_err(TestCaseError::fail)
                .map(drop)
        });
        assert!(run.is_err(), "{broken:?} was not found");
    }
}
