//! Checks the record of a case against the rules in the documentation of `main`.

use crate::case::TestCase;
use crate::common::http::{parse_response, Message, ParseError};
use std::collections::{BTreeSet, HashMap};

/// Totals over all cases.
#[derive(Default, Debug)]
pub struct Counts {
    pub requests: u64,
    pub forwarded: u64,
    pub local: u64,
    pub never_forwarded: u64,
    pub unanswered: u64,
    pub attempts: u64,
    pub partial_attempts: u64,
    pub retries: u64,
    pub unusable_connections: u64,
}

/// Checks the record of a case, and adds its totals to `counts`.
pub fn check_case(case: &TestCase, counts: &mut Counts) -> Result<(), String> {
    let sent = case.sent.borrow();
    // For each request, in no particular order: its attempts, with the complete response to each.
    let mut requests: HashMap<&str, Vec<Option<Message>>> = HashMap::new();
    let logs: Vec<_> = case.logs.borrow().iter().cloned().collect();
    let logs: Vec<_> = logs.iter().map(|log| log.borrow()).collect();
    for log in &logs {
        // The offset up to which responses have been read, and the time since when the connection
        // is unusable.
        let (mut read, mut unusable_since) = (0, None::<u64>);
        let written_at = |offset: usize| {
            log.write_times
                .iter()
                .find(|(_, end)| *end >= offset)
                .map_or(0, |(at, _)| *at)
        };
        let mut request_ids: Vec<&str> = Vec::new();
        for (request, written) in &log.requests {
            let id = request
                .single("x-attempt-id")
                .ok_or("a request without exactly one id")?;
            let (known_id, sent_request) = sent
                .get_key_value(id)
                .ok_or(format!("{id}: not sent by any client"))?;
            if !request.start.starts_with(&format!(
                "{} {} HTTP/1.",
                sent_request.method, sent_request.path
            )) || request.body != sent_request.body
            {
                return Err(format!("{id}: the request was changed: {request:?}"));
            }
            if request_ids.contains(&id) {
                return Err(format!("{id}: sent twice on one connection"));
            }
            request_ids.push(known_id);
            // Before the client sent this request, the connection must not have been unusable, and
            // nothing unsolicited may have been written on it.
            if unusable_since.is_some_and(|at| at < sent_request.time) {
                return Err(format!("{id}: sent on an unusable connection"));
            }
            if *written > read && written_at(read + 1) < sent_request.time {
                return Err(format!(
                    "{id}: sent on a connection after {} unsolicited bytes",
                    written - read
                ));
            }
            let mut response = None;
            if unusable_since.is_none() {
                match parse_response(&log.written, read, sent_request.method) {
                    Ok((received, end)) if received.single("x-attempt-id") == Some(id) => {
                        read = end;
                        if received.closes() {
                            unusable_since = Some(written_at(end));
                        }
                        response = Some(received);
                    }
                    Ok((_, end)) => unusable_since = Some(written_at(end)),
                    Err(ParseError::Invalid(_)) => {
                        unusable_since = Some(written_at(log.written.len()))
                    }
                    // The proxy cannot have read a response from the incomplete bytes that follow,
                    // whatever it does with them.
                    Err(ParseError::Incomplete) => unusable_since = Some(u64::MAX),
                }
                counts.unusable_connections += u64::from(unusable_since.is_some());
            }
            requests.entry(known_id).or_default().push(response);
        }
    }
    for log in &logs {
        let mut partial_ids = BTreeSet::new();
        for early in log.early_responses.iter().filter(|early| early.had_head) {
            if !partial_ids.insert(&early.id) {
                continue;
            }
            let is_completed = log
                .requests
                .iter()
                .any(|(request, _)| request.single("x-attempt-id") == Some(&early.id));
            let Some((known_id, sent_request)) = sent.get_key_value(&early.id) else {
                return Err(format!("{}: not sent by any client", early.id));
            };
            // An incomplete request whose backend had the head is an attempt that may have run,
            // unless the first that the backend wrote for it, perhaps before it had the head, is a
            // complete response that it was not run.
            if !is_completed {
                counts.partial_attempts += 1;
                let first = log
                    .early_responses
                    .iter()
                    .find(|first| first.id == early.id);
                let from = first.map_or(early.from, |first| first.from);
                let response = parse_response(&log.written, from, sent_request.method);
                let response = response.ok().map(|(received, _)| received);
                let response =
                    response.filter(|response| response.single("x-attempt-id") == Some(&early.id));
                requests.entry(known_id).or_default().push(response);
            }
        }
    }
    counts.attempts += requests
        .values()
        .map(|attempts| attempts.len() as u64)
        .sum::<u64>();
    counts.retries += requests
        .values()
        .map(|attempts| attempts.len() as u64 - 1)
        .sum::<u64>();
    let not_run = |received: &Option<Message>| {
        let states_not_run = |received: &Message| {
            received.status() == 421 || !received.all("x-not-executed").is_empty()
        };
        received.as_ref().is_some_and(|received| {
            states_not_run(received) && !(200..300).contains(&received.status())
        })
    };
    for (id, attempts) in &requests {
        let may_have_run = attempts
            .iter()
            .filter(|received| !not_run(received))
            .count();
        if sent[*id].at_most_once && may_have_run > 1 {
            return Err(format!(
                "{id}: sent {} times, of which {may_have_run} may have run",
                attempts.len()
            ));
        }
    }
    let no_attempts = Vec::new();
    for (id, received) in case.received.borrow().iter() {
        let attempts = requests.get(id.as_str()).unwrap_or(&no_attempts);
        if received.single("x-attempt-id") != Some(id) {
            return Err(format!(
                "{id}: response for {:?}",
                received.all("x-attempt-id")
            ));
        }
        let implies_not_run = [408, 421, 429, 503].contains(&received.status());
        if implies_not_run && sent[id].at_most_once && !attempts.iter().all(not_run) {
            return Err(format!(
                "{id}: status {} although the request may have run",
                received.status()
            ));
        }
        // A response of the proxy's own has a body only if the proxy could not read the request.
        let is_unread_error = received.status() == 408
            && received.body == b"step=read field=body\n"
            && attempts.is_empty();
        let is_local = ([502, 503, 504].contains(&received.status()) && received.body.is_empty()
            || is_unread_error)
            && received.all("x-server-seal").is_empty()
            && received.all("x-not-executed").is_empty();
        let is_head = sent[id].method == "HEAD";
        let is_same = |backend_response: &&Message| {
            backend_response.status() == received.status()
                && (is_head || backend_response.body == received.body)
                && backend_response.all("x-server-seal") == received.all("x-server-seal")
                && backend_response.all("content-encoding").is_empty()
                && ((300..600).contains(&backend_response.status())
                    || backend_response.single("x-server-seal").is_some())
        };
        // Responses that began before their request was complete, and were read afterwards.
        let early_responses = logs.iter().flat_map(|log| {
            let of_this_request = log.early_responses.iter().filter(|early| early.id == *id);
            of_this_request
                .filter_map(|early| parse_response(&log.written, early.from, sent[id].method).ok())
        });
        let early_responses: Vec<_> = early_responses
            .map(|(received, _)| received)
            .filter(|received| received.single("x-attempt-id") == Some(id))
            .collect();
        match attempts
            .iter()
            .flatten()
            .chain(&early_responses)
            .find(is_same)
        {
            Some(_) => counts.forwarded += 1,
            None if is_local => {
                counts.local += 1;
                counts.never_forwarded += u64::from(attempts.is_empty());
            }
            None => {
                return Err(format!(
                    "{id}: {} {:?} is not a backend's response to this request",
                    received.start, received.headers
                ))
            }
        }
    }
    counts.requests += sent.len() as u64;
    counts.unanswered += (sent.len() - case.received.borrow().len()) as u64;
    Ok(())
}
