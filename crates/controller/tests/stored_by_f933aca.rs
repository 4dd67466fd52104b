//! Data directories written by the programs of commit f933aca, opened with the current code.
//! `tests/data/README.md` describes how they were made; every test works on copies of them.

mod group;

use bytes::BytesMut;
use group::{data_directory, read_data_file, settings, DataCopy, Group, DIRECTORIES};
use maplefall_control_messages::{decode_frame, Frame};
use maplefall_controller::core::ReplicatedState;
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{
    Batch, Error, StateFile, Store, StoreLimits, StoreRecord, StoredState,
};
use maplefall_controller::{Call, CallResponse, Core, Output};
use maplefall_gateway_config::{parse_amend, quoted, Change, Field, Item, ItemKind};
use maplefall_raft::{
    Entry, EntryKind, Member, Message, MessageBody, PersistentUpdate, RequestVote, Snapshot,
};
use maplefall_service_registry::InstanceState;
use prost::Message as _;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;

/// The leader's directory.
const LEADER: &str = "leader";
/// The directory of a controller whose files were corrupt once.
const SET_ASIDE: &str = "set-aside";
/// The directory of a controller whose disk was wiped once.
const READMITTED: &str = "readmitted";

/// A `config.amend` call that the old programs have answered.
struct Amendment {
    status: u16,
    body: String,
}

/// Returns all calls in the order in which they were sent.
fn amendments() -> Vec<Amendment> {
    let parsed = |line: &str| {
        let (status, body) = line.split_once(' ').expect("a status and a body");
        Amendment {
            status: status.parse().expect("a status"),
            body: body.to_owned(),
        }
    };
    read_data_file("orders.txt").lines().map(parsed).collect()
}

/// Returns the bodies of all accepted calls.
fn accepted_bodies() -> Vec<String> {
    amendments()
        .into_iter()
        .filter(|amendment| amendment.status == 200)
        .map(|amendment| amendment.body)
        .collect()
}

fn members(all: &[Member]) -> String {
    all.iter()
        .map(|member| format!(" {}/{:x}", member.name, member.identity))
        .collect()
}

/// Describes the state found at a start, in the format of `tests/data/describe.py`.
fn describe(stored: &StoredState) -> String {
    let (raft, snapshot) = (&stored.raft, &stored.raft.snapshot);
    let mut lines = vec![
        format!("record {}", stored.number),
        format!("term {} voted {}", raft.term, raft.voted_for),
        format!(
            "identity {:x} settled {}",
            raft.identity.expect("an identity"),
            raft.members_committed
        ),
        format!(
            "snapshot {} term {} bytes {} crc32c {:08x} members{}",
            snapshot.index,
            snapshot.term,
            snapshot.state.len(),
            crc32c::crc32c(&snapshot.state),
            members(&snapshot.members),
        ),
    ];
    for entry in &raft.log {
        lines.push(format!(
            "entry {} term {} kind {} bytes {} crc32c {:08x} members{}",
            entry.index,
            entry.term,
            entry.kind,
            entry.payload.len(),
            crc32c::crc32c(&entry.payload),
            members(&entry.members),
        ));
    }
    for instance in stored.instances.values() {
        lines.push(format!(
            "instance {} service {} address {} zone {} capacity {} state {} call {} cold {}",
            instance.id,
            instance.service,
            instance.address,
            instance.zone,
            instance.capacity,
            instance.state,
            instance.seq,
            instance.warmup_left_ms,
        ));
    }
    let leased_to: Vec<&str> = stored.leased_to.iter().map(String::as_str).collect();
    let waited_slots: Vec<String> = stored.waited_slots.iter().map(u64::to_string).collect();
    lines.push(format!(
        "lent_known {} lent_to {}",
        stored.leased_to_complete,
        leased_to.join(" ")
    ));
    lines.push(format!("waited {}", waited_slots.join(" ")));
    lines.push(format!("set_aside {}", stored.quarantined));
    lines
        .iter()
        .map(|line| format!("{}\n", line.trim_end()))
        .collect()
}

