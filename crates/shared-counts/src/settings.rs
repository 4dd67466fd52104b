//! What an operator may set of shared counts.

use maplefall_policy::Millis;

/// How counts are shared. [`Settings::mistakes`] tells what cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name: datagrams of others change nothing.
    pub cluster: String,
    /// The key that all doors of the cluster share.
    pub key: Vec<u8>,
    /// Time between two rounds of gossip.
    pub interval: Millis,
    /// Peers that are told in each round.
    pub fan_out: usize,
    /// Length of an epoch.
    pub epoch: Millis,
    /// Epochs that are kept, the present one with them.
    pub epochs_kept: u32,
    /// Bytes of a datagram at most.
    pub datagram: usize,
    /// Datagrams that are taken in a second, and sent in a second, at most.
    pub most_per_second: f64,
    /// Doors at most, this one with them.
    pub most_members: usize,
    /// Customers with a count of their own, for each epoch of this door.
    pub most_told: usize,
    /// Counts of all doors and epochs that are held at most.
    pub most_counts: usize,
    /// Suspicion (phi) from which on a silent door is suspected.
    pub suspect: f64,
    /// How long a door stays suspected before it is taken for gone.
    pub gone_after: Millis,
    /// How long a door that is gone is remembered, and called now and then.
    pub forget_after: Millis,
}

/// A figure that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The field.
    pub field: &'static str,
    /// What was expected there.
    pub expected: String,
}

/// Bytes of a datagram for each line of its digest, with what stands beside the digest.
const BYTES_A_LINE: f64 = 44.0;

impl Settings {
    /// The defaults, for a cluster and a key.
    pub fn usual(cluster: &str, key: Vec<u8>) -> Settings {
        Settings {
            cluster: cluster.to_owned(),
            key,
            interval: 200.0,
            fan_out: 3,
            epoch: 5000.0,
            epochs_kept: 4,
            datagram: 1200,
            most_per_second: 2000.0,
            most_members: 512,
            most_told: 1024,
            most_counts: 65_536,
            suspect: 8.0,
            gone_after: 10_000.0,
            forget_after: 600_000.0,
        }
    }

    /// How long a count is kept at least, from its last change on.
    pub fn horizon(&self) -> Millis {
        self.epoch * f64::from(self.epochs_kept.saturating_sub(1))
    }

    /// How old news is at most, in milliseconds, while all of so many doors are up, this part of the datagrams is lost and
    /// none takes longer than `delay`: four times the rounds that a rumour takes through all doors, and the rounds in which all
    /// are told of once.
    pub fn news_bound(&self, doors: usize, loss: f64, delay: Millis) -> Millis {
        let (doors, kept) = (doors.max(2) as f64, (1.0 - loss).clamp(0.01, 1.0));
        let lines = self.datagram as f64 / BYTES_A_LINE;
        let rounds = doors.ln() / (1.0 + self.fan_out as f64 * kept).ln() + doors / lines;
        4.0 * self.interval * rounds / kept + 2.0 * delay * doors.log2()
    }

    /// All that cannot be used.
    pub fn mistakes(&self) -> Vec<Mistake> {
        let mut found = Vec::new();
        let mut within = |field, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                found.push(Mistake {
                    field,
                    expected: format!("a number from {least} to {most}"),
                });
            }
        };
        within("interval_ms", self.interval, 20.0, 10_000.0);
        within("fan_out", self.fan_out as f64, 1.0, 16.0);
        within("epoch_ms", self.epoch, 500.0, 600_000.0);
        within("epochs_kept", f64::from(self.epochs_kept), 2.0, 16.0);
        within(
            "datagram_bytes",
            self.datagram as f64,
            512.0,
            crate::wire::MOST_DATAGRAM as f64,
        );
        within("most_per_second", self.most_per_second, 10.0, 100_000.0);
        within("most_members", self.most_members as f64, 2.0, 1024.0);
        within("most_told", self.most_told as f64, 1.0, 65_536.0);
        within("most_counts", self.most_counts as f64, 1024.0, 4_194_304.0);
        within("suspect_phi", self.suspect, 1.0, 16.0);
        within("gone_after_ms", self.gone_after, 100.0, 600_000.0);
        within("forget_after_ms", self.forget_after, 1000.0, 86_400_000.0);
        if self.cluster.is_empty() || self.cluster.len() > 64 {
            found.push(Mistake {
                field: "cluster",
                expected: "a name of 1 to 64 bytes".to_owned(),
            });
        }
        if self.key.len() < 16 || self.key.len() > 64 {
            found.push(Mistake {
                field: "key",
                expected: "32 to 128 hexadecimal digits".to_owned(),
            });
        }
        found
    }
}
