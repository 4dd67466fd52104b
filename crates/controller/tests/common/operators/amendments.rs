//! Random amendments, and the choice of an operator's next call.

use super::{Activity, Amendment, Operators};
use maplefall_gateway_config::parse_amend;
use std::collections::{BTreeMap, BTreeSet};

impl Operators {
    pub(super) fn add_amendment(&mut self, body: String) -> usize {
        let change = parse_amend(body.as_bytes()).ok();
        let sent_after = self.lengths.len();
        self.amendments.push(Amendment {
            body,
            change,
            accepted: None,
            status: None,
            sent_after,
            is_shared: false,
        });
        self.amendments.len() - 1
    }

    fn draw_amendment(&mut self) -> usize {
        self.nonce += 1;
        // Draws the latest version again, an older version, or a new version.
        let version = match self.simulation.draw(10) {
            0 | 1 if self.version > 3 => self.version,
            2 if self.version > 3 => 1 + self.simulation.draw(self.version),
            _ => {
                self.version += 1 + self.simulation.draw(3);
                self.version
            }
        };
        let (mut lists, mut drops) = (
            BTreeMap::<&str, Vec<String>>::new(),
            BTreeMap::<&str, Vec<String>>::new(),
        );
        let mut names = BTreeSet::new();
        for _ in 0..1 + self.simulation.draw(3) {
            let (kind, at) = (self.simulation.draw(8), self.simulation.draw(4));
            let nonce = self.nonce;
            let drop = self.simulation.draw(4) == 0;
            let (list, name, row) = match kind {
                0..=3 => {
                    let (host, prefix) = (self.simulation.draw(2), self.simulation.draw(3));
                    let (service, timeout) = (
                        self.simulation.draw(4),
                        if self.simulation.draw(40) == 0 {
                            601
                        } else {
                            2
                        },
                    );
                    let name = format!("r{at}");
                    let row = format!(
                        "[\"{name}\",\"h{host}.example\",\"/p{prefix}/\",\"safe\",{timeout},{nonce},\"s{service}\",\"{version:08x}\"]"
                    );
                    ("RouteTable", name, row)
                }
                4 | 5 => {
                    let (name, key) = (format!("t{at}"), self.simulation.draw(5));
                    let row =
                        format!("[\"{name}\",[\"k{key}\",\"own{at}\"],{nonce},\"{version:08x}\"]");
                    ("Tenants", name, row)
                }
                _ => {
                    let name = format!("s{at}");
                    let row = format!("[\"{name}\",{nonce},\"{version:08x}\"]");
                    ("Services", name, row)
                }
            };
            if !names.insert(name.clone()) {
                continue;
            }
            if drop {
                let row = format!("{{\"Name\":\"{name}\",\"Version\":\"{version:08x}\"}}");
                drops.entry(list).or_default().push(row);
            } else {
                lists.entry(list).or_default().push(row);
            }
        }
        let columns = |list: &str| {
            match list {
            "RouteTable" => {
                "\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"SetpointS\",\"Service\",\"Version\""
            }
            "Tenants" => "\"Name\",\"ApiKeys\",\"BurstSize\",\"Version\"",
            _ => "\"Name\",\"ConnLimit\",\"Version\"",
        }
        };
        let lists: Vec<String> = lists
            .iter()
            .map(|(list, rows)| {
                let (columns, rows) = (columns(list), rows.join(","));
                format!("\"{list}\":{{\"ColumnNames\":[{columns}],\"DataRows\":[{rows}]}}")
            })
            .collect();
        let drops: Vec<String> = drops
            .iter()
            .map(|(list, rows)| format!("\"{list}\":[{}]", rows.join(",")))
            .collect();
        self.add_amendment(format!(
            "{{\"Upsert\":{{{}}},\"Remove\":{{{}}}}}",
            lists.join(","),
            drops.join(",")
        ))
    }

    /// Starts the next call of an operator: a read, an amendment that another operator is sending,
    /// one that was accepted before, or a new one.
    pub(super) fn choose_next(&mut self, operator: usize) {
        if self.is_winding_down {
            self.operators[operator].activity = Activity::Idle;
            return;
        }
        let accepted: Vec<usize> = (0..self.amendments.len())
            .filter(|n| self.amendments[*n].status == Some(200))
            .collect();
        match self.simulation.draw(10) {
            0 => self.send(operator, None),
            // Sends the amendment that another operator is sending at the moment.
            1 if self
                .operators
                .iter()
                .any(|operator| operator.amendment.is_some() && operator.attempts > 0) =>
            {
                let in_progress: Vec<usize> = self
                    .operators
                    .iter()
                    .filter(|operator| operator.attempts > 0)
                    .filter_map(|operator| operator.amendment)
                    .collect();
                let amendment = in_progress
                    .get(self.simulation.draw(8) as usize % in_progress.len().max(1))
                    .copied();
                if let Some(amendment) = amendment {
                    self.amendments[amendment].is_shared = true;
                }
                self.send(operator, amendment);
            }
            2..=4 if !accepted.is_empty() => {
                let amendment = accepted[self.simulation.draw(accepted.len() as u32) as usize];
                self.statistics.repeated += 1;
                self.send(operator, Some(amendment));
            }
            _ => {
                let amendment = self.draw_amendment();
                self.send(operator, Some(amendment));
            }
        }
    }
}