/// Counts the entries of a log that change the configuration.
fn count_changes(stored: &StoredState) -> usize {
    stored
        .raft
        .log
        .iter()
        .filter(|entry| entry.kind() == EntryKind::Command)
        .count()
}

/// Returns a body of `config.amend` with only this item.
fn body_of(item: &Item) -> String {
    let (name, version, list) = (quoted(&item.name), item.version, item.kind().list());
    if item.kind() == ItemKind::Limits {
        let fields: String = item
            .fields
            .iter()
            .map(|field| format!("{}:{},", quoted(&field.name), field.json))
            .collect();
        return format!("{{\"Upsert\":{{\"Limits\":{{{fields}\"Version\":\"{version:08x}\"}}}}}}");
    }
    let (mut columns, mut row) = (String::new(), String::new());
    for field in &item.fields {
        let _ = write!(columns, ",{}", quoted(&field.name));
        let _ = write!(row, ",{}", field.json);
    }
    format!(
        "{{\"Upsert\":{{\"{list}\":{{\"ColumnNames\":[\"Name\",\"Version\"{columns}],\"DataRows\":[[{name},\"{version:08x}\"{row}]]}}}}}}"
    )
}

/// Returns the same version of an item with other content: one more field.
fn altered(item: &Item) -> Item {
    let more = Field {
        name: "Altered".to_owned(),
        json: "true".to_owned(),
    };
    let mut fields = item.fields.clone();
    if item.dropped && item.kind() == ItemKind::Route {
        // A removed route has no fields, and a route that is not removed requires some.
        fields.extend(valid_route());
    }
    fields.push(more);
    Item {
        dropped: false,
        fields,
        ..item.clone()
    }
}

fn valid_route() -> Vec<Field> {
    let field = |name: &str, json: &str| Field {
        name: name.to_owned(),
        json: json.to_owned(),
    };
    vec![
        field("Host", "\"altered.example\""),
        field("PathPrefix", "\"/altered/\""),
        field("RouteKind", "\"safe\""),
        field("Service", "\"s1\""),
        field("TimeoutS", "1"),
    ]
}

/// Guards all stored fields against an independent reader of the bytes that shares no code with the
/// project.
#[test]
fn stored_state_matches_its_independent_description() {
    for (directory, _) in DIRECTORIES {
        let (_, stored) = DataCopy::of(directory).open();
        assert_eq!(
            describe(&stored),
            read_data_file(&format!("{directory}.txt")),
            "{directory}"
        );
    }
}

/// Guards fields that a start does not show, such as the owners of quota slots: the current code
/// knows every field that was written.
#[test]
fn stored_bytes_have_no_unknown_fields() {
    for (directory, _) in DIRECTORIES {
        for file in fs::read_dir(data_directory().join(directory)).expect("a directory") {
            let path = file.expect("a file").path();
            let name = path
                .file_name()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            if name.starts_with("spoilt-") {
                continue;
            }
            for payload in frame_payloads(&fs::read(&path).expect("read")) {
                if name.starts_with("state-") {
                    let state_file = StateFile::decode(payload).expect("a state");
                    // Fields are not written in the order of their tags, so only the lengths are
                    // compared.
                    assert_eq!(
                        state_file.encoded_len(),
                        payload.len(),
                        "{directory}/{name}"
                    );
                    assert_no_unknown_fields(&state_file.snapshot.expect("a snapshot"));
                } else {
                    let batch = Batch::decode(payload).expect("a batch");
                    assert_eq!(batch.encode_to_vec(), payload, "{directory}/{name}");
                    let records = batch.records.into_iter().filter_map(|record| record.raft);
                    for record in records {
                        record.snapshot.iter().for_each(assert_no_unknown_fields);
                        for entry in record
                            .entries
                            .iter()
                            .filter(|entry| entry.kind() == EntryKind::Command)
                        {
                            let change =
                                Change::decode(entry.payload.as_slice()).expect("a change");
                            assert_eq!(change.encode_to_vec(), entry.payload, "{directory}/{name}");
                        }
                    }
                }
            }
        }
    }
}

