//! Validation of a call against the committed configuration and the pending changes.
//!
//! Invariant: if the committed and pending changes together are consistent, they remain consistent
//! with every accepted call. Only what a call changes is validated, so the cost grows with the call
//! and the pending changes, not with the configuration.

use crate::claims::Claims;
use crate::error::ConfigError;
use crate::history::{digest, VersionStatus};
use crate::item::{Change, Item, ItemKind};
use crate::pending::{PendingChanges, PendingItem};
use crate::state::ConfigState;
use std::collections::BTreeSet;

/// The log index assigned to the call under validation: after all pending entries.
const PROPOSED_INDEX: u64 = u64::MAX;

/// The result for a call that is not rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum Validation {
    /// All items of the call exist already. The number is the highest index of the pending log
    /// entries that contain them; 0 if all are committed.
    AlreadyApplied(u64),
    /// The items of the call that are new.
    Accepted(Change),
    /// The history of this version of an item was evicted: the version may or may not have been
    /// applied, with this content or different content.
    HistoryEvicted(ItemKind, String, u32),
}

/// The items of a call, by the status of their versions.
#[derive(Default)]
struct ClassifiedItems<'a> {
    new: Vec<&'a Item>,
    /// The last item whose history was evicted.
    evicted: Option<&'a Item>,
    /// The highest index of the pending log entries that contain items of the call; 0 if none does.
    pending_index: u64,
}

/// A reference from a route of the call to a service.
struct ServiceReference<'a> {
    route: &'a Item,
    service: String,
}

impl ConfigState {
    /// Checks whether a change can be applied if nothing is pending; see [`ConfigState::validate`].
    ///
    /// # Errors
    /// Returns the errors of [`ConfigState::validate`].
    pub fn check(&self, change: &Change) -> Result<(), ConfigError> {
        self.validate(&PendingChanges::default(), change)
            .map(|_| ())
    }

    /// Validates a call against the committed configuration and all pending changes. Items that
    /// exist already are not validated again.
    ///
    /// # Errors
    /// Returns [`ConfigError::VersionConflict`] if a version exists with different content;
    /// otherwise the error for the inconsistency that the new items would cause.
    pub fn validate(
        &self,
        pending: &PendingChanges,
        change: &Change,
    ) -> Result<Validation, ConfigError> {
        let items = self.classify(pending, change)?;
        if let Some(item) = items.evicted {
            return Ok(Validation::HistoryEvicted(
                item.kind(),
                item.name.clone(),
                item.version,
            ));
        }
        if items.new.is_empty() {
            return Ok(Validation::AlreadyApplied(items.pending_index));
        }
        let (proposed, references) = index_proposed(&items.new)?;
        let merged = MergedView {
            committed: self,
            pending,
            proposed: &proposed,
        };
        merged.check_consistency(&references)?;
        Ok(Validation::Accepted(Change {
            items: items.new.into_iter().cloned().collect(),
        }))
    }

    fn classify<'a>(
        &self,
        pending: &PendingChanges,
        change: &'a Change,
    ) -> Result<ClassifiedItems<'a>, ConfigError> {
        let mut items = ClassifiedItems::default();
        for item in &change.items {
            match self.version_status(pending, item) {
                (VersionStatus::Conflicting, _) => {
                    return Err(ConfigError::VersionConflict {
                        kind: item.kind(),
                        name: item.name.clone(),
                        version: item.version,
                    });
                }
                (VersionStatus::Identical, index) => {
                    items.pending_index = items.pending_index.max(index);
                }
                (VersionStatus::New, _) => items.new.push(item),
                (VersionStatus::Evicted, _) => items.evicted = Some(item),
            }
        }
        Ok(items)
    }

    /// Returns the status of an item's version, and the index of the pending log entry that
    /// contains it; 0 if none does.
    fn version_status(&self, pending: &PendingChanges, item: &Item) -> (VersionStatus, u64) {
        let committed = self.committed_status(item);
        if committed != VersionStatus::New {
            return (committed, 0);
        }
        let pending_version = pending
            .get(item.kind(), &item.name)
            .and_then(|pending| pending.find(item.version));
        match pending_version {
            None => (VersionStatus::New, 0),
            Some(known) if known.digest == digest(item) => (VersionStatus::Identical, known.index),
            Some(_) => (VersionStatus::Conflicting, 0),
        }
    }

    fn committed_status(&self, item: &Item) -> VersionStatus {
        match self.items.get(item.kind(), &item.name) {
            Some(current) if current.version == item.version => {
                if **current == *item {
                    VersionStatus::Identical
                } else {
                    VersionStatus::Conflicting
                }
            }
            Some(current) if current.version > item.version => self.superseded.status(item),
            _ => VersionStatus::New,
        }
    }
}

