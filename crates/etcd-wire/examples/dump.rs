//! Prints every message with every field set, for `benches/foreign_wire.py`. Each line has the name
//! of the message in etcd's published `.proto` files, its bytes in hexadecimal digits, and its
//! fields by their published names as JSON.
//!
//! A wrong tag or type goes unnoticed between two sides that share these structs, but not by a
//! program that uses the published files.

use maplefall_etcd_wire::*;
use prost::Message;

/// Package of the messages.
const PACKAGE: &str = "etcdserverpb";
/// The fields of [`header`].
const HEADER_FIELDS: &str =
    r#""header":{"cluster_id":11,"member_id":12,"revision":13,"raft_term":14}"#;
/// [`key_value`] as JSON.
const KEY_VALUE_JSON: &str =
    r#"{"key":"k","create_revision":21,"mod_revision":22,"version":23,"value":"v","lease":24}"#;

/// A message and its fields as JSON.
struct Sample<M> {
    message: M,
    json: String,
}

impl<M: Message> Sample<M> {
    fn new(message: M, json: impl Into<String>) -> Sample<M> {
        Sample {
            message,
            json: json.into(),
        }
    }

    fn print(&self, name: &str) {
        print_message(name, &self.message, &self.json);
    }
}

fn print_message(name: &str, message: &impl Message, json: &str) {
    let bytes = message.encode_to_vec();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    println!("{PACKAGE}.{name} {hex} {json}");
}

fn header() -> Option<ResponseHeader> {
    Some(ResponseHeader {
        cluster_id: 11,
        member_id: 12,
        revision: 13,
        raft_term: 14,
    })
}

fn key_value() -> KeyValue {
    KeyValue {
        key: b"k".to_vec(),
        create_revision: 21,
        mod_revision: 22,
        version: 23,
        value: b"v".to_vec(),
        lease: 24,
    }
}

fn range_request() -> Sample<RangeRequest> {
    let message = RangeRequest {
        key: b"a".to_vec(),
        range_end: b"b".to_vec(),
        limit: 31,
        revision: 32,
        sort_order: 2,
        sort_target: 3,
        serializable: true,
        keys_only: true,
        count_only: true,
    };
    Sample::new(
        message,
        r#"{"key":"a","range_end":"b","limit":31,"revision":32,"sort_order":2,"sort_target":3,"serializable":true,"keys_only":true,"count_only":true}"#,
    )
}