fn assert_no_unknown_fields(snapshot: &Snapshot) {
    let state = ReplicatedState::decode(snapshot.state.as_ref()).expect("a state");
    assert_eq!(
        state.encode_to_vec(),
        snapshot.state,
        "the state up to {}",
        snapshot.index
    );
    assert_eq!(state.owners.is_some(), !snapshot.state.is_empty());
}

/// Returns the payloads of a file's frames. Each payload follows a header of 24 bytes, whose bytes
/// 12 to 15 contain the payload's length.
fn frame_payloads(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut payloads = Vec::new();
    while let Some((head, rest)) = bytes.split_at_checked(24) {
        let length = u32::from_le_bytes(head[12..16].try_into().expect("four bytes")) as usize;
        let (payload, rest) = rest.split_at(length);
        payloads.push(payload);
        bytes = rest;
    }
    assert!(bytes.is_empty() && !payloads.is_empty());
    payloads
}

/// Guards stored fields that do not occur in the data directories: they are decoded from bytes as
/// the old program writes them.
#[test]
fn fields_that_the_data_lacks_are_decoded() {
    let stored = StoreRecord::decode(&b"\x08\x07\x40\x01\x4a\x02\x05\x06\x52\x06edge-1"[..])
        .expect("a record");
    let expected = StoreRecord {
        number: 7,
        leased_to_complete: true,
        waited_slots: vec![5, 6],
        released: vec!["edge-1".to_owned()],
        ..StoreRecord::default()
    };
    assert_eq!(stored, expected);
    let state_file = StateFile::decode(&b"\x08\x02\x10\x07\x7a\x02\x05\x06"[..]).expect("a state");
    assert_eq!(
        state_file,
        StateFile {
            format: 2,
            number: 7,
            waited_slots: vec![5, 6],
            ..StateFile::default()
        }
    );
}

/// Guards the stored state against what the old program logged when it was started on each
/// directory.
#[test]
fn stored_state_matches_the_log_of_the_old_program() {
    let starts = read_data_file("starts.txt");
    for ((directory, _), line) in DIRECTORIES.into_iter().zip(starts.lines()) {
        let (_, stored) = DataCopy::of(directory).open();
        let found = format!(
            "term={} snapshot={} log={} identity={:x?}",
            stored.raft.term,
            stored.raft.snapshot.index,
            stored.raft.log.len(),
            stored.raft.identity,
        );
        assert!(line.ends_with(&found), "{directory}: {found}, not {line}");
    }
}

/// Guards the data itself: it has a state file and log segments after it, so that these tests read
/// both.
#[test]
fn data_has_a_state_file_and_log_segments() {
    for directory in [LEADER, READMITTED] {
        let names: Vec<String> = fs::read_dir(data_directory().join(directory))
            .expect("a directory")
            .map(|file| {
                file.expect("a file")
                    .file_name()
                    .into_string()
                    .expect("a name")
            })
            .collect();
        let count = |prefix: &str| names.iter().filter(|name| name.starts_with(prefix)).count();
        assert!(
            count("state-") == 1 && count("log-") > 1,
            "{directory}: {names:?}"
        );
    }
}

