//! Rule 7: where front doors share counts, all together let in no more for one customer than its quota and the stated error: one
//! more burst, and the quota of the time in which news may be missing.

use crate::ruling::Ruling;
use crate::stores::{self, Gives};
use crate::view::View;

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let tested_by = "customers that used more than half of their quota's store";
    let ruling = Ruling::new(
        7,
        "shared quotas",
        tested_by,
        "units left to the stated error's end",
    );
    let shared_ms = view.record.header.rules.shared_ms;
    if shared_ms <= 0.0 {
        return ruling.close();
    }
    stores::judge(view, ruling, "quota", |plan| {
        let slack = plan.burst + plan.rate * shared_ms / 1000.0;
        Some(Gives {
            rate: plan.rate,
            burst: plan.burst,
            slack,
        })
    })
}
