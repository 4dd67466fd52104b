//! The form of a log line, which the operators' page promises.

/// Guards tools that read the log: the level comes first, in lower case, then the event as it was written.
#[test]
fn a_line_is_the_level_and_the_event() {
    let mut line = Vec::new();
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .args(format_args!("event=reload signal=true"))
        .build();
    let mut now = flexi_logger::DeferredNow::new();
    maplefall_process::format_record(&mut line, &mut now, &record).expect("a buffer takes all");
    assert_eq!(line, b"level=warn event=reload signal=true");
}

/// Guards incarnations and identities, which are drawn from it: two draws differ.
#[test]
fn seeds_differ() {
    assert_ne!(
        maplefall_process::random_seed(),
        maplefall_process::random_seed()
    );
}