/// Guards record numbers and log indices: only the number after the last stored one is accepted.
#[test]
fn record_numbers_and_log_indices_continue() {
    for (directory, _) in DIRECTORIES {
        let copy = DataCopy::of(directory);
        let (mut store, before) = copy.open();
        let entry = Entry {
            index: before.raft.last_index() + 1,
            term: before.raft.term,
            ..Entry::default()
        };
        let record = |number| StoreRecord {
            number,
            raft: Some(PersistentUpdate {
                entries: vec![entry.clone()],
                ..PersistentUpdate::default()
            }),
            ..StoreRecord::default()
        };
        for wrong in [before.number, before.number + 2] {
            let rejected = store.write(vec![record(wrong)]);
            let due = before.number + 1;
            assert!(
                matches!(rejected, Err(Error::OutOfOrder { expected, actual }) if (expected, actual) == (due, wrong)),
                "{rejected:?}"
            );
        }
        store
            .write(vec![record(before.number + 1)])
            .expect("the next record");
        drop(store);
        let mut expected = before.clone();
        expected.number += 1;
        expected.raft.log.push(entry.clone());
        assert_eq!(copy.open().1, expected, "{directory}");
    }
}

/// Guards the configuration: whichever of the three leads, it returns byte for byte what the old
/// leader returned.
#[test]
fn configuration_is_read_back_unchanged() {
    for (directory, _) in DIRECTORIES {
        let mut group = Group::led_by(directory);
        assert_eq!(
            group.call(Call::ReadConfig),
            CallResponse::Ok(read_data_file("config-read.json")),
            "{directory}"
        );
    }
}

/// Guards operators: what the old leader rejected is rejected with the same status.
#[test]
fn rejected_amendments_are_rejected_again() {
    for (directory, _) in DIRECTORIES {
        let mut group = Group::led_by(directory);
        let rejected: Vec<Amendment> = amendments()
            .into_iter()
            .filter(|amendment| amendment.status != 200)
            .collect();
        assert_eq!(rejected.len(), 5);
        for Amendment { status, body } in rejected {
            let response = group.amend(&body);
            assert!(
                matches!(response, CallResponse::Rejected(now, _) if now == status),
                "{directory}: {response:?} to {body}"
            );
        }
    }
}

/// Guards versions: under each accepted version, the highest of its name or a superseded one, other
/// content is a conflict.
#[test]
fn other_content_under_an_accepted_version_is_a_conflict() {
    for (directory, _) in DIRECTORIES {
        let mut group = Group::led_by(directory);
        let mut numbers: BTreeMap<(ItemKind, String), Vec<u32>> = BTreeMap::new();
        for body in accepted_bodies() {
            for item in parse_amend(body.as_bytes()).expect("a call").items {
                let response = group.amend(&body_of(&altered(&item)));
                assert!(
                    matches!(response, CallResponse::Rejected(409, _)),
                    "{directory}: {response:?} for {item:?}"
                );
                numbers
                    .entry((item.kind(), item.name))
                    .or_default()
                    .push(item.version);
            }
        }
        let superseded: usize = numbers.values().map(|versions| versions.len() - 1).sum();
        let out_of_order = numbers
            .values()
            .flat_map(|versions| versions.windows(2))
            .filter(|pair| pair[0] > pair[1])
            .count();
        assert!(
            superseded > 400 && out_of_order > 50,
            "{superseded} superseded, {out_of_order} out of order"
        );
    }
}

/// Returns how many log lines say that a configuration change was committed.
fn count_committed(group: &Group) -> usize {
    group
        .log_lines
        .iter()
        .filter(|line| line.starts_with("event=committed "))
        .count()
}

/// Guards an amendment that is repeated after a lost response: it is acknowledged, and no log has a
/// new change.
#[test]
fn accepted_amendments_are_acknowledged_again() {
    for (directory, _) in DIRECTORIES {
        let mut group = Group::led_by(directory);
        let bodies = accepted_bodies();
        assert_eq!(bodies.len(), 304);
        let committed = count_committed(&group);
        for body in bodies {
            assert_eq!(
                group.amend(&body),
                CallResponse::Ok("{}".to_owned()),
                "{directory}: {body}"
            );
        }
        assert_eq!(
            group.call(Call::ReadConfig),
            CallResponse::Ok(read_data_file("config-read.json"))
        );
        assert_eq!(
            count_committed(&group),
            committed,
            "{directory}: {:?}",
            group.log_lines
        );
        for (name, stored) in group.into_stored() {
            let (_, before) = DataCopy::of(name).open();
            assert_eq!(
                count_changes(&stored),
                count_changes(&before),
                "led by {directory}: {name}"
            );
        }
    }
}

