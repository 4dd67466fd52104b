//! One entry out of what all sources say of a node, and one node to an address.

use crate::source::Source;
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member};

/// The entry of a node, unless it is gone or nobody knows it.
pub(crate) fn merge(sources: &[Source], host: &str) -> Option<Member> {
    let mut best: Option<&Member> = None;
    let mut life: Millis = 0.0;
    // Stops by authoritative sources: what they say, and the latest life that they are for.
    let mut stops: Vec<(Health, Millis)> = Vec::new();
    for source in sources {
        let Some(said) = source.said(host) else {
            continue;
        };
        life = life.max(said.member.born_ms);
        // Sources come in the order of their precedence: an equal life does not displace.
        let newer = best.is_none_or(|best| said.member.born_ms > best.born_ms);
        if said.member.health != Health::Removed && !source.aged() && newer {
            best = Some(&said.member);
        }
        if said.member.health != Health::Up && source.settings.authoritative {
            stops.push((said.member.health, said.stopped_life));
        }
    }
    let best = best?;
    // A stop is for the lives known when it was told: a newer one is free of it.
    let holds = |wanted| {
        stops
            .iter()
            .any(|(health, until)| *health == wanted && life <= *until)
    };
    if holds(Health::Removed) {
        return None;
    }
    let health = if holds(Health::Draining) {
        Health::Draining
    } else {
        Health::Up
    };
    Some(Member {
        health,
        ..best.clone()
    })
}

/// Which of the nodes at one address holds it: the one that started last, then the lower name.
pub(crate) fn holder<'a>(nodes: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    nodes.min_by(|a, b| {
        b.born_ms
            .total_cmp(&a.born_ms)
            .then_with(|| a.host.cmp(&b.host))
    })
}
