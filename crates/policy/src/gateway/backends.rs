//! The list of backends.

use super::*;

impl Gateway {
    pub(super) fn list_changed(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: &[BackendEntry],
        out: &mut Vec<Action>,
    ) {
        if self.set.discovery == Discovery::OnRequest {
            match kind {
                ListKind::Cached => out.push(Action::Subscribe),
                ListKind::Failed => {
                    let pause = self.set.ask_within / 8.0 * (0.5 + chance(&mut self.rng));
                    out.push(Action::SetAlarm { at: now + pause, alarm: LIST_ALARM });
                }
                ListKind::Full | ListKind::Changes => {}
            }
        }
        let whole = matches!(kind, ListKind::Full | ListKind::Cached);
        if whole {
            for backend in self.backends.values_mut() {
                backend.entry.availability = Availability::Gone;
            }
        }
        for entry in entries {
            let mut entry = *entry;
            entry.size = in_range(entry.size, 0.01, 1e6, 1.0);
            let (turn, place) = (chance(&mut self.rng), chance(&mut self.rng));
            let fresh = Backend::new(entry, now, turn, place);
            let known = self.backends.entry(entry.id).or_insert_with(|| fresh.clone());
            if known.entry.started != entry.started {
                let (flights, place) = (std::mem::take(&mut known.out), known.place);
                *known = Backend { out: flights, place, ..fresh };
            }
            known.entry = entry;
        }
        let all: Vec<BackendId> = if whole { self.backends.keys().copied().collect() } else { Vec::new() };
        all.into_iter().chain(entries.iter().map(|e| e.id)).for_each(|id| self.follow(id));
        for id in self.index.over().collect::<Vec<_>>() {
            self.backends.remove(&id);
            self.follow(id);
        }
    }
}

impl Backend {
    pub(super) fn new(entry: BackendEntry, now: Millis, turn: f64, place: f64) -> Self {
        Backend {
            entry,
            out: BTreeMap::new(),
            pace: Pace::default(),
            last_answer: now,
            trust: Trust::default(),
            turn,
            place,
        }
    }

    /// Share of its capacity that a started backend has at least, by what it starts with and when it is warm.
    pub(super) fn warmth(&self, now: Millis, first: f64, span: Millis) -> f64 {
        let Some(at) = self.entry.started else { return 1.0 };
        first + (1.0 - first) * ((now - at) / span.max(1.0)).clamp(0.0, 1.0)
    }
}