/// Guards the replicated log: a new change gets an index after the stored entries and is on the
/// disks of all three controllers, which keep their identities.
#[test]
fn new_change_is_appended_to_the_stored_log() {
    for (directory, _) in DIRECTORIES {
        let mut group = Group::led_by(directory);
        let service = Item {
            kind: ItemKind::Service.into(),
            name: "s9".to_owned(),
            version: 1,
            ..Item::default()
        };
        let committed = count_committed(&group);
        assert_eq!(
            group.amend(&body_of(&service)),
            CallResponse::Ok("{}".to_owned())
        );
        assert!(count_committed(&group) > committed);
        let all: Vec<String> = DIRECTORIES.map(|(_, address)| address.to_owned()).to_vec();
        assert_eq!(group.members(), vec![all.clone(), all.clone(), all]);
        for (name, stored) in group.into_stored() {
            let (_, before) = DataCopy::of(name).open();
            let (log, old) = (&stored.raft.log, &before.raft.log);
            assert_eq!(log[..old.len()], old[..], "led by {directory}: {name}");
            let new: Vec<(u64, EntryKind)> = log[old.len()..]
                .iter()
                .map(|entry| (entry.index, entry.kind()))
                .collect();
            let next = before.raft.last_index() + 1;
            assert_eq!(
                new,
                [(next, EntryKind::NoOp), (next + 1, EntryKind::Command)],
                "led by {directory}: {name}"
            );
            assert_eq!(
                stored.raft.identity, before.raft.identity,
                "led by {directory}: {name}"
            );
            assert_eq!(
                stored.raft.term,
                before.raft.term + 1,
                "led by {directory}: {name}"
            );
            assert!(stored.number > before.number, "led by {directory}: {name}");
        }
    }
}

/// Guards votes: a controller that has voted in its term grants the vote again to the same
/// candidate and to nobody else; one that has not votes once the vote is persisted.
#[test]
fn vote_is_granted_once_per_term() {
    for (directory, address) in DIRECTORIES {
        for (_, candidate) in DIRECTORIES
            .into_iter()
            .filter(|(_, candidate)| *candidate != address)
        {
            let (_, stored) = DataCopy::of(directory).open();
            let (term, voted_for) = (stored.raft.term, recorded_vote(directory));
            let members = stored.raft.configuration().current;
            let identity = members
                .iter()
                .find(|member| member.name == candidate)
                .expect("a member")
                .identity;
            let request = RequestVote {
                pre_vote: false,
                last_log_index: stored.raft.last_index(),
                last_log_term: term,
            };
            let message = Message {
                term,
                identity,
                body: Some(MessageBody::RequestVote(request)),
            };
            let mut core = Core::new(&settings(address), 0.0, 1, stored, &mut Vec::new());
            let mut out = Vec::new();
            core.receive_from_peer(0.0, candidate, Frame::Raft(message), &mut out);
            let written = out.iter().find_map(|output| match output {
                Output::Write(number, _) => Some(*number),
                _ => None,
            });
            assert_eq!(
                written.is_some(),
                voted_for.is_empty(),
                "{directory}, requested by {candidate}"
            );
            if let Some(number) = written {
                assert_eq!(
                    vote_granted(&out),
                    None,
                    "{directory}: a vote was granted before it was persisted"
                );
                core.persisted(0.0, number, &mut out);
            }
            let expected = voted_for.is_empty() || voted_for == candidate;
            assert_eq!(
                vote_granted(&out),
                Some(expected),
                "{directory} voted {voted_for:?}, requested by {candidate}"
            );
        }
    }
}