/// Indexes the new items of a call, and collects the service references of its routes in the order
/// of the call.
fn index_proposed<'a>(
    items: &[&'a Item],
) -> Result<(PendingChanges, Vec<ServiceReference<'a>>), ConfigError> {
    let mut proposed = PendingChanges::default();
    let mut references = Vec::new();
    for item in items {
        let claims = Claims::from_item(item)?;
        references.extend(claims.services.iter().map(|service| ServiceReference {
            route: item,
            service: service.clone(),
        }));
        proposed.insert(PROPOSED_INDEX, item, claims);
    }
    Ok((proposed, references))
}

/// The configuration as it would be with the pending changes and the call applied.
struct MergedView<'a> {
    committed: &'a ConfigState,
    pending: &'a PendingChanges,
    proposed: &'a PendingChanges,
}

/// The items that may have a claim, from the indexes of the committed, pending and proposed items.
struct Claimants<'a, I> {
    /// Names of committed items that have the claim.
    committed: I,
    /// Names of pending items and of proposed items with any version that has the claim.
    uncommitted: [Option<&'a BTreeSet<String>>; 2],
}

impl<'a> MergedView<'a> {
    /// Returns the highest uncommitted version of an item; `None` if the committed version is in
    /// force.
    fn uncommitted(&self, kind: ItemKind, name: &str) -> Option<&'a PendingItem> {
        let committed = self
            .committed
            .items
            .get(kind, name)
            .map(|item| item.version);
        [self.pending, self.proposed]
            .into_iter()
            .filter_map(|layer| layer.get(kind, name))
            .filter(|item| committed.is_none_or(|version| item.latest.version > version))
            .max_by_key(|item| item.latest.version)
    }

    /// Returns the version of an item that would be in force with the pending changes and the call
    /// applied.
    fn latest(&self, kind: ItemKind, name: &str) -> Option<&'a Item> {
        match self.uncommitted(kind, name) {
            Some(item) => Some(&item.latest),
            None => self.committed.items.get(kind, name).map(|item| &**item),
        }
    }

    fn is_active(&self, kind: ItemKind, name: &str) -> bool {
        self.latest(kind, name).is_some_and(|item| !item.dropped)
    }

    /// Returns the name of the first item other than `owner` that would have a claim with the
    /// pending changes and the call applied.
    fn conflicting_claimant(
        &self,
        kind: ItemKind,
        owner: Option<&str>,
        claimants: Claimants<'a, impl Iterator<Item = &'a str>>,
        has_claim: impl Fn(&Claims) -> bool,
    ) -> Option<&'a str> {
        // The index of committed claims is outdated for items that have uncommitted versions.
        let committed = claimants
            .committed
            .filter(|name| self.uncommitted(kind, name).is_none());
        let uncommitted = claimants
            .uncommitted
            .into_iter()
            .flatten()
            .flatten()
            .map(String::as_str)
            .filter(|name| {
                self.uncommitted(kind, name)
                    .is_some_and(|item| has_claim(&item.claims))
            });
        committed
            .chain(uncommitted)
            .find(|name| Some(*name) != owner)
    }

    /// Returns the items that the call would change: those whose highest version comes from the
    /// call.
    fn changed(&self, kind: ItemKind) -> impl Iterator<Item = (&'a String, &'a PendingItem)> + '_ {
        let proposed = self.proposed.kinds[kind as usize].iter();
        proposed.filter(move |(name, item)| {
            self.uncommitted(kind, name)
                .is_some_and(|highest| highest.latest.version == item.latest.version)
        })
    }

    /// Checks that the merged configuration is consistent, and that the services exist to which the
    /// call's new items refer, even if those items are superseded. The configuration without the
    /// call is consistent, so only what the call changes is checked.
    fn check_consistency(&self, references: &[ServiceReference<'_>]) -> Result<(), ConfigError> {
        self.check_references(references)?;
        self.check_removed_services()?;
        self.check_route_keys()?;
        self.check_api_keys()
    }

    fn check_references(&self, references: &[ServiceReference<'_>]) -> Result<(), ConfigError> {
        let missing = references
            .iter()
            .find(|reference| !self.is_active(ItemKind::Service, &reference.service));
        match missing {
            None => Ok(()),
            Some(reference) => Err(ConfigError::UnknownService {
                route: reference.route.name.clone(),
                version: reference.route.version,
                service: reference.service.clone(),
            }),
        }
    }

    fn check_removed_services(&self) -> Result<(), ConfigError> {
        let removed = self
            .changed(ItemKind::Service)
            .filter(|(_, item)| item.latest.dropped);
        for (service, _) in removed {
            let users = self.committed.service_users.get(service.as_str());
            let claimants = Claimants {
                committed: users.into_iter().flatten().map(|user| user.name()),
                uncommitted: [
                    self.pending.service_users.get(service),
                    self.proposed.service_users.get(service),
                ],
            };
            let user = self.conflicting_claimant(ItemKind::Route, None, claimants, |claims| {
                claims.services.contains(service)
            });
            if let Some(route) = user {
                let version = self
                    .latest(ItemKind::Route, route)
                    .map_or(0, |route| route.version);
                return Err(ConfigError::UnknownService {
                    route: route.to_owned(),
                    version,
                    service: service.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_route_keys(&self) -> Result<(), ConfigError> {
        for (name, route) in self.changed(ItemKind::Route) {
            let Some(route_key) = &route.claims.route_key else {
                continue;
            };
            let owner = self.committed.route_keys.get(route_key);
            let claimants = Claimants {
                committed: owner.into_iter().map(|item| item.name.as_str()),
                uncommitted: [
                    self.pending.route_keys.get(route_key),
                    self.proposed.route_keys.get(route_key),
                ],
            };
            let other =
                self.conflicting_claimant(ItemKind::Route, Some(name), claimants, |claims| {
                    claims.route_key.as_ref() == Some(route_key)
                });
            if let Some(other) = other {
                return Err(ConfigError::DuplicateRoute {
                    route: name.clone(),
                    version: route.latest.version,
                    other: other.to_owned(),
                });
            }
        }
        Ok(())
    }

    fn check_api_keys(&self) -> Result<(), ConfigError> {
        for (name, tenant) in self.changed(ItemKind::Tenant) {
            for api_key in &tenant.claims.api_keys {
                let owner = self.committed.api_keys.get(api_key.as_str());
                let claimants = Claimants {
                    committed: owner.into_iter().map(|item| item.name.as_str()),
                    uncommitted: [
                        self.pending.api_keys.get(api_key),
                        self.proposed.api_keys.get(api_key),
                    ],
                };
                let other =
                    self.conflicting_claimant(ItemKind::Tenant, Some(name), claimants, |claims| {
                        claims.api_keys.contains(api_key)
                    });
                if let Some(other) = other {
                    return Err(ConfigError::DuplicateKey {
                        tenant: name.clone(),
                        version: tenant.latest.version,
                        other: other.to_owned(),
                    });
                }
            }
        }
        Ok(())
    }
}
