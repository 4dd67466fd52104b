//! The record of a rehearsal: what clients, api nodes, the agent and the driver of the front doors saw, in one order
//! and on one clock. The stand-ins write it, the judge reads it; neither knows the other.
//!
//! As a file it is one JSON object a line: first the [`Header`], then the [`Line`]s. Line numbers in verdicts count
//! from 1, the header being line 1.

mod lines;
mod recorder;

pub use lines::*;
pub use recorder::{Recorder, MOST_LINES};

#[cfg(test)]
mod tests {
    use super::*;

    fn header() -> Header {
        Header {
            version: VERSION,
            scenario: "calm".into(),
            seed: 7,
            doors: 2,
            classes: Vec::new(),
            plans: Vec::new(),
            rules: Rules::platform(700.0),
        }
    }

    /// Guards records that are judged later: every kind of line comes back as it was written.
    #[test]
    fn a_record_comes_back_as_it_was_written() {
        let recorder = Recorder::new();
        recorder.note(Entry::Door {
            door: 1,
            state: DoorState::Ended { code: Some(3) },
        });
        recorder.note(Entry::Node {
            node: 4,
            state: NodeState::Up {
                cores: 2.0,
                cold_from: 0.2,
                cold_ms: 9e3,
            },
        });
        recorder.note(Entry::Unanswered {
            id: "a".into(),
            door: 0,
            link: 3,
            why: Lost::Cut,
        });
        recorder.note(Entry::Over {
            attempt: 9,
            end: End::GivenUp,
        });
        for i in 1..2000 {
            let deadline = f64::from(i) * 1.234_567_890_123 + 1.0 / f64::from(i);
            recorder.note(Entry::Came {
                attempt: 1,
                node: 0,
                door: 0,
                id: "a".into(),
                key: None,
                form: form("GET", "/a", None, b""),
                first: deadline,
                whole: true,
                work: deadline / 3.0,
            });
        }
        let record = Record {
            header: header(),
            lines: recorder.take(),
        };
        let text = record.to_text().unwrap();
        assert_eq!(Record::from_text(&text).unwrap(), record);
    }

    /// Guards the comparison of what was sent with what came: a change of any part, or of where one ends, shows.
    #[test]
    fn a_form_tells_every_part_apart() {
        let forms = [
            form("GET", "/a", None, b""),
            form("POST", "/a", None, b""),
            form("GET", "/b", None, b""),
            form("GET", "/a", Some("k"), b""),
            form("GET", "/a", None, b"k"),
            form("GET", "/ak", None, b""),
        ];
        for (i, one) in forms.iter().enumerate() {
            assert!(!forms[..i].contains(one), "{i}");
        }
        assert_eq!(forms[3], form("GET", "/a", Some("k"), b""));
    }

    #[test]
    fn what_is_no_record_is_told_by_its_line() {
        assert!(matches!(Record::from_text(""), Err(NoRecord::Empty)));
        let first = serde_json::to_string(&header()).unwrap();
        let later = r#"{"at":5.0,"what":"ran","attempt":1}"#;
        let earlier = r#"{"at":4.0,"what":"ran","attempt":2}"#;
        let error = Record::from_text(&format!("{first}\n{later}\n{earlier}\n")).unwrap_err();
        assert!(error.to_string().starts_with("line 3: "), "{error}");
        let error = Record::from_text(&format!("{first}\n{{\"at\":1}}\n")).unwrap_err();
        assert!(error.to_string().starts_with("line 2: "), "{error}");
        let other = first.replace("\"version\":1", "\"version\":9");
        assert!(matches!(
            Record::from_text(&other),
            Err(NoRecord::Version(9))
        ));
    }
}