/// Returns the candidate that a controller voted for in its last term, according to the bytes of
/// its directory; empty for none.
fn recorded_vote(directory: &str) -> String {
    let description = read_data_file(&format!("{directory}.txt"));
    let term_line = description
        .lines()
        .find(|line| line.starts_with("term "))
        .expect("a term");
    term_line
        .split_once(" voted")
        .expect("a vote")
        .1
        .trim()
        .to_owned()
}

/// Returns whether a vote is granted, if there is a response.
fn vote_granted(out: &[Output]) -> Option<bool> {
    out.iter().find_map(|output| {
        let Output::SendToPeer(_, bytes) = output else {
            return None;
        };
        match decode_frame(&mut BytesMut::from(&bytes[..])) {
            Ok(Some(Frame::Raft(Message {
                body: Some(MessageBody::RequestVoteResponse(response)),
                ..
            }))) => Some(response.granted),
            _ => None,
        }
    })
}

/// Guards clients: a proxy is sent the instances that were registered, and none that had
/// deregistered or expired.
#[test]
fn proxy_is_sent_the_stored_instances() {
    for (directory, _) in DIRECTORIES {
        let mut group = Group::led_by(directory);
        group.connect_proxy();
        let mut received = BTreeMap::new();
        for frame in &group.to_proxy {
            if let Frame::InstanceUpdates(updates) = frame {
                received.extend(updates.records.iter().map(|instance| {
                    (
                        instance.id.as_str(),
                        (instance.state(), instance.address.as_str()),
                    )
                }));
            }
        }
        let expected = BTreeMap::from([
            ("b1", (InstanceState::Serving, "127.0.91.9:9001")),
            ("b2", (InstanceState::Draining, "127.0.91.9:9002")),
            ("b6", (InstanceState::Serving, "127.0.91.9:9006")),
        ]);
        assert_eq!(received, expected, "{directory}");
    }
}

/// Guards a controller whose files were quarantined once: it never takes part in the first start of
/// a cluster, whatever its settings say.
#[test]
fn quarantined_controller_never_bootstraps() {
    for (directory, _) in DIRECTORIES {
        let (_, stored) = DataCopy::of(directory).open();
        assert_eq!(
            stored.may_bootstrap(true),
            directory != SET_ASIDE,
            "{directory}"
        );
        assert!(!stored.may_bootstrap(false), "{directory}");
    }
}

/// Guards a controller whose old files turn out to be corrupt: they are rejected, quarantined and
/// kept, and the controller starts without a disk.
#[test]
fn corrupt_files_are_quarantined() {
    for (directory, prefix) in [
        (LEADER, "state-"),
        (LEADER, "log-"),
        (READMITTED, "state-"),
        (SET_ASIDE, "log-"),
    ] {
        let copy = DataCopy::of(directory);
        let first = |prefix: &str| {
            let files = fs::read_dir(&copy.0)
                .expect("a directory")
                .map(|file| file.expect("a file").path());
            files
                .filter(|path| {
                    path.file_name()
                        .is_some_and(|name| name.to_string_lossy().starts_with(prefix))
                })
                .min()
        };
        let path = first(prefix).expect("a file");
        let mut bytes = fs::read(&path).expect("read");
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0xff;
        fs::write(&path, &bytes).expect("written");
        assert!(
            matches!(Store::open(Directory::new(&copy.0)), Err(Error::Corrupt { path: at }) if at == path),
            "{directory}"
        );
        let (_, stored) = Store::open_with_retries(Directory::new(&copy.0), StoreLimits::default())
            .expect("opened");
        assert_eq!(
            stored,
            StoredState {
                quarantined: true,
                ..StoredState::default()
            },
            "{directory}"
        );
        assert!(!stored.may_bootstrap(true), "{directory}");
        let quarantined_file = first(&format!("spoilt-{prefix}")).expect("a quarantined file");
        assert_eq!(
            fs::read(quarantined_file).expect("read"),
            bytes,
            "{directory}"
        );
    }
}
