//! Operator calls: accepted amendments stay known under every version, and no response is given
//! that a later leader could contradict (`docs/design/control-operator-calls.md`).

#[path = "common/simulation/mod.rs"]
mod simulation;

use maplefall_controller::core::{Call, CallResponse};
use simulation::{Occurrence, Simulation};

const ROUTE: &str =
    "\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"Service\",\"Version\"";

fn call(upsert: &str, remove: &str) -> String {
    format!("{{\"Upsert\":{{{upsert}}},\"Remove\":{{{remove}}}}}")
}

fn route(name: &str, path: &str, service: &str, timeout: u32, version: u32) -> String {
    call(
        &format!(
            "\"RouteTable\":{{\"ColumnNames\":[{ROUTE}],\"DataRows\":\
             [[\"{name}\",\"one.example\",\"/{path}/\",\"safe\",{timeout},\"{service}\",\"{version:08x}\"]]}}"
        ),
        "",
    )
}

fn service(name: &str, limit: u32, version: u32) -> String {
    call(
        &format!(
            "\"Services\":{{\"ColumnNames\":[\"Name\",\"ConnLimit\",\"Version\"],\"DataRows\":[[\"{name}\",{limit},\"{version:08x}\"]]}}"
        ),
        "",
    )
}

fn drop_service(name: &str, version: u32) -> String {
    call(
        "",
        &format!("\"Services\":[{{\"Name\":\"{name}\",\"Version\":\"{version:08x}\"}}]"),
    )
}

/// Returns the status of one call to the only controller, or 0 without a response.
fn status(simulation: &mut Simulation, body: String) -> u16 {
    let at = simulation.names()[0].clone();
    let number = simulation.call(&at, Call::Amend(body.into()));
    let until = simulation.now() + 3000.0;
    loop {
        match simulation.next(until) {
            Occurrence::Received(call, response) if call == number => {
                return match response {
                    CallResponse::Ok(_) => 200,
                    CallResponse::Rejected(status, _) => status,
                    CallResponse::Redirect(_) => 307,
                    CallResponse::Unavailable => 503,
                }
            }
            Occurrence::Finished => return 0,
            _ => {}
        }
    }
}

fn single_controller() -> Simulation {
    let mut simulation = Simulation::new(3, 1);
    simulation.run(2000.0);
    for name in ["s1", "s2"] {
        assert_eq!(status(&mut simulation, service(name, 9, 1)), 200);
    }
    simulation
}

/// Only one content is ever confirmed under a version, also after a higher version is committed and
/// after a restart.
#[test]
fn one_version_is_confirmed_with_one_content() {
    let mut simulation = single_controller();
    assert_eq!(status(&mut simulation, route("r", "a", "s1", 1, 7)), 200);
    assert_eq!(status(&mut simulation, route("r", "a", "s1", 2, 9)), 200);
    for _ in 0..2 {
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 3, 7)), 409);
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 1, 7)), 200);
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 2, 9)), 200);
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 3, 9)), 409);
        // Version 8 is lower than the committed version 9 and was never used: the first content
        // sent under version 8 is accepted and changes nothing.
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 4, 8)), 200);
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 5, 8)), 409);
        let at = simulation.names()[0].clone();
        simulation.crash(&at, 50.0);
        simulation.run(2000.0);
    }
    let config = simulation.proxy("10.0.0.1").items.read_back();
    assert!(config.contains("\"00000009\""), "{config}");
}

