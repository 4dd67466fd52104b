//! Checks the record of a case.

use crate::case::TestCase;
use crate::common::http::{parse_response, Message, ParseError};
use std::collections::HashMap;

/// How often things happened, over all cases.
#[derive(Default, Debug)]
pub struct Counts {
    pub requests: u64,
    pub forwarded: u64,
    pub local: u64,
    pub never_forwarded: u64,
    pub unanswered: u64,
    pub attempts: u64,
    pub retries: u64,
    pub unusable_connections: u64,
}

/// Checks the record of a case.
pub fn check_case(case: &TestCase, counts: &mut Counts) -> Result<(), String> {
    let sent = case.sent.borrow();
    // Of each request, in no order: its attempts, and the response to each.
    let mut requests: HashMap<&str, Vec<Option<Message>>> = HashMap::new();
    let logs: Vec<_> = case.logs.borrow().iter().cloned().collect();
    let logs: Vec<_> = logs.iter().map(|log| log.borrow()).collect();
    for log in &logs {
        // The offset up to which responses have been read, and since when the connection cannot be used.
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
                .ok_or("a request without one id")?;
            let (known_id, sent_request) = sent
                .get_key_value(id)
                .ok_or(format!("{id}: no client sent it"))?;
            if !request.start.starts_with(&format!(
                "{} {} HTTP/1.",
                sent_request.method, sent_request.path
            )) || request.body != sent_request.body
            {
                return Err(format!("{id}: it was changed: {request:?}"));
            }
            if request_ids.contains(&id) {
                return Err(format!("{id}: it came twice on one connection"));
            }
            request_ids.push(known_id);
            // What was written on it before the client sent this.
            if unusable_since.is_some_and(|at| at < sent_request.time) {
                return Err(format!("{id}: it came on a connection that was unusable"));
            }
            if *written > read && written_at(read + 1) < sent_request.time {
                return Err(format!(
                    "{id}: it came behind {} unsolicited bytes",
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
                    // Whatever the proxy makes of it, it cannot have read a response from it.
                    Err(ParseError::Incomplete) => unusable_since = Some(u64::MAX),
                }
                counts.unusable_connections += u64::from(unusable_since.is_some());
            }
            requests.entry(known_id).or_default().push(response);
        }
    }
    counts.attempts += requests.values().map(|all| all.len() as u64).sum::<u64>();
    counts.retries += requests
        .values()
        .map(|all| all.len() as u64 - 1)
        .sum::<u64>();
    let not_run = |received: &Option<Message>| {
        let says_not_run = |received: &Message| {
            received.status() == 421 || !received.all("x-not-executed").is_empty()
        };
        received.as_ref().is_some_and(|received| {
            says_not_run(received) && !(200..300).contains(&received.status())
        })
    };
    for (id, all) in &requests {
        let may_have_run = all.iter().filter(|received| !not_run(received)).count();
        if sent[*id].at_most_once && may_have_run > 1 {
            return Err(format!(
                "{id}: sent {} times, and {may_have_run} may have run it",
                all.len()
            ));
        }
    }
    let no_attempts = Vec::new();
    for (id, received) in case.received.borrow().iter() {
        let all = requests.get(id.as_str()).unwrap_or(&no_attempts);
        if received.single("x-attempt-id") != Some(id) {
            return Err(format!(
                "{id}: response for {:?}",
                received.all("x-attempt-id")
            ));
        }
        let promises_not_run = [408, 421, 429, 503].contains(&received.status());
        if promises_not_run && sent[id].at_most_once && !all.iter().all(not_run) {
            return Err(format!(
                "{id}: status {}, and it may have run",
                received.status()
            ));
        }
        // A local response has a body only if the request could not be read.
        let is_unread_error = received.status() == 408
            && received.body == b"step=read field=body\n"
            && all.is_empty();
        let is_local = ([502, 503, 504].contains(&received.status()) && received.body.is_empty()
            || is_unread_error)
            && received.all("x-server-seal").is_empty()
            && received.all("x-not-executed").is_empty();
        let head = sent[id].method == "HEAD";
        let is_same = |backend_response: &&Message| {
            backend_response.status() == received.status()
                && (head || backend_response.body == received.body)
                && backend_response.all("x-server-seal") == received.all("x-server-seal")
                && backend_response.all("content-encoding").is_empty()
                && ((300..600).contains(&backend_response.status())
                    || backend_response.single("x-server-seal").is_some())
        };
        // Responses that began before their request was complete, and were read after.
        let early_responses = logs.iter().flat_map(|log| {
            let request_ids = log
                .early_responses
                .iter()
                .filter(|(early_responses, _)| early_responses == id);
            request_ids
                .filter_map(|(_, from)| parse_response(&log.written, *from, sent[id].method).ok())
        });
        let early_responses: Vec<_> = early_responses
            .map(|(received, _)| received)
            .filter(|received| received.single("x-attempt-id") == Some(id))
            .collect();
        match all.iter().flatten().chain(&early_responses).find(is_same) {
            Some(_) => counts.forwarded += 1,
            None if is_local => {
                counts.local += 1;
                counts.never_forwarded += u64::from(all.is_empty());
            }
            None => {
                return Err(format!(
                    "{id}: {} {:?} is no backend's response to it",
                    received.start, received.headers
                ))
            }
        }
    }
    counts.requests += sent.len() as u64;
    counts.unanswered += (sent.len() - case.received.borrow().len()) as u64;
    Ok(())
}
