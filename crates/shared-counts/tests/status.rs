//! The JSON and the text of the status for operators.

use maplefall_shared_counts::status::Status;

/// The status as sent by nodes of earlier releases.
const JSON: &str = concat!(
    r#"{"name":"a","incarnation":7,"doors":2,"#,
    r#""members":[{"name":"b","address":"127.0.0.1:7946","state":"suspected","incarnation":8,"former":1,"#,
    r#""news_ms":250.0,"complete_ms":null,"counts":3}],"#,
    r#""customers":[{"customer":5,"plan":1,"units":2.5}],"tail_units":4.0,"counts":6,"behind_ms":300.0,"#,
    r#""untold_units":1.5,"datagrams_in":10,"bytes_in":1000,"datagrams_out":11,"bytes_out":1100,"#,
    r#""held_back":12,"renamed":1,"refused":{"cut":2,"no_room":1}}"#,
);

const TEXT: &str = "\
a: 2 doors heard of, 6 counts, oldest news 300 ms, untold at most 1.5 units a customer
door                 address                state        news ms  complete ms  counts
b                    127.0.0.1:7946         suspected        250            -       3
customer 5                    plan 1           2.500 units
all others                                     4.000 units
refused: Cut 2
refused: NoRoom 1
";

/// Guards the JSON field names and the text, which operators and their tools read.
#[test]
fn json_and_text_are_those_of_earlier_releases() {
    let status: Status = serde_json::from_str(JSON).expect("a status");
    assert_eq!(status.json(), JSON);
    assert_eq!(status.plain(), TEXT);
}
