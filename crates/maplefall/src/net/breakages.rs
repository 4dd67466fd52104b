//! Deliberate faults, which rehearsals use to prove that their checks find each of them. Only
//! builds with the feature `breakages` contain this file and its call sites; a released program has
//! neither. Every breakage is between the driver and the decision module or the sockets; the module
//! itself is unchanged.

use hyper::Uri;
use maplefall_discovery_agent::{parse_line, CallEvent, Line, ListUpdate, Output};
use maplefall_etcd::client::Interceptor;
use maplefall_etcd::{Command, Input};
use maplefall_membership::{EndpointList, Event, Update};
use maplefall_policy::{Action, BackendEntry, Idempotency, Millis, RejectReason, Settings};
use maplefall_protocol::{ForwardedRequest, Health, Member};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The variable that names the breakage.
const VARIABLE: &str = "MAPLEFALL_BREAKAGE";
/// How long changes of the list of backends are delayed by [`Breakage::DrainLate`], in
/// milliseconds.
pub const LATE_MS: u64 = 650;
/// How long after the client's deadline a response is sent by [`Breakage::LateRejection`], in
/// milliseconds.
pub const LATE_RESPONSE_MS: Millis = 120.0;

/// A deliberate fault. Its outer name is in [`NAMES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakage {
    /// A response with status 200 is written twice.
    DuplicateResponse,
    /// SIGTERM ends the process without a graceful shutdown.
    ExitsOnTerm,
    /// A served request is sent to a backend once more after its response.
    SentAfterResponse,
    /// Rejections are sent after the client's deadline.
    LateRejection,
    /// A request gets the response body of the previous one.
    StaleBody,
    /// Non-idempotent requests are treated as idempotent.
    NonIdempotentRetried,
    /// Each attempt is sent twice at once.
    SentTwice,
    /// A request that may have run is rejected instead of failed.
    RejectedAfterRun,
    /// The target of a request is changed before it is forwarded.
    TargetChanged,
    /// Idempotency keys are treated as if backends never forgot them.
    KeyNeverExpires,
    /// Drains and removals are ignored.
    DrainIgnored,
    /// Changes of the list of backends are applied late.
    DrainLate,
    /// A backend that has just started is treated as warmed up.
    NoSlowStart,
    /// All attempts go to the backend that started last.
    NewestBackendOnly,
    /// Each gateway enforces the whole rate limit instead of its slice.
    RateLimitPerGateway,
    /// There is no rate limit.
    NoRateLimit,
    /// A watch of etcd resumes at the current revision instead of the last one seen.
    ResumesAtCurrent,
    /// A watch of etcd whose revision was compacted resumes at the oldest revision that is kept,
    /// and nothing is read again.
    CompactionIgnored,
    /// The latest report on a node wins, whichever source it is from.
    LastReportWins,
    /// The nodes of a lost source are removed.
    LostSourceEmptied,
    /// A caller that cannot be checked is admitted.
    FailOpen,
    /// A verdict is used for every caller.
    KeyWithoutCredential,
    /// A response with status 503 (the caller could not be checked) is written twice, as if a late
    /// verdict were answered too.
    LateVerdictResponse,
    /// A request whose caller passed is sent once more, as if its check had been answered twice.
    SentAgainAfterCheck,
    /// Usage at peers is counted several times, as if repeated reports of it were added up.
    CountsAdded,
    /// Usage at peers counts as current, however old its report is.
    UsageNeverAges,
    /// An agent's list is applied whatever its version.
    OlderListWins,
    /// A line of the agent with an invalid entry is ignored as a whole.
    InvalidEntryDropsLine,
}

/// The values of [`VARIABLE`].
const NAMES: [(&str, Breakage); 28] = [
    ("second-answer", Breakage::DuplicateResponse),
    ("drops-on-term", Breakage::ExitsOnTerm),
    ("sent-after-answer", Breakage::SentAfterResponse),
    ("held-back", Breakage::LateRejection),
    ("stale-body", Breakage::StaleBody),
    ("unsafe-again", Breakage::NonIdempotentRetried),
    ("two-out", Breakage::SentTwice),
    ("refused-after", Breakage::RejectedAfterRun),
    ("changed-on-the-way", Breakage::TargetChanged),
    ("key-for-ever", Breakage::KeyNeverExpires),
    ("drain-ignored", Breakage::DrainIgnored),
    ("drain-late", Breakage::DrainLate),
    ("cold-as-warm", Breakage::NoSlowStart),
    ("cold-favoured", Breakage::NewestBackendOnly),
    ("ceiling-per-door", Breakage::RateLimitPerGateway),
    ("no-ceiling", Breakage::NoRateLimit),
    ("resumes-at-current", Breakage::ResumesAtCurrent),
    ("compaction-ignored", Breakage::CompactionIgnored),
    ("last-word-holds", Breakage::LastReportWins),
    ("lost-empties", Breakage::LostSourceEmptied),
    ("fail-open", Breakage::FailOpen),
    ("key-without-credential", Breakage::KeyWithoutCredential),
    ("late-verdict-answers", Breakage::LateVerdictResponse),
    ("checked-again", Breakage::SentAgainAfterCheck),
    ("counts-added", Breakage::CountsAdded),
    ("news-never-old", Breakage::UsageNeverAges),
    ("older-list-holds", Breakage::OlderListWins),
    ("spoilt-line", Breakage::InvalidEntryDropsLine),
];

