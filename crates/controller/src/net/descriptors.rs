//! Division of a controller's descriptors between its two listeners.

/// Descriptors reserved for files.
const RESERVED_FOR_FILES: usize = 200;
/// Descriptors reserved for listeners, the runtime and connections that this controller opens.
const RESERVED_SOCKETS: usize = 24;
/// Percentage of the other descriptors that is for API connections.
const API_PERCENT: usize = 60;

/// How many connections each listener may have open, at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    /// Connections of backends and of the operator.
    pub(super) api: usize,
    /// Connections of proxies and other controllers.
    pub(super) internal: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors of a process with this limit.
    pub(super) fn new(file_limit: usize) -> DescriptorBudget {
        let sockets = file_limit.saturating_sub(RESERVED_FOR_FILES + RESERVED_SOCKETS);
        let api = sockets * API_PERCENT / 100;
        DescriptorBudget {
            api: api.max(1),
            internal: (sockets - api).max(1),
        }
    }
}
