//! Data folders that the programs of commit f933aca have written, opened with the present code. `tests/data/README.md` tells how
//! they came about; every test works on copies of them.

mod group;

use bytes::BytesMut;
use group::{data, settings, text, Copy, Group, FOLDERS};
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

/// The leader's folder.
const LEADER: &str = "leader";
/// The folder of a controller whose files were damaged once.
const SET_ASIDE: &str = "set-aside";
/// The folder of a controller whose disk was wiped once.
const READMITTED: &str = "readmitted";

/// One call of `config.amend` that the old programs have answered.
struct Order {
    status: u16,
    body: String,
}

/// All calls, in the order in which they were sent.
fn orders() -> Vec<Order> {
    let parsed = |line: &str| {
        let (status, body) = line.split_once(' ').expect("a status and a body");
        Order {
            status: status.parse().expect("a status"),
            body: body.to_owned(),
        }
    };
    text("orders.txt").lines().map(parsed).collect()
}

/// The bodies of all calls that were taken.
fn taken_bodies() -> Vec<String> {
    orders()
        .into_iter()
        .filter(|order| order.status == 200)
        .map(|order| order.body)
        .collect()
}

fn members(all: &[Member]) -> String {
    all.iter()
        .map(|member| format!(" {}/{:x}", member.name, member.identity))
        .collect()
}

