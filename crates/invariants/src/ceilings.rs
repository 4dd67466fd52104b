//! Rule 5: where a plan has a hard ceiling, all front doors together never send on more for one customer than its store
//! gives.

use crate::ruling::Ruling;
use crate::stores::{self, Gives};
use crate::view::View;

/// Longest time on the sockets by which what is sent on at one rate may come closer together (protocol page: 150 ms).
const BUNCHED_MS: f64 = 150.0;

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let tested_by = "customers that used more than half of their ceiling's store";
    let ruling = Ruling::new(
        5,
        "hard ceilings",
        tested_by,
        "units left to the slack's end",
    );
    stores::judge(view, ruling, "ceiling", |plan| {
        let ceiling = plan.ceiling?;
        let slack = ceiling.slack + ceiling.rate * BUNCHED_MS / 1000.0;
        Some(Gives {
            rate: ceiling.rate,
            burst: ceiling.burst,
            slack,
        })
    })
}
