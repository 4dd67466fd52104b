//! Rule 1: whatever a running front door has taken ends with one whole final answer while its client still waits; what
//! is served was made by a node for that request; after the answer nothing more goes out for it. A front door that was
//! killed on purpose owes nothing for what it held; one that ends by itself has crashed.

use crate::ruling::{Ruling, BLUR};
use crate::view::{Try, View};
use maplefall_event_trace::{DoorState, End, Lost, Millis};
use std::collections::BTreeMap;

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let mut ruling = Ruling::new(
        1,
        "one final answer",
        "requests taken",
        "ms before the last moment",
    );
    let rules = view.record.header.rules;
    let slack = rules.answer_slack_ms + rules.socket_slack_ms;
    let mut answers: BTreeMap<&str, Vec<(Millis, usize)>> = BTreeMap::new();
    for one in &view.tries {
        let end = one.deadline + slack;
        if let Some(answer) = one.answer {
            ruling.tested += 1;
            ruling.margin(answer.at, end - answer.at);
            answers
                .entry(one.id)
                .or_default()
                .push((answer.at, answer.line));
            if answer.at > end {
                let late = answer.at - one.deadline;
                let text = format!(
                    "answered {late:.0} ms after the client's time; {slack:.0} ms are allowed"
                );
                ruling.broken(answer.at, one.id, &[one.line, answer.line], text);
            }
            if answer.status == 200 {
                served(
                    view,
                    one,
                    answer.at,
                    answer.attempt,
                    answer.line,
                    &mut ruling,
                );
            }
        }
        if let Some((at, why, line)) = one.lost {
            lost(view, one, at, why, line, &mut ruling);
        }
    }
    for (id, answers) in &answers {
        if let [first, second, ..] = answers[..] {
            let text = format!(
                "answered at {:.1} ms and again at {:.1} ms",
                first.0, second.0
            );
            ruling.broken(second.0, id, &[first.1, second.1], text);
        }
        // A front door hands an answer out after it has ended its last attempt.
        let end = answers[0].0;
        for attempt in view
            .attempts_of(id)
            .filter(|attempt| attempt.first > end + BLUR)
        {
            let text = format!(
                "an attempt began {:.0} ms after the final answer, at node {}",
                attempt.first - end,
                attempt.node
            );
            ruling.broken(attempt.first, id, &[answers[0].1, attempt.line], text);
        }
    }
    for (at, door, id, line) in &view.surplus {
        let text = format!("front door {door} wrote on a connection on which nothing was asked");
        ruling.broken(*at, id, &[*line], text);
    }
    for (at, kind, status, _, line) in &view.rude {
        if *status == Some(200) {
            ruling.broken(
                *at,
                "",
                &[*line],
                format!("{kind}: served what cannot be a request"),
            );
        }
    }
    crashes(view, &mut ruling);
    ruling.close()
}

/// A served body must be that of an attempt that a node served for this very request.
fn served(
    view: &View<'_>,
    one: &Try<'_>,
    at: Millis,
    names: Option<u64>,
    line: usize,
    ruling: &mut Ruling,
) {
    let made = names.and_then(|number| {
        view.attempts_of(one.id)
            .find(|attempt| attempt.number == number)
    });
    match made {
        Some(attempt) if matches!(attempt.over, Some((_, End::Served, _))) => {}
        Some(attempt) => {
            let text = format!(
                "served with attempt {}, which no node served",
                attempt.number
            );
            ruling.broken(at, one.id, &[line, attempt.line], text);
        }
        None => {
            ruling.broken(
                at,
                one.id,
                &[one.line, line],
                "served with what no node made for it".into(),
            );
        }
    }
}

fn lost(view: &View<'_>, one: &Try<'_>, at: Millis, why: Lost, line: usize, ruling: &mut Ruling) {
    // What a killed front door held is the client's to repeat.
    if why == Lost::NotTaken || view.down_within(one.door, one.asked - BLUR, at + BLUR) {
        return;
    }
    let sent = view
        .attempts_of(one.id)
        .find(|a| a.door == one.door && a.at <= at + BLUR);
    match (why, sent) {
        // A connection that is closed with nothing sent on for its request: the client asks again, nothing is lost
        // (later-work page, "Score").
        (Lost::Closed, None) => {}
        (Lost::Closed, Some(attempt)) => {
            ruling.tested += 1;
            let text = format!(
                "its connection was closed without an answer, and node {} had it",
                attempt.node
            );
            ruling.broken(at, one.id, &[one.line, attempt.line, line], text);
        }
        (Lost::Cut, _) => {
            ruling.tested += 1;
            ruling.broken(at, one.id, &[one.line, line], "its answer broke off".into());
        }
        (Lost::Silent, sent) => {
            ruling.tested += 1;
            let lines: Vec<usize> = [one.line, line]
                .into_iter()
                .chain(sent.map(|a| a.line))
                .collect();
            let text = format!(
                "no answer within the client's time, which ended at {:.1} ms",
                one.deadline
            );
            ruling.broken(at, one.id, &lines, text);
        }
        (Lost::NotTaken, _) => {}
    }
}

/// Ends that nobody asked for, and stops that did not end well.
fn crashes(view: &View<'_>, ruling: &mut Ruling) {
    let mut told: BTreeMap<u32, (DoorState, usize)> = BTreeMap::new();
    for (at, door, state, line) in &view.doors {
        match state {
            DoorState::Ended { code } => match told.remove(door) {
                Some((DoorState::Killed, _)) => {}
                Some((DoorState::Terminated, asked)) if *code != Some(0) => {
                    let text = format!(
                        "front door {door} was told to stop and ended with {code:?}, not 0"
                    );
                    ruling.broken(*at, "", &[asked, *line], text);
                }
                Some((DoorState::Terminated, _)) => {}
                _ => {
                    ruling.broken(
                        *at,
                        "",
                        &[*line],
                        format!("front door {door} crashed ({code:?})"),
                    );
                }
            },
            DoorState::Killed | DoorState::Terminated => {
                told.insert(*door, (*state, *line));
            }
            DoorState::Started => {
                told.remove(door);
            }
            DoorState::Ready | DoorState::Reloaded => {}
        }
    }
}