/// Returns whether this breakage is enabled.
pub fn is(breakage: Breakage) -> bool {
    static NAMED: OnceLock<Option<Breakage>> = OnceLock::new();
    let named = NAMED.get_or_init(|| {
        let name = std::env::var(VARIABLE).ok()?;
        let found = NAMES.iter().find(|(known, _)| *known == name);
        if found.is_none() {
            // An unknown name ends the process: a run without any breakage must not count as one
            // whose breakage the checks missed.
            eprintln!("{VARIABLE}: {name:?} is not a known breakage");
            std::process::exit(64);
        }
        found.map(|(_, breakage)| *breakage)
    });
    *named == Some(breakage)
}

/// Returns the settings for the decision module.
pub fn settings(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        match &mut class.idempotency {
            idempotency @ Idempotency::NonIdempotent if is(Breakage::NonIdempotentRetried) => {
                *idempotency = Idempotency::Idempotent
            }
            Idempotency::Keyed { window, .. } if is(Breakage::KeyNeverExpires) => *window = 1e9,
            _ => {}
        }
    }
    let gateways = f64::from(settings.gateways);
    for plan in &mut settings.plans {
        if is(Breakage::NoRateLimit) {
            plan.rate_limit = None;
        }
        if let Some(rate_limit) = plan
            .rate_limit
            .as_mut()
            .filter(|_| is(Breakage::RateLimitPerGateway))
        {
            rate_limit.rate *= gateways;
            rate_limit.burst *= gateways;
            rate_limit.slack *= gateways;
        }
    }
    settings
}

/// Factor by which usage at peers is multiplied, as if several peers had reported it.
const REPEATED_REPORTS: f64 = 3.0;

/// Returns the usage at peers for the decision module.
pub fn usage_update(
    mut update: maplefall_shared_counts::UsageUpdate,
    now: Millis,
) -> maplefall_shared_counts::UsageUpdate {
    if is(Breakage::CountsAdded) {
        update.units *= REPEATED_REPORTS;
    }
    if is(Breakage::UsageNeverAges) {
        (update.as_of, update.error) = (now, 0.0);
    }
    update
}

/// Returns the fraction of live gateways for the decision module.
pub fn live_share(share: f64) -> f64 {
    if is(Breakage::UsageNeverAges) {
        1.0
    } else {
        share
    }
}

/// Returns the action that the driver executes.
pub fn action(action: Action) -> Action {
    match action {
        Action::Fail(request) if is(Breakage::RejectedAfterRun) => Action::Reject {
            request,
            reason: RejectReason::AttemptsFailed,
            retry_after: None,
        },
        action => action,
    }
}

/// Returns the request that is forwarded to a backend.
pub fn forwarded_request(forwarded: Rc<ForwardedRequest>) -> Rc<ForwardedRequest> {
    if !is(Breakage::TargetChanged) {
        return forwarded;
    }
    let mut changed = (*forwarded).clone();
    if let Ok(uri) = Uri::try_from(format!("{}&x=1", changed.uri)) {
        changed.uri = uri;
    }
    Rc::new(changed)
}

/// Returns a backend's entry for the decision module.
pub fn entry(mut entry: BackendEntry) -> BackendEntry {
    if is(Breakage::NoSlowStart) {
        entry.started = None;
    }
    entry
}

/// Returns the update that replaces the merged list's, if the enabled breakage bypasses the merged
/// list.
pub fn bypass_roster(event: &Event, roster: &EndpointList) -> Option<Update> {
    let changes = match event {
        Event::Snapshot { members, .. } | Event::Change { members, .. }
            if is(Breakage::LastReportWins) =>
        {
            members.hosts.clone()
        }
        Event::Lost { .. } if is(Breakage::LostSourceEmptied) => roster
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

/// Returns the event that the agent's follower receives.
pub fn received_event(event: CallEvent) -> CallEvent {
    match &event {
        CallEvent::Line(text) if is(Breakage::InvalidEntryDropsLine) => match parse_line(text) {
            Ok(Line::Update(word)) if !word.rejected.is_empty() => CallEvent::Line(Vec::new()),
            _ => event,
        },
        _ => event,
    }
}

/// Returns the follower's outputs; with [`Breakage::OlderListWins`] the received list replaces what
/// the follower made of it.
pub fn follower_outputs(event: &CallEvent, outputs: Vec<Output>) -> Vec<Output> {
    static NEXT_VERSION: AtomicU64 = AtomicU64::new(1);
    let parsed = match event {
        CallEvent::Line(text) if is(Breakage::OlderListWins) => parse_line(text).ok(),
        _ => None,
    };
    let Some(Line::Update(ListUpdate { mut members, .. })) = parsed else {
        return outputs;
    };
    // The endpoint list gets increasing versions, whatever the versions of the agent's lists are.
    members.seq = NEXT_VERSION.fetch_add(1, Ordering::Relaxed);
    let unreadable = Vec::new();
    let event = match members.whole {
        true => Event::Snapshot {
            source: 0,
            members,
            unreadable,
        },
        false => Event::Change { source: 0, members },
    };
    let calls = outputs
        .into_iter()
        .filter(|output| !matches!(output, Output::Event(_)));
    calls.chain([Output::Event(event)]).collect()
}

/// Hooks between etcd's follower and its sockets.
#[derive(Default)]
pub struct EtcdSeam {
    /// The oldest revision that etcd keeps, from a watch's response.
    oldest_revision: i64,
}

impl Interceptor for EtcdSeam {
    fn command(&mut self, mut command: Command) -> Command {
        if let Command::Watch { request, .. } = &mut command {
            if is(Breakage::ResumesAtCurrent) {
                request.start_revision = 0;
            }
            request.start_revision = request.start_revision.max(self.oldest_revision);
        }
        command
    }

    fn input(&mut self, mut input: Input) -> Input {
        if let Input::WatchResponse(answer) = &mut input {
            if is(Breakage::CompactionIgnored) && answer.compact_revision > 0 {
                self.oldest_revision = std::mem::take(&mut answer.compact_revision);
            }
        }
        input
    }
}