/// An amendment that was accepted is acknowledged again, whatever has been committed since; an
/// amendment that was never accepted is validated as usual.
#[test]
fn accepted_amendment_is_acknowledged_again() {
    let mut simulation = single_controller();
    let first = route("r", "a", "s1", 1, 7);
    assert_eq!(status(&mut simulation, first.clone()), 200);
    assert_eq!(status(&mut simulation, route("r", "b", "s2", 1, 9)), 200);
    assert_eq!(status(&mut simulation, drop_service("s1", 9)), 200);
    for expected_status in [400, 409] {
        assert_eq!(status(&mut simulation, first.clone()), 200);
        assert_eq!(status(&mut simulation, service("s1", 9, 1)), 200);
        // An amendment with another route to the removed service was never accepted, so it is
        // rejected.
        assert_eq!(status(&mut simulation, route("q", "c", "s1", 1, 7)), 400);
        // This version of the first route was never accepted either, so it is rejected although it
        // would change nothing.
        assert_eq!(status(&mut simulation, route("r", "a", "s1", 1, 8)), 400);
        // If a call contains items that were accepted before and new ones, only the new ones are
        // validated.
        let both = |new: &str| {
            first.replace(
                "]]",
                &format!("],[\"q\",\"two.example\",\"/a/\",\"safe\",1,\"{new}\",\"00000002\"]]"),
            )
        };
        assert_eq!(status(&mut simulation, both("s1")), expected_status);
        assert_eq!(status(&mut simulation, both("s2")), 200);
        let at = simulation.names()[0].clone();
        simulation.crash(&at, 50.0);
        simulation.run(2000.0);
    }
}

/// Returns the leader: the controller that responds to a read.
fn leader(simulation: &mut Simulation) -> String {
    for name in simulation.names().to_vec() {
        if response_of(simulation, &name, Call::ReadConfig)
            .is_some_and(|response| matches!(response, CallResponse::Ok(_)))
        {
            return name;
        }
    }
    panic!("no leader");
}

/// Returns the response of a controller to a call, if it arrives within two seconds.
fn response_of(simulation: &mut Simulation, at: &str, call: Call) -> Option<CallResponse> {
    let number = simulation.call(at, call);
    let until = simulation.now() + 2000.0;
    loop {
        match simulation.next(until) {
            Occurrence::Received(call, response) if call == number => return Some(response),
            Occurrence::Finished => return None,
            _ => {}
        }
    }
}

/// A former leader that does not know that it is deposed, or is partitioned from the others,
/// confirms nothing new and rejects only what every controller rejects. The partition is in both
/// directions or in either one.
#[test]
fn partitioned_leader_neither_confirms_nor_rejects() {
    let conflicting = route("r", "a", "s1", 2, 7);
    let unknown_service = route("q", "b", "s9", 1, 7);
    let new = route("q", "b", "s1", 1, 7);
    for (seed, body) in (20..).zip(
        [&conflicting, &unknown_service, &new]
            .into_iter()
            .cycle()
            .take(9),
    ) {
        println!("seed {seed}");
        let (mut simulation, first) = three_controllers(seed);
        for (body, expected) in [(&conflicting, 409), (&unknown_service, 400)] {
            assert!(
                is_rejected(&response_of(&mut simulation, &first, amend(body)), expected),
                "with quorum contact: {body}"
            );
        }
        let direction = (seed - 20) / 3;
        for peer in simulation.names().to_vec() {
            if direction != 1 {
                simulation.block_link(&first, &peer);
            }
            if direction != 2 {
                simulation.block_link(&peer, &first);
            }
        }
        // The former leader is called at once, while it still believes that it leads, and after it
        // has stepped down.
        for _ in 0..3 {
            let response = response_of(&mut simulation, &first, amend(body));
            let is_indefinite = matches!(
                response,
                None | Some(CallResponse::Unavailable | CallResponse::Redirect(_))
            );
            assert!(
                is_indefinite,
                "partitioned, direction {direction}: {response:?} to {body}"
            );
        }
        // An amendment that no controller could accept is rejected at once.
        let response = response_of(
            &mut simulation,
            &first,
            amend(&route("q", "b", "s1", 601, 7)),
        );
        assert!(is_rejected(&response, 400), "{response:?}");
    }
}

fn amend(body: &str) -> Call {
    Call::Amend(body.to_owned().into())
}

