//! Every message with every field set, for `benches/foreign_wire.py`: a line each, of the name that etcd's published
//! `.proto` files give it, its bytes in hexadecimal digits, and its fields by their published names as JSON. A tag or type
//! that is wrong here cannot be seen by two sides that share these structs; whoever reads the published files sees it.

use maplefall_etcd_wire::*;
use prost::Message;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn line(name: &str, message: &impl Message, fields: &str) {
    println!("{name} {} {fields}", hex(&message.encode_to_vec()));
}

fn header() -> Option<ResponseHeader> {
    Some(ResponseHeader {
        cluster_id: 11,
        member_id: 12,
        revision: 13,
        raft_term: 14,
    })
}

const HEADER: &str = r#""header":{"cluster_id":11,"member_id":12,"revision":13,"raft_term":14}"#;

fn kv() -> KeyValue {
    KeyValue {
        key: b"k".to_vec(),
        create_revision: 21,
        mod_revision: 22,
        version: 23,
        value: b"v".to_vec(),
        lease: 24,
    }
}

const KV: &str =
    r#"{"key":"k","create_revision":21,"mod_revision":22,"version":23,"value":"v","lease":24}"#;

fn main() {
    let range = RangeRequest {
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
    let range_fields = r#"{"key":"a","range_end":"b","limit":31,"revision":32,"sort_order":2,"sort_target":3,"serializable":true,"keys_only":true,"count_only":true}"#;
    line("etcdserverpb.RangeRequest", &range, range_fields);
    let ranged = RangeResponse {
        header: header(),
        kvs: vec![kv()],
        more: true,
        count: 33,
    };
    let ranged_fields = format!(r#"{{{HEADER},"kvs":[{KV}],"more":true,"count":33}}"#);
    line("etcdserverpb.RangeResponse", &ranged, &ranged_fields);
    let put = PutRequest {
        key: b"a".to_vec(),
        value: b"b".to_vec(),
        lease: 34,
        prev_kv: true,
    };
    let put_fields = r#"{"key":"a","value":"b","lease":34,"prev_kv":true}"#;
    line("etcdserverpb.PutRequest", &put, put_fields);
    let putted = PutResponse {
        header: header(),
        prev_kv: Some(kv()),
    };
    let putted_fields = format!(r#"{{{HEADER},"prev_kv":{KV}}}"#);
    line("etcdserverpb.PutResponse", &putted, &putted_fields);
    let delete = DeleteRangeRequest {
        key: b"a".to_vec(),
        range_end: b"b".to_vec(),
        prev_kv: true,
    };
    let delete_fields = r#"{"key":"a","range_end":"b","prev_kv":true}"#;
    line("etcdserverpb.DeleteRangeRequest", &delete, delete_fields);
    let deleted = DeleteRangeResponse {
        header: header(),
        deleted: 35,
        prev_kvs: vec![kv()],
    };
    let deleted_fields = format!(r#"{{{HEADER},"deleted":35,"prev_kvs":[{KV}]}}"#);
    line(
        "etcdserverpb.DeleteRangeResponse",
        &deleted,
        &deleted_fields,
    );

    let compare = |union, target| Compare {
        result: 1,
        target,
        key: b"a".to_vec(),
        union: Some(union),
    };
    let steps = [
        request_op::Request::Range(range),
        request_op::Request::Put(put),
        request_op::Request::DeleteRange(delete),
    ];
    let txn = TxnRequest {
        compare: vec![
            compare(compare::Union::Version(41), 0),
            compare(compare::Union::Create(42), 1),
            compare(compare::Union::Mod(43), 2),
            compare(compare::Union::Value(b"x".to_vec()), 3),
            compare(compare::Union::Lease(44), 4),
        ],
        success: steps
            .into_iter()
            .map(|request| RequestOp {
                request: Some(request),
            })
            .collect(),
        failure: vec![RequestOp { request: None }],
    };
    // What is nought is not sent.
    let target = |target: i32| {
        if target == 0 {
            String::new()
        } else {
            format!(r#""target":{target},"#)
        }
    };
    let compared =
        |of: i32, union: &str| format!(r#"{{"result":1,{}"key":"a",{union}}}"#, target(of));
    let conditions = [
        compared(0, r#""version":41"#),
        compared(1, r#""create_revision":42"#),
        compared(2, r#""mod_revision":43"#),
        compared(3, r#""value":"x""#),
        compared(4, r#""lease":44"#),
    ]
    .join(",");
    let fields = format!(
        r#"{{"compare":[{conditions}],"success":[{{"request_range":{range_fields}}},{{"request_put":{put_fields}}},{{"request_delete_range":{delete_fields}}}],"failure":[{{}}]}}"#
    );
    line("etcdserverpb.TxnRequest", &txn, &fields);
    let responses = [
        response_op::Response::Range(ranged),
        response_op::Response::Put(putted),
        response_op::Response::DeleteRange(deleted),
    ];
    let done = TxnResponse {
        header: header(),
        succeeded: true,
        responses: responses
            .into_iter()
            .map(|response| ResponseOp {
                response: Some(response),
            })
            .collect(),
    };
    let fields = format!(
        r#"{{{HEADER},"succeeded":true,"responses":[{{"response_range":{ranged_fields}}},{{"response_put":{putted_fields}}},{{"response_delete_range":{deleted_fields}}}]}}"#
    );
    line("etcdserverpb.TxnResponse", &done, &fields);
    let compact = CompactionRequest {
        revision: 51,
        physical: true,
    };
    line(
        "etcdserverpb.CompactionRequest",
        &compact,
        r#"{"revision":51,"physical":true}"#,
    );
    let only_head = HeaderResponse { header: header() };
    for name in ["CompactionResponse", "LeaseRevokeResponse"] {
        line(
            &format!("etcdserverpb.{name}"),
            &only_head,
            &format!("{{{HEADER}}}"),
        );
    }

    let create = WatchCreateRequest {
        key: b"a".to_vec(),
        range_end: b"b".to_vec(),
        start_revision: 61,
        progress_notify: true,
        prev_kv: true,
        watch_id: 62,
        fragment: true,
    };
    let says = [
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
    for (union, fields) in says {
        line(
            "etcdserverpb.WatchRequest",
            &WatchRequest { union: Some(union) },
            fields,
        );
    }
    let told = WatchResponse {
        header: header(),
        watch_id: 64,
        created: true,
        canceled: true,
        compact_revision: 65,
        cancel_reason: "why".to_owned(),
        fragment: true,
        events: vec![Event {
            kind: Event::DELETE,
            kv: Some(kv()),
            prev_kv: Some(kv()),
        }],
    };
    let fields = format!(
        r#"{{{HEADER},"watch_id":64,"created":true,"canceled":true,"compact_revision":65,"cancel_reason":"why","fragment":true,"events":[{{"type":1,"kv":{KV},"prev_kv":{KV}}}]}}"#
    );
    line("etcdserverpb.WatchResponse", &told, &fields);

    line(
        "etcdserverpb.LeaseGrantRequest",
        &LeaseGrantRequest { ttl: 71, id: 72 },
        r#"{"TTL":71,"ID":72}"#,
    );
    let granted = LeaseGrantResponse {
        header: header(),
        id: 73,
        ttl: 74,
        error: "why".to_owned(),
    };
    line(
        "etcdserverpb.LeaseGrantResponse",
        &granted,
        &format!(r#"{{{HEADER},"ID":73,"TTL":74,"error":"why"}}"#),
    );
    for name in [
        "LeaseRevokeRequest",
        "LeaseKeepAliveRequest",
        "LeaseTimeToLiveRequest",
    ] {
        line(
            &format!("etcdserverpb.{name}"),
            &LeaseRequest { id: 75 },
            r#"{"ID":75}"#,
        );
    }
    let left = LeaseResponse {
        header: header(),
        id: 76,
        ttl: 77,
    };
    for name in ["LeaseKeepAliveResponse", "LeaseTimeToLiveResponse"] {
        line(
            &format!("etcdserverpb.{name}"),
            &left,
            &format!(r#"{{{HEADER},"ID":76,"TTL":77}}"#),
        );
    }
    let sign_in = AuthenticateRequest {
        name: "n".to_owned(),
        password: "p".to_owned(),
    };
    line(
        "etcdserverpb.AuthenticateRequest",
        &sign_in,
        r#"{"name":"n","password":"p"}"#,
    );
    let token = AuthenticateResponse {
        header: header(),
        token: "t".to_owned(),
    };
    line(
        "etcdserverpb.AuthenticateResponse",
        &token,
        &format!(r#"{{{HEADER},"token":"t"}}"#),
    );
    let status = StatusResponse {
        header: header(),
        version: "3".to_owned(),
        leader: 81,
    };
    line(
        "etcdserverpb.StatusResponse",
        &status,
        &format!(r#"{{{HEADER},"version":"3","leader":81}}"#),
    );
}
