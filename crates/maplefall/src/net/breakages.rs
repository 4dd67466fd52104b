//! Ways to be broken on purpose, so that a rehearsal's judge can be shown to find each. Only builds with the feature
//! `breakages` hold this file and the places that ask it; the released program has neither. Every breakage sits between
//! the driver and the decision module or the sockets: the module itself is played unchanged.

use hyper::Uri;
use maplefall_discovery_agent::{line, Heard, Line, Output, Word};
use maplefall_etcd::client::Interceptor;
use maplefall_etcd::{Command, Input};
use maplefall_membership::{Event, Roster, Update};
use maplefall_policy::{Action, BackendEntry, Idempotency, Millis, RejectReason, Settings};
use maplefall_protocol::{ForwardedRequest, Health, Member};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The variable that names the breakage.
const VARIABLE: &str = "MAPLEFALL_BREAKAGE";
/// How long a front door that sees drains late holds the list back.
pub const LATE_MS: u64 = 650;
/// How long after its client's time an answer that is held back comes.
pub const HELD_MS: Millis = 120.0;

/// A way to be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakage {
    /// A served answer is written twice.
    SecondAnswer,
    /// SIGTERM ends the program at once.
    DropsOnTerm,
    /// A served request is sent on once more after its answer.
    SentAfterAnswer,
    /// Refusals come after the client's time.
    HeldBack,
    /// A request is answered with what was made for the one before.
    StaleBody,
    /// Unsafe requests are taken for safe ones.
    UnsafeAgain,
    /// Each request goes to two backends at once.
    TwoOut,
    /// What may have run is refused.
    RefusedAfter,
    /// The target of a request is changed on its way.
    ChangedOnTheWay,
    /// Keys are taken to be remembered for ever.
    KeyForEver,
    /// Drains and removals are not heard.
    DrainIgnored,
    /// The list is heard late.
    DrainLate,
    /// A backend that has just started is taken for a warm one.
    ColdAsWarm,
    /// Everything goes to the backend that started last.
    ColdFavoured,
    /// Each front door gives the whole ceiling.
    CeilingPerDoor,
    /// There is no ceiling.
    NoCeiling,
    /// A watch of etcd goes on at the current revision instead of the last seen.
    ResumesAtCurrent,
    /// A watch of etcd whose history is compacted goes on where history begins, and nothing is read anew.
    CompactionIgnored,
    /// The last word on a node holds, whoever says it.
    LastWordHolds,
    /// What a lost source knew is taken for gone.
    LostEmpties,
    /// Who cannot be checked passes.
    FailOpen,
    /// A verdict serves every caller.
    KeyWithoutCredential,
    /// The answer to a request whose caller could not be checked is written twice, as if its verdict came after all.
    LateVerdictAnswers,
    /// A request whose caller passed is sent on once more, as if its check had come back twice.
    CheckedAgain,
    /// What is heard of use elsewhere is added each time that it is heard, and not joined.
    CountsAdded,
    /// News of use elsewhere never grow old.
    NewsNeverOld,
    /// What an agent says holds, whatever its version.
    OlderListHolds,
    /// A line with an entry that cannot be used is not taken.
    SpoiltLine,
}

/// Their names.
const NAMES: [(&str, Breakage); 28] = [
    ("second-answer", Breakage::SecondAnswer),
    ("drops-on-term", Breakage::DropsOnTerm),
    ("sent-after-answer", Breakage::SentAfterAnswer),
    ("held-back", Breakage::HeldBack),
    ("stale-body", Breakage::StaleBody),
    ("unsafe-again", Breakage::UnsafeAgain),
    ("two-out", Breakage::TwoOut),
    ("refused-after", Breakage::RefusedAfter),
    ("changed-on-the-way", Breakage::ChangedOnTheWay),
    ("key-for-ever", Breakage::KeyForEver),
    ("drain-ignored", Breakage::DrainIgnored),
    ("drain-late", Breakage::DrainLate),
    ("cold-as-warm", Breakage::ColdAsWarm),
    ("cold-favoured", Breakage::ColdFavoured),
    ("ceiling-per-door", Breakage::CeilingPerDoor),
    ("no-ceiling", Breakage::NoCeiling),
    ("resumes-at-current", Breakage::ResumesAtCurrent),
    ("compaction-ignored", Breakage::CompactionIgnored),
    ("last-word-holds", Breakage::LastWordHolds),
    ("lost-empties", Breakage::LostEmpties),
    ("fail-open", Breakage::FailOpen),
    ("key-without-credential", Breakage::KeyWithoutCredential),
    ("late-verdict-answers", Breakage::LateVerdictAnswers),
    ("checked-again", Breakage::CheckedAgain),
    ("counts-added", Breakage::CountsAdded),
    ("news-never-old", Breakage::NewsNeverOld),
    ("older-list-holds", Breakage::OlderListHolds),
    ("spoilt-line", Breakage::SpoiltLine),
];

/// Whether the program is to be broken in this way.
pub fn is(breakage: Breakage) -> bool {
    static NAMED: OnceLock<Option<Breakage>> = OnceLock::new();
    let named = NAMED.get_or_init(|| {
        let name = std::env::var(VARIABLE).ok()?;
        let found = NAMES.iter().find(|(known, _)| *known == name);
        if found.is_none() {
            // A breakage that is not played would pass for one that is not found.
            eprintln!("{VARIABLE}: {name:?} is not a known breakage");
            std::process::exit(64);
        }
        found.map(|(_, breakage)| *breakage)
    });
    *named == Some(breakage)
}

