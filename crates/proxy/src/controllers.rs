//! Connections to the exchanges: one to each, kept for as long as the door runs.

use crate::driver::Proxy;
use maplefall_control_messages::Hello;
use maplefall_control_transport::{
    connect, run_connection, Event, Handshake, ReconnectBackoff, OUTGOING_QUEUE_FRAMES,
};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long the others wait for the first to bring the configuration, so that not all of them do.
const HEAD_START: Duration = Duration::from_millis(150);

/// Dials every exchange that is known, now and later.
pub async fn follow(door: Rc<Proxy>, hello: Hello, port: u16) {
    let mut dialled: BTreeSet<String> = BTreeSet::new();
    loop {
        let all = door.ask(|core| core.controllers().clone());
        // Doors begin with different ones.
        let turn = hello.incarnation as usize % all.len().max(1);
        for ip in all.iter().cycle().skip(turn).take(all.len()) {
            let Ok(address) = ip.parse::<IpAddr>() else {
                continue;
            };
            if dialled.insert(ip.clone()) {
                let head_start = if dialled.len() > 1 {
                    HEAD_START
                } else {
                    Duration::ZERO
                };
                let (door, hello) = (door.clone(), hello.clone());
                tokio::task::spawn_local(keep(
                    door,
                    hello,
                    SocketAddr::new(address, port),
                    head_start,
                ));
            }
        }
        door.more_exchanges.notified().await;
    }
}

async fn keep(door: Rc<Proxy>, hello: Hello, address: SocketAddr, head_start: Duration) {
    let name = address.ip().to_string();
    // The settings have been read: it is an address.
    let Ok(from) = hello.ip.parse::<IpAddr>() else {
        return;
    };
    if !head_start.is_zero() {
        tokio::time::sleep(head_start).await;
    }
    let (mut known, mut pause) = (true, ReconnectBackoff::default());
    loop {
        let mut up = false;
        let end = match connect(from, address).await {
            Ok(stream) => {
                let (sender, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
                let mut sender = Some(sender);
                let hello = Hello {
                    config_index: door.ask(|core| core.index()),
                    ..hello.clone()
                };
                run_connection(stream, outgoing, Handshake::Initiator(hello), |event| {
                    match (event, sender.take()) {
                        (Event::Up, Some(sender)) => {
                            up = true;
                            door.exchanges.borrow_mut().insert(name.clone(), sender);
                            log::info!("event=exchange_up exchange={name}");
                            door.drive(|core, now, out| core.controller_connected(now, &name, out));
                        }
                        (Event::Frame(frame), _) => {
                            door.drive(|core, now, out| core.receive(now, &name, frame, out));
                        }
                        _ => {}
                    }
                    true
                })
                .await
            }
            Err(end) => end,
        };
        if up {
            (known, pause) = (true, ReconnectBackoff::default());
            door.exchanges.borrow_mut().remove(&name);
            door.ask(|core| core.controller_disconnected(&name));
        }
        if std::mem::take(&mut known) {
            log::info!("event=exchange_down exchange={name} {end}");
        }
        pause.wait().await;
    }
}
