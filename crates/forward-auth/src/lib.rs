//! Forward authentication, the part that decides: whether a request's caller is checked by the authentication service, at
//! which of its servers, for how long, and what becomes of the verdict. No I/O and no clock: events with the time go in,
//! [`Output`]s come out. It chooses no backend, repeats no attempt and knows no quota: those stay with the decision module.
//!
//! The rules:
//!
//! 1. **One decision for each request**, by its budget's end at the latest, which lies before its deadline by what an
//!    attempt needs. One that leaves gets none.
//! 2. **A verdict is for its question alone.** Questions are equal only if every credential that the operator names, the
//!    class and the plan are; what is kept of them is a keyed hash ([`Key`]).
//! 3. **The same question is out once**, however many wait for it; it outlives the request that began it.
//! 4. **A check is a read**: it is asked again, on another server where there is one, while somebody's budget lasts.
//! 5. **A server that fails again and again is left alone**, and tried again by one check at a time, after pauses that grow.
//!    With no server to ask, requests are refused at once.
//! 6. **Fail closed**, but for classes that are set to fail open, which must not be such as may not run twice.
//! 7. Checks that are out, requests that wait, and kept verdicts (in bytes) are bounded; the earliest deadline goes first.

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
