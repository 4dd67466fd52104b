"""A client of etcd that was not written here (python-etcd3) against the played etcd.

    python3 -m venv V && V/bin/pip install etcd3 'protobuf<3.21'
    V/bin/python benches/foreign_etcd.py target/release/maplefall-rehearse

Prints each operation as it is checked; the first that fails ends it.
"""

import subprocess
import sys
import threading

import etcd3
import grpc
from etcd3 import exceptions


def check(what, held):
    print(("ok    " if held else "FAILED"), what, flush=True)
    if not held:
        sys.exit(1)


def played(*options):
    """A played etcd, and its port."""
    process = subprocess.Popen([sys.argv[1], "etcd", *options], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    return process, int(process.stdout.readline().strip().rsplit(":", 1)[1])


def end(process):
    process.stdin.close()
    process.wait(10)


def refusal(call):
    try:
        call()
    except grpc.RpcError as error:
        return error.details()
    return None


def users():
    """The library sends its token over TLS only: what it signs in with is put by hand into calls of its own stubs."""
    process, port = played("--user", "front:secret")
    try:
        rpc = etcd3.etcdrpc
        channel = grpc.insecure_channel(f"127.0.0.1:{port}")
        auth, kv, watch = rpc.AuthStub(channel), rpc.KVStub(channel), rpc.WatchStub(channel)
        wrong = refusal(lambda: auth.Authenticate(rpc.AuthenticateRequest(name="front", password="wrong")))
        check("Authenticate refuses a wrong password", "invalid user ID or password" in (wrong or ""))
        token = auth.Authenticate(rpc.AuthenticateRequest(name="front", password="secret")).token
        check("Authenticate gives a token", bool(token))
        put = rpc.PutRequest(key=b"/a", value=b"1")
        check("a call without a user is refused", "user name is empty" in (refusal(lambda: kv.Put(put)) or ""))
        odd = refusal(lambda: kv.Put(put, metadata=[("token", "odd")]))
        check("a call with an odd token is refused", odd is not None and ("auth" in odd))
        check("a call with the token is let in", kv.Put(put, metadata=[("token", token)]).header.revision > 1)
        create = rpc.WatchRequest(create_request=rpc.WatchCreateRequest(key=b"/a", start_revision=1))
        first = next(watch.Watch(iter([create]), metadata=[("token", "odd")], timeout=10))
        check("a watch with an odd token is ended with a reason", first.created and first.canceled)
        first = next(watch.Watch(iter([create]), metadata=[("token", token)], timeout=10))
        check("a watch with the token has begun", first.created and not first.canceled)
    finally:
        end(process)


def iter_open(first, over):
    """One request on a stream that stays open until it is over."""
    yield first
    over.wait(10)


def main():
    users()
    process, port = played("--notices", "100")
    try:
        client = etcd3.client(host="127.0.0.1", port=port, timeout=10)

        client.put("/p/a", "1")
        value, meta = client.get("/p/a")
        check("Put, Range of one key", value == b"1" and meta.version == 1)
        client.put("/p/b", "2")
        check("Range of a prefix", [value for value, _ in client.get_prefix("/p/")] == [b"1", b"2"])
        check("Range, keys falling", [m.key for _, m in client.get_prefix("/p/", sort_order="descend")] == [b"/p/b", b"/p/a"])

        seen, done = [], threading.Event()
        def note(response):
            for event in getattr(response, "events", []):
                seen.append((type(event).__name__, event.key, event.value, event.mod_revision))
                if len(seen) == 4:
                    done.set()
        first = client.get("/p/a")[1].mod_revision
        watch = client.add_watch_callback("/p/", note, range_end="/p0", start_revision=first)
        ok, _ = client.transaction(
            compare=[client.transactions.value("/p/a") == "1"],
            success=[client.transactions.put("/p/a", "3"), client.transactions.delete("/p/b")],
            failure=[],
        )
        check("Txn whose condition holds", ok)
        check("Watch from a revision of the past", done.wait(10))
        check("Txn: two changes at one revision", seen[2][3] == seen[3][3] and seen[1][3] + 1 == seen[2][3])
        check("Watch tells puts and removals", [kind for kind, _, _, _ in seen] == ["PutEvent"] * 3 + ["DeleteEvent"])
        client.cancel_watch(watch)
        check("Watch cancel", True)
        ok, _ = client.transaction(
            compare=[client.transactions.version("/p/a") > 9], success=[], failure=[client.transactions.put("/p/c", "4")]
        )
        check("Txn whose condition does not hold", not ok and client.get("/p/c")[0] == b"4")

        lease = client.lease(60)
        client.put("/p/leased", "x", lease=lease)
        check("LeaseGrant, Put on a lease", client.get("/p/leased")[1].lease_id == lease.id)
        check("LeaseKeepAlive", lease.refresh()[0].TTL == 60)
        check("LeaseTimeToLive", 0 < lease.remaining_ttl <= 60)
        lease.revoke()
        check("LeaseRevoke takes its keys", client.get("/p/leased")[0] is None)

        client.compact(client.get("/p/c")[1].mod_revision)
        ended, reason = threading.Event(), []
        def told(response):
            if isinstance(response, exceptions.RevisionCompactedError):
                reason.append(response.compacted_revision)
                ended.set()
        client.add_watch_callback("/p/", told, range_end="/p0", start_revision=first)
        check("Compact ends a watch of the past", ended.wait(10) and reason[0] > first)
        check("DeleteRange of a prefix", client.delete_prefix("/p/").deleted == 2)

        notice = threading.Event()
        quiet = etcd3.etcdrpc.WatchCreateRequest(key=b"/quiet", progress_notify=True)
        answers = etcd3.etcdrpc.WatchStub(grpc.insecure_channel(f"127.0.0.1:{port}")).Watch(iter_open(etcd3.etcdrpc.WatchRequest(create_request=quiet), notice), timeout=10)
        begun, told = next(answers), next(answers)
        check("Watch with progress_notify is told that there is nothing new", begun.created and not told.events and not told.canceled)
        notice.set()
    finally:
        end(process)
    print("python-etcd3", etcd3.__version__, "works with the played etcd")


main()
