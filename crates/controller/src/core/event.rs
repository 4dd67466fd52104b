//! Log events of the core; `Display` writes them as `event=NAME` and `key=value` pairs.

use super::{Millis, Output};
use maplefall_gateway_config::ConfigError;
use maplefall_service_registry::InstanceRecord;
use std::fmt;

/// A log event for the operator.
pub(super) enum Event<'a> {
    /// The process was suspended between two ticks.
    ProcessPaused { duration: Millis },
    /// A backend has sent no heartbeat for too long.
    BackendExpired(&'a InstanceRecord),
    /// A backend takes no new requests.
    BackendDraining(&'a InstanceRecord),
    /// A backend has ended.
    BackendDeregistered(&'a InstanceRecord),
    /// A peer's record makes known a live backend that this controller did not know.
    BackendLearned {
        record: &'a InstanceRecord,
        peer: &'a str,
    },
    /// The instances that were found on the disk at the start.
    InstancesRestored { live: usize, tombstones: usize },
    /// A heartbeat is malformed.
    BadHeartbeat { reason: &'a str },
    /// The leader that this controller follows has changed, or there is none now.
    LeaderChanged { leader: Option<&'a str>, term: u64 },
    /// A configuration change is committed.
    Committed { index: u64, items: usize },
    /// The state in a snapshot cannot be decoded.
    BadSnapshot {
        index: u64,
        error: &'a prost::DecodeError,
    },
    /// A proxy has connected; its configuration has this index.
    ProxyConnected { node: &'a str, index: u64 },
    /// The connection of a proxy has ended.
    ProxyDisconnected { node: &'a str },
    /// A proxy without a configuration is sent none, because that of this controller may be out of
    /// date.
    ConfigWithheld { node: &'a str },
    /// This controller leases a slot that it has owned since the log entry at this index.
    SlotOwned { since: u64, waited: bool },
    /// This controller owns a slot, and will lease it once the leases of the former owner have
    /// expired.
    SlotWaiting { since: u64, wait: Millis },
    /// A slot of this controller is now owned by another controller.
    SlotLost { since: u64 },
    /// This controller may now grant quota leases: it is a voter and holds its membership lease
    /// (`maplefall_quota_lease::membership_lease_valid`).
    LeaseAcquired { limit: u32 },
    /// This controller may no longer grant quota leases: its membership lease has ended, because
    /// its last contact with a quorum was too long ago, or it is no longer a voter.
    LeaseExpired { contact_age: Millis },
    /// This controller has lost contact with a quorum, or its process was suspended.
    QuorumLost {
        /// Time since a majority of the voters had sent any Raft message (`since_ms=`), not the age
        /// of the last proof of contact.
        time_without_messages: Millis,
        /// All connected controllers, voters or not, without this one.
        connected: usize,
        /// All voters, including this controller if it is one.
        voters: usize,
    },
    /// This controller is in contact with a quorum again.
    QuorumRestored { after: Millis },
    /// A call of the operator was rejected.
    CallRejected(&'a ConfigError),
    /// A call of the operator contains an item version so old that it is no longer in the version
    /// history.
    VersionEvicted {
        list: &'a str,
        item: &'a str,
        version: u32,
    },
    /// All changes of a call of the operator had been applied before the call.
    AlreadyApplied { items: usize, index: u64 },
}

impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::ProcessPaused { duration } => write!(f, "event=process_paused ms={duration:.0}"),
            Event::BackendExpired(record) => write_backend(f, "backend_expired", record),
            Event::BackendDraining(record) => write_backend(f, "backend_draining", record),
            Event::BackendDeregistered(record) => write_backend(f, "backend_deregistered", record),
            Event::BackendLearned { record, peer } => {
                write_backend(f, "backend_learned", record)?;
                write!(f, " state={:?} seq={} peer={peer}", record.state(), record.seq)
            }
            Event::InstancesRestored { live, tombstones } => {
                write!(
                    f,
                    "event=instances_restored live={live} tombstones={tombstones}"
                )
            }
            Event::BadHeartbeat { reason } => write!(f, "event=bad_heartbeat {reason}"),
            Event::LeaderChanged { leader, term } => {
                let leader = leader.unwrap_or("none");
                write!(f, "event=leader_changed leader={leader} term={term}")
            }
            Event::Committed { index, items } => {
                write!(f, "event=committed index={index} items={items}")
            }
            Event::BadSnapshot { index, error } => {
                write!(f, "event=bad_snapshot index={index} error={error}")
            }
            Event::ProxyConnected { node, index } => {
                write!(f, "event=proxy_connected node={node} index={index}")
            }
            Event::ProxyDisconnected { node } => write!(f, "event=proxy_disconnected node={node}"),
            Event::ConfigWithheld { node } => {
                write!(f, "event=config_withheld node={node} reason=quorum_lost")
            }
            Event::SlotOwned { since, waited } => {
                write!(f, "event=slot_owned since={since}")?;
                if *waited {
                    write!(f, " waited=true")?;
                }
                Ok(())
            }
            Event::SlotWaiting { since, wait } => {
                write!(f, "event=slot_waiting since={since} ms={wait:.0}")
            }
            Event::SlotLost { since } => write!(f, "event=slot_lost since={since}"),
            Event::LeaseAcquired { limit } => write!(f, "event=lease_acquired limit={limit}"),
            Event::LeaseExpired { contact_age } => {
                write!(f, "event=lease_expired contact_ms={contact_age:.0}")
            }
            Event::QuorumLost {
                time_without_messages,
                connected,
                voters,
            } => write!(
                f,
                "event=quorum_lost since_ms={time_without_messages:.0} connected={connected} voters={voters}"
            ),
            Event::QuorumRestored { after } => {
                write!(f, "event=quorum_restored after_ms={after:.0}")
            }
            Event::CallRejected(error) => {
                write!(f, "event=call_rejected status={} {error}", error.status())
            }
            Event::VersionEvicted {
                list,
                item,
                version,
            } => write!(
                f,
                "event=version_evicted list={list} item={item:?} version={version:08x}"
            ),
            Event::AlreadyApplied { items, index } => {
                write!(f, "event=already_applied items={items} index={index}")
            }
        }
    }
}

fn write_backend(f: &mut fmt::Formatter<'_>, event: &str, record: &InstanceRecord) -> fmt::Result {
    let InstanceRecord { id, service, .. } = record;
    write!(f, "event={event} backend={id} service={service}")
}

impl From<Event<'_>> for Output {
    fn from(event: Event<'_>) -> Output {
        Output::Log(event.to_string())
    }
}