/// The settings that the decision module is handed.
pub fn settings(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        match &mut class.idempotency {
            idempotency @ Idempotency::NonIdempotent if is(Breakage::UnsafeAgain) => {
                *idempotency = Idempotency::Idempotent
            }
            Idempotency::Keyed { window, .. } if is(Breakage::KeyForEver) => *window = 1e9,
            _ => {}
        }
    }
    let doors = f64::from(settings.gateways);
    for plan in &mut settings.plans {
        if is(Breakage::NoCeiling) {
            plan.rate_limit = None;
        }
        if let Some(rate_limit) = plan
            .rate_limit
            .as_mut()
            .filter(|_| is(Breakage::CeilingPerDoor))
        {
            rate_limit.rate *= doors;
            rate_limit.burst *= doors;
            rate_limit.slack *= doors;
        }
    }
    settings
}

/// Times that news is heard by the rumours of a few peers.
const HEARD_AGAIN: f64 = 3.0;

/// What the decision module is told of use elsewhere.
pub fn fact(mut fact: maplefall_shared_counts::Fact, now: Millis) -> maplefall_shared_counts::Fact {
    if is(Breakage::CountsAdded) {
        fact.units *= HEARD_AGAIN;
    }
    if is(Breakage::NewsNeverOld) {
        (fact.as_of, fact.error) = (now, 0.0);
    }
    fact
}

/// Part of the front doors that the decision module takes to be heard of.
pub fn live_share(share: f64) -> f64 {
    if is(Breakage::NewsNeverOld) {
        1.0
    } else {
        share
    }
}

/// An action as it is carried out.
pub fn action(action: Action) -> Action {
    match action {
        Action::Fail(request) if is(Breakage::RefusedAfter) => Action::Reject {
            request,
            reason: RejectReason::AttemptsFailed,
            retry_after: None,
        },
        action => action,
    }
}

/// An order as it goes on to a backend.
pub fn forwarded_request(forwarded: Rc<ForwardedRequest>) -> Rc<ForwardedRequest> {
    if !is(Breakage::ChangedOnTheWay) {
        return forwarded;
    }
    let mut changed = (*forwarded).clone();
    if let Ok(uri) = Uri::try_from(format!("{}&x=1", changed.uri)) {
        changed.uri = uri;
    }
    Rc::new(changed)
}

/// An entry of the list as the decision module hears it.
pub fn entry(mut entry: BackendEntry) -> BackendEntry {
    if is(Breakage::ColdAsWarm) {
        entry.started = None;
    }
    entry
}

/// What the door is handed past the roster.
pub fn past_the_roster(event: &Event, roster: &Roster) -> Option<Update> {
    let changes = match event {
        Event::Snapshot { members, .. } | Event::Change { members, .. }
            if is(Breakage::LastWordHolds) =>
        {
            members.hosts.clone()
        }
        Event::Lost { .. } if is(Breakage::LostEmpties) => roster
            .members()
            .map(|member| Member {
                health: Health::Removed,
                ..member.clone()
            })
            .collect(),
        _ => return None,
    };
    Some(Update {
        changes,
        reports: Vec::new(),
    })
}

/// What an agent said as its follower hears it.
pub fn as_heard(heard: Heard) -> Heard {
    match &heard {
        Heard::Line(text) if is(Breakage::SpoiltLine) => match line(text) {
            Ok(Line::Word(word)) if !word.passed_over.is_empty() => Heard::Line(Vec::new()),
            _ => heard,
        },
        _ => heard,
    }
}

/// What comes of it: in place of what the follower makes of a word, the word as it came.
pub fn as_told(heard: &Heard, out: Vec<Output>) -> Vec<Output> {
    static WORDS: AtomicU64 = AtomicU64::new(1);
    let word = match heard {
        Heard::Line(text) if is(Breakage::OlderListHolds) => line(text).ok(),
        _ => None,
    };
    let Some(Line::Word(Word { mut members, .. })) = word else {
        return out;
    };
    // Versions of events for the roster count up, whatever the agent's do.
    members.seq = WORDS.fetch_add(1, Ordering::Relaxed);
    let unread = Vec::new();
    let event = match members.whole {
        true => Event::Snapshot {
            source: 0,
            members,
            unread,
        },
        false => Event::Change { source: 0, members },
    };
    let calls = out
        .into_iter()
        .filter(|output| !matches!(output, Output::Tell(_)));
    calls.chain([Output::Tell(event)]).collect()
}

/// Between etcd's follower and its sockets.
#[derive(Default)]
pub struct EtcdSeam {
    /// The oldest revision that is kept, as a watch was told.
    kept: i64,
}

impl Interceptor for EtcdSeam {
    fn command(&mut self, mut command: Command) -> Command {
        if let Command::Watch { request, .. } = &mut command {
            if is(Breakage::ResumesAtCurrent) {
                request.start_revision = 0;
            }
            request.start_revision = request.start_revision.max(self.kept);
        }
        command
    }

    fn input(&mut self, mut input: Input) -> Input {
        if let Input::WatchResponse(answer) = &mut input {
            if is(Breakage::CompactionIgnored) && answer.compact_revision > 0 {
                self.kept = std::mem::take(&mut answer.compact_revision);
            }
        }
        input
    }
}