/// What a start has found, as `tests/data/describe.py` writes it.
fn describe(kept: &StoredState) -> String {
    let (tandem, snapshot) = (&kept.raft, &kept.raft.snapshot);
    let mut lines = vec![
        format!("record {}", kept.number),
        format!("term {} voted {}", tandem.term, tandem.voted_for),
        format!(
            "identity {:x} settled {}",
            tandem.identity.expect("an identity"),
            tandem.members_committed
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
    for entry in &tandem.log {
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
    for word in kept.instances.values() {
        lines.push(format!(
            "instance {} service {} address {} zone {} capacity {} state {} call {} cold {}",
            word.id,
            word.service,
            word.address,
            word.zone,
            word.capacity,
            word.state,
            word.seq,
            word.warmup_left_ms,
        ));
    }
    let lent_to: Vec<&str> = kept.leased_to.iter().map(String::as_str).collect();
    let waited: Vec<String> = kept.waited_slots.iter().map(u64::to_string).collect();
    lines.push(format!(
        "lent_known {} lent_to {}",
        kept.leased_to_complete,
        lent_to.join(" ")
    ));
    lines.push(format!("waited {}", waited.join(" ")));
    lines.push(format!("set_aside {}", kept.quarantined));
    lines
        .iter()
        .map(|line| format!("{}\n", line.trim_end()))
        .collect()
}

/// How many entries of a log change the configuration.
fn changes(kept: &StoredState) -> usize {
    kept.raft
        .log
        .iter()
        .filter(|entry| entry.kind() == EntryKind::Command)
        .count()
}

/// A body of `config.amend` with this item alone.
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

/// The same version of an item with another content: a field more.
fn altered(item: &Item) -> Item {
    let more = Field {
        name: "Altered".to_owned(),
        json: "true".to_owned(),
    };
    let mut fields = item.fields.clone();
    if item.dropped && item.kind() == ItemKind::Route {
        // A drop has no fields of its own; a route cannot do without some.
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

/// Guards all that is stored, field by field, against a reader of the bytes that shares no code with the project.
#[test]
fn each_folder_holds_what_its_bytes_say() {
    for (folder, _) in FOLDERS {
        let (_, kept) = Copy::of(folder).open();
        assert_eq!(describe(&kept), text(&format!("{folder}.txt")), "{folder}");
    }
}

/// Guards fields that no start tells of, such as who lends which part of a quota: of what was written, nothing is unknown.
#[test]
fn every_field_is_known() {
    for (folder, _) in FOLDERS {
        for file in fs::read_dir(data().join(folder)).expect("a folder") {
            let path = file.expect("a file").path();
            let name = path
                .file_name()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            if name.starts_with("spoilt-") {
                continue;
            }
            for payload in frames(&fs::read(&path).expect("read")) {
                if name.starts_with("state-") {
                    let folded = StateFile::decode(payload).expect("a state");
                    // The order of its fields is another than that of their tags.
                    assert_eq!(folded.encoded_len(), payload.len(), "{folder}/{name}");
                    every_field_of_a_state_is_known(&folded.snapshot.expect("a snapshot"));
                } else {
                    let batch = Batch::decode(payload).expect("a batch");
                    assert_eq!(batch.encode_to_vec(), payload, "{folder}/{name}");
                    let records = batch.records.into_iter().filter_map(|stored| stored.raft);
                    for record in records {
                        record
                            .snapshot
                            .iter()
                            .for_each(every_field_of_a_state_is_known);
                        for entry in record
                            .entries
                            .iter()
                            .filter(|entry| entry.kind() == EntryKind::Command)
                        {
                            let change =
                                Change::decode(entry.payload.as_slice()).expect("a change");
                            assert_eq!(change.encode_to_vec(), entry.payload, "{folder}/{name}");
                        }
                    }
                }
            }
        }
    }
}

fn every_field_of_a_state_is_known(snapshot: &Snapshot) {
    let whole = ReplicatedState::decode(snapshot.state.as_ref()).expect("a state");
    assert_eq!(
        whole.encode_to_vec(),
        snapshot.state,
        "the state up to {}",
        snapshot.index
    );
    assert_eq!(whole.owners.is_some(), !snapshot.state.is_empty());
}

/// What the frames of a file hold: behind each head of 24 bytes, with the length in its bytes 12 to 15.
fn frames(mut bytes: &[u8]) -> Vec<&[u8]> {
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

/// Guards fields that the data has no example of, by bytes that the old program writes for them.
#[test]
fn fields_that_the_data_lacks_are_known() {
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
    let folded = StateFile::decode(&b"\x08\x02\x10\x07\x7a\x02\x05\x06"[..]).expect("a state");
    assert_eq!(
        folded,
        StateFile {
            format: 2,
            number: 7,
            waited_slots: vec![5, 6],
            ..StateFile::default()
        }
    );
}

/// Guards the same against what the old program itself has logged at its start on each folder.
#[test]
fn each_folder_holds_what_the_old_program_has_logged() {
    let starts = text("starts.txt");
    for ((folder, _), line) in FOLDERS.into_iter().zip(starts.lines()) {
        let (_, kept) = Copy::of(folder).open();
        let found = format!(
            "term={} snapshot={} log={} identity={:x?}",
            kept.raft.term,
            kept.raft.snapshot.index,
            kept.raft.log.len(),
            kept.raft.identity,
        );
        assert!(line.ends_with(&found), "{folder}: {found}, not {line}");
    }
}

/// Guards the files: a folded state and segments of the log after it are there, so that both are read by these tests.
#[test]
fn the_data_has_a_folded_state_and_a_log() {
    for folder in [LEADER, READMITTED] {
        let names: Vec<String> = fs::read_dir(data().join(folder))
            .expect("a folder")
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
            "{folder}: {names:?}"
        );
    }
}

/// Guards the numbers of records and the indices of the log: the next follow the last, and nothing else is taken.
#[test]
fn numbers_and_indices_are_carried_on() {
    for (folder, _) in FOLDERS {
        let copy = Copy::of(folder);
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
            let refused = store.write(vec![record(wrong)]);
            let due = before.number + 1;
            assert!(
                matches!(refused, Err(Error::OutOfOrder { expected, actual }) if (expected, actual) == (due, wrong)),
                "{refused:?}"
            );
        }
        store
            .write(vec![record(before.number + 1)])
            .expect("the next record");
        drop(store);
        let mut expected = before.clone();
        expected.number += 1;
        expected.raft.log.push(entry.clone());
        assert_eq!(copy.open().1, expected, "{folder}");
    }
}

/// Guards the configuration: whichever of the three leads, it answers byte for byte what the old leader answered.
#[test]
fn the_configuration_reads_back_the_same() {
    for (folder, _) in FOLDERS {
        let mut group = Group::led_by(folder);
        assert_eq!(
            group.call(Call::ReadConfig),
            CallResponse::Ok(text("config-read.json")),
            "{folder}"
        );
    }
}

/// Guards operators: what the old leader refused is refused, with the same status.
#[test]
fn what_was_refused_is_refused_again() {
    for (folder, _) in FOLDERS {
        let mut group = Group::led_by(folder);
        let refused: Vec<Order> = orders()
            .into_iter()
            .filter(|order| order.status != 200)
            .collect();
        assert_eq!(refused.len(), 5);
        for Order { status, body } in refused {
            let answer = group.amend(&body);
            assert!(
                matches!(answer, CallResponse::Rejected(now, _) if now == status),
                "{folder}: {answer:?} to {body}"
            );
        }
    }
}

/// Guards versions: under each that was ever taken, the highest of its name or an overtaken one, no other content is.
#[test]
fn another_content_under_a_taken_version_is_a_conflict() {
    for (folder, _) in FOLDERS {
        let mut group = Group::led_by(folder);
        let mut numbers: BTreeMap<(ItemKind, String), Vec<u32>> = BTreeMap::new();
        for body in taken_bodies() {
            for item in parse_amend(body.as_bytes()).expect("a call").items {
                let answer = group.amend(&body_of(&altered(&item)));
                assert!(
                    matches!(answer, CallResponse::Rejected(409, _)),
                    "{folder}: {answer:?} for {item:?}"
                );
                numbers
                    .entry((item.kind(), item.name))
                    .or_default()
                    .push(item.version);
            }
        }
        let overtaken: usize = numbers.values().map(|versions| versions.len() - 1).sum();
        let late = numbers
            .values()
            .flat_map(|versions| versions.windows(2))
            .filter(|pair| pair[0] > pair[1])
            .count();
        assert!(
            overtaken > 400 && late > 50,
            "{overtaken} overtaken, {late} late"
        );
    }
}

/// Guards an order that comes again after a lost answer: it is acknowledged, and nothing new is in any log.
#[test]
fn an_order_that_was_taken_is_acknowledged_again() {
    for (folder, _) in FOLDERS {
        let mut group = Group::led_by(folder);
        let bodies = taken_bodies();
        assert_eq!(bodies.len(), 304);
        for body in bodies {
            assert_eq!(
                group.amend(&body),
                CallResponse::Ok("{}".to_owned()),
                "{folder}: {body}"
            );
        }
        assert_eq!(
            group.call(Call::ReadConfig),
            CallResponse::Ok(text("config-read.json"))
        );
        assert!(
            !group
                .lines
                .iter()
                .any(|line| line.starts_with("event=agreed index=316")),
            "{:?}",
            group.lines
        );
        for (name, kept) in group.stored() {
            let (_, before) = Copy::of(name).open();
            assert_eq!(changes(&kept), changes(&before), "led by {folder}: {name}");
        }
    }
}

/// Guards the log of the group: a new change gets an index after all that was there, and is on the disk of all three, under the
/// identities that they had.
#[test]
fn a_new_change_follows_the_old_ones() {
    for (folder, _) in FOLDERS {
        let mut group = Group::led_by(folder);
        let service = Item {
            kind: ItemKind::Service.into(),
            name: "s9".to_owned(),
            version: 1,
            ..Item::default()
        };
        assert_eq!(
            group.amend(&body_of(&service)),
            CallResponse::Ok("{}".to_owned())
        );
        let all: Vec<String> = FOLDERS.map(|(_, address)| address.to_owned()).to_vec();
        assert_eq!(group.members(), vec![all.clone(), all.clone(), all]);
        for (name, kept) in group.stored() {
            let (_, before) = Copy::of(name).open();
            let (log, old) = (&kept.raft.log, &before.raft.log);
            assert_eq!(log[..old.len()], old[..], "led by {folder}: {name}");
            let new: Vec<(u64, EntryKind)> = log[old.len()..]
                .iter()
                .map(|entry| (entry.index, entry.kind()))
                .collect();
            let next = before.raft.last_index() + 1;
            assert_eq!(
                new,
                [(next, EntryKind::NoOp), (next + 1, EntryKind::Command)],
                "led by {folder}: {name}"
            );
            assert_eq!(
                kept.raft.identity, before.raft.identity,
                "led by {folder}: {name}"
            );
            assert_eq!(
                kept.raft.term,
                before.raft.term + 1,
                "led by {folder}: {name}"
            );
            assert!(kept.number > before.number, "led by {folder}: {name}");
        }
    }
}

/// Guards votes: a controller that has voted in its term gives that vote again to the same candidate, and to nobody else; one that has
/// not votes once that is written.
#[test]
fn a_vote_is_given_once_in_a_term() {
    for (folder, address) in FOLDERS {
        for (_, candidate) in FOLDERS
            .into_iter()
            .filter(|(_, candidate)| *candidate != address)
        {
            let (_, kept) = Copy::of(folder).open();
            let (term, voted) = (kept.raft.term, vote(folder));
            let members = kept.raft.configuration().current;
            let identity = members
                .iter()
                .find(|member| member.name == candidate)
                .expect("a member")
                .identity;
            let ask = RequestVote {
                pre_vote: false,
                last_log_index: kept.raft.last_index(),
                last_log_term: term,
            };
            let message = Message {
                term,
                identity,
                body: Some(MessageBody::RequestVote(ask)),
            };
            let mut core = Core::new(&settings(address), 0.0, 1, kept, &mut Vec::new());
            let mut out = Vec::new();
            core.receive_from_peer(0.0, candidate, Frame::Raft(message), &mut out);
            let written = out.iter().find_map(|output| match output {
                Output::Write(number, _) => Some(*number),
                _ => None,
            });
            assert_eq!(
                written.is_some(),
                voted.is_empty(),
                "{folder}, asked by {candidate}"
            );
            if let Some(number) = written {
                assert_eq!(
                    granted(&out),
                    None,
                    "{folder}: a vote that is not on the disk"
                );
                core.persisted(0.0, number, &mut out);
            }
            let expected = voted.is_empty() || voted == candidate;
            assert_eq!(
                granted(&out),
                Some(expected),
                "{folder} voted {voted:?}, asked by {candidate}"
            );
        }
    }
}

/// The candidate that a controller has voted for in its last term, by the bytes of its folder; empty for none.
fn vote(folder: &str) -> String {
    let description = text(&format!("{folder}.txt"));
    let line = description
        .lines()
        .find(|line| line.starts_with("term "))
        .expect("a term");
    line.split_once(" voted")
        .expect("a vote")
        .1
        .trim()
        .to_owned()
}

/// Whether a vote is granted, if the question is answered.
fn granted(out: &[Output]) -> Option<bool> {
    out.iter().find_map(|output| {
        let Output::SendToPeer(_, bytes) = output else {
            return None;
        };
        match decode_frame(&mut BytesMut::from(&bytes[..])) {
            Ok(Some(Frame::Raft(Message {
                body: Some(MessageBody::RequestVoteResponse(voted)),
                ..
            }))) => Some(voted.granted),
            _ => None,
        }
    })
}

/// Guards clients: a proxy is told of the instances that were there, and of none that had left or were lost.
#[test]
fn the_instances_are_known() {
    for (folder, _) in FOLDERS {
        let mut group = Group::led_by(folder);
        group.connect_proxy();
        let mut told = BTreeMap::new();
        for frame in &group.to_proxy {
            if let Frame::InstanceUpdates(words) = frame {
                told.extend(
                    words
                        .records
                        .iter()
                        .map(|word| (word.id.as_str(), (word.state(), word.address.as_str()))),
                );
            }
        }
        let expected = BTreeMap::from([
            ("b1", (InstanceState::Serving, "127.0.91.9:9001")),
            ("b2", (InstanceState::Draining, "127.0.91.9:9002")),
            ("b6", (InstanceState::Serving, "127.0.91.9:9006")),
        ]);
        assert_eq!(told, expected, "{folder}");
    }
}

/// Guards a controller whose files were set aside once: it is not part of a first start, whatever its settings say.
#[test]
fn a_controller_whose_files_were_set_aside_has_lost_its_disk() {
    for (folder, _) in FOLDERS {
        let (_, kept) = Copy::of(folder).open();
        assert_eq!(kept.may_bootstrap(true), folder != SET_ASIDE, "{folder}");
        assert!(!kept.may_bootstrap(false), "{folder}");
    }
}

/// Guards a controller whose old files turn out to be damaged: they are refused, set aside and kept, and it starts without a disk.
#[test]
fn damaged_files_are_set_aside() {
    for (folder, prefix) in [
        (LEADER, "state-"),
        (LEADER, "log-"),
        (READMITTED, "state-"),
        (SET_ASIDE, "log-"),
    ] {
        let copy = Copy::of(folder);
        let first = |prefix: &str| {
            let files = fs::read_dir(&copy.0)
                .expect("a folder")
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
            "{folder}"
        );
        let (_, kept) = Store::open_with_retries(Directory::new(&copy.0), StoreLimits::default())
            .expect("opened");
        assert_eq!(
            kept,
            StoredState {
                quarantined: true,
                ..StoredState::default()
            },
            "{folder}"
        );
        assert!(!kept.may_bootstrap(true), "{folder}");
        let kept_aside = first(&format!("spoilt-{prefix}")).expect("a file set aside");
        assert_eq!(fs::read(kept_aside).expect("read"), bytes, "{folder}");
    }
}
