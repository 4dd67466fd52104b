//! A door that starts while the only exchange it reaches is cut off from the others.

use maplefall_control_messages::{Frame, Plans, Words};
use maplefall_gateway_config::{Item, Kind};
use maplefall_node_settings::Settings;
use maplefall_proxy::{Arrival, Core, Not};
use maplefall_service_registry::Word;

fn settings() -> Settings {
    let text = "Node = \"edge-1\"\nRole = \"switchboard\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\nIp = \"10.0.1.1\"\nZone = \"a\"\n\
        Region = \"r\"\nInternalPorts = [7000,7010]\nSeedAddrs = [\"10.0.0.1:8080\"]\nBootstrap = false\nQuorumMember = false\n\
        HeartbeatS = 1.5\nActiveLaws = [\"base\"]\nBounds = []\n[Zones]\na = \"r\"\n[Bind]\nFrontHttp = \"10.0.1.1:80\"\nReadyProbe = \"10.0.1.1:81\"\n";
    Settings::read(text, std::path::Path::new("played")).expect("settings")
}

fn statuses(core: &mut Core, now: f64) -> u16 {
    let arrival = Arrival {
        host: "h.example",
        path: "/",
        key: Some("k"),
        remaining: Some(500.0),
        at: now,
        again: true,
    };
    match core.arrive(now, &arrival, &mut Vec::new()) {
        Ok(_) => 200,
        Err(Not::At(last) | Not::Yet(last, _)) => last.status,
    }
}

/// Guards what a door serves by: told which exchanges there are, and even which backends, it stays not ready and answers 503, never 404 or 401,
/// until an exchange in touch has given it a configuration.
#[test]
fn a_door_that_is_held_back_is_not_ready_and_promises_to_be() {
    let mut core = Core::new(&settings(), 7);
    let mut out = Vec::new();
    core.exchange_up(0.0, "10.0.0.1", &mut out);
    let exchanges = vec!["10.0.0.1".to_owned(), "10.0.0.2".to_owned()];
    let held_back = Plans {
        exchanges,
        ..Plans::default()
    };
    core.heard(1.0, "10.0.0.1", Frame::Plans(held_back), &mut out);
    let word = Word {
        id: "b".into(),
        service: "s".into(),
        address: "10.1.0.1:80".into(),
        ..Word::default()
    };
    core.heard(
        2.0,
        "10.0.0.1",
        Frame::Words(Words {
            words: vec![word],
            ..Words::default()
        }),
        &mut out,
    );
    for second in 0..20 {
        let now = f64::from(second) * 1000.0;
        core.tick(now, &mut out);
        assert!(!core.ready(), "ready after {now} ms");
        assert_eq!(statuses(&mut core, now), 503);
    }
    assert!(
        core.exchanges().contains("10.0.0.2"),
        "it has not learned where else to ask"
    );
    let item = Item {
        kind: Kind::Service.into(),
        name: "s".into(),
        version: 1,
        ..Item::default()
    };
    let plans = Plans {
        index: 3,
        items: vec![item],
        ..Plans::default()
    };
    core.heard(20_000.0, "10.0.0.2", Frame::Plans(plans), &mut out);
    assert!(core.ready());
    assert_eq!(statuses(&mut core, 20_000.0), 404);
}