fn range_response() -> Sample<RangeResponse> {
    let message = RangeResponse {
        header: header(),
        kvs: vec![key_value()],
        more: true,
        count: 33,
    };
    Sample::new(
        message,
        format!(r#"{{{HEADER_FIELDS},"kvs":[{KEY_VALUE_JSON}],"more":true,"count":33}}"#),
    )
}

fn put_request() -> Sample<PutRequest> {
    let message = PutRequest {
        key: b"a".to_vec(),
        value: b"b".to_vec(),
        lease: 34,
        prev_kv: true,
    };
    Sample::new(
        message,
        r#"{"key":"a","value":"b","lease":34,"prev_kv":true}"#,
    )
}

fn put_response() -> Sample<PutResponse> {
    let message = PutResponse {
        header: header(),
        prev_kv: Some(key_value()),
    };
    Sample::new(
        message,
        format!(r#"{{{HEADER_FIELDS},"prev_kv":{KEY_VALUE_JSON}}}"#),
    )
}

fn delete_range_request() -> Sample<DeleteRangeRequest> {
    let message = DeleteRangeRequest {
        key: b"a".to_vec(),
        range_end: b"b".to_vec(),
        prev_kv: true,
    };
    Sample::new(message, r#"{"key":"a","range_end":"b","prev_kv":true}"#)
}

fn delete_range_response() -> Sample<DeleteRangeResponse> {
    let message = DeleteRangeResponse {
        header: header(),
        deleted: 35,
        prev_kvs: vec![key_value()],
    };
    Sample::new(
        message,
        format!(r#"{{{HEADER_FIELDS},"deleted":35,"prev_kvs":[{KEY_VALUE_JSON}]}}"#),
    )
}

/// A condition on each of the fields that can be compared.
fn conditions() -> Sample<TxnRequest> {
    let compare = |union, target| Compare {
        result: 1,
        target,
        key: b"a".to_vec(),
        union: Some(union),
    };
    let message = TxnRequest {
        compare: vec![
            compare(compare::Union::Version(41), 0),
            compare(compare::Union::Create(42), 1),
            compare(compare::Union::Mod(43), 2),
            compare(compare::Union::Value(b"x".to_vec()), 3),
            compare(compare::Union::Lease(44), 4),
        ],
        ..TxnRequest::default()
    };
    // The target of the first is 0, which proto3 does not encode.
    let json = [
        r#"{"result":1,"key":"a","version":41}"#,
        r#"{"result":1,"target":1,"key":"a","create_revision":42}"#,
        r#"{"result":1,"target":2,"key":"a","mod_revision":43}"#,
        r#"{"result":1,"target":3,"key":"a","value":"x"}"#,
        r#"{"result":1,"target":4,"key":"a","lease":44}"#,
    ];
    Sample::new(message, format!("[{}]", json.join(",")))
}

fn txn_request() -> Sample<TxnRequest> {
    let (range, put, delete) = (range_request(), put_request(), delete_range_request());
    let conditions = conditions();
    let operation = |request| RequestOp {
        request: Some(request),
    };
    let message = TxnRequest {
        success: vec![
            operation(request_op::Request::Range(range.message)),
            operation(request_op::Request::Put(put.message)),
            operation(request_op::Request::DeleteRange(delete.message)),
        ],
        failure: vec![RequestOp { request: None }],
        ..conditions.message
    };
    let json = format!(
        r#"{{"compare":{},"success":[{{"request_range":{}}},{{"request_put":{}}},{{"request_delete_range":{}}}],"failure":[{{}}]}}"#,
        conditions.json, range.json, put.json, delete.json
    );
    Sample::new(message, json)
}

fn txn_response() -> Sample<TxnResponse> {
    let (range, put, delete) = (range_response(), put_response(), delete_range_response());
    let operation = |response| ResponseOp {
        response: Some(response),
    };
    let message = TxnResponse {
        header: header(),
        succeeded: true,
        responses: vec![
            operation(response_op::Response::Range(range.message)),
            operation(response_op::Response::Put(put.message)),
            operation(response_op::Response::DeleteRange(delete.message)),
        ],
    };
    let json = format!(
        r#"{{{HEADER_FIELDS},"succeeded":true,"responses":[{{"response_range":{}}},{{"response_put":{}}},{{"response_delete_range":{}}}]}}"#,
        range.json, put.json, delete.json
    );
    Sample::new(message, json)
}

fn print_kv_service() {
    range_request().print("RangeRequest");
    range_response().print("RangeResponse");
    put_request().print("PutRequest");
    put_response().print("PutResponse");
    delete_range_request().print("DeleteRangeRequest");
    delete_range_response().print("DeleteRangeResponse");
    txn_request().print("TxnRequest");
    txn_response().print("TxnResponse");
    let compaction = CompactionRequest {
        revision: 51,
        physical: true,
    };
    print_message(
        "CompactionRequest",
        &compaction,
        r#"{"revision":51,"physical":true}"#,
    );
    let header_only = HeaderResponse { header: header() };
    for name in ["CompactionResponse", "LeaseRevokeResponse"] {
        print_message(name, &header_only, &format!("{{{HEADER_FIELDS}}}"));
    }
}

fn print_watch_service() {
    let create = WatchCreateRequest {
        key: b"a".to_vec(),
        range_end: b"b".to_vec(),
        start_revision: 61,
        progress_notify: true,
        prev_kv: true,
        watch_id: 62,
        fragment: true,
    };
    let requests = [
        (
            watch_request::Union::Create(create),
            r#"{"create_request":{"key":"a","range_end":"b","start_revision":61,"progress_notify":true,"prev_kv":true,"watch_id":62,"fragment":true}}"#,
        ),
        (
            watch_request::Union::Cancel(WatchCancelRequest { watch_id: 63 }),
            r#"{"cancel_request":{"watch_id":63}}"#,
        ),
        (
            watch_request::Union::Progress(WatchProgressRequest {}),
            r#"{"progress_request":{}}"#,
        ),
    ];
    for (union, json) in requests {
        print_message("WatchRequest", &WatchRequest { union: Some(union) }, json);
    }
    let response = WatchResponse {
        header: header(),
        watch_id: 64,
        created: true,
        canceled: true,
        compact_revision: 65,
        cancel_reason: "why".to_owned(),
        fragment: true,
        events: vec![Event {
            kind: Event::DELETE,
            kv: Some(key_value()),
            prev_kv: Some(key_value()),
        }],
    };
    let json = format!(
        r#"{{{HEADER_FIELDS},"watch_id":64,"created":true,"canceled":true,"compact_revision":65,"cancel_reason":"why","fragment":true,"events":[{{"type":1,"kv":{KEY_VALUE_JSON},"prev_kv":{KEY_VALUE_JSON}}}]}}"#
    );
    print_message("WatchResponse", &response, &json);
}

fn print_lease_service() {
    print_message(
        "LeaseGrantRequest",
        &LeaseGrantRequest { ttl: 71, id: 72 },
        r#"{"TTL":71,"ID":72}"#,
    );
    let granted = LeaseGrantResponse {
        header: header(),
        id: 73,
        ttl: 74,
        error: "why".to_owned(),
    };
    print_message(
        "LeaseGrantResponse",
        &granted,
        &format!(r#"{{{HEADER_FIELDS},"ID":73,"TTL":74,"error":"why"}}"#),
    );
    for name in [
        "LeaseRevokeRequest",
        "LeaseKeepAliveRequest",
        "LeaseTimeToLiveRequest",
    ] {
        print_message(name, &LeaseRequest { id: 75 }, r#"{"ID":75}"#);
    }
    let time_to_live = LeaseResponse {
        header: header(),
        id: 76,
        ttl: 77,
    };
    for name in ["LeaseKeepAliveResponse", "LeaseTimeToLiveResponse"] {
        print_message(
            name,
            &time_to_live,
            &format!(r#"{{{HEADER_FIELDS},"ID":76,"TTL":77}}"#),
        );
    }
}

fn print_auth_and_maintenance_services() {
    let credentials = AuthenticateRequest {
        name: "n".to_owned(),
        password: "p".to_owned(),
    };
    print_message(
        "AuthenticateRequest",
        &credentials,
        r#"{"name":"n","password":"p"}"#,
    );
    let token = AuthenticateResponse {
        header: header(),
        token: "t".to_owned(),
    };
    print_message(
        "AuthenticateResponse",
        &token,
        &format!(r#"{{{HEADER_FIELDS},"token":"t"}}"#),
    );
    let status = StatusResponse {
        header: header(),
        version: "3".to_owned(),
        leader: 81,
    };
    print_message(
        "StatusResponse",
        &status,
        &format!(r#"{{{HEADER_FIELDS},"version":"3","leader":81}}"#),
    );
}

fn main() {
    print_kv_service();
    print_watch_service();
    print_lease_service();
    print_auth_and_maintenance_services();
}
