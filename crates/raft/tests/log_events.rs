//! Log lines: operators search for them by event and field, so their format is fixed.

use maplefall_raft::*;

fn member(name: &str, identity: u64) -> Member {
    Member {
        name: name.to_owned(),
        identity,
    }
}

/// Returns the log lines of a follower in a cluster of three that has committed a membership entry
/// with this payload.
fn log_lines_of_membership_change(payload: &[u8]) -> Vec<String> {
    let names = ["a", "b", "c"].map(str::to_owned);
    let config = Config {
        initial_members: Some(&names),
        voter: true,
        max_failures: 1,
        interchangeable: true,
        ..Config::default()
    };
    let mut ready = Ready::default();
    let disk = PersistentState::default();
    let mut follower = Raft::new("a", 0.0, 1, disk, &config, &mut ready);
    let entry = Entry {
        index: 2,
        term: 1,
        kind: EntryKind::Membership.into(),
        payload: payload.to_vec(),
        members: vec![member("a", 0), member("b", 0), member("d", 0x77)],
    };
    let append = AppendEntries {
        prev_log_index: 1,
        entries: vec![entry],
        leader_commit: 2,
        sequence: 1,
        ..AppendEntries::default()
    };
    let message = Message {
        term: 1,
        identity: 0,
        body: Some(MessageBody::AppendEntries(append)),
    };
    follower.step(10.0, "b", message, &mut ready);
    ready.log_lines
}

/// A membership change logs one line for each added and each removed member, as the operators' page
/// documents.
#[test]
fn membership_change_logs_added_and_removed_members() {
    let lines = log_lines_of_membership_change(b"replaces");
    assert_eq!(
        lines,
        [
            "event=member_added name=d identity=77 why=replaces index=2 members=3",
            "event=member_removed name=c identity=0 why=replaces index=2 members=3",
        ]
    );
}

/// In a cluster of mixed versions, a reason that an older version wrote into the entry is logged
/// unchanged.
#[test]
fn reason_of_an_older_version_is_logged_unchanged() {
    for reason in ["first_start", "grows", "silent", "a_word_of_the_future"] {
        let lines = log_lines_of_membership_change(reason.as_bytes());
        assert_eq!(lines.len(), 2);
        let why = format!(" why={reason} ");
        assert!(lines.iter().all(|line| line.contains(&why)), "{lines:?}");
    }
}

/// Entries with a gap in their indexes are not appended, and the log line contains the peer.
#[test]
fn entries_with_index_gaps_are_logged_and_not_appended() {
    let names = ["a", "b", "c"].map(str::to_owned);
    let config = Config {
        initial_members: Some(&names),
        ..Config::default()
    };
    let mut ready = Ready::default();
    let disk = PersistentState::default();
    let mut follower = Raft::new("a", 0.0, 1, disk, &config, &mut ready);
    let append = AppendEntries {
        prev_log_index: 1,
        entries: vec![Entry {
            index: 3,
            term: 1,
            ..Entry::default()
        }],
        ..AppendEntries::default()
    };
    let message = Message {
        term: 1,
        identity: 0,
        body: Some(MessageBody::AppendEntries(append)),
    };
    follower.step(10.0, "b", message, &mut ready);
    assert_eq!(
        ready.log_lines,
        ["event=bad_append_entries step=read field=index peer=b"]
    );
    assert_eq!(follower.log_len(), 0);
}
