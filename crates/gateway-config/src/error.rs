//! Errors for which an operator's call is rejected.
//!
//! The displayed text is the body of the error response, which operators' tools parse, so it must
//! not change.

use crate::item::ItemKind;

/// The reason why a call is rejected. An error about a single item contains its name and version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The call cannot be parsed.
    #[error("step=read field={field} why={reason:?}")]
    Malformed {
        /// The part of the call that cannot be parsed.
        field: &'static str,
        /// What is wrong with that part of the call.
        reason: String,
    },
    /// A field of an item has a value that is not allowed.
    #[error("step=check list={} item={name:?} version={version:08x} field={field} why={reason:?}", .kind.list())]
    InvalidField {
        /// The kind of the item.
        kind: ItemKind,
        /// The name of the item.
        name: String,
        /// The version of the item.
        version: u32,
        /// The name of the field.
        field: &'static str,
        /// What is wrong with the field's value.
        reason: String,
    },
    /// A route names a service that does not exist.
    #[error("step=join list=RouteTable item={route:?} version={version:08x} field=Service unknown={service:?} why=\"unknown service\"")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The version of the route.
        version: u32,
        /// The missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("step=join list=RouteTable item={route:?} version={version:08x} field=PathPrefix same_as={other:?} why=\"host and prefix of another route\"")]
    DuplicateRoute {
        /// The name of the route that the call changes.
        route: String,
        /// The version of the route that the call changes.
        version: u32,
        /// The name of the other route with the same host and path prefix.
        other: String,
    },
    /// Two tenants have the same API key.
    #[error("step=join list=Tenants item={tenant:?} version={version:08x} field=ApiKeys same_as={other:?} why=\"key of another tenant\"")]
    DuplicateKey {
        /// The name of the tenant that the call changes.
        tenant: String,
        /// The version of the tenant that the call changes.
        version: u32,
        /// The name of the other tenant with the same API key.
        other: String,
    },
    /// This version of the item already exists with different content.
    #[error("step=join list={} item={name:?} version={version:08x} why=\"taken with another content\"", .kind.list())]
    VersionConflict {
        /// The kind of the item.
        kind: ItemKind,
        /// The name of the item.
        name: String,
        /// The version of the item.
        version: u32,
    },
}

impl ConfigError {
    pub(crate) fn malformed(field: &'static str, reason: impl Into<String>) -> ConfigError {
        ConfigError::Malformed {
            field,
            reason: reason.into(),
        }
    }

    /// Returns the HTTP status of the error response.
    pub fn status(&self) -> u16 {
        match self {
            ConfigError::VersionConflict { .. } => 409,
            _ => 400,
        }
    }

    /// Returns whether the call is invalid regardless of the configuration. The other errors depend
    /// on committed or pending items, so the same call may be valid later.
    pub fn is_permanent(&self) -> bool {
        matches!(
            self,
            ConfigError::Malformed { .. } | ConfigError::InvalidField { .. }
        )
    }
}