fn is_rejected(response: &Option<CallResponse>, expected: u16) -> bool {
    matches!(response, Some(CallResponse::Rejected(status, _)) if *status == expected)
}

/// Returns three controllers with two services and a route, and their leader.
fn three_controllers(seed: u64) -> (Simulation, String) {
    let mut simulation = Simulation::new(seed, 3);
    simulation.run(3000.0);
    let first = leader(&mut simulation);
    for body in [
        service("s1", 9, 1),
        service("s2", 9, 1),
        route("r", "a", "s1", 1, 7),
    ] {
        assert_eq!(
            response_of(&mut simulation, &first, amend(&body)),
            Some(CallResponse::Ok("{}".to_owned()))
        );
    }
    (simulation, first)
}

/// A leader that was paused with a pending amendment receives, in one message, the new term and the
/// entry that was committed at the amendment's index. The amendment is not committed and must not
/// be confirmed.
#[test]
fn amendment_is_not_confirmed_by_another_leaders_entry() {
    let (mut simulation, first) = three_controllers(50);
    let peers: Vec<String> = simulation
        .names()
        .iter()
        .filter(|name| **name != first)
        .cloned()
        .collect();
    for peer in &peers {
        simulation.block_link(&first, peer);
        simulation.block_link(peer, &first);
    }
    let body = route("q", "b", "s1", 1, 7);
    let number = simulation.call(&first, amend(&body));
    simulation.run(5.0);
    simulation.frames_first = true;
    simulation.pause(&first, 5000.0);
    simulation.run(3500.0);
    let next = peers.iter().find(|peer| {
        let other = Call::Amend(route("q", "c", "s2", 1, 8).into());
        matches!(
            response_of(&mut simulation, peer, other),
            Some(CallResponse::Ok(_))
        )
    });
    assert!(next.is_some(), "the others have no leader");
    simulation.heal();
    let (mut last_response, until) = (None, simulation.now() + 3000.0);
    loop {
        match simulation.next(until) {
            Occurrence::Responded(call, response) if call == number => {
                last_response = Some(response)
            }
            Occurrence::Finished => break,
            _ => {}
        }
    }
    assert_eq!(last_response, Some(CallResponse::Unavailable));
    let committed_items = simulation
        .committed
        .values()
        .flat_map(|change| &change.items);
    assert!(committed_items
        .clone()
        .any(|item| item.name == "q" && item.version == 8));
    assert!(!committed_items
        .clone()
        .any(|item| item.name == "q" && item.version == 7));
}

/// An amendment that is repeated while it is pending is confirmed with its entry; no second entry
/// is appended.
#[test]
fn repeated_amendment_waits_for_its_entry() {
    let (mut simulation, first) = three_controllers(60);
    let before = simulation.committed.len();
    for is_partitioned in [true, false] {
        let body = route(
            "q",
            "b",
            "s1",
            1 + u32::from(is_partitioned),
            7 + u32::from(is_partitioned),
        );
        if is_partitioned {
            for peer in simulation.names().to_vec() {
                simulation.block_link(&first, &peer);
            }
        }
        let calls = [(); 3].map(|()| simulation.call(&first, amend(&body)));
        let (mut responses, until) = (Vec::new(), simulation.now() + 2000.0);
        loop {
            match simulation.next(until) {
                Occurrence::Responded(call, response) if calls.contains(&call) => {
                    responses.push(response)
                }
                Occurrence::Finished => break,
                _ => {}
            }
        }
        let expected = if is_partitioned {
            CallResponse::Unavailable
        } else {
            CallResponse::Ok("{}".to_owned())
        };
        assert_eq!(
            responses,
            vec![expected; 3],
            "partitioned: {is_partitioned}"
        );
        simulation.heal();
        simulation.run(4000.0);
        if is_partitioned {
            // Crashes the current leader until the first leader leads again.
            while leader(&mut simulation) != first {
                let now = leader(&mut simulation);
                simulation.crash(&now, 1500.0);
                simulation.run(4000.0);
            }
        }
    }
    assert!(simulation.committed.len() <= before + 2);
    let committed_items = simulation
        .committed
        .values()
        .filter(|change| change.items.iter().any(|item| item.version == 7));
    assert!(
        committed_items
            .filter(|change| change.items[0].name == "q")
            .count()
            == 1
    );
}

