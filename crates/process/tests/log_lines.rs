//! The format of log lines, as documented for operators.

/// Guards tools that read the log: the level comes first, in lower case, then the event exactly as
/// logged.
#[test]
fn a_log_record_is_formatted_as_level_and_event() {
    let mut output = Vec::new();
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .args(format_args!("event=reload signal=true"))
        .build();
    let mut now = flexi_logger::DeferredNow::new();
    maplefall_process::format_record(&mut output, &mut now, &record)
        .expect("writing to a buffer cannot fail");
    assert_eq!(output, b"level=warn event=reload signal=true");
}

/// Guards incarnations and identities, which are random seeds: two seeds differ.
#[test]
fn seeds_differ() {
    assert_ne!(
        maplefall_process::random_seed(),
        maplefall_process::random_seed()
    );
}
