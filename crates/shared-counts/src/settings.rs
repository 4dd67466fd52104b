//! Operator settings of shared counts, and their validation.

use maplefall_policy::Millis;

/// How counts are shared. [`Settings::usual`] returns the defaults; [`Settings::mistakes`]
/// validates.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name: datagrams of other clusters are rejected.
    pub cluster: String,
    /// The secret key that all nodes of the cluster share.
    pub key: Vec<u8>,
    /// The mean time between two gossip rounds, 200 ms by default.
    pub interval: Millis,
    /// The number of peers contacted per round, 3 by default.
    pub fan_out: usize,
    /// The length of an epoch, 5 s by default.
    pub epoch: Millis,
    /// The number of epochs kept, the current one included, 4 by default.
    pub epochs_kept: u32,
    /// The maximum size of a datagram that is sent, in bytes, 1200 by default.
    pub datagram_bytes: usize,
    /// The maximum number of datagrams per second, for receiving and sending each, 2000 by default.
    pub max_datagrams_per_second: f64,
    /// The maximum number of nodes, this one included, 512 by default.
    pub max_members: usize,
    /// The maximum number of customers with a count of their own per epoch of this node, 1024 by
    /// default.
    pub max_tracked_customers: usize,
    /// The maximum number of counts, over all nodes and epochs, 65,536 by default.
    pub max_counts: usize,
    /// The suspicion level (phi) above which a silent node is suspected, 8 by default.
    pub suspect_phi: f64,
    /// How long a node is suspected before it counts as gone, 10 s by default.
    pub gone_after: Millis,
    /// How long a node that is gone is remembered and occasionally contacted, 10 minutes by
    /// default.
    pub forget_after: Millis,
}

/// A setting outside its allowed values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The field in the settings file.
    pub field: &'static str,
    /// The allowed values.
    pub expected: String,
}

/// Bytes of a datagram per digest entry, with the other sections' bytes included.
const BYTES_PER_DIGEST_ENTRY: f64 = 44.0;

/// The maximum length of a cluster's name.
const MAX_CLUSTER_NAME_BYTES: usize = 64;
/// The allowed lengths of a key.
const KEY_BYTES: std::ops::RangeInclusive<usize> = 16..=64;

impl Settings {
    /// Returns the defaults, for a cluster and a key.
    pub fn usual(cluster: &str, key: Vec<u8>) -> Settings {
        Settings {
            cluster: cluster.to_owned(),
            key,
            interval: 200.0,
            fan_out: 3,
            epoch: 5000.0,
            epochs_kept: 4,
            datagram_bytes: 1200,
            max_datagrams_per_second: 2000.0,
            max_members: 512,
            max_tracked_customers: 1024,
            max_counts: 65_536,
            suspect_phi: 8.0,
            gone_after: 10_000.0,
            forget_after: 600_000.0,
        }
    }

    /// Returns the minimum time for which a count is kept after its last change.
    pub fn retention(&self) -> Millis {
        self.epoch * f64::from(self.epochs_kept.saturating_sub(1))
    }

    /// Returns the upper bound of the staleness of counts, in milliseconds, while all `nodes` run,
    /// the fraction `loss` of datagrams is lost and none takes longer than `delay`: four times the
    /// duration of the gossip rounds in which a rumour reaches all nodes plus those in which
    /// digests have named all nodes once, and a term for the delay.
    pub fn max_staleness(&self, nodes: usize, loss: f64, delay: Millis) -> Millis {
        let (nodes, delivered) = (nodes.max(2) as f64, (1.0 - loss).clamp(0.01, 1.0));
        let entries = self.datagram_bytes as f64 / BYTES_PER_DIGEST_ENTRY;
        let rounds = nodes.ln() / (1.0 + self.fan_out as f64 * delivered).ln() + nodes / entries;
        4.0 * self.interval * rounds / delivered + 2.0 * delay * nodes.log2()
    }

    /// Returns all settings outside their allowed values.
    pub fn mistakes(&self) -> Vec<Mistake> {
        let mut found = Vec::new();
        let mut check_range = |field, value: f64, min: f64, max: f64| {
            if !(min..=max).contains(&value) {
                found.push(Mistake {
                    field,
                    expected: format!("a number from {min} to {max}"),
                });
            }
        };
        check_range("interval_ms", self.interval, 20.0, 10_000.0);
        check_range("fan_out", self.fan_out as f64, 1.0, 16.0);
        check_range("epoch_ms", self.epoch, 500.0, 600_000.0);
        check_range("epochs_kept", f64::from(self.epochs_kept), 2.0, 16.0);
        check_range(
            "datagram_bytes",
            self.datagram_bytes as f64,
            512.0,
            crate::wire::MAX_DATAGRAM_BYTES as f64,
        );
        check_range(
            "most_per_second",
            self.max_datagrams_per_second,
            10.0,
            100_000.0,
        );
        check_range("most_members", self.max_members as f64, 2.0, 1024.0);
        check_range(
            "most_told",
            self.max_tracked_customers as f64,
            1.0,
            65_536.0,
        );
        check_range("most_counts", self.max_counts as f64, 1024.0, 4_194_304.0);
        check_range("suspect_phi", self.suspect_phi, 1.0, 16.0);
        check_range("gone_after_ms", self.gone_after, 100.0, 600_000.0);
        check_range("forget_after_ms", self.forget_after, 1000.0, 86_400_000.0);
        if self.cluster.is_empty() || self.cluster.len() > MAX_CLUSTER_NAME_BYTES {
            found.push(Mistake {
                field: "cluster",
                expected: "a name of 1 to 64 bytes".to_owned(),
            });
        }
        if !KEY_BYTES.contains(&self.key.len()) {
            found.push(Mistake {
                field: "key",
                expected: "32 to 128 hexadecimal digits".to_owned(),
            });
        }
        found
    }
}
