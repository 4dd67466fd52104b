//! Error texts: operators search the log for the keys `step=`, `path=` and `error=`.

use maplefall_controller::store::{Error, Operation};
use std::io;
use std::path::PathBuf;

/// Guards the log format: each error is a line of `key=value` pairs.
#[test]
fn errors_are_shown_as_key_value_pairs() {
    let path = PathBuf::from("data/log-1");
    let io_error = Error::Io {
        operation: Operation::Sync,
        path: path.clone(),
        source: io::Error::other("no space"),
    };
    let cases = [
        (io_error, r#"step=sync path=data/log-1 error="no space""#),
        (
            Error::Corrupt { path: path.clone() },
            "step=read path=data/log-1 error=corrupt",
        ),
        (
            Error::UnknownFormat { path, format: 3 },
            "step=read path=data/log-1 format=3",
        ),
        (
            Error::OutOfOrder {
                expected: 2,
                actual: 4,
            },
            "step=write error=order expected=2 actual=4",
        ),
        (
            Error::QueueFull { number: 7 },
            "step=queue error=full number=7",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
