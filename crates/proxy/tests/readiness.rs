//! Readiness of a proxy that starts while the only controller it reaches is partitioned from the
//! others.

use maplefall_control_messages::{ConfigUpdate, Frame, InstanceUpdates};
use maplefall_gateway_config::{Item, ItemKind};
use maplefall_node_settings::Settings;
use maplefall_proxy::{Core, IncomingRequest, Rejection};
use maplefall_service_registry::InstanceRecord;

fn settings() -> Settings {
    let text = "Node = \"edge-1\"\nRole = \"switchboard\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\nIp = \"10.0.1.1\"\nZone = \"a\"\n\
        Region = \"r\"\nInternalPorts = [7000,7010]\nSeedAddrs = [\"10.0.0.1:8080\"]\nBootstrap = false\nQuorumMember = false\n\
        HeartbeatS = 1.5\nActiveLaws = [\"base\"]\nBounds = []\n[Zones]\na = \"r\"\n[Bind]\nFrontHttp = \"10.0.1.1:80\"\nReadyProbe = \"10.0.1.1:81\"\n";
    Settings::parse(text, std::path::Path::new("played")).expect("settings")
}

fn status_of_request(core: &mut Core, now: f64) -> u16 {
    let incoming = IncomingRequest {
        host: "h.example",
        path: "/",
        api_key: Some("k"),
        remaining: Some(500.0),
        received_at: now,
        is_repeated_admission: true,
    };
    match core.admit(now, &incoming, &mut Vec::new()) {
        Ok(_) => 200,
        Err(Rejection::Rejected(response) | Rejection::RejectedUnless(response, _)) => {
            response.status
        }
    }
}

/// Guards against a proxy that serves without a configuration: even if it knows controllers and
/// backends, it is not ready and responds 503, never 404 or 401, until a controller in quorum
/// contact has sent a configuration.
#[test]
fn a_proxy_without_a_configuration_is_not_ready_and_responds_503() {
    let mut core = Core::new(&settings(), 7);
    let mut out = Vec::new();
    core.controller_connected(0.0, "10.0.0.1", &mut out);
    let controllers = vec!["10.0.0.1".to_owned(), "10.0.0.2".to_owned()];
    let without_items = ConfigUpdate {
        controllers,
        ..ConfigUpdate::default()
    };
    core.receive(
        1.0,
        "10.0.0.1",
        Frame::ConfigUpdate(without_items),
        &mut out,
    );
    let backend = InstanceRecord {
        id: "b".into(),
        service: "s".into(),
        address: "10.1.0.1:80".into(),
        ..InstanceRecord::default()
    };
    core.receive(
        2.0,
        "10.0.0.1",
        Frame::InstanceUpdates(InstanceUpdates {
            records: vec![backend],
            ..InstanceUpdates::default()
        }),
        &mut out,
    );
    for second in 0..20 {
        let now = f64::from(second) * 1000.0;
        core.tick(now, &mut out);
        assert!(!core.ready(), "ready after {now} ms");
        assert_eq!(status_of_request(&mut core, now), 503);
    }
    assert!(
        core.controllers().contains("10.0.0.2"),
        "the other controller is unknown to the proxy"
    );
    let item = Item {
        kind: ItemKind::Service.into(),
        name: "s".into(),
        version: 1,
        ..Item::default()
    };
    let config = ConfigUpdate {
        index: 3,
        items: vec![item],
        ..ConfigUpdate::default()
    };
    core.receive(20_000.0, "10.0.0.2", Frame::ConfigUpdate(config), &mut out);
    assert!(core.ready());
    assert_eq!(status_of_request(&mut core, 20_000.0), 404);
}
