//! Merges the entries of a backend in all sources into one (rules 2 and 6).

use crate::source::Source;
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member};

/// Returns the merged entry of a backend; `None` if it is removed or unknown. Sources come in the
/// order of their precedence.
pub(crate) fn merge(sources: &[Source], host: &str) -> Option<Member> {
    let mut details: Option<&Member> = None;
    let mut latest_start: Millis = 0.0;
    // The latest starts up to which authoritative sources have removed or drained the backend.
    let mut removed_up_to = f64::NEG_INFINITY;
    let mut drained_up_to = f64::NEG_INFINITY;
    for source in sources {
        let Some(record) = source.record(host) else {
            continue;
        };
        let member = &record.member;
        latest_start = latest_start.max(member.born_ms);
        // If several sources have the same instance, the first of them provides the details.
        let is_newer = details.is_none_or(|details| member.born_ms > details.born_ms);
        if record.is_listed() && !source.is_expired() && is_newer {
            details = Some(member);
        }
        if source.settings.authoritative {
            match member.health {
                Health::Up => {}
                Health::Draining => drained_up_to = drained_up_to.max(record.stopped_up_to),
                Health::Removed => removed_up_to = removed_up_to.max(record.stopped_up_to),
            }
        }
    }
    let details = details?;
    if latest_start <= removed_up_to {
        return None;
    }
    let health = if latest_start <= drained_up_to {
        Health::Draining
    } else {
        Health::Up
    };
    Some(Member {
        health,
        ..details.clone()
    })
}
