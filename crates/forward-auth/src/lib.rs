//! Forward authentication, the decision logic: whether the authentication service checks a
//! request's caller, at which of its servers, for how long, and what follows from the verdict. It
//! has no I/O and no clock: events with their time go in, [`Output`]s come out. It chooses no
//! backend, retries no attempt at a backend and knows no quota; the decision module does.
//!
//! The rules:
//!
//! 1. **One decision for each request**, at the latest when its budget (the time for which it may
//!    wait) ends, early enough for an attempt before its deadline. A cancelled request gets none.
//! 2. **A verdict is valid only for its key.** Keys are equal only if every credential that the
//!    operator names, the class and the plan are equal; only a keyed hash of them is stored
//!    ([`Key`]).
//! 3. **A key has at most one check in flight**, however many requests wait for it; the check
//!    continues if the request that started it is cancelled.
//! 4. **A check is read-only**: a failed check is retried, on another server if there is one, while
//!    the budget of a waiting request lasts.
//! 5. **A server that fails repeatedly is blocked**, and probed by one check at a time after
//!    growing backoffs. While no server is available, requests are rejected at once.
//! 6. **Fail closed**, except for classes that are set to fail open. A non-idempotent class cannot
//!    be set to fail open.
//! 7. Checks in flight, waiting requests and the bytes of cached verdicts are bounded; the check
//!    with the earliest deadline is sent first.

mod cache;
mod gate;
pub mod headers;
mod interface;
mod key;
mod server;

pub use gate::Gate;
pub use interface::{
    CheckId, Counts, Decision, Failure, InvalidSetting, Output, RejectReason, RequestId, Settings,
    Verdict,
};
pub use key::{Key, KeyHasher};