fn tenant(name: &str, key: &str, version: u32) -> String {
    let columns = "\"Name\",\"ApiKeys\",\"Version\"";
    call(
        &format!(
            "\"Tenants\":{{\"ColumnNames\":[{columns}],\"DataRows\":[[\"{name}\",[\"{key}\"],\"{version:08x}\"]]}}"
        ),
        "",
    )
}

/// Of two amendments that are each valid and contradict each other, only the first to arrive is
/// accepted, also when both are pending at once.
#[test]
fn only_the_first_of_two_contradicting_amendments_is_accepted() {
    let pairs = [
        (
            route("p", "same", "s1", 1, 7),
            route("q", "same", "s1", 1, 7),
        ),
        (tenant("t", "key", 7), tenant("u", "key", 7)),
        (drop_service("s2", 7), route("q", "b", "s2", 1, 7)),
        (route("r", "a", "s1", 2, 9), route("r", "a", "s1", 3, 9)),
    ];
    let mut first_accepted = [[0; 2]; 4];
    for (seed, at) in (100..).zip((0..4).cycle().take(40)) {
        println!("seed {seed}");
        let (mut simulation, first) = three_controllers(seed);
        let (one, other) = &pairs[at];
        let calls = [
            simulation.call(&first, amend(one)),
            simulation.call(&first, amend(other)),
        ];
        let (mut responses, until) = ([None, None], simulation.now() + 2000.0);
        loop {
            match simulation.next(until) {
                Occurrence::Received(call, response) => {
                    responses[usize::from(call == calls[1])] = Some(response);
                }
                Occurrence::Finished => break,
                _ => {}
            }
        }
        let accepted = usize::from(responses[1] == Some(CallResponse::Ok("{}".to_owned())));
        assert_eq!(
            responses[accepted],
            Some(CallResponse::Ok("{}".to_owned())),
            "{responses:?}"
        );
        assert!(
            is_rejected(&responses[1 - accepted], if at == 3 { 409 } else { 400 }),
            "{responses:?}"
        );
        first_accepted[at][accepted] += 1;
    }
    assert!(
        first_accepted.iter().flatten().all(|count| *count > 0),
        "an order of arrival did not occur: {first_accepted:?}"
    );
}

/// The history of versions is bounded: an evicted version gets no definite response, whatever its
/// content, also after a restart from a snapshot; the newest versions stay known.
#[test]
fn evicted_version_gets_no_definite_response() {
    let mut simulation = Simulation::new(3, 1);
    simulation.compact_after = Some(50);
    simulation.run(2000.0);
    for version in 1..=300 {
        assert_eq!(
            status(&mut simulation, service("s1", version, version)),
            200
        );
    }
    for _ in 0..2 {
        for (version, limit, expected) in [
            (1, 1, 503),
            (1, 9, 503),
            (43, 43, 503),
            (44, 44, 200),
            (44, 9, 409),
            (300, 300, 200),
        ] {
            assert_eq!(
                status(&mut simulation, service("s1", limit, version)),
                expected,
                "{version} with {limit}"
            );
        }
        let at = simulation.names()[0].clone();
        simulation.crash(&at, 50.0);
        simulation.run(2000.0);
        assert!(
            simulation.disk(&at).raft.snapshot.index > 200,
            "nothing was compacted"
        );
    }
    assert!(simulation.log_lines.iter().any(|(_, line)| line
        .contains("event=version_evicted list=Services item=\"s1\" version=00000001")));
}
